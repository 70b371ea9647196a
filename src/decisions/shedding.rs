//! Load shedding: which queued requests are given up, how a request that was not served is answered, and the
//! Retry-After that goes with a rejection.

use crate::{Action, ClassId, RequestId};

use super::explain::log_shed_request;
use super::request_path::PendingRequest;
use super::{WorkloadManager, unit_interval};

/// Part of what the objective leaves beside the usual latency for which a request may be queued.
const INTERACTIVE_QUEUE_TIME_RATIO: f64 = 0.25;
const BACKGROUND_QUEUE_TIME_RATIO: f64 = 0.5;
/// Part of the objective that counts as left at least.
const MIN_LEFT_OBJECTIVE_RATIO: f64 = 0.3;
/// Part of its class's deadline that is always enough time for an attempt.
const SUFFICIENT_DEADLINE_RATIO: f64 = 0.5;
/// A request with an order key that arrives with less than this part of its class's deadline left is short of
/// time.
const SHORT_DEADLINE_RATIO: f64 = 0.5;
/// Retry-After lies between this part of the longest wait that clients obey, and all of it.
const MIN_RETRY_AFTER_RATIO: f64 = 0.5;

/// Why a queued request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SheddingRule {
    /// It was queued for too long to be answered within its objective.
    QueueTime,
    /// It has an order key, and arrived with little time left.
    ShortDeadline,
    /// No attempt may follow: by the time left, the attempts that it has had, or the effect of a repeat.
    NoAttemptPossible,
}

impl SheddingRule {
    /// The name in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::QueueTime => "queue_time",
            Self::ShortDeadline => "short_deadline",
            Self::NoAttemptPossible => "no_attempt_possible",
        }
    }
}

impl WorkloadManager {
    /// Sheds queued requests that have waited too long or can no longer be served in time.
    pub(super) fn shed_overdue(&mut self, now: f64, actions: &mut Vec<Action>) {
        let overdue = |id: &RequestId| Some((*id, self.shedding_rule(&self.requests[id], now)?));
        let overdue: Vec<(RequestId, SheddingRule)> = self.queue.values().filter_map(overdue).collect();
        // All lines come first: a request that leaves the queue gives its key's turn to the next.
        for (id, rule) in &overdue {
            log_shed_request(self, *id, *rule, now);
        }
        for (id, _) in overdue {
            self.give_up(id, true, actions);
        }
    }

    /// The first rule by which a queued request is shed; none if it stays queued.
    fn shedding_rule(&self, pending: &PendingRequest, now: f64) -> Option<SheddingRule> {
        if now - pending.arrived_at > self.max_queue_seconds(pending.request.class) {
            Some(SheddingRule::QueueTime)
        } else if self.is_short_of_time(pending) {
            Some(SheddingRule::ShortDeadline)
        } else if !self.another_attempt_may_follow(pending, now) {
            Some(SheddingRule::NoAttemptPossible)
        } else {
            None
        }
    }

    /// The final answer to a request that was not served: rejected where a retry by the client is safe,
    /// else failed. With `retry_after` a rejection says how long to wait, where clients heed that.
    pub(super) fn give_up(&mut self, id: RequestId, retry_after: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let may_have_run = !self.queue.contains_key(&pending.queue_place) || pending.may_have_run.is_some();
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        if idempotency.client_may_retry(may_have_run) {
            let seconds = self.draw_retry_after_seconds();
            let retry_after = (retry_after && self.settings.capabilities.retry_after).then_some(seconds);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.forget_request(id, actions);
    }

    /// Spread at random, so that clients do not return in step.
    fn draw_retry_after_seconds(&mut self) -> f64 {
        let spread = (1.0 - MIN_RETRY_AFTER_RATIO) * unit_interval(self.next_draw());
        (MIN_RETRY_AFTER_RATIO + spread) * self.settings.capabilities.max_retry_after
    }

    /// How long a request of this class may be queued and still be answered within its objective.
    pub(super) fn max_queue_seconds(&self, class: ClassId) -> f64 {
        let (class, profile) = (&self.settings.classes[class.0], &self.profiles[class.0]);
        let objective = class.latency_objective
            + class.objective_stretch * profile.work_seconds() / f64::from(class.threads);
        let part =
            if profile.interactive { INTERACTIVE_QUEUE_TIME_RATIO } else { BACKGROUND_QUEUE_TIME_RATIO };
        part * (objective - profile.latency_seconds).max(MIN_LEFT_OBJECTIVE_RATIO * class.latency_objective)
    }

    /// What an attempt of this request takes at least, by what those of its class take now. Bounded: what
    /// is never sent would never show that it can be served again.
    pub(super) fn least_latency_seconds(&self, pending: &PendingRequest) -> f64 {
        let class = pending.request.class.0;
        let slowed = self.latency.slowdown_ratio() * self.profiles[class].latency_seconds;
        (slowed * pending.relative_size.min(1.0))
            .min(SUFFICIENT_DEADLINE_RATIO * self.settings.classes[class].deadline)
    }

    /// Whether a request with an order key arrived with little time left: it is sent at once, or leaves its
    /// place in the order of its key to others.
    fn is_short_of_time(&self, pending: &PendingRequest) -> bool {
        let deadline = self.settings.classes[pending.request.class.0].deadline;
        pending.request.key.is_some()
            && pending.request.deadline - pending.arrived_at < SHORT_DEADLINE_RATIO * deadline
    }
}
