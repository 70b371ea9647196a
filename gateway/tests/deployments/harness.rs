//! State that the scripted peers of one deployment share: the event log, the clock and the engine behaviors.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::auditor::{Entry, Event, RequestIndex, Tolerance, request_of};
use crate::generator::{Behavior, LoadReports};

/// Sleep interval of the thread that measures the timer lag.
const LAG_SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Time without a poll after which the end of a run does not wait for an attempt.
const ABANDONED_AFTER: Duration = Duration::from_secs(1);

pub struct Harness {
    started: Instant,
    log: Mutex<Vec<Entry>>,
    behaviors: Vec<Vec<Behavior>>,
    attempt_counts: Mutex<BTreeMap<RequestIndex, usize>>,
    pub reports: LoadReports,
    finished: AtomicBool,
    /// An engine has crashed permanently. At most one engine of a deployment does so.
    has_crashed: AtomicBool,
    max_lag_us: AtomicU64,
}

/// Locks a mutex even if it is poisoned. The panicking thread reports its panic itself.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Harness {
    pub fn new(behaviors: Vec<Vec<Behavior>>, reports: LoadReports) -> Arc<Self> {
        let harness = Arc::new(Self {
            started: Instant::now(),
            log: Mutex::default(),
            behaviors,
            attempt_counts: Mutex::default(),
            reports,
            finished: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            max_lag_us: AtomicU64::new(0),
        });
        let sampled = harness.clone();
        thread::spawn(move || sampled.measure_timer_lag());
        harness
    }

    fn measure_timer_lag(&self) {
        while !self.is_finished() {
            let before = Instant::now();
            thread::sleep(LAG_SAMPLE_INTERVAL);
            let lag = before.elapsed().saturating_sub(LAG_SAMPLE_INTERVAL);
            self.max_lag_us.fetch_max(lag.as_micros() as u64, Ordering::SeqCst);
        }
    }

    /// Adds an event with the current time. Entries of the log are sorted by time.
    pub fn log(&self, event: Event) {
        let mut log = lock(&self.log);
        let at = self.started.elapsed();
        log.push(Entry { at, event });
    }

    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.log).clone()
    }

    pub fn contains(&self, matches: impl Fn(&Event) -> bool) -> bool {
        lock(&self.log).iter().any(|entry| matches(&entry.event))
    }

    /// Whether a request was answered, its client left, or its connection ended.
    pub fn is_settled(&self, request: RequestIndex) -> bool {
        self.contains(|event| match event {
            Event::Answered(n, _) | Event::ConnectionEnded(n) | Event::ClientLeft(n) => *n == request,
            _ => false,
        })
    }

    /// Whether no attempt in flight is still polled.
    pub fn is_idle(&self) -> bool {
        let now = self.started.elapsed();
        let mut in_flight = BTreeMap::new();
        for entry in lock(&self.log).iter() {
            match &entry.event {
                Event::Arrived(engine, call) => {
                    request_of(&call.statement).map(|request| in_flight.insert((*engine, request), entry.at));
                }
                Event::Polled(engine, request) => {
                    in_flight.entry((*engine, *request)).and_modify(|polled_at| *polled_at = entry.at);
                }
                Event::Ending(engine, request, _)
                | Event::Cancelled(engine, request)
                | Event::Crashing(engine, request) => drop(in_flight.remove(&(*engine, *request))),
                _ => {}
            }
        }
        in_flight.values().all(|polled_at| *polled_at + ABANDONED_AFTER < now)
    }

    /// Counts a new attempt of a request. Returns the behavior of its engine and the number of the attempt, from 1.
    pub fn next_behavior(&self, request: RequestIndex) -> (Behavior, usize) {
        let mut counts = lock(&self.attempt_counts);
        let number = counts.entry(request).or_default();
        *number += 1;
        let behavior = self.behaviors.get(request).and_then(|behaviors| behaviors.get(*number - 1)).copied();
        let behavior = match behavior.unwrap_or(Behavior::Served { after_ms: 0, pages: 1, progress: false }) {
            Behavior::PermanentCrash if self.has_crashed.swap(true, Ordering::SeqCst) => Behavior::Crash,
            behavior => behavior,
        };
        (behavior, *number)
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn finish(&self) {
        self.finished.store(true, Ordering::SeqCst);
    }

    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    pub fn tolerance(&self) -> Tolerance {
        Tolerance::of(Duration::from_micros(self.max_lag_us.load(Ordering::SeqCst)))
    }
}
