//! The table of sessions: a slot for each, which holds all of a suspended session and a pointer to an active one,
//! and intrusive lists of the sessions by activity and age, threaded through the slots.
//!
//! - A [`Handle`] carries its slot's generation: once a session has ended, its handles reach none, also after the
//!   slot was reused.
//! - The lists name the session to evict in constant time.
//! - `S` is the state of a suspended session, `A` that of an active one.

use std::num::NonZeroU32;

const NONE: u32 = u32::MAX;

/// Identifies a session until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle {
    /// The number of its slot.
    pub index: u32,
    generation: NonZeroU32,
}

/// Bits of a generation; after so many sessions in one slot a handle is given out again.
const GENERATION_BITS: u32 = 30;

impl Handle {
    /// As one number of 62 bits, for a poller's key.
    pub fn to_bits(self) -> u64 {
        u64::from(self.generation.get()) << 32 | u64::from(self.index)
    }

    /// Back from [`Handle::to_bits`].
    pub fn from_bits(bits: u64) -> Option<Self> {
        Some(Self { index: bits as u32, generation: NonZeroU32::new((bits >> 32) as u32)? })
    }
}

/// What a session is doing, for eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Activity {
    /// It is being closed: its client has still to read the last message, and what it sends is discarded.
    Closing,
    /// It has not started, or has sent a part of a message.
    IncompleteMessage,
    /// It has not read all of its answer.
    UnreadOutput,
    /// It has its answers and sends nothing.
    Idle,
    /// The same, and it holds prepared statements beside its slot.
    IdleWithStatements,
    /// A request is open, or it is being read in this turn.
    Busy,
}

impl Activity {
    /// Those that are kept in lists, which is all but [`Activity::Busy`].
    pub const LISTED: [Activity; 5] = [
        Activity::Closing,
        Activity::IncompleteMessage,
        Activity::UnreadOutput,
        Activity::Idle,
        Activity::IdleWithStatements,
    ];

    /// Its name among the printed figures.
    pub fn name(self) -> &'static str {
        match self {
            Activity::Closing => "told",
            Activity::IncompleteMessage => "unfinished",
            Activity::UnreadOutput => "unread",
            Activity::Idle => "idle",
            Activity::IdleWithStatements => "keeping",
            Activity::Busy => "busy",
        }
    }

    /// Whether the session waits for nothing and nothing waits for it.
    pub fn is_idle(self) -> bool {
        matches!(self, Activity::Idle | Activity::IdleWithStatements)
    }
}

/// A session that is closing, or has sent a part of a message, is not evicted for this time: its client needs a
/// round trip or two to read the last message or to end its own.
pub const EVICTION_GRACE_US: u64 = 100_000;
/// The same for an incomplete message during a connection surge, which would else evict all idle sessions before any
/// of its own could be recognised as silent.
pub const SURGE_GRACE_US: u64 = 20_000;
/// The same for a session that has an answer to read.
pub const OUTPUT_READ_GRACE_US: u64 = 2_000_000;

#[derive(Debug)]
enum Body<S, A> {
    Free,
    Suspended(S),
    Active(Box<A>),
    /// Between two of these; never visible outside.
    Transition,
}

#[derive(Debug)]
struct Slot<S, A> {
    generation: NonZeroU32,
    activity: Activity,
    queued: bool,
    since_us: u64,
    previous: u32,
    next: u32,
    body: Body<S, A>,
}

#[derive(Clone, Copy, Debug)]
struct List {
    first: u32,
    last: u32,
    len: usize,
}

/// The state of a session that was removed.
#[derive(Debug)]
pub enum RemovedSession<S, A> {
    /// It was suspended.
    Suspended(S),
    /// It was active.
    Active(Box<A>),
}

/// The sessions, each suspended (`S`, in its slot) or active (`A`, boxed).
#[derive(Debug)]
pub struct SessionTable<S, A> {
    slots: Vec<Slot<S, A>>,
    free: u32,
    lists: [List; Activity::LISTED.len()],
    suspended: usize,
    active: usize,
}

impl<S, A> Default for SessionTable<S, A> {
    fn default() -> Self {
        Self::new()
    }
}

impl<S, A> SessionTable<S, A> {
    /// An empty table.
    pub fn new() -> Self {
        let list = List { first: NONE, last: NONE, len: 0 };
        Self { slots: Vec::new(), free: NONE, lists: [list; Activity::LISTED.len()], suspended: 0, active: 0 }
    }

    /// Sessions in all.
    pub fn len(&self) -> usize {
        self.suspended + self.active
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sessions that are suspended.
    pub fn suspended_count(&self) -> usize {
        self.suspended
    }

    /// Sessions of one activity; busy ones are in no list and are not counted.
    pub fn count(&self, activity: Activity) -> usize {
        self.lists.get(activity as usize).map_or(0, |l| l.len)
    }

    /// Bytes of one slot, which is all that a suspended session takes.
    pub const fn slot_bytes() -> usize {
        size_of::<Slot<S, A>>()
    }

    /// The handle that the next session will have, so that a socket can be registered under it.
    pub fn next_handle(&self) -> Handle {
        match self.slots.get(self.free as usize) {
            Some(slot) => Handle { index: self.free, generation: slot.generation },
            None => Handle { index: self.slots.len() as u32, generation: NonZeroU32::MIN },
        }
    }

    /// Adds a session; it is active and busy.
    pub fn insert(&mut self, now_us: u64, active: Box<A>) -> Handle {
        let handle = self.next_handle();
        if self.free == NONE {
            self.slots.push(Slot {
                generation: handle.generation,
                activity: Activity::Busy,
                queued: false,
                since_us: now_us,
                previous: NONE,
                next: NONE,
                body: Body::Free,
            });
        } else {
            self.free = self.slots[handle.index as usize].next;
        }
        let slot = &mut self.slots[handle.index as usize];
        (slot.activity, slot.since_us, slot.previous, slot.next) = (Activity::Busy, now_us, NONE, NONE);
        (slot.queued, slot.body) = (false, Body::Active(active));
        self.active += 1;
        handle
    }

    fn slot(&self, handle: Handle) -> Option<&Slot<S, A>> {
        let slot = self.slots.get(handle.index as usize)?;
        (slot.generation == handle.generation && !matches!(slot.body, Body::Free)).then_some(slot)
    }

    fn slot_mut(&mut self, handle: Handle) -> Option<&mut Slot<S, A>> {
        let slot = self.slots.get_mut(handle.index as usize)?;
        (slot.generation == handle.generation && !matches!(slot.body, Body::Free)).then_some(slot)
    }

    /// The handle of the session that is in this slot now.
    pub fn handle_of_slot(&self, index: u32) -> Option<Handle> {
        let slot = self.slots.get(index as usize).filter(|s| !matches!(s.body, Body::Free))?;
        Some(Handle { index, generation: slot.generation })
    }

    /// Whether the session has not ended.
    pub fn contains(&self, handle: Handle) -> bool {
        self.slot(handle).is_some()
    }

    /// The state of an active session; `None` if it is suspended or has ended.
    pub fn active(&self, handle: Handle) -> Option<&A> {
        match &self.slot(handle)?.body {
            Body::Active(active) => Some(active),
            _ => None,
        }
    }

    /// The same, to change it.
    pub fn active_mut(&mut self, handle: Handle) -> Option<&mut A> {
        match &mut self.slot_mut(handle)?.body {
            Body::Active(active) => Some(active),
            _ => None,
        }
    }

    /// The state of a suspended session; `None` if it is active or has ended.
    pub fn suspended(&self, handle: Handle) -> Option<&S> {
        match &self.slot(handle)?.body {
            Body::Suspended(suspended) => Some(suspended),
            _ => None,
        }
    }

    /// All sessions.
    pub fn handles(&self) -> impl Iterator<Item = Handle> {
        let taken = |(index, s): (usize, &Slot<S, A>)| {
            let handle = Handle { index: index as u32, generation: s.generation };
            (!matches!(s.body, Body::Free)).then_some(handle)
        };
        self.slots.iter().enumerate().filter_map(taken)
    }

    /// The states of all active sessions.
    pub fn all_active(&self) -> impl Iterator<Item = &A> {
        self.slots.iter().filter_map(|s| match &s.body {
            Body::Active(active) => Some(active.as_ref()),
            _ => None,
        })
    }

    /// What a session is doing, and since when, in microseconds.
    pub fn activity(&self, handle: Handle) -> Option<(Activity, u64)> {
        self.slot(handle).map(|s| (s.activity, s.since_us))
    }

    /// Makes a suspended session active and busy. An active one stays as it is. False if it has ended.
    pub fn resume(&mut self, handle: Handle, now_us: u64, activate: impl FnOnce(S) -> Box<A>) -> bool {
        match self.slot(handle).map(|s| &s.body) {
            Some(Body::Suspended(_)) => {}
            other => return other.is_some(),
        }
        self.set_activity(handle, Activity::Busy, now_us);
        let slot = &mut self.slots[handle.index as usize];
        if let Body::Suspended(suspended) = std::mem::replace(&mut slot.body, Body::Transition) {
            (self.suspended, self.active) = (self.suspended - 1, self.active + 1);
            slot.body = Body::Active(activate(suspended));
        }
        true
    }

    /// Suspends an active session: `suspend` turns its state into that of a suspended one, or hands it back where it
    /// can't be suspended. True if it is suspended now.
    pub fn suspend(&mut self, handle: Handle, suspend: impl FnOnce(Box<A>) -> Result<S, Box<A>>) -> bool {
        let Some(slot) = self.slot_mut(handle).filter(|s| matches!(s.body, Body::Active(_))) else {
            return false;
        };
        let mut is_suspended = false;
        if let Body::Active(active) = std::mem::replace(&mut slot.body, Body::Transition) {
            slot.body = match suspend(active) {
                Ok(suspended) => {
                    is_suspended = true;
                    Body::Suspended(suspended)
                }
                Err(active) => Body::Active(active),
            };
        }
        if is_suspended {
            (self.suspended, self.active) = (self.suspended + 1, self.active - 1);
        }
        is_suspended
    }

    /// Notes that a session waits to be read; false if it did already, or has ended.
    pub fn set_queued(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| !std::mem::replace(&mut s.queued, true))
    }

    /// Whether a session waits to be read.
    pub fn is_queued(&self, handle: Handle) -> bool {
        self.slot(handle).is_some_and(|s| s.queued)
    }

    /// Its turn has come; false if it did not wait, or has ended.
    pub fn clear_queued(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| std::mem::replace(&mut s.queued, false))
    }

    /// Notes what a session is doing from now on. Its age goes on where that is what it did before.
    pub fn set_activity(&mut self, handle: Handle, activity: Activity, now_us: u64) {
        match self.slot(handle) {
            Some(slot) if slot.activity != activity => {}
            _ => return,
        }
        self.unlink(handle.index);
        self.link(handle.index, activity, now_us);
    }

    /// Lets a session's age begin anew, as it has made progress.
    pub fn restart_age(&mut self, handle: Handle, now_us: u64) {
        let Some(activity) = self.slot(handle).map(|s| s.activity) else { return };
        self.unlink(handle.index);
        self.link(handle.index, activity, now_us);
    }

    fn link(&mut self, index: u32, activity: Activity, now_us: u64) {
        let slot = &mut self.slots[index as usize];
        (slot.activity, slot.since_us, slot.previous, slot.next) = (activity, now_us, NONE, NONE);
        let Some(list) = self.lists.get_mut(activity as usize) else { return };
        slot.previous = list.last;
        list.len += 1;
        let last = std::mem::replace(&mut list.last, index);
        match self.slots.get_mut(last as usize) {
            Some(last) => last.next = index,
            None => list.first = index,
        }
    }

    fn unlink(&mut self, index: u32) {
        let Slot { activity, previous, next, .. } = self.slots[index as usize];
        let Some(list) = self.lists.get_mut(activity as usize) else { return };
        list.len -= 1;
        match self.slots.get_mut(previous as usize) {
            Some(previous) => previous.next = next,
            None => list.first = next,
        }
        match self.slots.get_mut(next as usize) {
            Some(next) => next.previous = previous,
            None => list.last = previous,
        }
    }

    /// Removes a session that ends, and returns its state.
    pub fn remove(&mut self, handle: Handle) -> Option<RemovedSession<S, A>> {
        self.slot(handle)?;
        self.unlink(handle.index);
        let free = self.free;
        let slot = self.slots.get_mut(handle.index as usize)?;
        let body = std::mem::replace(&mut slot.body, Body::Free);
        let next = (slot.generation.get() + 1) & ((1 << GENERATION_BITS) - 1);
        slot.generation = NonZeroU32::new(next).unwrap_or(NonZeroU32::MIN);
        (slot.activity, slot.next) = (Activity::Busy, free);
        self.free = handle.index;
        match body {
            Body::Suspended(suspended) => {
                self.suspended -= 1;
                Some(RemovedSession::Suspended(suspended))
            }
            Body::Active(active) => {
                self.active -= 1;
                Some(RemovedSession::Active(active))
            }
            Body::Free | Body::Transition => None,
        }
    }

    /// The session that has had this activity for longest, and since when, in microseconds.
    pub fn oldest(&self, activity: Activity) -> Option<(Handle, u64)> {
        let index = self.lists.get(activity as usize)?.first;
        let slot = self.slots.get(index as usize)?;
        Some((Handle { index, generation: slot.generation }, slot.since_us))
    }

    /// The session that is evicted so that another may have its place, if there is one. In this order:
    ///
    /// 1. the oldest that is closing, past [`EVICTION_GRACE_US`];
    /// 2. the oldest with an incomplete message or with unread output, past [`EVICTION_GRACE_US`] or
    ///    [`OUTPUT_READ_GRACE_US`];
    /// 3. during a surge, which is `surge_size` sessions with incomplete messages, the oldest of these past
    ///    [`SURGE_GRACE_US`], unless it is this side that has yet to read it;
    /// 4. the one idle for longest.
    ///
    /// Constant time.
    pub fn eviction_candidate(&self, now_us: u64, surge_size: usize) -> Option<Handle> {
        let past_grace = |activity, grace_us: u64| {
            self.oldest(activity).filter(|(_, since_us)| now_us.saturating_sub(*since_us) >= grace_us)
        };
        let older = |of: [Option<(Handle, u64)>; 2]| {
            of.into_iter().flatten().min_by_key(|(handle, since_us)| (*since_us, handle.index))
        };
        let slow = || {
            older([
                past_grace(Activity::IncompleteMessage, EVICTION_GRACE_US),
                past_grace(Activity::UnreadOutput, OUTPUT_READ_GRACE_US),
            ])
        };
        let is_surge = self.count(Activity::IncompleteMessage) >= surge_size;
        let of_surge = || {
            past_grace(Activity::IncompleteMessage, SURGE_GRACE_US)
                .filter(|(handle, _)| is_surge && !self.is_queued(*handle))
        };
        let idle = || older([self.oldest(Activity::Idle), self.oldest(Activity::IdleWithStatements)]);
        let closing = past_grace(Activity::Closing, EVICTION_GRACE_US);
        closing.or_else(slow).or_else(of_surge).or_else(idle).map(|(handle, _)| handle)
    }
}

#[cfg(test)]
mod tests;
