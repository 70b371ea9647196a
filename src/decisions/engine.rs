//! State that the gateway keeps for each engine.

use crate::{EndpointEntry, EndpointState};

use super::class_profile::ClassProfile;
use super::concurrency_limit::ConcurrencyLimit;
use super::outlier::EngineHealth;
use super::relative_latency::RelativeLatency;
use super::slow_start::SlowStartBudget;
use super::smoothing::TimedValue;
use super::supervision::StalledRatio;

/// An engine of the endpoint list, or one that was removed from it with attempts in flight.
#[derive(Default)]
pub(super) struct Engine {
    pub(super) entry: EndpointEntry,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: EngineHealth,
    /// Threads of this gateway's attempts in flight: the total, and the part of background work.
    pub(super) threads: f64,
    pub(super) background_threads: f64,
    /// Memory of the engine, 0 if not known, and the estimated memory of this gateway's attempts in flight.
    pub(super) memory_mb: f64,
    pub(super) needed_memory_mb: f64,
    /// Last estimate of the engine's utilization, raised by each attempt sent since.
    pub(super) utilization: Option<TimedValue>,
    pub(super) relative_latency: RelativeLatency,
    pub(super) stalled: StalledRatio,
    /// Random sort key, drawn by this gateway. Engines of low rank are preferred.
    pub(super) rank: u32,
    /// Whether the engine is in the active subset.
    pub(super) active: bool,
    pub(super) slow_start: SlowStartBudget,
}

impl Engine {
    /// Number of the engine's cores.
    pub(super) fn cores(&self) -> f64 {
        self.limit.cores
    }

    /// Threads of this gateway's interactive attempts in flight.
    pub(super) fn interactive_threads(&self) -> f64 {
        self.threads - self.background_threads
    }

    /// Whether the engine may get attempts: it is listed as ready, and its health admits another attempt.
    pub(super) fn is_available(&self, now: f64) -> bool {
        self.entry.state == EndpointState::Ready && self.health.admits(now)
    }

    /// Adds a sent attempt to the sums.
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

    /// Removes an ended attempt from the sums. `interactive` is the value at the time of sending.
    pub(super) fn remove_attempt(&mut self, threads: f64, needed_memory_mb: f64, interactive: bool) {
        self.threads -= threads;
        self.needed_memory_mb -= needed_memory_mb;
        if !interactive {
            self.background_threads -= threads;
        }
    }
}
