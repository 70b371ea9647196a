//! Settings and a small driver for scripted tests.
#![allow(dead_code)]

use notchridge::Gateway;
use notchridge::interface::*;

pub const LOOKUP: ClassId = ClassId(0);
pub const REPORT: ClassId = ClassId(1);
pub const LOAD: ClassId = ClassId(2);

pub fn class(aim: f64, threads: u32, deadline: f64) -> Class {
    Class {
        aim,
        aim_stretch: 0.0,
        deadline,
        worth: 1.0,
        late_value: 0.0,
        effect: Effect::Safe,
        keep_order: false,
        only_kinds: None,
        only_zones: None,
        threads,
        load: false,
        yields: true,
        streaming: false,
    }
}

/// One gateway of two; dashboards of one thread, reports of four, unsafe loads of two in key order.
pub fn settings() -> Settings {
    let load =
        Class { effect: Effect::Unsafe, keep_order: true, load: true, yields: false, ..class(3.0, 2, 30.0) };
    Settings {
        gateways: 2,
        zone: None,
        classes: vec![class(1.0, 1, 4.0), class(4.0, 4, 20.0), load],
        kinds: vec![Kind { cores: 8.0, memory_mb: 0.0 }, Kind { cores: 8.0, memory_mb: 0.0 }],
        tenants: vec![],
        over_share_worth: 1.0,
        rules: Rules {
            answer_slack: 0.02,
            drain_grace: 1.0,
            cold_share: 0.3,
            warm_up: 10.0,
            fall_multiple: 2.0,
            overload_for: 2.0,
            order_pause: 0.3,
            extra: None,
        },
        allowed: Allowed {
            cancel: false,
            probe: false,
            reports: Reports::Answers,
            ask_for_list: false,
            retry_after: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            grants: false,
            priorities: false,
            note_period: 0.0,
        },
        when_short: WhenShort::Wait,
        resolution: 0.005,
    }
}

/// The same with loads of one thread, unbound and safe, which measure C to the thread.
pub fn thin() -> Settings {
    let mut s = settings();
    s.classes[2] = Class { load: true, ..class(3.0, 1, 30.0) };
    s
}

pub fn engine(id: u32) -> EngineEntry {
    EngineEntry {
        engine: EngineId(id),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: 0,
        state: EngineState::Ready,
        started: None,
    }
}

pub struct Drive {
    pub gateway: Gateway,
    pub now: f64,
}

impl Drive {
    /// A gateway that has been told a full list of these engines.
    pub fn new(settings: Settings, engines: Vec<EngineEntry>) -> Self {
        let mut drive = Self { gateway: Gateway::new(settings, 7).unwrap(), now: 100.0 };
        drive.list(ListMode::Full, engines);
        drive
    }

    pub fn event(&mut self, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.on_event(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, mode: ListMode, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.event(&Event::List { mode, entries })
    }

    pub fn request(&self, id: u64, class: ClassId) -> Request {
        let patience = [4.0, 20.0, 30.0][class.0];
        Request {
            id: RequestId(id),
            class,
            tenant: None,
            key: None,
            deadline: self.now + patience,
            estimate: None,
            need_mb: None,
            group: None,
            retry: false,
        }
    }

    pub fn arrive(&mut self, id: u64, class: ClassId) -> Vec<Action> {
        let request = self.request(id, class);
        self.event(&Event::Arrived(request))
    }

    pub fn ended(
        &mut self,
        id: u64,
        attempt: u32,
        engine: u32,
        outcome: Outcome,
        elapsed: f64,
    ) -> Vec<Action> {
        self.event(&Event::Ended {
            request: RequestId(id),
            attempt,
            engine: EngineId(engine),
            outcome,
            elapsed,
            settled: outcome == Outcome::Success,
            may_run_for: 0.0,
            cost: None,
            report: None,
        })
    }

    /// A first attempt that served its request, with what came along.
    pub fn served(
        &mut self,
        id: u64,
        engine: u32,
        elapsed: f64,
        cost: Option<Cost>,
        report: Option<Report>,
    ) -> Vec<Action> {
        self.event(&Event::Ended {
            request: RequestId(id),
            attempt: 0,
            engine: EngineId(engine),
            outcome: Outcome::Success,
            elapsed,
            settled: true,
            may_run_for: 0.0,
            cost,
            report,
        })
    }

    pub fn look(&mut self) -> Vec<Action> {
        self.event(&Event::Timer(0))
    }

    /// Serves `n` dashboards, one after the other, with this latency; ids from `from`.
    pub fn dashboards(&mut self, from: u64, n: u64, latency: f64) {
        for id in from..from + n {
            let engine = sent_to(&self.arrive(id, LOOKUP)).expect("a dashboard leaves at once").0;
            self.ended(id, 0, engine, Outcome::Success, latency);
        }
    }

    /// How many requests of this class leave before one is held; ids from `from`.
    pub fn room(&mut self, from: u64, class: ClassId) -> u64 {
        (from..).take_while(|id| sent_to(&self.arrive(*id, class)).is_some()).count() as u64
    }
}

/// The engine and time-out of the only send.
pub fn sent_to(actions: &[Action]) -> Option<(u32, Option<f64>)> {
    let sends: Vec<_> = sends(actions);
    assert!(sends.len() <= 1, "more than one send: {sends:?}");
    let timeout =
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None });
    sends.first().map(|s| (s.1, timeout.flatten()))
}

/// Requests sent and where to.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::Send { request, engine, .. } => Some((request.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Final answers: the request, and whether it was refused.
pub fn answers(actions: &[Action]) -> Vec<(u64, bool)> {
    let answer = |a: &Action| match a {
        Action::Refuse { request, .. } => Some((request.0, true)),
        Action::Fail(request) => Some((request.0, false)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}
