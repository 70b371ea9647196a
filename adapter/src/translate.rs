//! Translation of the wire's types to those of `workload_manager`. The module `instance` translates messages
//! that contain names of engines or order keys.

use std::collections::BTreeMap;

use workload_manager::{
    Capabilities, Class, EndpointListMode, EndpointState, Idempotency, IdempotencyScope, LoadReport,
    LoadReportSource, MachineType, MachineTypeId, MemoryShortage, Outcome, Progress, QueryCost, RetryBudget,
    Rules, Settings, Tenant, ZoneId,
};

use crate::error::HostError;
use crate::names::NameTable;
use crate::wire;

/// Multiplier of the work in `used_up`. The field is the milliseconds of work times this value, plus the
/// memory in units of [`MEMORY_STEP_MB`].
const WORK_FACTOR: u64 = 4096;
const MEMORY_STEP_MB: f64 = 4.0;

/// Numbers of the names in the settings.
pub struct SettingsNames {
    pub classes: NameTable,
    pub machine_types: NameTable,
    pub zones: NameTable,
    pub tenants: NameTable,
}

/// Translates the settings of an instance, and numbers the names in them.
pub fn settings(env: &wire::Env) -> (Settings, SettingsNames) {
    let mut names = SettingsNames {
        classes: NameTable::from_names(env.classes.iter().map(|class| class.name.as_str())),
        machine_types: NameTable::from_names(env.kinds.iter().map(String::as_str)),
        zones: NameTable::from_names(env.zones.iter().map(String::as_str)),
        tenants: NameTable::from_names(env.projects.iter().map(|project| project.name.as_str())),
    };
    // Classes may refer to machine types and zones that are not listed. Those get the numbers after the
    // listed ones, in order of first use. The gateway's own zone is translated after the classes.
    let classes =
        env.classes.iter().enumerate().map(|(index, c)| class(c, index, &env.domain, &mut names)).collect();
    let settings = Settings {
        gateways: env.balancers,
        zone: (!env.locality.is_empty()).then(|| ZoneId(names.zones.number(&env.locality))),
        classes,
        machine_types: (0..env.kinds.len()).map(|index| machine_type(&env.domain, index)).collect(),
        tenants: env.projects.iter().map(|p| Tenant { quota_per_second: p.quota_per_s }).collect(),
        over_quota_weight_ratio: env.over_share_worth,
        rules: rules(&env.rules),
        capabilities: capabilities(env),
        on_memory_shortage: match env.domain.when_short {
            wire::WhenShort::Wait => MemoryShortage::Queue,
            wire::WhenShort::Shrink => MemoryShortage::Spill,
            wire::WhenShort::Page => MemoryShortage::Overcommit,
        },
        clock_resolution: env.resolution_s,
    };
    (settings, names)
}

fn class(class: &wire::Class, index: usize, domain: &wire::Domain, names: &mut SettingsNames) -> Class {
    let flag = |list: &[bool]| list.get(index).copied().unwrap_or(false);
    let machine_types = &mut names.machine_types;
    let zones = &mut names.zones;
    Class {
        latency_objective: class.aim_s,
        objective_stretch: class.aim_stretch,
        deadline: class.deadline_s,
        priority_weight: class.worth,
        late_weight_ratio: class.late_value,
        idempotency: idempotency(class),
        ordered_by_key: class.keep_order,
        allowed_machine_types: class
            .allowed_on
            .as_ref()
            .map(|allowed| allowed.iter().map(|name| MachineTypeId(machine_types.number(name))).collect()),
        allowed_zones: class
            .confined_to
            .as_ref()
            .map(|allowed| allowed.iter().map(|name| ZoneId(zones.number(name))).collect()),
        threads: domain.parallelism.get(index).copied().unwrap_or(1),
        is_load: flag(&domain.holds_tables),
        waits_for_loads: flag(&domain.yields_to_loads),
        is_streaming: class.streaming,
    }
}

fn idempotency(class: &wire::Class) -> Idempotency {
    match class.repeat {
        wire::Repeat::Pure => Idempotency::Idempotent,
        wire::Repeat::SideEffect => Idempotency::NotIdempotent,
        wire::Repeat::Token => Idempotency::Keyed {
            scope: match class.group {
                wire::Group::All => IdempotencyScope::All,
                wire::Group::Zone => IdempotencyScope::Zone,
                wire::Group::Cell => IdempotencyScope::Cell,
            },
            window: class.window_s,
        },
    }
}

fn machine_type(domain: &wire::Domain, index: usize) -> MachineType {
    MachineType {
        cores: domain.kind_cores.get(index).copied().unwrap_or(1.0),
        memory_mb: domain.memory_by_kind_mb.get(index).copied().unwrap_or(0.0),
    }
}

fn rules(rules: &wire::Rules) -> Rules {
    Rules {
        answer_grace: rules.answer_slack_s,
        drain_grace: rules.drain_grace_s,
        slow_start_min_ratio: rules.cold_share,
        slow_start_duration: rules.warm_up_s,
        collapse_load_ratio: rules.fall_multiple,
        collapse_window: rules.overload_for_s,
        key_cooldown: rules.order_pause_s,
        retry_budget: rules.look_back_s.map(|window| RetryBudget {
            min_retries: rules.extra_floor.unwrap_or(0.0),
            retry_ratio: rules.extra_ratio.unwrap_or(0.0),
            window,
        }),
    }
}

fn capabilities(env: &wire::Env) -> Capabilities {
    let (allowed, domain) = (&env.allowed, &env.domain);
    Capabilities {
        cancels_attempts: allowed.cancelling,
        health_checks: allowed.probing,
        load_reports: match env.report.how.as_str() {
            "probe" if allowed.probing => LoadReportSource::HealthChecks,
            "none" | "probe" => LoadReportSource::None,
            _ => LoadReportSource::Responses,
        },
        polls_endpoint_list: env.discovery == "ask",
        retry_after: allowed.retry_after,
        max_retry_after: allowed.max_retry_after_s,
        max_attempts: allowed.max_attempts,
        memory_grants: domain.grants_count,
        priorities: domain.takes_priority,
        progress_period: domain.note_period_s,
    }
}

/// Translates the mode of a watch event of the endpoint list.
///
/// # Errors
/// The wire protocol does not define the mode.
pub fn list_mode(mode: u32, event: usize) -> Result<EndpointListMode, HostError> {
    match mode {
        0 => Ok(EndpointListMode::Delta),
        1 => Ok(EndpointListMode::Full),
        2 => Ok(EndpointListMode::Cached),
        3 => Ok(EndpointListMode::Failed),
        value => Err(HostError::UnknownNumber { event, what: "roster mode", value }),
    }
}

/// Translates the state of an endpoint.
///
/// # Errors
/// The wire protocol does not define the state.
pub fn endpoint_state(state: u32, event: usize) -> Result<EndpointState, HostError> {
    match state {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        value => Err(HostError::UnknownNumber { event, what: "engine state", value }),
    }
}

/// Translates a progress report of an attempt.
///
/// # Errors
/// The wire protocol does not define the kind of report.
pub fn progress(update: &wire::UpdateOf, event: usize) -> Result<Progress, HostError> {
    match (update.what, update.amount) {
        (1, fraction) => Ok(Progress::Fraction(fraction)),
        (2, mb) => Ok(Progress::Spilling(mb)),
        (3, cause) if cause >= 2.0 => Ok(Progress::WaitingForLoad),
        (3, _) => Ok(Progress::WaitingForMemory),
        (value, _) => Err(HostError::UnknownNumber { event, what: "kind of progress report", value }),
    }
}

/// Translates the outcome of an attempt or a health check.
pub fn outcome(how: wire::How) -> Outcome {
    match how {
        wire::How::Success => Outcome::Success,
        wire::How::Failure => Outcome::Error,
        wire::How::Overloaded => Outcome::Rejected,
        wire::How::TimedOut => Outcome::TimedOut,
        wire::How::Unreachable => Outcome::ConnectFailed,
        wire::How::Broken => Outcome::ConnectionLost,
        wire::How::Withdrawn => Outcome::Cancelled,
        wire::How::Void => Outcome::NeverSent,
    }
}

/// Decodes the cost of a query. `None` if the engine did not report it.
pub fn query_cost(used_up: u64) -> Option<QueryCost> {
    (used_up > 0).then(|| QueryCost {
        work: (used_up / WORK_FACTOR) as f64 / 1000.0,
        memory_mb: (used_up % WORK_FACTOR) as f64 * MEMORY_STEP_MB,
    })
}

/// Reads load reports. The settings describe the meaning of their fields `x0` and `x1`.
pub struct LoadReportFields {
    x0: String,
    x1: String,
}

impl LoadReportFields {
    /// Copies the descriptions of the fields from the settings.
    pub fn new(domain: &wire::Domain) -> Self {
        Self { x0: domain.report_x0.clone(), x1: domain.report_x1.clone() }
    }

    /// Translates a load report, if there is one. Figures that it lacks, or whose field the settings do not
    /// describe, are `None`.
    pub fn read(&self, values: Option<&BTreeMap<String, f64>>) -> Option<LoadReport> {
        let values = values?;
        Some(LoadReport {
            in_flight: values.get("inflight").copied(),
            queued: values.get("queue").copied(),
            core_utilization: values.get("util").copied(),
            memory_utilization: self.extra(values, "memory"),
            disk_utilization: self.extra(values, "disk"),
        })
    }

    fn extra(&self, values: &BTreeMap<String, f64>, meaning: &str) -> Option<f64> {
        let fields = [("x0", &self.x0), ("x1", &self.x1)];
        let described = fields.into_iter().filter(|(_, description)| description.contains(meaning));
        described.filter_map(|(field, _)| values.get(field).copied()).next()
    }
}
