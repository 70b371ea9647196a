//! Settings of a workload manager, their validation, and the change to new settings at run time.
//!
//! Times and durations are in seconds. [`Settings::check`] validates the settings.

use crate::{ClassId, MachineTypeId, ZoneId};

/// Set of engines that deduplicate requests by idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All engines of the deployment.
    All,
    /// The engines of the zone of the first attempt that may have run.
    Zone,
    /// The engines of the cell of the first attempt that may have run.
    Cell,
}

/// Effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Engines deduplicate the request by an idempotency key.
    Keyed {
        /// Engines that share the key.
        scope: IdempotencyScope,
        /// Seconds for which the key is kept, from the start of the first attempt that may have run.
        window: f64,
    },
    /// The request must never run twice.
    NotIdempotent,
}

impl Idempotency {
    /// Whether the client may safely retry the request at any engine: either no attempt may have run, or all
    /// engines tolerate a second execution. Only such a request may be rejected.
    pub fn client_may_retry(self, may_have_run: bool) -> bool {
        !may_have_run || matches!(self, Self::Idempotent | Self::Keyed { scope: IdempotencyScope::All, .. })
    }
}

/// A class of requests with a common objective and common rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Target latency in seconds. An answer within this time earns the full priority weight.
    pub latency_objective: f64,
    /// The objective is extended by this factor times the class's mean work per thread.
    pub objective_stretch: f64,
    /// Usual number of seconds after which the client stops waiting. The deadline of a request may differ.
    pub deadline: f64,
    /// Value of a request answered within its objective.
    /// Validated, and compared between versions of the class. No decision uses it.
    pub priority_weight: f64,
    /// Ratio of the weight that an answer past the objective still earns.
    /// Validated, and compared between versions of the class. No decision uses it.
    pub late_weight_ratio: f64,
    /// Whether, and at which engines, a request may run more than once.
    pub idempotency: Idempotency,
    /// Whether requests of the same key run one at a time, in order of arrival.
    /// No decision uses it: any request that has a key is ordered by it.
    pub ordered_by_key: bool,
    /// Machine types that requests may run on. `None`: all.
    pub allowed_machine_types: Option<Vec<MachineTypeId>>,
    /// Zones that requests may run in. `None`: all.
    pub allowed_zones: Option<Vec<ZoneId>>,
    /// Number of threads that a request runs on.
    pub threads: u32,
    /// Whether requests are loads. A load holds a lock on its table group at its engine while it runs.
    pub is_load: bool,
    /// Whether requests wait while a load holds their table group.
    pub waits_for_loads: bool,
    /// Whether answers are streamed.
    /// Compared between versions of the class. No decision uses it.
    pub is_streaming: bool,
}

/// Capacity of a type of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Number of cores.
    pub cores: f64,
    /// Memory in MB. 0 if not known.
    pub memory_mb: f64,
}

/// Limits of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second that the tenant may send, over all gateways. 0: no quota is given.
    /// Validated. No decision uses it.
    pub quota_per_second: f64,
}

/// Behavior of engines when a query needs more memory than is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits until enough memory is free.
    Queue,
    /// The query gets the free memory and spills to disk.
    Spill,
    /// The query starts, and all queries slow down.
    Overcommit,
}

/// Limit on the retries that a gateway sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries that are always allowed in a window.
    pub min_retries: f64,
    /// Further retries allowed for each request that arrived in the window.
    pub retry_ratio: f64,
    /// Length of the sliding window in seconds.
    pub window: f64,
}

/// Limits and durations that apply to a whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Seconds past the client's deadline in which a final answer is still valid.
    /// Validated. No decision uses it.
    pub answer_grace: f64,
    /// Seconds after which nothing may be sent to a draining engine any more.
    /// Validated. No decision uses it.
    pub drain_grace: f64,
    /// Lowest ratio of its full capacity that an engine has at its start.
    pub slow_start_min_ratio: f64,
    /// Seconds after its start at which an engine has its full capacity, at the latest.
    pub slow_start_duration: f64,
    /// Load, as a multiple of its current capacity, at which an engine in slow start collapses.
    pub collapse_load_ratio: f64,
    /// Seconds for which the collapse load must last to make an engine in slow start collapse.
    pub collapse_window: f64,
    /// Seconds for which an order key is held back after the last time at which a lost or cancelled attempt
    /// may run.
    pub key_cooldown: f64,
    /// Limit on retries. `None`: unlimited.
    pub retry_budget: Option<RetryBudget>,
}

/// Messages that carry engines' load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Engines send no load reports.
    None,
    /// Load reports arrive with answers and health checks.
    Responses,
    /// Load reports arrive with health checks only. The workload manager requests no health checks, and
    /// estimates load from its own attempts until a report arrives.
    HealthChecks,
}

/// Optional features that a deployment permits and supports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capabilities {
    /// Whether attempts may be cancelled.
    pub cancels_attempts: bool,
    /// Whether health checks may be sent.
    /// No decision uses it.
    pub health_checks: bool,
    /// Messages that carry load reports, if any.
    pub load_reports: LoadReportSource,
    /// Whether the workload manager has to ask for the endpoint list, by
    /// [`Action::WatchEndpointList`](crate::Action::WatchEndpointList).
    pub polls_endpoint_list: bool,
    /// Whether clients respect a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients respect, in seconds.
    pub max_retry_after: f64,
    /// Maximum number of attempts for a request. 0: no limit.
    pub max_attempts: u32,
    /// Whether engines respect memory grants.
    /// No decision uses it.
    pub memory_grants: bool,
    /// Whether engines respect priorities.
    pub priorities: bool,
    /// Seconds between progress reports. 0: engines send none.
    pub progress_period: f64,
}

/// Configuration of a workload manager.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the engines.
    pub gateways: u32,
    /// Zone of this gateway, if known.
    pub zone: Option<ZoneId>,
    /// Classes of requests, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Machine types, indexed by [`MachineTypeId`].
    pub machine_types: Vec<MachineType>,
    /// Tenants, indexed by [`TenantId`](crate::TenantId). Empty if the deployment has none.
    pub tenants: Vec<Tenant>,
    /// Ratio of the priority weight that applies to a request beyond its tenant's quota.
    /// Validated. No decision uses it.
    pub over_quota_weight_ratio: f64,
    /// Limits and durations of the deployment.
    pub rules: Rules,
    /// Optional features that the deployment permits and supports.
    pub capabilities: Capabilities,
    /// Behavior of engines when a query needs more memory than is free.
    pub on_memory_shortage: MemoryShortage,
    /// Resolution of the clock: the smallest difference between the times of two events, in seconds.
    pub clock_resolution: f64,
}

/// Reason for rejecting settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The list of classes is empty.
    #[error("settings name no class of request")]
    NoClasses,
    /// The number of gateways is 0.
    #[error("settings say there are no gateways")]
    NoGateways,
    /// The numbers of classes and origins differ, an earlier class is missing, or an origin refers to a class
    /// that the earlier settings did not have.
    #[error("the origins do not fit the classes")]
    InvalidOrigins,
    /// A value is negative, infinite or not a number.
    #[error("{what} is {value}, which is negative or not a number")]
    InvalidValue {
        /// Name of the setting, as in the operator documentation.
        what: String,
        /// The rejected value.
        value: f64,
    },
}

impl Settings {
    /// Capacity of a machine type. A type that the settings do not describe has the cores of the first type,
    /// and unknown memory. Every type has at least one core.
    pub fn machine_type(&self, id: MachineTypeId) -> MachineType {
        let described = self.machine_types.get(id.0);
        let cores = described.or_else(|| self.machine_types.first()).map_or(1.0, |k| k.cores).max(1.0);
        MachineType { cores, memory_mb: described.map_or(0.0, |k| k.memory_mb) }
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// The first problem found: there are no classes or no gateways, or a value is negative, infinite or not
    /// a number.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateways == 0 {
            return Err(SettingsError::NoGateways);
        }
        let values = self.rule_values().chain(self.class_values()).chain(self.resource_values());
        match values.into_iter().find(|(_, value)| !(value.is_finite() && *value >= 0.0)) {
            Some((what, value)) => Err(SettingsError::InvalidValue { what, value }),
            None => Ok(()),
        }
    }

    /// Values of the rules and capabilities, with the names that the operator documentation uses.
    fn rule_values(&self) -> impl Iterator<Item = (String, f64)> {
        let (rules, capabilities) = (&self.rules, &self.capabilities);
        let values = [
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
        values.into_iter().chain(budget).map(|(what, value)| (what.to_owned(), value))
    }

    fn class_values(&self) -> impl Iterator<Item = (String, f64)> {
        self.classes.iter().enumerate().flat_map(|(i, class)| {
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => Some((format!("window of class {i}"), window)),
                Idempotency::Idempotent | Idempotency::NotIdempotent => None,
            };
            let values = [
                (format!("aim of class {i}"), class.latency_objective),
                (format!("aim stretch of class {i}"), class.objective_stretch),
                (format!("deadline of class {i}"), class.deadline),
                (format!("worth of class {i}"), class.priority_weight),
                (format!("late value of class {i}"), class.late_weight_ratio),
            ];
            values.into_iter().chain(window)
        })
    }

    fn resource_values(&self) -> impl Iterator<Item = (String, f64)> {
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

/// Relation of a class of the new settings to a class of the old ones, in a [`SettingsChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassOrigin {
    /// The class with the same id, unchanged.
    Unchanged,
    /// A changed version of the class with the given id. It starts with that class's statistics.
    DerivedFrom(ClassId),
    /// A class without predecessor. It starts without statistics.
    New,
    /// A class that new requests do not use any more. Requests that arrived with it keep it.
    Retired,
}

impl ClassOrigin {
    /// Class of the old settings whose statistics the class with the given id takes over. `None` for a new
    /// class.
    pub fn previous_class(self, class: ClassId) -> Option<ClassId> {
        match self {
            ClassOrigin::Unchanged | ClassOrigin::Retired => Some(class),
            ClassOrigin::DerivedFrom(from) => Some(from),
            ClassOrigin::New => None,
        }
    }
}

/// A change to new settings. Classes keep their ids. New ones may be added, but none is removed.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// Settings that replace the current ones.
    pub settings: Settings,
    /// For each class of the new settings, its relation to the old ones.
    pub origins: Vec<ClassOrigin>,
}

impl SettingsChange {
    /// Classes that new requests may use.
    pub fn active_classes(&self) -> Vec<&Class> {
        let classes = self.settings.classes.iter().zip(&self.origins);
        classes.filter(|(_, origin)| **origin != ClassOrigin::Retired).map(|(class, _)| class).collect()
    }

    /// Validates the settings, and that each class is new or originates from an earlier one. `known` is the
    /// number of classes of the earlier settings, none of which may be missing.
    ///
    /// # Errors
    /// The first problem found: [`SettingsError::InvalidOrigins`], or else that of [`Settings::check`].
    pub fn check(&self, known: usize) -> Result<(), SettingsError> {
        let previous = |(at, origin): (usize, &ClassOrigin)| origin.previous_class(ClassId(at));
        let all_known = self.origins.iter().enumerate().filter_map(previous).all(|from| from.0 < known);
        if self.origins.len() != self.settings.classes.len() || self.origins.len() < known || !all_known {
            return Err(SettingsError::InvalidOrigins);
        }
        self.settings.check()
    }
}
