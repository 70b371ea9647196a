//! Numbers of file descriptors that are reserved and not available to client sessions.

/// Descriptors of one process for anything but clients, engines, the admin interface and the control plane: listeners,
/// poller, signals, standard streams, discovery service, peer processes, the connection being accepted, and a spare.
pub const OWN_DESCRIPTORS: usize = 32;
/// Descriptors reserved for connections to engines.
pub(super) const MIN_ENGINE_CONNECTIONS: usize = 8;
