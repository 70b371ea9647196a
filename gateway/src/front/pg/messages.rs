//! Message formats of the PostgreSQL protocol, and encoders for the messages sent by the server.

use super::BackendKey;
use crate::front::Rows;

/// SQLSTATE codes, by the condition names of the PostgreSQL documentation.
pub mod sqlstate {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const INSUFFICIENT_RESOURCES: &str = "53000";
    pub const OUT_OF_MEMORY: &str = "53200";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
    pub const QUERY_CANCELED: &str = "57014";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    pub const SYSTEM_ERROR: &str = "58000";
    pub const INTERNAL_ERROR: &str = "XX000";
}

/// Type of EmptyQueryResponse.
pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
const AUTHENTICATION: u8 = b'R';
const BACKEND_KEY_DATA: u8 = b'K';
const COMMAND_COMPLETE: u8 = b'C';
const DATA_ROW: u8 = b'D';
const ERROR_RESPONSE: u8 = b'E';
const PARAMETER_STATUS: u8 = b'S';
const READY_FOR_QUERY: u8 = b'Z';
const ROW_DESCRIPTION: u8 = b'T';

/// Transaction status of ReadyForQuery: not in a transaction block.
const TRANSACTION_IDLE: u8 = b'I';
/// Authentication code of AuthenticationOk.
const AUTHENTICATION_OK: u32 = 0;
/// OID of the data type `text`.
const TEXT_OID: u32 = 25;
/// Length of a NULL value in DataRow. In RowDescription, the size of a variable-length data type and the absence of a
/// type modifier.
const NONE: i32 = -1;

/// Messages sent by the client, as far as the gateway distinguishes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendMessage {
    Query,
    Sync,
    Terminate,
    /// Parse, Bind, Execute, Describe or Close.
    ExtendedQuery,
    FunctionCall,
    /// Flush, CopyData, CopyDone or CopyFail. All are ignored.
    FlushOrCopy,
    Unknown,
}

impl FrontendMessage {
    /// Returns the message of a type byte.
    pub fn from_type(message_type: u8) -> Self {
        match message_type {
            b'Q' => Self::Query,
            b'S' => Self::Sync,
            b'X' => Self::Terminate,
            b'P' | b'B' | b'E' | b'D' | b'C' => Self::ExtendedQuery,
            b'F' => Self::FunctionCall,
            b'H' | b'd' | b'c' | b'f' => Self::FlushOrCopy,
            _ => Self::Unknown,
        }
    }
}

/// Reads an Int32 in network byte order from the first four bytes.
pub fn be32(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |n, b| n << 8 | u32::from(*b))
}

/// Writes a message: the type byte, the length, and the contents written by `body`.
pub fn write_message(out: &mut Vec<u8>, message_type: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(message_type);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = u32::try_from(out.len() - at).unwrap_or(u32::MAX);
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn write_string(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().chain([0]));
}

pub fn error_response(out: &mut Vec<u8>, severity: &str, sqlstate: &str, text: &str) {
    write_message(out, ERROR_RESPONSE, |body| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', sqlstate), (b'M', text)] {
            body.push(field);
            body.extend(value.bytes().filter(|b| *b != 0));
            body.push(0);
        }
        body.push(0);
    });
}

pub fn ready_for_query(out: &mut Vec<u8>) {
    write_message(out, READY_FOR_QUERY, |body| body.push(TRANSACTION_IDLE));
}

pub fn authentication_ok(out: &mut Vec<u8>) {
    write_message(out, AUTHENTICATION, |body| body.extend(AUTHENTICATION_OK.to_be_bytes()));
}

pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    write_message(out, PARAMETER_STATUS, |body| {
        write_string(body, name);
        write_string(body, value);
    });
}

pub fn backend_key_data(out: &mut Vec<u8>, key: BackendKey) {
    write_message(out, BACKEND_KEY_DATA, |body| {
        body.extend(key.process_id.to_be_bytes());
        body.extend(key.secret.to_be_bytes());
    });
}

/// Writes RowDescription, a DataRow for each row, and CommandComplete. RowDescription is omitted for an INSERT without
/// rows.
pub fn result(rows: &Rows, returns_rows: bool, out: &mut Vec<u8>) {
    if returns_rows || !rows.cells.is_empty() {
        row_description(out, &rows.columns);
    }
    rows.rows().for_each(|row| data_row(out, row));
    let count = rows.rows().count();
    let tag = if returns_rows { format!("SELECT {count}") } else { format!("INSERT 0 {count}") };
    write_message(out, COMMAND_COMPLETE, |body| write_string(body, &tag));
}

fn row_description(out: &mut Vec<u8>, columns: &[String]) {
    write_message(out, ROW_DESCRIPTION, |body| {
        body.extend((columns.len() as u16).to_be_bytes());
        for name in columns {
            write_string(body, name);
            body.extend([0; 6]); // Table OID and column attribute number: not a table column.
            body.extend(TEXT_OID.to_be_bytes());
            body.extend((NONE as i16).to_be_bytes()); // Data type size.
            body.extend(NONE.to_be_bytes()); // Type modifier.
            body.extend([0; 2]); // Format code: text.
        }
    });
}

fn data_row(out: &mut Vec<u8>, row: &[Option<Vec<u8>>]) {
    write_message(out, DATA_ROW, |body| {
        body.extend((row.len() as u16).to_be_bytes());
        for cell in row {
            match cell {
                Some(text) => {
                    body.extend((text.len() as u32).to_be_bytes());
                    body.extend(text);
                }
                None => body.extend(NONE.to_be_bytes()),
            }
        }
    });
}
