//! A fleet in simulated time: hollow gateways with the gateway's own list reader, registry and core, hollow control
//! machines, and a network between them. Databases exist as entries of the list only, as nothing is asked of them
//! without client traffic.
//!
//! One address leads to all control machines; a router that notices a failure after a while chooses among those that
//! it takes for alive. The gateway knows a single address, so that some such router has to exist for more than one
//! control machine to be of use.

pub mod control;
mod gateway;
mod measure;
mod watch;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use wrenhatch::config::{self, Config, ConfigError};
use wrenhatch::json::{self, JsonField};

use super::bounds::Bounds;
use super::error::HollowError;
use super::events::{Action, Script};
use super::fleet::{self, FleetSize};
use super::list::{COMMENT, COMMENT_PERIOD_US, Database, DatabaseList, STREAM_HEAD};
use super::settings;
use control::{CALL_US, ControlMachine, ControlState, ControlStream, STALLED_US, write_cost_us};
use gateway::HollowGateway;
use measure::{GatewayLoads, InForce};
pub use measure::{Measured, Worst};
use watch::WatchRequest;

/// The number of a connection, never given out twice.
pub type ConnectionId = usize;

/// One way within a zone, between zones of a region and between regions, in microseconds: assumptions.
const LATENCY_US: [u64; 3] = [150, 500, 15_000];
/// Share by which a way may be longer by chance.
const JITTER: f64 = 0.2;
/// From a change of what can be reached until the router acts by it, in microseconds: an assumption.
const ROUTER_DETECTION_US: u64 = 2_000_000;
/// Within this, bytes that a cut held back are sent again once it is over, in microseconds: an assumption.
const RETRANSMISSION_US: u64 = 1_000_000;
/// Gateways of a fleet that is brought up start within this, in microseconds.
const FIRST_STARTS_US: u64 = 10_000_000;
/// Occurrences between two looks at the bounds.
const CHECKED_EVERY: u64 = 50_000;

#[derive(Clone, Debug)]
enum Occurrence {
    Script(usize),
    Measure,
    GatewayStarts(usize),
    Check { gateway: usize, generation: u32 },
    Dialled(ConnectionId),
    Up(ConnectionId),
    Refused(ConnectionId),
    Call { connection: ConnectionId, after: u64 },
    Begin { connection: ConnectionId, after: u64 },
    Comment(ConnectionId),
    ToGateway { connection: ConnectionId, text: Arc<[u8]> },
    EndToGateway(ConnectionId),
    EndToControl(ConnectionId),
    Replicated { machine: usize, changes: usize },
    Route { region: usize, machine: usize },
    Flush(ConnectionId),
}

struct Planned {
    at_us: u64,
    order: u64,
    what: Occurrence,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.order) == (other.at_us, other.order)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}

struct Connection {
    gateway: usize,
    machine: usize,
    /// When the last bytes reach the gateway: later ones don't overtake them.
    arrives_us: u64,
}

struct GatewaySlot {
    running: Option<HollowGateway>,
    generation: u32,
    started_us: u64,
    armed_us: Option<u64>,
    loads: GatewayLoads,
}

/// A fleet in simulated time.
pub struct Model {
    size: FleetSize,
    seed: u64,
    now_us: u64,
    order: u64,
    planned: BinaryHeap<Reverse<Planned>>,
    random: Pcg32,
    gateways: Vec<GatewaySlot>,
    machines: Vec<ControlMachine>,
    connections: Vec<Connection>,
    /// What the router of each region takes each control machine for.
    routed: [Vec<bool>; 2],
    router_detection_us: u64,
    is_cut: bool,
    is_silent: bool,
    changes: Vec<(u64, Vec<Database>)>,
    in_force: InForce,
    calls_in_step: super::load::SlidingMaximum,
}

impl Model {
    /// A fleet whose gateways start in its first ten seconds.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let slot = |_| GatewaySlot {
            running: None,
            generation: 0,
            started_us: 0,
            armed_us: None,
            loads: GatewayLoads::default(),
        };
        let list = DatabaseList::new(size.databases);
        let machine = |number| ControlMachine::new(fleet::zone(number), list.clone());
        let mut model = Self {
            size,
            seed,
            now_us: 0,
            order: 0,
            planned: BinaryHeap::new(),
            random: Pcg32::seed_from_u64(seed),
            gateways: (0..size.gateways).map(slot).collect(),
            machines: (0..size.control).map(machine).collect(),
            connections: Vec::new(),
            routed: [vec![true; size.control], vec![true; size.control]],
            router_detection_us: ROUTER_DETECTION_US,
            is_cut: false,
            is_silent: false,
            changes: Vec::new(),
            in_force: InForce::default(),
            calls_in_step: super::load::SlidingMaximum::new(super::load::TENTH_US),
        };
        for gateway in 0..size.gateways {
            let at_us = model.within(FIRST_STARTS_US);
            model.plan(at_us, Occurrence::GatewayStarts(gateway));
        }
        model
    }

    /// The same with a router that acts so many microseconds behind what happens.
    pub fn with_router_detection(mut self, router_detection_us: u64) -> Self {
        self.router_detection_us = router_detection_us;
        self
    }

    /// Plays a script to its end.
    ///
    /// # Errors
    /// A bound is passed, or the gateways' settings make no sense.
    pub fn run(mut self, script: &Script, bounds: &Bounds) -> Result<Measured, HollowError> {
        self.plan(script.begins_us.saturating_sub(1), Occurrence::Measure);
        for (place, (at_us, _)) in script.actions.iter().enumerate() {
            self.plan(*at_us, Occurrence::Script(place));
        }
        let mut count = 0_u64;
        while let Some(Reverse(planned)) = self.planned.pop() {
            if planned.at_us > script.ends_us {
                break;
            }
            count += 1;
            if count % CHECKED_EVERY == 0 {
                bounds.check(&[std::process::id()])?;
            }
            self.now_us = planned.at_us;
            self.happens(planned.what, script)?;
        }
        Ok(self.measured())
    }

    fn plan(&mut self, at_us: u64, what: Occurrence) {
        self.order += 1;
        self.planned.push(Reverse(Planned { at_us, order: self.order, what }));
    }

    fn within(&mut self, span_us: u64) -> u64 {
        u64::from(self.random.next_u32()) * span_us / u64::from(u32::MAX)
    }

    fn happens(&mut self, what: Occurrence, script: &Script) -> Result<(), HollowError> {
        match what {
            Occurrence::Script(place) => self.act(&script.actions[place].1),
            Occurrence::Measure => self.begin_measurement(),
            Occurrence::GatewayStarts(gateway) => self.start_gateway(gateway)?,
            Occurrence::Check { gateway, generation } => self.check(gateway, generation),
            Occurrence::Dialled(connection) => self.dialled(connection),
            Occurrence::Up(connection) => self.up(connection),
            Occurrence::Refused(connection) | Occurrence::EndToGateway(connection) => self.lost(connection),
            Occurrence::Call { connection, after } => self.called(connection, after),
            Occurrence::Begin { connection, after } => self.begin_stream(connection, after),
            Occurrence::Comment(connection) => self.comment(connection),
            Occurrence::ToGateway { connection, text } => self.received(connection, text),
            Occurrence::EndToControl(connection) => self.end_at_control(connection),
            Occurrence::Replicated { machine, changes } => self.replicated(machine, changes),
            Occurrence::Route { region, machine } => {
                let serves = self.machines[machine].state == ControlState::Serves;
                self.routed[region][machine] =
                    serves && !self.is_apart(region, fleet::region(self.machines[machine].zone));
            }
            Occurrence::Flush(connection) => self.flush(connection),
        }
        Ok(())
    }

    // Scripted actions.

    fn act(&mut self, action: &Action) {
        match action {
            Action::Change(changed) => self.change(changed),
            Action::Control(machine, state) => self.set_control(*machine, *state),
            Action::GatewayVanishes(gateway) => self.gateways[*gateway].running = None,
            Action::GatewayStarts(gateway) => self.plan(self.now_us, Occurrence::GatewayStarts(*gateway)),
            Action::Cut(is_cut) => self.cut(*is_cut),
            Action::ControlLeft(left) => {
                for machine in 0..self.size.control {
                    let state = if machine < *left { ControlState::Serves } else { ControlState::Ended };
                    self.set_control(machine, state);
                }
            }
            Action::EndStreams => self.end_streams(),
            Action::Silent(is_silent) => self.silence(*is_silent),
        }
    }

    fn change(&mut self, changed: &[Database]) {
        self.changes.push((self.now_us, changed.to_vec()));
        for machine in 0..self.size.control {
            self.replicate(machine);
        }
    }

    /// A control machine is told all changes so far, unless it is cut off from the first region, where changes are
    /// decided.
    fn replicate(&mut self, machine: usize) {
        let region = fleet::region(self.machines[machine].zone);
        if self.is_apart(0, region) {
            return;
        }
        let latency_us = self.latency(0, self.machines[machine].zone);
        let changes = self.changes.len();
        self.plan(self.now_us + latency_us, Occurrence::Replicated { machine, changes });
    }

    fn set_control(&mut self, machine: usize, state: ControlState) {
        if self.machines[machine].state == state {
            return;
        }
        let streams = self.machines[machine].end(state);
        if state == ControlState::Ended {
            for connection in streams {
                self.end_to_gateway(connection);
            }
        }
        if state == ControlState::Serves {
            self.replicate(machine);
        }
        self.reroute(machine);
    }

    fn end_streams(&mut self) {
        for machine in 0..self.size.control {
            for connection in self.machines[machine].end(ControlState::Serves) {
                self.end_to_gateway(connection);
            }
        }
    }

    fn silence(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
        if is_silent {
            return;
        }
        let streams: Vec<_> =
            self.machines.iter().flat_map(|machine| machine.streams.keys().copied()).collect();
        for connection in streams {
            self.write(connection, COMMENT.into());
        }
    }

    fn reroute(&mut self, machine: usize) {
        for region in 0..2 {
            self.plan(self.now_us + self.router_detection_us, Occurrence::Route { region, machine });
        }
    }

    fn cut(&mut self, is_cut: bool) {
        self.is_cut = is_cut;
        for machine in 0..self.size.control {
            self.reroute(machine);
            if !is_cut {
                self.replicate(machine);
                let held: Vec<_> = self.machines[machine].streams.keys().copied().collect();
                for connection in held {
                    let after_us = self.within(RETRANSMISSION_US);
                    self.plan(self.now_us + after_us, Occurrence::Flush(connection));
                }
            }
        }
    }

    fn start_gateway(&mut self, gateway: usize) -> Result<(), HollowError> {
        if let Some(connection) = self.gateways[gateway].running.as_ref().and_then(|g| g.watch.connection()) {
            self.end_to_control(connection);
        }
        let config = hollow_configuration(self.size, gateway, self.seed)?;
        let random_seed = u64::from(self.random.next_u32());
        let slot = &mut self.gateways[gateway];
        slot.running = Some(HollowGateway::new(config, random_seed)?);
        slot.generation += 1;
        (slot.started_us, slot.armed_us) = (self.now_us, None);
        self.arm(gateway);
        Ok(())
    }

    // The gateways' side.

    fn arm(&mut self, gateway: usize) {
        let slot = &mut self.gateways[gateway];
        let Some(running) = &slot.running else { return };
        let due_us = running.watch.due_us().max(self.now_us);
        if slot.armed_us.is_none_or(|armed_us| due_us < armed_us) {
            slot.armed_us = Some(due_us);
            let generation = slot.generation;
            self.plan(due_us, Occurrence::Check { gateway, generation });
        }
    }

    fn check(&mut self, gateway: usize, generation: u32) {
        let slot = &mut self.gateways[gateway];
        if slot.generation != generation || slot.armed_us != Some(self.now_us) {
            return;
        }
        slot.armed_us = None;
        self.with_gateway(gateway, |running, now_us, requests| running.check(now_us, requests));
    }

    /// Has a gateway take something in, and does what it asks for.
    fn with_gateway(
        &mut self,
        gateway: usize,
        take: impl FnOnce(&mut HollowGateway, u64, &mut Vec<WatchRequest>),
    ) {
        let slot = &mut self.gateways[gateway];
        let Some(running) = &mut slot.running else { return };
        let (last, events) = (running.watch.last(), running.list_events);
        let mut requests = Vec::new();
        take(running, self.now_us, &mut requests);
        slot.loads.events.add(self.now_us, running.list_events - events);
        let now_last = running.watch.last();
        self.in_force.reached(self.now_us, slot.started_us, last, now_last, &self.changes);
        for request in requests {
            match request {
                WatchRequest::Dial => self.dial(gateway),
                WatchRequest::Close(connection) => self.end_to_control(connection),
            }
        }
        self.arm(gateway);
    }

    fn dial(&mut self, gateway: usize) {
        let region = fleet::region(fleet::zone(gateway));
        let alive: Vec<usize> =
            (0..self.size.control).filter(|machine| self.routed[region][*machine]).collect();
        let chosen = self.random.next_u32() as usize % alive.len().max(1);
        let connection = self.connections.len();
        // Without anybody to lead to, the router drops what comes, as a machine that has vanished does.
        let machine = alive.get(chosen).copied();
        self.connections.push(Connection { gateway, machine: machine.unwrap_or(0), arrives_us: 0 });
        let slot = &mut self.gateways[gateway];
        slot.loads.calls.add(self.now_us, 1);
        self.calls_in_step.add(self.now_us, 1);
        if let Some(running) = &mut slot.running {
            running.watch.dialled(self.now_us, connection);
        }
        if machine.is_some() && self.is_path_open(connection) {
            let latency_us = self.way(connection);
            self.plan(self.now_us + latency_us, Occurrence::Dialled(connection));
        }
    }

    fn up(&mut self, connection: ConnectionId) {
        let gateway = self.connections[connection].gateway;
        if !self.is_current(connection) {
            return self.end_to_control(connection);
        }
        let mut after = 0;
        self.with_gateway(gateway, |running, now_us, _| {
            running.watch.connected(now_us);
            after = running.watch.last();
        });
        let latency_us = self.way(connection);
        self.plan(self.now_us + latency_us, Occurrence::Call { connection, after });
    }

    fn lost(&mut self, connection: ConnectionId) {
        if self.is_current(connection) {
            let gateway = self.connections[connection].gateway;
            self.with_gateway(gateway, |running, now_us, requests| running.lost(now_us, requests));
        }
    }

    fn received(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        if !self.is_path_open(connection) {
            return self.hold(connection, text);
        }
        if !self.is_current(connection) {
            // The gateway has closed this connection: it answers with a reset.
            return self.end_to_control(connection);
        }
        let gateway = self.connections[connection].gateway;
        self.gateways[gateway].loads.bytes.add(self.now_us, text.len() as u64);
        self.with_gateway(gateway, |running, now_us, requests| running.received(now_us, &text, requests));
    }

    // The control machines' side.

    fn dialled(&mut self, connection: ConnectionId) {
        let latency_us = self.way(connection);
        match self.machine_of(connection).state {
            ControlState::Serves => self.plan(self.now_us + latency_us, Occurrence::Up(connection)),
            ControlState::Ended => self.plan(self.now_us + latency_us, Occurrence::Refused(connection)),
            ControlState::Vanished => {}
        }
    }

    fn called(&mut self, connection: ConnectionId, after: u64) {
        let now_us = self.now_us;
        match self.machine_of(connection).state {
            ControlState::Serves => {
                let done_us = self.machine_of(connection).work(now_us, CALL_US);
                self.plan(done_us, Occurrence::Begin { connection, after });
            }
            ControlState::Ended => self.end_to_gateway(connection),
            ControlState::Vanished => {}
        }
    }

    fn begin_stream(&mut self, connection: ConnectionId, after: u64) {
        if self.machine_of(connection).state != ControlState::Serves {
            return;
        }
        let now_us = self.now_us;
        self.machine_of(connection).accept(now_us, connection, after);
        self.write(connection, STREAM_HEAD.into());
        self.tell(connection);
        self.plan(now_us + COMMENT_PERIOD_US, Occurrence::Comment(connection));
    }

    /// Writes all events that the stream has not been told.
    fn tell(&mut self, connection: ConnectionId) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        let Some(stream) = machine.streams.get_mut(&connection) else { return };
        let events = machine.list.events(stream.told);
        if let Some((number, _)) = events.last() {
            stream.told = *number;
        }
        machine.events.add(now_us, events.len() as u64);
        machine.event_bytes += events.iter().map(|(_, text)| text.len() as u64).sum::<u64>();
        for (_, text) in events {
            self.write(connection, text);
        }
    }

    fn comment(&mut self, connection: ConnectionId) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        let Some(stream) = machine.streams.get(&connection) else { return };
        if stream.stalled_since_us.is_some_and(|since_us| now_us >= since_us + STALLED_US) {
            machine.streams.remove(&connection);
            return;
        }
        if !self.is_silent {
            self.write(connection, COMMENT.into());
        }
        self.plan(now_us + COMMENT_PERIOD_US, Occurrence::Comment(connection));
    }

    fn replicated(&mut self, machine: usize, changes: usize) {
        if self.machines[machine].state != ControlState::Serves {
            return;
        }
        let known = self.machines[machine].list.last() as usize - 1;
        for (_, changed) in self.changes.iter().take(changes).skip(known) {
            self.machines[machine].list.change(changed);
        }
        let streams: Vec<_> = self.machines[machine].streams.keys().copied().collect();
        for connection in streams {
            self.tell(connection);
        }
    }

    fn end_at_control(&mut self, connection: ConnectionId) {
        self.machine_of(connection).streams.remove(&connection);
    }

    // The network.

    fn write(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        machine.bytes.add(now_us, text.len() as u64);
        let done_us = machine.work(now_us, write_cost_us(text.len()));
        if !self.is_path_open(connection) {
            return self.hold(connection, text);
        }
        let arrives_us = (done_us + self.way(connection)).max(self.connections[connection].arrives_us);
        self.connections[connection].arrives_us = arrives_us;
        self.plan(arrives_us, Occurrence::ToGateway { connection, text });
    }

    fn hold(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        if let Some(stream) = machine.streams.get_mut(&connection) {
            stream.stalled_since_us.get_or_insert(now_us);
            stream.unsent.push(text);
            machine.note_unsent();
        }
    }

    fn flush(&mut self, connection: ConnectionId) {
        if !self.is_path_open(connection) {
            return;
        }
        let Some(stream) = self.machine_of(connection).streams.get_mut(&connection) else { return };
        let ControlStream { unsent, stalled_since_us, .. } = stream;
        *stalled_since_us = None;
        for text in std::mem::take(unsent) {
            let arrives_us = self.now_us + self.way(connection);
            let arrives_us = arrives_us.max(self.connections[connection].arrives_us);
            self.connections[connection].arrives_us = arrives_us;
            self.plan(arrives_us, Occurrence::ToGateway { connection, text });
        }
    }

    fn end_to_gateway(&mut self, connection: ConnectionId) {
        if self.is_path_open(connection) {
            let arrives_us = self.now_us + self.way(connection);
            let arrives_us = arrives_us.max(self.connections[connection].arrives_us);
            self.plan(arrives_us, Occurrence::EndToGateway(connection));
        }
    }

    fn end_to_control(&mut self, connection: ConnectionId) {
        if self.is_path_open(connection) {
            let latency_us = self.way(connection);
            self.plan(self.now_us + latency_us, Occurrence::EndToControl(connection));
        }
    }

    fn machine_of(&mut self, connection: ConnectionId) -> &mut ControlMachine {
        &mut self.machines[self.connections[connection].machine]
    }

    fn is_current(&self, connection: ConnectionId) -> bool {
        let running = &self.gateways[self.connections[connection].gateway].running;
        running.as_ref().is_some_and(|gateway| gateway.watch.connection() == Some(connection))
    }

    fn is_apart(&self, one: usize, other: usize) -> bool {
        self.is_cut && one != other
    }

    fn is_path_open(&self, connection: ConnectionId) -> bool {
        let Connection { gateway, machine, .. } = &self.connections[connection];
        let (from, to) = (fleet::zone(*gateway), self.machines[*machine].zone);
        self.gateways[*gateway].running.is_some()
            && self.machines[*machine].state != ControlState::Vanished
            && !self.is_apart(fleet::region(from), fleet::region(to))
    }

    /// How long a message of this connection takes, either way.
    fn way(&mut self, connection: ConnectionId) -> u64 {
        let Connection { gateway, machine, .. } = &self.connections[connection];
        let (from, to) = (fleet::zone(*gateway), self.machines[*machine].zone);
        self.latency(from, to)
    }

    fn latency(&mut self, from: usize, to: usize) -> u64 {
        let apart = usize::from(from != to) + usize::from(fleet::region(from) != fleet::region(to));
        let least_us = LATENCY_US[apart];
        least_us + self.within((least_us as f64 * JITTER) as u64)
    }
}

/// The configuration of a hollow gateway, read by the gateway's own reader.
fn hollow_configuration(size: FleetSize, number: usize, seed: u64) -> Result<Config, HollowError> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = settings::configuration(size, number, seed, nowhere).to_string();
    let path = "configuration";
    let json = json::parse(&text, path).map_err(ConfigError::from)?;
    Ok(config::read(&JsonField::root(&json, path))?)
}
