//! Figures of all runs and cost measurements, as tables and as JSON.

use std::fmt;

use serde::Serialize;

use super::cost::{Cost, Memory};
use super::fleet::SimulationResult;
use super::scenario::Scenario;
use super::settings::Size;
use super::{LIMIT_BYTES_PER_S, LIMIT_CORE_PERCENT, LIMIT_MEMORY_BYTES, LIMIT_MS, MACHINES};
use crate::spread::{Summary, histogram};

/// Content of the JSON file. Its `Display` output is the printed tables.
#[derive(Debug, Serialize)]
pub struct Figures {
    /// Size of the simulated settings.
    size: Size,
    /// Number of control machines.
    machines: usize,
    limit_ms: f64,
    limit_core_percent: f64,
    limit_memory_bytes: u64,
    limit_bytes_per_s: f64,
    /// Figures of the simulated scenarios.
    pub rows: Vec<Row>,
    memory: Memory,
    /// Cost by number of gateways, measured on this machine.
    pub costs: Vec<Cost>,
}

/// Figures of a scenario on one fleet, over all runs.
#[derive(Debug, Serialize)]
pub struct Row {
    scenario: Scenario,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Number of runs.
    plays: usize,
    /// Time from the start of the measurement until a version is in force at a gateway, over all gateways.
    each: Summary,
    /// Time from the start of the measurement until a version is in force at all gateways.
    pub all: Summary,
    /// Number of measured versions that some gateway had not applied at the end of the run.
    pub missed: u64,
    refused: u64,
    /// Mean traffic of the gateway with the most traffic, in the run where it is highest.
    pub gateway_bytes_per_s: f64,
    gateway_peak_bytes: u64,
    /// Mean traffic of the control machine with the most traffic, in the run where it is highest.
    machine_bytes_per_s: f64,
    machine_peak_bytes: u64,
}

impl Row {
    /// Summarizes the results of all runs.
    pub fn new(scenario: Scenario, gateways: usize, runs: impl Iterator<Item = SimulationResult>) -> Self {
        let (mut each, mut all) = (histogram(), histogram());
        let mut row = Self {
            scenario,
            gateways,
            plays: 0,
            each: Summary::default(),
            all: Summary::default(),
            missed: 0,
            refused: 0,
            gateway_bytes_per_s: 0.0,
            gateway_peak_bytes: 0,
            machine_bytes_per_s: 0.0,
            machine_peak_bytes: 0,
        };
        for run in runs {
            // All histograms have the same bounds.
            let _ = each.add(&run.gateway_delays_us);
            let _ = all.add(&run.fleet_delays_us);
            row.plays += 1;
            row.missed += run.missed;
            row.refused += run.refused;
            row.gateway_bytes_per_s = row.gateway_bytes_per_s.max(run.gateway_bytes_per_s);
            row.gateway_peak_bytes = row.gateway_peak_bytes.max(run.gateway_peak_bytes);
            row.machine_bytes_per_s = row.machine_bytes_per_s.max(run.machine_bytes_per_s);
            row.machine_peak_bytes = row.machine_peak_bytes.max(run.machine_peak_bytes);
        }
        (row.each, row.all) = (Summary::from(&each), Summary::from(&all));
        row
    }

    fn name(&self) -> String {
        serde_json::to_value(self.scenario)
            .ok()
            .and_then(|name| Some(name.as_str()?.to_owned()))
            .unwrap_or_default()
    }
}

impl Figures {
    /// Figures without rows and costs, which the caller adds.
    pub fn new(size: Size, memory: Memory) -> Self {
        Self {
            size,
            machines: MACHINES,
            limit_ms: LIMIT_MS,
            limit_core_percent: LIMIT_CORE_PERCENT,
            limit_memory_bytes: LIMIT_MEMORY_BYTES,
            limit_bytes_per_s: LIMIT_BYTES_PER_S,
            rows: Vec::new(),
            memory,
            costs: Vec::new(),
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Until a version is in force, in ms of simulated time; limit {} ms", self.limit_ms)?;
        writeln!(
            f,
            "| scenario | gateways | versions | one: p50 | p99 | worst | all: p50 | p99 | worst | missed | \
             gateway bytes/s | worst second | machine bytes/s | worst second |"
        )?;
        writeln!(f, "|{}", " --- |".repeat(14))?;
        self.rows.iter().try_for_each(|row| write_row(f, row))?;
        let Memory { subscriber_bytes, publisher_bytes } = self.memory;
        writeln!(
            f,
            "\nMemory, measured: a gateway {subscriber_bytes} bytes, a machine {publisher_bytes} bytes"
        )?;
        writeln!(f, "\nProcessor time, measured; limit {LIMIT_CORE_PERCENT}% of a core at a gateway")?;
        writeln!(
            f,
            "| gateways | whole, bytes | difference, bytes | gateway: difference, us | whole, us | heartbeat, us | \
             % of a core | % were the whole sent | machine: gateways | change, us | % of a core |"
        )?;
        writeln!(f, "|{}", " --- |".repeat(11))?;
        self.costs.iter().try_for_each(|cost| write_cost(f, cost))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let (each, all) = (&row.each, &row.all);
    write!(f, "| {} | {} | {} ", row.name(), row.gateways, all.count)?;
    write!(f, "| {:.0} | {:.0} | {:.0} ", each.p50_ms, each.p99_ms, each.max_ms)?;
    write!(f, "| {:.0} | {:.0} | {:.0} | {} ", all.p50_ms, all.p99_ms, all.max_ms, row.missed)?;
    write!(f, "| {:.0} | {} ", row.gateway_bytes_per_s, row.gateway_peak_bytes)?;
    writeln!(f, "| {:.0} | {} |", row.machine_bytes_per_s, row.machine_peak_bytes)
}

fn write_cost(f: &mut fmt::Formatter<'_>, cost: &Cost) -> fmt::Result {
    write!(f, "| {} | {} | {:.0} ", cost.gateways, cost.snapshot_bytes, cost.delta_bytes)?;
    write!(f, "| {:.1} | {:.1} ", cost.subscriber_delta_us, cost.subscriber_snapshot_us)?;
    write!(f, "| {:.2} | {:.5} ", cost.subscriber_heartbeat_us, cost.subscriber_core_percent)?;
    write!(f, "| {:.5} | {} ", cost.subscriber_whole_core_percent, cost.machine_gateways)?;
    writeln!(f, "| {:.1} | {:.5} |", cost.publisher_change_us, cost.publisher_core_percent)
}
