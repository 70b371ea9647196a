//! ERR packets, and the classification of their errors.

use super::{ERR_HEADER, PacketError, Reader};

/// Error codes that the gateway sends or distinguishes, by the symbols of the MySQL documentation.
pub mod error_code {
    /// The connection limit is reached.
    pub const ER_CON_COUNT_ERROR: u16 = 1040;
    /// The server is out of memory or another resource.
    pub const ER_OUT_OF_RESOURCES: u16 = 1041;
    /// Unknown user or wrong password.
    pub const ER_ACCESS_DENIED_ERROR: u16 = 1045;
    /// The command byte is not supported.
    pub const ER_UNKNOWN_COM_ERROR: u16 = 1047;
    /// The server is shutting down.
    pub const ER_SERVER_SHUTDOWN: u16 = 1053;
    /// The statement, or the fields in its comment, can't be parsed.
    pub const ER_PARSE_ERROR: u16 = 1064;
    /// KILL found no connection with this id.
    pub const ER_NO_SUCH_THREAD: u16 = 1094;
    /// An error without a more specific code.
    pub const ER_UNKNOWN_ERROR: u16 = 1105;
    /// A packet exceeds the maximum length.
    pub const ER_NET_PACKET_TOO_LARGE: u16 = 1153;
    /// A packet was not received in time.
    pub const ER_NET_READ_INTERRUPTED: u16 = 1159;
    /// The connection limit of this user is reached.
    pub const ER_TOO_MANY_USER_CONNECTIONS: u16 = 1203;
    /// A command has invalid arguments.
    pub const ER_WRONG_ARGUMENTS: u16 = 1210;
    /// A limit of this user is reached.
    pub const ER_USER_LIMIT_REACHED: u16 = 1226;
    /// The feature is not supported.
    pub const ER_NOT_SUPPORTED_YET: u16 = 1235;
    /// No prepared statement has this id.
    pub const ER_UNKNOWN_STMT_HANDLER: u16 = 1243;
    /// The other side requires an unsupported authentication plugin.
    pub const ER_NOT_SUPPORTED_AUTH_MODE: u16 = 1251;
    /// The statement was cancelled, for example by KILL.
    pub const ER_QUERY_INTERRUPTED: u16 = 1317;
    /// A statement has more than 65,535 placeholders.
    pub const ER_PS_MANY_PARAM: u16 = 1390;
    /// The limit of prepared statements is reached.
    pub const ER_MAX_PREPARED_STMT_COUNT_REACHED: u16 = 1461;
    /// A packet is malformed.
    pub const ER_MALFORMED_PACKET: u16 = 1835;
}

/// SQLSTATE classes of errors caused by the statement itself: cardinality violation, data exception, integrity
/// constraint violation, and syntax error or access rule violation.
const STATEMENT_ERROR_CLASSES: [&str; 4] = ["21", "22", "23", "42"];

/// The contents of an ERR packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// One of [`error_code`], or any other code from an engine.
    pub code: u16,
    /// Five characters. The first two are the class.
    pub sqlstate: String,
    /// Human-readable text. The text of a statement error is forwarded to the client, with invalid UTF-8 replaced.
    pub message: String,
}

impl SqlError {
    /// Creates an error with a SQLSTATE of five characters.
    pub fn new(code: u16, sqlstate: &str, message: impl Into<String>) -> Self {
        Self { code, sqlstate: sqlstate.to_owned(), message: message.into() }
    }

    /// Reads the payload of an ERR packet. The SQLSTATE is `HY000` if the packet has none.
    ///
    /// # Errors
    /// The payload is truncated.
    pub fn read(payload: &[u8]) -> Result<Self, PacketError> {
        let mut reader = Reader(payload);
        reader.bytes(1)?;
        let code = reader.int(2)? as u16;
        let mut sqlstate = "HY000".to_owned();
        if reader.0.first() == Some(&b'#') {
            reader.bytes(1)?;
            sqlstate = String::from_utf8_lossy(reader.bytes(5)?).into_owned();
        }
        Ok(Self { code, sqlstate, message: String::from_utf8_lossy(reader.0).into_owned() })
    }

    /// Returns the payload of an ERR packet with this error.
    pub fn payload(&self) -> Vec<u8> {
        let mut payload = vec![ERR_HEADER];
        payload.extend(self.code.to_le_bytes());
        payload.push(b'#');
        payload.extend(self.sqlstate.as_bytes());
        payload.extend(self.message.as_bytes());
        payload
    }

    /// Whether the statement itself caused the error according to the class of its SQLSTATE, so that every engine is
    /// expected to report the same error. Class 42 also has errors of account limits, such as
    /// [`error_code::ER_USER_LIMIT_REACHED`].
    pub fn is_statement_error(&self) -> bool {
        STATEMENT_ERROR_CLASSES.iter().any(|class| self.sqlstate.starts_with(class))
    }
}
