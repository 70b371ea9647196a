//! Typed configuration, read at startup. `config.json` is reloaded on SIGHUP for the endpoint list and the address of
//! the discovery service, and the control plane may replace its settings.
//!
//! There are three sources:
//! - the environment ([`from_environment`]),
//! - the `config.json` that `LB_CONFIG` names ([`read`], [`from_file`]). Its `settings` object is read in `site` and
//!   may change while the gateway runs ([`parse_site_settings`]).
//! - the operator's TOML file (`operator_file`), for values that the platform does not provide.
//!
//! This file defines the types. The submodules read the formats.

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

/// Configuration of a gateway from all sources.
#[derive(Debug)]
pub struct Config {
    /// Path of `config.json`, which is reloaded on SIGHUP. `None` if the configuration is not from a file.
    pub path: Option<String>,
    /// Identifies the gateway in a process replacement and to the control plane.
    pub name: String,
    /// Listen address for PostgreSQL clients.
    pub listen: SocketAddr,
    /// Listen address of the admin interface. `None`: no admin interface.
    pub admin: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of file descriptors that the processes of the gateway may have open together.
    pub max_descriptors: usize,
    /// Memory limit of the gateway, in bytes.
    pub memory_bytes: usize,
    /// Address of the discovery service. `None`: the endpoint list changes only with the configuration file.
    pub discovery: Option<SocketAddr>,
    /// Endpoint list at the start, before the discovery service sends any event. The list of a predecessor replaces it.
    pub known_list: KnownList,
    /// Settings of the workload manager.
    pub settings: Settings,
    /// Names for the numbers that `settings` uses.
    pub names: SettingsNames,
    /// Idle time after which an engine closes a connection, in microseconds.
    pub engine_idle_timeout_us: u64,
    /// Timeout of opening a connection to an engine, in microseconds.
    pub connect_timeout_us: u64,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Limits and options of client connections.
    pub clients: ClientSettings,
    /// `None`: the MySQL front end is disabled.
    pub mysql: Option<MysqlSettings>,
    /// `None`: live reconfiguration by the control plane is disabled.
    pub control_plane: Option<ControlPlaneSettings>,
}

/// Endpoint list at the start, from `config.json`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownList {
    /// Number of the last event, or 0 without one. The discovery service is requested to send the events after it.
    pub last_index: u64,
    /// Events of the list, in order.
    pub events: Vec<EndpointListEvent>,
}

/// Limits and options of client connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Maximum number of sessions. `None`: derived from the descriptors by [`crate::net::max_sessions`].
    pub max_sessions: Option<usize>,
    /// Idle time after which a session is closed, in microseconds. `None`: no limit.
    pub idle_limit_us: Option<u64>,
    /// Maximum length of the kernel's queue of connections that have not been accepted.
    pub backlog: u32,
    /// `None`: TCP keepalive is disabled.
    pub keepalive: Option<TcpKeepalive>,
    /// Time limit for reading sessions in one turn of the event loop, in microseconds.
    pub turn_us: u64,
    /// Maximum number of messages that one session processes in one turn.
    pub messages_per_turn: usize,
    /// Maximum number of bytes read from one session in one turn.
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

/// TCP keepalive of client connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TcpKeepalive {
    /// Idle time before the first probe.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub probes: u32,
}

/// The MySQL front end, from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct MysqlSettings {
    /// Listen address for MySQL clients.
    pub listen: SocketAddr,
    /// Users that may log in.
    pub directory: Rc<Directory>,
    /// MySQL addresses of engines, by engine name.
    pub engines: BTreeMap<String, SocketAddr>,
    /// Credentials of the gateway at the engines.
    pub login: Login,
}

/// The control plane, which publishes versions of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlPlaneSettings {
    /// Addresses of the control plane servers. There is at least one, and no duplicate.
    pub servers: Vec<SocketAddr>,
    /// The `settings` object at the start, before any version is applied.
    pub document: Document,
}
