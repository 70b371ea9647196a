//! The timers of the event loop.

use wrenhatch_sessions::session_table::Handle;

use super::engines;

/// The action that the event loop takes when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetTimer {
    /// The deadline of an engine connection, given by its slot and serial number: for connecting, for writing a delayed
    /// call, for a response, or for being idle.
    EngineConnection(usize, u32),
    /// The engine has not confirmed the cancellation of an attempt in time.
    CancelTimeout(engines::AttemptId),
    /// Retry of the connection that is to confirm the end of a lost attempt.
    Confirmation(engines::AttemptId),
    /// The deadline of a client: for its start-up, a message, or a graceful close.
    Client(Handle),
    /// The longest idle session may have reached the idle limit.
    IdleLimit,
    /// The deadline of the endpoint list's stream: for reconnecting, or for closing a silent stream.
    Watch,
    /// The deadline of the control plane's client: for reconnecting, closing a silent stream, or sending a report.
    ControlPlane,
    /// Retry of reading the configuration file, with the number of failures so far.
    Reload(u32),
    /// End of a pause in accepting clients that was caused by a lack of descriptors.
    Listeners,
    /// The oldest connection of the admin interface may have timed out.
    Admin,
    /// More statement ids may be available to the sessions that wait for one.
    StatementIds,
    /// The next phase of the graceful shutdown may begin.
    Shutdown,
}
