//! Experiments with a core in memory: statements, control ticks, changes of one engine and full endpoint lists.

use super::{ExperimentRun, ExperimentRunner, WARM_UP_STATEMENTS_PER_ENGINE, unserved};
use crate::capacity::decisions::Decisions;
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;

impl ExperimentRunner {
    pub(super) fn decide_statements(
        &self,
        engines: usize,
        open: usize,
    ) -> Result<ExperimentRun, CapacityError> {
        let statements = self.effort.decided;
        self.decide(engines, open, |decisions| decisions.statements(statements))
    }

    /// Warms up a core with requests to all of its engines, then runs one measurement.
    pub(super) fn decide(
        &self,
        engines: usize,
        open: usize,
        measure: impl FnOnce(&mut Decisions) -> f64,
    ) -> Result<ExperimentRun, CapacityError> {
        let mut decisions = Decisions::new(engines, open)?;
        decisions.statements(WARM_UP_STATEMENTS_PER_ENGINE * engines as u64 + 4 * open as u64);
        let cpu_us = measure(&mut decisions);
        Ok(ExperimentRun::of(vec![(Quantity::Cpu, cpu_us)]).unless(unserved(decisions.unserved)))
    }
}
