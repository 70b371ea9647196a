//! The session table: a slab with one slot per session. A slot contains the whole state of a suspended session, or a
//! pointer to the state of an active one.
//!
//! - A [`Handle`] contains the generation of its slot. After a session has ended, its handles are invalid even if the
//!   slot is reused.
//! - Intrusive lists through the slots order the sessions of each activity in [`Activity::LISTED`] by age, so that the
//!   session to evict is found in constant time.

use std::num::NonZeroU32;

const NONE: u32 = u32::MAX;

/// Identifies a session, and becomes invalid when the session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle {
    /// Index of the session's slot. It is reused after the session has ended.
    pub index: u32,
    generation: NonZeroU32,
}

/// Size of a generation. A handle is reused after 2^30 - 1 sessions in its slot.
const GENERATION_BITS: u32 = 30;

impl Handle {
    /// Encodes the handle in the lower 62 bits of an integer, for use as a poll key.
    pub fn to_bits(self) -> u64 {
        u64::from(self.generation.get()) << 32 | u64::from(self.index)
    }

    /// Decodes a handle from [`Handle::to_bits`]. `None` if the generation is 0.
    pub fn from_bits(bits: u64) -> Option<Self> {
        Some(Self { index: bits as u32, generation: NonZeroU32::new((bits >> 32) as u32)? })
    }
}

/// The state of a session with regard to eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Activity {
    /// The session is being closed. Its remaining output is being sent, and its input is discarded.
    Closing,
    /// The session is in its start-up phase, or has unhandled input while no request is open: usually a part of a
    /// message.
    IncompleteMessage,
    /// Output remains unsent, as the client does not read fast enough.
    UnreadOutput,
    /// All requests are answered, and no input is pending.
    Idle,
    /// As `Idle`, but the session also holds memory for prepared statements.
    IdleWithStatements,
    /// A request is open, or the session is new, or it was idle and is being read or queued for reading.
    Busy,
}

impl Activity {
    /// All activities for which the table maintains a list, that is, all but [`Activity::Busy`].
    pub const LISTED: [Activity; 5] = [
        Activity::Closing,
        Activity::IncompleteMessage,
        Activity::UnreadOutput,
        Activity::Idle,
        Activity::IdleWithStatements,
    ];

    /// Name in the printed counters, which contain [`Activity::LISTED`] only.
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

    /// Whether the session is idle, with or without prepared statements.
    pub fn is_idle(self) -> bool {
        matches!(self, Activity::Idle | Activity::IdleWithStatements)
    }
}

/// Minimum age at which [`SessionTable::eviction_candidate`] selects a session that is closing or has an incomplete
/// message. The client needs one or two round trips to read the last message or to complete its own.
pub const EVICTION_GRACE_US: u64 = 100_000;
/// Minimum age for an incomplete message during a connection surge. With the longer [`EVICTION_GRACE_US`], a surge
/// would evict all idle sessions before its own silent sessions become candidates.
pub const SURGE_GRACE_US: u64 = 20_000;
/// Minimum age for a session with unread output.
pub const OUTPUT_READ_GRACE_US: u64 = 2_000_000;

#[derive(Debug)]
enum Body<S, A> {
    Free,
    Suspended(S),
    Active(Box<A>),
    /// Placeholder while `resume` or `suspend` converts the state.
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
    /// The state from the slot of a suspended session.
    Suspended(S),
    /// The state of an active session.
    Active(Box<A>),
}

/// A table of sessions. `S` is the state of a suspended session, `A` the state of an active one.
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
    /// Creates an empty table.
    pub fn new() -> Self {
        let list = List { first: NONE, last: NONE, len: 0 };
        Self { slots: Vec::new(), free: NONE, lists: [list; Activity::LISTED.len()], suspended: 0, active: 0 }
    }

    /// Number of sessions, suspended and active.
    pub fn len(&self) -> usize {
        self.suspended + self.active
    }

    /// Whether the table has no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of suspended sessions.
    pub fn suspended_count(&self) -> usize {
        self.suspended
    }

    /// Number of sessions with an activity. Always 0 for [`Activity::Busy`], which has no list.
    pub fn count(&self, activity: Activity) -> usize {
        self.lists.get(activity as usize).map_or(0, |l| l.len)
    }

    /// Size of a slot in bytes. A suspended session takes no further memory, apart from any that `S` owns on the heap.
    pub const fn slot_bytes() -> usize {
        size_of::<Slot<S, A>>()
    }

    /// The handle that the next call of [`Self::insert`] returns, so that a socket can be registered beforehand. No
    /// session may be removed in between.
    pub fn next_handle(&self) -> Handle {
        match self.slots.get(self.free as usize) {
            Some(slot) => Handle { index: self.free, generation: slot.generation },
            None => Handle { index: self.slots.len() as u32, generation: NonZeroU32::MIN },
        }
    }

    /// Adds an active session with [`Activity::Busy`].
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

    /// The handle of the session that currently occupies a slot; `None` if the slot is free.
    pub fn handle_of_slot(&self, index: u32) -> Option<Handle> {
        let slot = self.slots.get(index as usize).filter(|s| !matches!(s.body, Body::Free))?;
        Some(Handle { index, generation: slot.generation })
    }

    /// Whether the handle is valid, that is, its session has not ended.
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

    /// The mutable state of an active session; `None` if it is suspended or has ended.
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

    /// The handles of all sessions, in the order of their slots.
    pub fn handles(&self) -> impl Iterator<Item = Handle> {
        let occupied = |(index, s): (usize, &Slot<S, A>)| {
            let handle = Handle { index: index as u32, generation: s.generation };
            (!matches!(s.body, Body::Free)).then_some(handle)
        };
        self.slots.iter().enumerate().filter_map(occupied)
    }

    /// The states of all active sessions.
    pub fn all_active(&self) -> impl Iterator<Item = &A> {
        self.slots.iter().filter_map(|s| match &s.body {
            Body::Active(active) => Some(active.as_ref()),
            _ => None,
        })
    }

    /// The activity of a session, and the time from which its age counts, in microseconds; `None` if the session has
    /// ended.
    pub fn activity(&self, handle: Handle) -> Option<(Activity, u64)> {
        self.slot(handle).map(|s| (s.activity, s.since_us))
    }

    /// Makes a suspended session active and busy. Does not change an active session. Returns false if the session has
    /// ended.
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

    /// Suspends an active session. `suspend` converts its state, or returns it unchanged if the session can't be
    /// suspended. Returns true if the session was suspended by this call.
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

    /// Marks a session as queued for reading. Returns false if it was already marked or has ended.
    pub fn set_queued(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| !std::mem::replace(&mut s.queued, true))
    }

    /// Whether a session is queued for reading.
    pub fn is_queued(&self, handle: Handle) -> bool {
        self.slot(handle).is_some_and(|s| s.queued)
    }

    /// Clears the mark set by [`Self::set_queued`]. Returns false if it was not set or the session has ended.
    pub fn clear_queued(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| std::mem::replace(&mut s.queued, false))
    }

    /// Sets the activity of a session. If the activity changes, the session becomes the youngest in the list of the new
    /// activity, and its age counts from `since_us`. Otherwise the call has no effect.
    pub fn set_activity(&mut self, handle: Handle, activity: Activity, since_us: u64) {
        match self.slot(handle) {
            Some(slot) if slot.activity != activity => {}
            _ => return,
        }
        self.unlink(handle.index);
        self.link(handle.index, activity, since_us);
    }

    /// Restarts the age of a session that has made progress without a change of its activity.
    pub fn restart_age(&mut self, handle: Handle, now_us: u64) {
        let Some(activity) = self.slot(handle).map(|s| s.activity) else { return };
        self.unlink(handle.index);
        self.link(handle.index, activity, now_us);
    }

    fn link(&mut self, index: u32, activity: Activity, since_us: u64) {
        let slot = &mut self.slots[index as usize];
        (slot.activity, slot.since_us, slot.previous, slot.next) = (activity, since_us, NONE, NONE);
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

    /// Removes a session and returns its state; `None` if the session has ended already.
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

    /// The oldest session with an activity, and the time from which its age counts, in microseconds. `None` if there is
    /// no such session, and always for [`Activity::Busy`].
    pub fn oldest(&self, activity: Activity) -> Option<(Handle, u64)> {
        let index = self.lists.get(activity as usize)?.first;
        let slot = self.slots.get(index as usize)?;
        Some((Handle { index, generation: slot.generation }, slot.since_us))
    }

    /// Selects the session to evict in favour of another one, in constant time. Returns `None` if all sessions are busy
    /// or within their grace periods. Otherwise the candidate is the first session that exists in this order:
    ///
    /// 1. the oldest closing session, past [`EVICTION_GRACE_US`];
    /// 2. the oldest session with an incomplete message or unread output, past [`EVICTION_GRACE_US`] or
    ///    [`OUTPUT_READ_GRACE_US`], respectively;
    /// 3. during a surge of at least `surge_size` sessions with incomplete messages, the oldest of them, past
    ///    [`SURGE_GRACE_US`], unless it is queued for reading;
    /// 4. the session that has been idle for longest.
    pub fn eviction_candidate(&self, now_us: u64, surge_size: usize) -> Option<Handle> {
        let past_grace = |activity, grace_us: u64| {
            self.oldest(activity).filter(|(_, since_us)| now_us.saturating_sub(*since_us) >= grace_us)
        };
        let older = |candidates: [Option<(Handle, u64)>; 2]| {
            candidates.into_iter().flatten().min_by_key(|(handle, since_us)| (*since_us, handle.index))
        };
        let slow = || {
            older([
                past_grace(Activity::IncompleteMessage, EVICTION_GRACE_US),
                past_grace(Activity::UnreadOutput, OUTPUT_READ_GRACE_US),
            ])
        };
        let is_surge = self.count(Activity::IncompleteMessage) >= surge_size;
        let surging = || {
            past_grace(Activity::IncompleteMessage, SURGE_GRACE_US)
                .filter(|(handle, _)| is_surge && !self.is_queued(*handle))
        };
        let idle = || older([self.oldest(Activity::Idle), self.oldest(Activity::IdleWithStatements)]);
        let closing = past_grace(Activity::Closing, EVICTION_GRACE_US);
        closing.or_else(slow).or_else(surging).or_else(idle).map(|(handle, _)| handle)
    }
}

#[cfg(test)]
mod tests;
