//! The clients' side of the event loop: what is done with the connections and the sessions of clients.
//!
//! The state is that of [`super::sessions`]; each concern stands in a module of its own:
//! - `accept`: gives a new connection a place, or rejects it
//! - `read`: reads sessions in the order of the read scheduler, and handles their messages
//! - `requests`: admission of a request, its final answer, and its cancellation
//! - `eviction`: closes sessions to free a place, a descriptor or memory
//! - `timeouts`: clients that make no progress, and sessions idle for too long
//! - `settle`: what is done for a session at the end of a turn, and how a connection is closed
//!
//! Invariant: a session whose request is open is never closed by this side, except with its process.

mod accept;
mod eviction;
mod read;
mod requests;
mod settle;
mod timeouts;
