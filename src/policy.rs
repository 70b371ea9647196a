//! Every decision of one gateway. Its settings, events and actions are in `src/interface.rs`.
//!
//! The mechanism is integral feedback on admission: dashboards leave at once; secondary work waits in
//! one first-come queue and leaves for an engine while this gateway's threads there stay under the
//! engine's threshold C, which `Loop` sets from dashboard latency. All else here either keeps a rule or
//! takes an engine out of the choice; what departs from the thesis is listed in docs/design.md.

use std::collections::{BTreeMap, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;

mod explain;

// The feedback loop. Sections are the thesis's.
const MIN_COMPLETIONS: u32 = 20; // q, fewest dashboards that make an interval's R (4.5.1)
const INTERVAL_CAP: f64 = 5.0; // seconds after which an interval is closed at the latest
const STEPS: f64 = 3.0; // n, control steps over which an error is corrected (4.8.5)
const CEILING: f64 = 6.0; // most threads a core that C asks for, all gateways together
const SAVED: f64 = 2.0; // seconds of C that the pool saves up, and that one attempt may owe at its end
const THRIFT: f64 = 2.0; // times its cost over the usual that must be saved up for a large request
const SLOW_FACTOR: f64 = 2.0; // pace, in times the mean engine's, of one that is worked with last
const PACE_NEWEST: f64 = 0.2; // weight of the newest attempt in an engine's pace
const SILENT: f64 = 8.0; // usual latencies for which a dashboard may be out with no answer from its engine
const PAUSE: (f64, f64) = (1.0, 8.0); // first and longest pause in seconds before a bad engine is tried again
const LOST: (f64, f64) = (1.5, 2.6); // Periods of news with no word, or none but that it goes on: it is lost.
const ERRED: (f64, f64) = (0.03, 0.5); // strikes of an error: at once, and once another engine did better
const WELL: u32 = 16; // attempts out at which an engine on its way back counts as well again
const FULL_REST: f64 = 0.25; // seconds' rest of an engine that turned an attempt away
const FULL: f64 = 2.0; // threads a core of a full engine, whose fullness is 1
const MEMORY: f64 = 0.75; // share of an engine's memory that its queries may need by the books of one gateway
const SPILLS: f64 = 1.3; // what granted memory counts where more of it means spilling
const BAR: f64 = 0.8; // fullness over which secondary work is not sent
const ROOMY: f64 = 0.5; // fullness of all engines together under which C need not bind over time
const REPORT_LIFE: f64 = 2.0; // seconds in which a report loses most of its worth
const BLUR: f64 = 0.3; // chance in the choice, so that gateways with the same reports choose apart
const HOME: f64 = 0.2; // how much fuller than others an engine of the own zone may be
const WORKING: (f64, f64) = (2.0, 4.0); // engines worked with: seconds of requests, one each; at least
const JAM: f64 = 1.5; // dashboard threads a core, all gateways together, at which even dashboards wait
const RUNAWAY: f64 = 3.0; // usual latencies that an attempt may still have ahead by its pace
const STUCK: f64 = 4.0; // times what it should take that an attempt may be out with no word of its progress
const STANDS: (f64, f64) = (4.0, 0.03); // threads a core that standing still counts as; a share that is none
const COLD_SAFETY: f64 = 0.3; // share of a cold engine's work budget that is used
const WORKED: f64 = 0.75; // share of it for the gateways that work with the engine, as chance has it
const PATIENCE: (f64, f64) = (0.25, 0.5); // share of what the aim leaves to be held: dashboards, secondary
const LOOK: f64 = 0.05; // seconds between looks at what no event announces
const NEWEST: f64 = 0.1; // weight of the newest value in running means
const TOLD: f64 = 0.1; // share done from which an attempt's progress tells its pace
const HEAVY: f64 = 30.0; // times the mean estimate that one counts as at most: anyone may claim anything

/// Which classes are dashboards, from settings alone: of those that are no loads, the ones with the fewest
/// threads whose aim is within twice the shortest. One that fills the smallest machine alone is never light.
fn dashboards(change: &SettingsChange) -> Vec<bool> {
    let (s, in_force) = (&change.settings, change.active_classes());
    let cores = s.machine_types.iter().map(|k| k.cores).fold(f64::INFINITY, f64::min);
    let light = |c: &&Class| !c.is_load && f64::from(c.threads) < cores.max(2.0);
    let threads = in_force.iter().copied().filter(light).map(|c| c.threads).min();
    let fewest = |c: &&Class| light(c) && Some(c.threads) == threads;
    let aim =
        in_force.iter().copied().filter(fewest).map(|c| c.latency_objective).fold(f64::INFINITY, f64::min);
    s.classes.iter().map(|c| fewest(&c) && c.latency_objective <= 2.0 * aim).collect()
}

/// A drawn number as one from 0 to 1.
fn fraction(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}

/// The feedback loop of one engine: Algorithm 1 of the thesis (3.2.1.3.3), in threads.
#[derive(Default)]
struct Loop {
    cores: f64,
    share: f64,     // This gateway's share of them.
    error_sum: f64, // E, the error sum, in seconds.
    threshold: f64, // C, the threshold, in threads of this gateway's secondary work.
    completed: u32, // Dashboard completions of this control interval: how many, and their latencies' sum.
    latency_sum: f64,
    opened: f64,
    ceiling: f64, // The most that C may be, and the most secondary threads out in this control interval.
    used: f64,
}

/// What loops are set by: RS, and for each core KI and the start of C.
struct LoopTerms {
    objective: f64,
    gain: f64,
    start: f64,
}

impl Loop {
    fn new(now: f64, cores: f64, t: &LoopTerms) -> Self {
        let share = cores * t.start;
        let (threshold, ceiling, error_sum) = (share, 2.0 * share, t.start / t.gain);
        Self { cores, share, error_sum, threshold, opened: now, ceiling, ..Self::default() }
    }

    /// Other terms or another size of the engine: C and its ceiling stay the same times its start.
    fn rescale(&mut self, cores: f64, old: &LoopTerms, t: &LoopTerms) {
        let times = cores * t.start / self.share;
        self.error_sum *= times * (old.gain * self.cores) / (t.gain * cores);
        (self.threshold, self.ceiling) = (times * self.threshold, times * self.ceiling);
        (self.share, self.cores) = (cores * t.start, cores);
    }

    /// Floor and step of C: a thread, or half of a share that is smaller than two.
    fn unit(&self) -> f64 {
        (0.5 * self.share).min(1.0)
    }

    /// Closes the control interval if it is over. With fewer than q completions, which are noise, R is filled
    /// up to q with the mean over all engines.
    fn close(&mut self, now: f64, p: &Pool, fullness: f64, t: &LoopTerms) {
        if self.completed < MIN_COMPLETIONS && now - self.opened < INTERVAL_CAP {
            return;
        }
        // Sample. Without a completion on any engine E stays.
        let heard = p.heard > self.opened || self.completed > 0;
        let completed = f64::from(self.completed);
        let missing = (f64::from(MIN_COMPLETIONS) - completed).max(0.0);
        let r = (self.latency_sum + missing * p.mean) / (completed + missing);
        // Where no answer tells how full the engine is, that stands in for R, at the aim where the bar is;
        // where shares are thin and reports tell nothing, at the aim where it is full.
        let blind = !p.reported && self.unit() < 1.0;
        let at_aim = if p.own_books { BAR } else { 1.0 };
        let r = if p.own_books || blind { r.max(t.objective * fullness / at_aim) } else { r };
        (self.completed, self.latency_sum, self.opened) = (0, 0.0, now);
        if !heard {
            return;
        }
        // An interval over its aim shows that C was above the engine's peak: halve its bound, so that it
        // climbs back a thread an interval, and only where C was used: else nothing was learned of a higher.
        let raise = if self.used > 0.7 * self.ceiling { self.unit() } else { 0.0 };
        self.used = 0.0;
        self.ceiling = if r > t.objective { 0.5 * self.ceiling } else { self.ceiling + raise };
        // Calculate and manipulate: E = E + (RS - R), C = max(unit, KI E). E stops where C does, at both
        // ends (anti-windup): an outside slowdown would else hold C low, and a quiet spell above the peak.
        let gain = self.cores * t.gain;
        self.ceiling = self.ceiling.clamp(self.share, CEILING * self.share);
        self.error_sum = (self.error_sum + (t.objective - r)).clamp(self.unit() / gain, self.ceiling / gain);
        self.threshold = gain * self.error_sum;
    }
}

/// An engine's health, whatever the symptom: silence or errors (slowness is for its pace). A bad engine is
/// out for a pause, then gets one attempt, then twice as many after each success.
#[derive(Default)]
struct Health {
    strikes: f64,
    out_until: f64,
    rest: f64, // Its last rest for being full.
    pause: f64,
    limit: Option<u32>, // Most attempts out while it returns; none when well.
    spell: u32,         // Counts the times it went out; attempts of an earlier one say nothing of its return.
    out_in_spell: u32,
    last_answer: f64,
    spread: f64, // of pauses, this gateway's own: else trials of all gateways come in step
}

impl Health {
    fn admits(&self, now: f64) -> bool {
        now >= self.out_until && self.limit.is_none_or(|most| self.out_in_spell < most)
    }

    fn strike(&mut self, now: f64, weight: f64) {
        self.strikes += weight;
        if self.strikes < 1.0 || now < self.out_until {
            return;
        }
        self.pause = (2.0 * self.pause).clamp(PAUSE.0, PAUSE.1);
        (self.out_until, self.limit, self.strikes) = (now + self.pause * self.spread, Some(1), 0.0);
        (self.spell, self.out_in_spell) = (self.spell + 1, 0);
    }

    fn success(&mut self, now: f64, in_spell: bool) {
        self.last_answer = now;
        self.strikes *= 0.5;
        self.rest *= 0.5;
        if let (true, Some(most)) = (in_spell, self.limit) {
            self.limit = (2 * most <= WELL).then_some(2 * most);
            self.pause = self.limit.map_or(0.0, |_| self.pause);
        }
    }
}

#[derive(Default)]
struct Engine {
    entry: EndpointEntry,
    feedback: Loop,
    health: Health,
    threads: f64, // Threads of this gateway's attempts there: all, and secondary ones.
    secondary: f64,
    fullness: Option<(f64, f64)>, // How full it last said that it is, and when.
    memory_mb: f64,
    need_mb: f64,      // What this gateway's attempts there need of it, by their estimates.
    pace: (f64, f64),  // Running mean of how long attempts took over the usual of their class, and when.
    stuck: (f64, f64), // The same of the share that stood still where others ran well.
    order: u32, // This gateway's own order of engines, and whether it is among those it works with now.
    working: bool,
    part: f64, // Times an even share of its cold budget that this gateway may use.
    cold_sends: VecDeque<(f64, f64, bool)>, // Work sent since it started cold: when and how much.
}

impl Engine {
    /// How full so many queries of so many threads and so much memory make it.
    fn filled_by(&self, queries: f64, threads: f64, memory_mb: f64) -> f64 {
        let memory = if self.memory_mb > 0.0 { SPILLS * memory_mb / self.memory_mb } else { 0.0 };
        queries * (threads / (FULL * self.feedback.cores)).max(memory)
    }

    /// Share of its capacity that an engine surely has: from the cold share at its start to all when warm.
    fn warmth(&self, now: f64, r: &Rules) -> f64 {
        let Some(started) = self.entry.started_at else { return 1.0 };
        let age = ((now - started) / r.slow_start_duration.max(1e-9)).clamp(0.0, 1.0);
        r.slow_start_min_ratio + (1.0 - r.slow_start_min_ratio) * age
    }

    fn pace(&self, now: f64) -> f64 {
        1.0 + (self.pace.0 - 1.0) * (-(now - self.pace.1) / PAUSE.1).exp()
    }

    fn stuck(&self, now: f64) -> f64 {
        self.stuck.0 * (-(now - self.stuck.1) / PAUSE.1).exp()
    }

    fn note_stuck(&mut self, now: f64, stuck: f64) {
        let share = self.stuck(now);
        self.stuck = (share + NEWEST * (stuck - share), now);
    }

    /// Whether the budget of a cold engine has room for this, were all gateways to send alike. Half is for
    /// dashboards. A part of one request is rounded by chance, anew each window: not all gateways send one.
    fn cold_budget_admits(&self, now: f64, view: &ClassView, c: &Class, s: &Settings) -> bool {
        let warmth = self.warmth(now, &s.rules);
        if warmth >= 1.0 {
            return true;
        }
        let span = s.rules.collapse_window.max(1e-3);
        let lane = |(at, _, dashboard): &&(f64, f64, bool)| *at > now - span && *dashboard == view.dashboard;
        let spent: f64 = self.cold_sends.iter().filter(lane).map(|(_, w, _)| w).sum();
        let capacity = warmth * self.feedback.cores * 0.85 * span;
        let budget =
            0.5 * COLD_SAFETY * s.rules.collapse_load_ratio * capacity * self.part / f64::from(s.gateways);
        let age = now - self.entry.started_at.unwrap_or(now);
        let window = (age.max(0.0) / span + fraction(self.order)) as u64;
        let chance = if window == 0 { 0 } else { Pcg32::new(u64::from(self.order), window).next_u32() };
        let work = view.weight(c);
        spent + work <= budget + work * fraction(chance)
    }
}

#[derive(Clone)]
struct ClassView {
    dashboard: bool,
    memory_mb: f64,
    work: f64,         // Mean work of all threads of a request; at first what its aim allows.
    latency: f64,      // Mean latency of its attempts; at first half its aim.
    times: (f64, f64), // Mean of the times its estimate that its attempts take, and the lowest that was.
}

impl ClassView {
    fn new(c: &Class, s: &Settings) -> Self {
        let work = c.latency_objective * f64::from(c.threads);
        let lowest = if s.capabilities.load_reports == LoadReportSource::None { 1.0 } else { f64::INFINITY };
        Self {
            dashboard: false,
            memory_mb: 0.0,
            work,
            latency: 0.5 * c.latency_objective,
            times: (0.0, lowest),
        }
    }

    /// The work that a cold engine is charged for; estimates may lie, the time it took bounds it.
    fn weight(&self, c: &Class) -> f64 {
        self.work.min(self.latency * f64::from(c.threads))
    }
}

struct Job {
    request: Request,
    arrived: f64,
    place: u64,
    size: f64, // Its estimate, in times its class's mean.
    attempts: u32,
    withdrawn: bool,                       // An attempt was taken back for its pace.
    erred: Option<EngineId>,               // Which engine has answered it with an error.
    may_have_run: Option<(EngineId, f64)>, // Where the first attempt that may have run went, and when.
}

struct Attempt {
    request: Request,
    dashboard: bool, // As its class was when it was sent.
    engine: EngineId,
    sent: f64,
    heard: f64, // When the last news of it came, and the last that told more than that it goes on.
    noted: f64,
    stuck: bool, // It stands still.
    spell: u32,
    due: f64,     // How long it should take on an engine that is neither jammed nor ill.
    charged: f64, // Seconds that the pool was charged for.
}

/// The line of one key: requests in order, attempts out, until when whose attempts rest.
#[derive(Default)]
struct KeyLine {
    order: VecDeque<RequestId>,
    out: u32,
    rest: Option<(f64, RequestId)>,
}

/// This gateway's threads on all engines, and what they may be together: where a share of an engine is under
/// a thread, one on each would pass any C. So C binds as a sum over engines and a mean over time.
#[derive(Default)]
struct Pool {
    cores: f64,
    threads: f64,
    secondary: f64,
    sum_c: f64, // The sum of C, and the thread-seconds that secondary work has had beyond it.
    debt: f64,
    at: f64,
    fullness: Option<f64>, // How full engines say that they are, in the mean of late answers.
    reported: bool,        // Reports do say so; else when the pace of secondary work said it last.
    paced: f64,
    own_books: bool, // Answers bring no reports: an engine is as full as own threads make it.
    room_mb: f64,    // This gateway's part of the memory of all engines, and what its attempts need of it.
    need_mb: f64,
    width: f64, // Threads and memory of a query, in the mean of those that are out.
    memory_mb: f64,
    mean: f64, // R over all engines, and when it was told last.
    heard: f64,
    pace: f64, // The engines' mean pace.
    started: Option<f64>,
    looks: bool, // A look is due.
}

impl Pool {
    /// How full an engine can be by this gateway's threads, if others send alike; a thin share tells nothing.
    fn full_at_most(&self, e: &Engine) -> f64 {
        let known = self.own_books && e.feedback.share >= 2.0;
        if known { e.threads / (FULL * e.feedback.share) } else { f64::INFINITY }
    }

    /// How full an engine is by its last report, which with age says no more than that of all engines.
    fn fullness(&self, e: &Engine, now: f64) -> f64 {
        let mean = self.fullness.unwrap_or(0.0);
        let told = e.fullness.map_or(mean, |(f, at)| mean + (f - mean) * (-(now - at) / REPORT_LIFE).exp());
        if self.reported { told } else { told.min(self.full_at_most(e)) }
    }

    fn told(&mut self, fullness: f64, newest: f64) {
        let mean = self.fullness.get_or_insert(fullness);
        *mean += newest * (fullness - *mean);
    }

    /// Bounded: a heavy report had barred its gateway for a minute, as lost answers and hangs would.
    fn charge(&mut self, thread_seconds: f64) {
        let most = (SAVED * self.sum_c).max(self.debt);
        self.debt = (self.debt + thread_seconds).min(most);
    }

    /// Thread-seconds are earned at C, spent by what is sent, and saved up for a while only.
    fn pass(&mut self, now: f64) {
        self.debt = (self.debt - (now - self.at) * self.sum_c).max(-SAVED * self.sum_c);
        if self.fullness.is_some_and(|f| f < ROOMY) {
            self.debt = self.debt.min(0.0);
        }
        self.at = now;
    }
}

/// One gateway. Feed it events with [`WorkloadManager::on_event`] and carry out what it asks for, in order.
pub struct WorkloadManager {
    s: Settings,
    rng: Pcg32,
    classes: Vec<ClassView>,
    objective: f64, // RS: the dashboards' aim, and the lightest mean latency they were seen with.
    light: f64,
    pooled: Pool,
    engines: BTreeMap<EngineId, Engine>,
    jobs: BTreeMap<RequestId, Job>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    held: BTreeMap<u64, RequestId>, // The queue, by order of arrival.
    arrivals: u64,
    keys: BTreeMap<KeyId, KeyLine>,
    taken: VecDeque<f64>, // Requests taken and further attempts within the budget's span.
    extra: VecDeque<f64>,
}

const LOOK_TOKEN: u64 = 0;
const ASK_TOKEN: u64 = u64::MAX;

impl WorkloadManager {
    /// A gateway that has just started and knows nothing but its settings.
    ///
    /// # Errors
    /// Settings that no gateway could act on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let origins = vec![ClassOrigin::New; settings.classes.len()];
        let mut gateway = Self {
            s: settings.clone(),
            rng: Pcg32::seed_from_u64(seed),
            classes: Vec::new(),
            objective: f64::INFINITY,
            light: f64::INFINITY,
            pooled: Pool { pace: 1.0, ..Pool::default() },
            engines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: BTreeMap::new(),
            arrivals: 0,
            keys: BTreeMap::new(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
        };
        gateway.reconfigure(SettingsChange { settings, origins })?;
        gateway.pooled.mean = gateway.objective;
        Ok(gateway)
    }

    /// Takes over other settings between two events. What was learned stays, as do the classes of requests.
    ///
    /// # Errors
    /// Settings that no gateway could act on: the old ones stay.
    pub fn reconfigure(&mut self, change: SettingsChange) -> Result<(), SettingsError> {
        change.check(self.classes.len())?;
        let (old, dashboards, mut views) = (self.loop_terms(), dashboards(&change), Vec::new());
        let s = change.settings;
        for (at, (class, dashboard)) in s.classes.iter().zip(dashboards).enumerate() {
            let learned =
                change.origins[at].learned_from(ClassId(at)).map(|from| self.classes[from.0].clone());
            views.push(ClassView { dashboard, ..learned.unwrap_or_else(|| ClassView::new(class, &s)) });
        }
        let aims =
            s.classes.iter().zip(&views).filter(|(_, view)| view.dashboard).map(|(c, _)| c.latency_objective);
        let objective = aims.fold(f64::INFINITY, f64::min);
        self.objective = if objective.is_finite() { objective.max(1e-3) } else { 1.0 };
        self.light = self.light.min(self.objective);
        (self.s, self.classes) = (s, views);
        self.pooled.own_books = self.s.capabilities.load_reports != LoadReportSource::Responses;
        let terms = self.loop_terms();
        for e in self.engines.values_mut() {
            let kind = self.s.machine_type(e.entry.machine_type);
            e.memory_mb = kind.memory_mb;
            e.feedback.rescale(kind.cores, &old, &terms);
        }
        Ok(())
    }

    /// Takes one event; what is to be done about it is added to `actions`.
    pub fn on_event(&mut self, now: f64, event: &Event, actions: &mut Vec<Action>) {
        let asks = self.pooled.started.is_none() && self.s.capabilities.polls_endpoint_list;
        actions.extend(asks.then_some(Action::WatchEndpointList));
        let started = *self.pooled.started.get_or_insert(now);
        self.pooled.pass(now);
        match event {
            Event::EndpointList { mode, entries } => self.listed(now, *mode, entries, actions),
            Event::RequestArrived(request) => self.arrived(now, request, actions),
            Event::AttemptEnded { .. } => self.ended(now, event, actions),
            Event::RequestAborted(id) => self.forget(*id, actions),
            Event::Timer(LOOK_TOKEN) => self.look(now, actions),
            Event::Timer(ASK_TOKEN) => actions.push(Action::WatchEndpointList),
            Event::Timer(token) => self.give_up(RequestId(token - 1), false, actions),
            Event::AttemptProgress { request, attempt, progress: note } => {
                self.noted(now, (*request, *attempt), *note, actions)
            }
            Event::HealthChecked { engine, load_report: report, .. } => {
                self.reported(now, *engine, report.as_ref())
            }
            Event::AttemptEndConfirmed { key, may_still_run_for: may_run_for } => {
                self.confirmed(now, *key, *may_run_for)
            }
            Event::StreamStarted { .. } => {}
        }
        self.release(now, actions);
        // Looks keep to their grid, and rest while nothing is asked or out.
        if !(self.pooled.looks || self.jobs.is_empty() && self.attempts.is_empty()) {
            self.pooled.looks = true;
            let next = started + LOOK * (1.0 + ((now - started) / LOOK + 1e-3).floor());
            actions.push(Action::SetTimer { delay: next - now, token: LOOK_TOKEN, request: None });
        }
    }

    fn listed(
        &mut self,
        now: f64,
        mode: EndpointListMode,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if mode == EndpointListMode::Failed {
            // Asked again after a while only: a registry that turns calls away has too many.
            let again = Action::SetTimer { delay: PAUSE.0, token: ASK_TOKEN, request: None };
            return actions.extend(self.s.capabilities.polls_endpoint_list.then_some(again));
        }
        if mode != EndpointListMode::Delta {
            self.engines.values_mut().for_each(|e| e.entry.state = EndpointState::Removed);
        }
        for entry in entries {
            let restarted = |e: &Engine| entry.started_at.is_some() && entry.started_at != e.entry.started_at;
            match self.engines.get_mut(&entry.engine) {
                Some(e) if !restarted(e) => e.entry = entry.clone(),
                _ => self.meet(now, entry),
            }
        }
        self.count_pool(now);
    }

    /// Counts the engines that may be sent to, adds up their C, and forgets those gone with no attempt out.
    fn count_pool(&mut self, now: f64) {
        self.engines.retain(|_, e| e.entry.state != EndpointState::Removed || e.threads > 0.0);
        // The working set: the first fit engines in this gateway's own order, as many as it has requests for.
        let life = now - self.pooled.started.unwrap_or(now);
        let rate = if life < INTERVAL_CAP { f64::INFINITY } else { self.arrivals as f64 / life };
        let most = (rate * WORKING.0).max(WORKING.1) as usize;
        let paces: f64 = self.engines.values().map(|e| e.pace(now)).sum();
        self.pooled.pace = if self.engines.is_empty() { 1.0 } else { paces / self.engines.len() as f64 };
        let rules = &self.s.rules;
        let ready = |e: &Engine| e.entry.state == EndpointState::Ready && e.health.admits(now);
        let fit = |e: &Engine| ready(e) && e.pace(now) < SLOW_FACTOR * self.pooled.pace;
        let mut order: Vec<u32> = self.engines.values().filter(|e| fit(e)).map(|e| e.order).collect();
        order.sort_unstable();
        let last = order.get(most).copied().unwrap_or(u32::MAX);
        let c = |e: &Engine| {
            e.feedback.threshold * e.warmth(now, rules) / (e.pace(now) / self.pooled.pace).max(1.0)
        };
        let cores = |e: &Engine| e.feedback.cores * e.warmth(now, rules);
        // Memory counts where secondary work may go: in a cold engine as far as its budget for work goes.
        let cold = (0.5 * COLD_SAFETY * rules.collapse_load_ratio).min(1.0);
        let open = |warmth: f64| if warmth < 1.0 { cold * warmth } else { 1.0 };
        let room = |e: &Engine| e.memory_mb * open(e.warmth(now, rules)) / f64::from(self.s.gateways);
        let all = |of: &dyn Fn(&Engine) -> f64| self.engines.values().filter(|e| ready(e)).map(of).sum();
        (self.pooled.sum_c, self.pooled.cores, self.pooled.room_mb) = (all(&c), all(&cores), all(&room));
        // Of the own zone and of others: the engines that may be sent to, and of these those worked with.
        let (mut may, mut work) = ([0.0; 2], [0.0; 2]);
        let home = |e: &Engine| usize::from(self.s.zone == Some(e.entry.zone));
        for e in self.engines.values_mut() {
            e.working = e.order <= last && fit(e);
            may[home(e)] += f64::from(u8::from(ready(e)));
            work[home(e)] += f64::from(u8::from(e.working));
        }
        let most = 1.0 + f64::from(self.s.gateways) / 8.0;
        for e in self.engines.values_mut() {
            let among = work[home(e)] / may[home(e)].max(1.0);
            let part = |among: f64, part: f64| if among < 1.0 { (part / among).min(most) } else { 1.0 };
            e.part = if e.working { part(among, WORKED) } else { part(1.0 - among, 1.0 - WORKED) };
        }
    }

    /// A new engine, or one that has restarted. It gets little until it has answered: the list may be stale.
    fn meet(&mut self, now: f64, entry: &EndpointEntry) {
        let MachineType { cores, memory_mb } = self.s.machine_type(entry.machine_type);
        let feedback = Loop::new(now, cores, &self.loop_terms());
        let (limit, spread) = (Some(WELL / 4), 0.5 + fraction(self.rng.next_u32()));
        let health = Health { limit, last_answer: now, spread, ..Health::default() };
        let fresh = Engine {
            entry: entry.clone(),
            feedback,
            health,
            memory_mb,
            pace: (1.0, now),
            order: self.rng.next_u32() / if self.s.zone == Some(entry.zone) { 2 } else { 1 },
            ..Engine::default()
        };
        let old = self.engines.insert(entry.engine, fresh);
        if let (Some(old), Some(e)) = (old, self.engines.get_mut(&entry.engine)) {
            (e.threads, e.secondary, e.need_mb) = (old.threads, old.secondary, old.need_mb);
            (e.order, e.health.spell) = (old.order, old.health.spell + 1);
        }
    }

    /// RS, KI = P/(R n) and the start of C, for each core (4.8.5). Beyond n gateways each corrects its part.
    fn loop_terms(&self) -> LoopTerms {
        let gateways = f64::from(self.s.gateways);
        let gain = 1.0 / (self.light.max(1e-3) * STEPS.max(gateways));
        LoopTerms { objective: self.objective, gain, start: 1.0 / gateways }
    }

    fn arrived(&mut self, now: f64, request: &Request, actions: &mut Vec<Action>) {
        self.arrivals += 1;
        self.taken.push_back(now);
        let mean = &mut self.classes[request.class.0].work;
        let work = request.estimated_work.map_or(*mean, |work| work.min(HEAVY * *mean));
        let size = work / mean.max(1e-6);
        *mean += NEWEST * (work - *mean);
        if let Some(key) = request.key {
            self.keys.entry(key).or_default().order.push_back(request.id);
        }
        // The end is planned at once, whatever becomes of attempts, lists and other timers.
        let delay = (request.deadline - self.s.clock_resolution - now).max(0.0);
        actions.push(Action::SetTimer { delay, token: request.id.0 + 1, request: Some(request.id) });
        let (request, place) = (request.clone(), self.arrivals);
        self.held.insert(place, request.id);
        let (attempts, withdrawn, erred, may_have_run) = (0, false, None, None);
        let job = Job { request, arrived: now, place, size, attempts, withdrawn, erred, may_have_run };
        self.jobs.insert(job.request.id, job);
    }

    /// The final answer to one not served: refused where trying again is harmless, else failed.
    fn give_up(&mut self, id: RequestId, advises: bool, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let ran = !self.held.contains_key(&job.place) || job.may_have_run.is_some();
        if !ran || self.s.classes[job.request.class.0].idempotency.client_may_retry() {
            // Spread, so that clients do not come back in step.
            let wait = (0.5 + 0.5 * fraction(self.rng.next_u32())) * self.s.capabilities.max_retry_after;
            let retry_after = (advises && self.s.capabilities.retry_after).then_some(wait);
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.forget(id, actions);
    }

    /// The request is over; attempts that are still out are taken back, and waited for on their own.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.s.capabilities.cancels_attempts {
            let out = self.attempts.range((id, 0)..=(id, u32::MAX));
            actions
                .extend(out.map(|(which, _)| Action::CancelAttempt { request: which.0, attempt: which.1 }));
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        self.held.remove(&job.place);
        if let Some(line) = job.request.key.and_then(|k| self.keys.get_mut(&k)) {
            line.order.retain(|r| *r != id);
        }
    }

    fn ended(&mut self, now: f64, event: &Event, actions: &mut Vec<Action>) {
        let &Event::AttemptEnded { request: id, attempt, engine, outcome, request_settled: settled, .. } =
            event
        else {
            return;
        };
        let &Event::AttemptEnded {
            elapsed, may_still_run_for: may_run_for, cost, load_report: report, ..
        } = event
        else {
            return;
        };
        self.reported(now, engine, report.as_ref());
        let Some(attempt) = self.attempts.remove(&(id, attempt)) else { return };
        let may_run = outcome.may_still_run();
        if let Some(line) = attempt.request.key.and_then(|k| self.keys.get_mut(&k)) {
            line.out -= 1;
            if may_run {
                line.rest = Some((now + may_run_for + self.s.rules.key_cooldown, id));
            }
        }
        self.learn(now, &attempt, outcome, elapsed, cost);
        // An error is the engine's fault where another engine does better, and the request's where none does.
        let erred = self.jobs.get_mut(&id).and_then(|job| match outcome {
            Outcome::Error => job.erred.replace(engine),
            Outcome::Success => job.erred,
            _ => None,
        });
        let first = erred.filter(|first| *first != engine);
        if first.is_some() && outcome == Outcome::Error && !settled {
            actions.push(Action::Fail(id));
            return self.forget(id, actions);
        }
        if let Some(e) = first.and_then(|first| self.engines.get_mut(&first)) {
            e.health.strike(now, ERRED.1);
        }
        if settled {
            return self.forget(id, actions);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if (may_run || outcome == Outcome::Error) && job.may_have_run.is_none() {
            job.may_have_run = Some((attempt.engine, attempt.sent));
        }
        self.held.insert(job.place, id);
        if !self.another_may_follow(&self.jobs[&id], now) {
            self.give_up(id, false, actions);
        }
    }

    /// An attempt that rests its key until its end is known runs no longer than this.
    fn confirmed(&mut self, now: f64, key: KeyId, may_run_for: f64) {
        let Some(line) = self.keys.get_mut(&key) else { return };
        line.rest = line.rest.map(|(_, by)| (now + may_run_for + self.s.rules.key_cooldown, by));
    }

    /// News of an attempt. One that will take many times the usual is drawn anew, once a request:
    /// slow again it is truly heavy, and is given up if it cannot end in time.
    fn noted(&mut self, now: f64, which: (RequestId, u32), note: Progress, actions: &mut Vec<Action>) {
        let Some(a) = self.attempts.get_mut(&which) else { return };
        a.heard = now;
        a.noted = if note == Progress::Running { a.noted } else { now };
        // An engine that sends news is not silent, even where it answers this gateway nothing for long.
        if let Some(e) = self.engines.get_mut(&a.engine) {
            e.health.last_answer = now;
        }
        let (Progress::Fraction(share), engine, class) = (note, a.engine, a.request.class) else { return };
        let work = a.request.estimated_work.unwrap_or(0.0);
        let times = (now - a.sent) * f64::from(self.s.classes[class.0].threads) / (work * share);
        if share > TOLD {
            self.paced(now, engine, class, times);
        }
        let (Some(a), Some(job)) = (self.attempts.get(&which), self.jobs.get_mut(&which.0)) else { return };
        let age = now - a.sent;
        let left = age * (1.0 - share) / share.max(1e-3);
        // On an engine whose dashboards are slow all is slow, and a withdrawn attempt is work lost in a jam.
        let usual = (self.pooled.mean / self.light).max(1.0) * self.classes[class.0].latency;
        let may_cancel = self.s.capabilities.cancels_attempts
            && self.s.classes[class.0].idempotency == Idempotency::Idempotent;
        let hopeless = now + left > job.request.deadline + age;
        if may_cancel && job.withdrawn && hopeless {
            self.give_up(which.0, false, actions);
        } else if may_cancel && !job.withdrawn && left > RUNAWAY * usual {
            job.withdrawn = true;
            actions.push(Action::CancelAttempt { request: which.0, attempt: which.1 });
        }
    }

    /// Whether another attempt may follow, by number, effect, outcomes and time left; `may_send` says where.
    fn another_may_follow(&self, job: &Job, now: f64) -> bool {
        let most = self.s.capabilities.max_attempts;
        let repeatable = match (self.s.classes[job.request.class.0].idempotency, job.may_have_run) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NotIdempotent, Some(_)) => false,
            (Idempotency::Keyed { window, .. }, Some((_, sent))) => {
                now < sent + window - self.s.clock_resolution
            }
        };
        let in_time = now + self.least(job) <= job.request.deadline;
        repeatable && in_time && (most == 0 || job.attempts < most)
    }

    /// A load report: the one sight of what other gateways send. Figures that make no sense are skipped.
    fn reported(&mut self, now: f64, id: EngineId, report: Option<&LoadReport>) {
        let (Some(r), Some(e)) = (report, self.engines.get_mut(&id)) else { return };
        let filled = |queries: f64| e.filled_by(queries, self.pooled.width.max(1.0), self.pooled.memory_mb);
        let figures = [
            r.in_flight.map(filled),
            r.queued.filter(|q| *q >= 1.0).map(|q| 1.0 + filled(q)),
            r.core_utilization.map(|u| 0.9 * u),
            r.memory_utilization
                .map(|m| if self.s.on_memory_shortage == MemoryShortage::Spill { SPILLS * m } else { m }),
        ];
        let sane = figures.into_iter().flatten().filter(|f| (0.0..1e6).contains(f));
        let Some(fullness) = sane.reduce(f64::max).map(|f| f.min(3.0)) else { return };
        e.fullness = Some((fullness, now));
        self.pooled.told(fullness, NEWEST);
        self.pooled.reported = true;
    }

    /// Where no report tells how full engines are, secondary work does, by the times its work that it takes.
    fn paced(&mut self, now: f64, engine: EngineId, class: ClassId, times: f64) {
        let (view, Some(e)) = (&mut self.classes[class.0], self.engines.get_mut(&engine)) else { return };
        if view.dashboard || self.pooled.reported || !times.is_finite() {
            return;
        }
        let times = times * e.warmth(now, &self.s.rules);
        let newest = if view.times.0 > 0.0 { NEWEST } else { 1.0 };
        view.times.0 += newest * (times.min(HEAVY * view.times.0.max(1.0)) - view.times.0);
        view.times.1 = view.times.0.min(view.times.1 * 1.001);
        let fullness = (BAR / SLOW_FACTOR * times / view.times.1).min(2.0).min(self.pooled.full_at_most(e));
        // It tells seldom: by number alone the mean would stay for long behind a jam that is over.
        let since = now - std::mem::replace(&mut self.pooled.paced, now);
        self.pooled.told(fullness, NEWEST.max(1.0 - (-since / REPORT_LIFE).exp()));
        e.fullness = Some((fullness, now));
    }

    /// What an outcome tells of the engine and of the class.
    fn learn(
        &mut self,
        now: f64,
        attempt: &Attempt,
        outcome: Outcome,
        elapsed: f64,
        cost: Option<QueryCost>,
    ) {
        let (class, need_mb) = (attempt.request.class, attempt.request.estimated_memory_mb.unwrap_or(0.0));
        let threads = f64::from(self.s.classes[class.0].threads);
        if outcome == Outcome::Success {
            let work = cost.map_or(attempt.request.estimated_work.unwrap_or(0.0), |cost| cost.work);
            self.paced(now, attempt.engine, class, elapsed * threads / work);
        }
        let (terms, view) = (self.loop_terms(), &mut self.classes[class.0]);
        let Some(e) = self.engines.get_mut(&attempt.engine) else { return };
        e.threads -= threads;
        e.need_mb -= need_mb;
        self.pooled.need_mb -= need_mb;
        self.pooled.threads -= threads;
        if !attempt.dashboard {
            e.secondary -= threads;
            self.pooled.secondary -= threads;
            self.pooled.charge(threads * (elapsed - attempt.charged));
        }
        let in_spell = attempt.spell == e.health.spell;
        e.health.out_in_spell -= u32::from(in_spell);
        // An attempt waited for in vain counts as one that took so long; else only the lucky are seen.
        // One that stood still says nothing of how full the engine is.
        if matches!(outcome, Outcome::Success | Outcome::TimedOut | Outcome::Cancelled) && !attempt.stuck {
            // Cut short by a client that had little time left, it took longer than it was waited for.
            let cut = if outcome == Outcome::Success { 0.0 } else { 1.0 };
            let sample = (elapsed / view.latency.max(1e-6)).clamp(cut, 2.0 * SLOW_FACTOR);
            let pace = e.pace(now);
            e.pace = (pace + PACE_NEWEST * (sample - pace), now);
            if attempt.dashboard {
                let took = elapsed.max(cut * self.pooled.mean);
                e.feedback.completed += 1;
                e.feedback.latency_sum += took;
                self.pooled.mean += (took - self.pooled.mean) / f64::from(MIN_COMPLETIONS);
                self.pooled.heard = now;
            }
        }
        match outcome {
            Outcome::Success => {
                if !attempt.stuck {
                    e.note_stuck(now, 0.0);
                }
                view.latency += NEWEST * (elapsed - view.latency);
                if let Some(cost) = cost {
                    let newest = if view.memory_mb > 0.0 { NEWEST } else { 1.0 };
                    view.memory_mb += newest * (cost.memory_mb - view.memory_mb);
                    view.work += NEWEST * (cost.work - view.work);
                }
                e.health.success(now, in_spell);
            }
            Outcome::ConnectFailed => e.health.strike(now, 1.0),
            Outcome::ConnectionLost => e.health.strike(now, 0.5),
            Outcome::Error => e.health.strike(now, ERRED.0),
            // An engine that turns work away would draw all the more. It is full, not ill: no trial.
            Outcome::Rejected => {
                e.health.rest = (2.0 * e.health.rest).clamp(FULL_REST, PAUSE.1);
                e.health.out_until = e.health.out_until.max(now + e.health.rest * e.health.spread);
                e.fullness = Some((2.0, now));
            }
            // A time-out may be a load in the way; a hang shows as silence.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => {}
        }
        e.feedback.close(now, &self.pooled, self.pooled.fullness(e, now), &terms);
    }

    /// What no event announces: intervals ended by the clock, silent engines, requests held too long.
    fn look(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.pooled.looks = false;
        let (mean, terms) = (self.pooled.mean, self.loop_terms());
        for e in self.engines.values_mut() {
            e.feedback.close(now, &self.pooled, self.pooled.fullness(e, now), &terms);
        }
        self.light = mean.min(self.light * 1.001).min(self.objective);
        if !self.attempts.is_empty() {
            let (out, p) = (self.attempts.len() as f64, &mut self.pooled);
            p.width += NEWEST * (p.threads / out - p.width);
            let memory: f64 = self.attempts.values().map(|a| self.classes[a.request.class.0].memory_mb).sum();
            p.memory_mb += NEWEST * (memory / out - p.memory_mb);
        }
        self.count_pool(now);
        // Silence: an attempt is out for long and its engine has answered nothing since it was sent.
        for ((id, number), a) in &mut self.attempts {
            let (at, may) = (a.request.class.0, &self.s.capabilities);
            let (class, view) = (&self.s.classes[at], &self.classes[at]);
            let patience = if view.dashboard { SILENT * view.latency } else { 2.0 * class.latency_objective };
            let patience = patience
                .clamp(0.5 * self.objective, (2.0 * class.latency_objective).max(0.5 * self.objective));
            // Where news come, an attempt with none is over and its answer lost. Harmful where news get lost.
            let silent =
                now - a.heard > LOST.0 * may.progress_period || now - a.noted > LOST.1 * may.progress_period;
            let lost = may.progress_period > 0.0 && silent;
            // Out for longer than it was charged for, it is charged as it goes.
            let over = now - a.sent - a.charged;
            if !a.dashboard && !a.stuck && over > 0.0 {
                self.pooled.charge(f64::from(class.threads) * over);
                a.charged += over;
            }
            let Some(e) = self.engines.get_mut(&a.engine) else { continue };
            let job = self
                .jobs
                .get_mut(id)
                .filter(|_| may.cancels_attempts && class.idempotency == Idempotency::Idempotent);
            let untried = job.as_ref().is_some_and(|job| !job.withdrawn);
            // Some stand still while others beside them run well: drawn anew, most of them end in time.
            let stuck = untried && e.health.last_answer > a.sent && now - a.noted > STUCK * a.due;
            if (lost || stuck) && !a.stuck {
                a.stuck = true;
                e.note_stuck(now, 1.0);
            }
            if let Some(job) = job.filter(|_| lost || stuck) {
                job.withdrawn |= stuck;
                actions.push(Action::CancelAttempt { request: *id, attempt: *number });
            }
            // Out for long, it tells of a slow engine before it ends, as a load in the way may do too.
            if view.dashboard && !untried && now - a.sent > 2.0 * SLOW_FACTOR * view.latency {
                e.pace = (e.pace(now).max(1.2 * SLOW_FACTOR), now);
            }
            if a.spell == e.health.spell && a.sent >= e.health.last_answer && now - a.sent > patience {
                e.health.strike(now, 1.0);
            }
        }
        let rests = |l: &KeyLine| l.rest.is_some_and(|(until, _)| now < until);
        self.keys.retain(|_, l| !l.order.is_empty() || l.out > 0 || rests(l));
        let late = |job: &Job| now - job.arrived > self.patience(job.request.class) || self.is_hurried(job);
        let overdue = |id: &&RequestId| late(&self.jobs[id]) || !self.another_may_follow(&self.jobs[id], now);
        let overdue: Vec<RequestId> = self.held.values().filter(overdue).copied().collect();
        for id in overdue {
            explain::held_in_vain(self, id, now);
            self.give_up(id, true, actions);
        }
    }

    /// What an attempt of this request takes at the least, by what those of its class take now. Half of its
    /// class's deadline is always enough: what is never sent would never show that it can be served.
    fn least(&self, job: &Job) -> f64 {
        let (c, view) = (&self.s.classes[job.request.class.0], &self.classes[job.request.class.0]);
        let jam = (self.pooled.mean / self.light).max(1.0);
        (jam * view.latency * job.size.min(1.0)).min(0.5 * c.deadline)
    }

    /// How long a request of this class may be held and still be answered within its aim.
    fn patience(&self, class: ClassId) -> f64 {
        let (c, view) = (&self.s.classes[class.0], &self.classes[class.0]);
        let aim = c.latency_objective + c.objective_stretch * view.work / f64::from(c.threads);
        (if view.dashboard { PATIENCE.0 } else { PATIENCE.1 })
            * (aim - view.latency).max(0.3 * c.latency_objective)
    }

    /// Whether it came with little time left: one in order is then sent at once, or makes room in its line.
    fn is_hurried(&self, job: &Job) -> bool {
        let deadline = self.s.classes[job.request.class.0].deadline;
        job.request.key.is_some() && job.request.deadline - job.arrived < 0.5 * deadline
    }

    /// Sends what may leave, oldest first; one that is stopped blocks only those of its class with its need.
    fn release(&mut self, now: f64, actions: &mut Vec<Action>) {
        // By class and what is borne: the engines that admit it till the next send, the least need unmet.
        let mut admitting: Vec<[Option<Vec<EngineId>>; 2]> = vec![[None, None]; 2 * self.classes.len()];
        let mut full = vec![f64::INFINITY; 2 * self.classes.len()];
        let has_turn = |id: &RequestId| self.has_turn(&self.jobs[id].request, now);
        let held: Vec<RequestId> = self.held.values().copied().filter(has_turn).collect();
        for id in held {
            let job = &self.jobs[&id];
            let (class, need_mb) = (job.request.class, job.request.estimated_memory_mb.unwrap_or(0.0));
            let borne = self.is_borne(job);
            let kind = 2 * class.0 + usize::from(borne);
            if need_mb >= full[kind] || !self.has_turn(&job.request, now) {
                continue;
            }
            let (mut chosen, mut blocked) = (None, 0.0_f64);
            for (cached, working) in admitting[kind].iter_mut().zip([true, false]) {
                let mut roomy =
                    cached.get_or_insert_with(|| self.admitting(class, borne, working, now)).clone();
                let admitted = !roomy.is_empty();
                roomy.retain(|e| self.has_memory(class, need_mb, &self.engines[e]));
                let least = if roomy.is_empty() { need_mb } else { f64::INFINITY };
                blocked = blocked.max(if admitted { least } else { 0.0 });
                chosen = self.choose(id, &roomy, now);
                if chosen.is_some() {
                    break;
                }
            }
            full[kind] = full[kind].min(blocked);
            if let Some(engine) = chosen {
                self.send(now, id, engine, actions);
                admitting.fill([None, None]);
            }
        }
    }

    /// Whether the pool bears it: one of the usual size while nothing is owed, a larger one out of what is
    /// saved up, a smaller one out of what comes. What is short goes to many small ones before one large.
    fn is_borne(&self, job: &Job) -> bool {
        let (c, view) = (&self.s.classes[job.request.class.0], &self.classes[job.request.class.0]);
        let usual = f64::from(c.threads) * view.latency;
        self.pooled.debt <= (THRIFT * usual * (1.0 - job.size)).max(-0.9 * SAVED * self.pooled.sum_c)
    }

    /// The engines that take a request of this class now, of those worked with or of the others.
    fn admitting(&self, class: ClassId, borne: bool, working: bool, now: f64) -> Vec<EngineId> {
        let admits = |e: &Engine| e.working == working && self.admits(e, class, borne, now);
        self.engines.iter().filter(|(_, e)| admits(e)).map(|(id, _)| *id).collect()
    }

    /// Whether an engine takes a request of this class now: placement, health, cold start and, for secondary
    /// work, the threshold and the bar (of reports only: a bar told by secondary work itself never lifts).
    /// A request wider than C still goes where this gateway has no secondary work.
    fn admits(&self, e: &Engine, class: ClassId, borne: bool, now: f64) -> bool {
        let (c, view) = (&self.s.classes[class.0], &self.classes[class.0]);
        let threshold = (e.feedback.threshold + 0.5).floor().max(1.0) * e.warmth(now, &self.s.rules);
        let p = &self.pooled;
        // While all are full by their reports, dashboards too pass a jam only halfway.
        let jam = if p.fullness.is_some_and(|f| f > BAR) { 0.5 * JAM } else { JAM };
        let jam = |cores: f64| (jam * cores / f64::from(self.s.gateways)).max(1.0);
        e.entry.state == EndpointState::Ready
            && c.allowed_machine_types.as_ref().is_none_or(|k| k.contains(&e.entry.machine_type))
            && c.allowed_zones.as_ref().is_none_or(|z| z.contains(&e.entry.zone))
            && e.health.admits(now)
            && e.cold_budget_admits(now, view, c, &self.s)
            && if view.dashboard {
                e.threads - e.secondary < jam(e.feedback.cores) && p.threads - p.secondary < jam(p.cores)
            } else {
                (e.secondary + f64::from(c.threads) <= threshold || (e.secondary == 0.0 && borne))
                    && (!p.reported || p.fullness(e, now) < BAR)
            }
    }

    /// Dashboards: the fewest of this gateway's threads a core. Secondary work: the most room under C. Where
    /// an own load holds what it reads comes last; ties stay in zone.
    fn choose(&mut self, id: RequestId, open: &[EngineId], now: f64) -> Option<EngineId> {
        let mut best: Option<((bool, f64, f64), EngineId)> = None;
        let (class, group) = (self.jobs[&id].request.class, self.jobs[&id].request.table_group);
        let (c, dashboard) = (&self.s.classes[class.0], self.classes[class.0].dashboard);
        let waits = (c.waits_for_loads || c.is_load) && group.is_some();
        let loads =
            |a: &&Attempt| a.request.table_group == group && self.s.classes[a.request.class.0].is_load;
        let attempts = self.attempts.values().take(if waits { usize::MAX } else { 0 });
        let held_on: Vec<EngineId> = attempts.filter(loads).map(|a| a.engine).collect();
        for engine in open {
            let chance = BLUR * fraction(self.rng.next_u32());
            if !self.may_send(&self.jobs[&id], *engine, now) {
                continue;
            }
            let e = &self.engines[engine];
            let stands = held_on.contains(engine) || self.jobs[&id].erred == Some(*engine);
            let (cores, standing) = (e.feedback.cores, STANDS.0 * (e.stuck(now) - STANDS.1).max(0.0));
            let own = if dashboard { e.threads / cores } else { e.secondary - e.feedback.threshold };
            let filled = own + standing * if dashboard { 1.0 } else { cores };
            let away = if self.s.zone.is_some_and(|z| z != e.entry.zone) { HOME } else { 0.0 };
            let last = self.pooled.fullness(e, now) + e.pace(now) / self.pooled.pace + away + chance;
            if best.is_none_or(|(b, _)| (stands, filled, last) < b) {
                best = Some(((stands, filled, last), *engine));
            }
        }
        best.map(|(_, engine)| engine)
    }

    /// Whether secondary work finds its memory in this gateway's share of the engine. What is too large for
    /// one goes where it is alone while all shares bear it, or nothing is out. More gateways leave less over.
    fn has_memory(&self, class: ClassId, need_mb: f64, e: &Engine) -> bool {
        let (n, p) = (f64::from(self.s.gateways), &self.pooled);
        let share = (1.0 - (1.0 - MEMORY) / n) * e.memory_mb / n;
        let alone = e.secondary == 0.0 && (p.secondary == 0.0 || p.need_mb + need_mb <= p.room_mb);
        self.classes[class.0].dashboard || share <= 0.0 || alone || e.need_mb + need_mb <= share
    }

    /// Whether it is first of its key, and no attempt of the key is out or might still run.
    fn has_turn(&self, request: &Request, now: f64) -> bool {
        let rests = |line: &KeyLine| line.rest.is_some_and(|(until, by)| by != request.id && now < until);
        let line = request.key.and_then(|key| self.keys.get(&key));
        line.is_none_or(|line| line.order.front() == Some(&request.id) && line.out == 0 && !rests(line))
    }

    /// The rules that bind a send: drain, effect, number and budget of attempts.
    fn may_send(&self, job: &Job, engine: EngineId, now: f64) -> bool {
        let e = &self.engines[&engine].entry;
        let first = job.may_have_run.map(|(first, _)| self.engines.get(&first).map(|f| &f.entry));
        let in_group = match (self.s.classes[job.request.class.0].idempotency, first) {
            (Idempotency::Keyed { scope: IdempotencyScope::Zone, .. }, Some(f)) => {
                f.is_some_and(|f| e.zone == f.zone)
            }
            (Idempotency::Keyed { scope: IdempotencyScope::Cell, .. }, Some(f)) => {
                f.is_some_and(|f| e.cell == f.cell)
            }
            _ => true,
        };
        let in_budget = job.attempts == 0
            || self.s.rules.retry_budget.is_none_or(|b| {
                let within = |q: &VecDeque<f64>, from: f64| q.iter().filter(|at| **at > from).count() as f64;
                // Counted for our disadvantage at the edge of the window.
                let edge = now - b.window;
                within(&self.extra, edge - self.s.clock_resolution) + 1.0
                    <= b.min_retries + b.retry_ratio * within(&self.taken, edge)
            });
        let may_follow = e.state == EndpointState::Ready && self.another_may_follow(job, now);
        may_follow && in_group && in_budget
    }

    /// The one place where anything is sent.
    fn send(&mut self, now: f64, id: RequestId, engine: EngineId, actions: &mut Vec<Action>) {
        let (Some(job), Some(e)) = (self.jobs.get_mut(&id), self.engines.get_mut(&engine)) else { return };
        let class = &self.s.classes[job.request.class.0];
        let view = &self.classes[job.request.class.0];
        self.held.remove(&job.place);
        let need_mb = job.request.estimated_memory_mb.unwrap_or(0.0);
        let attempt = Attempt {
            request: job.request.clone(),
            dashboard: view.dashboard,
            engine,
            sent: now,
            heard: now,
            noted: now,
            stuck: false,
            spell: e.health.spell,
            due: view.latency * job.size.max(0.5) / e.warmth(now, &self.s.rules),
            charged: view.latency * job.size,
        };
        e.need_mb += need_mb;
        self.pooled.need_mb += need_mb;
        self.attempts.insert((id, job.attempts), attempt);
        job.attempts += 1;
        self.extra.extend((job.attempts > 1).then_some(now));
        if let Some(line) = job.request.key.and_then(|k| self.keys.get_mut(&k)) {
            line.out += 1;
        }
        let threads = f64::from(class.threads);
        e.threads += threads;
        let more = e.filled_by(1.0, threads, view.memory_mb);
        e.fullness = e.fullness.map(|(f, at)| (f + more, at));
        self.pooled.threads += threads;
        if !view.dashboard {
            e.secondary += threads;
            e.feedback.used = e.feedback.used.max(e.secondary);
            self.pooled.secondary += threads;
            self.pooled.debt += threads * view.latency * job.size;
        }
        e.health.out_in_spell += 1;
        if e.entry.started_at.is_some_and(|at| now < at + self.s.rules.slow_start_duration) {
            e.cold_sends.push_back((now, view.weight(class), view.dashboard));
        }
        if self.s.capabilities.priorities {
            let priority = if view.dashboard { 3 } else { 1 };
            actions.push(Action::SetAttemptTerms { request: id, memory_mb: 0.0, priority });
        }
        actions.push(Action::Forward { request: id, engine, timeout: None });
        let kept = now - 2.0 * self.s.rules.retry_budget.map_or(0.0, |b| b.window);
        for times in [&mut self.taken, &mut self.extra] {
            times.drain(..times.partition_point(|at| *at < kept));
        }
    }
}
