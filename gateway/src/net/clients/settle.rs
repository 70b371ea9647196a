//! Settling a dirty session at the end of a turn, and closing a session.

use wrenhatch_sessions::session_table::{Activity, Handle, RemovedSession};

use crate::net::connection::{MAX_UNSENT_BYTES, Phase};
use crate::net::sessions::Sessions;
use crate::net::{NetTimer, Server};

impl Server {
    /// Settles a session at the end of a turn: writes its output, arms its timer, queues it for reading if input is
    /// left, updates its memory reservation and its activity, and suspends it if it is idle.
    pub(in crate::net) fn settle_session(&mut self, handle: Handle) {
        let now_us = self.time.now_us;
        let Some(session) = self.sessions.table.active_mut(handle) else { return };
        session.dirty = false;
        let connection = &mut session.connection;
        let was_blocked = connection.output.len() > MAX_UNSENT_BYTES;
        if connection.flush().is_err() || connection.update(&self.poll, Sessions::key(handle)).is_err() {
            return self.close_client(handle);
        }
        if was_blocked && connection.output.len() <= MAX_UNSENT_BYTES && connection.phase == Phase::Open {
            session.ready_us = now_us;
            // Messages that were held back by unsent output are handled now. This marks the session dirty again, so
            // that it is settled once more.
            return self.read_messages(handle);
        }
        let deadline_us = session.deadline_us();
        self.timers.reschedule(&mut session.timer, deadline_us, NetTimer::Client(handle));
        let (activity, since_us) = (session.activity(), session.awaited_since_us.unwrap_or(now_us));
        if session.should_read_again() {
            session.has_unread_input = false;
            self.sessions.enqueue_read(handle, now_us);
        }
        self.sessions.update_reservation(handle);
        // A session that is queued for reading may have sent a request and does not count as idle.
        let may_have_request = activity.is_idle() && self.sessions.table.is_queued(handle);
        let activity = if may_have_request { Activity::Busy } else { activity };
        self.sessions.table.set_activity(handle, activity, since_us);
        if activity.is_idle() {
            self.sessions.suspend(handle);
            self.arm_idle_timer();
        }
    }

    /// Begins a graceful close: remaining output is written, and the connection is closed once the client has closed
    /// its side, or after [`CLOSE_TIMEOUT_US`](crate::net::sessions::CLOSE_TIMEOUT_US).
    pub(in crate::net) fn close_gracefully(&mut self, handle: Handle) {
        let now_us = self.time.now_us;
        if let Some(session) = self.sessions.table.active_mut(handle) {
            session.connection.phase = Phase::Closing;
            session.connection.input = Vec::new();
            session.awaited_since_us = Some(now_us);
        }
        self.sessions.mark_dirty(handle);
    }

    /// Closes a client's connection at once, removes its session, and closes its open request without an answer. All
    /// client connections are closed here.
    pub(super) fn close_client(&mut self, handle: Handle) {
        match self.sessions.remove(handle) {
            Some(RemovedSession::Active(session)) => {
                if let Some((_, timer)) = session.timer {
                    self.timers.cancel(timer);
                }
                session.connection.close(&self.poll);
                if let Some(id) = session.open_request {
                    self.client_left(id);
                }
            }
            Some(RemovedSession::Suspended(suspended)) => self.poll.remove(suspended.into_stream()),
            None => {}
        }
    }
}
