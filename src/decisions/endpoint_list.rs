//! Updates of the endpoint list: adds, changes and removes engines, and sets the initial state of engines
//! that are new or have restarted.

use crate::{Action, EndpointEntry, EndpointListMode, EndpointState, MachineType};

use super::concurrency_limit::ConcurrencyLimit;
use super::engine::Engine;
use super::outlier::EngineHealth;
use super::relative_latency::RelativeLatency;
use super::{POLL_LIST_TOKEN, WorkloadManager, unit_interval};

/// Delay before a failed poll of the list is retried, because the discovery service may be overloaded.
const POLL_RETRY_SECONDS: f64 = 1.0;
/// Lower bound of the random factor on an engine's backoffs. The upper bound is greater by 1.
const MIN_BACKOFF_RATIO: f64 = 0.5;

impl WorkloadManager {
    /// Handles a watch event of the endpoint list.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: f64,
        mode: EndpointListMode,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if mode == EndpointListMode::Failed {
            if self.settings.capabilities.polls_endpoint_list {
                let (delay, token) = (POLL_RETRY_SECONDS, POLL_LIST_TOKEN);
                actions.push(Action::SetTimer { delay, token, request: None });
            }
            return;
        }
        if mode != EndpointListMode::Delta {
            self.engines.values_mut().for_each(|engine| engine.entry.state = EndpointState::Removed);
        }
        for entry in entries {
            match self.engines.get_mut(&entry.engine) {
                Some(engine) if !has_restarted(&engine.entry, entry) => engine.entry = entry.clone(),
                _ => self.add_engine(now, entry),
            }
        }
        self.update_fleet(now);
    }

    /// Adds an engine that is new or has restarted. A restarted engine keeps its rank and the sums of its
    /// attempts in flight.
    fn add_engine(&mut self, now: f64, entry: &EndpointEntry) {
        let MachineType { cores, memory_mb } = self.settings.machine_type(entry.machine_type);
        let backoff_ratio = MIN_BACKOFF_RATIO + unit_interval(self.next_draw());
        let mut engine = Engine {
            entry: entry.clone(),
            limit: ConcurrencyLimit::new(now, cores, &self.controller_terms()),
            health: EngineHealth::new(now, backoff_ratio),
            memory_mb,
            relative_latency: RelativeLatency::new(now),
            rank: self.draw_rank(entry.zone),
            ..Engine::default()
        };
        if let Some(earlier) = self.engines.get(&entry.engine) {
            engine.threads = earlier.threads;
            engine.background_threads = earlier.background_threads;
            engine.needed_memory_mb = earlier.needed_memory_mb;
            engine.rank = earlier.rank;
            engine.health.start_epoch_after(&earlier.health);
        }
        self.engines.insert(entry.engine, engine);
    }
}

fn has_restarted(known: &EndpointEntry, listed: &EndpointEntry) -> bool {
    listed.started_at.is_some() && listed.started_at != known.started_at
}
