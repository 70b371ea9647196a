//! What was measured, as it stands in the file of slopes.

use std::fmt;
use std::path::Path;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

use super::error::CapacityError;
use super::fit::{Fit, Point, fit};

/// What a figure is a function of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variable {
    /// Engines in the list.
    Engines,
    /// Requests that are open at once.
    OpenRequests,
    /// Sessions of clients.
    Sessions,
    /// Classes of request.
    Classes,
    /// Tenants.
    Tenants,
}

impl fmt::Display for Variable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Variable::Engines => "engines",
            Variable::OpenRequests => "open requests",
            Variable::Sessions => "sessions",
            Variable::Classes => "classes",
            Variable::Tenants => "tenants",
        })
    }
}

/// An experiment: what is done, and what is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// The decisions of a statement in memory, by engines.
    DecideStatementEngines,
    /// The decisions of a statement in memory, by open requests.
    DecideStatementOpen,
    /// A look of the module that no event asks for, in memory, by engines.
    DecideLookEngines,
    /// Taking a change of one engine in memory, by engines.
    DecideChangeEngines,
    /// Taking a whole list in memory, by engines.
    DecideListEngines,
    /// A statement through the process, by engines.
    StatementEngines,
    /// A statement through the process, by sessions that ask at once.
    StatementOpen,
    /// A statement through the process, by sessions that are idle beside.
    StatementSessions,
    /// A statement through the process, by engines, with many requests open and many sessions idle.
    StatementTogether,
    /// A change of one engine told by the coordinator, by engines.
    ChangeEngines,
    /// A whole list told by the coordinator, by engines.
    ListEngines,
    /// The configuration read again on SIGHUP, by engines in it.
    ReloadEngines,
    /// The configuration read again on SIGHUP, by classes in it.
    ReloadClasses,
    /// The configuration read again on SIGHUP, by tenants in it.
    ReloadTenants,
    /// A version of the settings told by a control machine and taken over in service, by engines.
    VersionEngines,
    /// The same by classes.
    VersionClasses,
    /// The same by tenants.
    VersionTenants,
    /// A start of the process, by engines.
    StartEngines,
    /// A start of the process, by classes.
    StartClasses,
    /// A start of the process, by tenants.
    StartTenants,
    /// Sessions that are opened and then idle.
    IdleSessions,
    /// A process without clients that follows the coordinator, by engines.
    IdleEngines,
}

impl fmt::Display for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.to_possible_value().as_ref().map_or("", |value| value.get_name()))
    }
}

/// What is measured in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Processor time of the process (of the thread, in memory) for each of what is done.
    Cpu,
    /// Share of a core while nothing is asked.
    IdleCpu,
    /// Anonymous memory that is resident.
    Resident,
    /// Connections to engines.
    Connections,
    /// Descriptors held.
    Descriptors,
    /// Bytes of the coordinator's or a control machine's stream for each event.
    StreamBytes,
    /// Bytes of the configuration's file.
    FileBytes,
    /// Bytes written to the log, at the level that is the default, for each of what is done.
    LogBytes,
    /// The same at debug.
    DebugLogBytes,
    /// Bytes of one answer with all figures.
    MetricsBytes,
    /// The 99th percentile of what clients waited.
    LatencyP99,
    /// From an event's writing until the gateway's figures show it, in the middle, with the call that fetches them; of a
    /// version, until its report has come.
    Taken,
}

impl Quantity {
    /// The unit of its values.
    pub fn unit(self) -> &'static str {
        match self {
            Quantity::Cpu => "us",
            Quantity::IdleCpu => "% of a core",
            Quantity::Connections | Quantity::Descriptors => "",
            Quantity::Resident
            | Quantity::StreamBytes
            | Quantity::FileBytes
            | Quantity::LogBytes
            | Quantity::DebugLogBytes
            | Quantity::MetricsBytes => "bytes",
            Quantity::LatencyP99 | Quantity::Taken => "ms",
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Quantity::Cpu => "cpu",
            Quantity::IdleCpu => "idle-cpu",
            Quantity::Resident => "resident",
            Quantity::Connections => "connections",
            Quantity::Descriptors => "descriptors",
            Quantity::StreamBytes => "stream-bytes",
            Quantity::FileBytes => "file-bytes",
            Quantity::LogBytes => "log-bytes",
            Quantity::DebugLogBytes => "debug-log-bytes",
            Quantity::MetricsBytes => "metrics-bytes",
            Quantity::LatencyP99 => "latency-p99",
            Quantity::Taken => "taken",
        })
    }
}

/// A measured thing: plays at some sizes, and the line through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// In which experiment.
    pub experiment: Experiment,
    /// What.
    pub quantity: Quantity,
    /// The unit of the values.
    pub unit: String,
    /// What it is a function of.
    pub of: Variable,
    /// What was held fixed.
    pub fixed: String,
    /// The command that measured it.
    pub command: String,
    /// The plays, by size.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Option<Fit>,
    /// Why plays can't be used, each with its size; such plays are not among the points.
    pub unusable: Vec<String>,
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// Measured at this size.
    Measured,
    /// Counted with many hollow gateways.
    Hollow,
    /// From simulated time.
    Simulated,
    /// By arithmetic from others.
    Reckoned,
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mark::Measured => "measured",
            Mark::Hollow => "hollow",
            Mark::Simulated => "simulated",
            Mark::Reckoned => "reckoned",
        })
    }
}

/// A value at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Half of what lies between the least and the most play, or the deviation of plays from the line.
    pub spread: f64,
    /// Measured at this size, or reckoned from other sizes.
    pub mark: Mark,
}

impl Measured {
    /// Makes one from its plays.
    pub fn new(
        experiment: Experiment,
        quantity: Quantity,
        points: Vec<Point>,
        unusable: Vec<String>,
        command: &str,
    ) -> Self {
        Self {
            experiment,
            quantity,
            unit: quantity.unit().to_owned(),
            of: experiment.variable(),
            fixed: experiment.fixed().to_owned(),
            command: command.to_owned(),
            fit: fit(&points),
            points,
            unusable,
        }
    }

    /// Its name in tables.
    pub fn name(&self) -> String {
        format!("{} {}", self.experiment, self.quantity)
    }

    /// The value at a size: the middle play where that size was played, else the line where growth is linear, else
    /// between the sizes beside it, or on from the two nearest.
    pub fn at(&self, size: f64) -> Option<Estimate> {
        if let Some(point) = self.points.iter().find(|p| p.size == size) {
            return Some(Estimate { value: point.median(), spread: point.spread(), mark: Mark::Measured });
        }
        let fit = self.fit?;
        let value = if fit.linear { fit.intercept + fit.slope * size } else { self.between(size)? };
        Some(Estimate { value, spread: fit.noise.max(fit.misfit), mark: Mark::Reckoned })
    }

    fn between(&self, size: f64) -> Option<f64> {
        let above = self.points.partition_point(|p| p.size < size);
        let at = above.clamp(1, self.points.len().checked_sub(1)?);
        let (low, high) = (&self.points[at - 1], &self.points[at]);
        let slope = (high.median() - low.median()) / (high.size - low.size);
        Some(low.median() + slope * (size - low.size))
    }
}

/// On what the plays ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Its processor.
    pub processor: String,
    /// Its cores.
    pub cores: usize,
}

impl Machine {
    /// This one.
    pub fn this() -> Self {
        let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let model = text.lines().find_map(|line| line.strip_prefix("model name")?.split_once(": "));
        Self {
            processor: model.map_or("unknown", |(_, name)| name).trim().to_owned(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
        }
    }
}

/// All that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// On what.
    pub machine: Machine,
    /// The measured things, by experiment.
    pub measured: Vec<Measured>,
}

impl Slopes {
    /// Reads the file; one that is not there yet holds nothing.
    ///
    /// # Errors
    /// It can't be read, or is not of this form.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        serde_json::from_str(&text).map_err(CapacityError::json(path))
    }

    /// Writes the file.
    ///
    /// # Errors
    /// It can't be written.
    pub fn write(&self, path: &Path) -> Result<(), CapacityError> {
        let text = serde_json::to_string_pretty(self).map_err(CapacityError::json(path))? + "\n";
        std::fs::write(path, text).map_err(CapacityError::file(path))
    }

    /// Takes in what an experiment gave, in place of what it gave before.
    pub fn replace(&mut self, experiment: Experiment, measured: Vec<Measured>) {
        self.measured.retain(|m| m.experiment != experiment);
        self.measured.extend(measured);
        self.measured.sort_by_key(|m| (m.experiment, m.quantity));
    }

    /// A measured thing.
    pub fn get(&self, experiment: Experiment, quantity: Quantity) -> Option<&Measured> {
        self.measured.iter().find(|m| m.experiment == experiment && m.quantity == quantity)
    }
}
