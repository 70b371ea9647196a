//! A small world of engines and clients that answers what one gateway asks for. All of it is drawn from the seed.

use std::collections::BTreeMap;

use workload_manager::WorkloadManager;
use workload_manager::*;

use super::draws::Draws;
use super::journal::Journal;
use super::settings::{InForce, LOOKUP, Setup, ZONES, usual_seconds};
use super::wording::words;

const SECOND: u64 = 1_000_000;
/// The clock's first second.
const EPOCH: f64 = 1000.0;
/// Changes of the settings in a stream.
const CHANGES: usize = 4;

/// What comes at a time.
enum Due {
    Arrival,
    End(u64, u32),
    Note(u64, u32),
    Stream(u64, u32),
    Timer(u64),
    Probe,
    Probed(u32),
    Abort(u64),
    Confirm(u64),
    Subscribed,
    News,
    Weather,
}

/// How an engine fares.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    Slow,
    Erring,
    Full,
    Away,
    Hanging,
    Breaking,
}

struct Machine {
    entry: EndpointEntry,
    mood: Mood,
}

struct Asked {
    class: usize,
    key: Option<u64>,
    group: Option<u64>,
    deadline_us: u64,
    attempts: u32,
    over: bool,
}

struct Attempt {
    engine: u32,
    sent_us: u64,
    due_us: u64,
    outcome: Outcome,
    /// Of the notes of an attempt some get lost, and some tell only that it goes on.
    notes: Notes,
}

#[derive(Clone, Copy, PartialEq)]
enum Notes {
    Full,
    Bare,
    Lost,
}

pub struct World {
    gateway: WorkloadManager,
    in_force: InForce,
    draws: Draws,
    now_us: u64,
    agenda: BTreeMap<(u64, u64), Due>,
    scheduled: u64,
    machines: BTreeMap<u32, Machine>,
    stale: Vec<EndpointEntry>,
    requests: BTreeMap<u64, Asked>,
    out: BTreeMap<(u64, u32), Attempt>,
    /// How busy clients are, and how full others keep the engines.
    rush: f64,
    fullness: f64,
    /// Answers bring no report, though the settings say so.
    mute: bool,
    journal: Journal,
}

impl World {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut draws = Draws::new(seed);
        let machine = |id: u32| {
            let (started, mood) = ((id % 5 == 4).then_some(EPOCH - 1.0), Mood::Well);
            let entry = EndpointEntry {
                engine: EngineId(id),
                zone: ZoneId(id as usize % ZONES),
                machine_type: MachineTypeId(id as usize / 2 % 2),
                cell: u64::from(id % 4),
                state: EndpointState::Ready,
                started_at: started,
            };
            (id, Machine { entry, mood })
        };
        let machines: BTreeMap<u32, Machine> = (0..setup.engines).map(machine).collect();
        let gateway_seed = u64::from(draws.below(u32::MAX));
        let mut world = Self {
            gateway: WorkloadManager::new(setup.settings.clone(), gateway_seed)
                .expect("settings that can be acted on"),
            in_force: InForce::new(setup.settings),
            draws,
            now_us: 0,
            agenda: BTreeMap::new(),
            scheduled: 0,
            stale: machines.values().map(|m| m.entry.clone()).collect(),
            machines,
            requests: BTreeMap::new(),
            out: BTreeMap::new(),
            rush: 0.5,
            fullness: 0.3,
            mute: setup.mute,
            journal: Journal::default(),
        };
        for (due, seconds) in [(Due::Arrival, 0.01), (Due::Probe, 0.1), (Due::News, 3.0), (Due::Weather, 2.0)]
        {
            world.plan(seconds, due);
        }
        world
    }

    /// Plays so many events.
    pub fn play(mut self, events: usize, stream: usize) -> Journal {
        if !self.in_force.settings.capabilities.polls_endpoint_list {
            let mode = if stream % 2 == 0 { EndpointListMode::Full } else { EndpointListMode::Cached };
            self.tell_list(mode, self.stale.clone());
        }
        let mut changes = 0;
        while self.journal.events < events {
            if self.journal.events > (changes + 1) * events / (CHANGES + 1) {
                self.reconfigure(stream + changes);
                changes += 1;
            }
            let Some(((at, _), due)) = self.agenda.pop_first() else { break };
            self.now_us = at;
            self.happen(due);
        }
        self.journal
    }

    fn now(&self) -> f64 {
        EPOCH + self.now_us as f64 / SECOND as f64
    }

    fn plan(&mut self, seconds: f64, due: Due) {
        let at = self.now_us + (seconds * SECOND as f64).ceil() as u64;
        self.scheduled += 1;
        self.agenda.insert((at, self.scheduled), due);
    }

    fn plan_end(&mut self, which: (u64, u32), seconds: f64) {
        let at = self.now_us + (seconds * SECOND as f64) as u64;
        if let Some(attempt) = self.out.get_mut(&which) {
            attempt.due_us = at;
        }
        self.scheduled += 1;
        self.agenda.insert((at, self.scheduled), Due::End(which.0, which.1));
    }

    fn checkpoint(&mut self) {
        if self.journal.at_checkpoint() {
            let g = &self.gateway;
            let figures = [g.engines_excluded(self.now()), g.engines_known(), g.keys_in_use()];
            self.journal.checkpoint(format!("figures {} {} {}", figures[0], figures[1], figures[2]));
        }
    }

    fn tell(&mut self, event: &Event) {
        self.checkpoint();
        let mut actions = Vec::new();
        self.gateway.on_event(self.now(), event, &mut actions);
        self.journal.event(actions.iter().map(words).collect());
        for action in &actions {
            self.act(action);
        }
    }

    fn reconfigure(&mut self, number: usize) {
        self.checkpoint();
        let change = self.in_force.change(number, &mut self.draws);
        let accepted = self.gateway.reconfigure(change.clone()).is_ok();
        if accepted {
            self.in_force.accepted(change);
        }
        self.journal.event(vec![format!("change {accepted}")]);
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::Forward { request, engine, .. } => self.start(request.0, engine.0),
            Action::CancelAttempt { request, attempt } => self.cancel((request.0, *attempt)),
            Action::Reject { request, .. } | Action::Fail(request) => {
                self.requests.get_mut(&request.0).expect("asked").over = true;
            }
            Action::SetTimer { delay, token, .. } => self.plan(*delay, Due::Timer(*token)),
            Action::CheckHealth(engine) => self.plan(0.02, Due::Probed(engine.0)),
            Action::WatchEndpointList => self.plan(0.05, Due::Subscribed),
            Action::SetAttemptTerms { .. } => {}
        }
    }

    fn start(&mut self, id: u64, engine: u32) {
        let request = self.requests.get_mut(&id).expect("asked");
        let number = request.attempts;
        request.attempts += 1;
        let (outcome, seconds) = self.fate(id, engine);
        let notes = self.draws.pick(&[Notes::Full, Notes::Full, Notes::Full, Notes::Bare, Notes::Lost]);
        let attempt = Attempt { engine, sent_us: self.now_us, due_us: 0, outcome, notes };
        self.out.insert((id, number), attempt);
        self.plan_end((id, number), seconds);
        let period = self.in_force.settings.capabilities.progress_period;
        if period > 0.0 {
            self.plan(period, Due::Note(id, number));
        }
        if self.in_force.settings.classes[self.requests[&id].class].is_streaming {
            self.plan(0.5 * seconds, Due::Stream(id, number));
        }
    }

    /// How an attempt that starts now will end, and after how long.
    fn fate(&mut self, id: u64, engine: u32) -> (Outcome, f64) {
        let request = &self.requests[&id];
        let class = &self.in_force.settings.classes[request.class];
        let machine = &self.machines[&engine];
        let beside = self.out.values().filter(|a| a.engine == engine).count() as f64;
        let loads = self.held_by_load(request.group, engine);
        let left = request.deadline_us.saturating_sub(self.now_us) as f64 / SECOND as f64;
        let mood = if machine.entry.state == EndpointState::Removed { Mood::Away } else { machine.mood };
        let crowd = 1.0 + 0.1 * beside + if self.fullness > 1.0 { self.fullness } else { 0.0 };
        let wait = if loads && class.waits_for_loads { 2.0 } else { 0.0 };
        let usual = usual_seconds(class);
        let slow = if mood == Mood::Slow { 5.0 } else { 1.0 };
        let takes = wait + usual * crowd * slow * self.draws.between(0.4, 1.8);
        let (fortune, hit) = (self.draws.below(120), self.draws.percent(60));
        match (mood, fortune) {
            (Mood::Away, _) | (_, 0) => (Outcome::ConnectFailed, 0.001),
            (Mood::Full, _) if hit => (Outcome::Rejected, 0.002),
            (Mood::Erring, fortune) if fortune > 4 => (Outcome::Error, 0.1 * takes),
            (Mood::Breaking, _) if hit => (Outcome::ConnectionLost, 0.2 * takes),
            (Mood::Hanging, _) => (Outcome::TimedOut, left + 0.3),
            (_, 1) => (Outcome::Rejected, 0.002),
            (_, 2 | 3) => (Outcome::Error, 0.5 * takes),
            (_, 4) => (Outcome::ConnectionLost, 0.5 * takes),
            (_, 5) => (Outcome::TimedOut, 2.0 * takes),
            (_, 6) => (Outcome::NeverSent, 0.0),
            (_, 7) => (Outcome::Cancelled, 0.3 * takes),
            // Some stand still for long.
            (_, 8) => (Outcome::Success, 20.0 * takes),
            _ if takes > left + 1.0 => (Outcome::TimedOut, left + 0.05),
            _ => (Outcome::Success, takes),
        }
    }

    fn held_by_load(&self, group: Option<u64>, engine: u32) -> bool {
        let loads = |id: &u64| {
            let request = &self.requests[id];
            request.group == group && self.in_force.settings.classes[request.class].is_load
        };
        group.is_some() && self.out.iter().any(|((id, _), a)| a.engine == engine && loads(id))
    }

    /// Most cancels arrive in time.
    fn cancel(&mut self, which: (u64, u32)) {
        if self.out.contains_key(&which) && self.draws.percent(75) {
            let attempt = self.out.get_mut(&which).expect("out");
            if attempt.due_us > self.now_us + SECOND / 50 {
                attempt.outcome = Outcome::Cancelled;
                self.plan_end(which, 0.02);
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::End(id, number) => self.end((id, number)),
            Due::Note(id, number) => self.note((id, number)),
            Due::Stream(id, number) if self.out.contains_key(&(id, number)) => {
                self.tell(&Event::StreamStarted { request: RequestId(id), attempt: number });
            }
            Due::Stream(..) => {}
            Due::Timer(token) => self.tell(&Event::Timer(token)),
            Due::Probe => self.probe(),
            Due::Probed(engine) => self.probed(engine),
            Due::Abort(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.over = true;
                }
                self.tell(&Event::RequestAborted(RequestId(id)));
            }
            Due::Confirm(key) => {
                let may_run_for = self.draws.pick(&[0.0, 0.0, 0.7]);
                self.tell(&Event::AttemptEndConfirmed { key: KeyId(key), may_still_run_for: may_run_for });
            }
            Due::Subscribed => {
                let mode = self.draws.pick(&[
                    EndpointListMode::Failed,
                    EndpointListMode::Full,
                    EndpointListMode::Full,
                ]);
                self.tell_whole_list(mode);
            }
            Due::News => self.news(),
            Due::Weather => self.change_weather(),
        }
    }

    fn arrive(&mut self) {
        let id = self.requests.len() as u64 + 1;
        let classes = self.in_force.classes();
        let class = if self.draws.percent(45) { LOOKUP } else { self.draws.pick(&classes) };
        let c = self.in_force.settings.classes[class].clone();
        let key = c.ordered_by_key.then(|| u64::from(self.draws.below(5)));
        let group = self.draws.percent(40).then(|| u64::from(self.draws.below(3)));
        let patience = c.deadline * self.draws.between(0.15, 1.1);
        let mean_work = usual_seconds(&c) * f64::from(c.threads);
        let size = self.draws.pick(&[0.3, 0.8, 0.8, 1.0, 1.0, 1.5, 1.5, 6.0, 100.0]);
        let estimate = self.draws.percent(70).then_some(size * mean_work);
        let need_mb = self.draws.percent(60).then(|| 100.0 * f64::from(1 + self.draws.below(30)));
        let deadline_us = self.now_us + (patience * SECOND as f64) as u64;
        self.requests.insert(id, Asked { class, key, group, deadline_us, attempts: 0, over: false });
        if self.draws.percent(4) {
            let after = self.draws.between(0.01, patience);
            // Some quit that nobody knows of.
            let who = if self.draws.percent(20) { id + 1_000_000 } else { id };
            self.plan(after, Due::Abort(who));
        }
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            tenant: self.draws.percent(50).then(|| TenantId(self.draws.below(2) as usize)),
            key: key.map(KeyId),
            deadline: self.now() + patience,
            estimated_work: estimate,
            estimated_memory_mb: need_mb,
            table_group: group.map(TableGroupId),
            is_retry: self.draws.percent(5),
        };
        let gap = self.draws.between(0.1, 1.9) / self.rate();
        self.plan(gap, Due::Arrival);
        self.tell(&Event::RequestArrived(request));
    }

    /// Requests a second: by the gateway's part of the engines, and some more where that is little.
    fn rate(&self) -> f64 {
        let part = 12.0 * self.machines.len() as f64 / f64::from(self.in_force.settings.gateways);
        self.rush * part.clamp(6.0, 60.0)
    }

    fn end(&mut self, which: (u64, u32)) {
        if self.out.get(&which).is_none_or(|attempt| attempt.due_us != self.now_us) {
            return;
        }
        let attempt = self.out.remove(&which).expect("out");
        let outcome = attempt.outcome;
        let class = self.in_force.settings.classes[self.requests[&which.0].class].clone();
        let finished = outcome == Outcome::Success || (outcome == Outcome::Error && self.draws.percent(10));
        let request = self.requests.get_mut(&which.0).expect("asked");
        request.over |= finished;
        let (settled, key) = (request.over, request.key);
        let elapsed = (self.now_us - attempt.sent_us) as f64 / SECOND as f64;
        let cost = (outcome == Outcome::Success && self.draws.percent(50)).then(|| QueryCost {
            work: elapsed * f64::from(class.threads) * 0.8,
            memory_mb: self.draws.between(50.0, 2500.0),
        });
        let answers = self.in_force.settings.capabilities.load_reports == LoadReportSource::Responses;
        let report = (answers && !self.mute && self.draws.percent(80)).then(|| self.report());
        let may_run_for = self.may_run_for(outcome, key);
        self.tell(&Event::AttemptEnded {
            request: RequestId(which.0),
            attempt: which.1,
            engine: EngineId(attempt.engine),
            outcome,
            elapsed,
            request_settled: settled,
            may_still_run_for: may_run_for,
            cost,
            load_report: report,
        });
    }

    fn may_run_for(&mut self, outcome: Outcome, key: Option<u64>) -> f64 {
        let Some(key) = key.filter(|_| outcome.may_still_run()) else { return 0.0 };
        let span = self.draws.pick(&[0.0, 0.6, f64::INFINITY]);
        if span.is_infinite() {
            let after = self.draws.between(0.2, 4.0);
            self.plan(after, Due::Confirm(key));
        }
        span
    }

    fn report(&mut self) -> LoadReport {
        let level = self.fullness * self.draws.between(0.7, 1.3);
        let queries = (16.0 * level).floor();
        let mut figure = |value: f64| match self.draws.below(20) {
            0..6 => None,
            6 => Some(f64::NAN),
            7 => Some(-value),
            _ => Some(value),
        };
        LoadReport {
            in_flight: figure(queries),
            queued: figure((queries - 14.0).max(0.0)),
            core_utilization: figure(level.min(1.0)),
            memory_utilization: figure(0.8 * level),
            disk_utilization: figure(0.1),
        }
    }

    fn note(&mut self, which: (u64, u32)) {
        let Some(attempt) = self.out.get(&which) else { return };
        let (notes, age) = (attempt.notes, self.now_us - attempt.sent_us);
        let share = age as f64 / (attempt.due_us - attempt.sent_us).max(1) as f64;
        let after = self.in_force.settings.capabilities.progress_period * self.draws.between(0.9, 1.1);
        self.plan(after, Due::Note(which.0, which.1));
        if notes == Notes::Lost {
            return;
        }
        let note = match self.draws.below(10) {
            _ if notes == Notes::Bare => Progress::Running,
            0 => Progress::Running,
            1 => Progress::Spilling(200.0),
            2 => Progress::WaitingForMemory,
            3 => Progress::WaitingForLoad,
            _ => Progress::Fraction(share * self.draws.between(0.3, 1.0)),
        };
        self.tell(&Event::AttemptProgress { request: RequestId(which.0), attempt: which.1, progress: note });
    }

    fn probe(&mut self) {
        self.plan(0.4, Due::Probe);
        if self.in_force.settings.capabilities.load_reports == LoadReportSource::HealthChecks {
            let engine = self.draws.below(self.machines.len() as u32);
            self.plan(0.01, Due::Probed(engine));
        }
    }

    fn probed(&mut self, engine: u32) {
        let away = self.machines.get(&engine).is_none_or(|machine| machine.mood == Mood::Away);
        let outcome = if away { Outcome::ConnectFailed } else { Outcome::Success };
        let report = (!away).then(|| self.report());
        self.tell(&Event::HealthChecked {
            engine: EngineId(engine),
            outcome,
            elapsed: 0.01,
            load_report: report,
        });
    }

    fn tell_list(&mut self, mode: EndpointListMode, entries: Vec<EndpointEntry>) {
        self.tell(&Event::EndpointList { mode, entries });
    }

    fn tell_whole_list(&mut self, mode: EndpointListMode) {
        let present = |m: &&Machine| m.entry.state != EndpointState::Removed;
        let entries = match mode {
            EndpointListMode::Failed => Vec::new(),
            EndpointListMode::Cached => self.stale.clone(),
            _ => self.machines.values().filter(present).map(|m| m.entry.clone()).collect(),
        };
        self.tell_list(mode, entries);
    }

    /// The list changes, or is told again.
    fn news(&mut self) {
        let after = self.draws.between(0.3, 3.0);
        self.plan(after, Due::News);
        match self.draws.below(12) {
            0 => self.tell_whole_list(EndpointListMode::Full),
            1 => self.tell_whole_list(EndpointListMode::Cached),
            2 => self.tell_whole_list(EndpointListMode::Failed),
            3 => self.stale = self.machines.values().map(|m| m.entry.clone()).collect(),
            4 => self.add_machine(),
            _ => self.change_machines(),
        }
    }

    fn add_machine(&mut self) {
        let id = self.machines.len() as u32;
        let model = self.draws.below(id);
        let started = Some(self.now());
        // Some are of a kind that the settings do not describe.
        let kind = MachineTypeId(self.draws.below(3) as usize);
        let state = EndpointState::Ready;
        let old = self.machines[&model].entry.clone();
        let entry =
            EndpointEntry { engine: EngineId(id), machine_type: kind, started_at: started, state, ..old };
        self.machines.insert(id, Machine { entry: entry.clone(), mood: Mood::Well });
        self.tell_list(EndpointListMode::Delta, vec![entry]);
    }

    fn change_machines(&mut self) {
        let mut entries = Vec::new();
        for _ in 0..=self.machines.len() / 8 {
            let id = self.draws.below(self.machines.len() as u32);
            let now = self.now();
            let next = self.draws.below(8);
            let machine = self.machines.get_mut(&id).expect("there");
            let entry = &mut machine.entry;
            entry.state = match next {
                0 | 1 => EndpointState::Draining,
                2 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            entry.started_at = if next == 3 { Some(now) } else { entry.started_at };
            entries.push(entry.clone());
        }
        self.tell_list(EndpointListMode::Delta, entries);
    }

    /// How engines and clients fare changes from time to time.
    fn change_weather(&mut self) {
        let after = self.draws.between(1.0, 6.0);
        self.plan(after, Due::Weather);
        self.rush = self.draws.pick(&[0.05, 0.4, 0.7, 1.0, 2.5]);
        self.fullness = self.draws.pick(&[0.1, 0.4, 0.7, 1.0, 1.6]);
        let moods = [Mood::Slow, Mood::Erring, Mood::Full, Mood::Away, Mood::Hanging, Mood::Breaking];
        for machine in self.machines.values_mut() {
            let ill = self.draws.percent(15);
            machine.mood = if ill { self.draws.pick(&moods) } else { Mood::Well };
        }
    }
}
