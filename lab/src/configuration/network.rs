//! How long a message takes between gateways and control machines, and whether it gets there.
//!
//! The figures are assumptions: two regions of three and two zones; one way takes 0.25 ms within a zone, 0.75 ms
//! within a region and 35 ms between regions, and 20% more on average by queues; one message of a hundred waits for a
//! retransmission.

use super::SECOND_US;
use super::random::Random;

const ZONES: usize = 5;
const ZONES_OF_FIRST_REGION: usize = 3;
const WITHIN_ZONE_US: u64 = 250;
const WITHIN_REGION_US: u64 = 750;
const BETWEEN_REGIONS_US: u64 = 35_000;
const QUEUES_SHARE: f64 = 0.2;
const RETRANSMITTED_PER_MILLE: u64 = 10;
const RETRANSMISSION_US: u64 = 200_000;

/// A tampered message arrives up to so much later.
const LATE_US: u64 = 2 * SECOND_US;

/// What a network does to messages that TCP would not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tampering {
    /// So many of a thousand are lost.
    pub lost_per_mille: u64,
    /// So many are doubled.
    pub doubled_per_mille: u64,
    /// So many are late, and so out of order.
    pub late_per_mille: u64,
}

/// The network.
pub struct Network {
    random: Random,
    /// What it does beyond delays.
    pub tampering: Tampering,
}

impl Network {
    /// A network that only delays.
    pub fn new(seed: u64) -> Self {
        Self { random: Random::new(seed), tampering: Tampering::default() }
    }

    /// How long one way takes between two places, counted over the zones. Microseconds.
    pub fn one_way_us(&mut self, from: usize, to: usize) -> u64 {
        let base_us = base_us(from % ZONES, to % ZONES);
        let queues_us = self.random.exponential(base_us as f64 * QUEUES_SHARE) as u64;
        let is_retransmitted = self.random.per_mille(RETRANSMITTED_PER_MILLE);
        base_us + queues_us + if is_retransmitted { RETRANSMISSION_US } else { 0 }
    }

    /// How much later than by its way each copy of a message arrives; none if it is lost. Microseconds.
    pub fn copies(&mut self) -> Vec<u64> {
        let Tampering { lost_per_mille, doubled_per_mille, late_per_mille } = self.tampering;
        if self.random.per_mille(lost_per_mille) {
            return Vec::new();
        }
        let count = if self.random.per_mille(doubled_per_mille) { 2 } else { 1 };
        let late_us = |random: &mut Random| match random.per_mille(late_per_mille) {
            true => random.below(LATE_US),
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
