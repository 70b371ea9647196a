//! The table of sessions: a slot for each, with a cold part for one that is idle and a hot part on the heap for
//! one at work, and lists of them by use and age that are threaded through the slots.
//!
//! A [`Handle`] carries its slot's generation: once a session has ended, its handles reach nobody, also after the
//! slot has another tenant. The lists tell in constant time whose place may be given to another.

use std::num::NonZeroU32;

const NONE: u32 = u32::MAX;

/// Names a session, for as long as it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle {
    /// The number of its slot.
    pub index: u32,
    generation: NonZeroU32,
}

/// Bits of a generation; after so many tenants of one slot a handle could be met again.
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

/// What a session is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Use {
    /// Its last word is said; what it still sends is thrown away.
    Told,
    /// It has not started, or has sent a part of a message.
    Unfinished,
    /// It has not read all of its answer.
    Unread,
    /// It has its answers and says nothing.
    Idle,
    /// The same, and it holds more than its slot: prepared statements.
    Keeping,
    /// A request is open, or it is being looked at in this turn.
    Busy,
}

const LISTS: usize = 5;

/// One that was told its last word keeps its place for so long while others need it, to read that word; one
/// that has begun a message may end it. Both need a round trip or two. In microseconds.
pub const SPARED_US: u64 = 100_000;
/// Where a crowd comes and says nothing, its oldest is spared for this only, as else the crowd would take the places
/// of all that are idle before any of it could be told from who is slow.
pub const CROWDED_US: u64 = 20_000;
/// The same for one that has an answer of many rows to read.
pub const READING_US: u64 = 2_000_000;

#[derive(Debug)]
enum Body<C, H> {
    Free,
    Cold(C),
    Hot(Box<H>),
    /// Between two of these; never seen from outside.
    Moving,
}

#[derive(Debug)]
struct Slot<C, H> {
    generation: NonZeroU32,
    used: Use,
    marked: bool,
    since_us: u64,
    previous: u32,
    next: u32,
    body: Body<C, H>,
}

#[derive(Clone, Copy, Debug)]
struct List {
    first: u32,
    last: u32,
    len: usize,
}

/// A session as it was when it ended.
#[derive(Debug)]
pub enum Ended<C, H> {
    /// It was idle.
    Cold(C),
    /// It was at work.
    Hot(Box<H>),
}

/// Sessions, each cold (`C`, in its slot) or hot (`H`, boxed).
#[derive(Debug)]
pub struct Table<C, H> {
    slots: Vec<Slot<C, H>>,
    free: u32,
    lists: [List; LISTS],
    cold: usize,
    hot: usize,
}

impl<C, H> Default for Table<C, H> {
    fn default() -> Self {
        Self::new()
    }
}

impl<C, H> Table<C, H> {
    /// An empty table.
    pub fn new() -> Self {
        let list = List { first: NONE, last: NONE, len: 0 };
        Self { slots: Vec::new(), free: NONE, lists: [list; LISTS], cold: 0, hot: 0 }
    }

    /// Sessions in all.
    pub fn len(&self) -> usize {
        self.cold + self.hot
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sessions that are parked.
    pub fn cold(&self) -> usize {
        self.cold
    }

    /// Sessions of one use; busy ones are in no list and are not counted.
    pub fn count(&self, used: Use) -> usize {
        self.lists.get(used as usize).map_or(0, |l| l.len)
    }

    /// Bytes of one slot, which is all that a parked session holds here.
    pub const fn slot_bytes() -> usize {
        size_of::<Slot<C, H>>()
    }

    /// The handle that the next session will have, so that a socket can be registered under it.
    pub fn next_handle(&self) -> Handle {
        match self.slots.get(self.free as usize) {
            Some(slot) => Handle { index: self.free, generation: slot.generation },
            None => Handle { index: self.slots.len() as u32, generation: NonZeroU32::MIN },
        }
    }

    /// Takes a session in; it is hot and busy.
    pub fn insert(&mut self, now_us: u64, hot: Box<H>) -> Handle {
        let handle = self.next_handle();
        if self.free == NONE {
            self.slots.push(Slot {
                generation: handle.generation,
                used: Use::Busy,
                marked: false,
                since_us: now_us,
                previous: NONE,
                next: NONE,
                body: Body::Free,
            });
        } else {
            self.free = self.slots[handle.index as usize].next;
        }
        let slot = &mut self.slots[handle.index as usize];
        (slot.used, slot.since_us, slot.previous, slot.next) = (Use::Busy, now_us, NONE, NONE);
        (slot.marked, slot.body) = (false, Body::Hot(hot));
        self.hot += 1;
        handle
    }

    fn slot(&self, handle: Handle) -> Option<&Slot<C, H>> {
        let slot = self.slots.get(handle.index as usize)?;
        (slot.generation == handle.generation && !matches!(slot.body, Body::Free)).then_some(slot)
    }

    fn slot_mut(&mut self, handle: Handle) -> Option<&mut Slot<C, H>> {
        let slot = self.slots.get_mut(handle.index as usize)?;
        (slot.generation == handle.generation && !matches!(slot.body, Body::Free)).then_some(slot)
    }

    /// The handle of the session that has this slot now.
    pub fn tenant(&self, index: u32) -> Option<Handle> {
        let slot = self.slots.get(index as usize).filter(|s| !matches!(s.body, Body::Free))?;
        Some(Handle { index, generation: slot.generation })
    }

    /// Whether the session lasts.
    pub fn contains(&self, handle: Handle) -> bool {
        self.slot(handle).is_some()
    }

    /// The hot part of a session; `None` if it is parked or has ended.
    pub fn hot(&self, handle: Handle) -> Option<&H> {
        match &self.slot(handle)?.body {
            Body::Hot(hot) => Some(hot),
            _ => None,
        }
    }

    /// The same, to change it.
    pub fn hot_mut(&mut self, handle: Handle) -> Option<&mut H> {
        match &mut self.slot_mut(handle)?.body {
            Body::Hot(hot) => Some(hot),
            _ => None,
        }
    }

    /// The cold part of a session; `None` if it is at work or has ended.
    pub fn parked(&self, handle: Handle) -> Option<&C> {
        match &self.slot(handle)?.body {
            Body::Cold(cold) => Some(cold),
            _ => None,
        }
    }

    /// All sessions.
    pub fn handles(&self) -> impl Iterator<Item = Handle> {
        let taken = |(index, s): (usize, &Slot<C, H>)| {
            let handle = Handle { index: index as u32, generation: s.generation };
            (!matches!(s.body, Body::Free)).then_some(handle)
        };
        self.slots.iter().enumerate().filter_map(taken)
    }

    /// All hot parts.
    pub fn all_hot(&self) -> impl Iterator<Item = &H> {
        self.slots.iter().filter_map(|s| match &s.body {
            Body::Hot(hot) => Some(hot.as_ref()),
            _ => None,
        })
    }

    /// What a session is there for, and since when.
    pub fn used(&self, handle: Handle) -> Option<(Use, u64)> {
        self.slot(handle).map(|s| (s.used, s.since_us))
    }

    /// Wakes a parked session; it is busy from now on. One at work stays as it is. False if it has ended.
    pub fn wake(&mut self, handle: Handle, now_us: u64, warm: impl FnOnce(C) -> Box<H>) -> bool {
        match self.slot(handle).map(|s| &s.body) {
            Some(Body::Cold(_)) => {}
            other => return other.is_some(),
        }
        self.set_use(handle, Use::Busy, now_us);
        let slot = &mut self.slots[handle.index as usize];
        if let Body::Cold(cold) = std::mem::replace(&mut slot.body, Body::Moving) {
            (self.cold, self.hot) = (self.cold - 1, self.hot + 1);
            slot.body = Body::Hot(warm(cold));
        }
        true
    }

    /// Parks a session that is at work: `cool` makes its cold part of it, or hands it back where it can't be
    /// parked. True if it is parked now.
    pub fn park(&mut self, handle: Handle, cool: impl FnOnce(Box<H>) -> Result<C, Box<H>>) -> bool {
        let Some(slot) = self.slot_mut(handle).filter(|s| matches!(s.body, Body::Hot(_))) else {
            return false;
        };
        let mut parked = false;
        if let Body::Hot(hot) = std::mem::replace(&mut slot.body, Body::Moving) {
            slot.body = match cool(hot) {
                Ok(cold) => {
                    parked = true;
                    Body::Cold(cold)
                }
                Err(hot) => Body::Hot(hot),
            };
        }
        if parked {
            (self.cold, self.hot) = (self.cold + 1, self.hot - 1);
        }
        parked
    }

    /// Marks a session as waiting for its turn; false if it was marked already, or has ended.
    pub fn mark(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| !std::mem::replace(&mut s.marked, true))
    }

    /// Whether a session waits for its turn.
    pub fn is_marked(&self, handle: Handle) -> bool {
        self.slot(handle).is_some_and(|s| s.marked)
    }

    /// Its turn has come; false if it was not marked, or has ended.
    pub fn unmark(&mut self, handle: Handle) -> bool {
        self.slot_mut(handle).is_some_and(|s| std::mem::replace(&mut s.marked, false))
    }

    /// Notes what a session is there for from now on; where that is what it was, its age goes on.
    pub fn set_use(&mut self, handle: Handle, used: Use, now_us: u64) {
        match self.slot(handle) {
            Some(slot) if slot.used != used => {}
            _ => return,
        }
        self.unlink(handle.index);
        self.link(handle.index, used, now_us);
    }

    /// Begins a session's age anew: it has got on.
    pub fn renew(&mut self, handle: Handle, now_us: u64) {
        let Some(used) = self.slot(handle).map(|s| s.used) else { return };
        self.unlink(handle.index);
        self.link(handle.index, used, now_us);
    }

    fn link(&mut self, index: u32, used: Use, now_us: u64) {
        let slot = &mut self.slots[index as usize];
        (slot.used, slot.since_us, slot.previous, slot.next) = (used, now_us, NONE, NONE);
        let Some(list) = self.lists.get_mut(used as usize) else { return };
        slot.previous = list.last;
        list.len += 1;
        let last = std::mem::replace(&mut list.last, index);
        match self.slots.get_mut(last as usize) {
            Some(last) => last.next = index,
            None => list.first = index,
        }
    }

    fn unlink(&mut self, index: u32) {
        let Slot { used, previous, next, .. } = self.slots[index as usize];
        let Some(list) = self.lists.get_mut(used as usize) else { return };
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

    /// Ends a session and hands out what it held.
    pub fn remove(&mut self, handle: Handle) -> Option<Ended<C, H>> {
        self.slot(handle)?;
        self.unlink(handle.index);
        let free = self.free;
        let slot = self.slots.get_mut(handle.index as usize)?;
        let body = std::mem::replace(&mut slot.body, Body::Free);
        let next = (slot.generation.get() + 1) & ((1 << GENERATION_BITS) - 1);
        slot.generation = NonZeroU32::new(next).unwrap_or(NonZeroU32::MIN);
        (slot.used, slot.next) = (Use::Busy, free);
        self.free = handle.index;
        match body {
            Body::Cold(cold) => {
                self.cold -= 1;
                Some(Ended::Cold(cold))
            }
            Body::Hot(hot) => {
                self.hot -= 1;
                Some(Ended::Hot(hot))
            }
            Body::Free | Body::Moving => None,
        }
    }

    /// The session that has been of this use for longest, and since when.
    pub fn oldest(&self, used: Use) -> Option<(Handle, u64)> {
        let index = self.lists.get(used as usize)?.first;
        let slot = self.slots.get(index as usize)?;
        Some((Handle { index, generation: slot.generation }, slot.since_us))
    }

    /// Whose place is given to another session, if anyone's: of those that were told all the oldest, else of
    /// those that don't get on the oldest, else the one idle for longest, whose next request comes over a new
    /// connection. Where as many as `crowd` have not got on, the oldest of them goes sooner, unless it is this side
    /// that has yet to read it. Constant time.
    pub fn yields(&self, now_us: u64, crowd: usize) -> Option<Handle> {
        let over = |used, spared_us: u64| {
            self.oldest(used).filter(|(_, since)| now_us.saturating_sub(*since) >= spared_us)
        };
        let crowded = self.count(Use::Unfinished) >= crowd;
        let pressed = || over(Use::Unfinished, CROWDED_US).filter(|(it, _)| crowded && !self.is_marked(*it));
        let older = |of: [Option<(Handle, u64)>; 2]| {
            of.into_iter().flatten().min_by_key(|(handle, since)| (*since, handle.index))
        };
        let slow = || older([over(Use::Unfinished, SPARED_US), over(Use::Unread, READING_US)]);
        let idle = || older([self.oldest(Use::Idle), self.oldest(Use::Keeping)]);
        over(Use::Told, SPARED_US).or_else(slow).or_else(pressed).or_else(idle).map(|(handle, _)| handle)
    }
}

#[cfg(test)]
mod tests;
