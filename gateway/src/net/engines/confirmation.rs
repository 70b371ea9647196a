//! Attempts of classes that keep order whose end was not heard of. An engine drops a query that it has not been asked
//! for in a while, but only where calls reach it: across a cut, one that was written may still be on its way, and the
//! engine may run the query to its end. So the engine must be reached once more before that time counts.

use super::{AttemptId, End, EngineProtocol, Job, Server};
use crate::core::Input;
use crate::engine::http;
use crate::net::Timer;
use workload_manager::interface::*;

/// How long a connection over which an engine is asked may take to come up, in microseconds: longer than one that
/// comes up late, and short enough that a cut that has healed is seen soon.
pub(super) const CONFIRMATION_CONNECT_US: u64 = 2_000_000;

/// How long after one that broke, or for which there was no room, the next is opened, in microseconds.
const RETRY_US: u64 = 250_000;

/// An attempt that is asked for no more, and whose engine may still run it.
pub struct Unconfirmed {
    pub engine: EngineId,
    ticket: String,
    /// The engine drops it by then, if calls reach the engine, in microseconds.
    dropped_by_us: u64,
}

impl Unconfirmed {
    /// One whose last call was written so long ago that its engine drops it by then.
    pub fn new(engine: EngineId, ticket: String, dropped_by_us: u64) -> Self {
        Self { engine, ticket, dropped_by_us }
    }
}

impl Server {
    /// Nothing was heard of the end of an attempt that others of its key wait for: its engine is asked.
    pub(super) fn begin_confirmation(&mut self, id: AttemptId, attempt: Unconfirmed) {
        self.requests.take_ticket(&attempt.ticket);
        self.pools.unconfirmed.insert(id, attempt);
        self.inputs.push(Input::AttemptUnconfirmed(id));
        self.ask_for_confirmation(id);
    }

    /// Opens a connection over which the engine is told that the attempt is given up.
    pub(in crate::net) fn ask_for_confirmation(&mut self, id: AttemptId) {
        let Some(attempt) = self.pools.unconfirmed.get(&id) else { return };
        let engine = attempt.engine;
        let state = self.pools.engines.get(&engine).map(|e| e.state);
        // The list says that its process runs no more.
        if matches!(state, None | Some(EndpointState::Removed)) {
            return self.confirm_dropped(id);
        }
        match self.connect(engine, Job::Confirm(id), EngineProtocol::Http) {
            Ok(at) => self.post_if_up(at),
            Err(Outcome::ConnectFailed) => self.confirm_dropped(id),
            Err(_) => self.retry_confirmation(id),
        }
    }

    /// The connection is up: the engine is told, where that is allowed.
    pub(super) fn write_confirmation(&mut self, at: usize, id: AttemptId) {
        let ticket = self.pools.unconfirmed.get(&id).map(|attempt| attempt.ticket.clone());
        let Some(ticket) = ticket else { return self.release(at) };
        if !self.config.settings.capabilities.cancels_attempts {
            self.release(at);
            return self.confirm_dropped(id);
        }
        if let Some(peer) = self.pools.peer(at) {
            http::delete(&ticket, &mut peer.conn.output);
        }
    }

    /// The engine knows the attempt no more, or has given it up.
    pub(super) fn confirm_ended(&mut self, id: AttemptId) {
        self.confirm(id, self.time.now_us);
    }

    /// The engine can be reached, or runs no more: what it has not been asked for is dropped in time.
    pub(super) fn confirm_dropped(&mut self, id: AttemptId) {
        let dropped_by_us = self.pools.unconfirmed.get(&id).map_or(0, |attempt| attempt.dropped_by_us);
        self.confirm(id, dropped_by_us.max(self.time.now_us));
    }

    fn confirm(&mut self, id: AttemptId, runs_until_us: u64) {
        let Some(attempt) = self.pools.unconfirmed.remove(&id) else { return };
        self.requests.free_ticket(&attempt.ticket);
        let now_us = self.time.now_us;
        tracing::debug!(ticket = attempt.ticket, number = id.number, now_us, runs_until_us, "confirmed");
        self.inputs.push(Input::AttemptEndConfirmed { attempt: id, runs_until_us });
    }

    /// The connection for a confirmation is over without an answer.
    pub(super) fn confirmation_broke(&mut self, id: AttemptId, end: End) {
        match end {
            // The machine is reached: a process that has died, drains or takes no more connections says so.
            End::Refused => self.confirm_dropped(id),
            End::Late | End::Broken => self.retry_confirmation(id),
        }
    }

    fn retry_confirmation(&mut self, id: AttemptId) {
        self.timers.arm(self.time.now_us + RETRY_US, Timer::Confirmation(id));
    }
}
