//! The core: requests, attempts, timers, deadlines and the one final answer of each request.
//!
//! It drives the decision module and turns the module's actions into [`Command`]s. It knows no wire: no
//! bytes, no sockets, no protocol. Time is whole microseconds, handed in once a turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use workload_manager::*;
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use crate::key_leases::{KeyLeases, LeaseEffect, PeerProcessId};
use crate::timer_lag::TimerLag;

/// How long before a client's own limit the core answers at the latest, in microseconds: what the answer
/// needs on its way, and what the request needed on its way here, which no clock of ours has seen.
const MARGIN_US: u64 = 25_000;

/// Other engines can take a request at once whose engine fell silent; seconds till its client may ask again.
const COME_BACK: f64 = 0.05;

/// A request as a front hands it over.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting, in microseconds of the core's clock.
    pub deadline_us: u64,
    /// Estimated work, in seconds on one core.
    pub estimate: Option<f64>,
    /// Estimated memory in MB.
    pub need_mb: Option<f64>,
    /// The group of tables it reads.
    pub group: Option<TableGroupId>,
    /// Its order key; without effect in a class that keeps no order.
    pub key: Option<KeyId>,
    /// Its client repeats an earlier request.
    pub retry: bool,
}

/// What has happened outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// News of the list of engines; start times are on the core's clock in seconds.
    EndpointList(EndpointListMode, Vec<EndpointEntry>),
    /// A request was taken.
    RequestArrived(RequestId, NewRequest),
    /// An attempt has ended.
    AttemptEnded(RequestId, u32, Outcome, Option<LoadReport>),
    /// Nothing more will be heard of an attempt; its engine may run it until then, in microseconds.
    AttemptLost(RequestId, u32, u64),
    /// Nothing was heard of the end of an attempt that others of its key wait for, and it may run on without bound.
    /// [`Input::AttemptEndConfirmed`] follows.
    AttemptUnconfirmed(RequestId, u32),
    /// An unconfirmed attempt runs no longer than until then, in microseconds.
    AttemptEndConfirmed(RequestId, u32, u64),
    /// News of an attempt that is out.
    AttemptProgress(RequestId, u32, Progress),
    /// The client has left; no answer is owed.
    ClientLeft(RequestId),
    /// The gateway ends: every request gets its answer now.
    ShuttingDown,
    /// Another process of this gateway was heard of or has ended.
    PeerProcess(PeerProcessId, PeerProcessEvent),
}

/// What is heard of another process of this gateway, while one takes the place of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcessEvent {
    /// This process takes its place; it has the leases of all keys.
    Succeeded,
    /// It asks for the lease of a key.
    ClaimsLease(KeyId),
    /// It hands the lease of a key over.
    GrantsLease(KeyId),
    /// It has ended. What it may have left running is over by then, in microseconds.
    Ended(u64),
}

/// What an engine is told of an attempt beside the statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTerms {
    /// Memory to grant, MB; 0: the engine's choice.
    pub memory_mb: f64,
    /// 0 to 3.
    pub priority: u8,
}

/// What an attempt keeps to while it is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// When it is no longer waited for, in microseconds.
    pub until_us: u64,
    /// Its first byte must leave before this, however long its connection takes to come up, in microseconds.
    pub begin_by_us: u64,
    /// Others of its key wait for its end.
    pub in_order: bool,
}

/// What fronts and engine links are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// Where.
        engine: EngineId,
        /// What its engine is told.
        terms: AttemptTerms,
        /// What its connection keeps to.
        limits: AttemptLimits,
    },
    /// Change the priority of an attempt that is out.
    SetPriority {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// 0 to 3.
        priority: u8,
    },
    /// Take an attempt back; its end is still awaited.
    CancelAttempt(RequestId, u32),
    /// Final answer: the result of this attempt.
    Serve(RequestId, u32),
    /// Final answer: refused, with the milliseconds to stay away.
    Reject(RequestId, Option<u64>),
    /// Final answer: failed.
    Fail(RequestId),
    /// Ask another process of this gateway for the lease of a key.
    ClaimLease(PeerProcessId, KeyId),
    /// Hand the lease of a key to another process of this gateway.
    GrantLease(PeerProcessId, KeyId),
}

#[derive(Debug)]
struct Open {
    class: ClassId,
    /// Its key, if its class keeps order.
    key: Option<KeyId>,
    /// It as it is to be told to the module, while another process has the lease of its key.
    unadmitted: Option<Request>,
    deadline_us: u64,
    /// Its own timer, and those that the module has set for it.
    plans: Vec<TimerId>,
    attempts: u32,
    /// When the first attempt was sent that may have run.
    may_have_run_us: Option<u64>,
    memory_mb: f64,
    priority: u8,
}

impl Open {
    /// An attempt sent then may have run.
    fn may_have_run(&mut self, sent_us: u64) {
        self.may_have_run_us.get_or_insert(sent_us);
    }
}

#[derive(Clone, Copy, Debug)]
struct Out {
    class: ClassId,
    engine: EngineId,
    key: Option<KeyId>,
    sent_us: u64,
    stopped: bool,
    timer: Option<TimerId>,
}

/// How an attempt has ended.
struct End {
    outcome: Outcome,
    /// The request is finished.
    settled: bool,
    runs_until: RunsUntil,
    report: Option<LoadReport>,
}

/// Until when an engine may run an attempt that has ended here.
#[derive(Clone, Copy, Debug)]
enum RunsUntil {
    /// In microseconds.
    At(u64),
    /// Not known yet.
    Unconfirmed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    Module(u64),
    Attempt(RequestId, u32),
    Deadline(RequestId),
    Lease(KeyId),
}

/// What the core itself keeps to of the settings.
struct Terms {
    /// By class.
    effects: Vec<Idempotency>,
    /// By class.
    keeps_order: Vec<bool>,
    /// How long a key rests behind an attempt that might still run.
    order_pause_us: u64,
    max_attempts: u32,
    resolution_us: u64,
    /// What a client hears whose engine fell silent, in seconds, where clients hear such things.
    come_back: Option<f64>,
}

impl Terms {
    fn of(settings: &Settings) -> Self {
        let allowed = &settings.capabilities;
        Self {
            effects: settings.classes.iter().map(|c| c.idempotency).collect(),
            keeps_order: settings.classes.iter().map(|c| c.ordered_by_key).collect(),
            order_pause_us: micros(settings.rules.key_cooldown),
            max_attempts: allowed.max_attempts,
            resolution_us: micros(settings.clock_resolution),
            come_back: allowed.retry_after.then_some(COME_BACK.min(allowed.max_retry_after)),
        }
    }
}

/// The core of one gateway.
pub struct Core {
    module: WorkloadManager,
    terms: Terms,
    leases: KeyLeases,
    lease_effects: Vec<LeaseEffect>,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<(RequestId, u32), Out>,
    /// Attempts that have ended here and may run on without bound, with their keys.
    unconfirmed: BTreeMap<(RequestId, u32), KeyId>,
    states: BTreeMap<EngineId, EndpointState>,
    timers: TimerWheel<Timer>,
    lateness: TimerLag,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).min(1e15) as u64
}

impl Core {
    /// A core round a module that has just started.
    ///
    /// # Errors
    /// Settings that no gateway could act on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            terms: Terms::of(&settings),
            leases: KeyLeases::default(),
            lease_effects: Vec::new(),
            module: WorkloadManager::new(settings, seed)?,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            states: BTreeMap::new(),
            timers: TimerWheel::new(),
            lateness: TimerLag::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// Takes over other settings between two turns. Requests and attempts keep the class that they came with, and
    /// keys their leases; what is no class's holds for all from here on.
    ///
    /// # Errors
    /// Settings that no gateway could act on: the old ones stay.
    pub fn reconfigure(&mut self, change: SettingsChange) -> Result<(), SettingsError> {
        let terms = Terms::of(&change.settings);
        self.module.reconfigure(change)?;
        self.terms = terms;
        Ok(())
    }

    /// The classes of requests that are owed an answer and of attempts that are out.
    pub fn classes_in_use(&self) -> BTreeSet<ClassId> {
        let open = self.open.values().map(|open| open.class);
        open.chain(self.out.values().map(|out| out.class)).collect()
    }

    /// Requests that are still owed an answer.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Engines in the list that get nothing new: they drain, or pause for their health.
    pub fn engines_avoided(&self, now_us: u64) -> usize {
        self.module.engines_avoided(seconds(now_us))
    }

    /// When the next turn is due although nothing comes in.
    pub fn next_timer_us(&self) -> Option<u64> {
        self.timers.next_us()
    }

    /// How late its timers have fired.
    pub fn lateness(&self) -> &TimerLag {
        &self.lateness
    }

    /// Timers that are armed: one for each open request, one for each attempt with a limit, the module's.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// One turn: all that came in, then the timers that are due, then what follows from them.
    pub fn turn(&mut self, now_us: u64, inputs: &mut Vec<Input>, commands: &mut Vec<Command>) {
        for input in inputs.drain(..) {
            self.take(now_us, input, commands);
            self.drive(now_us, commands);
        }
        while let Some((due_us, timer)) = self.timers.pop(now_us) {
            self.lateness.note(due_us, now_us);
            self.ring(now_us, timer, commands);
            self.drive(now_us, commands);
        }
    }

    fn take(&mut self, now_us: u64, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::EndpointList(mode, entries) => {
                if matches!(mode, EndpointListMode::Full | EndpointListMode::Cached) {
                    self.states.values_mut().for_each(|s| *s = EndpointState::Removed);
                }
                self.states.extend(entries.iter().map(|e| (e.engine, e.state)));
                // Nothing is sent to one that is not known, as to one that has gone.
                self.states.retain(|_, s| *s != EndpointState::Removed);
                self.events.push_back(Event::EndpointList { mode, entries });
            }
            Input::RequestArrived(id, ask) => {
                let deadline_us = ask.deadline_us.saturating_sub(MARGIN_US);
                // The module plans the end itself; this guards against one that does not.
                let deadline = self.timers.arm(deadline_us, Timer::Deadline(id));
                let key = ask.key.filter(|_| self.terms.keeps_order[ask.class.0]);
                let request = Request {
                    id,
                    class: ask.class,
                    tenant: ask.tenant,
                    key,
                    deadline: seconds(deadline_us),
                    estimated_work: ask.estimate,
                    estimated_memory_mb: ask.need_mb,
                    table_group: ask.group,
                    is_retry: ask.retry,
                };
                let mut open = Open {
                    class: ask.class,
                    key,
                    unadmitted: None,
                    deadline_us,
                    plans: vec![deadline],
                    attempts: 0,
                    may_have_run_us: None,
                    memory_mb: 0.0,
                    priority: 1,
                };
                if let Some(key) = key {
                    open.unadmitted = Some(request);
                    self.open.insert(id, open);
                    self.leases.request(now_us, key, id, &mut self.lease_effects);
                } else {
                    self.open.insert(id, open);
                    self.events.push_back(Event::RequestArrived(request));
                }
            }
            Input::AttemptEnded(id, attempt, outcome, report) => {
                self.ended(now_us, id, attempt, outcome, report, commands);
            }
            Input::AttemptLost(id, attempt, runs_until_us) => {
                self.lost(now_us, (id, attempt), RunsUntil::At(runs_until_us), commands);
            }
            Input::AttemptUnconfirmed(id, attempt) => {
                self.lost(now_us, (id, attempt), RunsUntil::Unconfirmed, commands);
            }
            Input::AttemptEndConfirmed(id, attempt, runs_until_us) => {
                self.confirmed(now_us, (id, attempt), runs_until_us);
            }
            Input::AttemptProgress(request, attempt, note) => {
                if self.out.contains_key(&(request, attempt)) {
                    self.events.push_back(Event::AttemptProgress { request, attempt, progress: note });
                }
            }
            Input::ClientLeft(id) => {
                if self.close(now_us, id).is_some() {
                    self.events.push_back(Event::RequestAborted(id));
                }
            }
            Input::ShuttingDown => {
                let open: Vec<RequestId> = self.open.keys().copied().collect();
                for id in open {
                    self.events.push_back(Event::RequestAborted(id));
                    self.answer_unserved(now_us, id, self.terms.come_back, true, commands);
                }
            }
            Input::PeerProcess(neighbour, news) => self.neighbour(now_us, neighbour, news),
        }
        self.carry_out_leases(commands);
    }

    fn neighbour(&mut self, now_us: u64, neighbour: PeerProcessId, news: PeerProcessEvent) {
        let effects = &mut self.lease_effects;
        match news {
            PeerProcessEvent::Succeeded => self.leases.follow(neighbour),
            PeerProcessEvent::ClaimsLease(key) => self.leases.claimed(now_us, key, neighbour, effects),
            PeerProcessEvent::GrantsLease(key) => self.leases.granted(now_us, key, neighbour, effects),
            PeerProcessEvent::Ended(over_us) => self.leases.left(now_us, neighbour, over_us, effects),
        }
    }

    fn carry_out_leases(&mut self, commands: &mut Vec<Command>) {
        for effect in std::mem::take(&mut self.lease_effects) {
            match effect {
                LeaseEffect::Claim(key, neighbour) => commands.push(Command::ClaimLease(neighbour, key)),
                LeaseEffect::Grant(key, neighbour) => commands.push(Command::GrantLease(neighbour, key)),
                LeaseEffect::WakeAt(key, at_us) => drop(self.timers.arm(at_us, Timer::Lease(key))),
                LeaseEffect::Admit(id) => {
                    let request = self.open.get_mut(&id).and_then(|open| open.unadmitted.take());
                    self.events.extend(request.map(Event::RequestArrived));
                }
            }
        }
    }

    /// Until when keys must rest once this process has ended: what is out may run on for `abandoned_us`.
    pub fn keys_rest_until_us(&self, now_us: u64, abandoned_us: u64) -> u64 {
        let is_out = !self.unconfirmed.is_empty() || self.out.values().any(|out| out.key.is_some());
        let out_until_us = if is_out { self.rests_after(now_us + abandoned_us) } else { now_us };
        out_until_us.max(self.leases.rest_until_us())
    }

    /// Until when a key rests behind an attempt that might run until then.
    pub fn rests_after(&self, runs_until_us: u64) -> u64 {
        runs_until_us + self.terms.order_pause_us
    }

    fn ended(
        &mut self,
        now_us: u64,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
        commands: &mut Vec<Command>,
    ) {
        let Some(out) = self.take_back(id, attempt) else { return };
        let proves = matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected | Outcome::NeverSent);
        let mut settled = true;
        if let Some(open) = self.open.get_mut(&id) {
            settled = outcome == Outcome::Success;
            if settled {
                self.close(now_us, id);
                commands.push(Command::Serve(id, attempt));
            } else if !proves {
                open.may_have_run(out.sent_us);
            }
        }
        let runs_until = RunsUntil::At(now_us);
        self.tell_end(now_us, (id, attempt), out, End { outcome, settled, runs_until, report });
    }

    /// A request is no longer owed an answer, nor its deadline a timer.
    fn close(&mut self, now_us: u64, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        match open.key {
            Some(key) if open.unadmitted.is_some() => {
                self.leases.withdraw(now_us, key, id, &mut self.lease_effects);
            }
            Some(key) => self.leases.ended(now_us, key, 0, &mut self.lease_effects),
            None => {}
        }
        for timer in &open.plans {
            self.timers.cancel(*timer);
        }
        Some(open)
    }

    /// An attempt is out no longer.
    fn take_back(&mut self, id: RequestId, attempt: u32) -> Option<Out> {
        let out = self.out.remove(&(id, attempt))?;
        if let Some(timer) = out.timer {
            self.timers.cancel(timer);
        }
        Some(out)
    }

    fn tell_end(&mut self, now_us: u64, (request, attempt): (RequestId, u32), out: Out, end: End) {
        let elapsed = seconds(now_us.saturating_sub(out.sent_us));
        let engine = out.engine;
        let may_run_for = match (end.runs_until, out.key) {
            (RunsUntil::At(until_us), key) => {
                let rests_until_us = if end.outcome.may_still_run() { self.rests_after(until_us) } else { 0 };
                if let Some(key) = key {
                    self.leases.ended(now_us, key, rests_until_us, &mut self.lease_effects);
                }
                seconds(until_us.saturating_sub(now_us))
            }
            // The lease stays in use until the end is confirmed.
            (RunsUntil::Unconfirmed, Some(key)) => {
                self.unconfirmed.insert((request, attempt), key);
                f64::INFINITY
            }
            (RunsUntil::Unconfirmed, None) => 0.0,
        };
        self.events.push_back(Event::AttemptEnded {
            request,
            attempt,
            engine,
            outcome: end.outcome,
            elapsed,
            request_settled: end.settled,
            may_still_run_for: may_run_for,
            cost: None,
            load_report: end.report,
        });
    }

    /// The attempt may run on for as long as its engine is silent, and a retry would be a second one beside
    /// it: on the bench a retry 3.5 s after the last word of such an engine still was. So the request ends
    /// here and now; whoever may ask again does so with a new one.
    fn lost(
        &mut self,
        now_us: u64,
        (id, attempt): (RequestId, u32),
        runs_until: RunsUntil,
        commands: &mut Vec<Command>,
    ) {
        let Some(out) = self.take_back(id, attempt) else { return };
        if let Some(open) = self.open.get_mut(&id) {
            open.may_have_run(out.sent_us);
        }
        self.answer_unserved(now_us, id, self.terms.come_back, true, commands);
        let end = End { outcome: Outcome::TimedOut, settled: true, runs_until, report: None };
        self.tell_end(now_us, (id, attempt), out, end);
    }

    /// Until when an attempt runs at the most that might have run on without bound: its key may go on then.
    fn confirmed(&mut self, now_us: u64, attempt: (RequestId, u32), runs_until_us: u64) {
        let Some(key) = self.unconfirmed.remove(&attempt) else { return };
        let rests_until_us = self.rests_after(runs_until_us);
        self.leases.ended(now_us, key, rests_until_us, &mut self.lease_effects);
        let may_run_for = seconds(runs_until_us.saturating_sub(now_us));
        self.events.push_back(Event::AttemptEndConfirmed { key, may_still_run_for: may_run_for });
    }

    fn ring(&mut self, now_us: u64, timer: Timer, commands: &mut Vec<Command>) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer(token)),
            Timer::Attempt(id, attempt) => self.stop(id, attempt, commands),
            Timer::Deadline(id) => {
                if let Some(open) = self.open.get(&id) {
                    debug_assert!(now_us >= open.deadline_us);
                    // One that the module never heard of was never sent.
                    let unadmitted = open.unadmitted.is_some();
                    let retry_after = self.terms.come_back.filter(|_| unadmitted);
                    self.events.push_back(Event::RequestAborted(id));
                    self.answer_unserved(now_us, id, retry_after, unadmitted, commands);
                }
            }
            Timer::Lease(key) => self.leases.wake(now_us, key, &mut self.lease_effects),
        }
        self.carry_out_leases(commands);
    }

    fn stop(&mut self, id: RequestId, attempt: u32, commands: &mut Vec<Command>) {
        if let Some(out) = self.out.get_mut(&(id, attempt)).filter(|o| !o.stopped) {
            out.stopped = true;
            commands.push(Command::CancelAttempt(id, attempt));
        }
    }

    /// The one place where a request ends unserved. A refusal promises that trying again is harmless, so
    /// it stands only where that is so: repeats do no harm, or no attempt may have run or be running.
    fn answer_unserved(
        &mut self,
        now_us: u64,
        id: RequestId,
        retry_after: Option<f64>,
        refuse: bool,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.close(now_us, id) else { return };
        let running = self.out.range((id, 0)..=(id, u32::MAX)).next().is_some();
        let may_have_run = running || open.may_have_run_us.is_some();
        let harmless = !may_have_run || self.terms.effects[open.class.0].client_may_retry();
        commands.push(if refuse && harmless {
            Command::Reject(id, retry_after.map(|s| (s * 1000.0).ceil() as u64))
        } else {
            Command::Fail(id)
        });
    }

    /// Hands pending events to the module and carries out what it wants, till nothing is left.
    fn drive(&mut self, now_us: u64, commands: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.on_event(seconds(now_us), &event, &mut actions);
            for action in actions.drain(..) {
                self.act(now_us, action, commands);
            }
            self.actions = actions;
            self.carry_out_leases(commands);
        }
    }

    fn act(&mut self, now_us: u64, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::SetAttemptTerms { request, memory_mb, priority } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let changed = open.priority != priority;
                (open.memory_mb, open.priority) = (memory_mb, priority);
                let out = self.out.range((request, 0)..=(request, u32::MAX)).filter(|(_, o)| !o.stopped);
                commands.extend(out.filter(|_| changed).map(|((request, attempt), _)| {
                    Command::SetPriority { request: *request, attempt: *attempt, priority }
                }));
            }
            Action::Forward { request, engine, timeout } => {
                self.send(now_us, request, engine, timeout, commands)
            }
            Action::CancelAttempt { request, attempt } => self.stop(request, attempt, commands),
            Action::Reject { request, retry_after } => {
                self.answer_unserved(now_us, request, retry_after, true, commands);
            }
            Action::Fail(request) => self.answer_unserved(now_us, request, None, false, commands),
            Action::SetTimer { delay, token, request: of } => {
                let timer = self.timers.arm(now_us + micros(delay), Timer::Module(token));
                match of.map(|id| self.open.get_mut(&id)) {
                    Some(Some(open)) => open.plans.push(timer),
                    Some(None) => drop(self.timers.cancel(timer)),
                    None => {}
                }
            }
            // The platform pushes its list and forbids probes; the module asks for neither there.
            Action::CheckHealth(_) | Action::WatchEndpointList => {}
        }
    }

    fn send(
        &mut self,
        now_us: u64,
        id: RequestId,
        engine: EngineId,
        timeout: Option<f64>,
        commands: &mut Vec<Command>,
    ) {
        let busy = self.out.range((id, 0)..=(id, u32::MAX)).next().is_some();
        let ready = self.states.get(&engine) == Some(&EndpointState::Ready);
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let until_us = timeout.map_or(open.deadline_us, |t| open.deadline_us.min(now_us + micros(t)));
        let key = open.key;
        let out = Out { class: open.class, engine, key, sent_us: now_us, stopped: false, timer: None };
        self.out.insert((id, attempt), out);
        if let Some(key) = key {
            self.leases.attempt_began(key);
        }
        // A module that asked for one of these would break a rule on the wire; here it only loses a try.
        let spent = self.terms.max_attempts > 0 && attempt >= self.terms.max_attempts;
        if busy || !ready || spent || until_us <= now_us {
            self.ended(now_us, id, attempt, Outcome::NeverSent, None, commands);
            return;
        }
        if timeout.is_some() {
            let timer = self.timers.arm(until_us, Timer::Attempt(id, attempt));
            if let Some(out) = self.out.get_mut(&(id, attempt)) {
                out.timer = Some(timer);
            }
        }
        // A repeat is known as one for a while only, from when the first was sent that may have run.
        let window_us = match (self.terms.effects[open.class.0], open.may_have_run_us) {
            (Idempotency::Keyed { window, .. }, Some(sent_us)) => {
                (sent_us + micros(window)).saturating_sub(self.terms.resolution_us)
            }
            _ => u64::MAX,
        };
        let begin_by_us = until_us.min(window_us);
        let limits = AttemptLimits { until_us, begin_by_us, in_order: key.is_some() };
        let terms = AttemptTerms { memory_mb: open.memory_mb, priority: open.priority };
        commands.push(Command::StartAttempt { request: id, attempt, engine, terms, limits });
    }
}

#[cfg(test)]
mod tests;
