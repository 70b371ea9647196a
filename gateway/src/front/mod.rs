//! Fronts: what clients speak. Each is a state machine over bytes, without sockets or decisions.

pub mod fields;
pub mod mysql;
pub mod pg;

use crate::mysql_protocol::{Parameter, ResultSet};

/// Rows of text as an engine made them, whatever its wire; cells of one row after the other.
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

/// What an engine made for a request, in the form that the request's front speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Rows of text.
    Text(Rows),
    /// A MySQL result, packets as they came.
    MySql(ResultSet),
}

/// How a request ended, for a front to word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// All rows of the result.
    Served(&'a Payload),
    /// Refused: trying again is harmless, best after so many milliseconds.
    Rejected(Option<u64>),
    /// Failed, with no word on its effect.
    Failed(&'a str),
    /// Ended at the client's own word.
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

/// A request that a front has read.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its fields.
    pub fields: fields::Fields,
    /// The statement without the comment that held the fields.
    pub statement: Vec<u8>,
    /// How it is to be run.
    pub run: ExecutionMode,
}

/// How a statement is to be run.
#[derive(Clone, Debug, PartialEq)]
pub enum ExecutionMode {
    /// As text, by the engines' own protocol.
    Simple,
    /// As text, over MySQL.
    Query,
    /// Prepared, with these parameters, over MySQL.
    Execute(Vec<Parameter>),
}

/// What a client wants, once its bytes have been read.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// An answer to a request.
    Request(ClientRequest),
    /// Word whether the settings know what these fields name.
    Prepare(fields::Fields),
    /// The end of another session's request.
    Cancel {
        /// The session's number.
        session: u32,
        /// Its secret.
        secret: u32,
    },
    /// Nothing more: its message was answered here, or needed no answer.
    Handled,
    /// Nothing more: its message was answered with an error here.
    Invalid,
    /// The end of this session, once all that was written is out.
    Close,
}
