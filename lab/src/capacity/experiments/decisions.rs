//! Decisions in memory, without a process: statements, control ticks, changes and lists.

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

    /// Something that a core decides, once it has worked with all of its engines.
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
