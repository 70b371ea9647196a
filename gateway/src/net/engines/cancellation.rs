//! Cancellation of attempts: the engine is called to cancel the query, and its confirmation is awaited up to a time
//! limit.

use workload_manager::Outcome;

use super::attempts::MAX_CALL_RETRIES;
use super::{AttemptId, ConnectionEnd, EngineProtocol, Execution, Job, Link, LostAttempt, ProtocolState};
use crate::core::Input;
use crate::net::{NetTimer, Server};

/// Time limit for the confirmation of a cancellation, in microseconds. Running engines stall for up to 370 ms. An
/// engine that is silent for longer may be gone, and the state of an attempt without a confirmation is unknown.
pub(super) const CANCEL_TIMEOUT_US: u64 = 500_000;

impl Server {
    /// Cancels an attempt. An attempt that was not forwarded ends at once. Any other ends when its engine has confirmed
    /// the cancellation, or is lost when the time limit has passed.
    pub(in crate::net) fn cancel_attempt(&mut self, id: AttemptId) {
        let in_flight = self.pools.attempts.get(&id).filter(|a| !a.cancelling);
        let Some((engine, slot)) = in_flight.map(|a| (a.engine, a.slot)) else { return };
        self.counters.stopped += 1;
        // The attempt's connection may have been closed and its slot reused.
        let link = self.pools.connections.get(slot).and_then(Option::as_ref).map(|c| &c.link);
        let link = link.filter(|link| link.job == Job::Attempt(id));
        if link.is_some_and(|link| self.is_not_forwarded(id, &link.protocol_state)) {
            self.pools.close(&self.poll, &mut self.timers, slot);
            return self.end_attempt(id, Outcome::NeverSent, None);
        }
        let (protocol, mysql_connection_id) = match link.map(|link| &link.protocol_state) {
            Some(ProtocolState::MySql(session)) => (EngineProtocol::MySql, session.connection_id),
            Some(ProtocolState::Http) | None => (EngineProtocol::Http, 0),
        };
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        let now_us = self.time.now_us;
        tracing::debug!(query_id = attempt.query_id, attempt = id.number, now_us, "attempt cancelled");
        attempt.mysql_connection_id = mysql_connection_id;
        attempt.call_retries = 0;
        attempt.cancelling = true;
        if let Execution::Http { exchange, .. } = &mut attempt.execution {
            exchange.cancel();
        }
        attempt.cancel_timer = Some(self.timers.arm(now_us + CANCEL_TIMEOUT_US, NetTimer::CancelTimeout(id)));
        match self.acquire_connection(engine, Job::Cancel(id), protocol, None) {
            Ok(slot) => self.write_first_call(slot),
            Err(outcome) => {
                tracing::debug!(
                    attempt = id.number,
                    engine = engine.0,
                    ?outcome,
                    "cancelling an attempt failed: no connection"
                );
            }
        }
    }

    /// Repeats the call that cancels an attempt over a new HTTP connection after its connection has ended, up to
    /// [`MAX_CALL_RETRIES`] times. If the engine has refused the connection, the call is not repeated, and the attempt
    /// is lost at the time limit. Such an engine may still run the query: it may be draining, or have reached its
    /// connection limit.
    pub(super) fn retry_cancellation(&mut self, id: AttemptId, link: &Link, end: ConnectionEnd) {
        let attempt = self.pools.attempts.get_mut(&id).filter(|a| a.call_retries < MAX_CALL_RETRIES);
        let Some(attempt) = attempt else { return };
        let engine = link.engine.0;
        tracing::debug!(
            query_id = attempt.query_id,
            attempt = id.number,
            engine,
            ?end,
            "cancellation not delivered"
        );
        attempt.call_retries += 1;
        if end == ConnectionEnd::Refused {
            return;
        }
        if let Ok(slot) = self.connect(link.engine, Job::Cancel(id), EngineProtocol::Http) {
            self.write_first_call(slot);
        }
    }

    /// Gives up an attempt whose end is unknown. Its engine may still run it.
    pub(in crate::net) fn attempt_lost(&mut self, id: AttemptId) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        self.detach_connection(attempt.slot, id);
        let now_us = self.time.now_us;
        let engine = attempt.engine.0;
        tracing::debug!(query_id = attempt.query_id, attempt = id.number, engine, now_us, "attempt lost");
        self.counters.count_attempt_end(Outcome::TimedOut);
        let may_run_until_us = attempt.may_run_until_us(now_us);
        match attempt.execution {
            Execution::Http { .. } if attempt.has_order_key => {
                let unconfirmed = LostAttempt::new(attempt.engine, attempt.query_id, may_run_until_us);
                self.begin_confirmation(id, unconfirmed);
            }
            _ => self.inputs.push(Input::AttemptLost { attempt: id, may_run_until_us }),
        }
    }
}
