//! Live reconfiguration of gateways: versioned settings and the protocol that distributes them from control plane
//! servers to gateways.
//!
//! A control plane server holds a [`Publisher`] and a gateway holds a [`Subscriber`]. The publisher sends
//! [`Message`]s over a stream, and the subscriber answers with [`Report`]s. The caller of [`Publisher::publish`]
//! assigns version numbers, which increase strictly. All input from the wire is validated before use and causes no
//! panic.
//!
//! The crate does no I/O and reads no clock. All times are microseconds of the caller's monotonic clock.
//!
//! Modules:
//! - `version`, `document`: version numbers, digests, gateway names, and the normalised settings.
//! - `message`, `patch`: snapshots, deltas, heartbeats and reports, and the patches in deltas.
//! - `publisher`, `pacing`: the control plane server's side, and its rate limits.
//! - `subscriber`, `backoff`: the gateway's side, and its choice of server and reconnect delays.
//! - `hash`: hash functions for digests and pseudorandom numbers.

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
pub use subscriber::{Position, STREAM_TIMEOUT_US, Subscriber, SubscriberAction};
pub use version::{Digest, GatewayId, Version};
