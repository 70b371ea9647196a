//! Timer lag: how late timers fire. It is the first figure to look at when a gateway seems slow.

use std::fmt;

use hdrhistogram::Histogram;

/// A longer lag is recorded as this.
const MAX_LAG_US: u64 = 60_000_000;

const SIGNIFICANT_DIGITS: u8 = 2;

/// The lag of all timers that have fired since the start.
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
    /// Records a timer that was due at `due_us` and fires now.
    pub fn record(&mut self, due_us: u64, now_us: u64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(now_us.saturating_sub(due_us));
        }
    }

    /// The timers of both.
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
