//! Names of experiments, of what they measure and of what they vary, as the command line and the file of slopes have
//! them.

use std::fmt;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

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
