//! Acquiring, opening, reusing and closing connections to engines, within the descriptor budget.

use workload_manager::{EndpointState, EngineId, Outcome};

use super::{ConnectionEnd, Engine, EngineProtocol, Job, Link, ProtocolState};
use crate::engine::{http, mysql};
use crate::net::Server;
use crate::net::connection::{Phase, ReadEnd};

/// Minimum time between the end of a connection's job and the first call of its next job, in microseconds. A duplicate
/// of a response may arrive some milliseconds late and would be mistaken for the response to the next call. If no idle
/// connection is past this delay, the call is delayed and no new connection is opened, as establishing one often takes
/// longer.
pub(super) const REUSE_DELAY_US: u64 = 25_000;

/// Read-ahead of a MySQL connection.
const MYSQL_READ_AHEAD_BYTES: usize = 512 * 1024;

impl Server {
    /// Acquires a connection to an engine for a job and returns its slot. Prefers an idle connection past its reuse
    /// delay, if possible one on which the statement `prepared` is prepared, then any idle connection, then opens a new
    /// one.
    ///
    /// # Errors
    /// No connection is available. If the job is an attempt, the error is its outcome.
    pub(super) fn acquire_connection(
        &mut self,
        engine: EngineId,
        job: Job,
        protocol: EngineProtocol,
        prepared: Option<&[u8]>,
    ) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get(&engine) else { return Err(Outcome::NeverSent) };
        if matches!(job, Job::Attempt(_)) && e.state != EndpointState::Ready {
            return Err(Outcome::NeverSent);
        }
        while let Some(slot) = self.take_idle(engine, protocol, prepared) {
            if self.has_no_unread_input(slot) {
                if let Some(connection) = self.pools.connection(slot) {
                    let link = &mut connection.link;
                    if let Job::Idle { since_us } = link.job {
                        link.write_after_us = since_us + REUSE_DELAY_US;
                    }
                    link.job = job;
                }
                return Ok(slot);
            }
            self.pools.close(&self.poll, &mut self.timers, slot);
        }
        self.connect(engine, job, protocol)
    }

    /// Removes the best idle connection from an engine's pool. Among connections past their reuse delay, this is the
    /// most recently used one, with preference for those with the statement prepared. If none is past its reuse delay,
    /// it is the one that has been idle for longest.
    fn take_idle(
        &mut self,
        engine: EngineId,
        protocol: EngineProtocol,
        prepared: Option<&[u8]>,
    ) -> Option<usize> {
        let now_us = self.time.now_us;
        let connections = &self.pools.connections;
        let link = |slot: &usize| connections[*slot].as_ref().map(|connection| &connection.link);
        let has_prepared = |slot: &usize| match link(slot).map(|link| &link.protocol_state) {
            Some(ProtocolState::MySql(s)) => prepared.is_some_and(|sql| s.has_prepared(sql)),
            _ => false,
        };
        let is_reusable = |slot: &usize| {
            let job = link(slot).map(|link| link.job);
            matches!(job, Some(Job::Idle { since_us }) if now_us >= since_us + REUSE_DELAY_US)
        };
        let idle = self.pools.engines.get_mut(&engine)?.idle.of(protocol);
        let best = idle
            .iter()
            .rposition(|slot| is_reusable(slot) && has_prepared(slot))
            .or_else(|| idle.iter().rposition(is_reusable))
            .or_else(|| (!idle.is_empty()).then_some(0))?;
        Some(idle.remove(best))
    }

    /// Whether an idle connection is open and has no input. Unexpected input would be mistaken for the next response.
    /// If the engine has closed the connection, it would be unknown whether a call written to it was executed.
    fn has_no_unread_input(&mut self, slot: usize) -> bool {
        let Some(connection) = self.pools.connection(slot) else { return false };
        connection.conn.fill(usize::MAX) == ReadEnd::WouldBlock && connection.conn.input.is_empty()
    }

    /// Opens a connection to an engine and returns its slot. If the descriptor budget is exhausted, an idle connection
    /// is closed first.
    ///
    /// # Errors
    /// No connection could be opened. If the job is an attempt, the error is its outcome.
    pub(super) fn connect(
        &mut self,
        engine: EngineId,
        job: Job,
        protocol: EngineProtocol,
    ) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get(&engine) else { return Err(Outcome::NeverSent) };
        let address = if protocol == EngineProtocol::Http { Some(e.address) } else { e.mysql };
        let Some(address) = address else { return Err(Outcome::NeverSent) };
        // The address of a removed engine may have been reused by another engine, which does not have its queries.
        let reuses_address = |o: &Engine| o.state != EndpointState::Removed && o.address == e.address;
        if e.state == EndpointState::Removed && self.pools.engines.values().any(reuses_address) {
            return Err(Outcome::NeverSent);
        }
        if self.pools.open_connections >= self.max_engine_connections() && !self.close_idle_connection() {
            return Err(Outcome::NeverSent);
        }
        let protocol_state = match (protocol, &self.config.mysql) {
            (EngineProtocol::MySql, Some(m)) => {
                ProtocolState::MySql(Box::new(mysql::Session::new(m.login.clone())))
            }
            _ => ProtocolState::Http,
        };
        let (slot, key) = self.pools.allocate_slot();
        let read_ahead = if protocol == EngineProtocol::Http {
            2 * http::MAX_RESPONSE_BYTES
        } else {
            MYSQL_READ_AHEAD_BYTES
        };
        match self.dial(address, key, read_ahead) {
            Ok(conn) => {
                let link = Link {
                    engine,
                    job,
                    protocol_state,
                    call_written_us: self.time.now_us,
                    write_after_us: 0,
                    duplicate_response_possible: false,
                };
                self.pools.insert(slot, conn, link);
                self.counters.engine_connects += 1;
                let cancels = job.cancels();
                tracing::debug!(engine = engine.0, cancels, now_us = self.time.now_us, "connection opened");
                Ok(slot)
            }
            Err(error) => {
                tracing::debug!(engine = engine.0, %address, %error, "connection to an engine failed");
                self.pools.free_slot(slot);
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                Err(if refused { Outcome::ConnectFailed } else { Outcome::NeverSent })
            }
        }
    }

    fn max_engine_connections(&self) -> usize {
        crate::net::sessions::max_engine_connections(&self.config, self.peer_processes.none_known())
    }

    /// Closes idle connections that exceed this process's share of the descriptors. While a peer process runs, the
    /// share is half.
    pub(in crate::net) fn share_descriptors(&mut self) {
        while self.pools.open_connections > self.max_engine_connections() && self.close_idle_connection() {}
    }

    /// Closes the longest idle connection in the largest pool of idle connections. Returns false if no connection is
    /// idle.
    fn close_idle_connection(&mut self) -> bool {
        let pools = self.pools.engines.values_mut().flat_map(|e| e.idle.all());
        let largest = pools.max_by_key(|idle| idle.len()).filter(|idle| !idle.is_empty());
        let Some(slot) = largest.map(|idle| idle.remove(0)) else { return false };
        self.pools.close(&self.poll, &mut self.timers, slot);
        true
    }

    /// Returns a connection to its engine's pool of idle connections, or closes it if it can't be reused.
    pub(super) fn release(&mut self, slot: usize) {
        let now_us = self.time.now_us;
        let Some(connection) = self.pools.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        let link = &mut connection.link;
        link.job = Job::Idle { since_us: now_us };
        self.pools.dirty.push(slot);
        let conn = &connection.conn;
        let ready = match &link.protocol_state {
            ProtocolState::Http => true,
            ProtocolState::MySql(s) => s.is_ready(),
        };
        let reusable = ready
            && !link.duplicate_response_possible
            && conn.phase == Phase::Open
            && conn.input.is_empty()
            && conn.output.is_empty();
        match self.pools.engines.get_mut(&link.engine) {
            Some(e) if reusable && e.state != EndpointState::Removed => {
                e.idle.of(link.protocol()).push(slot);
            }
            _ => {
                self.pools.close(&self.poll, &mut self.timers, slot);
            }
        }
    }

    /// Closes a connection if `close` is set, and releases it otherwise.
    pub(super) fn release_or_close(&mut self, slot: usize, close: bool) {
        if close {
            self.pools.close(&self.poll, &mut self.timers, slot);
        } else {
            self.release(slot);
        }
    }

    /// Closes a connection that has ended, and recovers its job.
    pub(in crate::net) fn connection_ended(&mut self, slot: usize, end: ConnectionEnd) {
        let Some(link) = self.pools.close(&self.poll, &mut self.timers, slot) else { return };
        match link.job {
            Job::Idle { .. } => {
                if let Some(e) = self.pools.engines.get_mut(&link.engine) {
                    e.remove_idle(slot);
                }
            }
            Job::Attempt(id) => self.attempt_connection_ended(id, &link, end),
            Job::Cancel(id) => self.retry_cancellation(id, &link, end),
            Job::Confirm(id) => self.confirmation_connection_ended(id, end),
            Job::Discarding { .. } => {}
        }
    }
}
