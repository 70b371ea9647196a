//! The settings of each stream, and the changes of them in mid-stream.

use workload_manager::*;

use super::rng::Draws;

/// The class that most requests have.
pub const LOOKUP: usize = 0;
pub const ZONES: usize = 3;

/// What a stream is played with. Streams step through the choices at different paces, so that they mix.
pub struct Setup {
    pub settings: Settings,
    pub engines: u32,
    /// Answers bring no report, whatever the settings say.
    pub mute: bool,
}

impl Setup {
    pub fn of(stream: usize) -> Self {
        let settings = Settings {
            gateways: [1, 3, 100, 300][(stream / 3) % 4],
            zone: [None, Some(ZoneId(1))][(stream / 2) % 2],
            classes: classes(stream),
            machine_types: kinds(stream),
            tenants: vec![Tenant { quota_per_second: 0.0 }, Tenant { quota_per_second: 2.0 }],
            over_quota_weight_ratio: 0.5,
            rules: rules(stream),
            capabilities: allowed(stream),
            on_memory_shortage: [MemoryShortage::Queue, MemoryShortage::Spill, MemoryShortage::Overcommit]
                [(stream + stream / 3) % 3],
            clock_resolution: if stream % 5 == 3 { 0.25 } else { 0.005 },
        };
        let engines = [5, 12, 40, 24][(stream / 3) % 4];
        Self { settings, engines, mute: stream / 12 == 2 }
    }

    /// The settings in a few words, for who reads a failure.
    pub fn describe(&self) -> String {
        let (s, a) = (&self.settings, &self.settings.capabilities);
        format!(
            "{} gateways, {} engines, reports {} (mute: {}), cancel {}, ask {}, attempts {}, notes {}, budget {}",
            s.gateways,
            self.engines,
            match a.load_reports {
                LoadReportSource::None => "none",
                LoadReportSource::Responses => "in answers",
                LoadReportSource::HealthChecks => "from probes",
            },
            self.mute,
            a.cancels_attempts,
            a.polls_endpoint_list,
            a.max_attempts,
            a.progress_period,
            s.rules.retry_budget.is_some(),
        )
    }
}

fn rules(stream: usize) -> Rules {
    let budget = RetryBudget { min_retries: 1.0, retry_ratio: 0.05, window: 4.0 };
    Rules {
        answer_grace: 0.02,
        drain_grace: 1.0,
        slow_start_min_ratio: [0.3, 0.1][stream % 2],
        slow_start_duration: [10.0, 30.0, 4.0][stream % 3],
        collapse_load_ratio: 2.0,
        collapse_window: [2.0, 0.5][(stream / 2) % 2],
        key_cooldown: 0.3,
        retry_budget: (stream % 4 < 2).then_some(budget),
    }
}

fn allowed(stream: usize) -> Capabilities {
    let reports =
        [LoadReportSource::None, LoadReportSource::Responses, LoadReportSource::HealthChecks][stream % 3];
    Capabilities {
        cancels_attempts: (stream + stream / 12) % 2 == 0,
        health_checks: reports == LoadReportSource::HealthChecks,
        load_reports: reports,
        polls_endpoint_list: (stream / 4) % 2 == 1,
        retry_after: stream % 5 != 0,
        max_retry_after: 1.5,
        max_attempts: [3, 0, 1, 3, 0][stream % 5],
        memory_grants: stream % 2 == 1,
        priorities: stream % 3 != 1,
        progress_period: [1.0, 0.0, 0.5, 2.0][(stream / 2) % 4],
    }
}

fn kinds(stream: usize) -> Vec<MachineType> {
    let memory_mb = [0.0, 16_000.0, 4_000.0][(stream / 2) % 3];
    let cores = if has_small_machines(stream) { 2.0 } else { 8.0 };
    vec![MachineType { cores, memory_mb }, MachineType { cores: 16.0, memory_mb: 2.0 * memory_mb }]
}

fn class(aim: f64, threads: u32, deadline: f64, effect: Idempotency) -> Class {
    Class {
        latency_objective: aim,
        objective_stretch: 0.0,
        deadline,
        priority_weight: 1.0,
        late_weight_ratio: 0.0,
        idempotency: effect,
        ordered_by_key: false,
        allowed_machine_types: None,
        allowed_zones: None,
        threads,
        is_load: false,
        waits_for_loads: false,
        is_streaming: false,
    }
}

/// Whether some machines are so small that no class is light on them.
fn has_small_machines(stream: usize) -> bool {
    stream % 12 == 4
}

fn classes(stream: usize) -> Vec<Class> {
    let least = if has_small_machines(stream) { 2 } else { 1 };
    let keyed = |group, window| Idempotency::Keyed {
        scope: group,
        window: if stream % 2 == 0 { window } else { 0.2 * window },
    };
    let zone = vec![ZoneId(stream % ZONES)];
    vec![
        Class { waits_for_loads: stream % 2 == 0, ..class(1.0, least, 4.0, Idempotency::Idempotent) },
        class(1.8, least, 6.0, keyed(IdempotencyScope::All, 3.0)),
        Class {
            objective_stretch: 1.0,
            waits_for_loads: true,
            ..class(4.0, 4, 20.0, Idempotency::Idempotent)
        },
        Class { ordered_by_key: true, is_load: true, ..class(3.0, 2, 30.0, Idempotency::NotIdempotent) },
        Class { ordered_by_key: true, ..class(3.0, 2, 10.0, keyed(IdempotencyScope::Zone, 4.0)) },
        Class { is_streaming: true, ..class(6.0, 3, 15.0, keyed(IdempotencyScope::Cell, 2.5)) },
        Class {
            allowed_machine_types: Some(vec![MachineTypeId(1)]),
            ..class(2.0, 2, 8.0, Idempotency::Idempotent)
        },
        Class {
            allowed_zones: Some(zone),
            late_weight_ratio: 0.5,
            ..class(5.0, 8, 25.0, Idempotency::NotIdempotent)
        },
    ]
}

/// Seconds that an attempt of a class of these settings takes on an idle engine, in the mean.
pub fn usual_seconds(class: &Class) -> f64 {
    0.15 * class.latency_objective * f64::from(class.threads.min(4)).sqrt()
}

/// The settings in force and what has become of their classes.
pub struct InForce {
    pub settings: Settings,
    retired: Vec<bool>,
}

impl InForce {
    pub fn new(settings: Settings) -> Self {
        let retired = vec![false; settings.classes.len()];
        Self { settings, retired }
    }

    /// Classes that new requests may have.
    pub fn classes(&self) -> Vec<usize> {
        (0..self.retired.len()).filter(|class| !self.retired[*class]).collect()
    }

    /// The next change. Every fifth is none that a gateway may accept.
    pub fn change(&self, number: usize, draws: &mut Draws) -> SettingsChange {
        let mut settings = self.settings.clone();
        let kept = |retired: &bool| if *retired { ClassOrigin::Retired } else { ClassOrigin::Unchanged };
        let mut origins: Vec<ClassOrigin> = self.retired.iter().map(kept).collect();
        let class = 1 + draws.below(settings.classes.len() as u32 - 1) as usize;
        match number % 5 {
            0 => {
                settings.gateways += 1 + draws.below(20);
                settings.machine_types[0].cores += 4.0;
                settings.machine_types[1].memory_mb *= 0.5;
                settings.capabilities.max_attempts = 2;
            }
            1 => {
                let aim = draws.between(0.5, 4.0);
                settings.classes.push(Class { latency_objective: aim, ..settings.classes[class].clone() });
                origins.push(ClassOrigin::New);
            }
            2 => {
                let old = &settings.classes[class];
                let changed = Class {
                    latency_objective: 1.25 * old.latency_objective,
                    threads: old.threads + 1,
                    ..old.clone()
                };
                settings.classes.push(changed);
                origins[class] = ClassOrigin::Retired;
                origins.push(ClassOrigin::DerivedFrom(ClassId(class)));
            }
            3 => {
                origins[class] = ClassOrigin::Retired;
                settings.on_memory_shortage = MemoryShortage::Spill;
                settings.rules.key_cooldown = 0.8;
            }
            _ => {
                settings.classes.pop();
                origins.pop();
            }
        }
        SettingsChange { settings, origins }
    }

    pub fn accepted(&mut self, change: SettingsChange) {
        self.retired = change.origins.iter().map(|origin| *origin == ClassOrigin::Retired).collect();
        self.settings = change.settings;
    }
}
