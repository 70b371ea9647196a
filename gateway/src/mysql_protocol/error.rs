//! ERR packets.

use super::{ERR_HEADER, PacketError, Reader};

/// Error codes that are sent or distinguished here, by their names in the server's documentation.
pub mod error_code {
    /// Too many connections.
    pub const ER_CON_COUNT_ERROR: u16 = 1040;
    /// Out of memory.
    pub const ER_OUT_OF_RESOURCES: u16 = 1041;
    /// Access denied.
    pub const ER_ACCESS_DENIED_ERROR: u16 = 1045;
    /// Unknown command.
    pub const ER_UNKNOWN_COM_ERROR: u16 = 1047;
    /// Server shutdown in progress.
    pub const ER_SERVER_SHUTDOWN: u16 = 1053;
    /// The statement can't be parsed.
    pub const ER_PARSE_ERROR: u16 = 1064;
    /// There is no connection of this id.
    pub const ER_NO_SUCH_THREAD: u16 = 1094;
    /// Any other error.
    pub const ER_UNKNOWN_ERROR: u16 = 1105;
    /// A packet is too large.
    pub const ER_NET_PACKET_TOO_LARGE: u16 = 1153;
    /// A packet did not come in time.
    pub const ER_NET_READ_INTERRUPTED: u16 = 1159;
    /// Too many connections of this user.
    pub const ER_TOO_MANY_USER_CONNECTIONS: u16 = 1203;
    /// Wrong arguments.
    pub const ER_WRONG_ARGUMENTS: u16 = 1210;
    /// A limit of this user is reached.
    pub const ER_USER_LIMIT_REACHED: u16 = 1226;
    /// Not supported.
    pub const ER_NOT_SUPPORTED_YET: u16 = 1235;
    /// There is no such prepared statement.
    pub const ER_UNKNOWN_STMT_HANDLER: u16 = 1243;
    /// The authentication plugin is not supported.
    pub const ER_NOT_SUPPORTED_AUTH_MODE: u16 = 1251;
    /// The statement was cancelled.
    pub const ER_QUERY_INTERRUPTED: u16 = 1317;
    /// Too many placeholders.
    pub const ER_PS_MANY_PARAM: u16 = 1390;
    /// Too many prepared statements.
    pub const ER_MAX_PREPARED_STMT_COUNT_REACHED: u16 = 1461;
    /// A packet is malformed.
    pub const ER_MALFORMED_PACKET: u16 = 1835;
}

/// Classes of SQLSTATE that blame the statement: cardinality, data, integrity constraints, syntax and access.
const STATEMENT_ERROR_CLASSES: [&str; 4] = ["21", "22", "23", "42"];

/// The content of an ERR packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// Error code.
    pub code: u16,
    /// SQLSTATE.
    pub state: String,
    /// Message.
    pub message: String,
}

impl SqlError {
    /// An error.
    pub fn new(code: u16, state: &str, message: impl Into<String>) -> Self {
        Self { code, state: state.to_owned(), message: message.into() }
    }

    /// Reads the payload of an ERR packet.
    ///
    /// # Errors
    /// The payload is cut off.
    pub fn read(payload: &[u8]) -> Result<Self, PacketError> {
        let mut reader = Reader(payload);
        reader.bytes(1)?;
        let code = reader.int(2)? as u16;
        let mut state = "HY000".to_owned();
        if reader.0.first() == Some(&b'#') {
            reader.bytes(1)?;
            state = String::from_utf8_lossy(reader.bytes(5)?).into_owned();
        }
        Ok(Self { code, state, message: String::from_utf8_lossy(reader.0).into_owned() })
    }

    /// The payload of its ERR packet.
    pub fn payload(&self) -> Vec<u8> {
        let mut payload = vec![ERR_HEADER];
        payload.extend(self.code.to_le_bytes());
        payload.push(b'#');
        payload.extend(self.state.as_bytes());
        payload.extend(self.message.as_bytes());
        payload
    }

    /// Whether the statement itself is at fault, so that every engine would answer the same.
    pub fn blames_statement(&self) -> bool {
        STATEMENT_ERROR_CLASSES.iter().any(|class| self.state.starts_with(class))
    }
}
