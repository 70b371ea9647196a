//! The network: one poll loop, connections, the descriptor budget, and engines' connection pools.
//!
//! A turn reads the clock once, gathers all that is ready, hands it to the core in one go and carries out
//! the commands that come back. Each concern keeps its own state: `sessions` (clients), `pools` (engines), `watch`
//! (the list), `listeners`, and one timing wheel for whatever is due.

pub mod connection;
pub mod poll;

mod admin;
mod clients;
mod control_plane;
mod engines;
mod listeners;
mod live_reconfiguration;
mod pools;
mod process_replacement;
mod reload;
mod requests;
mod sessions;
mod shutdown;
mod watch;

pub use sessions::{ACTIVE_SESSION_BYTES, SUSPENDED_SESSION_BYTES, max_sessions};

use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime};

use workload_manager::*;
use wrenhatch_sessions::read_scheduler::Work;
use wrenhatch_sessions::session_table::Handle;
use wrenhatch_sessions::timer_wheel::TimerWheel;

use crate::admin::metrics::Metrics;
use crate::config::{Config, OWN_DESCRIPTORS, SettingsNames};
use crate::control_plane::ControlPlaneClient;
use crate::core::{Command, Core, Input};
use crate::counters::Counters;
use crate::discovery::{EndpointWatch, EngineRegistry};
use crate::process_replacement::Message;
use crate::timer_lag::TimerLag;
use connection::Connection;
use listeners::{Front, Listeners};
use poll::{Interest, Poll, Trigger};
use requests::{Request, Requests};
use sessions::Sessions;

// Keys of the poller: fixed ones, and those of connections with their generations, so that no event reaches a
// connection that has another's place.
const PG_LISTENER: u64 = 0;
const MYSQL_LISTENER: u64 = 1;
const TERM: u64 = 2;
const PRINT: u64 = 3;
const RELOAD: u64 = 4;
const ADMIN_LISTENER: u64 = 5;
const ADMIN: u64 = 1 << 61;
const PEER_LISTENER: u64 = 6;
const PEER_PROCESS: u64 = 1 << 60;
const CONTROL: u64 = 1 << 59;
const REPORT: u64 = 1 << 58;
const SESSION: u64 = 1 << 62;
const LINK: u64 = 2 << 62;
const WATCH: u64 = 3 << 62;

/// Those, and where operators call, their door and who stands in it; where control machines are asked, the stream and
/// a report.
fn own_descriptors(config: &Config) -> usize {
    let admin = config.admin.map_or(0, |_| 1 + admin::MAX_ADMIN_CONNECTIONS);
    let control = config.control_plane.as_ref().map_or(0, |_| 2);
    OWN_DESCRIPTORS + admin + control
}

/// Why the gateway can't serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address is not to be had.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The poller or a signal failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    /// Something must have happened on a connection to an engine: its slot and serial.
    EngineConnection(usize, u32),
    /// An engine should have confirmed a cancellation by now.
    CancelTimeout(engines::AttemptId),
    /// The engine of a lost attempt is asked again to confirm its end.
    Confirmation(engines::AttemptId),
    /// A client must have got on by now: started its session, ended its message, read its last word.
    Client(Handle),
    /// The session that has been idle for longest may have been so for too long.
    IdleLimit,
    /// The coordinator's stream is looked at.
    Watch,
    /// The control plane's stream is checked, and the report that is due.
    ControlPlane,
    /// The configuration's file is read again; how often that has failed.
    Reload(u32),
    /// Descriptors may be there again for new connections.
    Listeners,
    /// Connections of the admin interface may have been open for too long.
    Admin,
    /// The next phase of the graceful shutdown may begin.
    Shutdown,
}

/// The clock, read once a turn.
struct Time {
    clock: Instant,
    now_us: u64,
    unix_offset_us: i128,
}

/// The running gateway.
pub struct Server {
    config: Config,
    names: SettingsNames,
    core: Core,
    counters: Counters,
    poll: Poll,
    time: Time,
    timers: TimerWheel<Timer>,
    timer_lag: TimerLag,
    listeners: Listeners,
    sessions: Sessions,
    requests: Requests,
    pools: pools::Pools,
    watch: watch::Watch,
    control_plane: Option<control_plane::ControlPlane>,
    admin: admin::AdminInterface,
    peer_processes: process_replacement::PeerProcesses,
    registry: EngineRegistry,
    metrics: Metrics,
    shutdown: shutdown::Shutdown,
    signals: Signals,
    inputs: Vec<Input>,
}

impl Server {
    /// Listens and takes in the list of engines known so far.
    pub fn new(mut config: Config, signals: Signals) -> Result<Self, ServeError> {
        let poll = Poll::new()?;
        let mut predecessor = process_replacement::receive_state(&config);
        let inherited =
            predecessor.as_mut().map(|state| std::mem::take(&mut state.listeners)).unwrap_or_default();
        let listeners = Listeners::open(&config, &poll, inherited)?;
        let admin = admin::AdminInterface::open(config.admin, &poll)?;
        let known_list = std::mem::take(&mut config.known_list);
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let metrics = Metrics::new(config.names.classes.iter().map(String::as_str));
        let mut server = Self {
            core: Core::new(config.settings.clone(), config.seed)?,
            names: std::mem::take(&mut config.names),
            counters: Counters::default(),
            poll,
            time: Time {
                clock: Instant::now(),
                now_us: 0,
                unix_offset_us: i128::try_from(unix.as_micros()).unwrap_or(0),
            },
            timers: TimerWheel::new(),
            timer_lag: TimerLag::default(),
            listeners,
            sessions: Sessions::new(
                &config,
                unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40),
            ),
            requests: Requests::default(),
            pools: pools::Pools::default(),
            watch: watch::Watch::new(EndpointWatch::new(
                known_list.last_index,
                config.memory_bytes,
                config.seed as u32 as f64 / f64::from(u32::MAX),
            )),
            control_plane: config.control_plane.clone().map(|settings| {
                let client = ControlPlaneClient::new(settings, &config.name, config.seed);
                control_plane::ControlPlane::new(client)
            }),
            admin,
            peer_processes: process_replacement::PeerProcesses::default(),
            registry: EngineRegistry::new(config.memory_bytes),
            metrics,
            shutdown: shutdown::Shutdown::new(&config.settings),
            signals,
            inputs: Vec::new(),
            config,
        };
        server.timers.arm(0, Timer::Watch);
        server.check_control_plane();
        known_list.events.iter().for_each(|event| server.apply_list_event(event));
        let predecessor = predecessor.map(|state| {
            server.restore_state(state.messages);
            state.connection
        });
        // Whoever calls first finds the core with all that is known.
        server.turn();
        server.start_peer_processes(predecessor);
        Ok(server)
    }

    /// Where the admin interface listens.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.address()
    }

    /// Where clients connect: PostgreSQL and MySQL.
    pub fn addresses(&self) -> (Option<String>, Option<String>) {
        (self.listeners.address(Front::Pg), self.listeners.address(Front::MySql))
    }

    /// Serves until SIGTERM has come and all that was taken is answered. SIGUSR1 prints the counters, SIGHUP
    /// reads the configuration's file again.
    pub fn run(mut self) -> Result<Counters, ServeError> {
        for (pipe, key) in
            [(&self.signals.term, TERM), (&self.signals.print, PRINT), (&self.signals.reload, RELOAD)]
        {
            self.poll.add(pipe, key, Interest { read: true, write: false }, Trigger::Level)?;
        }
        let mut ready = Vec::new();
        loop {
            let timeout = self.timeout();
            self.poll.wait(timeout, &mut ready)?;
            self.time.now_us = self.time.clock.elapsed().as_micros() as u64;
            self.counters.turns += 1;
            let mut connecting = [false; 2];
            for (key, interest) in ready.iter().copied() {
                match (key, key >> 62 << 62) {
                    (PG_LISTENER, _) => connecting[0] = true,
                    (MYSQL_LISTENER, _) => connecting[1] = true,
                    (TERM, _) => {
                        drain(&self.signals.term);
                        self.begin_shutdown();
                    }
                    (ADMIN_LISTENER, _) => self.accept_admin_connections(),
                    (PEER_LISTENER, _) => self.accept_peer_processes(),
                    (PRINT, _) => {
                        drain(&self.signals.print);
                        self.print();
                    }
                    (RELOAD, _) => {
                        drain(&self.signals.reload);
                        self.reload(0);
                    }
                    (_, LINK) => {
                        self.sessions.scheduler.charge(Work::Event, 1);
                        if let Some(at) = self.pools.slot_of(key) {
                            self.connection_ready(at, interest);
                        }
                    }
                    (_, WATCH) => self.watch_ready(key, interest),
                    (_, SESSION) => self.session_ready(key, interest),
                    (key, _) if key & ADMIN != 0 => self.admin_connection_ready(key),
                    (key, _) if key & PEER_PROCESS != 0 => self.peer_process_ready(key),
                    (key, _) if key & CONTROL != 0 => self.control_plane_ready(key, interest),
                    (key, _) if key & REPORT != 0 => self.report_ready(key, interest),
                    _ => {}
                }
            }
            self.ring();
            // What came from engines may have ended requests: that goes out before anything new is read. Where all
            // places are taken, those who have left are seen before anybody is turned away for them.
            if connecting.contains(&true) && self.sessions.is_full() {
                self.read_sessions();
            }
            for (front, _) in [Front::Pg, Front::MySql].into_iter().zip(connecting).filter(|(_, open)| *open)
            {
                self.accept(front);
            }
            self.read_sessions();
            self.turn();
            if self.advance_shutdown() {
                self.announce_exit_to_peers();
                self.print();
                return Ok(self.counters);
            }
        }
    }

    fn print(&self) {
        tracing::info!(
            counters = %self.counters,
            open = self.core.open_requests(),
            timers = self.timers.len() + self.core.timers(),
            sessions = %self.sessions,
            timer_lag = %self.timer_lag.merged(self.core.timer_lag()),
        );
    }

    /// Hands what has come to the core and carries out what it wants.
    fn turn(&mut self) {
        let mut inputs = std::mem::take(&mut self.inputs);
        let mut commands = Vec::new();
        self.core.turn(self.time.now_us, &mut inputs, &mut commands);
        for command in commands {
            self.carry_out(command);
        }
        while let Some(at) = self.pools.dirty.pop() {
            self.flush_connection(at);
        }
        while let Some(who) = self.sessions.dirty.pop() {
            self.settle_session(who);
        }
        self.relieve_memory();
        self.pools.end_turn();
    }

    /// How long to wait, at the end of a turn: the second of its two looks at the clock, which tells the scheduler
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

    /// Opens a connection. Where no descriptor is left for it, whatever the budget says, a client that is idle
    /// yields its own: what has been taken is worth more than who may ask some day.
    fn dial(&mut self, address: SocketAddr, key: u64, ahead: usize) -> io::Result<Connection> {
        match Connection::connect(&self.poll, address, key, ahead) {
            Err(e) if listeners::is_out_of_descriptors(&e) && self.evict_one() => {
                Connection::connect(&self.poll, address, key, ahead)
            }
            other => other,
        }
    }

    fn ring(&mut self) {
        while let Some((due_us, timer)) = self.timers.pop(self.time.now_us) {
            self.timer_lag.record(due_us, self.time.now_us);
            self.sessions.scheduler.charge(Work::Event, 1);
            match timer {
                Timer::EngineConnection(at, serial) => self.connection_timer_fired(at, serial),
                Timer::CancelTimeout(id) => self.attempt_lost(id),
                Timer::Confirmation(id) => self.request_confirmation(id),
                Timer::Client(who) => self.client_timer_fired(who),
                Timer::IdleLimit => self.close_long_idle(),
                Timer::Watch => self.check_watch(),
                Timer::ControlPlane => self.check_control_plane(),
                Timer::Reload(failures) => self.reload(failures),
                Timer::Listeners => self.listeners.resume(&self.poll),
                Timer::Admin => self.admin_timer_fired(),
                // It only wakes the loop, which advances the shutdown at the end of each turn.
                Timer::Shutdown => {}
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
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

/// Where signals are told of. They are caught before anything else is done: SIGHUP to one that is just starting
/// would end it, as would SIGTERM, with clients in the queue of its listener.
pub struct Signals {
    term: UnixStream,
    print: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Catches SIGTERM, SIGUSR1 and SIGHUP from here on.
    ///
    /// # Errors
    /// No descriptor, or the system refuses.
    pub fn catch() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
        Ok(Self { term: signal_pipe(SIGTERM)?, print: signal_pipe(SIGUSR1)?, reload: signal_pipe(SIGHUP)? })
    }
}

fn signal_pipe(signal: i32) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    Ok(read)
}

fn drain(mut pipe: &UnixStream) {
    let mut bytes = [0; 64];
    while io::Read::read(&mut pipe, &mut bytes).is_ok_and(|n| n > 0) {}
}
