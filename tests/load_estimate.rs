//! Load estimate: utilization of engines by load reports or, without reports, by the duration of background
//! work.

mod common;

use common::*;
use workload_manager::*;

fn serve_with_report(driver: &mut Driver, id: u64, engine: u32, report: LoadReport) -> Vec<Action> {
    driver.first_attempt_served(id, engine, 0.2, None, Some(report))
}

/// Load reports include the work of other gateways. An engine that reports high utilization must get no
/// background work, and implausible values must be ignored.
#[test]
fn an_engine_that_reports_high_utilization_gets_no_background_work() {
    for (report, queued) in [
        (LoadReport { in_flight: Some(60.0), ..LoadReport::default() }, true),
        (LoadReport { queued: Some(5.0), ..LoadReport::default() }, true),
        (LoadReport { memory_utilization: Some(0.95), ..LoadReport::default() }, true),
        (LoadReport { in_flight: Some(2.0), core_utilization: Some(0.3), ..LoadReport::default() }, false),
        (LoadReport { in_flight: Some(f64::NAN), queued: Some(-3.0), ..LoadReport::default() }, false),
        (
            LoadReport {
                core_utilization: Some(f64::INFINITY),
                disk_utilization: Some(-1.0),
                ..LoadReport::default()
            },
            false,
        ),
        (LoadReport::default(), false),
    ] {
        let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
        let on = forwarded_to(&driver.arrive(1, INTERACTIVE)).unwrap().0;
        serve_with_report(&mut driver, 1, on, report);
        driver.endpoint_list(
            EndpointListMode::Delta,
            vec![EndpointEntry { state: EndpointState::Draining, ..engine(3 - on) }],
        );
        assert_eq!(forwarded_to(&driver.arrive(2, LOAD)).is_none(), queued, "{report:?}");
        assert!(
            forwarded_to(&driver.arrive(3, INTERACTIVE)).is_some(),
            "interactive requests are forwarded anyway: {report:?}"
        );
    }
}

/// The reported number of queries implies a memory utilization, if the memory of a query and of the engine
/// is known.
#[test]
fn queries_that_use_all_memory_count_as_full_utilization() {
    for (memory_mb, queued) in [(0.0, false), (10_000.0, true)] {
        let mut s = settings();
        s.machine_types[0].memory_mb = memory_mb;
        let mut driver = Driver::new(s, vec![engine(1)]);
        for id in 0..60 {
            driver.arrive(id, INTERACTIVE);
            driver.now += 0.1;
            driver.control_tick();
            driver.first_attempt_served(
                id,
                1,
                0.1,
                Some(QueryCost { work: 0.1, memory_mb: 2_000.0 }),
                Some(LoadReport { in_flight: Some(5.0), ..LoadReport::default() }),
            );
        }
        assert_eq!(forwarded_to(&driver.arrive(100, LOAD)).is_none(), queued, "{memory_mb}");
    }
}

/// Without load reports the duration of background work shows the utilization: a gateway exceeds its share of
/// the limit while the fleet has capacity, and queues background work otherwise.
#[test]
fn without_reports_slow_background_work_indicates_full_engines() {
    for (elapsed, exceeds_share) in [(0.5, true), (3.0, false)] {
        let mut s = settings();
        (s.gateways, s.capabilities.load_reports) = (100, LoadReportSource::None);
        let mut driver = Driver::new(s, (1..=4).map(engine).collect());
        let mut sent = 0;
        for id in 0..20 {
            driver.now += 0.5;
            if let Some((on, _)) = forwarded_to(&driver.arrive(id, BACKGROUND)) {
                sent += 1;
                driver.first_attempt_served(
                    id,
                    on,
                    elapsed,
                    Some(QueryCost { work: 4.0, memory_mb: 0.0 }),
                    None,
                );
            }
        }
        assert_eq!(sent > 10, exceeds_share, "{sent} of 20 forwarded");
    }
}

/// Without load reports only background work shows the end of an overload, so some must always be
/// forwarded, however slow the last request was.
#[test]
fn without_reports_background_work_resumes_after_an_overload() {
    let mut s = settings();
    s.capabilities.load_reports = LoadReportSource::None;
    let mut driver = Driver::new(s, (1..=4).map(engine).collect());
    for id in 0..10 {
        driver.now += 8.0;
        let on =
            forwarded_to(&driver.arrive(id, BACKGROUND)).expect("background work is forwarded at once").0;
        driver.first_attempt_served(id, on, 8.0, Some(QueryCost { work: 4.0, memory_mb: 0.0 }), None);
    }
}

/// Until a load report arrives, the duration of background work lowers the limit. Interactive latency alone
/// would react too late, because engines prefer interactive requests.
#[test]
fn slow_background_work_lowers_a_limit_below_one_thread_without_reports() {
    let (s, engines) = many_gateways();
    let sent = |estimate: Option<f64>| {
        let mut driver = Driver::new(s.clone(), engines.clone());
        let mut sent = 0;
        for id in 1..900 {
            driver.now += 0.1;
            let mut in_flight = forwards(&driver.control_tick());
            driver.serve_interactive(10_000 + id, 1, 0.1);
            let request = Request { estimated_work: estimate, ..driver.request(id, BACKGROUND) };
            in_flight.extend(forwards(&driver.event(&Event::RequestArrived(request))));
            while let Some((id, to)) = in_flight.pop() {
                sent += u32::from(driver.now > 160.0);
                let elapsed = if id < 300 { 1.0 } else { 4.0 };
                in_flight.extend(forwards(&driver.attempt_ended(id, 0, to, Outcome::Success, elapsed)));
            }
        }
        sent
    };
    // Requests from id 300 on take four times as long. Only estimated work shows that the work is the same.
    let (with_estimates, without_estimates) = (sent(Some(4.0)), sent(None));
    assert!(
        0 < with_estimates && 2 * with_estimates < without_estimates,
        "{with_estimates} requests with estimates, {without_estimates} without"
    );
}

/// An external cause may slow down all engines without load. If the gateway's own threads show that an engine
/// is nearly idle, slow background work must not lower its limit.
#[test]
fn slow_engines_with_few_threads_do_not_lower_the_limit() {
    let mut s = single_thread_loads();
    (s.gateways, s.capabilities.load_reports) = (1, LoadReportSource::HealthChecks);
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.serve_interactive(9000, 6, 0.3);
    let cost = Some(QueryCost { work: 1.0, memory_mb: 0.0 });
    for (from, elapsed) in [(1000, 1.0), (2000, 4.0)] {
        for round in from..from + 10 {
            let on = forwarded_to(&driver.arrive(round, LOAD)).expect("the limit has room").0;
            driver.first_attempt_served(round, on, elapsed, cost, None);
            driver.serve_interactive(10 * round, 10, 0.3);
        }
    }
    assert!(
        driver.count_admitted(90_000, LOAD) >= 8,
        "the limit fell although only one thread was in flight at a time"
    );
}
