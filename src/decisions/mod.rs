//! The decisions of one gateway: what is admitted, which engine gets it, when it is retried and when it is
//! rejected.
//!
//! [`WorkloadManager`] takes events and returns actions; it knows no I/O and no clock. The same settings,
//! seed and events give the same actions. The ordinary way of a request is in `request_path`; each rule on
//! that way has a module:
//!
//! | question | module |
//! | --- | --- |
//! | Which classes are interactive? | `classification` |
//! | What is usual for a class? | `class_profile` |
//! | How much background work may an engine have? | `concurrency_limit`, by `interactive_latency` |
//! | And all engines together, over time? | `token_bucket` |
//! | How utilized is an engine? | `load_estimate` |
//! | How slow is it? | `relative_latency` |
//! | Is it at fault? | `outlier` |
//! | Is it warming up? | `slow_start` |
//! | Which engines are preferred? | `active_subset` |
//! | Which requests leave the queue first? | `request_path`, `release` |
//! | May a request go to an engine? | `admission` |
//! | Which of those engines gets it? | `selection` |
//! | Whose turn is it among requests of a key? | `order_by_key` |
//! | Does an attempt lack progress reports, or is it stalled? | `supervision` |
//! | What does an attempt's end tell? | `outcome` |
//! | May another attempt follow? | `retry` |
//! | When is a request given up, and with which answer? | `shedding` |
//! | What happens without an event? | `control_tick` |
//!
//! Times and durations are seconds as `f64`. What departs from the thesis on which the concurrency limit
//! rests is listed in `docs/design.md`.

mod active_subset;
mod admission;
mod class_profile;
mod classification;
mod concurrency_limit;
mod control_tick;
mod endpoint_list;
mod engine;
mod explain;
mod fleet;
mod interactive_latency;
mod load_estimate;
mod order_by_key;
mod outcome;
mod outlier;
mod relative_latency;
mod release;
mod request_path;
mod retry;
mod selection;
mod shedding;
mod slow_start;
mod smoothing;
mod supervision;
mod token_bucket;

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    Action, Class, ClassId, ClassOrigin, EndpointState, EngineId, Event, LoadReportSource, RequestId,
    Settings, SettingsChange, SettingsError,
};

use class_profile::ClassProfile;
use classification::interactive_classes;
use concurrency_limit::ControllerTerms;
use control_tick::Ticks;
use engine::Engine;
use fleet::Fleet;
use interactive_latency::InteractiveLatency;
use load_estimate::LoadEstimate;
use order_by_key::KeyQueues;
use outcome::AttemptEnd;
use request_path::{PendingRequest, Queue};
use retry::RetryHistory;
use supervision::{Attempt, AttemptId};
use token_bucket::TokenBucket;

/// Tokens of timers. All others are deadlines of requests; see [`deadline_token`].
const CONTROL_TICK_TOKEN: u64 = 0;
const POLL_LIST_TOKEN: u64 = u64::MAX;

/// The token of the timer at a request's deadline.
fn deadline_token(request: RequestId) -> u64 {
    request.0 + 1
}

/// The request whose deadline a timer's token stands for.
fn request_of_token(token: u64) -> RequestId {
    RequestId(token - 1)
}

/// A random draw as a number from 0 to 1.
fn unit_interval(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}

/// The decisions of one gateway. Feed it events with [`WorkloadManager::on_event`] and carry out its
/// actions in order.
pub struct WorkloadManager {
    settings: Settings,
    rng: Pcg32,
    /// One for each class of the settings.
    profiles: Vec<ClassProfile>,
    latency: InteractiveLatency,
    load: LoadEstimate,
    tokens: TokenBucket,
    fleet: Fleet,
    ticks: Ticks,
    engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, PendingRequest>,
    attempts: BTreeMap<AttemptId, Attempt>,
    queue: Queue,
    /// Requests that have arrived.
    arrivals: u64,
    key_queues: KeyQueues,
    retry_history: RetryHistory,
}

impl WorkloadManager {
    /// A gateway that has just started and knows nothing but its settings.
    ///
    /// # Errors
    /// Settings that no gateway could act on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let origins = vec![ClassOrigin::New; settings.classes.len()];
        let mut manager = Self {
            settings: settings.clone(),
            rng: Pcg32::seed_from_u64(seed),
            profiles: Vec::new(),
            latency: InteractiveLatency::new(),
            load: LoadEstimate::default(),
            tokens: TokenBucket::default(),
            fleet: Fleet::new(),
            ticks: Ticks::default(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: Queue::new(),
            arrivals: 0,
            key_queues: KeyQueues::default(),
            retry_history: RetryHistory::default(),
        };
        manager.reconfigure(SettingsChange { settings, origins })?;
        manager.latency.mean_seconds = manager.latency.objective_seconds;
        Ok(manager)
    }

    /// Takes over other settings between two events. What was learned stays, as do the classes of requests.
    ///
    /// # Errors
    /// Settings that no gateway could act on: the old ones stay.
    pub fn reconfigure(&mut self, change: SettingsChange) -> Result<(), SettingsError> {
        change.check(self.profiles.len())?;
        let old_terms = self.controller_terms();
        self.profiles = self.profiles_after(&change);
        self.settings = change.settings;
        let classes = self.settings.classes.iter().zip(&self.profiles);
        let interactive = classes.filter(|(_, profile)| profile.interactive);
        self.latency.set_objective(interactive.map(|(class, _)| class.latency_objective));
        self.load.bounded_by_own_threads =
            self.settings.capabilities.load_reports != LoadReportSource::Responses;
        let new_terms = self.controller_terms();
        for engine in self.engines.values_mut() {
            let machine_type = self.settings.machine_type(engine.entry.machine_type);
            engine.memory_mb = machine_type.memory_mb;
            engine.limit.rescale(machine_type.cores, &old_terms, &new_terms);
        }
        Ok(())
    }

    /// Takes one event at the time `now`, in seconds; what is to be done about it is added to `actions`.
    pub fn on_event(&mut self, now: f64, event: &Event, actions: &mut Vec<Action>) {
        self.start_at_first_event(now, actions);
        self.tokens.refill(now, self.load.mean_utilization);
        self.dispatch(now, event, actions);
        self.release_queued(now, actions);
        self.schedule_control_tick(now, actions);
    }

    fn dispatch(&mut self, now: f64, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { mode, entries } => self.on_endpoint_list(now, *mode, entries, actions),
            Event::RequestArrived(request) => self.on_request_arrived(now, request, actions),
            Event::AttemptEnded { .. } => {
                if let Some(end) = AttemptEnd::of(event) {
                    self.on_attempt_ended(now, &end, actions);
                }
            }
            Event::AttemptEndConfirmed { key, may_still_run_for } => {
                let until = self.cooldown_end(now, *may_still_run_for);
                self.key_queues.set_cooldown_end(*key, until);
            }
            Event::AttemptProgress { request, attempt, progress } => {
                let id = AttemptId { request: *request, number: *attempt };
                self.on_progress(now, id, *progress, actions);
            }
            Event::HealthChecked { engine, load_report, .. } => {
                self.on_load_report(now, *engine, load_report.as_ref());
            }
            Event::RequestAborted(id) => self.forget_request(*id, actions),
            Event::Timer(CONTROL_TICK_TOKEN) => self.on_control_tick(now, actions),
            Event::Timer(POLL_LIST_TOKEN) => actions.push(Action::WatchEndpointList),
            Event::Timer(token) => self.give_up(request_of_token(*token), false, actions),
            Event::StreamStarted { .. } => {}
        }
    }

    /// At the first event the endpoint list is asked for, where it has to be.
    fn start_at_first_event(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.ticks.started_at.is_none() {
            self.ticks.started_at = Some(now);
            if self.settings.capabilities.polls_endpoint_list {
                actions.push(Action::WatchEndpointList);
            }
        }
    }

    /// The profiles of the classes of other settings: what was learned of a class goes to the one that
    /// follows it.
    fn profiles_after(&self, change: &SettingsChange) -> Vec<ClassProfile> {
        let interactive = interactive_classes(change);
        let classes = change.settings.classes.iter().zip(&change.origins).zip(interactive);
        let profile = |(at, ((class, origin), interactive)): (usize, ((&Class, &ClassOrigin), bool))| {
            let learned = origin.learned_from(ClassId(at)).map(|from| self.profiles[from.0].clone());
            let mut profile = learned.unwrap_or_else(|| ClassProfile::new(class, &change.settings));
            profile.interactive = interactive;
            profile
        };
        classes.enumerate().map(profile).collect()
    }

    fn controller_terms(&self) -> ControllerTerms {
        self.latency.controller_terms(self.settings.gateways)
    }

    fn next_draw(&mut self) -> u32 {
        self.rng.next_u32()
    }

    /// How many engines are remembered.
    pub fn engines_known(&self) -> usize {
        self.engines.len()
    }

    /// Keys with a request queued or in flight, or cooling down as of the last control tick.
    pub fn keys_in_use(&self) -> usize {
        self.key_queues.len()
    }

    /// How many engines of the list get nothing new at the time `now`, in seconds: they drain, are ejected,
    /// or rest as they are full.
    pub fn engines_avoided(&self, now: f64) -> usize {
        let is_avoided = |engine: &&Engine| match engine.entry.state {
            EndpointState::Ready => engine.health.is_paused(now),
            EndpointState::Draining => true,
            EndpointState::Removed => false,
        };
        self.engines.values().filter(is_avoided).count()
    }
}
