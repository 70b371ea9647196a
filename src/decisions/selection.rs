//! Endpoint selection: which of the engines that admit a request gets it.

use crate::{EngineId, Request, RequestId};

use super::engine::Engine;
use super::supervision::Attempt;
use super::{WorkloadManager, unit_interval};

/// Upper end of the random part of the choice: gateways with the same load reports choose differently.
const MAX_RANDOM_RATIO: f64 = 0.3;
/// By how much utilization an engine of another zone has to be better.
const OTHER_ZONE_RATIO: f64 = 0.2;
/// Threads a core that an engine counts as fuller by if all its attempts stall, and the ratio of stalled
/// attempts that counts as none. Such an engine gets what finds no capacity elsewhere: without it engines
/// would be too few.
const STALLED_THREADS_PER_CORE: f64 = 4.0;
const IGNORED_STALLED_RATIO: f64 = 0.03;

/// How little an engine is wanted; the least is chosen. Fields are compared in order.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Reluctance {
    /// A load of this gateway holds the tables there, or the engine has answered the request with an error.
    to_avoid: bool,
    /// Interactive work: this gateway's threads a core. Background work: its threads beyond the concurrency
    /// limit.
    own_threads: f64,
    /// Utilization, relative latency, zone and chance, as a sum of ratios.
    tie_break: f64,
}

impl WorkloadManager {
    /// Picks one of these engines for a request; none if no attempt may go to any. Draws once for each
    /// engine.
    pub(super) fn select_engine(
        &mut self,
        id: RequestId,
        candidates: &[EngineId],
        now: f64,
    ) -> Option<EngineId> {
        let interactive = self.profiles[self.requests[&id].request.class.0].interactive;
        let engines_with_own_load = self.engines_with_own_load(&self.requests[&id].request);
        let mut best: Option<(Reluctance, EngineId)> = None;
        for candidate in candidates {
            let random = MAX_RANDOM_RATIO * unit_interval(self.next_draw());
            let pending = &self.requests[&id];
            if !self.attempt_may_go_to(pending, *candidate, now) {
                continue;
            }
            let engine = &self.engines[candidate];
            let reluctance = Reluctance {
                to_avoid: engines_with_own_load.contains(candidate) || pending.erred_at == Some(*candidate),
                own_threads: own_threads(engine, interactive, now),
                tie_break: self.tie_break(engine, now) + random,
            };
            if best.is_none_or(|(least, _)| reluctance < least) {
                best = Some((reluctance, *candidate));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// Engines where a load of this gateway holds the tables of a request that would wait for it.
    fn engines_with_own_load(&self, request: &Request) -> Vec<EngineId> {
        let class = &self.settings.classes[request.class.0];
        if request.table_group.is_none() || !(class.waits_for_loads || class.is_load) {
            return Vec::new();
        }
        let holds = |attempt: &&Attempt| {
            attempt.request.table_group == request.table_group
                && self.settings.classes[attempt.request.class.0].is_load
        };
        self.attempts.values().filter(holds).map(|attempt| attempt.engine).collect()
    }

    fn tie_break(&self, engine: &Engine, now: f64) -> f64 {
        let elsewhere = self.settings.zone.is_some_and(|zone| zone != engine.entry.zone);
        let relative_latency = engine.relative_latency.ratio(now) / self.fleet.mean_relative_latency;
        self.load.utilization(engine, now) + relative_latency + if elsewhere { OTHER_ZONE_RATIO } else { 0.0 }
    }
}

/// What the engine has of this gateway's threads, and counts for attempts that stall there.
fn own_threads(engine: &Engine, interactive: bool, now: f64) -> f64 {
    let stalled_ratio = (engine.stalled.ratio(now) - IGNORED_STALLED_RATIO).max(0.0);
    let stalled_per_core = STALLED_THREADS_PER_CORE * stalled_ratio;
    if interactive {
        engine.threads / engine.cores() + stalled_per_core
    } else {
        engine.background_threads - engine.limit.threads + stalled_per_core * engine.cores()
    }
}
