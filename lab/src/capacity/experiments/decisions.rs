//! Experiments with a core in memory: statements, control ticks, changes of one engine and full endpoint lists.

use super::{ExperimentRun, ExperimentRunner, WARM_UP_STATEMENTS_PER_ENGINE, failed_statements};
use crate::capacity::decisions::CoreSimulation;
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;

impl ExperimentRunner {
    pub(super) fn core_statements(
        &self,
        engines: usize,
        open: usize,
    ) -> Result<ExperimentRun, CapacityError> {
        let statements = self.workload.in_memory_statements;
        self.run_core(engines, open, |simulation| simulation.run_statements(statements))
    }

    /// Warms up a core with requests to all of its engines, then runs one measurement.
    pub(super) fn run_core(
        &self,
        engines: usize,
        open: usize,
        measure: impl FnOnce(&mut CoreSimulation) -> f64,
    ) -> Result<ExperimentRun, CapacityError> {
        let mut simulation = CoreSimulation::new(engines, open)?;
        simulation.run_statements(WARM_UP_STATEMENTS_PER_ENGINE * engines as u64 + 4 * open as u64);
        let cpu_us = measure(&mut simulation);
        Ok(ExperimentRun::new(vec![(Quantity::Cpu, cpu_us)])
            .unusable_if(failed_statements(simulation.failed)))
    }
}
