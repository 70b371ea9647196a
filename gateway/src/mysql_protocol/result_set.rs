//! Result sets, and the OK and EOF packets that belong to them.

use super::{EOF_HEADER, SqlError, write_lenenc_int};

/// Status flag: each statement commits by itself.
pub const SERVER_STATUS_AUTOCOMMIT: u16 = 2;

/// What an engine answered to a statement, packets as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultSet {
    /// No rows.
    Done {
        /// Rows affected.
        affected_rows: u64,
        /// Last id given.
        last_insert_id: u64,
    },
    /// Rows, in the text or the binary protocol as asked for.
    Rows {
        /// Column definitions.
        columns: Vec<Vec<u8>>,
        /// Rows.
        rows: Vec<Vec<u8>>,
    },
    /// The statement is at fault.
    StatementError(SqlError),
}

/// The payload of an OK packet; `header` is [`EOF_HEADER`] at the end of rows.
pub fn ok_payload(header: u8, affected_rows: u64, last_insert_id: u64) -> Vec<u8> {
    let mut payload = vec![header];
    write_lenenc_int(&mut payload, affected_rows);
    write_lenenc_int(&mut payload, last_insert_id);
    payload.extend(SERVER_STATUS_AUTOCOMMIT.to_le_bytes());
    payload.extend([0, 0]);
    payload
}

/// The payload of an EOF packet, for clients without CLIENT_DEPRECATE_EOF.
pub fn eof_payload() -> [u8; 5] {
    let [low, high] = SERVER_STATUS_AUTOCOMMIT.to_le_bytes();
    [EOF_HEADER, 0, 0, low, high]
}
