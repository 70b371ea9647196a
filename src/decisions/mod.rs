//! The decisions of one gateway: admission of requests, selection of engines, retries and load shedding.
//!
//! [`WorkloadManager`] takes events and returns actions. It does no I/O and reads no clock: the same
//! settings, seed and events give the same actions. `request_path` implements the life cycle of a request,
//! from its arrival to its final answer. Each rule has a module:
//!
//! | subject | module |
//! | --- | --- |
//! | Interactive classes and background work | `classification` |
//! | Mean work, latency and memory of a class | `class_profile` |
//! | Limit on background work at an engine | `concurrency_limit`, by `interactive_latency` |
//! | Limit on background work at all engines, over time | `token_bucket` |
//! | Utilization of an engine | `load_estimate` |
//! | Relative slowness of an engine | `relative_latency` |
//! | Faults and ejection of an engine | `outlier` |
//! | Capacity of an engine after its start | `slow_start` |
//! | Preferred engines | `active_subset` |
//! | Order in which requests leave the queue | `request_path`, `release` |
//! | Engines that a request may be sent to | `admission` |
//! | Choice among these engines | `selection` |
//! | Order of requests with the same key | `order_by_key` |
//! | Attempts that stall or lack progress reports | `supervision` |
//! | Statistics taken from the end of an attempt | `outcome` |
//! | Retries and their budget | `retry` |
//! | Requests that are given up, and their answers | `shedding` |
//! | Periodic work | `control_tick` |
//! | Engines that are added, changed or removed | `endpoint_list` |
//! | Capacity of all engines, and its use | `fleet` |
//! | State of one engine | `engine` |
//! | Moving averages and decay | `smoothing` |
//! | Debug log of shed requests | `explain` |
//!
//! Times and durations are in seconds as `f64`. The concurrency limit is based on a thesis, and
//! `docs/design.md` lists the differences.

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

/// Reserved timer tokens. All others stand for deadlines of requests, see [`deadline_token`].
const CONTROL_TICK_TOKEN: u64 = 0;
const POLL_LIST_TOKEN: u64 = u64::MAX;

/// Token of the timer at a request's deadline.
fn deadline_token(request: RequestId) -> u64 {
    request.0 + 1
}

/// Request whose deadline a timer's token stands for. Inverse of [`deadline_token`].
fn request_of_token(token: u64) -> RequestId {
    RequestId(token - 1)
}

/// Maps a random draw to the range from 0 to 1, both inclusive.
fn unit_interval(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}

/// The decisions of one gateway. Pass each event to [`WorkloadManager::on_event`] and carry out the returned
/// actions in order.
pub struct WorkloadManager {
    settings: Settings,
    rng: Pcg32,
    /// Statistics of the classes, in the order of the settings.
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
    /// Number of requests that have arrived.
    arrivals: u64,
    key_queues: KeyQueues,
    retry_history: RetryHistory,
}

impl WorkloadManager {
    /// Creates the workload manager of a gateway that has just started. `seed` determines its random draws.
    ///
    /// # Errors
    /// The settings are invalid, see [`Settings::check`].
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

    /// Applies new settings between two events. Statistics are kept, and requests keep their classes.
    ///
    /// # Errors
    /// The new settings are invalid, see [`SettingsChange::check`]. The old ones stay in force.
    pub fn reconfigure(&mut self, change: SettingsChange) -> Result<(), SettingsError> {
        change.check(self.profiles.len())?;
        let old_terms = self.controller_terms();
        self.profiles = self.profiles_for(&change);
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

    /// Handles an event at the time `now`, in seconds, and appends the resulting actions to `actions`.
    ///
    /// # Panics
    /// The class of a request that arrives is not in the settings.
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
                if let Some(end) = AttemptEnd::from_event(event) {
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
            Event::RequestAborted(id) => self.remove_request(*id, actions),
            Event::Timer(CONTROL_TICK_TOKEN) => self.on_control_tick(now, actions),
            Event::Timer(POLL_LIST_TOKEN) => actions.push(Action::WatchEndpointList),
            Event::Timer(token) => self.give_up(request_of_token(*token), false, actions),
            Event::StreamStarted { .. } => {}
        }
    }

    /// Records the time of the first event, and polls the endpoint list if the deployment requires that.
    fn start_at_first_event(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.ticks.started_at.is_none() {
            self.ticks.started_at = Some(now);
            if self.settings.capabilities.polls_endpoint_list {
                actions.push(Action::WatchEndpointList);
            }
        }
    }

    /// Profiles for the classes of new settings. A class takes over the statistics of the class that it
    /// originates from.
    fn profiles_for(&self, change: &SettingsChange) -> Vec<ClassProfile> {
        let interactive = interactive_classes(change);
        let classes = change.settings.classes.iter().zip(&change.origins).zip(interactive);
        let profile = |(at, ((class, origin), interactive)): (usize, ((&Class, &ClassOrigin), bool))| {
            let earlier = origin.previous_class(ClassId(at)).map(|from| self.profiles[from.0].clone());
            let mut profile = earlier.unwrap_or_else(|| ClassProfile::new(class, &change.settings));
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

    /// Number of engines in the list, or removed from it with attempts in flight as of the last control tick.
    pub fn engines_known(&self) -> usize {
        self.engines.len()
    }

    /// Number of order keys with a request queued or in flight, or in cooldown as of the last control tick.
    pub fn keys_in_use(&self) -> usize {
        self.key_queues.len()
    }

    /// Number of listed engines that get no new attempts at the time `now`, in seconds, because they are
    /// draining, ejected, or backed off after a rejection.
    pub fn engines_excluded(&self, now: f64) -> usize {
        let is_excluded = |engine: &&Engine| match engine.entry.state {
            EndpointState::Ready => engine.health.is_backed_off(now),
            EndpointState::Draining => true,
            EndpointState::Removed => false,
        };
        self.engines.values().filter(is_excluded).count()
    }
}
