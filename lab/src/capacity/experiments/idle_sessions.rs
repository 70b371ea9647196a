//! Experiment with open, idle sessions.

use super::{ExperimentRun, ExperimentRunner, FIXED_ENGINES, SETTLE_TIME, percent};
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;
use crate::capacity::process::Gateway;
use crate::capacity::sessions::Session;
use crate::capacity::site::Site;
use crate::capacity::stand_ins::Engines;

impl ExperimentRunner {
    pub(super) fn idle_sessions(&self, count: usize) -> Result<ExperimentRun, CapacityError> {
        let engines = Engines::start(FIXED_ENGINES)?;
        let site = Site { clients: count + 100, ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let before = gateway.cpu_us()?;
        let sessions = Session::open_all(gateway.listen, count)?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        let opened_us = gateway.cpu_us()?;
        self.guard.sleep(self.workload.idle_time, Some(gateway.pid()))?;
        let idle_us = gateway.cpu_us()? - opened_us;
        let run = ExperimentRun::new(vec![
            (Quantity::Cpu, (opened_us - before) / count.max(1) as f64),
            (Quantity::IdleCpu, percent(idle_us, self.workload.idle_time)),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::Descriptors, gateway.descriptors()? as f64),
        ]);
        drop(sessions);
        Ok(run)
    }
}
