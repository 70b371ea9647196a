//! The state of one session. An active session has a connection with buffers. A suspended session has little more than
//! its socket.

use std::net::TcpStream;

use workload_manager::RequestId;
use wrenhatch_sessions::session_table::Activity;
use wrenhatch_sessions::timer_wheel::TimerId;

use super::ProtocolSession;
use crate::front::mysql;
use crate::net::connection::{Connection, MAX_UNSENT_BYTES, Phase};

/// Time limit for completing a start-up or a message. A client that exceeds it must get an error within 3 s.
pub const MESSAGE_TIMEOUT_US: u64 = 2_500_000;
/// Time limit of a graceful close, in which the client reads the last message and closes its side.
pub const CLOSE_TIMEOUT_US: u64 = 4_000_000;

/// Memory that an active session has reserved in addition to its slot and its state, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservedBytes {
    pub buffers: usize,
    pub statements: usize,
}

/// A session with a connection, buffers and protocol state.
pub struct ActiveSession {
    pub connection: Connection,
    pub protocol: ProtocolSession,
    /// Number that a CancelRequest must contain together with the session's slot.
    pub secret: u32,
    /// Group in the read scheduler: the client's address, or the tenant once a request has named one.
    pub group: u32,
    pub open_request: Option<RequestId>,
    /// Time at which the wait for the client began: for the rest of a start-up or message, or for the client's close.
    pub awaited_since_us: Option<u64>,
    /// Due time of the session's timer, in microseconds, and the timer.
    pub timer: Option<(u64, TimerId)>,
    /// Time at which the message being read became ready to be read.
    pub ready_us: u64,
    /// The current read is expedited, see
    /// [`ScheduledRead::expedited`](wrenhatch_sessions::read_scheduler::ScheduledRead::expedited).
    pub expedited: bool,
    /// The last read stopped before all available input was read and handled.
    pub has_unread_input: bool,
    /// The session will be settled at the end of this turn.
    pub dirty: bool,
    pub reserved: ReservedBytes,
}

impl ActiveSession {
    pub fn new(connection: Connection, protocol: ProtocolSession, secret: u32, group: u32) -> Self {
        Self {
            connection,
            protocol,
            secret,
            group,
            open_request: None,
            awaited_since_us: None,
            timer: None,
            ready_us: 0,
            expedited: false,
            has_unread_input: false,
            dirty: false,
            reserved: ReservedBytes::default(),
        }
    }

    /// Records an admitted request. While it is open, a disconnect of the client is detected after any amount of
    /// input.
    pub fn set_open_request(&mut self, id: RequestId) {
        (self.open_request, self.connection.detects_end) = (Some(id), true);
    }

    /// Removes and returns the open request.
    pub fn take_open_request(&mut self) -> Option<RequestId> {
        self.connection.detects_end = false;
        self.open_request.take()
    }

    /// The activity by which the session table ranks the session for eviction.
    pub fn activity(&self) -> Activity {
        match self.awaited_since_us {
            Some(_) if self.connection.phase == Phase::Closing => Activity::Closing,
            _ if self.open_request.is_some() || self.protocol.is_preparing() => Activity::Busy,
            Some(_) => Activity::IncompleteMessage,
            None if !self.connection.output.is_empty() => Activity::UnreadOutput,
            None if self.protocol.statement_bytes() > 0 => Activity::IdleWithStatements,
            None => Activity::Idle,
        }
    }

    /// Whether the session must be queued for reading without an event of the poller, as unread input remains and may
    /// be read.
    pub fn should_read_again(&self) -> bool {
        let may_read = self.open_request.is_some() || self.connection.output.len() <= MAX_UNSENT_BYTES;
        self.has_unread_input && may_read && !self.protocol.is_preparing()
    }

    /// Deadline of the wait for the client, in microseconds; `None` if the client is not waited for.
    pub fn deadline_us(&self) -> Option<u64> {
        let is_closing = self.connection.phase == Phase::Closing;
        let limit_us = if is_closing { CLOSE_TIMEOUT_US } else { MESSAGE_TIMEOUT_US };
        self.awaited_since_us.map(|since_us| since_us + limit_us)
    }

    /// Whether the session can be suspended without losing state. The connection is checked separately.
    fn may_be_suspended(&self) -> bool {
        self.protocol.is_idle()
            && self.open_request.is_none()
            && self.awaited_since_us.is_none()
            && self.timer.is_none()
            && !self.has_unread_input
    }

    /// Converts the session to a suspended one. A session that is not idle is returned unchanged.
    pub fn suspend(mut self: Box<Self>) -> Result<SuspendedSession, Box<Self>> {
        if !self.may_be_suspended() {
            return Err(self);
        }
        match self.connection.into_idle_stream() {
            Ok(stream) => {
                let protocol = match self.protocol {
                    ProtocolSession::Pg(_) => SuspendedProtocol::Pg,
                    ProtocolSession::MySql(session) => SuspendedProtocol::MySql(session.suspend()),
                };
                Ok(SuspendedSession { stream, secret: self.secret, group: self.group, protocol })
            }
            Err(connection) => {
                self.connection = connection;
                Err(self)
            }
        }
    }
}

/// The protocol state kept while a session is suspended.
pub enum SuspendedProtocol {
    Pg,
    MySql(mysql::SuspendedSession),
}

/// An idle session without buffers or timer. [`SuspendedProtocol`] is the part of its protocol state that is kept.
pub struct SuspendedSession {
    pub stream: TcpStream,
    pub secret: u32,
    pub group: u32,
    pub protocol: SuspendedProtocol,
}

impl SuspendedSession {
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Size of the session's prepared statements in bytes.
    pub fn statement_bytes(&self) -> usize {
        match &self.protocol {
            SuspendedProtocol::Pg => 0,
            SuspendedProtocol::MySql(suspended) => suspended.statement_bytes(),
        }
    }
}

/// Size of a suspended session in bytes. It is stored in its slot of the session table.
pub const SUSPENDED_SESSION_BYTES: usize = size_of::<SuspendedSession>();
/// Size of an active session in bytes, without its buffers.
pub const ACTIVE_SESSION_BYTES: usize = size_of::<ActiveSession>();
