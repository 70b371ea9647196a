//! The queues of sessions that wait to be read: one for each [`ReadPriority`] and one for read-ahead.
//!
//! Open requests come first. The other queues share the turns by stride scheduling (Waldspurger and Weihl, 1995):
//! each has a pass that grows by its stride with every session taken, and the lowest pass is next, so that no queue
//! starves. Within a queue, groups take turns; within a group, first come is first served.

use std::collections::{HashMap, VecDeque};

use super::{ReadPriority, ScheduledRead};

/// Number of priorities, and the index of the queue for read-ahead, which comes after theirs.
const READ_AHEAD: usize = ReadPriority::ALL.len();
pub(super) const QUEUES: usize = READ_AHEAD + 1;
const OPEN_REQUEST: usize = ReadPriority::OpenRequest as usize;
/// Strides by queue: half the stride is twice the turns. Open requests have none, as they always go first.
const STRIDES: [u64; QUEUES] = [0, 1, 1, 2, 4, 2];

#[derive(Debug, Default)]
struct Queue {
    /// Groups with waiting sessions, in the order of their turns.
    ring: VecDeque<u32>,
    groups: HashMap<u32, VecDeque<ScheduledRead>>,
    waiting: usize,
    pass: u64,
}

impl Queue {
    fn push(&mut self, group: u32, read: ScheduledRead) {
        let waiting = self.groups.entry(group).or_default();
        if waiting.is_empty() {
            self.ring.push_back(group);
        }
        waiting.push_back(read);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<ScheduledRead> {
        let group = self.ring.pop_front()?;
        let waiting = self.groups.get_mut(&group)?;
        let read = waiting.pop_front();
        if waiting.is_empty() {
            self.groups.remove(&group);
        } else {
            self.ring.push_back(group);
        }
        self.waiting -= usize::from(read.is_some());
        read
    }
}

/// All queues.
#[derive(Debug, Default)]
pub(super) struct ReadQueues {
    queues: [Queue; QUEUES],
    /// The largest pass at which a session was taken: where a queue that was empty goes on.
    global_pass: u64,
}

impl ReadQueues {
    /// Sessions in all queues.
    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting).sum()
    }

    /// Sessions that are not read ahead of their turn.
    pub(super) fn waiting_in_turn(&self) -> usize {
        self.queues[..READ_AHEAD].iter().map(|queue| queue.waiting).sum()
    }

    pub(super) fn has_open_requests(&self) -> bool {
        self.queues[OPEN_REQUEST].waiting > 0
    }

    /// Adds a session, to the queue for read-ahead where `read` says so.
    pub(super) fn push(&mut self, priority: ReadPriority, group: u32, read: ScheduledRead) {
        let queue = &mut self.queues[if read.read_ahead { READ_AHEAD } else { priority as usize }];
        if queue.waiting == 0 {
            // A queue gains no credit while it is empty, also where no other one has sessions now.
            queue.pass = queue.pass.max(self.global_pass);
        }
        queue.push(group, read);
    }

    /// Takes the next session, with the index of its queue.
    pub(super) fn pop(&mut self) -> Option<(usize, ScheduledRead)> {
        let index = if self.has_open_requests() {
            OPEN_REQUEST
        } else {
            let waiting = (OPEN_REQUEST + 1..QUEUES).filter(|index| self.queues[*index].waiting > 0);
            waiting.min_by_key(|index| self.queues[*index].pass)?
        };
        let queue = &mut self.queues[index];
        let read = queue.pop()?;
        self.global_pass = self.global_pass.max(queue.pass);
        queue.pass += STRIDES[index];
        Some((index, read))
    }
}
