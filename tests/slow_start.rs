//! Slow start: work that many independent gateways together send to a warming engine.

mod common;

use common::*;
use workload_manager::*;

/// Each gateway's share of a warming engine is less than one request. Together they must neither overload the
/// engine nor avoid it.
#[test]
fn many_gateways_together_neither_overload_a_warming_engine_nor_avoid_it() {
    // Half, all and twice the number of gateways in the settings.
    for gateways in [60, 120, 240] {
        check_gateways_together(gateways);
    }
}

fn check_gateways_together(gateways: u64) {
    let window = 2.0;
    let mut s = settings();
    s.gateways = 120;
    let template = Driver::new(s.clone(), vec![]);
    let mut work = Vec::new();
    for seed in 0..gateways {
        let mut gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        let mut actions = Vec::new();
        let warming = EndpointEntry { started_at: Some(100.0), ..engine(1) };
        gateway.on_event(
            100.0,
            &Event::EndpointList { mode: EndpointListMode::Full, entries: vec![warming] },
            &mut actions,
        );
        for tick in 0..60u32 {
            let now = 100.0 + f64::from(tick) * 0.1;
            let mut actions = Vec::new();
            for class in [INTERACTIVE, BACKGROUND] {
                let id = RequestId(u64::from(tick) * 2 + class.0 as u64);
                let request = Request { id, class, deadline: now + 20.0, ..template.request(0, class) };
                gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            }
            gateway.on_event(now, &Event::Timer(0), &mut actions);
            for (id, _) in forwards(&actions) {
                // Half the objective on each thread: the work charged for a class without samples.
                work.push((now, if id % 2 == 0 { 0.5 } else { 8.0 }));
                gateway.on_event(now, &Event::RequestAborted(RequestId(id)), &mut Vec::new());
            }
        }
    }
    for start in 0..40 {
        let from = 100.0 + f64::from(start) * 0.1;
        let sent: f64 =
            work.iter().filter(|(at, _)| (from..from + window).contains(at)).map(|(_, w)| w).sum();
        let warm_up = 0.3 + 0.7 * (from - 100.0) / 10.0;
        // Twice the gateways may exceed the bound by one request of eight seconds.
        let slack = if gateways > 120 { 8.0 } else { 0.0 };
        assert!(
            sent <= 2.0 * warm_up * 8.0 * window + slack,
            "{gateways} gateways: {sent} s of work in the window from {from}"
        );
    }
    assert!(
        work.iter().filter(|(at, _)| *at < 102.0).count() > 0,
        "{gateways} gateways: the warming engine got no request in two seconds"
    );
}

/// Each gateway prefers few of many engines. If the gateways without preference for a warming engine kept
/// their part of its budget, the engine would idle until it is warm.
#[test]
fn gateways_that_prefer_a_warming_engine_use_the_budget_of_those_that_do_not() {
    let (window, gateways) = (2.0, 120);
    let mut s = settings();
    s.gateways = gateways;
    let template = Driver::new(s.clone(), vec![]);
    let mut sent_to_warming = Vec::new();
    for seed in 0..u64::from(gateways) {
        let mut gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        let warm: Vec<_> = (1..=40).map(engine).collect();
        gateway.on_event(
            100.0,
            &Event::EndpointList { mode: EndpointListMode::Full, entries: warm },
            &mut Vec::new(),
        );
        for tick in 0..90u32 {
            let now = 100.0 + f64::from(tick) * 0.2;
            let mut actions = Vec::new();
            if tick == 40 {
                let entries = vec![EndpointEntry { started_at: Some(now), ..engine(99) }];
                gateway.on_event(
                    now,
                    &Event::EndpointList { mode: EndpointListMode::Delta, entries },
                    &mut actions,
                );
            }
            gateway.on_event(now, &Event::Timer(0), &mut actions);
            let id = RequestId(u64::from(tick));
            let request = Request { id, deadline: now + 4.0, ..template.request(0, INTERACTIVE) };
            gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            for (id, to) in forwards(&actions) {
                sent_to_warming.extend((to == 99).then_some(now));
                let ended = Event::AttemptEnded {
                    request: RequestId(id),
                    attempt: 0,
                    engine: EngineId(to),
                    outcome: Outcome::Success,
                    elapsed: 0.2,
                    request_settled: true,
                    may_still_run_for: 0.0,
                    cost: None,
                    load_report: None,
                };
                gateway.on_event(now, &ended, &mut Vec::new());
            }
        }
    }
    // All gateways may use three tenths of this budget, half of that for interactive requests. The gateways
    // that prefer the engine use most of that half.
    let warm_up = |from: f64| 0.3 + 0.7 * (from - 108.0) / 10.0;
    let budget = |from: f64| 2.0 * warm_up(from) * 8.0 * 0.85 * window;
    let share = |from: f64| {
        let sent =
            sent_to_warming.iter().filter(|at| (from..from + window).contains(*at)).count() as f64 * 0.2;
        sent / budget(from)
    };
    let shares = [110.0, 112.0, 114.0].map(share);
    assert!(shares.iter().all(|share| *share < 0.3), "shares of the budget: {shares:?}");
    assert!(shares.iter().sum::<f64>() / 3.0 > 0.05, "shares of the budget: {shares:?}");
}
