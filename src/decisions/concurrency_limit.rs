//! Concurrency limit of background work at one engine, set by latency feedback.
//!
//! An integral controller (Algorithm 1 of the thesis, 3.2.1.3.3), counted in threads of this gateway. A
//! control interval gathers latencies of interactive requests at the engine. At its end the error integral
//! grows by `objective - measured latency`, and the limit becomes `gain * integral`. The limit lies between
//! [`ConcurrencyLimit::step_threads`] and a ceiling, which halves whenever an interval misses the
//! objective.

use super::interactive_latency::InteractiveLatency;
use super::load_estimate::{LoadEstimate, MAX_BACKGROUND_UTILIZATION_RATIO};

/// Completions that make an interval's sample (q of the thesis, 4.5.1).
const MIN_COMPLETIONS: u32 = 20;
/// An interval is closed after this at the latest.
const MAX_INTERVAL_SECONDS: f64 = 5.0;
/// Upper bound of the ceiling, all gateways together.
const MAX_LIMIT_THREADS_PER_CORE: f64 = 6.0;
/// The ceiling at the start, in times this gateway's share of the cores.
const START_CEILING_RATIO: f64 = 2.0;
/// What an interval that misses the objective leaves of the ceiling.
const MISSED_CEILING_RATIO: f64 = 0.5;
/// Part of the ceiling that must have been used in an interval for the ceiling to rise.
const USED_CEILING_RATIO: f64 = 0.7;

/// What the controllers of all engines are set by.
pub(super) struct ControllerTerms {
    /// Set point of the measured latency.
    pub(super) objective_seconds: f64,
    /// Integral gain, in threads a core for each second of the error integral.
    pub(super) gain_per_core: f64,
    /// Limit at the start: this gateway's share of a core.
    pub(super) start_threads_per_core: f64,
}

/// The controller of one engine.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Cores of the engine.
    pub(super) cores: f64,
    /// This gateway's share of them.
    pub(super) share_cores: f64,
    /// The limit, in threads of this gateway's background work.
    pub(super) threads: f64,
    error_integral_seconds: f64,
    ceiling_threads: f64,
    interval_started_at: f64,
    /// Interactive completions of this interval, and the sum of their latencies.
    completions: u32,
    latency_sum_seconds: f64,
    /// Most background threads in flight in this interval.
    peak_threads: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(now: f64, cores: f64, terms: &ControllerTerms) -> Self {
        let share_cores = cores * terms.start_threads_per_core;
        Self {
            cores,
            share_cores,
            threads: share_cores,
            error_integral_seconds: terms.start_threads_per_core / terms.gain_per_core,
            ceiling_threads: START_CEILING_RATIO * share_cores,
            interval_started_at: now,
            ..Self::default()
        }
    }

    /// Takes over other terms or another size of the engine; limit and ceiling keep their ratio to the start.
    pub(super) fn rescale(&mut self, cores: f64, old: &ControllerTerms, new: &ControllerTerms) {
        let ratio = cores * new.start_threads_per_core / self.share_cores;
        self.error_integral_seconds *= ratio * (old.gain_per_core * self.cores) / (new.gain_per_core * cores);
        self.threads *= ratio;
        self.ceiling_threads *= ratio;
        self.share_cores = cores * new.start_threads_per_core;
        self.cores = cores;
    }

    /// Floor of the limit and step of the ceiling: a thread, or half of a share that is smaller than two.
    pub(super) fn step_threads(&self) -> f64 {
        (0.5 * self.share_cores).min(1.0)
    }

    /// Counts an interactive attempt that has ended.
    pub(super) fn record_completion(&mut self, latency_seconds: f64) {
        self.completions += 1;
        self.latency_sum_seconds += latency_seconds;
    }

    /// Notes how many background threads are in flight.
    pub(super) fn record_use(&mut self, background_threads: f64) {
        self.peak_threads = self.peak_threads.max(background_threads);
    }

    /// Closes the control interval if it is over. `utilization` is the estimate for this engine.
    pub(super) fn close_interval_if_over(
        &mut self,
        now: f64,
        latency: &InteractiveLatency,
        load: &LoadEstimate,
        utilization: f64,
        terms: &ControllerTerms,
    ) {
        if self.completions < MIN_COMPLETIONS && now - self.interval_started_at < MAX_INTERVAL_SECONDS {
            return;
        }
        // Without a completion on any engine nothing was measured.
        let measured = latency.sampled_at > self.interval_started_at || self.completions > 0;
        let sample = self.sample_seconds(latency.mean_seconds);
        let sample = self.sample_with_utilization(sample, load, utilization, terms);
        (self.completions, self.latency_sum_seconds, self.interval_started_at) = (0, 0.0, now);
        if measured {
            self.adjust(sample, terms);
        }
    }

    /// Mean latency of the interval. Few completions are noise: they are filled up with the mean of all
    /// engines.
    fn sample_seconds(&self, mean_seconds: f64) -> f64 {
        let completions = f64::from(self.completions);
        let missing = (f64::from(MIN_COMPLETIONS) - completions).max(0.0);
        (self.latency_sum_seconds + missing * mean_seconds) / (completions + missing)
    }

    /// Where answers bring no load reports, an engine at its utilization bound counts as one at the
    /// objective; where shares are thin and no report has come, a full engine does.
    fn sample_with_utilization(
        &self,
        sample_seconds: f64,
        load: &LoadEstimate,
        utilization: f64,
        terms: &ControllerTerms,
    ) -> f64 {
        let unreported = !load.has_reports && self.step_threads() < 1.0;
        if !load.bounded_by_own_threads && !unreported {
            return sample_seconds;
        }
        let at_objective = if load.bounded_by_own_threads { MAX_BACKGROUND_UTILIZATION_RATIO } else { 1.0 };
        sample_seconds.max(terms.objective_seconds * utilization / at_objective)
    }

    /// Moves the integral by the error and sets the limit. The integral stops where the limit does
    /// (anti-windup): an outside slowdown would hold the limit low, and a quiet time would carry it above
    /// the engine's peak.
    fn adjust(&mut self, sample_seconds: f64, terms: &ControllerTerms) {
        // A ceiling that was not used has taught nothing about a higher one.
        let used = self.peak_threads > USED_CEILING_RATIO * self.ceiling_threads;
        let raise_threads = if used { self.step_threads() } else { 0.0 };
        self.peak_threads = 0.0;
        self.ceiling_threads = if sample_seconds > terms.objective_seconds {
            MISSED_CEILING_RATIO * self.ceiling_threads
        } else {
            self.ceiling_threads + raise_threads
        };
        let gain = self.cores * terms.gain_per_core;
        self.ceiling_threads =
            self.ceiling_threads.clamp(self.share_cores, MAX_LIMIT_THREADS_PER_CORE * self.share_cores);
        self.error_integral_seconds = (self.error_integral_seconds
            + (terms.objective_seconds - sample_seconds))
            .clamp(self.step_threads() / gain, self.ceiling_threads / gain);
        self.threads = gain * self.error_integral_seconds;
    }
}
