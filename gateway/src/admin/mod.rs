//! The admin interface over HTTP/1.1: status, metrics, and maintenance of engines. Performs no I/O.
//!
//! `net/admin.rs` reads a call with [`call::read`], executes it, and responds with [`call::write_response`].

pub mod call;
pub mod metrics;
