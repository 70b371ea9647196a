//! Reader of the `settings` object of a configuration, which describes the deployment and may change while the gateway
//! runs. This module maps the keys of the platform to the terms of the code.

use workload_manager::{
    Capabilities, Class, Idempotency, IdempotencyScope, LoadReportSource, MachineType, MachineTypeId,
    MemoryShortage, RetryBudget, Rules, Settings, Tenant, ZoneId,
};

use super::{ConfigError, SettingsNames};
use crate::json::{self, JsonError, JsonField};

/// The settings of a deployment.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the workload manager.
    pub settings: Settings,
    /// Names for the numbers that `settings` uses.
    pub names: SettingsNames,
    /// Idle time after which an engine closes a connection, in microseconds.
    pub engine_idle_timeout_us: u64,
    /// Timeout of opening a connection to an engine, in microseconds.
    pub connect_timeout_us: u64,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
}

/// Reads the settings of a configuration.
///
/// # Errors
/// A value is missing or invalid.
pub(super) fn read_site_settings(site: &JsonField<'_>) -> Result<SiteSettings, ConfigError> {
    let (settings, names) = read_settings(site)?;
    settings.check()?;
    let allowed = site.get("allowed");
    Ok(SiteSettings {
        settings,
        names,
        engine_idle_timeout_us: (allowed.get("keepalive-s").number_or(15.0)? * 1e6) as u64,
        connect_timeout_us: (allowed.get("connect-timeout-s").number_or(0.25)? * 1e6) as u64,
        max_open_requests: allowed.get("max-open").number_or(20_000.0)? as usize,
    })
}

/// Parses the JSON text of the settings of a configuration.
///
/// # Errors
/// The text is not JSON, or a value is missing or invalid.
pub fn parse_site_settings(text: &str) -> Result<SiteSettings, ConfigError> {
    read_site_settings(&JsonField::root(&json::parse(text, "settings")?, "settings"))
}

fn read_settings(site: &JsonField<'_>) -> Result<(Settings, SettingsNames), JsonError> {
    let domain = site.get("domain");
    let mut names = read_names(site)?;
    let mut classes = Vec::new();
    for (number, class) in site.get("classes").elements()?.iter().enumerate() {
        names.classes.push(class.get("name").string()?);
        classes.push(read_class(class, number, &domain, &mut names)?);
    }
    let mut tenants = Vec::new();
    for tenant in site.get("projects").elements()? {
        names.tenants.push(tenant.get("name").string()?);
        tenants.push(Tenant { quota_per_second: tenant.get("quota-per-s").number_or(0.0)? });
    }
    // Reading the classes may have added machine types.
    let machine_types = read_machine_types(&domain, names.machine_types.len())?;
    let zone = site.get("locality").string_or_empty()?;
    let settings = Settings {
        gateways: site.get("balancers").number_or(1.0)? as u32,
        zone: (!zone.is_empty()).then(|| ZoneId(SettingsNames::find_or_add(&mut names.zones, &zone))),
        classes,
        machine_types,
        tenants,
        over_quota_weight_ratio: site.get("over-share-worth").number_or(1.0)?,
        rules: read_rules(&site.get("rules"))?,
        capabilities: read_capabilities(site)?,
        on_memory_shortage: read_memory_shortage(&domain)?,
        clock_resolution: site.get("resolution-s").number_or(0.0)?,
    };
    Ok((settings, names))
}

/// Reads the names of machine types, zones and load report fields. Names of classes and tenants are read together with
/// their values.
fn read_names(site: &JsonField<'_>) -> Result<SettingsNames, JsonError> {
    let domain = site.get("domain");
    Ok(SettingsNames {
        machine_types: site.get("kinds").strings()?,
        zones: site.get("zones").strings()?,
        load_report_extras: [
            domain.get("report-x0").string_or_empty()?,
            domain.get("report-x1").string_or_empty()?,
        ],
        ..SettingsNames::default()
    })
}

fn read_memory_shortage(domain: &JsonField<'_>) -> Result<MemoryShortage, JsonError> {
    Ok(match domain.get("when-short").string_or_empty()?.as_str() {
        "shrink" => MemoryShortage::Spill,
        "page" => MemoryShortage::Overcommit,
        _ => MemoryShortage::Queue,
    })
}

fn read_machine_types(domain: &JsonField<'_>, count: usize) -> Result<Vec<MachineType>, JsonError> {
    let cores = domain.get("kind-cores").elements()?;
    let memory_mb = domain.get("memory-by-kind-mb").elements()?;
    let number =
        |list: &[JsonField<'_>], i: usize, default| list.get(i).map_or(Ok(default), JsonField::number);
    (0..count)
        .map(|i| Ok(MachineType { cores: number(&cores, i, 1.0)?, memory_mb: number(&memory_mb, i, 0.0)? }))
        .collect()
}

fn read_rules(rules: &JsonField<'_>) -> Result<Rules, JsonError> {
    Ok(Rules {
        answer_grace: rules.get("answer-slack-s").number_or(0.0)?,
        drain_grace: rules.get("drain-grace-s").number_or(0.0)?,
        slow_start_min_ratio: rules.get("cold-share").number_or(0.0)?,
        slow_start_duration: rules.get("warm-up-s").number_or(0.0)?,
        collapse_load_ratio: rules.get("fall-multiple").number_or(0.0)?,
        collapse_window: rules.get("overload-for-s").number_or(0.0)?,
        key_cooldown: rules.get("order-pause-s").number_or(0.0)?,
        retry_budget: read_retry_budget(rules)?,
    })
}

/// Reads the retry budget. Without the key `look-back-s`, the number of retries is unlimited.
fn read_retry_budget(rules: &JsonField<'_>) -> Result<Option<RetryBudget>, JsonError> {
    let window = rules.get("look-back-s");
    if !window.is_present() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_retries: rules.get("extra-floor").number_or(0.0)?,
        retry_ratio: rules.get("extra-ratio").number_or(0.0)?,
        window: window.number()?,
    }))
}

fn read_capabilities(site: &JsonField<'_>) -> Result<Capabilities, JsonError> {
    let (allowed, domain) = (site.get("allowed"), site.get("domain"));
    Ok(Capabilities {
        cancels_attempts: allowed.get("cancelling").flag()?,
        health_checks: allowed.get("probing").flag()?,
        load_reports: match site.get("report").get("how").string_or_empty()?.as_str() {
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
    })
}

fn read_idempotency(class: &JsonField<'_>) -> Result<Idempotency, JsonError> {
    Ok(match class.get("repeat").string_or_empty()?.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed {
            scope: match class.get("group").string_or_empty()?.as_str() {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                _ => IdempotencyScope::Cell,
            },
            window: class.get("window-s").number_or(0.0)?,
        },
        _ => Idempotency::NotIdempotent,
    })
}

/// Reads a class. Some of its values are in arrays of `domain`, which are indexed by class number.
fn read_class(
    class: &JsonField<'_>,
    number: usize,
    domain: &JsonField<'_>,
    names: &mut SettingsNames,
) -> Result<Class, JsonError> {
    let domain_flag = |list: &str| -> Result<bool, JsonError> {
        domain.get(list).elements()?.get(number).map_or(Ok(false), JsonField::flag)
    };
    let idempotency = read_idempotency(class)?;
    let (machine_types, zones) = (class.get("allowed-on"), class.get("confined-to"));
    let allowed_machine_types: Vec<_> = machine_types
        .strings()?
        .iter()
        .map(|name| MachineTypeId(SettingsNames::find_or_add(&mut names.machine_types, name)))
        .collect();
    let allowed_zones: Vec<_> = zones
        .strings()?
        .iter()
        .map(|name| ZoneId(SettingsNames::find_or_add(&mut names.zones, name)))
        .collect();
    Ok(Class {
        latency_objective: class.get("aim-s").number()?,
        objective_stretch: class.get("aim-stretch").number_or(0.0)?,
        deadline: class.get("deadline-s").number()?,
        priority_weight: class.get("worth").number_or(1.0)?,
        late_weight_ratio: class.get("late-value").number_or(0.0)?,
        idempotency,
        ordered_by_key: class.get("keep-order").flag()?,
        allowed_machine_types: machine_types.is_present().then_some(allowed_machine_types),
        allowed_zones: zones.is_present().then_some(allowed_zones),
        threads: domain.get("parallelism").elements()?.get(number).map_or(Ok(1.0), JsonField::number)? as u32,
        is_load: domain_flag("holds-tables")?,
        waits_for_loads: domain_flag("yields-to-loads")?,
        is_streaming: class.get("streaming").flag()?,
    })
}
