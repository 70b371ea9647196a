//! Errors of the adapter. An invalid line ends the program.

use std::io;

use workload_manager::SettingsError;

/// Reason for rejecting a line. `event` is the index of the event in the line, from 0.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The line is not a batch of events in JSON.
    #[error("not a batch of events: {0}")]
    InvalidBatch(#[from] serde_json::Error),
    /// The event is for an instance that is not running.
    #[error("event {event}: no gateway {who} has been started")]
    UnknownGateway {
        event: usize,
        /// Name of the instance.
        who: String,
    },
    /// The settings have no class of the request's name.
    #[error("event {event}: unknown class {class}")]
    UnknownClass { event: usize, class: String },
    /// The wire protocol does not define the number, or no endpoint list is stored in the slot of this
    /// number.
    #[error("event {event}: unknown {what} {value}")]
    UnknownNumber {
        event: usize,
        /// Kind of number.
        what: &'static str,
        value: u32,
    },
    /// The settings of a new instance are invalid.
    #[error("event {event}: settings of {who}: {source}")]
    Settings {
        event: usize,
        /// Name of the instance.
        who: String,
        source: SettingsError,
    },
}

/// Reason for ending the program. `line` is counted from 1.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Input can't be read, or output can't be written.
    #[error("line {line}: {source}")]
    Io { line: usize, source: io::Error },
    /// A reply can't be encoded as JSON, or the encoded text can't be written.
    #[error("line {line}: {source}")]
    Reply { line: usize, source: serde_json::Error },
    /// A line is invalid.
    #[error("line {line}: {source}")]
    Line { line: usize, source: HostError },
}
