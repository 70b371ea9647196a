//! Front ends: the server side of the PostgreSQL ([`pg`]) and MySQL ([`mysql`]) protocols, as state machines over byte
//! buffers. They perform no I/O and make no admission or routing decisions.
//!
//! A session parses its client's messages into [`ClientCommand`]s and writes the responses that need no decision. Each
//! [`ClientCommand::Request`] must be answered exactly once, by a [`FinalAnswer`] or as invalid, unless the session
//! ends first.

pub mod fields;
pub mod mysql;
pub mod pg;
pub mod table_group;

use crate::mysql_protocol::{Parameter, ResultSet};

/// A result set in text format, independent of the engine's protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Column names. Every row has as many cells as there are names.
    pub columns: Vec<String>,
    /// Cells in row-major order. `None` is NULL.
    pub cells: Vec<Option<Vec<u8>>>,
}

impl Rows {
    /// Iterates over the rows as slices of cells.
    pub fn rows(&self) -> impl Iterator<Item = &[Option<Vec<u8>>]> {
        self.cells.chunks(self.columns.len().max(1))
    }
}

/// The result of a request, in the format of the front end that received the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// For the PostgreSQL front end.
    Text(Rows),
    /// For the MySQL front end: the engine's packets, unchanged.
    MySql(ResultSet),
}

/// The outcome of a request, which a front end encodes for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// The complete result, or an error of the statement itself from a MySQL engine.
    Served(&'a QueryResult),
    /// A retry is safe. Holds the Retry-After in milliseconds, if there is one.
    Rejected(Option<u64>),
    /// The request may or may not have been executed. Holds the error message for the client.
    Failed(&'a str),
    /// Cancelled by the client.
    Cancelled,
}

impl FinalAnswer<'_> {
    /// Value of the log field `outcome`.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected(_) => "rejected",
            FinalAnswer::Failed(_) => "failed",
            FinalAnswer::Cancelled => "cancelled",
        }
    }
}

/// Reason for which the gateway closes a session. The client receives a corresponding error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The session limit is reached. A retry is safe.
    TooManyConnections,
    /// The client did not complete the start-up phase or a message in time.
    Timeout,
    /// The client sent more data than is buffered while its request is open.
    InputOverrun,
    /// The memory budget has no bytes left for the session. A retry is safe.
    OutOfMemory,
    /// The gateway is shutting down. A retry is safe.
    ShuttingDown,
}

/// A request parsed by a front end.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Fields from the comment before the statement and from query attributes.
    pub fields: fields::RequestFields,
    /// SQL text without the comment that contained the fields.
    pub statement: Vec<u8>,
    /// Determines the engine protocol and the command that executes the statement.
    pub mode: ExecutionMode,
}

/// The way in which an engine executes a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutionMode {
    /// As SQL text, over the engines' HTTP protocol.
    Simple,
    /// As SQL text, by COM_QUERY over MySQL.
    Query,
    /// As a prepared statement, by COM_STMT_EXECUTE over MySQL.
    Execute {
        /// Id by which the client refers to the statement.
        statement_id: u32,
        /// Values of the statement's placeholders.
        parameters: Vec<Parameter>,
    },
}

/// The action that a client's message requires of the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Submit this request for admission. The session expects one call of `answer` or `answer_invalid`.
    Request(ClientRequest),
    /// Check against the settings the class and tenant of a statement that is being prepared. The MySQL session expects
    /// one call of `complete_prepare`, `answer_invalid` or `fail_prepare`.
    Prepare(fields::RequestFields),
    /// Cancel the open request of another session.
    Cancel {
        /// Process ID from the BackendKeyData message of that session.
        session: u32,
        /// Secret key from the same message.
        secret: u32,
    },
    /// No action: the message was answered, or needs no answer.
    Handled,
    /// No action: the message was answered with an error.
    Invalid,
    /// Close this session after its output has been sent.
    Close,
}
