//! Failures met in rounds, each as small as it gets.

mod common;

use common::*;
use workload_manager::*;

fn cancelling() -> Settings {
    let mut s = settings();
    s.capabilities.cancels_attempts = true;
    s.capabilities.progress_period = 0.5;
    s
}

fn cancels(actions: &[Action]) -> Vec<u64> {
    let cancel =
        |a: &Action| if let Action::CancelAttempt { request, .. } = a { Some(request.0) } else { None };
    actions.iter().filter_map(cancel).collect()
}

/// An attempt that will take many times the usual is taken back once and sent anew.
#[test]
fn a_runaway_attempt_is_cancelled_once() {
    let mut drive = Drive::new(cancelling(), vec![engine(1), engine(2)]);
    drive.arrive(1, REPORT);
    drive.now += 1.0;
    let slow = |attempt| Event::AttemptProgress {
        request: RequestId(1),
        attempt,
        progress: Progress::Fraction(0.07),
    };
    assert_eq!(cancels(&drive.event(&slow(0))), vec![1]);
    let again = drive.ended(1, 0, 1, Outcome::Cancelled, 1.0);
    let again = if sends(&again).is_empty() { drive.ended(1, 0, 2, Outcome::Cancelled, 1.0) } else { again };
    assert_eq!(sends(&again).len(), 1);
    drive.now += 1.0;
    assert!(cancels(&drive.event(&slow(1))).is_empty(), "slow again: it is truly heavy");
}

/// One that stood behind a load is judged like any other: elsewhere it need not stand.
#[test]
fn an_attempt_that_waits_is_taken_back_like_any_other() {
    let mut drive = Drive::new(cancelling(), vec![engine(1)]);
    drive.arrive(1, REPORT);
    drive.event(&Event::AttemptProgress {
        request: RequestId(1),
        attempt: 0,
        progress: Progress::WaitingForLoad,
    });
    drive.now += 3.0;
    let note =
        Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.01) };
    assert_eq!(cancels(&drive.event(&note)), vec![1]);
}

/// No attempt is timed out: where cancelling frees nothing a second one only adds to a jam, and elsewhere
/// its pace tells more than its age.
#[test]
fn no_attempt_is_timed_out() {
    for s in [settings(), cancelling()] {
        let mut drive = Drive::new(s, vec![engine(1)]);
        assert_eq!(sent_to(&drive.arrive(1, LOOKUP)).unwrap().1, None);
    }
}

/// At size an engine may answer this gateway nothing while one long report of it runs there.
#[test]
fn an_engine_that_sends_news_is_not_silent() {
    for (news, out) in [(true, false), (false, true)] {
        let mut drive = Drive::new(cancelling(), vec![engine(1), engine(2)]);
        let on = sent_to(&drive.arrive(1, REPORT)).unwrap().0;
        for _ in 0..18 {
            drive.now += 0.5;
            if news {
                drive.event(&Event::AttemptProgress {
                    request: RequestId(1),
                    attempt: 0,
                    progress: Progress::Fraction(0.9),
                });
            }
            drive.look();
        }
        let other = EndpointEntry { state: EndpointState::Draining, ..engine(3 - on) };
        drive.list(EndpointListMode::Delta, vec![other]);
        assert_eq!(sent_to(&drive.arrive(2, LOOKUP)).is_none(), out, "news: {news}");
    }
}

fn reported(drive: &mut Drive, id: u64, engine: u32, report: LoadReport) -> Vec<Action> {
    drive.served(id, engine, 0.2, None, Some(report))
}

/// Reports are the one sight of what other gateways send: an engine that says it is full gets no secondary
/// work, until the report has aged.
#[test]
fn an_engine_that_says_it_is_full_gets_no_secondary_work() {
    for (report, held) in [
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
        let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
        let on = sent_to(&drive.arrive(1, LOOKUP)).unwrap().0;
        reported(&mut drive, 1, on, report);
        drive.list(
            EndpointListMode::Delta,
            vec![EndpointEntry { state: EndpointState::Draining, ..engine(3 - on) }],
        );
        assert_eq!(sent_to(&drive.arrive(2, LOAD)).is_none(), held, "{report:?}");
        assert!(sent_to(&drive.arrive(3, LOOKUP)).is_some(), "dashboards pass: {report:?}");
    }
}

/// Slower and slower before a crash: an engine whose attempts take long against the usual is used last.
#[test]
fn a_slow_engine_is_worked_with_last_and_comes_back_with_time() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2), engine(3)]);
    drive.dashboards(100, 60, 0.2);
    for id in 200..290 {
        let to = sent_to(&drive.arrive(id, LOOKUP)).unwrap().0;
        drive.ended(id, 0, to, Outcome::Success, if to == 1 { 1.2 } else { 0.2 });
        drive.now += 0.05;
        drive.look();
    }
    let to_slow = |drive: &mut Drive, from: u64| {
        (from..from + 20)
            .filter(|id| {
                let to = sent_to(&drive.arrive(*id, LOOKUP)).unwrap().0;
                drive.ended(*id, 0, to, Outcome::Success, 0.2);
                to == 1
            })
            .count()
    };
    assert_eq!(to_slow(&mut drive, 300), 0);
    drive.now += 30.0;
    drive.look();
    assert!(to_slow(&mut drive, 400) > 0, "no engine is shut out for good");
}

/// With a hundred gateways each sees an engine too seldom to learn of it: it works with a few, picked by its
/// own seed, and goes further where these are out.
#[test]
fn a_gateway_of_many_works_with_a_few_engines_of_its_own() {
    let mut s = settings();
    s.gateways = 100;
    let few = |seed: u64| {
        let mut drive = Drive::new(s.clone(), (1..=30).map(engine).collect());
        drive.gateway = workload_manager::WorkloadManager::new(s.clone(), seed).unwrap();
        drive.list(EndpointListMode::Full, (1..=30).map(engine).collect());
        let mut met = std::collections::BTreeSet::new();
        for id in 0..60 {
            drive.now += 0.5;
            drive.look();
            let to = sent_to(&drive.arrive(id, LOOKUP)).unwrap().0;
            drive.ended(id, 0, to, Outcome::Success, 0.2);
            if id > 15 {
                met.insert(to);
            }
        }
        drive.list(
            EndpointListMode::Delta,
            met.iter().map(|e| EndpointEntry { state: EndpointState::Removed, ..engine(*e) }).collect(),
        );
        assert!(sent_to(&drive.arrive(99, LOOKUP)).is_some(), "it goes further");
        met
    };
    let (a, b) = (few(1), few(2));
    assert!(a.len() <= 8 && b.len() <= 8, "{a:?} {b:?}");
    assert_ne!(a, b);
}

/// Equal waits would bring all clients back in step.
#[test]
fn retry_after_is_spread() {
    let mut drive = Drive::new(settings(), vec![]);
    for id in 0..8 {
        drive.arrive(id, LOOKUP);
    }
    drive.now += 1.0;
    let wait = |a: &Action| if let Action::Reject { retry_after, .. } = a { *retry_after } else { None };
    let waits: Vec<f64> = drive.look().iter().filter_map(wait).collect();
    assert_eq!(waits.len(), 8);
    assert!(
        waits.iter().all(|w| (0.5..=1.0).contains(w)) && waits.iter().any(|w| *w != waits[0]),
        "{waits:?}"
    );
}

/// A silent engine is left alone, and tried again with one attempt.
#[test]
fn a_silent_engine_is_out_until_a_trial_succeeds() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    drive.dashboards(100, 40, 0.2);
    let mut stuck = 0;
    for id in 1..=4 {
        let (on, _) = sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        if on == 2 {
            drive.ended(id, 0, 2, Outcome::Success, 0.2);
        } else {
            stuck += 1;
        }
    }
    assert!(stuck > 0);
    drive.now += 2.1;
    drive.look();
    for id in 11..=16 {
        assert_eq!(sent_to(&drive.arrive(id, LOOKUP)).unwrap().0, 2);
        // Some stay out, so that the silent one has the fewest; not so many that the other is in a jam.
        if id < 14 {
            drive.ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    drive.now += 1.1;
    let mut trials = Vec::new();
    for id in 21..=26 {
        let (on, _) = sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        trials.push(on);
        if on == 2 {
            drive.ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert_eq!(trials.iter().filter(|e| **e == 1).count(), 1, "one trial: {trials:?}");
}

/// Time-outs behind a load are no sign of illness while the engine answers others.
#[test]
fn time_outs_of_an_answering_engine_do_not_put_it_out() {
    let mut drive = Drive::new(cancelling(), vec![engine(1)]);
    drive.dashboards(100, 40, 0.2);
    for id in 1..=4 {
        drive.arrive(id, LOOKUP);
    }
    for id in 1..=4 {
        drive.ended(id, 0, 1, Outcome::TimedOut, 2.0);
    }
    drive.ended(1, 1, 1, Outcome::Success, 0.1);
    assert!(sent_to(&drive.arrive(50, LOOKUP)).is_some());
}

/// Dashboards that time out count in R, so that a jam lowers C.
#[test]
fn dashboards_that_time_out_lower_c() {
    let mut s = cancelling();
    s.capabilities.max_attempts = 1;
    s.classes[2] = Class { is_load: true, ..class(3.0, 1, 30.0) };
    let mut drive = Drive::new(s, vec![engine(1)]);
    drive.dashboards(100, 8, 0.2);
    for id in 200..260 {
        drive.arrive(id, LOOKUP);
        drive.ended(id, 0, 1, Outcome::TimedOut, 2.0);
    }
    assert_eq!(drive.room(1, LOAD), 1);
}

/// In a burst dashboards would fill every session of every engine.
#[test]
fn dashboards_are_held_by_a_jam_of_dashboards_only() {
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    drive.dashboards(100, 40, 0.2);
    // One and a half threads a core of eight, for two gateways: engines thrash beyond one or two.
    assert_eq!(drive.room(1, LOOKUP), 6);
}

/// A gateway that is back with a cached list sends little to each engine until it has answered.
#[test]
fn a_cached_list_is_tried_gently() {
    let mut drive = Drive::new(settings(), vec![]);
    drive.list(EndpointListMode::Cached, vec![engine(1)]);
    assert_eq!(drive.room(1, LOOKUP), 4);
}

/// Reads keep away from the engine where an own load holds their group.
#[test]
fn reads_avoid_an_engine_where_an_own_load_holds_their_group() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    let mut load = drive.request(1, LOAD);
    load.table_group = Some(TableGroupId(9));
    let (held_on, _) = sent_to(&drive.event(&Event::RequestArrived(load))).unwrap();
    for id in 2..=4 {
        let mut read = drive.request(id, LOOKUP);
        read.table_group = Some(TableGroupId(9));
        assert_ne!(sent_to(&drive.event(&Event::RequestArrived(read))).unwrap().0, held_on);
    }
}

/// An engine that refuses at once has the fewest threads out and would draw all traffic.
#[test]
fn a_full_engine_rests_for_a_moment() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    drive.dashboards(100, 40, 0.2);
    let (full, _) = sent_to(&drive.arrive(1, LOOKUP)).unwrap();
    let other = 3 - full;
    assert_eq!(sends(&drive.ended(1, 0, full, Outcome::Rejected, 0.0)), vec![(1, other)]);
    for id in 2..=4 {
        assert_eq!(sent_to(&drive.arrive(id, LOOKUP)).unwrap().0, other);
    }
    drive.now += 0.3;
    assert_eq!(sent_to(&drive.arrive(5, LOOKUP)).unwrap().0, full, "no trial: it was not ill");
}

/// The bound of C climbs only where C was made use of: a quiet spell teaches nothing.
#[test]
fn the_bound_of_c_climbs_only_with_use() {
    let s = thin();
    let mut quiet = Drive::new(s.clone(), vec![engine(1)]);
    quiet.dashboards(1000, 400, 0.2);
    assert_eq!(quiet.room(1, LOAD), 8, "twice the starting value");
    let mut busy = Drive::new(s, vec![engine(1)]);
    busy.dashboards(1000, 40, 0.2);
    assert_eq!(busy.room(1, LOAD), 8);
    busy.dashboards(2000, 100, 0.2);
    assert!(busy.room(50, LOAD) >= 1, "more than eight are out");
}

/// In a jam every attempt is slow: withdrawing them all only loses work.
#[test]
fn pace_is_judged_against_how_slow_the_engine_is() {
    for (latency, withdrawn) in [(0.2, 1), (2.0, 0)] {
        let mut drive = Drive::new(cancelling(), vec![engine(1)]);
        drive.dashboards(100, 40, 0.2);
        drive.dashboards(200, 40, latency);
        drive.arrive(1, REPORT);
        drive.now += 1.0;
        let note =
            Event::AttemptProgress { request: RequestId(1), attempt: 0, progress: Progress::Fraction(0.1) };
        assert_eq!(cancels(&drive.event(&note)).len(), withdrawn, "dashboards at {latency} s");
    }
}

/// A registry that turns calls away is not asked again at once.
#[test]
fn a_failed_subscription_is_asked_for_again_after_a_while() {
    let mut s = settings();
    s.capabilities.polls_endpoint_list = true;
    let mut drive = Drive::new(s, vec![]);
    let actions = drive.list(EndpointListMode::Failed, vec![]);
    assert!(!actions.contains(&Action::WatchEndpointList));
    let token =
        actions.iter().find_map(|a| if let Action::SetTimer { token, .. } = a { Some(*token) } else { None });
    assert!(drive.event(&Event::Timer(token.unwrap())).contains(&Action::WatchEndpointList));
}

/// Answers that are lost while the engine works and sends news of others: where news come, an attempt with
/// none is over.
#[test]
fn an_attempt_without_news_is_sent_anew() {
    let mut drive = Drive::new(cancelling(), vec![engine(1), engine(2)]);
    drive.dashboards(100, 40, 0.2);
    let on = sent_to(&drive.arrive(1, LOOKUP)).unwrap().0;
    drive.now += 0.5;
    drive.event(&Event::AttemptProgress {
        request: RequestId(1),
        attempt: 0,
        progress: Progress::Fraction(0.5),
    });
    drive.now += 0.7;
    assert!(cancels(&drive.look()).is_empty(), "news a while ago");
    drive.now += 0.1;
    assert_eq!(cancels(&drive.look()), vec![1]);
    assert_eq!(sends(&drive.ended(1, 0, on, Outcome::Cancelled, 1.3)).len(), 1);
    let mut s = settings();
    s.capabilities.progress_period = 0.5;
    let mut drive = Drive::new(s, vec![engine(1)]);
    drive.arrive(1, LOOKUP);
    drive.now += 3.0;
    assert!(cancels(&drive.look()).is_empty(), "where nothing may be cancelled");
}

/// What is still out tells of a slow engine before it ends: here no attempt there has ended yet.
#[test]
fn an_engine_whose_attempts_stay_out_is_worked_with_last() {
    let mut drive = Drive::new(settings(), (1..=12).map(engine).collect());
    drive.dashboards(100, 120, 0.2);
    let on = sent_to(&drive.arrive(1, LOOKUP)).unwrap().0;
    for _ in 0..2 {
        drive.now += 0.5;
        drive.look();
    }
    drive.now += 0.1;
    drive.look();
    // None of these ends: by the fewest threads alone one of them would go there.
    for id in 2..=24 {
        assert_ne!(sent_to(&drive.arrive(id, LOOKUP)).unwrap().0, on);
    }
}

/// A count of queries is memory too, where answers tell what a query needs and settings what an engine has.
#[test]
fn queries_that_fill_the_memory_fill_the_engine() {
    for (memory_mb, held) in [(0.0, false), (10_000.0, true)] {
        let mut s = settings();
        s.machine_types[0].memory_mb = memory_mb;
        let mut drive = Drive::new(s, vec![engine(1)]);
        for id in 0..60 {
            drive.arrive(id, LOOKUP);
            drive.now += 0.1;
            drive.look();
            drive.served(
                id,
                1,
                0.1,
                Some(QueryCost { work: 0.1, memory_mb: 2_000.0 }),
                Some(LoadReport { in_flight: Some(5.0), ..LoadReport::default() }),
            );
        }
        assert_eq!(sent_to(&drive.arrive(100, LOAD)).is_none(), held, "{memory_mb}");
    }
}

/// What the client no longer waits for is taken back, where engines heed it.
#[test]
fn a_client_that_quits_takes_its_attempt_back() {
    let mut drive = Drive::new(cancelling(), vec![engine(1)]);
    drive.arrive(1, REPORT);
    assert_eq!(cancels(&drive.event(&Event::RequestAborted(RequestId(1)))), vec![1]);
}

/// Without any report what secondary work took, in times its work, tells how full engines are: one of many
/// gateways need not stay at its share of C while the fleet has room, and holds reports while it has none.
#[test]
fn without_reports_slow_secondary_work_tells_of_full_engines() {
    for (elapsed, freed) in [(0.5, true), (3.0, false)] {
        let mut s = settings();
        (s.gateways, s.capabilities.load_reports) = (100, LoadReportSource::None);
        let mut drive = Drive::new(s, (1..=4).map(engine).collect());
        let mut sent = 0;
        for id in 0..20 {
            drive.now += 0.5;
            if let Some((on, _)) = sent_to(&drive.arrive(id, REPORT)) {
                sent += 1;
                drive.served(id, on, elapsed, Some(QueryCost { work: 4.0, memory_mb: 0.0 }), None);
            }
        }
        assert_eq!(sent > 10, freed, "{sent} of 20");
    }
}

/// What tells of full engines must not be what keeps all from telling otherwise: without reports secondary
/// work is never barred for good, however slow the last of it was.
#[test]
fn without_reports_secondary_work_comes_back_after_a_jam() {
    let mut s = settings();
    s.capabilities.load_reports = LoadReportSource::None;
    let mut drive = Drive::new(s, (1..=4).map(engine).collect());
    for id in 0..10 {
        drive.now += 8.0;
        let on = sent_to(&drive.arrive(id, REPORT)).expect("not held").0;
        drive.served(id, on, 8.0, Some(QueryCost { work: 4.0, memory_mb: 0.0 }), None);
    }
}

/// Engines that fail quickly look the emptiest, and at size one is seen too seldom for a run of four errors:
/// a second error soon after the first takes it out, however many engines there are.
#[test]
fn an_engine_that_fails_twice_is_out() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2), engine(3)]);
    let mut failed = 0;
    for id in 0..40 {
        let on = sent_to(&drive.arrive(id, LOOKUP)).unwrap().0;
        let outcome = if on == 1 { Outcome::Error } else { Outcome::Success };
        failed += u32::from(on == 1);
        let again = drive.ended(id, 0, on, outcome, 0.5);
        if let Some((on, _)) = sent_to(&again) {
            failed += u32::from(on == 1);
            drive.ended(id, 1, on, if on == 1 { Outcome::Error } else { Outcome::Success }, 0.5);
        }
        drive.now += 0.005;
    }
    assert!(failed <= 2, "{failed} errors in a fifth of a second");
}

/// Beyond what memory there is all that runs on an engine slows down: secondary work waits for its share.
#[test]
fn secondary_work_waits_for_its_share_of_memory() {
    let mut s = settings();
    s.machine_types[0].memory_mb = 8000.0; // 4,000 for each of two gateways, of which seven eighths are used.
    let mut drive = Drive::new(s, vec![engine(1)]);
    drive.dashboards(100, 40, 0.2);
    let mut report = |id, need_mb| {
        let request = Request { estimated_memory_mb: Some(need_mb), ..drive.request(id, REPORT) };
        sent_to(&drive.event(&Event::RequestArrived(request)))
    };
    assert!(report(1, 2000.0).is_some());
    assert_eq!(report(2, 1501.0), None, "3,501 MB are too many");
    assert!(report(3, 1500.0).is_some(), "one that fits is not held for it");
    assert_eq!(sends(&drive.ended(1, 0, 1, Outcome::Success, 1.0)), vec![(2, 1)], "the share is free again");

    // One that is larger than any share goes where no other secondary work is.
    drive.ended(2, 0, 1, Outcome::Success, 1.0);
    let large = Request { estimated_memory_mb: Some(9000.0), ..drive.request(4, REPORT) };
    assert_eq!(sent_to(&drive.event(&Event::RequestArrived(large))), None);
    assert_eq!(sends(&drive.ended(3, 0, 1, Outcome::Success, 1.0)), vec![(4, 1)]);
}

/// All shares together leave over what one gateway alone leaves a quarter of: it has nobody to be lucky with.
#[test]
fn shares_of_memory_leave_less_over_the_more_gateways_there_are() {
    let fits = |gateways, need_mb| {
        let mut s = settings();
        (s.gateways, s.machine_types[0].memory_mb) = (gateways, 12_000.0);
        let mut drive = Drive::new(s, vec![engine(1)]);
        for (id, need_mb) in [(1, 1.0), (2, need_mb - 1.0)] {
            let request = Request { estimated_memory_mb: Some(need_mb), ..drive.request(id, LOAD) };
            if sent_to(&drive.event(&Event::RequestArrived(request))).is_none() {
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

/// Errors that a request draws from every engine are its own: engines stay well, and it is not sent on and on.
#[test]
fn a_request_that_errs_everywhere_takes_no_engine_out() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2), engine(3)]);
    drive.dashboards(100, 40, 0.2);
    for id in 1..=20 {
        let (first, _) = sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        let again = sends(&drive.ended(id, 0, first, Outcome::Error, 0.01));
        let &[(_, second)] = again.as_slice() else { panic!("it is sent once more: {again:?}") };
        assert_ne!(first, second, "another engine may do better");
        let end = drive.ended(id, 1, second, Outcome::Error, 0.01);
        assert_eq!(end, vec![Action::Fail(RequestId(id))]);
    }
    let used: Vec<u32> = (30..36).map(|id| sent_to(&drive.arrive(id, LOOKUP)).unwrap().0).collect();
    assert!((1..=3).all(|e| used.contains(&e)), "all engines are still in use: {used:?}");
}

/// Where another engine does better, the error was the engine's.
#[test]
fn an_engine_that_errs_alone_goes_out() {
    let mut drive = Drive::new(settings(), vec![engine(1), engine(2)]);
    drive.dashboards(100, 40, 0.2);
    let mut met = 0;
    for id in 1..=12 {
        let (first, _) = sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        if first == 1 {
            met += 1;
            assert_eq!(sends(&drive.ended(id, 0, 1, Outcome::Error, 0.01)), vec![(id, 2)]);
            drive.ended(id, 1, 2, Outcome::Success, 0.2);
        } else {
            drive.ended(id, 0, 2, Outcome::Success, 0.2);
        }
    }
    assert!(met <= 2, "it went on to get {met}");
    assert!(met >= 1, "it was never tried");
}

/// A dashboard that stands still where others run well is drawn anew, once; its engine may go on serving.
#[test]
fn a_dashboard_that_stands_still_is_drawn_anew() {
    let mut drive = Drive::new(cancelling(), vec![engine(1)]);
    drive.dashboards(100, 40, 0.2);
    sent_to(&drive.arrive(1, LOOKUP)).unwrap();
    drive.now += 0.5;
    sent_to(&drive.arrive(2, LOOKUP)).unwrap();
    drive.now += 0.2;
    drive.ended(2, 0, 1, Outcome::Success, 0.2);
    let cancel = Action::CancelAttempt { request: RequestId(1), attempt: 0 };
    assert!(!drive.event(&Event::Timer(0)).contains(&cancel), "it may still be well");
    drive.now += 0.8;
    assert!(drive.event(&Event::Timer(0)).contains(&cancel), "seven times what others take");
    assert_eq!(sends(&drive.ended(1, 0, 1, Outcome::Cancelled, 1.5)), vec![(1, 1)]);
}

/// That an attempt goes on is news of its engine, but no progress: for a while only it stands for a note.
#[test]
fn word_that_an_attempt_goes_on_holds_it_for_a_while() {
    let mut drive = Drive::new(cancelling(), vec![engine(1)]);
    drive.dashboards(100, 40, 0.2);
    sent_to(&drive.arrive(1, REPORT)).unwrap();
    let cancel = Action::CancelAttempt { request: RequestId(1), attempt: 0 };
    let mut held = 0;
    for _ in 0..30 {
        drive.now += 0.1;
        drive.event(&Event::AttemptProgress {
            request: RequestId(1),
            attempt: 0,
            progress: Progress::Running,
        });
        if drive.event(&Event::Timer(0)).contains(&cancel) {
            break;
        }
        held += 1;
    }
    assert!((9..20).contains(&held), "longer than without a word, and not for good: {held}");
}

/// New engines come all day: those that have gone are forgotten once nothing is out there.
#[test]
fn engines_that_have_gone_are_forgotten() {
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    sent_to(&drive.arrive(1, LOOKUP)).unwrap();
    for id in 2..50 {
        let gone = EndpointEntry { state: EndpointState::Removed, ..engine(id - 1) };
        drive.list(EndpointListMode::Delta, vec![engine(id), gone]);
    }
    assert_eq!(drive.gateway.engines_known(), 2, "the newest, and the one with an attempt out");
    drive.ended(1, 0, 1, Outcome::Success, 0.2);
    drive.event(&Event::Timer(0));
    assert_eq!(drive.gateway.engines_known(), 1);
}

/// Where a part of all attempts stands still, an engine is worked with last, and not shut out: two that run well
/// may be too few for all. In time it is tried again.
#[test]
fn an_engine_where_attempts_stand_still_gets_the_last_of_the_work() {
    for class in [LOOKUP, REPORT] {
        let mut drive = Drive::new(cancelling(), vec![engine(1), engine(2)]);
        drive.dashboards(1000, 200, 0.2);
        let mut to = [0; 2];
        for id in 1..40 {
            let on = sent_to(&drive.arrive(id, LOOKUP)).unwrap().0;
            if on == 2 {
                drive.ended(id, 0, 2, Outcome::Success, 0.2);
                continue;
            }
            // Its neighbour is answered, it is not.
            let next = engine(2);
            drive.list(
                EndpointListMode::Delta,
                vec![EndpointEntry { state: EndpointState::Draining, ..next.clone() }],
            );
            drive.now += 0.01;
            sent_to(&drive.arrive(100 + id, LOOKUP)).unwrap();
            drive.ended(100 + id, 0, 1, Outcome::Success, 0.2);
            drive.now += 1.0;
            drive.look();
            drive.list(EndpointListMode::Delta, vec![next]);
            drive.ended(id, 0, 1, Outcome::Cancelled, 1.0);
            drive.event(&Event::RequestAborted(RequestId(id)));
            break;
        }
        for id in 200..220 {
            let on = sent_to(&drive.arrive(id, class)).unwrap().0;
            to[on as usize - 1] += 1;
            drive.ended(id, 0, on, Outcome::Success, 0.2);
        }
        assert_eq!(to, [0, 20], "the other one has room");
        drive.now += 60.0;
        let back = (300..340).any(|id| {
            let on = sent_to(&drive.arrive(id, class)).unwrap().0;
            drive.ended(id, 0, on, Outcome::Success, 0.2);
            on == 1
        });
        assert!(back, "it is tried again");
    }
}

/// One that stood still says nothing of how full its engine is: C must not fall for it.
#[test]
fn what_stood_still_does_not_lower_c() {
    let room = |stuck: bool| {
        let mut drive = Drive::new(cancelling(), vec![engine(1)]);
        drive.dashboards(1000, 40, 0.2);
        for id in (1..80).step_by(2) {
            let patient = Request { deadline: drive.now + 8.0, ..drive.request(id, LOOKUP) };
            sent_to(&drive.event(&Event::RequestArrived(patient))).unwrap();
            drive.now += 0.01;
            sent_to(&drive.arrive(id + 1, LOOKUP)).unwrap();
            drive.now += 0.2;
            drive.ended(id + 1, 0, 1, Outcome::Success, 0.2);
            drive.now += 4.0;
            if stuck {
                assert!(!cancels(&drive.look()).is_empty());
            }
            let again = drive.ended(id, 0, 1, Outcome::Cancelled, 4.2);
            drive.ended(id, 1, sent_to(&again).unwrap().0, Outcome::Success, 0.2);
        }
        drive.room(200, LOAD)
    };
    assert!(room(true) > room(false), "{} {}", room(true), room(false));
}

/// However many stood still before, the next one is noticed as soon: their waits say nothing of what the next
/// should take.
#[test]
fn attempts_that_stand_still_do_not_hide_the_next() {
    for class in [LOOKUP, REPORT] {
        let mut s = cancelling();
        s.capabilities.progress_period = 0.0;
        let mut drive = Drive::new(s, vec![engine(1)]);
        drive.dashboards(1000, 40, 0.2);
        for id in 2000..2040 {
            sent_to(&drive.arrive(id, REPORT)).unwrap();
            drive.ended(id, 0, 1, Outcome::Success, 0.2);
        }
        for id in (1..40).step_by(2) {
            sent_to(&drive.arrive(id, class)).unwrap();
            drive.now += 0.01;
            drive.dashboards(id + 1, 1, 0.2);
            drive.now += 0.6;
            assert!(cancels(&drive.look()).is_empty(), "{id}: three times what others take");
            drive.now += 0.3;
            assert_eq!(cancels(&drive.look()), vec![id], "four and a half times");
            let again = drive.ended(id, 0, 1, Outcome::Cancelled, 0.9);
            drive.ended(id, 1, sent_to(&again).unwrap().0, Outcome::Success, 0.2);
        }
    }
}

/// Anyone may claim any amount of work. Twenty requests later that must neither cut short what runs well, nor let
/// others be held for as long as they ask.
#[test]
fn a_claim_of_endless_work_changes_little_for_others() {
    let mut s = cancelling();
    s.capabilities.progress_period = 0.0;
    s.classes.iter_mut().for_each(|c| c.objective_stretch = 2.0);
    let mut drive = Drive::new(s, vec![engine(1)]);
    let ask = |drive: &mut Drive, id, class, work| {
        let request = Request { estimated_work: Some(work), ..drive.request(id, class) };
        drive.event(&Event::RequestArrived(request))
    };
    for id in 1000..1100 {
        ask(&mut drive, id, LOOKUP, 0.1);
        drive.ended(id, 0, 1, Outcome::Success, 0.2);
    }
    ask(&mut drive, 2000, LOOKUP, 1e6);
    drive.ended(2000, 0, 1, Outcome::Error, 0.0);
    drive.event(&Event::RequestAborted(RequestId(2000)));
    for id in 3000..3020 {
        ask(&mut drive, id, LOOKUP, 0.1);
        drive.ended(id, 0, 1, Outcome::Success, 0.2);
    }
    // One that takes three times the usual may still be well.
    ask(&mut drive, 1, LOOKUP, 0.1);
    drive.now += 0.01;
    ask(&mut drive, 2, LOOKUP, 0.1);
    drive.ended(2, 0, 1, Outcome::Success, 0.2);
    drive.now += 0.5;
    assert!(cancels(&drive.look()).is_empty(), "held to half of what it should take");
    drive.ended(1, 0, 1, Outcome::Success, 0.6);

    // Nor is one that finds no engine held for longer than its aim allows.
    drive.list(EndpointListMode::Delta, vec![EndpointEntry { state: EndpointState::Draining, ..engine(1) }]);
    ask(&mut drive, 3, LOOKUP, 0.1);
    drive.now += 1.0;
    assert_eq!(answers(&drive.look()), vec![(3, true)]);
}

/// A hundred gateways: C is a part of a thread on each engine, and binds as a sum over all.
fn thin_share() -> (Settings, Vec<EndpointEntry>) {
    let mut s = settings();
    s.gateways = 100;
    (s, (1..=50).map(engine).collect())
}

/// Charged for no more than its class usually takes, a report that runs on in a jam let the next one go while it
/// still ran, at each of hundreds of gateways.
#[test]
fn secondary_work_that_runs_on_is_charged_as_it_goes() {
    let (s, engines) = thin_share();
    let mut drive = Drive::new(s, engines);
    let mut out = 0;
    let mut most = 0;
    for tick in 0..800u64 {
        drive.now += 0.05;
        let mut actions = drive.look();
        if tick % 20 == 0 {
            actions.extend(drive.arrive(tick, REPORT));
        }
        out += sends(&actions).len();
        most = most.max(out);
    }
    // Four threads of C each second, saved for two: a report of four threads, and now and then another.
    assert!(most <= 3, "{most} reports of four threads run beside one another");
}

/// Of many gateways each sees few dashboards on each engine: what it sees on all of them sets C there too.
#[test]
fn dashboards_on_other_engines_set_c_where_there_were_none() {
    let (s, engines) = thin_share();
    let sent_behind = |latency: f64| {
        let mut drive = Drive::new(s.clone(), engines.clone());
        for n in 0..60 {
            drive.now += 1.0;
            drive.look();
            drive.dashboards(1000 + n, 1, latency);
        }
        let mut sent = 0;
        for id in 1..400 {
            drive.now += 0.1;
            let mut going = sends(&drive.look());
            going.extend(sends(&drive.arrive(id, REPORT)));
            while let Some((id, to)) = going.pop() {
                sent += 1;
                going.extend(sends(&drive.ended(id, 0, to, Outcome::Success, 2.0)));
            }
        }
        sent
    };
    // C is two threads a core of fifty engines, and then half a thread; each report has four for two seconds.
    let (quick, slow) = (sent_behind(0.1), sent_behind(3.9));
    assert!(quick >= 35 && slow <= 14, "{quick} reports, and {slow}: all engines follow the few worked with");
}

/// Where reports tell nothing, as of engines where no query waits for memory, the pace of secondary work stands
/// in for them: dashboards go ahead of it and are slow only when engines have long been overfilled.
#[test]
fn slow_secondary_work_lowers_c_where_shares_are_thin_and_reports_tell_nothing() {
    let (s, engines) = thin_share();
    let sent = |estimate: Option<f64>| {
        let mut drive = Drive::new(s.clone(), engines.clone());
        let mut sent = 0;
        for id in 1..900 {
            drive.now += 0.1;
            let mut going = sends(&drive.look());
            drive.dashboards(10_000 + id, 1, 0.1);
            let request = Request { estimated_work: estimate, ..drive.request(id, REPORT) };
            going.extend(sends(&drive.event(&Event::RequestArrived(request))));
            while let Some((id, to)) = going.pop() {
                sent += u32::from(drive.now > 160.0);
                let elapsed = if id < 300 { 1.0 } else { 4.0 };
                going.extend(sends(&drive.ended(id, 0, to, Outcome::Success, elapsed)));
            }
        }
        sent
    };
    // By the work that is told of, they take four times as long as they did; without that nothing is known.
    let (told, untold) = (sent(Some(4.0)), sent(None));
    assert!(0 < told && 2 * told < untold, "{told} reports, and {untold}");
}

/// Dashboards in a jam of all engines: cold ones bear a part of what others do.
#[test]
fn cold_engines_count_by_what_they_bear_in_a_jam() {
    let (s, mut engines) = thin_share();
    engines.iter_mut().take(25).for_each(|e| e.started_at = Some(100.0));
    // One and a half threads a core, of 25 engines and of 25 that bear three tenths, for a hundred gateways.
    assert_eq!(Drive::new(s, engines).room(1, LOOKUP), 4);
}

/// A fleet of 300 gateways over these engines, as one of them sees it.
fn one_of_many(engines: u32) -> Drive {
    let mut s = cancelling();
    (s.gateways, s.on_memory_shortage) = (300, MemoryShortage::Overcommit);
    s.machine_types[0].memory_mb = 32_000.0;
    Drive::new(s, (1..=engines).map(engine).collect())
}

/// What gateways hold of memory adds up over engines too: with a thread of each engine at most, no share of one
/// engine ever bound, and after most engines had left, those that stayed paged until nothing ended in time.
#[test]
fn memory_binds_over_all_engines_together() {
    for (engines, cold, least, most) in [(80, 0, 2, 4), (80, 60, 1, 1), (800, 0, 18, 40)] {
        let mut drive = one_of_many(engines);
        // Hours of rest: C alone would let far more leave.
        drive.now += 60.0;
        let started = Some(drive.now);
        drive.list(
            EndpointListMode::Delta,
            (1..=cold).map(|id| EndpointEntry { started_at: started, ..engine(id) }).collect(),
        );
        let mut out = 0;
        for id in 1..200 {
            let request = Request {
                estimated_memory_mb: Some(3_000.0),
                estimated_work: Some(0.2),
                ..drive.request(id, REPORT)
            };
            out += sends(&drive.event(&Event::RequestArrived(request))).len();
            drive.now += 0.05;
            out += sends(&drive.look()).len();
        }
        assert!((least..=most).contains(&out), "{engines} engines, {cold} cold: {out} out");
    }
}

/// A client that has hardly any time left gets no attempt that can only be waste, and its answer at once; one
/// with half of its class's time always gets one, or nothing would show that the jam is over.
#[test]
fn nothing_is_sent_that_has_no_time_left() {
    let mut drive = Drive::new(cancelling(), vec![engine(1), engine(2)]);
    for id in (1000..1080).step_by(2) {
        sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        drive.ended(id, 0, 1, Outcome::Success, 0.4);
    }
    let left = |drive: &Drive, id, left| Request { deadline: drive.now + left, ..drive.request(id, LOOKUP) };
    let late = left(&drive, 1, 0.2);
    assert!(sends(&drive.event(&Event::RequestArrived(late))).is_empty());
    assert_eq!(answers(&drive.look()).len(), 1, "told at once");
    for id in (2000..2400).step_by(2) {
        sent_to(&drive.arrive(id, LOOKUP)).unwrap();
        drive.ended(id, 0, 1, Outcome::Success, 9.0);
    }
    let half = left(&drive, 2, 2.1);
    assert!(sent_to(&drive.event(&Event::RequestArrived(half))).is_some());
}

/// In a jam most dashboards are cut short by clients that have little time left: that each took a tenth of a second
/// to be given up had passed for a good latency, and C never moved.
#[test]
fn what_is_cut_short_does_not_pass_for_fast() {
    let room = |cut: f64| {
        let mut drive = Drive::new(cancelling(), vec![engine(1)]);
        drive.dashboards(1000, 40, 2.0);
        for id in 1..80 {
            sent_to(&drive.arrive(id, LOOKUP)).unwrap();
            drive.now += 0.2;
            drive.event(&Event::RequestAborted(RequestId(id)));
            drive.ended(id, 0, 1, Outcome::Cancelled, cut);
        }
        drive.room(200, LOAD)
    };
    assert_eq!(room(0.05), room(2.0));
}
