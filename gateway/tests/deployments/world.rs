//! What the peers of one deployment share: the log, the time and what becomes of attempts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::auditor::{Allowance, Entry, Event, Serial, serial_of};
use crate::draw::{Fate, Reports};

/// How long the thread sleeps that measures how late threads wake up.
const NAP: Duration = Duration::from_millis(2);

/// An attempt that nobody has asked for in this long is not waited for.
const ABANDONED: Duration = Duration::from_secs(1);

pub struct World {
    started: Instant,
    log: Mutex<Vec<Entry>>,
    fates: Vec<Vec<Fate>>,
    arrivals: Mutex<BTreeMap<Serial, usize>>,
    pub reports: Reports,
    over: AtomicBool,
    has_died: AtomicBool,
    late_us: AtomicU64,
}

/// A lock's content, also if a thread that had it has panicked: that thread's panic is told by itself.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub fn new(fates: Vec<Vec<Fate>>, reports: Reports) -> Arc<Self> {
        let world = Arc::new(Self {
            started: Instant::now(),
            log: Mutex::default(),
            fates,
            arrivals: Mutex::default(),
            reports,
            over: AtomicBool::new(false),
            has_died: AtomicBool::new(false),
            late_us: AtomicU64::new(0),
        });
        let watched = world.clone();
        thread::spawn(move || watched.measure_lateness());
        world
    }

    fn measure_lateness(&self) {
        while !self.is_over() {
            let before = Instant::now();
            thread::sleep(NAP);
            let late = before.elapsed().saturating_sub(NAP);
            self.late_us.fetch_max(late.as_micros() as u64, Ordering::SeqCst);
        }
    }

    /// Stamps an event. The order of the log is that of its stamps.
    pub fn log(&self, event: Event) {
        let mut log = locked(&self.log);
        let at = self.started.elapsed();
        log.push(Entry { at, event });
    }

    pub fn entries(&self) -> Vec<Entry> {
        locked(&self.log).clone()
    }

    pub fn has(&self, is: impl Fn(&Event) -> bool) -> bool {
        locked(&self.log).iter().any(|entry| is(&entry.event))
    }

    /// Whether a request needs no more waiting for.
    pub fn is_settled(&self, request: Serial) -> bool {
        self.has(|event| match event {
            Event::Answered(serial, _) | Event::CutOff(serial) | Event::Left(serial) => *serial == request,
            _ => false,
        })
    }

    /// Whether no attempt is out that is still being asked for.
    pub fn is_quiet(&self) -> bool {
        let now = self.started.elapsed();
        let mut out = BTreeMap::new();
        for entry in locked(&self.log).iter() {
            match &entry.event {
                Event::Arrived(engine, call) => {
                    serial_of(&call.statement).map(|request| out.insert((*engine, request), entry.at));
                }
                Event::Asked(engine, request) => {
                    out.entry((*engine, *request)).and_modify(|asked| *asked = entry.at);
                }
                Event::Ending(engine, request, _)
                | Event::GivenUp(engine, request)
                | Event::Dying(engine, request) => drop(out.remove(&(*engine, *request))),
                _ => {}
            }
        }
        out.values().all(|asked| *asked + ABANDONED < now)
    }

    /// What becomes of the attempt of a request that has come just now, and its number.
    pub fn fate(&self, request: Serial) -> (Fate, usize) {
        let mut arrivals = locked(&self.arrivals);
        let number = arrivals.entry(request).or_default();
        *number += 1;
        let fate = self.fates.get(request).and_then(|fates| fates.get(*number - 1)).copied();
        let fate = match fate.unwrap_or(Fate::Served { after_ms: 0, pages: 1, noted: false }) {
            Fate::DiesForGood if self.has_died.swap(true, Ordering::SeqCst) => Fate::Dies,
            fate => fate,
        };
        (fate, *number)
    }

    pub fn since_start(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub fn allowance(&self) -> Allowance {
        Allowance::of(Duration::from_micros(self.late_us.load(Ordering::SeqCst)))
    }
}
