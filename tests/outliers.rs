//! Outlier detection and ejection: which engines get nothing for a time, and how they return.

mod common;

use common::*;
use workload_manager::*;

/// With many gateways an engine may answer this one nothing while one long request of it runs there.
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
            "reports progress: {reports_progress}"
        );
    }
}

/// A silent engine is ejected, and tried again with one attempt.
#[test]
fn a_silent_engine_is_ejected_until_one_attempt_succeeds() {
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
        // Some stay in flight, so that the silent one has the fewest; not so many that the other is
        // overloaded.
        if id < 14 {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    driver.now += 1.1;
    let mut trials = Vec::new();
    for id in 21..=26 {
        let (on, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        trials.push(on);
        if on == 2 {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert_eq!(trials.iter().filter(|e| **e == 1).count(), 1, "one trial: {trials:?}");
}

/// Time-outs behind a load are no fault of an engine that answers others.
#[test]
fn time_outs_of_an_answering_engine_do_not_eject_it() {
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

/// A gateway that is back with a cached list sends little to each engine until it has answered.
#[test]
fn engines_of_a_cached_list_get_few_attempts_until_they_answer() {
    let mut driver = Driver::new(settings(), vec![]);
    driver.endpoint_list(EndpointListMode::Cached, vec![engine(1)]);
    assert_eq!(driver.count_admitted(1, INTERACTIVE), 4);
}

/// An engine that rejects at once has the fewest threads in flight and would draw all requests.
#[test]
fn an_engine_that_rejects_rests_for_a_moment() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let (full, _) = forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap();
    let other = 3 - full;
    assert_eq!(forwards(&driver.attempt_ended(1, 0, full, Outcome::Rejected, 0.0)), vec![(1, other)]);
    for id in 2..=4 {
        assert_eq!(forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0, other);
    }
    driver.now += 0.3;
    assert_eq!(forwarded_to(&driver.arrive(5, INTERACTIVE)).unwrap().0, full, "no trial: it was not ill");
}

/// Engines that err quickly look the emptiest, and of many engines each is seen too seldom for a run of
/// four errors: the second error soon after the first ejects it.
#[test]
fn an_engine_that_errs_twice_is_ejected() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    let mut failed = 0;
    for id in 0..40 {
        let on = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
        let outcome = if on == 1 { Outcome::Error } else { Outcome::Success };
        failed += u32::from(on == 1);
        let again = driver.attempt_ended(id, 0, on, outcome, 0.5);
        if let Some((on, _)) = forwarded_to(&again) {
            failed += u32::from(on == 1);
            driver.attempt_ended(id, 1, on, if on == 1 { Outcome::Error } else { Outcome::Success }, 0.5);
        }
        driver.now += 0.005;
    }
    assert!(failed <= 2, "{failed} errors in a fifth of a second");
}

/// Errors that a request draws from every engine are its own: engines stay in use, and it is not retried on
/// and on.
#[test]
fn a_request_that_errs_everywhere_ejects_no_engine() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    driver.serve_interactive(100, 40, 0.2);
    for id in 1..=20 {
        let (first, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        let again = forwards(&driver.attempt_ended(id, 0, first, Outcome::Error, 0.01));
        let &[(_, second)] = again.as_slice() else { panic!("it is sent once more: {again:?}") };
        assert_ne!(first, second, "another engine may do better");
        let end = driver.attempt_ended(id, 1, second, Outcome::Error, 0.01);
        assert_eq!(end, vec![Action::Fail(RequestId(id))]);
    }
    let used: Vec<u32> =
        (30..36).map(|id| forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0).collect();
    assert!((1..=3).all(|e| used.contains(&e)), "all engines are still in use: {used:?}");
}

/// Where another engine serves the request, the error was the engine's.
#[test]
fn an_engine_that_errs_alone_is_ejected() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let mut met = 0;
    for id in 1..=12 {
        let (first, _) = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        if first == 1 {
            met += 1;
            assert_eq!(forwards(&driver.attempt_ended(id, 0, 1, Outcome::Error, 0.01)), vec![(id, 2)]);
            driver.attempt_ended(id, 1, 2, Outcome::Success, 0.2);
        } else {
            driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert!(met <= 2, "it went on to get {met}");
    assert!(met >= 1, "it was never tried");
}

/// New engines come all day: removed ones are forgotten once nothing is in flight there.
#[test]
fn removed_engines_are_forgotten() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap();
    for id in 2..50 {
        let gone = EndpointEntry { state: EndpointState::Removed, ..engine(id - 1) };
        driver.endpoint_list(EndpointListMode::Delta, vec![engine(id), gone]);
    }
    assert_eq!(driver.gateway.engines_known(), 2, "the newest, and the one with an attempt in flight");
    driver.attempt_ended(1, 0, 1, Outcome::Success, 0.2);
    driver.event(&Event::Timer(0));
    assert_eq!(driver.gateway.engines_known(), 1);
}
