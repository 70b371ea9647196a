//! Calculates the needs of each role at the target size from the measured slopes, and compares them with the limits.

mod control;
mod database;
mod gateway;

use std::fmt;

use super::experiment::{Experiment, Quantity};
use super::slopes::{Estimate, Measurement, Origin, Slopes};
use super::target::Target;

/// Seconds per day.
pub const DAY_S: f64 = 86_400.0;
/// Bytes per megabyte.
pub const MEGABYTE: f64 = 1e6;
/// List events for a restart or failure of a database: draining, removed and ready again.
pub const EVENTS_PER_RESTART: f64 = 3.0;
/// Ratio of need to limit from which a need is listed as near its limit.
pub const NEAR_LIMIT_RATIO: f64 = 0.5;

/// The role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway between clients and databases.
    Gateway,
    /// A database, which gateways call an engine.
    Database,
    /// A machine that runs the coordinator and the control plane.
    Control,
}

impl Role {
    /// All roles in the order of the page.
    pub const ALL: [Role; 3] = [Role::Gateway, Role::Database, Role::Control];

    /// Returns the name used in the file of hollow runs.
    pub fn key(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::Database => "database",
            Role::Control => "control",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Gateway => "A gateway",
            Role::Database => "A database",
            Role::Control => "A control machine",
        })
    }
}

/// The kind of resource that is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Long-lived state, such as connections and sessions.
    State,
    /// Traffic, or the time that it takes.
    Messages,
    /// Processor time, in cores or percent of a core.
    Processor,
    /// Memory, in bytes or MB.
    Memory,
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Resource::State => "state",
            Resource::Messages => "messages",
            Resource::Processor => "processor",
            Resource::Memory => "memory",
        })
    }
}

/// The conditions under which a resource is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// On an ordinary day.
    Ordinary,
    /// In the worst event of its kind.
    Worst,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Case::Ordinary => "ordinary day",
            Case::Worst => "worst event",
        })
    }
}

/// A value with its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    /// The value.
    pub value: f64,
    /// Uncertainty that results from the spread of the runs.
    pub spread: f64,
}

impl Amount {
    /// Returns an amount without uncertainty.
    pub fn exact(value: f64) -> Self {
        Self { value, spread: 0.0 }
    }

    /// Multiplies value and uncertainty by a factor.
    pub fn times(self, factor: f64) -> Self {
        Self { value: self.value * factor, spread: self.spread * factor.abs() }
    }

    /// Adds two amounts, with errors treated as independent.
    pub fn plus(self, other: Self) -> Self {
        Self { value: self.value + other.value, spread: self.spread.hypot(other.spread) }
    }

    /// Subtracts an amount, with errors treated as independent.
    pub fn minus(self, other: Self) -> Self {
        self.plus(other.times(-1.0))
    }
}

impl From<Estimate> for Amount {
    fn from(e: Estimate) -> Self {
        Self { value: e.value, spread: e.spread }
    }
}

/// The present behaviour in place of a missing mechanism.
#[derive(Clone, Debug, PartialEq)]
pub struct Fallback {
    /// Description, as printed on the page.
    pub text: String,
    /// Ratio of the fallback's need to its limit, or to the ordinary amount if no limit is stated, if known.
    pub ratio: Option<f64>,
}

/// The mechanism that meets a need.
#[derive(Clone, Debug, PartialEq)]
pub enum Mechanism {
    /// The source files that implement it, or the program that contains it.
    Exists(&'static str),
    /// The mechanism does not exist.
    Missing(Fallback),
}

/// The ratio of a need to its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ratio {
    /// Need divided by limit.
    OfLimit(f64),
    /// No limit is stated.
    NoLimit,
    /// The mechanism does not exist.
    NoMechanism,
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ratio::OfLimit(ratio) if ratio.abs() >= 0.0005 => write!(f, "{}", format_number(*ratio)),
            Ratio::OfLimit(_) => f.write_str("under 0.001"),
            Ratio::NoLimit => f.write_str("-"),
            Ratio::NoMechanism => f.write_str("**none**"),
        }
    }
}

/// A need of one role at the target size: a row of its table.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Role with the need.
    pub role: Role,
    /// Kind of resource.
    pub resource: Resource,
    /// Description, as printed on the page.
    pub description: String,
    /// Conditions of the need.
    pub case: Case,
    /// Needed amount in `unit`.
    pub amount: Amount,
    /// Unit of the amount and the limit, empty for a count.
    pub unit: &'static str,
    /// Limit in `unit`, if one is stated.
    pub limit: Option<f64>,
    /// Description of the inputs of the calculation.
    pub source: String,
    /// How the amount was obtained.
    pub origin: Origin,
    /// Mechanism that meets the need.
    pub mechanism: Mechanism,
}

impl Need {
    /// Returns the ratio of the amount to the limit.
    pub fn ratio(&self) -> Ratio {
        match (&self.mechanism, self.limit) {
            (Mechanism::Missing(_), _) => Ratio::NoMechanism,
            (Mechanism::Exists(_), Some(limit)) => Ratio::OfLimit(self.amount.value / limit),
            (Mechanism::Exists(_), None) => Ratio::NoLimit,
        }
    }
}

/// Formats a number for tables, with about three significant digits and a thousands separator.
pub fn format_number(value: f64) -> String {
    let digits = match value.abs() {
        v if v.fract() == 0.0 || v >= 100.0 => 0,
        v if v >= 10.0 => 1,
        v if v >= 1.0 => 2,
        v if v >= 0.1 => 3,
        _ => 4,
    };
    let text = format!("{value:.digits$}");
    let (integer, rest) = text.split_at(text.find('.').unwrap_or(text.len()));
    let (sign, integer) = integer.strip_prefix('-').map_or(("", integer), |integer| ("-", integer));
    let mut grouped = String::new();
    for (at, digit) in integer.chars().enumerate() {
        if at > 0 && (integer.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    format!("{sign}{grouped}{rest}")
}

/// The needs of all roles, and the measurements that are missing for them.
pub struct CapacityEstimate<'a> {
    target: &'a Target,
    slopes: &'a Slopes,
    /// Calculated needs, in the order of the tables.
    pub needs: Vec<Need>,
    /// Names of missing measurements.
    pub unmeasured: Vec<String>,
}

/// A need without its role and amount.
struct Entry {
    resource: Resource,
    case: Case,
    description: String,
    unit: &'static str,
    limit: Option<f64>,
    mechanism: Mechanism,
}

/// Creates an entry without a limit. `met_by` or `without_mechanism` sets its mechanism.
fn entry(resource: Resource, case: Case, description: impl Into<String>, unit: &'static str) -> Entry {
    Entry {
        resource,
        case,
        description: description.into(),
        unit,
        limit: None,
        mechanism: Mechanism::Exists(""),
    }
}

impl Entry {
    fn limit(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }

    fn met_by(self, name: &'static str) -> Self {
        Self { mechanism: Mechanism::Exists(name), ..self }
    }

    fn without_mechanism(self, text: String, ratio: Option<f64>) -> Self {
        Self { mechanism: Mechanism::Missing(Fallback { text, ratio }), ..self }
    }
}

impl<'a> CapacityEstimate<'a> {
    /// Calculates the needs of all roles.
    pub fn new(target: &'a Target, slopes: &'a Slopes) -> Self {
        let mut estimate = Self { target, slopes, needs: Vec::new(), unmeasured: Vec::new() };
        gateway::add_needs(&mut estimate);
        database::add_needs(&mut estimate);
        control::add_needs(&mut estimate);
        estimate
    }

    /// Returns the needs of a role.
    pub fn needs_of(&self, role: Role) -> impl Iterator<Item = &Need> {
        self.needs.iter().filter(move |need| need.role == role)
    }

    /// Returns the needs without a mechanism, then those over or near their limit, each sorted by descending ratio.
    pub fn critical_needs(&self) -> Vec<&Need> {
        let sort_key = |need: &Need| match (need.ratio(), &need.mechanism) {
            (Ratio::NoMechanism, Mechanism::Missing(fallback)) => Some((true, fallback.ratio.unwrap_or(0.0))),
            (Ratio::OfLimit(ratio), _) if ratio >= NEAR_LIMIT_RATIO => Some((false, ratio)),
            _ => None,
        };
        let mut critical: Vec<_> = self.needs.iter().filter_map(|n| Some((sort_key(n)?, n))).collect();
        critical.sort_by(|(a, _), (b, _)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        critical.into_iter().map(|(_, need)| need).collect()
    }

    /// Looks up a measurement. The name of a missing one is added to `unmeasured`.
    fn find(&mut self, experiment: Experiment, quantity: Quantity) -> Option<&'a Measurement> {
        let found = self.slopes.get(experiment, quantity);
        let name = format!("{experiment} {quantity}");
        if found.is_none() && !self.unmeasured.contains(&name) {
            self.unmeasured.push(name);
        }
        found
    }

    /// Returns the value at a size. A missing measurement is added to `unmeasured`.
    fn at(&mut self, experiment: Experiment, quantity: Quantity, size: f64) -> Option<Figure> {
        let measured = self.find(experiment, quantity)?;
        let estimate = measured.at(size)?;
        let source = format!("{} at {}", measured.name(), format_number(size));
        Some(Figure { amount: estimate.into(), source, origin: estimate.origin })
    }

    /// Returns the increase per unit of size. A missing measurement is added to `unmeasured`.
    fn slope(&mut self, experiment: Experiment, quantity: Quantity) -> Option<Figure> {
        let measured = self.find(experiment, quantity)?;
        let fit = measured.fit?;
        let amount = Amount { value: fit.slope, spread: fit.slope_error };
        Some(Figure { amount, source: format!("slope of {}", measured.name()), origin: Origin::Calculated })
    }

    fn add(&mut self, role: Role, entry: Entry, figure: Figure) {
        let Entry { resource, case, description, unit, limit, mechanism } = entry;
        let Figure { amount, source, origin } = figure;
        self.needs.push(Need {
            role,
            resource,
            description,
            case,
            amount,
            unit,
            limit,
            source,
            origin,
            mechanism,
        });
    }
}

/// An amount and the inputs that it was calculated from.
#[derive(Clone, Debug)]
struct Figure {
    amount: Amount,
    source: String,
    origin: Origin,
}

impl Figure {
    /// Returns an amount that follows from the target alone.
    fn from_target(value: f64) -> Self {
        Self { amount: Amount::exact(value), source: "the target".to_owned(), origin: Origin::Calculated }
    }

    /// Converts the amount to another unit. Source and origin stay the same.
    fn in_unit(&self, factor: f64) -> Self {
        Self { amount: self.amount.times(factor), ..self.clone() }
    }

    /// Multiplies the amount by a factor. The result is marked as calculated.
    fn times(&self, factor: f64) -> Self {
        Self { origin: Origin::Calculated, ..self.in_unit(factor) }
    }

    fn plus(&self, other: &Self) -> Self {
        let source = if self.source == other.source {
            self.source.clone()
        } else {
            format!("{}; {}", self.source, other.source)
        };
        Self { amount: self.amount.plus(other.amount), source, origin: Origin::Calculated }
    }

    fn minus(&self, other: &Self) -> Self {
        Self { amount: self.amount.minus(other.amount), ..self.plus(other) }
    }
}

/// Returns the number of list events on an ordinary day.
fn list_events_per_day(target: &Target) -> f64 {
    EVENTS_PER_RESTART * target.database_restarts_per_day()
}
