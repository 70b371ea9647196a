//! Which control plane server a gateway connects to next, and when: exponential backoff with full jitter.

use crate::hash::mix;

/// Upper bound of the wait after the first failure, in microseconds.
pub const BACKOFF_INITIAL_US: u64 = 250_000;

/// Upper bound of any wait, in microseconds.
pub const BACKOFF_MAX_US: u64 = 8_000_000;

/// An order of control plane servers of its own for each gateway (rendezvous hashing over the gateway's seed), and
/// exponential backoff with full jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Numbers of the servers in the order of this gateway; never empty.
    servers: Vec<usize>,
    position: usize,
    failures: u32,
    random: u64,
}

impl Backoff {
    /// The backoff of a gateway that knows so many servers.
    pub(crate) fn new(servers: usize, seed: u64) -> Self {
        let mut servers: Vec<usize> = (0..servers.max(1)).collect();
        servers.sort_by_key(|server| mix(mix(seed) ^ (*server as u64)));
        Self { servers, position: 0, failures: 0, random: mix(seed) }
    }

    /// The number of the server to connect to.
    pub(crate) fn server(&self) -> usize {
        self.servers[self.position]
    }

    /// Moves on to the next server; returns how long to wait before connecting to it, in microseconds.
    pub(crate) fn on_failure(&mut self) -> u64 {
        self.position = (self.position + 1) % self.servers.len();
        let doubled = BACKOFF_INITIAL_US.saturating_mul(1 << self.failures.min(32));
        let ceiling = doubled.min(BACKOFF_MAX_US);
        self.failures = self.failures.saturating_add(1);
        self.random = mix(self.random);
        self.random % ceiling
    }

    /// The server has sent a usable message: the next failure counts as the first.
    pub(crate) fn on_success(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
