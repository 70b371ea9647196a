//! The admin interface: status, metrics and maintenance of engines, over HTTP/1.1, without I/O.
//!
//! `net/admin.rs` carries it out: it reads a call with [`call::read`], does what the call asks for, and answers with
//! [`call::write_response`].

pub mod call;
pub mod metrics;
