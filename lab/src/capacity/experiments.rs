//! The experiments: what one play of each does, at which sizes, and what it gives.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use wrenhatch_configuration::{Delta, Document, Message, Snapshot, Version};

use super::bounds::Guard;
use super::control_machine::ControlMachine;
use super::decisions::Decisions;
use super::error::CapacityError;
use super::experiment::{Experiment, Quantity, Variable};
use super::fit::Point;
use super::process::Gateway;
use super::sessions::{Session, Tally, closed_loop};
use super::site::Site;
use super::slopes::Measured;
use super::stand_ins::{Coordinator, Engines, Stream};

/// Requests that are open, and sessions that ask, where that is not what is varied.
const OPEN: usize = 16;
/// Sessions that ask, and idle ones, where both are as many as at the operators' size.
const TOGETHER: (usize, usize) = (64, 3_455);
/// Engines where these are not what is varied.
const ENGINES: usize = 80;
/// The largest size of any experiment: with a descriptor for each engine and session.
pub const MOST: usize = 8_000;
/// A schedule that ends later than this share of its length makes a play unusable.
const MOST_LATE: f64 = 0.1;
/// Time that the gateway has for what came last.
const SETTLE: Duration = Duration::from_millis(150);
/// Between two changes of one engine, two whole lists, and two readings of the configuration.
const CHANGE_PACE: Duration = Duration::from_millis(5);
const SLOW_PACE: Duration = Duration::from_millis(50);
/// Events whose taking is timed in a play.
const TAKEN: u64 = 9;
/// How long one of them is waited for.
const PATIENCE: Duration = Duration::from_secs(10);
/// Statements before the plays: so many for each engine, as a new one is worked with little at first.
const WARM_UP_PER_ENGINE: u64 = 3;
/// Sessions that ask for them.
const WARM_UP_SESSIONS: usize = 64;

/// How much a play does.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Statements that are decided in memory.
    pub decided: u64,
    /// Statements through the process.
    pub statements: u64,
    /// Statements through the process while its log is at debug.
    pub logged: u64,
    /// Changes of one engine, or looks.
    pub changes: u64,
    /// Whole lists, or readings of the configuration.
    pub lists: u64,
    /// How long an idle process is watched.
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

/// What a play gave: figures, or why they can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    /// Its figures.
    pub figures: Vec<(Quantity, f64)>,
    /// Why they can't be used.
    pub unusable: Option<String>,
}

impl Play {
    fn of(figures: Vec<(Quantity, f64)>) -> Self {
        Self { figures, unusable: None }
    }

    /// The figures can't be used if this is a reason.
    fn unless(mut self, reason: Option<String>) -> Self {
        self.unusable = self.unusable.or(reason);
        self
    }
}

impl Experiment {
    /// What is varied.
    pub fn variable(self) -> Variable {
        use Experiment as E;
        match self {
            E::DecideStatementOpen | E::StatementOpen => Variable::OpenRequests,
            E::StatementSessions | E::IdleSessions => Variable::Sessions,
            E::ReloadClasses | E::VersionClasses | E::StartClasses => Variable::Classes,
            E::ReloadTenants | E::VersionTenants | E::StartTenants => Variable::Tenants,
            E::DecideStatementEngines
            | E::DecideLookEngines
            | E::DecideChangeEngines
            | E::DecideListEngines
            | E::StatementEngines
            | E::StatementTogether
            | E::ChangeEngines
            | E::ListEngines
            | E::ReloadEngines
            | E::VersionEngines
            | E::StartEngines
            | E::IdleEngines => Variable::Engines,
        }
    }

    /// What is held fixed.
    pub fn fixed(self) -> &'static str {
        use Experiment as E;
        match self {
            E::DecideStatementEngines
            | E::DecideLookEngines
            | E::DecideChangeEngines
            | E::DecideListEngines => {
                "in memory, simulated time: 16 open requests, 2,364 statements a second"
            }
            E::DecideStatementOpen => "in memory, simulated time: 80 engines, 2,364 statements a second",
            E::StatementEngines => {
                "closed loop of 16 sessions, after one of 64; engines of 5 zones that answer at once"
            }
            E::StatementOpen => {
                "80 engines of 5 zones that answer at once, a closed loop of as many sessions, after one of 64"
            }
            E::StatementSessions => {
                "80 engines of 5 zones, closed loop of 16 sessions beside the idle ones, after one of 64"
            }
            E::StatementTogether => {
                "closed loop of 64 sessions beside 3,455 idle ones; engines of 5 zones that answer at once"
            }
            E::ChangeEngines | E::ListEngines | E::IdleEngines => "no clients",
            E::ReloadEngines | E::VersionEngines | E::StartEngines => "3 classes, 1 tenant, no clients",
            E::ReloadClasses | E::VersionClasses | E::StartClasses => "80 engines, 1 tenant, no clients",
            E::ReloadTenants | E::VersionTenants | E::StartTenants => "80 engines, 3 classes, no clients",
            E::IdleSessions => "80 engines, sessions that ask nothing",
        }
    }

    /// The sizes that it is played at.
    pub fn sizes(self) -> &'static [usize] {
        match self.variable() {
            Variable::Engines => &[16, 80, 200, 400, 810],
            Variable::OpenRequests => &[4, 16, 64, 256],
            Variable::Sessions => &[250, 1_000, 2_000, 3_455],
            Variable::Classes => &[3, 10, 40, 160],
            Variable::Tenants => &[1, 100, 400, 1_600],
        }
    }
}

/// What plays need.
#[derive(Clone, Debug)]
pub struct Bench {
    /// The gateway's program.
    pub program: PathBuf,
    /// How much a play does.
    pub effort: Effort,
    /// The bounds.
    pub guard: Guard,
}

impl Bench {
    /// Plays an experiment at some sizes, so often at each.
    ///
    /// # Errors
    /// A bound is passed, or the gateway does not do what is waited for.
    pub fn run(
        &self,
        experiment: Experiment,
        sizes: &[usize],
        plays: usize,
        command: &str,
    ) -> Result<Vec<Measured>, CapacityError> {
        let mut points: Vec<(Quantity, Vec<Point>)> = Vec::new();
        let mut unusable = Vec::new();
        for size in sizes.iter().copied() {
            for _ in 0..plays {
                self.guard.check(None)?;
                let play = self.play(experiment, size)?;
                match play.unusable {
                    Some(why) => unusable.push(format!("{size}: {why}")),
                    None => play.figures.iter().for_each(|f| note(&mut points, size, *f)),
                }
            }
        }
        let measured =
            |(quantity, points)| Measured::new(experiment, quantity, points, unusable.clone(), command);
        Ok(points.into_iter().map(measured).collect())
    }

    /// One play at a size.
    ///
    /// # Errors
    /// A bound is passed, or the gateway does not do what is waited for.
    pub fn play(&self, experiment: Experiment, size: usize) -> Result<Play, CapacityError> {
        use Experiment as E;
        if !(1..=MOST).contains(&size) {
            return Err(CapacityError::Size { size, most: MOST });
        }
        match experiment {
            E::DecideStatementEngines => self.decide_statements(size, OPEN),
            E::DecideStatementOpen => self.decide_statements(ENGINES, size),
            E::DecideLookEngines => self.decide(size, OPEN, |d| d.looks(self.effort.changes)),
            E::DecideChangeEngines => self.decide(size, OPEN, |d| d.changes(self.effort.changes)),
            E::DecideListEngines => self.decide(size, OPEN, |d| d.lists(self.effort.lists)),
            E::StatementEngines => self.statements(size, OPEN, 0),
            E::StatementOpen => self.statements(ENGINES, size, 0),
            E::StatementSessions => self.statements(ENGINES, OPEN, size),
            E::StatementTogether => self.statements(size, TOGETHER.0, TOGETHER.1),
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

    fn decide_statements(&self, engines: usize, open: usize) -> Result<Play, CapacityError> {
        let statements = self.effort.decided;
        self.decide(engines, open, |decisions| decisions.statements(statements))
    }

    /// Something that a core decides, once it has worked with all of its engines.
    fn decide(
        &self,
        engines: usize,
        open: usize,
        what: impl FnOnce(&mut Decisions) -> f64,
    ) -> Result<Play, CapacityError> {
        let mut decisions = Decisions::new(engines, open)?;
        decisions.statements(WARM_UP_PER_ENGINE * engines as u64 + 4 * open as u64);
        let cpu_us = what(&mut decisions);
        Ok(Play::of(vec![(Quantity::Cpu, cpu_us)]).unless(unserved(decisions.unserved)))
    }

    fn statements(&self, engines: usize, asking: usize, idle: usize) -> Result<Play, CapacityError> {
        let engines = Engines::start(engines)?;
        let site = Site { clients: asking + idle + 100, ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let idle = Session::open_all(gateway.listen, idle)?;
        self.warm_up(&gateway, site.engines.len() as u64)?;
        let mut sessions = Session::open_all(gateway.listen, asking)?;
        closed_loop(&mut sessions, asking as u64)?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        let (cpu_us, logged) = (gateway.cpu_us()?, gateway.log_bytes());
        let tally = closed_loop(&mut sessions, self.effort.statements)?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        let each = (tally.served + tally.unserved) as f64;
        let play = Play::of(vec![
            (Quantity::Cpu, (gateway.cpu_us()? - cpu_us) / each),
            (Quantity::LatencyP99, tally.latencies.value_at_quantile(0.99) as f64 / 1e3),
            (Quantity::Connections, engines.seen.connections() as f64),
            (Quantity::Descriptors, gateway.descriptors()? as f64),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::LogBytes, (gateway.log_bytes() - logged) as f64 / each),
        ]);
        drop(idle);
        let debug = self.debug_log_bytes(&site)?;
        Ok(with(play, Quantity::DebugLogBytes, debug).unless(unserved(tally.unserved)))
    }

    /// Has a gateway work with all of its engines, by sessions that leave again.
    fn warm_up(&self, gateway: &Gateway, engines: u64) -> Result<(), CapacityError> {
        let mut sessions = Session::open_all(gateway.listen, WARM_UP_SESSIONS)?;
        closed_loop(&mut sessions, WARM_UP_PER_ENGINE * engines)?;
        self.guard.check(Some(gateway.process()))
    }

    /// Bytes of the log at debug for each statement: of a process of its own, as writing them takes time.
    fn debug_log_bytes(&self, site: &Site) -> Result<f64, CapacityError> {
        let gateway = Gateway::start(&self.program, site, "debug")?;
        let mut sessions = Session::open_all(gateway.listen, OPEN)?;
        let before = gateway.log_bytes();
        let tally: Tally = closed_loop(&mut sessions, self.effort.logged)?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        Ok((gateway.log_bytes() - before) as f64 / tally.served.max(1) as f64)
    }

    /// A gateway that follows a coordinator, with the engines behind it.
    fn watched(&self, engines: usize) -> Result<Watched, CapacityError> {
        let engines = Engines::start(engines)?;
        let coordinator = Coordinator::listen()?;
        let site = Site { coordinator: Some(coordinator.address), ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let stream = coordinator.watch()?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        Ok(Watched { gateway, stream, site, _engines: engines })
    }

    fn changes(&self, engines: usize) -> Result<Play, CapacityError> {
        let watched = self.watched(engines)?;
        let site = &watched.site;
        let count = self.effort.changes;
        let play = self.told(&watched, count, CHANGE_PACE, |change| {
            let engine = (change / 2) as usize % engines;
            let status = if change % 2 == 0 { "Terminating" } else { "Ready" };
            site.event(change + 2, false, vec![site.entry(engine, status)])
        })?;
        let taken = watched.taken_ms(count + 2, |index, gone| {
            site.event(index, false, vec![site.entry(0, if gone { "Gone" } else { "Ready" })])
        })?;
        Ok(with(play, Quantity::Taken, taken))
    }

    fn lists(&self, engines: usize) -> Result<Play, CapacityError> {
        let watched = self.watched(engines)?;
        let site = &watched.site;
        let count = self.effort.lists;
        let play = self.told(&watched, count, SLOW_PACE, |list| site.whole_list(list + 2))?;
        let taken = watched.taken_ms(count + 2, |index, gone| {
            let listed = (usize::from(gone)..engines).map(|engine| site.entry(engine, "Ready"));
            site.event(index, true, listed.collect())
        })?;
        Ok(with(play, Quantity::Taken, taken))
    }

    /// Tells events at a pace; what each costs.
    fn told(
        &self,
        watched: &Watched,
        count: u64,
        pace: Duration,
        event: impl Fn(u64) -> serde_json::Value,
    ) -> Result<Play, CapacityError> {
        let gateway = &watched.gateway;
        let before = gateway.counter("list_events")?;
        let (cpu_us, logged) = (gateway.cpu_us()?, gateway.log_bytes());
        let mut bytes = 0;
        let late = self.schedule(count, pace, gateway, |n| {
            bytes += watched.stream.event(n + 2, &event(n))?;
            Ok(())
        })?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let taken = gateway.counter("list_events")? - before;
        let missing = (taken != count).then(|| format!("{taken} of {count} events were taken"));
        let each = count as f64;
        let play = Play::of(vec![
            (Quantity::Cpu, cpu_us / each),
            (Quantity::StreamBytes, bytes as f64 / each),
            (Quantity::LogBytes, logged as f64 / each),
        ]);
        Ok(play.unless(late).unless(missing))
    }

    /// Does something at a pace, then lets the gateway settle; why the play can't be used if it fell behind.
    fn schedule(
        &self,
        count: u64,
        pace: Duration,
        gateway: &Gateway,
        mut what: impl FnMut(u64) -> Result<(), CapacityError>,
    ) -> Result<Option<String>, CapacityError> {
        let began = Instant::now();
        for n in 0..count {
            let due = began + pace.mul_f64(n as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            what(n)?;
            self.guard.check(Some(gateway.process()))?;
        }
        let late = fell_behind(began.elapsed(), pace.mul_f64(count as f64));
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        Ok(late)
    }

    fn reloads(&self, site: Site) -> Result<Play, CapacityError> {
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let before = gateway.counter("reloads")?;
        let (cpu_us, logged, count) = (gateway.cpu_us()?, gateway.log_bytes(), self.effort.lists);
        let late = self.schedule(count, SLOW_PACE, &gateway, |_| gateway.reload())?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let taken = gateway.counter("reloads")? - before;
        let missing = (taken != count).then(|| format!("{taken} of {count} readings were made"));
        let each = count as f64;
        let play = Play::of(vec![
            (Quantity::Cpu, cpu_us / each),
            (Quantity::FileBytes, gateway.file_bytes as f64),
            (Quantity::LogBytes, logged as f64 / each),
        ]);
        Ok(play.unless(late).unless(missing))
    }

    /// Versions of the settings, each a difference to the one before.
    fn versions(&self, site: Site) -> Result<Play, CapacityError> {
        let machine = ControlMachine::start()?;
        let site = Site { control: Some(machine.address), ..site };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let mut stream = machine.stream()?;
        let mut in_force = (Version(1), document(&site, 1)?);
        stream.tell(&Message::Snapshot(Snapshot::of(in_force.0, &in_force.1)))?;
        machine.applied(1)?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        let (cpu_us, logged, count) = (gateway.cpu_us()?, gateway.log_bytes(), self.effort.lists);
        let (mut bytes, mut times) = (0, Vec::new());
        let late = self.schedule(count, SLOW_PACE, &gateway, |n| {
            let next = (Version(n + 2), document(&site, n + 2)?);
            let from = (in_force.0, &in_force.1);
            let message = Message::Delta(Delta::between(from, (next.0, &next.1)));
            let began = Instant::now();
            bytes += stream.tell(&message)?;
            machine.applied(next.0.0)?;
            times.push(began.elapsed().as_secs_f64() * 1e3);
            in_force = next;
            Ok(())
        })?;
        let (cpu_us, logged) = (gateway.cpu_us()? - cpu_us, gateway.log_bytes() - logged);
        let each = count as f64;
        let play = Play::of(vec![
            (Quantity::Cpu, cpu_us / each),
            (Quantity::StreamBytes, bytes as f64 / each),
            (Quantity::LogBytes, logged as f64 / each),
            (Quantity::Taken, Point { size: each, plays: times }.median()),
        ]);
        Ok(play.unless(late))
    }

    fn start(&self, site: &Site) -> Result<Play, CapacityError> {
        let gateway = Gateway::start(&self.program, site, "info")?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        Ok(Play::of(vec![
            (Quantity::Cpu, gateway.cpu_us()?),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::FileBytes, gateway.file_bytes as f64),
            (Quantity::LogBytes, gateway.log_bytes() as f64),
            (Quantity::MetricsBytes, gateway.metrics()?.len() as f64),
        ]))
    }

    fn idle_sessions(&self, count: usize) -> Result<Play, CapacityError> {
        let engines = Engines::start(ENGINES)?;
        let site = Site { clients: count + 100, ..Site::new(engines.addresses.clone()) };
        let gateway = Gateway::start(&self.program, &site, "info")?;
        let before = gateway.cpu_us()?;
        let sessions = Session::open_all(gateway.listen, count)?;
        self.guard.sleep(SETTLE, Some(gateway.process()))?;
        let opened_us = gateway.cpu_us()?;
        self.guard.sleep(self.effort.idle, Some(gateway.process()))?;
        let idle_us = gateway.cpu_us()? - opened_us;
        let play = Play::of(vec![
            (Quantity::Cpu, (opened_us - before) / count.max(1) as f64),
            (Quantity::IdleCpu, percent(idle_us, self.effort.idle)),
            (Quantity::Resident, gateway.resident_bytes()?),
            (Quantity::Descriptors, gateway.descriptors()? as f64),
        ]);
        drop(sessions);
        Ok(play)
    }

    fn idle(&self, engines: usize) -> Result<Play, CapacityError> {
        let watched = self.watched(engines)?;
        let before = watched.gateway.cpu_us()?;
        self.guard.sleep(self.effort.idle, Some(watched.gateway.process()))?;
        let cpu_us = watched.gateway.cpu_us()? - before;
        Ok(Play::of(vec![(Quantity::IdleCpu, percent(cpu_us, self.effort.idle))]))
    }
}

/// The settings of a version.
fn document(site: &Site, version: u64) -> Result<Document, CapacityError> {
    let text = site.changed_settings(version).to_string();
    text.parse().map_err(|e| CapacityError::Peer(format!("settings that are no document: {e}")))
}

/// A gateway that follows a coordinator.
struct Watched {
    gateway: Gateway,
    stream: Stream,
    site: Site,
    _engines: Engines,
}

/// A site of which engines are not what is varied, and are not called.
fn fixed_site() -> Result<Site, CapacityError> {
    Ok(Site::new(Engines::start(ENGINES)?.addresses.clone()))
}

impl Watched {
    /// The middle of the times, in milliseconds, from the writing of an event by which the first engine goes or
    /// comes back until the gateway's figures show it; the call that fetches them is in it.
    fn taken_ms(
        &self,
        first_index: u64,
        event: impl Fn(u64, bool) -> serde_json::Value,
    ) -> Result<f64, CapacityError> {
        let all = self.site.engines.len();
        let mut times = Vec::new();
        for n in 0..TAKEN {
            let (index, gone) = (first_index + n, n % 2 == 0);
            let event = event(index, gone);
            let began = Instant::now();
            self.stream.event(index, &event)?;
            while self.gateway.engines_known()? != all - usize::from(gone) {
                if began.elapsed() > PATIENCE {
                    return Err(CapacityError::Peer(format!("event {index} is not taken")));
                }
            }
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
        Ok(Point { size: all as f64, plays: times }.median())
    }
}

fn percent(cpu_us: f64, of: Duration) -> f64 {
    100.0 * cpu_us / of.as_micros().max(1) as f64
}

fn with(mut play: Play, quantity: Quantity, value: f64) -> Play {
    play.figures.push((quantity, value));
    play
}

fn unserved(count: u64) -> Option<String> {
    (count > 0).then(|| format!("{count} statements were not served"))
}

/// Why a play can't be used that took so long for what should have taken less.
pub fn fell_behind(took: Duration, planned: Duration) -> Option<String> {
    let most = planned.mul_f64(1.0 + MOST_LATE);
    let (took_ms, planned_ms) = (took.as_millis(), planned.as_millis());
    (took > most).then(|| format!("fell behind its schedule: {took_ms} ms for {planned_ms} ms"))
}

fn note(points: &mut Vec<(Quantity, Vec<Point>)>, size: usize, (quantity, value): (Quantity, f64)) {
    let at = points.iter().position(|(q, _)| *q == quantity).unwrap_or_else(|| {
        points.push((quantity, Vec::new()));
        points.len() - 1
    });
    let of = &mut points[at].1;
    match of.iter_mut().find(|p| p.size == size as f64) {
        Some(point) => point.plays.push(value),
        None => of.push(Point { size: size as f64, plays: vec![value] }),
    }
}
