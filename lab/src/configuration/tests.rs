use super::report::Row;
use super::scenario::Scenario;
use super::settings::{Operator, Size, is_valid};
use super::*;

const SIZE: Size = Size { classes: 3, tenants: 20 };
const CHANGES: u64 = 5;

fn row(scenario: Scenario, gateways: usize, seeds: std::ops::Range<u64>) -> Row {
    Row::new(scenario, gateways, seeds.map(|seed| scenario.simulate(gateways, SIZE, seed, CHANGES)))
}

#[test]
fn all_gateways_apply_a_version_within_the_limit_in_each_scenario() {
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
fn runs_with_the_same_seeds_give_the_same_figures() {
    let run = || serde_json::to_string(&row(Scenario::Tampered, 20, 5..7)).unwrap();
    assert_eq!(run(), run());
}

#[test]
fn a_valid_version_follows_an_invalid_one() {
    let mut operator = Operator::new(SIZE, 1);
    assert!(is_valid(&operator.next_version().1));
    assert!(!is_valid(&operator.next_invalid_version().1));
    assert!(is_valid(&operator.next_version().1));
}

#[test]
fn a_delta_is_less_than_a_fifth_of_a_snapshot() {
    let cost = cost::measure(SIZE, 20).unwrap();
    assert!(cost.delta_bytes * 5.0 < cost.snapshot_bytes as f64, "{cost:?}");
}
