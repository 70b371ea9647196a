//! The feedback loop and the queue, seen from outside.

mod common;

use common::*;
use workload_manager::*;

/// An engine that has answered often enough to be sent any number of attempts.
fn well(drive: &mut Drive) {
    drive.dashboards(9000, 6, 0.99);
}

#[test]
fn c_starts_at_the_gateways_share_of_the_cores() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    well(&mut drive);
    assert_eq!(drive.room(1, LOAD), 4, "8 cores for two gateways");
}

#[test]
fn the_start_is_rounded_half_up() {
    for (cores, gateways, room) in [(5.0, 2, 3), (7.0, 3, 2), (1.0, 4, 1)] {
        let mut s = thin();
        (s.machine_types[0].cores, s.machine_types[1].cores, s.gateways) = (cores, cores, gateways);
        s.classes[0].threads = 1;
        let mut drive = Drive::new(s, vec![engine(1)]);
        if cores > 1.0 {
            well(&mut drive);
        }
        assert_eq!(drive.room(1, LOAD), room, "{cores} cores, {gateways} gateways");
    }
}

#[test]
fn surplus_raises_c_by_ki_times_the_error() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    // KI = P/(R n) = 8/(1 * 3) with R the aim until learned; E = 1.5 + (1 - 0.7); C = 8/3 * 1.8 = 4.8.
    drive.dashboards(1000, 20, 0.7);
    assert_eq!(drive.room(1, LOAD), 5);
}

#[test]
fn an_interval_of_fewer_than_q_completions_stays_open_until_the_cap() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    drive.dashboards(1000, 19, 0.7);
    drive.now += 4.9;
    drive.look();
    assert_eq!(drive.room(1, LOAD), 4, "not yet over");
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    drive.dashboards(1000, 19, 0.7);
    drive.now += 5.1;
    drive.look();
    assert_eq!(drive.room(1, LOAD), 5, "closed by the clock");
}

#[test]
fn an_interval_without_completions_leaves_e() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    well(&mut drive);
    drive.dashboards(1000, 14, 0.7);
    for _ in 0..10 {
        drive.now += 5.1;
        drive.look();
    }
    let mean = (6.0 * 0.99 + 14.0 * 0.7) / 20.0;
    let c = (8.0 / 3.0 * (1.5 + 1.0 - mean) + 0.5f64).floor();
    assert_eq!(drive.room(1, LOAD), c as u64);
}

#[test]
fn c_never_falls_under_one_and_climbs_back_in_one_interval() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    // Without the bound at the lower end E would need many intervals of surplus.
    drive.dashboards(1000, 200, 3.0);
    assert_eq!(drive.room(1, LOAD), 1);
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    drive.dashboards(1000, 200, 3.0);
    drive.dashboards(2000, 20, 0.2);
    assert!(drive.room(1, LOAD) >= 3, "an outside slowdown is over: C climbs at once");
}

#[test]
fn a_quiet_spell_does_not_wind_c_up() {
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    drive.dashboards(1000, 2000, 0.1);
    // 6 threads a core of 8 for two gateways is the far end.
    assert!(drive.room(1, LOAD) <= 24);
    let mut drive = Drive::new(thin(), vec![engine(1)]);
    drive.dashboards(1000, 2000, 0.1);
    drive.dashboards(5000, 60, 2.0);
    assert_eq!(drive.room(1, LOAD), 1, "three bad intervals are enough after any quiet spell");
}

/// Seconds in which C earns what a usual report of four threads and two seconds costs, at C of two in all.
const PAID: f64 = 4.1;

#[test]
fn a_request_wider_than_c_goes_where_no_secondary_work_is() {
    let mut s = settings();
    s.gateways = 8;
    let mut drive = Drive::new(s, vec![engine(1), engine(2)]);
    assert!(sent_to(&drive.arrive(1, REPORT)).is_some());
    assert!(sent_to(&drive.arrive(2, REPORT)).is_none(), "C binds as a mean over time");
    drive.event(&Event::RequestAborted(RequestId(2)));
    drive.now += PAID;
    assert!(sent_to(&drive.arrive(3, REPORT)).is_some());
    drive.now += PAID;
    assert!(sent_to(&drive.arrive(4, REPORT)).is_none(), "both engines hold one");
    assert!(sent_to(&drive.arrive(5, LOOKUP)).is_some(), "dashboards are never held for C");
}

/// With a hundred gateways C is far under a thread: a request passes now and then, on any engine, and what
/// this gateway has out is C in the mean.
#[test]
fn c_under_a_thread_is_met_as_a_mean_over_time() {
    let mut s = settings();
    s.gateways = 100;
    let engines: Vec<_> = (1..=25).map(engine).collect();
    let mut drive = Drive::new(s, engines);
    let mut sent = 0;
    for id in 0..400 {
        // Each report takes the two seconds that the module expects; C is two threads in all.
        drive.now += 0.25;
        let mut out = sends(&drive.look());
        out.extend(sends(&drive.arrive(id, REPORT)));
        for (request, on) in out {
            sent += 1;
            drive.ended(request, 0, on, Outcome::Success, 2.0);
        }
    }
    assert!((20..=30).contains(&sent), "{sent} reports of 8 thread-seconds in 100 s at C of two");
}

/// A few completions on one engine are noise: R is filled up to q with the mean over all engines.
#[test]
fn r_is_filled_up_with_the_mean_over_all_engines() {
    let room = |latency: f64, n: u64| {
        let mut drive = Drive::new(thin(), vec![engine(1)]);
        drive.dashboards(1000, 40, 0.5);
        drive.dashboards(2000, n, latency);
        drive.now += 5.1;
        drive.look();
        drive.room(1, LOAD)
    };
    assert!(room(2.0, 1) >= 7, "one slow dashboard alone would halve C's bound of eight");
    assert!(room(2.0, 19) < room(0.5, 19));
}

#[test]
fn held_work_leaves_in_order_of_arrival_to_the_engine_with_most_room() {
    let mut drive = Drive::new(settings(), vec![engine(1)]);
    drive.arrive(1, REPORT);
    for id in 2..5 {
        assert!(sends(&drive.arrive(id, REPORT)).is_empty());
    }
    assert_eq!(sends(&drive.ended(1, 0, 1, Outcome::Success, 1.0)), vec![(2, 1)]);
    assert_eq!(sends(&drive.ended(2, 0, 1, Outcome::Success, 1.0)), vec![(3, 1)]);
    assert_eq!(sends(&drive.list(EndpointListMode::Delta, vec![engine(2)])), vec![(4, 2)]);
}

#[test]
fn a_stopped_head_blocks_no_other() {
    let mut s = settings();
    s.classes[1].allowed_machine_types = Some(vec![MachineTypeId(1)]);
    let mut drive = Drive::new(s, vec![engine(1)]);
    assert!(sends(&drive.arrive(1, REPORT)).is_empty(), "no engine of its kind");
    assert_eq!(sends(&drive.arrive(2, LOAD)), vec![(2, 1)]);
}

#[test]
fn dashboards_go_to_the_engine_with_the_fewest_own_threads_a_core() {
    let mut s = settings();
    s.machine_types[1].cores = 16.0;
    let big = EndpointEntry { machine_type: MachineTypeId(1), ..engine(2) };
    let mut drive = Drive::new(s, vec![engine(1), big]);
    let mut on = [0, 0];
    for id in 1..=6 {
        on[sent_to(&drive.arrive(id, LOOKUP)).unwrap().0 as usize - 1] += 1;
    }
    assert_eq!(on, [2, 4]);
}

#[test]
fn one_class_or_none_that_looks_light() {
    let mut s = settings();
    s.classes.truncate(1);
    let mut drive = Drive::new(s, vec![engine(1)]);
    assert!(sent_to(&drive.arrive(1, LOOKUP)).is_some());
    let mut s = settings();
    s.classes = vec![class(4.0, 8, 20.0)];
    let mut drive = Drive::new(s, vec![engine(1)]);
    assert!(sent_to(&drive.arrive(1, ClassId(0))).is_some());
    assert!(sent_to(&drive.arrive(2, ClassId(0))).is_none(), "secondary work, under C");
}

#[test]
fn impossible_settings_are_a_typed_error() {
    let none = Settings { classes: vec![], ..settings() };
    assert_eq!(WorkloadManager::new(none, 1).err(), Some(SettingsError::NoClasses));
    assert_eq!(
        WorkloadManager::new(Settings { gateways: 0, ..settings() }, 1).err(),
        Some(SettingsError::NoGateways)
    );
    let mut negative = settings();
    negative.classes[1].deadline = -1.0;
    let error = WorkloadManager::new(negative, 1).err().unwrap();
    assert_eq!(error.to_string(), "deadline of class 1 is -1, which is negative or not a number");
}

/// Dashboards too short to feel secondary work: where answers bring no reports, how full the engine is known
/// to be stands in for R, and C is still low when there is room again.
#[test]
fn c_falls_where_the_engine_says_that_it_is_full() {
    let room = |reports: LoadReportSource, busy: f64| {
        let mut s = thin();
        s.capabilities.load_reports = reports;
        let mut drive = Drive::new(s, vec![engine(1)]);
        for id in 0..61 {
            drive.arrive(id, LOOKUP);
            let busy = if id < 60 { busy } else { 0.1 };
            drive.served(
                id,
                1,
                0.2,
                None,
                Some(LoadReport { core_utilization: Some(busy), ..LoadReport::default() }),
            );
        }
        drive.room(100, LOAD)
    };
    assert!(room(LoadReportSource::None, 0.2) >= 6);
    assert!((1..=3).contains(&room(LoadReportSource::None, 1.5)));
    assert!(
        room(LoadReportSource::Responses, 1.5) >= 6,
        "there the bar acts at once and C is the loop's alone"
    );
}

/// One heavy report is charged for all that it took, but bars its gateway for seconds only.
#[test]
fn a_heavy_report_bars_the_gateway_for_seconds_only() {
    let mut s = settings();
    s.gateways = 100;
    s.classes[1].deadline = 200.0;
    let mut drive = Drive::new(s, (1..=25).map(engine).collect());
    let on = sent_to(&drive.arrive(1, REPORT)).unwrap().0;
    drive.now += 60.0;
    drive.ended(1, 0, on, Outcome::Success, 60.0);
    drive.now += 2.1;
    assert!(sent_to(&drive.arrive(2, REPORT)).is_some());
}

/// What is short is not spent on one large request while many of the usual size wait; at rest, it leaves.
#[test]
fn the_largest_work_waits_where_the_pool_owes() {
    let mut s = settings();
    s.gateways = 100;
    // The pool earns two thread-seconds a second; it takes two seconds to save up for the large one.
    s.classes[1].latency_objective = 16.0;
    let mut drive = Drive::new(s, (1..=25).map(engine).collect());
    let sized = |drive: &Drive, id, work| Request { estimated_work: Some(work), ..drive.request(id, REPORT) };
    for id in 1000..1100 {
        drive.now += 4.0;
        let on = sent_to(&drive.event(&Event::RequestArrived(sized(&drive, id, 1.0)))).unwrap().0;
        drive.ended(id, 0, on, Outcome::Success, 0.5);
    }
    let mut out = Vec::new();
    let mut play = |drive: &mut Drive, id: Option<u64>| {
        drive.now += 0.1;
        for (id, on, _) in out.extract_if(.., |(_, _, sent)| drive.now - *sent > 0.5).collect::<Vec<_>>() {
            drive.ended(id, 0, on, Outcome::Success, 0.5);
        }
        let mut actions = drive.look();
        if let Some(id) = id {
            actions.extend(drive.event(&Event::RequestArrived(sized(
                drive,
                id,
                if id == 3 { 6.0 } else { 0.5 },
            ))));
        }
        let sent = sends(&actions);
        out.extend(sent.iter().map(|(id, on)| (*id, *on, drive.now)));
        sent.into_iter().map(|(id, _)| id).collect::<Vec<_>>()
    };
    let order: Vec<u64> = (1..70).flat_map(|n| play(&mut drive, Some(n).filter(|n| *n < 8))).collect();
    // The others in order of arrival; nothing else asks then, and what the large one needs is saved up.
    assert_eq!(order, [1, 2, 4, 5, 6, 7, 3]);
}

/// A cause outside that slows all engines makes secondary work take longer, as a full engine would. Where this
/// gateway's own threads show that an engine holds little, C stays: the engines would idle else.
#[test]
fn slow_engines_with_few_threads_do_not_lower_c() {
    let mut s = thin();
    (s.gateways, s.capabilities.load_reports) = (1, LoadReportSource::HealthChecks);
    let mut drive = Drive::new(s, vec![engine(1)]);
    drive.dashboards(9000, 6, 0.3);
    let cost = Some(QueryCost { work: 1.0, memory_mb: 0.0 });
    for (from, elapsed) in [(1000, 1.0), (2000, 4.0)] {
        for round in from..from + 10 {
            let on = sent_to(&drive.arrive(round, LOAD)).expect("C has room").0;
            drive.served(round, on, elapsed, cost, None);
            drive.dashboards(10 * round, 10, 0.3);
        }
    }
    assert!(drive.room(90_000, LOAD) >= 8, "one thread of eight cores is out at a time");
}
