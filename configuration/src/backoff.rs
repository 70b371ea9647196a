//! Which control machine is tried next, and when.

use crate::hash::mix;

/// The first attempt after a loss comes within this. Microseconds.
pub const BACKOFF_FIRST_US: u64 = 250_000;

/// Later ones within this at most. Microseconds.
pub const BACKOFF_MOST_US: u64 = 8_000_000;

/// An order of control machines of its own for each gateway (rendezvous hashing over the gateway's seed), and
/// exponential back-off whose whole length is jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    machines: Vec<usize>,
    place: usize,
    failures: u32,
    random: u64,
}

impl Backoff {
    pub(crate) fn new(machines: usize, seed: u64) -> Self {
        let mut machines: Vec<usize> = (0..machines.max(1)).collect();
        machines.sort_by_key(|machine| mix(mix(seed) ^ (*machine as u64)));
        Self { machines, place: 0, failures: 0, random: mix(seed) }
    }

    pub(crate) fn machine(&self) -> usize {
        self.machines[self.place]
    }

    /// Moves on to the next machine; returns how long to wait for it, in microseconds.
    pub(crate) fn fail(&mut self) -> u64 {
        self.place = (self.place + 1) % self.machines.len();
        let doubled = BACKOFF_FIRST_US.saturating_mul(1 << self.failures.min(32));
        let ceiling = doubled.min(BACKOFF_MOST_US);
        self.failures = self.failures.saturating_add(1);
        self.random = mix(self.random);
        self.random % ceiling
    }

    /// A machine has said something of use: the next loss is a first one.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
