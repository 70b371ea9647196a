//! Token bucket: bound of background work, as the sum over all engines and the mean over time.

mod common;

use common::*;
use workload_manager::*;

/// If a request were charged for its class's usual latency only, each of hundreds of gateways would send the
/// next one to an overloaded engine while the first still runs.
#[test]
fn background_work_is_charged_while_it_runs() {
    let (s, engines) = many_gateways();
    let mut driver = Driver::new(s, engines);
    let mut in_flight = 0;
    let mut peak_in_flight = 0;
    for tick in 0..800u64 {
        driver.now += 0.05;
        let mut actions = driver.control_tick();
        if tick % 20 == 0 {
            actions.extend(driver.arrive(tick, BACKGROUND));
        }
        in_flight += forwards(&actions).len();
        peak_in_flight = peak_in_flight.max(in_flight);
    }
    // The bucket refills four thread-seconds per second and holds two seconds' worth.
    assert!(peak_in_flight <= 3, "{peak_in_flight} requests of four threads in flight at once");
}

/// Time in which the bucket refills the cost of a request of four threads and two seconds, at a total limit
/// of two threads.
const REQUEST_REFILL_SECONDS: f64 = 4.1;

#[test]
fn a_request_with_more_threads_than_the_limit_goes_to_an_engine_without_background_work() {
    let mut s = settings();
    s.gateways = 8;
    let mut driver = Driver::new(s, vec![engine(1), engine(2)]);
    assert!(forwarded_to(&driver.arrive(1, BACKGROUND)).is_some());
    assert!(
        forwarded_to(&driver.arrive(2, BACKGROUND)).is_none(),
        "the bucket is empty after the first request"
    );
    driver.event(&Event::RequestAborted(RequestId(2)));
    driver.now += REQUEST_REFILL_SECONDS;
    assert!(forwarded_to(&driver.arrive(3, BACKGROUND)).is_some());
    driver.now += REQUEST_REFILL_SECONDS;
    assert!(forwarded_to(&driver.arrive(4, BACKGROUND)).is_none(), "each engine runs a background request");
    assert!(
        forwarded_to(&driver.arrive(5, INTERACTIVE)).is_some(),
        "the limit does not apply to interactive requests"
    );
}

/// With a hundred gateways the limit is far below one thread. The mean number of threads in flight must still
/// be near the sum of the limits.
#[test]
fn a_limit_below_one_thread_holds_as_a_mean_over_time() {
    let mut s = settings();
    s.gateways = 100;
    let engines: Vec<_> = (1..=25).map(engine).collect();
    let mut driver = Driver::new(s, engines);
    let mut sent = 0;
    for id in 0..400 {
        // Each request takes its expected two seconds. The limits of all engines sum up to two threads.
        driver.now += 0.25;
        let mut in_flight = forwards(&driver.control_tick());
        in_flight.extend(forwards(&driver.arrive(id, BACKGROUND)));
        for (request, on) in in_flight {
            sent += 1;
            driver.attempt_ended(request, 0, on, Outcome::Success, 2.0);
        }
    }
    assert!(
        (20..=30).contains(&sent),
        "{sent} requests of 8 thread-seconds in 100 s at a total limit of two"
    );
}

/// The debt that a heavy request leaves must be bounded, so that it delays further background work by a few
/// seconds at most.
#[test]
fn a_heavy_request_delays_further_requests_for_seconds_only() {
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

/// A large request needs tokens in the bucket, so that smaller requests that arrive later go before it. It
/// is forwarded after them.
#[test]
fn a_large_request_waits_until_the_bucket_holds_tokens() {
    let mut s = settings();
    s.gateways = 100;
    // The bucket refills two thread-seconds per second. The large request needs almost two seconds of
    // refill.
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
    let mut step = |driver: &mut Driver, id: Option<u64>| {
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
    let order: Vec<u64> = (1..70).flat_map(|n| step(&mut driver, Some(n).filter(|n| *n < 8))).collect();
    // The other requests in order of arrival, then the large one.
    assert_eq!(order, [1, 2, 4, 5, 6, 7, 3]);
}
