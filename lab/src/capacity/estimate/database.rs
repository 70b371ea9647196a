//! Needs of a database that gateways cause at the target size.

use super::super::experiment::{Experiment as E, Quantity as Q};
use super::{CapacityEstimate, Case, DAY_S, Figure, Resource, Role, entry};

/// Time after which a database closes an idle connection, in seconds (setting `keepalive-s`).
const IDLE_TIMEOUT_S: f64 = 15.0;

/// Adds the needs of a database.
pub fn add_needs(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let calls = entry(Resource::Messages, Case::Ordinary, "statements", "a second");
    let per_database = t.statements_per_s / t.databases;
    estimate.add(Role::Database, calls.met_by("src/decisions/"), Figure::from_target(per_database));
    let probes = entry(Resource::Messages, Case::Ordinary, "probes", "a second");
    let no_probes = Figure { source: "gateways send none".to_owned(), ..Figure::from_target(0.0) };
    estimate.add(Role::Database, probes.met_by("src/decisions/"), no_probes);
    let Some(connections) = estimate.at(E::StatementEngines, Q::Connections, t.databases) else { return };
    add_connections(estimate, &connections.times(1.0 / t.databases));
}

/// Adds connections and handshakes, from the connections that a gateway holds to one database.
fn add_connections(estimate: &mut CapacityEstimate<'_>, per_gateway: &Figure) {
    let t = estimate.target;
    let files = "gateway/src/net/pools.rs";
    let held = entry(Resource::State, Case::Ordinary, "connections of all gateways", "");
    estimate.add(Role::Database, held.met_by(files), per_gateway.times(t.gateways));
    let per_pair = t.statements_per_s / t.pairs();
    // The statements of a gateway at a database are modelled as a Poisson process. Each statement after an idle timeout
    // reopens a connection.
    let reopened = t.gateways * per_pair * (-IDLE_TIMEOUT_S * per_pair).exp() * DAY_S;
    let restarts = t.gateway_restarts_per_day() + t.gateways * t.database_restarts_per_day() / t.databases;
    let handshakes = entry(Resource::Messages, Case::Ordinary, "handshakes", "a day").met_by(files);
    estimate.add(
        Role::Database,
        handshakes,
        per_gateway.times(restarts).plus(&Figure::from_target(reopened)),
    );
    let reconnects =
        entry(Resource::Messages, Case::Worst, "handshakes when it comes back", "at once").met_by(files);
    estimate.add(Role::Database, reconnects, per_gateway.times(t.gateways));
    let zone = entry(
        Resource::Messages,
        Case::Worst,
        "handshakes when the gateways of its zone come back",
        "at once",
    );
    // A gateway connects to the databases of its own zone first.
    let share = per_gateway
        .amount
        .value
        .max((per_gateway.amount.value * t.databases / t.databases_per_zone()).min(1.0));
    let in_zone = per_gateway.times(share / per_gateway.amount.value.max(f64::MIN_POSITIVE));
    estimate.add(Role::Database, zone.met_by(files), in_zone.times(t.gateways_per_zone()));
    let per_s = t.configuration_per_day * t.gateways / DAY_S;
    let description = "handshakes, were each change of configuration a restart";
    let restarts = entry(Resource::Messages, Case::Ordinary, description, "a second")
        .met_by("gateway/src/net/reload.rs");
    estimate.add(Role::Database, restarts, per_gateway.times(per_s));
}
