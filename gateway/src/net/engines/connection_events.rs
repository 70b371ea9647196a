//! Handling of readiness events and deadlines of connections to engines.

use super::cancellation::CANCEL_TIMEOUT_US;
use super::confirmation::CONFIRMATION_CONNECT_TIMEOUT_US;
use super::{ConnectionEnd, Job, ProtocolState};
use crate::engine::http;
use crate::mysql_protocol::PacketError;
use crate::net::connection::{Phase, ReadEnd};
use crate::net::poll::Interest;
use crate::net::pools::{EngineConnection, Pools};
use crate::net::{NetTimer, Server};

/// Time limit for the response to a call of an attempt over HTTP, in microseconds. Engines answer a call within 250 ms,
/// and running ones stall for up to 370 ms. After the limit the response is requested again over another connection, as
/// the query may still be running.
const RESPONSE_TIMEOUT_US: u64 = 500_000;

/// Time limit for a response that is no longer needed, in microseconds. The connection can be reused once the response
/// has arrived. Engines delay the response to a call for a progress report by up to 250 ms.
const DISCARD_TIMEOUT_US: u64 = 1_000_000;

/// Numerator of the fraction of the engines' idle timeout after which an idle connection is closed. A call must not be
/// written to a connection that the engine is about to close, as it would be unknown whether the call was executed.
const MAX_IDLE_NUMERATOR: u64 = 6;
const MAX_IDLE_DENOMINATOR: u64 = 10;

/// Input that violates the protocol of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ResponseError {
    #[error(transparent)]
    Http(#[from] http::InvalidResponse),
    #[error(transparent)]
    MySql(#[from] PacketError),
}

impl Server {
    /// Deadline of a connection for its current state, in microseconds: for being established, for writing a delayed
    /// call, for a response, or for being idle. `None` while a MySQL connection carries an attempt.
    fn connection_deadline_us(&self, connection: &EngineConnection) -> Option<u64> {
        let link = &connection.link;
        if link.is_connecting(connection.conn.phase) {
            // Only the attempt's own engine can confirm its end, so that a confirmation waits longer than other jobs.
            let confirms = matches!(link.job, Job::Confirm(_));
            let at_least_us = if confirms { CONFIRMATION_CONNECT_TIMEOUT_US } else { 0 };
            return Some(link.call_written_us + self.config.connect_timeout_us.max(at_least_us));
        }
        if link.is_write_delayed() {
            return Some(link.write_after_us);
        }
        match (link.job, &link.protocol_state) {
            (Job::Idle { since_us }, _) => Some(
                since_us + self.config.engine_idle_timeout_us * MAX_IDLE_NUMERATOR / MAX_IDLE_DENOMINATOR,
            ),
            (Job::Attempt(_), ProtocolState::Http) => Some(link.call_written_us + RESPONSE_TIMEOUT_US + 1),
            (Job::Attempt(_), ProtocolState::MySql(_)) => None,
            (Job::Discarding { since_us }, _) => Some(since_us + DISCARD_TIMEOUT_US + 1),
            (Job::Cancel(_) | Job::Confirm(_), _) => Some(link.call_written_us + CANCEL_TIMEOUT_US),
        }
    }

    /// Writes a connection's output, updates its interest at the poller, and sets its timer.
    pub(in crate::net) fn flush_connection(&mut self, slot: usize) {
        let Some(connection) = self.pools.connection(slot) else { return };
        if connection.conn.phase != Phase::Connecting {
            let key = Pools::key(slot, connection.serial);
            let conn = &mut connection.conn;
            if conn.flush().is_err() || conn.update(&self.poll, key).is_err() {
                return self.connection_ended(slot, ConnectionEnd::Broken);
            }
        }
        let Some(connection) = self.pools.connections.get(slot).and_then(Option::as_ref) else { return };
        let deadline_us = self.connection_deadline_us(connection);
        if let Some(connection) = self.pools.connection(slot) {
            let timer = NetTimer::EngineConnection(slot, connection.serial);
            self.timers.reschedule(&mut connection.timer, deadline_us, timer);
        }
    }

    /// Handles the timer of a connection. `serial` distinguishes the connection from later ones in its slot.
    pub(in crate::net) fn connection_timer_fired(&mut self, slot: usize, serial: u32) {
        let now_us = self.time.now_us;
        let connection = self.pools.connections.get(slot).and_then(Option::as_ref);
        let Some(connection) = connection.filter(|c| c.serial == serial) else { return };
        let is_due = self.connection_deadline_us(connection).is_some_and(|deadline_us| deadline_us <= now_us);
        let connecting = connection.link.is_connecting(connection.conn.phase);
        let (job, write_delayed) = (connection.link.job, connection.link.is_write_delayed());
        if let Some(connection) = self.pools.connection(slot) {
            connection.timer = None;
            // A call without a response may still be in transit and must not arrive after it was given up.
            let unanswered = matches!(job, Job::Attempt(_) | Job::Discarding { .. } | Job::Confirm(_));
            if is_due && !connecting && !write_delayed && unanswered {
                connection.conn.discard_unsent_on_close();
            }
        }
        self.pools.dirty.push(slot);
        if !is_due {
            return;
        }
        if write_delayed {
            self.write_first_call(slot);
        } else if connecting {
            self.connection_ended(slot, ConnectionEnd::TimedOut);
        } else {
            self.response_timed_out(slot, job);
        }
    }

    /// Handles the deadline of an established connection for its response, or for being idle.
    fn response_timed_out(&mut self, slot: usize, job: Job) {
        match job {
            Job::Attempt(id) => {
                tracing::debug!(
                    request = id.request.0,
                    attempt = id.number,
                    "no response from an engine in time"
                );
                self.connection_ended(slot, ConnectionEnd::Broken);
            }
            // The cancellation timer of the attempt limits the wait.
            Job::Cancel(id) if self.pools.attempts.contains_key(&id) => {
                let now_us = self.time.now_us;
                if let Some(connection) = self.pools.connection(slot) {
                    connection.link.call_written_us = now_us;
                }
            }
            // The machine may be down, and the connection would occupy its descriptor forever.
            Job::Cancel(_) | Job::Discarding { .. } => {
                self.pools.close(&self.poll, &mut self.timers, slot);
            }
            // The connection was established, which proves that calls reach the machine.
            Job::Confirm(id) => {
                self.pools.close(&self.poll, &mut self.timers, slot);
                self.confirm_dropped(id);
            }
            Job::Idle { .. } => {
                let engine = self.pools.connection(slot).map(|c| c.link.engine);
                if let Some(e) = engine.and_then(|engine| self.pools.engines.get_mut(&engine)) {
                    e.remove_idle(slot);
                }
                self.pools.close(&self.poll, &mut self.timers, slot);
            }
        }
    }

    /// Handles a poller event of a connection to an engine.
    pub(in crate::net) fn connection_ready(&mut self, slot: usize, interest: Interest) {
        let Some(connection) = self.pools.connection(slot) else { return };
        if connection.conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            match connection.conn.finish_connect() {
                Ok(()) => {}
                // Only a refusal proves that no process listens. A reset also occurs with running processes.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    return self.connection_ended(slot, ConnectionEnd::Refused);
                }
                Err(_) => return self.connection_ended(slot, ConnectionEnd::Broken),
            }
            self.connection_established(slot);
        }
        if interest.write {
            self.pools.dirty.push(slot);
        }
        if interest.read {
            let Some(connection) = self.pools.connection(slot) else { return };
            if connection.conn.is_read_paused() {
                return self.connection_ended(slot, ConnectionEnd::Broken);
            }
            let end = connection.conn.fill(usize::MAX);
            self.read_responses(slot, end);
        }
    }

    /// Handles all complete responses in the input.
    fn read_responses(&mut self, slot: usize, end: ReadEnd) {
        loop {
            match self.read_response(slot) {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    tracing::warn!(%error, "malformed response from an engine");
                    return self.connection_ended(slot, ConnectionEnd::Broken);
                }
            }
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            self.connection_ended(slot, ConnectionEnd::Broken);
        }
    }

    /// Handles the next response. Returns false if the input has no complete response, or the connection has ended.
    fn read_response(&mut self, slot: usize) -> Result<bool, ResponseError> {
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else {
            return Ok(false);
        };
        let EngineConnection { conn, link, .. } = connection;
        if conn.input.is_empty() {
            return Ok(false);
        }
        if link.is_write_delayed() {
            tracing::debug!(engine = link.engine.0, "late duplicate of a response");
            self.connection_ended(slot, ConnectionEnd::Broken);
            return Ok(false);
        }
        match &mut link.protocol_state {
            ProtocolState::Http => match http::read(&mut conn.input, &self.names.load_report_extras)? {
                Some(response) => self.http_response(slot, response),
                None => return Ok(false),
            },
            ProtocolState::MySql(session) => {
                self.pools.dirty.push(slot);
                match session.read(&mut conn.input, &mut conn.output)? {
                    Some(event) => self.mysql_event(slot, event),
                    None => return Ok(false),
                }
            }
        }
        Ok(true)
    }

    fn connection_established(&mut self, slot: usize) {
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connection(slot) else { return };
        match &connection.link.protocol_state {
            ProtocolState::Http => self.write_first_call(slot),
            // In the MySQL protocol the server sends the first packet. The connect timeout restarts for authentication.
            ProtocolState::MySql(_) => {
                connection.link.call_written_us = now_us;
                self.pools.dirty.push(slot);
            }
        }
    }
}
