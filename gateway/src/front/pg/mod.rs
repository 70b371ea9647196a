//! The server side of the PostgreSQL protocol, version 3.0, with the simple query protocol only. Messages and states
//! have the names of the PostgreSQL documentation.
//!
//! [`Session::read`] parses one message at a time and writes the responses that need no decision.
//! [`Session::answer`] writes the response to the open request. No message is read while a request is open.

use super::{
    ClientCommand, ClientRequest, DisconnectReason, ExecutionMode, FinalAnswer, QueryResult, fields,
};

mod messages;
mod startup;

use messages::{EMPTY_QUERY_RESPONSE, FrontendMessage, be32, ready_for_query, sqlstate, write_message};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for a StartupMessage, SSLRequest, GSSENCRequest or CancelRequest.
    StartUp,
    /// Ready for a query.
    Ready,
    /// A request is open. Further messages stay in the input buffer.
    Busy,
    /// After an error in the extended query protocol. Messages are discarded until Sync.
    SkippingToSync,
    Closed,
}

/// Cancellation key: sent to the client in BackendKeyData and expected in its CancelRequest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendKey {
    /// Identifies the session. It is not the ID of an operating system process.
    pub process_id: u32,
    /// Must match for a CancelRequest to take effect.
    pub secret: u32,
}

/// The protocol state of one client connection.
pub struct Session {
    state: State,
    key: BackendKey,
    /// False for an INSERT. Selects the command tag of CommandComplete.
    returns_rows: bool,
    /// Limit of a message's length field, in bytes. A longer message closes the session.
    max_message_bytes: usize,
}

impl Session {
    /// Creates a session that waits for its start-up packet.
    pub fn new(key: BackendKey, max_message_bytes: usize) -> Self {
        Self { state: State::StartUp, key, returns_rows: true, max_message_bytes }
    }

    /// Restores an idle session from its cancellation key.
    pub fn resume(key: BackendKey, max_message_bytes: usize) -> Self {
        Self { state: State::Ready, ..Self::new(key, max_message_bytes) }
    }

    /// Closes the session with an error. If a retry is safe, the SQLSTATE is of class 53 or is
    /// `cannot_connect_now`.
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

    /// Whether the session is in the start-up phase.
    pub fn is_starting(&self) -> bool {
        self.state == State::StartUp
    }

    /// Whether the session waits for the next query. False while messages are discarded until Sync. An idle session can
    /// be restored from its key alone.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready
    }

    /// Whether a request is open.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Reads one message from `input` and writes any immediate response to `out`. Returns `None` if the message is
    /// incomplete, a request is open, or the session is closed.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        match self.state {
            State::Closed | State::Busy => None,
            State::StartUp => self.read_startup_packet(input, out),
            State::Ready | State::SkippingToSync => self.read_message(input, out),
        }
    }

    fn read_message(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        let [message_type, length @ ..] = input.get(..5)? else { return None };
        let (message_type, length) = (*message_type, be32(length) as usize);
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
        Some(self.handle_message(message_type, &body, out))
    }

    fn handle_message(&mut self, message_type: u8, body: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        match FrontendMessage::from_type(message_type) {
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
                ClientCommand::Request(ClientRequest { fields, statement, mode: ExecutionMode::Simple })
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

    /// Answers the open request with a syntax error, for fields that the session itself can't validate.
    pub fn answer_invalid(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.invalid(text, out);
    }

    /// Writes the response to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        debug_assert!(self.is_busy(), "no request is open");
        self.state = State::Ready;
        let mut error = |sqlstate, text: &str| messages::error_response(out, "ERROR", sqlstate, text);
        match answer {
            FinalAnswer::Served(QueryResult::Text(rows)) => messages::result(rows, self.returns_rows, out),
            FinalAnswer::Served(QueryResult::MySql(_)) => {
                error(sqlstate::INTERNAL_ERROR, "the result has another form");
            }
            // Clients treat errors of SQLSTATE class 53 (insufficient resources) as safe to retry.
            FinalAnswer::Rejected(None) => error(sqlstate::INSUFFICIENT_RESOURCES, "refused"),
            FinalAnswer::Rejected(Some(ms)) => {
                error(sqlstate::INSUFFICIENT_RESOURCES, &format!("refused, w={ms}"));
            }
            FinalAnswer::Cancelled => error(sqlstate::QUERY_CANCELED, "cancelled at the client's word"),
            FinalAnswer::Failed(text) => error(sqlstate::SYSTEM_ERROR, text),
        }
        ready_for_query(out);
    }
}

const ONLY_SIMPLE_QUERIES: &str = "only simple queries are spoken here";

#[cfg(test)]
mod tests;
