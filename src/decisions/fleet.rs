//! Sums over all engines: the capacity available to this gateway, and its use.

use crate::EndpointState;

use super::WorkloadManager;
use super::engine::Engine;
use super::slow_start::usable_memory_ratio;

/// Sums over engines. Cores and memory cover available engines, each scaled by its warm-up ratio.
#[derive(Default)]
pub(super) struct Fleet {
    /// Number of cores of the engines, not divided by gateways.
    pub(super) cores: f64,
    /// This gateway's share of the engines' memory that background work may use.
    pub(super) memory_mb: f64,
    /// Threads of this gateway's attempts in flight: the total, and the part of background work.
    pub(super) threads: f64,
    pub(super) background_threads: f64,
    /// Estimated memory of this gateway's attempts in flight.
    pub(super) needed_memory_mb: f64,
    /// Mean relative latency of the engines. 1 if there are none.
    pub(super) mean_relative_latency: f64,
}

impl Fleet {
    /// Creates the sums of an empty endpoint list.
    pub(super) fn new() -> Self {
        Self { mean_relative_latency: 1.0, ..Self::default() }
    }

    /// Threads of interactive attempts in flight.
    pub(super) fn interactive_threads(&self) -> f64 {
        self.threads - self.background_threads
    }

    /// Adds a sent attempt to the sums.
    pub(super) fn add_attempt(&mut self, threads: u32, needed_memory_mb: f64, interactive: bool) {
        let threads = f64::from(threads);
        self.needed_memory_mb += needed_memory_mb;
        self.threads += threads;
        if !interactive {
            self.background_threads += threads;
        }
    }

    /// Removes an ended attempt from the sums. `interactive` is the value at the time of sending.
    pub(super) fn remove_attempt(&mut self, threads: f64, needed_memory_mb: f64, interactive: bool) {
        self.needed_memory_mb -= needed_memory_mb;
        self.threads -= threads;
        if !interactive {
            self.background_threads -= threads;
        }
    }
}

impl WorkloadManager {
    /// Updates the sums and the active subset, and drops removed engines without attempts in flight. Called
    /// at each change of the endpoint list and once per control tick.
    pub(super) fn update_fleet(&mut self, now: f64) {
        self.engines.retain(|_, engine| engine.entry.state != EndpointState::Removed || engine.threads > 0.0);
        let latencies: f64 = self.engines.values().map(|engine| engine.relative_latency.ratio(now)).sum();
        self.fleet.mean_relative_latency =
            if self.engines.is_empty() { 1.0 } else { latencies / self.engines.len() as f64 };
        self.update_capacity(now);
        self.update_active_subset(now);
    }

    fn update_capacity(&mut self, now: f64) {
        let rules = &self.settings.rules;
        let gateways = f64::from(self.settings.gateways);
        let mean_relative_latency = self.fleet.mean_relative_latency;
        // The limit of a slow engine is divided by its slowness.
        let limit = |engine: &Engine| {
            let slowness = (engine.relative_latency.ratio(now) / mean_relative_latency).max(1.0);
            engine.limit.threads * engine.warm_up_ratio(now, rules) / slowness
        };
        let cores = |engine: &Engine| engine.cores() * engine.warm_up_ratio(now, rules);
        let memory = |engine: &Engine| {
            engine.memory_mb * usable_memory_ratio(engine.warm_up_ratio(now, rules), rules) / gateways
        };
        self.tokens.rate_threads = self.sum_available(now, limit);
        self.fleet.cores = self.sum_available(now, cores);
        self.fleet.memory_mb = self.sum_available(now, memory);
    }

    fn sum_available(&self, now: f64, value: impl Fn(&Engine) -> f64) -> f64 {
        self.engines.values().filter(|engine| engine.is_available(now)).map(value).sum()
    }
}
