//! The read scheduler: when more sessions are ready than a turn of the event loop can carry, it decides which
//! are read now, which wait, and which are read ahead of their turn so that their requests may be rejected,
//! and how long a Retry-After is.
//!
//! - Sessions wait in queues by [`ReadPriority`], which share every turn by stride scheduling; within a queue,
//!   groups (a tenant, or an address where the tenant is not known) take turns, whatever the number of their sessions.
//! - How much fits into a turn is learned from the time that turns took ([`CostModel`]).
//! - Where the queues are longer than clients wait, sessions are read ahead of their turn, and a request that could
//!   not be served in time is rejected as soon as it is read.
//!
//! A turn: [`ReadScheduler::enqueue`] for each session that is ready, [`ReadScheduler::next_read`] until it returns
//! nothing, [`ReadScheduler::charge`] for all work done, [`ReadScheduler::end_turn`].

mod cost_model;
mod queues;

use cost_model::TurnWork;
pub use cost_model::{CostModel, Work};
use queues::{QUEUES, ReadQueues};

use crate::session_table::Handle;

/// What a session that is ready to be read is doing. Open requests are read first; the others share the turns
/// by stride, earlier ones with no smaller part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ReadPriority {
    /// A request is open: what is read may end it.
    OpenRequest,
    /// A message was begun, or more messages have come already.
    PartialMessage,
    /// It was active within [`RECENTLY_ACTIVE_US`].
    RecentlyActive,
    /// It was idle for longer.
    LongIdle,
    /// It has not started its session.
    Starting,
}

impl ReadPriority {
    /// All of them, highest first.
    pub const ALL: [ReadPriority; 5] = [
        ReadPriority::OpenRequest,
        ReadPriority::PartialMessage,
        ReadPriority::RecentlyActive,
        ReadPriority::LongIdle,
        ReadPriority::Starting,
    ];

    /// Its name among the printed figures.
    pub fn name(self) -> &'static str {
        match self {
            ReadPriority::OpenRequest => "open",
            ReadPriority::PartialMessage => "begun",
            ReadPriority::RecentlyActive => "active",
            ReadPriority::LongIdle => "woken",
            ReadPriority::Starting => "new",
        }
    }
}

/// How long after its last answer a session counts as recently active.
pub const RECENTLY_ACTIVE_US: u64 = 2_000_000;

/// What the operator and the settings bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadLimits {
    /// How long the reading of sessions may make a turn, in microseconds.
    pub turn_us: u64,
    /// Messages of one session in one turn.
    pub messages_per_turn: usize,
    /// Bytes read from one session in one turn.
    pub bytes_per_turn: usize,
    /// The shortest Retry-After, in milliseconds.
    pub min_retry_after_ms: u64,
    /// The longest, in milliseconds.
    pub max_retry_after_ms: u64,
    /// The shortest time that clients wait for an answer, in microseconds.
    pub shortest_deadline_us: u64,
}

impl Default for ReadLimits {
    fn default() -> Self {
        Self {
            turn_us: 2_000,
            messages_per_turn: 16,
            bytes_per_turn: 64 * 1024,
            min_retry_after_ms: 20,
            max_retry_after_ms: 500,
            shortest_deadline_us: 3_000_000,
        }
    }
}

/// Sessions that are read in any turn, whatever it has cost already, so that the loop always gets on.
const MIN_READS_PER_TURN: usize = 8;
/// The part of what is left of a turn that accepting may have while sessions wait to be read.
const ACCEPT_TIME_RATIO: f64 = 0.25;
/// Connections that are accepted in a turn, at least and at most.
const ACCEPTS_PER_TURN: std::ops::RangeInclusive<usize> = 4..=256;
/// Retries are spread so that they take this part of one core.
const RETRY_CORE_RATIO: f64 = 0.5;

/// A session whose turn to be read has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRead {
    /// The session.
    pub handle: Handle,
    /// Since when it has waited to be read, in microseconds.
    pub ready_us: u64,
    /// It is read ahead of its turn: a request of it is admitted only if it will be served in time.
    pub read_ahead: bool,
}

/// The read scheduler.
#[derive(Debug)]
pub struct ReadScheduler {
    limits: ReadLimits,
    costs: CostModel,
    queues: ReadQueues,
    turn_work: TurnWork,
    turn_reads: usize,
    /// Latest time, in microseconds, at which a rejected client was told to retry; the next one gets a later time.
    last_assigned_retry_us: f64,
    deferred: u64,
    longest_waits_us: [u64; QUEUES],
    longest_turn_us: u64,
}

impl ReadScheduler {
    /// A scheduler that has learned nothing.
    pub fn new(limits: ReadLimits) -> Self {
        Self {
            limits,
            costs: CostModel::default(),
            queues: ReadQueues::default(),
            turn_work: TurnWork::default(),
            turn_reads: 0,
            last_assigned_retry_us: 0.0,
            deferred: 0,
            longest_waits_us: [0; QUEUES],
            longest_turn_us: 0,
        }
    }

    /// Replaces the limits. What was learned stays.
    pub fn set_limits(&mut self, limits: ReadLimits) {
        self.limits = limits;
    }

    /// The limits in force.
    pub fn limits(&self) -> &ReadLimits {
        &self.limits
    }

    /// What work has been found to cost.
    pub fn costs(&self) -> &CostModel {
        &self.costs
    }

    /// Sessions that wait to be read, with those that have ended meanwhile.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// How often a session had to wait for a later turn.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// The longest that a session of this priority has waited to be read, in microseconds.
    pub fn longest_wait_us(&self, priority: ReadPriority) -> u64 {
        self.longest_waits_us[priority as usize]
    }

    /// The longest turn so far, in microseconds.
    pub fn longest_turn_us(&self) -> u64 {
        self.longest_turn_us
    }

    /// A session is ready to be read. The caller enqueues each once until it is returned by
    /// [`ReadScheduler::next_read`].
    pub fn enqueue(&mut self, handle: Handle, priority: ReadPriority, group: u32, now_us: u64) {
        let read_ahead = priority > ReadPriority::RecentlyActive
            && self.backlog_us() > self.limits.shortest_deadline_us / 2;
        self.queues.push(priority, group, ScheduledRead { handle, ready_us: now_us, read_ahead });
    }

    /// Work was done in this turn: so many pieces, or bytes.
    pub fn charge(&mut self, work: Work, amount: usize) {
        self.turn_work.add(work, amount);
    }

    fn turn_left_us(&self) -> f64 {
        self.limits.turn_us as f64 - self.costs.predict_us(&self.turn_work)
    }

    /// How many connections may be accepted now.
    pub fn accepts(&self) -> usize {
        let ratio = if self.waiting() > 0 { ACCEPT_TIME_RATIO } else { 1.0 };
        let fit = self.turn_left_us().max(0.0) * ratio / self.costs.cost_us(Work::Accept);
        (fit as usize).clamp(*ACCEPTS_PER_TURN.start(), *ACCEPTS_PER_TURN.end())
    }

    /// The session that is read next; `None` where none waits or the turn is full. The read itself is charged here.
    pub fn next_read(&mut self, now_us: u64) -> Option<ScheduledRead> {
        let is_full =
            || self.turn_reads >= MIN_READS_PER_TURN && self.turn_left_us() < self.costs.cost_us(Work::Read);
        if !self.queues.has_open_requests() && is_full() {
            return None;
        }
        let (queue, read) = self.queues.pop()?;
        self.turn_reads += 1;
        self.charge(Work::Read, 1);
        let waited_us = now_us.saturating_sub(read.ready_us);
        self.longest_waits_us[queue] = self.longest_waits_us[queue].max(waited_us);
        Some(read)
    }

    /// The turn is over and its work took so many microseconds.
    pub fn end_turn(&mut self, took_us: u64) {
        self.longest_turn_us = self.longest_turn_us.max(took_us);
        self.costs.learn(&self.turn_work, took_us as f64);
        self.turn_work = TurnWork::default();
        self.turn_reads = 0;
        self.deferred += self.waiting() as u64;
    }

    fn request_cost_us(&self) -> f64 {
        self.costs.cost_us(Work::Read) + self.costs.cost_us(Work::Request)
    }

    /// How long the sessions that wait will keep a core busy, in microseconds. Those that are read ahead don't
    /// count, as most of them will be rejected.
    pub fn backlog_us(&self) -> u64 {
        (self.queues.waiting_in_turn() as f64 * self.request_cost_us()) as u64
    }

    /// Whether a request that has just been read can be served in time: `work_ahead_us` of work are done before it,
    /// and its client waits until `deadline_us`.
    pub fn can_meet_deadline(now_us: u64, work_ahead_us: u64, deadline_us: u64) -> bool {
        now_us + work_ahead_us < deadline_us
    }

    /// The Retry-After of a request that is rejected now, in milliseconds: after the backlog, each retry at a time of
    /// its own, at the rate at which half a core carries requests. Times beyond the longest Retry-After are wrapped
    /// into the range that there is. Changes state: every call claims the next time.
    pub fn retry_after_ms(&mut self, now_us: u64) -> u64 {
        let ReadLimits { min_retry_after_ms, max_retry_after_ms, .. } = self.limits;
        let interval_us = self.request_cost_us() / RETRY_CORE_RATIO;
        let first_us = (now_us + self.backlog_us()) as f64 + min_retry_after_ms as f64 * 1e3;
        self.last_assigned_retry_us = self.last_assigned_retry_us.max(first_us) + interval_us;
        let wait_ms = ((self.last_assigned_retry_us - now_us as f64) / 1e3).ceil() as u64;
        if wait_ms <= max_retry_after_ms {
            return wait_ms;
        }
        let range_ms = max_retry_after_ms.saturating_sub(min_retry_after_ms) + 1;
        min_retry_after_ms.min(max_retry_after_ms) + wait_ms % range_ms
    }
}

#[cfg(test)]
mod tests;
