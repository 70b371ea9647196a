//! The `configuration` command: simulates how configuration changes spread over a fleet, on an ordinary day and with
//! faults during the distribution of a version, and measures their cost in processor time, memory and bytes.

mod cost;
mod fleet;
mod network;
mod random;
mod report;
mod scenario;
mod settings;

#[cfg(test)]
mod tests;

use crate::Output;

use report::Figures;
use scenario::Scenario;

/// Number of control machines.
const MACHINES: usize = 7;

/// Changes on an ordinary day.
const CHANGES_PER_DAY: u64 = 3_100;

/// Upper limit of the time until a change is in force at all gateways, in milliseconds.
const LIMIT_MS: f64 = 11_000.0;

/// Upper limit of a gateway's processor time for the control plane, in percent of a core.
const LIMIT_CORE_PERCENT: f64 = 2.3;

/// Upper limit of a gateway's memory for the control plane.
const LIMIT_MEMORY_BYTES: u64 = 64 << 20;

/// Upper limit of a gateway's traffic with the control plane.
const LIMIT_BYTES_PER_S: f64 = 18_000.0;

const SECOND_US: u64 = 1_000_000;

/// Sizes of the fleets and of their settings, and number of runs.
#[derive(clap::Args)]
pub struct Options {
    /// Numbers of gateways; each is simulated separately.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 80, 550])]
    gateways: Vec<usize>,
    /// Number of classes in the settings.
    #[arg(long, default_value_t = 10)]
    classes: usize,
    /// Number of tenants in the settings.
    #[arg(long, default_value_t = 100)]
    tenants: usize,
    /// Number of runs of each scenario except the ordinary day, each with its own seed.
    #[arg(long, default_value_t = 20)]
    repeats: u64,
    /// Number of changes in the scenario of an ordinary day.
    #[arg(long, default_value_t = 60)]
    changes: u64,
    /// Seed of the first run; each further run adds 1.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    output: Output,
}

/// Simulates all scenarios on all fleets, measures the cost, and prints the figures of both.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let size = settings::Size { classes: options.classes, tenants: options.tenants };
    // Memory is measured first, as the growth of this process: allocations that reuse freed memory add nothing to it.
    let mut figures = Figures::new(size, cost::measure_memory(size)?);
    for gateways in &options.gateways {
        figures.costs.push(cost::measure(size, *gateways)?);
        for scenario in Scenario::ALL {
            let runs = if scenario == Scenario::Ordinary { 1 } else { options.repeats };
            let seeds = (options.seed..).take(runs as usize);
            let results = seeds.map(|seed| scenario.simulate(*gateways, size, seed, options.changes));
            figures.rows.push(report::Row::new(scenario, *gateways, results));
        }
    }
    print!("{figures}");
    options.output.write(&figures)
}
