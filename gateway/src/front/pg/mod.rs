//! The PostgreSQL protocol, version 3.0, with simple queries: a client session without I/O. Names are those of the
//! protocol's documentation.
//!
//! A [`Session`] reads one message at a time and writes what needs no decision; the final answer to a request is
//! written by [`Session::answer`]. While a request is open, no further message is read.

use super::{ClientCommand, ClientRequest, DisconnectReason, ExecutionMode, FinalAnswer, Payload, fields};

mod messages;
mod startup;

use messages::{EMPTY_QUERY_RESPONSE, FrontendMessage, be32, ready_for_query, sqlstate, write_message};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The start-up packet is awaited.
    StartUp,
    /// Ready for a query.
    Ready,
    /// A request is open; what comes behind it waits.
    Busy,
    /// After an error in the extended query protocol, up to its Sync.
    SkippingToSync,
    Closed,
}

/// What BackendKeyData tells a client, and its CancelRequest has to carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendKey {
    /// The session's id.
    pub process_id: u32,
    /// The session's secret key.
    pub secret: u32,
}

/// One session.
pub struct Session {
    state: State,
    key: BackendKey,
    /// The open statement is no INSERT: what its CommandComplete says.
    returns_rows: bool,
    /// The longest message taken, in bytes; a longer one ends the session.
    max_message_bytes: usize,
}

impl Session {
    /// A session that a client has just opened; `key` is what its CancelRequest will carry.
    pub fn new(key: BackendKey, max_message_bytes: usize) -> Self {
        Self { state: State::StartUp, key, returns_rows: true, max_message_bytes }
    }

    /// Continues a session that was idle.
    pub fn resume(key: BackendKey, max_message_bytes: usize) -> Self {
        Self { state: State::Ready, ..Self::new(key, max_message_bytes) }
    }

    /// Ends the session with an error. Where a retry is safe, the SQLSTATE is of class 53 or says so.
    pub fn disconnect(&mut self, reason: DisconnectReason, out: &mut Vec<u8>) {
        let (sqlstate, text) = match reason {
            DisconnectReason::TooManyConnections => (sqlstate::TOO_MANY_CONNECTIONS, "too many connections"),
            DisconnectReason::Timeout => (sqlstate::QUERY_CANCELED, "the message was not ended in time"),
            DisconnectReason::InputOverrun => {
                (sqlstate::PROGRAM_LIMIT_EXCEEDED, "too much was sent behind a request that was open")
            }
            DisconnectReason::OutOfMemory => (sqlstate::OUT_OF_MEMORY, "out of memory for this connection"),
            DisconnectReason::ShuttingDown => (sqlstate::CANNOT_CONNECT_NOW, "the gateway is shutting down"),
        };
        self.fatal(out, sqlstate, text);
    }

    /// Whether its client has yet to start it.
    pub fn is_starting(&self) -> bool {
        self.state == State::StartUp
    }

    /// Whether it is idle, so that nothing but its key must be kept.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether a request is open here.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Reads one message from `input`, writes to `out` what needs no decision. `None`: more must come, or the open
    /// request must end, first.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        match self.state {
            State::Closed | State::Busy => None,
            State::StartUp => self.read_startup_packet(input, out),
            State::Ready | State::SkippingToSync => self.read_message(input, out),
        }
    }

    fn read_message(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        let [kind, length @ ..] = input.get(..5)? else { return None };
        let (kind, length) = (*kind, be32(length) as usize);
        if length < 4 {
            return Some(self.fatal(out, sqlstate::PROTOCOL_VIOLATION, "invalid message length"));
        }
        if length > self.max_message_bytes {
            return Some(self.fatal(out, sqlstate::PROGRAM_LIMIT_EXCEEDED, "message too long"));
        }
        if input.len() < length + 1 {
            return None;
        }
        let body: Vec<u8> = input.drain(..=length).skip(5).collect();
        Some(self.message(kind, &body, out))
    }

    fn message(&mut self, kind: u8, body: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        match FrontendMessage::of(kind) {
            FrontendMessage::Terminate => {
                self.state = State::Closed;
                ClientCommand::Close
            }
            FrontendMessage::Sync => {
                ready_for_query(out);
                self.state = State::Ready;
                ClientCommand::Handled
            }
            _ if self.state == State::SkippingToSync => ClientCommand::Handled,
            FrontendMessage::Query => self.query(body, out),
            FrontendMessage::ExtendedQuery => {
                messages::error_response(out, "ERROR", sqlstate::FEATURE_NOT_SUPPORTED, ONLY_SIMPLE_QUERIES);
                self.state = State::SkippingToSync;
                ClientCommand::Invalid
            }
            FrontendMessage::FunctionCall => {
                messages::error_response(out, "ERROR", sqlstate::FEATURE_NOT_SUPPORTED, ONLY_SIMPLE_QUERIES);
                ready_for_query(out);
                ClientCommand::Invalid
            }
            FrontendMessage::FlushOrCopy => ClientCommand::Handled,
            FrontendMessage::Unknown => self.fatal(out, sqlstate::PROTOCOL_VIOLATION, "unknown message"),
        }
    }

    fn query(&mut self, body: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        let Some((0, text)) = body.split_last().filter(|(_, text)| !text.contains(&0)) else {
            let text = "the query is not one terminated text";
            return self.fatal(out, sqlstate::PROTOCOL_VIOLATION, text);
        };
        if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            write_message(out, EMPTY_QUERY_RESPONSE, |_| {});
            ready_for_query(out);
            return ClientCommand::Handled;
        }
        match fields::split(text) {
            Ok((fields, _)) if fields.id.is_none() => self.invalid("the id (i) is missing", out),
            Ok((fields, _)) if fields.wait_ms.is_none() => self.invalid("the wait (d) is missing", out),
            Ok((fields, statement)) => {
                self.state = State::Busy;
                self.returns_rows = !statement.get(..6).is_some_and(|v| v.eq_ignore_ascii_case(b"insert"));
                let statement = statement.to_vec();
                ClientCommand::Request(ClientRequest { fields, statement, run: ExecutionMode::Simple })
            }
            Err(error) => self.invalid(&error.to_string(), out),
        }
    }

    fn invalid(&mut self, text: &str, out: &mut Vec<u8>) -> ClientCommand {
        messages::error_response(out, "ERROR", sqlstate::SYNTAX_ERROR, text);
        ready_for_query(out);
        ClientCommand::Invalid
    }

    fn fatal(&mut self, out: &mut Vec<u8>, sqlstate: &str, text: &str) -> ClientCommand {
        messages::error_response(out, "FATAL", sqlstate, text);
        self.state = State::Closed;
        ClientCommand::Close
    }

    /// Answers the open request as invalid, for fields that only the settings can check.
    pub fn answer_invalid(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.invalid(text, out);
    }

    /// Writes the final answer to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        debug_assert!(self.is_busy(), "an answer without a request");
        self.state = State::Ready;
        let mut error = |sqlstate, text: &str| messages::error_response(out, "ERROR", sqlstate, text);
        match answer {
            FinalAnswer::Served(Payload::Text(rows)) => messages::result(rows, self.returns_rows, out),
            FinalAnswer::Served(Payload::MySql(_)) => {
                error(sqlstate::INTERNAL_ERROR, "the result has another form");
            }
            // SQLSTATE class 53 says that a retry is safe.
            FinalAnswer::Rejected(None) => error(sqlstate::INSUFFICIENT_RESOURCES, "refused"),
            FinalAnswer::Rejected(Some(ms)) => {
                error(sqlstate::INSUFFICIENT_RESOURCES, &format!("refused, w={ms}"));
            }
            FinalAnswer::Cancelled => error(sqlstate::QUERY_CANCELED, "cancelled at the client's word"),
            FinalAnswer::Failed(why) => error(sqlstate::SYSTEM_ERROR, why),
        }
        ready_for_query(out);
    }
}

const ONLY_SIMPLE_QUERIES: &str = "only simple queries are spoken here";

#[cfg(test)]
mod tests;
