//! Random steps of publishers, gateways and the network between them, against a plain model: what was published,
//! and what each gateway has in force.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Random, document};
use serde_json::json;
use wrenhatch_configuration::*;

const MACHINES: usize = 3;
const GATEWAYS: usize = 6;
const SEEDS: u64 = 60;
const STEP_US: u64 = 50_000;
const FAULTY_STEPS: u64 = 1_600;
const QUIET_STEPS: u64 = 1_200;
const SECOND_US: u64 = 1_000_000;
const REPORT_AGAIN_US: u64 = SECOND_US;
const MERGE_EVERY_US: u64 = SECOND_US / 2;

type Stream = u64;

/// Something on its way.
#[derive(Clone)]
enum Parcel {
    Message { gateway: usize, machine: usize, stream: Stream, text: String },
    Report { gateway: usize, machine: usize, text: String },
    Merge { from: usize, to: usize, version: Version, document: Document },
}

/// A version that is being taken over: the gateway does so between two turns.
struct Taking {
    at_us: u64,
    version: Version,
    document: Document,
}

struct Gateway {
    id: GatewayId,
    subscriber: Subscriber,
    stream: Option<(usize, Stream)>,
    taking: Option<Taking>,
    /// Told again until the control machine has heard it.
    report: Option<(Report, u64)>,
    /// The plain model: what is in force.
    has: Version,
}

#[derive(Default)]
struct Machine {
    publisher: Option<Publisher>,
    streams: BTreeMap<usize, (ConnectionId, Stream)>,
}

/// How often what happened, so that no run passes because nothing did.
#[derive(Debug, Default)]
struct Counts {
    taken: usize,
    refused: usize,
    resyncs: usize,
    restarts_while_taking: usize,
    silences: usize,
    stale_machines: usize,
    worst_quiet_us: u64,
}

struct World {
    random: Random,
    now_us: u64,
    gateways: Vec<Gateway>,
    machines: Vec<Machine>,
    network: BTreeMap<(u64, u64), Parcel>,
    parcels: u64,
    streams: u64,
    faulty: bool,
    cut: BTreeSet<(usize, usize)>,
    cut_machines: BTreeSet<(usize, usize)>,
    /// The plain model: what was published.
    published: BTreeMap<Version, Document>,
    file: Document,
    counts: Counts,
}

fn file() -> Document {
    Document::new(json!({ "classes": [{ "name": "lookup" }] })).unwrap()
}

fn is_bad(document: &Document) -> bool {
    document.value().get("bad").is_some()
}

impl World {
    fn new(seed: u64) -> Self {
        let gateway = |number: usize| Gateway {
            id: GatewayId(format!("gw-{number}")),
            subscriber: Subscriber::new(MACHINES, seed * 100 + number as u64, Version::NONE, file()),
            stream: None,
            taking: None,
            report: None,
            has: Version::NONE,
        };
        let machine =
            |_| Machine { publisher: Some(Publisher::new(Pacing::default())), ..Machine::default() };
        Self {
            random: Random::new(seed),
            now_us: 0,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            machines: (0..MACHINES).map(machine).collect(),
            network: BTreeMap::new(),
            parcels: 0,
            streams: 0,
            faulty: true,
            cut: BTreeSet::new(),
            cut_machines: BTreeSet::new(),
            published: BTreeMap::new(),
            file: file(),
            counts: Counts::default(),
        }
    }

    fn run(&mut self) {
        for _ in 0..FAULTY_STEPS {
            self.break_something();
            self.step();
        }
        self.mend_all();
        self.publish(false);
        let quiet_since_us = self.now_us;
        for _ in 0..QUIET_STEPS {
            self.step();
            if !self.all_have_the_newest() {
                self.counts.worst_quiet_us = self.now_us - quiet_since_us;
            }
        }
        assert!(self.all_have_the_newest(), "{:?}", self.machines.iter().map(status).collect::<Vec<_>>());
        self.check_what_operators_are_told();
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        (0..GATEWAYS).for_each(|gateway| self.turn_gateway(gateway));
        (0..MACHINES).for_each(|machine| self.turn_machine(machine));
        self.check_against_the_plain_model();
    }

    fn break_something(&mut self) {
        match self.random.below(400) {
            0..10 => self.publish(false),
            10..14 => self.publish(true),
            14..18 => self.publish_old(),
            18..20 => self.lose_machine(),
            20..24 => self.bring_machine_back(),
            24..30 => self.restart_gateway(),
            30..34 => self.partition(),
            34..38 => self.heal(),
            _ => {}
        }
    }

    fn mend_all(&mut self) {
        self.faulty = false;
        self.heal();
        for _ in 0..1_000 {
            self.bring_machine_back();
        }
        assert!(self.machines.iter().all(|machine| machine.publisher.is_some()));
    }

    /// Publishes a new version on any machine that is up.
    fn publish(&mut self, bad: bool) {
        let machine = self.random.below(MACHINES);
        let version = Version(self.published.keys().last().map_or(0, |version| version.0) + 1);
        let mut value = document(&mut self.random).value().clone();
        value["number"] = json!(version.0);
        if bad {
            value["bad"] = json!(true);
        }
        let document = Document::new(value).unwrap();
        if let Some(publisher) = &mut self.machines[machine].publisher {
            publisher.publish(version, document.clone()).unwrap();
            self.published.insert(version, document);
        } else if !self.faulty {
            unreachable!("all machines are up");
        }
    }

    /// An operator repeats an old number: it must not be taken where it is known to be old.
    fn publish_old(&mut self) {
        let machine = self.random.below(MACHINES);
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        let Some(newest) = publisher.newest().map(|(version, _)| version) else { return };
        let old = Version(newest.0 - self.random.below(3).min(newest.0 as usize) as u64);
        assert!(publisher.publish(old, file()).is_err());
    }

    fn lose_machine(&mut self) {
        let machine = self.random.below(MACHINES);
        self.machines[machine] = Machine::default();
        for gateway in 0..GATEWAYS {
            // Else the gateway has to find out by the silence.
            let is_reset = self.random.chance(50);
            if is_reset && self.gateways[gateway].stream.is_some_and(|(at, _)| at == machine) {
                self.close(gateway);
            }
        }
    }

    /// A machine comes back with any version that there was, or with none.
    fn bring_machine_back(&mut self) {
        let machine = self.random.below(MACHINES);
        if self.machines[machine].publisher.is_some() {
            return;
        }
        let mut publisher = Publisher::new(Pacing::default());
        let older = self.random.below(self.published.len() + 1);
        if let Some((version, document)) = self.published.iter().nth(older) {
            assert_eq!(publisher.merge(*version, document.clone()), MergeResult::Added);
            self.counts.stale_machines += 1;
        }
        self.machines[machine].publisher = Some(publisher);
    }

    /// A gateway starts again from its file, or from what it had kept on disk.
    fn restart_gateway(&mut self) {
        let number = self.random.below(GATEWAYS);
        self.close(number);
        let keeps = self.random.chance(50);
        let seed = self.random.next();
        let gateway = &mut self.gateways[number];
        if gateway.taking.take().is_some() {
            self.counts.restarts_while_taking += 1;
        }
        gateway.report = None;
        gateway.has = if keeps { gateway.has } else { Version::NONE };
        let settings = self.published.get(&gateway.has).cloned().unwrap_or_else(file);
        gateway.subscriber = Subscriber::new(MACHINES, seed, gateway.has, settings);
        if let Some((machine, connection)) = self.stream_at_machine(number) {
            // The machine may learn of the end late, after the gateway has come back.
            if self.random.chance(50) {
                self.leave(machine, number, connection);
            }
        }
    }

    fn partition(&mut self) {
        for gateway in 0..GATEWAYS {
            for machine in 0..MACHINES {
                if self.random.chance(50) {
                    self.cut.insert((gateway, machine));
                }
            }
        }
        for from in 0..MACHINES {
            for to in 0..MACHINES {
                if self.random.chance(50) {
                    self.cut_machines.insert((from, to));
                }
            }
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        self.cut_machines.clear();
    }

    fn is_cut(&self, parcel: &Parcel) -> bool {
        match parcel {
            Parcel::Message { gateway, machine, .. } | Parcel::Report { gateway, machine, .. } => {
                self.cut.contains(&(*gateway, *machine))
            }
            Parcel::Merge { from, to, .. } => self.cut_machines.contains(&(*from, *to)),
        }
    }

    /// Puts something on its way: perhaps never, twice, late, or before what was sent earlier.
    fn send(&mut self, parcel: Parcel) {
        let is_lost = self.is_cut(&parcel) || self.faulty && self.random.chance(8);
        let copies = if is_lost { 0 } else { 1 + usize::from(self.faulty && self.random.chance(10)) };
        for _ in 0..copies {
            let is_late = self.faulty && self.random.chance(15);
            let delay_us = self.random.next() % if is_late { 20 * SECOND_US } else { SECOND_US / 10 };
            self.parcels += 1;
            self.network.insert((self.now_us + delay_us, self.parcels), parcel.clone());
        }
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now_us + 1, 0));
        let due = std::mem::replace(&mut self.network, later);
        for parcel in due.into_values() {
            match parcel {
                Parcel::Message { gateway, machine, stream, text } => {
                    // What is late may belong to an older stream; that it arrives all the same is worse than TCP.
                    let is_stray = self.gateways[gateway].stream != Some((machine, stream));
                    if !is_stray || self.faulty && self.random.chance(30) {
                        self.on_message(gateway, &text);
                    }
                }
                Parcel::Report { machine, text, gateway } => self.on_report(gateway, machine, &text),
                Parcel::Merge { to, version, document, .. } => {
                    if let Some(publisher) = &mut self.machines[to].publisher {
                        assert_ne!(publisher.merge(version, document), MergeResult::Conflict);
                    }
                }
            }
        }
    }

    fn on_message(&mut self, number: usize, text: &str) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        match gateway.subscriber.on_message(now_us, text) {
            SubscriberAction::Nothing => {}
            SubscriberAction::Apply { version, document } => {
                assert!(version > gateway.has, "{version} over {}", gateway.has);
                let published = self.published.get(&version).map(Document::canonical);
                assert_eq!(Some(document.canonical()), published, "{version} is something else");
                let at_us = now_us + self.random.next() % (SECOND_US / 2);
                gateway.taking = Some(Taking { at_us, version, document });
            }
            SubscriberAction::Refused { version, reason } => {
                assert!(is_bad(&self.published[&version]), "{version} is good: {reason}");
                gateway.report = Some((gateway.subscriber.refusal_report(version, &reason), now_us));
            }
            SubscriberAction::Resync => {
                self.counts.resyncs += 1;
                self.close(number);
            }
        }
    }

    fn on_report(&mut self, gateway: usize, machine: usize, text: &str) {
        let Some(publisher) = &mut self.machines[machine].publisher else { return };
        let (id, report) = Report::parse(text).unwrap();
        publisher.report(&id, report.clone());
        // 204: the gateway need not tell it again.
        if self.gateways[gateway].report.as_ref().is_some_and(|(told, _)| *told == report) {
            self.gateways[gateway].report = None;
        }
    }

    fn turn_gateway(&mut self, number: usize) {
        self.take_over(number);
        self.tell(number);
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        if gateway.stream.is_some() && gateway.subscriber.is_silent(now_us) {
            self.counts.silences += 1;
            self.close(number);
        }
        let attempt_us = self.gateways[number].subscriber.next_attempt_us();
        if attempt_us.is_some_and(|at_us| at_us <= now_us) {
            self.open(number);
        }
    }

    fn take_over(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let Some(taking) = gateway.taking.take_if(|taking| taking.at_us <= now_us) else { return };
        let result = if is_bad(&taking.document) { Err("bad".to_owned()) } else { Ok(()) };
        let expected = match &result {
            Ok(()) => Report::Applied { version: taking.version },
            Err(reason) => Report::refused(taking.version, reason, gateway.has),
        };
        if result.is_ok() {
            gateway.has = taking.version;
            self.counts.taken += 1;
        } else {
            self.counts.refused += 1;
        }
        let report = match &result {
            Ok(()) => gateway.subscriber.on_applied(taking.version),
            Err(reason) => gateway.subscriber.on_refused(taking.version, reason),
        };
        assert_eq!(report, expected);
        gateway.report = Some((report, now_us));
    }

    /// Tells a report, and again until it was heard.
    fn tell(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (Some((machine, _)), Some((report, at_us))) = (gateway.stream, &mut gateway.report) else {
            return;
        };
        if *at_us > now_us {
            return;
        }
        *at_us = now_us + REPORT_AGAIN_US;
        let text = report.encode(&gateway.id);
        self.send(Parcel::Report { gateway: number, machine, text });
    }

    fn open(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let machine = gateway.subscriber.server();
        let publisher = self.machines[machine].publisher.as_mut();
        let Some(publisher) = publisher.filter(|_| !self.cut.contains(&(number, machine))) else {
            gateway.subscriber.on_disconnected(now_us);
            return;
        };
        let position = gateway.subscriber.position();
        let connection = publisher.connect(now_us, gateway.id.clone(), position.version, position.digest);
        self.streams += 1;
        gateway.stream = Some((machine, self.streams));
        gateway.subscriber.on_connected(now_us);
        self.machines[machine].streams.insert(number, (connection, self.streams));
    }

    fn close(&mut self, number: usize) {
        if let Some((machine, connection)) = self.stream_at_machine(number) {
            self.leave(machine, number, connection);
        }
        let gateway = &mut self.gateways[number];
        gateway.stream = None;
        gateway.subscriber.on_disconnected(self.now_us);
    }

    fn stream_at_machine(&self, number: usize) -> Option<(usize, ConnectionId)> {
        let (machine, stream) = self.gateways[number].stream?;
        let (connection, at_machine) = self.machines[machine].streams.get(&number)?;
        (*at_machine == stream).then_some((machine, *connection))
    }

    fn leave(&mut self, machine: usize, number: usize, connection: ConnectionId) {
        let id = &self.gateways[number].id;
        if let Some(publisher) = &mut self.machines[machine].publisher {
            publisher.disconnect(id, connection);
        }
    }

    fn turn_machine(&mut self, number: usize) {
        let now_us = self.now_us;
        let Some(publisher) = &mut self.machines[number].publisher else { return };
        let newest = publisher.newest().map(|(version, document)| (version, document.clone()));
        for (id, outgoing) in publisher.due(now_us) {
            let gateway = self.gateways.iter().position(|gateway| gateway.id == id).unwrap();
            let Some((_, stream)) = self.machines[number].streams.get(&gateway) else { continue };
            let parcel = Parcel::Message {
                gateway,
                machine: number,
                stream: *stream,
                text: outgoing.text.to_string(),
            };
            self.send(parcel);
        }
        let Some((version, document)) = newest.filter(|_| now_us % MERGE_EVERY_US == 0) else { return };
        for to in (0..MACHINES).filter(|to| *to != number) {
            self.send(Parcel::Merge { from: number, to, version, document: document.clone() });
        }
    }

    fn check_against_the_plain_model(&self) {
        for gateway in &self.gateways {
            assert_eq!(gateway.subscriber.in_force(), gateway.has);
            let settings = self.published.get(&gateway.has).unwrap_or(&self.file);
            assert_eq!(gateway.subscriber.document().digest(), settings.digest());
            assert!(!is_bad(settings), "{} is in force", gateway.has);
        }
    }

    fn all_have_the_newest(&self) -> bool {
        let newest = self.published.keys().last().copied().unwrap_or_default();
        self.gateways.iter().all(|gateway| gateway.has == newest)
    }

    fn check_what_operators_are_told(&self) {
        let newest = self.published.keys().last().copied().unwrap_or_default();
        let mut told = 0;
        for machine in &self.machines {
            let status = machine.publisher.as_ref().unwrap().status();
            assert_eq!((status.newest, status.conflict), (newest, None));
            told += status.counts().get(&newest).copied().unwrap_or(0);
        }
        assert_eq!(told, GATEWAYS, "each is connected to one machine and known to have the newest");
    }
}

fn status(machine: &Machine) -> Option<Status> {
    machine.publisher.as_ref().map(Publisher::status)
}

#[test]
fn random_steps_agree_with_a_plain_model_and_all_get_to_the_newest() {
    let mut total = Counts::default();
    for seed in 1..=SEEDS {
        let mut world = World::new(seed);
        world.run();
        total.taken += world.counts.taken;
        total.refused += world.counts.refused;
        total.resyncs += world.counts.resyncs;
        total.restarts_while_taking += world.counts.restarts_while_taking;
        total.silences += world.counts.silences;
        total.stale_machines += world.counts.stale_machines;
        total.worst_quiet_us = total.worst_quiet_us.max(world.counts.worst_quiet_us);
    }
    // Else the steps have tried too little.
    assert!(total.taken > 1_000 && total.refused > 200 && total.resyncs > 10, "{total:?}");
    assert!(total.restarts_while_taking > 10 && total.silences > 100, "{total:?}");
    assert!(total.stale_machines > 50, "{total:?}");
    println!("{total:?}");
    // From the end of all faults on: silence, one wait of back-off and the snapshot.
    assert!(total.worst_quiet_us < 20 * SECOND_US, "{total:?}");
}
