//! Random steps on the session table, its lists, the timer wheel and the memory budget against plain maps: no handle
//! ever reaches another session, no timer fires for one that has ended, and sums always agree.

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
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..64_usize;
    // Spans of all sizes, so that every level of the wheel is met.
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
        2 => (n, 0..MemoryPurpose::ALL.len(), 0..100_000_usize).prop_map(|(n, kind, bytes)| Step::Reserve(n, kind, bytes)),
        2 => span.prop_map(Step::Pass),
    ]
}

/// What the model knows of a session.
#[derive(Debug)]
struct Known {
    name: u64,
    suspended: bool,
    activity: Activity,
    /// When it took this activity up, and which change that was: the order within its list.
    since_us: u64,
    changed: u64,
    queued: bool,
    timer: Option<(TimerId, u64, u64)>,
    held: [usize; MemoryPurpose::ALL.len()],
}

#[derive(Default)]
struct World {
    table: SessionTable<u64, u64>,
    wheel: TimerWheel<Handle>,
    known: HashMap<Handle, Known>,
    /// All handles ever given out, also of those that have ended.
    given: Vec<Handle>,
    now_us: u64,
    changes: u64,
}

impl World {
    /// The session to evict, found by a scan.
    fn eviction_candidate(&self) -> Option<Handle> {
        let over = |k: &Known, grace_us| self.now_us.saturating_sub(k.since_us) >= grace_us;
        let rank = |k: &Known| match k.activity {
            Activity::Closing if over(k, EVICTION_GRACE_US) => Some(0),
            Activity::IncompleteMessage if over(k, EVICTION_GRACE_US) => Some(1),
            Activity::UnreadOutput if over(k, OUTPUT_READ_GRACE_US) => Some(1),
            Activity::Idle | Activity::IdleWithStatements => Some(2),
            _ => None,
        };
        let all = self.known.iter().filter_map(|(h, k)| Some((rank(k)?, k.since_us, k.changed, h)));
        all.min_by_key(|(rank, since, changed, _)| (*rank, *since, *changed)).map(|(.., handle)| *handle)
    }

    fn set_activity(&mut self, handle: Handle, activity: Activity) {
        self.table.set_activity(handle, activity, self.now_us);
        self.changes += 1;
        if let Some(k) = self.known.get_mut(&handle).filter(|k| k.activity != activity) {
            (k.activity, k.since_us, k.changed) = (activity, self.now_us, self.changes);
        }
    }

    /// Lets time pass; every timer must fire at its time, in order, for a session that lasts.
    fn pass(&mut self, span_us: u64) -> Result<(), TestCaseError> {
        self.now_us += span_us;
        let mut due: Vec<(u64, u64, Handle)> = Vec::new();
        for (handle, k) in &mut self.known {
            if let Some((_, at_us, armed)) = k.timer.filter(|(_, at_us, _)| *at_us <= self.now_us) {
                k.timer = None;
                due.push((at_us, armed, *handle));
            }
        }
        due.sort_unstable();
        let mut fired = Vec::new();
        while let Some((at_us, handle)) = self.wheel.pop(self.now_us) {
            fired.push((at_us, handle));
        }
        let wanted: Vec<_> = due.into_iter().map(|(at_us, _, handle)| (at_us, handle)).collect();
        prop_assert_eq!(fired, wanted);
        Ok(())
    }
}

fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut w = World::default();
    let mut memory = MemoryBudget::new(1 << 30);
    for step in steps {
        let pick = |n: usize| w.given.get(n % w.given.len().max(1)).copied();
        match *step {
            Step::Insert => {
                let name = w.given.len() as u64;
                let wanted = w.table.next_handle();
                let handle = w.table.insert(w.now_us, Box::new(name));
                prop_assert_eq!(handle, wanted);
                prop_assert!(!w.given.contains(&handle), "a handle is never given out again");
                w.given.push(handle);
                let known = Known {
                    name,
                    suspended: false,
                    activity: Activity::Busy,
                    since_us: w.now_us,
                    changed: w.changes,
                    queued: false,
                    timer: None,
                    held: Default::default(),
                };
                w.known.insert(handle, known);
            }
            Step::Remove(n) => {
                let Some(handle) = pick(n) else { continue };
                let ended = w.table.remove(handle);
                let Some(known) = w.known.remove(&handle) else {
                    prop_assert!(ended.is_none());
                    continue;
                };
                let (name, suspended) = match ended {
                    Some(RemovedSession::Suspended(name)) => (name, true),
                    Some(RemovedSession::Active(name)) => (*name, false),
                    None => return Err(TestCaseError::fail("a session is lost")),
                };
                prop_assert_eq!((name, suspended), (known.name, known.suspended));
                if let Some((timer, ..)) = known.timer {
                    prop_assert_eq!(w.wheel.cancel(timer), Some(handle));
                }
                for (kind, bytes) in MemoryPurpose::ALL.into_iter().zip(known.held) {
                    memory.release(kind, bytes);
                }
            }
            Step::Suspend(n) => {
                let Some(handle) = pick(n) else { continue };
                let suspended = w.table.suspend(handle, |active| Ok(*active));
                let may = w.known.get_mut(&handle).filter(|k| !k.suspended);
                prop_assert_eq!(suspended, may.is_some());
                if let Some(k) = may {
                    k.suspended = true;
                }
            }
            Step::Resume(n) => {
                let Some(handle) = pick(n) else { continue };
                let woken = w.table.resume(handle, w.now_us, Box::new);
                prop_assert_eq!(woken, w.known.contains_key(&handle));
                if w.known.get(&handle).is_some_and(|k| k.suspended) {
                    w.set_activity(handle, Activity::Busy);
                    w.known.entry(handle).and_modify(|k| k.suspended = false);
                }
            }
            Step::Activity(n, activity) => {
                let Some(handle) = pick(n) else { continue };
                w.set_activity(handle, ACTIVITIES[activity]);
            }
            Step::RestartAge(n) => {
                let Some(handle) = pick(n) else { continue };
                w.table.restart_age(handle, w.now_us);
                w.changes += 1;
                if let Some(k) = w.known.get_mut(&handle) {
                    (k.since_us, k.changed) = (w.now_us, w.changes);
                }
            }
            Step::Queue(n) => {
                let Some(handle) = pick(n) else { continue };
                let queued = w.table.set_queued(handle);
                let fresh = w.known.get_mut(&handle).filter(|k| !k.queued);
                prop_assert_eq!(queued, fresh.is_some());
                if let Some(k) = fresh {
                    k.queued = true;
                }
            }
            Step::Arm(n, span_us) => {
                let Some(handle) = pick(n) else { continue };
                let (at_us, armed) = (w.now_us + span_us, w.changes);
                w.changes += 1;
                let Some(k) = w.known.get_mut(&handle) else { continue };
                let timer = match k.timer {
                    Some((timer, ..)) => {
                        prop_assert!(w.wheel.rearm(timer, at_us));
                        timer
                    }
                    None => w.wheel.arm(at_us, handle),
                };
                k.timer = Some((timer, at_us, armed));
            }
            Step::Cancel(n) => {
                let Some(handle) = pick(n) else { continue };
                if let Some((timer, ..)) = w.known.get_mut(&handle).and_then(|k| k.timer.take()) {
                    prop_assert_eq!(w.wheel.cancel(timer), Some(handle));
                    prop_assert_eq!(w.wheel.cancel(timer), None);
                }
            }
            Step::Reserve(n, kind, bytes) => {
                let Some(handle) = pick(n) else { continue };
                if let Some(k) = w.known.get_mut(&handle) {
                    memory.resize(
                        MemoryPurpose::ALL[kind],
                        std::mem::replace(&mut k.held[kind], bytes),
                        bytes,
                    );
                }
            }
            Step::Pass(span_us) => w.pass(span_us)?,
        }
        agree(&w, &memory)?;
    }
    w.pass(1 << 50)?;
    prop_assert!(w.wheel.is_empty());
    Ok(())
}

fn agree(w: &World, memory: &MemoryBudget) -> Result<(), TestCaseError> {
    prop_assert_eq!(w.table.len(), w.known.len());
    prop_assert_eq!(w.table.suspended_count(), w.known.values().filter(|k| k.suspended).count());
    for handle in &w.given {
        let known = w.known.get(handle);
        prop_assert_eq!(w.table.contains(*handle), known.is_some());
        prop_assert_eq!(w.table.activity(*handle), known.map(|k| (k.activity, k.since_us)));
        prop_assert_eq!(w.table.active(*handle), known.filter(|k| !k.suspended).map(|k| &k.name));
        prop_assert_eq!(w.table.suspended(*handle), known.filter(|k| k.suspended).map(|k| &k.name));
        prop_assert_eq!(w.table.is_queued(*handle), known.is_some_and(|k| k.queued));
        prop_assert_eq!(Handle::from_bits(handle.to_bits()), Some(*handle));
    }
    let mut counts: BTreeMap<Activity, usize> = BTreeMap::new();
    w.known.values().for_each(|k| *counts.entry(k.activity).or_default() += 1);
    for activity in ACTIVITIES.into_iter().filter(|u| *u != Activity::Busy) {
        prop_assert_eq!(w.table.count(activity), counts.get(&activity).copied().unwrap_or(0));
    }
    // Of two that took the same activity up in the same microsecond either may be evicted.
    let since = |h: Option<Handle>| h.and_then(|h| w.table.activity(h)).map(|(_, since_us)| since_us);
    prop_assert_eq!(since(w.table.eviction_candidate(w.now_us, usize::MAX)), since(w.eviction_candidate()));
    for (at, kind) in MemoryPurpose::ALL.into_iter().enumerate() {
        prop_assert_eq!(memory.held(kind), w.known.values().map(|k| k.held[at]).sum::<usize>());
    }
    let next = w.known.values().filter_map(|k| k.timer.map(|(_, at_us, _)| at_us)).min();
    // It may say a time that is too early, where a timer was cancelled, and never one that is too late.
    prop_assert_eq!(w.wheel.next_us().is_some(), next.is_some());
    prop_assert!(w.wheel.next_us() <= next || next.is_none());
    prop_assert_eq!(w.wheel.len(), w.known.values().filter(|k| k.timer.is_some()).count());
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
    fn sessions_timers_and_memory_agree_with_plain_maps(steps in prop::collection::vec(step(), 1..200)) {
        play(&steps)?;
    }
}

/// The table and the wheel as the gateway uses them, at a size that sockets don't reach: while nothing is due
/// nothing wakes up, and time-outs of 3 s and 20 s fire at their microsecond among 100,000 suspended sessions.
#[test]
fn time_outs_among_100_000_suspended_sessions_fire_at_their_time() {
    let mut table: SessionTable<u64, u64> = SessionTable::new();
    let mut wheel = TimerWheel::new();
    let all: Vec<Handle> = (0..100_000).map(|n| table.insert(n, Box::new(n))).collect();
    for (n, handle) in all.iter().enumerate() {
        table.set_activity(*handle, Activity::Idle, n as u64);
        assert!(table.suspend(*handle, |active| Ok(*active)));
    }
    assert_eq!(wheel.next_us(), None, "suspended sessions have no timer");
    let mut wanted = Vec::new();
    for (n, handle) in all.iter().enumerate().step_by(100) {
        let now_us = 100_000 + n as u64;
        wheel.pop(now_us);
        let at_us = now_us + if n % 200 == 0 { 3_000_000 } else { 20_000_000 };
        wanted.push((at_us, wheel.arm(at_us, *handle), *handle));
    }
    // Half of them are answered in time.
    for (_, timer, handle) in wanted.iter().skip(1).step_by(2) {
        assert_eq!(wheel.cancel(*timer), Some(*handle));
    }
    let mut wanted: Vec<_> =
        wanted.into_iter().step_by(2).map(|(at_us, _, handle)| (at_us, handle)).collect();
    wanted.sort_by_key(|(at_us, _)| *at_us);
    let (mut fired, mut early) = (Vec::new(), 0);
    while let Some(at_us) = wheel.next_us() {
        let before = fired.len();
        fired.extend(
            std::iter::from_fn(|| wheel.pop(at_us)).inspect(|(due_us, _)| assert_eq!(*due_us, at_us)),
        );
        early += usize::from(fired.len() == before);
    }
    assert_eq!(fired, wanted);
    assert!(
        early <= 20,
        "{early} looks too early, one for each slot whose first timer was cancelled at most"
    );
}
