//! Outlier detection: ejection of faulty engines, and their recovery.

mod common;

use common::*;
use workload_manager::*;

/// With many gateways an engine may run a single long request of this gateway, and send no response
/// meanwhile.
#[test]
fn an_engine_that_sends_progress_reports_is_not_silent() {
    for (reports_progress, ejected) in [(true, false), (false, true)] {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
        let on = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap().0;
        for _ in 0..18 {
            driver.now += 0.5;
            if reports_progress {
                driver.event(&Event::AttemptProgress {
                    request: RequestId(1),
                    attempt: 0,
                    progress: Progress::Fraction(0.9),
                });
            }
            driver.control_tick();
        }
        let other = EndpointEntry { state: EndpointState::Draining, ..engine(3 - on) };
        driver.endpoint_list(EndpointListMode::Delta, vec![other]);
        assert_eq!(
            forwarded_to(&driver.arrive(2, INTERACTIVE)).is_none(),
            ejected,
            "with progress reports: {reports_progress}"
        );
    }
}

/// Without an ejection, requests would continue to go to an engine that does not respond. After the backoff a
/// single attempt must test the engine.
#[test]
fn a_silent_engine_is_ejected_and_then_gets_one_attempt_at_a_time() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let mut unanswered = 0;
    for id in 1..=4 {
        let (on, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        if on == 2 {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        } else {
            unanswered += 1;
        }
    }
    assert!(unanswered > 0);
    driver.now += 2.1;
    driver.control_tick();
    for id in 11..=16 {
        assert_eq!(forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0, 2);
        // Three attempts stay in flight, so that the silent engine is preferred after its backoff. They do
        // not overload the other engine.
        if id < 14 {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    driver.now += 1.1;
    let mut selected = Vec::new();
    for id in 21..=26 {
        let (on, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        selected.push(on);
        if on == 2 {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert_eq!(
        selected.iter().filter(|e| **e == 1).count(),
        1,
        "attempts on the silent engine after its backoff: {selected:?}"
    );
}

/// Timeouts may be caused by a load that holds the tables. They must not eject an engine that answers others.
#[test]
fn timeouts_do_not_eject_an_engine_that_answers() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    for id in 1..=4 {
        driver.arrive(id, INTERACTIVE);
    }
    for id in 1..=4 {
        driver.attempt_ended(id, 0, 1, Outcome::TimedOut, 2.0);
    }
    driver.attempt_ended(1, 1, 1, Outcome::Success, 0.1);
    assert!(forwarded_to(&driver.arrive(50, INTERACTIVE)).is_some());
}

/// An engine of a cached endpoint list may no longer exist. Like any new engine, it gets few attempts until
/// it has answered.
#[test]
fn engines_of_a_cached_list_get_few_attempts_until_they_answer() {
    let mut driver = Driver::new(settings(), vec![]);
    driver.endpoint_list(EndpointListMode::Cached, vec![engine(1)]);
    assert_eq!(driver.count_admitted(1, INTERACTIVE), 4);
}

/// An engine that rejects attempts at once has the fewest threads in flight, and would be selected for all
/// requests.
#[test]
fn an_engine_that_rejects_attempts_is_backed_off() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let (rejecting, _) = forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap();
    let other = 3 - rejecting;
    assert_eq!(forwards(&driver.attempt_ended(1, 0, rejecting, Outcome::Rejected, 0.0)), vec![(1, other)]);
    for id in 2..=4 {
        assert_eq!(forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0, other);
    }
    driver.now += 0.3;
    assert_eq!(
        forwarded_to(&driver.arrive(5, INTERACTIVE)).unwrap().0,
        rejecting,
        "the rejecting engine was not selected after its backoff"
    );
}

/// An engine that fails fast has the fewest threads in flight. Two errors for requests that other engines
/// serve must eject it.
#[test]
fn an_engine_is_ejected_after_two_errors() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    let mut failed = 0;
    for id in 0..40 {
        let on = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
        let outcome = if on == 1 { Outcome::Error } else { Outcome::Success };
        failed += u32::from(on == 1);
        let retry = driver.attempt_ended(id, 0, on, outcome, 0.5);
        if let Some((on, _)) = forwarded_to(&retry) {
            failed += u32::from(on == 1);
            driver.attempt_ended(id, 1, on, if on == 1 { Outcome::Error } else { Outcome::Success }, 0.5);
        }
        driver.now += 0.005;
    }
    assert!(failed <= 2, "{failed} errors from one engine");
}

/// A request that fails on two engines is itself taken to be the cause. It is not tried on a third one, and
/// ejects no engine.
#[test]
fn a_request_that_fails_on_two_engines_ejects_none() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    driver.serve_interactive(100, 40, 0.2);
    for id in 1..=20 {
        let (first, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        let retry = forwards(&driver.attempt_ended(id, 0, first, Outcome::Error, 0.01));
        let &[(_, second)] = retry.as_slice() else { panic!("expected one retry: {retry:?}") };
        assert_ne!(first, second, "retried on the same engine");
        let end = driver.attempt_ended(id, 1, second, Outcome::Error, 0.01);
        assert_eq!(end, vec![Action::Fail(RequestId(id))]);
    }
    let used: Vec<u32> =
        (30..36).map(|id| forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0).collect();
    assert!((1..=3).all(|e| used.contains(&e)), "selected engines: {used:?}");
}

/// An error counts more against the engine if another engine serves the request.
#[test]
fn an_engine_that_fails_requests_served_elsewhere_is_ejected() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let mut forwarded = 0;
    for id in 1..=12 {
        let (first, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        if first == 1 {
            forwarded += 1;
            assert_eq!(forwards(&driver.attempt_ended(id, 0, 1, Outcome::Error, 0.01)), vec![(id, 2)]);
            driver.attempt_ended(id, 1, 2, Outcome::Success, 0.2);
        } else {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert!(forwarded <= 2, "{forwarded} requests forwarded to a failing engine");
    assert!(forwarded >= 1, "the failing engine got no request");
}

/// The state of removed engines must not accumulate. It is dropped when no attempt is in flight there.
#[test]
fn the_state_of_removed_engines_is_dropped() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap();
    for id in 2..50 {
        let gone = EndpointEntry { state: EndpointState::Removed, ..engine(id - 1) };
        driver.endpoint_list(EndpointListMode::Delta, vec![engine(id), gone]);
    }
    assert_eq!(driver.gateway.engines_known(), 2, "the newest engine, and the one with an attempt in flight");
    driver.attempt_ended(1, 0, 1, Outcome::Success, 0.2);
    driver.event(&Event::Timer(0));
    assert_eq!(driver.gateway.engines_known(), 1);
}
