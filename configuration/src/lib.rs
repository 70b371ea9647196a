//! Versioned configuration that gateways take over in service, without sockets and without a clock of its own.
//!
//! Whoever publishes assigns strictly rising versions. A control machine holds a [`Publisher`], a gateway a
//! [`Subscriber`]; between them go [`Message`]s on a stream and [`Report`]s back. What is read from the wire is
//! checked before it counts, and nothing that comes from there makes the crate panic.
//!
//! All times are whole microseconds of the caller's monotonic clock, handed in.

mod backoff;
mod document;
mod hash;
mod message;
mod pacing;
mod patch;
mod publisher;
mod subscriber;
mod version;

pub use backoff::{BACKOFF_FIRST_US, BACKOFF_MOST_US};
pub use document::{Document, DocumentError};
pub use message::{
    Delta, MAX_MESSAGE_BYTES, MAX_REASON_CHARS, Message, MessageError, Report, Snapshot, VerifyError,
};
pub use pacing::Pacing;
pub use patch::{LIST_MEMBER, PatchError};
pub use publisher::{
    Connection, GatewayStatus, HEARTBEAT_US, HISTORY_VERSIONS, Merge, Outgoing, PublishError, Publisher,
    REMEMBERED_GATEWAYS, REPORT_TIMEOUT_MOST_US, REPORT_TIMEOUT_US, RefusedVersion, Status,
};
pub use subscriber::{Position, SILENCE_US, Step, Subscriber};
pub use version::{Digest, GatewayId, Version};
