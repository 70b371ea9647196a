//! Discrete-event simulation of a fleet: gateways with the production list reader, registry and core, modelled
//! control machines, and the network between them. Databases exist only as list entries, as there is no client
//! traffic.
//!
//! [`Model`] owns the clock, the event queue and all state. `gateway_side`, `control_side` and `network` handle the
//! events at the respective machines, and `actions` executes the script. Events of the same microsecond are handled
//! in the order in which they were scheduled, and random numbers are drawn in the order of events, so that a run is
//! deterministic for a seed.
//!
//! Gateways use a single address for all control machines. The router of each region forwards a connection to a
//! random control machine that it considers reachable, and detects failures after a delay.

mod actions;
pub mod control;
mod control_side;
mod event;
mod gateway;
mod gateway_side;
mod measure;
mod network;
mod watch;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::bounds::Bounds;
use super::error::HollowError;
use super::events::Script;
use super::fleet::{self, FleetSize};
use super::list::DatabaseList;
use super::load::{SlidingMaximum, TENTH_SECOND_US};
use control::ControlMachine;
use event::{Event, ScheduledEvent};
use gateway_side::GatewaySlot;
use measure::{GatewayLoads, ListChange, PropagationDelays};
pub use measure::{Measurements, Peak};
use network::{Connection, ROUTER_DETECTION_DELAY_US};

/// Index of a connection in [`Model`]. Indices are not reused.
pub type ConnectionId = usize;

/// Period over which the gateways of a new fleet start, in microseconds.
const MAX_FIRST_START_US: u64 = 10_000_000;
/// Number of events between checks of the bounds.
const EVENTS_PER_BOUNDS_CHECK: u64 = 50_000;

/// Simulation of a fleet.
pub struct Model {
    size: FleetSize,
    seed: u64,
    now_us: u64,
    sequence: u64,
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
    random: Pcg32,
    gateways: Vec<GatewaySlot>,
    machines: Vec<ControlMachine>,
    connections: Vec<Connection>,
    /// Control machines that the router of each region considers reachable.
    routable: [Vec<bool>; 2],
    router_detection_delay_us: u64,
    is_partitioned: bool,
    comments_suspended: bool,
    changes: Vec<ListChange>,
    propagation: PropagationDelays,
    calls_per_tenth: SlidingMaximum,
}

impl Model {
    /// Creates a fleet whose gateways start at random times within the first ten seconds.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let slot = |_| GatewaySlot {
            running: None,
            incarnation: 0,
            started_us: 0,
            timer_us: None,
            loads: GatewayLoads::default(),
        };
        let list = DatabaseList::new(size.databases);
        let machine = |number| ControlMachine::new(fleet::zone(number), list.clone());
        let mut model = Self {
            size,
            seed,
            now_us: 0,
            sequence: 0,
            scheduled: BinaryHeap::new(),
            random: Pcg32::seed_from_u64(seed),
            gateways: (0..size.gateways).map(slot).collect(),
            machines: (0..size.control).map(machine).collect(),
            connections: Vec::new(),
            routable: [vec![true; size.control], vec![true; size.control]],
            router_detection_delay_us: ROUTER_DETECTION_DELAY_US,
            is_partitioned: false,
            comments_suspended: false,
            changes: Vec::new(),
            propagation: PropagationDelays::default(),
            calls_per_tenth: SlidingMaximum::new(TENTH_SECOND_US),
        };
        for gateway in 0..size.gateways {
            let at_us = model.random_delay_us(MAX_FIRST_START_US);
            model.schedule(at_us, Event::GatewayStarts(gateway));
        }
        model
    }

    /// Sets the delay after which routers detect failures and recoveries, in microseconds.
    pub fn with_router_detection_delay(mut self, router_detection_delay_us: u64) -> Self {
        self.router_detection_delay_us = router_detection_delay_us;
        self
    }

    /// Runs a script to its end and returns the measurements.
    ///
    /// # Errors
    /// A bound is exceeded, or the settings of the gateways are invalid.
    pub fn run(mut self, script: &Script, bounds: &Bounds) -> Result<Measurements, HollowError> {
        self.schedule(script.begins_us.saturating_sub(1), Event::MeasurementBegins);
        for (index, (at_us, _)) in script.actions.iter().enumerate() {
            self.schedule(*at_us, Event::ScriptedAction(index));
        }
        let mut count = 0_u64;
        while let Some(Reverse(next)) = self.scheduled.pop() {
            if next.at_us > script.ends_us {
                break;
            }
            count += 1;
            if count % EVENTS_PER_BOUNDS_CHECK == 0 {
                bounds.check(&[std::process::id()])?;
            }
            self.now_us = next.at_us;
            self.dispatch(next.event, script)?;
        }
        Ok(self.measurements())
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.scheduled.push(Reverse(ScheduledEvent { at_us, sequence: self.sequence, event }));
    }

    fn random_delay_us(&mut self, span_us: u64) -> u64 {
        u64::from(self.random.next_u32()) * span_us / u64::from(u32::MAX)
    }

    fn dispatch(&mut self, event: Event, script: &Script) -> Result<(), HollowError> {
        match event {
            Event::ScriptedAction(index) => self.perform(&script.actions[index].1),
            Event::MeasurementBegins => self.begin_measurement(),
            Event::GatewayStarts(gateway) => self.start_gateway(gateway)?,
            Event::WatchTimer { gateway, incarnation } => self.on_watch_timer(gateway, incarnation),
            Event::ConnectArrived(connection) => self.on_connect_arrived(connection),
            Event::ConnectAccepted(connection) => self.on_connect_accepted(connection),
            Event::ConnectRefused(connection) | Event::StreamEndedAtGateway(connection) => {
                self.on_connection_lost(connection)
            }
            Event::RequestArrived { connection, after } => self.on_request_arrived(connection, after),
            Event::StreamBegins { connection, after } => self.on_stream_begins(connection, after),
            Event::CommentDue(connection) => self.on_comment_due(connection),
            Event::BytesArrived { connection, text } => self.on_bytes_arrived(connection, text),
            Event::StreamEndedAtControl(connection) => self.on_stream_ended_at_control(connection),
            Event::ChangesReplicated { machine, changes } => self.on_changes_replicated(machine, changes),
            Event::RouterUpdated { region, machine } => self.on_router_updated(region, machine),
            Event::Retransmission(connection) => self.on_retransmission(connection),
        }
        Ok(())
    }
}
