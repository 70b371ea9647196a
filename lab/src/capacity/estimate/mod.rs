//! What the target needs of each role, by the measured slopes, against the limits.

mod control;
mod database;
mod gateway;

use std::fmt;

use super::experiment::{Experiment, Quantity};
use super::slopes::{Estimate, Mark, Measured, Slopes};
use super::target::Target;

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;
/// Bytes of a megabyte.
pub const MEGABYTE: f64 = 1e6;
/// Events of the list for a database that is restarted or fails: it drains, goes and comes back.
pub const EVENTS_PER_RESTART: f64 = 3.0;
/// From this part of its limit on a need is listed as near it.
pub const NEAR_LIMIT_RATIO: f64 = 0.5;

/// A role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway.
    Gateway,
    /// A database.
    Database,
    /// A control machine.
    Control,
}

impl Role {
    /// All of them.
    pub const ALL: [Role; 3] = [Role::Gateway, Role::Database, Role::Control];

    /// Its name in the file of hollow runs.
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

/// What is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// What is held.
    State,
    /// What is said, and how often.
    Messages,
    /// Processor time.
    Processor,
    /// Memory.
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

/// When it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// On an ordinary day.
    Ordinary,
    /// In the worst event of this kind.
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

/// A value with the spread of the runs behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    /// The value.
    pub value: f64,
    /// How far it may be off, by the runs alone.
    pub spread: f64,
}

impl Amount {
    /// A value that no run stands behind.
    pub fn exact(value: f64) -> Self {
        Self { value, spread: 0.0 }
    }

    /// So many times as much.
    pub fn times(self, factor: f64) -> Self {
        Self { value: self.value * factor, spread: self.spread * factor.abs() }
    }

    /// Both together; their errors are taken as independent.
    pub fn plus(self, other: Self) -> Self {
        Self { value: self.value + other.value, spread: self.spread.hypot(other.spread) }
    }

    /// What one is beyond the other.
    pub fn minus(self, other: Self) -> Self {
        self.plus(other.times(-1.0))
    }
}

impl From<Estimate> for Amount {
    fn from(e: Estimate) -> Self {
        Self { value: e.value, spread: e.spread }
    }
}

/// What is done today in place of a mechanism that does not exist.
#[derive(Clone, Debug, PartialEq)]
pub struct Instead {
    /// What.
    pub what: String,
    /// What that needs, in times its limit or what is ordinary, where it can be said.
    pub ratio: Option<f64>,
}

/// What carries a need.
#[derive(Clone, Debug, PartialEq)]
pub enum Carrier {
    /// A mechanism, by file.
    File(&'static str),
    /// No mechanism exists.
    Nothing(Instead),
}

/// How much of its limit is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ratio {
    /// Need over limit.
    Of(f64),
    /// No limit is stated.
    NoLimit,
    /// No mechanism exists.
    None,
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Ratio::Of(ratio) if ratio.abs() >= 0.0005 => write!(f, "{}", number(*ratio)),
            Ratio::Of(_) => f.write_str("under 0.001"),
            Ratio::NoLimit => f.write_str("-"),
            Ratio::None => f.write_str("**none**"),
        }
    }
}

/// Something that the target needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Of which role.
    pub role: Role,
    /// What it is.
    pub resource: Resource,
    /// Its description.
    pub what: String,
    /// When.
    pub case: Case,
    /// How much.
    pub amount: Amount,
    /// Its unit.
    pub unit: &'static str,
    /// The limit, where one is stated.
    pub limit: Option<f64>,
    /// The slopes that it comes from, or what else.
    pub from: String,
    /// Where the figure comes from.
    pub mark: Mark,
    /// What carries it.
    pub carrier: Carrier,
}

impl Need {
    /// Need to limit.
    pub fn ratio(&self) -> Ratio {
        match (&self.carrier, self.limit) {
            (Carrier::Nothing(_), _) => Ratio::None,
            (Carrier::File(_), Some(limit)) => Ratio::Of(self.amount.value / limit),
            (Carrier::File(_), None) => Ratio::NoLimit,
        }
    }
}

/// A number as tables have it: three digits, thousands apart.
pub fn number(value: f64) -> String {
    let digits = match value.abs() {
        v if v.fract() == 0.0 || v >= 100.0 => 0,
        v if v >= 10.0 => 1,
        v if v >= 1.0 => 2,
        v if v >= 0.1 => 3,
        _ => 4,
    };
    let text = format!("{value:.digits$}");
    let (whole, rest) = text.split_at(text.find('.').unwrap_or(text.len()));
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |whole| ("-", whole));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    format!("{sign}{grouped}{rest}")
}

/// All needs, and the slopes that are missing for them.
pub struct CapacityEstimate<'a> {
    target: &'a Target,
    slopes: &'a Slopes,
    /// What is needed.
    pub needs: Vec<Need>,
    /// Slopes that a need would come from, and that were not measured.
    pub unmeasured: Vec<String>,
}

/// A need that has not got its role yet.
struct Entry {
    resource: Resource,
    case: Case,
    what: String,
    unit: &'static str,
    limit: Option<f64>,
    carrier: Carrier,
}

/// A need without a limit, of which it is not said yet what carries it.
fn entry(resource: Resource, case: Case, what: impl Into<String>, unit: &'static str) -> Entry {
    Entry { resource, case, what: what.into(), unit, limit: None, carrier: Carrier::File("") }
}

impl Entry {
    fn limit(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }

    fn by(self, file: &'static str) -> Self {
        Self { carrier: Carrier::File(file), ..self }
    }

    fn by_nothing(self, what: String, ratio: Option<f64>) -> Self {
        Self { carrier: Carrier::Nothing(Instead { what, ratio }), ..self }
    }
}

impl<'a> CapacityEstimate<'a> {
    /// Calculates all needs of a target.
    pub fn new(target: &'a Target, slopes: &'a Slopes) -> Self {
        let mut estimate = Self { target, slopes, needs: Vec::new(), unmeasured: Vec::new() };
        gateway::add_needs(&mut estimate);
        database::add_needs(&mut estimate);
        control::add_needs(&mut estimate);
        estimate
    }

    /// The needs of a role.
    pub fn of(&self, role: Role) -> impl Iterator<Item = &Need> {
        self.needs.iter().filter(move |need| need.role == role)
    }

    /// What has no mechanism, the dearest stand-in first, then what passes its limit or is near it, by ratio.
    pub fn missing(&self) -> Vec<&Need> {
        let weight = |need: &Need| match (need.ratio(), &need.carrier) {
            (Ratio::None, Carrier::Nothing(instead)) => Some((true, instead.ratio.unwrap_or(0.0))),
            (Ratio::Of(ratio), _) if ratio >= NEAR_LIMIT_RATIO => Some((false, ratio)),
            _ => None,
        };
        let mut missing: Vec<_> = self.needs.iter().filter_map(|n| Some((weight(n)?, n))).collect();
        missing.sort_by(|(a, _), (b, _)| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        missing.into_iter().map(|(_, need)| need).collect()
    }

    fn measured(&mut self, experiment: Experiment, quantity: Quantity) -> Option<&'a Measured> {
        let found = self.slopes.get(experiment, quantity);
        let name = format!("{experiment} {quantity}");
        if found.is_none() && !self.unmeasured.contains(&name) {
            self.unmeasured.push(name);
        }
        found
    }

    /// The value at a size.
    fn at(&mut self, experiment: Experiment, quantity: Quantity, size: f64) -> Option<Source> {
        let measured = self.measured(experiment, quantity)?;
        let estimate = measured.at(size)?;
        let from = format!("{} at {}", measured.name(), number(size));
        Some(Source { amount: estimate.into(), from, mark: estimate.mark })
    }

    /// What one more costs.
    fn slope(&mut self, experiment: Experiment, quantity: Quantity) -> Option<Source> {
        let measured = self.measured(experiment, quantity)?;
        let fit = measured.fit?;
        let amount = Amount { value: fit.slope, spread: fit.slope_error };
        Some(Source { amount, from: format!("slope of {}", measured.name()), mark: Mark::Calculated })
    }

    fn add(&mut self, role: Role, entry: Entry, source: Source) {
        let Entry { resource, case, what, unit, limit, carrier } = entry;
        let Source { amount, from, mark } = source;
        self.needs.push(Need { role, resource, what, case, amount, unit, limit, from, mark, carrier });
    }
}

/// An amount and where it comes from.
#[derive(Clone, Debug)]
struct Source {
    amount: Amount,
    from: String,
    mark: Mark,
}

impl Source {
    /// From the target alone.
    fn target(value: f64) -> Self {
        Self { amount: Amount::exact(value), from: "the target".to_owned(), mark: Mark::Calculated }
    }

    /// The same in a unit of which one is so many times less.
    fn in_unit(&self, factor: f64) -> Self {
        Self { amount: self.amount.times(factor), ..self.clone() }
    }

    fn times(&self, factor: f64) -> Self {
        Self { mark: Mark::Calculated, ..self.in_unit(factor) }
    }

    fn plus(&self, other: &Self) -> Self {
        let from = if self.from == other.from {
            self.from.clone()
        } else {
            format!("{}; {}", self.from, other.from)
        };
        Self { amount: self.amount.plus(other.amount), from, mark: Mark::Calculated }
    }

    fn minus(&self, other: &Self) -> Self {
        Self { amount: self.amount.minus(other.amount), ..self.plus(other) }
    }
}

/// Events of the list on an ordinary day.
fn list_events_per_day(target: &Target) -> f64 {
    EVENTS_PER_RESTART * target.database_restarts_per_day()
}
