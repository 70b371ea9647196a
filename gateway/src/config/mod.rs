//! Typed configuration. Read at the start; `config.json` is read again on SIGHUP, and its settings may be replaced by
//! the control plane.
//!
//! Three sources: the environment ([`from_environment`]), the `config.json` that `LB_CONFIG` names ([`read`],
//! [`from_file`]; its `settings` object is read in `site`), and the operator's TOML file (`operator_file`), which sets
//! what the platform does not give. The types stand here, apart from the formats. The `settings` object may change
//! while the gateway runs: [`parse_site_settings`].

mod config_file;
mod descriptors;
mod environment;
mod error;
mod names;
mod operator_file;
mod site;
mod toml_file;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use workload_manager::Settings;
use wrenhatch_configuration::Document;

use crate::discovery::EndpointListEvent;
use crate::engine::mysql::Login;
use crate::tenants::Directory;

pub use config_file::{from_file, read};
pub use descriptors::OWN_DESCRIPTORS;
pub use environment::from_environment;
pub use error::{ConfigError, OperatorFileError};
pub use names::SettingsNames;
pub use site::{SiteSettings, parse_site_settings};
pub use toml_file::{TomlError, TomlFile};

/// Everything that the gateway is given at its start.
#[derive(Debug)]
pub struct Config {
    /// The file that it was read from, to be read again on SIGHUP.
    pub path: Option<String>,
    /// The gateway's name.
    pub name: String,
    /// Where PostgreSQL clients connect.
    pub listen: SocketAddr,
    /// Where the admin interface listens, if there is one.
    pub admin: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// Descriptors that the gateway may hold.
    pub max_descriptors: usize,
    /// Memory that the gateway may use, in bytes.
    pub memory_bytes: usize,
    /// The discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The endpoint list as known at the start.
    pub known_list: KnownList,
    /// Settings of the workload manager.
    pub settings: Settings,
    /// Names in the settings.
    pub names: SettingsNames,
    /// Idle time after which an engine closes a connection, in microseconds.
    pub engine_idle_timeout_us: u64,
    /// Time within which a connection to an engine must come up, in microseconds.
    pub connect_timeout_us: u64,
    /// Open requests permitted.
    pub max_open_requests: usize,
    /// Limits and options of clients' connections.
    pub clients: ClientSettings,
    /// The MySQL front end, where an operator wants it.
    pub mysql: Option<MysqlSettings>,
    /// The control plane, where an operator wants live reconfiguration.
    pub control_plane: Option<ControlPlaneSettings>,
}

/// The endpoint list as known at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownList {
    /// The number of the last event; the discovery service is asked for what is behind it.
    pub last_index: u64,
    /// The events so far, in order.
    pub events: Vec<EndpointListEvent>,
}

/// Limits and options of clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Sessions that are held at most; without it, what the descriptors allow.
    pub max_sessions: Option<usize>,
    /// Idle sessions are closed after this, in microseconds.
    pub idle_limit_us: Option<u64>,
    /// Connections that the kernel queues until they are accepted.
    pub backlog: u32,
    /// TCP keepalive, where it is on.
    pub keepalive: Option<TcpKeepalive>,
    /// Time that reading sessions may take in one turn of the event loop, in microseconds.
    pub turn_us: u64,
    /// Messages of one session in one turn.
    pub messages_per_turn: usize,
    /// Bytes read from one session in one turn.
    pub bytes_per_turn: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        let limits = wrenhatch_sessions::read_scheduler::ReadLimits::default();
        Self {
            max_sessions: None,
            idle_limit_us: None,
            backlog: 1024,
            keepalive: None,
            turn_us: limits.turn_us,
            messages_per_turn: limits.messages_per_turn,
            bytes_per_turn: limits.bytes_per_turn,
        }
    }
}

/// TCP keepalive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TcpKeepalive {
    /// Silence before the first probe.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Probes without an answer after which the connection is dead.
    pub probes: u32,
}

/// The MySQL front end, as an operator sets it up.
#[derive(Clone, Debug, PartialEq)]
pub struct MysqlSettings {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Its users.
    pub directory: Rc<Directory>,
    /// Where engines speak MySQL, by engine name.
    pub engines: BTreeMap<String, SocketAddr>,
    /// The gateway's login at engines.
    pub login: Login,
}

/// The control plane, which publishes versions of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlPlaneSettings {
    /// The control plane servers.
    pub servers: Vec<SocketAddr>,
    /// The settings of the start, before any version.
    pub document: Document,
}
