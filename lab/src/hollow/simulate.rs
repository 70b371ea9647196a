//! `wrenhatch-lab hollow simulate`: simulates each event with several seeds and reports the highest loads.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::Args;

use super::bounds::Bounds;
use super::error::HollowError;
use super::events;
use super::figures::{Figure, Origin, Role, add_to_file};
use super::fleet::FleetSize;
use super::model::{Measurements, Model, Peak};
use super::options::{BoundOptions, SizeOptions};

/// Number of simulations that run in parallel.
const SIMULATION_THREADS: usize = 4;
/// Maximum number of seeds for each event.
const MAX_SEEDS: u64 = 100;

/// Options of `hollow simulate`.
#[derive(Args)]
pub struct Options {
    #[command(flatten)]
    size: SizeOptions,
    #[command(flatten)]
    bounds: BoundOptions,
    /// Event to simulate; the default is all events.
    #[arg(long)]
    event: Option<String>,
    /// Number of seeds N: each event runs with seeds 1 to N, and each figure is the maximum over these runs.
    #[arg(long, default_value_t = 2)]
    seeds: u64,
    /// File to add the figures to; its folder must contain a comparison with equal counts.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Simulates the selected events and prints their loads.
///
/// # Errors
/// An option is invalid, a bound is exceeded, or figures can't be stored.
pub fn run(options: &Options) -> Result<(), HollowError> {
    let (size, bounds) = (options.size.size()?, options.bounds.bounds()?);
    if !(1..=MAX_SEEDS).contains(&options.seeds) {
        let (value, max) = (options.seeds, MAX_SEEDS);
        return Err(HollowError::OptionOutOfRange { option: "seeds", value, min: 1, max });
    }
    let names: Vec<&str> = match &options.event {
        Some(name) => vec![events::script(name, size, 1)?.name],
        None => events::names().collect(),
    };
    let measurements = simulate_all(&names, size, options.seeds, &bounds)?;
    let mut figures = Vec::new();
    for (name, measurements) in names.iter().zip(&measurements) {
        let command = command(size, options.seeds, name);
        let new_figures = event_figures(name, measurements, &command);
        print(name, &new_figures);
        figures.extend(new_figures);
    }
    match &options.json {
        Some(path) => add_to_file(path, figures),
        None => Ok(()),
    }
}

/// Simulates one event with one seed.
///
/// # Errors
/// The event is unknown, a bound is exceeded, or the settings of the gateways are invalid.
pub fn simulate(
    name: &str,
    size: FleetSize,
    seed: u64,
    bounds: &Bounds,
) -> Result<Measurements, HollowError> {
    let script = events::script(name, size, seed)?;
    Model::new(size, seed).run(&script, bounds)
}

/// Simulates all events with all seeds in parallel and returns the maximum of each measurement by event.
fn simulate_all(
    names: &[&'static str],
    size: FleetSize,
    seeds: u64,
    bounds: &Bounds,
) -> Result<Vec<Measurements>, HollowError> {
    let runs: Vec<(usize, u64)> =
        (0..names.len()).flat_map(|event| (1..=seeds).map(move |seed| (event, seed))).collect();
    let (next, results) = (AtomicUsize::new(0), Mutex::new(vec![Measurements::default(); names.len()]));
    let worker = || -> Result<(), HollowError> {
        while let Some((event, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let measurements = simulate(names[*event], size, *seed, bounds)?;
            if let Ok(mut results) = results.lock() {
                results[*event] = results[*event].max(measurements);
            }
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..SIMULATION_THREADS).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().try_for_each(|worker| match worker.join() {
            Ok(result) => result,
            Err(panic) => std::panic::resume_unwind(panic),
        })
    })?;
    Ok(results.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

fn command(size: FleetSize, seeds: u64, event: &str) -> String {
    let FleetSize { gateways, databases, control } = size;
    format!(
        "wrenhatch-lab hollow simulate --gateways {gateways} --databases {databases} --control {control} \
         --seeds {seeds} --event '{event}'"
    )
}

/// Converts the measurements of an event to figures.
pub fn event_figures(event: &str, measurements: &Measurements, command: &str) -> Vec<Figure> {
    let builder = FigureBuilder { event, command };
    let mut all = peak_loads(&builder, measurements);
    all.extend(control_totals(&builder, measurements));
    // Loads of zero are omitted.
    all.retain(|figure| figure.value > 0.0);
    all.extend(delays(&builder, measurements));
    let outdated = "gateways behind the list at the end";
    all.push(builder.figure(Role::Gateway, outdated, measurements.outdated as f64, "gateways"));
    let disconnected = "gateways without a stream at the end";
    all.push(builder.figure(Role::Gateway, disconnected, measurements.without_stream as f64, "gateways"));
    all
}

/// Builds figures that share an event and a command.
struct FigureBuilder<'a> {
    event: &'a str,
    command: &'a str,
}

impl FigureBuilder<'_> {
    fn figure(&self, role: Role, quantity: &str, value: f64, unit: &str) -> Figure {
        Figure {
            role,
            quantity: quantity.to_owned(),
            event: self.event.to_owned(),
            value,
            unit: unit.to_owned(),
            origin: Origin::Simulated,
            command: self.command.to_owned(),
        }
    }

    fn peak(&self, role: Role, quantity: &str, peak: &Peak, unit: &str, scale: f64) -> [Figure; 2] {
        let second = peak.second as f64 / scale;
        let ten_seconds = peak.ten_seconds as f64 / scale;
        [
            self.figure(role, &format!("{quantity}, worst second"), second, unit),
            self.figure(role, &format!("{quantity}, worst 10 s"), ten_seconds, unit),
        ]
    }
}

/// Peak loads of a single gateway and of a single control machine.
fn peak_loads(builder: &FigureBuilder<'_>, measurements: &Measurements) -> Vec<Figure> {
    let (gateway, control) = (Role::Gateway, Role::Control);
    [
        builder.peak(gateway, "list calls of one gateway", &measurements.gateway_calls, "calls", 1.0),
        builder.peak(
            gateway,
            "list events taken by one gateway",
            &measurements.gateway_events,
            "events",
            1.0,
        ),
        builder.peak(
            gateway,
            "bytes of the list read by one gateway",
            &measurements.gateway_bytes,
            "KB",
            1e3,
        ),
        builder.peak(control, "calls to one control machine", &measurements.control_calls, "calls", 1.0),
        builder.peak(
            control,
            "list events written by one machine",
            &measurements.control_events,
            "events",
            1.0,
        ),
        builder.peak(control, "bytes written by one control machine", &measurements.control_bytes, "KB", 1e3),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Streams and queueing delays of the control machines, and totals over all gateways.
fn control_totals(builder: &FigureBuilder<'_>, measurements: &Measurements) -> Vec<Figure> {
    let control =
        |quantity: &str, value: f64, unit: &str| builder.figure(Role::Control, quantity, value, unit);
    let events = measurements.events as f64;
    vec![
        control("most streams at one machine", measurements.control_streams as f64, "streams"),
        control(
            "streams at the end, machine with most",
            measurements.control_streams_at_end as f64,
            "streams",
        ),
        control(
            "longest wait in one machine's queue, at assumed 0.2 ms a call and 10 us a write",
            milliseconds(measurements.control_wait_us),
            "ms",
        ),
        control(
            "most bytes held by one machine for a silent network",
            measurements.control_unsent_bytes as f64 / 1e3,
            "KB",
        ),
        control("list calls of all gateways, total", measurements.calls as f64, "calls"),
        control(
            "list calls of all gateways in one tenth of a second",
            measurements.calls_per_tenth as f64,
            "calls",
        ),
        builder.figure(Role::Gateway, "list events taken by all gateways, total", events, "events"),
    ]
}

/// Propagation delays of the list. A delay that was never observed gives no figure.
fn delays(builder: &FigureBuilder<'_>, measurements: &Measurements) -> Vec<Figure> {
    let delays = [
        ("from a change of the list until a gateway has it, median", measurements.propagation_median_us),
        ("from a change of the list until the last gateway has it", measurements.propagation_max_us),
        ("from a gateway's start until it has the list, longest", measurements.first_list_max_us),
    ];
    let observed = delays.into_iter().filter(|(_, us)| *us > 0);
    observed.map(|(quantity, us)| builder.figure(Role::Gateway, quantity, milliseconds(us), "ms")).collect()
}

fn milliseconds(us: u64) -> f64 {
    us as f64 / 1e3
}

fn print(event: &str, figures: &[Figure]) {
    println!("{event}");
    for figure in figures {
        println!("  {:>12.3} {:<8} {}", figure.value, figure.unit, figure.quantity);
    }
}
