//! The `capacity` command: measures the gateway's cost as a function of size, and generates the page that compares
//! it with a target size.
//!
//! - `experiment` names the experiments. `experiments` runs them on a gateway `process`, or on a core in memory
//!   (`decisions`). `sessions`, `stand_ins` and `control_machine` are the clients and mock peers of a process, which
//!   `site` configures. `bounds` limits the resources.
//! - `fit` fits lines through the runs, and `slopes` stores them.
//! - `estimate` calculates needs from `slopes` and `target`. `page` prints them with the figures that `hollow` reads.

pub mod bounds;
pub mod control_machine;
pub mod decisions;
pub mod error;
pub mod estimate;
pub mod experiment;
pub mod experiments;
pub mod fit;
pub mod hollow;
pub mod page;
pub mod process;
pub mod sessions;
pub mod site;
pub mod slopes;
pub mod stand_ins;
pub mod target;

use std::path::{Path, PathBuf};
use std::process::Command;

use clap::{Args, Subcommand};

use bounds::{Guard, Limits};
use error::CapacityError;
use experiment::Experiment;
use experiments::{ExperimentRunner, Workload};
use hollow::HollowFile;
use slopes::{Machine, Measurement, Slopes};
use target::Target;

/// Measures the gateway's cost as a function of size and compares it with a target size.
#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Runs experiments, prints their figures, and writes them to the slopes file if one is given.
    Measure(MeasureOptions),
    /// Generates the page from the slopes, the target and any figures of hollow runs.
    Page(PageOptions),
}

/// Inputs and output of the page.
#[derive(Args)]
struct PageOptions {
    /// The slopes file.
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    slopes: PathBuf,
    /// The target size.
    #[arg(long, default_value = "docs/capacity/target.toml")]
    target: PathBuf,
    /// Figures of hollow runs. A missing file counts as empty.
    #[arg(long, default_value = "docs/capacity/hollow.json")]
    hollow: PathBuf,
    /// Figures of configuration changes in service. A missing file counts as empty.
    #[arg(long, default_value = "docs/capacity/configuration.json")]
    configuration: PathBuf,
    /// The page to write.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    output: PathBuf,
    /// Write nothing, and fail if the existing page differs.
    #[arg(long)]
    check: bool,
}

/// Experiments to run, and the file for their figures.
#[derive(Args)]
struct MeasureOptions {
    /// The experiments to run.
    #[arg(required = true, value_enum)]
    experiments: Vec<Experiment>,
    /// Sizes to run at instead of the experiment's default sizes.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Number of runs at each size.
    #[arg(long, default_value_t = 3)]
    plays: usize,
    /// A gateway binary. Without this option, the workspace's gateway is built.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// The slopes file. Earlier figures of the same experiments are replaced.
    #[arg(long)]
    slopes: Option<PathBuf>,
    #[command(flatten)]
    limits: Limits,
}

/// Runs the subcommand.
///
/// # Errors
/// A limit is exceeded, a file is missing or malformed, the gateway behaves unexpectedly, or with `--check` the page is
/// out of date.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    match &options.action {
        Action::Measure(options) => measure(options),
        Action::Page(options) => run_page(options),
    }
}

fn run_page(options: &PageOptions) -> Result<(), CapacityError> {
    let target = Target::read(&options.target)?;
    let slopes = Slopes::read(&options.slopes)?;
    let hollow = HollowFile::read(&options.hollow)?.with_configuration(&options.configuration)?;
    let text = page::generate_page(&target, &slopes, &hollow);
    let path = &options.output;
    if !options.check {
        return std::fs::write(path, text).map_err(CapacityError::file(path));
    }
    let existing = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
    if existing == text { Ok(()) } else { Err(CapacityError::Stale(path.clone())) }
}

fn measure(options: &MeasureOptions) -> Result<(), CapacityError> {
    let program = match &options.gateway {
        Some(program) => program.clone(),
        None => build_gateway()?,
    };
    let runner =
        ExperimentRunner { program, workload: Workload::default(), guard: Guard::new(options.limits) };
    for experiment in &options.experiments {
        let measured = runner.run(
            *experiment,
            &sizes(options, *experiment),
            options.plays.max(1),
            &command_line(*experiment),
        )?;
        measured.iter().for_each(print);
        if let Some(path) = &options.slopes {
            let mut slopes = Slopes::read(path)?;
            slopes.machine = Machine::current();
            slopes.replace(*experiment, measured);
            slopes.write(path)?;
        }
    }
    Ok(())
}

/// Returns the sizes to run at, sorted and without duplicates.
fn sizes(options: &MeasureOptions, experiment: Experiment) -> Vec<usize> {
    if options.sizes.is_empty() {
        return experiment.sizes().to_vec();
    }
    let mut sizes = options.sizes.clone();
    sizes.sort_unstable();
    sizes.dedup();
    sizes
}

fn command_line(experiment: Experiment) -> String {
    format!("wrenhatch-lab capacity measure {experiment}")
}

fn print(measured: &Measurement) {
    println!("{} by {} ({})", measured.name(), measured.variable, measured.fixed);
    for point in &measured.points {
        let runs: Vec<String> = point.runs.iter().map(|v| format!("{v:.3}")).collect();
        println!("  {:>6}  {:>14.3} {}  of {}", point.size, point.median(), measured.unit, runs.join(", "));
    }
    if let Some(fit) = &measured.fit {
        let growth = if fit.linear { "linear" } else { "NOT linear" };
        println!(
            "  slope {:.6} +- {:.6}, {growth}: misfit {:.3}, noise {:.3}; {:.6} at first, {:.6} at last",
            fit.slope, fit.slope_error, fit.misfit, fit.noise, fit.first_slope, fit.last_slope
        );
    }
    measured.unusable.iter().for_each(|reason| println!("  unusable: {reason}"));
}

/// Builds the gateway and returns the path of its binary.
fn build_gateway() -> Result<PathBuf, CapacityError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo).args(["build", "--release", "--locked", "-p", "wrenhatch"]).status()?;
    if !status.success() {
        return Err(CapacityError::Unexpected("building the gateway failed".to_owned()));
    }
    let own_path = std::env::current_exe()?;
    Ok(own_path.parent().unwrap_or(Path::new(".")).join("../release/wrenhatch"))
}
