//! Tests of hollow runs (gateways without clients): small fleets with fixed seeds, resource bounds, stored figures and
//! invalid options.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use wrenhatch_lab::hollow::bounds::{Bounds, MAX_DESCRIPTORS, MAX_MEMORY_MB, MAX_PROCESSES};
use wrenhatch_lab::hollow::compare::{Counts, simulated_counts};
use wrenhatch_lab::hollow::error::HollowError;
use wrenhatch_lab::hollow::events;
use wrenhatch_lab::hollow::figures::{Figure, FigureFile, Origin, Role, add_to_file, comparison_path};
use wrenhatch_lab::hollow::fleet::FleetSize;
use wrenhatch_lab::hollow::list::{Database, DatabaseList, DatabaseState, RETAINED_EVENTS, last_event_id};
use wrenhatch_lab::hollow::load::{Load, SECOND_US, SlidingMaximum};
use wrenhatch_lab::hollow::model::Measurements;
use wrenhatch_lab::hollow::simulate::{event_figures, simulate};
use wrenhatch_lab::hollow::sockets::gateways::{GatewayMode, Programs};
use wrenhatch_lab::hollow::sockets::run::{self, Phase, PhaseFigures, Plan};

const SMALL: FleetSize = FleetSize { gateways: 25, databases: 50, control: 7 };

fn bounds() -> Bounds {
    Bounds::new(MAX_MEMORY_MB, Duration::from_secs(600))
}

fn simulate_small(event: &str, seed: u64) -> Measurements {
    simulate(event, SMALL, seed, &bounds()).unwrap()
}

fn draining(number: usize) -> [Database; 1] {
    [Database { number, state: DatabaseState::Terminating, since_ms: 0 }]
}

#[test]
fn sliding_windows_are_not_aligned_to_clock_seconds() {
    let mut load = Load::default();
    for (at_us, amount) in [(900_000, 3), (1_100_000, 4), (1_899_999, 1), (1_900_000, 1), (9_000_000, 2)] {
        load.add(at_us, amount);
    }
    assert_eq!((load.worst_second(), load.worst_ten_seconds(), load.total()), (8, 11, 11));
    let mut maximum = SlidingMaximum::new(SECOND_US);
    maximum.add(0, 5);
    maximum.add(SECOND_US, 5);
    assert_eq!(maximum.peak(), 5);
}

#[test]
fn a_stream_resumes_after_the_last_event_or_starts_with_a_snapshot() {
    let mut list = DatabaseList::new(3);
    assert_eq!(list.change(&draining(1)), 2);
    assert_eq!(list.change(&draining(2)), 3);
    let numbers = |list: &DatabaseList, after| -> Vec<u64> {
        list.events_after(after).into_iter().map(|(number, _)| number).collect()
    };
    assert_eq!(numbers(&list, 0), [3]);
    assert_eq!(numbers(&list, 1), [2, 3]);
    assert_eq!(numbers(&list, 2), [3]);
    assert!(numbers(&list, 3).is_empty());
    for _ in 0..RETAINED_EVENTS {
        list.change(&draining(0));
    }
    let last = list.last_index();
    assert_eq!(numbers(&list, 2), [last], "event 3 is no longer retained");
    assert_eq!(numbers(&list, last - 1), [last]);
}

#[test]
fn last_event_id_is_parsed_from_a_gateway_request() {
    let mut request = Vec::new();
    wrenhatch::discovery::write_stream_request(41, &mut request);
    assert_eq!(last_event_id(&request), Some(41));
    assert_eq!(last_event_id(&request[..request.len() - 1]), None);
    assert_eq!(last_event_id(b"GET / HTTP/1.1\r\n\r\n"), None);
}

#[test]
fn a_change_reaches_every_gateway_on_its_open_stream() {
    let measurements = simulate_small("one change of the list", 1);
    assert_eq!((measurements.events, measurements.calls), (SMALL.gateways as u64, 0));
    assert_eq!((measurements.outdated, measurements.without_stream), (0, 0));
    assert!(measurements.propagation_max_us >= measurements.propagation_median_us);
}

#[test]
fn every_gateway_recovers_the_list_and_a_stream_after_each_event() {
    for event in events::names().filter(|name| *name != "ordinary hour") {
        for seed in 1..=2 {
            let measurements = simulate_small(event, seed);
            assert_eq!((measurements.outdated, measurements.without_stream), (0, 0), "{event}, seed {seed}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_measurements() {
    for event in ["zone", "regions cut off", "all watchers reconnect"] {
        assert_eq!(simulate_small(event, 3), simulate_small(event, 3), "{event}");
    }
    assert_ne!(simulate_small("zone", 3), simulate_small("zone", 4));
}

#[test]
fn reconnects_after_lost_streams_are_spread_over_time() {
    let measurements = simulate_small("all watchers reconnect", 1);
    assert!(
        measurements.calls >= SMALL.gateways as u64 / 2,
        "five of seven control machines stopped: {measurements:?}"
    );
    assert!(measurements.calls_per_tenth < measurements.calls);
    assert!(measurements.control_streams >= SMALL.gateways as u64 / 2, "two control machines remain");
}

#[test]
fn a_partitioned_region_receives_missed_changes_after_the_partition() {
    let measurements = simulate_small("regions cut off", 1);
    assert!(
        measurements.propagation_max_us > 100 * SECOND_US,
        "the second region receives no change during the partition"
    );
    assert!(measurements.control_unsent_bytes > 0);
}

#[test]
fn simulated_counts_equal_those_of_real_processes() {
    // Counts of `wrenhatch-lab hollow compare` with 20 real processes.
    let size = FleetSize { gateways: 20, databases: 60, control: 2 };
    let expected = Counts { list_calls: 40, list_events: 520, event_bytes: 267_760, engine_connects: 0 };
    for seed in 1..=3 {
        assert_eq!(simulated_counts(size, seed, &bounds()).unwrap(), expected, "seed {seed}");
    }
}

#[test]
fn hollow_gateways_receive_list_changes_over_loopback() {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_wrenhatch-lab"));
    let programs = Programs { gateway: lab.with_file_name("wrenhatch"), lab };
    let size = FleetSize { gateways: 4, databases: 10, control: 2 };
    let plan = Plan { phases: &[Phase::OneChange, Phase::ZoneRemoved], phase_s: 1 };
    let figures =
        run::run(&programs, GatewayMode::Hollow { processes: 2 }, plan, size, 1, &bounds()).unwrap();
    // A snapshot, one change, and one event for each of the two databases of the zone.
    assert_eq!(figures.counts.list_events, 4 * (1 + 1 + 2));
    assert!(figures.counts.list_connects >= 4);
    assert_eq!(figures.counts.engine_connects, 0);
    assert_eq!(figures.phases.len(), 3);
}

#[test]
fn a_run_that_exceeds_a_bound_stops_and_names_the_bound() {
    let own_process = [std::process::id()];
    let memory = std::hint::black_box(vec![1_u8; 8 << 20]);
    let message = |result: Result<(), HollowError>| result.unwrap_err().to_string();
    assert!(bounds().check(&own_process).is_ok());
    assert!(
        message(Bounds::new(0, Duration::from_secs(600)).check(&own_process))
            .contains("memory bound exceeded")
    );
    assert!(
        message(Bounds::new(MAX_MEMORY_MB, Duration::ZERO).check(&own_process))
            .contains("time bound exceeded")
    );
    assert!(message(Bounds::check_processes(MAX_PROCESSES + 1)).contains("processes bound exceeded"));
    assert!(message(Bounds::check_descriptors(MAX_DESCRIPTORS + 1)).contains("descriptors bound exceeded"));
    drop(memory);
    let expired = Bounds::new(MAX_MEMORY_MB, Duration::ZERO);
    let large = FleetSize { gateways: 400, databases: 10, control: 7 };
    let result = simulate("regions cut off", large, 1, &expired);
    assert!(matches!(result, Err(HollowError::BoundExceeded { bound: "time", .. })));
}

#[test]
fn a_phase_behind_its_schedule_is_not_usable() {
    let phase = |late_ms| PhaseFigures {
        phase: "quiet".to_owned(),
        gateway_mean_ms: 1.0,
        gateway_worst_second_ms: 1.0,
        gateway_worst_phase_ms: 1.0,
        seconds: 10.0,
        calls: 0,
        machine_calls_worst_second: 0,
        events: 0,
        machine_events_worst_second: 0,
        event_bytes: 0,
        machine_bytes_worst_second: 0,
        bytes_a_gateway: 0.0,
        ended: 0,
        late_ms,
    };
    assert!(phase(250.0).is_usable());
    assert!(!phase(251.0).is_usable());
}

#[test]
fn figures_are_stored_only_with_a_comparison_of_equal_counts() {
    let folder = std::env::temp_dir().join(format!("wrenhatch-hollow-figures-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("hollow.json");
    let figures = event_figures("zone", &Measurements::default(), "a command");
    assert!(matches!(add_to_file(&path, figures.clone()), Err(HollowError::NoComparison(_))));
    std::fs::write(comparison_path(&path), "{}").unwrap();
    assert!(matches!(add_to_file(&path, figures.clone()), Err(HollowError::Json(..))));
    let run_result = |calls: u64| {
        format!(
            "{{\"counts\":{{\"list_calls\":{calls},\"list_events\":1,\"event_bytes\":1,\"engine_connects\":0}},\"run\":null}}"
        )
    };
    let comparison = |simulated: u64| {
        let (same, other) = (run_result(1), run_result(simulated));
        format!(
            "{{\"gateways\":1,\"databases\":1,\"control\":1,\"command\":\"\",\"real\":{same},\"hollow\":{same},\
             \"simulated\":{other},\"processor_ratio_start\":1.0,\"processor_ratio\":1.0,\"memory_ratio\":1.0}}"
        )
    };
    std::fs::write(comparison_path(&path), comparison(2)).unwrap();
    assert!(matches!(add_to_file(&path, figures.clone()), Err(HollowError::NoComparison(_))));
    std::fs::write(comparison_path(&path), comparison(1)).unwrap();
    add_to_file(&path, figures.clone()).unwrap();
    add_to_file(&path, figures.clone()).unwrap();
    assert_eq!(FigureFile::read(&path).unwrap().figures, figures, "figures of the same command are replaced");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn figures_are_serialized_with_the_keys_that_the_page_reads() {
    let figure = Figure {
        role: Role::Control,
        quantity: "calls".to_owned(),
        event: "zone".to_owned(),
        value: 1.0,
        unit: "calls".to_owned(),
        origin: Origin::Simulated,
        command: "a command".to_owned(),
    };
    let text = serde_json::to_value(FigureFile { figures: vec![figure] }).unwrap();
    let expected = serde_json::json!({"figures": [{"role": "control", "quantity": "calls", "event": "zone",
        "value": 1.0, "unit": "calls", "mark": "simulated", "command": "a command"}]});
    assert_eq!(text, expected);
}

#[test]
fn invalid_options_give_one_error_that_names_the_option() {
    let cases: [(&[&str], &str); 9] = [
        (&["simulate", "--gateways", "0"], "--gateways: 0 is not between 1 and 2000"),
        (&["simulate", "--databases", "1000000"], "--databases: 1000000 is not between 1 and 5000"),
        (&["simulate", "--control", "51"], "--control: 51 is not between 1 and 50"),
        (&["simulate", "--seeds", "0"], "--seeds: 0 is not between 1 and 100"),
        (&["simulate", "--event", "flood"], "--event: no event is named flood"),
        (&["simulate", "--memory-mb", "99999999"], "--memory-mb: 99999999 is not between 1 and 12288"),
        (&["sockets", "--processes", "0"], "--processes: 0 is not between 1 and 100"),
        (&["sockets", "--limit-s", "0"], "--limit-s: 0 is not between 1 and 3600"),
        (&["compare", "--rack"], "unexpected argument '--rack'"),
    ];
    for (arguments, message) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_wrenhatch-lab"))
            .arg("hollow")
            .args(arguments)
            .env("RUST_BACKTRACE", "0")
            .output()
            .unwrap();
        assert!(!output.status.success(), "{arguments:?}");
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(error.contains(message), "{arguments:?}: {error}");
        assert_eq!(error.to_lowercase().matches("error").count(), 1, "{arguments:?}: {error}");
    }
}
