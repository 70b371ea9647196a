//! The status codes that engines answer with, and what they mean for a query.

/// A page of the result.
pub const OK: u16 = 200;
/// The query runs.
pub const ACCEPTED: u16 = 202;
/// The call was taken; there is nothing to say of the query.
pub const NO_CONTENT: u16 = 204;
/// The query failed, or the engine does not know it.
pub const INTERNAL_SERVER_ERROR: u16 = 500;
/// An error; with the mark that the query never ran, the engine rejected it.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// An error; with the mark that the query never ran, it did not reach the engine.
pub const GATEWAY_TIMEOUT: u16 = 504;
