//! Why a queued request is shed, for the log at debug. Nothing here decides anything.

use std::fmt;

use crate::RequestId;

use super::WorkloadManager;
use super::admission::{Admission, Guard, OVERLOAD_THREADS_PER_CORE};
use super::request_path::PendingRequest;

/// Logs what kept a request from all engines that is shed now; costs nothing where debug lines are not
/// wanted.
pub(super) fn log_shed_request(manager: &WorkloadManager, id: RequestId, now: f64) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let Some(pending) = manager.requests.get(&id) else { return };
    let class = pending.request.class.0;
    let why = Explanation { manager, pending, now };
    tracing::debug!(request = id.0, class, %why, "queued request shed");
}

/// How many engines each guard kept the request from, and the figures that guards go by.
struct Explanation<'a> {
    manager: &'a WorkloadManager,
    pending: &'a PendingRequest,
    now: f64,
}

impl Explanation<'_> {
    /// For each guard the engines that it is the first to close; and the engines that would take the request.
    fn count(&self) -> ([u32; Guard::ALL.len()], u32) {
        let admission = Admission::new(self.manager, self.manager.needs(self.pending), self.now);
        let (mut closed, mut open) = ([0; Guard::ALL.len()], 0);
        for engine in self.manager.engines.values() {
            let first = admission.first_closed_guard(engine);
            match first.and_then(|first| Guard::ALL.iter().position(|guard| *guard == first)) {
                Some(at) => closed[at] += 1,
                None => open += 1,
            }
        }
        (closed, open)
    }

    fn write_figures(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (manager, pending) = (self.manager, self.pending);
        let queued_seconds = self.now - pending.arrived_at;
        write!(f, " queued_seconds={queued_seconds:.2} relative_size={:.2}", pending.relative_size)?;
        write!(f, " attempts={}", pending.attempts)?;
        let (tokens, fleet, load) = (&manager.tokens, &manager.fleet, &manager.load);
        write!(f, " limit_threads={:.2} debt={:.2}", tokens.rate_threads, tokens.debt_thread_seconds)?;
        write!(f, " background_threads={} threads={}", fleet.background_threads, fleet.threads)?;
        let overload = OVERLOAD_THREADS_PER_CORE * fleet.cores / f64::from(manager.settings.gateways);
        write!(f, " cores={:.0} overload_threads={overload:.2}", fleet.cores)?;
        let utilization = load.mean_utilization.unwrap_or(-1.0);
        write!(f, " mean_utilization={utilization:.2} has_reports={}", load.has_reports)?;
        let class = pending.request.class;
        let profile = &manager.profiles[class.0];
        write!(f, " interactive_latency={:.3}", manager.latency.mean_seconds)?;
        write!(f, " class_latency={:.2}", profile.latency_seconds)?;
        write!(f, " max_queue_seconds={:.2}", manager.max_queue_seconds(class))?;
        let (mean, lowest) = profile.time_for_work_ratios();
        write!(f, " time_for_work={mean:.2} lowest_time_for_work={lowest:.2}")
    }
}

impl fmt::Display for Explanation<'_> {
    /// The guard that closes most engines, or `order_key` if an engine is open; then all figures.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (closed, open) = self.count();
        let most = (0..closed.len()).max_by_key(|at| (closed[*at], closed.len() - at));
        let first = if open > 0 { "order_key" } else { most.map_or("none", |at| Guard::ALL[at].name()) };
        write!(f, "{first} open={open}")?;
        for (guard, engines) in Guard::ALL.iter().zip(closed).filter(|(_, engines)| *engines > 0) {
            write!(f, " {}={engines}", guard.name())?;
        }
        self.write_figures(f)
    }
}
