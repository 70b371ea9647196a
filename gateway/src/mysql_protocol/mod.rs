//! The MySQL client/server protocol, as far as both sides of the gateway need it: the front end, towards clients, and
//! the engine protocol. Names are those of the protocol's documentation.
//!
//! All of it works on byte buffers: reading takes complete packets from the front of an input buffer, writing appends
//! to an output buffer.

mod authentication;
pub mod capabilities;
pub mod command;
mod error;
mod packet;
mod parameters;
mod placeholders;
mod primitives;
mod result_set;

pub use authentication::{MYSQL_NATIVE_PASSWORD, native_password_response};
pub use error::{SqlError, error_code};
pub use packet::{
    EOF_HEADER, ERR_HEADER, MAX_PACKET_BYTES, OK_HEADER, PacketError, read_packet, write_packet,
};
pub use parameters::{Parameter, ParameterType, column_type, read_parameters, write_parameters};
pub use placeholders::count_placeholders;
pub use primitives::{Reader, write_lenenc_int, write_lenenc_string};
pub use result_set::{ResultSet, SERVER_STATUS_AUTOCOMMIT, eof_payload, ok_payload};

/// The version of the handshake packet.
pub const HANDSHAKE_VERSION: u8 = 10;
/// `utf8mb4_general_ci`.
pub const CHARSET_UTF8MB4: u8 = 45;
