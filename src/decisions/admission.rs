//! Admission: the guards that decide whether a request may be sent to an engine.
//!
//! [`EngineGuard::ALL`] lists them in the order of evaluation. The release of queued requests and the log of
//! shed requests both use this list. Guards have no side effects.

use crate::{Class, ClassId, EndpointEntry, EndpointState, EngineId};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::load_estimate::MAX_BACKGROUND_UTILIZATION_RATIO;
use super::request_path::PendingRequest;

/// Interactive threads per core, summed over all gateways, at which further interactive work is queued. With
/// more than one or two threads per core, the total throughput of an engine falls.
pub(super) const OVERLOAD_THREADS_PER_CORE: f64 = 1.5;
/// Factor on [`OVERLOAD_THREADS_PER_CORE`] while the mean utilization is above
/// [`MAX_BACKGROUND_UTILIZATION_RATIO`].
const HIGH_UTILIZATION_OVERLOAD_RATIO: f64 = 0.5;
/// Ratio of an engine's memory that attempts may need if there is only one gateway.
const MEMORY_RATIO: f64 = 0.75;

/// Properties of a request that admission depends on.
#[derive(Clone, Copy)]
pub(super) struct Needs {
    pub(super) class: ClassId,
    /// Whether the token bucket admits the request.
    pub(super) has_tokens: bool,
    /// Estimated memory. 0 if there is no estimate.
    pub(super) memory_mb: f64,
}

/// Condition that must hold for an engine before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineGuard {
    /// The engine is listed as ready.
    State,
    /// The class may run on the engine's machine type and in its zone.
    Placement,
    /// The engine is not backed off, and has fewer attempts in flight than its recovery ramp allows.
    Health,
    /// The engine's slow-start budget has capacity left.
    SlowStart,
    /// For background work: its threads at the engine stay within the concurrency limit. For interactive
    /// work: its threads are below the overload bound.
    ConcurrencyLimit,
    /// For background work: the utilization by load reports is below [`MAX_BACKGROUND_UTILIZATION_RATIO`].
    Utilization,
    /// For background work: the needed memory is within this gateway's share of the engine.
    Memory,
}

impl EngineGuard {
    /// All guards, in the order of evaluation.
    pub(super) const ALL: [Self; 7] = [
        Self::State,
        Self::Placement,
        Self::Health,
        Self::SlowStart,
        Self::ConcurrencyLimit,
        Self::Utilization,
        Self::Memory,
    ];

    /// Name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Placement => "placement",
            Self::Health => "health",
            Self::SlowStart => "slow_start",
            Self::ConcurrencyLimit => "concurrency_limit",
            Self::Utilization => "utilization",
            Self::Memory => "memory",
        }
    }

    /// Whether the result depends only on the request's class and on [`Needs::has_tokens`].
    fn ignores_memory(self) -> bool {
        self != Self::Memory
    }
}

impl WorkloadManager {
    /// The properties of a request that admission depends on.
    pub(super) fn needs(&self, pending: &PendingRequest) -> Needs {
        let class = pending.request.class;
        let mean_thread_seconds =
            f64::from(self.settings.classes[class.0].threads) * self.profiles[class.0].latency_seconds;
        Needs {
            class,
            has_tokens: self.tokens.admits(mean_thread_seconds, pending.relative_size),
            memory_mb: pending.needed_memory_mb(),
        }
    }
}

/// Evaluates the guards for requests with the same needs, at one point in time.
pub(super) struct Admission<'a> {
    manager: &'a WorkloadManager,
    class: &'a Class,
    profile: &'a ClassProfile,
    needs: Needs,
    now: f64,
}

impl<'a> Admission<'a> {
    pub(super) fn new(manager: &'a WorkloadManager, needs: Needs, now: f64) -> Self {
        let class = &manager.settings.classes[needs.class.0];
        let profile = &manager.profiles[needs.class.0];
        Self { manager, class, profile, needs, now }
    }

    /// First guard that rejects the request at an engine. `None` if the engine admits it.
    pub(super) fn first_rejecting_guard(&self, engine: &Engine) -> Option<EngineGuard> {
        EngineGuard::ALL.into_iter().find(|guard| !self.passes(*guard, engine))
    }

    /// Engines at which all guards except memory admit the request: those of the active subset if `active` is
    /// set, and otherwise only those outside of it.
    pub(super) fn admitting_engines(&self, active: bool) -> Vec<EngineId> {
        let passes_all = |engine: &Engine| {
            let mut guards = EngineGuard::ALL.into_iter().filter(|guard| guard.ignores_memory());
            guards.all(|guard| self.passes(guard, engine))
        };
        let admitting =
            self.manager.engines.iter().filter(|(_, engine)| engine.active == active && passes_all(engine));
        admitting.map(|(id, _)| *id).collect()
    }

    /// Whether a guard admits the request at an engine.
    pub(super) fn passes(&self, guard: EngineGuard, engine: &Engine) -> bool {
        let (manager, interactive) = (self.manager, self.profile.interactive);
        match guard {
            EngineGuard::State => engine.entry.state == EndpointState::Ready,
            EngineGuard::Placement => may_be_placed(self.class, &engine.entry),
            EngineGuard::Health => engine.health.admits(self.now),
            EngineGuard::SlowStart => {
                engine.slow_start_admits(self.now, self.profile, self.class, &manager.settings)
            }
            EngineGuard::ConcurrencyLimit if interactive => manager.is_not_overloaded(engine),
            EngineGuard::ConcurrencyLimit => self.is_within_limit(engine),
            // An estimate from the time for work is not used here. If it stopped background work, there would
            // be no sample to lower it.
            EngineGuard::Utilization => {
                interactive
                    || !manager.load.has_reports
                    || manager.load.utilization(engine, self.now) < MAX_BACKGROUND_UTILIZATION_RATIO
            }
            EngineGuard::Memory => interactive || manager.has_memory(engine, self.needs.memory_mb),
        }
    }

    /// Whether background threads stay within the concurrency limit, which is rounded to at least one thread
    /// and scaled by the engine's warm-up ratio. A request beyond the limit is also admitted at an engine
    /// without background work of this gateway, if the token bucket admits it.
    fn is_within_limit(&self, engine: &Engine) -> bool {
        let warm_up = engine.warm_up_ratio(self.now, &self.manager.settings.rules);
        let limit = (engine.limit.threads + 0.5).floor().max(1.0) * warm_up;
        engine.background_threads + f64::from(self.class.threads) <= limit
            || (engine.background_threads == 0.0 && self.needs.has_tokens)
    }
}

impl WorkloadManager {
    /// Whether the interactive threads at the engine, and over all engines, are below this gateway's share of
    /// the overload bound, which is at least one thread.
    fn is_not_overloaded(&self, engine: &Engine) -> bool {
        let high = self.load.mean_utilization.is_some_and(|mean| mean > MAX_BACKGROUND_UTILIZATION_RATIO);
        let per_core = if high {
            HIGH_UTILIZATION_OVERLOAD_RATIO * OVERLOAD_THREADS_PER_CORE
        } else {
            OVERLOAD_THREADS_PER_CORE
        };
        let bound = |cores: f64| (per_core * cores / f64::from(self.settings.gateways)).max(1.0);
        engine.interactive_threads() < bound(engine.cores())
            && self.fleet.interactive_threads() < bound(self.fleet.cores)
    }

    /// Whether the memory of this gateway's attempts at the engine stays within its share. A request beyond
    /// the share is admitted at an engine without background work of this gateway, if the sum over all
    /// engines stays within the gateway's share of their memory, or if no background work is in flight at
    /// all. The more gateways there are, the less of the memory is kept free, because they rarely fill their
    /// shares at the same time. Always true if the engine's memory is not known.
    fn has_memory(&self, engine: &Engine, memory_mb: f64) -> bool {
        let gateways = f64::from(self.settings.gateways);
        let share_mb = (1.0 - (1.0 - MEMORY_RATIO) / gateways) * engine.memory_mb / gateways;
        let fleet = &self.fleet;
        let fits_alone = engine.background_threads == 0.0
            && (fleet.background_threads == 0.0 || fleet.needed_memory_mb + memory_mb <= fleet.memory_mb);
        share_mb <= 0.0 || fits_alone || engine.needed_memory_mb + memory_mb <= share_mb
    }
}

/// Whether the class may run on the engine's machine type and in its zone.
fn may_be_placed(class: &Class, entry: &EndpointEntry) -> bool {
    class.allowed_machine_types.as_ref().is_none_or(|allowed| allowed.contains(&entry.machine_type))
        && class.allowed_zones.as_ref().is_none_or(|allowed| allowed.contains(&entry.zone))
}
