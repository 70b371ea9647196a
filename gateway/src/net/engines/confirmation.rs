//! Confirms the end of lost attempts that hold up other requests of their order key.
//!
//! An engine drops a query for which it has received no call for some time. During a network partition, a call that was
//! written may still be in transit, and the engine may later run the query to its end. Therefore the expiry of that
//! time proves the end of the attempt only if the engine has been reached once more.

use workload_manager::{EndpointState, EngineId, Outcome};

use super::{AttemptId, ConnectionEnd, EngineProtocol, Job, Server};
use crate::core::Input;
use crate::engine::http;
use crate::net::NetTimer;

/// Minimum connect timeout of a connection for a confirmation, in microseconds. Longer than a delayed connection takes
/// to be established, and short enough to detect the end of a partition soon.
pub(super) const CONFIRMATION_CONNECT_TIMEOUT_US: u64 = 2_000_000;

/// Delay before a connection for a confirmation is opened again after a failure, in microseconds.
const CONFIRMATION_RETRY_US: u64 = 250_000;

/// A lost attempt whose end is to be confirmed.
pub struct LostAttempt {
    pub engine: EngineId,
    query_id: String,
    /// Time by which the engine has dropped the query, in microseconds. Valid only if calls reach the engine.
    dropped_by_us: u64,
}

impl LostAttempt {
    /// `dropped_by_us` follows from the time of the last call: an engine drops a query that gets no calls.
    pub fn new(engine: EngineId, query_id: String, dropped_by_us: u64) -> Self {
        Self { engine, query_id, dropped_by_us }
    }
}

impl Server {
    /// Begins to confirm the end of a lost attempt, for which other requests of its order key wait: its engine is
    /// called to cancel the query.
    pub(super) fn begin_confirmation(&mut self, id: AttemptId, attempt: LostAttempt) {
        self.requests.retain_query_id(&attempt.query_id);
        self.pools.unconfirmed.insert(id, attempt);
        self.inputs.push(Input::AttemptUnconfirmed(id));
        self.request_confirmation(id);
    }

    /// Opens a connection for the call that cancels the attempt. If the engine was removed or refuses the connection,
    /// the end is confirmed without a call.
    pub(in crate::net) fn request_confirmation(&mut self, id: AttemptId) {
        let Some(attempt) = self.pools.unconfirmed.get(&id) else { return };
        let engine = attempt.engine;
        let state = self.pools.engines.get(&engine).map(|e| e.state);
        // The endpoint list has removed the engine, so that its process no longer runs.
        if matches!(state, None | Some(EndpointState::Removed)) {
            return self.confirm_dropped(id);
        }
        match self.connect(engine, Job::Confirm(id), EngineProtocol::Http) {
            Ok(slot) => self.write_first_call(slot),
            Err(Outcome::ConnectFailed) => self.confirm_dropped(id),
            Err(_) => self.retry_confirmation(id),
        }
    }

    /// Writes the call that cancels the attempt. If the settings do not allow cancelling, the established connection
    /// alone proves that calls reach the engine.
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

    /// Confirms that the attempt has ended: the engine has cancelled it or no longer has it.
    pub(super) fn confirm_ended(&mut self, id: AttemptId) {
        self.confirm(id, self.time.now_us);
    }

    /// Confirms that the attempt ends by [`LostAttempt::dropped_by_us`]. The engine must have been reached, or must no
    /// longer run.
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
        self.inputs.push(Input::AttemptEndConfirmed { attempt: id, may_run_until_us });
    }

    /// Handles the end of a confirmation's connection over which no usable response was received.
    pub(super) fn confirmation_connection_ended(&mut self, id: AttemptId, end: ConnectionEnd) {
        match end {
            // The refusal proves that the machine was reached. The process has exited, is draining, or has reached its
            // connection limit.
            ConnectionEnd::Refused => self.confirm_dropped(id),
            ConnectionEnd::TimedOut | ConnectionEnd::Broken => self.retry_confirmation(id),
        }
    }

    fn retry_confirmation(&mut self, id: AttemptId) {
        self.timers.arm(self.time.now_us + CONFIRMATION_RETRY_US, NetTimer::Confirmation(id));
    }
}
