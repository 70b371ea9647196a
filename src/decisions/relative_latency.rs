//! Relative latency of an engine: the ratio of its latency to the mean of the request's class.
//!
//! The value decays towards 1, so that a slow engine is tried again. Slow engines are used last, but not
//! ejected.

use super::smoothing::{TimedValue, blend};

/// Relative latency at and above which an engine is slow, as a multiple of the mean over engines.
pub(super) const SLOW_RATIO: f64 = 2.0;
/// Weight of the newest attempt in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Upper bound of the sample of an attempt.
const MAX_SAMPLE_RATIO: f64 = 2.0 * SLOW_RATIO;
/// Lower bound of the relative latency of an engine with an overdue interactive attempt.
const OVERDUE_RATIO: f64 = 1.2 * SLOW_RATIO;
/// Time constant of the decay.
const DECAY_SECONDS: f64 = 8.0;
/// Lower bound of the mean latency that samples are divided by.
const MIN_MEAN_SECONDS: f64 = 1e-6;

/// Moving average of the relative latency of one engine.
#[derive(Clone, Copy, Default)]
pub(super) struct RelativeLatency(TimedValue);

impl RelativeLatency {
    /// Creates the value of an engine without samples.
    pub(super) fn new(now: f64) -> Self {
        Self(TimedValue { value: 1.0, at: now })
    }

    /// Relative latency at the time `now`.
    pub(super) fn ratio(self, now: f64) -> f64 {
        self.0.decayed(now, 1.0, DECAY_SECONDS)
    }

    /// Records the latency of an attempt that has ended. An attempt that timed out or was cancelled would
    /// have taken longer than its elapsed time, so its sample is at least 1.
    pub(super) fn record(&mut self, now: f64, elapsed_seconds: f64, mean_seconds: f64, cut_short: bool) {
        let min = if cut_short { 1.0 } else { 0.0 };
        let sample = (elapsed_seconds / mean_seconds.max(MIN_MEAN_SECONDS)).clamp(min, MAX_SAMPLE_RATIO);
        let mut ratio = self.ratio(now);
        blend(&mut ratio, sample, SAMPLE_WEIGHT);
        self.0 = TimedValue { value: ratio, at: now };
    }

    /// Whether an attempt in flight has taken long enough to show that its engine is slow.
    pub(super) fn is_overdue(elapsed_seconds: f64, mean_seconds: f64) -> bool {
        elapsed_seconds > MAX_SAMPLE_RATIO * mean_seconds
    }

    /// Raises the value for an overdue interactive attempt.
    pub(super) fn record_overdue(&mut self, now: f64) {
        self.0 = TimedValue { value: self.ratio(now).max(OVERDUE_RATIO), at: now };
    }
}
