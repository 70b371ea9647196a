//! What each kind of work costs, learned from the time that whole turns took.

/// What a turn of the event loop spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Work {
    /// A connection was accepted.
    Accept,
    /// A session was read.
    Read,
    /// A request was handed to the workload manager.
    Request,
    /// Bytes were read from clients.
    Bytes,
    /// Something came from an engine or the discovery service, or a timer fired.
    Event,
}

impl Work {
    /// Its name among the printed figures.
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
/// Bytes are counted in blocks, so that the amounts of all kinds of work are of the same order.
const BYTES_PER_BLOCK: f64 = 4096.0;

/// The part of a turn's error that is corrected at once.
const STEP_RATIO: f64 = 0.1;
/// The same for a long turn, of which a connection surge has only a few.
const LONG_TURN_STEP_RATIO: f64 = 0.4;
const LONG_TURN_US: f64 = 1_000.0;
/// The largest error that one turn counts for, relative to its predicted time: a turn in which the system ran
/// something else says nothing of the work.
const MAX_ERROR_RATIO: f64 = 4.0;
/// Costs before the first turn, in the order of [`Work`].
const INITIAL_COSTS_US: [f64; WORK_KINDS] = [30.0, 15.0, 40.0, 2.0, 10.0];
const MIN_COST_US: f64 = 0.1;
const MAX_COST_US: f64 = 20_000.0;

/// The work of one turn: an amount for each kind.
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

/// The cost of each kind of work, in microseconds, by normalised least mean squares (Widrow and Hoff, 1960): after
/// each turn the error of its predicted time is laid on the kinds of work in proportion to their amounts. No single
/// piece of work is timed, as the clock is read twice a turn.
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
    /// What one piece of this work costs, in microseconds; of [`Work::Bytes`], one block of 4 KiB.
    pub fn cost_us(&self, work: Work) -> f64 {
        self.costs_us[work as usize]
    }

    pub(super) fn predict_us(&self, done: &TurnWork) -> f64 {
        self.costs_us.iter().zip(&done.amounts).map(|(cost, n)| cost * n).sum()
    }

    pub(super) fn learn(&mut self, done: &TurnWork, took_us: f64) {
        let power: f64 = done.amounts.iter().map(|n| n * n).sum();
        if power <= 0.0 {
            return;
        }
        let predicted_us = self.predict_us(done);
        let error_us = (took_us - predicted_us).clamp(-predicted_us, MAX_ERROR_RATIO * predicted_us);
        let is_long = predicted_us.max(took_us) >= LONG_TURN_US;
        let step = if is_long { LONG_TURN_STEP_RATIO } else { STEP_RATIO };
        for (cost, n) in self.costs_us.iter_mut().zip(&done.amounts) {
            *cost = (*cost + step * error_us * n / power).clamp(MIN_COST_US, MAX_COST_US);
        }
    }
}

#[cfg(test)]
mod tests;
