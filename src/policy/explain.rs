//! Why a held request went unsent, for the log at debug. Nothing here decides anything.

use std::fmt;

use super::{BAR, ClassId, Engine, JAM, RequestId, WorkloadManager};
use crate::interface::EndpointState;

/// The guards that keep a request from an engine, in the order in which they are asked.
const GUARDS: [&str; 7] = ["state", "placed", "health", "cold", "bar", "threads", "memory"];

/// How many engines each guard keeps a request from, and the figures that the guards go by.
struct Why<'a> {
    gateway: &'a WorkloadManager,
    request: RequestId,
    now: f64,
}

/// Tells what kept a request that is given up now; costs nothing where nobody listens.
pub(super) fn held_in_vain(gateway: &WorkloadManager, request: RequestId, now: f64) {
    if tracing::enabled!(tracing::Level::DEBUG) {
        let class = gateway.jobs.get(&request).map(|job| job.request.class.0);
        tracing::debug!(request = request.0, class, why = %Why { gateway, request, now }, "held in vain");
    }
}

impl Why<'_> {
    /// The first guard that keeps the class from this engine; none if it would be sent.
    fn guard(&self, e: &Engine, class: ClassId, borne: bool, need_mb: f64) -> Option<usize> {
        let (g, now) = (self.gateway, self.now);
        let (c, view) = (&g.s.classes[class.0], &g.classes[class.0]);
        let placed = c.allowed_machine_types.as_ref().is_none_or(|k| k.contains(&e.entry.machine_type))
            && c.allowed_zones.as_ref().is_none_or(|z| z.contains(&e.entry.zone));
        let open = [
            e.entry.state == EndpointState::Ready,
            placed,
            e.health.admits(now),
            e.cold_budget_admits(now, view, c, &g.s),
            view.dashboard || !g.pooled.reported || g.pooled.fullness(e, now) < BAR,
            g.admits(e, class, borne, now),
            g.has_memory(class, need_mb, e),
        ];
        open.iter().position(|open| !open)
    }
}

impl fmt::Display for Why<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let g = self.gateway;
        let Some(job) = g.jobs.get(&self.request) else { return Ok(()) };
        let (class, need_mb) = (job.request.class, job.request.estimated_memory_mb.unwrap_or(0.0));
        let mut stopped = [0_u32; GUARDS.len()];
        let mut open = 0;
        for e in g.engines.values() {
            match self.guard(e, class, g.is_borne(job), need_mb) {
                Some(at) => stopped[at] += 1,
                None => open += 1,
            }
        }
        let most = (0..GUARDS.len()).max_by_key(|at| (stopped[*at], GUARDS.len() - at));
        let first = if open > 0 { "turn" } else { most.map_or("none", |at| GUARDS[at]) };
        write!(f, "{first} open={open}")?;
        for (guard, engines) in GUARDS.iter().zip(stopped).filter(|(_, engines)| *engines > 0) {
            write!(f, " {guard}={engines}")?;
        }
        let p = &g.pooled;
        write!(f, " held={:.2} size={:.2} attempts={}", self.now - job.arrived, job.size, job.attempts)?;
        write!(f, " sum_c={:.2} debt={:.2} secondary={}", p.sum_c, p.debt, p.secondary)?;
        write!(
            f,
            " threads={} cores={:.0} jam={:.2}",
            p.threads,
            p.cores,
            JAM * p.cores / f64::from(g.s.gateways)
        )?;
        write!(f, " fullness={:.2} reported={}", p.fullness.unwrap_or(-1.0), p.reported)?;
        let view = &g.classes[class.0];
        write!(f, " r={:.3} latency={:.2} patience={:.2}", p.mean, view.latency, g.patience(class))?;
        write!(f, " times={:.2}/{:.2}", view.times.0, view.times.1)
    }
}

impl WorkloadManager {
    /// How many engines are remembered.
    pub fn engines_known(&self) -> usize {
        self.engines.len()
    }

    /// Keys with a request waiting or out, or at rest as of the last look.
    pub fn keys_in_use(&self) -> usize {
        self.keys.len()
    }

    /// How many of the listed engines get nothing new: they drain, are ejected, or said that they are full.
    pub fn engines_avoided(&self, now: f64) -> usize {
        let avoided = |e: &&Engine| match e.entry.state {
            EndpointState::Ready => now < e.health.out_until,
            EndpointState::Draining => true,
            EndpointState::Removed => false,
        };
        self.engines.values().filter(avoided).count()
    }
}
