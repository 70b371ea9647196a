//! The state of one session: active, with its connection and buffers, or suspended, with little more than its socket.

use std::net::TcpStream;

use workload_manager::RequestId;
use wrenhatch_sessions::session_table::Activity;
use wrenhatch_sessions::timer_wheel::TimerId;

use super::ProtocolSession;
use crate::front::mysql;
use crate::net::connection::{Connection, MAX_UNSENT_BYTES, Phase};

/// How long a client may take to complete its start-up, and a message that it began; it gets an error within 3 s.
pub const MESSAGE_TIMEOUT_US: u64 = 2_500_000;
/// How long a client may take to read its last message and to end its side, while what it sends is discarded.
pub const CLOSE_TIMEOUT_US: u64 = 4_000_000;

/// Bytes that an active session has reserved beside its slot and itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservedBytes {
    pub buffers: usize,
    pub statements: usize,
}

/// An active session.
pub struct ActiveSession {
    pub connection: Connection,
    pub protocol: ProtocolSession,
    /// Authenticates a CancelRequest for this session, beside the number of its slot.
    pub secret: u32,
    /// Its group in the read scheduler: that of its address, or of its tenant once that is known.
    pub group: u32,
    pub open_request: Option<RequestId>,
    /// Since when the client owes the rest of its start-up or of a message, or the end of its side.
    pub awaited_since_us: Option<u64>,
    /// Its timer, and when that is due.
    pub timer: Option<(u64, TimerId)>,
    /// Since when the message being read has waited to be read.
    pub ready_us: u64,
    /// It is read ahead of its turn, as it might be reached too late.
    pub read_ahead: bool,
    /// Input is left that was not read in its last turn.
    pub has_unread_input: bool,
    /// It is among those that are settled at the end of this turn.
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
            read_ahead: false,
            has_unread_input: false,
            dirty: false,
            reserved: ReservedBytes::default(),
        }
    }

    /// A request of it was admitted: from here on the client's end is seen whatever it sends.
    pub fn request_opened(&mut self, id: RequestId) {
        (self.open_request, self.connection.detects_end) = (Some(id), true);
    }

    /// Its request is over.
    pub fn request_closed(&mut self) -> Option<RequestId> {
        self.connection.detects_end = false;
        self.open_request.take()
    }

    /// What it is doing.
    pub fn activity(&self) -> Activity {
        match self.awaited_since_us {
            Some(_) if self.connection.phase == Phase::Closing => Activity::Closing,
            _ if self.open_request.is_some() => Activity::Busy,
            Some(_) => Activity::IncompleteMessage,
            None if !self.connection.output.is_empty() => Activity::UnreadOutput,
            None if self.protocol.statement_bytes() > 0 => Activity::IdleWithStatements,
            None => Activity::Idle,
        }
    }

    /// Whether it has to be read again without an event of the poller, as input is left and may be read.
    pub fn can_go_on(&self) -> bool {
        let takes_input = self.open_request.is_some() || self.connection.output.len() <= MAX_UNSENT_BYTES;
        self.has_unread_input && takes_input
    }

    /// When its client must have sent what it owes.
    pub fn due_us(&self) -> Option<u64> {
        let is_closing = self.connection.phase == Phase::Closing;
        let limit_us = if is_closing { CLOSE_TIMEOUT_US } else { MESSAGE_TIMEOUT_US };
        self.awaited_since_us.map(|since_us| since_us + limit_us)
    }

    /// Whether nothing of it would be lost if it were suspended, as far as it is known without its connection.
    fn may_be_suspended(&self) -> bool {
        self.protocol.is_idle()
            && self.open_request.is_none()
            && self.awaited_since_us.is_none()
            && self.timer.is_none()
            && !self.has_unread_input
    }

    /// Turns it into a suspended session, or hands it back where it is not idle.
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

/// What is kept of the protocol state of a suspended session.
pub enum SuspendedProtocol {
    Pg,
    MySql(mysql::SuspendedSession),
}

/// A suspended session: an idle one, without buffers, timer or protocol state beyond its prepared statements.
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

    /// Bytes that its prepared statements take.
    pub fn statement_bytes(&self) -> usize {
        match &self.protocol {
            SuspendedProtocol::Pg => 0,
            SuspendedProtocol::MySql(suspended) => suspended.statement_bytes(),
        }
    }
}

/// Bytes of a suspended session in its slot.
pub const SUSPENDED_SESSION_BYTES: usize = size_of::<SuspendedSession>();
/// Bytes of an active session, without its buffers.
pub const ACTIVE_SESSION_BYTES: usize = size_of::<ActiveSession>();
