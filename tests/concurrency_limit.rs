//! Concurrency limit: feedback from interactive latency and from utilization to the limit of background work.

mod common;

use common::*;
use workload_manager::*;

/// Interactive attempts that time out must count in the measured latency, or an overload would not lower the
/// limit.
#[test]
fn interactive_timeouts_lower_the_limit() {
    let mut s = settings_with_cancelling();
    s.capabilities.max_attempts = 1;
    s.classes[2] = Class { is_load: true, ..class(3.0, 1, 30.0) };
    let mut driver = Driver::new(s, vec![engine(1)]);
    driver.serve_interactive(100, 8, 0.2);
    for id in 200..260 {
        driver.arrive(id, INTERACTIVE);
        driver.attempt_ended(id, 0, 1, Outcome::TimedOut, 2.0);
    }
    assert_eq!(driver.count_admitted(1, LOAD), 1);
}

/// The ceiling must not rise while it is unused, because idle periods give no evidence about a higher limit.
#[test]
fn the_ceiling_rises_only_with_use() {
    let s = single_thread_loads();
    let mut quiet = Driver::new(s.clone(), vec![engine(1)]);
    quiet.serve_interactive(1000, 400, 0.2);
    assert_eq!(quiet.count_admitted(1, LOAD), 8, "the ceiling is twice the initial limit");
    let mut busy = Driver::new(s, vec![engine(1)]);
    busy.serve_interactive(1000, 40, 0.2);
    assert_eq!(busy.count_admitted(1, LOAD), 8);
    busy.serve_interactive(2000, 100, 0.2);
    assert!(busy.count_admitted(50, LOAD) >= 1, "the ceiling of eight did not rise");
}

/// The latency of a stalled attempt is no measure of load, so it must not lower the limit.
#[test]
fn stalled_attempts_do_not_lower_the_limit() {
    let admitted = |stalls: bool| {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
        driver.serve_interactive(1000, 40, 0.2);
        for id in (1..80).step_by(2) {
            let patient = Request { deadline: driver.now + 8.0, ..driver.request(id, INTERACTIVE) };
            forwarded_to(&driver.event(&Event::RequestArrived(patient))).unwrap();
            driver.now += 0.01;
            forwarded_to(&driver.arrive(id + 1, INTERACTIVE)).unwrap();
            driver.now += 0.2;
            driver.attempt_ended(id + 1, 0, 1, Outcome::Success, 0.2);
            driver.now += 4.0;
            if stalls {
                assert!(!cancelled_requests(&driver.control_tick()).is_empty());
            }
            let retry = driver.attempt_ended(id, 0, 1, Outcome::Cancelled, 4.2);
            driver.attempt_ended(id, 1, forwarded_to(&retry).unwrap().0, Outcome::Success, 0.2);
        }
        driver.count_admitted(200, LOAD)
    };
    assert!(
        admitted(true) > admitted(false),
        "{} with stalled attempts, {} with slow ones",
        admitted(true),
        admitted(false)
    );
}

/// With many gateways, a gateway has few latency samples per engine. The mean over all engines must
/// replace missing samples.
#[test]
fn interactive_latency_of_other_engines_sets_the_limit_of_engines_without_samples() {
    let (s, engines) = many_gateways();
    let count_sent = |latency: f64| {
        let mut driver = Driver::new(s.clone(), engines.clone());
        for n in 0..60 {
            driver.now += 1.0;
            driver.control_tick();
            driver.serve_interactive(1000 + n, 1, latency);
        }
        let mut sent = 0;
        for id in 1..400 {
            driver.now += 0.1;
            let mut in_flight = forwards(&driver.control_tick());
            in_flight.extend(forwards(&driver.arrive(id, BACKGROUND)));
            while let Some((id, to)) = in_flight.pop() {
                sent += 1;
                in_flight.extend(forwards(&driver.attempt_ended(id, 0, to, Outcome::Success, 2.0)));
            }
        }
        sent
    };
    // Each request runs on four threads for two seconds.
    let (at_low_latency, at_high_latency) = (count_sent(0.1), count_sent(3.9));
    assert!(
        at_low_latency >= 35 && at_high_latency <= 14,
        "{at_low_latency} requests at low interactive latency, {at_high_latency} at high"
    );
}

/// In an overload many clients abort their requests early. The short durations of these attempts must not
/// count as low latencies, or they would hide the overload.
#[test]
fn aborted_attempts_do_not_count_as_fast() {
    let admitted = |elapsed: f64| {
        let mut driver = Driver::new(settings_with_cancelling(), vec![engine(1)]);
        driver.serve_interactive(1000, 40, 2.0);
        for id in 1..80 {
            forwarded_to(&driver.arrive(id, INTERACTIVE)).unwrap();
            driver.now += 0.2;
            driver.event(&Event::RequestAborted(RequestId(id)));
            driver.attempt_ended(id, 0, 1, Outcome::Cancelled, elapsed);
        }
        driver.count_admitted(200, LOAD)
    };
    assert_eq!(admitted(0.05), admitted(2.0));
}

/// Serves more than the three requests that complete the recovery ramp of a new engine.
fn complete_recovery_ramp(driver: &mut Driver) {
    driver.serve_interactive(9000, 6, 0.99);
}

#[test]
fn the_limit_starts_at_the_gateways_share_of_the_cores() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    complete_recovery_ramp(&mut driver);
    assert_eq!(driver.count_admitted(1, LOAD), 4, "half of 8 cores");
}

#[test]
fn the_limit_is_rounded_half_up_to_at_least_one() {
    for (cores, gateways, expected) in [(5.0, 2, 3), (7.0, 3, 2), (1.0, 4, 1)] {
        let mut s = single_thread_loads();
        (s.machine_types[0].cores, s.machine_types[1].cores, s.gateways) = (cores, cores, gateways);
        s.classes[0].threads = 1;
        let mut driver = Driver::new(s, vec![engine(1)]);
        if cores > 1.0 {
            complete_recovery_ramp(&mut driver);
        }
        assert_eq!(driver.count_admitted(1, LOAD), expected, "{cores} cores, {gateways} gateways");
    }
}

#[test]
fn latency_below_the_objective_raises_the_limit_by_gain_times_error() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    // Gain P/(R n) = 8/(1 * 3), where the baseline latency R is initially the objective. Integral
    // 1.5 + (1 - 0.7) = 1.8. Limit 8/3 * 1.8 = 4.8.
    driver.serve_interactive(1000, 20, 0.7);
    assert_eq!(driver.count_admitted(1, LOAD), 5);
}

#[test]
fn an_interval_of_few_completions_stays_open_until_its_longest_duration() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    driver.serve_interactive(1000, 19, 0.7);
    driver.now += 4.9;
    driver.control_tick();
    assert_eq!(driver.count_admitted(1, LOAD), 4, "the interval closed too early");
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    driver.serve_interactive(1000, 19, 0.7);
    driver.now += 5.1;
    driver.control_tick();
    assert_eq!(driver.count_admitted(1, LOAD), 5, "the interval did not close at its longest duration");
}

#[test]
fn an_interval_without_completions_leaves_the_error_integral_unchanged() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    complete_recovery_ramp(&mut driver);
    driver.serve_interactive(1000, 14, 0.7);
    for _ in 0..10 {
        driver.now += 5.1;
        driver.control_tick();
    }
    let mean = (6.0 * 0.99 + 14.0 * 0.7) / 20.0;
    let limit = (8.0 / 3.0 * (1.5 + 1.0 - mean) + 0.5f64).floor();
    assert_eq!(driver.count_admitted(1, LOAD), limit as u64);
}

#[test]
fn the_limit_never_falls_below_one_and_recovers_in_one_interval() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    // Without a lower bound of the integral, the recovery would take many intervals.
    driver.serve_interactive(1000, 200, 3.0);
    assert_eq!(driver.count_admitted(1, LOAD), 1);
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    driver.serve_interactive(1000, 200, 3.0);
    driver.serve_interactive(2000, 20, 0.2);
    assert!(driver.count_admitted(1, LOAD) >= 3, "the limit did not recover after an external slowdown");
}

#[test]
fn a_long_time_of_low_latency_does_not_wind_up_the_limit() {
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    driver.serve_interactive(1000, 2000, 0.1);
    // The upper bound is 6 threads per core, of which this gateway has half.
    assert!(driver.count_admitted(1, LOAD) <= 24);
    let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
    driver.serve_interactive(1000, 2000, 0.1);
    driver.serve_interactive(5000, 60, 2.0);
    assert_eq!(
        driver.count_admitted(1, LOAD),
        1,
        "the limit did not fall after three intervals above the objective"
    );
}

/// The sample of an interval with few completions is too noisy to be used alone.
#[test]
fn missing_completions_are_replaced_with_the_mean_over_all_engines() {
    let admitted = |latency: f64, n: u64| {
        let mut driver = Driver::new(single_thread_loads(), vec![engine(1)]);
        driver.serve_interactive(1000, 40, 0.5);
        driver.serve_interactive(2000, n, latency);
        driver.now += 5.1;
        driver.control_tick();
        driver.count_admitted(1, LOAD)
    };
    assert!(admitted(2.0, 1) >= 7, "one slow request lowered the limit");
    assert!(admitted(2.0, 19) < admitted(0.5, 19));
}

/// Background work may fill an engine without slowing down short interactive requests. Unless the settings
/// provide for load reports in responses, the estimated utilization must lower the limit.
#[test]
fn high_utilization_lowers_the_limit_without_load_reports_in_responses() {
    let admitted = |reports: LoadReportSource, busy: f64| {
        let mut s = single_thread_loads();
        s.capabilities.load_reports = reports;
        let mut driver = Driver::new(s, vec![engine(1)]);
        for id in 0..61 {
            driver.arrive(id, INTERACTIVE);
            // The last report is low, so that the utilization guard admits loads.
            let busy = if id < 60 { busy } else { 0.1 };
            driver.first_attempt_served(
                id,
                1,
                0.2,
                None,
                Some(LoadReport { core_utilization: Some(busy), ..LoadReport::default() }),
            );
        }
        driver.count_admitted(100, LOAD)
    };
    assert!(admitted(LoadReportSource::None, 0.2) >= 6);
    assert!((1..=3).contains(&admitted(LoadReportSource::None, 1.5)));
    assert!(
        admitted(LoadReportSource::Responses, 1.5) >= 6,
        "the utilization guard bounds background work, and the limit depends on latency alone"
    );
}
