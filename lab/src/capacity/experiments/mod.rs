//! Runs the experiments. Each submodule adds the experiments of one kind to [`ExperimentRunner`], which runs them
//! within the limits of its guard.

mod decisions;
mod endpoint_list;
mod experiment_run;
mod idle_sessions;
mod settings;
mod statements;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use super::bounds::Guard;
use super::error::CapacityError;
use super::experiment::{Experiment, Quantity};
use super::fit::Point;
use super::process::Gateway;
use super::site::Site;
use super::slopes::Measurement;
use super::stand_ins::Engines;
pub use experiment_run::{ExperimentRun, schedule_overrun};
use experiment_run::{failed_statements, percent};

/// Open requests or active sessions of experiments with another variable.
const FIXED_REQUESTS: usize = 16;
/// Sessions of the experiment that combines active and idle ones.
const COMBINED_LOAD: CombinedLoad = CombinedLoad { active_sessions: 64, idle_sessions: 3_455 };
/// Engines of experiments with another variable.
const FIXED_ENGINES: usize = 80;
/// Largest size of an experiment. Each engine and session needs a descriptor in this process.
pub const MAX_SIZE: usize = 8_000;
/// Wait before a reading, so that the gateway has handled all input.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Interval between full lists, versions of the settings, or configuration reloads.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// Statements per engine before a run, since a gateway sends few requests to a new engine at first.
const WARM_UP_STATEMENTS_PER_ENGINE: u64 = 3;

/// Numbers of concurrently open sessions.
struct CombinedLoad {
    active_sessions: usize,
    idle_sessions: usize,
}

/// Number of operations of each kind in a run.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Statements of experiments in memory.
    pub in_memory_statements: u64,
    /// Statements through the process with its log at level info.
    pub statements: u64,
    /// Statements through the process with its log at level debug.
    pub debug_statements: u64,
    /// Changes of one engine or control ticks.
    pub changes: u64,
    /// Full lists, versions of the settings or configuration reloads.
    pub lists: u64,
    /// Observation time of an idle process.
    pub idle_time: Duration,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            in_memory_statements: 4_000,
            statements: 640,
            debug_statements: 64,
            changes: 200,
            lists: 10,
            idle_time: Duration::from_secs(1),
        }
    }
}

/// Runs experiments within limits.
#[derive(Clone, Debug)]
pub struct ExperimentRunner {
    /// Path of the gateway binary.
    pub program: PathBuf,
    /// Number of operations of each kind in a run.
    pub workload: Workload,
    /// Enforces the limits of memory, processes and time.
    pub guard: Guard,
}

impl ExperimentRunner {
    /// Runs an experiment `runs` times at each size. `command` is stored with the figures. A quantity without a usable
    /// run gives no measurement. If all runs are unusable, the result is empty and the reasons are not reported.
    ///
    /// # Errors
    /// A limit is exceeded, a size is out of range, or the gateway behaves unexpectedly.
    pub fn run(
        &self,
        experiment: Experiment,
        sizes: &[usize],
        runs: usize,
        command: &str,
    ) -> Result<Vec<Measurement>, CapacityError> {
        let mut points: Vec<(Quantity, Vec<Point>)> = Vec::new();
        let mut unusable = Vec::new();
        for size in sizes.iter().copied() {
            for _ in 0..runs {
                self.guard.check(None)?;
                let run = self.run_once(experiment, size)?;
                match run.unusable {
                    Some(reason) => unusable.push(format!("{size}: {reason}")),
                    None => run.figures.iter().for_each(|f| add_point(&mut points, size, *f)),
                }
            }
        }
        let measured =
            |(quantity, points)| Measurement::new(experiment, quantity, points, unusable.clone(), command);
        Ok(points.into_iter().map(measured).collect())
    }

    /// Calls `work` at an interval, then waits `SETTLE_TIME`. If the calls took much longer than planned, returns the
    /// reason that makes the run unusable.
    fn repeat_at_interval(
        &self,
        count: u64,
        interval: Duration,
        gateway: &Gateway,
        mut work: impl FnMut(u64) -> Result<(), CapacityError>,
    ) -> Result<Option<String>, CapacityError> {
        let began = Instant::now();
        for n in 0..count {
            let due = began + interval.mul_f64(n as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            work(n)?;
            self.guard.check(Some(gateway.pid()))?;
        }
        let overrun = schedule_overrun(began.elapsed(), interval.mul_f64(count as f64));
        self.guard.sleep(SETTLE_TIME, Some(gateway.pid()))?;
        Ok(overrun)
    }

    /// Runs an experiment once at a size.
    ///
    /// # Errors
    /// A limit is exceeded, a size is out of range, or the gateway behaves unexpectedly.
    pub fn run_once(&self, experiment: Experiment, size: usize) -> Result<ExperimentRun, CapacityError> {
        use Experiment as E;
        if !(1..=MAX_SIZE).contains(&size) {
            return Err(CapacityError::Size { size, max: MAX_SIZE });
        }
        match experiment {
            E::DecideStatementEngines => self.core_statements(size, FIXED_REQUESTS),
            E::DecideStatementOpen => self.core_statements(FIXED_ENGINES, size),
            E::DecideControlTickEngines => {
                self.run_core(size, FIXED_REQUESTS, |d| d.run_control_ticks(self.workload.changes))
            }
            E::DecideChangeEngines => {
                self.run_core(size, FIXED_REQUESTS, |d| d.run_changes(self.workload.changes))
            }
            E::DecideListEngines => self.run_core(size, FIXED_REQUESTS, |d| d.run_lists(self.workload.lists)),
            E::StatementEngines => self.statements(size, FIXED_REQUESTS, 0),
            E::StatementOpen => self.statements(FIXED_ENGINES, size, 0),
            E::StatementSessions => self.statements(FIXED_ENGINES, FIXED_REQUESTS, size),
            E::StatementTogether => {
                self.statements(size, COMBINED_LOAD.active_sessions, COMBINED_LOAD.idle_sessions)
            }
            E::ChangeEngines => self.list_changes(size),
            E::ListEngines => self.full_lists(size),
            E::ReloadEngines => self.reloads(Site::new(Engines::start(size)?.addresses.clone())),
            E::ReloadClasses => self.reloads(Site { classes: size, ..fixed_site()? }),
            E::ReloadTenants => self.reloads(Site { tenants: size, ..fixed_site()? }),
            E::VersionEngines => self.versions(Site::new(Engines::start(size)?.addresses.clone())),
            E::VersionClasses => self.versions(Site { classes: size, ..fixed_site()? }),
            E::VersionTenants => self.versions(Site { tenants: size, ..fixed_site()? }),
            E::StartEngines => self.startup(&Site::new(Engines::start(size)?.addresses.clone())),
            E::StartClasses => self.startup(&Site { classes: size, ..fixed_site()? }),
            E::StartTenants => self.startup(&Site { tenants: size, ..fixed_site()? }),
            E::IdleSessions => self.idle_sessions(size),
            E::IdleEngines => self.unchanged_list(size),
        }
    }
}

fn add_point(points: &mut Vec<(Quantity, Vec<Point>)>, size: usize, (quantity, value): (Quantity, f64)) {
    let index = points.iter().position(|(q, _)| *q == quantity).unwrap_or_else(|| {
        points.push((quantity, Vec::new()));
        points.len() - 1
    });
    let points_of_quantity = &mut points[index].1;
    match points_of_quantity.iter_mut().find(|p| p.size == size as f64) {
        Some(point) => point.runs.push(value),
        None => points_of_quantity.push(Point { size: size as f64, runs: vec![value] }),
    }
}

/// Returns a site with `FIXED_ENGINES` engines, whose addresses no longer accept connections.
fn fixed_site() -> Result<Site, CapacityError> {
    Ok(Site::new(Engines::start(FIXED_ENGINES)?.addresses.clone()))
}
