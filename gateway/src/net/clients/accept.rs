//! New client connections: each gets a session, an error, or an immediate close.

use crate::front::DisconnectReason;
use std::net::{SocketAddr, TcpStream};

use wrenhatch_sessions::memory_budget::MemoryPurpose;

use crate::net::Server;
use crate::net::connection::Connection;
use crate::net::listeners::{self, FrontEnd};
use crate::net::sessions::Sessions;

/// Maximum number of rejected clients that are kept beyond the session limit during their graceful close.
const MAX_REJECTED_CLIENTS: usize = 12;

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptDecision {
    Session,
    /// The client gets an error, and the connection is closed gracefully.
    Rejection,
    /// The connection is closed at once.
    Close,
}

impl Server {
    /// Creates a session for a new client, evicting another one if necessary, or rejects the client. If too many
    /// rejected clients are still connected, the connection is closed without an error. The error for a rejected client
    /// also answers a request that the client may have sent after its start-up message.
    pub(in crate::net) fn accept_client(&mut self, stream: TcpStream, from: SocketAddr, front_end: FrontEnd) {
        let decision = self.decide_accept();
        if decision == AcceptDecision::Close {
            return;
        }
        if let Err(error) = listeners::set_tcp_keepalive(&stream, &self.config) {
            tracing::debug!(%error, "setting TCP keepalive failed");
        }
        let key = Sessions::key(self.sessions.table.next_handle());
        let connection = match Connection::accepted(&self.poll, stream, key, self.sessions.read_ahead_bytes())
        {
            Ok(connection) => connection,
            Err(error) => return tracing::warn!(%error, "registering a client connection failed"),
        };
        let handle = self.sessions.insert(connection, front_end, from, &self.config, self.time.now_us);
        self.counters.clients += 1;
        tracing::debug!(session = ?handle, ?front_end, "session opened");
        if decision == AcceptDecision::Rejection {
            if let Some(session) = self.sessions.table.active_mut(handle) {
                session
                    .protocol
                    .disconnect(DisconnectReason::TooManyConnections, &mut session.connection.output);
            }
            self.counters.turned_away += 1;
            self.close_gracefully(handle);
        }
        self.record_progress(handle, true);
    }

    fn decide_accept(&mut self) -> AcceptDecision {
        let session_bytes = Sessions::active_session_bytes();
        let is_memory_short = self.sessions.memory.check(MemoryPurpose::Sessions, session_bytes).is_err();
        if !(self.sessions.is_full() || is_memory_short) || self.evict_one() {
            AcceptDecision::Session
        } else if self.sessions.table.len() < self.sessions.max_sessions + MAX_REJECTED_CLIENTS {
            AcceptDecision::Rejection
        } else {
            AcceptDecision::Close
        }
    }
}
