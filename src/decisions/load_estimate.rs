//! Load estimate: how utilized engines are, by their load reports or, where those tell nothing, by how long
//! background work takes.
//!
//! Utilization is relative to what an engine bears; 1 is full. An estimate fades with age towards the mean
//! over all engines.

use crate::{ClassId, EngineId, LoadReport, MemoryShortage, Rules};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::relative_latency::SLOW_RATIO;
use super::smoothing::{NEWEST_SAMPLE_RATIO, TimedValue, blend};

/// Engines at this utilization or over get no background work.
pub(super) const MAX_BACKGROUND_UTILIZATION_RATIO: f64 = 0.8;
/// Threads a core of an engine whose utilization is 1.
const FULL_THREADS_PER_CORE: f64 = 2.0;
/// Granted memory counts for this much more where a shortage means spilling.
const SPILLING_MEMORY_RATIO: f64 = 1.3;
/// Busy cores count for this much.
const BUSY_CORES_RATIO: f64 = 0.9;
/// Highest utilization that reports and the time for work may give.
const MAX_REPORTED_RATIO: f64 = 3.0;
const MAX_TIME_FOR_WORK_RATIO: f64 = 2.0;
/// Utilization of an engine that has rejected an attempt.
const REJECTING_RATIO: f64 = 2.0;
/// Figures from here on make no sense and are skipped.
const IMPLAUSIBLE_RATIO: f64 = 1e6;
/// Time in which an estimate fades by a factor of e.
const DECAY_SECONDS: f64 = 2.0;
/// Cores of a share from which on this gateway's own threads say how utilized an engine can be.
const MIN_TELLING_SHARE_CORES: f64 = 2.0;

/// The estimate over all engines.
#[derive(Default)]
pub(super) struct LoadEstimate {
    /// Running mean of the newest estimates of engines.
    pub(super) mean_utilization: Option<f64>,
    /// Whether load reports have said how utilized engines are.
    pub(super) has_reports: bool,
    /// Whether answers bring no reports: an engine is then as utilized as this gateway's own threads make it.
    pub(super) bounded_by_own_threads: bool,
    /// When time for work last gave an estimate.
    time_for_work_at: f64,
    /// Threads and memory of a query, in the running mean of those in flight.
    query_threads: f64,
    query_memory_mb: f64,
}

impl LoadEstimate {
    /// Utilization of an engine.
    pub(super) fn utilization(&self, engine: &Engine, now: f64) -> f64 {
        let mean = self.mean_utilization.unwrap_or(0.0);
        let estimate = engine.utilization.map_or(mean, |own| own.decayed(now, mean, DECAY_SECONDS));
        if self.has_reports { estimate } else { estimate.min(self.own_threads_bound(engine)) }
    }

    /// How utilized an engine can be by this gateway's threads, if others send alike. A thin share tells
    /// nothing.
    fn own_threads_bound(&self, engine: &Engine) -> f64 {
        let share_cores = engine.limit.share_cores;
        if self.bounded_by_own_threads && share_cores >= MIN_TELLING_SHARE_CORES {
            engine.threads / (FULL_THREADS_PER_CORE * share_cores)
        } else {
            f64::INFINITY
        }
    }

    fn record_mean(&mut self, utilization: f64, weight: f64) {
        blend(self.mean_utilization.get_or_insert(utilization), utilization, weight);
    }

    /// Takes the mean threads and memory of the queries in flight. Called once a control tick.
    pub(super) fn record_queries(&mut self, mean_threads: f64, mean_memory_mb: f64) {
        blend(&mut self.query_threads, mean_threads, NEWEST_SAMPLE_RATIO);
        blend(&mut self.query_memory_mb, mean_memory_mb, NEWEST_SAMPLE_RATIO);
    }

    /// Takes an engine's load report: the highest of its figures that make sense.
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
        let figures = [
            report.in_flight.map(by_queries),
            report.queued.filter(|queued| *queued >= 1.0).map(|queued| 1.0 + by_queries(queued)),
            report.core_utilization.map(|busy| BUSY_CORES_RATIO * busy),
            report.memory_utilization.map(by_memory),
        ];
        let plausible =
            figures.into_iter().flatten().filter(|figure| (0.0..IMPLAUSIBLE_RATIO).contains(figure));
        let Some(highest) = plausible.reduce(f64::max) else { return };
        let utilization = highest.min(MAX_REPORTED_RATIO);
        engine.utilization = Some(TimedValue { value: utilization, at: now });
        self.record_mean(utilization, NEWEST_SAMPLE_RATIO);
        self.has_reports = true;
    }

    /// Where no report has come: takes the thread-seconds that an attempt of background work takes for a
    /// second of its work as a measure of how utilized its engine is.
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
        let ratio = ratio * engine.warmth_ratio(now, rules);
        profile.record_time_for_work(ratio);
        let slowed = MAX_BACKGROUND_UTILIZATION_RATIO / SLOW_RATIO * ratio / profile.lowest_time_for_work();
        let utilization = slowed.min(MAX_TIME_FOR_WORK_RATIO).min(self.own_threads_bound(engine));
        // Samples are rare: weighed by number alone, the mean would stay behind an overload that is over.
        let since = now - std::mem::replace(&mut self.time_for_work_at, now);
        self.record_mean(utilization, NEWEST_SAMPLE_RATIO.max(1.0 - (-since / DECAY_SECONDS).exp()));
        engine.utilization = Some(TimedValue { value: utilization, at: now });
    }
}

impl Engine {
    /// Utilization that so many queries of so many threads and so much memory each would make.
    fn utilization_by(&self, queries: f64, threads: f64, memory_mb: f64) -> f64 {
        let by_memory =
            if self.memory_mb > 0.0 { SPILLING_MEMORY_RATIO * memory_mb / self.memory_mb } else { 0.0 };
        queries * (threads / (FULL_THREADS_PER_CORE * self.cores())).max(by_memory)
    }

    /// Adds a query that is sent to the estimate.
    pub(super) fn raise_utilization(&mut self, threads: f64, memory_mb: f64) {
        let more = self.utilization_by(1.0, threads, memory_mb);
        if let Some(utilization) = &mut self.utilization {
            utilization.value += more;
        }
    }

    /// Notes that the engine has rejected an attempt as it is full.
    pub(super) fn record_rejecting(&mut self, now: f64) {
        self.utilization = Some(TimedValue { value: REJECTING_RATIO, at: now });
    }
}

impl WorkloadManager {
    /// Takes an engine's load report, if there is one.
    pub(super) fn on_load_report(&mut self, now: f64, engine: EngineId, report: Option<&LoadReport>) {
        if let (Some(report), Some(engine)) = (report, self.engines.get_mut(&engine)) {
            self.load.record_report(now, engine, report, self.settings.on_memory_shortage);
        }
    }

    /// Takes the thread-seconds that an attempt takes for a second of its estimated work.
    pub(super) fn on_time_for_work(&mut self, now: f64, engine: EngineId, class: ClassId, ratio: f64) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            let profile = &mut self.profiles[class.0];
            self.load.record_time_for_work(now, engine, profile, ratio, &self.settings.rules);
        }
    }
}
