//! Order keys with many requests and many keys: requests queued for one key do not delay requests of other
//! keys, and the state of unused keys is removed.

mod common;

use std::time::Instant;

use common::*;
use workload_manager::*;

/// Number of keys, or of requests queued for a key in the measurement.
const MANY: u64 = 10_000;
/// Number of requests queued for a key. Fewer than `MANY`, because the test also runs in unoptimized builds.
const QUEUED: u64 = 1_000;

fn keyed(driver: &Driver, id: u64, key: u64) -> Event {
    Event::RequestArrived(Request { key: Some(KeyId(key)), ..driver.request(id, LOAD) })
}

/// Creates a gateway with one request of a key in flight and this number of requests queued for the same key.
fn with_queued_requests(count: u64) -> Driver {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..=count {
        let event = keyed(&driver, id, 5);
        driver.event(&event);
    }
    driver
}

#[test]
fn a_thousand_requests_queued_for_one_key_do_not_block_other_keys() {
    let mut driver = with_queued_requests(QUEUED);
    let event = keyed(&driver, QUEUED + 1, 6);
    let other = forwards(&driver.event(&event));
    assert_eq!(
        other.iter().map(|s| s.0).collect::<Vec<_>>(),
        vec![QUEUED + 1],
        "a request of another key is forwarded at once"
    );
    // One control tick rejects all requests that were queued for too long. The request in flight is
    // unaffected.
    driver.now += 5.0;
    let rejected = final_answers(&driver.control_tick());
    assert_eq!(rejected.len() as u64, QUEUED);
    assert!(rejected.iter().all(|(_, rejected)| *rejected));
}

/// A request of key 5 whose client waits for another `wait` seconds.
fn keyed_with_deadline(driver: &Driver, id: u64, wait: f64) -> Event {
    Event::RequestArrived(Request {
        key: Some(KeyId(5)),
        deadline: driver.now + wait,
        ..driver.request(id, LOAD)
    })
}

#[test]
fn a_request_with_a_short_deadline_is_shed_if_its_key_is_in_use() {
    const DEADLINE: f64 = 30.0;
    let mut driver = with_queued_requests(0);
    for (id, wait) in [(1, DEADLINE), (2, 0.49 * DEADLINE), (3, 0.51 * DEADLINE)] {
        let event = keyed_with_deadline(&driver, id, wait);
        driver.event(&event);
    }
    driver.now += 0.05;
    assert_eq!(
        final_answers(&driver.control_tick()),
        [(2, true)],
        "only the request with less than half of its class's deadline left is rejected"
    );
    // With its key free, the same request is forwarded.
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    let event = keyed_with_deadline(&driver, 1, 0.49 * DEADLINE);
    assert!(forwarded_to(&driver.event(&event)).is_some());
    // Without a key the request stays queued, because it blocks no other.
    let mut driver = Driver::new(settings(), Vec::new());
    let request = Request { deadline: driver.now + 0.49 * DEADLINE, ..driver.request(1, LOAD) };
    driver.event(&Event::RequestArrived(request));
    driver.now += 0.05;
    assert_eq!(final_answers(&driver.control_tick()), []);
}

#[test]
fn the_state_of_ten_thousand_keys_is_removed() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..MANY {
        let event = keyed(&driver, id, id);
        let Some((to, _)) = forwarded_to(&driver.event(&event)) else { panic!("request {id} was queued") };
        driver.first_attempt_served(id, to, 0.1, None, None);
    }
    driver.now += 1.0;
    driver.control_tick();
    assert_eq!(driver.gateway.keys_in_use(), 0);
}

/// Prints the time per event of interactive requests, by the number of requests queued for one key.
#[test]
#[ignore = "prints measurements"]
fn event_cost_by_number_of_requests_queued_for_a_key() {
    const EVENTS: u64 = 200;
    for count in [1, 100, MANY] {
        let mut driver = with_queued_requests(count);
        let started = Instant::now();
        for id in 0..EVENTS {
            let (to, _) = forwarded_to(&driver.arrive(1_000_000 + id, INTERACTIVE))
                .expect("an interactive request is forwarded at once");
            driver.first_attempt_served(1_000_000 + id, to, 0.1, None, None);
        }
        let each = started.elapsed().as_micros() as f64 / (2 * EVENTS) as f64;
        println!("{count} queued: {each:.1} us per event");
    }
}
