//! Responses to commands: OK, EOF and ERR packets, and result sets.

use super::{FinalAnswer, QueryResult, Session, SqlError, State, error_code, ok_payload, write_packet};
use crate::mysql_protocol::{EOF_HEADER, OK_HEADER, ResultSet, capabilities, eof_payload, write_lenenc_int};

/// SQLSTATE of a rejection. Clients treat errors of class 53 as safe to retry, as on the PostgreSQL front end.
const REJECTED_SQLSTATE: &str = "53000";

impl Session {
    pub(super) fn write_error(&mut self, error: &SqlError, out: &mut Vec<u8>) {
        write_packet(out, &mut self.sequence, &error.payload());
    }

    pub(super) fn write_ok(&mut self, affected_rows: u64, last_insert_id: u64, out: &mut Vec<u8>) {
        write_packet(out, &mut self.sequence, &ok_payload(OK_HEADER, affected_rows, last_insert_id));
    }

    pub(super) fn write_eof(&mut self, out: &mut Vec<u8>) {
        write_packet(out, &mut self.sequence, &eof_payload());
    }

    /// Writes the response to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        debug_assert!(self.state == State::Busy, "no request is open");
        self.state = State::Ready;
        let error = match answer {
            FinalAnswer::Served(QueryResult::MySql(result)) => return self.write_result(result, out),
            FinalAnswer::Served(QueryResult::Text(_)) => {
                SqlError::new(error_code::ER_UNKNOWN_ERROR, "HY000", "the result has another form")
            }
            FinalAnswer::Rejected(None) => {
                SqlError::new(error_code::ER_OUT_OF_RESOURCES, REJECTED_SQLSTATE, "refused")
            }
            FinalAnswer::Rejected(Some(ms)) => {
                let message = format!("refused, w={ms}");
                SqlError::new(error_code::ER_OUT_OF_RESOURCES, REJECTED_SQLSTATE, message)
            }
            FinalAnswer::Cancelled => {
                SqlError::new(error_code::ER_QUERY_INTERRUPTED, "70100", "Query execution was interrupted")
            }
            FinalAnswer::Failed(text) => SqlError::new(error_code::ER_UNKNOWN_ERROR, "HY000", text),
        };
        self.write_error(&error, out);
    }

    fn write_result(&mut self, result: &ResultSet, out: &mut Vec<u8>) {
        match result {
            ResultSet::Done { affected_rows, last_insert_id } => {
                self.write_ok(*affected_rows, *last_insert_id, out);
            }
            ResultSet::StatementError(error) => self.write_error(error, out),
            ResultSet::Rows { columns, rows } => self.write_rows(columns, rows, out),
        }
    }

    fn write_rows(&mut self, columns: &[Vec<u8>], rows: &[Vec<u8>], out: &mut Vec<u8>) {
        let deprecates_eof = self.has_capability(capabilities::CLIENT_DEPRECATE_EOF);
        let mut column_count = Vec::new();
        write_lenenc_int(&mut column_count, columns.len() as u64);
        write_packet(out, &mut self.sequence, &column_count);
        columns.iter().for_each(|column| write_packet(out, &mut self.sequence, column));
        if !deprecates_eof {
            self.write_eof(out);
        }
        rows.iter().for_each(|row| write_packet(out, &mut self.sequence, row));
        if deprecates_eof {
            write_packet(out, &mut self.sequence, &ok_payload(EOF_HEADER, 0, 0));
        } else {
            self.write_eof(out);
        }
    }
}
