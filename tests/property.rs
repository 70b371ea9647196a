//! Property test: random valid event sequences against a checker of the rules, which uses only settings,
//! events and actions. Attempts end in any order, with any outcome but `NeverSent`.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use workload_manager::*;

#[derive(Clone, Debug)]
enum Step {
    /// Advances the clock by this number of milliseconds.
    Wait(u16),
    Arrive {
        class: usize,
        key: u8,
        timeout_ms: u16,
    },
    End {
        index: u8,
        ending: u8,
    },
    List {
        mode: u8,
        engine: u8,
        state: u8,
        restarted: bool,
    },
    Abort(u8),
    Progress {
        index: u8,
        fraction: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u16..800).prop_map(Step::Wait),
        6 => (0usize..4, 0u8..3, 20u16..6000)
            .prop_map(|(class, key, timeout_ms)| Step::Arrive { class, key, timeout_ms }),
        5 => (any::<u8>(), 0u8..8).prop_map(|(index, ending)| Step::End { index, ending }),
        1 => (0u8..4, 0u8..5, 0u8..3, any::<bool>())
            .prop_map(|(mode, engine, state, restarted)| Step::List { mode, engine, state, restarted }),
        1 => any::<u8>().prop_map(Step::Abort),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(index, fraction)| Step::Progress { index, fraction }),
    ]
}

#[derive(Clone)]
struct TrackedRequest {
    class: usize,
    key: Option<u8>,
    deadline: f64,
    arrival_index: usize,
    done: bool,
    /// Engine, start time and outcome of each attempt.
    attempts: Vec<(u32, f64, Option<Outcome>)>,
}

struct Simulation {
    driver: Driver,
    settings: Settings,
    requests: BTreeMap<u64, TrackedRequest>,
    /// Request, attempt, engine and start time.
    in_flight: Vec<(u64, u32, u32, f64)>,
    /// Time and token.
    timers: Vec<(f64, u64)>,
    engines: BTreeMap<u32, EndpointEntry>,
    listed: BTreeSet<u32>,
    /// End of each key's cooldown, and the request that caused it.
    cooldowns: BTreeMap<u8, (f64, u64)>,
    arrivals: Vec<f64>,
    retries: Vec<f64>,
    /// Time and work of each attempt sent to a warming engine.
    warming: BTreeMap<u32, Vec<(f64, f64)>>,
}

fn test_settings() -> Settings {
    let mut settings = settings();
    settings.classes[0].allowed_machine_types = None;
    settings.classes[1].idempotency = Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 3.0 };
    settings.classes.push(Class { allowed_zones: Some(vec![ZoneId(1)]), ..class(0.5, 1, 4.0) });
    settings.rules.retry_budget = Some(RetryBudget { min_retries: 2.0, retry_ratio: 0.3, window: 2.0 });
    settings.capabilities.cancels_attempts = true;
    settings
}

impl Simulation {
    fn new() -> Self {
        let settings = test_settings();
        let entry = |id: u32| EndpointEntry { zone: ZoneId(id as usize % 2), ..engine(id) };
        let engines: BTreeMap<u32, EndpointEntry> = (0..5).map(|id| (id, entry(id))).collect();
        let mut driver = Driver::new(settings.clone(), vec![]);
        let mut actions = Vec::new();
        driver.gateway.on_event(
            driver.now,
            &Event::EndpointList {
                mode: EndpointListMode::Cached,
                entries: engines.values().cloned().collect(),
            },
            &mut actions,
        );
        let listed = engines.keys().copied().collect();
        // A first control tick that the workload manager has not requested.
        let timers = vec![(driver.now + 0.1, 0)];
        Self {
            driver,
            settings,
            requests: BTreeMap::new(),
            in_flight: vec![],
            timers,
            engines,
            listed,
            cooldowns: BTreeMap::new(),
            arrivals: vec![],
            retries: vec![],
            warming: BTreeMap::new(),
        }
    }

    fn deliver(&mut self, event: &Event) {
        let actions = self.driver.event(event);
        for action in actions {
            self.check(&action);
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.driver.now;
        match action {
            Action::SetTimer { delay, token, .. } => {
                assert!(*delay >= 0.0);
                self.timers.push((now + delay, *token));
            }
            Action::Forward { request, engine, timeout } => self.check_forward(request.0, engine.0, *timeout),
            Action::Reject { request, .. } => {
                let r = self.requests.get_mut(&request.0).expect("the request has arrived");
                assert!(!r.done, "two final answers");
                let may_have_run =
                    r.attempts.iter().any(|(_, _, ending)| !ending.is_some_and(proves_not_run));
                let harmless =
                    self.settings.classes[r.class].idempotency == Idempotency::Idempotent || !may_have_run;
                assert!(harmless, "a request that may have run was rejected");
                r.done = true;
            }
            Action::Fail(request) => {
                let r = self.requests.get_mut(&request.0).expect("the request has arrived");
                assert!(!r.done, "two final answers");
                r.done = true;
            }
            Action::CancelAttempt { request, attempt } => {
                assert!(self.requests[&request.0].attempts.len() > *attempt as usize);
            }
            Action::SetAttemptTerms { .. } | Action::WatchEndpointList | Action::CheckHealth(_) => {}
        }
    }

    fn check_forward(&mut self, id: u64, engine: u32, timeout: Option<f64>) {
        let now = self.driver.now;
        let entry = self.engines[&engine].clone();
        assert!(
            self.listed.contains(&engine) && entry.state == EndpointState::Ready,
            "forwarded to an engine that is not listed as ready"
        );
        assert!(timeout.is_none_or(|t| t > 0.0));
        let r = self.requests[&id].clone();
        let class = &self.settings.classes[r.class];
        assert!(!r.done, "forwarded after the final answer");
        assert!(r.attempts.len() < self.settings.capabilities.max_attempts as usize);
        assert!(!self.in_flight.iter().any(|o| o.0 == id), "two attempts of a request in flight");
        assert!(
            class.allowed_zones.as_ref().is_none_or(|z| z.contains(&entry.zone)),
            "forwarded to a zone that the class does not allow"
        );
        let possibly_run: Vec<_> =
            r.attempts.iter().filter(|(_, _, ending)| !ending.is_some_and(proves_not_run)).collect();
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(possibly_run.is_empty(), "a request that is not idempotent was retried")
            }
            Idempotency::Keyed { window, .. } => {
                for (on, at, _) in possibly_run {
                    assert!(now < at + window, "retried outside the idempotency window");
                    assert_eq!(self.engines[on].zone, entry.zone, "retried outside the idempotency scope");
                }
            }
        }
        if let Some(key) = r.key {
            for (other, o) in &self.requests {
                if o.key == Some(key) && o.arrival_index < r.arrival_index {
                    assert!(o.done, "an earlier request of the key has no final answer");
                    assert!(
                        !self.in_flight.iter().any(|a| a.0 == *other),
                        "an attempt of an earlier request of the key is in flight"
                    );
                }
            }
            if let Some((until, caused_by)) = self.cooldowns.get(&key) {
                assert!(*caused_by == id || now >= *until - 1e-9, "forwarded during the cooldown of the key");
            }
        }
        if !r.attempts.is_empty() {
            self.retries.push(now);
            let b = self.settings.rules.retry_budget.unwrap();
            let within = |q: &[f64]| q.iter().filter(|t| **t > now - b.window).count() as f64;
            assert!(
                within(&self.retries) <= b.min_retries + b.retry_ratio * within(&self.arrivals) + 1e-9,
                "the retry budget is exceeded"
            );
        }
        if let Some(started) = entry.started_at
            && now < started + self.settings.rules.slow_start_duration
        {
            // Each request counts as half a second of work. It is doubled below for the second gateway.
            let sent = self.warming.entry(engine).or_default();
            sent.push((now, 0.5));
            let since = now - self.settings.rules.collapse_window;
            let work: f64 = sent.iter().filter(|(t, _)| *t > since).map(|(_, w)| w).sum();
            let age = ((now - started) / self.settings.rules.slow_start_duration).clamp(0.0, 1.0);
            let warm_up = self.settings.rules.slow_start_min_ratio
                + (1.0 - self.settings.rules.slow_start_min_ratio) * age;
            let max_work =
                self.settings.rules.collapse_load_ratio * warm_up * 8.0 * self.settings.rules.collapse_window;
            assert!(2.0 * work <= max_work, "a warming engine is overloaded");
        }
        self.in_flight.push((id, r.attempts.len() as u32, engine, now));
        self.requests.get_mut(&id).unwrap().attempts.push((engine, now, None));
    }

    /// Advances the clock by this number of seconds and fires the timers that become due.
    fn advance(&mut self, seconds: f64) {
        let end = self.driver.now + seconds;
        loop {
            let due =
                self.timers.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0)).map(|(i, t)| (i, *t));
            match due {
                Some((i, (at, token))) if at <= end => {
                    self.timers.remove(i);
                    self.driver.now = self.driver.now.max(at);
                    self.deliver(&Event::Timer(token));
                    self.check_deadlines();
                }
                _ => break,
            }
        }
        self.driver.now = end;
    }

    fn check_deadlines(&self) {
        for (id, r) in &self.requests {
            let late = self.driver.now > r.deadline + self.settings.rules.answer_grace;
            assert!(
                r.done || !late,
                "request {id} got no final answer within the grace time of its deadline"
            );
        }
    }

    fn end_attempt(&mut self, index: usize, ending: Outcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let (id, attempt, engine, sent) = self.in_flight.remove(index % self.in_flight.len());
        let now = self.driver.now;
        let r = self.requests.get_mut(&id).unwrap();
        r.attempts[attempt as usize].2 = Some(ending);
        let settled = r.done || ending == Outcome::Success;
        r.done |= ending == Outcome::Success;
        if let (Some(key), Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled) = (r.key, ending)
        {
            self.cooldowns.insert(key, (now + self.settings.rules.key_cooldown, id));
        }
        self.deliver(&Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            engine: EngineId(engine),
            outcome: ending,
            elapsed: now - sent,
            request_settled: settled,
            may_still_run_for: 0.0,
            cost: None,
            load_report: None,
        });
    }

    fn step(&mut self, n: u64, step: &Step) {
        let now = self.driver.now;
        match *step {
            Step::Wait(ms) => self.advance(f64::from(ms) / 1000.0),
            Step::Arrive { class, key, timeout_ms } => {
                let key = (class == 2 && key > 0).then_some(key);
                let deadline = now + f64::from(timeout_ms) / 1000.0;
                let arrival_index = self.requests.len();
                self.requests.insert(
                    n,
                    TrackedRequest { class, key, deadline, arrival_index, done: false, attempts: vec![] },
                );
                self.arrivals.push(now);
                self.deliver(&Event::RequestArrived(Request {
                    id: RequestId(n),
                    class: ClassId(class),
                    tenant: None,
                    key: key.map(|k| KeyId(k.into())),
                    deadline,
                    estimated_work: None,
                    estimated_memory_mb: None,
                    table_group: Some(TableGroupId(u64::from(timeout_ms) % 4)),
                    is_retry: false,
                }));
            }
            Step::End { index, ending } => {
                use Outcome::*;
                let endings =
                    [Success, Success, Error, Rejected, TimedOut, ConnectFailed, ConnectionLost, Cancelled];
                self.end_attempt(index.into(), endings[ending as usize]);
            }
            Step::List { mode, engine, state, restarted } => {
                let entry = self.engines.get_mut(&u32::from(engine)).unwrap();
                entry.state =
                    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][state as usize];
                if restarted {
                    entry.started_at = Some(now);
                    self.warming.remove(&u32::from(engine));
                }
                let (mode, entries) = match mode {
                    0 => (EndpointListMode::Delta, vec![entry.clone()]),
                    1 => (
                        EndpointListMode::Full,
                        self.engines.values().filter(|e| e.engine.0 != 4).cloned().collect(),
                    ),
                    2 => (EndpointListMode::Cached, self.engines.values().cloned().collect::<Vec<_>>()),
                    _ => (EndpointListMode::Delta, self.engines.values().cloned().collect()),
                };
                if mode != EndpointListMode::Delta {
                    self.listed.clear();
                }
                self.listed.extend(entries.iter().map(|e| e.engine.0));
                self.deliver(&Event::EndpointList { mode, entries });
            }
            Step::Abort(index) => {
                let open: Vec<u64> =
                    self.requests.iter().filter(|(_, r)| !r.done).map(|(id, _)| *id).collect();
                // Without an open request, the abort is for a request that never arrived.
                let id = open.get(usize::from(index) % open.len().max(1)).copied().unwrap_or(n);
                if let Some(r) = self.requests.get_mut(&id) {
                    r.done = true;
                }
                self.deliver(&Event::RequestAborted(RequestId(id)));
            }
            Step::Progress { index, fraction } => {
                if let Some((id, attempt, ..)) =
                    self.in_flight.get(usize::from(index) % self.in_flight.len().max(1)).copied()
                {
                    let report = Progress::Fraction(f64::from(fraction) / 255.0);
                    self.deliver(&Event::AttemptProgress {
                        request: RequestId(id),
                        attempt,
                        progress: report,
                    });
                }
            }
        }
    }
}

fn proves_not_run(ending: Outcome) -> bool {
    matches!(ending, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
}

#[test]
fn random_event_sequences_satisfy_the_rules() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(step(), 1..160);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut simulation = Simulation::new();
            for (n, step) in steps.iter().enumerate() {
                simulation.step(n as u64 + 1, step);
            }
            simulation.advance(10.0);
            assert!(simulation.requests.values().all(|r| r.done), "a request got no final answer");
            Ok(())
        })
        .unwrap();
}
