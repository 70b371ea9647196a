//! Outlier detection and ejection: engines that err or are silent get nothing for a backoff time.
//!
//! Faults add up by their weights; at one in all the engine is ejected. After the backoff it recovers over
//! a ramp: one attempt in flight, then twice as many after each success. An engine that is merely slow is
//! not ejected; see `relative_latency`. An engine that rejects attempts is full, not at fault: it rests for
//! a moment without a ramp.

use crate::{EngineId, Outcome};

use super::request_path::PendingRequest;

/// First and longest backoff of an ejection.
const MIN_EJECTION_SECONDS: f64 = 1.0;
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// First and longest rest of an engine that rejected an attempt.
const MIN_REJECTION_REST_SECONDS: f64 = 0.25;
const MAX_REJECTION_REST_SECONDS: f64 = 8.0;
/// Each backoff, rest and step of the recovery ramp is so many times the one before.
const BACKOFF_FACTOR: f64 = 2.0;
const RAMP_FACTOR: u32 = 2;
/// What a success leaves of the rest that the next rejection starts from.
const SUCCESS_REST_RATIO: f64 = 0.5;
/// Attempts in flight at which the recovery ramp ends.
const RECOVERED_ATTEMPTS: u32 = 16;
/// Attempts in flight to an engine that has not answered yet: the endpoint list may be stale.
const UNPROVEN_ATTEMPTS: u32 = RECOVERED_ATTEMPTS / 4;
/// Factor applied to the fault sum by a success.
const SUCCESS_FAULTS_RATIO: f64 = 0.5;

/// Weighted sum of faults, without unit, at which an engine is ejected; and the weight of each kind of fault.
const EJECTION_FAULTS: f64 = 1.0;
pub(super) const SILENCE_FAULTS: f64 = 1.0;
const CONNECT_FAILED_FAULTS: f64 = 1.0;
const CONNECTION_LOST_FAULTS: f64 = 0.5;
/// An error says little until another engine has served the same request.
const ERROR_FAULTS: f64 = 0.03;
pub(super) const CONFIRMED_ERROR_FAULTS: f64 = 0.5;

/// A change of an engine's health, for the log at debug.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum HealthChange {
    /// It gets nothing for so many seconds; a new epoch has begun.
    Ejected { ejection_seconds: f64, epoch: u32 },
    /// It has come to the end of the recovery ramp after an ejection.
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
    /// End of the backoff of an ejection, or of the rest after a rejected attempt.
    paused_until: f64,
    rejection_rest_seconds: f64,
    ejection_seconds: f64,
    /// Most attempts in flight on the recovery ramp; none when well.
    ramp_attempts: Option<u32>,
    /// Counts ejections and restarts. Attempts of an earlier epoch say nothing about the recovery.
    epoch: u32,
    attempts_of_epoch: u32,
    /// When the engine last answered or sent progress.
    pub(super) last_heard_at: f64,
    /// Factor on backoffs, this gateway's own, so that gateways do not probe in step.
    backoff_ratio: f64,
}

impl EngineHealth {
    /// An engine that has not answered yet.
    pub(super) fn unproven(now: f64, backoff_ratio: f64) -> Self {
        Self { ramp_attempts: Some(UNPROVEN_ATTEMPTS), last_heard_at: now, backoff_ratio, ..Self::default() }
    }

    /// The epoch that attempts sent now belong to.
    pub(super) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Starts a new epoch after that of the engine's earlier incarnation.
    pub(super) fn follow(&mut self, earlier: &Self) {
        self.epoch = earlier.epoch + 1;
    }

    /// Whether another attempt may be sent.
    pub(super) fn admits(&self, now: f64) -> bool {
        !self.is_paused(now) && self.ramp_attempts.is_none_or(|most| self.attempts_of_epoch < most)
    }

    /// Whether the engine gets nothing new: the backoff of an ejection is running, or the rest after it
    /// rejected an attempt.
    pub(super) fn is_paused(&self, now: f64) -> bool {
        now < self.paused_until
    }

    pub(super) fn attempt_started(&mut self) {
        self.attempts_of_epoch += 1;
    }

    /// Takes an ended attempt out of its epoch's count, and records what its outcome says of the engine's
    /// health.
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
            // A load may have been in the way; an engine that hangs shows as silence.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => None,
        }
    }

    /// Adds a fault; ejects the engine if that makes one in all.
    pub(super) fn record_fault(&mut self, now: f64, faults: f64) -> Option<HealthChange> {
        self.faults += faults;
        if self.faults < EJECTION_FAULTS || self.is_paused(now) {
            return None;
        }
        self.ejection_seconds =
            (BACKOFF_FACTOR * self.ejection_seconds).clamp(MIN_EJECTION_SECONDS, MAX_EJECTION_SECONDS);
        let ejection_seconds = self.ejection_seconds * self.backoff_ratio;
        self.paused_until = now + ejection_seconds;
        self.ramp_attempts = Some(1);
        self.faults = 0.0;
        self.epoch += 1;
        self.attempts_of_epoch = 0;
        Some(HealthChange::Ejected { ejection_seconds, epoch: self.epoch })
    }

    fn record_success(&mut self, now: f64, of_this_epoch: bool) -> Option<HealthChange> {
        self.last_heard_at = now;
        self.faults *= SUCCESS_FAULTS_RATIO;
        self.rejection_rest_seconds *= SUCCESS_REST_RATIO;
        let most = self.ramp_attempts.filter(|_| of_this_epoch)?;
        self.ramp_attempts = (RAMP_FACTOR * most <= RECOVERED_ATTEMPTS).then_some(RAMP_FACTOR * most);
        if self.ramp_attempts.is_some() {
            return None;
        }
        // An engine that has not answered before comes to the end of its ramp without an ejection.
        let was_ejected = self.ejection_seconds > 0.0;
        self.ejection_seconds = 0.0;
        was_ejected.then_some(HealthChange::Recovered { epoch: self.epoch })
    }

    /// An engine that rejects at once has the fewest attempts in flight and would draw all the more.
    fn record_rejection(&mut self, now: f64) {
        self.rejection_rest_seconds = (BACKOFF_FACTOR * self.rejection_rest_seconds)
            .clamp(MIN_REJECTION_REST_SECONDS, MAX_REJECTION_REST_SECONDS);
        let rested_at = now + self.rejection_rest_seconds * self.backoff_ratio;
        self.paused_until = self.paused_until.max(rested_at);
    }
}

impl PendingRequest {
    /// The engine that answered this request with an error before, if that is another one than has answered
    /// now.
    ///
    /// An error is the engine's fault where another engine serves the request, and the request's own where
    /// a second engine errs too.
    pub(super) fn erred_elsewhere(&mut self, engine: EngineId, outcome: Outcome) -> Option<EngineId> {
        let earlier = match outcome {
            Outcome::Error => self.erred_at.replace(engine),
            Outcome::Success => self.erred_at,
            _ => None,
        };
        earlier.filter(|earlier| *earlier != engine)
    }
}
