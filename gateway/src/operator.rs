//! The operator's file: settings that the platform does not give, in TOML, checked before anything starts. What
//! is not in it has its default; what it does not know, or what makes no sense, is named with file, line and key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Deserializer, de::Error};
use toml::Spanned;
use wrenhatch_configuration::Document;

use crate::config::{Clients, Config, Control, Keepalive, MySql};
use crate::engine::mysql::Login;
use crate::tenants::{Account, Directory};

/// A mistake in an operator's file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}:{line}: {key}{message}")]
pub struct Mistake {
    /// The file.
    pub path: String,
    /// The line, from 1.
    pub line: usize,
    /// The key with a colon behind it; empty where the mistake is that of no key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

/// Why an operator's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It can't be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// Something in it is wrong.
    #[error(transparent)]
    Mistake(#[from] Mistake),
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct File {
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
        let clients = Clients::default();
        Self {
            most_sessions: None,
            idle_limit_s: None,
            backlog: clients.backlog.into(),
            keepalive: None,
            turn_ms: clients.turn_us / 1000,
            messages_per_turn: clients.messages as u64,
            bytes_per_turn: clients.bytes as u64,
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

/// Control machines that may be named.
const MOST_MACHINES: usize = 64;

/// What is wrong with a list of control machines.
fn wrong_machines(machines: &[SocketAddr]) -> Option<String> {
    let twice = machines.iter().enumerate().find(|(at, machine)| machines[..*at].contains(machine));
    if !(1..=MOST_MACHINES).contains(&machines.len()) {
        return Some(format!("{} machines are not within 1 and {MOST_MACHINES}", machines.len()));
    }
    twice.map(|(_, machine)| format!("{machine} is named twice"))
}

fn within<'de, D: Deserializer<'de>>(d: D, range: RangeInclusive<u64>) -> Result<u64, D::Error> {
    let n = i64::deserialize(d)?;
    let wrong = || D::Error::custom(format!("{n} is not within {} and {}", range.start(), range.end()));
    u64::try_from(n).ok().filter(|n| range.contains(n)).ok_or_else(wrong)
}

fn idle_limit<'de, D: Deserializer<'de>>(d: D) -> Result<Option<u64>, D::Error> {
    within(d, 1..=31_536_000).map(Some)
}

fn backlog<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1..=65_535)
}

fn turn<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1..=100)
}

fn messages<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1..=10_000)
}

fn bytes<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1_024..=16 << 20)
}

fn probe_time<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1..=32_767)
}

fn probes<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    within(d, 1..=127)
}

/// Connections to engines without which there is no service.
const LEAST_ENGINE_CONNS: usize = 8;

/// Reads the file and puts what it says into the configuration.
///
/// # Errors
/// The file can't be read, or holds a mistake.
pub fn apply(path: &str, config: &mut Config) -> Result<(), OperatorError> {
    let text = std::fs::read_to_string(path).map_err(|e| OperatorError::File(path.to_owned(), e))?;
    Ok(apply_text(path, &text, config)?)
}

fn apply_text(path: &str, text: &str, config: &mut Config) -> Result<(), Mistake> {
    let mistake = |at: usize, message: String| {
        let before = text.get(..at).unwrap_or(text);
        let line = before.matches('\n').count();
        let on_it = text.lines().nth(line).unwrap_or_default();
        let key = on_it.split_once('=').map(|(key, _)| format!("{}: ", key.trim())).unwrap_or_default();
        Mistake { path: path.to_owned(), line: line + 1, key, message }
    };
    let file: File = toml::from_str(text).map_err(|e| {
        let start = e.span().map_or(0, |span| span.start);
        mistake(start, e.message().replace('\n', " "))
    })?;
    let table = file.clients;
    if let Some(most) = &table.most_sessions {
        let room = config.sockets.saturating_sub(crate::net::OWN_DESCRIPTORS + LEAST_ENGINE_CONNS);
        if !(1..=room).contains(most.get_ref()) {
            let message = format!(
                "{} is not within 1 and {room}, which is what {} descriptors leave beside engines",
                most.get_ref(),
                config.sockets
            );
            return Err(mistake(most.span().start, message));
        }
    }
    config.clients = Clients {
        most: table.most_sessions.map(Spanned::into_inner),
        idle_limit_us: table.idle_limit_s.map(|s| s * 1_000_000),
        backlog: table.backlog as u32,
        keepalive: table.keepalive.map(|k| Keepalive {
            idle: Duration::from_secs(k.idle_s),
            interval: Duration::from_secs(k.interval_s),
            probes: k.probes as u32,
        }),
        turn_us: table.turn_ms * 1000,
        messages: table.messages_per_turn as usize,
        bytes: table.bytes_per_turn as usize,
    };
    if let Some(table) = file.control {
        if let Some(wrong) = wrong_machines(table.machines.get_ref()) {
            return Err(mistake(table.machines.span().start, wrong));
        }
        config.control =
            Some(Control { machines: table.machines.into_inner(), document: Document::default() });
    }
    let Some(table) = file.mysql else { return Ok(()) };
    let mut accounts = Vec::new();
    for (user, entry) in table.users {
        if !config.names.tenants.contains(entry.tenant.get_ref()) {
            let message = format!("no tenant of the settings is called {}", entry.tenant.get_ref());
            return Err(mistake(entry.tenant.span().start, message));
        }
        let tenant = entry.tenant.into_inner().into();
        accounts.push((user, Account { tenant, password: entry.password }));
    }
    config.mysql = Some(MySql {
        listen: table.listen,
        directory: Rc::new(Directory::new(accounts)),
        engines: table.engines,
        login: Login { user: table.login.user, password: table.login.password },
    });
    Ok(())
}

#[cfg(test)]
mod tests;
