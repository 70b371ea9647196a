//! Packets and data types of the MySQL client/server protocol, shared by the MySQL front end and the MySQL engine
//! protocol. Names are those of the MySQL documentation.
//!
//! [`read_packet`] removes complete packets from the front of an input buffer, whose payloads a [`Reader`] parses.
//! Writers append to an output buffer.

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

/// Protocol version field of HandshakeV10.
pub const HANDSHAKE_VERSION: u8 = 10;
/// ID of the collation `utf8mb4_general_ci`.
pub const CHARSET_UTF8MB4: u8 = 45;
