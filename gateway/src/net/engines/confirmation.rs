//! Lost attempts that others of their order key wait for.
//!
//! An engine drops a query that it has had no call for in a while, but only where calls reach it: across a network
//! partition, a call that was written may still be on its way, and the engine may run the query to its end. So the
//! engine must be reached once more before that time counts.

use workload_manager::{EndpointState, EngineId, Outcome};

use super::{AttemptId, ConnectionEnd, EngineProtocol, Job, Server};
use crate::core::Input;
use crate::engine::http;
use crate::net::NetTimer;

/// How long a connection for a confirmation may take to be established, in microseconds: longer than one that is
/// established late, and short enough that the end of a partition is seen soon.
pub(super) const CONFIRMATION_CONNECT_TIMEOUT_US: u64 = 2_000_000;

/// How long after one that broke, or for which no descriptor was left, the next is opened, in microseconds.
const CONFIRMATION_RETRY_US: u64 = 250_000;

/// A lost attempt whose end is to be confirmed.
pub struct Unconfirmed {
    pub engine: EngineId,
    query_id: String,
    /// The engine drops it by then, if calls reach the engine, in microseconds.
    dropped_by_us: u64,
}

impl Unconfirmed {
    /// One whose last call was written so long ago that its engine drops it by then.
    pub fn new(engine: EngineId, query_id: String, dropped_by_us: u64) -> Self {
        Self { engine, query_id, dropped_by_us }
    }
}

impl Server {
    /// An attempt was lost that others of its order key wait for: its engine is asked to confirm the end.
    pub(super) fn begin_confirmation(&mut self, id: AttemptId, attempt: Unconfirmed) {
        self.requests.retain_query_id(&attempt.query_id);
        self.pools.unconfirmed.insert(id, attempt);
        self.inputs.push(Input::AttemptUnconfirmed(id));
        self.request_confirmation(id);
    }

    /// Opens a connection over which the engine is told to cancel the attempt.
    pub(in crate::net) fn request_confirmation(&mut self, id: AttemptId) {
        let Some(attempt) = self.pools.unconfirmed.get(&id) else { return };
        let engine = attempt.engine;
        let state = self.pools.engines.get(&engine).map(|e| e.state);
        // The endpoint list says that its process runs no more.
        if matches!(state, None | Some(EndpointState::Removed)) {
            return self.confirm_dropped(id);
        }
        match self.connect(engine, Job::Confirm(id), EngineProtocol::Http) {
            Ok(slot) => self.write_first_call(slot),
            Err(Outcome::ConnectFailed) => self.confirm_dropped(id),
            Err(_) => self.retry_confirmation(id),
        }
    }

    /// The connection is established: the engine is told, where that is allowed.
    pub(super) fn write_confirmation_call(&mut self, slot: usize, id: AttemptId) {
        let query_id = self.pools.unconfirmed.get(&id).map(|attempt| attempt.query_id.clone());
        let Some(query_id) = query_id else { return self.release(slot) };
        if !self.config.settings.capabilities.cancels_attempts {
            self.release(slot);
            return self.confirm_dropped(id);
        }
        if let Some(connection) = self.pools.connection(slot) {
            http::delete(&query_id, &mut connection.conn.output);
        }
    }

    /// The engine does not know the attempt any more, or has cancelled it.
    pub(super) fn confirm_ended(&mut self, id: AttemptId) {
        self.confirm(id, self.time.now_us);
    }

    /// The engine can be reached, or runs no more: a query that it gets no call for is dropped in time.
    pub(super) fn confirm_dropped(&mut self, id: AttemptId) {
        let dropped_by_us = self.pools.unconfirmed.get(&id).map_or(0, |attempt| attempt.dropped_by_us);
        self.confirm(id, dropped_by_us.max(self.time.now_us));
    }

    fn confirm(&mut self, id: AttemptId, may_run_until_us: u64) {
        let Some(attempt) = self.pools.unconfirmed.remove(&id) else { return };
        self.requests.release_query_id(&attempt.query_id);
        tracing::debug!(
            query_id = attempt.query_id,
            attempt = id.number,
            engine = attempt.engine.0,
            now_us = self.time.now_us,
            may_run_until_us,
            "end of a lost attempt confirmed"
        );
        self.inputs.push(Input::AttemptEndConfirmed { attempt: id, runs_until_us: may_run_until_us });
    }

    /// The connection for a confirmation has ended without a response.
    pub(super) fn confirmation_connection_ended(&mut self, id: AttemptId, end: ConnectionEnd) {
        match end {
            // The machine is reached: a process that has died, drains or takes no more connections says so.
            ConnectionEnd::Refused => self.confirm_dropped(id),
            ConnectionEnd::TimedOut | ConnectionEnd::Broken => self.retry_confirmation(id),
        }
    }

    fn retry_confirmation(&mut self, id: AttemptId) {
        self.timers.arm(self.time.now_us + CONFIRMATION_RETRY_US, NetTimer::Confirmation(id));
    }
}
