//! A common interface to the client protocols: parses input into commands and encodes answers.

use crate::front::{ClientCommand, DisconnectReason, FinalAnswer, mysql, pg};
use crate::mysql_protocol::{SqlError, write_packet};
use crate::net::listeners::FrontEnd;

/// The protocol state of an active session.
pub enum ProtocolSession {
    Pg(pg::Session),
    MySql(Box<mysql::Session>),
}

/// Calls a method that the session types of both protocols have in common.
macro_rules! delegate {
    ($session:expr, $method:ident $(, $argument:expr)*) => {
        match $session {
            ProtocolSession::Pg(session) => session.$method($($argument),*),
            ProtocolSession::MySql(session) => session.$method($($argument),*),
        }
    };
}

impl ProtocolSession {
    /// Removes one message from the input and handles it. Returns `None` if the message is incomplete, a request is
    /// open, or the session is closed.
    pub fn read(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Option<ClientCommand> {
        delegate!(self, read, input, output)
    }

    /// Whether the start-up of the session is incomplete.
    pub fn is_starting(&self) -> bool {
        delegate!(self, is_starting)
    }

    /// Whether the session has no state of a start-up, statement or request in progress, so that it can be suspended.
    pub fn is_idle(&self) -> bool {
        delegate!(self, is_idle)
    }

    /// Writes the error that ends the session.
    pub fn disconnect(&mut self, reason: DisconnectReason, output: &mut Vec<u8>) {
        delegate!(self, disconnect, reason, output)
    }

    /// Writes the error for an invalid request or statement.
    pub fn answer_invalid(&mut self, text: &str, output: &mut Vec<u8>) {
        delegate!(self, answer_invalid, text, output)
    }

    /// Writes the final answer to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, output: &mut Vec<u8>) {
        delegate!(self, answer, answer, output)
    }

    /// Whether a statement is being prepared. Between two turns, it waits for an id.
    pub fn is_preparing(&self) -> bool {
        match self {
            ProtocolSession::Pg(_) => false,
            ProtocolSession::MySql(session) => session.is_preparing(),
        }
    }

    /// Size of the session's prepared statements in bytes.
    pub fn statement_bytes(&self) -> usize {
        match self {
            ProtocolSession::Pg(_) => 0,
            ProtocolSession::MySql(session) => session.statement_bytes(),
        }
    }
}

/// Encodes the error for a client that is closed without a session because no descriptor is left.
pub fn too_many_clients(front_end: FrontEnd) -> Vec<u8> {
    let mut output = Vec::new();
    match front_end {
        FrontEnd::PostgreSql => pg::Session::new(pg::BackendKey::default(), 0)
            .disconnect(DisconnectReason::TooManyConnections, &mut output),
        FrontEnd::MySql => {
            write_packet(&mut output, &mut 0, &SqlError::new(1040, "08004", "Too many connections").payload())
        }
    }
    output
}
