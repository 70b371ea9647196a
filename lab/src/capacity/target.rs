//! The size that has to be carried, from a TOML file. An unknown key or a value that makes no sense is an error with
//! file, line and key.

use std::ops::RangeInclusive;
use std::path::Path;

use serde::Deserialize;
use toml::Spanned;
use wrenhatch::config::{TomlError, TomlFile};

use super::error::CapacityError;

/// A count, as it stands in the file.
type Count = Spanned<i64>;
/// A figure, as it stands in the file: whole or not.
type Figure = Spanned<Number>;

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
enum Number {
    Whole(i64),
    Part(f64),
}

impl Number {
    fn value(self) -> f64 {
        match self {
            Number::Whole(n) => n as f64,
            Number::Part(x) => x,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: FleetTable,
    load: LoadTable,
    changes: ChangesTable,
    events: EventsTable,
    control: ControlTable,
    gateway: GatewayTable,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    gateways: Count,
    databases: Count,
    regions: Count,
    zones: Count,
    classes: Count,
    tenants: Count,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadTable {
    connections: Count,
    statements_per_s: Figure,
    open_per_gateway: Count,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangesTable {
    primary_per_day: Figure,
    primary_within_s: Figure,
    configuration_per_day: Figure,
    configuration_within_s: Figure,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventsTable {
    failures_per_day: Figure,
    restarts_per_day: Figure,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ControlTable {
    machines: Count,
    gateway_core_percent: Figure,
    gateway_memory_mb: Figure,
    gateway_bytes_per_s: Figure,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GatewayTable {
    cores: Figure,
    memory_mb: Figure,
    descriptors: Count,
}

/// The size that has to be carried.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Gateways.
    pub gateways: f64,
    /// Databases, which a gateway's list calls engines.
    pub databases: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions together.
    pub zones: f64,
    /// Classes of request.
    pub classes: f64,
    /// Tenants.
    pub tenants: f64,
    /// Connections of clients, to all gateways.
    pub connections: f64,
    /// Statements a second, of all gateways.
    pub statements_per_s: f64,
    /// Requests that are open at a gateway at once.
    pub open_per_gateway: f64,
    /// Changes of primary a day.
    pub primary_per_day: f64,
    /// Each is over within so many seconds.
    pub primary_within_s: f64,
    /// Changes of configuration a day.
    pub configuration_per_day: f64,
    /// Each is in force everywhere within so many seconds.
    pub configuration_within_s: f64,
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
    /// What a gateway may spend on control: per cent of a core.
    pub control_core_percent: f64,
    /// And MB of memory.
    pub control_memory_mb: f64,
    /// And bytes a second.
    pub control_bytes_per_s: f64,
    /// Cores that a gateway can use.
    pub gateway_cores: f64,
    /// Memory of a gateway in MB.
    pub gateway_memory_mb: f64,
    /// Descriptors of a gateway.
    pub gateway_descriptors: f64,
}

/// The most machines of a role, regions, zones, classes or tenants that make sense.
const MOST_MACHINES: RangeInclusive<f64> = 1.0..=1e6;
/// The most connections, statements a second, or events a day.
const MOST_EVENTS: RangeInclusive<f64> = 1e-3..=1e9;
/// Spans of time in seconds, up to a day.
const SPANS: RangeInclusive<f64> = 1e-3..=86_400.0;
/// Cores, or per cent of one.
const CORES: RangeInclusive<f64> = 1e-3..=1e4;
/// Megabytes, bytes a second and descriptors.
const AMOUNTS: RangeInclusive<f64> = 1.0..=1e9;

fn check_range(
    toml: &TomlFile<'_>,
    offset: usize,
    value: f64,
    range: &RangeInclusive<f64>,
) -> Result<f64, TomlError> {
    if range.contains(&value) {
        return Ok(value);
    }
    Err(toml.error_at(offset, format!("{value} is not within {} and {}", range.start(), range.end())))
}

fn count(toml: &TomlFile<'_>, count: &Count, range: RangeInclusive<f64>) -> Result<f64, TomlError> {
    check_range(toml, count.span().start, *count.get_ref() as f64, &range)
}

fn figure(toml: &TomlFile<'_>, figure: &Figure, range: RangeInclusive<f64>) -> Result<f64, TomlError> {
    check_range(toml, figure.span().start, figure.get_ref().value(), &range)
}

impl Target {
    /// Reads the file.
    ///
    /// # Errors
    /// It can't be read, or its content is wrong.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Reads the text of a file that is named in messages.
    ///
    /// # Errors
    /// An unknown or missing key, a value of the wrong form, or one that makes no sense.
    pub fn parse(path: &str, text: &str) -> Result<Self, TomlError> {
        let toml = TomlFile { path, text };
        let file: File = toml.parse()?;
        let count = |field, range| count(&toml, field, range);
        let figure = |field, range| figure(&toml, field, range);
        let target = Self {
            gateways: count(&file.fleet.gateways, MOST_MACHINES)?,
            databases: count(&file.fleet.databases, MOST_MACHINES)?,
            regions: count(&file.fleet.regions, MOST_MACHINES)?,
            zones: count(&file.fleet.zones, MOST_MACHINES)?,
            classes: count(&file.fleet.classes, MOST_MACHINES)?,
            tenants: count(&file.fleet.tenants, MOST_MACHINES)?,
            connections: count(&file.load.connections, MOST_EVENTS)?,
            statements_per_s: figure(&file.load.statements_per_s, MOST_EVENTS)?,
            open_per_gateway: count(&file.load.open_per_gateway, MOST_MACHINES)?,
            primary_per_day: figure(&file.changes.primary_per_day, MOST_EVENTS)?,
            primary_within_s: figure(&file.changes.primary_within_s, SPANS)?,
            configuration_per_day: figure(&file.changes.configuration_per_day, MOST_EVENTS)?,
            configuration_within_s: figure(&file.changes.configuration_within_s, SPANS)?,
            failures_per_day: figure(&file.events.failures_per_day, MOST_EVENTS)?,
            restarts_per_day: figure(&file.events.restarts_per_day, MOST_EVENTS)?,
            control_machines: count(&file.control.machines, MOST_MACHINES)?,
            control_core_percent: figure(&file.control.gateway_core_percent, CORES)?,
            control_memory_mb: figure(&file.control.gateway_memory_mb, AMOUNTS)?,
            control_bytes_per_s: figure(&file.control.gateway_bytes_per_s, AMOUNTS)?,
            gateway_cores: figure(&file.gateway.cores, CORES)?,
            gateway_memory_mb: figure(&file.gateway.memory_mb, AMOUNTS)?,
            gateway_descriptors: count(&file.gateway.descriptors, AMOUNTS)?,
        };
        target.check_together(&toml, &file)?;
        Ok(target)
    }

    /// Figures that make sense by themselves and not beside others.
    fn check_together(&self, toml: &TomlFile<'_>, file: &File) -> Result<(), TomlError> {
        if self.zones < self.regions {
            let message = format!("{} zones are fewer than {} regions", self.zones, self.regions);
            return Err(toml.error_at(file.fleet.zones.span().start, message));
        }
        if self.connections < self.gateways {
            let message =
                format!("{} connections are fewer than {} gateways", self.connections, self.gateways);
            return Err(toml.error_at(file.load.connections.span().start, message));
        }
        Ok(())
    }

    /// Connections of clients at a gateway.
    pub fn connections_per_gateway(&self) -> f64 {
        (self.connections / self.gateways).ceil()
    }

    /// Statements a second at a gateway.
    pub fn statements_per_gateway(&self) -> f64 {
        self.statements_per_s / self.gateways
    }

    /// Pairs of gateway and database.
    pub fn pairs(&self) -> f64 {
        self.gateways * self.databases
    }

    /// Machines of all roles.
    fn machines(&self) -> f64 {
        self.gateways + self.databases + self.control_machines
    }

    /// Restarts and failures of databases on an ordinary day: their part by number.
    pub fn database_restarts_per_day(&self) -> f64 {
        (self.restarts_per_day + self.failures_per_day) * self.databases / self.machines()
    }

    /// Restarts and failures of gateways on an ordinary day: their part by number.
    pub fn gateway_restarts_per_day(&self) -> f64 {
        (self.restarts_per_day + self.failures_per_day) * self.gateways / self.machines()
    }

    /// Databases of one zone.
    pub fn databases_per_zone(&self) -> f64 {
        (self.databases / self.zones).ceil()
    }

    /// Gateways of one zone.
    pub fn gateways_per_zone(&self) -> f64 {
        (self.gateways / self.zones).ceil()
    }
}
