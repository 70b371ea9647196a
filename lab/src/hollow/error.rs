//! Why a hollow run ends without figures.

use std::io;
use std::path::PathBuf;

/// Why a hollow run ends without figures.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// An option is out of range.
    #[error("--{option}: {value} is not from {least} to {most}")]
    Option {
        /// Its name.
        option: &'static str,
        /// What was given.
        value: u64,
        /// The least that is allowed.
        least: u64,
        /// The most that is allowed.
        most: u64,
    },
    /// No event has this name.
    #[error("--event: no event is named {0}; there are: {1}")]
    Event(String, String),
    /// The run has outgrown one of its bounds.
    #[error("stopped at the bound of {bound}: {reached} {unit} of {most}")]
    Bound {
        /// Which bound.
        bound: &'static str,
        /// What was reached.
        reached: u64,
        /// The bound.
        most: u64,
        /// What both are counted in.
        unit: &'static str,
    },
    /// Figures are to be written, and nothing says that hollow gateways count what real ones do.
    #[error("{0}: no comparison with the same counts; run `wrenhatch-lab hollow compare --json` first")]
    NoComparison(PathBuf),
    /// A gateway did not do what was waited for.
    #[error("{0}")]
    Peer(String),
    /// The gateway's configuration does not hold.
    #[error("configuration: {0}")]
    Config(#[from] wrenhatch::config::ConfigError),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] workload_manager::SettingsError),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// The system refuses.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file of figures is not of its form.
    #[error("{0}: {1}")]
    Form(PathBuf, serde_json::Error),
}
