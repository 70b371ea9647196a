//! Errors that end a hollow run without figures.

use std::io;
use std::path::PathBuf;

/// Errors that end a hollow run without figures.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The value of an option is out of range.
    #[error("--{option}: {value} is not between {min} and {max}")]
    OptionOutOfRange {
        /// Long name of the option, without dashes.
        option: &'static str,
        /// Value on the command line.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// Name of an unknown event, and the list of known ones.
    #[error("--event: no event is named {0}; known events: {1}")]
    UnknownEvent(String, String),
    /// The run exceeded one of its resource bounds.
    #[error("{bound} bound exceeded: {reached} of at most {max} {unit}")]
    BoundExceeded {
        /// Resource: memory, time, processes or descriptors.
        bound: &'static str,
        /// Observed value.
        reached: u64,
        /// Largest allowed value.
        max: u64,
        /// Unit of both values.
        unit: &'static str,
    },
    /// Figures can't be stored because no comparison shows equal counts for hollow and real gateways.
    #[error("{0}: no comparison with the same counts; run `wrenhatch-lab hollow compare --json` first")]
    NoComparison(PathBuf),
    /// A gateway failed or did not reach the expected state in time.
    #[error("{0}")]
    GatewayFailure(String),
    /// The gateway rejected its configuration.
    #[error("configuration: {0}")]
    Config(#[from] wrenhatch::config::ConfigError),
    /// The core rejected the settings.
    #[error("settings: {0}")]
    Settings(#[from] workload_manager::SettingsError),
    /// A file can't be read or written, or a program can't be started.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file does not contain the expected JSON.
    #[error("{0}: {1}")]
    Json(PathBuf, serde_json::Error),
}
