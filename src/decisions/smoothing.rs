//! Exponential moving averages, and values that decay with age.

/// Default weight of the newest sample in a moving average.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;

/// Updates a moving average by a sample of the given weight, from 0 to 1.
pub(super) fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// A value and the time at which it was recorded, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimedValue {
    pub(super) value: f64,
    pub(super) at: f64,
}

impl TimedValue {
    /// Value at the time `now`. It approaches `limit` exponentially with the time constant `decay_seconds`.
    pub(super) fn decayed(self, now: f64, limit: f64, decay_seconds: f64) -> f64 {
        limit + (self.value - limit) * (-(now - self.at) / decay_seconds).exp()
    }
}
