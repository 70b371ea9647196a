//! What the event loop's timers are for.

use wrenhatch_sessions::session_table::Handle;

use super::engines;

/// A timer of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Something must have happened on a connection to an engine: its slot and serial.
    EngineConnection(usize, u32),
    /// An engine should have confirmed a cancellation by now.
    CancelTimeout(engines::AttemptId),
    /// The engine of a lost attempt is asked again to confirm its end.
    Confirmation(engines::AttemptId),
    /// A client may have exceeded its time limit: for its start-up, a message, or a graceful close.
    Client(Handle),
    /// The session that has been idle for longest may have been so for too long.
    IdleLimit,
    /// The coordinator's stream is looked at.
    Watch,
    /// The control plane's stream is checked, and the report that is due.
    ControlPlane,
    /// The configuration's file is read again; how often that has failed.
    Reload(u32),
    /// Descriptors may be there again for new connections.
    Listeners,
    /// Connections of the admin interface may have been open for too long.
    Admin,
    /// The next phase of the graceful shutdown may begin.
    Shutdown,
}
