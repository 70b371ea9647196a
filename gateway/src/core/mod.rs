//! The core of a gateway: open requests, attempts in flight, deadlines, and the one final answer of each request.
//!
//! The core connects the front ends and engine connections, which do I/O, with the [`WorkloadManager`], which makes
//! the decisions. The event loop collects [`Input`]s, passes them to [`Core::turn`] with the current time, and executes
//! the returned [`Command`]s. Without input, it calls [`Core::turn`] again at [`Core::next_timer_us`]. The core does no
//! I/O, implements no protocol and reads no clock: times are whole microseconds of the caller's clock.
//!
//! Invariants, whatever actions the workload manager returns:
//!
//! - A request gets one final answer, or none if its client leaves first (`requests`). It is given at the latest in the
//!   first turn at or after the client's deadline minus `CLIENT_DEADLINE_MARGIN_US` (`rules`).
//! - A request never has two attempts in flight, and a lost attempt is never followed by another (`attempts`).
//! - A request is rejected only where a retry by its client is safe (`rules`).
//! - Requests of one order key reach the workload manager only while this process holds the key's lease (`order_keys`).

mod attempts;
mod command;
mod input;
mod key_leases;
mod order_keys;
mod requests;
mod rules;
mod time;
mod timers;

pub use attempts::AttemptId;
pub use command::{AttemptLimits, AttemptTerms, Command};
pub use input::{Input, NewRequest, PeerProcessEvent};
pub use key_leases::PeerProcessId;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use workload_manager::{
    Action, ClassId, EndpointEntry, EndpointListMode, EndpointState, EngineId, Event, KeyId, RequestId,
    Settings, SettingsChange, SettingsError, WorkloadManager,
};

use crate::timer_lag::TimerLag;
use attempts::{InFlightAttempts, MayRunUntil};
use key_leases::{KeyLeases, LeaseEffect};
use requests::{OpenRequest, Unserved};
use rules::RequestRules;
use time::{micros, seconds};
use timers::Timers;

/// Requests, attempts and order keys of one gateway process, and its workload manager.
pub struct Core {
    workload_manager: WorkloadManager,
    rules: RequestRules,
    endpoint_states: BTreeMap<EngineId, EndpointState>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    in_flight: InFlightAttempts,
    /// Order keys of attempts that the gateway has given up and that an engine may still run for an unknown time.
    unconfirmed_attempts: BTreeMap<AttemptId, KeyId>,
    leases: KeyLeases,
    /// Lease effects that have not been carried out yet.
    lease_effects: Vec<LeaseEffect>,
    timers: Timers,
    /// Events that have not been passed to the workload manager yet.
    events: VecDeque<Event>,
    /// Buffer for the actions of one event. Empty between calls; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Core {
    /// Creates a core with a new workload manager. `seed` initializes the workload manager's random numbers.
    ///
    /// # Errors
    /// The settings are invalid, see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            rules: RequestRules::new(&settings),
            workload_manager: WorkloadManager::new(settings, seed)?,
            endpoint_states: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            in_flight: InFlightAttempts::default(),
            unconfirmed_attempts: BTreeMap::new(),
            leases: KeyLeases::default(),
            lease_effects: Vec::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// Applies changed settings. Open requests and attempts in flight keep their class, and order keys keep their
    /// leases. Settings that belong to no class apply to all requests immediately.
    ///
    /// # Errors
    /// The settings are invalid, see [`SettingsChange::check`]. The previous settings stay in force.
    pub fn reconfigure(&mut self, change: SettingsChange) -> Result<(), SettingsError> {
        let rules = RequestRules::new(&change.settings);
        self.workload_manager.reconfigure(change)?;
        self.rules = rules;
        Ok(())
    }

    /// The classes of open requests and of attempts in flight.
    pub fn classes_in_use(&self) -> BTreeSet<ClassId> {
        let open = self.open_requests.values().map(|open| open.class);
        open.chain(self.in_flight.iter().map(|attempt| attempt.class)).collect()
    }

    /// Number of requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of engines of the endpoint list that receive no new attempts: draining, ejected, or backing off after a
    /// rejected attempt.
    pub fn engines_excluded(&self, now_us: u64) -> usize {
        self.workload_manager.engines_excluded(seconds(now_us))
    }

    /// Time of the next call of [`Core::turn`] without input, in microseconds. `None`: no timer is armed.
    pub fn next_timer_us(&self) -> Option<u64> {
        self.timers.next_us()
    }

    /// Delays with which the core's timers have fired.
    pub fn timer_lag(&self) -> &TimerLag {
        self.timers.lag()
    }

    /// Number of armed timers: one for each open request, one for each attempt with a timeout that has not passed, and
    /// the timers of key cooldowns and of the workload manager.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Removes and handles all inputs in order, then the timers that are due. The workload manager's actions for one
    /// input or timer are carried out before the next one is handled. The commands that result are appended to
    /// `commands`.
    pub fn turn(&mut self, now_us: u64, inputs: &mut Vec<Input>, commands: &mut Vec<Command>) {
        for input in inputs.drain(..) {
            self.on_input(now_us, input, commands);
            self.run_workload_manager(now_us, commands);
        }
        while let Some(timer) = self.timers.pop(now_us) {
            self.on_timer(now_us, timer, commands);
            self.run_workload_manager(now_us, commands);
        }
    }

    fn on_input(&mut self, now_us: u64, input: Input, commands: &mut Vec<Command>) {
        match input {
            Input::EndpointList { mode, entries } => self.on_endpoint_list(mode, entries),
            Input::RequestArrived { id, request } => self.on_request_arrived(now_us, id, request),
            Input::AttemptEnded { attempt, outcome, load_report } => {
                self.on_attempt_ended(now_us, attempt, outcome, load_report, commands);
            }
            Input::AttemptLost { attempt, may_run_until_us } => {
                self.on_attempt_lost(now_us, attempt, MayRunUntil::Time(may_run_until_us), commands);
            }
            Input::AttemptUnconfirmed(attempt) => {
                self.on_attempt_lost(now_us, attempt, MayRunUntil::Unconfirmed, commands);
            }
            Input::AttemptEndConfirmed { attempt, may_run_until_us } => {
                self.on_attempt_end_confirmed(now_us, attempt, may_run_until_us);
            }
            Input::AttemptProgress { attempt: AttemptId { request, number }, progress } => {
                if self.in_flight.contains(AttemptId { request, number }) {
                    self.events.push_back(Event::AttemptProgress { request, attempt: number, progress });
                }
            }
            Input::ClientLeft(id) => self.on_client_left(now_us, id),
            Input::ShuttingDown => self.on_shutting_down(now_us, commands),
            Input::PeerProcess { peer, event } => self.on_peer_event(now_us, peer, event),
        }
        self.carry_out_lease_effects(commands);
    }

    fn on_endpoint_list(&mut self, mode: EndpointListMode, entries: Vec<EndpointEntry>) {
        let states = &mut self.endpoint_states;
        if matches!(mode, EndpointListMode::Full | EndpointListMode::Cached) {
            states.clear();
        }
        states.extend(entries.iter().map(|entry| (entry.engine, entry.state)));
        // No attempt is sent to an unknown engine, so removed engines need no entry.
        states.retain(|_, state| *state != EndpointState::Removed);
        self.events.push_back(Event::EndpointList { mode, entries });
    }

    /// Passes pending events to the workload manager and carries out its actions until no event is left.
    fn run_workload_manager(&mut self, now_us: u64, commands: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.workload_manager.on_event(seconds(now_us), &event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now_us, action, commands);
            }
            self.actions = actions;
            self.carry_out_lease_effects(commands);
        }
    }

    fn carry_out(&mut self, now_us: u64, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::SetAttemptTerms { request, memory_mb, priority } => {
                self.set_attempt_terms(request, AttemptTerms { memory_mb, priority }, commands);
            }
            Action::Forward { request, engine, timeout } => {
                self.start_attempt(now_us, request, engine, timeout, commands);
            }
            Action::CancelAttempt { request, attempt: number } => {
                self.cancel_attempt(AttemptId { request, number }, commands);
            }
            Action::Reject { request, retry_after } => {
                self.answer_unserved(
                    now_us,
                    request,
                    Unserved::RejectIfRetryIsSafe { retry_after },
                    commands,
                );
            }
            Action::Fail(request) => self.answer_unserved(now_us, request, Unserved::Fail, commands),
            Action::SetTimer { delay, token, request } => {
                self.arm_for_workload_manager(now_us + micros(delay), token, request);
            }
            // The discovery service pushes the endpoint list, and the gateway sends no health checks.
            Action::CheckHealth(_) | Action::WatchEndpointList => {}
        }
    }
}

#[cfg(test)]
mod tests;
