//! Timer lag: the delay between the time at which a timer is due and the time at which it fires. A high lag shows that
//! the event loop is overloaded.

use std::fmt;

use hdrhistogram::Histogram;

/// Upper bound of the recorded lag. A longer lag is recorded as this value.
const MAX_LAG_US: u64 = 60_000_000;

const SIGNIFICANT_DIGITS: u8 = 2;

/// Histogram of the lag of all timers of one timer wheel that have fired since the start.
#[derive(Clone, Debug)]
pub struct TimerLag {
    histogram: Option<Histogram<u32>>,
}

impl Default for TimerLag {
    fn default() -> Self {
        Self { histogram: Histogram::new_with_bounds(1, MAX_LAG_US, SIGNIFICANT_DIGITS).ok() }
    }
}

impl TimerLag {
    /// Records a timer that was due at `due_us` and fires at `now_us`.
    pub fn record(&mut self, due_us: u64, now_us: u64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(now_us.saturating_sub(due_us));
        }
    }

    /// Returns the combined lag of the timers of both histograms.
    pub fn merged(&self, other: &Self) -> Self {
        let mut both = self.clone();
        if let (Some(a), Some(b)) = (&mut both.histogram, &other.histogram) {
            // Both have the same bounds, so no value is out of range.
            let _ = a.add(b);
        }
        both
    }
}

impl fmt::Display for TimerLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(h) = &self.histogram else { return Ok(()) };
        let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        write!(f, "timers_rung={} late_p50_us={p50} late_p99_us={p99} late_max_us={}", h.len(), h.max())
    }
}
