use super::*;
use crate::discovery::UnreadableEntry;

fn endpoint(name: &str, state: EndpointState, started_ms: u64) -> Endpoint {
    let address = ([127, 0, 0, 1], 1).into();
    let (name, zone, machine_type) = (name.into(), "z".into(), "k".into());
    Endpoint { name, address, zone, machine_type, cell: 0, state, started_ms }
}

fn event(is_full: bool, entries: &[(&str, EndpointState, u64)]) -> EndpointListEvent {
    let entries = entries.iter().map(|(n, s, ms)| endpoint(n, *s, *ms)).collect();
    EndpointListEvent { index: 1, is_full, entries, unreadable: Vec::new() }
}

fn states(event: Option<EndpointListEvent>) -> Vec<(EndpointState, u64)> {
    event.into_iter().flat_map(|e| e.entries).map(|e| (e.state, e.started_ms)).collect()
}

use EndpointState::{Draining, Ready, Removed};

#[test]
fn an_engine_in_maintenance_drains_until_maintenance_ends() {
    let mut registry = EngineRegistry::new(1 << 20);
    registry.apply(&event(true, &[("a", Ready, 0), ("b", Ready, 5)]));
    assert_eq!(registry.begin_maintenance("c"), Err(UnknownEngine));
    assert_eq!(states(registry.begin_maintenance("a").unwrap()), [(Draining, 0)]);
    assert_eq!(registry.begin_maintenance("a").unwrap(), None, "again");
    assert_eq!(states(Some(registry.apply(&event(false, &[("a", Ready, 7)])))), [(Draining, 7)]);
    assert_eq!(
        states(Some(registry.apply(&event(true, &[("a", Ready, 7), ("b", Ready, 5)])))),
        [(Draining, 7), (Ready, 5)]
    );
    // The engine is removed and listed again under the same name.
    assert_eq!(states(Some(registry.apply(&event(false, &[("a", Removed, 7)])))), [(Removed, 7)]);
    assert_eq!(registry.endpoint_count(), 1);
    assert_eq!(states(Some(registry.apply(&event(false, &[("a", Ready, 9)])))), [(Draining, 9)]);
    assert_eq!(
        states(registry.end_maintenance("a", 100).unwrap()),
        [(Ready, 100)],
        "started at the end of maintenance"
    );
    assert_eq!(registry.end_maintenance("a", 200).unwrap(), None, "again");
    assert_eq!(
        states(Some(registry.apply(&event(false, &[("a", Ready, 9)])))),
        [(Ready, 100)],
        "the end of maintenance still counts as the start"
    );
    assert_eq!(states(Some(registry.apply(&event(false, &[("a", Ready, 300)])))), [(Ready, 300)]);
}

#[test]
fn an_engine_with_an_unreadable_entry_drains_until_a_readable_one() {
    let unreadable = |name: &str| UnreadableEntry { name: Some(name.into()), error: "no state".into() };
    let mut registry = EngineRegistry::new(1 << 20);
    registry.apply(&event(true, &[("a", Ready, 3), ("b", Ready, 5)]));
    for is_full in [false, true] {
        let with_unreadable = EndpointListEvent {
            unreadable: vec![unreadable("b"), unreadable("c")],
            ..event(is_full, &[("a", Ready, 3)])
        };
        assert_eq!(
            states(Some(registry.apply(&with_unreadable))),
            [(Draining, 5), (Ready, 3)],
            "is_full: {is_full}"
        );
        assert_eq!(registry.endpoint_count(), 2, "c was never listed");
    }
    assert_eq!(states(Some(registry.apply(&event(false, &[("b", Ready, 5)])))), [(Ready, 5)]);
    // With a readable and an unreadable entry in one event, the readable one applies.
    let both = EndpointListEvent { unreadable: vec![unreadable("b")], ..event(false, &[("b", Ready, 5)]) };
    assert_eq!(states(Some(registry.apply(&both))).last(), Some(&(Ready, 5)));
}

#[test]
fn known_names_are_bounded_and_names_in_maintenance_are_not_evicted() {
    let mut registry = EngineRegistry::new(0);
    let names: Vec<String> = (0..1100).map(|n| format!("in-maintenance-{n}")).collect();
    for name in &names {
        registry.remember(name);
        assert!(registry.begin_maintenance(name).is_ok());
    }
    for n in 0..10_000 {
        registry.remember(&format!("later-{n}"));
    }
    assert!(names.iter().all(|n| registry.begin_maintenance(n).is_ok()), "evicted while in maintenance");
    assert_eq!(registry.in_maintenance().count(), 1100);
    assert!(registry.known_names().count() <= MIN_KNOWN_NAMES);
    assert!(registry.begin_maintenance("later-1").is_err());
}
