//! Gateways, control machines and what is on its way between them, by events in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use hdrhistogram::Histogram;
use wrenhatch_configuration::{
    ConnectionId, Document, GatewayId, MergeResult, Pacing, Publisher, Report, Subscriber, SubscriberAction,
    Version,
};

use super::network::Network;
use super::random::Random;
use super::settings::is_good;
use super::{MACHINES, SECOND_US};
use crate::spread::histogram;

/// A connection that is not answered is given up.
const CONNECT_TIMEOUT_US: u64 = SECOND_US;

/// A gateway looks after its stream so often.
const CHECK_US: u64 = SECOND_US / 4;

/// A report that was not answered is sent again after this.
const REPORT_AGAIN_US: u64 = SECOND_US;

/// A control machine's loop does not turn more often.
const TURN_US: u64 = 1_000;

/// Control machines tell each other which version is their newest so often.
const MERGE_US: u64 = SECOND_US;

/// To check a version and to wait for the end of a turn takes a gateway so long: a whole list took 7.4 ms.
const APPLY_US: u64 = 10_000;

/// Ways of the network until a request is there: SYN, its answer, and the request.
const WAYS_TO_OPEN: usize = 3;

/// Bytes of the headers of a request and its answer, and of the frame of an event; assumed.
const REQUEST_BYTES: u64 = 300;
const FRAME_BYTES: u64 = 20;

type Stream = u64;

/// Something that happens at a time.
#[derive(Debug)]
enum Event {
    /// A stream's request has come to a machine.
    Opened {
        gateway: usize,
        machine: usize,
        stream: Stream,
    },
    /// An attempt has failed, by a refusal or in time.
    NotOpened {
        gateway: usize,
        stream: Stream,
    },
    Message {
        gateway: usize,
        machine: usize,
        stream: Stream,
        text: Arc<str>,
    },
    Started {
        gateway: usize,
        life: u64,
    },
    Applied {
        gateway: usize,
        life: u64,
        version: Version,
        is_good: bool,
    },
    Report {
        gateway: usize,
        machine: usize,
        report: Report,
    },
    ReportAnswered {
        gateway: usize,
        report: Report,
    },
    Closed {
        gateway: usize,
        stream: Stream,
    },
    MachineTurn {
        machine: usize,
    },
    GatewayCheck {
        gateway: usize,
    },
    /// Machines tell each other of their newest versions.
    Exchange,
    Merge {
        machine: usize,
        version: Version,
        document: Document,
    },
    Published {
        machine: usize,
        version: Version,
        document: Document,
    },
}

struct Gateway {
    id: GatewayId,
    subscriber: Subscriber,
    /// Counts starts: what belongs to an earlier life is gone.
    life: u64,
    stream: Option<(usize, Stream)>,
    is_opening: bool,
    report: Option<(Report, u64)>,
    is_cut: bool,
    is_up: bool,
    /// Streams keep order: what is sent arrives after what was sent before.
    last_arrival_us: u64,
}

struct Machine {
    publisher: Option<Publisher>,
    streams: HashMap<GatewayId, (ConnectionId, usize, Stream)>,
    is_cut: bool,
    turn_at_us: u64,
}

/// Bytes by second.
#[derive(Default)]
struct Traffic {
    total: u64,
    second: u64,
    in_second: u64,
    peak: u64,
}

impl Traffic {
    fn add(&mut self, now_us: u64, bytes: u64) {
        let second = now_us / SECOND_US;
        if second != self.second {
            (self.second, self.in_second) = (second, 0);
        }
        self.total += bytes;
        self.in_second += bytes;
        self.peak = self.peak.max(self.in_second);
    }
}

/// A version that is waited for.
struct Awaited {
    version: Version,
    since_us: u64,
    have: Vec<bool>,
    missing: usize,
}

/// What a play has given.
pub struct Play {
    /// From publication until a gateway has it in force. Microseconds.
    pub each: Histogram<u64>,
    /// From publication until all gateways have it. Microseconds.
    pub all: Histogram<u64>,
    /// Versions that not all gateways had at the end.
    pub missed: u64,
    /// Versions that gateways refused.
    pub refused: u64,
    /// Mean bytes a second, of the gateway with the most.
    pub gateway_bytes_per_s: f64,
    /// Bytes in the worst second of the worst gateway.
    pub gateway_peak_bytes: u64,
    /// Mean bytes a second, of the machine with the most.
    pub machine_bytes_per_s: f64,
    /// Bytes in the worst second of the worst machine.
    pub machine_peak_bytes: u64,
}

/// The fleet.
pub struct Fleet {
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    contents: HashMap<u64, Event>,
    scheduled: u64,
    streams: Stream,
    gateways: Vec<Gateway>,
    machines: Vec<Machine>,
    /// The network between all; gateways and machines are spread evenly over its zones.
    pub network: Network,
    /// For faults.
    pub random: Random,
    published: BTreeMap<Version, Document>,
    awaited: Vec<Awaited>,
    gateway_traffic: Vec<Traffic>,
    machine_traffic: Vec<Traffic>,
    each: Histogram<u64>,
    all: Histogram<u64>,
    refused: u64,
    /// A gateway starts again with this chance, of a thousand, when it has checked a version and before it is in force.
    pub restarts_while_applying_per_mille: u64,
}

impl Fleet {
    /// A fleet whose gateways start at any time in the first second, without a version.
    pub fn new(gateways: usize, seed: u64) -> Self {
        let machine = |_| Machine {
            publisher: Some(Publisher::new(Pacing::default())),
            streams: HashMap::new(),
            is_cut: false,
            turn_at_us: u64::MAX,
        };
        let mut fleet = Self {
            now_us: 0,
            events: BinaryHeap::new(),
            contents: HashMap::new(),
            scheduled: 0,
            streams: 0,
            gateways: Vec::new(),
            machines: (0..MACHINES).map(machine).collect(),
            network: Network::new(seed),
            random: Random::new(seed ^ 0xfa17),
            published: BTreeMap::new(),
            awaited: Vec::new(),
            gateway_traffic: (0..gateways).map(|_| Traffic::default()).collect(),
            machine_traffic: (0..MACHINES).map(|_| Traffic::default()).collect(),
            each: histogram(),
            all: histogram(),
            refused: 0,
            restarts_while_applying_per_mille: 0,
        };
        for number in 0..gateways {
            fleet.add_gateway(number);
        }
        fleet.at(MERGE_US, Event::Exchange);
        fleet
    }

    fn add_gateway(&mut self, number: usize) {
        let seed = self.random.next();
        self.gateways.push(Gateway {
            id: GatewayId(format!("gateway-{number:04}")),
            subscriber: Subscriber::new(MACHINES, seed, Version::NONE, Document::default()),
            life: 0,
            stream: None,
            is_opening: false,
            report: None,
            is_cut: false,
            is_up: true,
            last_arrival_us: 0,
        });
        let starts_us = self.random.below(SECOND_US);
        self.at(starts_us, Event::GatewayCheck { gateway: number });
    }

    /// Lets time pass.
    pub fn run_for(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while let Some(Reverse((at_us, number))) = self.events.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.events.pop();
            self.now_us = at_us;
            if let Some(event) = self.contents.remove(&number) {
                self.happen(event);
            }
        }
        self.now_us = until_us;
    }

    /// An operator sends a version to all machines, from the place of the first.
    pub fn publish(&mut self, version: Version, document: &Document) {
        self.published.insert(version, document.clone());
        for machine in 0..MACHINES {
            let way_us = self.network.one_way_us(0, machine);
            self.after(way_us, Event::Published { machine, version, document: document.clone() });
        }
    }

    /// From now on it counts how long gateways take to have a version, or a newer one.
    pub fn await_version(&mut self, version: Version) {
        let have: Vec<bool> =
            self.gateways.iter().map(|gateway| gateway.subscriber.in_force() >= version).collect();
        let missing = have.iter().filter(|has| !**has).count();
        self.awaited.push(Awaited { version, since_us: self.now_us, have, missing });
    }

    /// How many gateways a machine has.
    pub fn streams_of(&self, machine: usize) -> usize {
        let is_there = |gateway: &&Gateway| gateway.stream.is_some_and(|(at, _)| at == machine);
        self.gateways.iter().filter(is_there).count()
    }

    /// A machine's process ends; its streams are reset.
    pub fn lose_machine(&mut self, machine: usize) {
        self.machines[machine].publisher = None;
        self.machines[machine].streams.clear();
        for gateway in 0..self.gateways.len() {
            if let Some((at, stream)) = self.gateways[gateway].stream
                && at == machine
            {
                let way_us = self.network.one_way_us(machine, gateway);
                self.after(way_us, Event::Closed { gateway, stream });
            }
        }
    }

    /// A machine's process comes back with what it had so many versions ago.
    pub fn bring_machine_back(&mut self, machine: usize, versions_ago: usize) {
        let mut publisher = Publisher::new(Pacing::default());
        if let Some((version, document)) = self.published.iter().rev().nth(versions_ago) {
            publisher.merge(*version, document.clone());
        }
        self.machines[machine].publisher = Some(publisher);
    }

    /// Nothing gets from or to a machine, and nobody is told.
    pub fn cut_machine(&mut self, machine: usize) {
        self.machines[machine].is_cut = true;
    }

    /// Nothing gets from or to a gateway, and nobody is told.
    pub fn cut_gateway(&mut self, gateway: usize, is_cut: bool) {
        self.gateways[gateway].is_cut = is_cut;
    }

    /// A gateway ends, and starts again after a while from its own file.
    pub fn restart_gateway(&mut self, number: usize, pause_us: u64) {
        self.close(number, true);
        let seed = self.random.next();
        let gateway = &mut self.gateways[number];
        gateway.life += 1;
        gateway.report = None;
        gateway.is_opening = false;
        gateway.subscriber = Subscriber::new(MACHINES, seed, Version::NONE, Document::default());
        gateway.is_up = false;
        let life = gateway.life;
        self.after(pause_us, Event::Started { gateway: number, life });
        for awaited in self.awaited.iter_mut().filter(|awaited| awaited.have[number] && awaited.missing > 0) {
            awaited.have[number] = false;
            awaited.missing += 1;
        }
    }

    /// Ends the play, whose bytes are counted over its whole time.
    pub fn finish(self) -> Play {
        let seconds = self.now_us as f64 / SECOND_US as f64;
        let mean = |traffic: &[Traffic]| {
            traffic.iter().map(|traffic| traffic.total).max().unwrap_or_default() as f64 / seconds
        };
        let peak = |traffic: &[Traffic]| traffic.iter().map(|traffic| traffic.peak).max().unwrap_or_default();
        Play {
            each: self.each,
            all: self.all,
            missed: self.awaited.iter().filter(|awaited| awaited.missing > 0).count() as u64,
            refused: self.refused,
            gateway_bytes_per_s: mean(&self.gateway_traffic),
            gateway_peak_bytes: peak(&self.gateway_traffic),
            machine_bytes_per_s: mean(&self.machine_traffic),
            machine_peak_bytes: peak(&self.machine_traffic),
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled)));
        self.contents.insert(self.scheduled, event);
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Opened { gateway, machine, stream } => self.on_opened(gateway, machine, stream),
            Event::NotOpened { gateway, stream } => self.on_not_opened(gateway, stream),
            Event::Message { gateway, machine, stream, text } => {
                if self.is_passable(gateway, machine) {
                    self.on_message(gateway, machine, stream, &text);
                }
            }
            Event::Started { gateway, life } => self.on_started(gateway, life),
            Event::Applied { gateway, life, version, is_good } => {
                self.on_applied(gateway, life, version, is_good);
            }
            Event::Report { gateway, machine, report } => {
                if self.is_passable(gateway, machine) {
                    self.on_report(gateway, machine, report);
                }
            }
            Event::ReportAnswered { gateway, report } => {
                let gateway = &mut self.gateways[gateway];
                gateway.report.take_if(|(told, _)| *told == report);
            }
            Event::Closed { gateway, stream } => {
                if self.gateways[gateway].stream.is_some_and(|(_, open)| open == stream) {
                    self.close(gateway, false);
                }
            }
            Event::MachineTurn { machine } => self.on_turn(machine),
            Event::GatewayCheck { gateway } => self.on_check(gateway),
            Event::Exchange => self.on_exchange(),
            Event::Merge { machine, version, document } => self.on_merge(machine, version, document),
            Event::Published { machine, version, document } => self.on_published(machine, version, document),
        }
    }

    fn is_passable(&self, gateway: usize, machine: usize) -> bool {
        !self.gateways[gateway].is_cut && !self.machines[machine].is_cut && self.gateways[gateway].is_up
    }

    fn add_traffic(&mut self, gateway: usize, machine: usize, bytes: u64) {
        self.gateway_traffic[gateway].add(self.now_us, bytes);
        self.machine_traffic[machine].add(self.now_us, bytes);
    }

    /// A gateway opens its stream when it is time to, gives up a silent one, and repeats its report.
    fn on_check(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let mut next_us = now_us + CHECK_US;
        if gateway.is_up {
            if gateway.stream.is_some() && gateway.subscriber.is_silent(now_us) {
                self.close(number, true);
            }
            self.tell(number);
            let gateway = &self.gateways[number];
            match gateway.subscriber.next_attempt_us().filter(|_| !gateway.is_opening) {
                Some(at_us) if at_us <= now_us => self.open(number),
                Some(at_us) => next_us = next_us.min(at_us),
                None => {}
            }
        }
        self.at(next_us, Event::GatewayCheck { gateway: number });
    }

    fn ways_us(&mut self, gateway: usize, machine: usize, ways: usize) -> u64 {
        (0..ways).map(|_| self.network.one_way_us(gateway, machine)).sum()
    }

    fn open(&mut self, number: usize) {
        let machine = self.gateways[number].subscriber.server();
        self.streams += 1;
        let stream = self.streams;
        let gateway = &mut self.gateways[number];
        gateway.is_opening = true;
        gateway.stream = Some((machine, stream));
        if !self.is_passable(number, machine) {
            self.after(CONNECT_TIMEOUT_US, Event::NotOpened { gateway: number, stream });
        } else if self.machines[machine].publisher.is_none() {
            let refused_us = self.ways_us(number, machine, 2);
            self.after(refused_us, Event::NotOpened { gateway: number, stream });
        } else {
            let opened_us = self.ways_us(number, machine, WAYS_TO_OPEN);
            self.after(opened_us, Event::Opened { gateway: number, machine, stream });
        }
    }

    fn on_not_opened(&mut self, number: usize, stream: Stream) {
        if self.gateways[number].stream.is_some_and(|(_, opening)| opening == stream) {
            self.close(number, false);
        }
    }

    fn on_opened(&mut self, number: usize, machine: usize, stream: Stream) {
        let now_us = self.now_us;
        let is_passable = self.is_passable(number, machine);
        let gateway = &mut self.gateways[number];
        if gateway.stream != Some((machine, stream)) {
            return;
        }
        let publisher = self.machines[machine].publisher.as_mut().filter(|_| is_passable);
        let Some(publisher) = publisher else {
            self.close(number, false);
            return;
        };
        gateway.is_opening = false;
        gateway.last_arrival_us = 0;
        gateway.subscriber.on_connected(now_us);
        let position = gateway.subscriber.position();
        let connection = publisher.connect(now_us, gateway.id.clone(), position.version, position.digest);
        let id = gateway.id.clone();
        self.machines[machine].streams.insert(id, (connection, number, stream));
        self.add_traffic(number, machine, REQUEST_BYTES);
        self.wake(machine);
    }

    /// A gateway has no stream any more; a machine that can be reached learns of it.
    fn close(&mut self, number: usize, is_told: bool) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        gateway.is_opening = false;
        let Some((machine, stream)) = gateway.stream.take() else { return };
        gateway.subscriber.on_disconnected(now_us);
        let id = gateway.id.clone();
        if !is_told || !self.is_passable(number, machine) {
            return;
        }
        let at_machine = self.machines[machine].streams.get(&id).copied();
        if let (Some(publisher), Some((connection, _, there))) =
            (&mut self.machines[machine].publisher, at_machine)
            && there == stream
        {
            publisher.disconnect(&id, connection);
        }
    }

    fn on_message(&mut self, number: usize, machine: usize, stream: Stream, text: &str) {
        let now_us = self.now_us;
        self.add_traffic(number, machine, text.len() as u64 + FRAME_BYTES);
        let gateway = &mut self.gateways[number];
        if gateway.stream != Some((machine, stream)) {
            return;
        }
        match gateway.subscriber.on_message(now_us, text) {
            SubscriberAction::Nothing => {}
            SubscriberAction::Apply { version, document } => {
                let life = gateway.life;
                let is_good = is_good(&document);
                self.after(APPLY_US, Event::Applied { gateway: number, life, version, is_good });
            }
            SubscriberAction::Refused { version, reason } => {
                gateway.report = Some((gateway.subscriber.refusal_report(version, &reason), now_us));
                self.tell(number);
            }
            SubscriberAction::Resync => self.close(number, true),
        }
    }

    fn on_started(&mut self, number: usize, life: u64) {
        let gateway = &mut self.gateways[number];
        if gateway.life == life {
            gateway.is_up = true;
        }
    }

    /// A version was tried.
    fn on_applied(&mut self, number: usize, life: u64, version: Version, is_good: bool) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        if gateway.life != life {
            return;
        }
        if self.random.per_mille(self.restarts_while_applying_per_mille) {
            let pause_us = self.random.below(SECOND_US);
            self.restart_gateway(number, pause_us);
            return;
        }
        let report = if is_good {
            gateway.subscriber.on_applied(version)
        } else {
            self.refused += 1;
            gateway.subscriber.on_refused(version, &"aim of class 0 is negative")
        };
        gateway.report = Some((report, now_us));
        self.count(number);
        self.tell(number);
    }

    fn count(&mut self, number: usize) {
        let in_force = self.gateways[number].subscriber.in_force();
        for awaited in &mut self.awaited {
            if awaited.missing == 0 || awaited.have[number] || awaited.version > in_force {
                continue;
            }
            awaited.have[number] = true;
            awaited.missing -= 1;
            let taken_us = self.now_us - awaited.since_us;
            self.each.saturating_record(taken_us);
            if awaited.missing == 0 {
                self.all.saturating_record(taken_us);
            }
        }
    }

    fn tell(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (Some((machine, _)), Some((report, at_us))) = (gateway.stream, &mut gateway.report) else {
            return;
        };
        if *at_us > now_us || gateway.is_opening {
            return;
        }
        *at_us = now_us + REPORT_AGAIN_US;
        let report = report.clone();
        let bytes = report.encode(&gateway.id).len() as u64 + REQUEST_BYTES;
        self.add_traffic(number, machine, bytes);
        let way_us = self.ways_us(number, machine, WAYS_TO_OPEN);
        for late_us in self.network.copies() {
            self.after(way_us + late_us, Event::Report { gateway: number, machine, report: report.clone() });
        }
    }

    fn on_report(&mut self, number: usize, machine: usize, report: Report) {
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        publisher.report(&self.gateways[number].id, report.clone());
        let way_us = self.ways_us(number, machine, 1);
        self.after(way_us, Event::ReportAnswered { gateway: number, report });
        self.wake(machine);
    }

    /// Lets a machine's loop turn when something is due.
    fn wake(&mut self, machine: usize) {
        let earliest_us = self.now_us + TURN_US;
        let machine_ref = &mut self.machines[machine];
        let due_us = machine_ref.publisher.as_ref().and_then(Publisher::next_due_us);
        let Some(at_us) = due_us.map(|due_us| due_us.max(earliest_us)) else { return };
        if at_us < machine_ref.turn_at_us {
            machine_ref.turn_at_us = at_us;
            self.at(at_us, Event::MachineTurn { machine });
        }
    }

    fn on_turn(&mut self, machine: usize) {
        let now_us = self.now_us;
        if self.machines[machine].turn_at_us > now_us {
            return;
        }
        self.machines[machine].turn_at_us = u64::MAX;
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        for (id, outgoing) in publisher.due(now_us) {
            if let Some((_, gateway, stream)) = self.machines[machine].streams.get(&id).copied() {
                self.send(machine, gateway, stream, &outgoing.text);
            }
        }
        self.wake(machine);
    }

    fn send(&mut self, machine: usize, gateway: usize, stream: Stream, text: &Arc<str>) {
        if !self.is_passable(gateway, machine) {
            return;
        }
        let way_us = self.ways_us(gateway, machine, 1);
        let in_order_us = (self.now_us + way_us).max(self.gateways[gateway].last_arrival_us + 1);
        self.gateways[gateway].last_arrival_us = in_order_us;
        for late_us in self.network.copies() {
            let event = Event::Message { gateway, machine, stream, text: text.clone() };
            self.at(in_order_us + late_us, event);
        }
    }

    /// Each machine that is behind another gets the newest version from it.
    fn on_exchange(&mut self) {
        let newest = |machine: &Machine| {
            let publisher = machine.publisher.as_ref().filter(|_| !machine.is_cut)?;
            publisher.newest().map(|(version, document)| (version, document.clone()))
        };
        let best = self.machines.iter().filter_map(newest).max_by_key(|(version, _)| *version);
        if let Some((version, document)) = best {
            for machine in 0..MACHINES {
                let has = newest(&self.machines[machine]).map(|(version, _)| version);
                if !self.machines[machine].is_cut && has < Some(version) {
                    // Asked and answered.
                    let ways_us = 2 * self.network.one_way_us(0, machine);
                    let bytes = document.canonical().len() as u64 + REQUEST_BYTES;
                    self.machine_traffic[machine].add(self.now_us, bytes);
                    self.after(ways_us, Event::Merge { machine, version, document: document.clone() });
                }
            }
        }
        self.after(MERGE_US, Event::Exchange);
    }

    fn on_merge(&mut self, machine: usize, version: Version, document: Document) {
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        let merged = publisher.merge(version, document);
        debug_assert_ne!(merged, MergeResult::Conflict);
        self.wake(machine);
    }

    fn on_published(&mut self, machine: usize, version: Version, document: Document) {
        if self.machines[machine].is_cut {
            return;
        }
        self.machine_traffic[machine].add(self.now_us, document.canonical().len() as u64 + REQUEST_BYTES);
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        // What is older than what the machine has heard of meanwhile does not count any more.
        if publisher.publish(version, document).is_ok() {
            self.wake(machine);
        }
    }
}
