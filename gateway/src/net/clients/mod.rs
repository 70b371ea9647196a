//! Handling of client connections and sessions in the event loop.
//!
//! The state is kept in [`super::sessions`]. Each concern has a module:
//! - `accept`: creates a session for a new connection, or rejects the connection
//! - `read`: reads sessions in the order of the read scheduler, and handles their messages
//! - `requests`: admission, final answer and cancellation of a request
//! - `eviction`: closes sessions to free a slot of the session table, a descriptor or memory
//! - `timeouts`: clients that make no progress, and sessions that exceed the idle limit
//! - `settle`: flushes and updates a session at the end of a turn, and closes connections
//!
//! Invariant: a session with an open request is closed only if its client has disconnected, its connection has failed,
//! or the process exits.

mod accept;
mod eviction;
mod read;
mod requests;
mod settle;
mod timeouts;
