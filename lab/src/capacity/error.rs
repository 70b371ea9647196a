//! Why a measurement or a page was not made.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use wrenhatch::config::TomlError;

use super::experiment::Experiment;

/// What is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// Memory of all processes together, in MB.
    Memory,
    /// Processes, and threads of this one.
    Processes,
    /// Time since the start, in seconds.
    Time,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Bound::Memory => "MB of memory",
            Bound::Processes => "processes and threads",
            Bound::Time => "seconds",
        })
    }
}

/// Why a measurement or a page was not made.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The run has outgrown one of its bounds and was stopped.
    #[error("stopped: {reached} {bound} are over the bound of {most}")]
    Outgrown {
        /// Which bound.
        bound: Bound,
        /// What was reached.
        reached: u64,
        /// The bound.
        most: u64,
    },
    /// The target can't be used.
    #[error(transparent)]
    Target(#[from] TomlError),
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file does not hold what it should.
    #[error("{path}: {source}")]
    Json {
        /// Which.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// The gateway's configuration does not hold.
    #[error("configuration: {0}")]
    Config(#[from] wrenhatch::config::ConfigError),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] workload_manager::SettingsError),
    /// The gateway or a stand-in did not do what was waited for.
    #[error("{0}")]
    Peer(String),
    /// The page is not what the tool makes of its inputs.
    #[error("{0} differs from what its inputs give: run `wrenhatch-lab capacity page`")]
    Stale(PathBuf),
    /// A size that can't be played.
    #[error("size {size} is not within 1 and {most}")]
    Size {
        /// The size.
        size: usize,
        /// The most.
        most: usize,
    },
    /// No run gave figures that can be used.
    #[error("unusable: no play of {experiment} gave figures: {}", .why.join("; "))]
    Unusable {
        /// Of which experiment.
        experiment: Experiment,
        /// Why, for each run.
        why: Vec<String>,
    },
    /// The system refuses.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl CapacityError {
    /// A file could not be read or written.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::File { path: path.to_owned(), source }
    }

    /// A file does not hold what it should.
    pub fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> Self + '_ {
        move |source| Self::Json { path: path.to_owned(), source }
    }
}
