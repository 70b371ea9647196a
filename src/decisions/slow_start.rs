//! Slow start: an engine that has started lately bears a part of its capacity, and gets a part of the work
//! that would make it collapse.

use std::collections::VecDeque;

use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::{Class, Rules, Settings};

use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::unit_interval;

/// Part of the work that the rules allow a warming engine that all gateways together use.
const USED_BUDGET_RATIO: f64 = 0.3;
/// Interactive and background work have half of it each.
const LANE_RATIO: f64 = 0.5;
/// Part of an engine's cores that is counted on for work.
const USABLE_CORES_RATIO: f64 = 0.85;
/// Part of the budget for the gateways that have the engine in their active subset; the others have the rest.
const ACTIVE_GATEWAYS_RATIO: f64 = 0.75;
/// Gateways for each time that a gateway's share may exceed an even one.
const GATEWAYS_PER_EXTRA_SHARE: f64 = 8.0;
/// The shortest collapse window and warm-up, against division by zero.
const MIN_WINDOW_SECONDS: f64 = 1e-3;
const MIN_WARM_UP_SECONDS: f64 = 1e-9;

/// Work sent to a warming engine.
struct SentWork {
    at: f64,
    work_seconds: f64,
    interactive: bool,
}

/// What this gateway sent an engine since it started, and how much it may.
#[derive(Default)]
pub(super) struct SlowStartBudget {
    /// Times an even share of the budget that this gateway may use.
    share_ratio: f64,
    sent: VecDeque<SentWork>,
}

impl SlowStartBudget {
    /// Sets this gateway's share. Of the engines of a zone that may be sent to, `active_ratio` are in its
    /// active subset; as many of the gateways will have this engine in theirs.
    pub(super) fn set_share(&mut self, active: bool, active_ratio: f64, gateways: u32) {
        let most = 1.0 + f64::from(gateways) / GATEWAYS_PER_EXTRA_SHARE;
        let share = |gateways_ratio: f64, budget_ratio: f64| {
            if gateways_ratio < 1.0 { (budget_ratio / gateways_ratio).min(most) } else { 1.0 }
        };
        self.share_ratio = if active {
            share(active_ratio, ACTIVE_GATEWAYS_RATIO)
        } else {
            share(1.0 - active_ratio, 1.0 - ACTIVE_GATEWAYS_RATIO)
        };
    }

    /// Work of one lane in the collapse window that ends now.
    fn spent_seconds(&self, now: f64, window_seconds: f64, interactive: bool) -> f64 {
        let counts = |sent: &&SentWork| sent.at > now - window_seconds && sent.interactive == interactive;
        self.sent.iter().filter(counts).map(|sent| sent.work_seconds).sum()
    }
}

/// Part of a warming engine's memory that background work may need: as far as its budget for work goes.
pub(super) fn usable_memory_ratio(warmth_ratio: f64, rules: &Rules) -> f64 {
    let budget_ratio = (LANE_RATIO * USED_BUDGET_RATIO * rules.collapse_load_ratio).min(1.0);
    if warmth_ratio < 1.0 { budget_ratio * warmth_ratio } else { 1.0 }
}

impl Engine {
    /// Part of its capacity that is counted on: rises evenly from its start to 1.
    pub(super) fn warmth_ratio(&self, now: f64, rules: &Rules) -> f64 {
        let Some(started_at) = self.entry.started_at else { return 1.0 };
        let warmed =
            ((now - started_at) / rules.slow_start_duration.max(MIN_WARM_UP_SECONDS)).clamp(0.0, 1.0);
        rules.slow_start_min_ratio + (1.0 - rules.slow_start_min_ratio) * warmed
    }

    /// Whether the engine's slow-start budget allows a request of this class, were all gateways to
    /// send alike.
    pub(super) fn slow_start_admits(
        &self,
        now: f64,
        profile: &ClassProfile,
        class: &Class,
        settings: &Settings,
    ) -> bool {
        let rules = &settings.rules;
        let warmth = self.warmth_ratio(now, rules);
        if warmth >= 1.0 {
            return true;
        }
        let window_seconds = rules.collapse_window.max(MIN_WINDOW_SECONDS);
        let spent = self.slow_start.spent_seconds(now, window_seconds, profile.interactive);
        let capacity = warmth * self.cores() * USABLE_CORES_RATIO * window_seconds;
        let budget = LANE_RATIO
            * USED_BUDGET_RATIO
            * rules.collapse_load_ratio
            * capacity
            * self.slow_start.share_ratio
            / f64::from(settings.gateways);
        let work = profile.slow_start_work_seconds(class);
        spent + work <= budget + work * self.rounding_ratio(now, window_seconds)
    }

    /// By how much of a request this gateway rounds its budget up, drawn anew for each window: of gateways
    /// whose share is a part of one request some send one and others none.
    fn rounding_ratio(&self, now: f64, window_seconds: f64) -> f64 {
        let age = now - self.entry.started_at.unwrap_or(now);
        let window = (age.max(0.0) / window_seconds + unit_interval(self.rank)) as u64;
        let draw = if window == 0 { 0 } else { Pcg32::new(u64::from(self.rank), window).next_u32() };
        unit_interval(draw)
    }

    /// Counts a request that is sent while the engine warms up.
    pub(super) fn record_slow_start_work(
        &mut self,
        now: f64,
        profile: &ClassProfile,
        class: &Class,
        rules: &Rules,
    ) {
        if self.entry.started_at.is_some_and(|at| now < at + rules.slow_start_duration) {
            let work_seconds = profile.slow_start_work_seconds(class);
            self.slow_start.sent.push_back(SentWork {
                at: now,
                work_seconds,
                interactive: profile.interactive,
            });
        }
    }
}
