//! Command phase of the MySQL protocol: reads the responses to COM_STMT_PREPARE, COM_QUERY and COM_STMT_EXECUTE.

use super::{Event, PreparedStatement, Session, State, Statement};
use crate::mysql_protocol::{
    EOF_HEADER, OK_HEADER, PacketError, Reader, ResultSet, SqlError, capabilities, error_code,
};

/// Maximum memory of a result.
const MAX_RESULT_BYTES: usize = 128 * 1024;
/// Memory of a result's packet in addition to its payload.
const PACKET_OVERHEAD_BYTES: usize = 32;
const MAX_COLUMNS: usize = 4096;

impl Session {
    /// Reads COM_STMT_PREPARE_OK, which parameter and column definitions follow.
    pub(super) fn prepare_response(&mut self, payload: &[u8]) -> Result<Option<Event>, PacketError> {
        let mut reader = Reader(&payload[1..]);
        let statement_id = reader.int(4)? as u32;
        let (columns, parameters) = (reader.int(2)? as usize, reader.int(2)? as usize);
        if let Some(Statement::Execute(sql, ..)) = &self.statement {
            let prepared = PreparedStatement { statement_id, last_use: self.executions };
            self.prepared.insert(sql.clone(), prepared);
        }
        let eof_packets = usize::from(!self.has_capability(capabilities::CLIENT_DEPRECATE_EOF));
        let definitions = [columns, parameters].iter().filter(|n| **n > 0).map(|n| n + eof_packets).sum();
        Ok(self.prepared_definitions_remaining(definitions))
    }

    pub(super) fn prepared_definitions_remaining(&mut self, remaining: usize) -> Option<Event> {
        self.state = if remaining == 0 { State::Prepared } else { State::PreparedDefinitions(remaining) };
        (remaining == 0).then_some(Event::Prepared)
    }

    /// Reads a packet of the response to COM_QUERY or COM_STMT_EXECUTE.
    pub(super) fn result_packet(
        &mut self,
        header: u8,
        payload: Vec<u8>,
    ) -> Result<Option<Event>, PacketError> {
        match self.state {
            State::ColumnDefinitions(remaining) => {
                self.add_result_bytes(&payload)?;
                self.columns.push(payload);
                self.state = match remaining {
                    2.. => State::ColumnDefinitions(remaining - 1),
                    _ if self.has_capability(capabilities::CLIENT_DEPRECATE_EOF) => State::Rows,
                    _ => State::ColumnsEof,
                };
            }
            State::ColumnsEof => self.state = State::Rows,
            // A row can't begin with 0xfe: its first value would be 16 MB or longer, which exceeds the packet limit.
            State::Rows if header == EOF_HEADER => {
                let (columns, rows) = (std::mem::take(&mut self.columns), std::mem::take(&mut self.rows));
                return Ok(Some(self.completed(ResultSet::Rows { columns, rows })));
            }
            State::Rows => {
                self.add_result_bytes(&payload)?;
                self.rows.push(payload);
            }
            _ if header == OK_HEADER => {
                let mut reader = Reader(&payload[1..]);
                let (affected_rows, last_insert_id) = (reader.lenenc_int()?, reader.lenenc_int()?);
                return Ok(Some(self.completed(ResultSet::Done { affected_rows, last_insert_id })));
            }
            _ => {
                let columns = Reader(&payload).lenenc_int()? as usize;
                if columns == 0 || columns > MAX_COLUMNS {
                    return Err(PacketError::Malformed);
                }
                (self.columns, self.rows) = (Vec::new(), Vec::new());
                self.state = State::ColumnDefinitions(columns);
            }
        }
        Ok(None)
    }

    fn add_result_bytes(&mut self, payload: &[u8]) -> Result<(), PacketError> {
        self.result_bytes += payload.len() + PACKET_OVERHEAD_BYTES;
        if self.result_bytes > MAX_RESULT_BYTES { Err(PacketError::TooLong) } else { Ok(()) }
    }

    fn completed(&mut self, result: ResultSet) -> Event {
        self.state = State::Idle;
        self.statement = None;
        Event::Completed(result)
    }

    /// Handles an ERR packet. If the engine no longer has the prepared statement, the statement was not executed and is
    /// prepared again.
    pub(super) fn error(&mut self, error: SqlError, out: &mut Vec<u8>) -> Option<Event> {
        if self.is_authenticating() {
            return Some(Event::ConnectionRejected(error));
        }
        if let (error_code::ER_UNKNOWN_STMT_HANDLER, State::Running, Some(Statement::Execute(sql, ..))) =
            (error.code, self.state, &self.statement)
        {
            let sql = sql.clone();
            self.prepared.remove(&sql);
            self.execute_written = false;
            self.prepare(&sql, out);
            return None;
        }
        if error.is_statement_error() {
            return Some(self.completed(ResultSet::StatementError(error)));
        }
        self.state = State::Idle;
        self.statement = None;
        Some(Event::Failed(error))
    }
}
