//! Statistics of a class of requests: mean work, latency and memory.

use crate::{Class, LoadReportSource, QueryCost, Settings};

use super::smoothing::{SAMPLE_WEIGHT, blend};

/// Initial mean latency, as a ratio of the class's objective.
const INITIAL_LATENCY_RATIO: f64 = 0.5;
/// Upper bound of a sample of estimated work or of time for work, as a multiple of the mean. Clients may send
/// arbitrary estimates.
const MAX_SAMPLE_RATIO: f64 = 30.0;
/// Largest factor by which the lowest time for work rises with each sample.
const LOWEST_RISE_RATIO: f64 = 1.001;
/// Smallest divisor for relative sizes, against division by zero.
const MIN_MEAN_WORK_SECONDS: f64 = 1e-6;

/// Time for work: thread-seconds that attempts take per second of their work, reported or else estimated.
#[derive(Clone, Copy)]
pub(super) struct TimeForWork {
    /// Moving average. 0 before the first sample.
    pub(super) mean_ratio: f64,
    /// Lowest value of the moving average, which rises slowly. It starts at 1 if engines send no load
    /// reports.
    pub(super) lowest_ratio: f64,
}

/// Moving averages of one class.
#[derive(Clone)]
pub(super) struct ClassProfile {
    /// Whether the class is interactive. Requests of all other classes are background work.
    pub(super) interactive: bool,
    /// Memory that a query uses. 0 before the first sample.
    pub(super) memory_mb: f64,
    /// Work of a request, summed over its threads. Initially the work that fits into the objective.
    work_seconds: f64,
    /// Latency of a successful attempt. Initially a part of the objective.
    pub(super) latency_seconds: f64,
    time_for_work: TimeForWork,
}

impl ClassProfile {
    /// Creates the profile of a class without statistics.
    pub(super) fn new(class: &Class, settings: &Settings) -> Self {
        let no_reports = settings.capabilities.load_reports == LoadReportSource::None;
        Self {
            interactive: false,
            memory_mb: 0.0,
            work_seconds: class.latency_objective * f64::from(class.threads),
            latency_seconds: INITIAL_LATENCY_RATIO * class.latency_objective,
            time_for_work: TimeForWork {
                mean_ratio: 0.0,
                lowest_ratio: if no_reports { 1.0 } else { f64::INFINITY },
            },
        }
    }

    /// Mean work of a request, summed over its threads.
    pub(super) fn work_seconds(&self) -> f64 {
        self.work_seconds
    }

    /// Work charged to an engine in slow start. The measured thread-seconds bound it, because estimates may
    /// be wrong.
    pub(super) fn slow_start_work_seconds(&self, class: &Class) -> f64 {
        self.work_seconds.min(self.latency_seconds * f64::from(class.threads))
    }

    /// Records the work estimate of a new request, in seconds. Returns its relative size: the ratio of its
    /// work to the earlier mean, at most [`MAX_SAMPLE_RATIO`]. Without an estimate, its work is the mean.
    pub(super) fn record_estimate(&mut self, estimated_work: Option<f64>) -> f64 {
        let mean = &mut self.work_seconds;
        let work = estimated_work.map_or(*mean, |work| work.min(MAX_SAMPLE_RATIO * *mean));
        let relative_size = work / mean.max(MIN_MEAN_WORK_SECONDS);
        blend(mean, work, SAMPLE_WEIGHT);
        relative_size
    }

    /// Records the latency and cost of a successful attempt.
    pub(super) fn record_success(&mut self, elapsed_seconds: f64, cost: Option<QueryCost>) {
        blend(&mut self.latency_seconds, elapsed_seconds, SAMPLE_WEIGHT);
        if let Some(cost) = cost {
            let weight = if self.memory_mb > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
            blend(&mut self.memory_mb, cost.memory_mb, weight);
            blend(&mut self.work_seconds, cost.work, SAMPLE_WEIGHT);
        }
    }

    /// Records the thread-seconds that an attempt took per second of its work.
    pub(super) fn record_time_for_work(&mut self, ratio: f64) {
        let TimeForWork { mean_ratio, lowest_ratio } = &mut self.time_for_work;
        let weight = if *mean_ratio > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
        let sample = ratio.min(MAX_SAMPLE_RATIO * mean_ratio.max(1.0));
        blend(mean_ratio, sample, weight);
        *lowest_ratio = mean_ratio.min(*lowest_ratio * LOWEST_RISE_RATIO);
    }

    /// Mean and lowest time for work.
    pub(super) fn time_for_work(&self) -> TimeForWork {
        self.time_for_work
    }

    /// Lowest mean time for work, in thread-seconds per second of work.
    pub(super) fn lowest_time_for_work(&self) -> f64 {
        self.time_for_work.lowest_ratio
    }
}
