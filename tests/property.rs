//! Random legal event orders against an independent checker of the rules.
//!
//! A small world plays the engines: it holds what is in flight and ends attempts in any order and way.
//! The checker counts from events and actions alone and knows nothing of the decisions.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use workload_manager::*;

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Arrive { class: usize, key: u8, patience: u16 },
    End { which: u8, how: u8 },
    List { mode: u8, engine: u8, state: u8, restarted: bool },
    Abort(u8),
    Progress { which: u8, share: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u16..800).prop_map(Step::Wait),
        6 => (0usize..4, 0u8..3, 20u16..6000).prop_map(|(class, key, patience)| Step::Arrive { class, key, patience }),
        5 => (any::<u8>(), 0u8..8).prop_map(|(which, how)| Step::End { which, how }),
        1 => (0u8..4, 0u8..5, 0u8..3, any::<bool>())
            .prop_map(|(mode, engine, state, restarted)| Step::List { mode, engine, state, restarted }),
        1 => any::<u8>().prop_map(Step::Abort),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(which, share)| Step::Progress { which, share }),
    ]
}

#[derive(Clone)]
struct Known {
    class: usize,
    key: Option<u8>,
    deadline: f64,
    order: usize,
    done: bool,
    sends: Vec<(u32, f64, Option<Outcome>)>,
}

struct World {
    driver: Driver,
    s: Settings,
    requests: BTreeMap<u64, Known>,
    in_flight: Vec<(u64, u32, u32, f64)>,
    timers: Vec<(f64, u64)>,
    engines: BTreeMap<u32, EndpointEntry>,
    listed: BTreeSet<u32>,
    cooldowns: BTreeMap<u8, (f64, u64)>,
    arrivals: Vec<f64>,
    retries: Vec<f64>,
    warming: BTreeMap<u32, Vec<(f64, f64)>>,
}

fn bound() -> Settings {
    let mut s = settings();
    s.classes[0].allowed_machine_types = None;
    s.classes[1].idempotency = Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 3.0 };
    s.classes.push(Class { allowed_zones: Some(vec![ZoneId(1)]), ..class(0.5, 1, 4.0) });
    s.rules.retry_budget = Some(RetryBudget { min_retries: 2.0, retry_ratio: 0.3, window: 2.0 });
    s.capabilities.cancels_attempts = true;
    s
}

impl World {
    fn new() -> Self {
        let s = bound();
        let entry = |id: u32| EndpointEntry { zone: ZoneId(id as usize % 2), ..engine(id) };
        let engines: BTreeMap<u32, EndpointEntry> = (0..5).map(|id| (id, entry(id))).collect();
        let mut driver = Driver::new(s.clone(), vec![]);
        let mut first = Vec::new();
        driver.gateway.on_event(
            driver.now,
            &Event::EndpointList {
                mode: EndpointListMode::Cached,
                entries: engines.values().cloned().collect(),
            },
            &mut first,
        );
        let listed = engines.keys().copied().collect();
        // The driver's own first list set the timer of the control tick.
        let timers = vec![(driver.now + 0.1, 0)];
        Self {
            driver,
            s,
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

    fn tell(&mut self, event: &Event) {
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
            Action::Forward { request, engine, timeout } => self.check_send(request.0, engine.0, *timeout),
            Action::Reject { request, .. } => {
                let r = self.requests.get_mut(&request.0).expect("known");
                assert!(!r.done, "answered twice");
                let may_have_run = r.sends.iter().any(|(_, _, how)| !how.is_some_and(proves_not_run));
                let harmless =
                    self.s.classes[r.class].idempotency == Idempotency::Idempotent || !may_have_run;
                assert!(harmless, "rejected though it may have run");
                r.done = true;
            }
            Action::Fail(request) => {
                let r = self.requests.get_mut(&request.0).expect("known");
                assert!(!r.done, "answered twice");
                r.done = true;
            }
            Action::CancelAttempt { request, attempt } => {
                assert!(self.requests[&request.0].sends.len() > *attempt as usize);
            }
            Action::SetAttemptTerms { .. } | Action::WatchEndpointList | Action::CheckHealth(_) => {}
        }
    }

    fn check_send(&mut self, id: u64, engine: u32, timeout: Option<f64>) {
        let now = self.driver.now;
        let entry = self.engines[&engine].clone();
        assert!(self.listed.contains(&engine) && entry.state == EndpointState::Ready, "drain");
        assert!(timeout.is_none_or(|t| t > 0.0));
        let r = self.requests[&id].clone();
        let class = &self.s.classes[r.class];
        assert!(!r.done, "sent after its end");
        assert!(r.sends.len() < self.s.capabilities.max_attempts as usize);
        assert!(!self.in_flight.iter().any(|o| o.0 == id), "two at once");
        assert!(class.allowed_zones.as_ref().is_none_or(|z| z.contains(&entry.zone)), "placement");
        let maybe: Vec<_> = r.sends.iter().filter(|(_, _, how)| !how.is_some_and(proves_not_run)).collect();
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(maybe.is_empty(), "a request that is not idempotent was retried")
            }
            Idempotency::Keyed { window, .. } => {
                for (on, at, _) in maybe {
                    assert!(now < at + window, "window");
                    assert_eq!(self.engines[on].zone, entry.zone, "group");
                }
            }
        }
        if let Some(key) = r.key {
            for (other, o) in &self.requests {
                if o.key == Some(key) && o.order < r.order {
                    assert!(o.done, "an earlier request of the key is not over");
                    assert!(!self.in_flight.iter().any(|a| a.0 == *other), "an earlier attempt is in flight");
                }
            }
            if let Some((until, by)) = self.cooldowns.get(&key) {
                assert!(*by == id || now >= *until - 1e-9, "the key cools down");
            }
        }
        if !r.sends.is_empty() {
            self.retries.push(now);
            let b = self.s.rules.retry_budget.unwrap();
            let within = |q: &[f64]| q.iter().filter(|t| **t > now - b.window).count() as f64;
            assert!(
                within(&self.retries) <= b.min_retries + b.retry_ratio * within(&self.arrivals) + 1e-9,
                "budget"
            );
        }
        if let Some(started) = entry.started_at
            && now < started + self.s.rules.slow_start_duration
        {
            // Every request counts as a second of work; all gateways send alike.
            let sent = self.warming.entry(engine).or_default();
            sent.push((now, 0.5));
            let since = now - self.s.rules.collapse_window;
            let push: f64 = sent.iter().filter(|(t, _)| *t > since).map(|(_, w)| w).sum();
            let age = ((now - started) / self.s.rules.slow_start_duration).clamp(0.0, 1.0);
            let share = self.s.rules.slow_start_min_ratio + (1.0 - self.s.rules.slow_start_min_ratio) * age;
            let most = self.s.rules.collapse_load_ratio * share * 8.0 * self.s.rules.collapse_window;
            assert!(2.0 * push <= most, "a warming engine is overloaded");
        }
        self.in_flight.push((id, r.sends.len() as u32, engine, now));
        self.requests.get_mut(&id).unwrap().sends.push((engine, now, None));
    }

    fn wait(&mut self, span: f64) {
        let end = self.driver.now + span;
        loop {
            let due =
                self.timers.iter().enumerate().min_by(|a, b| a.1.0.total_cmp(&b.1.0)).map(|(i, t)| (i, *t));
            match due {
                Some((i, (at, token))) if at <= end => {
                    self.timers.remove(i);
                    self.driver.now = self.driver.now.max(at);
                    self.tell(&Event::Timer(token));
                    self.overdue();
                }
                _ => break,
            }
        }
        self.driver.now = end;
    }

    fn overdue(&self) {
        for (id, r) in &self.requests {
            let late = self.driver.now > r.deadline + self.s.rules.answer_grace;
            assert!(r.done || !late, "request {id} has no answer in time");
        }
    }

    fn end(&mut self, which: usize, how: Outcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let (id, attempt, engine, sent) = self.in_flight.remove(which % self.in_flight.len());
        let now = self.driver.now;
        let r = self.requests.get_mut(&id).unwrap();
        r.sends[attempt as usize].2 = Some(how);
        let settled = r.done || how == Outcome::Success;
        r.done |= how == Outcome::Success;
        if let (Some(key), Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled) = (r.key, how) {
            self.cooldowns.insert(key, (now + self.s.rules.key_cooldown, id));
        }
        self.tell(&Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            engine: EngineId(engine),
            outcome: how,
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
            Step::Wait(ms) => self.wait(f64::from(ms) / 1000.0),
            Step::Arrive { class, key, patience } => {
                let key = (class == 2 && key > 0).then_some(key);
                let deadline = now + f64::from(patience) / 1000.0;
                let order = self.requests.len();
                self.requests.insert(n, Known { class, key, deadline, order, done: false, sends: vec![] });
                self.arrivals.push(now);
                self.tell(&Event::RequestArrived(Request {
                    id: RequestId(n),
                    class: ClassId(class),
                    tenant: None,
                    key: key.map(|k| KeyId(k.into())),
                    deadline,
                    estimated_work: None,
                    estimated_memory_mb: None,
                    table_group: Some(TableGroupId(u64::from(patience) % 4)),
                    is_retry: false,
                }));
            }
            Step::End { which, how } => {
                use Outcome::*;
                let hows =
                    [Success, Success, Error, Rejected, TimedOut, ConnectFailed, ConnectionLost, Cancelled];
                self.end(which.into(), hows[how as usize]);
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
                self.tell(&Event::EndpointList { mode, entries });
            }
            Step::Abort(which) => {
                let live: Vec<u64> =
                    self.requests.iter().filter(|(_, r)| !r.done).map(|(id, _)| *id).collect();
                // It may also name a request that ended a moment ago.
                let id = live.get(usize::from(which) % live.len().max(1)).copied().unwrap_or(n);
                if let Some(r) = self.requests.get_mut(&id) {
                    r.done = true;
                }
                self.tell(&Event::RequestAborted(RequestId(id)));
            }
            Step::Progress { which, share } => {
                if let Some((id, attempt, ..)) =
                    self.in_flight.get(usize::from(which) % self.in_flight.len().max(1)).copied()
                {
                    let note = Progress::Fraction(f64::from(share) / 255.0);
                    self.tell(&Event::AttemptProgress { request: RequestId(id), attempt, progress: note });
                }
            }
        }
    }
}

fn proves_not_run(how: Outcome) -> bool {
    matches!(how, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent)
}

#[test]
fn random_event_orders_keep_the_rules() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(step(), 1..160);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut world = World::new();
            for (n, step) in steps.iter().enumerate() {
                world.step(n as u64 + 1, step);
            }
            world.wait(10.0);
            assert!(world.requests.values().all(|r| r.done), "every request has its answer");
            Ok(())
        })
        .unwrap();
}
