//! New client connections.

use crate::front::DisconnectReason;
use std::net::{SocketAddr, TcpStream};

use wrenhatch_sessions::memory_budget::MemoryPurpose;

use crate::net::Server;
use crate::net::connection::Connection;
use crate::net::listeners::{self, FrontEnd};
use crate::net::sessions::Sessions;

/// Rejected clients that are held beyond the limit of sessions until they have read why.
const MAX_REJECTED_CLIENTS: usize = 12;

/// What a new client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Session,
    /// An error, for which it is held until it has read that.
    Rejection,
    /// Nothing: it is closed at once.
    None,
}

impl Server {
    /// Gives a new client a session, if need be the place of another one. A client that is rejected may have sent a
    /// request behind its start-up message, which thereby is rejected too.
    pub(in crate::net) fn accept_client(&mut self, stream: TcpStream, from: SocketAddr, front: FrontEnd) {
        let place = self.find_place();
        if place == Place::None {
            return;
        }
        if let Err(error) = listeners::keep_alive(&stream, &self.config) {
            tracing::debug!(%error, "setting TCP keepalive failed");
        }
        let key = Sessions::key(self.sessions.table.next_handle());
        let connection = match Connection::accepted(&self.poll, stream, key, self.sessions.read_ahead_bytes())
        {
            Ok(connection) => connection,
            Err(error) => return tracing::warn!(%error, "registering a client connection failed"),
        };
        let handle = self.sessions.insert(connection, front, from, &self.config, self.time.now_us);
        self.counters.clients += 1;
        if place == Place::Rejection {
            if let Some(session) = self.sessions.table.active_mut(handle) {
                session
                    .protocol
                    .disconnect(DisconnectReason::TooManyConnections, &mut session.connection.output);
            }
            self.counters.turned_away += 1;
            self.close_gracefully(handle);
        }
        self.note_progress(handle, true);
    }

    fn find_place(&mut self) -> Place {
        let session_bytes = Sessions::active_session_bytes();
        let memory_short = self.sessions.memory.check(MemoryPurpose::Sessions, session_bytes).is_err();
        if !(self.sessions.is_full() || memory_short) || self.evict_one() {
            Place::Session
        } else if self.sessions.table.len() < self.sessions.max_sessions + MAX_REJECTED_CLIENTS {
            Place::Rejection
        } else {
            Place::None
        }
    }
}
