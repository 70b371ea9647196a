//! Endpoint selection and the active subset.

mod common;

use common::*;
use workload_manager::*;

/// Engines get slower before they crash: one whose attempts take long against the usual is selected last.
#[test]
fn a_slow_engine_is_selected_last_and_tried_again_later() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2), engine(3)]);
    driver.serve_interactive(100, 60, 0.2);
    for id in 200..290 {
        let to = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
        driver.attempt_ended(id, 0, to, Outcome::Success, if to == 1 { 1.2 } else { 0.2 });
        driver.now += 0.05;
        driver.control_tick();
    }
    let to_slow = |driver: &mut Driver, from: u64| {
        (from..from + 20)
            .filter(|id| {
                let to = forwarded_to(&driver.arrive(*id, INTERACTIVE)).unwrap().0;
                driver.attempt_ended(*id, 0, to, Outcome::Success, 0.2);
                to == 1
            })
            .count()
    };
    assert_eq!(to_slow(&mut driver, 300), 0);
    driver.now += 30.0;
    driver.control_tick();
    assert!(to_slow(&mut driver, 400) > 0, "no engine is avoided for good");
}

/// Each of a hundred gateways sees an engine too seldom to learn of it: it prefers a few by its own seed,
/// and uses others where these are gone.
#[test]
fn each_of_many_gateways_prefers_a_few_engines_of_its_own() {
    let mut s = settings();
    s.gateways = 100;
    let few = |seed: u64| {
        let mut driver = Driver::new(s.clone(), (1..=30).map(engine).collect());
        driver.gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        driver.endpoint_list(EndpointListMode::Full, (1..=30).map(engine).collect());
        let mut met = std::collections::BTreeSet::new();
        for id in 0..60 {
            driver.now += 0.5;
            driver.control_tick();
            let to = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
            driver.attempt_ended(id, 0, to, Outcome::Success, 0.2);
            if id > 15 {
                met.insert(to);
            }
        }
        driver.endpoint_list(
            EndpointListMode::Delta,
            met.iter().map(|e| EndpointEntry { state: EndpointState::Removed, ..engine(*e) }).collect(),
        );
        assert!(forwarded_to(&driver.arrive(99, INTERACTIVE)).is_some(), "it goes further");
        met
    };
    let (a, b) = (few(1), few(2));
    assert!(a.len() <= 8 && b.len() <= 8, "{a:?} {b:?}");
    assert_ne!(a, b);
}

/// Reads keep away from the engine where a load of this gateway holds their tables.
#[test]
fn reads_avoid_an_engine_where_an_own_load_holds_their_tables() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    let mut load = driver.request(1, LOAD);
    load.table_group = Some(TableGroupId(9));
    let (locked_at, _) = forwarded_to(&driver.event(&Event::RequestArrived(load))).unwrap();
    for id in 2..=4 {
        let mut read = driver.request(id, INTERACTIVE);
        read.table_group = Some(TableGroupId(9));
        assert_ne!(forwarded_to(&driver.event(&Event::RequestArrived(read))).unwrap().0, locked_at);
    }
}

/// What is in flight shows a slow engine before it ends: no attempt there has ended yet.
#[test]
fn an_engine_whose_attempts_do_not_end_is_selected_last() {
    let mut driver = Driver::new(settings(), (1..=12).map(engine).collect());
    driver.serve_interactive(100, 120, 0.2);
    let on = forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap().0;
    for _ in 0..2 {
        driver.now += 0.5;
        driver.control_tick();
    }
    driver.now += 0.1;
    driver.control_tick();
    // None of these ends: by the fewest threads alone one of them would go there.
    for id in 2..=24 {
        assert_ne!(forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0, on);
    }
}

/// Where a part of all attempts stalls, an engine is selected last, not ejected: the others may be too few.
/// In time it is tried again.
#[test]
fn an_engine_where_attempts_stall_is_selected_last() {
    for class in [INTERACTIVE, BACKGROUND] {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1), engine(2)]);
        driver.serve_interactive(1000, 200, 0.2);
        let mut to = [0; 2];
        for id in 1..40 {
            let on = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
            if on == 2 {
                driver.attempt_ended(id, 0, 2, Outcome::Success, 0.2);
                continue;
            }
            // Its neighbour is answered, it is not.
            let next = engine(2);
            driver.endpoint_list(
                EndpointListMode::Delta,
                vec![EndpointEntry { state: EndpointState::Draining, ..next.clone() }],
            );
            driver.now += 0.01;
            forwarded_to(&driver.arrive(100 + id, INTERACTIVE)).unwrap();
            driver.attempt_ended(100 + id, 0, 1, Outcome::Success, 0.2);
            driver.now += 1.0;
            driver.control_tick();
            driver.endpoint_list(EndpointListMode::Delta, vec![next]);
            driver.attempt_ended(id, 0, 1, Outcome::Cancelled, 1.0);
            driver.event(&Event::RequestAborted(RequestId(id)));
            break;
        }
        for id in 200..220 {
            let on = forwarded_to(&driver.arrive(id, class)).unwrap().0;
            to[on as usize - 1] += 1;
            driver.attempt_ended(id, 0, on, Outcome::Success, 0.2);
        }
        assert_eq!(to, [0, 20], "the other one has room");
        driver.now += 60.0;
        let back = (300..340).any(|id| {
            let on = forwarded_to(&driver.arrive(id, class)).unwrap().0;
            driver.attempt_ended(id, 0, on, Outcome::Success, 0.2);
            on == 1
        });
        assert!(back, "it is tried again");
    }
}

#[test]
fn interactive_requests_go_to_the_engine_with_the_fewest_own_threads_a_core() {
    let mut s = settings();
    s.machine_types[1].cores = 16.0;
    let big = EndpointEntry { machine_type: MachineTypeId(1), ..engine(2) };
    let mut driver = Driver::new(s, vec![engine(1), big]);
    let mut on = [0, 0];
    for id in 1..=6 {
        on[forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0 as usize - 1] += 1;
    }
    assert_eq!(on, [2, 4]);
}
