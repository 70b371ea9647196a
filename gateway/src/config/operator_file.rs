//! The operator's TOML file: settings that the platform does not provide. An absent key has its default value, except
//! the required keys of optional tables. An unknown key, a missing required key or an invalid value is an error with
//! file, line and key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Deserializer, de::Error};
use toml::Spanned;
use wrenhatch_configuration::Document;

use super::descriptors::{MIN_ENGINE_CONNECTIONS, OWN_DESCRIPTORS};
use super::{
    ClientSettings, Config, ControlPlaneSettings, MysqlSettings, OperatorFileError, TcpKeepalive, TomlError,
    TomlFile,
};
use crate::engine::mysql::Login;
use crate::tenants::{Account, Directory};

// Error messages contain the names of these types (`expected struct MySqlTable`).

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OperatorFile {
    clients: ClientsTable,
    mysql: Option<MySqlTable>,
    control: Option<ControlTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ClientsTable {
    most_sessions: Option<Spanned<usize>>,
    #[serde(deserialize_with = "idle_limit")]
    idle_limit_s: Option<u64>,
    #[serde(deserialize_with = "backlog")]
    backlog: u64,
    keepalive: Option<KeepaliveTable>,
    #[serde(deserialize_with = "turn")]
    turn_ms: u64,
    #[serde(deserialize_with = "messages")]
    messages_per_turn: u64,
    #[serde(deserialize_with = "bytes")]
    bytes_per_turn: u64,
}

impl Default for ClientsTable {
    fn default() -> Self {
        let clients = ClientSettings::default();
        Self {
            most_sessions: None,
            idle_limit_s: None,
            backlog: clients.backlog.into(),
            keepalive: None,
            turn_ms: clients.turn_us / 1000,
            messages_per_turn: clients.messages_per_turn as u64,
            bytes_per_turn: clients.bytes_per_turn as u64,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeepaliveTable {
    #[serde(deserialize_with = "probe_time")]
    idle_s: u64,
    #[serde(deserialize_with = "probe_time")]
    interval_s: u64,
    #[serde(deserialize_with = "probes")]
    probes: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MySqlTable {
    listen: SocketAddr,
    login: LoginTable,
    #[serde(default)]
    users: BTreeMap<String, UserTable>,
    #[serde(default)]
    engines: BTreeMap<String, SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoginTable {
    user: String,
    #[serde(default)]
    password: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct UserTable {
    tenant: Spanned<String>,
    #[serde(default)]
    password: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ControlTable {
    machines: Spanned<Vec<SocketAddr>>,
}

fn in_range<'de, D: Deserializer<'de>>(deserializer: D, range: RangeInclusive<u64>) -> Result<u64, D::Error> {
    let n = i64::deserialize(deserializer)?;
    let error = || D::Error::custom(format!("{n} is not between {} and {}", range.start(), range.end()));
    u64::try_from(n).ok().filter(|n| range.contains(n)).ok_or_else(error)
}

fn idle_limit<'de, D: Deserializer<'de>>(d: D) -> Result<Option<u64>, D::Error> {
    in_range(d, 1..=31_536_000).map(Some)
}

fn backlog<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1..=65_535)
}

fn turn<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1..=100)
}

fn messages<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1..=10_000)
}

fn bytes<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1_024..=16 << 20)
}

fn probe_time<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1..=32_767)
}

fn probes<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    in_range(d, 1..=127)
}

/// Reads the file and applies its settings to the configuration.
///
/// # Errors
/// The file can't be read, or its content is invalid.
pub(super) fn apply(path: &str, config: &mut Config) -> Result<(), OperatorFileError> {
    let text = std::fs::read_to_string(path).map_err(|e| OperatorFileError::File(path.to_owned(), e))?;
    Ok(apply_text(&TomlFile { path, text: &text }, config)?)
}

fn apply_text(toml: &TomlFile<'_>, config: &mut Config) -> Result<(), TomlError> {
    let file: OperatorFile = toml.parse()?;
    config.clients = client_settings(toml, file.clients, config.max_descriptors)?;
    if let Some(table) = file.control {
        config.control_plane = Some(control_plane_settings(toml, table)?);
    }
    if let Some(table) = file.mysql {
        config.mysql = Some(mysql_settings(toml, table, &config.names.tenants)?);
    }
    Ok(())
}

fn client_settings(
    toml: &TomlFile<'_>,
    table: ClientsTable,
    max_descriptors: usize,
) -> Result<ClientSettings, TomlError> {
    if let Some(max_sessions) = &table.most_sessions {
        let available = max_descriptors.saturating_sub(OWN_DESCRIPTORS + MIN_ENGINE_CONNECTIONS);
        if !(1..=available).contains(max_sessions.get_ref()) {
            let message = format!(
                "{} is not between 1 and {available}, the number of sessions that {max_descriptors} descriptors allow",
                max_sessions.get_ref(),
            );
            return Err(toml.error_at(max_sessions.span().start, message));
        }
    }
    Ok(ClientSettings {
        max_sessions: table.most_sessions.map(Spanned::into_inner),
        idle_limit_us: table.idle_limit_s.map(|s| s * 1_000_000),
        backlog: table.backlog as u32,
        keepalive: table.keepalive.map(|keepalive| TcpKeepalive {
            idle: Duration::from_secs(keepalive.idle_s),
            interval: Duration::from_secs(keepalive.interval_s),
            probes: keepalive.probes as u32,
        }),
        turn_us: table.turn_ms * 1000,
        messages_per_turn: table.messages_per_turn as usize,
        bytes_per_turn: table.bytes_per_turn as usize,
    })
}

/// Maximum number of control plane servers.
const MAX_CONTROL_PLANE_SERVERS: usize = 64;

fn control_plane_settings(
    toml: &TomlFile<'_>,
    table: ControlTable,
) -> Result<ControlPlaneSettings, TomlError> {
    let (start, servers) = (table.machines.span().start, table.machines.into_inner());
    if !(1..=MAX_CONTROL_PLANE_SERVERS).contains(&servers.len()) {
        let message = format!("{} machines given, expected 1 to {MAX_CONTROL_PLANE_SERVERS}", servers.len());
        return Err(toml.error_at(start, message));
    }
    let mut numbered = servers.iter().enumerate();
    if let Some((_, server)) = numbered.find(|(at, server)| servers[..*at].contains(server)) {
        return Err(toml.error_at(start, format!("{server} is named twice")));
    }
    Ok(ControlPlaneSettings { servers, document: Document::default() })
}

fn mysql_settings(
    toml: &TomlFile<'_>,
    table: MySqlTable,
    tenants: &[String],
) -> Result<MysqlSettings, TomlError> {
    let mut accounts = Vec::new();
    for (user, entry) in table.users {
        if !tenants.contains(entry.tenant.get_ref()) {
            let message = format!("no tenant of the settings is called {}", entry.tenant.get_ref());
            return Err(toml.error_at(entry.tenant.span().start, message));
        }
        let tenant = entry.tenant.into_inner().into();
        accounts.push((user, Account { tenant, password: entry.password }));
    }
    Ok(MysqlSettings {
        listen: table.listen,
        directory: Rc::new(Directory::new(accounts)),
        engines: table.engines,
        login: Login { user: table.login.user, password: table.login.password },
    })
}

#[cfg(test)]
mod tests;
