//! Front ends: the protocols that clients speak, PostgreSQL ([`pg`]) and MySQL ([`mysql`]). Each is a state machine over
//! bytes, without I/O or decisions.
//!
//! A session turns what its client sends into [`ClientCommand`]s and writes what needs no decision. A
//! [`ClientCommand::Request`] is owed one [`FinalAnswer`].

pub mod fields;
pub mod mysql;
pub mod pg;
pub mod table_group;

use crate::mysql_protocol::{Parameter, ResultSet};

/// Rows of text as an engine made them, row by row, whatever its protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Names of the columns; their number holds for every row.
    pub columns: Vec<String>,
    /// The cells, row by row; `None` is NULL.
    pub cells: Vec<Option<Vec<u8>>>,
}

impl Rows {
    /// Rows, each a slice of cells.
    pub fn rows(&self) -> impl Iterator<Item = &[Option<Vec<u8>>]> {
        self.cells.chunks(self.columns.len().max(1))
    }
}

/// The result of a request, in the form that the request's front end speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Rows of text.
    Text(Rows),
    /// A MySQL result set, packets as they came.
    MySql(ResultSet),
}

/// How a request ended, for a front end to write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// All rows of the result.
    Served(&'a Payload),
    /// Rejected: a retry is safe, best after so many milliseconds.
    Rejected(Option<u64>),
    /// Failed: nothing is promised about the effect; with the message.
    Failed(&'a str),
    /// Cancelled by the client.
    Cancelled,
}

impl FinalAnswer<'_> {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected(_) => "rejected",
            FinalAnswer::Failed(_) => "failed",
            FinalAnswer::Cancelled => "cancelled",
        }
    }
}

/// Why the gateway ends a session; the client gets an error that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// There is no place for the session; a retry is safe.
    TooManyConnections,
    /// The session did not start, or a message that its client began did not end, in time.
    Timeout,
    /// The client sent too much behind an open request.
    InputOverrun,
    /// No memory is left for the session; a retry is safe.
    OutOfMemory,
    /// The gateway shuts down; a retry is safe.
    ShuttingDown,
}

/// A request that a front end has read.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its fields.
    pub fields: fields::RequestFields,
    /// The statement without the comment that held the fields.
    pub statement: Vec<u8>,
    /// How it is to be executed.
    pub run: ExecutionMode,
}

/// How a statement is to be executed.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutionMode {
    /// As text, over the engines' HTTP protocol.
    Simple,
    /// As text, over MySQL.
    Query,
    /// Prepared, with these parameters, over MySQL.
    Execute(Vec<Parameter>),
}

/// What a client's message requires of the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Admit this request; it is owed one [`FinalAnswer`].
    Request(ClientRequest),
    /// Check whether the settings know what these fields of a prepared statement name.
    Prepare(fields::RequestFields),
    /// Cancel another session's request.
    Cancel {
        /// The session's id, as its client got it at the start.
        session: u32,
        /// The session's secret.
        secret: u32,
    },
    /// Nothing more: the message was answered, or needs no answer.
    Handled,
    /// Nothing more: the message was answered with an error.
    Invalid,
    /// End this session, once its output is written.
    Close,
}
