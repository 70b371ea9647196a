//! The settings of each stream, and the changes of them in mid-stream.

use notchridge::interface::*;

use super::draws::Draws;

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
            kinds: kinds(stream),
            tenants: vec![Tenant { quota: 0.0 }, Tenant { quota: 2.0 }],
            over_share_worth: 0.5,
            rules: rules(stream),
            allowed: allowed(stream),
            when_short: [WhenShort::Wait, WhenShort::Shrink, WhenShort::Page][(stream + stream / 3) % 3],
            resolution: if stream % 5 == 3 { 0.25 } else { 0.005 },
        };
        let engines = [5, 12, 40, 24][(stream / 3) % 4];
        Self { settings, engines, mute: stream / 12 == 2 }
    }

    /// The settings in a few words, for who reads a failure.
    pub fn describe(&self) -> String {
        let (s, a) = (&self.settings, &self.settings.allowed);
        format!(
            "{} gateways, {} engines, reports {} (mute: {}), cancel {}, ask {}, attempts {}, notes {}, budget {}",
            s.gateways,
            self.engines,
            match a.reports {
                Reports::None => "none",
                Reports::Answers => "in answers",
                Reports::Probes => "from probes",
            },
            self.mute,
            a.cancel,
            a.ask_for_list,
            a.max_attempts,
            a.note_period,
            s.rules.extra.is_some(),
        )
    }
}

fn rules(stream: usize) -> Rules {
    let budget = ExtraBudget { floor: 1.0, ratio: 0.05, look_back: 4.0 };
    Rules {
        answer_slack: 0.02,
        drain_grace: 1.0,
        cold_share: [0.3, 0.1][stream % 2],
        warm_up: [10.0, 30.0, 4.0][stream % 3],
        fall_multiple: 2.0,
        overload_for: [2.0, 0.5][(stream / 2) % 2],
        order_pause: 0.3,
        extra: (stream % 4 < 2).then_some(budget),
    }
}

fn allowed(stream: usize) -> Allowed {
    let reports = [Reports::None, Reports::Answers, Reports::Probes][stream % 3];
    Allowed {
        cancel: (stream + stream / 12) % 2 == 0,
        probe: reports == Reports::Probes,
        reports,
        ask_for_list: (stream / 4) % 2 == 1,
        retry_after: stream % 5 != 0,
        max_retry_after: 1.5,
        max_attempts: [3, 0, 1, 3, 0][stream % 5],
        grants: stream % 2 == 1,
        priorities: stream % 3 != 1,
        note_period: [1.0, 0.0, 0.5, 2.0][(stream / 2) % 4],
    }
}

fn kinds(stream: usize) -> Vec<Kind> {
    let memory_mb = [0.0, 16_000.0, 4_000.0][(stream / 2) % 3];
    let cores = if has_small_machines(stream) { 2.0 } else { 8.0 };
    vec![Kind { cores, memory_mb }, Kind { cores: 16.0, memory_mb: 2.0 * memory_mb }]
}

fn class(aim: f64, threads: u32, deadline: f64, effect: Effect) -> Class {
    Class {
        aim,
        aim_stretch: 0.0,
        deadline,
        worth: 1.0,
        late_value: 0.0,
        effect,
        keep_order: false,
        only_kinds: None,
        only_zones: None,
        threads,
        load: false,
        yields: false,
        streaming: false,
    }
}

/// Whether some machines are so small that no class is light on them.
fn has_small_machines(stream: usize) -> bool {
    stream % 12 == 4
}

fn classes(stream: usize) -> Vec<Class> {
    let least = if has_small_machines(stream) { 2 } else { 1 };
    let keyed =
        |group, window| Effect::Keyed { group, window: if stream % 2 == 0 { window } else { 0.2 * window } };
    let zone = vec![ZoneId(stream % ZONES)];
    vec![
        Class { yields: stream % 2 == 0, ..class(1.0, least, 4.0, Effect::Safe) },
        class(1.8, least, 6.0, keyed(RepeatGroup::All, 3.0)),
        Class { aim_stretch: 1.0, yields: true, ..class(4.0, 4, 20.0, Effect::Safe) },
        Class { keep_order: true, load: true, ..class(3.0, 2, 30.0, Effect::Unsafe) },
        Class { keep_order: true, ..class(3.0, 2, 10.0, keyed(RepeatGroup::Zone, 4.0)) },
        Class { streaming: true, ..class(6.0, 3, 15.0, keyed(RepeatGroup::Cell, 2.5)) },
        Class { only_kinds: Some(vec![KindId(1)]), ..class(2.0, 2, 8.0, Effect::Safe) },
        Class { only_zones: Some(zone), late_value: 0.5, ..class(5.0, 8, 25.0, Effect::Unsafe) },
    ]
}

/// Seconds that an attempt of a class of these settings takes on an idle engine, in the mean.
pub fn usual_seconds(class: &Class) -> f64 {
    0.15 * class.aim * f64::from(class.threads.min(4)).sqrt()
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
    pub fn change(&self, number: usize, draws: &mut Draws) -> Change {
        let mut settings = self.settings.clone();
        let kept = |retired: &bool| if *retired { ClassOrigin::Retired } else { ClassOrigin::Kept };
        let mut origins: Vec<ClassOrigin> = self.retired.iter().map(kept).collect();
        let class = 1 + draws.below(settings.classes.len() as u32 - 1) as usize;
        match number % 5 {
            0 => {
                settings.gateways += 1 + draws.below(20);
                settings.kinds[0].cores += 4.0;
                settings.kinds[1].memory_mb *= 0.5;
                settings.allowed.max_attempts = 2;
            }
            1 => {
                let aim = draws.between(0.5, 4.0);
                settings.classes.push(Class { aim, ..settings.classes[class].clone() });
                origins.push(ClassOrigin::New);
            }
            2 => {
                let old = &settings.classes[class];
                let changed = Class { aim: 1.25 * old.aim, threads: old.threads + 1, ..old.clone() };
                settings.classes.push(changed);
                origins[class] = ClassOrigin::Retired;
                origins.push(ClassOrigin::Follows(ClassId(class)));
            }
            3 => {
                origins[class] = ClassOrigin::Retired;
                settings.when_short = WhenShort::Shrink;
                settings.rules.order_pause = 0.8;
            }
            _ => {
                settings.classes.pop();
                origins.pop();
            }
        }
        Change { settings, origins }
    }

    pub fn accepted(&mut self, change: Change) {
        self.retired = change.origins.iter().map(|origin| *origin == ClassOrigin::Retired).collect();
        self.settings = change.settings;
    }
}
