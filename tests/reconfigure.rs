//! Other settings in service: what was learned stays, requests keep the rules of the class that they came with, and
//! what changes nothing changes no decision.

mod common;

use common::*;
use workload_manager::*;

const KEPT: ClassOrigin = ClassOrigin::Unchanged;

fn change(settings: Settings, origins: &[ClassOrigin]) -> SettingsChange {
    SettingsChange { settings, origins: origins.to_vec() }
}

/// Settings with another class at the end, and the class of this id no longer in force.
fn with_changed(of: ClassId, to: impl Fn(&mut Class)) -> SettingsChange {
    let mut s = settings();
    let mut origins = vec![KEPT; s.classes.len()];
    let mut class = s.classes[of.0].clone();
    to(&mut class);
    s.classes.push(class);
    origins[of.0] = ClassOrigin::Retired;
    origins.push(ClassOrigin::DerivedFrom(of));
    change(s, &origins)
}

/// A day in little: requests of all classes on three engines, some of them slow or lost, and looks between.
fn play(reconfigures: bool) -> Vec<String> {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2), engine(3)]);
    let mut log = Vec::new();
    let mut out = Vec::new();
    for n in 0..600_u64 {
        drive.now += 0.013;
        if reconfigures && n % 7 == 0 {
            let origins = vec![KEPT; settings().classes.len()];
            drive.gateway.reconfigure(change(settings(), &origins)).unwrap();
        }
        let class = [LOOKUP, REPORT, LOAD][(n % 3) as usize];
        let mut actions = drive.arrive(n + 1, class);
        if n % 5 == 0 {
            actions.extend(drive.look());
        }
        if out.len() > 8 {
            let (id, engine) = out.remove((n % 3) as usize);
            let outcome = if n % 11 == 0 { Outcome::ConnectionLost } else { Outcome::Success };
            actions.extend(drive.ended(id, 0, engine, outcome, 0.05 + 0.01 * (n % 9) as f64));
        }
        let sent = actions.iter().filter_map(|a| match a {
            Action::Forward { request, engine, .. } => Some((request.0, engine.0)),
            _ => None,
        });
        out.extend(sent);
        log.push(format!("{actions:?}"));
    }
    log
}

#[test]
fn settings_that_are_the_same_change_no_decision() {
    let (with, without) = (play(true), play(false));
    let first = with.iter().zip(&without).position(|(a, b)| a != b);
    assert_eq!(first, None, "the first step that differs");
}

#[test]
fn a_request_in_flight_keeps_the_effect_that_it_came_with() {
    for (old, again) in [(Idempotency::Idempotent, true), (Idempotency::NotIdempotent, false)] {
        let new =
            if old == Idempotency::Idempotent { Idempotency::NotIdempotent } else { Idempotency::Idempotent };
        let mut s = settings();
        s.classes[REPORT.0].idempotency = old;
        let mut drive = Drive::new(s.clone(), vec![engine(1), engine(2)]);
        let (first, _) = sent_to(&drive.arrive(1, REPORT)).unwrap();
        let mut changed = with_changed(REPORT, |class| class.idempotency = new);
        changed.settings.classes[REPORT.0].idempotency = old;
        drive.gateway.reconfigure(changed).unwrap();
        let actions = drive.ended(1, 0, first, Outcome::ConnectionLost, 0.1);
        assert_eq!(!sends(&actions).is_empty(), again, "{old:?}");
    }
}

#[test]
fn requests_that_wait_in_order_do_so_when_their_class_orders_no_longer() {
    let mut s = settings();
    s.classes[LOAD.0].ordered_by_key = true;
    let mut drive = Drive::new(s, vec![engine(1), engine(2)]);
    let keyed = |drive: &Drive, id: u64, class: ClassId| {
        Event::RequestArrived(Request { class, key: Some(KeyId(9)), ..drive.request(id, LOAD) })
    };
    let first = keyed(&drive, 1, LOAD);
    let (engine, _) = sent_to(&drive.event(&first)).unwrap();
    let second = keyed(&drive, 2, LOAD);
    assert!(sends(&drive.event(&second)).is_empty());
    let mut changed = with_changed(LOAD, |class| class.ordered_by_key = false);
    changed.settings.classes[LOAD.0].ordered_by_key = true;
    drive.gateway.reconfigure(changed).unwrap();
    drive.now += 0.05;
    assert!(sends(&drive.look()).is_empty(), "the second waits for the first");
    let new = ClassId(settings().classes.len());
    let third = Event::RequestArrived(Request { class: new, ..drive.request(3, LOAD) });
    assert!(!sends(&drive.event(&third)).is_empty(), "a new one takes no turn");
    assert!(!sends(&drive.ended(1, 0, engine, Outcome::Success, 0.1)).is_empty());
}

#[test]
fn engines_and_threads_are_counted_on_when_a_class_becomes_a_dashboard() {
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    let (on, _) = sent_to(&drive.arrive(1, REPORT)).unwrap();
    let before = drive.gateway.engines_known();
    // Without the class that was the lightest, others are the dashboards.
    let mut s = settings();
    s.classes[REPORT.0].threads = settings().classes[LOOKUP.0].threads;
    let mut origins = vec![KEPT; s.classes.len()];
    origins[LOOKUP.0] = ClassOrigin::Retired;
    drive.gateway.reconfigure(change(settings(), &origins)).unwrap();
    assert_eq!(drive.gateway.engines_known(), before);
    drive.ended(1, 0, on, Outcome::Success, 0.1);
    // An engine that has gone is forgotten only once no thread is counted there.
    drive.list(EndpointListMode::Delta, vec![EndpointEntry { state: EndpointState::Removed, ..engine(1) }]);
    assert_eq!(drive.gateway.engines_known(), 0);
}

#[test]
fn a_change_that_does_not_fit_is_refused_and_changes_nothing() {
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    let all = vec![KEPT; settings().classes.len()];
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
        assert!(drive.gateway.reconfigure(change(settings, origins)).is_err());
    }
    assert!(sent_to(&drive.arrive(1, LOOKUP)).is_some());
}

#[test]
fn a_class_that_follows_another_starts_with_what_was_learned_of_it() {
    // Requests of a class that was seen to take long are given up earlier than those of one that is new.
    let learned = |origin: ClassOrigin| {
        let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
        for id in 1..=60 {
            let actions = drive.arrive(id, LOOKUP);
            let Some((on, _)) = sent_to(&actions) else { continue };
            drive.now += 0.05;
            drive.ended(id, 0, on, Outcome::Success, 2.0);
        }
        let mut changed = with_changed(LOOKUP, |class| class.deadline = 3.0);
        *changed.origins.last_mut().unwrap() = origin;
        drive.gateway.reconfigure(changed).unwrap();
        let both = [engine(1), engine(2)].map(|e| EndpointEntry { state: EndpointState::Draining, ..e });
        drive.list(EndpointListMode::Delta, both.to_vec());
        let class = ClassId(settings().classes.len());
        let request = Request { class, ..drive.request(100, LOOKUP) };
        drive.event(&Event::RequestArrived(request));
        let mut steps = 0;
        while answers(&drive.look()).is_empty() {
            (drive.now, steps) = (drive.now + 0.01, steps + 1);
            assert!(steps < 1000);
        }
        steps
    };
    let (follows, new) = (learned(ClassOrigin::DerivedFrom(LOOKUP)), learned(ClassOrigin::New));
    assert!(follows < new, "{follows} {new}");
}

/// Asks `n` requests of a class and tells how many are sent at once.
fn sent_at_once(drive: &mut Drive, first: u64, n: u64, class: ClassId) -> usize {
    (first..first + n).map(|id| sends(&drive.arrive(id, class)).len()).sum()
}

#[test]
fn threads_that_were_counted_as_secondary_are_taken_off_as_such() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    let (on, _) = sent_to(&drive.arrive(1, REPORT)).unwrap();
    // Without the class of lookups, reports are the dashboards.
    let origins = [ClassOrigin::Retired, KEPT, KEPT];
    drive.gateway.reconfigure(change(thin(), &origins)).unwrap();
    drive.now += 0.1;
    drive.ended(1, 0, on, Outcome::Success, 0.1);
    // What it has cost beyond its share is forgotten by then.
    drive.now += 5.0;
    drive.look();
    // The threshold at its start: two gateways, eight cores.
    assert_eq!(sent_at_once(&mut drive, 10, 30, LOAD), 4);
}

#[test]
fn a_retired_class_says_no_longer_which_classes_are_dashboards() {
    let sent = |origins: &[ClassOrigin]| {
        let mut drive = Drive::new(settings(), vec![engine(1)]);
        drive.gateway.reconfigure(change(settings(), origins)).unwrap();
        sent_at_once(&mut drive, 1, 30, REPORT)
    };
    // What waits as secondary work while there are lighter classes leaves at once where it is the lightest.
    assert!(sent(&[ClassOrigin::Retired, KEPT, KEPT]) > sent(&[KEPT; 3]));
}

#[test]
fn a_larger_share_of_engines_is_used_at_once() {
    let sent = |more: bool| {
        let mut drive = Drive::new(Settings { gateways: 8, ..thin() }, vec![engine(1)]);
        if more {
            drive.gateway.reconfigure(change(Settings { gateways: 1, ..thin() }, &[KEPT; 3])).unwrap();
        }
        sent_at_once(&mut drive, 1, 30, LOAD)
    };
    assert!(sent(true) > sent(false));
}

#[test]
fn the_memory_of_engines_is_that_of_the_new_settings() {
    let sent = |memory_mb: f64| {
        let mut s = thin();
        s.machine_types[0].memory_mb = 100_000.0;
        let mut drive = Drive::new(s.clone(), vec![engine(1)]);
        s.machine_types[0].memory_mb = memory_mb;
        drive.gateway.reconfigure(change(s, &[KEPT; 3])).unwrap();
        let needs = |id| {
            let request = Request { estimated_memory_mb: Some(600.0), ..drive.request(id, LOAD) };
            Event::RequestArrived(request)
        };
        let events: Vec<Event> = (1..=6).map(needs).collect();
        events.iter().map(|event| sends(&drive.event(event)).len()).sum::<usize>()
    };
    assert!(sent(1_000.0) < sent(100_000.0));
}
