//! Errors of reading the configuration.

use workload_manager::SettingsError;

use super::toml_file::TomlError;
use crate::json::JsonError;

/// Error that prevents the gateway from starting or from applying new settings.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A document is not JSON, or a value in it is missing or invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An environment variable has an invalid value.
    #[error("{variable}: {expected} expected")]
    Variable {
        /// Name of the variable.
        variable: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The settings have no class or no gateway, or a value that is negative or not a finite number.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The operator's file can't be read or is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
}

/// Error of reading the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file at this path can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// The content is invalid.
    #[error(transparent)]
    Toml(#[from] TomlError),
}
