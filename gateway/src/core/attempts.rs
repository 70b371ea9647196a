//! The life cycle of attempts: start, cancellation, end, loss, and confirmation of the end of a lost attempt.

use std::collections::BTreeMap;

use workload_manager::{ClassId, EndpointState, EngineId, Event, KeyId, LoadReport, Outcome, RequestId};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::command::{AttemptLimits, AttemptTerms};
use super::requests::Unserved;
use super::time::{micros, remaining_seconds, seconds};
use super::timers::Timer;
use super::{Command, Core};

/// Identifies an attempt within one gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Request that the attempt executes.
    pub request: RequestId,
    /// Number among the attempts of the request, from 0.
    pub number: u32,
}

/// An attempt that has started and not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) class: ClassId,
    engine: EngineId,
    pub(super) key: Option<KeyId>,
    started_us: u64,
    is_cancelled: bool,
    /// Armed if the attempt has a timeout.
    timer: Option<TimerId>,
}

/// The attempts in flight.
#[derive(Debug, Default)]
pub(super) struct InFlightAttempts(BTreeMap<AttemptId, InFlightAttempt>);

impl InFlightAttempts {
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.0.contains_key(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.0.values()
    }

    /// Attempts of one request.
    fn of_request(&self, request: RequestId) -> impl Iterator<Item = (AttemptId, &InFlightAttempt)> {
        let attempt = |number| AttemptId { request, number };
        self.0.range(attempt(0)..=attempt(u32::MAX)).map(|(id, attempt)| (*id, attempt))
    }

    /// Whether a request has an attempt in flight.
    pub(super) fn has_any_of(&self, request: RequestId) -> bool {
        self.of_request(request).next().is_some()
    }
}

/// Bound on the time for which an engine may still run an attempt that the gateway regards as ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum MayRunUntil {
    /// The attempt has ended by this time, in microseconds.
    Time(u64),
    /// No bound is known until the end of the attempt is confirmed.
    Unconfirmed,
}

/// The end of an attempt.
struct AttemptEnd {
    outcome: Outcome,
    /// The request has its final answer, or needs none.
    request_settled: bool,
    may_run_until: MayRunUntil,
    load_report: Option<LoadReport>,
}

impl Core {
    /// Starts the next attempt of a request, unless the request is no longer open. The attempt ends with
    /// [`Outcome::NeverSent`] if the request has another attempt in flight, the engine is not ready, or the limit of
    /// attempts or the deadline has been reached. `timeout` is in seconds. `None`: the request's deadline applies.
    pub(super) fn start_attempt(
        &mut self,
        now_us: u64,
        request: RequestId,
        engine: EngineId,
        timeout: Option<f64>,
        commands: &mut Vec<Command>,
    ) {
        let has_attempt_in_flight = self.in_flight.has_any_of(request);
        let is_ready = self.endpoint_states.get(&engine) == Some(&EndpointState::Ready);
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let id = AttemptId { request, number: open.next_attempt };
        open.next_attempt += 1;
        let deadline_us =
            timeout.map_or(open.answer_by_us, |span| open.answer_by_us.min(now_us + micros(span)));
        let (class, key, terms) = (open.class, open.key, open.terms);
        let attempt =
            InFlightAttempt { class, engine, key, started_us: now_us, is_cancelled: false, timer: None };
        let may_have_run_since_us = open.may_have_run_since_us;
        self.in_flight.0.insert(id, attempt);
        if let Some(key) = key {
            self.leases.on_attempt_started(key);
        }
        let exhausted = self.rules.attempts_exhausted(id.number);
        if has_attempt_in_flight || !is_ready || exhausted || deadline_us <= now_us {
            self.on_attempt_ended(now_us, id, Outcome::NeverSent, None, commands);
            return;
        }
        if timeout.is_some() {
            let timer = self.timers.arm(deadline_us, Timer::AttemptTimeout(id));
            if let Some(attempt) = self.in_flight.0.get_mut(&id) {
                attempt.timer = Some(timer);
            }
        }
        let send_deadline_us = deadline_us.min(self.rules.retry_window_end_us(class, may_have_run_since_us));
        let limits = AttemptLimits { deadline_us, send_deadline_us, has_order_key: key.is_some() };
        commands.push(Command::StartAttempt { attempt: id, engine, terms, limits });
    }

    /// Sets the terms of a request's later attempts. An attempt in flight gets the priority if it has changed.
    pub(super) fn set_attempt_terms(
        &mut self,
        request: RequestId,
        terms: AttemptTerms,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let priority = terms.priority;
        let has_changed = open.terms.priority != priority;
        open.terms = terms;
        if has_changed {
            let attempts = self.in_flight.of_request(request).filter(|(_, attempt)| !attempt.is_cancelled);
            commands.extend(attempts.map(|(attempt, _)| Command::SetPriority { attempt, priority }));
        }
    }

    /// Cancels an attempt unless it is cancelled already. The attempt stays in flight until its end is reported.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, commands: &mut Vec<Command>) {
        if let Some(attempt) = self.in_flight.0.get_mut(&id).filter(|attempt| !attempt.is_cancelled) {
            attempt.is_cancelled = true;
            commands.push(Command::CancelAttempt(id));
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now_us: u64,
        id: AttemptId,
        outcome: Outcome,
        load_report: Option<LoadReport>,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.remove_in_flight(id) else { return };
        let mut request_settled = true;
        if let Some(open) = self.open_requests.get_mut(&id.request) {
            request_settled = outcome == Outcome::Success;
            if request_settled {
                self.close_request(now_us, id.request);
                commands.push(Command::Serve(id));
            } else if outcome.effect_is_unknown() {
                open.record_possible_run(attempt.started_us);
            }
        }
        let may_run_until = MayRunUntil::Time(now_us);
        let end = AttemptEnd { outcome, request_settled, may_run_until, load_report };
        self.report_attempt_end(now_us, id, attempt, end);
    }

    /// Ends an attempt whose engine has stopped responding and may still run it. A retry could run at the same time, so
    /// the request gets its final answer. The client may send it again where a retry is safe.
    pub(super) fn on_attempt_lost(
        &mut self,
        now_us: u64,
        id: AttemptId,
        may_run_until: MayRunUntil,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.remove_in_flight(id) else { return };
        if let Some(open) = self.open_requests.get_mut(&id.request) {
            open.record_possible_run(attempt.started_us);
        }
        let retry_after = self.rules.retry_after_seconds();
        self.answer_unserved(now_us, id.request, Unserved::RejectIfRetryIsSafe { retry_after }, commands);
        let end = AttemptEnd {
            outcome: Outcome::TimedOut,
            request_settled: true,
            may_run_until,
            load_report: None,
        };
        self.report_attempt_end(now_us, id, attempt, end);
    }

    /// Records that an unconfirmed attempt ends by `may_run_until_us`. The cooldown of its key begins at that time.
    pub(super) fn on_attempt_end_confirmed(&mut self, now_us: u64, id: AttemptId, may_run_until_us: u64) {
        let Some(key) = self.unconfirmed_attempts.remove(&id) else { return };
        let cooldown_until_us = self.rules.key_cooldown_end_us(may_run_until_us);
        self.leases.release(now_us, key, cooldown_until_us, &mut self.lease_effects);
        let may_still_run_for = remaining_seconds(now_us, may_run_until_us);
        self.events.push_back(Event::AttemptEndConfirmed { key, may_still_run_for });
    }

    fn remove_in_flight(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.in_flight.0.remove(&id)?;
        if let Some(timer) = attempt.timer {
            self.timers.cancel(timer);
        }
        Some(attempt)
    }

    /// Releases the lease of the attempt's key and reports the end of the attempt to the workload manager.
    fn report_attempt_end(&mut self, now_us: u64, id: AttemptId, attempt: InFlightAttempt, end: AttemptEnd) {
        let may_still_run_for = match (end.may_run_until, attempt.key) {
            (MayRunUntil::Time(until_us), key) => {
                let may_still_run = end.outcome.may_still_run();
                let cooldown_until_us =
                    if may_still_run { self.rules.key_cooldown_end_us(until_us) } else { 0 };
                if let Some(key) = key {
                    self.leases.release(now_us, key, cooldown_until_us, &mut self.lease_effects);
                }
                remaining_seconds(now_us, until_us)
            }
            // The lease stays in use until the end is confirmed.
            (MayRunUntil::Unconfirmed, Some(key)) => {
                self.unconfirmed_attempts.insert(id, key);
                f64::INFINITY
            }
            (MayRunUntil::Unconfirmed, None) => 0.0,
        };
        self.events.push_back(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            engine: attempt.engine,
            outcome: end.outcome,
            elapsed: seconds(now_us.saturating_sub(attempt.started_us)),
            request_settled: end.request_settled,
            may_still_run_for,
            cost: None,
            load_report: end.load_report,
        });
    }
}
