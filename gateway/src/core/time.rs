//! The core counts whole microseconds, the workload manager seconds.

/// An upper bound for spans, so that sums of them and of times don't overflow.
const LONGEST_SPAN_US: f64 = 1e15;

pub(super) fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Rounded down; 0 for negative spans.
pub(super) fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).min(LONGEST_SPAN_US) as u64
}

/// Rounded up, so that nobody comes back too early.
pub(super) fn millis_rounded_up(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

/// From now until a time, in seconds; 0 for a time that has passed.
pub(super) fn remaining_seconds(now_us: u64, until_us: u64) -> f64 {
    seconds(until_us.saturating_sub(now_us))
}
