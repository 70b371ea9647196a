//! Why new settings are not applied. In every case the settings in force stay as they are.

use workload_manager::SettingsError;

use super::slots::MAX_NAMES;
use crate::config::ConfigError;

/// Why new settings are not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigurationError {
    /// They can't be read, or make no sense.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// They can't replace the settings in force without a restart.
    #[error(transparent)]
    Refused(#[from] SettingsRefused),
    /// The workload manager can't apply them.
    #[error("settings: {0}")]
    WorkloadManager(#[from] SettingsError),
}

/// Why settings can't replace those in force without a restart.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsRefused {
    /// A name comes twice in a list.
    #[error("{list} names {name} twice")]
    DuplicateName {
        /// The key of the list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// The gateway's own zone is another one.
    #[error("the gateway's own zone (locality) can't change in service: {old} is in force, {new} was sent")]
    ZoneChanged {
        /// The zone in force; empty where there is none.
        old: String,
        /// The new one.
        new: String,
    },
    /// Load reports come in another way.
    #[error("how engines report their load (report.how, report-x0, report-x1) can't change in service")]
    LoadReportsChanged,
    /// The tenant of a user of the MySQL front end is missing.
    #[error("no project is called {0}, which is that of a user of the MySQL front")]
    TenantInUse(String),
    /// A list has had too many names since the start.
    #[error("{list} have had more than {MAX_NAMES} names since the start")]
    TooManyNames {
        /// The key of the list.
        list: &'static str,
    },
    /// No request of a class could be served.
    #[error("class {0}: its deadline and its parallelism must be more than 0")]
    UnusableClass(String),
    /// The settings contradict each other or are out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}
