//! The seven rules, one by one.

mod common;

use common::*;
use workload_manager::*;

fn keyed(group: IdempotencyScope) -> Settings {
    let mut s = settings();
    s.classes[1].idempotency = Idempotency::Keyed { scope: group, window: 5.0 };
    s
}

#[test]
fn a_held_request_is_answered_by_its_own_deadline() {
    let mut drive = Drive::new(settings(), vec![]);
    let mut request = drive.request(1, REPORT);
    request.deadline = drive.now + 0.5;
    let actions = drive.event(&Event::RequestArrived(request));
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { delay, token, .. } if *token != 0 => Some((*delay, *token)),
        _ => None,
    });
    let (delay, token) = timer.expect("its end is planned at once");
    assert!(delay <= 0.5);
    drive.now += delay;
    assert_eq!(answers(&drive.event(&Event::Timer(token))), vec![(1, true)]);
    assert!(answers(&drive.event(&Event::Timer(token))).is_empty(), "once only");
}

#[test]
fn what_has_waited_past_its_use_is_refused_at_once_with_a_wait() {
    let mut drive = Drive::new(settings(), vec![]);
    drive.arrive(1, LOOKUP);
    drive.now += 1.0;
    let actions = drive.look();
    let told =
        |a: &Action| matches!(a, Action::Reject { request: RequestId(1), retry_after: Some(w) } if *w <= 1.0);
    assert!(actions.iter().any(told), "{actions:?}");
}

#[test]
fn unsafe_requests_are_sent_again_only_when_proved_not_to_have_run() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::ConnectionLost, false),
        (Outcome::Error, false),
    ] {
        let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
        let (first, timeout) = sent_to(&drive.arrive(1, LOAD)).unwrap();
        assert_eq!(timeout, None);
        let actions = drive.ended(1, 0, first, outcome, 0.1);
        assert_eq!(!sends(&actions).is_empty(), again, "{outcome:?}");
        assert_eq!(answers(&actions), if again { vec![] } else { vec![(1, false)] }, "{outcome:?}");
    }
}

#[test]
fn keyed_requests_stay_in_their_group_and_window() {
    let there = EndpointEntry { zone: ZoneId(1), ..engine(2) };
    for group in [IdempotencyScope::All, IdempotencyScope::Zone] {
        let mut drive = Drive::new(keyed(group), vec![engine(1), there.clone()]);
        let (first, _) = sent_to(&drive.arrive(1, REPORT)).unwrap();
        // The engine it ran on drains, so that only the other zone is left.
        let gone = EndpointEntry {
            state: EndpointState::Draining,
            ..if first == 1 { engine(1) } else { there.clone() }
        };
        drive.list(EndpointListMode::Delta, vec![gone]);
        let actions = drive.ended(1, 0, first, Outcome::ConnectionLost, 0.1);
        assert_eq!(sends(&actions).len(), usize::from(group == IdempotencyScope::All), "{group:?}");
    }
    let mut drive = Drive::new(keyed(IdempotencyScope::All), vec![engine(1)]);
    drive.arrive(1, REPORT);
    drive.now += 5.0;
    let actions = drive.ended(1, 0, 1, Outcome::ConnectionLost, 5.0);
    assert!(sends(&actions).is_empty(), "the window has passed");
    assert_eq!(answers(&actions), vec![(1, true)], "all engines drop repeats: trying again is harmless");
}

#[test]
fn nothing_new_goes_to_an_engine_that_drains_or_is_gone() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut drive = Drive::new(settings(), vec![engine(1)]);
        drive.list(EndpointListMode::Delta, vec![EndpointEntry { state, ..engine(1) }]);
        assert!(sends(&drive.arrive(1, LOOKUP)).is_empty());
    }
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    drive.list(EndpointListMode::Full, vec![engine(2)]);
    assert_eq!(sends(&drive.arrive(1, LOOKUP)), vec![(1, 2)], "absent from a full list: it has left");
}

#[test]
fn a_cold_engine_gets_no_more_than_its_budget() {
    let mut s = settings();
    s.gateways = 1;
    let mut drive = Drive::new(s, vec![]);
    let cold = EndpointEntry { started_at: Some(drive.now), ..engine(1) };
    drive.list(EndpointListMode::Delta, vec![cold]);
    // In its first two seconds it can do 0.3 of 8 cores; twice that for 2 s knocks it over: 9.6 s of work.
    // Each is served at once, so that nothing but the budget stops the next.
    let mut sent = 0;
    for id in 1..100 {
        if sent_to(&drive.arrive(id, LOOKUP)).is_some() {
            sent += 1;
            drive.ended(id, 0, 1, Outcome::Success, 0.01);
        }
    }
    assert!((1..=9).contains(&sent), "{sent} requests of a second each");
    drive.now += 11.0;
    drive.look();
    for id in 100..150 {
        assert!(sent_to(&drive.arrive(id, LOOKUP)).is_some(), "warm");
        drive.ended(id, 0, 1, Outcome::Success, 0.01);
    }
}

#[test]
fn requests_of_one_key_run_in_turn_and_rest_after_a_time_out() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    let mut sent = Vec::new();
    for id in 1..=3 {
        let mut request = drive.request(id, LOAD);
        request.key = Some(KeyId(5));
        sent.extend(sends(&drive.event(&Event::RequestArrived(request))));
    }
    assert_eq!(sent.len(), 1, "one at a time");
    let first = sent[0].1;
    let next = sends(&drive.ended(1, 0, first, Outcome::Success, 0.5));
    assert_eq!(next.iter().map(|s| s.0).collect::<Vec<_>>(), vec![2]);
    assert_eq!(answers(&drive.ended(2, 0, next[0].1, Outcome::TimedOut, 0.5)), vec![(2, false)]);
    drive.now += 0.29;
    assert!(sends(&drive.look()).is_empty(), "the key rests");
    drive.now += 0.02;
    assert_eq!(sends(&drive.look()).len(), 1);
}

#[test]
fn a_key_rests_till_a_lost_attempt_is_surely_over() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    let mut sent = Vec::new();
    for id in 1..=2 {
        let mut request = drive.request(id, LOAD);
        request.key = Some(KeyId(5));
        sent.extend(sends(&drive.event(&Event::RequestArrived(request))));
    }
    let lost = Event::AttemptEnded {
        request: RequestId(1),
        attempt: 0,
        engine: EngineId(sent[0].1),
        outcome: Outcome::TimedOut,
        elapsed: 0.5,
        request_settled: true,
        may_still_run_for: 0.4,
        cost: None,
        load_report: None,
    };
    assert!(sends(&drive.event(&lost)).is_empty());
    drive.now += 0.69;
    assert!(sends(&drive.look()).is_empty(), "its engine may run it on, and then the key rests");
    drive.now += 0.02;
    assert_eq!(sends(&drive.look()).iter().map(|s| s.0).collect::<Vec<_>>(), vec![2]);
}

#[test]
fn a_key_is_not_free_while_an_attempt_of_a_finished_request_is_out() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    for id in 1..=2 {
        let mut request = drive.request(id, LOAD);
        request.key = Some(KeyId(5));
        drive.event(&Event::RequestArrived(request));
    }
    assert!(sends(&drive.event(&Event::RequestAborted(RequestId(1)))).is_empty());
}

#[test]
fn bound_classes_go_only_where_they_may() {
    let mut s = settings();
    s.classes[0].allowed_zones = Some(vec![ZoneId(3)]);
    let mut drive = Drive::new(s, vec![engine(1)]);
    assert!(sends(&drive.arrive(1, LOOKUP)).is_empty());
    let there = EndpointEntry { zone: ZoneId(3), ..engine(2) };
    assert_eq!(sends(&drive.list(EndpointListMode::Delta, vec![there])), vec![(1, 2)]);
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings();
    s.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: 10.0 });
    let mut drive = Drive::new(s, (1..=8).map(engine).collect());
    let mut further = 0;
    for id in 1..=3 {
        let (on, _) = sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        further += sends(&drive.ended(id, 0, on, Outcome::ConnectionLost, 0.1)).len();
    }
    assert_eq!(further, 1);
}

#[test]
fn attempts_per_request_are_limited() {
    let mut drive = Drive::new(settings(), (1..=9).map(engine).collect());
    let mut actions = drive.arrive(1, LOOKUP);
    for attempt in 0..4 {
        let on = sends(&actions)[0].1;
        actions = drive.ended(1, attempt, on, Outcome::ConnectFailed, 0.0);
    }
    assert_eq!(answers(&actions), vec![(1, true)], "given up at once after the fourth");
}

/// What many gateways send a cold engine together, each knowing only its own share, which is less than one
/// request: neither more than it bears nor nothing.
#[test]
fn many_gateways_together_neither_push_a_cold_engine_over_nor_shun_it() {
    // As many as the settings say, half and twice as many: they come and go.
    for gateways in [60, 120, 240] {
        together(gateways);
    }
}

fn together(gateways: u64) {
    let span = 2.0;
    let mut s = settings();
    s.gateways = 120;
    let template = Drive::new(s.clone(), vec![]);
    let mut work = Vec::new();
    for seed in 0..gateways {
        let mut gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        let mut actions = Vec::new();
        let cold = EndpointEntry { started_at: Some(100.0), ..engine(1) };
        gateway.on_event(
            100.0,
            &Event::EndpointList { mode: EndpointListMode::Full, entries: vec![cold] },
            &mut actions,
        );
        for tick in 0..60u32 {
            let now = 100.0 + f64::from(tick) * 0.1;
            let mut actions = Vec::new();
            for class in [LOOKUP, REPORT] {
                let id = RequestId(u64::from(tick) * 2 + class.0 as u64);
                let request = Request { id, class, deadline: now + 20.0, ..template.request(0, class) };
                gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            }
            gateway.on_event(now, &Event::Timer(0), &mut actions);
            for (id, _) in sends(&actions) {
                // Half their aims, as the module takes it until it has seen more.
                work.push((now, if id % 2 == 0 { 0.5 } else { 8.0 }));
                gateway.on_event(now, &Event::RequestAborted(RequestId(id)), &mut Vec::new());
            }
        }
    }
    for start in 0..40 {
        let from = 100.0 + f64::from(start) * 0.1;
        let sent: f64 = work.iter().filter(|(at, _)| (from..from + span).contains(at)).map(|(_, w)| w).sum();
        let warmth = 0.3 + 0.7 * (from - 100.0) / 10.0;
        // With twice the gateways chance may add one report of eight seconds.
        let slack = if gateways > 120 { 8.0 } else { 0.0 };
        assert!(sent <= 2.0 * warmth * 8.0 * span + slack, "{gateways}: {sent} s of work from {from}");
    }
    assert!(work.iter().filter(|(at, _)| *at < 102.0).count() > 0, "{gateways}: it is not shunned");
}

/// The same where each gateway works with few of many engines: the budget of those that work with the cold one
/// must make up for those that do not, or it stands idle until it is warm.
#[test]
fn the_gateways_that_work_with_a_cold_engine_use_the_budget_of_those_that_do_not() {
    let (span, gateways) = (2.0, 120);
    let mut s = settings();
    s.gateways = gateways;
    let template = Drive::new(s.clone(), vec![]);
    let mut sent_cold = Vec::new();
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
            let request = Request { id, deadline: now + 4.0, ..template.request(0, LOOKUP) };
            gateway.on_event(now, &Event::RequestArrived(request), &mut actions);
            for (id, to) in sends(&actions) {
                sent_cold.extend((to == 99).then_some(now));
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
    // Dashboards have half of three tenths of what the rule lets through; those that work with it most of that.
    let warmth = |from: f64| 0.3 + 0.7 * (from - 108.0) / 10.0;
    let whole = |from: f64| 2.0 * warmth(from) * 8.0 * 0.85 * span;
    let share = |from: f64| {
        let sent = sent_cold.iter().filter(|at| (from..from + span).contains(*at)).count() as f64 * 0.2;
        sent / whole(from)
    };
    let shares = [110.0, 112.0, 114.0].map(share);
    assert!(shares.iter().all(|share| *share < 0.3), "{shares:?} of what it bears");
    assert!(shares.iter().sum::<f64>() / 3.0 > 0.05, "{shares:?} of what it bears");
}
