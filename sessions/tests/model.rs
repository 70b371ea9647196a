//! Compares the session table, the timer wheel and the memory budget with a model of plain maps, for random steps.
//! Stale handles must reach no session, and timers must not fire for sessions that have ended.

use std::collections::{BTreeMap, HashMap};

use proptest::prelude::*;
use wrenhatch_sessions::memory_budget::{MemoryBudget, MemoryPurpose};
use wrenhatch_sessions::session_table::{
    Activity, EVICTION_GRACE_US, Handle, OUTPUT_READ_GRACE_US, RemovedSession, SessionTable,
};
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

const ACTIVITIES: [Activity; 6] = [
    Activity::Closing,
    Activity::IncompleteMessage,
    Activity::UnreadOutput,
    Activity::Idle,
    Activity::IdleWithStatements,
    Activity::Busy,
];

#[derive(Clone, Copy, Debug)]
enum Step {
    Insert,
    Remove(usize),
    Suspend(usize),
    Resume(usize),
    Activity(usize, usize),
    RestartAge(usize),
    Queue(usize),
    Arm(usize, u64),
    Cancel(usize),
    Reserve(usize, usize, usize),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..64_usize;
    // Durations of all orders of magnitude, so that every level of the wheel is used.
    let span = (0..40_u32, 0..64_u64).prop_map(|(shift, n)| (n << shift) >> 6);
    prop_oneof![
        4 => Just(Step::Insert),
        2 => n.clone().prop_map(Step::Remove),
        3 => n.clone().prop_map(Step::Suspend),
        2 => n.clone().prop_map(Step::Resume),
        3 => (n.clone(), 0..ACTIVITIES.len()).prop_map(|(n, u)| Step::Activity(n, u)),
        1 => n.clone().prop_map(Step::RestartAge),
        1 => n.clone().prop_map(Step::Queue),
        3 => (n.clone(), span.clone()).prop_map(|(n, span)| Step::Arm(n, span)),
        1 => n.clone().prop_map(Step::Cancel),
        2 => (n, 0..MemoryPurpose::ALL.len(), 0..100_000_usize).prop_map(|(n, purpose, bytes)| Step::Reserve(n, purpose, bytes)),
        2 => span.prop_map(Step::AdvanceTime),
    ]
}

/// The expected state of a session.
#[derive(Debug)]
struct ModelSession {
    name: u64,
    suspended: bool,
    activity: Activity,
    /// Time from which the age of the session counts.
    since_us: u64,
    /// Number of the change that set `since_us`. Orders sessions with the same time.
    change: u64,
    queued: bool,
    /// The timer, its due time in microseconds, and the number of the change that armed it.
    timer: Option<(TimerId, u64, u64)>,
    reserved: [usize; MemoryPurpose::ALL.len()],
}

#[derive(Default)]
struct Harness {
    table: SessionTable<u64, u64>,
    wheel: TimerWheel<Handle>,
    sessions: HashMap<Handle, ModelSession>,
    /// All handles ever returned, including stale ones.
    handles: Vec<Handle>,
    now_us: u64,
    /// Number of the last change.
    changes: u64,
}

impl Harness {
    /// Finds the session to evict by a scan of all sessions.
    fn eviction_candidate(&self) -> Option<Handle> {
        let past_grace = |s: &ModelSession, grace_us| self.now_us.saturating_sub(s.since_us) >= grace_us;
        let rank = |s: &ModelSession| match s.activity {
            Activity::Closing if past_grace(s, EVICTION_GRACE_US) => Some(0),
            Activity::IncompleteMessage if past_grace(s, EVICTION_GRACE_US) => Some(1),
            Activity::UnreadOutput if past_grace(s, OUTPUT_READ_GRACE_US) => Some(1),
            Activity::Idle | Activity::IdleWithStatements => Some(2),
            _ => None,
        };
        let all = self.sessions.iter().filter_map(|(h, s)| Some((rank(s)?, s.since_us, s.change, h)));
        all.min_by_key(|(rank, since, change, _)| (*rank, *since, *change)).map(|(.., handle)| *handle)
    }

    fn set_activity(&mut self, handle: Handle, activity: Activity) {
        self.table.set_activity(handle, activity, self.now_us);
        self.changes += 1;
        if let Some(s) = self.sessions.get_mut(&handle).filter(|s| s.activity != activity) {
            (s.activity, s.since_us, s.change) = (activity, self.now_us, self.changes);
        }
    }

    /// Advances the time. Exactly the timers of existing sessions that are due must fire, in order.
    fn advance_time(&mut self, span_us: u64) -> Result<(), TestCaseError> {
        self.now_us += span_us;
        let mut due: Vec<(u64, u64, Handle)> = Vec::new();
        for (handle, s) in &mut self.sessions {
            if let Some((_, at_us, armed)) = s.timer.filter(|(_, at_us, _)| *at_us <= self.now_us) {
                s.timer = None;
                due.push((at_us, armed, *handle));
            }
        }
        due.sort_unstable();
        let mut fired = Vec::new();
        while let Some((at_us, handle)) = self.wheel.pop(self.now_us) {
            fired.push((at_us, handle));
        }
        let expected: Vec<_> = due.into_iter().map(|(at_us, _, handle)| (at_us, handle)).collect();
        prop_assert_eq!(fired, expected);
        Ok(())
    }
}

fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut harness = Harness::default();
    let mut memory = MemoryBudget::new(1 << 30);
    for step in steps {
        let pick = |n: usize| harness.handles.get(n % harness.handles.len().max(1)).copied();
        match *step {
            Step::Insert => {
                let name = harness.handles.len() as u64;
                let next_handle = harness.table.next_handle();
                let handle = harness.table.insert(harness.now_us, Box::new(name));
                prop_assert_eq!(handle, next_handle);
                prop_assert!(!harness.handles.contains(&handle), "a handle must not be reused");
                harness.handles.push(handle);
                let session = ModelSession {
                    name,
                    suspended: false,
                    activity: Activity::Busy,
                    since_us: harness.now_us,
                    change: harness.changes,
                    queued: false,
                    timer: None,
                    reserved: Default::default(),
                };
                harness.sessions.insert(handle, session);
            }
            Step::Remove(n) => {
                let Some(handle) = pick(n) else { continue };
                let removed = harness.table.remove(handle);
                let Some(session) = harness.sessions.remove(&handle) else {
                    prop_assert!(removed.is_none());
                    continue;
                };
                let (name, suspended) = match removed {
                    Some(RemovedSession::Suspended(name)) => (name, true),
                    Some(RemovedSession::Active(name)) => (*name, false),
                    None => return Err(TestCaseError::fail("a session of the model is missing")),
                };
                prop_assert_eq!((name, suspended), (session.name, session.suspended));
                if let Some((timer, ..)) = session.timer {
                    prop_assert_eq!(harness.wheel.cancel(timer), Some(handle));
                }
                for (purpose, bytes) in MemoryPurpose::ALL.into_iter().zip(session.reserved) {
                    memory.release(purpose, bytes);
                }
            }
            Step::Suspend(n) => {
                let Some(handle) = pick(n) else { continue };
                let suspended = harness.table.suspend(handle, |active| Ok(*active));
                let suspendable = harness.sessions.get_mut(&handle).filter(|s| !s.suspended);
                prop_assert_eq!(suspended, suspendable.is_some());
                if let Some(s) = suspendable {
                    s.suspended = true;
                }
            }
            Step::Resume(n) => {
                let Some(handle) = pick(n) else { continue };
                let resumed = harness.table.resume(handle, harness.now_us, Box::new);
                prop_assert_eq!(resumed, harness.sessions.contains_key(&handle));
                if harness.sessions.get(&handle).is_some_and(|s| s.suspended) {
                    harness.set_activity(handle, Activity::Busy);
                    harness.sessions.entry(handle).and_modify(|s| s.suspended = false);
                }
            }
            Step::Activity(n, activity) => {
                let Some(handle) = pick(n) else { continue };
                harness.set_activity(handle, ACTIVITIES[activity]);
            }
            Step::RestartAge(n) => {
                let Some(handle) = pick(n) else { continue };
                harness.table.restart_age(handle, harness.now_us);
                harness.changes += 1;
                if let Some(s) = harness.sessions.get_mut(&handle) {
                    (s.since_us, s.change) = (harness.now_us, harness.changes);
                }
            }
            Step::Queue(n) => {
                let Some(handle) = pick(n) else { continue };
                let queued = harness.table.set_queued(handle);
                let unqueued = harness.sessions.get_mut(&handle).filter(|s| !s.queued);
                prop_assert_eq!(queued, unqueued.is_some());
                if let Some(s) = unqueued {
                    s.queued = true;
                }
            }
            Step::Arm(n, span_us) => {
                let Some(handle) = pick(n) else { continue };
                let (at_us, armed) = (harness.now_us + span_us, harness.changes);
                harness.changes += 1;
                let Some(s) = harness.sessions.get_mut(&handle) else { continue };
                let timer = match s.timer {
                    Some((timer, ..)) => {
                        prop_assert!(harness.wheel.rearm(timer, at_us));
                        timer
                    }
                    None => harness.wheel.arm(at_us, handle),
                };
                s.timer = Some((timer, at_us, armed));
            }
            Step::Cancel(n) => {
                let Some(handle) = pick(n) else { continue };
                if let Some((timer, ..)) = harness.sessions.get_mut(&handle).and_then(|s| s.timer.take()) {
                    prop_assert_eq!(harness.wheel.cancel(timer), Some(handle));
                    prop_assert_eq!(harness.wheel.cancel(timer), None);
                }
            }
            Step::Reserve(n, purpose, bytes) => {
                let Some(handle) = pick(n) else { continue };
                if let Some(s) = harness.sessions.get_mut(&handle) {
                    memory.resize(
                        MemoryPurpose::ALL[purpose],
                        std::mem::replace(&mut s.reserved[purpose], bytes),
                        bytes,
                    );
                }
            }
            Step::AdvanceTime(span_us) => harness.advance_time(span_us)?,
        }
        check_invariants(&harness, &memory)?;
    }
    harness.advance_time(1 << 50)?;
    prop_assert!(harness.wheel.is_empty());
    Ok(())
}

fn check_invariants(harness: &Harness, memory: &MemoryBudget) -> Result<(), TestCaseError> {
    prop_assert_eq!(harness.table.len(), harness.sessions.len());
    prop_assert_eq!(
        harness.table.suspended_count(),
        harness.sessions.values().filter(|s| s.suspended).count()
    );
    for handle in &harness.handles {
        let session = harness.sessions.get(handle);
        prop_assert_eq!(harness.table.contains(*handle), session.is_some());
        prop_assert_eq!(harness.table.activity(*handle), session.map(|s| (s.activity, s.since_us)));
        prop_assert_eq!(harness.table.active(*handle), session.filter(|s| !s.suspended).map(|s| &s.name));
        prop_assert_eq!(harness.table.suspended(*handle), session.filter(|s| s.suspended).map(|s| &s.name));
        prop_assert_eq!(harness.table.is_queued(*handle), session.is_some_and(|s| s.queued));
        prop_assert_eq!(Handle::from_bits(handle.to_bits()), Some(*handle));
    }
    let mut counts: BTreeMap<Activity, usize> = BTreeMap::new();
    harness.sessions.values().for_each(|s| *counts.entry(s.activity).or_default() += 1);
    for activity in ACTIVITIES.into_iter().filter(|u| *u != Activity::Busy) {
        prop_assert_eq!(harness.table.count(activity), counts.get(&activity).copied().unwrap_or(0));
    }
    // Sessions of the same age may be evicted in any order.
    let since = |h: Option<Handle>| h.and_then(|h| harness.table.activity(h)).map(|(_, since_us)| since_us);
    prop_assert_eq!(
        since(harness.table.eviction_candidate(harness.now_us, usize::MAX)),
        since(harness.eviction_candidate())
    );
    for (at, purpose) in MemoryPurpose::ALL.into_iter().enumerate() {
        prop_assert_eq!(
            memory.reserved(purpose),
            harness.sessions.values().map(|s| s.reserved[at]).sum::<usize>()
        );
    }
    let next = harness.sessions.values().filter_map(|s| s.timer.map(|(_, at_us, _)| at_us)).min();
    // The time may be too early if a timer was cancelled or rearmed, but must never be too late.
    prop_assert_eq!(harness.wheel.next_us().is_some(), next.is_some());
    prop_assert!(harness.wheel.next_us() <= next || next.is_none());
    prop_assert_eq!(harness.wheel.len(), harness.sessions.values().filter(|s| s.timer.is_some()).count());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        ..ProptestConfig::default()
    })]

    #[test]
    fn sessions_timers_and_memory_agree_with_the_model(steps in prop::collection::vec(step(), 1..200)) {
        run_steps(&steps)?;
    }
}

/// Timeouts of 3 s must fire at their exact due times among 100,000 suspended sessions while timeouts of 20 s are armed
/// and cancelled, and suspended sessions must cause no wake-ups.
#[test]
fn timeouts_among_100_000_suspended_sessions_fire_on_time() {
    let mut table: SessionTable<u64, u64> = SessionTable::new();
    let mut wheel = TimerWheel::new();
    let all: Vec<Handle> = (0..100_000).map(|n| table.insert(n, Box::new(n))).collect();
    for (n, handle) in all.iter().enumerate() {
        table.set_activity(*handle, Activity::Idle, n as u64);
        assert!(table.suspend(*handle, |active| Ok(*active)));
    }
    assert_eq!(wheel.next_us(), None, "suspended sessions have no timer");
    let mut expected = Vec::new();
    for (n, handle) in all.iter().enumerate().step_by(100) {
        let now_us = 100_000 + n as u64;
        wheel.pop(now_us);
        let at_us = now_us + if n % 200 == 0 { 3_000_000 } else { 20_000_000 };
        expected.push((at_us, wheel.arm(at_us, *handle), *handle));
    }
    // Half of the requests, those with a timeout of 20 s, are answered in time.
    for (_, timer, handle) in expected.iter().skip(1).step_by(2) {
        assert_eq!(wheel.cancel(*timer), Some(*handle));
    }
    let mut expected: Vec<_> =
        expected.into_iter().step_by(2).map(|(at_us, _, handle)| (at_us, handle)).collect();
    expected.sort_by_key(|(at_us, _)| *at_us);
    let (mut fired, mut early) = (Vec::new(), 0);
    while let Some(at_us) = wheel.next_us() {
        let before = fired.len();
        fired.extend(
            std::iter::from_fn(|| wheel.pop(at_us)).inspect(|(due_us, _)| assert_eq!(*due_us, at_us)),
        );
        early += usize::from(fired.len() == before);
    }
    assert_eq!(fired, expected);
    assert!(
        early <= 20,
        "{early} early wake-ups, at most one expected per slot whose first timer was cancelled"
    );
}
