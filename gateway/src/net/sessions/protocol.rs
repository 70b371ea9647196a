//! A session's protocol, whichever front end it belongs to: bytes in, commands out, answers as bytes.

use crate::front::{ClientCommand, FinalAnswer, mysql, pg};
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

    /// Writes that there are too many clients.
    pub fn turn_away(&mut self, output: &mut Vec<u8>) {
        either!(self, turn_away, output)
    }

    /// Writes that a start-up or a message took too long.
    pub fn time_out(&mut self, output: &mut Vec<u8>) {
        either!(self, time_out, output)
    }

    /// Writes that memory is short.
    pub fn out_of_memory(&mut self, output: &mut Vec<u8>) {
        either!(self, out_of_memory, output)
    }

    /// Answers a request or statement as invalid.
    pub fn reject(&mut self, text: &str, output: &mut Vec<u8>) {
        either!(self, reject, text, output)
    }

    /// Writes that the client has sent too much behind its request.
    pub fn overrun(&mut self, output: &mut Vec<u8>) {
        either!(self, overrun, output)
    }

    /// Writes that the gateway ends.
    pub fn shut_down(&mut self, output: &mut Vec<u8>) {
        either!(self, shut_down, output)
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
        FrontEnd::PostgreSql => pg::Session::new((0, 0), 0).turn_away(&mut output),
        FrontEnd::MySql => {
            write_packet(&mut output, &mut 0, &SqlError::new(1040, "08004", "Too many connections").payload())
        }
    }
    output
}
