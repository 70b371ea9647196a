//! Summary statistics of durations.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Count, median, 99th percentile and maximum of samples. All are 0 without samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// A histogram of microseconds up to ten minutes with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}

impl From<&Histogram<u64>> for Summary {
    fn from(h: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1e3;
        Self {
            count: h.len(),
            p50_ms: ms(h.value_at_quantile(0.5)),
            p99_ms: ms(h.value_at_quantile(0.99)),
            max_ms: ms(h.max()),
        }
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { count, p50_ms, p99_ms, max_ms } = self;
        write!(f, "median {p50_ms:.3} ms, p99 {p99_ms:.3} ms, max {max_ms:.3} ms of {count}")
    }
}
