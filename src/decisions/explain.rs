//! Debug log of shed requests: the rule, the guards that kept the request from engines, and the inputs of the
//! guards. The log has no effect on decisions.

use std::fmt;

use crate::RequestId;

use super::WorkloadManager;
use super::admission::{Admission, EngineGuard, OVERLOAD_THREADS_PER_CORE};
use super::class_profile::TimeForWork;
use super::request_path::PendingRequest;
use super::shedding::SheddingRule;

/// Logs the rule by which a request is shed, and the guards that kept it from engines. Does no work unless
/// the debug level is enabled.
pub(super) fn log_shed_request(manager: &WorkloadManager, id: RequestId, rule: SheddingRule, now: f64) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let Some(pending) = manager.requests.get(&id) else { return };
    let class = pending.request.class.0;
    let (rule, why) = (rule.name(), Explanation { manager, pending, now });
    tracing::debug!(request = id.0, class, %rule, %why, "queued request shed");
}

/// Numbers of engines by the first guard that rejects the request.
#[derive(Default)]
struct EngineCounts {
    /// For each guard, in order, the number of engines where it is the first to reject the request.
    rejected_by: [u32; EngineGuard::ALL.len()],
    /// Number of engines that would admit the request.
    open: u32,
}

/// Text for a shed request: the numbers of engines by the first guard that rejects it, and the inputs of the
/// guards.
struct Explanation<'a> {
    manager: &'a WorkloadManager,
    pending: &'a PendingRequest,
    now: f64,
}

impl Explanation<'_> {
    fn count_engines(&self) -> EngineCounts {
        let admission = Admission::new(self.manager, self.manager.needs(self.pending), self.now);
        let mut counts = EngineCounts::default();
        for engine in self.manager.engines.values() {
            let first = admission.first_rejecting_guard(engine);
            match first.and_then(|first| EngineGuard::ALL.iter().position(|guard| *guard == first)) {
                Some(at) => counts.rejected_by[at] += 1,
                None => counts.open += 1,
            }
        }
        counts
    }

    /// Name of the reason why a request stays queued although an engine admits it.
    fn no_guard(&self) -> &'static str {
        let may_start = self.manager.key_queues.may_start(&self.pending.request, self.now);
        if may_start { "no_guard" } else { "order_key" }
    }

    fn write_values(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
        let TimeForWork { mean_ratio, lowest_ratio } = profile.time_for_work();
        write!(f, " time_for_work={mean_ratio:.2} lowest_time_for_work={lowest_ratio:.2}")
    }
}

impl fmt::Display for Explanation<'_> {
    /// Begins with the guard that rejects the request at the largest number of engines, the first in order if
    /// several do or if no engine is known. If an engine admits the request, the text begins with `order_key`
    /// if the order of its key holds the request back, else with `no_guard`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EngineCounts { rejected_by, open } = self.count_engines();
        let largest = (0..rejected_by.len()).max_by_key(|at| (rejected_by[*at], rejected_by.len() - at));
        let first =
            if open > 0 { self.no_guard() } else { largest.map_or("none", |at| EngineGuard::ALL[at].name()) };
        write!(f, "{first} open={open}")?;
        for (guard, engines) in EngineGuard::ALL.iter().zip(rejected_by).filter(|(_, engines)| *engines > 0) {
            write!(f, " {}={engines}", guard.name())?;
        }
        self.write_values(f)
    }
}
