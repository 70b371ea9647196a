//! Retries: whether another attempt of a request is allowed, at which engines, and the retry budget.

use std::collections::VecDeque;

use crate::{EndpointEntry, EndpointState, EngineId, Idempotency, IdempotencyScope, RetryBudget};

use super::WorkloadManager;
use super::request_path::PendingRequest;

/// Number of retry budget windows for which requests and retries are kept.
const KEPT_WINDOWS: f64 = 2.0;

/// Times at which requests arrived and retries were sent, for the retry budget, in seconds, oldest first.
#[derive(Default)]
pub(super) struct RetryHistory {
    requests: VecDeque<f64>,
    retries: VecDeque<f64>,
}

impl RetryHistory {
    pub(super) fn record_request(&mut self, now: f64) {
        self.requests.push_back(now);
    }

    pub(super) fn record_retry(&mut self, now: f64) {
        self.retries.push_back(now);
    }

    /// Whether the budget allows a retry now. For retries the window is longer by the clock resolution, so
    /// that a retry at its edge still counts.
    fn allows_retry(&self, now: f64, budget: &RetryBudget, clock_resolution: f64) -> bool {
        let count = |times: &VecDeque<f64>, from: f64| times.iter().filter(|at| **at > from).count() as f64;
        let window_start = now - budget.window;
        count(&self.retries, window_start - clock_resolution) + 1.0
            <= budget.min_retries + budget.retry_ratio * count(&self.requests, window_start)
    }

    /// Removes entries that are too old for the budget.
    pub(super) fn remove_expired(&mut self, now: f64, budget: Option<&RetryBudget>) {
        let kept_from = now - KEPT_WINDOWS * budget.map_or(0.0, |budget| budget.window);
        for times in [&mut self.requests, &mut self.retries] {
            times.drain(..times.partition_point(|at| *at < kept_from));
        }
    }
}

impl WorkloadManager {
    /// Whether another attempt of the request is allowed by the number and effects of earlier attempts and by
    /// the remaining time.
    pub(super) fn allows_another_attempt(&self, pending: &PendingRequest, now: f64) -> bool {
        let max_attempts = self.settings.capabilities.max_attempts;
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        let repeatable = match (idempotency, pending.first_possible_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NotIdempotent, Some(_)) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                now < first.sent_at + window - self.settings.clock_resolution
            }
        };
        let in_time = now + self.min_latency_seconds(pending) <= pending.request.deadline;
        repeatable && in_time && (max_attempts == 0 || pending.attempts < max_attempts)
    }

    /// Whether the next attempt may go to this engine, by the rules for all attempts: the engine's state, the
    /// request's idempotency, the limit on attempts and the retry budget.
    pub(super) fn allows_attempt_at(&self, pending: &PendingRequest, engine: EngineId, now: f64) -> bool {
        let entry = &self.engines[&engine].entry;
        entry.state == EndpointState::Ready
            && self.allows_another_attempt(pending, now)
            && self.engine_deduplicates(pending, entry)
            && (pending.attempts == 0 || self.retry_budget_allows(now))
    }

    /// Whether the engine deduplicates a retry of an attempt that may have run, if the class relies on that.
    /// For a scope of a zone or cell, false if the engine of that attempt is not known any more.
    fn engine_deduplicates(&self, pending: &PendingRequest, entry: &EndpointEntry) -> bool {
        let Some(first) = pending.first_possible_run else { return true };
        let first = self.engines.get(&first.engine).map(|engine| &engine.entry);
        match self.settings.classes[pending.request.class.0].idempotency {
            Idempotency::Keyed { scope: IdempotencyScope::Zone, .. } => {
                first.is_some_and(|first| entry.zone == first.zone)
            }
            Idempotency::Keyed { scope: IdempotencyScope::Cell, .. } => {
                first.is_some_and(|first| entry.cell == first.cell)
            }
            _ => true,
        }
    }

    fn retry_budget_allows(&self, now: f64) -> bool {
        let resolution = self.settings.clock_resolution;
        let allows = |budget| self.retry_history.allows_retry(now, &budget, resolution);
        self.settings.rules.retry_budget.is_none_or(allows)
    }
}
