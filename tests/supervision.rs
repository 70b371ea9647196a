//! Supervision of attempts in flight: which of them are cancelled and retried.

mod common;

use common::*;
use workload_manager::*;

/// An attempt whose progress predicts more than three times the usual latency is cancelled and retried, but
/// only once per request.
#[test]
fn a_slow_request_is_cancelled_only_once() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
    driver.arrive(1, BACKGROUND);
    driver.now += 1.0;
    let slow = |attempt| Event::AttemptProgress {
        request: RequestId(1),
        attempt,
        progress: Progress::Fraction(0.07),
    };
    assert_eq!(cancelled_requests(&driver.event(&slow(0))), vec![1]);
    let retry = driver.attempt_ended(1, 0, 1, Outcome::Cancelled, 1.0);
    let retry = if forwards(&retry).is_empty() {
        driver.attempt_ended(1, 0, 2, Outcome::Cancelled, 1.0)
    } else {
        retry
    };
    assert_eq!(forwards(&retry).len(), 1);
    driver.now += 1.0;
    assert!(
        cancelled_requests(&driver.event(&slow(1))).is_empty(),
        "a second slow attempt of the request was cancelled"
    );
}

/// Waiting for a load does not exempt a slow attempt from being cancelled, because another engine may be free
/// of the load.
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
    let report =
        Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.01) };
    assert_eq!(cancelled_requests(&driver.event(&report)), vec![1]);
}

/// Attempts may run until the client's deadline. Without cancellation a retry would only add load. With
/// cancellation, supervision cancels slow attempts instead.
#[test]
fn attempts_have_no_timeout() {
    for s in [settings(), settings_with_cancelling()] {
        let mut driver = Driver::new(s, vec![engine(1)]);
        assert_eq!(forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap().1, None);
    }
}

/// In an overload all attempts are slow, and cancelling them would only waste work.
#[test]
fn progress_is_compared_with_current_latency() {
    for (latency, cancelled) in [(0.2, 1), (2.0, 0)] {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
        driver.serve_interactive(100, 40, 0.2);
        driver.serve_interactive(200, 40, latency);
        driver.arrive(1, BACKGROUND);
        driver.now += 1.0;
        let report =
            Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.1) };
        assert_eq!(
            cancelled_requests(&driver.event(&report)).len(),
            cancelled,
            "interactive latency {latency} s"
        );
    }
}

/// A response may be lost while its engine still works. An attempt without progress reports must be cancelled
/// and retried.
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
    assert!(
        cancelled_requests(&driver.control_tick()).is_empty(),
        "cancelled although the last report is recent"
    );
    driver.now += 0.1;
    assert_eq!(cancelled_requests(&driver.control_tick()), vec![1]);
    assert_eq!(forwards(&driver.attempt_ended(1, 0, on, Outcome::Cancelled, 1.3)).len(), 1);
    let mut s = settings();
    s.capabilities.progress_period = 0.5;
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.arrive(1, INTERACTIVE);
    driver.now += 3.0;
    assert!(
        cancelled_requests(&driver.control_tick()).is_empty(),
        "cancelled without the capability to cancel"
    );
}

/// The response to a client that has disconnected is of no use, so its attempt must be cancelled.
#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
    driver.arrive(1, BACKGROUND);
    assert_eq!(cancelled_requests(&driver.event(&Event::RequestAborted(RequestId(1)))), vec![1]);
}

/// An interactive attempt that stalls while others succeed on its engine is cancelled and retried. The engine
/// still gets attempts.
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
    assert!(!driver.event(&Event::Timer(0)).contains(&cancel), "cancelled before it counts as stalled");
    driver.now += 0.8;
    assert!(
        driver.event(&Event::Timer(0)).contains(&cancel),
        "not cancelled after seven times the usual latency"
    );
    assert_eq!(forwards(&driver.attempt_ended(1, 0, 1, Outcome::Cancelled, 1.5)), vec![(1, 1)]);
}

/// A report that an attempt still runs shows no progress. It may postpone the cancellation, but not prevent
/// it.
#[test]
fn reports_without_progress_postpone_the_cancellation() {
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
    assert!((9..20).contains(&periods), "cancelled after {periods} reports without progress");
}

/// Latencies of stalled attempts must not raise the expected latency, or later stalled attempts would be
/// detected too late.
#[test]
fn stalled_attempts_do_not_delay_the_detection_of_the_next() {
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
                "request {id}: cancelled after three times the usual latency"
            );
            driver.now += 0.3;
            assert_eq!(
                cancelled_requests(&driver.control_tick()),
                vec![id],
                "after four and a half times the usual latency"
            );
            let retry = driver.attempt_ended(id, 0, 1, Outcome::Cancelled, 0.9);
            driver.attempt_ended(id, 1, forwarded_to(&retry).unwrap().0, Outcome::Success, 0.2);
        }
    }
}

/// A client may state any amount of estimated work. That must neither cause healthy attempts of others to be
/// cancelled, nor lengthen the time that others are queued.
#[test]
fn an_excessive_work_estimate_does_not_affect_other_requests() {
    let mut s = settings_with_cancelling();
    s.capabilities.progress_period = 0.0;
    s.classes.iter_mut().for_each(|c| c.objective_stretch = 2.0);
    let mut driver = Driver::new(s, vec![engine(1)]);
    let send = |driver: &mut Driver, id, class, work| {
        let request = Request { estimated_work: Some(work), ..driver.request(id, class) };
        driver.event(&Event::RequestArrived(request))
    };
    for id in 1000..1100 {
        send(&mut driver, id, INTERACTIVE, 0.1);
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.2);
    }
    send(&mut driver, 2000, INTERACTIVE, 1e6);
    driver.attempt_ended(2000, 0, 1, Outcome::Error, 0.0);
    driver.event(&Event::RequestAborted(RequestId(2000)));
    for id in 3000..3020 {
        send(&mut driver, id, INTERACTIVE, 0.1);
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.2);
    }
    // Two and a half times the usual latency is no reason to cancel.
    send(&mut driver, 1, INTERACTIVE, 0.1);
    driver.now += 0.01;
    send(&mut driver, 2, INTERACTIVE, 0.1);
    driver.attempt_ended(2, 0, 1, Outcome::Success, 0.2);
    driver.now += 0.5;
    assert!(
        cancelled_requests(&driver.control_tick()).is_empty(),
        "cancelled after two and a half times the usual latency"
    );
    driver.attempt_ended(1, 0, 1, Outcome::Success, 0.6);

    // A request without an engine is queued no longer than its objective allows.
    driver.endpoint_list(
        EndpointListMode::Delta,
        vec![EndpointEntry { state: EndpointState::Draining, ..engine(1) }],
    );
    send(&mut driver, 3, INTERACTIVE, 0.1);
    driver.now += 1.0;
    assert_eq!(final_answers(&driver.control_tick()), vec![(3, true)]);
}

/// A request with too little time for an attempt is rejected at the next control tick. A request with half of
/// its class's deadline left is always forwarded, because latencies are measured only with attempts.
#[test]
fn a_request_without_time_for_an_attempt_is_not_forwarded() {
    let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
    for id in (1000..1080).step_by(2) {
        forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        driver.attempt_ended(id, 0, 1, Outcome::Success, 0.4);
    }
    let with_deadline_in = |driver: &Driver, id, seconds| Request {
        deadline: driver.now + seconds,
        ..driver.request(id, INTERACTIVE)
    };
    let late = with_deadline_in(&driver, 1, 0.2);
    assert!(forwards(&driver.event(&Event::RequestArrived(late))).is_empty());
    assert_eq!(
        final_answers(&driver.control_tick()).len(),
        1,
        "the request was not rejected at the control tick"
    );
    for id in (2000..2400).step_by(2) {
        forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
        driver.attempt_ended(id, 0, 1, Outcome::Success, 9.0);
    }
    let half = with_deadline_in(&driver, 2, 2.1);
    assert!(forwarded_to(&driver.event(&Event::RequestArrived(half))).is_some());
}
