//! `wrenhatch-lab hollow sockets`: runs complete gateways without clients over loopback.

pub mod control;
pub mod gateways;
pub mod host;
pub mod run;

use std::path::PathBuf;

use clap::Args;

use super::error::HollowError;
use super::figures::{Figure, Origin, Role, add_to_file};
use super::fleet::FleetSize;
use super::options::{BoundOptions, SizeOptions};
use gateways::{GatewayMode, Programs};
use run::{PhaseFigures, Plan, RunFigures};

/// Maximum number of processes that host gateways.
const MAX_HOST_PROCESSES: usize = 100;

/// Options of `hollow sockets`.
#[derive(Args)]
pub struct Options {
    #[command(flatten)]
    size: SizeOptions,
    #[command(flatten)]
    bounds: BoundOptions,
    /// Number of processes that host the gateways.
    #[arg(long, default_value_t = 6)]
    processes: usize,
    /// Seed from which the seeds of the gateways derive.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to add the figures to; its folder must contain a comparison with equal counts.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs a fleet and prints its processor time, memory and counts.
///
/// # Errors
/// An option is invalid, a bound is exceeded, a gateway fails, or figures can't be stored.
pub fn run(options: &Options) -> Result<(), HollowError> {
    let (size, bounds) = (options.size.size()?, options.bounds.bounds()?);
    let processes = options.processes;
    if !(1..=MAX_HOST_PROCESSES).contains(&processes) {
        let (value, max) = (processes as u64, MAX_HOST_PROCESSES as u64);
        return Err(HollowError::OptionOutOfRange { option: "processes", value, min: 1, max });
    }
    let programs = Programs::next_to_current_exe()?;
    let figures = run::run(
        &programs,
        GatewayMode::Hollow { processes },
        Plan::MEASUREMENT,
        size,
        options.seed,
        &bounds,
    )?;
    print(&figures);
    let FleetSize { gateways, databases, control } = size;
    let command = format!(
        "wrenhatch-lab hollow sockets --gateways {gateways} --databases {databases} --control {control} \
         --processes {processes} --seed {}",
        options.seed
    );
    match &options.json {
        Some(path) => add_to_file(path, run_figures(&figures, &command)),
        None => Ok(()),
    }
}

/// Prints a row for each phase, then counts and memory.
pub fn print(figures: &RunFigures) {
    println!("phase; gateway ms: mean, worst second, whole phase; calls; events; bytes a gateway; late ms");
    for phase in &figures.phases {
        let verdict = if phase.is_usable() { "" } else { "UNUSABLE: fell behind its schedule" };
        println!(
            "{:<44} {:>8.3} {:>8.3} {:>8.3} {:>6} {:>8} {:>9.0} {:>6.1} {verdict}",
            phase.phase,
            phase.gateway_mean_ms,
            phase.gateway_worst_second_ms,
            phase.gateway_worst_phase_ms,
            phase.calls,
            phase.events,
            phase.bytes_a_gateway,
            phase.late_ms
        );
    }
    println!("counts {:?}", figures.counts);
    println!("memory a gateway {:.3} MB, in {} processes", figures.bytes_a_gateway / 1e6, figures.processes);
}

fn run_figures(figures: &RunFigures, command: &str) -> Vec<Figure> {
    let figure = |role, event: &str, quantity: &str, value: f64, unit: &str| Figure {
        role,
        quantity: quantity.to_owned(),
        event: event.to_owned(),
        value,
        unit: unit.to_owned(),
        origin: Origin::Hollow,
        command: command.to_owned(),
    };
    let mut all: Vec<Figure> = figures
        .phases
        .iter()
        .filter(|phase| phase.is_usable())
        .flat_map(|phase| phase_figures(phase, &figure))
        .collect();
    let memory = figures.bytes_a_gateway / 1e6;
    let connections = figures.counts.engine_connects as f64;
    all.extend([
        figure(Role::Gateway, "all phases", "anonymous memory of one gateway at the end, mean", memory, "MB"),
        figure(
            Role::Database,
            "all phases",
            "connections from all gateways without client traffic",
            connections,
            "connections",
        ),
    ]);
    all
}

fn phase_figures(
    phase: &PhaseFigures,
    figure: &impl Fn(Role, &str, &str, f64, &str) -> Figure,
) -> Vec<Figure> {
    let gateway =
        |quantity: &str, value: f64, unit: &str| figure(Role::Gateway, &phase.phase, quantity, value, unit);
    let control =
        |quantity: &str, value: f64, unit: &str| figure(Role::Control, &phase.phase, quantity, value, unit);
    // 10 ms of processor time within a second are 1 % of a core.
    let second = phase.gateway_worst_second_ms / 10.0;
    let total = phase.gateway_worst_phase_ms / 10.0 / phase.seconds.max(1.0);
    let mean = phase.gateway_mean_ms / 10.0 / phase.seconds.max(1.0);
    let window =
        if phase.seconds >= Plan::MEASUREMENT.phase_s as f64 { "worst 10 s" } else { "over the start" };
    vec![
        gateway("processor time of one gateway, worst second", second, "% of a core"),
        gateway(&format!("processor time of one gateway, {window}"), total, "% of a core"),
        gateway("processor time of a gateway, mean", mean, "% of a core"),
        gateway("bytes of the list to a gateway, mean", phase.bytes_a_gateway / 1e3, "KB"),
        control("calls answered by all control machines", phase.calls as f64, "calls"),
        control(
            "calls to one control machine, worst second",
            phase.machine_calls_worst_second as f64,
            "calls",
        ),
        control("list events written by all control machines", phase.events as f64, "events"),
        control(
            "list events written by one machine, worst second",
            phase.machine_events_worst_second as f64,
            "events",
        ),
        control(
            "bytes written by one control machine, worst second",
            phase.machine_bytes_worst_second as f64 / 1e3,
            "KB",
        ),
    ]
}
