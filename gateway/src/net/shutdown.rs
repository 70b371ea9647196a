//! Graceful shutdown: after SIGTERM new work is accepted for a while and then rejected, open requests get their final
//! answers before SIGKILL may come, and clients' connections are closed so that no request that arrived is lost.
//!
//! Counted from SIGTERM:
//!
//! 1. For [`ACCEPT_US`] all goes on as before, as clients may not know yet.
//! 2. The listeners are closed; new requests are rejected, and open ones are waited for.
//! 3. [`ANSWER_MARGIN_US`] before SIGKILL may come, requests that are still open get their final answers.
//! 4. Once all answers are written, the gateway ends its side of all connections and discards what clients still send,
//!    for [`LINGER_US`] at most. Then the process may exit.

use crate::front::DisconnectReason;
use workload_manager::Settings;

use super::connection::Phase;
use super::listeners::FrontEnd;
use super::{NetTimer, Server};
use crate::core::Input;

/// How long new work is accepted after SIGTERM.
const ACCEPT_US: u64 = 700_000;

/// SIGKILL comes no sooner than the longest deadline of a class after [`ACCEPT_US`]; that deadline counts as
/// this at most where the process has no peer.
const MAX_DEADLINE_ALONE_US: u64 = 3_000_000;

/// The same where another process of the gateway runs beside it.
const MAX_DEADLINE_WITH_PEER_US: u64 = 5_000_000;

/// Open requests get their final answers this long before SIGKILL may come: the time to write and read them.
const ANSWER_MARGIN_US: u64 = 300_000;

/// How long clients have to end their side of a connection after the gateway has ended its own. A close with input
/// unread would reset the connection, and an answer on its way would be lost.
const LINGER_US: u64 = 250_000;

/// How far the shutdown has come.
pub struct Shutdown {
    began_us: Option<u64>,
    /// Of all classes that new requests may have.
    longest_deadline_us: u64,
    /// From SIGTERM until all open requests must have their final answers.
    answer_within_us: u64,
    has_closed_listeners: bool,
    has_answered_all: bool,
    lingers_since_us: Option<u64>,
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
            has_answered_all: false,
            lingers_since_us: None,
        }
    }

    /// Sets the deadlines, in seconds, of the classes that new requests may have. A shutdown that has begun goes on as
    /// it was planned.
    pub(super) fn set_deadlines(&mut self, deadlines_seconds: impl Iterator<Item = f64>) {
        self.longest_deadline_us = longest_deadline_us(deadlines_seconds);
    }

    /// Whether SIGTERM has come.
    pub(super) fn has_begun(&self) -> bool {
        self.began_us.is_some()
    }
}

impl Server {
    /// SIGTERM has come. Another one changes nothing.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let now_us = self.time.now_us;
        self.shutdown.began_us = Some(now_us);
        let max_deadline_us =
            if self.peer_processes.is_empty() { MAX_DEADLINE_ALONE_US } else { MAX_DEADLINE_WITH_PEER_US };
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

    /// Whether new work is rejected.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.since_sigterm_us().is_some_and(|since_us| since_us >= ACCEPT_US)
    }

    /// Carries the shutdown on as far as it goes in this turn; true once the process may exit.
    pub(super) fn advance_shutdown(&mut self) -> bool {
        let Some(since_us) = self.since_sigterm_us().filter(|since_us| *since_us >= ACCEPT_US) else {
            return false;
        };
        if !std::mem::replace(&mut self.shutdown.has_closed_listeners, true) {
            self.close_listeners();
        }
        let must_answer = since_us >= self.shutdown.answer_within_us;
        if must_answer && !std::mem::replace(&mut self.shutdown.has_answered_all, true) {
            self.inputs.push(Input::ShuttingDown);
        }
        let owes_answers =
            !self.requests.open.is_empty() || !self.inputs.is_empty() || self.admin.is_answering();
        let waits_for_writes =
            self.sessions.is_writing() && !must_answer && self.shutdown.lingers_since_us.is_none();
        if owes_answers || waits_for_writes {
            return false;
        }
        self.linger()
    }

    /// Ends the gateway's side of all connections, and waits for clients to end theirs; true once that is over.
    fn linger(&mut self) -> bool {
        let now_us = self.time.now_us;
        let Some(since_us) = self.shutdown.lingers_since_us else {
            self.shutdown.lingers_since_us = Some(now_us);
            self.timers.arm(now_us + LINGER_US, NetTimer::Shutdown);
            self.end_sessions();
            return false;
        };
        self.sessions.table.is_empty() || now_us >= since_us + LINGER_US
    }

    /// Accepts the connections that wait, before the listeners close: a close would reset them, and with them requests
    /// that have arrived. A successor that listens at the same queues accepts them itself.
    fn close_listeners(&mut self) {
        if !self.listeners.is_handed_over() {
            for front in [FrontEnd::PostgreSql, FrontEnd::MySql] {
                while self.accept(front) {}
            }
        }
        self.listeners.close(&self.poll);
    }

    /// Reads once more from every client, whose new requests are rejected, and ends the gateway's side. A client that
    /// has begun a message or its session gets an error; to an idle one the connection just ends.
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
