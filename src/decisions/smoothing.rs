//! Running means, and values that count for less as they age.

/// Weight of the newest sample in a running mean, where its rule states no other.
pub(super) const NEWEST_SAMPLE_RATIO: f64 = 0.1;

/// Moves a running mean towards a sample by the given weight, from 0 to 1.
pub(super) fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// A value and the time in seconds at which it was taken.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimedValue {
    pub(super) value: f64,
    pub(super) at: f64,
}

impl TimedValue {
    /// What it counts for now: it approaches `rest` exponentially, by a factor of e in every `decay_seconds`.
    pub(super) fn decayed(self, now: f64, rest: f64, decay_seconds: f64) -> f64 {
        rest + (self.value - rest) * (-(now - self.at) / decay_seconds).exp()
    }
}
