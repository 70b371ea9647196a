//! Attempts that the gateway no longer waits for: their engines are notified, and the end is awaited for a while.

use workload_manager::Outcome;

use super::attempts::MAX_CALL_RETRIES;
use super::{AttemptId, ConnectionEnd, EngineProtocol, Execution, Job, Link, ProtocolState, Unconfirmed};
use crate::core::Input;
use crate::net::{NetTimer, Server};

/// How long the end of a cancelled attempt is waited for, in microseconds. Engines stall for 370 ms at times; one that
/// has said nothing for longer may have vanished, and what it still runs can't be known.
pub(super) const CANCEL_TIMEOUT_US: u64 = 500_000;

impl Server {
    /// Cancels an attempt: it ends at once if nothing of it was written, else when its engine has confirmed that.
    pub(in crate::net) fn cancel_attempt(&mut self, id: AttemptId) {
        let in_flight = self.pools.attempts.get(&id).filter(|a| !a.cancelling);
        let Some((engine, slot)) = in_flight.map(|a| (a.engine, a.slot)) else { return };
        self.counters.stopped += 1;
        // Its connection may be closed, and its slot another's.
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
                    "no connection to cancel an attempt over"
                );
            }
        }
    }

    /// The connection of the call that cancels an attempt ended first: the call is repeated, up to
    /// [`MAX_CALL_RETRIES`] times. Where the engine refuses the connection it is not, and the time limit
    /// decides; the engine may run the query on: it drains, or has all the connections that it may have.
    pub(super) fn retry_cancellation(&mut self, id: AttemptId, over: &Link, end: ConnectionEnd) {
        let attempt = self.pools.attempts.get_mut(&id).filter(|a| a.call_retries < MAX_CALL_RETRIES);
        let Some(attempt) = attempt else { return };
        let engine = over.engine.0;
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
        if let Ok(slot) = self.connect(over.engine, Job::Cancel(id), EngineProtocol::Http) {
            self.write_first_call(slot);
        }
    }

    /// The end of an attempt will not be known: its engine may still run it.
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
                let unconfirmed = Unconfirmed::new(attempt.engine, attempt.query_id, may_run_until_us);
                self.begin_confirmation(id, unconfirmed);
            }
            _ => self.inputs.push(Input::AttemptLost { attempt: id, runs_until_us: may_run_until_us }),
        }
    }
}
