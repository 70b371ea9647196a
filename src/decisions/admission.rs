//! Admission: the guards that an engine has to pass before a request may be sent to it.
//!
//! [`EngineGuard::ALL`] is the one list of them, in the order in which they are asked. The release of queued
//! requests and the log line on a shed request both go by it. Guards have no side effects.

use crate::{Class, ClassId, EndpointEntry, EndpointState, EngineId};

use super::WorkloadManager;
use super::class_profile::ClassProfile;
use super::engine::Engine;
use super::load_estimate::MAX_BACKGROUND_UTILIZATION_RATIO;
use super::request_path::PendingRequest;

/// Interactive threads a core, all gateways together, at which an overload holds back interactive work too:
/// beyond one or two threads a core engines do less work in all.
pub(super) const OVERLOAD_THREADS_PER_CORE: f64 = 1.5;
/// Part of that bound while reports say that engines are full.
const FULL_ENGINES_OVERLOAD_RATIO: f64 = 0.5;
/// Part of the engines' memory that the attempts of a single gateway may need.
const MEMORY_RATIO: f64 = 0.75;

/// What admission goes by, of one request.
#[derive(Clone, Copy)]
pub(super) struct Needs {
    pub(super) class: ClassId,
    /// Whether the token bucket admits it.
    pub(super) has_tokens: bool,
    /// Its estimated memory.
    pub(super) memory_mb: f64,
}

/// A condition that an engine must meet before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineGuard {
    /// The endpoint list has the engine as ready.
    State,
    /// The class may run on its machine type and in its zone.
    Placement,
    /// The engine is not ejected, and has fewer attempts in flight than its recovery ramp allows.
    Health,
    /// Its slow-start budget has capacity left.
    SlowStart,
    /// Its threads are within the concurrency limit, or for interactive work under the bound of an overload.
    ConcurrencyLimit,
    /// For background work: load reports do not say that it is full.
    Utilization,
    /// For background work: its memory is within this gateway's share of the engine.
    Memory,
}

impl EngineGuard {
    /// All guards, in order.
    pub(super) const ALL: [Self; 7] = [
        Self::State,
        Self::Placement,
        Self::Health,
        Self::SlowStart,
        Self::ConcurrencyLimit,
        Self::Utilization,
        Self::Memory,
    ];

    /// The name in log lines.
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

    /// Whether its answer is the same for all requests of a class that the token bucket treats alike.
    fn is_alike_in_class(self) -> bool {
        self != Self::Memory
    }
}

impl WorkloadManager {
    /// What admission has to know of a request.
    pub(super) fn needs(&self, pending: &PendingRequest) -> Needs {
        let class = pending.request.class;
        let usual =
            f64::from(self.settings.classes[class.0].threads) * self.profiles[class.0].latency_seconds;
        Needs {
            class,
            has_tokens: self.tokens.admits(usual, pending.relative_size),
            memory_mb: pending.needed_memory_mb(),
        }
    }
}

/// Admission of requests with the same needs, at one moment.
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

    /// The first guard that keeps the request from an engine; none if the engine takes it.
    pub(super) fn first_closed_guard(&self, engine: &Engine) -> Option<EngineGuard> {
        EngineGuard::ALL.into_iter().find(|guard| !self.passes(*guard, engine))
    }

    /// The engines of the active subset, or the others, that take requests of this class but for their
    /// memory.
    pub(super) fn admitting_engines(&self, active: bool) -> Vec<EngineId> {
        let passes_all = |engine: &Engine| {
            let mut guards = EngineGuard::ALL.into_iter().filter(|guard| guard.is_alike_in_class());
            guards.all(|guard| self.passes(guard, engine))
        };
        let admitting =
            self.manager.engines.iter().filter(|(_, engine)| engine.active == active && passes_all(engine));
        admitting.map(|(id, _)| *id).collect()
    }

    /// Whether the request passes a guard of an engine.
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
            // Time for work tells no utilization here: a bound by background work itself would never lift.
            EngineGuard::Utilization => {
                interactive
                    || !manager.load.has_reports
                    || manager.load.utilization(engine, self.now) < MAX_BACKGROUND_UTILIZATION_RATIO
            }
            EngineGuard::Memory => interactive || manager.has_memory(engine, self.needs.memory_mb),
        }
    }

    /// Background threads stay within the concurrency limit. A request beyond the limit still goes where this
    /// gateway has no background work, if the token bucket admits it.
    fn is_within_limit(&self, engine: &Engine) -> bool {
        let warmth = engine.warmth_ratio(self.now, &self.manager.settings.rules);
        let limit = (engine.limit.threads + 0.5).floor().max(1.0) * warmth;
        engine.background_threads + f64::from(self.class.threads) <= limit
            || (engine.background_threads == 0.0 && self.needs.has_tokens)
    }
}

impl WorkloadManager {
    /// Interactive threads, at the engine and over all engines, are under this gateway's share of the bound.
    fn is_not_overloaded(&self, engine: &Engine) -> bool {
        let full = self.load.mean_utilization.is_some_and(|mean| mean > MAX_BACKGROUND_UTILIZATION_RATIO);
        let per_core = if full {
            FULL_ENGINES_OVERLOAD_RATIO * OVERLOAD_THREADS_PER_CORE
        } else {
            OVERLOAD_THREADS_PER_CORE
        };
        let bound = |cores: f64| (per_core * cores / f64::from(self.settings.gateways)).max(1.0);
        engine.interactive_threads() < bound(engine.cores())
            && self.fleet.interactive_threads() < bound(self.fleet.cores)
    }

    /// The memory that this gateway's attempts at the engine need stays within its share. A request too
    /// large for one share goes where it is alone, while it fits into all shares together or nothing is in
    /// flight. Gateways seldom fill their shares at once: more of them leave less over.
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
