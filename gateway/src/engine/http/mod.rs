//! The engines' HTTP protocol: requests, responses, and the exchange of one attempt, without I/O.
//!
//! An attempt is started by [`post`]; its [`Exchange`] takes each [`Response`] that [`read`] finds, says what it means
//! for the attempt and writes the next call. Names on the wire (`X-Ticket`, `X-Meter`, ...) are mapped in `request` and
//! `response` alone.

mod exchange;
mod load_report;
mod pages;
mod request;
mod response;
pub mod status;

pub use exchange::{Exchange, Step};
pub use request::{Start, delete, get, post, put_priority};
pub use response::{NotHttp, Response, read};

/// The longest head or body of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// How long a call for a progress report may stand at the engine before its response, in microseconds.
const PROGRESS_CALL_US: u64 = 250_000;
/// An engine drops a query that it has had no call for in 2 s, and every time limit of the protocol is 50 ms longer; in
/// microseconds.
const DROPPED_WITHOUT_CALL_US: u64 = 2_050_000;
/// How long an engine that says nothing more may run a query after the last call for it was written, in microseconds:
/// while that call stands at the engine, the query is not dropped.
pub const MAX_RUN_AFTER_LAST_CALL_US: u64 = PROGRESS_CALL_US + DROPPED_WITHOUT_CALL_US;

#[cfg(test)]
mod tests;
