//! The MySQL protocol towards an engine: one connection, without I/O.
//!
//! A [`Session`] authenticates, then executes one [`Work`] at a time: [`Session::start`] writes its first command,
//! [`Session::read`] turns what the engine sends into [`Event`]s. A statement with parameters is prepared on the
//! connection first and executed by [`Session::execute`] after [`Event::Prepared`], so that its attempt can still be
//! called off in between.

use std::collections::BTreeMap;

use crate::mysql_protocol::{
    ERR_HEADER, PacketError, Parameter, ResultSet, SqlError, capabilities, read_packet,
};

mod commands;
mod handshake;
mod responses;

/// The capabilities that the gateway uses where an engine has them.
const WANTED_CAPABILITIES: u32 = capabilities::BASE
    | capabilities::CLIENT_PLUGIN_AUTH
    | capabilities::CLIENT_DEPRECATE_EOF
    | capabilities::CLIENT_QUERY_ATTRIBUTES;

/// The account of the gateway at its engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Login {
    /// User.
    pub user: String,
    /// Password.
    pub password: String,
}

/// What a connection is to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A statement as text, with query attributes.
    Query(Vec<u8>, Vec<Parameter>),
    /// A prepared statement with its parameters, and query attributes.
    Execute(Vec<u8>, Vec<Parameter>, Vec<Parameter>),
}

/// What the engine's packets mean.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection takes work.
    Ready,
    /// The statement of the work is prepared here; [`Session::execute`] executes it.
    Prepared,
    /// The work is done.
    Completed(ResultSet),
    /// The engine rejected the connection: nothing ran.
    ConnectionRejected(SqlError),
    /// The work ended in an error of the engine's.
    Failed(SqlError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The engine's handshake is awaited.
    AwaitingHandshake,
    /// The handshake response is written.
    Authenticating,
    /// Ready for work.
    Idle,
    /// COM_STMT_PREPARE is written.
    Preparing,
    /// So many packets of the response to COM_STMT_PREPARE are still to come.
    PreparedDefinitions(usize),
    /// The statement is prepared and not executed.
    Prepared,
    /// COM_QUERY or COM_STMT_EXECUTE is written.
    Running,
    /// So many column definitions are still to come.
    ColumnDefinitions(usize),
    /// The EOF packet behind the column definitions is still to come.
    ColumnsEof,
    /// Rows are coming.
    Rows,
}

/// A statement prepared on this connection.
#[derive(Clone, Copy, Debug)]
struct PreparedStatement {
    statement_id: u32,
    /// Which of the connection's executions was its last.
    last_use: u64,
}

/// One connection.
pub struct Session {
    state: State,
    login: Login,
    /// Capabilities that both sides have.
    capabilities: u32,
    /// The engine's id of this connection, for KILL.
    pub connection_id: u32,
    sequence: u8,
    /// By text of the statement.
    prepared: BTreeMap<Vec<u8>, PreparedStatement>,
    executions: u64,
    work: Option<Work>,
    columns: Vec<Vec<u8>>,
    rows: Vec<Vec<u8>>,
    result_bytes: usize,
    /// The command that executes the work has been written.
    executed: bool,
}

impl Session {
    /// A connection that awaits its engine's handshake.
    pub fn new(login: Login) -> Self {
        Self {
            state: State::AwaitingHandshake,
            login,
            capabilities: 0,
            connection_id: 0,
            sequence: 0,
            prepared: BTreeMap::new(),
            executions: 0,
            work: None,
            columns: Vec::new(),
            rows: Vec::new(),
            result_bytes: 0,
            executed: false,
        }
    }

    /// Whether work can be given to it.
    pub fn is_ready(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether its engine has yet to accept it.
    pub fn is_authenticating(&self) -> bool {
        matches!(self.state, State::AwaitingHandshake | State::Authenticating)
    }

    /// Whether the work may have run: false until the first byte that executes it was written.
    pub fn may_have_run(&self) -> bool {
        self.executed
    }

    /// Whether this statement is prepared here.
    pub fn has_prepared(&self, sql: &[u8]) -> bool {
        self.prepared.contains_key(sql)
    }

    /// Reads packets from `input` up to the next event, and writes what the engine is owed for them to `out`.
    ///
    /// # Errors
    /// What came is not the protocol; the connection is of no more use.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        while let Some((sequence, payload)) = read_packet(input)? {
            self.sequence = sequence.wrapping_add(1);
            if let Some(event) = self.payload(payload, out)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    fn payload(&mut self, payload: Vec<u8>, out: &mut Vec<u8>) -> Result<Option<Event>, PacketError> {
        let header = *payload.first().ok_or(PacketError::Malformed)?;
        if header == ERR_HEADER && !matches!(self.state, State::ColumnDefinitions(_)) {
            return Ok(self.error(SqlError::read(&payload)?, out));
        }
        match self.state {
            State::AwaitingHandshake => self.handshake(&payload, out).map(|()| None),
            State::Authenticating => self.authentication_response(&payload, out),
            // No packet is awaited.
            State::Idle | State::Prepared => Err(PacketError::Malformed),
            State::Preparing => self.prepare_response(&payload),
            State::PreparedDefinitions(left) => Ok(self.prepared_definitions_left(left - 1)),
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
