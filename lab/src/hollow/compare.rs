//! `wrenhatch-lab hollow compare`: runs one small fleet with real processes, with hollow gateways and in simulated
//! time. Figures of hollow runs are valid only if all three have equal counts.

use std::path::{Path, PathBuf};

use clap::Args;
use serde::{Deserialize, Serialize};

use super::bounds::Bounds;
use super::control_state::ControlState;
use super::error::HollowError;
use super::events::{Action, Script};
use super::figures::{comparison_path, write_json};
use super::fleet::{self, FleetSize};
use super::list::{Database, DatabaseState};
use super::model::Model;
use super::options::{BoundOptions, SizeOptions};
use super::sockets::gateways::{GatewayMode, Programs};
use super::sockets::print;
use super::sockets::run::{self, COMMENT_PAUSE, CONTROL_DOWNTIME, Phase, Plan, RESTART_MS, RunFigures};

/// A second, in microseconds.
const SECOND_US: u64 = 1_000_000;
/// Second of simulated time at which the first phase begins. All gateways have started by then.
const FIRST_PHASE_S: u64 = 20;

/// Options of `hollow compare`.
#[derive(Args)]
pub struct Options {
    /// Number of gateways.
    #[arg(long, default_value_t = 20)]
    gateways: usize,
    /// Number of databases.
    #[arg(long, default_value_t = 60)]
    databases: usize,
    /// Number of control machines.
    #[arg(long, default_value_t = 2)]
    control: usize,
    #[command(flatten)]
    bounds: BoundOptions,
    /// Seed of the simulation, from which also the seeds of the gateways derive.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Figure file; the comparison is written to the same folder.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Counts of a run that do not depend on random numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Connection attempts for the list minus streams ended by control machines. The number of ended streams depends on
    /// the random assignment of gateways to control machines.
    pub list_calls: u64,
    /// List events applied by gateways.
    pub list_events: u64,
    /// Bytes of list events written by control machines.
    pub event_bytes: u64,
    /// Connections opened to databases.
    pub engine_connects: u64,
}

/// Results of one of the compared runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunResult {
    /// Counts that must be equal in all runs.
    pub counts: Counts,
    /// Phases, processor time and memory; `None` for the simulation.
    pub run: Option<RunFigures>,
}

/// Results of the three runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of databases.
    pub databases: usize,
    /// Number of control machines.
    pub control: usize,
    /// Command that reproduces the comparison.
    pub command: String,
    /// Run with a process for each gateway.
    pub real: RunResult,
    /// Run with all gateways on threads of one process.
    pub hollow: RunResult,
    /// Simulation with the gateway's control-side code.
    pub simulated: RunResult,
    /// Ratio of processor time, hollow to real gateway, at the start. The time of a real gateway includes process
    /// startup.
    pub processor_ratio_start: f64,
    /// Ratio of processor time, hollow to real gateway, over all later phases that are usable in both runs.
    pub processor_ratio: f64,
    /// Ratio of anonymous memory, hollow to real gateway.
    pub memory_ratio: f64,
}

impl Comparison {
    /// Returns whether all three runs have equal counts.
    pub fn has_same_counts(&self) -> bool {
        self.real.counts == self.hollow.counts && self.real.counts == self.simulated.counts
    }
}

/// Returns whether the comparison in this file has equal counts. A missing file gives `false`.
///
/// # Errors
/// The file can't be read or does not contain a comparison.
pub fn has_same_counts(path: &Path) -> Result<bool, HollowError> {
    if !path.exists() {
        return Ok(false);
    }
    let text = std::fs::read_to_string(path).map_err(|e| HollowError::File(path.to_owned(), e))?;
    let comparison: Comparison =
        serde_json::from_str(&text).map_err(|e| HollowError::Json(path.to_owned(), e))?;
    Ok(comparison.has_same_counts())
}

/// Runs the fleet in all three ways and prints the comparison.
///
/// # Errors
/// An option is invalid, a bound is exceeded, or a gateway fails.
pub fn run(options: &Options) -> Result<(), HollowError> {
    let Options { gateways, databases, control, .. } = *options;
    let size = SizeOptions { gateways, databases, control }.size()?;
    let bounds = options.bounds.bounds()?;
    let programs = Programs::next_to_current_exe()?;
    let real = run::run(&programs, GatewayMode::Real, Plan::COMPARISON, size, options.seed, &bounds)?;
    println!("real processes");
    print(&real);
    let hollow = run::run(
        &programs,
        GatewayMode::Hollow { processes: 1 },
        Plan::COMPARISON,
        size,
        options.seed,
        &bounds,
    )?;
    println!("hollow gateways");
    print(&hollow);
    let simulated = RunResult { counts: simulated_counts(size, options.seed, &bounds)?, run: None };
    let seed = options.seed;
    let comparison = Comparison {
        gateways,
        databases,
        control,
        command: format!(
            "wrenhatch-lab hollow compare --gateways {gateways} --databases {databases} --control {control} \
             --seed {seed}"
        ),
        processor_ratio_start: hollow.phases[0].gateway_mean_ms / real.phases[0].gateway_mean_ms,
        processor_ratio: processor_ms(&hollow, &real, &hollow) / processor_ms(&real, &real, &hollow),
        memory_ratio: hollow.bytes_a_gateway / real.bytes_a_gateway,
        real: run_result(real),
        hollow: run_result(hollow),
        simulated,
    };
    println!("counts: real {:?}", comparison.real.counts);
    println!("      hollow {:?}", comparison.hollow.counts);
    println!("   simulated {:?}", comparison.simulated.counts);
    println!(
        "hollow over real: processor time {:.3} at the start, {:.3} behind it, memory {:.3}; counts are {}",
        comparison.processor_ratio_start,
        comparison.processor_ratio,
        comparison.memory_ratio,
        if comparison.has_same_counts() { "the same" } else { "NOT the same" }
    );
    match &options.json {
        Some(path) => write_json(&comparison_path(path), &comparison),
        None => Ok(()),
    }
}

fn run_result(run: RunFigures) -> RunResult {
    let ended: u64 = run.phases.iter().map(|phase| phase.ended).sum();
    let counts = Counts {
        list_calls: run.counts.list_connects.saturating_sub(ended),
        list_events: run.counts.list_events,
        event_bytes: run.phases.iter().map(|phase| phase.event_bytes).sum(),
        engine_connects: run.counts.engine_connects,
    };
    RunResult { counts, run: Some(run) }
}

/// Sum of the mean processor time of a gateway in `run`, over the phases after the start that are usable in both
/// `one` and `other`, in ms.
fn processor_ms(run: &RunFigures, one: &RunFigures, other: &RunFigures) -> f64 {
    let usable = |index: usize| one.phases[index].is_usable() && other.phases[index].is_usable();
    let phases = run.phases.iter().enumerate().filter(|(index, _)| *index > 0 && usable(*index));
    phases.map(|(_, phase)| phase.gateway_mean_ms).sum()
}

/// Simulates the phases and returns the counts. The router detects failures without delay, because in a run over
/// loopback the kernel passes connections to open listeners only.
///
/// # Errors
/// A bound is exceeded, or the settings of the gateways are invalid.
pub fn simulated_counts(size: FleetSize, seed: u64, bounds: &Bounds) -> Result<Counts, HollowError> {
    let measurements = Model::new(size, seed).with_router_detection_delay(0).run(&script(size), bounds)?;
    Ok(Counts {
        list_calls: measurements.calls.saturating_sub(measurements.ended),
        list_events: measurements.events,
        event_bytes: measurements.event_bytes,
        // Gateways open connections to databases only for client requests, and the simulation has none.
        engine_connects: 0,
    })
}

/// Script with the phases of a run over loopback. Its measurement includes the start.
fn script(size: FleetSize) -> Script {
    let mut actions = Vec::new();
    let Plan { phases, phase_s } = Plan::COMPARISON;
    for (index, phase) in phases.iter().enumerate() {
        let at_us = (FIRST_PHASE_S + index as u64 * phase_s) * SECOND_US;
        actions.extend(phase_actions(*phase, size, at_us));
    }
    let ends_us = (FIRST_PHASE_S + (phases.len() as u64 + 1) * phase_s) * SECOND_US;
    Script { name: "comparison", actions, begins_us: 0, ends_us }
}

fn phase_actions(phase: Phase, size: FleetSize, at_us: u64) -> Vec<(u64, Action)> {
    let zone = || (0..size.databases).filter(|number| fleet::zone(*number) == 0);
    let change =
        |number, state, since_ms| (at_us, Action::Change(vec![Database { number, state, since_ms }]));
    match phase {
        Phase::Start | Phase::Quiet => Vec::new(),
        Phase::OneChange => vec![change(0, DatabaseState::Terminating, 0)],
        Phase::ZoneRemoved => zone().map(|number| change(number, DatabaseState::Removed, 0)).collect(),
        Phase::ZoneAdded => zone().map(|number| change(number, DatabaseState::Ready, RESTART_MS)).collect(),
        Phase::ControlRestarts => vec![
            (at_us, Action::SetControl(0, ControlState::Down)),
            (at_us + CONTROL_DOWNTIME.as_micros() as u64, Action::SetControl(0, ControlState::Serving)),
        ],
        Phase::StreamsClosed => vec![(at_us, Action::CloseStreams)],
        Phase::CommentPause => {
            vec![
                (at_us, Action::SuspendComments(true)),
                (at_us + COMMENT_PAUSE.as_micros() as u64, Action::SuspendComments(false)),
            ]
        }
    }
}
