//! Open requests, and the one final answer of each.

use workload_manager::{ClassId, Event, KeyId, Request, RequestId};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::command::AttemptTerms;
use super::time::{millis_rounded_up, seconds};
use super::timers::Timer;
use super::{Command, Core, NewRequest};

/// A request without a final answer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) class: ClassId,
    /// Order key. `None` in a class that is not ordered by key.
    pub(super) key: Option<KeyId>,
    /// The request while it waits for the lease of its key. Then it is passed to the workload manager.
    pub(super) awaiting_lease: Option<Request>,
    /// Time by which the core gives the final answer.
    pub(super) answer_by_us: u64,
    /// Timer of the deadline, and timers that the workload manager has set for this request.
    pub(super) timers: Vec<TimerId>,
    /// Number of the next attempt.
    pub(super) next_attempt: u32,
    /// Start time of the first attempt that may have run.
    pub(super) may_have_run_since_us: Option<u64>,
    /// Terms of attempts that start later.
    pub(super) terms: AttemptTerms,
}

impl OpenRequest {
    /// Records that an attempt started at `started_us` may have run.
    pub(super) fn record_possible_run(&mut self, started_us: u64) {
        self.may_have_run_since_us.get_or_insert(started_us);
    }
}

/// Final answer to a request that is not served.
#[derive(Clone, Copy, Debug)]
pub(super) enum Unserved {
    /// Rejected if a retry by the client is safe, otherwise failed.
    RejectIfRetryIsSafe {
        /// Retry-After, in seconds.
        retry_after: Option<f64>,
    },
    Fail,
}

impl Core {
    pub(super) fn on_request_arrived(&mut self, now_us: u64, id: RequestId, new: NewRequest) {
        let answer_by_us = self.rules.answer_by_us(new.deadline_us);
        // Ensures an answer even if the workload manager misses the deadline.
        let deadline = self.timers.arm(answer_by_us, Timer::RequestDeadline(id));
        let key = self.rules.order_key(new.class, new.key);
        let request = Request {
            id,
            class: new.class,
            tenant: new.tenant,
            key,
            deadline: seconds(answer_by_us),
            estimated_work: new.estimated_work,
            estimated_memory_mb: new.estimated_memory_mb,
            table_group: new.table_group,
            is_retry: new.is_retry,
        };
        let mut open = OpenRequest {
            class: new.class,
            key,
            awaiting_lease: None,
            answer_by_us,
            timers: vec![deadline],
            next_attempt: 0,
            may_have_run_since_us: None,
            terms: AttemptTerms { memory_mb: 0.0, priority: 1 },
        };
        if let Some(key) = key {
            open.awaiting_lease = Some(request);
            self.open_requests.insert(id, open);
            self.leases.claim(now_us, key, id, &mut self.lease_effects);
        } else {
            self.open_requests.insert(id, open);
            self.events.push_back(Event::RequestArrived(request));
        }
    }

    pub(super) fn on_client_left(&mut self, now_us: u64, id: RequestId) {
        if self.close_request(now_us, id).is_some() {
            self.events.push_back(Event::RequestAborted(id));
        }
    }

    /// Gives every open request its final answer.
    pub(super) fn on_shutting_down(&mut self, now_us: u64, commands: &mut Vec<Command>) {
        let open: Vec<RequestId> = self.open_requests.keys().copied().collect();
        let retry_after = self.rules.retry_after_seconds();
        for id in open {
            self.events.push_back(Event::RequestAborted(id));
            self.answer_unserved(now_us, id, Unserved::RejectIfRetryIsSafe { retry_after }, commands);
        }
    }

    pub(super) fn on_request_deadline(&mut self, now_us: u64, id: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        debug_assert!(now_us >= open.answer_by_us);
        let answer = if open.awaiting_lease.is_some() {
            // The workload manager has not received the request, so no attempt was started.
            Unserved::RejectIfRetryIsSafe { retry_after: self.rules.retry_after_seconds() }
        } else {
            Unserved::Fail
        };
        self.events.push_back(Event::RequestAborted(id));
        self.answer_unserved(now_us, id, answer, commands);
    }

    /// Removes an open request, cancels its timers, and releases the lease of its key or cancels the claim of the
    /// lease. Returns `None` if the request is not open.
    pub(super) fn close_request(&mut self, now_us: u64, id: RequestId) -> Option<OpenRequest> {
        let open = self.open_requests.remove(&id)?;
        match open.key {
            Some(key) if open.awaiting_lease.is_some() => {
                self.leases.cancel_claim(now_us, key, id, &mut self.lease_effects);
            }
            Some(key) => self.leases.release(now_us, key, 0, &mut self.lease_effects),
            None => {}
        }
        for timer in &open.timers {
            self.timers.cancel(*timer);
        }
        Some(open)
    }

    /// Gives the final answer to a request that is not served. The request is rejected only if a retry by the client is
    /// safe: no attempt can have run or be running, or another execution has no further effect.
    pub(super) fn answer_unserved(
        &mut self,
        now_us: u64,
        id: RequestId,
        answer: Unserved,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.close_request(now_us, id) else { return };
        let may_have_run = open.may_have_run_since_us.is_some() || self.in_flight.has_any_of(id);
        let retry_is_safe = self.rules.client_may_retry(open.class, may_have_run);
        commands.push(match answer {
            Unserved::RejectIfRetryIsSafe { retry_after } if retry_is_safe => {
                Command::Reject { request: id, retry_after_ms: retry_after.map(millis_rounded_up) }
            }
            Unserved::RejectIfRetryIsSafe { .. } | Unserved::Fail => Command::Fail(id),
        });
    }
}
