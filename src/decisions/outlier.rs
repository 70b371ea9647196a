//! Outlier detection and ejection: engines that fail or do not respond get no attempts for a backoff time.
//!
//! An engine is ejected when the weighted sum of its faults reaches 1. After the backoff, a recovery ramp
//! limits it to one attempt in flight, and doubles the limit with each success. A slow engine is not ejected,
//! see `relative_latency`. An engine that rejects attempts is full rather than faulty: it gets a backoff
//! without a ramp.

use crate::{EngineId, Outcome};

use super::request_path::PendingRequest;

/// First and longest backoff of an ejection, before the factor [`EngineHealth::backoff_ratio`].
const MIN_EJECTION_SECONDS: f64 = 1.0;
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// First and longest backoff after a rejected attempt, before the same factor.
const MIN_REJECTION_BACKOFF_SECONDS: f64 = 0.25;
const MAX_REJECTION_BACKOFF_SECONDS: f64 = 8.0;
/// Growth of each backoff, and of the recovery ramp, from one step to the next.
const BACKOFF_FACTOR: f64 = 2.0;
const RAMP_FACTOR: u32 = 2;
/// Factor applied by a success to the backoff that the next rejection starts from.
const SUCCESS_BACKOFF_RATIO: f64 = 0.5;
/// Largest limit on attempts in flight in the recovery ramp. The next success ends the ramp.
const RECOVERED_ATTEMPTS: u32 = 16;
/// Limit on attempts in flight to an engine that has not answered yet. The endpoint list may be stale.
const INITIAL_ATTEMPTS: u32 = RECOVERED_ATTEMPTS / 4;
/// Factor applied to the fault sum by a success.
const SUCCESS_FAULTS_RATIO: f64 = 0.5;

/// Weighted sum of faults, without unit, at which an engine is ejected. The constants below weigh each fault.
const EJECTION_FAULTS: f64 = 1.0;
pub(super) const SILENCE_FAULTS: f64 = 1.0;
const CONNECT_FAILED_FAULTS: f64 = 1.0;
const CONNECTION_LOST_FAULTS: f64 = 0.5;
/// The request may be the cause of an error, until another engine has served it.
const ERROR_FAULTS: f64 = 0.03;
pub(super) const CONFIRMED_ERROR_FAULTS: f64 = 0.5;

/// A change of an engine's health, for the debug log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HealthChange {
    /// The engine gets no attempts for the given time, and a new epoch begins.
    Ejected { ejection_seconds: f64, epoch: u32 },
    /// The engine has completed the recovery ramp after an ejection.
    Recovered { epoch: u32 },
}

/// Logs the change of an engine's health, if there is one.
pub(super) fn log_health_change(engine: EngineId, change: Option<HealthChange>) {
    let engine = engine.0;
    match change {
        Some(HealthChange::Ejected { ejection_seconds, epoch }) => {
            tracing::debug!(engine, ejection_seconds, epoch, "engine ejected");
        }
        Some(HealthChange::Recovered { epoch }) => tracing::debug!(engine, epoch, "engine recovered"),
        None => {}
    }
}

/// Health of one engine.
#[derive(Default)]
pub(super) struct EngineHealth {
    /// Weighted sum of faults.
    faults: f64,
    /// End of the backoff after an ejection or a rejected attempt.
    backoff_until: f64,
    rejection_backoff_seconds: f64,
    ejection_seconds: f64,
    /// Limit on attempts in flight during the recovery ramp. `None` outside of it.
    ramp_attempts: Option<u32>,
    /// Number of ejections and restarts. Attempts of an earlier epoch do not count for the recovery.
    epoch: u32,
    /// Attempts of the current epoch that are in flight.
    attempts_of_epoch: u32,
    /// Time of the engine's last successful answer or progress report. Initially the time at which the engine
    /// was added.
    pub(super) last_seen_at: f64,
    /// Factor on backoffs, drawn by each gateway, so that gateways do not probe the engine at the same time.
    backoff_ratio: f64,
}

impl EngineHealth {
    /// Health of an engine that has not answered yet.
    pub(super) fn new(now: f64, backoff_ratio: f64) -> Self {
        Self { ramp_attempts: Some(INITIAL_ATTEMPTS), last_seen_at: now, backoff_ratio, ..Self::default() }
    }

    /// Epoch of attempts that are sent now.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Starts a new epoch after the last one of the engine's earlier incarnation.
    pub(super) fn start_epoch_after(&mut self, earlier: &Self) {
        self.epoch = earlier.epoch + 1;
    }

    /// Whether another attempt may be sent.
    pub(super) fn admits(&self, now: f64) -> bool {
        !self.is_backed_off(now) && self.ramp_attempts.is_none_or(|limit| self.attempts_of_epoch < limit)
    }

    /// Whether a backoff is running, after an ejection or a rejected attempt.
    pub(super) fn is_backed_off(&self, now: f64) -> bool {
        now < self.backoff_until
    }

    pub(super) fn attempt_started(&mut self) {
        self.attempts_of_epoch += 1;
    }

    /// Removes an ended attempt from the count of its epoch, and updates the engine's health by its outcome.
    pub(super) fn attempt_ended(&mut self, now: f64, epoch: u32, outcome: Outcome) -> Option<HealthChange> {
        let of_this_epoch = epoch == self.epoch;
        self.attempts_of_epoch -= u32::from(of_this_epoch);
        match outcome {
            Outcome::Success => self.record_success(now, of_this_epoch),
            Outcome::ConnectFailed => self.record_fault(now, CONNECT_FAILED_FAULTS),
            Outcome::ConnectionLost => self.record_fault(now, CONNECTION_LOST_FAULTS),
            Outcome::Error => self.record_fault(now, ERROR_FAULTS),
            Outcome::Rejected => {
                self.record_rejection(now);
                None
            }
            // A load of the same tables may have delayed the attempt. Supervision detects an engine that
            // hangs.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => None,
        }
    }

    /// Adds a fault, and ejects the engine if the sum reaches the threshold and no backoff is running.
    pub(super) fn record_fault(&mut self, now: f64, faults: f64) -> Option<HealthChange> {
        self.faults += faults;
        if self.faults < EJECTION_FAULTS || self.is_backed_off(now) {
            return None;
        }
        self.ejection_seconds =
            (BACKOFF_FACTOR * self.ejection_seconds).clamp(MIN_EJECTION_SECONDS, MAX_EJECTION_SECONDS);
        let ejection_seconds = self.ejection_seconds * self.backoff_ratio;
        self.backoff_until = now + ejection_seconds;
        self.ramp_attempts = Some(1);
        self.faults = 0.0;
        self.epoch += 1;
        self.attempts_of_epoch = 0;
        Some(HealthChange::Ejected { ejection_seconds, epoch: self.epoch })
    }

    fn record_success(&mut self, now: f64, of_this_epoch: bool) -> Option<HealthChange> {
        self.last_seen_at = now;
        self.faults *= SUCCESS_FAULTS_RATIO;
        self.rejection_backoff_seconds *= SUCCESS_BACKOFF_RATIO;
        let limit = self.ramp_attempts.filter(|_| of_this_epoch)?;
        self.ramp_attempts = (RAMP_FACTOR * limit <= RECOVERED_ATTEMPTS).then_some(RAMP_FACTOR * limit);
        if self.ramp_attempts.is_some() {
            return None;
        }
        // A new engine completes its first ramp without having been ejected.
        let was_ejected = self.ejection_seconds > 0.0;
        self.ejection_seconds = 0.0;
        was_ejected.then_some(HealthChange::Recovered { epoch: self.epoch })
    }

    /// Starts a backoff. Without it, an engine that rejects at once would have the fewest attempts in flight,
    /// and selection would prefer it.
    fn record_rejection(&mut self, now: f64) {
        self.rejection_backoff_seconds = (BACKOFF_FACTOR * self.rejection_backoff_seconds)
            .clamp(MIN_REJECTION_BACKOFF_SECONDS, MAX_REJECTION_BACKOFF_SECONDS);
        let backoff_end = now + self.rejection_backoff_seconds * self.backoff_ratio;
        self.backoff_until = self.backoff_until.max(backoff_end);
    }
}

impl PendingRequest {
    /// Records the engine if the outcome is an error. Returns another engine that answered this request with
    /// an error earlier, if any. `None` for outcomes other than success and error.
    ///
    /// The earlier error is attributed to the returned engine if `engine` serves the request, and to the
    /// request if `engine` also answers with an error.
    pub(super) fn error_elsewhere(&mut self, engine: EngineId, outcome: Outcome) -> Option<EngineId> {
        let earlier = match outcome {
            Outcome::Error => self.error_from.replace(engine),
            Outcome::Success => self.error_from,
            _ => None,
        };
        earlier.filter(|earlier| *earlier != engine)
    }
}
