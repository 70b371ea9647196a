//! Numbers of file descriptors that are reserved and not available to client sessions.

/// Descriptors of one process for anything but clients, engines, the admin interface and the control plane: listeners,
/// poller, signals, standard streams, discovery service, peer processes, the connection being accepted, and a spare.
pub const OWN_DESCRIPTORS: usize = 32;
/// Descriptors that remain for connections to engines, the admin interface and the control plane at the maximum number
/// of sessions.
pub(super) const MIN_ENGINE_CONNECTIONS: usize = 8;
