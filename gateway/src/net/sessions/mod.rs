//! Client sessions: the session table, the read scheduler, and the memory budget.
//!
//! Every change of [`Sessions::table`] that changes the memory in use must go through a method of [`Sessions`], which
//! updates the memory budget.

mod figures;
mod limits;
mod protocol;
mod state;

pub use limits::{max_engine_connections, max_sessions, read_limits};
pub use protocol::{ProtocolSession, too_many_clients};
pub use state::{ACTIVE_SESSION_BYTES, CLOSE_TIMEOUT_US, MESSAGE_TIMEOUT_US, SUSPENDED_SESSION_BYTES};

use std::net::{IpAddr, SocketAddr};

use rand::rand_core::OsError;
use rand::rngs::{OsRng, StdRng};
use rand::{RngCore, SeedableRng};
use wrenhatch_sessions::memory_budget::{MemoryBudget, MemoryPurpose};
use wrenhatch_sessions::read_scheduler::{RECENTLY_ACTIVE_US, ReadPriority, ReadScheduler};
use wrenhatch_sessions::session_table::{Activity, Handle, RemovedSession, SessionTable};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::connection::{Connection, Phase};
use super::listeners::FrontEnd;
use super::poll_key::PollKey;
use crate::config::Config;
use crate::front::{mysql, pg};
use state::{ActiveSession, ReservedBytes, SuspendedProtocol, SuspendedSession};

/// Divisor of the session limit. The quotient is the number of sessions with incomplete messages that counts as a
/// connection surge.
const SURGE_DIVISOR: usize = 4;
/// Lower bound of the number of sessions with incomplete messages that counts as a connection surge.
const MIN_SURGE_SESSIONS: usize = 32;
/// Read-ahead of a client connection in addition to the longest message.
const READ_AHEAD_EXTRA_BYTES: usize = 1024;
/// Set in the group of a tenant and cleared in the group of an address.
const TENANT_GROUP_BIT: u32 = 1 << 31;

/// The session table of the gateway, with its types for suspended and active sessions.
pub type ClientTable = SessionTable<SuspendedSession, ActiveSession>;

/// The sessions of all clients.
pub struct Sessions {
    pub table: ClientTable,
    pub scheduler: ReadScheduler,
    pub memory: MemoryBudget,
    /// Sessions to be settled at the end of this turn.
    pub dirty: Vec<Handle>,
    /// Maximum number of sessions, not counting rejected clients that are being closed.
    pub max_sessions: usize,
    /// Length of the longest message accepted from a client, in bytes.
    longest_message_bytes: usize,
    /// Seeded by the system and not by the configuration: two processes of a gateway may have the same seed, and no
    /// client may compute the secrets and query ids of others.
    random: StdRng,
    /// Fires when the longest idle session may have reached the idle limit.
    pub idle_timer: Option<TimerId>,
}

/// The read scheduler's group for the clients of an address.
fn address_group(address: SocketAddr) -> u32 {
    let bits = match address.ip() {
        IpAddr::V4(ip) => ip.to_bits(),
        // The upper half is the network prefix. A client can choose any address within its prefix.
        IpAddr::V6(ip) => (ip.to_bits() >> 64) as u32 ^ (ip.to_bits() >> 96) as u32,
    };
    bits & !TENANT_GROUP_BIT
}

impl Sessions {
    /// Creates an empty session table.
    ///
    /// # Errors
    /// The system has no random numbers.
    pub fn new(config: &Config) -> Result<Self, OsError> {
        let deadlines = config.settings.classes.iter().map(|c| c.deadline);
        Ok(Self {
            table: SessionTable::new(),
            scheduler: ReadScheduler::new(read_limits(config, deadlines)),
            memory: MemoryBudget::new(config.memory_bytes),
            dirty: Vec::new(),
            max_sessions: max_sessions(config),
            longest_message_bytes: limits::longest_message_bytes(config),
            random: StdRng::try_from_rng(&mut OsRng)?,
            idle_timer: None,
        })
    }

    /// The poller's key of a session.
    pub fn key(handle: Handle) -> u64 {
        PollKey::Session(handle).encode()
    }

    /// A random number that can't be computed from others.
    pub fn next_random(&mut self) -> u32 {
        self.random.next_u32()
    }

    /// A random number from 0 to 1, both included.
    pub fn random_float(&mut self) -> f64 {
        f64::from(self.next_random()) / f64::from(u32::MAX)
    }

    /// Generates a query id of 16 hex digits, for a request without an id.
    pub fn new_query_id(&mut self) -> String {
        format!("{:016x}", self.random.next_u64())
    }

    /// Whether a session must be evicted before a new client gets one.
    pub fn is_full(&self) -> bool {
        self.table.len() >= self.max_sessions
    }

    /// The session to evict first; `None` if no session may be evicted.
    pub fn eviction_candidate(&self, now_us: u64) -> Option<Handle> {
        let surge_size = (self.max_sessions / SURGE_DIVISOR).max(MIN_SURGE_SESSIONS);
        self.table.eviction_candidate(now_us, surge_size)
    }

    /// Read-ahead of a client connection in bytes.
    pub fn read_ahead_bytes(&self) -> usize {
        self.longest_message_bytes + READ_AHEAD_EXTRA_BYTES
    }

    /// Size of a new session in bytes, with its slot and without its buffers.
    pub const fn active_session_bytes() -> usize {
        ClientTable::slot_bytes() + ACTIVE_SESSION_BYTES
    }

    /// Adds a session for a connection, which must be registered under the key of the table's next handle.
    pub fn insert(
        &mut self,
        mut connection: Connection,
        front_end: FrontEnd,
        from: SocketAddr,
        config: &Config,
        now_us: u64,
    ) -> Handle {
        let (slot, secret) = (self.table.next_handle().index + 1, self.next_random());
        let protocol = match (front_end, &config.mysql) {
            (FrontEnd::MySql, Some(m)) => {
                let mut challenge = [0; 20];
                self.random.fill_bytes(&mut challenge);
                let (directory, output) = (m.directory.clone(), &mut connection.output);
                ProtocolSession::MySql(Box::new(mysql::Session::new(slot, challenge, directory, output)))
            }
            _ => ProtocolSession::Pg(pg::Session::new(
                pg::BackendKey { process_id: slot, secret },
                self.longest_message_bytes,
            )),
        };
        self.memory.reserve(MemoryPurpose::Sessions, Self::active_session_bytes());
        let session = ActiveSession::new(connection, protocol, secret, address_group(from));
        self.table.insert(now_us, Box::new(session))
    }

    /// Resumes a session if it is suspended. Returns false if the session no longer exists.
    pub fn resume(&mut self, handle: Handle, config: &Config, now_us: u64) -> bool {
        let (longest, read_ahead) = (self.longest_message_bytes, self.read_ahead_bytes());
        let memory = &mut self.memory;
        self.table.resume(handle, now_us, |suspended| {
            let statements = suspended.statement_bytes();
            let protocol = match (suspended.protocol, &config.mysql) {
                (SuspendedProtocol::MySql(protocol), Some(m)) => {
                    ProtocolSession::MySql(Box::new(mysql::Session::resume(protocol, m.directory.clone())))
                }
                _ => {
                    let key = pg::BackendKey { process_id: handle.index + 1, secret: suspended.secret };
                    ProtocolSession::Pg(pg::Session::resume(key, longest))
                }
            };
            memory.reserve(MemoryPurpose::Sessions, ACTIVE_SESSION_BYTES);
            let connection = Connection::resume(suspended.stream, read_ahead);
            let mut session = ActiveSession::new(connection, protocol, suspended.secret, suspended.group);
            session.reserved.statements = statements;
            Box::new(session)
        })
    }

    /// Suspends a session if it is idle, and releases its memory except for its slot and its prepared statements.
    pub fn suspend(&mut self, handle: Handle) {
        let mut buffers = 0;
        let is_suspended = self.table.suspend(handle, |session| {
            buffers = session.reserved.buffers;
            session.suspend()
        });
        if is_suspended {
            self.memory.release(MemoryPurpose::Sessions, ACTIVE_SESSION_BYTES);
            self.memory.release(MemoryPurpose::Buffers, buffers);
        }
    }

    /// Updates the memory reserved for the buffers and prepared statements of an active session.
    pub fn update_reservation(&mut self, handle: Handle) {
        let Some(session) = self.table.active_mut(handle) else { return };
        let reserved = ReservedBytes {
            buffers: session.connection.buffer_bytes(),
            statements: session.protocol.statement_bytes(),
        };
        let before = std::mem::replace(&mut session.reserved, reserved);
        self.memory.resize(MemoryPurpose::Buffers, before.buffers, reserved.buffers);
        self.memory.resize(MemoryPurpose::Statements, before.statements, reserved.statements);
    }

    /// Removes a session and releases its memory reservations. Returns `None` if the session has ended already.
    pub fn remove(&mut self, handle: Handle) -> Option<RemovedSession<SuspendedSession, ActiveSession>> {
        let removed = self.table.remove(handle)?;
        match &removed {
            RemovedSession::Active(session) => {
                self.memory.release(MemoryPurpose::Sessions, Self::active_session_bytes());
                self.memory.release(MemoryPurpose::Buffers, session.reserved.buffers);
                self.memory.release(MemoryPurpose::Statements, session.reserved.statements);
            }
            RemovedSession::Suspended(suspended) => {
                self.memory.release(MemoryPurpose::Sessions, ClientTable::slot_bytes());
                self.memory.release(MemoryPurpose::Statements, suspended.statement_bytes());
            }
        }
        Some(removed)
    }

    /// The secret that a CancelRequest for this session must contain; `None` if the session has ended.
    pub fn secret_of(&self, handle: Handle) -> Option<u32> {
        let suspended = || self.table.suspended(handle).map(|suspended| suspended.secret);
        self.table.active(handle).map(|session| session.secret).or_else(suspended)
    }

    /// Marks an active session to be settled at the end of the turn.
    pub fn mark_dirty(&mut self, handle: Handle) {
        if let Some(session) = self.table.active_mut(handle) {
            if !std::mem::replace(&mut session.dirty, true) {
                self.dirty.push(handle);
            }
        }
    }

    /// The read scheduler's priority and group for a session; `None` if the session no longer exists.
    fn priority_and_group(&self, handle: Handle, now_us: u64) -> Option<(ReadPriority, u32)> {
        if let Some(session) = self.table.active(handle) {
            let is_open = session.open_request.is_some() || session.connection.phase == Phase::Closing;
            let priority = match session.protocol.is_starting() {
                _ if is_open => ReadPriority::OpenRequest,
                true => ReadPriority::Starting,
                false => ReadPriority::PartialMessage,
            };
            return Some((priority, session.group));
        }
        let suspended = self.table.suspended(handle)?;
        let since_us = self.table.activity(handle).map_or(0, |(_, since_us)| since_us);
        let is_recent = now_us < since_us + RECENTLY_ACTIVE_US;
        let priority = if is_recent { ReadPriority::RecentlyActive } else { ReadPriority::LongIdle };
        Some((priority, suspended.group))
    }

    /// Queues a session with input for reading, unless it is queued already.
    pub fn enqueue_read(&mut self, handle: Handle, now_us: u64) {
        let Some((priority, group)) = self.priority_and_group(handle, now_us) else { return };
        if self.table.set_queued(handle) {
            self.scheduler.enqueue(handle, priority, group, now_us);
            // The input may be a request, so that the session must not be evicted before it is read.
            if self.table.activity(handle).is_some_and(|(activity, _)| activity.is_idle()) {
                self.table.set_activity(handle, Activity::Busy, now_us);
            }
        }
    }

    /// Moves a session to the read scheduler's group of a tenant.
    pub fn set_tenant(&mut self, handle: Handle, tenant: usize) {
        if let Some(session) = self.table.active_mut(handle) {
            session.group = TENANT_GROUP_BIT | tenant as u32;
        }
    }

    /// Whether any session has unsent output.
    pub fn is_writing(&self) -> bool {
        self.table.all_active().any(|session| !session.connection.output.is_empty())
    }
}

#[cfg(test)]
mod tests;
