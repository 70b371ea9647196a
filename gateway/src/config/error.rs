//! Why the configuration can't be used.

use workload_manager::SettingsError;

use super::toml_file::TomlError;
use crate::json::JsonError;

/// Why the gateway can't start with its configuration, or can't take over new settings.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is not set.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A document is not JSON, or a value in it is missing or of another type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An environment variable has an unusable value.
    #[error("{variable}: {expected} expected")]
    Variable {
        /// The variable.
        variable: &'static str,
        /// What was expected.
        expected: &'static str,
    },
    /// The settings contradict each other or are out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
}

/// Why an operator's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// Its content is wrong.
    #[error(transparent)]
    Toml(#[from] TomlError),
}
