//! Numbers of file descriptors that are reserved and not available to client sessions.

/// Descriptors other than established connections: listeners, poller, signals, standard streams, the connection being
/// accepted, and a spare one.
pub const OWN_DESCRIPTORS: usize = 32;
/// Descriptors reserved for connections to engines.
pub(super) const MIN_ENGINE_CONNECTIONS: usize = 8;
