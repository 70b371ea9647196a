use super::*;

fn listed(name: &str, state: EndpointState, since_ms: u64) -> Endpoint {
    let address = ([127, 0, 0, 1], 1).into();
    Endpoint { name: name.into(), address, zone: "z".into(), kind: "k".into(), cell: 0, state, since_ms }
}

fn event(full: bool, entries: &[(&str, EndpointState, u64)]) -> EndpointListEvent {
    let entries = entries.iter().map(|(n, s, ms)| listed(n, *s, *ms)).collect();
    EndpointListEvent { index: 1, full, entries, unread: Vec::new() }
}

fn seen(event: Option<EndpointListEvent>) -> Vec<(EndpointState, u64)> {
    event.into_iter().flat_map(|e| e.entries).map(|l| (l.state, l.since_ms)).collect()
}

use EndpointState::{Draining, Ready, Removed};

#[test]
fn who_is_out_drains_whatever_the_list_says_until_one_call_back() {
    let mut registry = EngineRegistry::new(1 << 20);
    registry.apply(&event(true, &[("a", Ready, 0), ("b", Ready, 5)]));
    assert_eq!(registry.enter("c"), Err(NeverListed));
    assert_eq!(seen(registry.enter("a").unwrap()), [(Draining, 0)]);
    assert_eq!(registry.enter("a").unwrap(), None, "again");
    assert_eq!(seen(Some(registry.apply(&event(false, &[("a", Ready, 7)])))), [(Draining, 7)]);
    assert_eq!(
        seen(Some(registry.apply(&event(true, &[("a", Ready, 7), ("b", Ready, 5)])))),
        [(Draining, 7), (Ready, 5)]
    );
    // It leaves, and comes back under its name.
    assert_eq!(seen(Some(registry.apply(&event(false, &[("a", Removed, 7)])))), [(Removed, 7)]);
    assert_eq!(registry.known(), 1);
    assert_eq!(seen(Some(registry.apply(&event(false, &[("a", Ready, 9)])))), [(Draining, 9)]);
    assert_eq!(seen(registry.exit("a", 100).unwrap()), [(Ready, 100)], "cold from now on");
    assert_eq!(registry.exit("a", 200).unwrap(), None, "again");
    assert_eq!(seen(Some(registry.apply(&event(false, &[("a", Ready, 9)])))), [(Ready, 100)], "cold still");
    assert_eq!(seen(Some(registry.apply(&event(false, &[("a", Ready, 300)])))), [(Ready, 300)]);
}

#[test]
fn an_engine_whose_entry_can_t_be_read_drains_until_one_can() {
    let unread =
        |name: &str| crate::config::UnreadableEntry { name: Some(name.into()), why: "no state".into() };
    let mut registry = EngineRegistry::new(1 << 20);
    registry.apply(&event(true, &[("a", Ready, 3), ("b", Ready, 5)]));
    for full in [false, true] {
        let spoilt =
            EndpointListEvent { unread: vec![unread("b"), unread("c")], ..event(full, &[("a", Ready, 3)]) };
        assert_eq!(seen(Some(registry.apply(&spoilt))), [(Draining, 5), (Ready, 3)], "full: {full}");
        assert_eq!(registry.known(), 2, "c was never listed");
    }
    assert_eq!(seen(Some(registry.apply(&event(false, &[("b", Ready, 5)])))), [(Ready, 5)]);
    // Twice in one event, the one that can be read counts.
    let twice = EndpointListEvent { unread: vec![unread("b")], ..event(false, &[("b", Ready, 5)]) };
    assert_eq!(seen(Some(registry.apply(&twice))).last(), Some(&(Ready, 5)));
}

#[test]
fn names_are_bounded_and_bans_are_not_forgotten() {
    let mut registry = EngineRegistry::new(0);
    let names: Vec<String> = (0..1100).map(|n| format!("banned-{n}")).collect();
    for name in &names {
        registry.remember(name);
        assert!(registry.enter(name).is_ok());
    }
    for n in 0..10_000 {
        registry.remember(&format!("later-{n}"));
    }
    assert!(names.iter().all(|n| registry.enter(n).is_ok()), "out of sight, still out");
    assert_eq!(registry.out().count(), 1100);
    assert!(registry.names().count() <= LEAST_NAMES);
    assert!(registry.enter("later-1").is_err());
}
