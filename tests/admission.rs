//! Admission: the overload bound of interactive work, and memory.

mod common;

use common::*;
use workload_manager::*;

/// In a burst interactive requests would fill every engine.
#[test]
fn interactive_requests_are_queued_only_in_an_overload_of_their_own() {
    let mut driver = Driver::new(settings(), vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    // One and a half threads a core of eight, for two gateways: engines thrash beyond one or two.
    assert_eq!(driver.count_admitted(1, INTERACTIVE), 6);
}

/// Beyond an engine's memory all that runs there slows down: background work waits for its share.
#[test]
fn background_work_waits_for_its_share_of_memory() {
    let mut s = settings();
    s.machine_types[0].memory_mb = 8000.0; // 4,000 for each of two gateways, of which seven eighths are used.
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.serve_interactive(100, 40, 0.2);
    let mut admits = |id, need_mb| {
        let request = Request { estimated_memory_mb: Some(need_mb), ..driver.request(id, BACKGROUND) };
        forwarded_to(&driver.event(&Event::RequestArrived(request)))
    };
    assert!(admits(1, 2000.0).is_some());
    assert_eq!(admits(2, 1501.0), None, "3,501 MB are too many");
    assert!(admits(3, 1500.0).is_some(), "one that fits is not queued behind it");
    assert_eq!(
        forwards(&driver.attempt_ended(1, 0, 1, Outcome::Success, 1.0)),
        vec![(2, 1)],
        "the share is free again"
    );

    // One that is larger than any share goes where no other background work is.
    driver.attempt_ended(2, 0, 1, Outcome::Success, 1.0);
    let large = Request { estimated_memory_mb: Some(9000.0), ..driver.request(4, BACKGROUND) };
    assert_eq!(forwarded_to(&driver.event(&Event::RequestArrived(large))), None);
    assert_eq!(forwards(&driver.attempt_ended(3, 0, 1, Outcome::Success, 1.0)), vec![(4, 1)]);
}

/// All shares together leave over a part of what a single gateway leaves over, a quarter: gateways seldom
/// fill their shares at once.
#[test]
fn shares_of_memory_leave_less_over_with_more_gateways() {
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

/// In an overload of interactive requests on all engines, warming ones bear a part of what others do.
#[test]
fn warming_engines_count_by_their_warmth_in_an_overload() {
    let (s, mut engines) = many_gateways();
    engines.iter_mut().take(25).for_each(|e| e.started_at = Some(100.0));
    // One and a half threads a core, of 25 engines and of 25 that bear three tenths, for a hundred gateways.
    assert_eq!(Driver::new(s, engines).count_admitted(1, INTERACTIVE), 4);
}

/// A fleet of 300 gateways over these engines, as one of them sees it.
fn one_of_many_gateways(engines: u32) -> Driver {
    let mut s = settings_with_cancelling();
    (s.gateways, s.on_memory_shortage) = (300, MemoryShortage::Overcommit);
    s.machine_types[0].memory_mb = 32_000.0;
    Driver::new(s, (1..=engines).map(engine).collect())
}

/// What gateways need of memory adds up over engines too: with a thread of each engine at most, no share of
/// one engine ever bound, and after most engines had left, those that stayed ran out of memory.
#[test]
fn memory_binds_over_all_engines_together() {
    for (engines, warming, least, most) in [(80, 0, 2, 4), (80, 60, 1, 1), (800, 0, 18, 40)] {
        let mut driver = one_of_many_gateways(engines);
        // After a minute at rest the concurrency limit alone would admit far more.
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
            (least..=most).contains(&in_flight),
            "{engines} engines, {warming} warming: {in_flight} in flight"
        );
    }
}
