//! What one run of an experiment gives, and whether it can be used.

use std::time::Duration;

use crate::capacity::experiment::Quantity;

/// A schedule that ends later than this part of its length makes a run unusable.
const MAX_SCHEDULE_LAG_RATIO: f64 = 0.1;

/// What one run has measured.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentRun {
    /// Its figures.
    pub figures: Vec<(Quantity, f64)>,
    /// Why the figures can't be used, if so.
    pub unusable: Option<String>,
}

impl ExperimentRun {
    pub(super) fn of(figures: Vec<(Quantity, f64)>) -> Self {
        Self { figures, unusable: None }
    }

    /// The figures can't be used if this is a reason.
    pub(super) fn unless(mut self, reason: Option<String>) -> Self {
        self.unusable = self.unusable.or(reason);
        self
    }

    /// The same with one more figure.
    pub(super) fn with(mut self, quantity: Quantity, value: f64) -> Self {
        self.figures.push((quantity, value));
        self
    }
}

/// Processor time as percent of a core.
pub(super) fn percent(cpu_us: f64, of: Duration) -> f64 {
    100.0 * cpu_us / of.as_micros().max(1) as f64
}

/// Why a run with so many unserved statements can't be used.
pub(super) fn unserved(count: u64) -> Option<String> {
    (count > 0).then(|| format!("{count} statements were not served"))
}

/// Why a run can't be used whose schedule took so much longer than planned.
pub fn fell_behind(took: Duration, planned: Duration) -> Option<String> {
    let most = planned.mul_f64(1.0 + MAX_SCHEDULE_LAG_RATIO);
    let (took_ms, planned_ms) = (took.as_millis(), planned.as_millis());
    (took > most).then(|| format!("fell behind its schedule: {took_ms} ms for {planned_ms} ms"))
}
