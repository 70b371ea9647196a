//! Responses to a statement: result sets, and the payloads of OK and EOF packets.

use super::{EOF_HEADER, SqlError, write_lenenc_int};

/// Status flag: autocommit mode is enabled.
pub const SERVER_STATUS_AUTOCOMMIT: u16 = 2;

/// An engine's response to a statement. Column definitions and rows are unchanged payloads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultSet {
    /// An OK packet.
    Done {
        /// Number of inserted, updated or deleted rows.
        affected_rows: u64,
        /// Value generated for an AUTO_INCREMENT column, or 0.
        last_insert_id: u64,
    },
    /// A result set, in the text protocol for COM_QUERY and in the binary protocol for COM_STMT_EXECUTE.
    Rows {
        /// Payloads of the ColumnDefinition41 packets.
        columns: Vec<Vec<u8>>,
        /// Payloads of the row packets.
        rows: Vec<Vec<u8>>,
    },
    /// An error caused by the statement itself.
    StatementError(SqlError),
}

/// Returns the payload of an OK packet. `header` is [`EOF_HEADER`] if the packet ends a result set.
pub fn ok_payload(header: u8, affected_rows: u64, last_insert_id: u64) -> Vec<u8> {
    let mut payload = vec![header];
    write_lenenc_int(&mut payload, affected_rows);
    write_lenenc_int(&mut payload, last_insert_id);
    payload.extend(SERVER_STATUS_AUTOCOMMIT.to_le_bytes());
    payload.extend([0, 0]);
    payload
}

/// Returns the payload of an EOF packet, for clients without CLIENT_DEPRECATE_EOF.
pub fn eof_payload() -> [u8; 5] {
    let [low, high] = SERVER_STATUS_AUTOCOMMIT.to_le_bytes();
    [EOF_HEADER, 0, 0, low, high]
}
