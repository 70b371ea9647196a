//! Endpoint selection and the active subset.

mod common;

use common::*;
use workload_manager::*;

/// An engine with a high relative latency must be selected last, and be tried again once the value has
/// decayed.
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
    let count_to_slow = |driver: &mut Driver, from: u64| {
        (from..from + 20)
            .filter(|id| {
                let to = forwarded_to(&driver.arrive(*id, INTERACTIVE)).unwrap().0;
                driver.attempt_ended(*id, 0, to, Outcome::Success, 0.2);
                to == 1
            })
            .count()
    };
    assert_eq!(count_to_slow(&mut driver, 300), 0);
    driver.now += 30.0;
    driver.control_tick();
    assert!(count_to_slow(&mut driver, 400) > 0, "the slow engine was not selected again");
}

/// Each of a hundred gateways prefers a few engines, chosen by its seed. With requests spread over all
/// engines, it would have too few samples of each. It uses other engines after the preferred ones are
/// removed.
#[test]
fn each_of_many_gateways_prefers_a_few_engines_of_its_own() {
    let mut s = settings();
    s.gateways = 100;
    let active_subset = |seed: u64| {
        let mut driver = Driver::new(s.clone(), (1..=30).map(engine).collect());
        driver.gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        driver.endpoint_list(EndpointListMode::Full, (1..=30).map(engine).collect());
        let mut used = std::collections::BTreeSet::new();
        for id in 0..60 {
            driver.now += 0.5;
            driver.control_tick();
            let to = forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0;
            driver.attempt_ended(id, 0, to, Outcome::Success, 0.2);
            if id > 15 {
                used.insert(to);
            }
        }
        driver.endpoint_list(
            EndpointListMode::Delta,
            used.iter().map(|e| EndpointEntry { state: EndpointState::Removed, ..engine(*e) }).collect(),
        );
        assert!(
            forwarded_to(&driver.arrive(99, INTERACTIVE)).is_some(),
            "not forwarded to an engine outside the active subset"
        );
        used
    };
    let (a, b) = (active_subset(1), active_subset(2));
    assert!(a.len() <= 8 && b.len() <= 8, "{a:?} {b:?}");
    assert_ne!(a, b);
}

/// A read must not go to an engine where a load of this gateway holds its tables, because it would wait
/// there.
#[test]
fn reads_avoid_an_engine_where_a_load_of_the_gateway_holds_their_tables() {
    let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
    let mut load = driver.request(1, LOAD);
    load.table_group = Some(TableGroupId(9));
    let (loading_engine, _) = forwarded_to(&driver.event(&Event::RequestArrived(load))).unwrap();
    for id in 2..=4 {
        let mut read = driver.request(id, INTERACTIVE);
        read.table_group = Some(TableGroupId(9));
        assert_ne!(forwarded_to(&driver.event(&Event::RequestArrived(read))).unwrap().0, loading_engine);
    }
}

/// The age of attempts in flight must indicate a slow engine before they end.
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
    // None of these attempts ends. By the number of threads alone, one of them would go to the slow engine.
    for id in 2..=24 {
        assert_ne!(forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap().0, on);
    }
}

/// An engine where attempts stall is selected last instead of ejected, because the other engines may not have
/// enough capacity. It is selected again later.
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
            // Another attempt on the same engine succeeds while this one stalls.
            let other = engine(2);
            driver.endpoint_list(
                EndpointListMode::Delta,
                vec![EndpointEntry { state: EndpointState::Draining, ..other.clone() }],
            );
            driver.now += 0.01;
            forwarded_to(&driver.arrive(100 + id, INTERACTIVE)).unwrap();
            driver.attempt_ended(100 + id, 0, 1, Outcome::Success, 0.2);
            driver.now += 1.0;
            driver.control_tick();
            driver.endpoint_list(EndpointListMode::Delta, vec![other]);
            driver.attempt_ended(id, 0, 1, Outcome::Cancelled, 1.0);
            driver.event(&Event::RequestAborted(RequestId(id)));
            break;
        }
        for id in 200..220 {
            let on = forwarded_to(&driver.arrive(id, class)).unwrap().0;
            to[on as usize - 1] += 1;
            driver.attempt_ended(id, 0, on, Outcome::Success, 0.2);
        }
        assert_eq!(to, [0, 20], "the engine where an attempt stalled was selected");
        driver.now += 60.0;
        let selected_again = (300..340).any(|id| {
            let on = forwarded_to(&driver.arrive(id, class)).unwrap().0;
            driver.attempt_ended(id, 0, on, Outcome::Success, 0.2);
            on == 1
        });
        assert!(selected_again, "the engine was not selected again");
    }
}

#[test]
fn interactive_requests_go_to_the_engine_with_the_fewest_threads_per_core() {
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
