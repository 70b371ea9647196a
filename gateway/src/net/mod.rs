//! The network: the event loop, and all sockets and signals of the gateway, and the timers of connections;
//! those of requests are in [`crate::core`].
//!
//! [`Server`] owns the state; each concern has its own and a module for it:
//! - `event_loop`: a turn, from events to output
//! - clients: `listeners`, `clients`, `sessions`, `requests`
//! - engines: `engines`, `pools`, `watch` (the endpoint list)
//! - operation: `admin`, `control_plane`, `live_reconfiguration`, `reload`, `process_replacement`, `shutdown`
//!
//! The decisions, the core and all protocols are outside and know no I/O; this module carries out what they say.

pub mod connection;
pub mod poll;
pub mod poll_key;

mod admin;
mod clients;
mod control_plane;
mod engines;
mod event_loop;
mod listeners;
mod live_reconfiguration;
mod pools;
mod process_replacement;
mod reload;
mod requests;
mod sessions;
mod shutdown;
mod signals;
mod timer;
mod watch;

pub use sessions::{ACTIVE_SESSION_BYTES, SUSPENDED_SESSION_BYTES, max_sessions};
pub use signals::Signals;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use workload_manager::SettingsError;
use wrenhatch_sessions::timer_wheel::TimerWheel;

use crate::admin::metrics::Metrics;
use crate::config::{Config, OWN_DESCRIPTORS, SettingsNames};
use crate::control_plane::ControlPlaneClient;
use crate::core::{Core, Input};
use crate::counters::Counters;
use crate::discovery::{EndpointWatch, EngineRegistry};
use crate::timer_lag::TimerLag;
use listeners::{FrontEnd, Listeners};
use poll::Poll;
use requests::{OpenClientRequest, Requests};
use sessions::Sessions;
use timer::NetTimer;

/// Descriptors of the control plane: its stream and a report.
const CONTROL_PLANE_DESCRIPTORS: usize = 2;

/// Descriptors that the gateway needs beside those of clients and engines: those of the process, the admin listener
/// with its connections, and two for the control plane.
fn own_descriptors(config: &Config) -> usize {
    let admin = config.admin.map_or(0, |_| 1 + admin::MAX_ADMIN_CONNECTIONS);
    let control_plane = config.control_plane.as_ref().map_or(0, |_| CONTROL_PLANE_DESCRIPTORS);
    OWN_DESCRIPTORS + admin + control_plane
}

/// Why the gateway can't serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address can't be listened at.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The poller or a signal failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// The time of a turn.
struct Time {
    /// The clock that all times in microseconds are read from; 0 is the start of the process.
    clock: Instant,
    /// The time at which the turn began.
    now_us: u64,
    /// The time since the Unix epoch at 0 of the clock.
    unix_offset_us: i128,
}

impl Time {
    fn start(since_epoch: Duration) -> Self {
        let unix_offset_us = i128::try_from(since_epoch.as_micros()).unwrap_or(0);
        Self { clock: Instant::now(), now_us: 0, unix_offset_us }
    }
}

/// The running gateway.
pub struct Server {
    config: Config,
    names: SettingsNames,
    core: Core,
    counters: Counters,
    metrics: Metrics,
    /// What the core gets at the end of this turn.
    inputs: Vec<Input>,

    poll: Poll,
    time: Time,
    timers: TimerWheel<NetTimer>,
    timer_lag: TimerLag,
    signals: Signals,

    // Clients.
    listeners: Listeners,
    sessions: Sessions,
    requests: Requests,

    // Engines.
    pools: pools::Pools,
    watch: watch::Watch,
    registry: EngineRegistry,

    // Operation.
    admin: admin::AdminInterface,
    control_plane: Option<control_plane::ControlPlane>,
    peer_processes: process_replacement::PeerProcesses,
    shutdown: shutdown::Shutdown,
}

impl Server {
    /// A gateway that listens, with the state of its predecessor if there is one, and the endpoint list that the
    /// configuration holds.
    ///
    /// # Errors
    /// An address can't be listened at, the system refuses the poller, or the settings make no sense.
    pub fn new(mut config: Config, signals: Signals) -> Result<Self, ServeError> {
        let poll = Poll::new()?;
        let mut predecessor = process_replacement::receive_state(&config);
        let inherited =
            predecessor.as_mut().map(|state| std::mem::take(&mut state.listeners)).unwrap_or_default();
        let listeners = Listeners::open(&config, &poll, inherited)?;
        let admin = admin::AdminInterface::open(config.admin, &poll)?;
        let known_list = std::mem::take(&mut config.known_list);
        let mut server = Self::assemble(config, poll, listeners, admin, signals, known_list.last_index)?;
        server.timers.arm(0, NetTimer::Watch);
        server.check_control_plane();
        known_list.events.iter().for_each(|event| server.apply_list_event(event));
        let predecessor = predecessor.map(|state| {
            server.restore_state(state.messages);
            state.connection
        });
        // The core has all that is known before the first client is accepted.
        server.turn();
        server.start_peer_processes(predecessor);
        Ok(server)
    }

    fn assemble(
        mut config: Config,
        poll: Poll,
        listeners: Listeners,
        admin: admin::AdminInterface,
        signals: Signals,
        last_list_index: u64,
    ) -> Result<Self, ServeError> {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let process_salt = since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40);
        let chance = config.seed as u32 as f64 / f64::from(u32::MAX);
        let endpoint_watch = EndpointWatch::new(last_list_index, config.memory_bytes, chance);
        let control_plane = config.control_plane.clone().map(|settings| {
            let client = ControlPlaneClient::new(settings, &config.name, config.seed);
            control_plane::ControlPlane::new(client)
        });
        Ok(Self {
            core: Core::new(config.settings.clone(), config.seed)?,
            metrics: Metrics::new(config.names.classes.iter().map(String::as_str)),
            names: std::mem::take(&mut config.names),
            counters: Counters::default(),
            poll,
            time: Time::start(since_epoch),
            timers: TimerWheel::new(),
            timer_lag: TimerLag::default(),
            listeners,
            sessions: Sessions::new(&config, process_salt),
            requests: Requests::default(),
            pools: pools::Pools::default(),
            watch: watch::Watch::new(endpoint_watch),
            control_plane,
            admin,
            peer_processes: process_replacement::PeerProcesses::default(),
            registry: EngineRegistry::new(config.memory_bytes),
            shutdown: shutdown::Shutdown::new(&config.settings),
            signals,
            inputs: Vec::new(),
            config,
        })
    }

    /// Where the admin interface listens.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.address()
    }

    /// Where clients connect: PostgreSQL and MySQL.
    pub fn addresses(&self) -> (Option<String>, Option<String>) {
        (self.listeners.address(FrontEnd::PostgreSql), self.listeners.address(FrontEnd::MySql))
    }
}
