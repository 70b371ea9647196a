//! Capability flags that client and server negotiate in the connection phase.

/// Flags that the gateway sets as a server, and as a client if the engine has set them.
pub const BASE: u32 = CLIENT_LONG_PASSWORD
    | CLIENT_LONG_FLAG
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION;
/// Improved version of the old password authentication.
pub const CLIENT_LONG_PASSWORD: u32 = 0x1;
/// Column flags have two bytes.
pub const CLIENT_LONG_FLAG: u32 = 0x4;
/// HandshakeResponse41 contains a database name.
pub const CLIENT_CONNECT_WITH_DB: u32 = 0x8;
/// Packets have the formats of protocol 4.1.
pub const CLIENT_PROTOCOL_41: u32 = 0x200;
/// OK and EOF packets contain status flags.
pub const CLIENT_TRANSACTIONS: u32 = 0x2000;
/// Authentication uses a challenge of 20 bytes.
pub const CLIENT_SECURE_CONNECTION: u32 = 0x8000;
/// The handshake negotiates an authentication plugin by its name.
pub const CLIENT_PLUGIN_AUTH: u32 = 0x8_0000;
/// The authentication response in HandshakeResponse41 is a length-encoded string.
pub const CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA: u32 = 0x20_0000;
/// Result sets end with an OK packet instead of an EOF packet, and no EOF packet follows column definitions.
pub const CLIENT_DEPRECATE_EOF: u32 = 0x100_0000;
/// COM_QUERY and COM_STMT_EXECUTE support query attributes.
pub const CLIENT_QUERY_ATTRIBUTES: u32 = 0x800_0000;
