//! Endpoint selection: the choice among the engines that admit a request.

use crate::{EngineId, Request, RequestId};

use super::engine::Engine;
use super::supervision::Attempt;
use super::{WorkloadManager, unit_interval};

/// Upper bound of the random term, which makes gateways with the same load reports choose differently.
const MAX_RANDOM_RATIO: f64 = 0.3;
/// Cost of an engine in another zone, in units of utilization.
const OTHER_ZONE_RATIO: f64 = 0.2;
/// Cost of stalled attempts, in threads per core and unit of their ratio at the engine. An engine whose
/// attempts all stall is used only if no other has capacity. Excluding it would leave too little capacity.
const STALLED_THREADS_PER_CORE: f64 = 4.0;
/// Ratio of stalled attempts that costs nothing.
const IGNORED_STALLED_RATIO: f64 = 0.03;

/// Cost of selecting an engine. The engine with the lowest cost is selected. Fields are compared in order.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct SelectionCost {
    /// A load of this gateway holds the tables at the engine, or the engine last answered the request with an
    /// error.
    to_avoid: bool,
    /// For interactive work this gateway's threads per core, and for background work its background threads
    /// minus the concurrency limit. A term for stalled attempts is added.
    own_threads: f64,
    /// Sum of utilization, relative latency, zone cost and random term.
    tie_break: f64,
}

impl WorkloadManager {
    /// Selects one of the candidates for a request. `None` if no attempt may go to any of them. Takes one
    /// random draw per candidate.
    pub(super) fn select_engine(
        &mut self,
        id: RequestId,
        candidates: &[EngineId],
        now: f64,
    ) -> Option<EngineId> {
        let interactive = self.profiles[self.requests[&id].request.class.0].interactive;
        let engines_with_own_load = self.engines_with_own_load(&self.requests[&id].request);
        let mut best: Option<(SelectionCost, EngineId)> = None;
        for candidate in candidates {
            let random = MAX_RANDOM_RATIO * unit_interval(self.next_draw());
            let pending = &self.requests[&id];
            if !self.allows_attempt_at(pending, *candidate, now) {
                continue;
            }
            let engine = &self.engines[candidate];
            let cost = SelectionCost {
                to_avoid: engines_with_own_load.contains(candidate) || pending.error_from == Some(*candidate),
                own_threads: own_threads(engine, interactive, now),
                tie_break: self.tie_break(engine, now) + random,
            };
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, *candidate));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// Engines at which a load of this gateway holds the tables of the request, so that it would wait there.
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
        let is_remote = self.settings.zone.is_some_and(|zone| zone != engine.entry.zone);
        let relative_latency = engine.relative_latency.ratio(now) / self.fleet.mean_relative_latency;
        self.load.utilization(engine, now) + relative_latency + if is_remote { OTHER_ZONE_RATIO } else { 0.0 }
    }
}

/// Value of [`SelectionCost::own_threads`] for an engine.
fn own_threads(engine: &Engine, interactive: bool, now: f64) -> f64 {
    let stalled_ratio = (engine.stalled.ratio(now) - IGNORED_STALLED_RATIO).max(0.0);
    let stalled_per_core = STALLED_THREADS_PER_CORE * stalled_ratio;
    if interactive {
        engine.threads / engine.cores() + stalled_per_core
    } else {
        engine.background_threads - engine.limit.threads + stalled_per_core * engine.cores()
    }
}
