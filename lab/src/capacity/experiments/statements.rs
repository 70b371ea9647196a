//! Experiments with statements through the gateway process, in a closed loop.

use super::{
    ExperimentRun, ExperimentRunner, FIXED_REQUESTS, SETTLE_TIME, WARM_UP_STATEMENTS_PER_ENGINE,
    failed_statements,
};
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;
use crate::capacity::process::Gateway;
use crate::capacity::sessions::{Session, Tally, run_closed_loop};
use crate::capacity::site::Site;
use crate::capacity::stand_ins::Engines;

/// Number of sessions that send warm-up statements.
const WARM_UP_SESSIONS: usize = 64;

impl ExperimentRunner {
    pub(super) fn statements(
        &self,
        engines: usize,
        active: usize,
        idle: usize,
    ) -> Result<ExperimentRun, CapacityError> {
        let engines = Engines::start(engines)?;
        let site = Site { clients: active + idle + 100, ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let idle = Session::open_all(gateway.listen, idle)?;
        self.warm_up(&gateway, site.engines.len() as u64)?;
        let mut sessions = Session::open_all(gateway.listen, active)?;
        run_closed_loop(&mut sessions, active as u64)?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        let (cpu_us, logged) = (gateway.cpu_us()?, gateway.log_bytes());
        let tally = run_closed_loop(&mut sessions, self.workload.statements)?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        let operations = (tally.served + tally.failed) as f64;
        let run = ExperimentRun::new(vec![
            (Quantity::Cpu, (gateway.cpu_us()? - cpu_us) / operations),
            (Quantity::LatencyP99, tally.latencies.value_at_quantile(0.99) as f64 / 1e3),
            (Quantity::Connections, engines.counters.connections() as f64),
            (Quantity::Descriptors, gateway.descriptors()? as f64),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::LogBytes, (gateway.log_bytes() - logged) as f64 / operations),
        ]);
        drop(idle);
        let debug = self.debug_log_bytes(&site)?;
        Ok(run.with_figure(Quantity::DebugLogBytes, debug).unusable_if(failed_statements(tally.failed)))
    }

    /// Sends `WARM_UP_STATEMENTS_PER_ENGINE` statements per engine from separate sessions.
    fn warm_up(&self, gateway: &Gateway, engines: u64) -> Result<(), CapacityError> {
        let mut sessions = Session::open_all(gateway.listen, WARM_UP_SESSIONS)?;
        run_closed_loop(&mut sessions, WARM_UP_STATEMENTS_PER_ENGINE * engines)?;
        self.guard.check(Some(gateway.pid()))
    }

    /// Returns the bytes logged per statement at level debug. They are measured on a separate process, because writing
    /// the log would add to the processor time and latency of the other.
    fn debug_log_bytes(&self, site: &Site) -> Result<f64, CapacityError> {
        let gateway = Gateway::start(&self.program, site, "debug")?;
        let mut sessions = Session::open_all(gateway.listen, FIXED_REQUESTS)?;
        let before = gateway.log_bytes();
        let tally: Tally = run_closed_loop(&mut sessions, self.workload.debug_statements)?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        Ok((gateway.log_bytes() - before) as f64 / tally.served.max(1) as f64)
    }
}
