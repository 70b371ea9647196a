//! Tests small runs of `wrenhatch-lab capacity` through a real gateway process on loopback. Counts are checked, times
//! are not.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

use wrenhatch_lab::capacity::bounds::{Guard, Limits};
use wrenhatch_lab::capacity::error::CapacityError;
use wrenhatch_lab::capacity::experiment::{Experiment, Quantity};
use wrenhatch_lab::capacity::experiments::{ExperimentRun, ExperimentRunner, MAX_SIZE, Workload};
use wrenhatch_lab::capacity::process::Gateway;
use wrenhatch_lab::capacity::sessions::{Session, run_closed_loop};
use wrenhatch_lab::capacity::site::Site;
use wrenhatch_lab::capacity::stand_ins::{Coordinator, Engines};

/// Builds the gateway and returns the path of its binary. Running only the tests of this package does not build it.
fn program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let arguments = ["build", "--locked", "--workspace", "--bin", "wrenhatch"];
        assert!(Command::new(env!("CARGO")).args(arguments).status().unwrap().success());
        std::env::current_exe().unwrap().parent().unwrap().join("../wrenhatch")
    };
    BUILT.get_or_init(build).clone()
}

fn runner(limits: Limits) -> ExperimentRunner {
    let workload = Workload {
        in_memory_statements: 40,
        statements: 40,
        debug_statements: 4,
        changes: 6,
        lists: 2,
        idle_time: Duration::from_millis(10),
    };
    ExperimentRunner { program: program(), workload, guard: Guard::new(limits) }
}

fn figure(run: &ExperimentRun, quantity: Quantity) -> f64 {
    run.figures.iter().find(|(q, _)| *q == quantity).unwrap().1
}

#[test]
fn statements_and_connections_of_a_closed_loop_are_counted() {
    let engines = Engines::start(3).unwrap();
    let site = Site::new(engines.addresses.clone());
    let gateway = Gateway::start(&program(), &site, "info").unwrap();
    let mut sessions = Session::open_all(gateway.listen, 2).unwrap();
    let tally = run_closed_loop(&mut sessions, 60).unwrap();
    assert_eq!((tally.served, tally.failed, tally.latencies.len()), (60, 0, 60));
    assert_eq!(engines.counters.queries(), 60);
    assert_eq!(gateway.counter("served").unwrap(), 60);
    assert_eq!(gateway.counter("engine_connects").unwrap(), engines.counters.connections());
}

#[test]
fn the_gateway_applies_each_event_of_the_coordinator() {
    let engines = Engines::start(4).unwrap();
    let coordinator = Coordinator::listen().unwrap();
    let site = Site { coordinator: Some(coordinator.address), ..Site::new(engines.addresses.clone()) };
    let gateway = Gateway::start(&program(), &site, "info").unwrap();
    let before = gateway.counter("list_events").unwrap();
    let stream = coordinator.accept_stream().unwrap();
    let change = site.list_event(2, false, vec![site.endpoint_entry(1, "Terminating")]);
    let bytes = stream.send(2, &change).unwrap();
    assert!(bytes > change.to_string().len());
    stream.send(3, &site.full_list_event(3)).unwrap();
    // The gateway may print its counters before it has read both events.
    let applied = || gateway.counter("list_events").unwrap() - before;
    assert!((0..1_000).any(|_| applied() == 2), "{} of 2 events were applied", applied());
}

#[test]
fn small_runs_report_their_counts() {
    let runner = runner(Limits::default());
    let run = runner.run_once(Experiment::StatementEngines, 3).unwrap();
    assert_eq!(run.unusable, None);
    assert!(figure(&run, Quantity::Connections) >= 3.0);
    assert!(figure(&run, Quantity::DebugLogBytes) > 0.0);
    let run = runner.run_once(Experiment::IdleSessions, 20).unwrap();
    assert!(figure(&run, Quantity::Descriptors) >= 20.0);
    let run = runner.run_once(Experiment::ChangeEngines, 3).unwrap();
    assert!(figure(&run, Quantity::StreamBytes) > 100.0);
    let few = runner.run_once(Experiment::StartTenants, 1).unwrap();
    let many = runner.run_once(Experiment::StartTenants, 100).unwrap();
    assert!(figure(&many, Quantity::FileBytes) > figure(&few, Quantity::FileBytes));
}

#[test]
fn the_size_of_a_delta_is_independent_of_the_number_of_tenants() {
    let runner = runner(Limits::default());
    let bytes = [1, 100].map(|tenants| {
        let run = runner.run_once(Experiment::VersionTenants, tenants).unwrap();
        assert!(figure(&run, Quantity::Cpu) > 0.0 && figure(&run, Quantity::ApplyTime) > 0.0);
        figure(&run, Quantity::StreamBytes)
    });
    assert_eq!(bytes[0], bytes[1], "only the delta is sent");
}

#[test]
fn sizes_out_of_range_are_rejected() {
    for size in [0, MAX_SIZE + 1] {
        let error = runner(Limits::default()).run_once(Experiment::ChangeEngines, size).unwrap_err();
        assert_eq!(error.to_string(), format!("size {size} is not between 1 and 8000"));
    }
}

#[test]
fn a_run_over_its_memory_limit_is_stopped() {
    let runner = runner(Limits { memory_mb: 0, ..Limits::default() });
    let error = runner.run(Experiment::StartEngines, &[2], 1, "a command").unwrap_err();
    assert!(matches!(error, CapacityError::LimitExceeded { .. }), "{error}");
}
