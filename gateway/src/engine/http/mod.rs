//! The engines' HTTP protocol: encodes calls, parses responses, and tracks the exchange of one attempt, without I/O.
//!
//! [`post`] writes the call that starts an attempt. Each [`Response`] parsed by [`read`] is passed to the attempt's
//! [`Exchange`], which determines its effect and writes the next call. Only `request` writes header fields such as
//! `X-Ticket`, and only `response` reads them.

mod exchange;
mod load_report;
mod pages;
mod request;
mod response;
pub mod status;

pub use exchange::{Exchange, Step};
pub use request::{StartCall, delete, get, post, put_priority};
pub use response::{InvalidResponse, Response, read};

/// Maximum length of a response's header section, and of its content.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Maximum time for which an engine delays the response to a progress call (long polling).
const MAX_PROGRESS_POLL_US: u64 = 250_000;
/// Time without a call after which an engine drops a query: 2 s, plus the protocol's tolerance of 50 ms.
const QUERY_EXPIRY_US: u64 = 2_050_000;
/// Time after the last call was written beyond which an unresponsive engine no longer runs the query. The engine can't
/// drop the query while it delays the response to that call.
pub const MAX_RUN_AFTER_LAST_CALL_US: u64 = MAX_PROGRESS_POLL_US + QUERY_EXPIRY_US;

#[cfg(test)]
mod tests;
