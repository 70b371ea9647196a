//! The life cycle of a request, in the order of the functions below: arrival and queueing, release by
//! admission and endpoint selection, forwarding, the end of an attempt, and the answer or a retry.

use std::collections::BTreeMap;

use crate::{Action, EngineId, Outcome, Request, RequestId};

use super::WorkloadManager;
use super::admission::{Admission, EngineGuard, Needs};
use super::outcome::AttemptEnd;
use super::outlier::{CONFIRMED_ERROR_FAULTS, log_health_change};
use super::release::ReleasePass;
use super::supervision::{Attempt, AttemptId};

/// Priorities of attempts, on a scale from 0 to 3.
const INTERACTIVE_PRIORITY: u8 = 3;
const BACKGROUND_PRIORITY: u8 = 1;

/// Requests that wait for an engine, by their position in order of arrival.
pub(super) type Queue = BTreeMap<u64, RequestId>;

/// An earlier attempt that may have run.
#[derive(Clone, Copy)]
pub(super) struct EarlierAttempt {
    pub(super) engine: EngineId,
    pub(super) sent_at: f64,
}

/// A request that has no final answer yet.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: f64,
    /// Key of the request in the queue: its position in order of arrival.
    pub(super) queue_index: u64,
    /// Ratio of the estimated work to the mean of the class at arrival.
    pub(super) relative_size: f64,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// Whether an attempt was cancelled because it was slow or stalled.
    pub(super) cancelled_as_slow: bool,
    /// Engine that last answered the request with an error.
    pub(super) error_from: Option<EngineId>,
    /// First of the ended attempts that may have run.
    pub(super) first_possible_run: Option<EarlierAttempt>,
}

impl PendingRequest {
    /// Estimated memory. 0 if there is no estimate.
    pub(super) fn needed_memory_mb(&self) -> f64 {
        self.request.estimated_memory_mb.unwrap_or(0.0)
    }
}

impl WorkloadManager {
    /// Queues a new request.
    pub(super) fn on_request_arrived(&mut self, now: f64, request: &Request, actions: &mut Vec<Action>) {
        self.arrivals += 1;
        self.retry_history.record_request(now);
        self.key_queues.enqueue(request);
        // Ensures a final answer by the deadline, independent of attempts, the endpoint list and other
        // timers.
        let delay = (request.deadline - self.settings.clock_resolution - now).max(0.0);
        let token = super::deadline_token(request.id);
        actions.push(Action::SetTimer { delay, token, request: Some(request.id) });
        let pending = PendingRequest {
            request: request.clone(),
            arrived_at: now,
            queue_index: self.arrivals,
            relative_size: self.profiles[request.class.0].record_estimate(request.estimated_work),
            attempts: 0,
            cancelled_as_slow: false,
            error_from: None,
            first_possible_run: None,
        };
        self.queue.insert(pending.queue_index, request.id);
        self.requests.insert(request.id, pending);
    }

    /// Forwards all requests that may leave the queue, oldest first. A request without an admitting engine
    /// blocks requests of its group in [`ReleasePass`]: those that need at least as much memory, or all if
    /// memory is not the reason.
    pub(super) fn release_queued(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut pass = ReleasePass::new(self.profiles.len());
        let may_start = |id: &RequestId| self.key_queues.may_start(&self.requests[id].request, now);
        let queued: Vec<RequestId> = self.queue.values().copied().filter(may_start).collect();
        for id in queued {
            let pending = &self.requests[&id];
            let needs = self.needs(pending);
            // An earlier request of the same key may have been forwarded in this pass.
            if pass.is_blocked(&needs) || !self.key_queues.may_start(&pending.request, now) {
                continue;
            }
            if let Some(engine) = self.admit(&mut pass, id, &needs, now) {
                self.forward(now, id, engine, actions);
                pass.clear_admitting();
            }
        }
    }

    /// Selects an engine for a request: one of the active subset, or else one of the others.
    fn admit(&mut self, pass: &mut ReleasePass, id: RequestId, needs: &Needs, now: f64) -> Option<EngineId> {
        let (mut selected, mut min_blocked_mb) = (None, 0.0_f64);
        for active in [true, false] {
            let search = || Admission::new(self, *needs, now).admitting_engines(active);
            let admitting = pass.admitting(needs, active, search);
            let any_admits = !admitting.is_empty();
            let mut candidates = admitting.to_vec();
            let admission = Admission::new(self, *needs, now);
            candidates.retain(|engine| admission.passes(EngineGuard::Memory, &self.engines[engine]));
            if any_admits {
                let blocked_mb = if candidates.is_empty() { needs.memory_mb } else { f64::INFINITY };
                min_blocked_mb = min_blocked_mb.max(blocked_mb);
            }
            selected = self.select_engine(id, &candidates, now);
            if selected.is_some() {
                break;
            }
        }
        pass.block(needs, min_blocked_mb);
        selected
    }

    /// Sends the next attempt of a request to an engine. All attempts are sent from here.
    fn forward(&mut self, now: f64, id: RequestId, engine_id: EngineId, actions: &mut Vec<Action>) {
        let (Some(pending), Some(engine)) = (self.requests.get_mut(&id), self.engines.get_mut(&engine_id))
        else {
            return;
        };
        let class = &self.settings.classes[pending.request.class.0];
        let profile = &self.profiles[pending.request.class.0];
        let warm_up = engine.warm_up_ratio(now, &self.settings.rules);
        let attempt = Attempt::new(now, pending, engine_id, engine.health.epoch(), profile, warm_up);
        self.queue.remove(&pending.queue_index);
        if pending.attempts > 0 {
            self.retry_history.record_retry(now);
        }
        let number = pending.attempts;
        pending.attempts += 1;
        self.key_queues.attempt_started(&pending.request);
        engine.record_slow_start_work(now, profile, class, &self.settings.rules);
        if self.settings.capabilities.priorities {
            let priority = if profile.interactive { INTERACTIVE_PRIORITY } else { BACKGROUND_PRIORITY };
            actions.push(Action::SetAttemptTerms { request: id, memory_mb: 0.0, priority });
        }
        let thread_seconds = f64::from(class.threads) * profile.latency_seconds * pending.relative_size;
        let needed_memory_mb = pending.needed_memory_mb();
        engine.add_attempt(class.threads, needed_memory_mb, profile);
        self.fleet.add_attempt(class.threads, needed_memory_mb, profile.interactive);
        if !profile.interactive {
            self.tokens.charge_expected(thread_seconds);
        }
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        actions.push(Action::Forward { request: id, engine: engine_id, timeout: None });
        self.retry_history.remove_expired(now, self.settings.rules.retry_budget.as_ref());
    }

    /// Handles the end of an attempt: its request is settled, fails, is queued for a retry, or is given up.
    pub(super) fn on_attempt_ended(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        self.on_load_report(now, end.engine, end.load_report.as_ref());
        let Some(attempt) = self.attempts.remove(&end.id) else { return };
        let id = end.id.request;
        let may_still_run = end.outcome.may_still_run();
        let cooldown_until = self.cooldown_end(now, end.may_still_run_for_seconds);
        self.key_queues.attempt_ended(&attempt.request, may_still_run.then_some(cooldown_until));
        self.record_outcome(now, &attempt, end);
        let earlier =
            self.requests.get_mut(&id).and_then(|pending| pending.error_elsewhere(end.engine, end.outcome));
        if earlier.is_some() && end.outcome == Outcome::Error && !end.request_settled {
            actions.push(Action::Fail(id));
            return self.remove_request(id, actions);
        }
        if let Some((earlier, engine)) = earlier.and_then(|id| Some((id, self.engines.get_mut(&id)?))) {
            log_health_change(earlier, engine.health.record_fault(now, CONFIRMED_ERROR_FAULTS));
        }
        if end.request_settled {
            return self.remove_request(id, actions);
        }
        self.queue_again(now, &attempt, end.outcome, actions);
    }

    /// Queues a request for a retry at its old position, or gives it up if no retry is possible.
    fn queue_again(&mut self, now: f64, attempt: &Attempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let id = attempt.request.id;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if outcome.effect_is_unknown() {
            let run = EarlierAttempt { engine: attempt.engine, sent_at: attempt.sent_at };
            pending.first_possible_run.get_or_insert(run);
        }
        self.queue.insert(pending.queue_index, id);
        if !self.allows_another_attempt(&self.requests[&id], now) {
            self.give_up(id, false, actions);
        }
    }

    /// End of a key's cooldown after an attempt that may still run for the given time.
    pub(super) fn cooldown_end(&self, now: f64, may_still_run_for_seconds: f64) -> f64 {
        now + may_still_run_for_seconds + self.settings.rules.key_cooldown
    }

    /// Removes a request that is answered or needs no answer. Attempts in flight are cancelled if that is
    /// permitted, and stay in the sums until they end.
    pub(super) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.settings.capabilities.cancels_attempts {
            let all = AttemptId { request: id, number: 0 }..=AttemptId { request: id, number: u32::MAX };
            let cancel = |id: &AttemptId| Action::CancelAttempt { request: id.request, attempt: id.number };
            actions.extend(self.attempts.range(all).map(|(id, _)| cancel(id)));
        }
        if let Some(pending) = self.requests.remove(&id) {
            self.queue.remove(&pending.queue_index);
            self.key_queues.remove(&pending.request);
        }
    }
}
