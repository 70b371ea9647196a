//! Rate limits of a control plane server, over all gateways.

/// The rate limits of a control plane server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Bytes of configuration a second.
    pub bytes_per_second: u64,
    /// Messages with configuration a second.
    pub messages_per_second: u64,
    /// Minimum time between two messages with configuration to one gateway, in microseconds.
    pub gap_us: u64,
}

impl Default for Pacing {
    fn default() -> Self {
        Self { bytes_per_second: 2_000_000, messages_per_second: 2_000, gap_us: 250_000 }
    }
}

/// Messages may go out ahead of the rate by this, in microseconds.
const BURST_US: u64 = 10_000;

/// A rate limit, kept as the time at which all that was sent is paid for. A message larger than the burst goes out and
/// delays those behind it.
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

/// The state of the rate limits.
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

    /// When the next message may go out.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.bytes.free_at_us.max(self.messages.free_at_us).saturating_sub(BURST_US)
    }

    /// A message of so many bytes was sent.
    pub(crate) fn spend(&mut self, now_us: u64, bytes: usize) {
        self.bytes.spend(now_us, bytes as u64);
        self.messages.spend(now_us, 1);
    }
}

#[cfg(test)]
mod tests;
