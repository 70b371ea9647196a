//! Supervision of attempts in flight: detects attempts that lack progress reports, stall or are too slow, and
//! engines that do not respond.
//!
//! While a request is open, its attempts are cancelled only if the deployment permits that and the request is
//! idempotent. A cancelled attempt ends like any other, and its request is queued again. Only one attempt of
//! a request is cancelled for slowness: if the next one is slow too, the request itself is taken to be heavy.

use std::collections::BTreeMap;

use crate::{Action, Capabilities, Class, EngineId, Idempotency, Progress, Request, RequestId};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::interactive_latency::InteractiveLatency;
use super::outlier::{SILENCE_FAULTS, log_health_change};
use super::relative_latency::RelativeLatency;
use super::request_path::PendingRequest;
use super::smoothing::{SAMPLE_WEIGHT, TimedValue, blend};
use super::token_bucket::TokenBucket;

/// An attempt lacks progress reports after this number of report periods without any report, or without a
/// report other than [`Progress::Running`].
const MAX_PERIODS_WITHOUT_REPORT: f64 = 1.5;
const MAX_PERIODS_WITHOUT_PROGRESS: f64 = 2.6;
/// Time without progress after which an attempt is stalled, as a multiple of the attempt's expected latency.
const STALLED_LATENCIES: f64 = 4.0;
/// Lower bound of the expected latency, as a ratio of the class's mean latency.
const MIN_EXPECTED_RATIO: f64 = 0.5;
/// Longest remaining time of an attempt that is not cancelled, as a multiple of the class's mean latency at
/// the current slowdown.
const MAX_REMAINING_LATENCIES: f64 = 3.0;
/// Smallest progress that is used to measure the speed of an attempt.
const MIN_MEASURABLE_PROGRESS_RATIO: f64 = 0.1;
/// Lower bound of reported progress, against division by zero.
const MIN_PROGRESS_RATIO: f64 = 1e-3;
/// Age at which an attempt shows that its engine is silent: as a multiple of the class's mean latency for
/// interactive work, and of the class's objective for background work. The latter is also the upper bound for
/// interactive work.
const SILENT_AFTER_LATENCIES: f64 = 8.0;
const SILENT_AFTER_OBJECTIVES: f64 = 2.0;
/// Lower bound of the age at which an attempt shows that its engine is silent, as a ratio of the interactive
/// objective.
const MIN_SILENT_OBJECTIVE_RATIO: f64 = 0.5;
/// Time constant of the decay of the ratio of stalled attempts.
const STALLED_DECAY_SECONDS: f64 = 8.0;

/// Identifies an attempt by its request and its number, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: u32,
}

/// An attempt in flight. Times and durations are in seconds.
pub(super) struct Attempt {
    pub(super) request: Request,
    /// Whether the class was interactive when the attempt was sent.
    pub(super) interactive: bool,
    pub(super) engine: EngineId,
    pub(super) sent_at: f64,
    /// Times of the last progress report, and of the last one other than [`Progress::Running`]. Initially the
    /// time of sending.
    pub(super) reported_at: f64,
    pub(super) progressed_at: f64,
    /// Whether the attempt was found to lack progress reports or to be stalled.
    pub(super) stalled: bool,
    /// Epoch of the engine's health when the attempt was sent.
    pub(super) health_epoch: u32,
    /// Expected latency at an engine that is neither overloaded nor faulty.
    pub(super) expected_seconds: f64,
    /// Latency that the token bucket was charged for so far.
    pub(super) charged_seconds: f64,
}

impl Attempt {
    /// Creates the next attempt of a request, to an engine with the given warm-up ratio.
    pub(super) fn new(
        now: f64,
        pending: &PendingRequest,
        engine: EngineId,
        health_epoch: u32,
        profile: &ClassProfile,
        warm_up_ratio: f64,
    ) -> Self {
        let mean_latency = profile.latency_seconds;
        Self {
            request: pending.request.clone(),
            interactive: profile.interactive,
            engine,
            sent_at: now,
            reported_at: now,
            progressed_at: now,
            stalled: false,
            health_epoch,
            expected_seconds: mean_latency * pending.relative_size.max(MIN_EXPECTED_RATIO) / warm_up_ratio,
            charged_seconds: mean_latency * pending.relative_size,
        }
    }

    fn age_seconds(&self, now: f64) -> f64 {
        now - self.sent_at
    }

    /// Whether progress reports of this attempt are overdue, or show no progress. Its answer may be lost.
    fn lacks_progress_reports(&self, now: f64, report_period: f64) -> bool {
        report_period > 0.0
            && (now - self.reported_at > MAX_PERIODS_WITHOUT_REPORT * report_period
                || now - self.progressed_at > MAX_PERIODS_WITHOUT_PROGRESS * report_period)
    }

    /// Whether the attempt makes no progress although its engine has responded since the attempt was sent.
    fn is_stalled(&self, now: f64, engine: &Engine) -> bool {
        engine.health.last_seen_at > self.sent_at
            && now - self.progressed_at > STALLED_LATENCIES * self.expected_seconds
    }

    /// Records on the engine that it is slow or silent, if the age of the attempt shows that.
    fn record_slow_or_silent_engine(
        &self,
        now: f64,
        engine: &mut Engine,
        class: &Class,
        profile: &ClassProfile,
        latency: &InteractiveLatency,
        may_be_cancelled_as_slow: bool,
    ) {
        let age = self.age_seconds(now);
        let overdue = RelativeLatency::is_overdue(age, profile.latency_seconds);
        if profile.interactive && !may_be_cancelled_as_slow && overdue {
            engine.relative_latency.record_overdue(now);
        }
        let unanswered =
            self.health_epoch == engine.health.epoch() && self.sent_at >= engine.health.last_seen_at;
        if unanswered && age > silent_after_seconds(class, profile, latency) {
            log_health_change(self.engine, engine.health.record_fault(now, SILENCE_FAULTS));
        }
    }

    /// Charges the token bucket for the time that background work has run beyond the charged latency.
    fn charge_excess(&mut self, now: f64, threads: f64, tokens: &mut TokenBucket) {
        let excess = self.age_seconds(now) - self.charged_seconds;
        if !self.interactive && !self.stalled && excess > 0.0 {
            tokens.charge_excess(threads * excess);
            self.charged_seconds += excess;
        }
    }
}

/// Moving average of the ratio of attempts at an engine that stalled while the engine answered others.
#[derive(Clone, Copy, Default)]
pub(super) struct StalledRatio(TimedValue);

impl StalledRatio {
    /// Ratio at the time `now`. It decays towards 0.
    pub(super) fn ratio(self, now: f64) -> f64 {
        self.0.decayed(now, 0.0, STALLED_DECAY_SECONDS)
    }

    /// Records an attempt that stalled or succeeded.
    pub(super) fn record(&mut self, now: f64, stalled: bool) {
        let mut ratio = self.ratio(now);
        blend(&mut ratio, if stalled { 1.0 } else { 0.0 }, SAMPLE_WEIGHT);
        self.0 = TimedValue { value: ratio, at: now };
    }
}

/// Age at which an attempt of this class shows that its engine is silent, if the engine has not responded
/// since the attempt was sent.
fn silent_after_seconds(class: &Class, profile: &ClassProfile, latency: &InteractiveLatency) -> f64 {
    let by_objective = SILENT_AFTER_OBJECTIVES * class.latency_objective;
    let silent_after =
        if profile.interactive { SILENT_AFTER_LATENCIES * profile.latency_seconds } else { by_objective };
    let min = MIN_SILENT_OBJECTIVE_RATIO * latency.objective_seconds;
    silent_after.clamp(min, by_objective.max(min))
}

/// Whether attempts of this class may be cancelled.
fn may_cancel(class: &Class, capabilities: &Capabilities) -> bool {
    capabilities.cancels_attempts && class.idempotency == Idempotency::Idempotent
}

/// The pending request of an attempt, if its attempts may be cancelled.
fn cancellable<'a>(
    requests: &'a mut BTreeMap<RequestId, PendingRequest>,
    id: RequestId,
    class: &Class,
    capabilities: &Capabilities,
) -> Option<&'a mut PendingRequest> {
    requests.get_mut(&id).filter(|_| may_cancel(class, capabilities))
}

impl WorkloadManager {
    /// Checks all attempts in flight. Called once per control tick.
    pub(super) fn supervise_attempts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let capabilities = &self.settings.capabilities;
        for (id, attempt) in &mut self.attempts {
            let class = &self.settings.classes[attempt.request.class.0];
            let profile = &self.profiles[attempt.request.class.0];
            attempt.charge_excess(now, f64::from(class.threads), &mut self.tokens);
            let Some(engine) = self.engines.get_mut(&attempt.engine) else { continue };
            let pending = cancellable(&mut self.requests, id.request, class, capabilities);
            let cancel_slow = pending.as_ref().is_some_and(|pending| !pending.cancelled_as_slow);
            let lacks_reports = attempt.lacks_progress_reports(now, capabilities.progress_period);
            let stalled = cancel_slow && attempt.is_stalled(now, engine);
            if (lacks_reports || stalled) && !attempt.stalled {
                attempt.stalled = true;
                engine.stalled.record(now, true);
            }
            if let Some(pending) = pending.filter(|_| lacks_reports || stalled) {
                pending.cancelled_as_slow |= stalled;
                actions.push(Action::CancelAttempt { request: id.request, attempt: id.number });
            }
            attempt.record_slow_or_silent_engine(now, engine, class, profile, &self.latency, cancel_slow);
        }
    }

    /// Handles a progress report of an attempt in flight.
    pub(super) fn on_progress(
        &mut self,
        now: f64,
        id: AttemptId,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.reported_at = now;
        if progress != Progress::Running {
            attempt.progressed_at = now;
        }
        // An engine that sends progress reports is not silent, even without answers for a long time.
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            engine.health.last_seen_at = now;
        }
        let Progress::Fraction(done_ratio) = progress else { return };
        let (engine, class, age) = (attempt.engine, attempt.request.class, attempt.age_seconds(now));
        let work = attempt.request.estimated_work.unwrap_or(0.0);
        if done_ratio > MIN_MEASURABLE_PROGRESS_RATIO {
            let threads = f64::from(self.settings.classes[class.0].threads);
            self.on_time_for_work(now, engine, class, age * threads / (work * done_ratio));
        }
        self.cancel_if_slow(now, id, age, done_ratio, actions);
    }

    /// Cancels an attempt that would take too long, once per request. After that, the request is given up if
    /// the expected end of an attempt exceeds the deadline by more than the attempt's age.
    fn cancel_if_slow(
        &mut self,
        now: f64,
        id: AttemptId,
        age_seconds: f64,
        done_ratio: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&id.request) else { return };
        let class = pending.request.class.0;
        if !may_cancel(&self.settings.classes[class], &self.settings.capabilities) {
            return;
        }
        let remaining = age_seconds * (1.0 - done_ratio) / done_ratio.max(MIN_PROGRESS_RATIO);
        // The bound rises in an overload, when all attempts are slow and cancelled work is lost.
        let expected_latency = self.latency.slowdown_ratio() * self.profiles[class].latency_seconds;
        let too_late = now + remaining > pending.request.deadline + age_seconds;
        if pending.cancelled_as_slow && too_late {
            self.give_up(id.request, false, actions);
        } else if !pending.cancelled_as_slow && remaining > MAX_REMAINING_LATENCIES * expected_latency {
            pending.cancelled_as_slow = true;
            actions.push(Action::CancelAttempt { request: id.request, attempt: id.number });
        }
    }
}
