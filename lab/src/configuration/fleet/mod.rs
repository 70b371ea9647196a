//! Discrete-event simulation of a fleet of gateways and control machines. [`Fleet`] owns the clock, the event queue and
//! all state, and dispatches each event to its handler in `gateways` or `control_machines`. `transmission` computes
//! delays of messages, `faults` has the faults that scenarios inject, and `measure` records traffic and delays.
//!
//! Events with the same time are handled in the order in which they were scheduled, and random numbers are drawn in the
//! order of events, so a run depends on its scenario and seed only.

mod control_machines;
mod event;
mod faults;
mod gateways;
mod measure;
mod transmission;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use wrenhatch_configuration::{Document, GatewayId, Pacing, Publisher, Subscriber, Version};

use super::network::Network;
use super::random::Random;
use super::{MACHINES, SECOND_US};
use crate::spread::histogram;
use control_machines::{ControlMachine, MERGE_INTERVAL_US};
use event::{Event, StreamId};
use gateways::Gateway;
pub use measure::SimulationResult;
use measure::{MeasuredVersion, Traffic};

/// A simulated fleet.
pub struct Fleet {
    now_us: u64,
    /// Time and sequence number of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by sequence number.
    events: HashMap<u64, Event>,
    last_sequence: u64,
    last_stream: StreamId,
    gateways: Vec<Gateway>,
    machines: Vec<ControlMachine>,
    /// The network between gateways and control machines, which are distributed evenly over its zones.
    pub network: Network,
    /// Source of the random numbers that do not concern the network.
    pub random: Random,
    published: BTreeMap<Version, Document>,
    measured: Vec<MeasuredVersion>,
    gateway_traffic: Vec<Traffic>,
    machine_traffic: Vec<Traffic>,
    gateway_delays_us: Histogram<u64>,
    fleet_delays_us: Histogram<u64>,
    refused: u64,
    /// Probability that a gateway restarts after it has checked a version and before the version is in force, per
    /// thousand.
    pub restarts_while_applying_per_mille: u64,
}

impl Fleet {
    /// Creates a fleet whose gateways start without a version, at random times within the first second.
    pub fn new(gateways: usize, seed: u64) -> Self {
        let machine = |_| ControlMachine {
            publisher: Some(Publisher::new(Pacing::default())),
            streams: HashMap::new(),
            is_isolated: false,
            next_turn_us: u64::MAX,
        };
        let mut fleet = Self {
            now_us: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_sequence: 0,
            last_stream: 0,
            gateways: Vec::new(),
            machines: (0..MACHINES).map(machine).collect(),
            network: Network::new(seed),
            random: Random::new(seed ^ 0xfa17),
            published: BTreeMap::new(),
            measured: Vec::new(),
            gateway_traffic: (0..gateways).map(|_| Traffic::default()).collect(),
            machine_traffic: (0..MACHINES).map(|_| Traffic::default()).collect(),
            gateway_delays_us: histogram(),
            fleet_delays_us: histogram(),
            refused: 0,
            restarts_while_applying_per_mille: 0,
        };
        for number in 0..gateways {
            fleet.add_gateway(number);
        }
        fleet.schedule_at(MERGE_INTERVAL_US, Event::VersionExchange);
        fleet
    }

    fn add_gateway(&mut self, number: usize) {
        let seed = self.random.next();
        self.gateways.push(Gateway {
            id: GatewayId(format!("gateway-{number:04}")),
            subscriber: Subscriber::new(MACHINES, seed, Version::NONE, Document::default()),
            incarnation: 0,
            stream: None,
            is_connecting: false,
            report: None,
            is_isolated: false,
            is_up: true,
            last_arrival_us: 0,
        });
        let starts_us = self.random.below(SECOND_US);
        self.schedule_at(starts_us, Event::GatewayCheck { gateway: number });
    }

    /// Handles all events of the next `duration_us` microseconds.
    pub fn run_for(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while let Some(Reverse((at_us, sequence))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            if let Some(event) = self.events.remove(&sequence) {
                self.dispatch(event);
            }
        }
        self.now_us = until_us;
    }

    /// Sends a version from the operator to all control machines. The operator is in the zone of the first one.
    pub fn publish(&mut self, version: Version, document: &Document) {
        self.published.insert(version, document.clone());
        for machine in 0..MACHINES {
            let delay_us = self.network.one_way_us(0, machine);
            self.schedule_after(
                delay_us,
                Event::VersionPublished { machine, version, document: document.clone() },
            );
        }
    }

    /// Number of gateways that are connected or connecting to a control machine.
    pub fn stream_count(&self, machine: usize) -> usize {
        let uses_machine = |gateway: &&Gateway| gateway.stream.is_some_and(|(other, _)| other == machine);
        self.gateways.iter().filter(uses_machine).count()
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at_us, self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::StreamOpened { gateway, machine, stream } => {
                self.on_stream_opened(gateway, machine, stream)
            }
            Event::ConnectFailed { gateway, stream } => self.on_connect_failed(gateway, stream),
            Event::MessageArrived { gateway, machine, stream, text } => {
                if self.is_reachable(gateway, machine) {
                    self.on_message(gateway, machine, stream, &text);
                }
            }
            Event::GatewayStarted { gateway, incarnation } => self.on_gateway_started(gateway, incarnation),
            Event::VersionChecked { gateway, incarnation, version, is_valid } => {
                self.on_version_checked(gateway, incarnation, version, is_valid);
            }
            Event::ReportArrived { gateway, machine, report } => {
                if self.is_reachable(gateway, machine) {
                    self.on_report_arrived(gateway, machine, report);
                }
            }
            Event::ReportAcknowledged { gateway, report } => {
                let gateway = &mut self.gateways[gateway];
                gateway.report.take_if(|(sent, _)| *sent == report);
            }
            Event::StreamReset { gateway, stream } => {
                if self.gateways[gateway].stream.is_some_and(|(_, open)| open == stream) {
                    self.disconnect(gateway, false);
                }
            }
            Event::ControlMachineTurn { machine } => self.on_control_machine_turn(machine),
            Event::GatewayCheck { gateway } => self.on_gateway_check(gateway),
            Event::VersionExchange => self.on_version_exchange(),
            Event::VersionReceived { machine, version, document } => {
                self.on_version_received(machine, version, document)
            }
            Event::VersionPublished { machine, version, document } => {
                self.on_version_published(machine, version, document)
            }
        }
    }
}
