//! Process replacement: a new process of a gateway replaces the running process without losing requests.
//!
//! The successor connects to a Unix socket of its predecessor and sends [`Message::Hello`]. The predecessor responds
//! with its state (known engines, endpoint list, engines in maintenance) and its listeners. The successor then accepts
//! all new clients, and the predecessor serves its remaining clients until it is shut down. Until then, both processes
//! exchange maintenance calls and leases of order keys, and the successor forwards CancelRequests to the predecessor.
//!
//! This module defines the messages and does no I/O. [`crate::net`] sends and receives them.

pub mod messages;

pub use messages::{Message, MessageError, PeerFeatures};
