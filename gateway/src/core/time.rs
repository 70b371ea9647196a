//! Conversions between the core's whole microseconds and the workload manager's seconds.

/// Upper bound of a duration, which keeps sums of times and durations from overflowing.
const MAX_DURATION_US: f64 = 1e15;

pub(super) fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Rounds down. A negative duration becomes 0, and a longer one than [`MAX_DURATION_US`] is shortened to it.
pub(super) fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).min(MAX_DURATION_US) as u64
}

/// Rounds up, so that a client does not retry before the delay has passed.
pub(super) fn millis_rounded_up(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

/// Seconds from `now_us` until `until_us`. 0 if `until_us` has passed.
pub(super) fn remaining_seconds(now_us: u64, until_us: u64) -> f64 {
    seconds(until_us.saturating_sub(now_us))
}
