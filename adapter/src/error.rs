//! Errors of the adapter. A line that is not accepted ends the program.

use std::io;

use workload_manager::SettingsError;

/// Why an event of a line was not accepted. `event` is its position in the line, from 0.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The line is not JSON of the simulator's form.
    #[error("not a batch of the wire: {0}")]
    NotTheWire(#[from] serde_json::Error),
    /// An event for an instance that was not started, or has stopped.
    #[error("event {event}: no gateway {who} has been started")]
    UnknownGateway {
        /// Position of the event.
        event: usize,
        /// Name of the instance.
        who: String,
    },
    /// A request of a class that the settings do not have.
    #[error("event {event}: unknown class {class}")]
    UnknownClass {
        /// Position of the event.
        event: usize,
        /// Name of the class.
        class: String,
    },
    /// A number that the wire gives no meaning.
    #[error("event {event}: unknown {what} {value}")]
    UnknownNumber {
        /// Position of the event.
        event: usize,
        /// What the number stands for.
        what: &'static str,
        /// The number.
        value: u32,
    },
    /// Settings that no instance can act on.
    #[error("event {event}: settings of {who}: {source}")]
    Settings {
        /// Position of the event.
        event: usize,
        /// Name of the instance.
        who: String,
        /// What is wrong with them.
        source: SettingsError,
    },
}

/// Why the program ends. `line` is counted from 1.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Input can't be read, or output not be written.
    #[error("line {line}: {source}")]
    Io {
        /// The line at which it happened.
        line: usize,
        /// Why.
        source: io::Error,
    },
    /// A reply can't be written as JSON.
    #[error("line {line}: {source}")]
    Reply {
        /// The line that was replied to.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A line was not accepted.
    #[error("line {line}: {source}")]
    Line {
        /// Which line.
        line: usize,
        /// Why.
        source: HostError,
    },
}
