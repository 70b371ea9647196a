//! Live reconfiguration: versions of the gateways' settings, without sockets and without a clock of its own.
//!
//! Versions rise strictly; they are assigned by the publisher. A control plane server holds a [`Publisher`], a gateway
//! a [`Subscriber`]; [`Message`]s go from the one to the other on a stream, and [`Report`]s go back. Input from the wire
//! is checked before it counts, and none makes the crate panic.
//!
//! All times are whole microseconds of the caller's monotonic clock, passed in.

mod backoff;
mod document;
mod hash;
mod message;
mod pacing;
mod patch;
mod publisher;
mod subscriber;
mod version;

pub use backoff::{BACKOFF_INITIAL_US, BACKOFF_MAX_US};
pub use document::{Document, DocumentError};
pub use message::{
    Delta, MAX_MESSAGE_BYTES, MAX_REASON_CHARS, Message, MessageError, Report, Snapshot, VerifyError,
};
pub use pacing::Pacing;
pub use patch::{LIST_MEMBER, PatchError};
pub use publisher::{
    ConnectionId, GatewayStatus, HEARTBEAT_INTERVAL_US, HISTORY_VERSIONS, MAX_KNOWN_GATEWAYS,
    MAX_REPORT_TIMEOUT_US, MergeResult, OutgoingMessage, PublishError, Publisher, REPORT_TIMEOUT_US,
    RefusedVersion, Status,
};
pub use subscriber::{Position, SILENCE_TIMEOUT_US, Subscriber, SubscriberAction};
pub use version::{Digest, GatewayId, Version};
