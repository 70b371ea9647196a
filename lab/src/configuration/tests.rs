use super::report::Row;
use super::scenario::Scenario;
use super::settings::{Author, Size, is_good};
use super::*;

const SIZE: Size = Size { classes: 3, tenants: 20 };
const CHANGES: u64 = 5;

fn row(scenario: Scenario, gateways: usize, seeds: std::ops::Range<u64>) -> Row {
    Row::new(scenario, gateways, seeds.map(|seed| scenario.simulate(gateways, SIZE, seed, CHANGES)))
}

#[test]
fn all_gateways_have_a_version_within_the_limit_whatever_happens() {
    for scenario in Scenario::ALL {
        for gateways in [1, 30] {
            let row = row(scenario, gateways, 1..4);
            assert_eq!(row.missed, 0, "{row:?}");
            assert!(row.all.count >= 3 && row.all.max_ms <= LIMIT_MS, "{row:?}");
            assert!(row.gateway_bytes_per_s < LIMIT_BYTES_PER_S, "{row:?}");
        }
    }
}

#[test]
fn a_run_is_the_same_each_time() {
    let run = || serde_json::to_string(&row(Scenario::Tampered, 20, 5..7)).unwrap();
    assert_eq!(run(), run());
}

#[test]
fn bad_versions_are_bad_and_what_follows_is_good() {
    let mut author = Author::new(SIZE, 1);
    assert!(is_good(&author.next().1));
    assert!(!is_good(&author.next_bad().1));
    assert!(is_good(&author.next().1));
}

#[test]
fn a_difference_is_far_shorter_than_the_whole() {
    let cost = cost::measure(SIZE, 20).unwrap();
    assert!(cost.delta_bytes * 5.0 < cost.snapshot_bytes as f64, "{cost:?}");
}
