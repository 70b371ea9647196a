//! Engine links: what engines speak. Each is a state machine over bytes, without sockets or decisions.

pub mod http;
pub mod mysql;
