//! Slow start: limits the work sent to an engine that has started recently. Its capacity rises from a minimum
//! ratio, and too much load makes it collapse.

use std::collections::VecDeque;

use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::{Class, Rules, Settings};

use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::unit_interval;

/// Ratio of the collapse load that all gateways together may send to an engine in slow start.
const USED_BUDGET_RATIO: f64 = 0.3;
/// Ratio of the budget for each type of work, interactive and background.
const WORK_TYPE_RATIO: f64 = 0.5;
/// Ratio of an engine's cores that is available for work.
const USABLE_CORES_RATIO: f64 = 0.85;
/// Ratio of the budget for gateways that have the engine in their active subset. The others share the rest.
const ACTIVE_GATEWAYS_RATIO: f64 = 0.75;
/// Number of gateways with which the upper bound of a share rises by one even share.
const GATEWAYS_PER_EXTRA_SHARE: f64 = 8.0;
/// Lower bounds of the collapse window and the slow-start duration, against division by zero.
const MIN_WINDOW_SECONDS: f64 = 1e-3;
const MIN_DURATION_SECONDS: f64 = 1e-9;

/// Work sent to an engine in slow start.
struct SentWork {
    at: f64,
    work_seconds: f64,
    interactive: bool,
}

/// Work that this gateway has sent to an engine during its slow start, and the gateway's share of the budget.
#[derive(Default)]
pub(super) struct SlowStartBudget {
    /// This gateway's share of the budget, as a multiple of an even share.
    share_ratio: f64,
    sent: VecDeque<SentWork>,
}

impl SlowStartBudget {
    /// Sets this gateway's share. `active` is whether the engine is in the gateway's active subset.
    /// `active_ratio` is the ratio of available engines that are in the subset, among the engines of the
    /// gateway's own zone or of all other zones. It estimates the ratio of gateways that have the engine in
    /// their active subsets.
    pub(super) fn set_share(&mut self, active: bool, active_ratio: f64, gateways: u32) {
        let max_share = 1.0 + f64::from(gateways) / GATEWAYS_PER_EXTRA_SHARE;
        let share = |gateways_ratio: f64, budget_ratio: f64| {
            if gateways_ratio < 1.0 { (budget_ratio / gateways_ratio).min(max_share) } else { 1.0 }
        };
        self.share_ratio = if active {
            share(active_ratio, ACTIVE_GATEWAYS_RATIO)
        } else {
            share(1.0 - active_ratio, 1.0 - ACTIVE_GATEWAYS_RATIO)
        };
    }

    /// Work of one type, interactive or background, that was sent in the collapse window up to now.
    fn spent_seconds(&self, now: f64, window_seconds: f64, interactive: bool) -> f64 {
        let counts = |sent: &&SentWork| sent.at > now - window_seconds && sent.interactive == interactive;
        self.sent.iter().filter(counts).map(|sent| sent.work_seconds).sum()
    }
}

/// Ratio of an engine's memory that background work may use. In slow start it is reduced like the budget for
/// work.
pub(super) fn usable_memory_ratio(warm_up_ratio: f64, rules: &Rules) -> f64 {
    let budget_ratio = (WORK_TYPE_RATIO * USED_BUDGET_RATIO * rules.collapse_load_ratio).min(1.0);
    if warm_up_ratio < 1.0 { budget_ratio * warm_up_ratio } else { 1.0 }
}

impl Engine {
    /// Ratio of the engine's full capacity that is available now. It rises linearly from the minimum to 1,
    /// and is 1 for an engine that was started long ago.
    pub(super) fn warm_up_ratio(&self, now: f64, rules: &Rules) -> f64 {
        let Some(started_at) = self.entry.started_at else { return 1.0 };
        let elapsed_ratio =
            ((now - started_at) / rules.slow_start_duration.max(MIN_DURATION_SECONDS)).clamp(0.0, 1.0);
        rules.slow_start_min_ratio + (1.0 - rules.slow_start_min_ratio) * elapsed_ratio
    }

    /// Whether this gateway's share of the engine's slow-start budget allows a request of this class. Always
    /// true once the engine has its full capacity.
    pub(super) fn slow_start_admits(
        &self,
        now: f64,
        profile: &ClassProfile,
        class: &Class,
        settings: &Settings,
    ) -> bool {
        let rules = &settings.rules;
        let warm_up = self.warm_up_ratio(now, rules);
        if warm_up >= 1.0 {
            return true;
        }
        let window_seconds = rules.collapse_window.max(MIN_WINDOW_SECONDS);
        let spent = self.slow_start.spent_seconds(now, window_seconds, profile.interactive);
        let capacity = warm_up * self.cores() * USABLE_CORES_RATIO * window_seconds;
        let budget = WORK_TYPE_RATIO
            * USED_BUDGET_RATIO
            * rules.collapse_load_ratio
            * capacity
            * self.slow_start.share_ratio
            / f64::from(settings.gateways);
        let work = profile.slow_start_work_seconds(class);
        spent + work <= budget + work * self.rounding_ratio(now, window_seconds)
    }

    /// Random fraction of a request by which this gateway may exceed its budget, drawn for each window. Of
    /// the gateways whose share is less than a request, some send one request and others none. 0 in the first
    /// window, whose length differs between gateways.
    fn rounding_ratio(&self, now: f64, window_seconds: f64) -> f64 {
        let age = now - self.entry.started_at.unwrap_or(now);
        let window = (age.max(0.0) / window_seconds + unit_interval(self.rank)) as u64;
        let draw = if window == 0 { 0 } else { Pcg32::new(u64::from(self.rank), window).next_u32() };
        unit_interval(draw)
    }

    /// Records the work of a request that is sent during slow start.
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
