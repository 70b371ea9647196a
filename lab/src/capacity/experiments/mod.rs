//! The experiments: what one run of each does, and what it gives. A module for each kind adds its experiments to
//! [`ExperimentRunner`], which runs them within the bounds of its guard.

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
use super::slopes::Measured;
use super::stand_ins::Engines;
pub use experiment_run::{ExperimentRun, fell_behind};
use experiment_run::{percent, unserved};

/// Open requests, and active sessions, where that is not what is varied.
const FIXED_OPEN_REQUESTS: usize = 16;
/// Sessions of the experiment that combines active and idle ones, as many as at the operators' size.
const COMBINED_LOAD: CombinedLoad = CombinedLoad { active_sessions: 64, idle_sessions: 3_455 };
/// Engines where these are not what is varied.
const FIXED_ENGINES: usize = 80;
/// The largest size of any experiment: with a descriptor for each engine and session.
pub const MAX_SIZE: usize = 8_000;
/// Time in which the gateway handles what came last.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Between two whole lists, two versions, or two readings of the configuration.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// Statements for each engine before a run: a gateway hardly uses a new engine at first.
const WARM_UP_STATEMENTS_PER_ENGINE: u64 = 3;

/// Sessions of one kind and the other.
struct CombinedLoad {
    active_sessions: usize,
    idle_sessions: usize,
}

/// How much a run does.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Statements that are decided in memory.
    pub decided: u64,
    /// Statements through the process.
    pub statements: u64,
    /// Statements through the process while its log is at debug.
    pub logged: u64,
    /// Changes of one engine, or control ticks.
    pub changes: u64,
    /// Whole lists, or readings of the configuration.
    pub lists: u64,
    /// How long an idle process is observed.
    pub idle: Duration,
}

impl Default for Effort {
    fn default() -> Self {
        Self {
            decided: 4_000,
            statements: 640,
            logged: 64,
            changes: 200,
            lists: 10,
            idle: Duration::from_secs(1),
        }
    }
}

/// Runs experiments.
#[derive(Clone, Debug)]
pub struct ExperimentRunner {
    /// The gateway's program.
    pub program: PathBuf,
    /// How much a run does.
    pub effort: Effort,
    /// The bounds.
    pub guard: Guard,
}

impl ExperimentRunner {
    /// Runs an experiment at some sizes, `runs` times at each.
    ///
    /// # Errors
    /// A bound is passed, or the gateway does not do what is waited for.
    pub fn run(
        &self,
        experiment: Experiment,
        sizes: &[usize],
        runs: usize,
        command: &str,
    ) -> Result<Vec<Measured>, CapacityError> {
        let mut points: Vec<(Quantity, Vec<Point>)> = Vec::new();
        let mut unusable = Vec::new();
        for size in sizes.iter().copied() {
            for _ in 0..runs {
                self.guard.check(None)?;
                let run = self.run_once(experiment, size)?;
                match run.unusable {
                    Some(why) => unusable.push(format!("{size}: {why}")),
                    None => run.figures.iter().for_each(|f| add_point(&mut points, size, *f)),
                }
            }
        }
        let measured =
            |(quantity, points)| Measured::new(experiment, quantity, points, unusable.clone(), command);
        Ok(points.into_iter().map(measured).collect())
    }

    /// Does something at an interval, then lets the gateway settle; why the run can't be used if it fell behind.
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
            self.guard.check(Some(gateway.process()))?;
        }
        let lag = fell_behind(began.elapsed(), interval.mul_f64(count as f64));
        self.guard.sleep(SETTLE_TIME, Some(gateway.process()))?;
        Ok(lag)
    }

    /// One run at a size.
    ///
    /// # Errors
    /// A bound is passed, or the gateway does not do what is waited for.
    pub fn run_once(&self, experiment: Experiment, size: usize) -> Result<ExperimentRun, CapacityError> {
        use Experiment as E;
        if !(1..=MAX_SIZE).contains(&size) {
            return Err(CapacityError::Size { size, most: MAX_SIZE });
        }
        match experiment {
            E::DecideStatementEngines => self.decide_statements(size, FIXED_OPEN_REQUESTS),
            E::DecideStatementOpen => self.decide_statements(FIXED_ENGINES, size),
            E::DecideControlTickEngines => {
                self.decide(size, FIXED_OPEN_REQUESTS, |d| d.control_ticks(self.effort.changes))
            }
            E::DecideChangeEngines => {
                self.decide(size, FIXED_OPEN_REQUESTS, |d| d.changes(self.effort.changes))
            }
            E::DecideListEngines => self.decide(size, FIXED_OPEN_REQUESTS, |d| d.lists(self.effort.lists)),
            E::StatementEngines => self.statements(size, FIXED_OPEN_REQUESTS, 0),
            E::StatementOpen => self.statements(FIXED_ENGINES, size, 0),
            E::StatementSessions => self.statements(FIXED_ENGINES, FIXED_OPEN_REQUESTS, size),
            E::StatementTogether => {
                self.statements(size, COMBINED_LOAD.active_sessions, COMBINED_LOAD.idle_sessions)
            }
            E::ChangeEngines => self.changes(size),
            E::ListEngines => self.lists(size),
            E::ReloadEngines => self.reloads(Site::new(Engines::start(size)?.addresses.clone())),
            E::ReloadClasses => self.reloads(Site { classes: size, ..fixed_site()? }),
            E::ReloadTenants => self.reloads(Site { tenants: size, ..fixed_site()? }),
            E::VersionEngines => self.versions(Site::new(Engines::start(size)?.addresses.clone())),
            E::VersionClasses => self.versions(Site { classes: size, ..fixed_site()? }),
            E::VersionTenants => self.versions(Site { tenants: size, ..fixed_site()? }),
            E::StartEngines => self.start(&Site::new(Engines::start(size)?.addresses.clone())),
            E::StartClasses => self.start(&Site { classes: size, ..fixed_site()? }),
            E::StartTenants => self.start(&Site { tenants: size, ..fixed_site()? }),
            E::IdleSessions => self.idle_sessions(size),
            E::IdleEngines => self.idle(size),
        }
    }
}

fn add_point(points: &mut Vec<(Quantity, Vec<Point>)>, size: usize, (quantity, value): (Quantity, f64)) {
    let at = points.iter().position(|(q, _)| *q == quantity).unwrap_or_else(|| {
        points.push((quantity, Vec::new()));
        points.len() - 1
    });
    let points_of_quantity = &mut points[at].1;
    match points_of_quantity.iter_mut().find(|p| p.size == size as f64) {
        Some(point) => point.runs.push(value),
        None => points_of_quantity.push(Point { size: size as f64, runs: vec![value] }),
    }
}

/// A site of which engines are not what is varied, and are not called.
fn fixed_site() -> Result<Site, CapacityError> {
    Ok(Site::new(Engines::start(FIXED_ENGINES)?.addresses.clone()))
}
