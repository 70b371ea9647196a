//! The simulated network between gateways and control plane servers: delays, loss, duplication and reordering.
//!
//! The figures are assumptions: two regions of three and two zones; one way takes 0.25 ms within a zone, 0.75 ms
//! within a region and 35 ms between regions, and 20% more on average by queueing; one message of a hundred waits for a
//! retransmission.

use super::SECOND_US;
use super::random::Random;

const ZONES: usize = 5;
const ZONES_OF_FIRST_REGION: usize = 3;
const WITHIN_ZONE_US: u64 = 250;
const WITHIN_REGION_US: u64 = 750;
const BETWEEN_REGIONS_US: u64 = 35_000;
const QUEUEING_DELAY_RATIO: f64 = 0.2;
const RETRANSMITTED_PER_MILLE: u64 = 10;
const RETRANSMISSION_US: u64 = 200_000;

/// Longest additional delay of a late message, in microseconds.
const MAX_LATE_US: u64 = 2 * SECOND_US;

/// Faults of a network that TCP would hide.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Messages of a thousand that are lost.
    pub lost_per_mille: u64,
    /// Messages of a thousand that are duplicated.
    pub duplicated_per_mille: u64,
    /// Messages of a thousand that are late, and so out of order.
    pub late_per_mille: u64,
}

/// The network.
pub struct Network {
    random: Random,
    /// Faults beyond delays.
    pub faults: NetworkFaults,
}

impl Network {
    /// A network that only delays.
    pub fn new(seed: u64) -> Self {
        Self { random: Random::new(seed), faults: NetworkFaults::default() }
    }

    /// Duration of one way between two places, which are numbered over the zones, in microseconds.
    pub fn one_way_us(&mut self, from: usize, to: usize) -> u64 {
        let base_us = base_us(from % ZONES, to % ZONES);
        let queueing_us = self.random.exponential(base_us as f64 * QUEUEING_DELAY_RATIO) as u64;
        let is_retransmitted = self.random.per_mille(RETRANSMITTED_PER_MILLE);
        base_us + queueing_us + if is_retransmitted { RETRANSMISSION_US } else { 0 }
    }

    /// Additional delay of each copy of a message, in microseconds; none if it is lost.
    pub fn copies(&mut self) -> Vec<u64> {
        let NetworkFaults { lost_per_mille, duplicated_per_mille, late_per_mille } = self.faults;
        if self.random.per_mille(lost_per_mille) {
            return Vec::new();
        }
        let count = if self.random.per_mille(duplicated_per_mille) { 2 } else { 1 };
        let late_us = |random: &mut Random| match random.per_mille(late_per_mille) {
            true => random.below(MAX_LATE_US),
            false => 0,
        };
        (0..count).map(|_| late_us(&mut self.random)).collect()
    }
}

fn base_us(from: usize, to: usize) -> u64 {
    let is_first_region = |zone: usize| zone < ZONES_OF_FIRST_REGION;
    if from == to {
        WITHIN_ZONE_US
    } else if is_first_region(from) == is_first_region(to) {
        WITHIN_REGION_US
    } else {
        BETWEEN_REGIONS_US
    }
}
