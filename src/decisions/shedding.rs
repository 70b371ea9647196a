//! Load shedding: the rules by which queued requests are given up, the final answer to a request that was not
//! served, and the Retry-After of a rejection.

use crate::{Action, ClassId, RequestId};

use super::explain::log_shed_request;
use super::request_path::PendingRequest;
use super::{WorkloadManager, unit_interval};

/// Longest time from arrival to leaving the queue, as a ratio of the difference between the objective and the
/// class's mean latency.
const INTERACTIVE_QUEUE_TIME_RATIO: f64 = 0.25;
const BACKGROUND_QUEUE_TIME_RATIO: f64 = 0.5;
/// Lower bound of the difference between the objective and the class's mean latency, as a ratio of the
/// objective.
const MIN_LEFT_OBJECTIVE_RATIO: f64 = 0.3;
/// Upper bound of the expected latency of an attempt, as a ratio of the class's deadline.
const SUFFICIENT_DEADLINE_RATIO: f64 = 0.5;
/// Time left at arrival under which a request with an order key is shed if it has to wait, as a ratio of the
/// class's deadline.
const SHORT_DEADLINE_RATIO: f64 = 0.5;
/// Lower bound of Retry-After, as a ratio of the longest one that clients respect.
const MIN_RETRY_AFTER_RATIO: f64 = 0.5;

/// Rule by which a queued request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SheddingRule {
    /// The request is queued too long after its arrival to be answered within its objective. The time
    /// includes earlier attempts.
    QueueTime,
    /// The request has an order key, and arrived with little time left.
    ShortDeadline,
    /// No further attempt is allowed by the time left, the number of attempts, or the request's idempotency.
    NoAttemptPossible,
}

impl SheddingRule {
    /// Name in the log.
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
        // All requests are logged before any is removed, because a removal lets the next request of its key
        // start.
        for (id, rule) in &overdue {
            log_shed_request(self, *id, *rule, now);
        }
        for (id, _) in overdue {
            self.give_up(id, true, actions);
        }
    }

    /// First rule by which a queued request is shed. `None` if it stays queued.
    fn shedding_rule(&self, pending: &PendingRequest, now: f64) -> Option<SheddingRule> {
        if now - pending.arrived_at > self.max_queue_seconds(pending.request.class) {
            Some(SheddingRule::QueueTime)
        } else if self.is_short_of_time(pending) {
            Some(SheddingRule::ShortDeadline)
        } else if !self.allows_another_attempt(pending, now) {
            Some(SheddingRule::NoAttemptPossible)
        } else {
            None
        }
    }

    /// Sends the final answer to a request that was not served: a rejection if the client may safely retry,
    /// or else a failure. With `with_retry_after` set, a rejection has a Retry-After if clients respect it.
    pub(super) fn give_up(&mut self, id: RequestId, with_retry_after: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let may_have_run =
            !self.queue.contains_key(&pending.queue_index) || pending.first_possible_run.is_some();
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        if idempotency.client_may_retry(may_have_run) {
            let seconds = self.draw_retry_after_seconds();
            let retry_after = (with_retry_after && self.settings.capabilities.retry_after).then_some(seconds);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.remove_request(id, actions);
    }

    /// Draws a random Retry-After, so that rejected clients do not all retry at the same time.
    fn draw_retry_after_seconds(&mut self) -> f64 {
        let spread = (1.0 - MIN_RETRY_AFTER_RATIO) * unit_interval(self.next_draw());
        (MIN_RETRY_AFTER_RATIO + spread) * self.settings.capabilities.max_retry_after
    }

    /// Longest time in seconds after its arrival at which a request of this class may be queued.
    pub(super) fn max_queue_seconds(&self, class: ClassId) -> f64 {
        let (class, profile) = (&self.settings.classes[class.0], &self.profiles[class.0]);
        let objective = class.latency_objective
            + class.objective_stretch * profile.work_seconds() / f64::from(class.threads);
        let part =
            if profile.interactive { INTERACTIVE_QUEUE_TIME_RATIO } else { BACKGROUND_QUEUE_TIME_RATIO };
        part * (objective - profile.latency_seconds).max(MIN_LEFT_OBJECTIVE_RATIO * class.latency_objective)
    }

    /// Lower estimate of the latency of an attempt of this request, at the current slowdown. The estimate is
    /// bounded, because a class whose requests are never sent would get no new samples.
    pub(super) fn min_latency_seconds(&self, pending: &PendingRequest) -> f64 {
        let class = pending.request.class.0;
        let slowed = self.latency.slowdown_ratio() * self.profiles[class].latency_seconds;
        (slowed * pending.relative_size.min(1.0))
            .min(SUFFICIENT_DEADLINE_RATIO * self.settings.classes[class].deadline)
    }

    /// Whether a request with an order key arrived with little time left. If it is queued at a control tick,
    /// it is shed to make way for later requests of its key.
    fn is_short_of_time(&self, pending: &PendingRequest) -> bool {
        let deadline = self.settings.classes[pending.request.class.0].deadline;
        pending.request.key.is_some()
            && pending.request.deadline - pending.arrived_at < SHORT_DEADLINE_RATIO * deadline
    }
}
