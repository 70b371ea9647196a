//! Prepared statements of a client session: COM_STMT_PREPARE, COM_STMT_EXECUTE, COM_STMT_SEND_LONG_DATA,
//! COM_STMT_CLOSE and COM_STMT_RESET.

use std::collections::BTreeMap;

use super::{ClientCommand, ClientRequest, ExecutionMode, Session, State};
use crate::mysql_protocol::command::{CURSOR_TYPE_MASK, PARAMETER_COUNT_AVAILABLE};
use crate::mysql_protocol::{
    OK_HEADER, PacketError, ParameterType, Reader, capabilities, column_type, count_placeholders, error_code,
    read_parameters, write_lenenc_string, write_packet,
};

/// Maximum number of prepared statements in one session.
const MAX_STATEMENTS: usize = 256;
/// Maximum total size of the prepared statements of one session, checked with the text of COM_STMT_PREPARE. Types bound
/// by later executions can exceed the limit.
const MAX_STATEMENT_BYTES: usize = 192 * 1024;

/// Character set `binary`.
const CHARSET_BINARY: u8 = 63;
/// Column definition flag `BINARY_FLAG`.
const BINARY_FLAG: u8 = 0x80;
/// Length of the fixed-length fields in ColumnDefinition41.
const COLUMN_FIXED_FIELDS_BYTES: u8 = 0x0c;

/// A prepared statement.
#[derive(Debug)]
pub struct PreparedStatement {
    /// Template for the request of each execution, without the per-execution fields.
    request: ClientRequest,
    parameter_count: usize,
    /// Parameter types sent by the latest execution with new-params-bind-flag set.
    bound_types: Vec<ParameterType>,
    /// COM_STMT_SEND_LONG_DATA was received. As it is not supported, executions fail until COM_STMT_RESET.
    has_long_data: bool,
}

impl PreparedStatement {
    /// Estimated memory of the statement, including its share of the map nodes, in bytes.
    pub fn bytes(&self) -> usize {
        let names: usize = self.bound_types.iter().map(|parameter| parameter.name.capacity()).sum();
        let bound_bytes = self.bound_types.capacity() * size_of::<ParameterType>() + names;
        2 * size_of::<Self>() + self.request.statement.capacity() + bound_bytes
    }
}

/// The prepared statements of a session and their total memory.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    by_id: BTreeMap<u32, PreparedStatement>,
    bytes: usize,
}

impl PreparedStatements {
    /// Total memory of the statements, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(&mut self, statement_id: u32, statement: PreparedStatement) {
        self.bytes += statement.bytes();
        self.by_id.insert(statement_id, statement);
    }

    fn remove(&mut self, statement_id: u32) {
        if let Some(statement) = self.by_id.remove(&statement_id) {
            self.bytes -= statement.bytes();
        }
    }
}

impl Session {
    /// Memory of the session's prepared statements, including the one being prepared, in bytes.
    pub fn statement_bytes(&self) -> usize {
        self.pending_bytes() + self.statements.as_ref().map_or(0, |s| s.bytes)
    }

    /// Memory of the statement being prepared, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending.as_ref().map_or(0, PreparedStatement::bytes)
    }

    fn statement(&mut self, statement_id: u32) -> Option<&mut PreparedStatement> {
        self.statements.as_mut()?.by_id.get_mut(&statement_id)
    }

    fn unknown_statement(&mut self, statement_id: u32, to: &str, out: &mut Vec<u8>) -> ClientCommand {
        let message = format!("Unknown prepared statement handler ({statement_id}) given to {to}");
        self.invalid(error_code::ER_UNKNOWN_STMT_HANDLER, "HY000", &message, out)
    }

    /// Handles COM_STMT_PREPARE. If it returns [`ClientCommand::Prepare`], the caller must validate the statement's
    /// class and tenant next.
    pub(super) fn prepare(&mut self, text: &[u8], out: &mut Vec<u8>) -> ClientCommand {
        let (count, bytes) = self.statements.as_ref().map_or((0, 0), |s| (s.by_id.len(), s.bytes));
        if count >= MAX_STATEMENTS || bytes + text.len() > MAX_STATEMENT_BYTES {
            let code = error_code::ER_MAX_PREPARED_STMT_COUNT_REACHED;
            return self.invalid(code, "42000", "Too many prepared statements", out);
        }
        let mut request = match self.parse_request(text) {
            Ok(request) => request,
            Err(error) => return self.invalid_fields(error, out),
        };
        request.fields.clear_per_execution();
        let parameter_count = count_placeholders(&request.statement);
        if u16::try_from(parameter_count).is_err() {
            let message = "Prepared statement contains too many placeholders";
            return self.invalid(error_code::ER_PS_MANY_PARAM, "HY000", message, out);
        }
        let command = ClientCommand::Prepare(request.fields.clone());
        self.pending = Some(PreparedStatement {
            request,
            parameter_count,
            bound_types: Vec::new(),
            has_long_data: false,
        });
        self.state = State::Busy;
        command
    }

    /// Whether a statement is being prepared.
    pub fn is_preparing(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether the session has a prepared statement with this id.
    pub fn has_statement(&self, statement_id: u32) -> bool {
        self.statements.as_ref().is_some_and(|s| s.by_id.contains_key(&statement_id))
    }

    /// Writes COM_STMT_PREPARE_OK for the statement being prepared, whose class and tenant are valid. The id must come
    /// from [`statement_ids`](super::statement_ids), so that it is never valid in another session.
    pub fn complete_prepare(&mut self, statement_id: u32, out: &mut Vec<u8>) {
        self.state = State::Ready;
        let Some(statement) = self.pending.take() else { return };
        self.write_prepare_ok(statement_id, statement.parameter_count, out);
        self.statements.get_or_insert_default().insert(statement_id, statement);
    }

    fn write_prepare_ok(&mut self, statement_id: u32, parameter_count: usize, out: &mut Vec<u8>) {
        let mut payload = vec![OK_HEADER];
        payload.extend(statement_id.to_le_bytes());
        payload.extend([0, 0]); // num_columns: unknown until an engine executes the statement.
        payload.extend((parameter_count as u16).to_le_bytes());
        payload.extend([0, 0, 0]); // Filler and warning_count.
        write_packet(out, &mut self.sequence, &payload);
        for _ in 0..parameter_count {
            write_packet(out, &mut self.sequence, &parameter_definition());
        }
        if parameter_count > 0 && !self.has_capability(capabilities::CLIENT_DEPRECATE_EOF) {
            self.write_eof(out);
        }
    }

    /// Answers COM_STMT_PREPARE with an error, as the gateway has no memory or no id left for the statement.
    pub fn fail_prepare(&mut self, message: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.pending = None;
        self.invalid(error_code::ER_MAX_PREPARED_STMT_COUNT_REACHED, "42000", message, out);
    }

    /// Handles COM_STMT_EXECUTE.
    pub(super) fn execute(
        &mut self,
        mut reader: Reader<'_>,
        out: &mut Vec<u8>,
    ) -> Result<ClientCommand, PacketError> {
        let statement_id = reader.int(4)? as u32;
        let flags = reader.int(1)?;
        let _iteration_count = reader.bytes(4)?;
        let has_attributes = self.has_capability(capabilities::CLIENT_QUERY_ATTRIBUTES);
        let Some(statement) = self.statements.as_mut().and_then(|s| s.by_id.get_mut(&statement_id)) else {
            return Ok(self.unknown_statement(statement_id, "mysqld_stmt_execute", out));
        };
        if statement.has_long_data {
            let message = "Long data is not taken here";
            return Ok(self.invalid(error_code::ER_WRONG_ARGUMENTS, "HY000", message, out));
        }
        if flags & CURSOR_TYPE_MASK != 0 {
            let message = "Cursors are not spoken here";
            return Ok(self.invalid(error_code::ER_NOT_SUPPORTED_YET, "42000", message, out));
        }
        let mut count = statement.parameter_count;
        if has_attributes && flags & u64::from(PARAMETER_COUNT_AVAILABLE) != 0 {
            count = reader.lenenc_int()? as usize;
        }
        if count < statement.parameter_count {
            let message = "Too few parameters for the statement";
            return Ok(self.invalid(error_code::ER_WRONG_ARGUMENTS, "HY000", message, out));
        }
        let bytes_before = statement.bytes();
        let mut parameters = read_parameters(&mut reader, count, has_attributes, &mut statement.bound_types)?;
        let attributes = parameters.split_off(statement.parameter_count);
        parameters.iter_mut().for_each(|parameter| parameter.name.clear());
        let mode = ExecutionMode::Execute { statement_id, parameters };
        let request = ClientRequest { mode, ..statement.request.clone() };
        let bytes_after = statement.bytes();
        if let Some(statements) = &mut self.statements {
            statements.bytes = statements.bytes + bytes_after - bytes_before;
        }
        Ok(self.open(request, &attributes, out))
    }

    /// Handles COM_STMT_SEND_LONG_DATA. As the command has no response, the next execution reports the error. An
    /// unknown statement is ignored.
    pub(super) fn send_long_data(&mut self, mut reader: Reader<'_>) -> Result<ClientCommand, PacketError> {
        let statement_id = reader.int(4)? as u32;
        if let Some(statement) = self.statement(statement_id) {
            statement.has_long_data = true;
        }
        Ok(ClientCommand::Handled)
    }

    /// Handles COM_STMT_CLOSE, which has no response.
    pub(super) fn close_statement(&mut self, mut reader: Reader<'_>) -> Result<ClientCommand, PacketError> {
        let statement_id = reader.int(4)? as u32;
        if let Some(statements) = &mut self.statements {
            statements.remove(statement_id);
            if statements.by_id.is_empty() {
                self.statements = None;
            }
        }
        Ok(ClientCommand::Handled)
    }

    /// Handles COM_STMT_RESET.
    pub(super) fn reset_statement(
        &mut self,
        mut reader: Reader<'_>,
        out: &mut Vec<u8>,
    ) -> Result<ClientCommand, PacketError> {
        let statement_id = reader.int(4)? as u32;
        let Some(statement) = self.statement(statement_id) else {
            return Ok(self.unknown_statement(statement_id, "mysqld_stmt_reset", out));
        };
        statement.has_long_data = false;
        self.write_ok(0, 0, out);
        Ok(ClientCommand::Handled)
    }
}

/// Returns the definition sent for every parameter, as types are unknown before parameters are bound.
fn parameter_definition() -> Vec<u8> {
    let mut definition = Vec::new();
    for text in [b"def".as_slice(), b"", b"", b"", b"?", b""] {
        write_lenenc_string(&mut definition, text);
    }
    definition.extend([COLUMN_FIXED_FIELDS_BYTES, CHARSET_BINARY, 0]);
    definition.extend([0; 4]); // Length.
    definition.extend([column_type::VAR_STRING, BINARY_FLAG, 0]);
    definition.extend([0; 3]); // Decimals and filler.
    definition
}
