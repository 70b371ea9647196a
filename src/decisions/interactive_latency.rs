//! Latency of interactive requests over all engines: the feedback signal that limits background work.

use super::concurrency_limit::ControllerTerms;

/// Control intervals over which the controllers correct an error (n of the thesis, 4.8.5).
const CORRECTION_INTERVALS: f64 = 3.0;
/// Largest factor by which the baseline latency rises at a control tick.
const BASELINE_RISE_RATIO: f64 = 1.001;
/// Number of samples that the moving average covers.
const MEAN_SAMPLES: f64 = 20.0;
/// Lower bound of objectives, and of the baseline latency in the gain.
const MIN_LATENCY_SECONDS: f64 = 1e-3;

/// Objective, baseline and measured latency of interactive requests.
pub(super) struct InteractiveLatency {
    /// Shortest objective of an interactive class. 1 if there is no such class.
    pub(super) objective_seconds: f64,
    /// Baseline: the lowest mean latency, which rises slowly, or the objective if that is lower.
    pub(super) baseline_seconds: f64,
    /// Moving average over all engines.
    pub(super) mean_seconds: f64,
    /// Time of the last sample. 0 before the first.
    pub(super) sampled_at: f64,
}

impl InteractiveLatency {
    /// Creates a value without objective and samples, to be completed by
    /// [`InteractiveLatency::set_objective`].
    pub(super) fn new() -> Self {
        Self {
            objective_seconds: f64::INFINITY,
            baseline_seconds: f64::INFINITY,
            mean_seconds: 0.0,
            sampled_at: 0.0,
        }
    }

    /// Sets the shortest of the objectives, or 1 second if there is none.
    pub(super) fn set_objective(&mut self, objectives_seconds: impl Iterator<Item = f64>) {
        let shortest = objectives_seconds.fold(f64::INFINITY, f64::min);
        self.objective_seconds = if shortest.is_finite() { shortest.max(MIN_LATENCY_SECONDS) } else { 1.0 };
        self.baseline_seconds = self.baseline_seconds.min(self.objective_seconds);
    }

    /// Records the latency of an attempt that has ended.
    pub(super) fn record(&mut self, now: f64, latency_seconds: f64) {
        self.mean_seconds += (latency_seconds - self.mean_seconds) / MEAN_SAMPLES;
        self.sampled_at = now;
    }

    /// Lowers the baseline to the mean at once, or raises it slowly. Called once per control tick.
    pub(super) fn update_baseline(&mut self) {
        self.baseline_seconds =
            self.mean_seconds.min(self.baseline_seconds * BASELINE_RISE_RATIO).min(self.objective_seconds);
    }

    /// Ratio of the mean latency to the baseline. At least 1.
    pub(super) fn slowdown_ratio(&self) -> f64 {
        (self.mean_seconds / self.baseline_seconds).max(1.0)
    }

    /// Terms of the controllers. The gain per core is P/(R n) (4.8.5 of the thesis). With more than n
    /// gateways, each corrects its part of the error.
    pub(super) fn controller_terms(&self, gateways: u32) -> ControllerTerms {
        let gateways = f64::from(gateways);
        let baseline_seconds = self.baseline_seconds.max(MIN_LATENCY_SECONDS);
        ControllerTerms {
            objective_seconds: self.objective_seconds,
            gain_per_core: 1.0 / (baseline_seconds * CORRECTION_INTERVALS.max(gateways)),
            initial_threads_per_core: 1.0 / gateways,
        }
    }
}
