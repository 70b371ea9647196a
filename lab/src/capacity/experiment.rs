//! Names of the experiments, their variables and their measured quantities, as used on the command line and in the
//! slopes file.

use std::fmt;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// The variable of an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variable {
    /// Engines in the endpoint list.
    Engines,
    /// Requests in flight at once.
    OpenRequests,
    /// Idle client sessions.
    Sessions,
    /// Request classes in the settings.
    Classes,
    /// Tenants in the settings.
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

/// An operation that is measured at several values of one variable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Experiment {
    /// Decisions of a statement in memory, by engines.
    DecideStatementEngines,
    /// Decisions of a statement in memory, by open requests.
    DecideStatementOpen,
    /// A control tick of the core in memory, by engines.
    #[serde(rename = "decide-look-engines")]
    #[value(name = "decide-look-engines")]
    DecideControlTickEngines,
    /// Applying a change of one engine in memory, by engines.
    DecideChangeEngines,
    /// Applying a full endpoint list in memory, by engines.
    DecideListEngines,
    /// A statement through the process, by engines.
    StatementEngines,
    /// A statement through the process, by concurrently active sessions.
    StatementOpen,
    /// A statement through the process, by additional idle sessions.
    StatementSessions,
    /// A statement through the process, by engines, with many open requests and many idle sessions.
    StatementTogether,
    /// A change of one engine sent by the coordinator, by engines.
    ChangeEngines,
    /// A full endpoint list sent by the coordinator, by engines.
    ListEngines,
    /// A configuration reload on SIGHUP, by engines.
    ReloadEngines,
    /// A configuration reload on SIGHUP, by classes.
    ReloadClasses,
    /// A configuration reload on SIGHUP, by tenants.
    ReloadTenants,
    /// A version of the settings sent by a control machine and applied in service, by engines.
    VersionEngines,
    /// A version of the settings sent by a control machine and applied in service, by classes.
    VersionClasses,
    /// A version of the settings sent by a control machine and applied in service, by tenants.
    VersionTenants,
    /// Startup of the process, by engines.
    StartEngines,
    /// Startup of the process, by classes.
    StartClasses,
    /// Startup of the process, by tenants.
    StartTenants,
    /// Opening sessions and keeping them idle.
    IdleSessions,
    /// A process without clients that follows the coordinator's endpoint list, by engines.
    IdleEngines,
}

impl fmt::Display for Experiment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.to_possible_value().as_ref().map_or("", |value| value.get_name()))
    }
}

/// A quantity measured by an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Processor time of the process (in memory: of the thread) per operation.
    Cpu,
    /// Processor time without requests, in percent of a core.
    IdleCpu,
    /// Resident anonymous memory.
    Resident,
    /// Connections opened to engines.
    Connections,
    /// Open file descriptors of the process.
    Descriptors,
    /// Bytes per event on the stream of the coordinator or a control machine.
    StreamBytes,
    /// Bytes of the configuration file.
    FileBytes,
    /// Bytes written to the log at the default level, per operation.
    LogBytes,
    /// Bytes written to the log at level debug, per operation.
    DebugLogBytes,
    /// Bytes of one response with all metrics.
    MetricsBytes,
    /// 99th percentile of the latency at clients.
    LatencyP99,
    /// Median time to apply an event or a version. It starts when the event or version is written. It ends when the
    /// gateway's metrics show the event (including the request for the metrics), or when the report of the version
    /// arrives.
    #[serde(rename = "taken")]
    ApplyTime,
}

impl Quantity {
    /// Returns the unit used in the slopes file, empty for a count.
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
            Quantity::LatencyP99 | Quantity::ApplyTime => "ms",
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
            Quantity::ApplyTime => "taken",
        })
    }
}

impl Experiment {
    /// Returns the variable of the experiment.
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

    /// Returns the fixed conditions, as printed on the page.
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

    /// Returns the default sizes to run at.
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
