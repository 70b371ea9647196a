//! The server side of the MySQL protocol, with text queries and prepared statements. Packets and commands have the
//! names of the MySQL documentation.
//!
//! [`Session::new`] writes the handshake. [`Session::read`] parses one packet at a time and writes the responses that
//! need no decision. [`Session::answer`] writes the response to the open request. No command is read while a request is
//! open.
//!
//! Prepared statements belong to the client's session, and the gateway assigns their ids ([`statement_ids`]). An engine
//! prepares a statement when it is first executed over one of its connections.

use std::rc::Rc;

use super::{ClientCommand, ClientRequest, DisconnectReason, ExecutionMode, FinalAnswer, QueryResult};
use crate::mysql_protocol::{
    PacketError, SqlError, capabilities, error_code, ok_payload, read_packet, write_packet,
};
use crate::tenants::Directory;

mod commands;
mod handshake;
mod prepared_statements;
mod responses;
pub mod statement_ids;

use prepared_statements::{PreparedStatement, PreparedStatements};

const OFFERED_CAPABILITIES: u32 = capabilities::BASE
    | capabilities::CLIENT_CONNECT_WITH_DB
    | capabilities::CLIENT_PLUGIN_AUTH
    | capabilities::CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    | capabilities::CLIENT_DEPRECATE_EOF
    | capabilities::CLIENT_QUERY_ATTRIBUTES;

const CHALLENGE_BYTES: usize = 20;
/// First of the visible ASCII characters, of which the challenge consists.
const FIRST_VISIBLE_ASCII: u8 = b'!';
const VISIBLE_ASCII_COUNT: u8 = 94;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// HandshakeV10 was written.
    AwaitingHandshakeResponse,
    /// An AuthSwitchRequest was written. Holds the user name.
    AwaitingAuthSwitchResponse(Vec<u8>),
    /// Ready for a command.
    Ready,
    /// A request is open, or the fields of a statement are being validated. Further packets stay in the input buffer.
    Busy,
    Closed,
}

/// The state kept for an idle session.
#[derive(Debug)]
pub struct SuspendedSession {
    capabilities: u32,
    tenant: Option<Rc<str>>,
    /// Boxed, as few sessions have prepared statements.
    statements: Option<Box<PreparedStatements>>,
}

impl SuspendedSession {
    /// Memory of the session's prepared statements, in bytes.
    pub fn statement_bytes(&self) -> usize {
        self.statements.as_ref().map_or(0, |s| s.bytes())
    }
}

/// The protocol state of one client connection.
pub struct Session {
    state: State,
    directory: Rc<Directory>,
    challenge: [u8; CHALLENGE_BYTES],
    /// Capability flags set by both client and gateway.
    capabilities: u32,
    tenant: Option<Rc<str>>,
    sequence: u8,
    statements: Option<Box<PreparedStatements>>,
    /// A statement whose class and tenant are being validated against the settings.
    pending: Option<PreparedStatement>,
}

impl Session {
    /// Creates a session for a new connection and writes the handshake.
    pub fn new(
        connection_id: u32,
        challenge: [u8; CHALLENGE_BYTES],
        directory: Rc<Directory>,
        out: &mut Vec<u8>,
    ) -> Self {
        let mut session = Self {
            state: State::AwaitingHandshakeResponse,
            directory,
            // The challenge must not contain a NUL, as it is sent NUL-terminated.
            challenge: challenge.map(|b| b % VISIBLE_ASCII_COUNT + FIRST_VISIBLE_ASCII),
            capabilities: 0,
            tenant: None,
            sequence: 0,
            statements: None,
            pending: None,
        };
        session.write_handshake(connection_id, out);
        session
    }

    /// Whether the session is between requests and can be suspended.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready && self.pending.is_none()
    }

    /// Reduces an idle session to the state from which it can be resumed.
    pub fn suspend(self) -> SuspendedSession {
        debug_assert!(self.is_idle());
        SuspendedSession { capabilities: self.capabilities, tenant: self.tenant, statements: self.statements }
    }

    /// Restores a suspended session.
    pub fn resume(suspended: SuspendedSession, directory: Rc<Directory>) -> Self {
        let SuspendedSession { capabilities, tenant, statements } = suspended;
        Self {
            state: State::Ready,
            directory,
            // Authentication is complete, and each command carries its own sequence number.
            challenge: [0; CHALLENGE_BYTES],
            capabilities,
            tenant,
            sequence: 0,
            statements,
            pending: None,
        }
    }

    /// Closes the session with an error.
    pub fn disconnect(&mut self, reason: DisconnectReason, out: &mut Vec<u8>) {
        if reason == DisconnectReason::TooManyConnections {
            // The ERR packet replaces the handshake.
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

    /// Whether the session is in the connection phase.
    pub fn is_starting(&self) -> bool {
        matches!(self.state, State::AwaitingHandshakeResponse | State::AwaitingAuthSwitchResponse(_))
    }

    /// Reads one packet from `input` and writes any immediate response to `out`. Returns `None` if the packet is
    /// incomplete, a request is open, the fields of a statement are being validated, or the session is closed.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        if matches!(self.state, State::Busy | State::Closed) {
            return None;
        }
        let (sequence, payload) = match read_packet(input) {
            Ok(packet) => packet?,
            Err(error) => return Some(self.packet_error(error, out)),
        };
        self.sequence = sequence.wrapping_add(1);
        Some(self.handle_payload(&payload, out).unwrap_or_else(|error| self.packet_error(error, out)))
    }

    fn handle_payload(&mut self, payload: &[u8], out: &mut Vec<u8>) -> Result<ClientCommand, PacketError> {
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
        self.pending = None;
        ClientCommand::Close
    }

    fn invalid(&mut self, code: u16, sqlstate: &str, message: &str, out: &mut Vec<u8>) -> ClientCommand {
        self.write_error(&SqlError::new(code, sqlstate, message), out);
        ClientCommand::Invalid
    }

    fn has_capability(&self, capability: u32) -> bool {
        self.capabilities & capability != 0
    }

    /// Answers the open request or COM_STMT_PREPARE with an error, for fields that the session itself can't validate.
    pub fn answer_invalid(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.pending = None;
        self.invalid(error_code::ER_WRONG_ARGUMENTS, "HY000", text, out);
    }
}

#[cfg(test)]
mod tests;
