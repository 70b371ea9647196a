//! Order of the queue, and requests of classes that no engine may run or that are not interactive.

mod common;

use common::*;
use workload_manager::*;

#[test]
fn queued_requests_are_forwarded_in_order_of_arrival_when_an_engine_admits_them() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    driver.arrive(1, BACKGROUND);
    for id in 2..5 {
        assert!(forwards(&driver.arrive(id, BACKGROUND)).is_empty());
    }
    assert_eq!(forwards(&driver.attempt_ended(1, 0, 1, Outcome::Success, 1.0)), vec![(2, 1)]);
    assert_eq!(forwards(&driver.attempt_ended(2, 0, 1, Outcome::Success, 1.0)), vec![(3, 1)]);
    assert_eq!(forwards(&driver.endpoint_list(EndpointListMode::Delta, vec![engine(2)])), vec![(4, 2)]);
}

#[test]
fn a_request_without_an_allowed_engine_does_not_block_other_classes() {
    let mut s = settings();
    s.classes[1].allowed_machine_types = Some(vec![MachineTypeId(1)]);
    let mut driver = Driver::new(s, vec![engine(1)]);
    assert!(forwards(&driver.arrive(1, BACKGROUND)).is_empty(), "no engine of the allowed machine type");
    assert_eq!(forwards(&driver.arrive(2, LOAD)), vec![(2, 1)]);
}

#[test]
fn settings_with_one_class_or_no_interactive_class_are_served() {
    let mut s = settings();
    s.classes.truncate(1);
    let mut driver = Driver::new(s, vec![engine(1)]);
    assert!(forwarded_to(&driver.arrive(1, INTERACTIVE)).is_some());
    let mut s = settings();
    s.classes = vec![class(4.0, 8, 20.0)];
    let mut driver = Driver::new(s, vec![engine(1)]);
    assert!(forwarded_to(&driver.arrive(1, ClassId(0))).is_some());
    assert!(
        forwarded_to(&driver.arrive(2, ClassId(0))).is_none(),
        "a class that is not interactive is subject to the concurrency limit"
    );
}
