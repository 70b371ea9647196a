//! Reads sessions in the order of the read scheduler, and dispatches their messages.

use crate::front::DisconnectReason;
use wrenhatch_sessions::memory_budget::MemoryPurpose;
use wrenhatch_sessions::read_scheduler::{ScheduledRead, Work};
use wrenhatch_sessions::session_table::Handle;

use crate::admission;
use crate::front::ClientCommand;
use crate::front::fields::RequestFields;
use crate::net::Server;
use crate::net::connection::{MAX_UNSENT_BYTES, Phase, ReadEnd};
use crate::net::poll::Interest;
use crate::net::sessions::ProtocolSession;

impl Server {
    /// Handles a poller event of a client connection. A session with input is queued with the read scheduler and not
    /// read here. If the event means that the client has gone, the session is closed.
    pub(in crate::net) fn session_ready(&mut self, handle: Handle, interest: Interest) {
        if interest.write {
            self.sessions.mark_dirty(handle);
        }
        if interest.read {
            if self.sessions.table.active(handle).is_some_and(|session| session.connection.is_read_paused()) {
                return self.close_client(handle);
            }
            self.sessions.enqueue_read(handle, self.time.now_us);
        }
    }

    /// Reads queued sessions until the read scheduler ends the turn's reads.
    pub(in crate::net) fn read_sessions(&mut self) {
        while let Some(read) = self.sessions.scheduler.next_read(self.time.now_us) {
            if self.sessions.table.clear_queued(read.handle) {
                self.read_session(read);
            }
        }
    }

    /// Reads a session immediately, outside the order of the read scheduler.
    pub(in crate::net) fn read_now(&mut self, handle: Handle) {
        self.sessions.table.clear_queued(handle);
        self.read_session(ScheduledRead { handle, ready_us: self.time.now_us, expedited: false });
    }

    fn read_session(&mut self, read: ScheduledRead) {
        let handle = read.handle;
        if !self.sessions.resume(handle, &self.config, self.time.now_us) {
            return;
        }
        let max_bytes = self.sessions.scheduler.limits().bytes_per_turn;
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        (session.ready_us, session.expedited, session.has_unread_input) =
            (read.ready_us, read.expedited, false);
        let connection = &mut session.connection;
        let before = connection.input.len();
        let end = connection.fill(max_bytes);
        let bytes_read = connection.input.len().saturating_sub(before);
        let is_open = connection.phase == Phase::Open;
        session.has_unread_input = end == ReadEnd::More;
        self.sessions.scheduler.charge(Work::Bytes, bytes_read);
        if is_open {
            self.read_messages(handle);
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.close_client(handle);
        }
        if let Some(session) = self.sessions.table.active_mut(handle) {
            session.expedited = false;
        }
        self.sessions.mark_dirty(handle);
    }

    /// Updates the time at which the wait for the rest of a client's start-up or message began. `progressed` is true if
    /// a complete message was read since the last call. Messages that are held back by unsent output count as
    /// incomplete.
    pub(super) fn record_progress(&mut self, handle: Handle, progressed: bool) {
        let now_us = self.time.now_us;
        self.sessions.mark_dirty(handle);
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        if session.connection.phase == Phase::Closing {
            return;
        }
        let is_starting = session.protocol.is_starting();
        let is_incomplete =
            is_starting || (session.open_request.is_none() && !session.connection.input.is_empty());
        // The time limit of a start-up covers all of its messages.
        let restarts = progressed && !is_starting;
        if is_incomplete && (restarts || session.awaited_since_us.is_none()) {
            session.awaited_since_us = Some(now_us);
        } else if !is_incomplete {
            session.awaited_since_us = None;
        }
    }

    /// Handles messages until the next one is incomplete, a request is open, too much output is unsent, the session
    /// begins to close, or the message limit of one call is reached.
    pub(in crate::net) fn read_messages(&mut self, handle: Handle) {
        let mut remaining = self.sessions.scheduler.limits().messages_per_turn;
        let mut progressed = false;
        while remaining > 0 && self.read_message(handle) {
            (remaining, progressed) = (remaining - 1, true);
        }
        if remaining == 0 {
            if let Some(session) = self.sessions.table.active_mut(handle) {
                session.has_unread_input |= !session.connection.input.is_empty();
            }
        }
        self.record_progress(handle, progressed);
    }

    /// Handles one message. Returns false if there is no complete message, or none may be handled now.
    fn read_message(&mut self, handle: Handle) -> bool {
        let Some(session) = self.sessions.table.active_mut(handle) else { return false };
        let connection = &mut session.connection;
        if connection.phase != Phase::Open || connection.output.len() > MAX_UNSENT_BYTES {
            return false;
        }
        if connection.overrun && session.open_request.is_none() {
            self.counters.invalid += 1;
            tracing::debug!(now_us = self.time.now_us, "a client sent too much behind its request");
            session.protocol.disconnect(DisconnectReason::InputOverrun, &mut connection.output);
            self.close_gracefully(handle);
            return false;
        }
        match session.protocol.read(&mut connection.input, &mut connection.output) {
            None => return false,
            Some(ClientCommand::Handled) => {}
            Some(ClientCommand::Invalid) => self.counters.invalid += 1,
            Some(ClientCommand::Request(request)) => self.handle_request(handle, request),
            Some(ClientCommand::Prepare(fields)) => self.prepare_statement(handle, &fields),
            Some(ClientCommand::Cancel { session, secret }) => {
                self.close_gracefully(handle);
                self.cancel(session, secret);
            }
            Some(ClientCommand::Close) => self.close_gracefully(handle),
        }
        true
    }

    /// Answers a request to prepare a statement, or lets it wait for a statement id. Preparing fails if the settings do
    /// not contain the class or tenant in the statement's fields, or if memory is short.
    fn prepare_statement(&mut self, handle: Handle, fields: &RequestFields) {
        let invalid = admission::resolve_names(&self.names, fields).err();
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        let ProtocolSession::MySql(mysql) = &mut session.protocol else { return };
        let output = &mut session.connection.output;
        // No memory is reserved for the statement yet, so that its bytes are checked in addition to the reserved ones.
        let memory = self.sessions.memory.check(MemoryPurpose::Statements, mysql.pending_bytes());
        match (invalid, memory) {
            (Some(invalid), _) => {
                self.counters.invalid += 1;
                mysql.answer_invalid(&invalid.to_string(), output);
            }
            (None, Ok(())) => self.assign_statement_id(handle),
            (None, Err(_)) => {
                self.counters.no_memory += 1;
                mysql.fail_prepare("Too many prepared statements, no memory is left for more", output);
            }
        }
        self.sessions.update_reservation(handle);
    }
}
