//! The read scheduler. When more sessions are ready than fit into a turn of the event loop, it selects those to be read
//! in this turn, defers the others, and computes the Retry-After of rejected requests.
//!
//! - Ready sessions are queued by [`ReadPriority`]. Sessions with an open request are read first, even if the turn is
//!   full. The other queues share each turn by stride scheduling. Within a queue, groups (a tenant, or an address if
//!   the tenant is unknown) are served round-robin, regardless of the number of sessions in each.
//! - The capacity of a turn is estimated from the durations of earlier turns ([`CostModel`]).
//! - While the backlog exceeds half the shortest deadline, sessions that are starting or were idle for long get an
//!   expedited read, from a queue of their own. A request that can't be served in time is then rejected as soon as it
//!   is read.
//!
//! In each turn, call [`ReadScheduler::enqueue`] for each ready session, [`ReadScheduler::next_read`] until it returns
//! `None`, [`ReadScheduler::charge`] for all work but reads, and [`ReadScheduler::end_turn`].

mod cost_model;
mod queues;

use cost_model::TurnWork;
pub use cost_model::{CostModel, Work};
use queues::{QUEUE_COUNT, ReadQueues};

use crate::session_table::Handle;

/// The priority of a session that is ready to be read. Sessions with an open request are read first. The other
/// priorities share the turns by their strides, and a higher priority has no smaller share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum ReadPriority {
    /// A request is open, or the session is being closed. Input can end the request or the session, for
    /// example if the client has disconnected.
    OpenRequest,
    /// The session is not suspended. Usually, a part of a message was read, or further messages are buffered.
    PartialMessage,
    /// The session has been idle for less than [`RECENTLY_ACTIVE_US`].
    RecentlyActive,
    /// The session was idle for longer.
    LongIdle,
    /// The session has not completed its start-up phase.
    Starting,
}

impl ReadPriority {
    /// All priorities, highest first.
    pub const ALL: [ReadPriority; 5] = [
        ReadPriority::OpenRequest,
        ReadPriority::PartialMessage,
        ReadPriority::RecentlyActive,
        ReadPriority::LongIdle,
        ReadPriority::Starting,
    ];

    /// Name in the printed counters.
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

/// Time after becoming idle during which a suspended session has the priority [`ReadPriority::RecentlyActive`].
pub const RECENTLY_ACTIVE_US: u64 = 2_000_000;

/// Limits from the operator's file and the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadLimits {
    /// Target duration of a turn, in microseconds. Once the estimated work of a turn reaches it and the minimum
    /// number of reads is done, only sessions with an open request are read.
    pub turn_us: u64,
    /// Maximum number of messages that are handled in succession when a session is read, or when a request of it has
    /// been answered.
    pub messages_per_turn: usize,
    /// Number of bytes after which a read of one session stops. The last system call may exceed it.
    pub bytes_per_turn: usize,
    /// Lower bound of Retry-After, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Upper bound of Retry-After, in milliseconds.
    pub max_retry_after_ms: u64,
    /// Shortest deadline of any class, in microseconds. Half of it is the backlog beyond which reads are expedited. The
    /// deadline of a single request can be shorter.
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

/// Number of sessions read in every turn, regardless of its duration, so that the event loop always makes progress.
const MIN_READS_PER_TURN: usize = 8;
/// Fraction of the remaining turn used for accepting connections while sessions wait to be read.
const ACCEPT_TIME_RATIO: f64 = 0.25;
/// Bounds of [`ReadScheduler::accept_limit`], in connections.
const ACCEPT_LIMITS: std::ops::RangeInclusive<usize> = 4..=256;
/// Fraction of one core that scheduled retries may use.
const RETRY_CORE_RATIO: f64 = 0.5;

/// A session selected to be read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRead {
    /// Identifies the session. It may have ended since it was enqueued.
    pub handle: Handle,
    /// Time at which the session was enqueued, in microseconds.
    pub ready_us: u64,
    /// The session was put into the queue for expedited reads, as the backlog was long. Its request must be rejected if
    /// it can't be served in time, see [`ReadScheduler::can_meet_deadline`].
    pub expedited: bool,
}

/// Queues of ready sessions, and the cost model that bounds a turn.
#[derive(Debug)]
pub struct ReadScheduler {
    limits: ReadLimits,
    costs: CostModel,
    queues: ReadQueues,
    turn_work: TurnWork,
    turn_reads: usize,
    /// Latest time assigned to a retry, in microseconds. Each further retry is assigned a later time.
    last_assigned_retry_us: f64,
    deferred: u64,
    longest_waits_us: [u64; QUEUE_COUNT],
    longest_turn_us: u64,
}

impl ReadScheduler {
    /// Creates a scheduler with empty queues and initial costs.
    pub fn new(limits: ReadLimits) -> Self {
        Self {
            limits,
            costs: CostModel::default(),
            queues: ReadQueues::default(),
            turn_work: TurnWork::default(),
            turn_reads: 0,
            last_assigned_retry_us: 0.0,
            deferred: 0,
            longest_waits_us: [0; QUEUE_COUNT],
            longest_turn_us: 0,
        }
    }

    /// Replaces the limits. Queues and learned costs are kept.
    pub fn set_limits(&mut self, limits: ReadLimits) {
        self.limits = limits;
    }

    /// The current limits.
    pub fn limits(&self) -> &ReadLimits {
        &self.limits
    }

    /// The learned costs of each kind of work.
    pub fn costs(&self) -> &CostModel {
        &self.costs
    }

    /// Number of queued reads, including those of sessions that have ended or were read out of order since they were
    /// enqueued.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Total number of deferrals of a session to a later turn.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// Longest time between enqueueing and reading a session of this priority, in microseconds. Does not include
    /// expedited reads.
    pub fn longest_wait_us(&self, priority: ReadPriority) -> u64 {
        self.longest_waits_us[priority as usize]
    }

    /// Duration of the longest turn so far, in microseconds.
    pub fn longest_turn_us(&self) -> u64 {
        self.longest_turn_us
    }

    /// Enqueues a session that is ready to be read. The scheduler does not detect duplicates:
    /// [`ReadScheduler::next_read`] returns a session as often as it was enqueued.
    pub fn enqueue(&mut self, handle: Handle, priority: ReadPriority, group: u32, now_us: u64) {
        let expedited = priority > ReadPriority::RecentlyActive
            && self.backlog_us() > self.limits.shortest_deadline_us / 2;
        self.queues.push(priority, group, ScheduledRead { handle, ready_us: now_us, expedited });
    }

    /// Records work done in this turn. `amount` is in bytes for [`Work::Bytes`], and a number of operations otherwise.
    pub fn charge(&mut self, work: Work, amount: usize) {
        self.turn_work.add(work, amount);
    }

    fn remaining_us(&self) -> f64 {
        self.limits.turn_us as f64 - self.costs.predict_us(&self.turn_work)
    }

    /// Number of connections that may be accepted now, in the estimated remaining time of this turn. From 4 to 256.
    pub fn accept_limit(&self) -> usize {
        let ratio = if self.waiting() > 0 { ACCEPT_TIME_RATIO } else { 1.0 };
        let fitting = self.remaining_us().max(0.0) * ratio / self.costs.cost_us(Work::Accept);
        (fitting as usize).clamp(*ACCEPT_LIMITS.start(), *ACCEPT_LIMITS.end())
    }

    /// Removes the next session to be read. Returns `None` if no session is queued, or if the turn is full and no
    /// queued session has an open request. Charges one [`Work::Read`].
    pub fn next_read(&mut self, now_us: u64) -> Option<ScheduledRead> {
        let is_full =
            || self.turn_reads >= MIN_READS_PER_TURN && self.remaining_us() < self.costs.cost_us(Work::Read);
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

    /// Ends the turn: updates the costs from the turn's duration, and counts the sessions still queued as deferred.
    pub fn end_turn(&mut self, duration_us: u64) {
        self.longest_turn_us = self.longest_turn_us.max(duration_us);
        self.costs.learn(&self.turn_work, duration_us as f64);
        self.turn_work = TurnWork::default();
        self.turn_reads = 0;
        self.deferred += self.waiting() as u64;
    }

    fn request_cost_us(&self) -> f64 {
        self.costs.cost_us(Work::Read) + self.costs.cost_us(Work::Request)
    }

    /// Estimated CPU time to serve the queued sessions, in microseconds. Expedited reads are not counted, as most of
    /// their requests will be rejected.
    pub fn backlog_us(&self) -> u64 {
        (self.queues.len_without_expedited() as f64 * self.request_cost_us()) as u64
    }

    /// Whether a request can be served before `deadline_us` if `work_ahead_us` of work precede it.
    pub fn can_meet_deadline(now_us: u64, work_ahead_us: u64, deadline_us: u64) -> bool {
        now_us + work_ahead_us < deadline_us
    }

    /// Assigns the Retry-After of a request that is rejected now, in milliseconds. Retries are scheduled after the
    /// backlog and the lower bound of Retry-After, at the rate at which half a core serves requests. Times beyond the
    /// upper bound of Retry-After are wrapped into the allowed range.
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
