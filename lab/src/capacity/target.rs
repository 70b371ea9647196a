//! Reads the target size from a TOML file. Unknown keys and values out of range are errors with file, line and key.

use std::ops::RangeInclusive;
use std::path::Path;

use serde::Deserialize;
use toml::Spanned;
use wrenhatch::config::{TomlError, TomlFile};

use super::error::CapacityError;

/// An integer with its position in the file.
type Count = Spanned<i64>;
/// An integer or float with its position in the file.
type Figure = Spanned<Number>;

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
enum Number {
    Integer(i64),
    Fraction(f64),
}

impl Number {
    fn value(self) -> f64 {
        match self {
            Number::Integer(n) => n as f64,
            Number::Fraction(x) => x,
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

/// The size of the fleet and load that the gateway has to support.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Number of gateways in the fleet.
    pub gateways: f64,
    /// Number of databases in the fleet. The endpoint list of a gateway calls them engines.
    pub databases: f64,
    /// Number of regions of the fleet.
    pub regions: f64,
    /// Number of zones in all regions together.
    pub zones: f64,
    /// Number of request classes.
    pub classes: f64,
    /// Number of tenants in the settings.
    pub tenants: f64,
    /// Client connections to all gateways together.
    pub connections: f64,
    /// Statements per second at all gateways together.
    pub statements_per_s: f64,
    /// Requests in flight at a gateway at once.
    pub open_per_gateway: f64,
    /// Changes of primary per day.
    pub primary_per_day: f64,
    /// Time limit of a change of primary, in seconds.
    pub primary_within_s: f64,
    /// Changes of configuration per day.
    pub configuration_per_day: f64,
    /// Time limit for a change of configuration to be in force on all gateways, in seconds.
    pub configuration_within_s: f64,
    /// Machines of all roles that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Machines of all roles that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Number of control machines.
    pub control_machines: f64,
    /// Limit on a gateway's processor time for control, in percent of a core.
    pub control_core_percent: f64,
    /// Limit on a gateway's memory for control, in MB.
    pub control_memory_mb: f64,
    /// Limit on a gateway's control traffic, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Cores available to a gateway.
    pub gateway_cores: f64,
    /// Memory available to a gateway, in MB.
    pub gateway_memory_mb: f64,
    /// Limit on the open file descriptors of a gateway.
    pub gateway_descriptors: f64,
}

/// Valid numbers of machines of a role, regions, zones, classes, tenants or open requests.
const COUNT_RANGE: RangeInclusive<f64> = 1.0..=1e6;
/// Valid numbers of connections, statements per second or events per day.
const RATE_RANGE: RangeInclusive<f64> = 1e-3..=1e9;
/// Valid durations in seconds, up to a day.
const SECONDS_RANGE: RangeInclusive<f64> = 1e-3..=86_400.0;
/// Valid numbers of cores, or percentages of a core.
const CORE_RANGE: RangeInclusive<f64> = 1e-3..=1e4;
/// Valid numbers of megabytes, bytes per second or descriptors.
const AMOUNT_RANGE: RangeInclusive<f64> = 1.0..=1e9;

fn check_range(
    toml: &TomlFile<'_>,
    offset: usize,
    value: f64,
    range: &RangeInclusive<f64>,
) -> Result<f64, TomlError> {
    if range.contains(&value) {
        return Ok(value);
    }
    Err(toml.error_at(offset, format!("{value} is not between {} and {}", range.start(), range.end())))
}

fn count(toml: &TomlFile<'_>, count: &Count, range: RangeInclusive<f64>) -> Result<f64, TomlError> {
    check_range(toml, count.span().start, *count.get_ref() as f64, &range)
}

fn figure(toml: &TomlFile<'_>, figure: &Figure, range: RangeInclusive<f64>) -> Result<f64, TomlError> {
    check_range(toml, figure.span().start, figure.get_ref().value(), &range)
}

impl Target {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// The file can't be read, or its content is invalid.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of a file. Error messages contain `path`.
    ///
    /// # Errors
    /// A key is unknown or missing, or a value has the wrong type or is out of range.
    pub fn parse(path: &str, text: &str) -> Result<Self, TomlError> {
        let toml = TomlFile { path, text };
        let file: File = toml.parse()?;
        let count = |field, range| count(&toml, field, range);
        let figure = |field, range| figure(&toml, field, range);
        let target = Self {
            gateways: count(&file.fleet.gateways, COUNT_RANGE)?,
            databases: count(&file.fleet.databases, COUNT_RANGE)?,
            regions: count(&file.fleet.regions, COUNT_RANGE)?,
            zones: count(&file.fleet.zones, COUNT_RANGE)?,
            classes: count(&file.fleet.classes, COUNT_RANGE)?,
            tenants: count(&file.fleet.tenants, COUNT_RANGE)?,
            connections: count(&file.load.connections, RATE_RANGE)?,
            statements_per_s: figure(&file.load.statements_per_s, RATE_RANGE)?,
            open_per_gateway: count(&file.load.open_per_gateway, COUNT_RANGE)?,
            primary_per_day: figure(&file.changes.primary_per_day, RATE_RANGE)?,
            primary_within_s: figure(&file.changes.primary_within_s, SECONDS_RANGE)?,
            configuration_per_day: figure(&file.changes.configuration_per_day, RATE_RANGE)?,
            configuration_within_s: figure(&file.changes.configuration_within_s, SECONDS_RANGE)?,
            failures_per_day: figure(&file.events.failures_per_day, RATE_RANGE)?,
            restarts_per_day: figure(&file.events.restarts_per_day, RATE_RANGE)?,
            control_machines: count(&file.control.machines, COUNT_RANGE)?,
            control_core_percent: figure(&file.control.gateway_core_percent, CORE_RANGE)?,
            control_memory_mb: figure(&file.control.gateway_memory_mb, AMOUNT_RANGE)?,
            control_bytes_per_s: figure(&file.control.gateway_bytes_per_s, AMOUNT_RANGE)?,
            gateway_cores: figure(&file.gateway.cores, CORE_RANGE)?,
            gateway_memory_mb: figure(&file.gateway.memory_mb, AMOUNT_RANGE)?,
            gateway_descriptors: count(&file.gateway.descriptors, AMOUNT_RANGE)?,
        };
        target.check_consistency(&toml, &file)?;
        Ok(target)
    }

    /// Checks the values that depend on each other.
    fn check_consistency(&self, toml: &TomlFile<'_>, file: &File) -> Result<(), TomlError> {
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

    /// Returns the client connections per gateway, rounded up.
    pub fn connections_per_gateway(&self) -> f64 {
        (self.connections / self.gateways).ceil()
    }

    /// Returns the statements per second at a gateway.
    pub fn statements_per_gateway(&self) -> f64 {
        self.statements_per_s / self.gateways
    }

    /// Returns the number of pairs of a gateway and a database.
    pub fn pairs(&self) -> f64 {
        self.gateways * self.databases
    }

    /// Returns the number of machines of all roles.
    fn machines(&self) -> f64 {
        self.gateways + self.databases + self.control_machines
    }

    /// Returns the restarts and failures of databases on an ordinary day, in proportion to their share of the machines.
    pub fn database_restarts_per_day(&self) -> f64 {
        (self.restarts_per_day + self.failures_per_day) * self.databases / self.machines()
    }

    /// Returns the restarts and failures of gateways on an ordinary day, in proportion to their share of the machines.
    pub fn gateway_restarts_per_day(&self) -> f64 {
        (self.restarts_per_day + self.failures_per_day) * self.gateways / self.machines()
    }

    /// Returns the databases per zone, rounded up.
    pub fn databases_per_zone(&self) -> f64 {
        (self.databases / self.zones).ceil()
    }

    /// Returns the gateways per zone, rounded up.
    pub fn gateways_per_zone(&self) -> f64 {
        (self.gateways / self.zones).ceil()
    }
}
