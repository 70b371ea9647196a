//! Descriptors that are taken before any client's.

/// Descriptors beside connections: listeners, poller, signals, standard streams, one being accepted, the spare.
pub const OWN_DESCRIPTORS: usize = 32;
/// Connections to engines without which there is no service.
pub(super) const MIN_ENGINE_CONNECTIONS: usize = 8;
