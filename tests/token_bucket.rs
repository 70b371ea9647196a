//! Token bucket: background work as a sum over engines and a mean over time.

mod common;

use common::*;
use workload_manager::*;

/// Charged for its class's usual latency only, a request that ran on in an overload let the next one start
/// beside it, at each of hundreds of gateways.
#[test]
fn background_work_that_runs_on_is_charged_while_it_runs() {
    let (s, engines) = many_gateways();
    let mut driver = Driver::new(s, engines);
    let mut in_flight = 0;
    let mut most = 0;
    for tick in 0..800u64 {
        driver.now += 0.05;
        let mut actions = driver.control_tick();
        if tick % 20 == 0 {
            actions.extend(driver.arrive(tick, BACKGROUND));
        }
        in_flight += forwards(&actions).len();
        most = most.max(in_flight);
    }
    // Four threads are earned each second, saved for two: a request of four threads, and now and then
    // another.
    assert!(most <= 3, "{most} requests of four threads run beside one another");
}

/// Seconds in which a usual request of four threads and two seconds is earned, at limits of two in all.
const REQUEST_EARNED_SECONDS: f64 = 4.1;

#[test]
fn a_request_wider_than_the_limit_goes_where_no_background_work_is() {
    let mut s = settings();
    s.gateways = 8;
    let mut driver = Driver::new(s, vec![engine(1), engine(2)]);
    assert!(forwarded_to(&driver.arrive(1, BACKGROUND)).is_some());
    assert!(forwarded_to(&driver.arrive(2, BACKGROUND)).is_none(), "the limit binds as a mean over time");
    driver.event(&Event::RequestAborted(RequestId(2)));
    driver.now += REQUEST_EARNED_SECONDS;
    assert!(forwarded_to(&driver.arrive(3, BACKGROUND)).is_some());
    driver.now += REQUEST_EARNED_SECONDS;
    assert!(forwarded_to(&driver.arrive(4, BACKGROUND)).is_none(), "both engines hold one");
    assert!(
        forwarded_to(&driver.arrive(5, INTERACTIVE)).is_some(),
        "interactive requests are never queued for the limit"
    );
}

/// With a hundred gateways the limit is far under a thread: a request is admitted now and then, on any
/// engine, and what this gateway has in flight is the limit in the mean.
#[test]
fn a_limit_under_a_thread_is_met_as_a_mean_over_time() {
    let mut s = settings();
    s.gateways = 100;
    let engines: Vec<_> = (1..=25).map(engine).collect();
    let mut driver = Driver::new(s, engines);
    let mut sent = 0;
    for id in 0..400 {
        // Each request takes the two seconds that are expected; the limits are two threads in all.
        driver.now += 0.25;
        let mut in_flight = forwards(&driver.control_tick());
        in_flight.extend(forwards(&driver.arrive(id, BACKGROUND)));
        for (request, on) in in_flight {
            sent += 1;
            driver.attempt_ended(request, 0, on, Outcome::Success, 2.0);
        }
    }
    assert!((20..=30).contains(&sent), "{sent} requests of 8 thread-seconds in 100 s at limits of two");
}

/// One heavy request is charged for all that it took, but bars its gateway for seconds only.
#[test]
fn a_heavy_request_bars_the_gateway_for_seconds_only() {
    let mut s = settings();
    s.gateways = 100;
    s.classes[1].deadline = 200.0;
    let mut driver = Driver::new(s, (1..=25).map(engine).collect());
    let on = forwarded_to(&driver.arrive(1, BACKGROUND)).unwrap().0;
    driver.now += 60.0;
    driver.attempt_ended(1, 0, on, Outcome::Success, 60.0);
    driver.now += 2.1;
    assert!(forwarded_to(&driver.arrive(2, BACKGROUND)).is_some());
}

/// What is short is not spent on one large request while many of the usual size wait; at rest, it leaves.
#[test]
fn the_largest_request_waits_while_the_bucket_owes() {
    let mut s = settings();
    s.gateways = 100;
    // The bucket earns two thread-seconds a second; it takes two seconds to save up for the large one.
    s.classes[1].latency_objective = 16.0;
    let mut driver = Driver::new(s, (1..=25).map(engine).collect());
    let sized =
        |driver: &Driver, id, work| Request { estimated_work: Some(work), ..driver.request(id, BACKGROUND) };
    for id in 1000..1100 {
        driver.now += 4.0;
        let on = forwarded_to(&driver.event(&Event::RequestArrived(sized(&driver, id, 1.0)))).unwrap().0;
        driver.attempt_ended(id, 0, on, Outcome::Success, 0.5);
    }
    let mut in_flight = Vec::new();
    let mut play = |driver: &mut Driver, id: Option<u64>| {
        driver.now += 0.1;
        for (id, on, _) in
            in_flight.extract_if(.., |(_, _, sent)| driver.now - *sent > 0.5).collect::<Vec<_>>()
        {
            driver.attempt_ended(id, 0, on, Outcome::Success, 0.5);
        }
        let mut actions = driver.control_tick();
        if let Some(id) = id {
            actions.extend(driver.event(&Event::RequestArrived(sized(
                driver,
                id,
                if id == 3 { 6.0 } else { 0.5 },
            ))));
        }
        let sent = forwards(&actions);
        in_flight.extend(sent.iter().map(|(id, on)| (*id, *on, driver.now)));
        sent.into_iter().map(|(id, _)| id).collect::<Vec<_>>()
    };
    let order: Vec<u64> = (1..70).flat_map(|n| play(&mut driver, Some(n).filter(|n| *n < 8))).collect();
    // The others in order of arrival; nothing else asks then, and what the large one needs is saved up.
    assert_eq!(order, [1, 2, 4, 5, 6, 7, 3]);
}
