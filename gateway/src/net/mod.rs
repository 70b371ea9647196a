//! The network layer: the event loop, all sockets and signals of the gateway, and the timers of connections. Timers
//! of requests belong to [`crate::core`].
//!
//! [`Server`] owns the state. Each concern has a module:
//! - `event_loop`: one turn of the loop, from events to output
//! - clients: `listeners`, `clients`, `sessions`, `requests`, `statement_ids`
//! - engines: `engines`, `pools`, `watch` (the endpoint list)
//! - operation: `admin`, `control_plane`, `live_reconfiguration`, `reload`, `process_replacement`, `shutdown`
//! - shared by all: `poll` and `poll_key` (readiness), `connection` (TCP), `timer`, `signals`, `shared_files`
//!
//! Scheduling decisions, the core and all protocols are implemented outside this module and perform no I/O. This
//! module does the I/O for them.

pub mod poll;

mod admin;
mod clients;
mod connection;
mod control_plane;
mod engines;
mod event_loop;
mod listeners;
mod live_reconfiguration;
mod poll_key;
mod pools;
mod process_replacement;
mod reload;
mod requests;
mod sessions;
mod shared_files;
mod shutdown;
mod signals;
mod statement_ids;
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

/// One descriptor for the control plane's stream and one for a report.
const CONTROL_PLANE_DESCRIPTORS: usize = 2;

/// Number of descriptors used for anything but clients and engines: [`OWN_DESCRIPTORS`], the admin listener with its
/// connections, and the control plane.
fn own_descriptors(config: &Config) -> usize {
    let admin = config.admin.map_or(0, |_| 1 + admin::MAX_ADMIN_CONNECTIONS);
    let control_plane = config.control_plane.as_ref().map_or(0, |_| CONTROL_PLANE_DESCRIPTORS);
    OWN_DESCRIPTORS + admin + control_plane
}

/// An error that prevents the gateway from serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Binding or listening failed at the address.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// A call to the poller failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The system has no random numbers for the secrets of clients.
    #[error("random numbers: {0}")]
    Random(#[from] rand::rand_core::OsError),
    /// The workload manager rejected the settings as invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// The gateway's clock, in microseconds since the creation of the [`Server`].
struct Time {
    /// Zero of all times in microseconds.
    started: Instant,
    /// Start of the current turn, after the wait for events. All work of a turn uses this time.
    now_us: u64,
    /// Unix time of [`Self::started`].
    unix_offset_us: i128,
}

impl Time {
    fn start(since_epoch: Duration) -> Self {
        let unix_offset_us = i128::try_from(since_epoch.as_micros()).unwrap_or(0);
        Self { started: Instant::now(), now_us: 0, unix_offset_us }
    }

    /// Unix time of the start of the current turn, in microseconds. Does not follow changes of the system's clock.
    fn unix_us(&self) -> u64 {
        u64::try_from(self.unix_offset_us + i128::from(self.now_us)).unwrap_or(0)
    }
}

/// The running gateway.
pub struct Server {
    config: Config,
    names: SettingsNames,
    core: Core,
    counters: Counters,
    metrics: Metrics,
    /// Inputs that the core receives in its next turn.
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
    statement_ids: statement_ids::StatementIdSource,

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
    /// Creates a gateway with open listeners, the endpoint list from the configuration, and the state transferred
    /// from its predecessor if there is one.
    ///
    /// # Errors
    /// A listener or the poller can't be created, or the settings are invalid.
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
        // The core must receive the known engines before the first client is accepted.
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
        let time = Time::start(since_epoch);
        let random = config.seed as u32 as f64 / f64::from(u32::MAX);
        let endpoint_watch = EndpointWatch::new(last_list_index, config.memory_bytes, random);
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
            statement_ids: statement_ids::StatementIdSource::new(&config, time.unix_us()),
            time,
            timers: TimerWheel::new(),
            timer_lag: TimerLag::default(),
            listeners,
            sessions: Sessions::new(&config)?,
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

    /// Local address of the admin interface; `None` if it is disabled.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.address()
    }

    /// Local addresses of the PostgreSQL and the MySQL listener, in this order; `None` for a listener that is not open.
    pub fn addresses(&self) -> (Option<String>, Option<String>) {
        (self.listeners.address(FrontEnd::PostgreSql), self.listeners.address(FrontEnd::MySql))
    }
}
