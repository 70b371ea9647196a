//! `wrenhatch-lab hollow compare`: the same small fleet with real processes, with hollow gateways and in simulated
//! time. No hollow figure counts while the counts differ.

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
use super::sockets::gateways::{Manner, Programs};
use super::sockets::print;
use super::sockets::run::{self, AWAY, Phase, Plan, RETURN_MS, RunFigures, SILENCE};

/// A second, in microseconds.
const SECOND_US: u64 = 1_000_000;
/// Phases in simulated time begin at this second: all gateways have started by then.
const FIRST_PHASE_S: u64 = 20;

/// What to compare.
#[derive(Args)]
pub struct Options {
    /// Gateways.
    #[arg(long, default_value_t = 20)]
    gateways: usize,
    /// Databases.
    #[arg(long, default_value_t = 60)]
    databases: usize,
    /// Control machines.
    #[arg(long, default_value_t = 2)]
    control: usize,
    #[command(flatten)]
    bounds: BoundOptions,
    /// Seed of the gateways.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The file of figures that the comparison is to stand beside.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Counts of a run that don't depend on chance.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls for the list, less those that follow a stream which control has ended: chance decides where those were.
    pub list_calls: u64,
    /// List events taken in by gateways.
    pub list_events: u64,
    /// Bytes of list events.
    pub event_bytes: u64,
    /// Connections to databases.
    pub engine_connects: u64,
}

/// A run and its counts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Side {
    /// Its counts.
    pub counts: Counts,
    /// What it cost; nothing in simulated time.
    pub run: Option<RunFigures>,
}

/// The three runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// Gateways.
    pub gateways: usize,
    /// Databases.
    pub databases: usize,
    /// Control machines.
    pub control: usize,
    /// The command that gives it.
    pub command: String,
    /// Each gateway a process.
    pub real: Side,
    /// Gateways on threads of one process.
    pub hollow: Side,
    /// The control-side code in simulated time.
    pub simulated: Side,
    /// Processor time of a hollow gateway over that of a real one, at the start. A real one's program is started too.
    pub processor_ratio_start: f64,
    /// The same over all phases behind the start that kept to their schedule.
    pub processor_ratio: f64,
    /// Memory of a hollow gateway over that of a real one.
    pub memory_ratio: f64,
}

impl Comparison {
    /// Whether all three have the same counts.
    pub fn has_same_counts(&self) -> bool {
        self.real.counts == self.hollow.counts && self.real.counts == self.simulated.counts
    }
}

/// Whether the comparison in this file found the same counts; no file, no.
///
/// # Errors
/// The file is not of its form.
pub fn has_same_counts(path: &Path) -> Result<bool, HollowError> {
    if !path.exists() {
        return Ok(false);
    }
    let text = std::fs::read_to_string(path).map_err(|e| HollowError::File(path.to_owned(), e))?;
    let comparison: Comparison =
        serde_json::from_str(&text).map_err(|e| HollowError::Form(path.to_owned(), e))?;
    Ok(comparison.has_same_counts())
}

/// Runs the three and prints what they came to.
///
/// # Errors
/// An option is wrong, a bound is passed, or a peer did not do its part.
pub fn run(options: &Options) -> Result<(), HollowError> {
    let Options { gateways, databases, control, .. } = *options;
    let size = SizeOptions { gateways, databases, control }.size()?;
    let bounds = options.bounds.bounds()?;
    let programs = Programs::beside_this()?;
    let real = run::run(&programs, Manner::Real, Plan::COMPARED, size, options.seed, &bounds)?;
    println!("real processes");
    print(&real);
    let hollow =
        run::run(&programs, Manner::Hollow { processes: 1 }, Plan::COMPARED, size, options.seed, &bounds)?;
    println!("hollow gateways");
    print(&hollow);
    let simulated = Side { counts: simulated_counts(size, options.seed, &bounds)?, run: None };
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
        real: side(real),
        hollow: side(hollow),
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

fn side(run: RunFigures) -> Side {
    let ended: u64 = run.phases.iter().map(|phase| phase.ended).sum();
    let counts = Counts {
        list_calls: run.counts.list_connects.saturating_sub(ended),
        list_events: run.counts.list_events,
        event_bytes: run.phases.iter().map(|phase| phase.event_bytes).sum(),
        engine_connects: run.counts.engine_connects,
    };
    Side { counts, run: Some(run) }
}

/// Processor time of a gateway over the phases behind the start that both runs kept to their schedule in.
fn processor_ms(of: &RunFigures, one: &RunFigures, other: &RunFigures) -> f64 {
    let usable = |place: usize| one.phases[place].is_usable() && other.phases[place].is_usable();
    let phases = of.phases.iter().enumerate().filter(|(place, _)| *place > 0 && usable(*place));
    phases.map(|(_, phase)| phase.gateway_mean_ms).sum()
}

/// The counts of the same phases in simulated time. As over loopback, where the kernel leads to listeners that are
/// there, the router notices at once who is gone.
///
/// # Errors
/// A bound is passed.
pub fn simulated_counts(size: FleetSize, seed: u64, bounds: &Bounds) -> Result<Counts, HollowError> {
    let measured = Model::new(size, seed).with_router_detection(0).run(&script(size), bounds)?;
    Ok(Counts {
        list_calls: measured.calls.saturating_sub(measured.ended),
        list_events: measured.events,
        event_bytes: measured.event_bytes,
        // Without requests no connection is opened; the core of a hollow gateway sends nothing.
        engine_connects: 0,
    })
}

/// The phases of a run over loopback as a script in simulated time, the start included.
fn script(size: FleetSize) -> Script {
    let mut actions = Vec::new();
    let Plan { phases, phase_s } = Plan::COMPARED;
    for (place, phase) in phases.iter().enumerate() {
        let at_us = (FIRST_PHASE_S + place as u64 * phase_s) * SECOND_US;
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
        Phase::ZoneGoes => zone().map(|number| change(number, DatabaseState::Gone, 0)).collect(),
        Phase::ZoneReturns => zone().map(|number| change(number, DatabaseState::Ready, RETURN_MS)).collect(),
        Phase::ControlEnds => vec![
            (at_us, Action::Control(0, ControlState::Ended)),
            (at_us + AWAY.as_micros() as u64, Action::Control(0, ControlState::Serves)),
        ],
        Phase::StreamsEnd => vec![(at_us, Action::EndStreams)],
        Phase::Silence => {
            vec![(at_us, Action::Silent(true)), (at_us + SILENCE.as_micros() as u64, Action::Silent(false))]
        }
    }
}
