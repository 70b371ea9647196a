//! Latency of an engine in units of its classes' mean latency: 1 is usual, 2 is twice as slow.
//!
//! It fades back to 1, so that a slow engine is tried again. Slow engines are used last; they are not
//! ejected.

use super::smoothing::{TimedValue, blend};

/// From this on an engine counts as slow, in times the mean over engines.
pub(super) const SLOW_RATIO: f64 = 2.0;
/// Weight of the newest attempt.
const NEWEST_ATTEMPT_RATIO: f64 = 0.2;
/// A single attempt counts as this at most.
const MAX_SAMPLE_RATIO: f64 = 2.0 * SLOW_RATIO;
/// What an engine with an interactive attempt long in flight has at least.
const OVERDUE_RATIO: f64 = 1.2 * SLOW_RATIO;
/// Time constant with which it fades.
const DECAY_SECONDS: f64 = 8.0;
/// The shortest mean latency that a sample is divided by.
const MIN_USUAL_SECONDS: f64 = 1e-6;

/// The running mean of one engine.
#[derive(Clone, Copy, Default)]
pub(super) struct RelativeLatency(TimedValue);

impl RelativeLatency {
    /// An engine of which nothing is known.
    pub(super) fn new(now: f64) -> Self {
        Self(TimedValue { value: 1.0, at: now })
    }

    /// Its value now.
    pub(super) fn ratio(self, now: f64) -> f64 {
        self.0.decayed(now, 1.0, DECAY_SECONDS)
    }

    /// Counts an attempt that has ended. One that was cut short took longer than was waited: it counts as
    /// usual at least.
    pub(super) fn record(&mut self, now: f64, elapsed_seconds: f64, usual_seconds: f64, cut_short: bool) {
        let least = if cut_short { 1.0 } else { 0.0 };
        let sample = (elapsed_seconds / usual_seconds.max(MIN_USUAL_SECONDS)).clamp(least, MAX_SAMPLE_RATIO);
        let mut ratio = self.ratio(now);
        blend(&mut ratio, sample, NEWEST_ATTEMPT_RATIO);
        self.0 = TimedValue { value: ratio, at: now };
    }

    /// Whether an attempt has been in flight for so long that it shows a slow engine before it ends.
    pub(super) fn is_overdue(elapsed_seconds: f64, usual_seconds: f64) -> bool {
        elapsed_seconds > MAX_SAMPLE_RATIO * usual_seconds
    }

    /// Notes an overdue interactive attempt.
    pub(super) fn record_overdue(&mut self, now: f64) {
        self.0 = TimedValue { value: self.ratio(now).max(OVERDUE_RATIO), at: now };
    }
}
