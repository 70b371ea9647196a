//! Queues of sessions that are ready to be read: one for each [`ReadPriority`], and one for expedited reads.
//!
//! The queue of open requests has absolute priority. The others share the turns by stride scheduling (Waldspurger and
//! Weihl, 1995): a queue's pass increases by its stride with every session removed, and the queue with the lowest pass
//! is next, so that none of these starves. Within a queue, groups are served round-robin. Within a group, sessions are
//! served in the order of their arrival.

use std::collections::{HashMap, VecDeque};

use super::{ReadPriority, ScheduledRead};

/// Index of the queue for expedited reads, which follows the queues of the priorities.
const EXPEDITED: usize = ReadPriority::ALL.len();
pub(super) const QUEUE_COUNT: usize = EXPEDITED + 1;
const OPEN_REQUEST: usize = ReadPriority::OpenRequest as usize;
/// Stride of each queue. A queue with half the stride is served twice as often. Unused for open requests.
const STRIDES: [u64; QUEUE_COUNT] = [0, 1, 1, 2, 4, 2];

#[derive(Debug, Default)]
struct Queue {
    /// Groups with queued sessions, in round-robin order.
    round_robin: VecDeque<u32>,
    groups: HashMap<u32, VecDeque<ScheduledRead>>,
    waiting: usize,
    pass: u64,
}

impl Queue {
    fn push(&mut self, group: u32, read: ScheduledRead) {
        let waiting = self.groups.entry(group).or_default();
        if waiting.is_empty() {
            self.round_robin.push_back(group);
        }
        waiting.push_back(read);
        self.waiting += 1;
    }

    fn pop(&mut self) -> Option<ScheduledRead> {
        let group = self.round_robin.pop_front()?;
        let waiting = self.groups.get_mut(&group)?;
        let read = waiting.pop_front();
        if waiting.is_empty() {
            self.groups.remove(&group);
        } else {
            self.round_robin.push_back(group);
        }
        self.waiting -= usize::from(read.is_some());
        read
    }
}

/// The queues of all priorities, and the queue for expedited reads.
#[derive(Debug, Default)]
pub(super) struct ReadQueues {
    queues: [Queue; QUEUE_COUNT],
    /// Highest pass at which a session was removed. A queue that was empty continues from it, or from its own pass if
    /// that is higher.
    global_pass: u64,
}

impl ReadQueues {
    /// Number of sessions in all queues.
    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting).sum()
    }

    /// Number of sessions in all queues except the queue for expedited reads.
    pub(super) fn len_without_expedited(&self) -> usize {
        self.queues[..EXPEDITED].iter().map(|queue| queue.waiting).sum()
    }

    pub(super) fn has_open_requests(&self) -> bool {
        self.queues[OPEN_REQUEST].waiting > 0
    }

    /// Adds a session to the queue of its priority, or to the queue for expedited reads if `read.expedited` is set.
    pub(super) fn push(&mut self, priority: ReadPriority, group: u32, read: ScheduledRead) {
        let queue = &mut self.queues[if read.expedited { EXPEDITED } else { priority as usize }];
        if queue.waiting == 0 {
            // An empty queue must not accumulate credit, even if all other queues are empty too.
            queue.pass = queue.pass.max(self.global_pass);
        }
        queue.push(group, read);
    }

    /// Removes the next session. Returns the index of its queue as well, or `None` if all queues are empty.
    pub(super) fn pop(&mut self) -> Option<(usize, ScheduledRead)> {
        let index = if self.has_open_requests() {
            OPEN_REQUEST
        } else {
            let waiting = (OPEN_REQUEST + 1..QUEUE_COUNT).filter(|index| self.queues[*index].waiting > 0);
            waiting.min_by_key(|index| self.queues[*index].pass)?
        };
        let queue = &mut self.queues[index];
        let read = queue.pop()?;
        self.global_pass = self.global_pass.max(queue.pass);
        queue.pass += STRIDES[index];
        Some((index, read))
    }
}
