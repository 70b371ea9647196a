//! A run over loopback: starts control machines and gateways, and measures phases with one control-plane action each.

use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::control::{Command, ControlServer, Counts};
use super::gateways::{GatewayMode, Gateways, Programs};
use super::host::GatewayCounts;
use crate::hollow::bounds::Bounds;
use crate::hollow::error::HollowError;
use crate::hollow::fleet::{self, FleetSize};
use crate::hollow::list::{Database, DatabaseList, DatabaseState};

/// Sampling interval of the gateways' processor time.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum delay of a step or comment behind its schedule in a usable phase.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Time for gateways to apply the list after the control machines have written it.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum time until all gateways have the current list, at the start and before each phase.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks for the current list at all gateways.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which [`Phase::CommentPause`] suspends comments. Gateways close a stream after 2.5 to 3 s without
/// a comment.
pub const COMMENT_PAUSE: Duration = Duration::from_millis(3500);
/// Time until a stopped control machine listens again.
pub const CONTROL_DOWNTIME: Duration = Duration::from_secs(3);
/// Start time of the databases that [`Phase::ZoneAdded`] adds, in Unix milliseconds.
pub const RESTART_MS: u64 = 1_700_000_000_000;

/// Action of the control machines in a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All gateways start and receive a snapshot of the list.
    Start,
    /// Control machines write heartbeat comments only.
    Quiet,
    /// One database starts to drain.
    OneChange,
    /// The databases of a zone are removed from the list, one per event.
    ZoneRemoved,
    /// The databases of the zone return to the list, one per event.
    ZoneAdded,
    /// One control machine stops and listens again later.
    ControlRestarts,
    /// All control machines close all streams.
    StreamsClosed,
    /// No control machine writes heartbeat comments.
    CommentPause,
}

/// Phases after the start, and their duration.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Phases in order.
    pub phases: &'static [Phase],
    /// Duration of each phase in seconds. A plan with [`Phase::CommentPause`] or [`Phase::ControlRestarts`] needs more
    /// than [`COMMENT_PAUSE`] or [`CONTROL_DOWNTIME`], or else the fault never ends.
    pub phase_s: u64,
}

impl Plan {
    /// All phases, short; used by `hollow compare`.
    pub const COMPARISON: Self = Self {
        phases: &[
            Phase::Quiet,
            Phase::OneChange,
            Phase::ZoneRemoved,
            Phase::ZoneAdded,
            Phase::ControlRestarts,
            Phase::StreamsClosed,
            Phase::CommentPause,
        ],
        phase_s: 5,
    };
    /// Phases of ten seconds, so that the load of a phase is also its load in ten seconds; used by `hollow sockets`.
    pub const MEASUREMENT: Self = Self {
        phases: &[Phase::Quiet, Phase::OneChange, Phase::ZoneRemoved, Phase::ZoneAdded, Phase::StreamsClosed],
        phase_s: 10,
    };
}

impl Phase {
    /// Name of the phase in figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start of all gateways with an empty list",
            Self::Quiet => "quiet",
            Self::OneChange => "one change of the list",
            Self::ZoneRemoved => "zone: its databases go",
            Self::ZoneAdded => "zone: its databases return",
            Self::ControlRestarts => "one control process ends",
            Self::StreamsClosed => "all watchers reconnect",
            Self::CommentPause => "all control machines silent for 3.5 s",
        }
    }
}

/// Measurements of a phase.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PhaseFigures {
    /// Name as given by [`Phase::name`].
    pub phase: String,
    /// Mean processor time of a gateway over the phase, in ms.
    pub gateway_mean_ms: f64,
    /// Maximum processor time of any gateway in any second, in ms. For [`Phase::Start`], over the whole phase.
    pub gateway_worst_second_ms: f64,
    /// Maximum processor time of any gateway over the phase, in ms.
    pub gateway_worst_phase_ms: f64,
    /// Duration of the phase, in seconds.
    pub seconds: f64,
    /// Requests that the control machines answered.
    pub calls: u64,
    /// Maximum number of requests to one control machine in any second.
    pub machine_calls_worst_second: u64,
    /// List events written, counted for each stream.
    pub events: u64,
    /// Maximum number of events written by one control machine in any second.
    pub machine_events_worst_second: u64,
    /// Bytes of list events written by all control machines.
    pub event_bytes: u64,
    /// Maximum number of bytes written by one control machine in any second.
    pub machine_bytes_worst_second: u64,
    /// Mean number of bytes written per gateway.
    pub bytes_a_gateway: f64,
    /// Streams that the control machines closed on command.
    pub ended: u64,
    /// Maximum delay of a step or comment behind its schedule, in ms.
    pub late_ms: f64,
}

impl PhaseFigures {
    /// Returns whether the phase kept its schedule. The figures of a late phase are not added
    /// to the figure file.
    pub fn is_usable(&self) -> bool {
        self.late_ms <= MAX_LATENESS.as_secs_f64() * 1e3
    }
}

/// Results of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFigures {
    /// Measurements by phase, starting with [`Phase::Start`].
    pub phases: Vec<PhaseFigures>,
    /// Sum of the gateways' counters.
    pub counts: GatewayCounts,
    /// Mean anonymous memory per gateway at the end, in bytes.
    pub bytes_a_gateway: f64,
    /// Number of processes that ran the gateways.
    pub processes: usize,
}

/// A running fleet over loopback.
pub struct Run<'a> {
    size: FleetSize,
    bounds: &'a Bounds,
    control: Vec<ControlServer>,
    gateways: Gateways,
    last_sample_ns: Vec<u64>,
    /// Maximum delay of a step of the current phase.
    late: Duration,
}

/// Runs a fleet through the start and all phases of the plan.
///
/// # Errors
/// A bound is exceeded, or a gateway fails or does not receive the list in time.
pub fn run(
    programs: &Programs,
    mode: GatewayMode,
    plan: Plan,
    size: FleetSize,
    seed: u64,
    bounds: &Bounds,
) -> Result<RunFigures, HollowError> {
    let (address, control) = ControlServer::start_all(size.control, &DatabaseList::new(size.databases))?;
    let gateways = Gateways::start(programs, mode, size, seed, address)?;
    let mut run = Run { size, bounds, control, gateways, last_sample_ns: Vec::new(), late: Duration::ZERO };
    let mut phases = vec![run.start()?];
    for phase in plan.phases {
        run.await_up_to_date()?;
        phases.push(run.phase(*phase, plan.phase_s)?);
    }
    run.await_up_to_date()?;
    let processes = run.gateways.processes().len();
    let bytes_a_gateway = run.gateways.resident_bytes() as f64 / size.gateways as f64;
    let counts = run.gateways.end()?;
    Ok(RunFigures { phases, counts, bytes_a_gateway, processes })
}

impl Run<'_> {
    fn start(&mut self) -> Result<PhaseFigures, HollowError> {
        let started = Instant::now();
        self.await_up_to_date()?;
        self.gateways.find_threads(self.size.gateways)?;
        sleep(SETTLE_TIME);
        self.last_sample_ns = vec![0; self.size.gateways];
        let sample = self.sample();
        Ok(self.figures(Phase::Start, started.elapsed(), &[sample]))
    }

    /// Waits until the current list is completely written to a stream of every gateway.
    fn await_up_to_date(&mut self) -> Result<(), HollowError> {
        let started = Instant::now();
        loop {
            self.bounds.check(&self.gateways.processes())?;
            self.gateways.check()?;
            let up_to_date: u64 = self.control.iter().map(|machine| machine.counts().up_to_date).sum();
            if up_to_date == self.size.gateways as u64 {
                return Ok(());
            }
            if started.elapsed() > START_TIMEOUT {
                let total = self.size.gateways;
                return Err(HollowError::GatewayFailure(format!(
                    "{up_to_date} of {total} gateways received the list in time"
                )));
            }
            sleep(START_POLL_INTERVAL);
        }
    }

    fn phase(&mut self, phase: Phase, phase_s: u64) -> Result<PhaseFigures, HollowError> {
        self.control.iter().for_each(|machine| machine.send(Command::ResetCounts));
        self.sample();
        self.late = Duration::ZERO;
        let started = Instant::now();
        self.begin_phase(phase);
        let mut samples = Vec::new();
        let mut fault_ended = false;
        for second in 1..=phase_s {
            if !fault_ended && self.fault_ends_before(phase, second) {
                self.sleep_until(started + fault_duration(phase));
                self.end_fault(phase);
                fault_ended = true;
            }
            self.sleep_until(started + SAMPLE_INTERVAL * second as u32);
            samples.push(self.sample());
            self.bounds.check(&self.gateways.processes())?;
            self.gateways.check()?;
        }
        Ok(self.figures(phase, started.elapsed(), &samples))
    }

    fn fault_ends_before(&self, phase: Phase, second: u64) -> bool {
        fault_duration(phase) < SAMPLE_INTERVAL * second as u32 && !fault_duration(phase).is_zero()
    }

    fn sleep_until(&mut self, due: Instant) {
        sleep(due.saturating_duration_since(Instant::now()));
        self.late = self.late.max(due.elapsed());
    }

    fn send_to_all(&self, command: &Command) {
        self.control.iter().for_each(|machine| machine.send(command.clone()));
    }

    fn change(&self, number: usize, state: DatabaseState, since_ms: u64) {
        self.send_to_all(&Command::Change(vec![Database { number, state, since_ms }]));
    }

    fn begin_phase(&self, phase: Phase) {
        let zone = || (0..self.size.databases).filter(|number| fleet::zone(*number) == 0);
        match phase {
            Phase::Start | Phase::Quiet => {}
            Phase::OneChange => self.change(0, DatabaseState::Terminating, 0),
            Phase::ZoneRemoved => zone().for_each(|number| self.change(number, DatabaseState::Removed, 0)),
            Phase::ZoneAdded => {
                zone().for_each(|number| self.change(number, DatabaseState::Ready, RESTART_MS));
            }
            Phase::ControlRestarts => self.control[0].send(Command::GoOffline),
            Phase::StreamsClosed => self.send_to_all(&Command::CloseStreams),
            Phase::CommentPause => self.send_to_all(&Command::SuspendComments(true)),
        }
    }

    fn end_fault(&self, phase: Phase) {
        match phase {
            Phase::ControlRestarts => self.control[0].send(Command::GoOnline),
            Phase::CommentPause => self.send_to_all(&Command::SuspendComments(false)),
            _ => {}
        }
    }

    /// Processor time of each gateway since the last sample, in nanoseconds.
    fn sample(&mut self) -> Vec<u64> {
        let now_ns = self.gateways.processor_ns();
        let last_ns = std::mem::replace(&mut self.last_sample_ns, now_ns.clone());
        now_ns.iter().zip(last_ns).map(|(now, last)| now.saturating_sub(last)).collect()
    }

    fn figures(&self, phase: Phase, elapsed: Duration, samples: &[Vec<u64>]) -> PhaseFigures {
        let counts: Vec<Counts> = self.control.iter().map(ControlServer::counts).collect();
        let late_us = counts.iter().map(|machine| machine.late_us).max().unwrap_or(0);
        let late = self.late.max(Duration::from_micros(late_us));
        let ms = |ns: u64| ns as f64 / 1e6;
        let totals: Vec<u64> = (0..self.size.gateways)
            .map(|gateway| samples.iter().map(|sample| sample[gateway]).sum())
            .collect();
        let sum = |get: fn(&Counts) -> u64| counts.iter().map(get).sum::<u64>();
        let max = |get: fn(&Counts) -> u64| counts.iter().map(get).max().unwrap_or(0);
        let gateways = self.size.gateways as f64;
        PhaseFigures {
            phase: phase.name().to_owned(),
            gateway_mean_ms: ms(totals.iter().sum()) / gateways,
            gateway_worst_second_ms: ms(samples.iter().flatten().copied().max().unwrap_or(0)),
            gateway_worst_phase_ms: ms(totals.iter().copied().max().unwrap_or(0)),
            seconds: elapsed.as_secs_f64(),
            calls: sum(|machine| machine.calls.total()),
            machine_calls_worst_second: max(|machine| machine.calls.worst_second()),
            events: sum(|machine| machine.events.total()),
            machine_events_worst_second: max(|machine| machine.events.worst_second()),
            event_bytes: sum(|machine| machine.event_bytes.total()),
            machine_bytes_worst_second: max(|machine| machine.bytes.worst_second()),
            bytes_a_gateway: sum(|machine| machine.bytes.total()) as f64 / gateways,
            ended: sum(|machine| machine.ended),
            late_ms: late.as_secs_f64() * 1e3,
        }
    }
}

/// Duration of the fault that a phase injects, or zero if its action is instantaneous.
fn fault_duration(phase: Phase) -> Duration {
    match phase {
        Phase::ControlRestarts => CONTROL_DOWNTIME,
        Phase::CommentPause => COMMENT_PAUSE,
        _ => Duration::ZERO,
    }
}
