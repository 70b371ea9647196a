//! Simulation of the engines and clients of one gateway. All random values come from the seed.

use std::collections::BTreeMap;

use workload_manager::WorkloadManager;
use workload_manager::*;

use super::action_format::format_action;
use super::action_log::ActionLog;
use super::rng::Rng;
use super::scenario::{ActiveSettings, FREQUENT_CLASS, Scenario, ZONES, typical_seconds};

const MICROS_PER_SECOND: u64 = 1_000_000;
/// The clock at the start of a stream, in seconds.
const START: f64 = 1000.0;
/// Number of settings changes in a stream.
const CHANGES: usize = 4;

/// A scheduled event of the simulation. A pair of numbers stands for a request and an attempt.
enum SimEvent {
    Arrival,
    AttemptEnd(u64, u32),
    Progress(u64, u32),
    StreamStart(u64, u32),
    Timer(u64),
    HealthCheckRound,
    HealthCheckEnd(u32),
    Abort(u64),
    ConfirmEnd(u64),
    ListPolled,
    ListChange,
    ConditionChange,
}

/// Health of an engine, which determines the outcomes of its attempts.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Failing,
    Overloaded,
    Unreachable,
    Hanging,
    Disconnecting,
}

struct SimEngine {
    entry: EndpointEntry,
    condition: Condition,
}

struct SimRequest {
    class: usize,
    key: Option<u64>,
    table_group: Option<u64>,
    deadline_us: u64,
    attempts: u32,
    settled: bool,
}

struct SimAttempt {
    engine: u32,
    sent_at_us: u64,
    ends_at_us: u64,
    outcome: Outcome,
    progress_reports: ProgressReports,
}

/// Progress reports that the gateway receives of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum ProgressReports {
    Detailed,
    RunningOnly,
    Lost,
}

pub struct Simulation {
    gateway: WorkloadManager,
    active: ActiveSettings,
    rng: Rng,
    now_us: u64,
    /// Events by their time in microseconds and their sequence number.
    event_queue: BTreeMap<(u64, u64), SimEvent>,
    sequence: u64,
    engines: BTreeMap<u32, SimEngine>,
    cached_list: Vec<EndpointEntry>,
    requests: BTreeMap<u64, SimRequest>,
    in_flight: BTreeMap<(u64, u32), SimAttempt>,
    /// Factor of the request rate.
    demand: f64,
    /// Load of the engines by other gateways. 1 is full load.
    other_load: f64,
    /// Whether responses carry no load report, whatever the settings say.
    omits_reports: bool,
    log: ActionLog,
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng::new(seed);
        let new_engine = |id: u32| {
            let (started, condition) = ((id % 5 == 4).then_some(START - 1.0), Condition::Healthy);
            let entry = EndpointEntry {
                engine: EngineId(id),
                zone: ZoneId(id as usize % ZONES),
                machine_type: MachineTypeId(id as usize / 2 % 2),
                cell: u64::from(id % 4),
                state: EndpointState::Ready,
                started_at: started,
            };
            (id, SimEngine { entry, condition })
        };
        let engines: BTreeMap<u32, SimEngine> = (0..scenario.engine_count).map(new_engine).collect();
        let gateway_seed = u64::from(rng.below(u32::MAX));
        let mut simulation = Self {
            gateway: WorkloadManager::new(scenario.settings.clone(), gateway_seed)
                .expect("the scenario's settings are valid"),
            active: ActiveSettings::new(scenario.settings),
            rng,
            now_us: 0,
            event_queue: BTreeMap::new(),
            sequence: 0,
            cached_list: engines.values().map(|e| e.entry.clone()).collect(),
            engines,
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            demand: 0.5,
            other_load: 0.3,
            omits_reports: scenario.omits_reports,
            log: ActionLog::default(),
        };
        for (event, seconds) in [
            (SimEvent::Arrival, 0.01),
            (SimEvent::HealthCheckRound, 0.1),
            (SimEvent::ListChange, 3.0),
            (SimEvent::ConditionChange, 2.0),
        ] {
            simulation.schedule(seconds, event);
        }
        simulation
    }

    /// Runs the simulation until the gateway has received this number of events, including settings changes.
    pub fn run(mut self, events: usize, stream: usize) -> ActionLog {
        if !self.active.settings.capabilities.polls_endpoint_list {
            let mode = if stream % 2 == 0 { EndpointListMode::Full } else { EndpointListMode::Cached };
            self.send_list(mode, self.cached_list.clone());
        }
        let mut changes = 0;
        while self.log.events < events {
            if self.log.events > (changes + 1) * events / (CHANGES + 1) {
                self.reconfigure(stream + changes);
                changes += 1;
            }
            let Some(((at, _), event)) = self.event_queue.pop_first() else { break };
            self.now_us = at;
            self.handle(event);
        }
        self.log
    }

    fn now(&self) -> f64 {
        START + self.now_us as f64 / MICROS_PER_SECOND as f64
    }

    fn schedule(&mut self, seconds: f64, event: SimEvent) {
        let at = self.now_us + (seconds * MICROS_PER_SECOND as f64).ceil() as u64;
        self.sequence += 1;
        self.event_queue.insert((at, self.sequence), event);
    }

    fn schedule_end(&mut self, attempt_id: (u64, u32), seconds: f64) {
        let at = self.now_us + (seconds * MICROS_PER_SECOND as f64) as u64;
        if let Some(attempt) = self.in_flight.get_mut(&attempt_id) {
            attempt.ends_at_us = at;
        }
        self.sequence += 1;
        self.event_queue.insert((at, self.sequence), SimEvent::AttemptEnd(attempt_id.0, attempt_id.1));
    }

    /// Before the first event of a block, starts the block with the gateway's figures.
    fn start_block_if_due(&mut self) {
        if self.log.at_block_start() {
            let g = &self.gateway;
            let figures = [g.engines_excluded(self.now()), g.engines_known(), g.keys_in_use()];
            self.log.start_block(format!("figures {} {} {}", figures[0], figures[1], figures[2]));
        }
    }

    /// Sends an event to the gateway and carries out its actions.
    fn deliver(&mut self, event: &Event) {
        self.start_block_if_due();
        let mut actions = Vec::new();
        self.gateway.on_event(self.now(), event, &mut actions);
        self.log.record(actions.iter().map(format_action).collect());
        for action in &actions {
            self.carry_out(action);
        }
    }

    fn reconfigure(&mut self, number: usize) {
        self.start_block_if_due();
        let change = self.active.draw_change(number, &mut self.rng);
        let accepted = self.gateway.reconfigure(change.clone()).is_ok();
        if accepted {
            self.active.apply(change);
        }
        self.log.record(vec![format!("change {accepted}")]);
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Forward { request, engine, .. } => self.start_attempt(request.0, engine.0),
            Action::CancelAttempt { request, attempt } => self.cancel((request.0, *attempt)),
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.requests.get_mut(&request.0).expect("the request has arrived").settled = true;
            }
            Action::SetTimer { delay, token, .. } => self.schedule(*delay, SimEvent::Timer(*token)),
            Action::CheckHealth(engine) => self.schedule(0.02, SimEvent::HealthCheckEnd(engine.0)),
            Action::WatchEndpointList => self.schedule(0.05, SimEvent::ListPolled),
            Action::SetAttemptTerms { .. } => {}
        }
    }

    fn start_attempt(&mut self, id: u64, engine: u32) {
        let request = self.requests.get_mut(&id).expect("the request has arrived");
        let number = request.attempts;
        request.attempts += 1;
        let (outcome, seconds) = self.draw_outcome(id, engine);
        let progress_reports = self.rng.pick(&[
            ProgressReports::Detailed,
            ProgressReports::Detailed,
            ProgressReports::Detailed,
            ProgressReports::RunningOnly,
            ProgressReports::Lost,
        ]);
        let attempt =
            SimAttempt { engine, sent_at_us: self.now_us, ends_at_us: 0, outcome, progress_reports };
        self.in_flight.insert((id, number), attempt);
        self.schedule_end((id, number), seconds);
        let period = self.active.settings.capabilities.progress_period;
        if period > 0.0 {
            self.schedule(period, SimEvent::Progress(id, number));
        }
        if self.active.settings.classes[self.requests[&id].class].is_streaming {
            self.schedule(0.5 * seconds, SimEvent::StreamStart(id, number));
        }
    }

    /// Draws the outcome of an attempt that starts now, and its duration in seconds.
    fn draw_outcome(&mut self, id: u64, engine: u32) -> (Outcome, f64) {
        let request = &self.requests[&id];
        let class = &self.active.settings.classes[request.class];
        let target = &self.engines[&engine];
        let concurrent = self.in_flight.values().filter(|a| a.engine == engine).count() as f64;
        let tables_held = self.load_holds_tables(request.table_group, engine);
        let remaining = request.deadline_us.saturating_sub(self.now_us) as f64 / MICROS_PER_SECOND as f64;
        let condition = if target.entry.state == EndpointState::Removed {
            Condition::Unreachable
        } else {
            target.condition
        };
        let slowdown = 1.0 + 0.1 * concurrent + if self.other_load > 1.0 { self.other_load } else { 0.0 };
        let wait = if tables_held && class.waits_for_loads { 2.0 } else { 0.0 };
        let typical = typical_seconds(class);
        let slow_factor = if condition == Condition::Slow { 5.0 } else { 1.0 };
        let duration = wait + typical * slowdown * slow_factor * self.rng.between(0.4, 1.8);
        let (draw, affected) = (self.rng.below(120), self.rng.chance(60));
        match (condition, draw) {
            (Condition::Unreachable, _) | (_, 0) => (Outcome::ConnectFailed, 0.001),
            (Condition::Overloaded, _) if affected => (Outcome::Rejected, 0.002),
            (Condition::Failing, draw) if draw > 4 => (Outcome::Error, 0.1 * duration),
            (Condition::Disconnecting, _) if affected => (Outcome::ConnectionLost, 0.2 * duration),
            (Condition::Hanging, _) => (Outcome::TimedOut, remaining + 0.3),
            (_, 1) => (Outcome::Rejected, 0.002),
            (_, 2 | 3) => (Outcome::Error, 0.5 * duration),
            (_, 4) => (Outcome::ConnectionLost, 0.5 * duration),
            (_, 5) => (Outcome::TimedOut, 2.0 * duration),
            (_, 6) => (Outcome::NeverSent, 0.0),
            (_, 7) => (Outcome::Cancelled, 0.3 * duration),
            // The attempt stalls.
            (_, 8) => (Outcome::Success, 20.0 * duration),
            _ if duration > remaining + 1.0 => (Outcome::TimedOut, remaining + 0.05),
            _ => (Outcome::Success, duration),
        }
    }

    /// Whether a load on this engine holds the table group.
    fn load_holds_tables(&self, table_group: Option<u64>, engine: u32) -> bool {
        let holds_group = |id: &u64| {
            let request = &self.requests[id];
            request.table_group == table_group && self.active.settings.classes[request.class].is_load
        };
        table_group.is_some()
            && self.in_flight.iter().any(|((id, _), a)| a.engine == engine && holds_group(id))
    }

    /// Cancels an attempt, unless the cancellation is lost or arrives too late.
    fn cancel(&mut self, attempt_id: (u64, u32)) {
        if self.in_flight.contains_key(&attempt_id) && self.rng.chance(75) {
            let attempt = self.in_flight.get_mut(&attempt_id).expect("the attempt is in flight");
            if attempt.ends_at_us > self.now_us + MICROS_PER_SECOND / 50 {
                attempt.outcome = Outcome::Cancelled;
                self.schedule_end(attempt_id, 0.02);
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.arrive(),
            SimEvent::AttemptEnd(id, number) => self.end_attempt((id, number)),
            SimEvent::Progress(id, number) => self.report_progress((id, number)),
            SimEvent::StreamStart(id, number) if self.in_flight.contains_key(&(id, number)) => {
                self.deliver(&Event::StreamStarted { request: RequestId(id), attempt: number });
            }
            SimEvent::StreamStart(..) => {}
            SimEvent::Timer(token) => self.deliver(&Event::Timer(token)),
            SimEvent::HealthCheckRound => self.start_health_check(),
            SimEvent::HealthCheckEnd(engine) => self.end_health_check(engine),
            SimEvent::Abort(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.settled = true;
                }
                self.deliver(&Event::RequestAborted(RequestId(id)));
            }
            SimEvent::ConfirmEnd(key) => {
                let may_run_for = self.rng.pick(&[0.0, 0.0, 0.7]);
                self.deliver(&Event::AttemptEndConfirmed { key: KeyId(key), may_still_run_for: may_run_for });
            }
            SimEvent::ListPolled => {
                let mode = self.rng.pick(&[
                    EndpointListMode::Failed,
                    EndpointListMode::Full,
                    EndpointListMode::Full,
                ]);
                self.send_complete_list(mode);
            }
            SimEvent::ListChange => self.change_list(),
            SimEvent::ConditionChange => self.change_conditions(),
        }
    }

    fn arrive(&mut self) {
        let id = self.requests.len() as u64 + 1;
        let classes = self.active.classes();
        let class = if self.rng.chance(45) { FREQUENT_CLASS } else { self.rng.pick(&classes) };
        let c = self.active.settings.classes[class].clone();
        let key = c.ordered_by_key.then(|| u64::from(self.rng.below(5)));
        let table_group = self.rng.chance(40).then(|| u64::from(self.rng.below(3)));
        let client_timeout = c.deadline * self.rng.between(0.15, 1.1);
        let mean_work = typical_seconds(&c) * f64::from(c.threads);
        let size = self.rng.pick(&[0.3, 0.8, 0.8, 1.0, 1.0, 1.5, 1.5, 6.0, 100.0]);
        let estimate = self.rng.chance(70).then_some(size * mean_work);
        let need_mb = self.rng.chance(60).then(|| 100.0 * f64::from(1 + self.rng.below(30)));
        let deadline_us = self.now_us + (client_timeout * MICROS_PER_SECOND as f64) as u64;
        self.requests
            .insert(id, SimRequest { class, key, table_group, deadline_us, attempts: 0, settled: false });
        if self.rng.chance(4) {
            let after = self.rng.between(0.01, client_timeout);
            // Some aborts name a request that has not arrived.
            let aborted = if self.rng.chance(20) { id + 1_000_000 } else { id };
            self.schedule(after, SimEvent::Abort(aborted));
        }
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            tenant: self.rng.chance(50).then(|| TenantId(self.rng.below(2) as usize)),
            key: key.map(KeyId),
            deadline: self.now() + client_timeout,
            estimated_work: estimate,
            estimated_memory_mb: need_mb,
            table_group: table_group.map(TableGroupId),
            is_retry: self.rng.chance(5),
        };
        let gap = self.rng.between(0.1, 1.9) / self.rate();
        self.schedule(gap, SimEvent::Arrival);
        self.deliver(&Event::RequestArrived(request));
    }

    /// Requests per second: the demand times a rate that is proportional to the gateway's share of the
    /// engines, within bounds.
    fn rate(&self) -> f64 {
        let base = 12.0 * self.engines.len() as f64 / f64::from(self.active.settings.gateways);
        self.demand * base.clamp(6.0, 60.0)
    }

    fn end_attempt(&mut self, attempt_id: (u64, u32)) {
        if self.in_flight.get(&attempt_id).is_none_or(|attempt| attempt.ends_at_us != self.now_us) {
            return;
        }
        let attempt = self.in_flight.remove(&attempt_id).expect("the attempt is in flight");
        let outcome = attempt.outcome;
        let class = self.active.settings.classes[self.requests[&attempt_id.0].class].clone();
        let finished = outcome == Outcome::Success || (outcome == Outcome::Error && self.rng.chance(10));
        let request = self.requests.get_mut(&attempt_id.0).expect("the request has arrived");
        request.settled |= finished;
        let (settled, key) = (request.settled, request.key);
        let elapsed = (self.now_us - attempt.sent_at_us) as f64 / MICROS_PER_SECOND as f64;
        let cost = (outcome == Outcome::Success && self.rng.chance(50)).then(|| QueryCost {
            work: elapsed * f64::from(class.threads) * 0.8,
            memory_mb: self.rng.between(50.0, 2500.0),
        });
        let in_responses = self.active.settings.capabilities.load_reports == LoadReportSource::Responses;
        let report =
            (in_responses && !self.omits_reports && self.rng.chance(80)).then(|| self.draw_load_report());
        let may_run_for = self.draw_may_run_for(outcome, key);
        self.deliver(&Event::AttemptEnded {
            request: RequestId(attempt_id.0),
            attempt: attempt_id.1,
            engine: EngineId(attempt.engine),
            outcome,
            elapsed,
            request_settled: settled,
            may_still_run_for: may_run_for,
            cost,
            load_report: report,
        });
    }

    /// Draws the time in seconds for which an attempt may still run after its outcome. 0 if it has no key.
    /// Infinite if a later event confirms its end.
    fn draw_may_run_for(&mut self, outcome: Outcome, key: Option<u64>) -> f64 {
        let Some(key) = key.filter(|_| outcome.may_still_run()) else { return 0.0 };
        let span = self.rng.pick(&[0.0, 0.6, f64::INFINITY]);
        if span.is_infinite() {
            let after = self.rng.between(0.2, 4.0);
            self.schedule(after, SimEvent::ConfirmEnd(key));
        }
        span
    }

    fn draw_load_report(&mut self) -> LoadReport {
        let level = self.other_load * self.rng.between(0.7, 1.3);
        let queries = (16.0 * level).floor();
        let mut reported = |value: f64| match self.rng.below(20) {
            0..6 => None,
            6 => Some(f64::NAN),
            7 => Some(-value),
            _ => Some(value),
        };
        LoadReport {
            in_flight: reported(queries),
            queued: reported((queries - 14.0).max(0.0)),
            core_utilization: reported(level.min(1.0)),
            memory_utilization: reported(0.8 * level),
            disk_utilization: reported(0.1),
        }
    }

    fn report_progress(&mut self, attempt_id: (u64, u32)) {
        let Some(attempt) = self.in_flight.get(&attempt_id) else { return };
        let (reports, age) = (attempt.progress_reports, self.now_us - attempt.sent_at_us);
        let fraction = age as f64 / (attempt.ends_at_us - attempt.sent_at_us).max(1) as f64;
        let after = self.active.settings.capabilities.progress_period * self.rng.between(0.9, 1.1);
        self.schedule(after, SimEvent::Progress(attempt_id.0, attempt_id.1));
        if reports == ProgressReports::Lost {
            return;
        }
        let status = match self.rng.below(10) {
            _ if reports == ProgressReports::RunningOnly => Progress::Running,
            0 => Progress::Running,
            1 => Progress::Spilling(200.0),
            2 => Progress::WaitingForMemory,
            3 => Progress::WaitingForLoad,
            _ => Progress::Fraction(fraction * self.rng.between(0.3, 1.0)),
        };
        self.deliver(&Event::AttemptProgress {
            request: RequestId(attempt_id.0),
            attempt: attempt_id.1,
            progress: status,
        });
    }

    fn start_health_check(&mut self) {
        self.schedule(0.4, SimEvent::HealthCheckRound);
        if self.active.settings.capabilities.load_reports == LoadReportSource::HealthChecks {
            let engine = self.rng.below(self.engines.len() as u32);
            self.schedule(0.01, SimEvent::HealthCheckEnd(engine));
        }
    }

    fn end_health_check(&mut self, engine: u32) {
        let unreachable =
            self.engines.get(&engine).is_none_or(|engine| engine.condition == Condition::Unreachable);
        let outcome = if unreachable { Outcome::ConnectFailed } else { Outcome::Success };
        let report = (!unreachable).then(|| self.draw_load_report());
        self.deliver(&Event::HealthChecked {
            engine: EngineId(engine),
            outcome,
            elapsed: 0.01,
            load_report: report,
        });
    }

    fn send_list(&mut self, mode: EndpointListMode, entries: Vec<EndpointEntry>) {
        self.deliver(&Event::EndpointList { mode, entries });
    }

    fn send_complete_list(&mut self, mode: EndpointListMode) {
        let present = |e: &&SimEngine| e.entry.state != EndpointState::Removed;
        let entries = match mode {
            EndpointListMode::Failed => Vec::new(),
            EndpointListMode::Cached => self.cached_list.clone(),
            _ => self.engines.values().filter(present).map(|e| e.entry.clone()).collect(),
        };
        self.send_list(mode, entries);
    }

    /// Changes the endpoint list, sends it again, or stores it as the cached list.
    fn change_list(&mut self) {
        let after = self.rng.between(0.3, 3.0);
        self.schedule(after, SimEvent::ListChange);
        match self.rng.below(12) {
            0 => self.send_complete_list(EndpointListMode::Full),
            1 => self.send_complete_list(EndpointListMode::Cached),
            2 => self.send_complete_list(EndpointListMode::Failed),
            3 => self.cached_list = self.engines.values().map(|e| e.entry.clone()).collect(),
            4 => self.add_engine(),
            _ => self.change_engines(),
        }
    }

    fn add_engine(&mut self) {
        let id = self.engines.len() as u32;
        let template = self.rng.below(id);
        let started = Some(self.now());
        // The settings describe two machine types. The third is unknown.
        let kind = MachineTypeId(self.rng.below(3) as usize);
        let state = EndpointState::Ready;
        let old = self.engines[&template].entry.clone();
        let entry =
            EndpointEntry { engine: EngineId(id), machine_type: kind, started_at: started, state, ..old };
        self.engines.insert(id, SimEngine { entry: entry.clone(), condition: Condition::Healthy });
        self.send_list(EndpointListMode::Delta, vec![entry]);
    }

    fn change_engines(&mut self) {
        let mut entries = Vec::new();
        for _ in 0..=self.engines.len() / 8 {
            let id = self.rng.below(self.engines.len() as u32);
            let now = self.now();
            let next = self.rng.below(8);
            let engine = self.engines.get_mut(&id).expect("the engine exists");
            let entry = &mut engine.entry;
            entry.state = match next {
                0 | 1 => EndpointState::Draining,
                2 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            entry.started_at = if next == 3 { Some(now) } else { entry.started_at };
            entries.push(entry.clone());
        }
        self.send_list(EndpointListMode::Delta, entries);
    }

    /// Draws the demand, the load by other gateways and the condition of each engine.
    fn change_conditions(&mut self) {
        let after = self.rng.between(1.0, 6.0);
        self.schedule(after, SimEvent::ConditionChange);
        self.demand = self.rng.pick(&[0.05, 0.4, 0.7, 1.0, 2.5]);
        self.other_load = self.rng.pick(&[0.1, 0.4, 0.7, 1.0, 1.6]);
        let faults = [
            Condition::Slow,
            Condition::Failing,
            Condition::Overloaded,
            Condition::Unreachable,
            Condition::Hanging,
            Condition::Disconnecting,
        ];
        for engine in self.engines.values_mut() {
            let faulty = self.rng.chance(15);
            engine.condition = if faulty { self.rng.pick(&faults) } else { Condition::Healthy };
        }
    }
}
