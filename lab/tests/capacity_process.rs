//! Tests small runs of `wrenhatch-lab capacity` through a real gateway process on loopback. Counts are checked, times
//! are not.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

use wrenhatch_lab::capacity::bounds::{Guard, Limits};
use wrenhatch_lab::capacity::error::CapacityError;
use wrenhatch_lab::capacity::experiment::{Experiment, Quantity};
use wrenhatch_lab::capacity::experiments::{Effort, ExperimentRun, ExperimentRunner, MAX_SIZE};
use wrenhatch_lab::capacity::process::Gateway;
use wrenhatch_lab::capacity::sessions::{Session, closed_loop};
use wrenhatch_lab::capacity::site::Site;
use wrenhatch_lab::capacity::stand_ins::{Coordinator, Engines};

/// Returns the gateway binary next to the test binary, and builds it first: running this package's tests alone does
/// not.
fn program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let arguments = ["build", "--locked", "--workspace", "--bin", "wrenhatch"];
        assert!(Command::new(env!("CARGO")).args(arguments).status().unwrap().success());
        std::env::current_exe().unwrap().parent().unwrap().join("../wrenhatch")
    };
    BUILT.get_or_init(build).clone()
}

fn bench(limits: Limits) -> ExperimentRunner {
    let effort = Effort {
        decided: 40,
        statements: 40,
        logged: 4,
        changes: 6,
        lists: 2,
        idle: Duration::from_millis(10),
    };
    ExperimentRunner { program: program(), effort, guard: Guard::new(limits) }
}

fn figure(play: &ExperimentRun, quantity: Quantity) -> f64 {
    play.figures.iter().find(|(q, _)| *q == quantity).unwrap().1
}

#[test]
fn a_closed_loop_is_served_whole_over_connections_to_each_engine() {
    let engines = Engines::start(3).unwrap();
    let site = Site::new(engines.addresses.clone());
    let gateway = Gateway::start(&program(), &site, "info").unwrap();
    let mut sessions = Session::open_all(gateway.listen, 2).unwrap();
    let tally = closed_loop(&mut sessions, 60).unwrap();
    assert_eq!((tally.served, tally.unserved, tally.latencies.len()), (60, 0, 60));
    assert_eq!(engines.counters.queries(), 60);
    assert_eq!(gateway.counter("served").unwrap(), 60);
    assert_eq!(gateway.counter("engine_connects").unwrap(), engines.counters.connections());
}

#[test]
fn the_coordinator_tells_and_the_gateway_takes_each_event() {
    let engines = Engines::start(4).unwrap();
    let coordinator = Coordinator::listen().unwrap();
    let site = Site { coordinator: Some(coordinator.address), ..Site::new(engines.addresses.clone()) };
    let gateway = Gateway::start(&program(), &site, "info").unwrap();
    let before = gateway.counter("list_events").unwrap();
    let stream = coordinator.watch().unwrap();
    let change = site.event(2, false, vec![site.entry(1, "Terminating")]);
    let bytes = stream.event(2, &change).unwrap();
    assert!(bytes > change.to_string().len());
    stream.event(3, &site.whole_list(3)).unwrap();
    // The gateway may print its counters before it has read both events.
    let taken = || gateway.counter("list_events").unwrap() - before;
    assert!((0..1_000).any(|_| taken() == 2), "{} of 2", taken());
}

#[test]
fn small_plays_give_their_counts() {
    let bench = bench(Limits::default());
    let play = bench.run_once(Experiment::StatementEngines, 3).unwrap();
    assert_eq!(play.unusable, None);
    assert!(figure(&play, Quantity::Connections) >= 3.0);
    assert!(figure(&play, Quantity::DebugLogBytes) > 0.0);
    let play = bench.run_once(Experiment::IdleSessions, 20).unwrap();
    assert!(figure(&play, Quantity::Descriptors) >= 20.0);
    let play = bench.run_once(Experiment::ChangeEngines, 3).unwrap();
    assert!(figure(&play, Quantity::StreamBytes) > 100.0);
    let few = bench.run_once(Experiment::StartTenants, 1).unwrap();
    let many = bench.run_once(Experiment::StartTenants, 100).unwrap();
    assert!(figure(&many, Quantity::FileBytes) > figure(&few, Quantity::FileBytes));
}

#[test]
fn versions_are_taken_over_one_by_one_and_cost_as_many_bytes_with_more_tenants() {
    let bench = bench(Limits::default());
    let bytes = [1, 100].map(|tenants| {
        let play = bench.run_once(Experiment::VersionTenants, tenants).unwrap();
        assert!(figure(&play, Quantity::Cpu) > 0.0 && figure(&play, Quantity::Taken) > 0.0);
        figure(&play, Quantity::StreamBytes)
    });
    assert_eq!(bytes[0], bytes[1], "only the difference is sent");
}

#[test]
fn a_size_out_of_range_is_refused() {
    for size in [0, MAX_SIZE + 1] {
        let error = bench(Limits::default()).run_once(Experiment::ChangeEngines, size).unwrap_err();
        assert_eq!(error.to_string(), format!("size {size} is not within 1 and 8000"));
    }
}

#[test]
fn a_run_over_its_bound_is_stopped() {
    let bench = bench(Limits { memory_mb: 0, ..Limits::default() });
    let error = bench.run(Experiment::StartEngines, &[2], 1, "a command").unwrap_err();
    assert!(matches!(error, CapacityError::Outgrown { .. }), "{error}");
}
