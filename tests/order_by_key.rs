//! Many requests of one key, and many keys: none is forwarded out of turn, and what waits costs others
//! little.

mod common;

use std::time::Instant;

use common::*;
use workload_manager::*;

const MANY: u64 = 10_000;
/// As many as are tried without optimisation.
const WAITING: u64 = 1_000;

fn keyed(driver: &Driver, id: u64, key: u64) -> Event {
    Event::RequestArrived(Request { key: Some(KeyId(key)), ..driver.request(id, LOAD) })
}

/// A gateway with one request of a key in flight and this many waiting behind it.
fn waiting(count: u64) -> Driver {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..=count {
        let event = keyed(&driver, id, 5);
        driver.event(&event);
    }
    driver
}

#[test]
fn a_thousand_requests_of_one_key_take_turns_and_let_others_pass() {
    let mut driver = waiting(WAITING);
    let event = keyed(&driver, WAITING + 1, 6);
    let other = forwards(&driver.event(&event));
    assert_eq!(other.iter().map(|s| s.0).collect::<Vec<_>>(), vec![WAITING + 1], "another key does not wait");
    // What has waited too long is rejected in one control tick, but for the one that is in flight.
    driver.now += 5.0;
    let rejected = final_answers(&driver.control_tick());
    assert_eq!(rejected.len() as u64, WAITING);
    assert!(rejected.iter().all(|(_, rejected)| *rejected));
}

/// A request of a key whose client waits for so many seconds more.
fn keyed_until(driver: &Driver, id: u64, wait: f64) -> Event {
    Event::RequestArrived(Request {
        key: Some(KeyId(5)),
        deadline: driver.now + wait,
        ..driver.request(id, LOAD)
    })
}

#[test]
fn a_request_with_little_time_left_gives_up_its_place_in_the_order_of_its_key() {
    const DEADLINE: f64 = 30.0;
    let mut driver = waiting(0);
    for (id, wait) in [(1, DEADLINE), (2, 0.49 * DEADLINE), (3, 0.51 * DEADLINE)] {
        let event = keyed_until(&driver, id, wait);
        driver.event(&event);
    }
    driver.now += 0.05;
    assert_eq!(
        final_answers(&driver.control_tick()),
        [(2, true)],
        "it alone is rejected, and may be retried"
    );
    // Where its key is free it is sent like any other.
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    let event = keyed_until(&driver, 1, 0.49 * DEADLINE);
    assert!(forwarded_to(&driver.event(&event)).is_some());
    // Without a key it is queued, as it keeps no other from a turn.
    let mut driver = Driver::new(settings(), Vec::new());
    let request = Request { deadline: driver.now + 0.49 * DEADLINE, ..driver.request(1, LOAD) };
    driver.event(&Event::RequestArrived(request));
    driver.now += 0.05;
    assert_eq!(final_answers(&driver.control_tick()), []);
}

#[test]
fn ten_thousand_keys_leave_nothing_behind() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..MANY {
        let event = keyed(&driver, id, id);
        let Some((to, _)) = forwarded_to(&driver.event(&event)) else { panic!("{id} is queued") };
        driver.first_attempt_served(id, to, 0.1, None, None);
    }
    driver.now += 1.0;
    driver.control_tick();
    assert_eq!(driver.gateway.keys_in_use(), 0);
}

/// Prints what a request of another class costs while so many wait for one key.
#[test]
#[ignore = "a measurement"]
fn cost_of_an_event_by_requests_that_wait_for_a_key() {
    const EVENTS: u64 = 200;
    for count in [1, 100, MANY] {
        let mut driver = waiting(count);
        let began = Instant::now();
        for id in 0..EVENTS {
            let (to, _) = forwarded_to(&driver.arrive(1_000_000 + id, INTERACTIVE))
                .expect("an interactive request is forwarded at once");
            driver.first_attempt_served(1_000_000 + id, to, 0.1, None, None);
        }
        let each = began.elapsed().as_micros() as f64 / (2 * EVENTS) as f64;
        println!("{count} waiting: {each:.1} us for an event");
    }
}
