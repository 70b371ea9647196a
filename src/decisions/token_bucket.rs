//! Token bucket of background work: bounds the mean number of its threads over time, summed over all engines.
//!
//! If this gateway's share of an engine is less than a thread, one thread on each engine would exceed the
//! sum of the concurrency limits. The bucket is refilled with thread-seconds at the rate of that sum, and
//! each attempt is charged the thread-seconds that it takes. The balance is stored as a debt, which is
//! negative while the bucket holds tokens.

/// Capacity of the bucket, and bound up to which [`TokenBucket::charge_excess`] raises the debt, in seconds
/// of refill.
const CAPACITY_SECONDS: f64 = 2.0;
/// Largest ratio of the bucket's capacity that may be required for a request to start.
const MAX_REQUIRED_RATIO: f64 = 0.9;
/// Tokens required for a large request, as a multiple of its cost beyond the mean. Also the debt allowed for
/// a small request, as a multiple of its cost below the mean.
const SIZE_DIFFERENCE_RATIO: f64 = 2.0;
/// Mean utilization below which any debt is cancelled. Idle engines need no bound over time.
const IDLE_UTILIZATION_RATIO: f64 = 0.5;

/// Token bucket with thread-seconds as tokens.
#[derive(Default)]
pub(super) struct TokenBucket {
    /// Refill per second: the sum of the concurrency limits of available engines, in threads.
    pub(super) rate_threads: f64,
    /// Thread-seconds charged beyond the refill. Negative while the bucket holds tokens.
    pub(super) debt_thread_seconds: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// Refills the bucket for the time since the last call.
    pub(super) fn refill(&mut self, now: f64, mean_utilization: Option<f64>) {
        let refill = (now - self.refilled_at) * self.rate_threads;
        self.debt_thread_seconds =
            (self.debt_thread_seconds - refill).max(-CAPACITY_SECONDS * self.rate_threads);
        if mean_utilization.is_some_and(|utilization| utilization < IDLE_UTILIZATION_RATIO) {
            self.debt_thread_seconds = self.debt_thread_seconds.min(0.0);
        }
        self.refilled_at = now;
    }

    /// Charges the expected thread-seconds of an attempt at its start.
    pub(super) fn charge_expected(&mut self, thread_seconds: f64) {
        self.debt_thread_seconds += thread_seconds;
    }

    /// Charges the thread-seconds that an attempt took beyond the expected ones, or refunds the difference if
    /// negative. The debt is bounded, so that one heavy request, lost answer or hanging engine does not stop
    /// this gateway's background work for long.
    pub(super) fn charge_excess(&mut self, thread_seconds: f64) {
        let max_debt = (CAPACITY_SECONDS * self.rate_threads).max(self.debt_thread_seconds);
        self.debt_thread_seconds = (self.debt_thread_seconds + thread_seconds).min(max_debt);
    }

    /// Whether a request beyond the concurrency limit may start on an engine without other background work.
    /// A request of mean size may start without debt. A larger one needs tokens in the bucket, and a smaller
    /// one may start with some debt, so that small requests get scarce capacity first.
    ///
    /// `mean_thread_seconds` is the cost of a request of mean size, and `relative_size` the request's size
    /// relative to the mean.
    pub(super) fn admits(&self, mean_thread_seconds: f64, relative_size: f64) -> bool {
        let allowed = SIZE_DIFFERENCE_RATIO * mean_thread_seconds * (1.0 - relative_size);
        self.debt_thread_seconds <= allowed.max(-MAX_REQUIRED_RATIO * CAPACITY_SECONDS * self.rate_threads)
    }
}
