//! Status codes of engine responses, and their meanings in the engines' protocol.

/// The content is a page of the result.
pub const OK: u16 = 200;
/// The query is running.
pub const ACCEPTED: u16 = 202;
/// The call was accepted. In response to DELETE, it means that the query has ended.
pub const NO_CONTENT: u16 = 204;
/// The query failed, or the engine has no query with this id.
pub const INTERNAL_SERVER_ERROR: u16 = 500;
/// The query failed. With `X-Shed`, the engine rejected it before it ran.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// The query failed. With `X-Shed`, it did not reach the engine.
pub const GATEWAY_TIMEOUT: u16 = 504;
