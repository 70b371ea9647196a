//! Estimates the CPU time of each kind of work from the durations of whole turns.

/// The kinds of work in a turn of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Work {
    /// Accepting one connection.
    Accept,
    /// Reading one session.
    Read,
    /// Submitting one request to the workload manager.
    Request,
    /// Processing input from clients, in bytes.
    Bytes,
    /// Handling one readiness event of an engine connection, or one timer of the event loop.
    Event,
}

impl Work {
    /// Name in the printed counters, which contain all kinds but [`Work::Bytes`].
    pub fn name(self) -> &'static str {
        match self {
            Work::Accept => "accept",
            Work::Read => "read",
            Work::Request => "request",
            Work::Bytes => "bytes",
            Work::Event => "event",
        }
    }
}

const WORK_KINDS: usize = 5;
/// Bytes are counted in blocks, so that the amounts of all kinds of work have the same order of magnitude.
const BYTES_PER_BLOCK: f64 = 4096.0;

/// Step size of the least mean squares filter.
const STEP_RATIO: f64 = 0.1;
/// Step size for long turns, so that the costs adapt within the few turns of a connection surge.
const LONG_TURN_STEP_RATIO: f64 = 0.4;
const LONG_TURN_US: f64 = 1_000.0;
/// Upper bound of a turn's error, relative to its predicted duration. Limits the effect of turns in which the thread
/// was preempted.
const MAX_ERROR_RATIO: f64 = 4.0;
/// Costs before the first turn, by the discriminants of [`Work`].
const INITIAL_COSTS_US: [f64; WORK_KINDS] = [30.0, 15.0, 40.0, 2.0, 10.0];
const MIN_COST_US: f64 = 0.1;
const MAX_COST_US: f64 = 20_000.0;

/// The work done in one turn: an amount for each kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TurnWork {
    amounts: [f64; WORK_KINDS],
}

impl TurnWork {
    pub(super) fn add(&mut self, work: Work, amount: usize) {
        let amount = if work == Work::Bytes { amount as f64 / BYTES_PER_BLOCK } else { amount as f64 };
        self.amounts[work as usize] += amount;
    }
}

/// The cost of each kind of work, learned by a normalised least mean squares filter (Widrow and Hoff, 1960). After each
/// turn, the error of its predicted duration is distributed over the kinds of work in proportion to their amounts.
/// Single operations are not timed, so that the clock is read only twice per turn.
#[derive(Clone, Debug)]
pub struct CostModel {
    costs_us: [f64; WORK_KINDS],
}

impl Default for CostModel {
    fn default() -> Self {
        Self { costs_us: INITIAL_COSTS_US }
    }
}

impl CostModel {
    /// Cost of one operation, or of 4 KiB for [`Work::Bytes`], in microseconds.
    pub fn cost_us(&self, work: Work) -> f64 {
        self.costs_us[work as usize]
    }

    pub(super) fn predict_us(&self, turn_work: &TurnWork) -> f64 {
        self.costs_us.iter().zip(&turn_work.amounts).map(|(cost, n)| cost * n).sum()
    }

    pub(super) fn learn(&mut self, turn_work: &TurnWork, duration_us: f64) {
        let power: f64 = turn_work.amounts.iter().map(|n| n * n).sum();
        if power <= 0.0 {
            return;
        }
        let predicted_us = self.predict_us(turn_work);
        let error_us = (duration_us - predicted_us).clamp(-predicted_us, MAX_ERROR_RATIO * predicted_us);
        let is_long = predicted_us.max(duration_us) >= LONG_TURN_US;
        let step = if is_long { LONG_TURN_STEP_RATIO } else { STEP_RATIO };
        for (cost, n) in self.costs_us.iter_mut().zip(&turn_work.amounts) {
            *cost = (*cost + step * error_us * n / power).clamp(MIN_COST_US, MAX_COST_US);
        }
    }
}

#[cfg(test)]
mod tests;
