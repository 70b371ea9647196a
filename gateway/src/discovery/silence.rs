//! Detection of dead streams by silence.
//!
//! The discovery service sends comments as heartbeats at regular intervals. A stream without a line for several
//! intervals counts as dead. Events arrive irregularly, so they don't contribute to the estimate of the interval.

/// Comment period that the protocol specifies.
const DEFAULT_PERIOD_US: f64 = 1e6;
/// Minimum number of periods without a line after which a stream is dead.
const MIN_MISSED_PERIODS: f64 = 2.5;
/// Maximum random addition to [`MIN_MISSED_PERIODS`].
const MISSED_PERIODS_JITTER: f64 = 0.5;
/// Longest permitted silence. The platform expects gateways to observe a drain within 7 s.
const MAX_SILENCE_US: f64 = 5e6;
/// Weight of a period that is shorter than the estimate. A longer period replaces the estimate. The estimate does not
/// fall below a quarter of [`DEFAULT_PERIOD_US`].
const SHORTER_PERIOD_WEIGHT: f64 = 0.125;
/// Growth factor of the estimate when a stream becomes silent before its period is known.
const UNKNOWN_PERIOD_GROWTH_RATIO: f64 = 1.5;

/// Computes the time at which a silent stream counts as dead.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    last_activity_us: u64,
    /// Number of reads of the current stream that completed neither the response head nor an event.
    comment_reads: u32,
    /// Estimated time between two comments.
    period_us: f64,
    /// Periods without a line after which a stream is dead. The value differs between gateways, so that they don't all
    /// reconnect at the same time when the discovery service fails.
    max_missed_periods: f64,
}

impl SilenceDetector {
    /// Creates a detector. `random`, from 0 to 1, should differ between gateways.
    pub fn new(random: f64) -> Self {
        Self {
            last_activity_us: 0,
            comment_reads: 0,
            period_us: DEFAULT_PERIOD_US,
            max_missed_periods: MIN_MISSED_PERIODS + MISSED_PERIODS_JITTER * random,
        }
    }

    /// Records that a stream is being opened or that its connection is established.
    pub fn on_open(&mut self, now_us: u64) {
        (self.last_activity_us, self.comment_reads) = (now_us, 0);
    }

    /// Records that whole lines were read. `only_comments`: the lines completed neither the response head nor an event.
    pub fn on_lines(&mut self, now_us: u64, only_comments: bool) {
        let gap_us = now_us.saturating_sub(std::mem::replace(&mut self.last_activity_us, now_us)) as f64;
        if only_comments {
            self.comment_reads += 1;
            let change_us = SHORTER_PERIOD_WEIGHT * (gap_us - self.period_us);
            self.period_us = gap_us.max(self.period_us + change_us).max(DEFAULT_PERIOD_US / 4.0);
        }
    }

    /// Records that the stream was closed because of its silence. If its period was not known yet, the period may be
    /// longer than the estimate, which therefore grows.
    pub fn on_silence(&mut self) {
        if self.comment_reads < 2 {
            self.period_us *= UNKNOWN_PERIOD_GROWTH_RATIO;
        }
    }

    /// Time at which the stream is dead unless lines are read before, in microseconds.
    pub fn deadline_us(&self) -> u64 {
        self.last_activity_us + (self.max_missed_periods * self.period_us).min(MAX_SILENCE_US) as u64
    }
}

#[cfg(test)]
mod tests;
