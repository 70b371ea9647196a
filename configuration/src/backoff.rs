//! Selection of the control plane server that a gateway connects to, and the delay before each connection attempt.

use crate::hash::mix;

/// Exclusive upper bound of the delay after the first failure, in microseconds. Doubles with each further failure up to
/// [`BACKOFF_MAX_US`].
pub const BACKOFF_INITIAL_US: u64 = 250_000;

/// Exclusive upper bound of any delay, in microseconds.
pub const BACKOFF_MAX_US: u64 = 8_000_000;

/// Rotation through the control plane servers, with exponential backoff and full jitter between attempts.
///
/// Each gateway tries the servers in an order derived from its seed by rendezvous hashing, so that gateways spread
/// evenly over the servers.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Indexes of the servers in the order in which this gateway tries them. Never empty.
    servers: Vec<usize>,
    position: usize,
    failures: u32,
    random: u64,
}

impl Backoff {
    pub(crate) fn new(servers: usize, seed: u64) -> Self {
        let mut servers: Vec<usize> = (0..servers.max(1)).collect();
        servers.sort_by_key(|server| mix(mix(seed) ^ (*server as u64)));
        Self { servers, position: 0, failures: 0, random: mix(seed) }
    }

    /// Index of the server to connect to.
    pub(crate) fn server(&self) -> usize {
        self.servers[self.position]
    }

    /// Selects the next server and returns the delay before connecting to it, in microseconds.
    pub(crate) fn on_failure(&mut self) -> u64 {
        self.position = (self.position + 1) % self.servers.len();
        let doubled_us = BACKOFF_INITIAL_US.saturating_mul(1 << self.failures.min(32));
        let ceiling_us = doubled_us.min(BACKOFF_MAX_US);
        self.failures = self.failures.saturating_add(1);
        self.random = mix(self.random);
        self.random % ceiling_us
    }

    /// Resets the delay after a message that requires no resync. The current server stays selected.
    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
