//! The end of the process: what is still taken after SIGTERM, until when all of it is answered, and how clients'
//! connections are closed so that nothing is taken and dropped.

use workload_manager::Settings;

use super::conn::Phase;
use super::listeners::Front;
use super::{Server, Timer};
use crate::core::Input;

/// How long new work is still taken after SIGTERM, in microseconds.
const TAKING_US: u64 = 700_000;
/// SIGKILL comes no sooner after that than the longest deadline, which counts as this at most: at a restart, and where
/// a newer process has taken the place.
const LONGEST_DEADLINE_US: (u64, u64) = (3_000_000, 5_000_000);
/// What is not answered so long before is given up: the answer must be written and read by then.
const SPARE_US: u64 = 300_000;
/// How long clients may take to end their side once this one has ended: bytes that cross the end are read and
/// thrown away so long, as a close over them would reset the connection under an answer on its way.
const PARTING_US: u64 = 250_000;

/// How far the end has come.
pub struct Shutdown {
    since_us: Option<u64>,
    longest_deadline_us: u64,
    /// From SIGTERM till everything must have its answer.
    answered_us: u64,
    listeners_closed: bool,
    given_up: bool,
    parting_since_us: Option<u64>,
}

fn longest_deadline_us(deadlines: impl Iterator<Item = f64>) -> u64 {
    (deadlines.fold(0.0, f64::max) * 1e6) as u64
}

impl Shutdown {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            since_us: None,
            longest_deadline_us: longest_deadline_us(settings.classes.iter().map(|c| c.deadline)),
            answered_us: TAKING_US,
            listeners_closed: false,
            given_up: false,
            parting_since_us: None,
        }
    }

    /// The classes that new requests may have got other deadlines, in seconds. An end that has begun goes on as it
    /// was planned.
    pub(super) fn set_deadlines(&mut self, deadlines: impl Iterator<Item = f64>) {
        self.longest_deadline_us = longest_deadline_us(deadlines);
    }

    /// Whether SIGTERM has come.
    pub(super) fn has_begun(&self) -> bool {
        self.since_us.is_some()
    }
}

impl Server {
    /// SIGTERM has come. A second one says nothing new.
    pub(super) fn stop_taking(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let now_us = self.time.now_us;
        self.shutdown.since_us = Some(now_us);
        let most = if self.family.is_alone() { LONGEST_DEADLINE_US.0 } else { LONGEST_DEADLINE_US.1 };
        let killed_us = TAKING_US + self.shutdown.longest_deadline_us.min(most);
        self.shutdown.answered_us = killed_us.saturating_sub(SPARE_US).max(TAKING_US);
        self.timers.arm(now_us + TAKING_US, Timer::Going);
        self.timers.arm(now_us + self.shutdown.answered_us, Timer::Going);
        tracing::info!("SIGTERM: taking for 0.7 s more");
    }

    fn since_term_us(&self) -> Option<u64> {
        self.shutdown.since_us.map(|at| self.time.now_us.saturating_sub(at))
    }

    /// Whether nothing new is taken any more.
    pub(super) fn is_going(&self) -> bool {
        self.since_term_us().is_some_and(|past| past >= TAKING_US)
    }

    /// Takes the end as far as it goes in this turn; true once the process may end.
    pub(super) fn has_ended(&mut self) -> bool {
        let Some(past_us) = self.since_term_us().filter(|past| *past >= TAKING_US) else { return false };
        if !std::mem::replace(&mut self.shutdown.listeners_closed, true) {
            self.empty_listeners();
        }
        let over = past_us >= self.shutdown.answered_us;
        if over && !std::mem::replace(&mut self.shutdown.given_up, true) {
            self.inputs.push(Input::ShuttingDown);
        }
        let owed = !self.requests.open.is_empty() || !self.inputs.is_empty() || self.ops.is_answering();
        if owed || (self.sessions.is_writing() && !over && self.shutdown.parting_since_us.is_none()) {
            return false;
        }
        let now_us = self.time.now_us;
        match self.shutdown.parting_since_us {
            None => {
                self.shutdown.parting_since_us = Some(now_us);
                self.timers.arm(now_us + PARTING_US, Timer::Going);
                self.part();
                false
            }
            Some(since_us) => self.sessions.table.is_empty() || now_us >= since_us + PARTING_US,
        }
    }

    /// Who has connected and was not accepted yet is: closed with the listener, the connection would be reset
    /// under a request that the machine has taken. A newer process that listens at the same queue takes them itself.
    fn empty_listeners(&mut self) {
        if !self.listeners.is_handed_over() {
            for front in [Front::Pg, Front::MySql] {
                while self.accept(front) {}
            }
        }
        self.listeners.close(&self.poll);
    }

    /// Looks once more at every client for what has come, which is refused now, and ends this side. One that
    /// has begun something is told why; one at rest finds its connection ended, and sends what it has elsewhere.
    fn part(&mut self) {
        let all: Vec<_> = self.sessions.table.handles().collect();
        for who in all {
            self.read_now(who);
            let Some(live) = self.sessions.table.active_mut(who) else { continue };
            if live.conn.phase != Phase::Open {
                continue;
            }
            if live.session.is_starting() || !live.conn.input.is_empty() {
                live.session.shut_down(&mut live.conn.output);
            }
            self.close_soon(who);
        }
    }
}
