//! Token bucket of background work: bounds it as a sum over engines and a mean over time.
//!
//! Where this gateway's share of an engine is under a thread, one thread on each engine would exceed every
//! limit. So thread-seconds are earned at the sum of all concurrency limits, and each attempt is charged
//! what it takes. The balance is kept as a debt, which is negative while something is saved up.

/// Seconds of the sum of limits that may be saved up, and that a charge may leave owed.
const MAX_SAVED_SECONDS: f64 = 2.0;
/// Part of what can be saved up that a small or large request may need at most.
const MAX_NEEDED_SAVINGS_RATIO: f64 = 0.9;
/// Times its cost beyond the usual that must be saved up for a large request.
const LARGE_REQUEST_SAVINGS_RATIO: f64 = 2.0;
/// Mean utilization under which nothing is owed: idle engines need no bound over time.
const IDLE_UTILIZATION_RATIO: f64 = 0.5;

/// The bucket. All amounts are thread-seconds.
#[derive(Default)]
pub(super) struct TokenBucket {
    /// What is earned a second: the sum of the concurrency limits, in threads.
    pub(super) rate_threads: f64,
    /// What background work has had beyond that.
    pub(super) debt_thread_seconds: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// Earns what is due since the last call.
    pub(super) fn refill(&mut self, now: f64, mean_utilization: Option<f64>) {
        let earned = (now - self.refilled_at) * self.rate_threads;
        self.debt_thread_seconds =
            (self.debt_thread_seconds - earned).max(-MAX_SAVED_SECONDS * self.rate_threads);
        if mean_utilization.is_some_and(|utilization| utilization < IDLE_UTILIZATION_RATIO) {
            self.debt_thread_seconds = self.debt_thread_seconds.min(0.0);
        }
        self.refilled_at = now;
    }

    /// Charges an attempt at its start for what it is expected to take.
    pub(super) fn charge_expected(&mut self, thread_seconds: f64) {
        self.debt_thread_seconds += thread_seconds;
    }

    /// Charges or returns what an attempt took beyond what was expected. Bounded: one heavy request, a lost
    /// answer or a hanging engine must not stop this gateway's background work for long.
    pub(super) fn charge_excess(&mut self, thread_seconds: f64) {
        let most = (MAX_SAVED_SECONDS * self.rate_threads).max(self.debt_thread_seconds);
        self.debt_thread_seconds = (self.debt_thread_seconds + thread_seconds).min(most);
    }

    /// Whether a request beyond the concurrency limit may start on an engine without other background work:
    /// one of the usual size while nothing is owed, a larger one out of what is saved up, a smaller one also
    /// while a little is owed. What is short goes to many small requests first.
    ///
    /// `usual_thread_seconds` is the cost of a usual request of its class, `relative_size` its own size
    /// against that.
    pub(super) fn admits(&self, usual_thread_seconds: f64, relative_size: f64) -> bool {
        let allowed = LARGE_REQUEST_SAVINGS_RATIO * usual_thread_seconds * (1.0 - relative_size);
        self.debt_thread_seconds
            <= allowed.max(-MAX_NEEDED_SAVINGS_RATIO * MAX_SAVED_SECONDS * self.rate_threads)
    }
}
