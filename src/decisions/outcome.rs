//! Updates at the end of an attempt: statistics of its engine and class, and the latency that controls the
//! limits.

use crate::{EngineId, Event, LoadReport, Outcome, QueryCost};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::interactive_latency::InteractiveLatency;
use super::outlier::log_health_change;
use super::supervision::{Attempt, AttemptId};

/// The fields of [`Event::AttemptEnded`].
pub(super) struct AttemptEnd {
    pub(super) id: AttemptId,
    pub(super) engine: EngineId,
    pub(super) outcome: Outcome,
    pub(super) elapsed_seconds: f64,
    pub(super) request_settled: bool,
    pub(super) may_still_run_for_seconds: f64,
    pub(super) cost: Option<QueryCost>,
    pub(super) load_report: Option<LoadReport>,
}

impl AttemptEnd {
    /// Reads the fields of the event. `None` for all other events.
    pub(super) fn from_event(event: &Event) -> Option<Self> {
        let &Event::AttemptEnded {
            request,
            attempt: number,
            engine,
            outcome,
            elapsed: elapsed_seconds,
            request_settled,
            may_still_run_for: may_still_run_for_seconds,
            cost,
            load_report,
        } = event
        else {
            return None;
        };
        Some(Self {
            id: AttemptId { request, number },
            engine,
            outcome,
            elapsed_seconds,
            request_settled,
            may_still_run_for_seconds,
            cost,
            load_report,
        })
    }
}

impl WorkloadManager {
    /// Removes the attempt from all sums and records its outcome.
    pub(super) fn record_outcome(&mut self, now: f64, attempt: &Attempt, end: &AttemptEnd) {
        self.record_time_for_work(now, attempt, end);
        // Computed first: the interval that this attempt may end is judged by the terms before its latency.
        let terms = self.controller_terms();
        self.remove_from_sums(attempt, end);
        self.record_latency_and_cost(now, attempt, end);
        self.record_engine_health(now, attempt, end);
        if let Some(engine) = self.engines.get_mut(&attempt.engine) {
            let utilization = self.load.utilization(engine, now);
            engine.limit.close_interval_if_ended(now, &self.latency, &self.load, utilization, &terms);
        }
    }

    fn record_time_for_work(&mut self, now: f64, attempt: &Attempt, end: &AttemptEnd) {
        if end.outcome == Outcome::Success {
            let class = attempt.request.class;
            let work = end.cost.map_or(attempt.request.estimated_work.unwrap_or(0.0), |cost| cost.work);
            let thread_seconds = end.elapsed_seconds * self.threads_of(attempt);
            self.on_time_for_work(now, attempt.engine, class, thread_seconds / work);
        }
    }

    /// Removes the attempt from the sums of its engine and of the fleet, and corrects its charge to the token
    /// bucket by its elapsed time.
    fn remove_from_sums(&mut self, attempt: &Attempt, end: &AttemptEnd) {
        let threads = self.threads_of(attempt);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        let memory_mb = attempt.request.estimated_memory_mb.unwrap_or(0.0);
        engine.remove_attempt(threads, memory_mb, attempt.interactive);
        self.fleet.remove_attempt(threads, memory_mb, attempt.interactive);
        if !attempt.interactive {
            self.tokens.charge_excess(threads * (end.elapsed_seconds - attempt.charged_seconds));
        }
    }

    fn record_latency_and_cost(&mut self, now: f64, attempt: &Attempt, end: &AttemptEnd) {
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        let profile = &mut self.profiles[attempt.request.class.0];
        record_latency(now, engine, &mut self.latency, profile, attempt, end);
        if end.outcome == Outcome::Success {
            if !attempt.stalled {
                engine.stalled.record(now, false);
            }
            profile.record_success(end.elapsed_seconds, end.cost);
        }
    }

    fn record_engine_health(&mut self, now: f64, attempt: &Attempt, end: &AttemptEnd) {
        let Some(engine) = self.engines.get_mut(&attempt.engine) else { return };
        let change = engine.health.attempt_ended(now, attempt.health_epoch, end.outcome);
        log_health_change(attempt.engine, change);
        if end.outcome == Outcome::Rejected {
            engine.record_full(now);
        }
    }

    /// Number of threads that the attempt runs on.
    fn threads_of(&self, attempt: &Attempt) -> f64 {
        f64::from(self.settings.classes[attempt.request.class.0].threads)
    }

    /// Closes the control intervals that have ended.
    pub(super) fn close_control_intervals(&mut self, now: f64) {
        let terms = self.controller_terms();
        for engine in self.engines.values_mut() {
            let utilization = self.load.utilization(engine, now);
            engine.limit.close_interval_if_ended(now, &self.latency, &self.load, utilization, &terms);
        }
    }
}

/// Records the attempt's latency. An attempt that timed out or was cancelled is recorded with its elapsed
/// time, or with the mean if that is longer, because successes alone would bias the mean. A stalled attempt
/// is not recorded, because its latency does not depend on the load.
fn record_latency(
    now: f64,
    engine: &mut Engine,
    interactive_latency: &mut InteractiveLatency,
    profile: &ClassProfile,
    attempt: &Attempt,
    end: &AttemptEnd,
) {
    let cut_short = match end.outcome {
        Outcome::Success => false,
        Outcome::TimedOut | Outcome::Cancelled => true,
        _ => return,
    };
    if attempt.stalled {
        return;
    }
    engine.relative_latency.record(now, end.elapsed_seconds, profile.latency_seconds, cut_short);
    if attempt.interactive {
        let min_latency = if cut_short { interactive_latency.mean_seconds } else { 0.0 };
        let latency = end.elapsed_seconds.max(min_latency);
        engine.limit.record_completion(latency);
        interactive_latency.record(now, latency);
    }
}
