//! Guards against changes that make recorded files of figures unreadable or give a different page for them.

use std::path::{Path, PathBuf};

use wrenhatch_lab::capacity::experiment::{Experiment, Quantity};
use wrenhatch_lab::capacity::hollow::HollowFile;
use wrenhatch_lab::capacity::page::generate_page;
use wrenhatch_lab::capacity::slopes::Slopes;
use wrenhatch_lab::capacity::target::Target;
use wrenhatch_lab::hollow::compare::{self, Comparison};
use wrenhatch_lab::hollow::figures::FigureFile;

/// Path of a recorded file. These files are never regenerated. `hollow.json` has every tenth figure of its original.
/// `page.md` was generated from these copies.
fn recorded(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded_files").join(file)
}

fn text(file: &str) -> String {
    std::fs::read_to_string(recorded(file)).unwrap()
}

/// Returns the text that a writer produces.
fn written(name: &str, write: impl FnOnce(&Path)) -> String {
    let path = std::env::temp_dir().join(format!("wrenhatch-{}-{name}", std::process::id()));
    write(&path);
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    text
}

#[test]
fn slopes_are_read_and_written_as_recorded() {
    let slopes = Slopes::read(&recorded("slopes.json")).unwrap();
    let statement = slopes.get(Experiment::StatementEngines, Quantity::Cpu).unwrap();
    assert!(statement.points.len() > 2 && statement.fit.is_some(), "{statement:?}");
    assert_eq!(written("slopes.json", |path| slopes.write(path).unwrap()), text("slopes.json"));
}

#[test]
fn figures_of_hollow_runs_are_read_and_written_as_recorded() {
    let file = FigureFile::read(&recorded("hollow.json")).unwrap();
    let read_for_the_page = HollowFile::read(&recorded("hollow.json")).unwrap();
    assert_eq!(file.figures.len(), read_for_the_page.figures.len());
    assert_eq!(written("hollow.json", |path| file.write(path).unwrap()), text("hollow.json"));
}

#[test]
fn the_comparison_is_read_and_written_as_recorded() {
    let path = recorded("hollow-comparison.json");
    assert!(compare::has_same_counts(&path).unwrap());
    let comparison: Comparison = serde_json::from_str(&text("hollow-comparison.json")).unwrap();
    assert_eq!((comparison.gateways, comparison.databases, comparison.control), (20, 60, 2));
    assert_eq!(serde_json::to_string_pretty(&comparison).unwrap() + "\n", text("hollow-comparison.json"));
}

#[test]
fn figures_of_configuration_in_service_are_read_as_recorded() {
    let hollow = HollowFile::default().with_configuration(&recorded("configuration.json")).unwrap();
    let (first, last) = (hollow.figures.first().unwrap(), hollow.figures.last().unwrap());
    assert_eq!(hollow.figures.len(), 30);
    assert_eq!((first.event.as_str(), first.value), ("configuration, ordinary", 487.935));
    assert_eq!((last.event.as_str(), last.value), ("configuration, bad-between", 14_649.414_694_894_147));
}

#[test]
fn the_target_is_read_as_recorded() {
    let target = Target::read(&recorded("target.toml")).unwrap();
    let fleet = [target.gateways, target.databases, target.regions, target.zones];
    let settings = [target.classes, target.tenants];
    let load = [target.connections, target.statements_per_s, target.open_per_gateway];
    let changes = [target.primary_per_day, target.configuration_per_day];
    let time_limits = [target.primary_within_s, target.configuration_within_s];
    let events = [target.failures_per_day, target.restarts_per_day];
    let control = [target.control_machines, target.control_core_percent, target.control_memory_mb];
    let gateway = [target.gateway_cores, target.gateway_memory_mb, target.gateway_descriptors];
    assert_eq!(fleet, [550.0, 810.0, 2.0, 5.0]);
    assert_eq!(settings, [10.0, 100.0]);
    assert_eq!(load, [1_900_000.0, 1_300_000.0, 64.0]);
    assert_eq!(changes, [2.0, 3_100.0]);
    assert_eq!(time_limits, [7.0, 11.0]);
    assert_eq!(events, [2.0, 110.0]);
    assert_eq!((control, target.control_bytes_per_s), ([7.0, 2.3, 64.0], 18_000.0));
    assert_eq!(gateway, [1.0, 192.0, 20_000.0]);
}

#[test]
fn the_page_matches_the_recorded_one() {
    let target = Target::read(&recorded("target.toml")).unwrap();
    let slopes = Slopes::read(&recorded("slopes.json")).unwrap();
    let hollow = HollowFile::read(&recorded("hollow.json")).unwrap();
    let hollow = hollow.with_configuration(&recorded("configuration.json")).unwrap();
    let (generated, page) = (generate_page(&target, &slopes, &hollow), text("page.md"));
    let differs = page.lines().zip(generated.lines()).find(|(a, b)| a != b);
    assert!(page == generated, "first difference: {differs:?}");
}
