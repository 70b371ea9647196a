//! The rules of retry safety that the core enforces whatever the workload manager asks for, and the limits that it
//! takes from the settings for them.

use workload_manager::{ClassId, Idempotency, KeyId, Settings};

use super::time::micros;

/// The core answers at the latest this long before the client's deadline: the time that the answer needs to the
/// client, and that the request needed from it, which the gateway's clock has not seen.
pub(super) const CLIENT_DEADLINE_MARGIN_US: u64 = 25_000;

/// Retry-After of requests that the core itself ends: shutdown, lease not granted in time, silent engine.
const CORE_RETRY_AFTER_SECONDS: f64 = 0.05;

/// Limits that the core enforces itself.
pub(super) struct RequestRules {
    /// By class.
    idempotency: Vec<Idempotency>,
    /// By class.
    ordered_by_key: Vec<bool>,
    key_cooldown_us: u64,
    /// 0: no limit.
    max_attempts: u32,
    clock_resolution_us: u64,
    /// Retry-After of requests that end for no reason of the workload manager's; none where clients know none.
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

    /// Retry-After in seconds, for a request that the core ends by itself.
    pub(super) fn retry_after_seconds(&self) -> Option<f64> {
        self.retry_after_seconds
    }

    /// By when the core answers a client that waits until `client_deadline_us`.
    pub(super) fn answer_by_us(&self, client_deadline_us: u64) -> u64 {
        client_deadline_us.saturating_sub(CLIENT_DEADLINE_MARGIN_US)
    }

    /// The key that orders a request of this class.
    pub(super) fn order_key(&self, class: ClassId, key: Option<KeyId>) -> Option<KeyId> {
        key.filter(|_| self.ordered_by_key[class.0])
    }

    /// Whether a request has had all the attempts that it may have.
    pub(super) fn attempts_exhausted(&self, attempts: u32) -> bool {
        self.max_attempts > 0 && attempts >= self.max_attempts
    }

    /// Whether a client may retry a request of this class. A rejection promises that; a failure promises nothing.
    pub(super) fn client_may_retry(&self, class: ClassId, may_have_run: bool) -> bool {
        self.idempotency[class.0].client_may_retry(may_have_run)
    }

    /// Until when a further attempt of a request may start whose first attempt that may have run was started at
    /// `may_have_run_since_us`. Engines drop repeats with the same idempotency key only within its window, and their
    /// clocks may be off by the clock resolution.
    pub(super) fn retry_window_end_us(&self, class: ClassId, may_have_run_since_us: Option<u64>) -> u64 {
        match (self.idempotency[class.0], may_have_run_since_us) {
            (Idempotency::Keyed { window, .. }, Some(since_us)) => {
                (since_us + micros(window)).saturating_sub(self.clock_resolution_us)
            }
            _ => u64::MAX,
        }
    }

    /// Until when a key must not be used elsewhere after an attempt that its engine may run until `runs_until_us`.
    pub(super) fn key_cooldown_end_us(&self, runs_until_us: u64) -> u64 {
        runs_until_us + self.key_cooldown_us
    }
}
