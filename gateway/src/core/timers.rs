//! Timers of the core: deadlines of requests, timeouts of attempts, key cooldowns and timers of the workload manager.

use workload_manager::{Event, KeyId, RequestId};
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use super::{AttemptId, Command, Core};
use crate::timer_lag::TimerLag;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Passes an [`Event::Timer`] with this token to the workload manager.
    WorkloadManager(u64),
    /// Cancels the attempt.
    AttemptTimeout(AttemptId),
    /// Gives the request its final answer.
    RequestDeadline(RequestId),
    /// Serves the waiting claims of a key if its cooldown is over.
    KeyCooldown(KeyId),
}

/// Armed timers, and the delays with which timers have fired.
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

    /// Removes and returns the earliest timer that is due.
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

    /// Arms a timer for the workload manager. A timer for a request is cancelled when the request ends.
    pub(super) fn arm_for_workload_manager(&mut self, at_us: u64, token: u64, request: Option<RequestId>) {
        let timer = self.timers.arm(at_us, Timer::WorkloadManager(token));
        match request.map(|id| self.open_requests.get_mut(&id)) {
            Some(Some(open)) => open.timers.push(timer),
            Some(None) => self.timers.cancel(timer),
            None => {}
        }
    }
}
