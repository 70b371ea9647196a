//! Active subset: the engines that this gateway prefers. With many engines, a gateway sends too few requests
//! to each of them for useful statistics. Each gateway therefore draws a random order of the engines and
//! prefers the first ones, in a number that grows with its rate of requests. The other engines get requests
//! that find no capacity in the subset.

use crate::ZoneId;

use super::WorkloadManager;
use super::engine::Engine;
use super::relative_latency::SLOW_RATIO;

/// Window of request arrivals. The mean number of requests that arrive in a window is the index of the
/// subset's last engine, with a lower bound.
const ARRIVALS_WINDOW_SECONDS: f64 = 2.0;
const MIN_LAST_INDEX: f64 = 4.0;
/// Time after the first event in which the rate of requests is unknown and all eligible engines are active.
const RATE_UNKNOWN_SECONDS: f64 = 5.0;

/// Numbers of engines: those that are available, and those in the active subset.
#[derive(Clone, Copy, Default)]
struct Counts {
    available: f64,
    active: f64,
}

/// Counts of this gateway's own zone, and of all other zones together.
#[derive(Default)]
struct CountsByZone {
    own: Counts,
    others: Counts,
}

impl CountsByZone {
    /// Counts of the zone that an engine belongs to.
    fn of(&mut self, engine: &Engine, own_zone: Option<ZoneId>) -> &mut Counts {
        if own_zone == Some(engine.entry.zone) { &mut self.own } else { &mut self.others }
    }
}

impl WorkloadManager {
    /// Recomputes the subset. Sets this gateway's share of slow-start budgets from the ratio of active
    /// engines, computed separately for its own zone and all other zones.
    pub(super) fn update_active_subset(&mut self, now: f64) {
        let last_rank = self.last_active_rank(now);
        let mean_relative_latency = self.fleet.mean_relative_latency;
        let own_zone = self.settings.zone;
        let mut counts = CountsByZone::default();
        for engine in self.engines.values_mut() {
            engine.active = engine.rank <= last_rank && is_eligible(engine, mean_relative_latency, now);
            let zone = counts.of(engine, own_zone);
            zone.available += f64::from(u8::from(engine.is_available(now)));
            zone.active += f64::from(u8::from(engine.active));
        }
        for engine in self.engines.values_mut() {
            let Counts { available, active } = *counts.of(engine, own_zone);
            let active_ratio = active / available.max(1.0);
            engine.slow_start.set_share(engine.active, active_ratio, self.settings.gateways);
        }
    }

    /// Highest rank of an engine in the subset, or the highest possible rank if there are too few engines.
    /// The engine at index `last_index` is the last of the subset, which thus has `last_index + 1` engines.
    fn last_active_rank(&self, now: f64) -> u32 {
        let age = now - self.ticks.started_at.unwrap_or(now);
        let rate = if age < RATE_UNKNOWN_SECONDS { f64::INFINITY } else { self.arrivals as f64 / age };
        let last_index = (rate * ARRIVALS_WINDOW_SECONDS).max(MIN_LAST_INDEX) as usize;
        let eligible = |engine: &&Engine| is_eligible(engine, self.fleet.mean_relative_latency, now);
        let mut ranks: Vec<u32> = self.engines.values().filter(eligible).map(|engine| engine.rank).collect();
        ranks.sort_unstable();
        ranks.get(last_index).copied().unwrap_or(u32::MAX)
    }

    /// Draws a rank for a new engine. The rank of an engine in this gateway's zone is halved, so that such
    /// engines are preferred.
    pub(super) fn draw_rank(&mut self, zone: ZoneId) -> u32 {
        let draw = self.next_draw();
        if self.settings.zone == Some(zone) { draw / 2 } else { draw }
    }
}

/// Whether an engine is available and not slow.
fn is_eligible(engine: &Engine, mean_relative_latency: f64, now: f64) -> bool {
    engine.is_available(now) && engine.relative_latency.ratio(now) < SLOW_RATIO * mean_relative_latency
}
