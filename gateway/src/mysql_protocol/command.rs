//! Command bytes and flags of the command phase.

/// Closes the connection.
pub const COM_QUIT: u8 = 0x01;
/// Executes a statement in the text protocol.
pub const COM_QUERY: u8 = 0x03;
/// Checks whether the server is alive.
pub const COM_PING: u8 = 0x0e;
/// Prepares a statement.
pub const COM_STMT_PREPARE: u8 = 0x16;
/// Executes a prepared statement in the binary protocol.
pub const COM_STMT_EXECUTE: u8 = 0x17;
/// Sends a part of a parameter's value. Has no response.
pub const COM_STMT_SEND_LONG_DATA: u8 = 0x18;
/// Deallocates a prepared statement. Has no response.
pub const COM_STMT_CLOSE: u8 = 0x19;
/// Discards the data sent by COM_STMT_SEND_LONG_DATA for a prepared statement.
pub const COM_STMT_RESET: u8 = 0x1a;

/// Flags of COM_STMT_EXECUTE that request a cursor.
pub const CURSOR_TYPE_MASK: u64 = 0x07;
/// Flag of COM_STMT_EXECUTE: the packet contains a parameter count, which includes the query attributes.
pub const PARAMETER_COUNT_AVAILABLE: u8 = 0x08;
