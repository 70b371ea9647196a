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
/// Faults that a success leaves.
const SUCCESS_FAULTS_RATIO: f64 = 0.5;

/// Faults in all at which an engine is ejected, and the weight of each kind of fault.
const EJECTION_FAULTS: f64 = 1.0;
pub(super) const SILENCE_FAULTS: f64 = 1.0;
const CONNECT_FAILED_FAULTS: f64 = 1.0;
const CONNECTION_LOST_FAULTS: f64 = 0.5;
/// An error says little until another engine has served the same request.
const ERROR_FAULTS: f64 = 0.03;
pub(super) const CONFIRMED_ERROR_FAULTS: f64 = 0.5;

/// Health of one engine.
#[derive(Default)]
pub(super) struct EngineHealth {
    faults: f64,
    ejected_until: f64,
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
        !self.is_ejected(now) && self.ramp_attempts.is_none_or(|most| self.attempts_of_epoch < most)
    }

    /// Whether a backoff or rest is running.
    pub(super) fn is_ejected(&self, now: f64) -> bool {
        now < self.ejected_until
    }

    pub(super) fn attempt_started(&mut self) {
        self.attempts_of_epoch += 1;
    }

    /// Counts an attempt that has ended out of its epoch, and what its outcome says of the engine's health.
    pub(super) fn attempt_ended(&mut self, now: f64, epoch: u32, outcome: Outcome) {
        let of_this_epoch = epoch == self.epoch;
        self.attempts_of_epoch -= u32::from(of_this_epoch);
        match outcome {
            Outcome::Success => self.record_success(now, of_this_epoch),
            Outcome::ConnectFailed => self.record_fault(now, CONNECT_FAILED_FAULTS),
            Outcome::ConnectionLost => self.record_fault(now, CONNECTION_LOST_FAULTS),
            Outcome::Error => self.record_fault(now, ERROR_FAULTS),
            Outcome::Rejected => self.record_rejection(now),
            // A load may have been in the way; an engine that hangs shows as silence.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    /// Adds a fault; ejects the engine if that makes one in all.
    pub(super) fn record_fault(&mut self, now: f64, faults: f64) {
        self.faults += faults;
        if self.faults < EJECTION_FAULTS || self.is_ejected(now) {
            return;
        }
        self.ejection_seconds =
            (BACKOFF_FACTOR * self.ejection_seconds).clamp(MIN_EJECTION_SECONDS, MAX_EJECTION_SECONDS);
        self.ejected_until = now + self.ejection_seconds * self.backoff_ratio;
        self.ramp_attempts = Some(1);
        self.faults = 0.0;
        self.epoch += 1;
        self.attempts_of_epoch = 0;
    }

    fn record_success(&mut self, now: f64, of_this_epoch: bool) {
        self.last_heard_at = now;
        self.faults *= SUCCESS_FAULTS_RATIO;
        self.rejection_rest_seconds *= SUCCESS_REST_RATIO;
        if let (true, Some(most)) = (of_this_epoch, self.ramp_attempts) {
            self.ramp_attempts = (RAMP_FACTOR * most <= RECOVERED_ATTEMPTS).then_some(RAMP_FACTOR * most);
            self.ejection_seconds = self.ramp_attempts.map_or(0.0, |_| self.ejection_seconds);
        }
    }

    /// An engine that rejects at once has the fewest attempts in flight and would draw all the more.
    fn record_rejection(&mut self, now: f64) {
        self.rejection_rest_seconds = (BACKOFF_FACTOR * self.rejection_rest_seconds)
            .clamp(MIN_REJECTION_REST_SECONDS, MAX_REJECTION_REST_SECONDS);
        let rested_at = now + self.rejection_rest_seconds * self.backoff_ratio;
        self.ejected_until = self.ejected_until.max(rested_at);
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
