//! The event loop. A turn
//!
//! 1. waits for events or the next timer, and reads the clock;
//! 2. takes in what engines, the discovery service, the control plane, operators and peer processes have
//!    sent, and fires timers;
//! 3. accepts and reads clients, as far as the read scheduler lets it;
//! 4. hands all inputs to the core, executes its commands, and writes to all connections that have output.

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

/// The front ends with clients that wait to be accepted.
#[derive(Clone, Copy, Debug, Default)]
struct Connecting {
    postgresql: bool,
    mysql: bool,
}

impl Connecting {
    fn front_ends(self) -> impl Iterator<Item = FrontEnd> {
        let postgresql = self.postgresql.then_some(FrontEnd::PostgreSql);
        let mysql = self.mysql.then_some(FrontEnd::MySql);
        postgresql.into_iter().chain(mysql)
    }
}

impl Server {
    /// Serves until SIGTERM has come and the graceful shutdown is over. SIGUSR1 logs the counters, SIGHUP
    /// reads the configuration's file again for the discovery service and the endpoint list alone.
    ///
    /// # Errors
    /// The poller fails.
    pub fn run(mut self) -> Result<Counters, ServeError> {
        self.signals.register(&self.poll)?;
        let mut ready = Vec::new();
        loop {
            let timeout = self.timeout();
            self.poll.wait(timeout, &mut ready)?;
            self.time.now_us = self.time.clock.elapsed().as_micros() as u64;
            self.counters.turns += 1;
            let mut connecting = Connecting::default();
            for (key, interest) in ready.iter().copied() {
                self.handle_event(key, interest, &mut connecting);
            }
            self.fire_timers();
            self.serve_clients(connecting);
            self.turn();
            if self.advance_shutdown() {
                self.announce_exit_to_peers();
                self.log_counters();
                return Ok(self.counters);
            }
        }
    }

    fn handle_event(&mut self, key: u64, interest: Interest, connecting: &mut Connecting) {
        let Some(source) = PollKey::decode(key) else { return };
        match source {
            PollKey::PostgreSqlListener => connecting.postgresql = true,
            PollKey::MySqlListener => connecting.mysql = true,
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

    /// Accepts and reads clients. Where the table is full, sessions are read first: clients that have left make place,
    /// and no client is rejected without need.
    fn serve_clients(&mut self, connecting: Connecting) {
        if connecting.front_ends().next().is_some() && self.sessions.is_full() {
            self.read_sessions();
        }
        for front_end in connecting.front_ends() {
            self.accept(front_end);
        }
        self.read_sessions();
    }

    fn log_counters(&self) {
        tracing::info!(
            counters = %self.counters,
            open = self.core.open_requests(),
            timers = self.timers.len() + self.core.timers(),
            sessions = %self.sessions,
            timer_lag = %self.timer_lag.merged(self.core.timer_lag()),
        );
    }

    /// Hands all inputs to the core, executes its commands, and settles all connections that something has happened to.
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
        self.relieve_memory();
        self.pools.end_turn();
    }

    /// How long to wait for events. It is called at the end of a turn, and reads the clock to tell the read scheduler
    /// what the turn has cost.
    fn timeout(&mut self) -> Option<Duration> {
        let now_us = self.time.clock.elapsed().as_micros() as u64;
        self.sessions.scheduler.end_turn(now_us.saturating_sub(self.time.now_us));
        let unsettled = !self.sessions.dirty.is_empty() || !self.pools.dirty.is_empty();
        if unsettled || !self.inputs.is_empty() || self.sessions.scheduler.waiting() > 0 {
            return Some(Duration::ZERO);
        }
        let next_us = [self.timers.next_us(), self.core.next_timer_us()].into_iter().flatten().min()?;
        Some(Duration::from_micros(next_us.saturating_sub(now_us)))
    }

    /// Opens a connection. Where the system has no descriptor left for it, whatever the budget says, a client's session
    /// is evicted: requests that were admitted go before requests that may come.
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
                NetTimer::EngineConnection(at, serial) => self.connection_timer_fired(at, serial),
                NetTimer::CancelTimeout(id) => self.attempt_lost(id),
                NetTimer::Confirmation(id) => self.request_confirmation(id),
                NetTimer::Client(handle) => self.client_timer_fired(handle),
                NetTimer::IdleLimit => self.close_long_idle(),
                NetTimer::Watch => self.check_watch(),
                NetTimer::ControlPlane => self.check_control_plane(),
                NetTimer::Reload(failures) => self.reload(failures),
                NetTimer::Listeners => self.listeners.resume(&self.poll),
                NetTimer::Admin => self.admin_timer_fired(),
                // It only wakes the loop, which advances the shutdown at the end of each turn.
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
