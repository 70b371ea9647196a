//! Timers of the core.

use workload_manager::{Event, KeyId, RequestId};
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use super::{AttemptId, Command, Core};
use crate::timer_lag::TimerLag;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Set by the workload manager, with its token.
    WorkloadManager(u64),
    /// The attempt has timed out.
    AttemptTimeout(AttemptId),
    /// The request must have its final answer.
    RequestDeadline(RequestId),
    /// The cooldown of a key may be over.
    KeyCooldown(KeyId),
}

/// The timers that are armed, and how late they have fired.
#[derive(Default)]
pub(super) struct Timers {
    wheel: TimerWheel<Timer>,
    lag: TimerLag,
}

impl Timers {
    pub(super) fn arm(&mut self, at_us: u64, timer: Timer) -> TimerId {
        self.wheel.arm(at_us, timer)
    }

    pub(super) fn cancel(&mut self, timer: TimerId) {
        self.wheel.cancel(timer);
    }

    /// The next timer that is due.
    pub(super) fn pop(&mut self, now_us: u64) -> Option<Timer> {
        let (due_us, timer) = self.wheel.pop(now_us)?;
        self.lag.record(due_us, now_us);
        Some(timer)
    }

    pub(super) fn next_us(&self) -> Option<u64> {
        self.wheel.next_us()
    }

    pub(super) fn len(&self) -> usize {
        self.wheel.len()
    }

    pub(super) fn lag(&self) -> &TimerLag {
        &self.lag
    }
}

impl Core {
    pub(super) fn on_timer(&mut self, now_us: u64, timer: Timer, commands: &mut Vec<Command>) {
        match timer {
            Timer::WorkloadManager(token) => self.events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.cancel_attempt(attempt, commands),
            Timer::RequestDeadline(request) => self.on_request_deadline(now_us, request, commands),
            Timer::KeyCooldown(key) => self.leases.on_cooldown_end(now_us, key, &mut self.lease_effects),
        }
        self.carry_out_lease_effects(commands);
    }

    /// Arms a timer for the workload manager. One for a request goes with the request.
    pub(super) fn arm_for_workload_manager(&mut self, at_us: u64, token: u64, request: Option<RequestId>) {
        let timer = self.timers.arm(at_us, Timer::WorkloadManager(token));
        match request.map(|id| self.open_requests.get_mut(&id)) {
            Some(Some(open)) => open.timers.push(timer),
            Some(None) => self.timers.cancel(timer),
            None => {}
        }
    }
}
