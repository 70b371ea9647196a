//! Order by key: requests of one key run one at a time, in order of arrival.
//!
//! After an attempt that may still run the key cools down before its next request.

use std::collections::{BTreeMap, VecDeque};

use crate::{KeyId, Request, RequestId};

/// Holds back a key until a time in seconds, but for the request whose attempt may still run.
struct Cooldown {
    until: f64,
    caused_by: RequestId,
}

/// The requests of one key.
#[derive(Default)]
struct KeyQueue {
    order: VecDeque<RequestId>,
    attempts_in_flight: u32,
    cooldown: Option<Cooldown>,
}

impl KeyQueue {
    fn cools_down(&self, now: f64) -> bool {
        self.cooldown.as_ref().is_some_and(|cooldown| now < cooldown.until)
    }

    fn cools_down_for(&self, request: RequestId, now: f64) -> bool {
        let holds_back = |cooldown: &Cooldown| cooldown.caused_by != request && now < cooldown.until;
        self.cooldown.as_ref().is_some_and(holds_back)
    }
}

/// The queues of all keys in use.
#[derive(Default)]
pub(super) struct KeyQueues(BTreeMap<KeyId, KeyQueue>);

impl KeyQueues {
    /// Keys with a request queued or in flight, or cooling down as of the last control tick.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Appends a new request, if it has a key.
    pub(super) fn enqueue(&mut self, request: &Request) {
        if let Some(key) = request.key {
            self.0.entry(key).or_default().order.push_back(request.id);
        }
    }

    /// Takes out a request that is over.
    pub(super) fn remove(&mut self, request: &Request) {
        if let Some(queue) = self.of(request) {
            queue.order.retain(|id| *id != request.id);
        }
    }

    pub(super) fn attempt_started(&mut self, request: &Request) {
        if let Some(queue) = self.of(request) {
            queue.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt that has ended; the key cools down until the given time, if there is one.
    pub(super) fn attempt_ended(&mut self, request: &Request, cooldown_until: Option<f64>) {
        if let Some(queue) = self.of(request) {
            queue.attempts_in_flight -= 1;
            if let Some(until) = cooldown_until {
                queue.cooldown = Some(Cooldown { until, caused_by: request.id });
            }
        }
    }

    /// Moves the end of a key's cooldown, now that the end of the attempt behind it is known.
    pub(super) fn set_cooldown_end(&mut self, key: KeyId, until: f64) {
        if let Some(cooldown) = self.0.get_mut(&key).and_then(|queue| queue.cooldown.as_mut()) {
            cooldown.until = until;
        }
    }

    /// Whether a request is first of its key, and no attempt of the key is in flight or may still run.
    pub(super) fn has_turn(&self, request: &Request, now: f64) -> bool {
        let queue = request.key.and_then(|key| self.0.get(&key));
        queue.is_none_or(|queue| {
            queue.order.front() == Some(&request.id)
                && queue.attempts_in_flight == 0
                && !queue.cools_down_for(request.id, now)
        })
    }

    /// Forgets keys that hold back no request.
    pub(super) fn forget_idle(&mut self, now: f64) {
        self.0.retain(|_, queue| {
            !queue.order.is_empty() || queue.attempts_in_flight > 0 || queue.cools_down(now)
        });
    }

    fn of(&mut self, request: &Request) -> Option<&mut KeyQueue> {
        request.key.and_then(|key| self.0.get_mut(&key))
    }
}
