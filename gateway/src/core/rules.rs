//! Rules that the core enforces whatever actions the workload manager returns: retry safety, number of attempts, answer
//! times and key cooldowns. Most of their limits come from the settings.

use workload_manager::{ClassId, Idempotency, KeyId, Settings};

use super::time::micros;

/// Time before the client's deadline at which the core answers at the latest. The time covers the transmission of the
/// request, which ends before the gateway measures its arrival, and the transmission of the answer.
pub(super) const CLIENT_DEADLINE_MARGIN_US: u64 = 25_000;

/// Maximum Retry-After of requests that the core itself rejects: shutdown, lease not granted in time, lost attempt. The
/// settings may limit it further.
const CORE_RETRY_AFTER_SECONDS: f64 = 0.05;

/// Limits that the core enforces.
pub(super) struct RequestRules {
    /// Indexed by class.
    idempotency: Vec<Idempotency>,
    /// Indexed by class.
    ordered_by_key: Vec<bool>,
    key_cooldown_us: u64,
    /// 0: no limit.
    max_attempts: u32,
    clock_resolution_us: u64,
    /// Retry-After of requests that the core itself rejects. `None` if the settings disable Retry-After.
    retry_after_seconds: Option<f64>,
}

impl RequestRules {
    pub(super) fn new(settings: &Settings) -> Self {
        let capabilities = &settings.capabilities;
        let retry_after_seconds = CORE_RETRY_AFTER_SECONDS.min(capabilities.max_retry_after);
        Self {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            ordered_by_key: settings.classes.iter().map(|class| class.ordered_by_key).collect(),
            key_cooldown_us: micros(settings.rules.key_cooldown),
            max_attempts: capabilities.max_attempts,
            clock_resolution_us: micros(settings.clock_resolution),
            retry_after_seconds: capabilities.retry_after.then_some(retry_after_seconds),
        }
    }

    /// Retry-After of a request that the core itself rejects, in seconds. `None` if the settings disable Retry-After.
    pub(super) fn retry_after_seconds(&self) -> Option<f64> {
        self.retry_after_seconds
    }

    /// Time by which the core answers a client that waits until `client_deadline_us`.
    pub(super) fn answer_by_us(&self, client_deadline_us: u64) -> u64 {
        client_deadline_us.saturating_sub(CLIENT_DEADLINE_MARGIN_US)
    }

    /// Order key of a request of this class. `None` if the request has no key or the class is not ordered by key.
    pub(super) fn order_key(&self, class: ClassId, key: Option<KeyId>) -> Option<KeyId> {
        key.filter(|_| self.ordered_by_key[class.0])
    }

    /// Whether a request that has had this number of attempts has reached the limit.
    pub(super) fn attempts_exhausted(&self, attempts: u32) -> bool {
        self.max_attempts > 0 && attempts >= self.max_attempts
    }

    /// Whether a retry by the client is safe for a request of this class.
    pub(super) fn client_may_retry(&self, class: ClassId, may_have_run: bool) -> bool {
        self.idempotency[class.0].client_may_retry(may_have_run)
    }

    /// Time until which another attempt of a request may start. `u64::MAX`: no limit. `may_have_run_since_us` is the
    /// start time of the first attempt that may have run. Engines detect repeats of an idempotency key only within the
    /// window of the class, and their clocks may differ by the clock resolution.
    pub(super) fn retry_window_end_us(&self, class: ClassId, may_have_run_since_us: Option<u64>) -> u64 {
        match (self.idempotency[class.0], may_have_run_since_us) {
            (Idempotency::Keyed { window, .. }, Some(since_us)) => {
                (since_us + micros(window)).saturating_sub(self.clock_resolution_us)
            }
            _ => u64::MAX,
        }
    }

    /// Time until which no other process may use a key after an attempt that an engine may run until
    /// `may_run_until_us`.
    pub(super) fn key_cooldown_end_us(&self, may_run_until_us: u64) -> u64 {
        may_run_until_us + self.key_cooldown_us
    }
}
