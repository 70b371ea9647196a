//! Rules for every attempt and final answer, and the rejection of invalid settings.

mod common;

use common::*;
use workload_manager::*;

/// With equal Retry-After values all clients would retry at the same time.
#[test]
fn retry_after_is_spread() {
    let mut driver = Driver::new(settings(), vec![]);
    for id in 0..8 {
        driver.arrive(id, INTERACTIVE);
    }
    driver.now += 1.0;
    let wait = |a: &Action| if let Action::Reject { retry_after, .. } = a { *retry_after } else { None };
    let waits: Vec<f64> = driver.control_tick().iter().filter_map(wait).collect();
    assert_eq!(waits.len(), 8);
    assert!(
        waits.iter().all(|w| (0.5..=1.0).contains(w)) && waits.iter().any(|w| *w != waits[0]),
        "{waits:?}"
    );
}

/// A failed poll must not be repeated at once, or it would add load to the discovery service.
#[test]
fn a_failed_poll_of_the_endpoint_list_is_repeated_later() {
    let mut s = settings();
    s.capabilities.polls_endpoint_list = true;
    let mut driver = Driver::new(s, vec![]);
    let actions = driver.endpoint_list(EndpointListMode::Failed, vec![]);
    assert!(!actions.contains(&Action::WatchEndpointList));
    let token =
        actions.iter().find_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None });
    assert!(driver.event(&Event::Timer(token.unwrap())).contains(&Action::WatchEndpointList));
}

#[test]
fn invalid_settings_are_rejected_with_a_typed_error() {
    let none = Settings { classes: vec![], ..settings() };
    assert_eq!(WorkloadManager::new(none, 1).err(), Some(SettingsError::NoClasses));
    assert_eq!(
        WorkloadManager::new(Settings { gateways: 0, ..settings() }, 1).err(),
        Some(SettingsError::NoGateways)
    );
    let mut negative = settings();
    negative.classes[1].deadline = -1.0;
    let error = WorkloadManager::new(negative, 1).err().unwrap();
    assert_eq!(error.to_string(), "deadline of class 1 is -1, which is negative or not a number");
}

/// Settings as in [`settings`], but with an idempotency key for the class [`BACKGROUND`].
fn keyed(key_scope: IdempotencyScope) -> Settings {
    let mut s = settings();
    s.classes[1].idempotency = Idempotency::Keyed { scope: key_scope, window: 5.0 };
    s
}

#[test]
fn a_queued_request_is_answered_by_its_deadline() {
    let mut driver = Driver::new(settings(), vec![]);
    let mut request = driver.request(1, BACKGROUND);
    request.deadline = driver.now + 0.5;
    let actions = driver.event(&Event::RequestArrived(request));
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { delay, token, .. } if *token != 0 => Some((*delay, *token)),
        _ => None,
    });
    let (delay, token) = timer.expect("the arrival sets a timer for the deadline");
    assert!(delay <= 0.5);
    driver.now += delay;
    assert_eq!(final_answers(&driver.event(&Event::Timer(token))), vec![(1, true)]);
    assert!(final_answers(&driver.event(&Event::Timer(token))).is_empty(), "two final answers");
}

#[test]
fn a_request_queued_too_long_is_rejected_with_retry_after() {
    let mut driver = Driver::new(settings(), vec![]);
    driver.arrive(1, INTERACTIVE);
    driver.now += 1.0;
    let actions = driver.control_tick();
    let with_retry_after =
        |a: &Action| matches!(a, Action::Reject { request: RequestId(1), retry_after: Some(w) } if *w <= 1.0);
    assert!(actions.iter().any(with_retry_after), "{actions:?}");
}

#[test]
fn requests_that_are_not_idempotent_are_retried_only_if_known_not_to_have_run() {
    for (outcome, retried) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::ConnectionLost, false),
        (Outcome::Error, false),
    ] {
        let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
        let (first, timeout) = forwarded_to(&driver.arrive(1, LOAD)).unwrap();
        assert_eq!(timeout, None);
        let actions = driver.attempt_ended(1, 0, first, outcome, 0.1);
        assert_eq!(!forwards(&actions).is_empty(), retried, "{outcome:?}");
        assert_eq!(final_answers(&actions), if retried { vec![] } else { vec![(1, false)] }, "{outcome:?}");
    }
}

#[test]
fn retries_of_keyed_requests_stay_in_their_scope_and_window() {
    let other_zone = EndpointEntry { zone: ZoneId(1), ..engine(2) };
    for key_scope in [IdempotencyScope::All, IdempotencyScope::Zone] {
        let mut driver = Driver::new(keyed(key_scope), vec![engine(1), other_zone.clone()]);
        let (first, _) = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap();
        // The engine of the first attempt drains, which leaves only the engine in the other zone.
        let draining = EndpointEntry {
            state: EndpointState::Draining,
            ..if first == 1 { engine(1) } else { other_zone.clone() }
        };
        driver.endpoint_list(EndpointListMode::Delta, vec![draining]);
        let actions = driver.attempt_ended(1, 0, first, Outcome::ConnectionLost, 0.1);
        assert_eq!(
            forwards(&actions).len(),
            usize::from(key_scope == IdempotencyScope::All),
            "{key_scope:?}"
        );
    }
    let mut driver = Driver::new(keyed(IdempotencyScope::All), vec![engine(1)]);
    driver.arrive(1, BACKGROUND);
    driver.now += 5.0;
    let actions = driver.attempt_ended(1, 0, 1, Outcome::ConnectionLost, 5.0);
    assert!(forwards(&actions).is_empty(), "retried after the idempotency window");
    assert_eq!(
        final_answers(&actions),
        vec![(1, true)],
        "all engines deduplicate by the key, so a retry by the client is safe"
    );
}

#[test]
fn no_attempt_goes_to_a_draining_or_removed_engine() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut driver = Driver::new(settings(), vec![engine(1)]);
        driver.endpoint_list(EndpointListMode::Delta, vec![EndpointEntry { state, ..engine(1) }]);
        assert!(forwards(&driver.arrive(1, INTERACTIVE)).is_empty());
    }
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    driver.endpoint_list(EndpointListMode::Full, vec![engine(2)]);
    assert_eq!(
        forwards(&driver.arrive(1, INTERACTIVE)),
        vec![(1, 2)],
        "an engine absent from a full list counts as removed"
    );
}

#[test]
fn a_warming_engine_gets_less_work_than_makes_it_collapse() {
    let mut s = settings();
    s.gateways = 1;
    let mut driver = Driver::new(s, vec![]);
    let warming = EndpointEntry { started_at: Some(driver.now), ..engine(1) };
    driver.endpoint_list(EndpointListMode::Delta, vec![warming]);
    // The engine starts with 0.3 of 8 cores and collapses under twice that for 2 s, which is 9.6 s of work.
    // Each request is served at once, so that only the slow-start budget limits their number.
    let mut sent = 0;
    for id in 1..100 {
        if forwarded_to(&driver.arrive(id, INTERACTIVE)).is_some() {
            sent += 1;
            driver.attempt_ended(id, 0, 1, Outcome::Success, 0.01);
        }
    }
    assert!((1..=9).contains(&sent), "{sent} requests, each counted as one second of work");
    driver.now += 11.0;
    driver.control_tick();
    for id in 100..150 {
        assert!(forwarded_to(&driver.arrive(id, INTERACTIVE)).is_some(), "the engine is warm");
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.01);
    }
}

#[test]
fn requests_of_one_key_run_in_order_with_a_cooldown_after_a_timeout() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    let mut sent = Vec::new();
    for id in 1..=3 {
        let mut request = driver.request(id, LOAD);
        request.key = Some(KeyId(5));
        sent.extend(forwards(&driver.event(&Event::RequestArrived(request))));
    }
    assert_eq!(sent.len(), 1, "requests of one key in flight at once");
    let first = sent[0].1;
    let next = forwards(&driver.attempt_ended(1, 0, first, Outcome::Success, 0.5));
    assert_eq!(next.iter().map(|s| s.0).collect::<Vec<_>>(), vec![2]);
    assert_eq!(
        final_answers(&driver.attempt_ended(2, 0, next[0].1, Outcome::TimedOut, 0.5)),
        vec![(2, false)]
    );
    driver.now += 0.29;
    assert!(forwards(&driver.control_tick()).is_empty(), "forwarded during the cooldown of the key");
    driver.now += 0.02;
    assert_eq!(forwards(&driver.control_tick()).len(), 1);
}

#[test]
fn the_cooldown_of_a_key_starts_when_a_lost_attempt_can_no_longer_run() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    let mut sent = Vec::new();
    for id in 1..=2 {
        let mut request = driver.request(id, LOAD);
        request.key = Some(KeyId(5));
        sent.extend(forwards(&driver.event(&Event::RequestArrived(request))));
    }
    let lost = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        engine: EngineId(sent[0].1),
        outcome: Outcome::TimedOut,
        elapsed: 0.5,
        request_settled: true,
        may_still_run_for: 0.4,
        cost: None,
        load_report: None,
    };
    assert!(forwards(&driver.event(&lost)).is_empty());
    driver.now += 0.69;
    assert!(
        forwards(&driver.control_tick()).is_empty(),
        "forwarded while the lost attempt may run, or during the cooldown"
    );
    driver.now += 0.02;
    assert_eq!(forwards(&driver.control_tick()).iter().map(|s| s.0).collect::<Vec<_>>(), vec![2]);
}

#[test]
fn a_key_stays_blocked_while_an_attempt_of_an_aborted_request_is_in_flight() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    for id in 1..=2 {
        let mut request = driver.request(id, LOAD);
        request.key = Some(KeyId(5));
        driver.event(&Event::RequestArrived(request));
    }
    assert!(forwards(&driver.event(&Event::RequestAborted(RequestId(1)))).is_empty());
}

#[test]
fn a_class_runs_only_in_its_allowed_zones() {
    let mut s = settings();
    s.classes[0].allowed_zones = Some(vec![ZoneId(3)]);
    let mut driver = Driver::new(s, vec![engine(1)]);
    assert!(forwards(&driver.arrive(1, INTERACTIVE)).is_empty());
    let other_zone = EndpointEntry { zone: ZoneId(3), ..engine(2) };
    assert_eq!(forwards(&driver.endpoint_list(EndpointListMode::Delta, vec![other_zone])), vec![(1, 2)]);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut s = settings();
    s.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: 10.0 });
    let mut driver = Driver::new(s, (1..=8).map(engine).collect());
    let mut retries = 0;
    for id in 1..=3 {
        let (on, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        retries += forwards(&driver.attempt_ended(id, 0, on, Outcome::ConnectionLost, 0.1)).len();
    }
    assert_eq!(retries, 1);
}

#[test]
fn attempts_per_request_are_limited() {
    let mut driver = Driver::new(settings(), (1..=9).map(engine).collect());
    let mut actions = driver.arrive(1, INTERACTIVE);
    for attempt in 0..4 {
        let on = forwards(&actions)[0].1;
        actions = driver.attempt_ended(1, attempt, on, Outcome::ConnectFailed, 0.0);
    }
    assert_eq!(final_answers(&actions), vec![(1, true)], "rejected after the fourth attempt");
}
