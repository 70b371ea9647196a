//! The connections of the admin interface, and the execution of its calls.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

use wrenhatch_sessions::timer_wheel::TimerId;

use super::connection::{Connection, Phase, ReadEnd};
use super::poll::{Interest, Poll, Trigger};
use super::poll_key::PollKey;
use super::{NetTimer, ServeError, Server};
use crate::admin::call::{self, AdminCall, CallError, MAX_CALL_BYTES};
use crate::admin::metrics::Gauges;
use crate::discovery::UnknownEngine;
use crate::process_replacement::Message;

/// Maximum number of connections. At the limit, a new connection evicts one whose response is written, or else the
/// oldest one without a complete call, or else the oldest one.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Maximum lifetime of a connection, in microseconds.
const CONNECTION_TIMEOUT_US: u64 = 5_000_000;
const BACKLOG: u32 = 64;

struct AdminConnection {
    conn: Connection,
    serial: u32,
    accepted_us: u64,
    answered: bool,
}

impl AdminConnection {
    fn key(&self) -> u64 {
        PollKey::AdminConnection(self.serial).encode()
    }

    fn awaits_close(&self) -> bool {
        self.answered && self.conn.output.is_empty()
    }
}

/// The listener of the admin interface and its connections.
#[derive(Default)]
pub struct AdminInterface {
    listener: Option<TcpListener>,
    /// Ordered by the time of acceptance, oldest first.
    connections: Vec<AdminConnection>,
    last_serial: u32,
    timer: Option<TimerId>,
}

/// A change of an engine's maintenance state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The engine is excluded from new attempts.
    Enter,
    /// Maintenance has ended at this Unix time in milliseconds.
    Exit { at_ms: u64 },
}

impl AdminInterface {
    /// Opens the listener. Without an address the interface is disabled.
    ///
    /// # Errors
    /// Opening the listener, or adding it to the poller, failed.
    pub fn open(address: Option<SocketAddr>, poll: &Poll) -> Result<Self, ServeError> {
        let Some(address) = address else { return Ok(Self::default()) };
        let failed = |e| ServeError::Listen(address, e);
        let listener = super::listeners::open_listener(address, BACKLOG, false).map_err(failed)?;
        poll.add(
            &listener,
            PollKey::AdminListener.encode(),
            Interest { read: true, write: false },
            Trigger::Level,
        )?;
        Ok(Self { listener: Some(listener), ..Self::default() })
    }

    /// Local address of the listener; `None` if the interface is disabled.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Whether any connection has an unsent response.
    pub fn is_answering(&self) -> bool {
        self.connections.iter().any(|c| c.answered && !c.conn.output.is_empty())
    }

    fn position(&self, key: u64) -> Option<usize> {
        self.connections.iter().position(|c| c.key() == key)
    }

    fn close(&mut self, poll: &Poll, index: usize) {
        self.connections.remove(index).conn.close(poll);
    }

    /// Evicts a connection if the limit is reached.
    fn evict_if_full(&mut self, poll: &Poll) {
        if self.connections.len() < MAX_ADMIN_CONNECTIONS {
            return;
        }
        let answered = self.connections.iter().position(AdminConnection::awaits_close);
        let oldest = || self.connections.iter().position(|c| !c.answered);
        let index = answered.or_else(oldest).unwrap_or(0);
        self.close(poll, index);
    }
}

impl Server {
    pub(super) fn accept_admin_connections(&mut self) {
        for _ in 0..MAX_ADMIN_CONNECTIONS {
            let Some(listener) = &self.admin.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(_) => return,
            };
            self.admin.evict_if_full(&self.poll);
            self.admin.last_serial = self.admin.last_serial.wrapping_add(1);
            let (serial, accepted_us) = (self.admin.last_serial, self.time.now_us);
            let key = PollKey::AdminConnection(serial).encode();
            match Connection::accepted(&self.poll, stream, key, MAX_CALL_BYTES) {
                Ok(conn) => {
                    let connection = AdminConnection { conn, serial, accepted_us, answered: false };
                    self.admin.connections.push(connection);
                }
                Err(error) => tracing::warn!(%error, "accepting an admin connection failed"),
            }
            self.admin_connection_ready(key);
        }
    }

    pub(super) fn admin_connection_ready(&mut self, key: u64) {
        let Some(index) = self.admin.position(key) else { return };
        let end = self.admin.connections[index].conn.fill(2 * MAX_CALL_BYTES);
        self.answer_admin_call(index);
        let connection = &mut self.admin.connections[index];
        let disconnected = end == ReadEnd::Broken || (end == ReadEnd::Eof && !connection.answered);
        let broken = connection.conn.flush().is_err() || connection.conn.update(&self.poll, key).is_err();
        if disconnected || broken || (end == ReadEnd::Eof && connection.awaits_close()) {
            self.admin.close(&self.poll, index);
        }
        self.set_admin_timer();
    }

    /// Answers the call of a connection once the call is complete or found invalid.
    fn answer_admin_call(&mut self, index: usize) {
        let connection = &self.admin.connections[index];
        if connection.answered {
            return;
        }
        let response = match call::read(&connection.conn.input) {
            Ok(None) => return,
            Ok(Some(call)) => self.execute_admin_call(call),
            Err(error) => Err(error),
        };
        let connection = &mut self.admin.connections[index];
        call::write_response(response.as_deref().map_err(|error| *error), &mut connection.conn.output);
        (connection.answered, connection.conn.phase) = (true, Phase::Closing);
    }

    /// Closes connections that have reached their maximum lifetime.
    pub(super) fn admin_timer_fired(&mut self) {
        self.admin.timer = None;
        let now_us = self.time.now_us;
        while self.admin.connections.first().is_some_and(|c| now_us >= c.accepted_us + CONNECTION_TIMEOUT_US)
        {
            self.admin.close(&self.poll, 0);
        }
        self.set_admin_timer();
    }

    fn set_admin_timer(&mut self) {
        if let (None, Some(oldest)) = (self.admin.timer, self.admin.connections.first()) {
            let due_us = oldest.accepted_us + CONNECTION_TIMEOUT_US;
            self.admin.timer = Some(self.timers.arm(due_us, NetTimer::Admin));
        }
    }

    fn execute_admin_call(&mut self, call: AdminCall) -> Result<String, CallError> {
        match call {
            AdminCall::Status if self.shutdown.has_begun() => Err(CallError::ShuttingDown),
            AdminCall::Status => {
                let configuration =
                    self.control_plane.as_ref().map(|c| c.client.to_string()).unwrap_or_default();
                Ok(format!("ready\n{configuration}"))
            }
            AdminCall::Metrics => {
                let gauges = Gauges {
                    in_flight: self.requests.open.len(),
                    engines_known: self.registry.endpoint_count(),
                    engines_excluded: self.core.engines_excluded(self.time.now_us),
                };
                Ok(self.metrics.text(gauges))
            }
            AdminCall::EnterMaintenance(engine) => {
                self.change_maintenance(&engine, MaintenanceChange::Enter)
                    .map_err(|_| CallError::UnknownEngine)?;
                self.send_to_all_peers(&Message::MaintenanceBegan { engine: engine.clone() });
                Ok(format!("{engine} is out\n"))
            }
            AdminCall::ExitMaintenance(engine) => {
                let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
                let at_ms = elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64);
                self.change_maintenance(&engine, MaintenanceChange::Exit { at_ms })
                    .map_err(|_| CallError::UnknownEngine)?;
                self.send_to_all_peers(&Message::MaintenanceEnded { engine: engine.clone(), end_ms: at_ms });
                Ok(format!("{engine} may serve\n"))
            }
        }
    }

    /// Changes an engine's maintenance state in this process. If the change has an effect, a complete turn of the core,
    /// including commands and output, is run before this function returns.
    ///
    /// # Errors
    /// No engine of this name was ever in the endpoint list.
    pub(super) fn change_maintenance(
        &mut self,
        engine: &str,
        change: MaintenanceChange,
    ) -> Result<(), UnknownEngine> {
        let event = match change {
            MaintenanceChange::Enter => self.registry.begin_maintenance(engine)?,
            MaintenanceChange::Exit { at_ms } => self.registry.end_maintenance(engine, at_ms)?,
        };
        let in_maintenance = change == MaintenanceChange::Enter;
        tracing::info!(engine, in_maintenance, changed = event.is_some(), "engine maintenance requested");
        if let Some(event) = event {
            self.update_engines(&event);
            // The turn must run before the response is written: attempts that the inputs of this turn cause must not be
            // forwarded to the engine after the response.
            self.turn();
        }
        Ok(())
    }
}
