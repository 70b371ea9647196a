//! Configuration: `LB_*` and the JSON file they name, read once into typed settings.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tinyjson::JsonValue;
use workload_manager::*;
use wrenhatch_configuration::Document;

use crate::engine::mysql::Login;
use crate::tenants::Directory;

/// Why the gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable is not set.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file can't be read.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A text is not JSON.
    #[error("{path} is not JSON: {source}")]
    Json {
        /// Which.
        path: String,
        /// Why.
        source: tinyjson::JsonParseError,
    },
    /// A value is missing or of the wrong form.
    #[error("{path}: {wanted} expected")]
    Value {
        /// Where it stands.
        path: String,
        /// What was expected.
        wanted: &'static str,
    },
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The operator's file can't be used.
    #[error(transparent)]
    Operator(#[from] crate::operator::OperatorError),
}

/// A JSON value and where it stands, for messages.
#[derive(Clone)]
pub struct Node<'a> {
    value: Option<&'a JsonValue>,
    path: String,
}

impl<'a> Node<'a> {
    /// The root of a document.
    pub fn root(value: &'a JsonValue, path: &str) -> Self {
        Self { value: Some(value), path: path.to_owned() }
    }

    /// A member; absent ones are nodes without a value.
    pub fn get(&self, key: &str) -> Node<'a> {
        let object = self.value.and_then(|v| v.get::<HashMap<String, JsonValue>>());
        let value = object.and_then(|o| o.get(key)).filter(|v| !matches!(v, JsonValue::Null));
        Node { value, path: format!("{}.{key}", self.path) }
    }

    fn wrong(&self, wanted: &'static str) -> ConfigError {
        ConfigError::Value { path: self.path.clone(), wanted }
    }

    /// A number, or the default where it is absent.
    pub fn number_or(&self, default: f64) -> Result<f64, ConfigError> {
        match self.value {
            None => Ok(default),
            Some(v) => v.get::<f64>().copied().ok_or_else(|| self.wrong("a number")),
        }
    }

    /// A number that must be there.
    pub fn number(&self) -> Result<f64, ConfigError> {
        self.value.and_then(|v| v.get::<f64>()).copied().ok_or_else(|| self.wrong("a number"))
    }

    /// A text that must be there.
    pub fn text(&self) -> Result<String, ConfigError> {
        self.value.and_then(|v| v.get::<String>()).cloned().ok_or_else(|| self.wrong("a text"))
    }

    /// A text, empty where it is absent.
    pub fn text_or_empty(&self) -> Result<String, ConfigError> {
        if self.value.is_none() { Ok(String::new()) } else { self.text() }
    }

    /// A flag, false where it is absent.
    pub fn flag(&self) -> Result<bool, ConfigError> {
        match self.value {
            None => Ok(false),
            Some(v) => v.get::<bool>().copied().ok_or_else(|| self.wrong("true or false")),
        }
    }

    /// The elements of an array; none where it is absent.
    pub fn items(&self) -> Result<Vec<Node<'a>>, ConfigError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let list = value.get::<Vec<JsonValue>>().ok_or_else(|| self.wrong("an array"))?;
        let node = |(i, v)| Node { value: Some(v), path: format!("{}[{i}]", self.path) };
        Ok(list.iter().enumerate().map(node).collect())
    }

    /// A socket address.
    pub fn address(&self) -> Result<SocketAddr, ConfigError> {
        self.text()?.parse().map_err(|_| self.wrong("an address with a port"))
    }

    fn texts(&self) -> Result<Vec<String>, ConfigError> {
        self.items()?.iter().map(Node::text).collect()
    }

    /// Whether there is a value.
    pub fn is_there(&self) -> bool {
        self.value.is_some()
    }
}

/// What is named in the settings, each list in the order of the numbers that the module uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// What the report fields x0 and x1 stand for.
    pub report_extras: [String; 2],
    /// Numbers of classes that no new request may have, since other settings came in service.
    pub retired_classes: BTreeSet<usize>,
    /// The same of tenants.
    pub retired_tenants: BTreeSet<usize>,
}

impl Names {
    /// The class that new requests have by this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find(&self.classes, &self.retired_classes, name).map(ClassId)
    }

    /// The tenant that new requests have by this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find(&self.tenants, &self.retired_tenants, name).map(TenantId)
    }

    /// The number of a name in a list; unknown names are added, as kinds and zones may be.
    pub fn number(list: &mut Vec<String>, name: &str) -> usize {
        list.iter().position(|n| n == name).unwrap_or_else(|| {
            list.push(name.to_owned());
            list.len() - 1
        })
    }
}

fn find(names: &[String], retired: &BTreeSet<usize>, name: &str) -> Option<usize> {
    let found = names.iter().enumerate().filter(|(_, n)| *n == name).map(|(at, _)| at);
    found.into_iter().find(|at| !retired.contains(at))
}

/// One engine of a list event.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, by which it goes.
    pub name: String,
    /// Where it listens now.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// Unix milliseconds of a late start; 0: long ago.
    pub since_ms: u64,
}

/// One event of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListEvent {
    /// Its number.
    pub index: u64,
    /// Whether it holds the whole list.
    pub full: bool,
    /// Its entries.
    pub entries: Vec<Endpoint>,
    /// Those that can't be read. The others count all the same.
    pub unread: Vec<UnreadableEntry>,
}

/// An entry of an event that can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// The engine it is about, if it says so much.
    pub name: Option<String>,
    /// Where it stands and what was expected there.
    pub why: String,
}

/// Reads one event, `{"index":N,"endpoints":{"snapshot":..,"endpoints":[..]}}`, by its good part.
///
/// # Errors
/// It is no event: what it holds, its number or whether it is the whole list can't be read.
pub fn list_event(node: &Node<'_>) -> Result<EndpointListEvent, ConfigError> {
    let body = node.get("endpoints");
    let (mut entries, mut unread) = (Vec::new(), Vec::new());
    for node in body.get("endpoints").items()? {
        match list_entry(&node) {
            Ok(entry) => entries.push(entry),
            Err(e) => unread.push(UnreadableEntry { name: node.get("name").text().ok(), why: e.to_string() }),
        }
    }
    let (index, full) = (node.get("index").number()? as u64, body.get("snapshot").flag()?);
    Ok(EndpointListEvent { index, full, entries, unread })
}

/// Reads an event from its text.
pub fn list_event_text(text: &str) -> Result<EndpointListEvent, ConfigError> {
    let json: JsonValue =
        text.parse().map_err(|source| ConfigError::Json { path: "event".to_owned(), source })?;
    list_event(&Node::root(&json, "event"))
}

/// Reads an entry of the list.
pub fn list_entry(node: &Node<'_>) -> Result<Endpoint, ConfigError> {
    let state = match node.get("status").text()?.as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        _ => return Err(node.get("status").wrong("Ready, Terminating or Gone")),
    };
    let address = node.get("address");
    // One that has gone needs none.
    let address = if state == EndpointState::Removed && !address.is_there() {
        SocketAddr::from(([127, 0, 0, 1], 0))
    } else {
        address.address()?
    };
    Ok(Endpoint {
        name: node.get("name").text()?,
        address,
        zone: node.get("zone").text_or_empty()?,
        kind: node.get("type").text_or_empty()?,
        cell: node.get("group").number_or(0.0)? as u64,
        state,
        since_ms: node.get("since_ms").number_or(0.0)? as u64,
    })
}

/// The MySQL front, as an operator sets it up.
#[derive(Clone, Debug, PartialEq)]
pub struct MySql {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Its users.
    pub directory: Rc<Directory>,
    /// Where engines speak MySQL, by name.
    pub engines: BTreeMap<String, SocketAddr>,
    /// Who the gateway is to them.
    pub login: Login,
}

/// What the operator wants of clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Sessions that are held at most; without it, what the descriptors allow.
    pub most: Option<usize>,
    /// Idle sessions are closed after this, in microseconds.
    pub idle_limit_us: Option<u64>,
    /// Connections that the kernel keeps until they are accepted.
    pub backlog: u32,
    /// Whether and how the other ends of silent connections are asked for.
    pub keepalive: Option<Keepalive>,
    /// How long the reading of sessions may make a turn of the loop, in microseconds.
    pub turn_us: u64,
    /// Messages of one session in one turn.
    pub messages: usize,
    /// Bytes read from one session in one turn.
    pub bytes: usize,
}

/// TCP keepalive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keepalive {
    /// After so long without a byte the other end is asked for.
    pub idle: Duration,
    /// It is asked again after this.
    pub interval: Duration,
    /// So often without an answer, and the connection is dead.
    pub probes: u32,
}

impl Default for Clients {
    fn default() -> Self {
        let limits = wrenhatch_sessions::read_scheduler::Limits::default();
        Self {
            most: None,
            idle_limit_us: None,
            backlog: 1024,
            keepalive: None,
            turn_us: limits.turn_us,
            messages: limits.messages,
            bytes: limits.bytes,
        }
    }
}

/// Who is asked for settings in service.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// The control machines.
    pub machines: Vec<SocketAddr>,
    /// The settings of the start, before any version.
    pub document: Document,
}

/// All that the gateway is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The file that it was read from, to be read again on SIGHUP.
    pub path: Option<String>,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may use, in bytes.
    pub memory: usize,
    /// The coordinator, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// Events of the list so far, and the number of the last.
    pub known: (u64, Vec<EndpointListEvent>),
    /// The module's settings.
    pub settings: Settings,
    /// Names in the settings.
    pub names: Names,
    /// Idle time after which an engine closes a connection, in microseconds.
    pub keepalive_us: u64,
    /// Time within which a connection must come up, in microseconds.
    pub connect_us: u64,
    /// Open requests permitted.
    pub max_open: usize,
    /// What the operator wants of clients' connections.
    pub clients: Clients,
    /// The MySQL front, where an operator wants it.
    pub mysql: Option<MySql>,
    /// Who is asked for settings in service, where an operator wants it.
    pub control: Option<Control>,
}

/// Reads a JSON file.
pub fn json_file(path: &str) -> Result<JsonValue, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: path.to_owned(), source })?;
    text.parse().map_err(|source| ConfigError::Json { path: path.to_owned(), source })
}

/// Reads the configuration that the environment names, and the operator's file if one is given.
pub fn from_environment(operator: Option<&str>) -> Result<Config, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset("LB_CONFIG"))?;
    let json = json_file(&path)?;
    let mut config = Config { path: Some(path), ..read(&Node::root(&json, "config"))? };
    if let Ok(name) = std::env::var("LB_NAME") {
        config.name = name;
    }
    if let Ok(listen) = std::env::var("LB_LISTEN") {
        let wanted = "an address with a port";
        config.listen =
            listen.parse().map_err(|_| ConfigError::Value { path: "LB_LISTEN".to_owned(), wanted })?;
    }
    if let Some(ops) = std::env::var("LB_OPS").ok().filter(|ops| !ops.is_empty()) {
        let wanted = "an address with a port";
        let wrong = |_| ConfigError::Value { path: "LB_OPS".to_owned(), wanted };
        config.ops = Some(ops.parse().map_err(wrong)?);
    }
    if let Some(path) = operator {
        crate::operator::apply(path, &mut config)?;
    }
    if let Some(control) = &mut config.control {
        control.document = settings_document(&json)?;
    }
    Ok(config)
}

/// The settings of a configuration as a document, before any version.
fn settings_document(config: &JsonValue) -> Result<Document, ConfigError> {
    let wrong = || ConfigError::Value { path: "config.settings".to_owned(), wanted: "an object" };
    let root = config.get::<HashMap<String, JsonValue>>();
    let settings = root.and_then(|root| root.get("settings")).ok_or_else(wrong)?;
    let text = settings.stringify().map_err(|_| wrong())?;
    text.parse().map_err(|_| wrong())
}

/// Reads a configuration from its file.
pub fn from_file(path: &str) -> Result<Config, ConfigError> {
    Ok(Config { path: Some(path.to_owned()), ..read(&Node::root(&json_file(path)?, "config"))? })
}

/// What the settings of a configuration say, which may change in service.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// The module's settings.
    pub settings: Settings,
    /// Names in the settings.
    pub names: Names,
    /// Idle time after which an engine closes a connection, in microseconds.
    pub keepalive_us: u64,
    /// Time within which a connection must come up, in microseconds.
    pub connect_us: u64,
    /// Open requests permitted.
    pub max_open: usize,
}

/// Reads the settings of a configuration.
///
/// # Errors
/// What is missing or makes no sense.
pub fn site_settings(env: &Node<'_>) -> Result<SiteSettings, ConfigError> {
    let (settings, names) = settings(env)?;
    settings.check()?;
    let allowed = env.get("allowed");
    Ok(SiteSettings {
        settings,
        names,
        keepalive_us: (allowed.get("keepalive-s").number_or(15.0)? * 1e6) as u64,
        connect_us: (allowed.get("connect-timeout-s").number_or(0.25)? * 1e6) as u64,
        max_open: allowed.get("max-open").number_or(20_000.0)? as usize,
    })
}

/// Reads the settings of a configuration from their text.
///
/// # Errors
/// The text is not JSON, or something in it is missing or makes no sense.
pub fn site_settings_text(text: &str) -> Result<SiteSettings, ConfigError> {
    let json: JsonValue =
        text.parse().map_err(|source| ConfigError::Json { path: "settings".to_owned(), source })?;
    site_settings(&Node::root(&json, "settings"))
}

/// Reads a configuration.
pub fn read(root: &Node<'_>) -> Result<Config, ConfigError> {
    let env = root.get("settings");
    let site = site_settings(&env)?;
    let seed = root.get("seed").text()?;
    let (coordinator, ops) = (root.get("coordinator"), root.get("ops"));
    Ok(Config {
        path: None,
        name: root.get("name").text_or_empty()?,
        listen: root.get("listen").address()?,
        ops: if ops.is_there() { Some(ops.address()?) } else { None },
        seed: u64::from_str_radix(&seed, 16).map_err(|_| root.get("seed").wrong("16 hex digits"))?,
        sockets: root.get("limits").get("sockets").number_or(1024.0)? as usize,
        memory: (root.get("limits").get("memory_mb").number_or(192.0)? * f64::from(1 << 20)) as usize,
        coordinator: if coordinator.is_there() { Some(coordinator.address()?) } else { None },
        known: known_events(&root.get("known"))?,
        settings: site.settings,
        names: site.names,
        keepalive_us: site.keepalive_us,
        connect_us: site.connect_us,
        max_open: site.max_open,
        clients: Clients::default(),
        mysql: None,
        control: None,
    })
}

/// The list so far, as far as it can be read: what is behind the last good event is asked of the coordinator. A
/// gateway that refused to start for it would serve nobody.
fn known_events(known: &Node<'_>) -> Result<(u64, Vec<EndpointListEvent>), ConfigError> {
    let mut events: Vec<EndpointListEvent> = Vec::new();
    for node in known.get("updates").items()? {
        match list_event(&node) {
            Ok(event) => events.push(event),
            Err(e) => {
                tracing::warn!("{e}: what follows is asked of the coordinator");
                return Ok((events.last().map_or(0, |event| event.index), events));
            }
        }
    }
    Ok((known.get("index").number_or(0.0)? as u64, events))
}

fn settings(env: &Node<'_>) -> Result<(Settings, Names), ConfigError> {
    let (allowed, rules, domain) = (env.get("allowed"), env.get("rules"), env.get("domain"));
    let mut names = Names {
        kinds: env.get("kinds").texts()?,
        zones: env.get("zones").texts()?,
        report_extras: [domain.get("report-x0").text_or_empty()?, domain.get("report-x1").text_or_empty()?],
        ..Names::default()
    };
    let mut classes = Vec::new();
    for (i, node) in env.get("classes").items()?.iter().enumerate() {
        names.classes.push(node.get("name").text()?);
        classes.push(class(node, i, &domain, &mut names)?);
    }
    let mut tenants = Vec::new();
    for node in env.get("projects").items()? {
        names.tenants.push(node.get("name").text()?);
        tenants.push(Tenant { quota_per_second: node.get("quota-per-s").number_or(0.0)? });
    }
    let (cores, memory) = (domain.get("kind-cores").items()?, domain.get("memory-by-kind-mb").items()?);
    let figure = |list: &[Node<'_>], i: usize, default| list.get(i).map_or(Ok(default), Node::number);
    let kinds = (0..names.kinds.len())
        .map(|i| Ok(MachineType { cores: figure(&cores, i, 1.0)?, memory_mb: figure(&memory, i, 0.0)? }))
        .collect::<Result<_, ConfigError>>()?;
    let zone = env.get("locality").text_or_empty()?;
    let extra = rules.get("look-back-s");
    let settings = Settings {
        gateways: env.get("balancers").number_or(1.0)? as u32,
        zone: (!zone.is_empty()).then(|| ZoneId(Names::number(&mut names.zones, &zone))),
        classes,
        machine_types: kinds,
        tenants,
        over_quota_weight_ratio: env.get("over-share-worth").number_or(1.0)?,
        rules: Rules {
            answer_grace: rules.get("answer-slack-s").number_or(0.0)?,
            drain_grace: rules.get("drain-grace-s").number_or(0.0)?,
            slow_start_min_ratio: rules.get("cold-share").number_or(0.0)?,
            slow_start_duration: rules.get("warm-up-s").number_or(0.0)?,
            collapse_load_ratio: rules.get("fall-multiple").number_or(0.0)?,
            collapse_window: rules.get("overload-for-s").number_or(0.0)?,
            key_cooldown: rules.get("order-pause-s").number_or(0.0)?,
            retry_budget: if extra.is_there() {
                Some(RetryBudget {
                    min_retries: rules.get("extra-floor").number_or(0.0)?,
                    retry_ratio: rules.get("extra-ratio").number_or(0.0)?,
                    window: extra.number()?,
                })
            } else {
                None
            },
        },
        capabilities: Capabilities {
            cancels_attempts: allowed.get("cancelling").flag()?,
            health_checks: allowed.get("probing").flag()?,
            load_reports: match env.get("report").get("how").text_or_empty()?.as_str() {
                "none" => LoadReportSource::None,
                "probe" => LoadReportSource::HealthChecks,
                _ => LoadReportSource::Responses,
            },
            polls_endpoint_list: false,
            retry_after: allowed.get("retry-after").flag()?,
            max_retry_after: allowed.get("max-retry-after-s").number_or(0.0)?,
            max_attempts: allowed.get("max-attempts").number_or(0.0)? as u32,
            memory_grants: domain.get("grants-count").flag()?,
            priorities: domain.get("takes-priority").flag()?,
            progress_period: domain.get("note-period-s").number_or(0.0)?,
        },
        on_memory_shortage: match domain.get("when-short").text_or_empty()?.as_str() {
            "shrink" => MemoryShortage::Spill,
            "page" => MemoryShortage::Overcommit,
            _ => MemoryShortage::Queue,
        },
        clock_resolution: env.get("resolution-s").number_or(0.0)?,
    };
    Ok((settings, names))
}

fn class(c: &Node<'_>, i: usize, domain: &Node<'_>, names: &mut Names) -> Result<Class, ConfigError> {
    let flag = |list: &str| -> Result<bool, ConfigError> {
        domain.get(list).items()?.get(i).map_or(Ok(false), Node::flag)
    };
    let effect = match c.get("repeat").text_or_empty()?.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed {
            scope: match c.get("group").text_or_empty()?.as_str() {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                _ => IdempotencyScope::Cell,
            },
            window: c.get("window-s").number_or(0.0)?,
        },
        _ => Idempotency::NotIdempotent,
    };
    let (kinds, zones) = (c.get("allowed-on"), c.get("confined-to"));
    let only_kinds: Vec<_> =
        kinds.texts()?.iter().map(|k| MachineTypeId(Names::number(&mut names.kinds, k))).collect();
    let only_zones: Vec<_> =
        zones.texts()?.iter().map(|z| ZoneId(Names::number(&mut names.zones, z))).collect();
    Ok(Class {
        latency_objective: c.get("aim-s").number()?,
        objective_stretch: c.get("aim-stretch").number_or(0.0)?,
        deadline: c.get("deadline-s").number()?,
        priority_weight: c.get("worth").number_or(1.0)?,
        late_weight_ratio: c.get("late-value").number_or(0.0)?,
        idempotency: effect,
        ordered_by_key: c.get("keep-order").flag()?,
        allowed_machine_types: kinds.is_there().then_some(only_kinds),
        allowed_zones: zones.is_there().then_some(only_zones),
        threads: domain.get("parallelism").items()?.get(i).map_or(Ok(1.0), Node::number)? as u32,
        is_load: flag("holds-tables")?,
        waits_for_loads: flag("yields-to-loads")?,
        is_streaming: c.get("streaming").flag()?,
    })
}

#[cfg(test)]
mod tests;
