//! Order by key: requests with the same order key run one at a time, in order of arrival.
//!
//! After an attempt that may still run, a cooldown delays the key's next request.

use std::collections::{BTreeMap, VecDeque};

use crate::{KeyId, Request, RequestId};

/// Holds back the requests of a key until a time in seconds, except the request whose attempt may still run.
struct Cooldown {
    until: f64,
    caused_by: RequestId,
}

/// Open requests of one key, in order of arrival, and the state that delays them.
#[derive(Default)]
struct KeyQueue {
    order: VecDeque<RequestId>,
    attempts_in_flight: u32,
    cooldown: Option<Cooldown>,
}

impl KeyQueue {
    fn is_cooling_down(&self, now: f64) -> bool {
        self.cooldown.as_ref().is_some_and(|cooldown| now < cooldown.until)
    }

    fn is_cooling_down_for(&self, request: RequestId, now: f64) -> bool {
        let holds_back = |cooldown: &Cooldown| cooldown.caused_by != request && now < cooldown.until;
        self.cooldown.as_ref().is_some_and(holds_back)
    }
}

/// Queues of all keys in use.
#[derive(Default)]
pub(super) struct KeyQueues(BTreeMap<KeyId, KeyQueue>);

impl KeyQueues {
    /// Number of keys with a request queued or in flight, or in cooldown as of the last control tick.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Appends a new request, if it has a key.
    pub(super) fn enqueue(&mut self, request: &Request) {
        if let Some(key) = request.key {
            self.0.entry(key).or_default().order.push_back(request.id);
        }
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&mut self, request: &Request) {
        if let Some(queue) = self.queue_of(request) {
            queue.order.retain(|id| *id != request.id);
        }
    }

    pub(super) fn attempt_started(&mut self, request: &Request) {
        if let Some(queue) = self.queue_of(request) {
            queue.attempts_in_flight += 1;
        }
    }

    /// Records the end of an attempt, and starts a cooldown of its key until the given time, if there is one.
    pub(super) fn attempt_ended(&mut self, request: &Request, cooldown_until: Option<f64>) {
        if let Some(queue) = self.queue_of(request) {
            queue.attempts_in_flight -= 1;
            if let Some(until) = cooldown_until {
                queue.cooldown = Some(Cooldown { until, caused_by: request.id });
            }
        }
    }

    /// Sets the end of a key's cooldown once the attempt that caused it has ended or its run time is bounded.
    /// Without a cooldown there is no effect.
    pub(super) fn set_cooldown_end(&mut self, key: KeyId, until: f64) {
        if let Some(cooldown) = self.0.get_mut(&key).and_then(|queue| queue.cooldown.as_mut()) {
            cooldown.until = until;
        }
    }

    /// Whether a request may be sent: it is the first of its key, no attempt of the key is in flight, and no
    /// cooldown holds it back. A request without key may always be sent.
    pub(super) fn may_start(&self, request: &Request, now: f64) -> bool {
        let queue = request.key.and_then(|key| self.0.get(&key));
        queue.is_none_or(|queue| {
            queue.order.front() == Some(&request.id)
                && queue.attempts_in_flight == 0
                && !queue.is_cooling_down_for(request.id, now)
        })
    }

    /// Removes the keys that have no open request, no attempt in flight and no cooldown.
    pub(super) fn remove_idle(&mut self, now: f64) {
        self.0.retain(|_, queue| {
            !queue.order.is_empty() || queue.attempts_in_flight > 0 || queue.is_cooling_down(now)
        });
    }

    fn queue_of(&mut self, request: &Request) -> Option<&mut KeyQueue> {
        request.key.and_then(|key| self.0.get_mut(&key))
    }
}
