//! Detection of dead streams by silence.
//!
//! The discovery service sends comments at regular times, so a stream that misses several comments counts as dead.
//! Events come irregularly and say nothing about the comment period.

/// The comment period that the protocol promises.
const DEFAULT_PERIOD_US: f64 = 1e6;
/// Comments that a stream may miss.
const MIN_MISSED_PERIODS: f64 = 2.5;
/// Random addition to [`MIN_MISSED_PERIODS`], at most.
const MISSED_PERIODS_JITTER: f64 = 0.5;
/// Longest permitted silence. It keeps the delay of a drain under the 7 s within which the platform expects it known.
const MAX_SILENCE_US: f64 = 5e6;
/// Weight of a new period that is shorter than the estimate; longer ones count at once.
const SHORTER_PERIOD_WEIGHT: f64 = 0.125;
/// Growth of the estimate when a stream fell silent before its period was known.
const UNKNOWN_PERIOD_GROWTH_RATIO: f64 = 1.5;

/// Says when a stream has been silent for too long.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    last_activity_us: u64,
    /// Comments of the current stream.
    comments: u32,
    /// Estimated time between two comments.
    period_us: f64,
    /// Periods without a sign of life after which a stream is dead. It differs between gateways: all streams fall
    /// silent at once, and their gateways should not all connect in the same moment.
    max_missed_periods: f64,
}

impl SilenceDetector {
    /// A detector; `chance`, from 0 to 1, should differ between gateways.
    pub fn new(chance: f64) -> Self {
        Self {
            last_activity_us: 0,
            comments: 0,
            period_us: DEFAULT_PERIOD_US,
            max_missed_periods: MIN_MISSED_PERIODS + MISSED_PERIODS_JITTER * chance,
        }
    }

    /// A stream is being opened, or its connection has come up.
    pub fn on_open(&mut self, now_us: u64) {
        (self.last_activity_us, self.comments) = (now_us, 0);
    }

    /// Whole lines were read; `only_comments` says that no event ended among them.
    pub fn on_lines(&mut self, now_us: u64, only_comments: bool) {
        let gap_us = now_us.saturating_sub(std::mem::replace(&mut self.last_activity_us, now_us)) as f64;
        if only_comments {
            self.comments += 1;
            let decrease_us = SHORTER_PERIOD_WEIGHT * (gap_us - self.period_us);
            self.period_us = gap_us.max(self.period_us + decrease_us).max(DEFAULT_PERIOD_US / 4.0);
        }
    }

    /// The stream was closed for its silence. Where its period was not known yet, it may only be slower than assumed.
    pub fn on_silence(&mut self) {
        if self.comments < 2 {
            self.period_us *= UNKNOWN_PERIOD_GROWTH_RATIO;
        }
    }

    /// When the stream is dead unless lines are read before.
    pub fn deadline_us(&self) -> u64 {
        self.last_activity_us + (self.max_missed_periods * self.period_us).min(MAX_SILENCE_US) as u64
    }
}

#[cfg(test)]
mod tests;
