//! Writing calls to engines over established connections.

use workload_manager::{EndpointState, EngineId, Outcome};

use super::{AttemptId, Execution, Job, ProtocolState};
use crate::engine::{http, mysql};
use crate::net::Server;

impl Server {
    /// Whether the first byte of an attempt may still be written. This must be checked directly before writing: since
    /// the connection was acquired, the engine may have begun to drain, the client may have disconnected, or the
    /// deadline may have passed.
    pub(super) fn may_forward(&self, id: AttemptId, engine: EngineId) -> bool {
        let ready = self.pools.engines.get(&engine).is_some_and(|e| e.state == EndpointState::Ready);
        let in_time = self.pools.attempts.get(&id).is_some_and(|a| self.time.now_us < a.send_deadline_us);
        ready && in_time && self.requests.open.contains_key(&id.request)
    }

    /// Writes the first call of a connection's job, unless the connection is not established yet or the call is
    /// delayed.
    pub(super) fn write_first_call(&mut self, slot: usize) {
        self.pools.dirty.push(slot);
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connection(slot) else { return };
        let link = &mut connection.link;
        link.call_written_us = now_us;
        if link.is_connecting(connection.conn.phase) || link.is_write_delayed() {
            return;
        }
        match link.job {
            Job::Attempt(id) => self.write_attempt_call(slot, id),
            Job::Cancel(id) => self.write_cancellation(slot, id),
            Job::Confirm(id) => self.write_confirmation_call(slot, id),
            Job::Idle { .. } | Job::Discarding { .. } => {}
        }
    }

    /// Writes the first call of an attempt, or a call that asks again for a lost response.
    fn write_attempt_call(&mut self, slot: usize, id: AttemptId) {
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        match &mut attempt.execution {
            // The attempt was forwarded before, so that the engine's state no longer matters.
            Execution::Http { exchange, start: None } => {
                exchange.repeat_call(&mut connection.conn.output);
                attempt.last_call_us = now_us;
            }
            _ => self.forward_attempt(slot, id),
        }
    }

    fn forward_attempt(&mut self, slot: usize, id: AttemptId) {
        let now_us = self.time.now_us;
        let Some(engine) = self.pools.connection(slot).map(|c| c.link.engine) else { return };
        if !self.may_forward(id, engine) {
            self.release(slot);
            return self.end_attempt(id, Outcome::NeverSent, None);
        }
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        attempt.last_call_us = now_us;
        self.counters.sent += 1;
        let class = self.requests.open.get(&id.request).map(|r| r.class);
        if let Some(class) = class {
            self.metrics.class(class).attempts += 1;
        }
        tracing::debug!(
            query_id = attempt.query_id,
            attempt = id.number,
            engine = engine.0,
            class = class.map(|c| c.0),
            now_us,
            "attempt forwarded"
        );
        let output = &mut connection.conn.output;
        match (&mut attempt.execution, &mut connection.link.protocol_state) {
            (Execution::Http { start, .. }, ProtocolState::Http) => {
                output.extend(start.take().into_iter().flatten());
            }
            (Execution::MySql { stmt }, ProtocolState::MySql(session)) => {
                if let Some(stmt) = stmt.take() {
                    session.start(stmt, output);
                    log_execution(&attempt.query_id, slot, session);
                }
            }
            _ => {}
        }
    }

    fn write_cancellation(&mut self, slot: usize, id: AttemptId) {
        let Some(attempt) = self.pools.attempts.get(&id) else { return self.release(slot) };
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        let output = &mut connection.conn.output;
        match &mut connection.link.protocol_state {
            ProtocolState::Http => http::delete(&attempt.query_id, output),
            ProtocolState::MySql(session) => session.kill(attempt.mysql_connection_id, output),
        }
    }

    /// Sends a new priority of an attempt to its engine, if the attempt was started over HTTP and is not being
    /// cancelled, and an idle connection is available.
    pub(in crate::net) fn set_priority(&mut self, id: AttemptId, priority: u8) {
        let Some(attempt) = self.pools.attempts.get(&id).filter(|a| !a.cancelling) else { return };
        if !attempt.is_http_started() {
            return;
        }
        // A connection is not opened for a change of priority, as it would cost more than the change gains.
        let engine = self.pools.engines.get_mut(&attempt.engine);
        let Some(slot) = engine.and_then(|e| e.idle.of(super::EngineProtocol::Http).pop()) else {
            return;
        };
        let now_us = self.time.now_us;
        if let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) {
            connection.link.job = Job::Discarding { since_us: now_us };
            http::put_priority(&attempt.query_id, priority, &mut connection.conn.output);
        }
        self.pools.dirty.push(slot);
    }
}

/// Logs by which id an engine executes a prepared statement. Logs nothing while the statement is not prepared.
pub(super) fn log_execution(query_id: &str, slot: usize, session: &mysql::Session) {
    if let Some(engine_statement_id) = session.executed_statement_id() {
        let engine_connection = session.connection_id;
        tracing::debug!(
            query_id,
            slot,
            engine_connection,
            engine_statement_id,
            "prepared statement forwarded"
        );
    }
}
