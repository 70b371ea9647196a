//! Supervision of attempts in flight: which lack progress reports, are stalled or hopelessly slow, and which
//! engines are silent.
//!
//! While its request is open, an attempt is cancelled only where the deployment permits that and the request
//! is idempotent. It then ends like any other, and its request is queued again. A request is cancelled once
//! for being slow: slow again it is truly heavy.

use std::collections::BTreeMap;

use crate::{Action, Capabilities, Class, EngineId, Idempotency, Progress, Request, RequestId};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::interactive_latency::InteractiveLatency;
use super::outlier::{SILENCE_FAULTS, log_health_change};
use super::relative_latency::RelativeLatency;
use super::request_path::PendingRequest;
use super::smoothing::{NEWEST_SAMPLE_RATIO, TimedValue, blend};
use super::token_bucket::TokenBucket;

/// An attempt lacks progress reports after so many periods without any, or without one that tells more than
/// that it still runs.
const MAX_PERIODS_WITHOUT_REPORT: f64 = 1.5;
const MAX_PERIODS_WITHOUT_PROGRESS: f64 = 2.6;
/// Times its expected latency after which an attempt without progress is stalled.
const STALLED_LATENCIES: f64 = 4.0;
/// Part of the usual latency that an attempt is expected to take at least, however small its request.
const MIN_EXPECTED_RATIO: f64 = 0.5;
/// Usual latencies that a running attempt may still need by its progress.
const MAX_REMAINING_LATENCIES: f64 = 3.0;
/// Part done from which on progress tells how fast an attempt runs.
const MIN_TELLING_PROGRESS_RATIO: f64 = 0.1;
/// Parts done count as this at least, against division by zero.
const MIN_PROGRESS_RATIO: f64 = 1e-3;
/// Usual latencies, and for background work objectives, after which an engine that answered nothing is
/// silent.
const SILENT_AFTER_LATENCIES: f64 = 8.0;
const SILENT_AFTER_OBJECTIVES: f64 = 2.0;
/// Part of the interactive objective that an engine always has to answer.
const MIN_SILENT_OBJECTIVE_RATIO: f64 = 0.5;
/// Time in which the ratio of stalled attempts fades by a factor of e.
const STALLED_DECAY_SECONDS: f64 = 8.0;

/// Names an attempt: its request and its number, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: u32,
}

/// An attempt in flight. Times and durations are seconds.
pub(super) struct Attempt {
    pub(super) request: Request,
    /// As its class was when it was sent.
    pub(super) interactive: bool,
    pub(super) engine: EngineId,
    pub(super) sent_at: f64,
    /// When its last progress report came, and the last that said more than that it still runs.
    pub(super) reported_at: f64,
    pub(super) progressed_at: f64,
    /// Whether it was found to lack progress reports, or stalled.
    pub(super) stalled: bool,
    /// Epoch of its engine's health in which it was sent.
    pub(super) health_epoch: u32,
    /// What it should take on an engine that is neither overloaded nor faulty.
    pub(super) expected_seconds: f64,
    /// What the token bucket was charged for.
    pub(super) charged_seconds: f64,
}

impl Attempt {
    /// The next attempt of a request, to an engine of the given warmth.
    pub(super) fn new(
        now: f64,
        pending: &PendingRequest,
        engine: EngineId,
        health_epoch: u32,
        profile: &ClassProfile,
        warmth_ratio: f64,
    ) -> Self {
        let usual = profile.latency_seconds;
        Self {
            request: pending.request.clone(),
            interactive: profile.interactive,
            engine,
            sent_at: now,
            reported_at: now,
            progressed_at: now,
            stalled: false,
            health_epoch,
            expected_seconds: usual * pending.relative_size.max(MIN_EXPECTED_RATIO) / warmth_ratio,
            charged_seconds: usual * pending.relative_size,
        }
    }

    fn age_seconds(&self, now: f64) -> f64 {
        now - self.sent_at
    }

    /// Whether progress reports should come, but none of this attempt does, or none that shows progress: its
    /// answer may be lost.
    fn lacks_progress_reports(&self, now: f64, report_period: f64) -> bool {
        report_period > 0.0
            && (now - self.reported_at > MAX_PERIODS_WITHOUT_REPORT * report_period
                || now - self.progressed_at > MAX_PERIODS_WITHOUT_PROGRESS * report_period)
    }

    /// Whether it makes no progress at an engine that answers others.
    fn is_stalled(&self, now: f64, engine: &Engine) -> bool {
        engine.health.last_heard_at > self.sent_at
            && now - self.progressed_at > STALLED_LATENCIES * self.expected_seconds
    }

    /// Notes on the engine what a long attempt shows before it ends: that it is slow, or silent.
    fn show_engine_symptoms(
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
            self.health_epoch == engine.health.epoch() && self.sent_at >= engine.health.last_heard_at;
        if unanswered && age > silent_after_seconds(class, profile, latency) {
            log_health_change(self.engine, engine.health.record_fault(now, SILENCE_FAULTS));
        }
    }

    /// Charges the token bucket for background work that takes longer than it was charged for.
    fn charge_excess(&mut self, now: f64, threads: f64, tokens: &mut TokenBucket) {
        let excess = self.age_seconds(now) - self.charged_seconds;
        if !self.interactive && !self.stalled && excess > 0.0 {
            tokens.charge_excess(threads * excess);
            self.charged_seconds += excess;
        }
    }
}

/// Running mean of the ratio of attempts at an engine that stalled while others there ran well.
#[derive(Clone, Copy, Default)]
pub(super) struct StalledRatio(TimedValue);

impl StalledRatio {
    /// The ratio now; it fades to 0.
    pub(super) fn ratio(self, now: f64) -> f64 {
        self.0.decayed(now, 0.0, STALLED_DECAY_SECONDS)
    }

    /// Counts an attempt that stalled or went well.
    pub(super) fn record(&mut self, now: f64, stalled: bool) {
        let mut ratio = self.ratio(now);
        blend(&mut ratio, if stalled { 1.0 } else { 0.0 }, NEWEST_SAMPLE_RATIO);
        self.0 = TimedValue { value: ratio, at: now };
    }
}

/// After how long without an answer of its engine an attempt of this class shows that the engine is silent.
fn silent_after_seconds(class: &Class, profile: &ClassProfile, latency: &InteractiveLatency) -> f64 {
    let by_objective = SILENT_AFTER_OBJECTIVES * class.latency_objective;
    let usual =
        if profile.interactive { SILENT_AFTER_LATENCIES * profile.latency_seconds } else { by_objective };
    let least = MIN_SILENT_OBJECTIVE_RATIO * latency.objective_seconds;
    usual.clamp(least, by_objective.max(least))
}

/// Whether attempts of this class may be cancelled.
fn may_cancel(class: &Class, capabilities: &Capabilities) -> bool {
    capabilities.cancels_attempts && class.idempotency == Idempotency::Idempotent
}

/// The request of an attempt, if its attempts may be cancelled.
fn cancellable<'a>(
    requests: &'a mut BTreeMap<RequestId, PendingRequest>,
    id: RequestId,
    class: &Class,
    capabilities: &Capabilities,
) -> Option<&'a mut PendingRequest> {
    requests.get_mut(&id).filter(|_| may_cancel(class, capabilities))
}

impl WorkloadManager {
    /// Looks after all attempts in flight. Called once a control tick.
    pub(super) fn supervise_attempts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let capabilities = &self.settings.capabilities;
        for (id, attempt) in &mut self.attempts {
            let class = &self.settings.classes[attempt.request.class.0];
            let profile = &self.profiles[attempt.request.class.0];
            attempt.charge_excess(now, f64::from(class.threads), &mut self.tokens);
            let Some(engine) = self.engines.get_mut(&attempt.engine) else { continue };
            let pending = cancellable(&mut self.requests, id.request, class, capabilities);
            let may_be_slow = pending.as_ref().is_some_and(|pending| !pending.cancelled_as_slow);
            let lacks_reports = attempt.lacks_progress_reports(now, capabilities.progress_period);
            let stalled = may_be_slow && attempt.is_stalled(now, engine);
            if (lacks_reports || stalled) && !attempt.stalled {
                attempt.stalled = true;
                engine.stalled.record(now, true);
            }
            if let Some(pending) = pending.filter(|_| lacks_reports || stalled) {
                pending.cancelled_as_slow |= stalled;
                actions.push(Action::CancelAttempt { request: id.request, attempt: id.number });
            }
            attempt.show_engine_symptoms(now, engine, class, profile, &self.latency, may_be_slow);
        }
    }

    /// Takes a progress report of an attempt in flight.
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
        // An engine that sends progress is not silent, even where it answers this gateway nothing for long.
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            engine.health.last_heard_at = now;
        }
        let Progress::Fraction(done_ratio) = progress else { return };
        let (engine, class, age) = (attempt.engine, attempt.request.class, attempt.age_seconds(now));
        let work = attempt.request.estimated_work.unwrap_or(0.0);
        if done_ratio > MIN_TELLING_PROGRESS_RATIO {
            let threads = f64::from(self.settings.classes[class.0].threads);
            self.on_time_for_work(now, engine, class, age * threads / (work * done_ratio));
        }
        self.cancel_if_slow(now, id, age, done_ratio, actions);
    }

    /// Cancels an attempt that will take many times the usual latency, once a request; slow again, the
    /// request is given up if it can't end in time.
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
        // In an overload all attempts are slow, and cancelled work is lost.
        let usual = self.latency.slowdown_ratio() * self.profiles[class].latency_seconds;
        let hopeless = now + remaining > pending.request.deadline + age_seconds;
        if pending.cancelled_as_slow && hopeless {
            self.give_up(id.request, false, actions);
        } else if !pending.cancelled_as_slow && remaining > MAX_REMAINING_LATENCIES * usual {
            pending.cancelled_as_slow = true;
            actions.push(Action::CancelAttempt { request: id.request, attempt: id.number });
        }
    }
}
