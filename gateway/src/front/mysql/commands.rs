//! Command phase of the MySQL protocol: dispatches commands, and opens requests for COM_QUERY and COM_STMT_EXECUTE.

use super::{ClientCommand, ClientRequest, ExecutionMode, Session, State};
use crate::front::fields::{self, FieldError};
use crate::mysql_protocol::command::{
    COM_PING, COM_QUERY, COM_QUIT, COM_STMT_CLOSE, COM_STMT_EXECUTE, COM_STMT_PREPARE, COM_STMT_RESET,
    COM_STMT_SEND_LONG_DATA,
};
use crate::mysql_protocol::{PacketError, Parameter, Reader, capabilities, error_code, read_parameters};

impl Session {
    pub(super) fn command(
        &mut self,
        payload: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<ClientCommand, PacketError> {
        let mut reader = Reader(payload);
        match reader.int(1)? as u8 {
            COM_QUIT => {
                self.state = State::Closed;
                Ok(ClientCommand::Close)
            }
            COM_QUERY => self.query(reader, out),
            COM_PING => {
                self.write_ok(0, 0, out);
                Ok(ClientCommand::Handled)
            }
            COM_STMT_PREPARE => Ok(self.prepare(reader.0, out)),
            COM_STMT_EXECUTE => self.execute(reader, out),
            COM_STMT_SEND_LONG_DATA => self.send_long_data(reader),
            COM_STMT_CLOSE => self.close_statement(reader),
            COM_STMT_RESET => self.reset_statement(reader, out),
            _ => Ok(self.invalid(error_code::ER_UNKNOWN_COM_ERROR, "08S01", "Unknown command", out)),
        }
    }

    fn query(&mut self, mut reader: Reader<'_>, out: &mut Vec<u8>) -> Result<ClientCommand, PacketError> {
        let mut attributes = Vec::new();
        if self.has_capability(capabilities::CLIENT_QUERY_ATTRIBUTES) {
            let parameter_count = reader.lenenc_int()? as usize;
            let _parameter_set_count = reader.lenenc_int()?;
            attributes = read_parameters(&mut reader, parameter_count, true, &mut Vec::new())?;
        }
        Ok(match self.parse_request(reader.0) {
            Ok(request) => self.open(request, &attributes, out),
            Err(error) => self.invalid_fields(error, out),
        })
    }

    /// Parses a request from the text of COM_QUERY or COM_STMT_PREPARE.
    pub(super) fn parse_request(&self, text: &[u8]) -> Result<ClientRequest, FieldError> {
        let (mut fields, statement) = fields::split(text)?;
        // The tenant is that of the authenticated account. The field `t` can't override it.
        fields.tenant = self.tenant.as_deref().map(str::to_owned);
        Ok(ClientRequest { fields, statement: statement.to_vec(), mode: ExecutionMode::Query })
    }

    pub(super) fn invalid_fields(&mut self, error: FieldError, out: &mut Vec<u8>) -> ClientCommand {
        self.invalid(error_code::ER_PARSE_ERROR, "42000", &error.to_string(), out)
    }

    /// Opens a request. Query attributes set its per-execution fields.
    pub(super) fn open(
        &mut self,
        mut request: ClientRequest,
        attributes: &[Parameter],
        out: &mut Vec<u8>,
    ) -> ClientCommand {
        for attribute in attributes {
            let value = attribute.as_text().unwrap_or_default();
            if let Err(e) = request.fields.set_per_execution(&attribute.name, &value) {
                return self.invalid(error_code::ER_WRONG_ARGUMENTS, "HY000", &e.to_string(), out);
            }
        }
        self.state = State::Busy;
        ClientCommand::Request(request)
    }
}
