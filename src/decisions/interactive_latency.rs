//! Latency of interactive requests over all engines: the signal that background work is admitted by.

use super::concurrency_limit::ControllerTerms;

/// Control intervals over which the controllers correct an error (n of the thesis, 4.8.5).
const CORRECTION_INTERVALS: f64 = 3.0;
/// How much the lightest latency may rise at a control tick.
const LIGHTEST_RISE_RATIO: f64 = 1.001;
/// Samples over which the mean is taken.
const MEAN_SAMPLES: f64 = 20.0;
/// Objectives and lightest latencies count as this at least.
const MIN_LATENCY_SECONDS: f64 = 1e-3;

/// Objective and measured latency of interactive requests, in seconds.
pub(super) struct InteractiveLatency {
    /// The shortest objective of an interactive class.
    pub(super) objective_seconds: f64,
    /// The lowest that the mean was, or the objective if that is lower.
    pub(super) lightest_seconds: f64,
    /// Running mean over all engines.
    pub(super) mean_seconds: f64,
    /// When the mean got its last sample.
    pub(super) sampled_at: f64,
}

impl InteractiveLatency {
    /// Nothing is known before [`InteractiveLatency::set_objective`].
    pub(super) fn new() -> Self {
        Self {
            objective_seconds: f64::INFINITY,
            lightest_seconds: f64::INFINITY,
            mean_seconds: 0.0,
            sampled_at: 0.0,
        }
    }

    /// Takes the shortest of the objectives; a second where there is none.
    pub(super) fn set_objective(&mut self, objectives_seconds: impl Iterator<Item = f64>) {
        let shortest = objectives_seconds.fold(f64::INFINITY, f64::min);
        self.objective_seconds = if shortest.is_finite() { shortest.max(MIN_LATENCY_SECONDS) } else { 1.0 };
        self.lightest_seconds = self.lightest_seconds.min(self.objective_seconds);
    }

    /// Counts an attempt that has ended.
    pub(super) fn record(&mut self, now: f64, latency_seconds: f64) {
        self.mean_seconds += (latency_seconds - self.mean_seconds) / MEAN_SAMPLES;
        self.sampled_at = now;
    }

    /// Follows the mean down at once and up slowly. Called once a control tick.
    pub(super) fn update_lightest(&mut self) {
        self.lightest_seconds =
            self.mean_seconds.min(self.lightest_seconds * LIGHTEST_RISE_RATIO).min(self.objective_seconds);
    }

    /// How many times slower than in the lightest load requests are now; 1 at least.
    pub(super) fn slowdown_ratio(&self) -> f64 {
        (self.mean_seconds / self.lightest_seconds).max(1.0)
    }

    /// Terms of the controllers: gain P/(R n) for each core (4.8.5). With more than n gateways each
    /// corrects its part of the error.
    pub(super) fn controller_terms(&self, gateways: u32) -> ControllerTerms {
        let gateways = f64::from(gateways);
        let lightest_seconds = self.lightest_seconds.max(MIN_LATENCY_SECONDS);
        ControllerTerms {
            objective_seconds: self.objective_seconds,
            gain_per_core: 1.0 / (lightest_seconds * CORRECTION_INTERVALS.max(gateways)),
            start_threads_per_core: 1.0 / gateways,
        }
    }
}
