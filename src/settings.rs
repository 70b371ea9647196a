//! Settings of a workload manager, and the change to other settings.
//!
//! Times and durations are seconds. [`Settings::check`] says whether a workload manager could act on them.

use crate::{ClassId, MachineTypeId, ZoneId};

/// Which engines drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// What repeating a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Engines drop repeats by an idempotency key.
    Keyed {
        /// Which engines remember the key.
        scope: IdempotencyScope,
        /// For how many seconds from the first attempt that may have run.
        window: f64,
    },
    /// It must never run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether a retry by a client is safe, wherever it goes: no attempt may have run, or repeats do
    /// no harm anywhere. A rejection promises that.
    pub fn client_may_retry(self, may_have_run: bool) -> bool {
        !may_have_run || matches!(self, Self::Idempotent | Self::Keyed { scope: IdempotencyScope::All, .. })
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Seconds within which an answer earns the full priority weight.
    pub latency_objective: f64,
    /// The objective is longer by this times the request's work over its threads.
    pub objective_stretch: f64,
    /// Seconds after which the client stops waiting.
    pub deadline: f64,
    /// What a request is worth.
    /// Checked, and compared between versions of the class; no decision uses it.
    pub priority_weight: f64,
    /// Ratio of the weight that an answer past the objective still earns.
    /// Checked, and compared between versions of the class; no decision uses it.
    pub late_weight_ratio: f64,
    /// What repeating it would do.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one at a time, in order.
    pub ordered_by_key: bool,
    /// The only machine types it may run on, if bound.
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
    /// The only zones it may run in, if bound.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// Threads that a request runs on.
    pub threads: u32,
    /// Whether it is a load: it holds its table group at its engine while it runs.
    pub is_load: bool,
    /// Whether it waits while a load holds its table group.
    pub waits_for_loads: bool,
    /// Whether answers are streams.
    /// Compared between versions of the class; no decision uses it.
    pub is_streaming: bool,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Cores.
    pub cores: f64,
    /// Memory in MB; 0 if not known.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second that it may send, over all gateways; 0 if not stated.
    /// Checked; no decision uses it.
    pub quota_per_second: f64,
}

/// What engines do when a query finds too little memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits.
    Queue,
    /// It gets what is left and spills.
    Spill,
    /// It starts, and all queries slow down.
    Overcommit,
}

/// The budget of retries by gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed however few requests arrive.
    pub min_retries: f64,
    /// Retries that are allowed for each request that arrived.
    pub retry_ratio: f64,
    /// Seconds over which both are counted.
    pub window: f64,
}

/// Figures of the rules of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Seconds past the client's deadline in which a final answer still counts.
    /// Checked; no decision uses it.
    pub answer_grace: f64,
    /// Seconds after which nothing may be sent to a draining engine any more.
    /// Checked; no decision uses it.
    pub drain_grace: f64,
    /// Ratio of its capacity with which an engine starts at least.
    pub slow_start_min_ratio: f64,
    /// Seconds after which it has all of its capacity at the latest.
    pub slow_start_duration: f64,
    /// Load in times its capacity under which a warming engine collapses,
    pub collapse_load_ratio: f64,
    /// if it lasts for so many seconds.
    pub collapse_window: f64,
    /// Seconds that a key cools down after an attempt that may still run.
    pub key_cooldown: f64,
    /// The budget of retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Where engines' load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    None,
    /// Answers and health checks bring them.
    Responses,
    /// Health checks alone bring them. The workload manager asks for none: its own attempts say enough.
    HealthChecks,
}

/// What a deployment permits and supports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capabilities {
    /// Attempts may be cancelled.
    pub cancels_attempts: bool,
    /// Health checks may be sent.
    /// No decision uses it.
    pub health_checks: bool,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoint_list: bool,
    /// Clients heed a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients obey, in seconds.
    pub max_retry_after: f64,
    /// Attempts that a request may have; 0: no limit.
    pub max_attempts: u32,
    /// Engines heed memory grants.
    /// No decision uses it.
    pub memory_grants: bool,
    /// Engines heed priorities.
    pub priorities: bool,
    /// Seconds between progress reports; 0: none come.
    pub progress_period: f64,
}

/// All that a workload manager knows at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many gateways share the engines.
    pub gateways: u32,
    /// The zone of this one.
    pub zone: Option<ZoneId>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Machine types.
    pub machine_types: Vec<MachineType>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Ratio of its priority weight that a request beyond its tenant's quota has.
    /// Checked; no decision uses it.
    pub over_quota_weight_ratio: f64,
    /// Figures of the rules.
    pub rules: Rules,
    /// What is permitted and supported.
    pub capabilities: Capabilities,
    /// What engines do when a query finds too little memory.
    pub on_memory_shortage: MemoryShortage,
    /// The smallest difference between the times of two events, in seconds.
    pub clock_resolution: f64,
}

/// Why settings were not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("settings name no class of request")]
    NoClasses,
    /// There is no gateway.
    #[error("settings say there are no gateways")]
    NoGateways,
    /// A class has no origin, or one that names a class that there was not.
    #[error("the origins do not fit the classes")]
    InvalidOrigins,
    /// A figure is negative or not a number.
    #[error("{what} is {value}, which is negative or not a number")]
    InvalidValue {
        /// Which figure.
        what: String,
        /// Its value.
        value: f64,
    },
}

impl Settings {
    /// A machine of this type. One that is not described has the cores of the first type, one at least, and
    /// memory that is not known.
    pub fn machine_type(&self, id: MachineTypeId) -> MachineType {
        let described = self.machine_types.get(id.0);
        let cores = described.or_else(|| self.machine_types.first()).map_or(1.0, |k| k.cores).max(1.0);
        MachineType { cores, memory_mb: described.map_or(0.0, |k| k.memory_mb) }
    }

    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// The first thing found that no workload manager could act on.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateways == 0 {
            return Err(SettingsError::NoGateways);
        }
        let figures = self.rule_figures().chain(self.class_figures()).chain(self.resource_figures());
        match figures.into_iter().find(|(_, value)| !(value.is_finite() && *value >= 0.0)) {
            Some((what, value)) => Err(SettingsError::InvalidValue { what, value }),
            None => Ok(()),
        }
    }

    /// Names in errors are those of the operators' pages.
    fn rule_figures(&self) -> impl Iterator<Item = (String, f64)> {
        let (rules, capabilities) = (&self.rules, &self.capabilities);
        let figures = [
            ("answer slack", rules.answer_grace),
            ("drain grace", rules.drain_grace),
            ("cold share", rules.slow_start_min_ratio),
            ("warm-up", rules.slow_start_duration),
            ("fall multiple", rules.collapse_load_ratio),
            ("overload span", rules.collapse_window),
            ("order pause", rules.key_cooldown),
            ("longest retry-after", capabilities.max_retry_after),
            ("note period", capabilities.progress_period),
            ("resolution", self.clock_resolution),
            ("over-share worth", self.over_quota_weight_ratio),
        ];
        let budget = rules.retry_budget.iter().flat_map(|budget| {
            [
                ("budget floor", budget.min_retries),
                ("budget ratio", budget.retry_ratio),
                ("budget look-back", budget.window),
            ]
        });
        figures.into_iter().chain(budget).map(|(what, value)| (what.to_owned(), value))
    }

    fn class_figures(&self) -> impl Iterator<Item = (String, f64)> {
        self.classes.iter().enumerate().flat_map(|(i, class)| {
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => Some((format!("window of class {i}"), window)),
                Idempotency::Idempotent | Idempotency::NotIdempotent => None,
            };
            let figures = [
                (format!("aim of class {i}"), class.latency_objective),
                (format!("aim stretch of class {i}"), class.objective_stretch),
                (format!("deadline of class {i}"), class.deadline),
                (format!("worth of class {i}"), class.priority_weight),
                (format!("late value of class {i}"), class.late_weight_ratio),
            ];
            figures.into_iter().chain(window)
        })
    }

    fn resource_figures(&self) -> impl Iterator<Item = (String, f64)> {
        let machine_types = self.machine_types.iter().enumerate().flat_map(|(i, machine_type)| {
            [
                (format!("cores of kind {i}"), machine_type.cores),
                (format!("memory of kind {i}"), machine_type.memory_mb),
            ]
        });
        let tenants = self.tenants.iter().enumerate();
        let quotas = tenants.map(|(i, tenant)| (format!("quota of tenant {i}"), tenant.quota_per_second));
        machine_types.chain(quotas)
    }
}

/// Where a class of other settings comes from, for a [`SettingsChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// It is the one that had this id, unchanged.
    Unchanged,
    /// It follows the class that had this other id, with changes; what was learned of that one is its start.
    DerivedFrom(ClassId),
    /// Nothing is known of it.
    New,
    /// No new request has it any more; requests that came with it keep it.
    Retired,
}

impl ClassOrigin {
    /// The id of the class of the old settings of which something was learned, for the class of this id.
    pub fn learned_from(self, class: ClassId) -> Option<ClassId> {
        match self {
            ClassOrigin::Unchanged | ClassOrigin::Retired => Some(class),
            ClassOrigin::DerivedFrom(from) => Some(from),
            ClassOrigin::New => None,
        }
    }
}

/// A change to other settings. Ids of classes stay what they were; there may be more of them, never fewer.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The other settings.
    pub settings: Settings,
    /// For each class of the settings, where it comes from.
    pub origins: Vec<ClassOrigin>,
}

impl SettingsChange {
    /// The classes that new requests may have.
    pub fn active_classes(&self) -> Vec<&Class> {
        let classes = self.settings.classes.iter().zip(&self.origins);
        classes.filter(|(_, origin)| **origin != ClassOrigin::Retired).map(|(class, _)| class).collect()
    }

    /// Checks the settings, and that each class comes from one of `known` earlier classes or is new.
    ///
    /// # Errors
    /// The first thing found that no workload manager could act on.
    pub fn check(&self, known: usize) -> Result<(), SettingsError> {
        let learned = |(at, origin): (usize, &ClassOrigin)| origin.learned_from(ClassId(at));
        let all_known = self.origins.iter().enumerate().filter_map(learned).all(|from| from.0 < known);
        if self.origins.len() != self.settings.classes.len() || self.origins.len() < known || !all_known {
            return Err(SettingsError::InvalidOrigins);
        }
        self.settings.check()
    }
}
