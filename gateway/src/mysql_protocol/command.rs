//! Command bytes of the command phase.

/// Ends the session.
pub const COM_QUIT: u8 = 0x01;
/// Executes a statement given as text.
pub const COM_QUERY: u8 = 0x03;
/// Asks whether the server is there.
pub const COM_PING: u8 = 0x0e;
/// Prepares a statement.
pub const COM_STMT_PREPARE: u8 = 0x16;
/// Executes a prepared statement.
pub const COM_STMT_EXECUTE: u8 = 0x17;
/// Sends the value of a parameter in pieces; it has no response.
pub const COM_STMT_SEND_LONG_DATA: u8 = 0x18;
/// Closes a prepared statement; it has no response.
pub const COM_STMT_CLOSE: u8 = 0x19;
/// Resets a prepared statement.
pub const COM_STMT_RESET: u8 = 0x1a;

/// Flags of COM_STMT_EXECUTE that ask for a cursor.
pub const CURSOR_TYPE_MASK: u64 = 0x07;
/// Flag of COM_STMT_EXECUTE: the number of parameters, with the query attributes, is stated.
pub const PARAMETER_COUNT_AVAILABLE: u8 = 0x08;
