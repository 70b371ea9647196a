//! Changes of the endpoint list: which engines there are, and what is known of one that is new or has
//! restarted.

use crate::{Action, EndpointEntry, EndpointListMode, EndpointState, MachineType};

use super::concurrency_limit::ConcurrencyLimit;
use super::engine::Engine;
use super::outlier::EngineHealth;
use super::relative_latency::RelativeLatency;
use super::{POLL_LIST_TOKEN, WorkloadManager, unit_interval};

/// Time after which a failed poll of the list is repeated: a discovery service that rejects calls has too
/// many.
const POLL_AGAIN_SECONDS: f64 = 1.0;
/// Least factor on the backoffs of an engine; the greatest is one more.
const MIN_BACKOFF_RATIO: f64 = 0.5;

impl WorkloadManager {
    /// Takes a watch event of the endpoint list.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: f64,
        mode: EndpointListMode,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if mode == EndpointListMode::Failed {
            if self.settings.capabilities.polls_endpoint_list {
                let (delay, token) = (POLL_AGAIN_SECONDS, POLL_LIST_TOKEN);
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

    /// Adds an engine that is new or has restarted. Attempts in flight to its earlier incarnation still
    /// count.
    fn add_engine(&mut self, now: f64, entry: &EndpointEntry) {
        let MachineType { cores, memory_mb } = self.settings.machine_type(entry.machine_type);
        let backoff_ratio = MIN_BACKOFF_RATIO + unit_interval(self.next_draw());
        let mut engine = Engine {
            entry: entry.clone(),
            limit: ConcurrencyLimit::new(now, cores, &self.controller_terms()),
            health: EngineHealth::unproven(now, backoff_ratio),
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
            engine.health.follow(&earlier.health);
        }
        self.engines.insert(entry.engine, engine);
    }
}

fn has_restarted(known: &EndpointEntry, listed: &EndpointEntry) -> bool {
    listed.started_at.is_some() && listed.started_at != known.started_at
}
