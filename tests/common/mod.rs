//! Test settings, and a driver that sends events to one workload manager and returns its actions.
#![allow(dead_code)]

use workload_manager::*;

pub const INTERACTIVE: ClassId = ClassId(0);
pub const BACKGROUND: ClassId = ClassId(1);
pub const LOAD: ClassId = ClassId(2);

pub fn class(objective: f64, threads: u32, deadline: f64) -> Class {
    Class {
        latency_objective: objective,
        objective_stretch: 0.0,
        deadline,
        priority_weight: 1.0,
        late_weight_ratio: 0.0,
        idempotency: Idempotency::Idempotent,
        ordered_by_key: false,
        allowed_machine_types: None,
        allowed_zones: None,
        threads,
        is_load: false,
        waits_for_loads: true,
        is_streaming: false,
    }
}

/// Settings of one of two gateways. Requests of the class [`INTERACTIVE`] run on one thread, and those of
/// [`BACKGROUND`] on four. Loads run on two threads, are not idempotent and are ordered by key.
pub fn settings() -> Settings {
    let load = Class {
        idempotency: Idempotency::NotIdempotent,
        ordered_by_key: true,
        is_load: true,
        waits_for_loads: false,
        ..class(3.0, 2, 30.0)
    };
    Settings {
        gateways: 2,
        zone: None,
        classes: vec![class(1.0, 1, 4.0), class(4.0, 4, 20.0), load],
        machine_types: vec![
            MachineType { cores: 8.0, memory_mb: 0.0 },
            MachineType { cores: 8.0, memory_mb: 0.0 },
        ],
        tenants: vec![],
        over_quota_weight_ratio: 1.0,
        rules: Rules {
            answer_grace: 0.02,
            drain_grace: 1.0,
            slow_start_min_ratio: 0.3,
            slow_start_duration: 10.0,
            collapse_load_ratio: 2.0,
            collapse_window: 2.0,
            key_cooldown: 0.3,
            retry_budget: None,
        },
        capabilities: Capabilities {
            cancels_attempts: false,
            health_checks: false,
            load_reports: LoadReportSource::Responses,
            polls_endpoint_list: false,
            retry_after: true,
            max_retry_after: 1.0,
            max_attempts: 4,
            memory_grants: false,
            priorities: false,
            progress_period: 0.0,
        },
        on_memory_shortage: MemoryShortage::Queue,
        clock_resolution: 0.005,
    }
}

/// Settings as in [`settings`], but with idempotent, unordered loads of one thread. The number of loads
/// in flight is bounded by the concurrency limit, rounded to at least one.
pub fn single_thread_loads() -> Settings {
    let mut s = settings();
    s.classes[2] = Class { is_load: true, ..class(3.0, 1, 30.0) };
    s
}

pub fn engine(id: u32) -> EndpointEntry {
    EndpointEntry {
        engine: EngineId(id),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: 0,
        state: EndpointState::Ready,
        started_at: None,
    }
}

pub struct Driver {
    pub gateway: WorkloadManager,
    pub now: f64,
}

impl Driver {
    /// Creates a gateway and sends it a full endpoint list of these engines.
    pub fn new(settings: Settings, engines: Vec<EndpointEntry>) -> Self {
        let mut driver = Self { gateway: WorkloadManager::new(settings, 7).unwrap(), now: 100.0 };
        driver.endpoint_list(EndpointListMode::Full, engines);
        driver
    }

    pub fn event(&mut self, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.on_event(self.now, event, &mut actions);
        actions
    }

    pub fn endpoint_list(&mut self, mode: EndpointListMode, entries: Vec<EndpointEntry>) -> Vec<Action> {
        self.event(&Event::EndpointList { mode, entries })
    }

    pub fn request(&self, id: u64, class: ClassId) -> Request {
        let deadline_seconds = [4.0, 20.0, 30.0][class.0];
        Request {
            id: RequestId(id),
            class,
            tenant: None,
            key: None,
            deadline: self.now + deadline_seconds,
            estimated_work: None,
            estimated_memory_mb: None,
            table_group: None,
            is_retry: false,
        }
    }

    pub fn arrive(&mut self, id: u64, class: ClassId) -> Vec<Action> {
        let request = self.request(id, class);
        self.event(&Event::RequestArrived(request))
    }

    pub fn attempt_ended(
        &mut self,
        id: u64,
        attempt: u32,
        engine: u32,
        outcome: Outcome,
        elapsed: f64,
    ) -> Vec<Action> {
        self.event(&Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            engine: EngineId(engine),
            outcome,
            elapsed,
            request_settled: outcome == Outcome::Success,
            may_still_run_for: 0.0,
            cost: None,
            load_report: None,
        })
    }

    /// Reports that a request's first attempt succeeded, with its query cost and load report.
    pub fn first_attempt_served(
        &mut self,
        id: u64,
        engine: u32,
        elapsed: f64,
        cost: Option<QueryCost>,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        self.event(&Event::AttemptEnded {
            request: RequestId(id),
            attempt: 0,
            engine: EngineId(engine),
            outcome: Outcome::Success,
            elapsed,
            request_settled: true,
            may_still_run_for: 0.0,
            cost,
            load_report: report,
        })
    }

    pub fn control_tick(&mut self) -> Vec<Action> {
        self.event(&Event::Timer(0))
    }

    /// Serves `n` interactive requests one after the other, and reports this latency for each. The clock does
    /// not advance. Ids start at `from`.
    pub fn serve_interactive(&mut self, from: u64, n: u64, latency: f64) {
        for id in from..from + n {
            let engine = forwarded_to(&self.arrive(id, INTERACTIVE))
                .expect("an interactive request is forwarded at once")
                .0;
            self.attempt_ended(id, 0, engine, Outcome::Success, latency);
        }
    }

    /// Sends requests of this class until one is queued, and returns the number of those forwarded. Ids start
    /// at `from`.
    pub fn count_admitted(&mut self, from: u64, class: ClassId) -> u64 {
        (from..).take_while(|id| forwarded_to(&self.arrive(*id, class)).is_some()).count() as u64
    }
}

/// The engine and timeout of the forwarded attempt. `None` if there is none. Panics if there are several.
pub fn forwarded_to(actions: &[Action]) -> Option<(u32, Option<f64>)> {
    let forwarded: Vec<_> = forwards(actions);
    assert!(forwarded.len() <= 1, "more than one attempt forwarded: {forwarded:?}");
    let timeout = actions
        .iter()
        .find_map(|a| if let Action::Forward { timeout, .. } = a { Some(*timeout) } else { None });
    forwarded.first().map(|s| (s.1, timeout.flatten()))
}

/// Forwarded requests, each with its engine.
pub fn forwards(actions: &[Action]) -> Vec<(u64, u32)> {
    let forward = |a: &Action| match a {
        Action::Forward { request, engine, .. } => Some((request.0, engine.0)),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

/// Requests with a final answer, each with whether it was rejected.
pub fn final_answers(actions: &[Action]) -> Vec<(u64, bool)> {
    let answer = |a: &Action| match a {
        Action::Reject { request, .. } => Some((request.0, true)),
        Action::Fail(request) => Some((request.0, false)),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

/// Settings as in [`settings`], but with cancellation of attempts and a progress report every half second.
pub fn settings_with_cancelling() -> Settings {
    let mut s = settings();
    s.capabilities.cancels_attempts = true;
    s.capabilities.progress_period = 0.5;
    s
}

pub fn cancelled_requests(actions: &[Action]) -> Vec<u64> {
    let cancel =
        |a: &Action| if let Action::CancelAttempt { request, .. } = a { Some(request.0) } else { None };
    actions.iter().filter_map(cancel).collect()
}

/// Settings of one of a hundred gateways, and fifty engines. The concurrency limit of each engine is below
/// one thread, so that a request of several threads needs tokens of the bucket for all engines together.
pub fn many_gateways() -> (Settings, Vec<EndpointEntry>) {
    let mut s = settings();
    s.gateways = 100;
    (s, (1..=50).map(engine).collect())
}
