//! Live reconfiguration: statistics are kept, requests keep the class with which they arrived, and equal
//! settings change no decision.

mod common;

use common::*;
use workload_manager::*;

const UNCHANGED: ClassOrigin = ClassOrigin::Unchanged;

fn change(settings: Settings, origins: &[ClassOrigin]) -> SettingsChange {
    SettingsChange { settings, origins: origins.to_vec() }
}

/// A change of [`settings`] that retires a class and appends a modified copy of it.
fn with_changed(old: ClassId, modify: impl Fn(&mut Class)) -> SettingsChange {
    let mut s = settings();
    let mut origins = vec![UNCHANGED; s.classes.len()];
    let mut class = s.classes[old.0].clone();
    modify(&mut class);
    s.classes.push(class);
    origins[old.0] = ClassOrigin::Retired;
    origins.push(ClassOrigin::DerivedFrom(old));
    change(s, &origins)
}

/// Runs requests of all classes on three engines, some with lost connections. With `reconfigures` set, equal
/// settings are applied in every seventh step. Returns the actions of each step.
fn run(reconfigures: bool) -> Vec<String> {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    let mut log = Vec::new();
    let mut in_flight = Vec::new();
    for n in 0..600_u64 {
        driver.now += 0.013;
        if reconfigures && n % 7 == 0 {
            let origins = vec![UNCHANGED; settings().classes.len()];
            driver.gateway.reconfigure(change(settings(), &origins)).unwrap();
        }
        let class = [INTERACTIVE, BACKGROUND, LOAD][(n % 3) as usize];
        let mut actions = driver.arrive(n + 1, class);
        if n % 5 == 0 {
            actions.extend(driver.control_tick());
        }
        if in_flight.len() > 8 {
            let (id, engine) = in_flight.remove((n % 3) as usize);
            let outcome = if n % 11 == 0 { Outcome::ConnectionLost } else { Outcome::Success };
            actions.extend(driver.attempt_ended(id, 0, engine, outcome, 0.05 + 0.01 * (n % 9) as f64));
        }
        let sent = actions.iter().filter_map(|a| match a {
            Action::Forward { request, engine, .. } => Some((request.0, engine.0)),
            _ => None,
        });
        in_flight.extend(sent);
        log.push(format!("{actions:?}"));
    }
    log
}

#[test]
fn equal_settings_change_no_decision() {
    let (with, without) = (run(true), run(false));
    let first = with.iter().zip(&without).position(|(a, b)| a != b);
    assert_eq!(first, None, "first step with different actions");
}

#[test]
fn a_request_in_flight_keeps_its_idempotency() {
    for (old, retried) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let new =
            if old == Idempotency::Idempotent { Idempotency::NotIdempotent } else { Idempotency::Idempotent };
        let mut s = settings();
        s.classes[BACKGROUND.0].idempotency = old;
        let mut driver = Driver::new(s.clone(), vec![engine(1), engine(2)]);
        let (first, _) = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap();
        let mut changed = with_changed(BACKGROUND, |class| class.idempotency = new);
        changed.settings.classes[BACKGROUND.0].idempotency = old;
        driver.gateway.reconfigure(changed).unwrap();
        let actions = driver.attempt_ended(1, 0, first, Outcome::ConnectionLost, 0.1);
        assert_eq!(!forwards(&actions).is_empty(), retried, "{old:?}");
    }
}

#[test]
fn queued_requests_keep_their_order_when_their_class_is_no_longer_ordered() {
    let mut s = settings();
    s.classes[LOAD.0].ordered_by_key = true;
    let mut driver = Driver::new(s, vec![engine(1), engine(2)]);
    let keyed = |driver: &Driver, id: u64, class: ClassId| {
        Event::RequestArrived(Request { class, key: Some(KeyId(9)), ..driver.request(id, LOAD) })
    };
    let first = keyed(&driver, 1, LOAD);
    let (engine, _) = forwarded_to(&driver.event(&first)).unwrap();
    let second = keyed(&driver, 2, LOAD);
    assert!(forwards(&driver.event(&second)).is_empty());
    let mut changed = with_changed(LOAD, |class| class.ordered_by_key = false);
    changed.settings.classes[LOAD.0].ordered_by_key = true;
    driver.gateway.reconfigure(changed).unwrap();
    driver.now += 0.05;
    assert!(
        forwards(&driver.control_tick()).is_empty(),
        "the second request of the key was forwarded while the first was in flight"
    );
    let new = ClassId(settings().classes.len());
    let third = Event::RequestArrived(Request { class: new, ..driver.request(3, LOAD) });
    assert!(
        !forwards(&driver.event(&third)).is_empty(),
        "a request of the new class, without a key, was queued"
    );
    assert!(!forwards(&driver.attempt_ended(1, 0, engine, Outcome::Success, 0.1)).is_empty());
}

#[test]
fn engines_and_threads_stay_counted_when_a_class_becomes_interactive() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    let (on, _) = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap();
    let before = driver.gateway.engines_known();
    // With the lightest class retired, the class of the attempt becomes interactive.
    let mut s = settings();
    s.classes[BACKGROUND.0].threads = settings().classes[INTERACTIVE.0].threads;
    let mut origins = vec![UNCHANGED; s.classes.len()];
    origins[INTERACTIVE.0] = ClassOrigin::Retired;
    driver.gateway.reconfigure(change(settings(), &origins)).unwrap();
    assert_eq!(driver.gateway.engines_known(), before);
    driver.attempt_ended(1, 0, on, Outcome::Success, 0.1);
    // The state of a removed engine is dropped only when no thread is counted there.
    driver.endpoint_list(
        EndpointListMode::Delta,
        vec![EndpointEntry { state: EndpointState::Removed, ..engine(1) }],
    );
    assert_eq!(driver.gateway.engines_known(), 0);
}

#[test]
fn an_invalid_change_is_rejected_without_effect() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    let all = vec![UNCHANGED; settings().classes.len()];
    let mut bad = settings();
    bad.classes[0].deadline = -1.0;
    let mut fewer = settings();
    fewer.classes.pop();
    let mut more = settings();
    more.classes.push(more.classes[0].clone());
    let unknown = [&all[..], &[ClassOrigin::DerivedFrom(ClassId(99))]].concat();
    for (settings, origins) in [
        (bad, &all[..]),
        (fewer.clone(), &all[..]),
        (fewer, &all[1..]),
        (more.clone(), &all[..]),
        (more, &unknown[..]),
    ] {
        assert!(driver.gateway.reconfigure(change(settings, origins)).is_err());
    }
    assert!(forwarded_to(&driver.arrive(1, INTERACTIVE)).is_some());
}

#[test]
fn a_class_derived_from_another_starts_with_its_profile() {
    // Requests of a class with a high latency are shed earlier than those of a class without statistics.
    let steps_until_shed = |origin: ClassOrigin| {
        let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
        for id in 1..=60 {
            let actions = driver.arrive(id, INTERACTIVE);
            let Some((on, _)) = forwarded_to(&actions) else { continue };
            driver.now += 0.05;
            driver.attempt_ended(id, 0, on, Outcome::Success, 2.0);
        }
        let mut changed = with_changed(INTERACTIVE, |class| class.deadline = 3.0);
        *changed.origins.last_mut().unwrap() = origin;
        driver.gateway.reconfigure(changed).unwrap();
        let both = [engine(1), engine(2)].map(|e| EndpointEntry { state: EndpointState::Draining, ..e });
        driver.endpoint_list(EndpointListMode::Delta, both.to_vec());
        let class = ClassId(settings().classes.len());
        let request = Request { class, ..driver.request(100, INTERACTIVE) };
        driver.event(&Event::RequestArrived(request));
        let mut steps = 0;
        while final_answers(&driver.control_tick()).is_empty() {
            (driver.now, steps) = (driver.now + 0.01, steps + 1);
            assert!(steps < 1000);
        }
        steps
    };
    let (derived, new) =
        (steps_until_shed(ClassOrigin::DerivedFrom(INTERACTIVE)), steps_until_shed(ClassOrigin::New));
    assert!(derived < new, "shed after {derived} steps if derived, after {new} if new");
}

/// Sends `n` requests of a class, with ids from `first`. Returns the number of those forwarded at once.
fn count_forwarded(driver: &mut Driver, first: u64, n: u64, class: ClassId) -> usize {
    (first..first + n).map(|id| forwards(&driver.arrive(id, class)).len()).sum()
}

#[test]
fn threads_counted_as_background_work_are_released_as_background_work() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    let (on, _) = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap();
    // With the first class retired, the second one is interactive.
    let origins = [ClassOrigin::Retired, UNCHANGED, UNCHANGED];
    driver.gateway.reconfigure(change(single_thread_loads(), &origins)).unwrap();
    driver.now += 0.1;
    driver.attempt_ended(1, 0, on, Outcome::Success, 0.1);
    // The token bucket has no debt any more.
    driver.now += 5.0;
    driver.control_tick();
    // The initial limit: half of eight cores.
    assert_eq!(count_forwarded(&mut driver, 10, 30, LOAD), 4);
}

#[test]
fn a_retired_class_no_longer_decides_which_classes_are_interactive() {
    let sent = |origins: &[ClassOrigin]| {
        let mut driver = Driver::new(settings(), vec![engine(1)]);
        driver.gateway.reconfigure(change(settings(), origins)).unwrap();
        count_forwarded(&mut driver, 1, 30, BACKGROUND)
    };
    // The class is background work next to a lighter class, and interactive as the lightest one.
    assert!(sent(&[ClassOrigin::Retired, UNCHANGED, UNCHANGED]) > sent(&[UNCHANGED; 3]));
}

#[test]
fn a_larger_share_of_the_engines_is_used_immediately() {
    let sent = |more: bool| {
        let mut driver = Driver::new(Settings { gateways: 8, ..single_thread_loads() }, vec![engine(1)]);
        if more {
            driver
                .gateway
                .reconfigure(change(Settings { gateways: 1, ..single_thread_loads() }, &[UNCHANGED; 3]))
                .unwrap();
        }
        count_forwarded(&mut driver, 1, 30, LOAD)
    };
    assert!(sent(true) > sent(false));
}

#[test]
fn the_memory_of_engines_follows_the_new_settings() {
    let sent = |memory_mb: f64| {
        let mut s = single_thread_loads();
        s.machine_types[0].memory_mb = 100_000.0;
        let mut driver = Driver::new(s.clone(), vec![engine(1)]);
        s.machine_types[0].memory_mb = memory_mb;
        driver.gateway.reconfigure(change(s, &[UNCHANGED; 3])).unwrap();
        let needs = |id| {
            let request = Request { estimated_memory_mb: Some(600.0), ..driver.request(id, LOAD) };
            Event::RequestArrived(request)
        };
        let events: Vec<Event> = (1..=6).map(needs).collect();
        events.iter().map(|event| forwards(&driver.event(event)).len()).sum::<usize>()
    };
    assert!(sent(1_000.0) < sent(100_000.0));
}
