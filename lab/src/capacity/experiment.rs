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
    /// A control tick of the decisions, in memory, by engines.
    #[serde(rename = "decide-look-engines")]
    #[value(name = "decide-look-engines")]
    DecideControlTickEngines,
    /// Taking a change of one engine in memory, by engines.
    DecideChangeEngines,
    /// Taking a whole list in memory, by engines.
    DecideListEngines,
    /// A statement through the process, by engines.
    StatementEngines,
    /// A statement through the process, by sessions that are active at once.
    StatementOpen,
    /// A statement through the process, by sessions that are idle beside.
    StatementSessions,
    /// A statement through the process, by engines, with many requests open and many sessions idle.
    StatementTogether,
    /// A change of one engine sent by the coordinator, by engines.
    ChangeEngines,
    /// A whole list sent by the coordinator, by engines.
    ListEngines,
    /// The configuration read again on SIGHUP, by engines in it.
    ReloadEngines,
    /// The configuration read again on SIGHUP, by classes in it.
    ReloadClasses,
    /// The configuration read again on SIGHUP, by tenants in it.
    ReloadTenants,
    /// A version of the settings sent by a control machine and taken over in service, by engines.
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
    /// Share of a core without requests.
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
    /// The 99th percentile of the latency at clients.
    LatencyP99,
    /// From an event's writing until the gateway's figures show it, the median, with the call that fetches them; of a
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
            | E::DecideControlTickEngines
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
            | E::DecideControlTickEngines
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

    /// The sizes that it is run at.
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
