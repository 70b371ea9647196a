//! What was learned of a class of requests: its usual work, latency and memory.

use crate::{Class, LoadReportSource, QueryCost, Settings};

use super::smoothing::{NEWEST_SAMPLE_RATIO, blend};

/// Mean latency that is assumed before any is measured, in times the class's objective.
const INITIAL_LATENCY_RATIO: f64 = 0.5;
/// Times the mean that an estimate of work, or a time for work, counts as at most: clients may claim
/// anything.
const MAX_SAMPLE_RATIO: f64 = 30.0;
/// How much the lowest time for work may rise with each sample.
const LOWEST_RISE_RATIO: f64 = 1.001;
/// The least mean work that a size is taken against.
const MIN_MEAN_WORK_SECONDS: f64 = 1e-6;

/// Thread-seconds that attempts take for a second of their estimated work.
#[derive(Clone, Copy)]
pub(super) struct TimeForWork {
    /// Running mean; 0 before the first sample.
    pub(super) mean_ratio: f64,
    /// The lowest that the mean was.
    pub(super) lowest_ratio: f64,
}

/// Running means of one class.
#[derive(Clone)]
pub(super) struct ClassProfile {
    /// Whether it is interactive; else its requests are background work.
    pub(super) interactive: bool,
    /// Memory that its requests need.
    pub(super) memory_mb: f64,
    /// Work of all threads of a request; at first what its objective allows.
    work_seconds: f64,
    /// Latency of its attempts.
    pub(super) latency_seconds: f64,
    time_for_work: TimeForWork,
}

impl ClassProfile {
    /// A class of which nothing is known.
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

    /// Mean work of all threads of a request, in seconds.
    pub(super) fn work_seconds(&self) -> f64 {
        self.work_seconds
    }

    /// The work that a warming engine is charged for. Estimates may be wrong: the time taken bounds it.
    pub(super) fn slow_start_work_seconds(&self, class: &Class) -> f64 {
        self.work_seconds.min(self.latency_seconds * f64::from(class.threads))
    }

    /// Counts the estimate of a new request, in seconds of work; returns its size in times the mean.
    pub(super) fn record_estimate(&mut self, estimated_work: Option<f64>) -> f64 {
        let mean = &mut self.work_seconds;
        let work = estimated_work.map_or(*mean, |work| work.min(MAX_SAMPLE_RATIO * *mean));
        let relative_size = work / mean.max(MIN_MEAN_WORK_SECONDS);
        blend(mean, work, NEWEST_SAMPLE_RATIO);
        relative_size
    }

    /// Counts an attempt that succeeded.
    pub(super) fn record_success(&mut self, elapsed_seconds: f64, cost: Option<QueryCost>) {
        blend(&mut self.latency_seconds, elapsed_seconds, NEWEST_SAMPLE_RATIO);
        if let Some(cost) = cost {
            let weight = if self.memory_mb > 0.0 { NEWEST_SAMPLE_RATIO } else { 1.0 };
            blend(&mut self.memory_mb, cost.memory_mb, weight);
            blend(&mut self.work_seconds, cost.work, NEWEST_SAMPLE_RATIO);
        }
    }

    /// Counts the thread-seconds that an attempt takes for a second of its work; returns how many times the
    /// lowest mean the mean is now.
    pub(super) fn record_time_for_work(&mut self, ratio: f64) {
        let TimeForWork { mean_ratio, lowest_ratio } = &mut self.time_for_work;
        let weight = if *mean_ratio > 0.0 { NEWEST_SAMPLE_RATIO } else { 1.0 };
        let sample = ratio.min(MAX_SAMPLE_RATIO * mean_ratio.max(1.0));
        blend(mean_ratio, sample, weight);
        *lowest_ratio = mean_ratio.min(*lowest_ratio * LOWEST_RISE_RATIO);
    }

    /// Mean time for work, and the lowest that it was.
    pub(super) fn time_for_work(&self) -> TimeForWork {
        self.time_for_work
    }

    /// The lowest mean time for work, in thread-seconds for a second of estimated work.
    pub(super) fn lowest_time_for_work(&self) -> f64 {
        self.time_for_work.lowest_ratio
    }
}
