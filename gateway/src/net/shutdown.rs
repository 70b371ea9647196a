//! Graceful shutdown: after SIGTERM, new work is accepted for a while and then rejected, open requests are answered
//! before SIGKILL is due, and client connections are closed without losing a request that has arrived.
//!
//! The phases, counted from SIGTERM:
//!
//! 1. For [`ACCEPT_US`], clients and requests are accepted as before, as clients may not have been notified yet.
//! 2. The listeners are closed, new requests are rejected, and open requests are waited for.
//! 3. [`ANSWER_MARGIN_US`] before SIGKILL is due, requests that are still open get their final answers.
//! 4. Once all requests are answered, and all answers are written or the time of step 3 has passed, the gateway shuts
//!    down its side of all client connections and discards further input, for [`LINGER_US`] at most. Then the process
//!    exits.

use crate::front::DisconnectReason;
use workload_manager::Settings;

use super::connection::Phase;
use super::listeners::FrontEnd;
use super::{NetTimer, Server};
use crate::core::Input;

/// Time after SIGTERM during which new work is accepted.
const ACCEPT_US: u64 = 700_000;

/// Limit on the longest class deadline in the computation of the time of SIGKILL, for a process without a peer process.
/// The platform sends SIGKILL no earlier than [`ACCEPT_US`] plus the limited deadline after SIGTERM.
const MAX_DEADLINE_ALONE_US: u64 = 3_000_000;

/// Limit corresponding to [`MAX_DEADLINE_ALONE_US`] for a process that has a peer process.
const MAX_DEADLINE_WITH_PEER_US: u64 = 5_000_000;

/// Time reserved before SIGKILL for writing final answers, and for clients to read them.
const ANSWER_MARGIN_US: u64 = 300_000;

/// Time that clients have to close their side of a connection after the gateway has shut down its side. Closing a
/// socket with unread input resets the connection, which may discard an answer in transit.
const LINGER_US: u64 = 250_000;

/// Progress of the graceful shutdown.
pub struct Shutdown {
    began_us: Option<u64>,
    /// Longest deadline among the classes that new requests may have.
    longest_deadline_us: u64,
    /// Time from SIGTERM by which all open requests get their final answers.
    answer_within_us: u64,
    has_closed_listeners: bool,
    /// [`Input::ShuttingDown`] was passed to the core.
    has_requested_answers: bool,
    linger_start_us: Option<u64>,
}

fn longest_deadline_us(deadlines_seconds: impl Iterator<Item = f64>) -> u64 {
    (deadlines_seconds.fold(0.0, f64::max) * 1e6) as u64
}

impl Shutdown {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            began_us: None,
            longest_deadline_us: longest_deadline_us(settings.classes.iter().map(|class| class.deadline)),
            answer_within_us: ACCEPT_US,
            has_closed_listeners: false,
            has_requested_answers: false,
            linger_start_us: None,
        }
    }

    /// Sets the deadlines, in seconds, of the classes that new requests may have. The times of a shutdown that has
    /// begun do not change.
    pub(super) fn set_deadlines(&mut self, deadlines_seconds: impl Iterator<Item = f64>) {
        self.longest_deadline_us = longest_deadline_us(deadlines_seconds);
    }

    /// Whether SIGTERM was received.
    pub(super) fn has_begun(&self) -> bool {
        self.began_us.is_some()
    }
}

impl Server {
    /// Begins the shutdown. Called at every SIGTERM; only the first has an effect.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let now_us = self.time.now_us;
        self.shutdown.began_us = Some(now_us);
        let max_deadline_us =
            if self.peer_processes.none_known() { MAX_DEADLINE_ALONE_US } else { MAX_DEADLINE_WITH_PEER_US };
        let kill_after_us = ACCEPT_US + self.shutdown.longest_deadline_us.min(max_deadline_us);
        let answer_within_us = kill_after_us.saturating_sub(ANSWER_MARGIN_US).max(ACCEPT_US);
        self.shutdown.answer_within_us = answer_within_us;
        self.timers.arm(now_us + ACCEPT_US, NetTimer::Shutdown);
        self.timers.arm(now_us + answer_within_us, NetTimer::Shutdown);
        tracing::info!(accept_us = ACCEPT_US, answer_within_us, "graceful shutdown begins");
    }

    fn since_sigterm_us(&self) -> Option<u64> {
        self.shutdown.began_us.map(|began_us| self.time.now_us.saturating_sub(began_us))
    }

    /// Whether new work is rejected, that is, [`ACCEPT_US`] have passed since SIGTERM.
    pub(super) fn rejects_new_work(&self) -> bool {
        self.since_sigterm_us().is_some_and(|since_us| since_us >= ACCEPT_US)
    }

    /// Advances the shutdown by as many phases as are due in this turn. Returns true once the process may exit.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let Some(since_us) = self.since_sigterm_us().filter(|since_us| *since_us >= ACCEPT_US) else {
            return false;
        };
        if !std::mem::replace(&mut self.shutdown.has_closed_listeners, true) {
            self.close_listeners();
        }
        let must_answer = since_us >= self.shutdown.answer_within_us;
        if must_answer && !std::mem::replace(&mut self.shutdown.has_requested_answers, true) {
            self.inputs.push(Input::ShuttingDown);
        }
        let answers_pending =
            !self.requests.open.is_empty() || !self.inputs.is_empty() || self.admin.is_answering();
        // Neither clients that do not read nor a peer that does not release the statement ids delay the exit.
        let has_waiting_clients = self.sessions.is_writing() || self.statement_ids.is_awaited();
        let clients_pending = has_waiting_clients && !must_answer && self.shutdown.linger_start_us.is_none();
        if answers_pending || clients_pending {
            return false;
        }
        self.linger()
    }

    /// Shuts down the gateway's side of all client connections and waits for clients to close theirs. Returns true once
    /// all are closed or [`LINGER_US`] has passed.
    fn linger(&mut self) -> bool {
        let now_us = self.time.now_us;
        let Some(since_us) = self.shutdown.linger_start_us else {
            self.shutdown.linger_start_us = Some(now_us);
            self.timers.arm(now_us + LINGER_US, NetTimer::Shutdown);
            self.end_sessions();
            return false;
        };
        self.sessions.table.is_empty() || now_us >= since_us + LINGER_US
    }

    /// Accepts all pending connections and closes the listeners. Closing a listener resets the connections in its
    /// accept queue, whose requests may have arrived. A successor that shares the queues accepts these connections
    /// itself.
    fn close_listeners(&mut self) {
        if !self.listeners.is_handed_over() {
            for front_end in [FrontEnd::PostgreSql, FrontEnd::MySql] {
                while self.accept(front_end) {}
            }
        }
        self.listeners.close(&self.poll);
    }

    /// Reads from every client once more, rejecting new requests, and begins a graceful close of all sessions. A client
    /// with an incomplete message or start-up gets an error. Connections of idle clients are closed without an error.
    fn end_sessions(&mut self) {
        let sessions: Vec<_> = self.sessions.table.handles().collect();
        for handle in sessions {
            self.read_now(handle);
            let Some(session) = self.sessions.table.active_mut(handle) else { continue };
            let connection = &mut session.connection;
            if connection.phase != Phase::Open {
                continue;
            }
            if session.protocol.is_starting() || !connection.input.is_empty() {
                session.protocol.disconnect(DisconnectReason::ShuttingDown, &mut connection.output);
            }
            self.close_gracefully(handle);
        }
    }
}
