//! The result of one run of an experiment, and the reasons that make it unusable.

use std::time::Duration;

use crate::capacity::experiment::Quantity;

/// Delay at the end of a schedule, relative to its length, above which a run is unusable.
const MAX_SCHEDULE_LAG_RATIO: f64 = 0.1;

/// The result of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentRun {
    /// Measured values, at most one per quantity, in the unit of the quantity.
    pub figures: Vec<(Quantity, f64)>,
    /// Reason that makes the figures unusable, `None` if they are usable.
    pub unusable: Option<String>,
}

impl ExperimentRun {
    pub(super) fn new(figures: Vec<(Quantity, f64)>) -> Self {
        Self { figures, unusable: None }
    }

    /// Marks the run as unusable if a reason is given. The first reason is kept.
    pub(super) fn unusable_if(mut self, reason: Option<String>) -> Self {
        self.unusable = self.unusable.or(reason);
        self
    }

    pub(super) fn with_figure(mut self, quantity: Quantity, value: f64) -> Self {
        self.figures.push((quantity, value));
        self
    }
}

/// Converts processor time spent in a period to percent of a core.
pub(super) fn percent(cpu_us: f64, period: Duration) -> f64 {
    100.0 * cpu_us / period.as_micros().max(1) as f64
}

/// Returns the reason that makes a run unusable, or `None` if no statements failed.
pub(super) fn failed_statements(count: u64) -> Option<String> {
    (count > 0).then(|| format!("{count} statements were not served"))
}

/// Returns the reason that makes a run unusable, or `None` if it took at most `MAX_SCHEDULE_LAG_RATIO` longer than
/// planned.
pub fn schedule_overrun(took: Duration, planned: Duration) -> Option<String> {
    let limit = planned.mul_f64(1.0 + MAX_SCHEDULE_LAG_RATIO);
    let (took_ms, planned_ms) = (took.as_millis(), planned.as_millis());
    (took > limit).then(|| format!("fell behind its schedule: {took_ms} ms for {planned_ms} ms"))
}
