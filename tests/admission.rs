//! Admission: the overload bound of interactive work, and the memory bound of background work.

mod common;

use common::*;
use workload_manager::*;

/// Without the bound, a burst of interactive requests would overload the engines.
#[test]
fn interactive_requests_beyond_the_overload_bound_are_queued() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    // One and a half threads per core on eight cores, shared by two gateways.
    assert_eq!(driver.count_admitted(1, INTERACTIVE), 6);
}

/// If the gateways together exceeded an engine's memory, queries there would be delayed or slowed down. The
/// background work of each must stay within its share.
#[test]
fn background_work_stays_within_the_gateways_share_of_memory() {
    let mut s = settings();
    s.machine_types[0].memory_mb = 8000.0; // Of 4,000 MB per gateway, 3,500 may be used.
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    let mut admits = |id, need_mb| {
        let request = Request { estimated_memory_mb: Some(need_mb), ..driver.request(id, BACKGROUND) };
        forwarded_to(&driver.event(&Event::RequestArrived(request)))
    };
    assert!(admits(1, 2000.0).is_some());
    assert_eq!(admits(2, 1501.0), None, "3,501 MB exceed the share");
    assert!(admits(3, 1500.0).is_some(), "a request that fits was queued behind one that does not");
    assert_eq!(
        forwards(&driver.attempt_ended(1, 0, 1, Outcome::Success, 1.0)),
        vec![(2, 1)],
        "the queued request was not forwarded when memory became free"
    );

    // A request larger than the share of all engines together is forwarded only while no other background
    // work is in flight.
    driver.attempt_ended(2, 0, 1, Outcome::Success, 1.0);
    let large = Request { estimated_memory_mb: Some(9000.0), ..driver.request(4, BACKGROUND) };
    assert_eq!(forwarded_to(&driver.event(&Event::RequestArrived(large))), None);
    assert_eq!(forwards(&driver.attempt_ended(3, 0, 1, Outcome::Success, 1.0)), vec![(4, 1)]);
}

/// A single gateway leaves a quarter of the memory unused. Several gateways leave less, because they seldom
/// use up their shares at once.
#[test]
fn more_gateways_leave_less_memory_unused() {
    let fits = |gateways, need_mb| {
        let mut s = settings();
        (s.gateways, s.machine_types[0].memory_mb) = (gateways, 12_000.0);
        let mut driver = Driver::new(s, vec![engine(1)]);
        for (id, need_mb) in [(1, 1.0), (2, need_mb - 1.0)] {
            let request = Request { estimated_memory_mb: Some(need_mb), ..driver.request(id, LOAD) };
            if forwarded_to(&driver.event(&Event::RequestArrived(request))).is_none() {
                return false;
            }
        }
        true
    };
    for (gateways, share) in [(1, 9_000.0), (2, 5_250.0)] {
        assert!(fits(gateways, share), "{gateways} gateways");
        assert!(!fits(gateways, share + 1.0), "{gateways} gateways");
    }
}

/// The overload bound must count only the current capacity of engines in slow start.
#[test]
fn the_overload_bound_counts_the_current_capacity_of_warming_engines() {
    let (s, mut engines) = many_gateways();
    engines.iter_mut().take(25).for_each(|e| e.started_at = Some(100.0));
    // One and a half threads per core on 25 warm engines and 25 engines at three tenths of their capacity,
    // shared by a hundred gateways.
    assert_eq!(Driver::new(s, engines).count_admitted(1, INTERACTIVE), 4);
}

/// Creates one of 300 gateways, with this number of engines.
fn one_of_many_gateways(engines: u32) -> Driver {
    let mut s = settings_with_cancelling();
    (s.gateways, s.on_memory_shortage) = (300, MemoryShortage::Overcommit);
    s.machine_types[0].memory_mb = 32_000.0;
    Driver::new(s, (1..=engines).map(engine).collect())
}

/// With many gateways a request exceeds its gateway's share of one engine. Without a bound on the sum over
/// all engines, the gateways together would exceed the memory of few or warming engines.
#[test]
fn memory_is_bounded_over_all_engines_together() {
    for (engines, warming, min, max) in [(80, 0, 2, 4), (80, 60, 1, 1), (800, 0, 18, 40)] {
        let mut driver = one_of_many_gateways(engines);
        // With the token bucket full after an idle minute, the concurrency limit alone would admit far more.
        driver.now += 60.0;
        let started = Some(driver.now);
        driver.endpoint_list(
            EndpointListMode::Delta,
            (1..=warming).map(|id| EndpointEntry { started_at: started, ..engine(id) }).collect(),
        );
        let mut in_flight = 0;
        for id in 1..200 {
            let request = Request {
                estimated_memory_mb: Some(3_000.0),
                estimated_work: Some(0.2),
                ..driver.request(id, BACKGROUND)
            };
            in_flight += forwards(&driver.event(&Event::RequestArrived(request))).len();
            driver.now += 0.05;
            in_flight += forwards(&driver.control_tick()).len();
        }
        assert!(
            (min..=max).contains(&in_flight),
            "{engines} engines, {warming} warming: {in_flight} in flight"
        );
    }
}
