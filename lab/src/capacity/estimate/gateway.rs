//! Needs of a gateway at the target size.

use super::super::experiment::{Experiment as E, Quantity as Q};
use super::{
    Amount, CapacityEstimate, Case, DAY_S, Entry, Figure, MEGABYTE, Resource, Role, entry, format_number,
    list_events_per_day,
};

/// Microseconds per second.
const SECOND_US: f64 = 1e6;
/// Number of open requests in experiments that vary something else (`FIXED_REQUESTS` of the experiments).
const FIXED_OPEN: f64 = 16.0;
/// Smallest number of engines in the experiments.
const MIN_ENGINES: f64 = 16.0;
/// Descriptors other than for clients and engines: the process itself and the admin interface with its connections.
const OWN_DESCRIPTORS: f64 = 49.0;
/// Share of a gateway's memory that the text of a list event may occupy (`MEMORY_DIVISOR` of `wrenhatch::discovery`).
const EVENT_MEMORY_RATIO: f64 = 1.0 / 16.0;
/// Time window in seconds. A gateway's active subset has one database for each request that arrives within the window
/// (`ARRIVALS_WINDOW_SECONDS` of the decisions).
const ACTIVE_SUBSET_SECONDS: f64 = 2.0;
/// Time for which a connection is not reused after a response, in seconds (`REUSE_DELAY_US` of the gateway).
const REUSE_DELAY_SECONDS: f64 = 0.025;
/// Length of the comment that the endpoint stream carries every second, in bytes.
const COMMENT_BYTES: f64 = super::super::stand_ins::COMMENT.len() as f64;

/// Adds the needs of a gateway.
pub fn add_needs(estimate: &mut CapacityEstimate<'_>) {
    add_statements(estimate);
    add_endpoint_list(estimate);
    add_configuration(estimate);
    add_primary_changes(estimate);
    add_connections(estimate);
    add_memory(estimate);
    add_log_and_metrics(estimate);
}

fn processor_entry(case: Case, description: impl Into<String>) -> Entry {
    entry(Resource::Processor, case, description, "cores")
}

/// Adds the processor time of statements: in total, and the parts that depend on engines, open requests and sessions.
fn add_statements(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let (rate, cores) = (t.statements_per_gateway() / SECOND_US, t.gateway_cores);
    let Some(statement) = estimate.at(E::StatementEngines, Q::Cpu, t.databases) else { return };
    let files = "gateway/src/net/mod.rs, src/decisions/";
    let mut total = statement.clone();
    estimate.add(
        Role::Gateway,
        processor_entry(Case::Ordinary, "statements, few open at once").limit(cores).met_by(files),
        statement.times(rate),
    );
    if let Some(at_min_engines) = estimate.at(E::StatementEngines, Q::Cpu, MIN_ENGINES) {
        let growth = entry(Resource::Processor, Case::Ordinary, "of these, what grows with engines", "cores");
        estimate.add(
            Role::Gateway,
            growth.limit(cores).met_by("src/decisions/"),
            statement.minus(&at_min_engines).times(rate),
        );
    }
    if let Some(decisions) = estimate.at(E::DecideStatementEngines, Q::Cpu, t.databases) {
        let description = "of these, decisions alone";
        estimate.add(
            Role::Gateway,
            processor_entry(Case::Ordinary, description).limit(cores).met_by("src/decisions/"),
            decisions.times(rate),
        );
    }
    let at_fixed_open = estimate.at(E::StatementOpen, Q::Cpu, FIXED_OPEN);
    let at_target_open = estimate.at(E::StatementOpen, Q::Cpu, t.open_per_gateway);
    if let (Some(at_fixed_open), Some(at_target_open)) = (at_fixed_open, at_target_open) {
        let more = at_target_open.minus(&at_fixed_open);
        total = total.plus(&more);
        let description = format!(
            "beside that, {} requests open at once, which share turns",
            format_number(t.open_per_gateway)
        );
        estimate.add(
            Role::Gateway,
            processor_entry(Case::Ordinary, description)
                .limit(cores)
                .met_by("gateway/src/core/, src/decisions/"),
            more.times(rate),
        );
    }
    if let Some(idle) = estimate.slope(E::StatementSessions, Q::Cpu) {
        let more = idle.times(t.connections_per_gateway());
        total = total.plus(&more);
        let description =
            format!("beside that, {} sessions that are idle", format_number(t.connections_per_gateway()));
        estimate.add(
            Role::Gateway,
            processor_entry(Case::Ordinary, description).limit(cores).met_by("gateway/src/net/sessions/"),
            more.times(rate),
        );
    }
    if let Some(combined) = estimate.at(E::StatementTogether, Q::Cpu, t.databases) {
        let description = "to hold against it: 64 open and 3,455 idle, played together";
        let need = processor_entry(Case::Ordinary, description).limit(cores).met_by(files);
        estimate.add(Role::Gateway, need, combined.times(rate));
    }
    let all = processor_entry(Case::Ordinary, "statements, all of it").limit(cores).met_by(files);
    estimate.add(Role::Gateway, all, total.times(rate));
    if t.zones > 1.0 {
        let rate = rate * t.zones / (t.zones - 1.0);
        let description = "statements, with the gateways of a zone gone";
        estimate.add(
            Role::Gateway,
            processor_entry(Case::Worst, description).limit(cores).met_by(files),
            total.times(rate),
        );
    }
}

/// Adds the processor time, traffic, memory and delay of the endpoint list, with the limits for control.
fn add_endpoint_list(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let files = "gateway/src/net/watch.rs, gateway/src/discovery/, src/decisions/";
    let per_day = list_events_per_day(t);
    let share = |cpu: &Figure, events: f64, over_s: f64| cpu.times(100.0 * events / (over_s * SECOND_US));
    let percent = |case, description: String| {
        entry(Resource::Processor, case, description, "% of a core")
            .limit(t.control_core_percent)
            .met_by(files)
    };
    let bytes = |case, description: String| {
        entry(Resource::Messages, case, description, "bytes/s").limit(t.control_bytes_per_s).met_by(files)
    };
    let (within_s, zone) = (t.configuration_within_s, t.databases_per_zone());
    if let Some(cpu) = estimate.at(E::ChangeEngines, Q::Cpu, t.databases) {
        let description = format!("changes of the list, {} a day", format_number(per_day));
        estimate.add(Role::Gateway, percent(Case::Ordinary, description), share(&cpu, per_day, DAY_S));
        let description = format!("all {zone} databases of a zone change, over {within_s} s");
        estimate.add(Role::Gateway, percent(Case::Worst, description), share(&cpu, zone, within_s));
    }
    if let Some(cpu) = estimate.at(E::ListEngines, Q::Cpu, t.databases) {
        let description = format!("a whole list, over {within_s} s");
        estimate.add(Role::Gateway, percent(Case::Worst, description), share(&cpu, 1.0, within_s));
    }
    if let Some(event) = estimate.at(E::ChangeEngines, Q::StreamBytes, t.databases) {
        let day = event.times(per_day / DAY_S).plus(&Figure::from_target(COMMENT_BYTES));
        estimate.add(
            Role::Gateway,
            bytes(Case::Ordinary, "the list, with a comment a second".to_owned()),
            day,
        );
        let description = format!("all {zone} databases of a zone change, over {within_s} s");
        estimate.add(Role::Gateway, bytes(Case::Worst, description), event.times(zone / within_s));
    }
    if let Some(list) = estimate.at(E::ListEngines, Q::StreamBytes, t.databases) {
        let description = format!("a whole list, over {within_s} s");
        estimate.add(Role::Gateway, bytes(Case::Worst, description), list.times(1.0 / within_s));
        let max_bytes = t.gateway_memory_mb * MEGABYTE * EVENT_MEMORY_RATIO;
        let text = entry(Resource::Memory, Case::Worst, "the text of a whole list", "bytes").limit(max_bytes);
        estimate.add(Role::Gateway, text.met_by("gateway/src/discovery/"), list);
    }
    for (experiment, description) in
        [(E::ChangeEngines, "time to take a change"), (E::ListEngines, "time to take a whole list")]
    {
        let Some(delay) = estimate.at(experiment, Q::ApplyTime, t.databases) else { continue };
        let time =
            entry(Resource::Messages, Case::Ordinary, description, "ms").limit(within_s * 1e3).met_by(files);
        estimate.add(Role::Gateway, time, delay);
    }
    if let Some(idle) = estimate.at(E::IdleEngines, Q::IdleCpu, t.databases) {
        estimate.add(
            Role::Gateway,
            percent(Case::Ordinary, "to follow the list, no changes".to_owned()),
            idle,
        );
    }
}

/// Adds the needs of configuration changes in service, and of a restart per change for comparison.
fn add_configuration(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let (per_day, clients) = (t.configuration_per_day, t.connections_per_gateway());
    add_versions(estimate);
    add_reloads(estimate);
    let (start, session) =
        (estimate.at(E::StartEngines, Q::Cpu, t.databases), estimate.at(E::IdleSessions, Q::Cpu, clients));
    let (Some(start), Some(session)) = (start, session) else { return };
    let restart = start.plus(&session.times(clients));
    let share = restart.times(100.0 * per_day / (DAY_S * SECOND_US));
    let description = format!(
        "{} changes of classes, shares or limits a day, in force within {} s",
        format_number(per_day),
        t.configuration_within_s
    );
    let changes = entry(Resource::Messages, Case::Ordinary, description, "a day");
    let files = "configuration/src/subscriber.rs, gateway/src/net/control_plane.rs, gateway/src/live_reconfiguration/";
    estimate.add(Role::Gateway, changes.met_by(files), Figure::from_target(per_day));
    let description =
        "were each change of configuration a restart, as before it could be taken over in service";
    let restarted = entry(Resource::Processor, Case::Ordinary, description, "% of a core");
    estimate.add(Role::Gateway, restarted.limit(t.control_core_percent).met_by("gateway/src/main.rs"), share);
    let description = "a version of the configuration to all gateways, and who has it";
    let versions = entry(Resource::State, Case::Ordinary, description, "gateways");
    let files = "configuration/src/publisher.rs; the program around it is not in this repository";
    estimate.add(Role::Control, versions.met_by(files), Figure::from_target(t.gateways));
}

/// Adds the processor time, traffic and duration of applying versions of the settings in service.
fn add_versions(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let (per_day, per_s) = (t.configuration_per_day, t.configuration_per_day / DAY_S);
    let files = "configuration/src/subscriber.rs, gateway/src/net/control_plane.rs, gateway/src/net/live_reconfiguration.rs";
    let experiments = [E::VersionClasses, E::VersionTenants];
    if let Some(cpu) = with_classes_and_tenants(estimate, E::VersionEngines, experiments, Q::Cpu) {
        let description =
            format!("versions of the settings taken over in service, {} a day", format_number(per_day));
        let share = entry(Resource::Processor, Case::Ordinary, description, "% of a core");
        let share = share.limit(t.control_core_percent).met_by(files);
        estimate.add(Role::Gateway, share, cpu.times(100.0 * per_s / SECOND_US));
    }
    if let Some(delta) = with_classes_and_tenants(estimate, E::VersionEngines, experiments, Q::StreamBytes) {
        let description = "their differences, each of one class";
        let bytes =
            entry(Resource::Messages, Case::Ordinary, description, "bytes/s").limit(t.control_bytes_per_s);
        estimate.add(Role::Gateway, bytes.met_by(files), delta.times(per_s));
    }
    if let Some(delay) = with_classes_and_tenants(estimate, E::VersionEngines, experiments, Q::ApplyTime) {
        let description = "time to take a version over, with its report";
        let time = entry(Resource::Messages, Case::Ordinary, description, "ms")
            .limit(t.configuration_within_s * 1e3);
        estimate.add(Role::Gateway, time.met_by(files), delay);
    }
}

/// Adds the processor time of reloading the configuration file for each change, and the traffic of sending it.
fn add_reloads(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let per_s = t.configuration_per_day / DAY_S;
    let experiments = [E::ReloadClasses, E::ReloadTenants];
    if let Some(cpu) = with_classes_and_tenants(estimate, E::ReloadEngines, experiments, Q::Cpu) {
        let description = format!(
            "the file read again {} times a day, by signal; classes, shares and limits don't count",
            format_number(t.configuration_per_day)
        );
        let share = entry(Resource::Processor, Case::Ordinary, description, "% of a core");
        estimate.add(
            Role::Gateway,
            share.limit(t.control_core_percent).met_by("gateway/src/net/reload.rs"),
            cpu.times(100.0 * per_s / SECOND_US),
        );
    }
    if let Some(file) = with_classes_and_tenants(estimate, E::ReloadEngines, experiments, Q::FileBytes) {
        let description = "the whole file, were it sent for each change";
        let bytes =
            entry(Resource::Messages, Case::Ordinary, description, "bytes/s").limit(t.control_bytes_per_s);
        estimate.add(Role::Gateway, bytes.met_by("gateway/src/net/reload.rs"), file.times(per_s));
    }
}

/// Returns a quantity at the target's number of engines, plus the contributions of classes and tenants.
fn with_classes_and_tenants(
    estimate: &mut CapacityEstimate<'_>,
    experiment: E,
    [by_classes, by_tenants]: [E; 2],
    quantity: Q,
) -> Option<Figure> {
    let t = estimate.target;
    let mut all = estimate.at(experiment, quantity, t.databases)?;
    for (experiment, count) in [(by_classes, t.classes), (by_tenants, t.tenants)] {
        let Some(each) = estimate.slope(experiment, quantity) else { continue };
        all = all.plus(&each.times(count));
    }
    Some(all)
}

/// Adds changes of primary, for which no mechanism exists.
fn add_primary_changes(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let description =
        format!("{} changes of primary a day, each over within {} s", t.primary_per_day, t.primary_within_s);
    let fallback = "no primary, epoch or fencing is known; a list event moves all statements alike";
    let missing = entry(Resource::State, Case::Worst, description, "a day");
    estimate.add(
        Role::Gateway,
        missing.without_mechanism(fallback.to_owned(), None),
        Figure::from_target(t.primary_per_day),
    );
}

/// Adds connections and descriptors.
fn add_connections(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let clients = t.connections_per_gateway();
    let state = |description: &str| entry(Resource::State, Case::Ordinary, description, "");
    let Some(engines) = estimate.at(E::StatementEngines, Q::Connections, t.databases) else { return };
    let to_engines = state("connections to databases").met_by("gateway/src/net/pools.rs, src/decisions/");
    estimate.add(Role::Gateway, to_engines, engines.clone());
    let all = engines.plus(&Figure::from_target(clients + OWN_DESCRIPTORS));
    let descriptors = state("descriptors, with those of clients").limit(t.gateway_descriptors);
    estimate.add(
        Role::Gateway,
        descriptors.met_by("gateway/src/net/pools.rs, gateway/src/net/sessions/"),
        all,
    );
    let sessions = state("sessions, of a third of the descriptors").limit(t.gateway_descriptors / 3.0);
    estimate.add(Role::Gateway, sessions.met_by("gateway/src/net/sessions/"), Figure::from_target(clients));
    add_call_rate(estimate, &engines);
    let outside_zone = t.databases - t.databases_per_zone();
    let zone_lost =
        entry(Resource::State, Case::Worst, "descriptors, its zone's databases gone, one to each other", "");
    estimate.add(
        Role::Gateway,
        zone_lost.limit(t.gateway_descriptors).met_by("gateway/src/net/pools.rs, src/decisions/"),
        Figure::from_target(outside_zone + clients + OWN_DESCRIPTORS),
    );
    let share = engines.amount.value / t.databases;
    let description = "a stable, even subset of databases by zone that a gateway works with";
    let fallback = format!(
        "as many as there are requests in {ACTIVE_SUBSET_SECONDS} s, {}, those of its zone first where they have room: connections to \
         {}% of all databases, {} in the fleet",
        format_number(ACTIVE_SUBSET_SECONDS * t.statements_per_gateway()),
        format_number(100.0 * share),
        format_number(share * t.pairs())
    );
    let descriptors_share = engines.amount.value / t.gateway_descriptors;
    let missing = entry(Resource::State, Case::Ordinary, description, "databases");
    estimate.add(Role::Gateway, missing.without_mechanism(fallback, Some(descriptors_share)), engines);
}

/// Adds the call rate per connection. The limit follows from `REUSE_DELAY_SECONDS`.
fn add_call_rate(estimate: &mut CapacityEstimate<'_>, connections: &Figure) {
    let t = estimate.target;
    let description = "calls over each connection, which rests for 25 ms behind an answer";
    let each =
        entry(Resource::Messages, Case::Ordinary, description, "a second").limit(1.0 / REUSE_DELAY_SECONDS);
    let rate = Figure {
        amount: Amount::exact(t.statements_per_gateway() / connections.amount.value),
        ..connections.times(1.0)
    };
    estimate.add(Role::Gateway, each.met_by("gateway/src/net/engines/connections.rs"), rate);
}

/// Adds the memory for control and in total.
fn add_memory(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let mb = |case, description: &str, limit: f64, files: &'static str| {
        entry(Resource::Memory, case, description, "MB").limit(limit).met_by(files)
    };
    let to_mb = 1.0 / MEGABYTE;
    if let Some(resident) = estimate.at(E::StartEngines, Q::Resident, t.databases) {
        let description = "resident with the list and no client";
        let files = "gateway/src/net/pools.rs, src/decisions/";
        estimate.add(
            Role::Gateway,
            mb(Case::Ordinary, description, t.control_memory_mb, files),
            resident.in_unit(to_mb),
        );
    }
    let Some(active) = estimate.at(E::StatementEngines, Q::Resident, t.databases) else { return };
    let mut total = active.clone();
    let parts = [
        (E::IdleSessions, t.connections_per_gateway()),
        (E::StartClasses, t.classes),
        (E::StartTenants, t.tenants),
    ];
    for (experiment, count) in parts {
        let Some(each) = estimate.slope(experiment, Q::Resident) else { continue };
        total = total.plus(&each.times(count));
    }
    let files = "sessions/src/session_table.rs, gateway/src/net/pools.rs, src/decisions/";
    let description = "resident with all sessions, classes, tenants and connections";
    estimate.add(
        Role::Gateway,
        mb(Case::Ordinary, description, t.gateway_memory_mb, files),
        total.times(to_mb),
    );
}

/// Adds the volume of the log and of the metrics.
fn add_log_and_metrics(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let rate = t.statements_per_gateway();
    let log =
        |text: &str| entry(Resource::Messages, Case::Ordinary, text, "bytes/s").met_by("gateway/src/main.rs");
    if let Some(info) = estimate.at(E::StatementEngines, Q::LogBytes, t.databases) {
        estimate.add(Role::Gateway, log("the log of statements"), info.times(rate));
    }
    if let Some(debug) = estimate.at(E::StatementEngines, Q::DebugLogBytes, t.databases) {
        estimate.add(Role::Gateway, log("the log of statements, at debug"), debug.times(rate));
    }
    if let Some(metrics) = estimate.at(E::StartClasses, Q::MetricsBytes, t.classes) {
        let each =
            entry(Resource::Messages, Case::Ordinary, "all figures, each time they are fetched", "bytes");
        estimate.add(Role::Gateway, each.met_by("gateway/src/admin/metrics.rs"), metrics);
    }
}
