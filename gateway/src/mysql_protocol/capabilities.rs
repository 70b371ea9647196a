//! Capability flags of the handshake.

/// What every client and engine of the last decades has: protocol 4.1 with long flags, transactions' status and
/// authentication by a challenge.
pub const BASE: u32 = CLIENT_LONG_PASSWORD
    | CLIENT_LONG_FLAG
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION;
/// The improved version of the old password authentication.
pub const CLIENT_LONG_PASSWORD: u32 = 0x1;
/// Column flags of two bytes.
pub const CLIENT_LONG_FLAG: u32 = 0x4;
/// A schema may be named in the handshake response.
pub const CLIENT_CONNECT_WITH_DB: u32 = 0x8;
/// Protocol 4.1.
pub const CLIENT_PROTOCOL_41: u32 = 0x200;
/// OK packets state the status of the transaction.
pub const CLIENT_TRANSACTIONS: u32 = 0x2000;
/// Authentication by a challenge of 20 bytes.
pub const CLIENT_SECURE_CONNECTION: u32 = 0x8000;
/// Authentication plugins have names.
pub const CLIENT_PLUGIN_AUTH: u32 = 0x8_0000;
/// The authentication response is a length-encoded string.
pub const CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA: u32 = 0x20_0000;
/// Result sets end with an OK packet instead of an EOF packet.
pub const CLIENT_DEPRECATE_EOF: u32 = 0x100_0000;
/// COM_QUERY and COM_STMT_EXECUTE may carry query attributes.
pub const CLIENT_QUERY_ATTRIBUTES: u32 = 0x800_0000;
