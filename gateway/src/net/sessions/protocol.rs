//! A session's protocol, whichever front end it belongs to: bytes in, commands out, answers as bytes.

use crate::front::{ClientCommand, DisconnectReason, FinalAnswer, mysql, pg};
use crate::mysql_protocol::{SqlError, write_packet};
use crate::net::listeners::FrontEnd;

/// The protocol state of an active session.
pub enum ProtocolSession {
    Pg(pg::Session),
    MySql(Box<mysql::Session>),
}

/// Calls a method that the sessions of both protocols have.
macro_rules! either {
    ($session:expr, $method:ident $(, $argument:expr)*) => {
        match $session {
            ProtocolSession::Pg(session) => session.$method($($argument),*),
            ProtocolSession::MySql(session) => session.$method($($argument),*),
        }
    };
}

impl ProtocolSession {
    /// Takes one message from the input; `None` where it is not complete.
    pub fn read(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Option<ClientCommand> {
        either!(self, read, input, output)
    }

    /// Whether the start-up is not complete.
    pub fn is_starting(&self) -> bool {
        either!(self, is_starting)
    }

    /// Whether nothing is under way and the session may be suspended.
    pub fn is_idle(&self) -> bool {
        either!(self, is_idle)
    }

    /// Ends the session with an error.
    pub fn disconnect(&mut self, reason: DisconnectReason, output: &mut Vec<u8>) {
        either!(self, disconnect, reason, output)
    }

    /// Answers a request or statement as invalid.
    pub fn answer_invalid(&mut self, text: &str, output: &mut Vec<u8>) {
        either!(self, answer_invalid, text, output)
    }

    /// Answers the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, output: &mut Vec<u8>) {
        either!(self, answer, answer, output)
    }

    /// Bytes that its prepared statements take.
    pub fn statement_bytes(&self) -> usize {
        match self {
            ProtocolSession::Pg(_) => 0,
            ProtocolSession::MySql(session) => session.statement_bytes(),
        }
    }
}

/// The error for a client that is closed without a session, as no descriptor is left for one.
pub fn too_many_clients(front: FrontEnd) -> Vec<u8> {
    let mut output = Vec::new();
    match front {
        FrontEnd::PostgreSql => pg::Session::new(pg::BackendKey::default(), 0)
            .disconnect(DisconnectReason::TooManyConnections, &mut output),
        FrontEnd::MySql => {
            write_packet(&mut output, &mut 0, &SqlError::new(1040, "08004", "Too many connections").payload())
        }
    }
    output
}
