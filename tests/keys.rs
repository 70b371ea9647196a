//! Many requests of one key, and many keys: nothing of it goes out of turn, and what waits costs others little.

mod common;

use std::time::Instant;

use common::*;
use workload_manager::*;

const MANY: u64 = 10_000;
/// As many as are tried without optimisation.
const WAITING: u64 = 1_000;

fn keyed(drive: &Drive, id: u64, key: u64) -> Event {
    Event::RequestArrived(Request { key: Some(KeyId(key)), ..drive.request(id, LOAD) })
}

/// A gateway with one request of a key out and this many waiting behind it.
fn waiting(count: u64) -> Drive {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..=count {
        let event = keyed(&drive, id, 5);
        drive.event(&event);
    }
    drive
}

#[test]
fn a_thousand_requests_of_one_key_take_turns_and_let_others_pass() {
    let mut drive = waiting(WAITING);
    let event = keyed(&drive, WAITING + 1, 6);
    let other = sends(&drive.event(&event));
    assert_eq!(other.iter().map(|s| s.0).collect::<Vec<_>>(), vec![WAITING + 1], "another key does not wait");
    // What has waited past its use is told so at once, all in one look, but for the one that is out.
    drive.now += 5.0;
    let refused = answers(&drive.look());
    assert_eq!(refused.len() as u64, WAITING);
    assert!(refused.iter().all(|(_, refused)| *refused));
}

/// A request of a key whose client waits for so many seconds more.
fn keyed_until(drive: &Drive, id: u64, wait: f64) -> Event {
    Event::RequestArrived(Request {
        key: Some(KeyId(5)),
        deadline: drive.now + wait,
        ..drive.request(id, LOAD)
    })
}

#[test]
fn one_with_little_time_left_makes_room_in_the_line_of_its_key() {
    const DEADLINE: f64 = 30.0;
    let mut drive = waiting(0);
    for (id, wait) in [(1, DEADLINE), (2, 0.49 * DEADLINE), (3, 0.51 * DEADLINE)] {
        let event = keyed_until(&drive, id, wait);
        drive.event(&event);
    }
    drive.now += 0.05;
    assert_eq!(answers(&drive.look()), [(2, true)], "it alone is refused, and may come again");
    // Where its key is free it is sent like any other.
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    let event = keyed_until(&drive, 1, 0.49 * DEADLINE);
    assert!(sent_to(&drive.event(&event)).is_some());
    // Without a key it is held, as it keeps nobody from a turn.
    let mut drive = Drive::new(settings(), Vec::new());
    let request = Request { deadline: drive.now + 0.49 * DEADLINE, ..drive.request(1, LOAD) };
    drive.event(&Event::RequestArrived(request));
    drive.now += 0.05;
    assert_eq!(answers(&drive.look()), []);
}

#[test]
fn ten_thousand_keys_leave_nothing_behind() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    for id in 0..MANY {
        let event = keyed(&drive, id, id);
        let Some((to, _)) = sent_to(&drive.event(&event)) else { panic!("{id} is held") };
        drive.served(id, to, 0.1, None, None);
    }
    drive.now += 1.0;
    drive.look();
    assert_eq!(drive.gateway.keys_in_use(), 0);
}

/// Prints what a request of another class costs while so many wait for one key.
#[test]
#[ignore = "a measurement"]
fn cost_of_an_event_by_requests_that_wait_for_a_key() {
    const EVENTS: u64 = 200;
    for count in [1, 100, MANY] {
        let mut drive = waiting(count);
        let began = Instant::now();
        for id in 0..EVENTS {
            let (to, _) = sent_to(&drive.arrive(1_000_000 + id, LOOKUP)).expect("a lookup leaves at once");
            drive.served(1_000_000 + id, to, 0.1, None, None);
        }
        let each = began.elapsed().as_micros() as f64 / (2 * EVENTS) as f64;
        println!("{count} waiting: {each:.1} us for an event");
    }
}
