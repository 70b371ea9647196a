//! Errors of applying new settings. After each of them, the settings in force stay unchanged.

use workload_manager::SettingsError;

use super::slots::MAX_NAMES;
use crate::config::ConfigError;

/// Reason for which new settings are not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigurationError {
    /// The new settings can't be read or are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new settings can't replace those in force.
    #[error(transparent)]
    Refused(#[from] SettingsRefused),
    /// The workload manager rejects the new settings.
    #[error("settings: {0}")]
    WorkloadManager(#[from] SettingsError),
}

/// Reason for which settings can't replace those in force: they are invalid, or can only be applied by a restart. The
/// text is reported to the control plane.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsRefused {
    /// A list has a duplicate name.
    #[error("{list} names {name} twice")]
    DuplicateName {
        /// Key of the list in the settings.
        list: &'static str,
        /// Name that occurs twice.
        name: String,
    },
    /// The gateway's own zone has changed.
    #[error("the gateway's own zone (locality) can't change in service: {old} is in force, {new} was sent")]
    ZoneChanged {
        /// Zone in force. Empty if the settings in force have no zone.
        old: String,
        /// Zone in the new settings. Empty if they have no zone.
        new: String,
    },
    /// The source of load reports, or the meaning of their fields, has changed.
    #[error("how engines report their load (report.how, report-x0, report-x1) can't change in service")]
    LoadReportsChanged,
    /// The new settings don't have the tenant of a user of the MySQL front end.
    #[error("no project is called {0}, which is that of a user of the MySQL front")]
    TenantInUse(String),
    /// New names would raise the number of names that a list has had since the start above the limit.
    #[error("{list} have had more than {MAX_NAMES} names since the start")]
    TooManyNames {
        /// Key of the list in the settings.
        list: &'static str,
    },
    /// The deadline or the parallelism of a class is not positive, so that no request could be served.
    #[error("class {0}: its deadline and its parallelism must be more than 0")]
    UnusableClass(String),
    /// The settings have no class or no gateway, or a value that is negative or not a finite number.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}
