//! Needs of a control machine at the target size. The programs that run on it are not in this repository. Therefore
//! only the load that gateways cause is calculated, and not the processor time that it costs.

use super::super::experiment::{Experiment as E, Quantity as Q};
use super::super::stand_ins::COMMENT;
use super::{CapacityEstimate, Case, DAY_S, Entry, Figure, Resource, Role, entry, list_events_per_day};

/// Returns the number of control machines that remain after the loss of one of `parts` zones or regions of equal size,
/// at least 1.
pub fn remaining(machines: f64, parts: f64) -> f64 {
    (machines - (machines / parts).ceil()).max(1.0)
}

/// Mechanism printed on the page for needs that the coordinator meets.
const COORDINATOR: &str = "the operators' coordinator, not in this repository";

/// Adds the needs of a control machine.
pub fn add_needs(estimate: &mut CapacityEstimate<'_>) {
    let t = estimate.target;
    let cases = [
        (Case::Ordinary, t.control_machines, String::new()),
        (Case::Worst, remaining(t.control_machines, t.zones), ", those of a zone gone".to_owned()),
        (Case::Worst, remaining(t.control_machines, t.regions), ", those of a region gone".to_owned()),
    ];
    for (case, machines, suffix) in cases {
        let streams = (t.gateways / machines).ceil();
        let need = |resource, description: &str, unit| -> Entry {
            entry(resource, case, format!("{description}{suffix}"), unit).met_by(COORDINATOR)
        };
        estimate.add(Role::Control, need(Resource::State, "streams", ""), Figure::from_target(streams));
        if let Some(event) = estimate.at(E::ChangeEngines, Q::StreamBytes, t.databases) {
            let changes = event.times(streams * list_events_per_day(t) / DAY_S);
            let all = changes.plus(&Figure::from_target(streams * COMMENT.len() as f64));
            estimate.add(Role::Control, need(Resource::Messages, "bytes out for the list", "bytes/s"), all);
        }
        if let Some(list) = estimate.at(E::ListEngines, Q::StreamBytes, t.databases) {
            let description = "a whole list to each gateway that comes back";
            estimate.add(
                Role::Control,
                need(Resource::Messages, description, "bytes at once"),
                list.times(streams),
            );
        }
    }
    if let Some(list) = estimate.at(E::ListEngines, Q::StreamBytes, t.databases) {
        let kept = entry(Resource::Memory, Case::Ordinary, "the list, as text", "bytes").met_by(COORDINATOR);
        estimate.add(Role::Control, kept, list);
    }
    let description = "processor time for a change and for a watcher that comes back";
    let missing = entry(Resource::Processor, Case::Ordinary, description, "machines");
    let fallback = "no program for control machines is ours, so that nothing can be measured";
    estimate.add(
        Role::Control,
        missing.without_mechanism(fallback.to_owned(), None),
        Figure::from_target(t.control_machines),
    );
}
