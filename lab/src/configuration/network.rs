//! The simulated network between gateways and control machines: delays, loss, duplication and reordering.
//!
//! There are two regions, with three and two zones. A one-way trip has a base delay that depends on the zones, a
//! queueing delay with an exponential distribution, and in some cases the delay of a retransmission.

use super::SECOND_US;
use super::random::Random;

const ZONES: usize = 5;
const ZONES_OF_FIRST_REGION: usize = 3;
const WITHIN_ZONE_US: u64 = 250;
const WITHIN_REGION_US: u64 = 750;
const BETWEEN_REGIONS_US: u64 = 35_000;
/// Mean queueing delay as a fraction of the base delay.
const QUEUEING_DELAY_RATIO: f64 = 0.2;
const RETRANSMITTED_PER_MILLE: u64 = 10;
const RETRANSMISSION_US: u64 = 200_000;

/// Upper bound of the additional delay of a late message.
const MAX_LATE_US: u64 = 2 * SECOND_US;

/// Probabilities of faults of single messages. TCP would hide these faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a message is lost, per thousand.
    pub lost_per_mille: u64,
    /// Probability that a message is duplicated, per thousand.
    pub duplicated_per_mille: u64,
    /// Probability that a message is delayed further, per thousand. Such a message can arrive out of order.
    pub late_per_mille: u64,
}

/// Delays and faults of all connections, drawn from one sequence of random numbers.
pub struct Network {
    random: Random,
    /// Faults in addition to delays. None by default.
    pub faults: NetworkFaults,
}

impl Network {
    /// A network without faults other than delays.
    pub fn new(seed: u64) -> Self {
        Self { random: Random::new(seed), faults: NetworkFaults::default() }
    }

    /// Time of a one-way trip, in microseconds. `from` and `to` are numbers of gateways or machines, which are assigned
    /// to the zones in turn.
    pub fn one_way_us(&mut self, from: usize, to: usize) -> u64 {
        let base_us = base_us(from % ZONES, to % ZONES);
        let queueing_us = self.random.exponential(base_us as f64 * QUEUEING_DELAY_RATIO) as u64;
        let is_retransmitted = self.random.per_mille(RETRANSMITTED_PER_MILLE);
        base_us + queueing_us + if is_retransmitted { RETRANSMISSION_US } else { 0 }
    }

    /// Additional delay of each copy of a message, in microseconds. The list is empty if the message is lost.
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
