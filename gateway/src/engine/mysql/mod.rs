//! The client side of the MySQL protocol, over one connection to an engine.
//!
//! A [`Session`] authenticates, then executes one [`Statement`] at a time: [`Session::start`] writes the first command,
//! and [`Session::read`] parses the engine's packets into [`Event`]s. A statement with parameters is prepared on the
//! connection first and executed by [`Session::execute`] after [`Event::Prepared`], so that the attempt can still be
//! cancelled in between.

use std::collections::BTreeMap;

use crate::mysql_protocol::{
    ERR_HEADER, PacketError, Parameter, ResultSet, SqlError, capabilities, read_packet,
};

mod commands;
mod handshake;
mod responses;

/// Capability flags that the gateway sets if the engine has set them.
const WANTED_CAPABILITIES: u32 = capabilities::BASE
    | capabilities::CLIENT_PLUGIN_AUTH
    | capabilities::CLIENT_DEPRECATE_EOF
    | capabilities::CLIENT_QUERY_ATTRIBUTES;

/// The gateway's account on MySQL engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// From `[mysql.login]` in the operator's file.
    pub user: String,
    /// From `[mysql.login]` in the operator's file. Empty if the account has no password.
    pub password: String,
}

/// A statement to be executed over a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// SQL text and query attributes, for COM_QUERY.
    Query(Vec<u8>, Vec<Parameter>),
    /// SQL text, parameters and query attributes, for COM_STMT_PREPARE and COM_STMT_EXECUTE.
    Execute(Vec<u8>, Vec<Parameter>, Vec<Parameter>),
}

/// The effect of one or more packets from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection is authenticated and ready for a statement.
    Ready,
    /// The statement is prepared on this connection. [`Session::execute`] executes it.
    Prepared,
    /// The statement was executed, or failed with a statement error (see [`SqlError::is_statement_error`]).
    Completed(ResultSet),
    /// The engine rejected the connection. No statement was executed.
    ConnectionRejected(SqlError),
    /// The statement failed with an error that another engine might not report.
    Failed(SqlError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for HandshakeV10.
    AwaitingHandshake,
    /// HandshakeResponse41 was written.
    Authenticating,
    /// Ready for a statement.
    Idle,
    /// COM_STMT_PREPARE was written.
    Preparing,
    /// Reading the definitions after COM_STMT_PREPARE_OK. Holds the number of remaining packets.
    PreparedDefinitions(usize),
    /// The statement is prepared but not yet executed.
    Prepared,
    /// COM_QUERY or COM_STMT_EXECUTE was written.
    Running,
    /// Reading column definitions. Holds the number of remaining ones.
    ColumnDefinitions(usize),
    /// Waiting for the EOF packet after the column definitions.
    ColumnsEof,
    /// Reading rows.
    Rows,
}

/// A statement prepared on this connection.
#[derive(Clone, Copy, Debug)]
struct PreparedStatement {
    statement_id: u32,
    /// Value of the session's `executions` at the latest execution of this statement, or at its preparation.
    last_use: u64,
}

/// The protocol state of one connection to an engine.
pub struct Session {
    state: State,
    login: Login,
    /// Capability flags set by both engine and gateway.
    capabilities: u32,
    /// Assigned by the engine. Argument of KILL. 0 until the engine's handshake was read.
    pub connection_id: u32,
    sequence: u8,
    /// Statements prepared on this connection, by SQL text.
    prepared: BTreeMap<Vec<u8>, PreparedStatement>,
    executions: u64,
    statement: Option<Statement>,
    columns: Vec<Vec<u8>>,
    rows: Vec<Vec<u8>>,
    result_bytes: usize,
    /// The command that executes the statement was written.
    execute_written: bool,
}

impl Session {
    /// Creates a session for a new connection, which waits for the engine's handshake.
    pub fn new(login: Login) -> Self {
        Self {
            state: State::AwaitingHandshake,
            login,
            capabilities: 0,
            connection_id: 0,
            sequence: 0,
            prepared: BTreeMap::new(),
            executions: 0,
            statement: None,
            columns: Vec::new(),
            rows: Vec::new(),
            result_bytes: 0,
            execute_written: false,
        }
    }

    /// Whether the connection is ready for a statement.
    pub fn is_ready(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether the session is in the connection phase.
    pub fn is_authenticating(&self) -> bool {
        matches!(self.state, State::AwaitingHandshake | State::Authenticating)
    }

    /// Whether the engine may have executed the statement. False until the command that executes it is written.
    pub fn may_have_run(&self) -> bool {
        self.execute_written
    }

    /// The engine's id of the prepared statement that is being executed. `None` if the statement is SQL text, or is
    /// not prepared yet.
    pub fn executed_statement_id(&self) -> Option<u32> {
        let Some(Statement::Execute(sql, ..)) = &self.statement else { return None };
        self.prepared.get(sql).map(|prepared| prepared.statement_id)
    }

    /// Whether this statement is prepared on the connection.
    pub fn has_prepared(&self, sql: &[u8]) -> bool {
        self.prepared.contains_key(sql)
    }

    /// Reads packets from `input` until an event occurs, and writes any immediate responses to `out`.
    ///
    /// # Errors
    /// The input violates the protocol, or a result is too large. The connection must be closed.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        while let Some((sequence, payload)) = read_packet(input)? {
            self.sequence = sequence.wrapping_add(1);
            if let Some(event) = self.handle_payload(payload, out)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn handle_payload(&mut self, payload: Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        let header = *payload.first().ok_or(PacketError::Malformed)?;
        if header == ERR_HEADER && !matches!(self.state, State::ColumnDefinitions(_)) {
            return Ok(self.error(SqlError::read(&payload)?, out));
        }
        match self.state {
            State::AwaitingHandshake => self.handshake(&payload, out).map(|()| None),
            State::Authenticating => self.authentication_response(&payload, out),
            // No packet is expected.
            State::Idle | State::Prepared => Err(PacketError::Malformed),
            State::Preparing => self.prepare_response(&payload),
            State::PreparedDefinitions(remaining) => Ok(self.prepared_definitions_remaining(remaining - 1)),
            State::Running | State::ColumnDefinitions(_) | State::ColumnsEof | State::Rows => {
                self.result_packet(header, payload)
            }
        }
    }

    fn has_capability(&self, capability: u32) -> bool {
        self.capabilities & capability != 0
    }
}

#[cfg(test)]
mod tests;
