//! Process replacement: a new process of a gateway takes the place of the running one, without a lost request.
//!
//! The successor connects to a Unix socket of its predecessor and says hello. The predecessor answers with its state
//! (endpoint list, engines in maintenance) and its listeners. Once the successor serves, it accepts all new clients;
//! the predecessor finishes what it has and ends. Until then both exchange maintenance calls, CancelRequests and leases
//! of order keys.
//!
//! This module holds the messages and does no I/O; [`crate::net`] carries them.

pub mod messages;

pub use messages::{Message, MessageError, PeerFeatures};
