//! The MySQL protocol with prepared statements: a client session without I/O. Names are those of the protocol's
//! documentation.
//!
//! A [`Session`] greets its client, then reads one command at a time and writes what needs no decision; the final
//! answer to a request is written by [`Session::answer`]. While a request is open, no further command is read.
//!
//! A prepared statement is kept with its client's session: its id is this gateway's own and no engine's. Engines
//! prepare it when it is first executed over one of their connections.

use std::cell::Cell;
use std::rc::Rc;

use super::{ClientCommand, ClientRequest, DisconnectReason, ExecutionMode, FinalAnswer, Payload};
use crate::mysql_protocol::{
    PacketError, SqlError, capabilities, error_code, ok_payload, read_packet, write_packet,
};
use crate::tenants::Directory;

mod commands;
mod handshake;
mod prepared_statements;
mod responses;

use prepared_statements::{PreparedStatement, PreparedStatements};

const OFFERED_CAPABILITIES: u32 = capabilities::BASE
    | capabilities::CLIENT_CONNECT_WITH_DB
    | capabilities::CLIENT_PLUGIN_AUTH
    | capabilities::CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    | capabilities::CLIENT_DEPRECATE_EOF
    | capabilities::CLIENT_QUERY_ATTRIBUTES;

const CHALLENGE_BYTES: usize = 20;
/// The bytes of the challenge are printable ASCII characters without the space: this one and those behind it.
const FIRST_PRINTABLE: u8 = b'!';
const PRINTABLE_CHARACTERS: u8 = 94;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The handshake is written.
    AwaitingHandshakeResponse,
    /// An AuthSwitchRequest is written to this user.
    AwaitingAuthSwitchResponse(Vec<u8>),
    /// Ready for a command.
    Ready,
    /// A request is open, or the settings check a statement; what comes behind it waits.
    Busy,
    Closed,
}

/// An idle session after authentication: all that must be kept of it.
#[derive(Debug)]
pub struct SuspendedSession {
    capabilities: u32,
    tenant: Option<Rc<str>>,
    /// Boxed, as few sessions have any.
    statements: Option<Box<PreparedStatements>>,
}

impl SuspendedSession {
    /// Bytes that its prepared statements take.
    pub fn statement_bytes(&self) -> usize {
        self.statements.as_ref().map_or(0, |s| s.bytes())
    }
}

/// One session.
pub struct Session {
    state: State,
    directory: Rc<Directory>,
    challenge: [u8; CHALLENGE_BYTES],
    /// Capabilities that both sides have.
    capabilities: u32,
    tenant: Option<Rc<str>>,
    sequence: u8,
    statements: Option<Box<PreparedStatements>>,
    /// The next statement id, of all sessions: one that outlives its session names nothing in another.
    statement_ids: Rc<Cell<u32>>,
    /// A statement whose class and tenant the settings have yet to check.
    pending: Option<PreparedStatement>,
}

impl Session {
    /// Greets a client that has just connected.
    pub fn new(
        connection_id: u32,
        challenge: [u8; CHALLENGE_BYTES],
        directory: Rc<Directory>,
        statement_ids: Rc<Cell<u32>>,
        out: &mut Vec<u8>,
    ) -> Self {
        let mut session = Self {
            state: State::AwaitingHandshakeResponse,
            directory,
            // A NUL would end the challenge early.
            challenge: challenge.map(|b| b % PRINTABLE_CHARACTERS + FIRST_PRINTABLE),
            capabilities: 0,
            tenant: None,
            sequence: 0,
            statements: None,
            statement_ids,
            pending: None,
        };
        session.write_handshake(connection_id, out);
        session
    }

    /// Whether it is idle, so that it can be suspended.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready && self.pending.is_none()
    }

    /// What must be kept of it while it is idle.
    pub fn suspend(self) -> SuspendedSession {
        debug_assert!(self.is_idle());
        SuspendedSession { capabilities: self.capabilities, tenant: self.tenant, statements: self.statements }
    }

    /// Continues a session that was idle.
    pub fn resume(
        suspended: SuspendedSession,
        directory: Rc<Directory>,
        statement_ids: Rc<Cell<u32>>,
    ) -> Self {
        let SuspendedSession { capabilities, tenant, statements } = suspended;
        Self {
            state: State::Ready,
            directory,
            // It was authenticated, and each command brings its own sequence number.
            challenge: [0; CHALLENGE_BYTES],
            capabilities,
            tenant,
            sequence: 0,
            statements,
            statement_ids,
            pending: None,
        }
    }

    /// Ends the session with an error.
    pub fn disconnect(&mut self, reason: DisconnectReason, out: &mut Vec<u8>) {
        if reason == DisconnectReason::TooManyConnections {
            // The error stands in place of the handshake.
            out.clear();
            self.sequence = 0;
        }
        let (code, sqlstate, message) = match reason {
            DisconnectReason::TooManyConnections => {
                (error_code::ER_CON_COUNT_ERROR, "08004", "Too many connections")
            }
            DisconnectReason::Timeout => {
                (error_code::ER_NET_READ_INTERRUPTED, "08S01", "Got timeout reading communication packets")
            }
            DisconnectReason::InputOverrun => {
                let message = "Got too much behind a request that was open";
                (error_code::ER_NET_PACKET_TOO_LARGE, "08S01", message)
            }
            DisconnectReason::OutOfMemory => {
                (error_code::ER_OUT_OF_RESOURCES, "HY001", "Out of memory for this connection")
            }
            DisconnectReason::ShuttingDown => {
                (error_code::ER_SERVER_SHUTDOWN, "08S01", "Server shutdown in progress")
            }
        };
        self.fatal(code, sqlstate, message, out);
    }

    /// Whether its client has yet to authenticate.
    pub fn is_starting(&self) -> bool {
        matches!(self.state, State::AwaitingHandshakeResponse | State::AwaitingAuthSwitchResponse(_))
    }

    /// Reads one packet from `input`, writes to `out` what needs no decision. `None`: more must come, or the open
    /// request must end, first.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        if matches!(self.state, State::Busy | State::Closed) {
            return None;
        }
        let (sequence, payload) = match read_packet(input) {
            Ok(packet) => packet?,
            Err(error) => return Some(self.packet_error(error, out)),
        };
        self.sequence = sequence.wrapping_add(1);
        Some(self.payload(&payload, out).unwrap_or_else(|error| self.packet_error(error, out)))
    }

    fn payload(&mut self, payload: &[u8], out: &mut Vec<u8>) -> Result<ClientCommand, PacketError> {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::AwaitingHandshakeResponse => self.handshake_response(payload, out),
            State::AwaitingAuthSwitchResponse(user) => Ok(self.authenticate(&user, payload, out)),
            State::Ready | State::Busy | State::Closed => self.command(payload, out),
        }
    }

    fn packet_error(&mut self, error: PacketError, out: &mut Vec<u8>) -> ClientCommand {
        let code = match error {
            PacketError::TooLong => error_code::ER_NET_PACKET_TOO_LARGE,
            PacketError::Malformed => error_code::ER_MALFORMED_PACKET,
        };
        self.fatal(code, "08S01", &error.to_string(), out)
    }

    fn fatal(&mut self, code: u16, sqlstate: &str, message: &str, out: &mut Vec<u8>) -> ClientCommand {
        self.write_error(&SqlError::new(code, sqlstate, message), out);
        self.state = State::Closed;
        ClientCommand::Close
    }

    fn invalid(&mut self, code: u16, sqlstate: &str, message: &str, out: &mut Vec<u8>) -> ClientCommand {
        self.write_error(&SqlError::new(code, sqlstate, message), out);
        ClientCommand::Invalid
    }

    fn has_capability(&self, capability: u32) -> bool {
        self.capabilities & capability != 0
    }

    /// Answers the open request, or the statement being prepared, as invalid, for fields that only the settings can check.
    pub fn answer_invalid(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.pending = None;
        self.invalid(error_code::ER_WRONG_ARGUMENTS, "HY000", text, out);
    }
}

#[cfg(test)]
mod tests;
