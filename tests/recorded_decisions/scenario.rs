//! The settings of each event stream, and the settings changes during it.

use workload_manager::*;

use super::rng::Rng;

/// The most frequent class of the requests.
pub const FREQUENT_CLASS: usize = 0;
pub const ZONES: usize = 3;

/// Settings and number of engines of an event stream. Many of them cycle through several values with the
/// stream's number, at different periods, so that the streams cover many combinations.
pub struct Scenario {
    pub settings: Settings,
    pub engine_count: u32,
    /// Whether responses carry no load report, whatever the settings say.
    pub omits_reports: bool,
}

impl Scenario {
    pub fn of(stream: usize) -> Self {
        let settings = Settings {
            gateways: [1, 3, 100, 300][(stream / 3) % 4],
            zone: [None, Some(ZoneId(1))][(stream / 2) % 2],
            classes: classes(stream),
            machine_types: machine_types(stream),
            tenants: vec![Tenant { quota_per_second: 0.0 }, Tenant { quota_per_second: 2.0 }],
            over_quota_weight_ratio: 0.5,
            rules: rules(stream),
            capabilities: capabilities(stream),
            on_memory_shortage: [MemoryShortage::Queue, MemoryShortage::Spill, MemoryShortage::Overcommit]
                [(stream + stream / 3) % 3],
            clock_resolution: if stream % 5 == 3 { 0.25 } else { 0.005 },
        };
        let engine_count = [5, 12, 40, 24][(stream / 3) % 4];
        Self { settings, engine_count, omits_reports: stream / 12 == 2 }
    }

    /// Summary of the settings for the message of a failed comparison.
    pub fn describe(&self) -> String {
        let (s, a) = (&self.settings, &self.settings.capabilities);
        format!(
            "{} gateways, {} engines, reports {} (omitted: {}), cancels {}, polls {}, attempts {}, period {}, budget {}",
            s.gateways,
            self.engine_count,
            match a.load_reports {
                LoadReportSource::None => "none",
                LoadReportSource::Responses => "in responses",
                LoadReportSource::HealthChecks => "from health checks",
            },
            self.omits_reports,
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

fn capabilities(stream: usize) -> Capabilities {
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

fn machine_types(stream: usize) -> Vec<MachineType> {
    let memory_mb = [0.0, 16_000.0, 4_000.0][(stream / 2) % 3];
    let cores = if has_small_machines(stream) { 2.0 } else { 8.0 };
    vec![MachineType { cores, memory_mb }, MachineType { cores: 16.0, memory_mb: 2.0 * memory_mb }]
}

fn class(objective: f64, threads: u32, deadline: f64, effect: Idempotency) -> Class {
    Class {
        latency_objective: objective,
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

/// Whether the smallest machine initially has too few cores for any class to be interactive.
fn has_small_machines(stream: usize) -> bool {
    stream % 12 == 4
}

fn classes(stream: usize) -> Vec<Class> {
    let min_threads = if has_small_machines(stream) { 2 } else { 1 };
    let keyed = |key_scope, window| Idempotency::Keyed {
        scope: key_scope,
        window: if stream % 2 == 0 { window } else { 0.2 * window },
    };
    let zone = vec![ZoneId(stream % ZONES)];
    vec![
        Class { waits_for_loads: stream % 2 == 0, ..class(1.0, min_threads, 4.0, Idempotency::Idempotent) },
        class(1.8, min_threads, 6.0, keyed(IdempotencyScope::All, 3.0)),
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

/// Typical duration of an attempt of this class on an idle engine, in seconds.
pub fn typical_seconds(class: &Class) -> f64 {
    0.15 * class.latency_objective * f64::from(class.threads.min(4)).sqrt()
}

/// The settings in force, and which of their classes are retired.
pub struct ActiveSettings {
    pub settings: Settings,
    retired: Vec<bool>,
}

impl ActiveSettings {
    pub fn new(settings: Settings) -> Self {
        let retired = vec![false; settings.classes.len()];
        Self { settings, retired }
    }

    /// Classes that are not retired.
    pub fn classes(&self) -> Vec<usize> {
        (0..self.retired.len()).filter(|class| !self.retired[*class]).collect()
    }

    /// Draws a settings change of one of five kinds, selected by `number`. The last kind is invalid: it has
    /// fewer classes than before.
    pub fn draw_change(&self, number: usize, rng: &mut Rng) -> SettingsChange {
        let mut settings = self.settings.clone();
        let kept = |retired: &bool| if *retired { ClassOrigin::Retired } else { ClassOrigin::Unchanged };
        let mut origins: Vec<ClassOrigin> = self.retired.iter().map(kept).collect();
        let class = 1 + rng.below(settings.classes.len() as u32 - 1) as usize;
        match number % 5 {
            0 => {
                settings.gateways += 1 + rng.below(20);
                settings.machine_types[0].cores += 4.0;
                settings.machine_types[1].memory_mb *= 0.5;
                settings.capabilities.max_attempts = 2;
            }
            1 => {
                let objective = rng.between(0.5, 4.0);
                settings
                    .classes
                    .push(Class { latency_objective: objective, ..settings.classes[class].clone() });
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

    pub fn apply(&mut self, change: SettingsChange) {
        self.retired = change.origins.iter().map(|origin| *origin == ClassOrigin::Retired).collect();
        self.settings = change.settings;
    }
}
