//! The event loop. Each turn:
//!
//! 1. Wait for events or the next timer, and read the clock.
//! 2. Read from engines, the discovery service, the control plane, operators and peer processes, and fire timers.
//! 3. Accept and read clients within the limits of the read scheduler.
//! 4. Pass all inputs to the core, execute its commands, and flush the connections of clients and engines.
//! 5. Advance a graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use wrenhatch_sessions::read_scheduler::Work;

use super::connection::Connection;
use super::listeners::{self, FrontEnd};
use super::poll::Interest;
use super::poll_key::PollKey;
use super::{NetTimer, ServeError, Server};
use crate::core::Command;
use crate::counters::Counters;
use crate::process_replacement::Message;

/// Front ends whose listeners have connections to accept.
#[derive(Clone, Copy, Debug, Default)]
struct ReadyListeners {
    postgresql: bool,
    mysql: bool,
}

impl ReadyListeners {
    fn front_ends(self) -> impl Iterator<Item = FrontEnd> {
        let postgresql = self.postgresql.then_some(FrontEnd::PostgreSql);
        let mysql = self.mysql.then_some(FrontEnd::MySql);
        postgresql.into_iter().chain(mysql)
    }
}

impl Server {
    /// Serves until a graceful shutdown, started by SIGTERM, is complete. SIGUSR1 logs the counters. SIGHUP reloads
    /// the address of the discovery service and the endpoint list from the configuration file.
    ///
    /// # Errors
    /// Waiting for events, or adding the signals to the poller, failed.
    pub fn run(mut self) -> Result<Counters, ServeError> {
        self.signals.register(&self.poll)?;
        let mut ready = Vec::new();
        loop {
            let timeout = self.timeout();
            self.poll.wait(timeout, &mut ready)?;
            self.time.now_us = self.time.started.elapsed().as_micros() as u64;
            self.counters.turns += 1;
            let mut ready_listeners = ReadyListeners::default();
            for (key, interest) in ready.iter().copied() {
                self.handle_event(key, interest, &mut ready_listeners);
            }
            self.fire_timers();
            self.serve_clients(ready_listeners);
            self.turn();
            if self.advance_shutdown() {
                self.announce_exit_to_peers();
                self.log_counters();
                return Ok(self.counters);
            }
        }
    }

    fn handle_event(&mut self, key: u64, interest: Interest, ready_listeners: &mut ReadyListeners) {
        let Some(source) = PollKey::decode(key) else { return };
        match source {
            PollKey::PostgreSqlListener => ready_listeners.postgresql = true,
            PollKey::MySqlListener => ready_listeners.mysql = true,
            PollKey::Terminate => {
                self.signals.drain(source);
                self.begin_shutdown();
            }
            PollKey::PrintCounters => {
                self.signals.drain(source);
                self.log_counters();
            }
            PollKey::Reload => {
                self.signals.drain(source);
                self.reload(0);
            }
            PollKey::Session(handle) => self.session_ready(handle, interest),
            PollKey::EngineConnection { .. } => {
                self.sessions.scheduler.charge(Work::Event, 1);
                if let Some(slot) = self.pools.slot_of(key) {
                    self.connection_ready(slot, interest);
                }
            }
            PollKey::Watch(_) => self.watch_ready(key, interest),
            PollKey::AdminListener => self.accept_admin_connections(),
            PollKey::AdminConnection(_) => self.admin_connection_ready(key),
            PollKey::PeerListener => self.accept_peer_processes(),
            PollKey::PeerProcess(_) => self.peer_process_ready(key),
            PollKey::ControlPlaneStream(_) => self.control_plane_ready(key, interest),
            PollKey::ControlPlaneReport(_) => self.report_ready(key, interest),
        }
    }

    /// Accepts and reads clients. If the session table is full, sessions are read first, so that those of disconnected
    /// clients are removed before another session is evicted or a new client is rejected.
    fn serve_clients(&mut self, ready_listeners: ReadyListeners) {
        if ready_listeners.front_ends().next().is_some() && self.sessions.is_full() {
            self.read_sessions();
        }
        for front_end in ready_listeners.front_ends() {
            self.accept(front_end);
        }
        self.read_sessions();
    }

    fn log_counters(&self) {
        tracing::info!(
            counters = %self.counters,
            open = self.core.open_request_count(),
            timers = self.timers.len() + self.core.timer_count(),
            sessions = %self.sessions,
            timer_lag = %self.timer_lag.merged(self.core.timer_lag()),
        );
    }

    /// Passes all inputs to the core, executes its commands, and settles all dirty connections and sessions.
    pub(super) fn turn(&mut self) {
        let mut inputs = std::mem::take(&mut self.inputs);
        let mut commands = Vec::new();
        self.core.turn(self.time.now_us, &mut inputs, &mut commands);
        for command in commands {
            self.execute(command);
        }
        while let Some(slot) = self.pools.dirty.pop() {
            self.flush_connection(slot);
        }
        while let Some(handle) = self.sessions.dirty.pop() {
            self.settle_session(handle);
        }
        self.relieve_memory_pressure();
        self.pools.end_turn();
    }

    /// Time to wait for events; `None` waits without a limit. Called once between two turns, as it also reports the
    /// duration of the last turn to the read scheduler.
    fn timeout(&mut self) -> Option<Duration> {
        let now_us = self.time.started.elapsed().as_micros() as u64;
        self.sessions.scheduler.end_turn(now_us.saturating_sub(self.time.now_us));
        let unsettled = !self.sessions.dirty.is_empty() || !self.pools.dirty.is_empty();
        if unsettled || !self.inputs.is_empty() || self.sessions.scheduler.waiting() > 0 {
            return Some(Duration::ZERO);
        }
        let next_us = [self.timers.next_us(), self.core.next_timer_us()].into_iter().flatten().min()?;
        Some(Duration::from_micros(next_us.saturating_sub(now_us)))
    }

    /// Begins to open a connection to an engine or a service. If the system is out of descriptors in spite of the
    /// descriptor budget, a client's session is evicted and the call is repeated once: admitted requests have
    /// precedence over idle clients.
    pub(super) fn dial(
        &mut self,
        address: SocketAddr,
        key: u64,
        read_ahead: usize,
    ) -> io::Result<Connection> {
        match Connection::connect(&self.poll, address, key, read_ahead) {
            Err(e) if listeners::is_out_of_descriptors(&e) && self.evict_one() => {
                Connection::connect(&self.poll, address, key, read_ahead)
            }
            other => other,
        }
    }

    fn fire_timers(&mut self) {
        while let Some((due_us, timer)) = self.timers.pop(self.time.now_us) {
            self.timer_lag.record(due_us, self.time.now_us);
            self.sessions.scheduler.charge(Work::Event, 1);
            match timer {
                NetTimer::EngineConnection(slot, serial) => self.connection_timer_fired(slot, serial),
                NetTimer::CancelTimeout(id) => self.attempt_lost(id),
                NetTimer::Confirmation(id) => self.request_confirmation(id),
                NetTimer::Client(handle) => self.client_timer_fired(handle),
                NetTimer::IdleLimit => self.close_idle_sessions(),
                NetTimer::Watch => self.check_watch(),
                NetTimer::ControlPlane => self.check_control_plane(),
                NetTimer::Reload(failures) => self.reload(failures),
                NetTimer::Listeners => self.listeners.resume(&self.poll),
                NetTimer::Admin => self.admin_timer_fired(),
                NetTimer::StatementIds => self.assign_awaited_statement_ids(),
                // This timer only wakes the loop, which advances the shutdown at the end of each turn.
                NetTimer::Shutdown => {}
            }
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::StartAttempt { attempt, engine, limits, terms } => {
                self.start_attempt(attempt, engine, terms, limits);
            }
            Command::SetPriority { attempt, priority } => self.set_priority(attempt, priority),
            Command::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            Command::Serve(..) | Command::Reject { .. } | Command::Fail(_) => self.answer(command),
            Command::ClaimLease { key, holder } => self.send_to_peer(holder, &Message::ClaimLease(key)),
            Command::GrantLease { key, to } => self.send_to_peer(to, &Message::GrantLease(key)),
        }
    }
}
