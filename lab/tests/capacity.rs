//! Tests the fit, the target file, the limits and the page of `wrenhatch-lab capacity` without processes.

use std::path::{Path, PathBuf};
use std::time::Duration;

use wrenhatch_lab::capacity::bounds::{Limits, Usage};
use wrenhatch_lab::capacity::decisions::CoreSimulation;
use wrenhatch_lab::capacity::error::{CapacityError, LimitKind};
use wrenhatch_lab::capacity::estimate::{CapacityEstimate, Ratio, Role, format_number};
use wrenhatch_lab::capacity::experiment::{Experiment, Quantity};
use wrenhatch_lab::capacity::experiments::schedule_overrun;
use wrenhatch_lab::capacity::fit::{Point, fit};
use wrenhatch_lab::capacity::hollow::HollowFile;
use wrenhatch_lab::capacity::page::generate_page;
use wrenhatch_lab::capacity::slopes::{Measurement, Origin, Slopes};
use wrenhatch_lab::capacity::target::Target;

fn docs(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs").join(file)
}

fn target_text() -> String {
    std::fs::read_to_string(docs("capacity/target.toml")).unwrap()
}

/// Returns three runs at each size: the value of a function of the size plus each of the offsets.
fn runs(sizes: &[f64], offsets: [f64; 3], value: impl Fn(f64) -> f64) -> Vec<Point> {
    let point = |size: &f64| Point {
        size: *size,
        runs: offsets.iter().map(|offset| value(*size) + offset).collect(),
    };
    sizes.iter().map(point).collect()
}

const SIZES: [f64; 4] = [10.0, 20.0, 40.0, 80.0];

#[test]
fn fit_finds_slope_intercept_and_standard_error() {
    let fit = fit(&runs(&SIZES, [-1.0, 0.0, 1.0], |size| 5.0 + 2.0 * size)).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 5.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.noise - 1.0).abs() < 1e-9 && fit.misfit < 1e-6 && fit.linear, "{fit:?}");
    // The sum of the squared residuals is 8 with 10 degrees of freedom. The sum of the squared deviations of the sizes
    // from their mean is 3 times 2,875.
    assert!((fit.slope_error - (0.8_f64 / 8_625.0).sqrt()).abs() < 1e-9, "{fit:?}");
}

#[test]
fn quadratic_growth_is_not_linear() {
    let fit = fit(&runs(&SIZES, [-1.0, 0.0, 1.0], |size| size * size)).unwrap();
    assert!(!fit.linear, "{fit:?}");
    assert!((fit.first_slope - 30.0).abs() < 1e-9 && (fit.last_slope - 120.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn noisy_quadratic_growth_counts_as_linear() {
    let fit = fit(&runs(&SIZES, [-900.0, 0.0, 900.0], |size| size * size)).unwrap();
    assert!(fit.linear, "{fit:?}");
}

#[test]
fn too_few_sizes_or_missing_runs_give_no_fit() {
    assert_eq!(fit(&runs(&SIZES[..2], [0.0; 3], |size| size)), None);
    let mut points = runs(&SIZES, [0.0; 3], |size| size);
    points[1].runs.clear();
    assert_eq!(fit(&points), None);
}

fn measured(points: Vec<Point>) -> Measurement {
    Measurement::new(Experiment::StatementEngines, Quantity::Cpu, points, Vec::new(), "a command")
}

#[test]
fn measured_sizes_give_the_median_and_other_sizes_the_line() {
    let line = measured(runs(&SIZES, [-1.0, 0.0, 4.0], |size| 5.0 + 2.0 * size));
    let known = line.at(40.0).unwrap();
    assert_eq!((known.value, known.spread, known.origin), (85.0, 2.5, Origin::Measured));
    let other = line.at(100.0).unwrap();
    assert!((other.value - 206.0).abs() < 1e-9 && other.origin == Origin::Calculated, "{other:?}");
}

#[test]
fn nonlinear_growth_is_interpolated_from_the_two_nearest_sizes() {
    let quadratic = measured(runs(&SIZES, [0.0; 3], |size| size * size));
    let value = |size: f64| quadratic.at(size).unwrap().value;
    assert!((value(30.0) - 1_000.0).abs() < 1e-9);
    assert!((value(90.0) - (6_400.0 + 10.0 * 120.0)).abs() < 1e-9);
    assert!((value(5.0) - (100.0 - 5.0 * 30.0)).abs() < 1e-9);
}

#[test]
fn the_target_file_has_the_expected_figures() {
    let t = Target::parse("t", &target_text()).unwrap();
    assert_eq!((t.gateways, t.databases, t.pairs()), (550.0, 810.0, 445_500.0));
    assert_eq!(t.connections_per_gateway(), 3_455.0);
    assert_eq!(t.statements_per_gateway().round(), 2_364.0);
    assert_eq!((t.control_core_percent, t.control_memory_mb, t.control_bytes_per_s), (2.3, 64.0, 18_000.0));
}

/// Returns the error message for the target file with `from` replaced by `to`.
fn error_message(from: &str, to: &str) -> String {
    let text = target_text();
    assert!(text.contains(from), "{from}");
    Target::parse("size.toml", &text.replacen(from, to, 1)).unwrap_err().to_string()
}

fn line_of(text: &str) -> usize {
    1 + target_text().lines().position(|line| line.contains(text)).unwrap()
}

#[test]
fn target_errors_name_file_line_and_key() {
    let cases = [
        ("databases = 810", "databases = 0", "databases: 0 is not between 1 and 1000000"),
        ("databases = 810", "databases = -3", "databases: -3 is not between 1 and 1000000"),
        ("databases = 810", "databases = 99_000_000", "databases: 99000000 is not between 1 and 1000000"),
        ("databases = 810", "databases = 81.5", "databases: "),
        ("databases = 810", "databases = \"many\"", "databases: "),
        ("databases = 810", "database = 810", "database: unknown field `database`"),
        ("primary_within_s = 7", "primary_within_s = nan", "primary_within_s: NaN is not between"),
        ("primary_within_s = 7", "primary_within_s = inf", "primary_within_s: inf is not between"),
        ("primary_within_s = 7", "primary_within_s = 1e9", "primary_within_s: 1000000000 is not between"),
        (
            "gateway_core_percent = 2.3",
            "gateway_core_percent = -2.3",
            "gateway_core_percent: -2.3 is not between",
        ),
        ("zones = 5", "zones = 1", "zones: 1 zones are fewer than 2 regions"),
        (
            "connections = 1_900_000",
            "connections = 3",
            "connections: 3 connections are fewer than 550 gateways",
        ),
    ];
    for (from, to, message) in cases {
        let actual = error_message(from, to);
        let start = format!("size.toml:{}: {message}", line_of(from));
        assert!(actual.starts_with(&start), "{actual} does not start with {start}");
    }
}

#[test]
fn missing_duplicate_and_unknown_keys_are_named() {
    assert!(error_message("regions = 2\n", "").contains("missing field `regions`"));
    assert!(error_message("regions = 2\n", "regions = 2\nregions = 3\n").contains("duplicate key"));
    assert!(error_message("[gateway]", "[gateways]").contains("unknown field `gateways`"));
}

#[test]
fn exceeding_a_limit_is_an_error_that_names_it() {
    let limits = Limits { memory_mb: 100, processes: 10, seconds: 5 };
    let within = Usage { memory_mb: 100, processes: 10, seconds: 5 };
    assert!(limits.check(within).is_ok());
    let cases = [
        (
            Usage { memory_mb: 101, ..within },
            LimitKind::Memory,
            "stopped: 101 MB of memory exceed the limit of 100",
        ),
        (
            Usage { processes: 11, ..within },
            LimitKind::Processes,
            "stopped: 11 processes and threads exceed the limit of 10",
        ),
        (Usage { seconds: 6, ..within }, LimitKind::Time, "stopped: 6 seconds exceed the limit of 5"),
    ];
    for (usage, expected, message) in cases {
        let error = limits.check(usage).unwrap_err();
        assert!(matches!(&error, CapacityError::LimitExceeded { kind, .. } if *kind == expected), "{error}");
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn a_run_behind_its_schedule_is_unusable() {
    let ms = Duration::from_millis;
    assert_eq!(schedule_overrun(ms(1_000), ms(1_000)), None);
    assert_eq!(schedule_overrun(ms(1_100), ms(1_000)), None);
    let reason = schedule_overrun(ms(1_101), ms(1_000)).unwrap();
    assert_eq!(reason, "fell behind its schedule: 1101 ms for 1000 ms");
}

/// Returns measurements with round figures, as far as the tests need them.
fn round_slopes() -> Slopes {
    let mut slopes = Slopes::default();
    let engines = [100.0, 200.0, 400.0, 810.0];
    let by = |sizes: &[f64], slope: f64| runs(sizes, [0.0; 3], |size| slope * size);
    let mut add = |experiment, quantity, points| {
        let others = slopes.measured.iter().filter(|m| m.experiment == experiment).cloned();
        let mut all: Vec<Measurement> = others.collect();
        all.push(Measurement::new(experiment, quantity, points, Vec::new(), "a command"));
        slopes.replace(experiment, all);
    };
    add(Experiment::StatementEngines, Quantity::Cpu, by(&engines, 1.0));
    add(Experiment::StatementEngines, Quantity::Connections, by(&engines, 1.0));
    add(Experiment::ChangeEngines, Quantity::Cpu, by(&engines, 1.0));
    add(Experiment::ListEngines, Quantity::StreamBytes, by(&engines, 100.0));
    add(Experiment::StartEngines, Quantity::Cpu, by(&engines, 100.0));
    add(Experiment::IdleSessions, Quantity::Cpu, runs(&[1.0, 2.0, 3_455.0], [0.0; 3], |_| 100.0));
    slopes
}

#[test]
fn needs_are_calculated_from_slopes_and_target() {
    let (target, slopes) = (Target::parse("t", &target_text()).unwrap(), round_slopes());
    let estimate = CapacityEstimate::new(&target, &slopes);
    let need = |text: &str| estimate.needs.iter().find(|n| n.description.contains(text)).unwrap();
    // 2,363.6 statements per second of 810 us each.
    let statements = need("statements, few open at once");
    assert!((statements.amount.value - 1.914_545).abs() < 1e-5, "{statements:?}");
    assert!(matches!(statements.ratio(), Ratio::OfLimit(ratio) if (ratio - 1.914_545).abs() < 1e-5));
    // 162 changes of 810 us each within 11 s.
    let zone = need("all 162 databases of a zone change");
    assert!((zone.amount.value - 100.0 * 162.0 * 810e-6 / 11.0).abs() < 1e-9, "{zone:?}");
    // A start of 81 ms and 3,455 sessions of 100 us each, 3,100 times a day.
    let restarts = need("were each change of configuration a restart");
    let share = 100.0 * 3_100.0 * (0.081 + 0.3455) / 86_400.0;
    assert!(matches!(restarts.ratio(), Ratio::OfLimit(ratio) if (ratio - share / 2.3).abs() < 1e-9));
    // A mechanism for configuration changes exists, and the target states no limit on their number.
    let critical = estimate.critical_needs();
    assert_eq!(need("changes of classes").ratio(), Ratio::NoLimit);
    assert!(critical.iter().all(|n| !n.description.contains("changes of classes")));
    // No mechanism chooses a subset of databases. The runs have 810 connections, and the limit is 20,000 descriptors.
    let subset = critical.iter().find(|n| n.description.contains("a stable, even subset")).unwrap();
    assert_eq!(subset.ratio(), Ratio::NoMechanism);
    let wrenhatch_lab::capacity::estimate::Mechanism::Missing(fallback) = &subset.mechanism else {
        panic!("expected no mechanism")
    };
    assert!((fallback.ratio.unwrap() - 810.0 / 20_000.0).abs() < 1e-9);
    // 550 gateways have streams to 7 machines, to 5 after the loss of a zone, and to 3 after the loss of a region.
    let streams: Vec<f64> = estimate
        .needs_of(Role::Control)
        .filter(|n| n.description.starts_with("streams"))
        .map(|n| n.amount.value)
        .collect();
    assert_eq!(streams, [79.0, 110.0, 184.0]);
}

#[test]
fn missing_mechanisms_are_listed_before_exceeded_limits() {
    let (target, slopes) = (Target::parse("t", &target_text()).unwrap(), round_slopes());
    let estimate = CapacityEstimate::new(&target, &slopes);
    let needs = estimate.critical_needs();
    let missing = needs.iter().take_while(|n| n.ratio() == Ratio::NoMechanism).count();
    assert!(
        missing > 0
            && needs[missing..].iter().all(|n| matches!(n.ratio(), Ratio::OfLimit(ratio) if ratio >= 0.5))
    );
}

#[test]
fn missing_measurements_are_listed_on_the_page() {
    let (target, slopes) = (Target::parse("t", &target_text()).unwrap(), Slopes::default());
    let text = generate_page(&target, &slopes, &HollowFile::default());
    assert!(text.contains("- statement-engines cpu: no play has given it yet"), "{text}");
}

#[test]
fn unusable_runs_are_listed_on_the_page() {
    let mut slopes = round_slopes();
    slopes.measured[0].unusable.push("810: fell behind its schedule: 1101 ms for 1000 ms".to_owned());
    let target = Target::parse("t", &target_text()).unwrap();
    let text = generate_page(&target, &slopes, &HollowFile::default());
    let line = "a play at 810: fell behind its schedule: 1101 ms for 1000 ms: unusable";
    assert!(text.contains(line), "{text}");
}

#[test]
fn figures_of_hollow_runs_are_on_the_page() {
    let text = r#"{"figures":[{"role":"database","quantity":"handshakes","event":"zone gone","value":1234.0,
        "unit":"a second","mark":"hollow","command":"wrenhatch-lab hollow"}]}"#;
    let hollow: HollowFile = serde_json::from_str(text).unwrap();
    let target = Target::parse("t", &target_text()).unwrap();
    let text = generate_page(&target, &Slopes::default(), &hollow);
    assert!(
        text.contains("| zone gone | handshakes | 1,234 a second | hollow | `wrenhatch-lab hollow` |"),
        "{text}"
    );
}

#[test]
fn configuration_figures_are_those_of_the_largest_fleet() {
    let hollow = HollowFile::default().with_configuration(&docs("capacity/configuration.json")).unwrap();
    assert!(!hollow.figures.is_empty());
    assert!(
        hollow
            .figures
            .iter()
            .all(|f| f.origin == Origin::Simulated && f.event.starts_with("configuration, "))
    );
    let times = hollow.figures.iter().filter(|f| f.unit == "ms").count();
    assert_eq!(hollow.figures.len(), 3 * times, "a time and two rates for each scenario");
    let missing = HollowFile::default().with_configuration(&docs("capacity/no-such-file.json")).unwrap();
    assert!(missing.figures.is_empty());
}

#[test]
fn the_committed_page_is_up_to_date() {
    let target = Target::read(&docs("capacity/target.toml")).unwrap();
    let slopes = Slopes::read(&docs("capacity/slopes.json")).unwrap();
    let configuration = docs("capacity/configuration.json");
    let hollow = HollowFile::read(&docs("capacity/hollow.json")).unwrap();
    let hollow = hollow.with_configuration(&configuration).unwrap();
    let present = std::fs::read_to_string(docs("CAPACITY.md")).unwrap();
    let generated = generate_page(&target, &slopes, &hollow);
    let differs = present.lines().zip(generated.lines()).find(|(a, b)| a != b);
    assert!(present == generated, "run `wrenhatch-lab capacity page`; first difference: {differs:?}");
}

#[test]
fn recorded_fits_match_their_runs() {
    let slopes = Slopes::read(&docs("capacity/slopes.json")).unwrap();
    for m in slopes.measured {
        let fresh = fit(&m.points);
        let agrees = match (fresh, m.fit) {
            (Some(a), Some(b)) => {
                (a.slope - b.slope).abs() <= 1e-9 * a.slope.abs().max(1e-9) && a.linear == b.linear
            }
            (a, b) => a.is_none() && b.is_none(),
        };
        assert!(agrees, "{}: {fresh:?} is not {:?}", m.name(), m.fit);
    }
}

#[test]
fn numbers_have_three_digits_and_thousands_separators() {
    let cases = [
        (0.0, "0"),
        (0.01234, "0.0123"),
        (0.1234, "0.123"),
        (1.234, "1.23"),
        (12.34, "12.3"),
        (16.0, "16"),
        (1_234.5, "1,234"),
        (1_705_000.0, "1,705,000"),
        (-1_234.0, "-1,234"),
    ];
    for (value, text) in cases {
        assert_eq!(format_number(value), text);
    }
}

#[test]
fn all_requests_of_a_closed_loop_in_memory_succeed() {
    let mut simulation = CoreSimulation::new(8, 4).unwrap();
    simulation.run_statements(200);
    simulation.run_changes(10);
    simulation.run_lists(3);
    simulation.run_control_ticks(5);
    assert!(simulation.served >= 200, "{}", simulation.served);
    assert_eq!(simulation.failed, 0);
}
