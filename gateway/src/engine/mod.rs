//! Engine protocols: the client side of HTTP ([`http`]) and MySQL ([`mysql`]), as state machines over byte buffers.
//! They perform no I/O and make no routing or retry decisions.

pub mod http;
pub mod mysql;
