//! Errors that end a hollow run without figures.

use std::io;
use std::path::PathBuf;

/// Errors that end a hollow run without figures.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The value of an option is out of range.
    #[error("--{option}: {value} is not from {least} to {most}")]
    Option {
        /// Long name of the option, without dashes.
        option: &'static str,
        /// Value on the command line.
        value: u64,
        /// Smallest allowed value.
        least: u64,
        /// Largest allowed value.
        most: u64,
    },
    /// Name of an unknown event, and the list of known ones.
    #[error("--event: no event is named {0}; there are: {1}")]
    Event(String, String),
    /// The run exceeded one of its resource bounds.
    #[error("stopped at the bound of {bound}: {reached} {unit} of {most}")]
    Bound {
        /// Resource: memory, time, processes or descriptors.
        bound: &'static str,
        /// Observed value.
        reached: u64,
        /// Largest allowed value.
        most: u64,
        /// Unit of both values.
        unit: &'static str,
    },
    /// Figures can't be stored because no comparison shows equal counts for hollow and real gateways.
    #[error("{0}: no comparison with the same counts; run `wrenhatch-lab hollow compare --json` first")]
    NoComparison(PathBuf),
    /// A gateway failed or did not reach the expected state in time.
    #[error("{0}")]
    Peer(String),
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
    Form(PathBuf, serde_json::Error),
}
