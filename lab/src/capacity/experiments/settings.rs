//! Experiments with the configuration: versions applied in service, reloads of the file, and startup.

use std::time::Instant;

use wrenhatch_configuration::{Delta, Document, Message, Snapshot, Version};

use super::{ExperimentRun, ExperimentRunner, SETTLE_TIME, SLOW_INTERVAL};
use crate::capacity::control_machine::ControlMachine;
use crate::capacity::error::CapacityError;
use crate::capacity::experiment::Quantity;
use crate::capacity::fit::Point;
use crate::capacity::process::Gateway;
use crate::capacity::site::Site;

impl ExperimentRunner {
    pub(super) fn reloads(&self, site: Site) -> Result<ExperimentRun, CapacityError> {
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let before = gateway.counter("reloads")?;
        let (cpu_us, logged, count) = (gateway.cpu_us()?, gateway.log_bytes(), self.workload.lists);
        let overrun = self.repeat_at_interval(count, SLOW_INTERVAL, &gateway, |_| gateway.reload())?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let reloads = gateway.counter("reloads")? - before;
        let missing = (reloads != count).then(|| format!("{reloads} of {count} readings were made"));
        let operations = count as f64;
        let run = ExperimentRun::new(vec![
            (Quantity::Cpu, cpu_us / operations),
            (Quantity::FileBytes, gateway.file_bytes as f64),
            (Quantity::LogBytes, logged as f64 / operations),
        ]);
        Ok(run.unusable_if(overrun).unusable_if(missing))
    }

    /// Applies versions of the settings, each sent as a delta to the previous one.
    pub(super) fn versions(&self, site: Site) -> Result<ExperimentRun, CapacityError> {
        let machine = ControlMachine::start()?;
        let site = Site { control: Some(machine.address), ..site };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let mut stream = machine.accept_stream()?;
        let mut in_force = (Version(1), document(&site, 1)?);
        stream.send(&Message::Snapshot(Snapshot::new(in_force.0, &in_force.1)))?;
        machine.wait_until_applied(1)?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        let (cpu_us, logged, count) = (gateway.cpu_us()?, gateway.log_bytes(), self.workload.lists);
        let (mut bytes, mut times) = (0, Vec::new());
        let overrun = self.repeat_at_interval(count, SLOW_INTERVAL, &gateway, |n| {
            let next = (Version(n + 2), document(&site, n + 2)?);
            let from = (in_force.0, &in_force.1);
            let message = Message::Delta(Delta::between(from, (next.0, &next.1)));
            let began = Instant::now();
            bytes += stream.send(&message)?;
            machine.wait_until_applied(next.0.0)?;
            times.push(began.elapsed().as_secs_f64() * 1e3);
            in_force = next;
            Ok(())
        })?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let operations = count as f64;
        let run = ExperimentRun::new(vec![
            (Quantity::Cpu, cpu_us / operations),
            (Quantity::StreamBytes, bytes as f64 / operations),
            (Quantity::LogBytes, logged as f64 / operations),
            (Quantity::ApplyTime, Point { size: operations, runs: times }.median()),
        ]);
        Ok(run.unusable_if(overrun))
    }

    pub(super) fn startup(&self, site: &Site) -> Result<ExperimentRun, CapacityError> {
        let gateway = Gateway::start(&self.program, site, "info")?;
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        Ok(ExperimentRun::new(vec![
            (Quantity::Cpu, gateway.cpu_us()?),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::FileBytes, gateway.file_bytes as f64),
            (Quantity::LogBytes, gateway.log_bytes() as f64),
            (Quantity::MetricsBytes, gateway.metrics()?.len() as f64),
        ]))
    }
}

/// Returns the settings of a site with the change that a version makes.
fn document(site: &Site, version: u64) -> Result<Document, CapacityError> {
    let text = site.changed_settings(version).to_string();
    text.parse().map_err(|e| CapacityError::Unexpected(format!("invalid settings document: {e}")))
}
