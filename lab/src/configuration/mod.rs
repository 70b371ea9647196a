//! Changes of the configuration over a fleet in simulated time: how long until all gateways have them, on an
//! ordinary day and with faults at the worst moment, and what they cost.

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

/// Control machines.
const MACHINES: usize = 7;

/// Changes on an ordinary day.
const CHANGES_PER_DAY: u64 = 3_100;

/// Within this a change has to be in force everywhere. Milliseconds.
const LIMIT_MS: f64 = 11_000.0;

/// What a gateway may spend on control: percent of a core.
const LIMIT_CORE_PERCENT: f64 = 2.3;

/// What a gateway may spend on control: bytes of memory.
const LIMIT_MEMORY_BYTES: u64 = 64 << 20;

/// What a gateway may spend on control: bytes a second.
const LIMIT_BYTES_PER_S: f64 = 18_000.0;

const SECOND_US: u64 = 1_000_000;

/// Which fleets to simulate, and with what settings.
#[derive(clap::Args)]
pub struct Options {
    /// Gateways, one run for each number.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 16, 80, 550])]
    gateways: Vec<usize>,
    /// Classes of the settings.
    #[arg(long, default_value_t = 10)]
    classes: usize,
    /// Tenants of the settings.
    #[arg(long, default_value_t = 100)]
    tenants: usize,
    /// How often each fault is simulated, with a seed for each.
    #[arg(long, default_value_t = 20)]
    repeats: u64,
    /// Changes that are simulated of an ordinary day.
    #[arg(long, default_value_t = 60)]
    changes: u64,
    /// The seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    output: Output,
}

/// Simulates all scenarios on all fleets, measures the costs, and prints both.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let size = settings::Size { classes: options.classes, tenants: options.tenants };
    // First, while nothing was freed that could be used again.
    let mut figures = Figures::new(size, cost::measure_memory(size)?);
    for gateways in &options.gateways {
        figures.costs.push(cost::measure(size, *gateways)?);
        for scenario in Scenario::ALL {
            let times = if scenario == Scenario::Ordinary { 1 } else { options.repeats };
            let seeds = (options.seed..).take(times as usize);
            let runs = seeds.map(|seed| scenario.simulate(*gateways, size, seed, options.changes));
            figures.rows.push(report::Row::new(scenario, *gateways, runs));
        }
    }
    print!("{figures}");
    options.output.write(&figures)
}
