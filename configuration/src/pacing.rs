//! Limits on the rate at which a control plane server sends configuration, shared by all gateways.

/// The rate limits of a control plane server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Bytes per second of messages with configuration. Heartbeats do not count. 0 has the same effect as 1.
    pub bytes_per_second: u64,
    /// Messages with configuration per second. 0 has the same effect as 1.
    pub messages_per_second: u64,
    /// Minimum interval between two messages with configuration to the same gateway, in microseconds.
    pub min_interval_us: u64,
}

impl Default for Pacing {
    fn default() -> Self {
        Self { bytes_per_second: 2_000_000, messages_per_second: 2_000, min_interval_us: 250_000 }
    }
}

/// Burst tolerance of the rate limits: time by which a message may be sent ahead of the rate, in microseconds.
const BURST_US: u64 = 10_000;

/// Rate limit by virtual scheduling (GCRA): `free_at_us` is the time at which everything sent so far conforms to the
/// rate. A message larger than the burst tolerance is sent in one piece and delays the messages after it.
#[derive(Debug)]
struct Rate {
    per_second: u64,
    free_at_us: u64,
}

impl Rate {
    fn spend(&mut self, now_us: u64, amount: u64) {
        let cost_us = amount.saturating_mul(1_000_000).div_ceil(self.per_second.max(1));
        self.free_at_us = self.free_at_us.max(now_us).saturating_add(cost_us);
    }
}

/// Current state of both rate limits.
#[derive(Debug)]
pub(crate) struct Pacer {
    bytes: Rate,
    messages: Rate,
}

impl Pacer {
    pub(crate) fn new(pacing: Pacing) -> Self {
        let rate = |per_second| Rate { per_second, free_at_us: 0 };
        Self { bytes: rate(pacing.bytes_per_second), messages: rate(pacing.messages_per_second) }
    }

    /// Earliest time of the next message with configuration, in microseconds.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.bytes.free_at_us.max(self.messages.free_at_us).saturating_sub(BURST_US)
    }

    /// Charges a sent message to both rates.
    pub(crate) fn spend(&mut self, now_us: u64, bytes: usize) {
        self.bytes.spend(now_us, bytes as u64);
        self.messages.spend(now_us, 1);
    }
}

#[cfg(test)]
mod tests;
