//! Supervision of attempts in flight: which are cancelled and retried, and which are left alone.

mod common;

use common::*;
use workload_manager::*;

/// An attempt that will take many times the usual latency is cancelled once, and its request retried.
#[test]
fn a_slow_attempt_is_cancelled_once() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
    driver.arrive(1, BACKGROUND);
    driver.now += 1.0;
    let slow = |attempt| Event::AttemptProgress {
        request: RequestId(1),
        attempt,
        progress: Progress::Fraction(0.07),
    };
    assert_eq!(cancelled_requests(&driver.event(&slow(0))), vec![1]);
    let again = driver.attempt_ended(1, 0, 1, Outcome::Cancelled, 1.0);
    let again = if forwards(&again).is_empty() {
        driver.attempt_ended(1, 0, 2, Outcome::Cancelled, 1.0)
    } else {
        again
    };
    assert_eq!(forwards(&again).len(), 1);
    driver.now += 1.0;
    assert!(cancelled_requests(&driver.event(&slow(1))).is_empty(), "slow again: it is truly heavy");
}

/// One that waited for a load is judged like any other: at another engine it need not wait.
#[test]
fn an_attempt_that_waits_for_a_load_is_cancelled_like_any_other() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.arrive(1, BACKGROUND);
    driver.event(&Event::AttemptProgress {
        request: RequestId(1),
        attempt: 0,
        progress: Progress::WaitingForLoad,
    });
    driver.now += 3.0;
    let note =
        Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.01) };
    assert_eq!(cancelled_requests(&driver.event(&note)), vec![1]);
}

/// Where cancelling frees nothing, a second attempt would only add to an overload; elsewhere progress says
/// more than age.
#[test]
fn attempts_have_no_time_out() {
    for s in [settings(), settings_with_cancelling()] {
        let mut driver = Driver::new(s, vec![engine(1)]);
        assert_eq!(forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap().1, None);
    }
}

/// In an overload every attempt is slow: cancelling them all only loses work.
#[test]
fn progress_is_judged_against_the_latency_of_the_moment() {
    for (latency, cancelled) in [(0.2, 1), (2.0, 0)] {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
        driver.serve_interactive(100, 40, 0.2);
        driver.serve_interactive(200, 40, latency);
        driver.arrive(1, BACKGROUND);
        driver.now += 1.0;
        let note =
            Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.1) };
        assert_eq!(
            cancelled_requests(&driver.event(&note)).len(),
            cancelled,
            "interactive latency {latency} s"
        );
    }
}

/// Answers are lost while the engine works and reports progress of others: an attempt without any report is
/// over.
#[test]
fn an_attempt_without_progress_reports_is_retried() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
    driver.serve_interactive(100, 40, 0.2);
    let on = forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap().0;
    driver.now += 0.5;
    driver.event(&Event::AttemptProgress {
        request: RequestId(1),
        attempt: 0,
        progress: Progress::Fraction(0.5),
    });
    driver.now += 0.7;
    assert!(cancelled_requests(&driver.control_tick()).is_empty(), "the last report is not long ago");
    driver.now += 0.1;
    assert_eq!(cancelled_requests(&driver.control_tick()), vec![1]);
    assert_eq!(forwards(&driver.attempt_ended(1, 0, on, Outcome::Cancelled, 1.3)).len(), 1);
    let mut s = settings();
    s.capabilities.progress_period = 0.5;
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.arrive(1, INTERACTIVE);
    driver.now += 3.0;
    assert!(cancelled_requests(&driver.control_tick()).is_empty(), "where nothing may be cancelled");
}

/// What no client waits for is cancelled, where engines heed that.
#[test]
fn the_attempt_of_a_client_that_has_gone_is_cancelled() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.arrive(1, BACKGROUND);
    assert_eq!(cancelled_requests(&driver.event(&Event::RequestAborted(RequestId(1)))), vec![1]);
}

/// An interactive attempt that stalls where others run well is cancelled once and retried; its engine may
/// go on serving.
#[test]
fn a_stalled_interactive_attempt_is_retried() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap();
    driver.now += 0.5;
    forwarded_to(&driver.arrive(2, INTERACTIVE)).unwrap();
    driver.now += 0.2;
    driver.attempt_ended(2, 0, 1, Outcome::Success, 0.2);
    let cancel = Action::CancelAttempt { request: RequestId(1), attempt: 0 };
    assert!(!driver.event(&Event::Timer(0)).contains(&cancel), "it may still be well");
    driver.now += 0.8;
    assert!(driver.event(&Event::Timer(0)).contains(&cancel), "seven times what others take");
    assert_eq!(forwards(&driver.attempt_ended(1, 0, 1, Outcome::Cancelled, 1.5)), vec![(1, 1)]);
}

/// That an attempt still runs shows that its engine answers, but no progress: it counts as a progress
/// report for a while only.
#[test]
fn a_report_without_progress_counts_for_a_while() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap();
    let cancel = Action::CancelAttempt { request: RequestId(1), attempt: 0 };
    let mut periods = 0;
    for _ in 0..30 {
        driver.now += 0.1;
        driver.event(&Event::AttemptProgress {
            request: RequestId(1),
            attempt: 0,
            progress: Progress::Running,
        });
        if driver.event(&Event::Timer(0)).contains(&cancel) {
            break;
        }
        periods += 1;
    }
    assert!((9..20).contains(&periods), "longer than without reports, and not for good: {periods}");
}

/// However many stalled before, the next one is noticed as soon: their latencies do not raise what the next
/// should take.
#[test]
fn stalled_attempts_do_not_hide_the_next() {
    for class in [INTERACTIVE, BACKGROUND] {
        let mut s = settings_with_cancelling();
        s.capabilities.progress_period = 0.0;
        let mut driver = Driver::new(s, vec![engine(1)]);
        driver.serve_interactive(1000, 40, 0.2);
        for id in 2000..2040 {
            forwarded_to(&driver.arrive(id, BACKGROUND)).unwrap();
            driver.attempt_ended(id, 0, 1, Outcome::Success, 0.2);
        }
        for id in (1..40).step_by(2) {
            forwarded_to(&driver.arrive(id, class)).unwrap();
            driver.now += 0.01;
            driver.serve_interactive(id + 1, 1, 0.2);
            driver.now += 0.6;
            assert!(
                cancelled_requests(&driver.control_tick()).is_empty(),
                "{id}: three times what others take"
            );
            driver.now += 0.3;
            assert_eq!(cancelled_requests(&driver.control_tick()), vec![id], "four and a half times");
            let again = driver.attempt_ended(id, 0, 1, Outcome::Cancelled, 0.9);
            driver.attempt_ended(id, 1, forwarded_to(&again).unwrap().0, Outcome::Success, 0.2);
        }
    }
}

/// Clients may claim any amount of work. Twenty requests later that must neither cancel what runs well, nor
/// queue others for as long as they ask.
#[test]
fn an_estimate_of_endless_work_changes_little_for_others() {
    let mut s = settings_with_cancelling();
    s.capabilities.progress_period = 0.0;
    s.classes.iter_mut().for_each(|c| c.objective_stretch = 2.0);
    let mut driver = Driver::new(s, vec![engine(1)]);
    let ask = |driver: &mut Driver, id, class, work| {
        let request = Request { estimated_work: Some(work), ..driver.request(id, class) };
        driver.event(&Event::RequestArrived(request))
    };
    for id in 1000..1100 {
        ask(&mut driver, id, INTERACTIVE, 0.1);
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.2);
    }
    ask(&mut driver, 2000, INTERACTIVE, 1e6);
    driver.attempt_ended(2000, 0, 1, Outcome::Error, 0.0);
    driver.event(&Event::RequestAborted(RequestId(2000)));
    for id in 3000..3020 {
        ask(&mut driver, id, INTERACTIVE, 0.1);
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.2);
    }
    // One that takes three times the usual may still be well.
    ask(&mut driver, 1, INTERACTIVE, 0.1);
    driver.now += 0.01;
    ask(&mut driver, 2, INTERACTIVE, 0.1);
    driver.attempt_ended(2, 0, 1, Outcome::Success, 0.2);
    driver.now += 0.5;
    assert!(
        cancelled_requests(&driver.control_tick()).is_empty(),
        "measured against half of what it should take"
    );
    driver.attempt_ended(1, 0, 1, Outcome::Success, 0.6);

    // Nor is one that finds no engine queued for longer than its objective allows.
    driver.endpoint_list(
        EndpointListMode::Delta,
        vec![EndpointEntry { state: EndpointState::Draining, ..engine(1) }],
    );
    ask(&mut driver, 3, INTERACTIVE, 0.1);
    driver.now += 1.0;
    assert_eq!(final_answers(&driver.control_tick()), vec![(3, true)]);
}

/// A client with hardly any time left gets no attempt that can only be waste, and its answer at once; one
/// with half of its class's deadline always gets one, or nothing would show that the overload is over.
#[test]
fn nothing_is_forwarded_that_has_no_time_left() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
    for id in (1000..1080).step_by(2) {
        forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.4);
    }
    let left = |driver: &Driver, id, left| Request {
        deadline: driver.now + left,
        ..driver.request(id, INTERACTIVE)
    };
    let late = left(&driver, 1, 0.2);
    assert!(forwards(&driver.event(&Event::RequestArrived(late))).is_empty());
    assert_eq!(final_answers(&driver.control_tick()).len(), 1, "answered at once");
    for id in (2000..2400).step_by(2) {
        forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        driver.attempt_ended(id, 0, 1, Outcome::Success, 9.0);
    }
    let half = left(&driver, 2, 2.1);
    assert!(forwarded_to(&driver.event(&Event::RequestArrived(half))).is_some());
}
