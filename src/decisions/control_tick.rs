//! Control tick: the periodic work that no event triggers.
//!
//! Ticks are aligned to multiples of the interval since the first event. No tick is scheduled while there is
//! neither an open request nor an attempt in flight.

use crate::Action;

use super::{CONTROL_TICK_TOKEN, WorkloadManager};

/// Time between two control ticks.
const CONTROL_TICK_SECONDS: f64 = 0.05;
/// Ratio of a tick by which a timer may fire early and still count as on time.
const EARLY_TICK_RATIO: f64 = 1e-3;

/// Schedule of the control ticks.
#[derive(Default)]
pub(super) struct Ticks {
    /// Time of the first event, in seconds.
    pub(super) started_at: Option<f64>,
    /// Whether a timer for the next tick is set.
    scheduled: bool,
}

impl WorkloadManager {
    /// Runs one control tick.
    pub(super) fn on_control_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.ticks.scheduled = false;
        self.close_control_intervals(now);
        self.latency.update_baseline();
        self.record_queries_in_flight();
        self.update_fleet(now);
        self.supervise_attempts(now, actions);
        self.key_queues.remove_idle(now);
        self.shed_overdue(now, actions);
    }

    /// Sets the timer of the next tick, if a tick is needed and no timer is set.
    pub(super) fn schedule_control_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        let idle = self.requests.is_empty() && self.attempts.is_empty();
        if self.ticks.scheduled || idle {
            return;
        }
        self.ticks.scheduled = true;
        let started_at = self.ticks.started_at.unwrap_or(now);
        let ticks = ((now - started_at) / CONTROL_TICK_SECONDS + EARLY_TICK_RATIO).floor();
        let next = started_at + CONTROL_TICK_SECONDS * (1.0 + ticks);
        actions.push(Action::SetTimer { delay: next - now, token: CONTROL_TICK_TOKEN, request: None });
    }

    /// Passes the mean threads and memory of the queries in flight to the load estimate.
    fn record_queries_in_flight(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let count = self.attempts.len() as f64;
        let memory_mb: f64 =
            self.attempts.values().map(|attempt| self.profiles[attempt.request.class.0].memory_mb).sum();
        self.load.record_queries(self.fleet.threads / count, memory_mb / count);
    }
}
