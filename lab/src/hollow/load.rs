//! Load over time: the total, and the maximum within any sliding window of a given length.

use std::collections::VecDeque;

pub(crate) const TENTH_SECOND_US: u64 = 100_000;
/// A second, in microseconds.
pub const SECOND_US: u64 = 1_000_000;
const TEN_SECONDS_US: u64 = 10 * SECOND_US;

/// Maximum amount within a sliding window, which ends at the latest time and excludes its start.
#[derive(Clone, Debug)]
pub struct SlidingMaximum {
    window_us: u64,
    /// Times and amounts within the window, oldest first.
    samples: VecDeque<(u64, u64)>,
    sum: u64,
    peak: u64,
}

impl SlidingMaximum {
    /// Creates an empty window of this length.
    pub fn new(window_us: u64) -> Self {
        Self { window_us, samples: VecDeque::new(), sum: 0, peak: 0 }
    }

    /// Adds an amount. Times must not decrease from call to call.
    pub fn add(&mut self, now_us: u64, amount: u64) {
        while self.samples.front().is_some_and(|(at, _)| at + self.window_us <= now_us) {
            self.sum -= self.samples.pop_front().map_or(0, |(_, amount)| amount);
        }
        match self.samples.back_mut() {
            Some((at, last)) if *at == now_us => *last += amount,
            _ => self.samples.push_back((now_us, amount)),
        }
        self.sum += amount;
        self.peak = self.peak.max(self.sum);
    }

    /// Largest sum within any window so far.
    pub fn peak(&self) -> u64 {
        self.peak
    }
}

/// Load of one machine over a run.
#[derive(Clone, Debug)]
pub struct Load {
    second: SlidingMaximum,
    ten_seconds: SlidingMaximum,
    total: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            second: SlidingMaximum::new(SECOND_US),
            ten_seconds: SlidingMaximum::new(TEN_SECONDS_US),
            total: 0,
        }
    }
}

impl Load {
    /// Adds an amount. Times must not decrease from call to call.
    pub fn add(&mut self, now_us: u64, amount: u64) {
        self.second.add(now_us, amount);
        self.ten_seconds.add(now_us, amount);
        self.total += amount;
    }

    /// Maximum amount within any second.
    pub fn worst_second(&self) -> u64 {
        self.second.peak()
    }

    /// Maximum amount within any ten seconds.
    pub fn worst_ten_seconds(&self) -> u64 {
        self.ten_seconds.peak()
    }

    /// Sum of all amounts.
    pub fn total(&self) -> u64 {
        self.total
    }
}
