//! Command phase of the MySQL protocol: writes the commands that prepare and execute statements.

use super::{Session, State, Statement};
use crate::mysql_protocol::command::{
    COM_QUERY, COM_STMT_CLOSE, COM_STMT_EXECUTE, COM_STMT_PREPARE, PARAMETER_COUNT_AVAILABLE,
};
use crate::mysql_protocol::{capabilities, write_lenenc_int, write_packet, write_parameters};

/// Maximum number of prepared statements on a connection. At the limit, the least recently used one is closed before
/// another is prepared.
const MAX_PREPARED_STATEMENTS: usize = 64;

impl Session {
    /// Starts a statement on a connection that is ready: writes COM_STMT_PREPARE if the statement must be prepared
    /// first, and otherwise the command that executes it.
    pub fn start(&mut self, statement: Statement, out: &mut Vec<u8>) {
        debug_assert!(self.is_ready());
        (self.execute_written, self.result_bytes) = (false, 0);
        let to_prepare = match &statement {
            Statement::Execute(sql, ..) if !self.prepared.contains_key(sql) => Some(sql.clone()),
            _ => None,
        };
        self.statement = Some(statement);
        match to_prepare {
            Some(sql) => {
                self.close_least_recently_used(out);
                self.prepare(&sql, out);
            }
            None => self.execute(out),
        }
    }

    /// Starts a KILL statement for another connection of the same engine, which also ends the statement running on it.
    pub fn kill(&mut self, connection_id: u32, out: &mut Vec<u8>) {
        self.start(Statement::Query(format!("KILL {connection_id}").into_bytes(), Vec::new()), out);
    }

    /// Writes the command that executes the statement. Has no effect if there is no statement, or if it must be
    /// prepared first.
    pub fn execute(&mut self, out: &mut Vec<u8>) {
        let (command, body) = match &self.statement {
            None => return,
            Some(Statement::Query(sql, attributes)) => {
                let mut body = Vec::new();
                if self.has_capability(capabilities::CLIENT_QUERY_ATTRIBUTES) {
                    write_lenenc_int(&mut body, attributes.len() as u64);
                    body.push(1); // parameter_set_count; always 1.
                    write_parameters(&mut body, attributes, true);
                }
                body.extend(sql);
                (COM_QUERY, body)
            }
            Some(Statement::Execute(..)) => {
                let Some(body) = self.execute_body() else { return };
                (COM_STMT_EXECUTE, body)
            }
        };
        self.write_command(command, &body, out);
        self.execute_written = true;
        self.state = State::Running;
    }

    /// Returns the body of COM_STMT_EXECUTE. `None` if the statement is not prepared on this connection.
    fn execute_body(&mut self) -> Option<Vec<u8>> {
        let has_attributes = self.has_capability(capabilities::CLIENT_QUERY_ATTRIBUTES);
        let Some(Statement::Execute(sql, parameters, attributes)) = &self.statement else { return None };
        self.executions += 1;
        let prepared = self.prepared.get_mut(sql)?;
        prepared.last_use = self.executions;
        let mut body = prepared.statement_id.to_le_bytes().to_vec();
        let mut parameters = parameters.clone();
        if has_attributes {
            parameters.extend(attributes.iter().cloned());
        }
        body.push(if has_attributes { PARAMETER_COUNT_AVAILABLE } else { 0 });
        body.extend(1_u32.to_le_bytes()); // iteration_count; always 1.
        if has_attributes {
            write_lenenc_int(&mut body, parameters.len() as u64);
        }
        write_parameters(&mut body, &parameters, has_attributes);
        Some(body)
    }

    /// Writes COM_STMT_PREPARE.
    pub(super) fn prepare(&mut self, sql: &[u8], out: &mut Vec<u8>) {
        self.write_command(COM_STMT_PREPARE, sql, out);
        self.state = State::Preparing;
    }

    fn close_least_recently_used(&mut self, out: &mut Vec<u8>) {
        if self.prepared.len() < MAX_PREPARED_STATEMENTS {
            return;
        }
        let oldest = self.prepared.iter().min_by_key(|(_, p)| p.last_use).map(|(sql, _)| sql.clone());
        if let Some(prepared) = oldest.and_then(|sql| self.prepared.remove(&sql)) {
            self.write_command(COM_STMT_CLOSE, &prepared.statement_id.to_le_bytes(), out);
        }
    }

    fn write_command(&mut self, command: u8, body: &[u8], out: &mut Vec<u8>) {
        let mut payload = vec![command];
        payload.extend(body);
        self.sequence = 0;
        write_packet(out, &mut self.sequence, &payload);
    }
}
