//! Errors of the `capacity` command.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use wrenhatch::config::TomlError;

use super::experiment::Experiment;

/// A limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// Resident memory of the measuring process and the gateway together, in MiB.
    Memory,
    /// Threads of the measuring process plus gateway processes.
    Processes,
    /// Time since the limits took effect, in seconds.
    Time,
}

impl fmt::Display for LimitKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LimitKind::Memory => "MB of memory",
            LimitKind::Processes => "processes and threads",
            LimitKind::Time => "seconds",
        })
    }
}

/// A failure of a measurement or of the page's generation.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A limit was exceeded, and the measurement was stopped.
    #[error("stopped: {used} {kind} exceed the limit of {limit}")]
    LimitExceeded {
        /// The exceeded limit.
        kind: LimitKind,
        /// Usage in the unit of the resource.
        used: u64,
        /// The limit in the unit of the resource.
        limit: u64,
    },
    /// The target file is invalid.
    #[error(transparent)]
    Target(#[from] TomlError),
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A file has invalid or unexpected JSON content.
    #[error("{path}: {source}")]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The gateway's configuration is invalid.
    #[error("configuration: {0}")]
    Config(#[from] wrenhatch::config::ConfigError),
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] workload_manager::SettingsError),
    /// The gateway or a mock peer failed or behaved unexpectedly.
    #[error("{0}")]
    Unexpected(String),
    /// The page differs from the one generated from its inputs.
    #[error("{0} is out of date: run `wrenhatch-lab capacity page`")]
    Stale(PathBuf),
    /// A size outside the supported range.
    #[error("size {size} is not between 1 and {max}")]
    Size {
        /// The requested size.
        size: usize,
        /// The largest supported size.
        max: usize,
    },
    /// No run of an experiment gave usable figures.
    #[error("no run of {experiment} gave usable figures: {}", .reasons.join("; "))]
    Unusable {
        /// The experiment without figures.
        experiment: Experiment,
        /// The reason for each run.
        reasons: Vec<String>,
    },
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl CapacityError {
    /// Returns a conversion that adds the path to an I/O error.
    pub fn file(path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| Self::File { path: path.to_owned(), source }
    }

    /// Returns a conversion that adds the path to a JSON error.
    pub fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> Self + '_ {
        move |source| Self::Json { path: path.to_owned(), source }
    }
}
