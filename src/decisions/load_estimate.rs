//! Load estimate: the utilization of engines, from their load reports or else from the time that background
//! work takes.
//!
//! A utilization of 1 is a full engine. An estimate decays with age towards the mean over all engines.

use crate::{ClassId, EngineId, LoadReport, MemoryShortage, Rules};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::relative_latency::SLOW_RATIO;
use super::smoothing::{SAMPLE_WEIGHT, TimedValue, blend};

/// Utilization by load reports at and above which an engine gets no background work.
pub(super) const MAX_BACKGROUND_UTILIZATION_RATIO: f64 = 0.8;
/// Threads per core at a utilization of 1.
const FULL_THREADS_PER_CORE: f64 = 2.0;
/// Factor on the memory utilization that queries imply, and on the reported one if queries spill when memory
/// is short.
const SPILLING_MEMORY_RATIO: f64 = 1.3;
/// Factor on the reported core utilization.
const BUSY_CORES_RATIO: f64 = 0.9;
/// Upper bounds of the utilization estimated from a report, and from the time for work.
const MAX_REPORTED_RATIO: f64 = 3.0;
const MAX_TIME_FOR_WORK_RATIO: f64 = 2.0;
/// Utilization assumed for an engine that has rejected an attempt.
const REJECTING_RATIO: f64 = 2.0;
/// Lowest utilization that is ignored as implausible. Negative utilizations are ignored as well.
const IMPLAUSIBLE_RATIO: f64 = 1e6;
/// Time constant of the decay of an estimate.
const DECAY_SECONDS: f64 = 2.0;
/// Smallest share of an engine, in cores, at which this gateway's own threads bound the engine's utilization.
/// The few threads of a smaller share say nothing about the load of the others.
const MIN_MEASURABLE_SHARE_CORES: f64 = 2.0;

/// Estimates over all engines.
#[derive(Default)]
pub(super) struct LoadEstimate {
    /// Moving average of the samples of all engines.
    pub(super) mean_utilization: Option<f64>,
    /// Whether a load report with a plausible utilization has arrived.
    pub(super) has_reports: bool,
    /// Whether this gateway's own threads bound the utilization of an engine. True if answers carry no
    /// reports.
    pub(super) bounded_by_own_threads: bool,
    /// Time of the last estimate from the time for work.
    time_for_work_at: f64,
    /// Moving averages of the threads and memory of the queries in flight.
    query_threads: f64,
    query_memory_mb: f64,
}

impl LoadEstimate {
    /// Estimated utilization of an engine at the time `now`.
    pub(super) fn utilization(&self, engine: &Engine, now: f64) -> f64 {
        let mean = self.mean_utilization.unwrap_or(0.0);
        let estimate = engine.utilization.map_or(mean, |own| own.decayed(now, mean, DECAY_SECONDS));
        if self.has_reports { estimate } else { estimate.min(self.own_threads_bound(engine)) }
    }

    /// Utilization caused by this gateway's threads if all gateways send the same load. Infinite, and thus no
    /// bound, if answers carry reports or this gateway's share of the engine is too small.
    fn own_threads_bound(&self, engine: &Engine) -> f64 {
        let share_cores = engine.limit.share_cores;
        if self.bounded_by_own_threads && share_cores >= MIN_MEASURABLE_SHARE_CORES {
            engine.threads / (FULL_THREADS_PER_CORE * share_cores)
        } else {
            f64::INFINITY
        }
    }

    fn record_mean(&mut self, utilization: f64, weight: f64) {
        blend(self.mean_utilization.get_or_insert(utilization), utilization, weight);
    }

    /// Records the mean threads and memory of the queries in flight. Called once per control tick.
    pub(super) fn record_queries(&mut self, mean_threads: f64, mean_memory_mb: f64) {
        blend(&mut self.query_threads, mean_threads, SAMPLE_WEIGHT);
        blend(&mut self.query_memory_mb, mean_memory_mb, SAMPLE_WEIGHT);
    }

    /// Sets an engine's utilization to the highest plausible estimate from the figures of its load report.
    /// Without one, the report is ignored.
    fn record_report(
        &mut self,
        now: f64,
        engine: &mut Engine,
        report: &LoadReport,
        on_memory_shortage: MemoryShortage,
    ) {
        let by_queries =
            |queries: f64| engine.utilization_by(queries, self.query_threads.max(1.0), self.query_memory_mb);
        let by_memory = |granted: f64| {
            if on_memory_shortage == MemoryShortage::Spill {
                SPILLING_MEMORY_RATIO * granted
            } else {
                granted
            }
        };
        let values = [
            report.in_flight.map(by_queries),
            report.queued.filter(|queued| *queued >= 1.0).map(|queued| 1.0 + by_queries(queued)),
            report.core_utilization.map(|busy| BUSY_CORES_RATIO * busy),
            report.memory_utilization.map(by_memory),
        ];
        let plausible = values.into_iter().flatten().filter(|value| (0.0..IMPLAUSIBLE_RATIO).contains(value));
        let Some(highest) = plausible.reduce(f64::max) else { return };
        let utilization = highest.min(MAX_REPORTED_RATIO);
        engine.utilization = Some(TimedValue { value: utilization, at: now });
        self.record_mean(utilization, SAMPLE_WEIGHT);
        self.has_reports = true;
    }

    /// Estimates an engine's utilization by the thread-seconds that an attempt of background work takes per
    /// second of its work. Used only until a load report arrives.
    fn record_time_for_work(
        &mut self,
        now: f64,
        engine: &mut Engine,
        profile: &mut ClassProfile,
        ratio: f64,
        rules: &Rules,
    ) {
        if profile.interactive || self.has_reports || !ratio.is_finite() {
            return;
        }
        let ratio = ratio * engine.warm_up_ratio(now, rules);
        profile.record_time_for_work(ratio);
        let slowed = MAX_BACKGROUND_UTILIZATION_RATIO / SLOW_RATIO * ratio / profile.lowest_time_for_work();
        let utilization = slowed.min(MAX_TIME_FOR_WORK_RATIO).min(self.own_threads_bound(engine));
        // Samples are rare. With a fixed weight for each, the mean would stay high after an overload.
        let elapsed = now - std::mem::replace(&mut self.time_for_work_at, now);
        self.record_mean(utilization, SAMPLE_WEIGHT.max(1.0 - (-elapsed / DECAY_SECONDS).exp()));
        engine.utilization = Some(TimedValue { value: utilization, at: now });
    }
}

impl Engine {
    /// Utilization caused by a number of queries with the given threads and memory each.
    fn utilization_by(&self, queries: f64, threads: f64, memory_mb: f64) -> f64 {
        let by_memory =
            if self.memory_mb > 0.0 { SPILLING_MEMORY_RATIO * memory_mb / self.memory_mb } else { 0.0 };
        queries * (threads / (FULL_THREADS_PER_CORE * self.cores())).max(by_memory)
    }

    /// Raises the estimate by a query that is sent.
    pub(super) fn raise_utilization(&mut self, threads: f64, memory_mb: f64) {
        let more = self.utilization_by(1.0, threads, memory_mb);
        if let Some(utilization) = &mut self.utilization {
            utilization.value += more;
        }
    }

    /// Sets the utilization after the engine has rejected an attempt because it is full.
    pub(super) fn record_full(&mut self, now: f64) {
        self.utilization = Some(TimedValue { value: REJECTING_RATIO, at: now });
    }
}

impl WorkloadManager {
    /// Records an engine's load report, if there is one.
    pub(super) fn on_load_report(&mut self, now: f64, engine: EngineId, report: Option<&LoadReport>) {
        if let (Some(report), Some(engine)) = (report, self.engines.get_mut(&engine)) {
            self.load.record_report(now, engine, report, self.settings.on_memory_shortage);
        }
    }

    /// Records the thread-seconds that an attempt takes per second of its work, reported or else estimated.
    pub(super) fn on_time_for_work(&mut self, now: f64, engine: EngineId, class: ClassId, ratio: f64) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            let profile = &mut self.profiles[class.0];
            self.load.record_time_for_work(now, engine, profile, ratio, &self.settings.rules);
        }
    }
}
