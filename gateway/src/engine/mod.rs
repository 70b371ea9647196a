//! Engine protocols: HTTP ([`http`]) and MySQL ([`mysql`]). Each is a state machine over bytes, without I/O or decisions.

pub mod http;
pub mod mysql;
