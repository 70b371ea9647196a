//! Concurrency limit of background work at one engine, set by latency feedback.
//!
//! The limit is set by an integral controller (Algorithm 1 of the thesis, 3.2.1.3.3), in threads of this
//! gateway. A control interval collects the latencies of interactive requests at the engine. At its end, the
//! error integral grows by `objective - measured latency`, and the limit becomes `gain * integral`. The limit
//! lies between [`ConcurrencyLimit::step_threads`] and a ceiling. The ceiling halves whenever an interval
//! misses the objective, but not below this gateway's share of the cores.

use super::interactive_latency::InteractiveLatency;
use super::load_estimate::{LoadEstimate, MAX_BACKGROUND_UTILIZATION_RATIO};

/// Number of completions after which an interval ends (q of the thesis, 4.5.1).
const MIN_COMPLETIONS: u32 = 20;
/// Longest duration of an interval.
const MAX_INTERVAL_SECONDS: f64 = 5.0;
/// Upper bound of the ceiling, summed over all gateways.
const MAX_LIMIT_THREADS_PER_CORE: f64 = 6.0;
/// Initial ceiling, as a multiple of this gateway's share of the cores.
const INITIAL_CEILING_RATIO: f64 = 2.0;
/// Factor applied to the ceiling by an interval that misses the objective.
const MISSED_CEILING_RATIO: f64 = 0.5;
/// Ratio of the ceiling that must have been used in an interval for the ceiling to rise.
const USED_CEILING_RATIO: f64 = 0.7;

/// Parameters shared by the controllers of all engines.
pub(super) struct ControllerTerms {
    /// Set point of the measured latency.
    pub(super) objective_seconds: f64,
    /// Integral gain, in threads per core and second of the error integral.
    pub(super) gain_per_core: f64,
    /// Initial limit per core: an even share for each gateway.
    pub(super) initial_threads_per_core: f64,
}

/// Controller for one engine.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Number of the engine's cores.
    pub(super) cores: f64,
    /// This gateway's share of the engine's cores.
    pub(super) share_cores: f64,
    /// Current limit, in threads of this gateway's background work.
    pub(super) threads: f64,
    error_integral_seconds: f64,
    ceiling_threads: f64,
    interval_started_at: f64,
    /// Number of interactive completions in this interval, and the sum of their latencies.
    completions: u32,
    latency_sum_seconds: f64,
    /// Peak number of background threads in flight in this interval.
    peak_threads: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(now: f64, cores: f64, terms: &ControllerTerms) -> Self {
        let share_cores = cores * terms.initial_threads_per_core;
        Self {
            cores,
            share_cores,
            threads: share_cores,
            error_integral_seconds: terms.initial_threads_per_core / terms.gain_per_core,
            ceiling_threads: INITIAL_CEILING_RATIO * share_cores,
            interval_started_at: now,
            ..Self::default()
        }
    }

    /// Applies new terms or a new number of cores. Limit and ceiling keep their ratio to this gateway's share
    /// of the cores.
    pub(super) fn rescale(&mut self, cores: f64, old: &ControllerTerms, new: &ControllerTerms) {
        let ratio = cores * new.initial_threads_per_core / self.share_cores;
        self.error_integral_seconds *= ratio * (old.gain_per_core * self.cores) / (new.gain_per_core * cores);
        self.threads *= ratio;
        self.ceiling_threads *= ratio;
        self.share_cores = cores * new.initial_threads_per_core;
        self.cores = cores;
    }

    /// Lower bound of the limit, and step of the ceiling: one thread, or half of this gateway's share if
    /// less.
    pub(super) fn step_threads(&self) -> f64 {
        (0.5 * self.share_cores).min(1.0)
    }

    /// Records the latency of an interactive attempt that has ended.
    pub(super) fn record_completion(&mut self, latency_seconds: f64) {
        self.completions += 1;
        self.latency_sum_seconds += latency_seconds;
    }

    /// Records the number of background threads in flight.
    pub(super) fn record_use(&mut self, background_threads: f64) {
        self.peak_threads = self.peak_threads.max(background_threads);
    }

    /// Closes the control interval if it has ended. `utilization` is the estimate for this engine.
    pub(super) fn close_interval_if_ended(
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
        // Without a completion at any engine there is no sample.
        let measured = latency.sampled_at > self.interval_started_at || self.completions > 0;
        let sample = self.sample_seconds(latency.mean_seconds);
        let sample = self.sample_with_utilization(sample, load, utilization, terms);
        (self.completions, self.latency_sum_seconds, self.interval_started_at) = (0, 0.0, now);
        if measured {
            self.adjust(sample, terms);
        }
    }

    /// Mean latency of the interval. Missing completions are replaced with the mean over all engines, to
    /// reduce noise.
    fn sample_seconds(&self, mean_seconds: f64) -> f64 {
        let completions = f64::from(self.completions);
        let missing = (f64::from(MIN_COMPLETIONS) - completions).max(0.0);
        (self.latency_sum_seconds + missing * mean_seconds) / (completions + missing)
    }

    /// Applies a lower bound to the sample that is proportional to the engine's utilization. If answers carry
    /// no load reports, the bound equals the objective at [`MAX_BACKGROUND_UTILIZATION_RATIO`]. Otherwise, if
    /// no report has arrived and this gateway's share is less than two cores, the bound equals the objective
    /// at a utilization of 1. In all other cases there is no bound.
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

    /// Adds the error to the integral and sets the limit. The integral is clamped to the range of the limit
    /// (anti-windup). Otherwise the limit would stay low long after an external slowdown, and would rise
    /// above the engine's capacity in times of low load.
    fn adjust(&mut self, sample_seconds: f64, terms: &ControllerTerms) {
        // An interval that did not use the ceiling gives no evidence for a higher one.
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
