//! What one gateway knows of one engine.

use crate::{EndpointEntry, EndpointState};

use super::class_profile::ClassProfile;
use super::concurrency_limit::ConcurrencyLimit;
use super::outlier::EngineHealth;
use super::relative_latency::RelativeLatency;
use super::slow_start::SlowStartBudget;
use super::smoothing::TimedValue;
use super::supervision::StalledRatio;

/// An engine of the endpoint list, or one that has left it with attempts in flight.
#[derive(Default)]
pub(super) struct Engine {
    pub(super) entry: EndpointEntry,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: EngineHealth,
    /// Threads of this gateway's attempts in flight: all, and those of background work.
    pub(super) threads: f64,
    pub(super) background_threads: f64,
    /// Its own memory, and what this gateway's attempts need of it by their estimates.
    pub(super) memory_mb: f64,
    pub(super) needed_memory_mb: f64,
    /// The last estimate of its utilization.
    pub(super) utilization: Option<TimedValue>,
    pub(super) relative_latency: RelativeLatency,
    pub(super) stalled: StalledRatio,
    /// Place in this gateway's own random order of engines.
    pub(super) rank: u32,
    /// Whether it is in the active subset.
    pub(super) active: bool,
    pub(super) slow_start: SlowStartBudget,
}

impl Engine {
    /// Cores of the engine.
    pub(super) fn cores(&self) -> f64 {
        self.limit.cores
    }

    /// Threads of this gateway's interactive attempts in flight.
    pub(super) fn interactive_threads(&self) -> f64 {
        self.threads - self.background_threads
    }

    /// Whether it may be sent anything: the list has it as ready, and its health admits an attempt.
    pub(super) fn is_available(&self, now: f64) -> bool {
        self.entry.state == EndpointState::Ready && self.health.admits(now)
    }

    /// Counts an attempt that is sent.
    pub(super) fn add_attempt(&mut self, threads: u32, needed_memory_mb: f64, profile: &ClassProfile) {
        let threads = f64::from(threads);
        self.needed_memory_mb += needed_memory_mb;
        self.threads += threads;
        self.raise_utilization(threads, profile.memory_mb);
        if !profile.interactive {
            self.background_threads += threads;
            self.limit.record_use(self.background_threads);
        }
        self.health.attempt_started();
    }

    /// Takes out an attempt that has ended. It is background work if it was that when it was sent.
    pub(super) fn remove_attempt(&mut self, threads: f64, needed_memory_mb: f64, interactive: bool) {
        self.threads -= threads;
        self.needed_memory_mb -= needed_memory_mb;
        if !interactive {
            self.background_threads -= threads;
        }
    }
}
