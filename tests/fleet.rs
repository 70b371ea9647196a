//! Simulated fleets of 1 to 400 gateways in front of shared engines, with random settings and faults at fixed
//! seeds, against an independent checker of the rules.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use workload_manager::*;

const TICK_SECONDS: f64 = 0.1;
/// Time during which requests arrive.
const ARRIVAL_SECONDS: f64 = 12.0;
/// Duration of a simulation: the time of arrivals, and the longest time to a deadline.
const RUN_SECONDS: f64 = 24.0;

fn draw(rng: &mut Pcg32, below: u32) -> u32 {
    rng.next_u32() % below
}

struct PendingRequest {
    class: usize,
    deadline: f64,
    /// Engine, start time and outcome of each attempt.
    attempts: Vec<(u32, f64, Option<Outcome>)>,
    answered: bool,
}

impl PendingRequest {
    /// Engine and start time of the first attempt that may have run.
    fn first_possible_run(&self) -> Option<(u32, f64)> {
        let proves_not_run =
            |how: Outcome| matches!(how, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent);
        self.attempts
            .iter()
            .find(|(.., outcome)| !outcome.is_some_and(proves_not_run))
            .map(|(engine, at, _)| (*engine, *at))
    }
}

/// One gateway with its view of the endpoint list, its requests and its attempts in flight.
struct Instance {
    gateway: WorkloadManager,
    known_states: BTreeMap<u32, EndpointState>,
    /// Endpoint list updates and their times of delivery, in order of delivery.
    list_updates: Vec<(f64, Vec<EndpointEntry>)>,
    requests: BTreeMap<u64, PendingRequest>,
    timers: Vec<(f64, u64)>,
    /// End time, request, attempt, engine and outcome.
    in_flight: Vec<(f64, u64, u32, u32, Outcome)>,
}

struct Fleet {
    s: Settings,
    /// Work of a request of each class, in seconds.
    work: Vec<f64>,
    engines: BTreeMap<u32, EndpointEntry>,
    instances: Vec<Instance>,
    /// Time and work of each attempt, by engine, for the engines that start during the simulation.
    warming: BTreeMap<u32, Vec<(f64, f64)>>,
    /// Number of attempts sent of each class.
    sent: Vec<u64>,
    rng: Pcg32,
}

impl Fleet {
    fn new(gateways: u32, engines: u32, zones: u32, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut s = settings();
        s.gateways = gateways;
        s.machine_types[0].memory_mb = 32_000.0;
        s.capabilities.cancels_attempts = draw(&mut rng, 2) == 0;
        s.capabilities.progress_period = if draw(&mut rng, 2) == 0 { 1.0 } else { 0.0 };
        let idempotency_kinds = [
            Idempotency::Idempotent,
            Idempotency::NotIdempotent,
            Idempotency::Keyed { scope: IdempotencyScope::All, window: 5.0 },
            Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 5.0 },
            Idempotency::Keyed { scope: IdempotencyScope::Cell, window: 5.0 },
        ];
        s.classes = vec![class(0.6, 1, 3.0), class(2.0, 4, 10.0), class(4.0, 2, 12.0), class(2.0, 4, 10.0)];
        for (n, c) in s.classes.iter_mut().enumerate() {
            c.idempotency = idempotency_kinds[draw(&mut rng, 5) as usize];
            // The last class is allowed in one zone only.
            c.allowed_zones = (n == 3).then(|| vec![ZoneId(draw(&mut rng, zones) as usize)]);
        }
        s.classes[2] =
            Class { idempotency: Idempotency::NotIdempotent, is_load: true, ..s.classes[2].clone() };
        let entry = |id: u32| EndpointEntry {
            zone: ZoneId((id % zones) as usize),
            cell: u64::from(id % 7),
            ..engine(id)
        };
        let engines: BTreeMap<u32, EndpointEntry> = (0..engines).map(|id| (id, entry(id))).collect();
        let mut fleet = Self {
            work: vec![0.1, 3.0, 3.0, 3.0],
            sent: vec![0; s.classes.len()],
            s,
            engines,
            instances: Vec::new(),
            warming: BTreeMap::new(),
            rng,
        };
        for n in 0..gateways {
            let instance = fleet.start(n, 0.0);
            fleet.instances.push(instance);
        }
        fleet
    }

    /// Creates a gateway without state that receives the current endpoint list at once.
    fn start(&mut self, n: u32, now: f64) -> Instance {
        let zones = 1 + self.engines.values().map(|e| e.zone.0).max().unwrap_or(0);
        let s = Settings { zone: Some(ZoneId(n as usize % zones)), ..self.s.clone() };
        let gateway = WorkloadManager::new(s, u64::from(self.rng.next_u32())).unwrap();
        let list_updates = vec![(now, self.engines.values().cloned().collect())];
        Instance {
            gateway,
            known_states: BTreeMap::new(),
            list_updates,
            requests: BTreeMap::new(),
            timers: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Publishes a change of the endpoint list. It reaches each gateway after a random delay of less than
    /// 2 s, and not before earlier changes.
    fn publish(&mut self, now: f64, entry: &EndpointEntry) {
        self.engines.insert(entry.engine.0, entry.clone());
        for instance in &mut self.instances {
            let delivered_at = now + f64::from(draw(&mut self.rng, 20)) * 0.1;
            let due = instance.list_updates.last().map_or(delivered_at, |(at, _)| delivered_at.max(*at));
            instance.list_updates.push((due, vec![entry.clone()]));
        }
    }

    /// Sends an event to a gateway and carries out its actions.
    fn deliver(&mut self, n: usize, now: f64, event: &Event) {
        let mut actions = Vec::new();
        self.instances[n].gateway.on_event(now, event, &mut actions);
        for action in actions {
            self.carry_out(n, now, &action);
        }
    }

    fn carry_out(&mut self, n: usize, now: f64, action: &Action) {
        match action {
            Action::SetTimer { delay, token, .. } => self.instances[n].timers.push((now + delay, *token)),
            Action::Forward { request, engine, .. } => self.send(n, now, request.0, engine.0),
            Action::CancelAttempt { request, attempt } => {
                // A quarter of the cancellations is lost.
                let delivered = draw(&mut self.rng, 4) > 0;
                let in_flight = &mut self.instances[n].in_flight;
                if let Some(o) =
                    in_flight.iter_mut().find(|o| (o.1, o.2) == (request.0, *attempt) && delivered)
                {
                    (o.0, o.4) = (o.0.min(now + 0.05), Outcome::Cancelled);
                }
            }
            Action::Reject { request, .. } => {
                let pending = &self.instances[n].requests[&request.0];
                let idempotency = self.s.classes[pending.class].idempotency;
                let harmless = matches!(
                    idempotency,
                    Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. }
                );
                assert!(
                    harmless || pending.first_possible_run().is_none(),
                    "a request that may have run was rejected"
                );
                self.answer(n, now, request.0);
            }
            Action::Fail(request) => self.answer(n, now, request.0),
            Action::SetAttemptTerms { .. } | Action::CheckHealth(_) | Action::WatchEndpointList => {}
        }
    }

    fn answer(&mut self, n: usize, now: f64, id: u64) {
        let pending = self.instances[n].requests.get_mut(&id).unwrap();
        assert!(!pending.answered, "two final answers");
        assert!(now <= pending.deadline + TICK_SECONDS, "answered after the deadline");
        pending.answered = true;
    }

    fn send(&mut self, n: usize, now: f64, id: u64, engine: u32) {
        let instance = &mut self.instances[n];
        assert_eq!(
            instance.known_states.get(&engine),
            Some(&EndpointState::Ready),
            "forwarded to an engine that is not ready"
        );
        let entry = self.engines[&engine].clone();
        let pending = instance.requests.get_mut(&id).unwrap();
        let class = &self.s.classes[pending.class];
        assert!(
            !pending.answered && pending.attempts.iter().all(|(.., outcome)| outcome.is_some()),
            "forwarded after its final answer or during another attempt"
        );
        assert!(
            class.allowed_zones.as_ref().is_none_or(|z| z.contains(&entry.zone)),
            "forwarded to a zone that the class does not allow"
        );
        if let Some((first, at)) = pending.first_possible_run() {
            let first = &self.engines[&first];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("a request that is not idempotent was retried"),
                Idempotency::Keyed { scope: key_scope, window } => {
                    let in_scope = match key_scope {
                        IdempotencyScope::All => true,
                        IdempotencyScope::Zone => first.zone == entry.zone,
                        IdempotencyScope::Cell => first.cell == entry.cell,
                    };
                    assert!(in_scope && now < at + window, "retried outside the idempotency scope or window");
                }
            }
        }
        let attempt = pending.attempts.len() as u32;
        pending.attempts.push((engine, now, None));
        self.sent[pending.class] += 1;
        let work = self.work[pending.class];
        if entry.started_at.is_some() {
            self.warming.entry(engine).or_default().push((now, work));
        }
        // A removed engine that the gateway still lists refuses the connection.
        let alive = entry.state != EndpointState::Removed;
        let outcome = match (alive, draw(&mut self.rng, 40)) {
            (false, _) | (_, 0) => Outcome::ConnectFailed,
            (_, 1) => Outcome::Rejected,
            (_, 2) => Outcome::Error,
            (_, 3) => Outcome::ConnectionLost,
            (_, 4) => Outcome::TimedOut,
            _ => Outcome::Success,
        };
        let duration = work / f64::from(class.threads) * (0.5 + f64::from(draw(&mut self.rng, 100)) / 50.0);
        let quick = matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected);
        instance.in_flight.push((now + if quick { 0.001 } else { duration }, id, attempt, engine, outcome));
    }

    /// Reports the attempts that have ended.
    fn end_attempts(&mut self, n: usize, now: f64) {
        while let Some(i) = self.instances[n].in_flight.iter().position(|o| o.0 <= now) {
            let (_, id, attempt, engine, outcome) = self.instances[n].in_flight.remove(i);
            let pending = self.instances[n].requests.get_mut(&id).unwrap();
            let record = &mut pending.attempts[attempt as usize];
            (record.2, pending.answered) = (Some(outcome), pending.answered || outcome == Outcome::Success);
            let event = Event::AttemptEnded {
                request: RequestId(id),
                attempt,
                engine: EngineId(engine),
                outcome,
                elapsed: now - record.1,
                request_settled: pending.answered,
                may_still_run_for: 0.0,
                cost: None,
                load_report: None,
            };
            self.deliver(n, now, &event);
        }
    }

    fn run(&mut self, rate: f64) {
        let known: BTreeSet<u32> = self.engines.keys().copied().collect();
        let replaced: Vec<u32> = known.iter().copied().filter(|id| id % 3 == 0 && known.len() > 3).collect();
        let mut ids = 0;
        for tick in 0..(RUN_SECONDS / TICK_SECONDS) as u32 {
            let now = 1000.0 + f64::from(tick) * TICK_SECONDS;
            let at = |seconds: f64| tick == (seconds / TICK_SECONDS) as u32;
            for (n, id) in replaced.iter().enumerate() {
                let old = self.engines[id].clone();
                if at(4.0) {
                    self.publish(now, &EndpointEntry { state: EndpointState::Draining, ..old.clone() });
                }
                if at(6.0) {
                    self.publish(now, &EndpointEntry { state: EndpointState::Removed, ..old.clone() });
                    let id = EngineId(10_000 + n as u32);
                    let new = EndpointEntry {
                        engine: id,
                        started_at: Some(now),
                        state: EndpointState::Ready,
                        ..old
                    };
                    self.publish(now, &new);
                }
            }
            for n in 0..self.instances.len() {
                if at(5.0) && n % 4 == 0 {
                    // The gateway restarts without its state and its requests.
                    self.instances[n] = self.start(n as u32, now);
                }
                while self.instances[n].list_updates.first().is_some_and(|(due, _)| *due <= now) {
                    let (_, entries) = self.instances[n].list_updates.remove(0);
                    let first = self.instances[n].known_states.is_empty();
                    self.instances[n].known_states.extend(entries.iter().map(|e| (e.engine.0, e.state)));
                    let mode = if first { EndpointListMode::Cached } else { EndpointListMode::Delta };
                    self.deliver(n, now, &Event::EndpointList { mode, entries });
                }
                self.end_attempts(n, now);
                while let Some(i) = self.instances[n].timers.iter().position(|(due, _)| *due <= now) {
                    let (_, token) = self.instances[n].timers.remove(i);
                    self.deliver(n, now, &Event::Timer(token));
                }
                let arrives = f64::from(draw(&mut self.rng, 1000)) < 1000.0 * rate * TICK_SECONDS;
                if arrives && f64::from(tick) * TICK_SECONDS < ARRIVAL_SECONDS {
                    ids += 1;
                    let class = [0, 0, 1, 2, 3][draw(&mut self.rng, 5) as usize];
                    let c = &self.s.classes[class];
                    let request = Request {
                        id: RequestId(ids),
                        class: ClassId(class),
                        tenant: None,
                        key: None,
                        deadline: now + c.deadline,
                        estimated_work: Some(self.work[class]),
                        estimated_memory_mb: Some(500.0),
                        table_group: None,
                        is_retry: false,
                    };
                    let pending = PendingRequest {
                        class,
                        deadline: request.deadline,
                        attempts: vec![],
                        answered: false,
                    };
                    self.instances[n].requests.insert(ids, pending);
                    self.deliver(n, now, &Event::RequestArrived(request));
                }
            }
        }
    }

    /// Checks that all gateways together sent no warming engine the work that makes it collapse, with a
    /// tolerance of one request of the heaviest class.
    fn check_warming_engines(&self) {
        let (r, cores) = (&self.s.rules, self.s.machine_types[0].cores);
        let heaviest = self.work.iter().copied().fold(0.0, f64::max);
        for (engine, attempts) in &self.warming {
            let started = self.engines[engine].started_at.unwrap();
            for (from, _) in attempts {
                let window = |at: f64| (*from..from + r.collapse_window).contains(&at);
                let sent: f64 = attempts.iter().filter(|(at, _)| window(*at)).map(|(_, work)| work).sum();
                let warm_up = r.slow_start_min_ratio
                    + (1.0 - r.slow_start_min_ratio)
                        * ((from - started) / r.slow_start_duration).clamp(0.0, 1.0);
                let max_work = r.collapse_load_ratio * warm_up * cores * 0.85 * r.collapse_window;
                assert!(
                    warm_up >= 1.0 || sent <= max_work + heaviest,
                    "{sent} s of work to warming engine {engine}, {max_work} s and one request allowed"
                );
            }
        }
    }

    /// Checks that each request got an answer, except those lost with a restarted gateway, and that a class
    /// with an allowed engine and more than 20 requests had a request forwarded.
    fn check_final_answers(&self) {
        for instance in &self.instances {
            assert!(instance.requests.values().all(|a| a.answered), "a request got no final answer");
        }
        let count = |class: usize| {
            self.instances.iter().flat_map(|n| n.requests.values()).filter(|a| a.class == class).count()
        };
        for class in 0..self.s.classes.len() {
            let zones = &self.s.classes[class].allowed_zones;
            let is_allowed = |e: &EndpointEntry| zones.as_ref().is_none_or(|z| z.contains(&e.zone));
            if self.engines.values().any(is_allowed) && count(class) > 20 {
                assert!(
                    self.sent[class] > 0,
                    "class {class}: none of {} requests was forwarded",
                    count(class)
                );
            }
        }
    }
}

#[test]
fn fleets_of_any_size_satisfy_the_rules_and_starve_no_class() {
    // Gateways, engines, zones, and requests per second at each gateway.
    let sizes = [
        (1, 1, 1, 4.0),
        (1, 500, 3, 8.0),
        (3, 7, 2, 6.0),
        (12, 40, 4, 3.0),
        (60, 16, 2, 0.8),
        (150, 60, 5, 0.6),
        (400, 80, 3, 0.3),
    ];
    for (n, (gateways, engines, zones, rate)) in sizes.into_iter().enumerate() {
        for seed in 0..if gateways > 20 { 1 } else { 4 } {
            let mut fleet = Fleet::new(gateways, engines, zones, 100 * n as u64 + seed);
            fleet.run(rate);
            fleet.check_warming_engines();
            fleet.check_final_answers();
        }
    }
}

/// Prints percentiles of the time per arrival of a request, every fifth with a control tick, by the number of
/// engines.
/// `cargo test --release --test fleet -- --ignored --nocapture`
#[test]
#[ignore = "prints measurements"]
fn event_cost_by_number_of_engines() {
    for engines in [16, 80, 400, 1024] {
        let mut s = settings();
        s.gateways = 300;
        let template = Driver::new(s.clone(), vec![]);
        let mut gateway = WorkloadManager::new(s, 7).unwrap();
        let entries = (0..engines).map(engine).collect();
        gateway.on_event(
            100.0,
            &Event::EndpointList { mode: EndpointListMode::Full, entries },
            &mut Vec::new(),
        );
        let mut now = 100.0;
        let mut costs = Vec::new();
        for id in 1..4000u64 {
            now += 0.01;
            let class = if id % 10 == 0 { BACKGROUND } else { INTERACTIVE };
            let request = Request { id: RequestId(id), deadline: now + 20.0, ..template.request(0, class) };
            let mut actions = Vec::new();
            let started = std::time::Instant::now();
            gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            if id % 5 == 0 {
                gateway.on_event(now, &Event::Timer(0), &mut actions);
            }
            costs.push(started.elapsed().as_nanos() as f64 / 1000.0);
            for (id, to) in forwards(&actions).into_iter().filter(|(id, _)| id % 10 != 0) {
                let (request, engine) = (RequestId(id), EngineId(to));
                let (outcome, elapsed, settled) = (Outcome::Success, 0.1, true);
                let ended = Event::AttemptEnded {
                    request,
                    attempt: 0,
                    engine,
                    outcome,
                    elapsed,
                    request_settled: settled,
                    may_still_run_for: 0.0,
                    cost: None,
                    load_report: None,
                };
                gateway.on_event(now, &ended, &mut Vec::new());
            }
        }
        costs.sort_by(f64::total_cmp);
        let at = |quantile: f64| costs[(quantile * (costs.len() - 1) as f64) as usize];
        println!("{engines} engines: p50 {:.1} us, p90 {:.1} us, p99 {:.1} us", at(0.5), at(0.9), at(0.99));
    }
}
