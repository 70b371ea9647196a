//! Compares publishers and subscribers on a faulty simulated network with a simple model of the published versions
//! and the version in force at each gateway. Guards convergence after all faults have ended.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Random, document};
use serde_json::json;
use wrenhatch_configuration::*;

const SERVERS: usize = 3;
const GATEWAYS: usize = 6;
const SEEDS: u64 = 60;
const STEP_US: u64 = 50_000;
const FAULTY_STEPS: u64 = 1_600;
const FAULT_FREE_STEPS: u64 = 1_200;
const SECOND_US: u64 = 1_000_000;
const REPORT_RETRY_US: u64 = SECOND_US;
const MERGE_INTERVAL_US: u64 = SECOND_US / 2;

type StreamId = u64;

/// A message in flight on the simulated network.
#[derive(Clone)]
enum Packet {
    Message { gateway: usize, server: usize, stream: StreamId, text: String },
    Report { gateway: usize, server: usize, text: String },
    Merge { from: usize, to: usize, version: Version, document: Document },
}

/// A version that a gateway is applying. The result is available at `at_us`.
struct Applying {
    at_us: u64,
    version: Version,
    document: Document,
}

struct Gateway {
    id: GatewayId,
    subscriber: Subscriber,
    stream: Option<(usize, StreamId)>,
    applying: Option<Applying>,
    /// Unacknowledged report and the time of its next attempt.
    report: Option<(Report, u64)>,
    /// Version in force according to the model.
    in_force: Version,
}

#[derive(Default)]
struct Server {
    publisher: Option<Publisher>,
    streams: BTreeMap<usize, (ConnectionId, StreamId)>,
}

/// Counts of events, to check that the simulation exercises all kinds.
#[derive(Debug, Default)]
struct EventCounts {
    applied: usize,
    refused: usize,
    resyncs: usize,
    restarts_while_applying: usize,
    stream_timeouts: usize,
    /// Restarts of a server with a published version, which is not always the newest.
    stale_servers: usize,
    longest_convergence_us: u64,
}

struct Simulation {
    random: Random,
    now_us: u64,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    /// Packets in flight, by delivery time in microseconds and sequence number.
    network: BTreeMap<(u64, u64), Packet>,
    packets_sent: u64,
    streams_opened: u64,
    is_faulty: bool,
    /// Pairs of a gateway and a server that cannot reach each other.
    partitioned: BTreeSet<(usize, usize)>,
    /// Pairs of servers of which the first cannot send to the second.
    partitioned_servers: BTreeSet<(usize, usize)>,
    /// All published versions, according to the model.
    published: BTreeMap<Version, Document>,
    file_settings: Document,
    counts: EventCounts,
}

/// Settings in the configuration file of each gateway.
fn file_settings() -> Document {
    Document::new(json!({ "classes": [{ "name": "lookup" }] })).unwrap()
}

fn is_invalid(document: &Document) -> bool {
    document.value().get("bad").is_some()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let gateway = |number: usize| Gateway {
            id: GatewayId(format!("gw-{number}")),
            subscriber: Subscriber::new(SERVERS, seed * 100 + number as u64, Version::NONE, file_settings()),
            stream: None,
            applying: None,
            report: None,
            in_force: Version::NONE,
        };
        let server = |_| Server { publisher: Some(Publisher::new(Pacing::default())), ..Server::default() };
        Self {
            random: Random::new(seed),
            now_us: 0,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            servers: (0..SERVERS).map(server).collect(),
            network: BTreeMap::new(),
            packets_sent: 0,
            streams_opened: 0,
            is_faulty: true,
            partitioned: BTreeSet::new(),
            partitioned_servers: BTreeSet::new(),
            published: BTreeMap::new(),
            file_settings: file_settings(),
            counts: EventCounts::default(),
        }
    }

    fn run(&mut self) {
        for _ in 0..FAULTY_STEPS {
            self.inject_event();
            self.step();
        }
        self.repair_all();
        self.publish(false);
        let faults_ended_us = self.now_us;
        for _ in 0..FAULT_FREE_STEPS {
            self.step();
            if !self.all_have_the_newest_version() {
                self.counts.longest_convergence_us = self.now_us - faults_ended_us;
            }
        }
        assert!(
            self.all_have_the_newest_version(),
            "{:?}",
            self.servers.iter().map(status).collect::<Vec<_>>()
        );
        self.check_status();
    }

    fn step(&mut self) {
        self.now_us += STEP_US;
        self.deliver();
        (0..GATEWAYS).for_each(|gateway| self.step_gateway(gateway));
        (0..SERVERS).for_each(|server| self.step_server(server));
        self.check_against_the_model();
    }

    /// Publishes a version or injects a fault, with some probability.
    fn inject_event(&mut self) {
        match self.random.below(400) {
            0..10 => self.publish(false),
            10..14 => self.publish(true),
            14..18 => self.publish_old_number(),
            18..20 => self.crash_server(),
            20..24 => self.restart_server(),
            24..30 => self.restart_gateway(),
            30..34 => self.partition(),
            34..38 => self.heal(),
            _ => {}
        }
    }

    fn repair_all(&mut self) {
        self.is_faulty = false;
        self.heal();
        for _ in 0..1_000 {
            self.restart_server();
        }
        assert!(self.servers.iter().all(|server| server.publisher.is_some()));
    }

    /// Publishes a new version on a random server, if that server is up.
    fn publish(&mut self, is_invalid: bool) {
        let server = self.random.below(SERVERS);
        let version = Version(self.published.keys().last().map_or(0, |version| version.0) + 1);
        let mut value = document(&mut self.random).value().clone();
        value["number"] = json!(version.0);
        if is_invalid {
            value["bad"] = json!(true);
        }
        let document = Document::new(value).unwrap();
        if let Some(publisher) = &mut self.servers[server].publisher {
            publisher.publish(version, document.clone()).unwrap();
            self.published.insert(version, document);
        } else if !self.is_faulty {
            unreachable!("all servers are up");
        }
    }

    /// Publishes other settings under the newest version number of a server or an older one, which must be rejected.
    fn publish_old_number(&mut self) {
        let server = self.random.below(SERVERS);
        let Some(publisher) = &mut self.servers[server].publisher else { return };
        let Some(newest) = publisher.newest().map(|(version, _)| version) else { return };
        let old = Version(newest.0 - self.random.below(3).min(newest.0 as usize) as u64);
        assert!(publisher.publish(old, file_settings()).is_err());
    }

    fn crash_server(&mut self) {
        let server = self.random.below(SERVERS);
        self.servers[server] = Server::default();
        for gateway in 0..GATEWAYS {
            // Without a reset, the gateway must detect the failure by the stream timeout.
            let is_reset = self.random.chance(50);
            if is_reset && self.gateways[gateway].stream.is_some_and(|(at, _)| at == server) {
                self.close(gateway);
            }
        }
    }

    /// Restarts a random server, if it is down, with a random published version or without versions.
    fn restart_server(&mut self) {
        let server = self.random.below(SERVERS);
        if self.servers[server].publisher.is_some() {
            return;
        }
        let mut publisher = Publisher::new(Pacing::default());
        let index = self.random.below(self.published.len() + 1);
        if let Some((version, document)) = self.published.iter().nth(index) {
            assert_eq!(publisher.merge(*version, document.clone()), MergeResult::Added);
            self.counts.stale_servers += 1;
        }
        self.servers[server].publisher = Some(publisher);
    }

    /// Restarts a gateway with the settings of its file or with the stored version in force.
    fn restart_gateway(&mut self) {
        let number = self.random.below(GATEWAYS);
        self.close(number);
        let keeps_version = self.random.chance(50);
        let seed = self.random.next();
        let gateway = &mut self.gateways[number];
        if gateway.applying.take().is_some() {
            self.counts.restarts_while_applying += 1;
        }
        gateway.report = None;
        gateway.in_force = if keeps_version { gateway.in_force } else { Version::NONE };
        let settings = self.published.get(&gateway.in_force).cloned().unwrap_or_else(file_settings);
        gateway.subscriber = Subscriber::new(SERVERS, seed, gateway.in_force, settings);
        if let Some((server, connection)) = self.stream_at_server(number) {
            // Not reached: `close` has removed the gateway's stream, so that `stream_at_server` returns `None`.
            if self.random.chance(50) {
                self.disconnect(server, number, connection);
            }
        }
    }

    fn partition(&mut self) {
        for gateway in 0..GATEWAYS {
            for server in 0..SERVERS {
                if self.random.chance(50) {
                    self.partitioned.insert((gateway, server));
                }
            }
        }
        for from in 0..SERVERS {
            for to in 0..SERVERS {
                if self.random.chance(50) {
                    self.partitioned_servers.insert((from, to));
                }
            }
        }
    }

    fn heal(&mut self) {
        self.partitioned.clear();
        self.partitioned_servers.clear();
    }

    fn is_partitioned(&self, packet: &Packet) -> bool {
        match packet {
            Packet::Message { gateway, server, .. } | Packet::Report { gateway, server, .. } => {
                self.partitioned.contains(&(*gateway, *server))
            }
            Packet::Merge { from, to, .. } => self.partitioned_servers.contains(&(*from, *to)),
        }
    }

    /// Sends a packet. Partitions drop packets, and other faults can drop, duplicate, delay or reorder them.
    fn send(&mut self, packet: Packet) {
        let is_lost = self.is_partitioned(&packet) || self.is_faulty && self.random.chance(8);
        let copies = if is_lost { 0 } else { 1 + usize::from(self.is_faulty && self.random.chance(10)) };
        for _ in 0..copies {
            let is_late = self.is_faulty && self.random.chance(15);
            let delay_us = self.random.next() % if is_late { 20 * SECOND_US } else { SECOND_US / 10 };
            self.packets_sent += 1;
            self.network.insert((self.now_us + delay_us, self.packets_sent), packet.clone());
        }
    }

    fn deliver(&mut self) {
        let later = self.network.split_off(&(self.now_us + 1, 0));
        let due = std::mem::replace(&mut self.network, later);
        for packet in due.into_values() {
            match packet {
                Packet::Message { gateway, server, stream, text } => {
                    // Late messages can belong to an older stream. Unlike TCP, the simulated network can still
                    // deliver them.
                    let is_stray = self.gateways[gateway].stream != Some((server, stream));
                    if !is_stray || self.is_faulty && self.random.chance(30) {
                        self.on_message(gateway, &text);
                    }
                }
                Packet::Report { server, text, gateway } => self.on_report(gateway, server, &text),
                Packet::Merge { to, version, document, .. } => {
                    if let Some(publisher) = &mut self.servers[to].publisher {
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
                assert!(version > gateway.in_force, "version {version} replaces {}", gateway.in_force);
                let published = self.published.get(&version).map(Document::canonical);
                assert_eq!(
                    Some(document.canonical()),
                    published,
                    "version {version} differs from the published document"
                );
                let at_us = now_us + self.random.next() % (SECOND_US / 2);
                gateway.applying = Some(Applying { at_us, version, document });
            }
            SubscriberAction::Refused { version, reason } => {
                assert!(
                    is_invalid(&self.published[&version]),
                    "valid version {version} was refused: {reason}"
                );
                gateway.report = Some((gateway.subscriber.refusal_report(version, &reason), now_us));
            }
            SubscriberAction::Resync => {
                self.counts.resyncs += 1;
                self.close(number);
            }
        }
    }

    fn on_report(&mut self, gateway: usize, server: usize, text: &str) {
        let Some(publisher) = &mut self.servers[server].publisher else { return };
        let (id, report) = Report::parse(text).unwrap();
        publisher.report(&id, report.clone());
        // The server accepts the report with status 204, after which the gateway stops sending it.
        if self.gateways[gateway].report.as_ref().is_some_and(|(sent, _)| *sent == report) {
            self.gateways[gateway].report = None;
        }
    }

    fn step_gateway(&mut self, number: usize) {
        self.finish_applying(number);
        self.send_report(number);
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        if gateway.stream.is_some() && gateway.subscriber.is_timed_out(now_us) {
            self.counts.stream_timeouts += 1;
            self.close(number);
        }
        let attempt_us = self.gateways[number].subscriber.next_attempt_us();
        if attempt_us.is_some_and(|at_us| at_us <= now_us) {
            self.open(number);
        }
    }

    fn finish_applying(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let Some(applying) = gateway.applying.take_if(|applying| applying.at_us <= now_us) else { return };
        let result = if is_invalid(&applying.document) { Err("bad".to_owned()) } else { Ok(()) };
        let expected = match &result {
            Ok(()) => Report::Applied { version: applying.version },
            Err(reason) => Report::refused(applying.version, reason, gateway.in_force),
        };
        if result.is_ok() {
            gateway.in_force = applying.version;
            self.counts.applied += 1;
        } else {
            self.counts.refused += 1;
        }
        let report = match &result {
            Ok(()) => gateway.subscriber.on_applied(applying.version),
            Err(reason) => gateway.subscriber.on_refused(applying.version, reason),
        };
        assert_eq!(report, expected);
        gateway.report = Some((report, now_us));
    }

    /// Sends the report of a gateway, repeatedly until a server accepts it.
    fn send_report(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (Some((server, _)), Some((report, at_us))) = (gateway.stream, &mut gateway.report) else {
            return;
        };
        if *at_us > now_us {
            return;
        }
        *at_us = now_us + REPORT_RETRY_US;
        let text = report.encode(&gateway.id);
        self.send(Packet::Report { gateway: number, server, text });
    }

    fn open(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let server = gateway.subscriber.server();
        let publisher = self.servers[server].publisher.as_mut();
        let Some(publisher) = publisher.filter(|_| !self.partitioned.contains(&(number, server))) else {
            gateway.subscriber.on_disconnected(now_us);
            return;
        };
        let position = gateway.subscriber.position();
        let connection = publisher.connect(now_us, gateway.id.clone(), position.version, position.digest);
        self.streams_opened += 1;
        gateway.stream = Some((server, self.streams_opened));
        gateway.subscriber.on_connected(now_us);
        self.servers[server].streams.insert(number, (connection, self.streams_opened));
    }

    fn close(&mut self, number: usize) {
        if let Some((server, connection)) = self.stream_at_server(number) {
            self.disconnect(server, number, connection);
        }
        let gateway = &mut self.gateways[number];
        gateway.stream = None;
        gateway.subscriber.on_disconnected(self.now_us);
    }

    fn stream_at_server(&self, number: usize) -> Option<(usize, ConnectionId)> {
        let (server, stream) = self.gateways[number].stream?;
        let (connection, at_server) = self.servers[server].streams.get(&number)?;
        (*at_server == stream).then_some((server, *connection))
    }

    fn disconnect(&mut self, server: usize, number: usize, connection: ConnectionId) {
        let id = &self.gateways[number].id;
        if let Some(publisher) = &mut self.servers[server].publisher {
            publisher.disconnect(id, connection);
        }
    }

    fn step_server(&mut self, number: usize) {
        let now_us = self.now_us;
        let Some(publisher) = &mut self.servers[number].publisher else { return };
        let newest = publisher.newest().map(|(version, document)| (version, document.clone()));
        for (id, outgoing) in publisher.due_messages(now_us) {
            let gateway = self.gateways.iter().position(|gateway| gateway.id == id).unwrap();
            let Some((_, stream)) = self.servers[number].streams.get(&gateway) else { continue };
            let packet =
                Packet::Message { gateway, server: number, stream: *stream, text: outgoing.text.to_string() };
            self.send(packet);
        }
        let Some((version, document)) = newest.filter(|_| now_us % MERGE_INTERVAL_US == 0) else { return };
        for to in (0..SERVERS).filter(|to| *to != number) {
            self.send(Packet::Merge { from: number, to, version, document: document.clone() });
        }
    }

    fn check_against_the_model(&self) {
        for gateway in &self.gateways {
            assert_eq!(gateway.subscriber.in_force(), gateway.in_force);
            let settings = self.published.get(&gateway.in_force).unwrap_or(&self.file_settings);
            assert_eq!(gateway.subscriber.document().digest(), settings.digest());
            assert!(!is_invalid(settings), "invalid version {} is in force", gateway.in_force);
        }
    }

    fn all_have_the_newest_version(&self) -> bool {
        let newest = self.published.keys().last().copied().unwrap_or_default();
        self.gateways.iter().all(|gateway| gateway.in_force == newest)
    }

    fn check_status(&self) {
        let newest = self.published.keys().last().copied().unwrap_or_default();
        let mut up_to_date = 0;
        for server in &self.servers {
            let status = server.publisher.as_ref().unwrap().status();
            assert_eq!((status.newest, status.conflict), (newest, None));
            up_to_date += status.connected_per_version().get(&newest).copied().unwrap_or(0);
        }
        assert_eq!(
            up_to_date, GATEWAYS,
            "each gateway must be connected to one server, with the newest version in force"
        );
    }
}

fn status(server: &Server) -> Option<Status> {
    server.publisher.as_ref().map(Publisher::status)
}

#[test]
fn gateways_agree_with_the_model_and_converge_to_the_newest_version() {
    let mut total = EventCounts::default();
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        total.applied += simulation.counts.applied;
        total.refused += simulation.counts.refused;
        total.resyncs += simulation.counts.resyncs;
        total.restarts_while_applying += simulation.counts.restarts_while_applying;
        total.stream_timeouts += simulation.counts.stream_timeouts;
        total.stale_servers += simulation.counts.stale_servers;
        total.longest_convergence_us =
            total.longest_convergence_us.max(simulation.counts.longest_convergence_us);
    }
    // The simulation must exercise all kinds of events.
    assert!(total.applied > 1_000 && total.refused > 200 && total.resyncs > 10, "{total:?}");
    assert!(total.restarts_while_applying > 10 && total.stream_timeouts > 100, "{total:?}");
    assert!(total.stale_servers > 50, "{total:?}");
    println!("{total:?}");
    // After the last fault, convergence can take a stream timeout, a backoff delay and the transfer of a snapshot.
    assert!(total.longest_convergence_us < 20 * SECOND_US, "{total:?}");
}
