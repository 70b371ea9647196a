//! A hierarchical timing wheel with a resolution of one microsecond (Varghese and Lauck, 1987, scheme 7). As in a radix
//! heap, a timer's level is the position of the highest digit in which its due time differs from the current time.
//!
//! - Arming, rearming and cancelling take constant time. A timer is moved at most once per level before it fires.
//! - A cancelled timer is removed immediately.
//! - Timers fire in the order of their due times, and timers with the same due time in the order in which they were
//!   last armed or rearmed. No timer fires early. A late call of [`TimerWheel::pop`] fires them late.
//! - A timer whose due time has passed when it is armed is due at once. Its order among other due timers is not
//!   specified.

const BITS_PER_LEVEL: u32 = 12;
const SLOTS_PER_LEVEL: usize = 1 << BITS_PER_LEVEL;
/// Due times have 48 bits, which is nine years. Later due times are clamped to the last of these.
const LEVELS: usize = 4;
const MAX_TIME_US: u64 = (1 << (BITS_PER_LEVEL * LEVELS as u32)) - 1;
const BITS_PER_WORD: usize = 64;
const NONE: u32 = u32::MAX;
/// Slot number of an entry in the free list.
const FREE: u16 = u16::MAX;

/// Identifies an armed timer, and becomes invalid when the timer has fired or was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    due_us: u64,
    previous: u32,
    next: u32,
    generation: u32,
    slot: u16,
    value: Option<T>,
}

/// Two-level bitmap of the occupied slots of a level: one bit per slot, and one bit per non-zero word of slot bits.
#[derive(Clone, Copy, Debug)]
struct Occupied {
    words: u64,
    slots: [u64; SLOTS_PER_LEVEL / BITS_PER_WORD],
}

impl Occupied {
    fn set(&mut self, slot: usize) {
        self.slots[slot / BITS_PER_WORD] |= 1 << (slot % BITS_PER_WORD);
        self.words |= 1 << (slot / BITS_PER_WORD);
    }

    fn clear(&mut self, slot: usize) {
        self.slots[slot / BITS_PER_WORD] &= !(1 << (slot % BITS_PER_WORD));
        if self.slots[slot / BITS_PER_WORD] == 0 {
            self.words &= !(1 << (slot / BITS_PER_WORD));
        }
    }

    fn first(&self) -> Option<usize> {
        let word = self.words.trailing_zeros() as usize;
        let bits = self.slots.get(word)?;
        Some(word * BITS_PER_WORD + bits.trailing_zeros() as usize)
    }
}

/// The list of timers in a slot. `TimerWheel::slots` stores it as two integers that are initially 0, so that the memory
/// of slots that were never used is not touched.
#[derive(Clone, Copy, Debug)]
struct Slot {
    first: u32,
    last: u32,
    /// Lower bound of the due times in this slot. Exact unless the earliest timer was cancelled or rearmed.
    earliest_us: u64,
}

/// A timer wheel. Each timer carries a value of type `T`.
#[derive(Debug)]
pub struct TimerWheel<T> {
    current_us: u64,
    entries: Vec<Entry<T>>,
    free: u32,
    armed: usize,
    /// No timer is due before this time. It may be much earlier than the next due time.
    not_due_before_us: u64,
    occupied: Box<[Occupied; LEVELS]>,
    /// Two integers per slot: the indices of the first and last timer, each plus one, and the earliest due time.
    slots: Vec<u64>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> TimerWheel<T> {
    /// Creates a wheel at time 0 without timers.
    pub fn new() -> Self {
        Self {
            current_us: 0,
            entries: Vec::new(),
            free: NONE,
            armed: 0,
            not_due_before_us: u64::MAX,
            occupied: Box::new([Occupied { words: 0, slots: [0; SLOTS_PER_LEVEL / BITS_PER_WORD] }; LEVELS]),
            slots: vec![0; LEVELS * SLOTS_PER_LEVEL * 2],
        }
    }

    /// Number of armed timers.
    pub fn len(&self) -> usize {
        self.armed
    }

    /// Whether no timer is armed.
    pub fn is_empty(&self) -> bool {
        self.armed == 0
    }

    fn slot(&self, at: usize) -> Slot {
        let ends = self.slots[2 * at];
        let end = |n: u64| (n as u32).wrapping_sub(1);
        Slot { first: end(ends), last: end(ends >> 32), earliest_us: self.slots[2 * at + 1] }
    }

    fn set_slot(&mut self, at: usize, slot: Slot) {
        let end = |n: u32| u64::from(n.wrapping_add(1));
        self.slots[2 * at] = end(slot.first) | end(slot.last) << 32;
        self.slots[2 * at + 1] = slot.earliest_us;
    }

    /// Level and number of the first occupied slot. Timers on a lower level are due before those on higher levels.
    fn first_slot(&self) -> Option<(usize, usize)> {
        self.occupied.iter().enumerate().find_map(|(level, o)| Some((level, o.first()?)))
    }

    /// Arms a timer for `due_us`, in microseconds.
    pub fn arm(&mut self, due_us: u64, value: T) -> TimerId {
        let due_us = due_us.min(MAX_TIME_US);
        let index = if self.free == NONE {
            self.entries.push(Entry {
                due_us,
                previous: NONE,
                next: NONE,
                generation: 0,
                slot: FREE,
                value: None,
            });
            (self.entries.len() - 1) as u32
        } else {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            index
        };
        let entry = &mut self.entries[index as usize];
        (entry.due_us, entry.value) = (due_us, Some(value));
        self.not_due_before_us = self.not_due_before_us.min(due_us);
        let generation = entry.generation;
        self.armed += 1;
        self.link(index);
        TimerId { index, generation }
    }

    /// Changes the due time of a timer. Returns false if the timer is no longer armed.
    pub fn rearm(&mut self, id: TimerId, due_us: u64) -> bool {
        if !self.is_armed(id) {
            return false;
        }
        self.unlink(id.index);
        let due_us = due_us.min(MAX_TIME_US);
        self.entries[id.index as usize].due_us = due_us;
        self.not_due_before_us = self.not_due_before_us.min(due_us);
        self.link(id.index);
        true
    }

    /// Arms, rearms or cancels a timer, so that it is armed for `due_us`, or not armed if that is `None`. `timer` is
    /// the owner's record of the due time and the id, which the owner must set to `None` when the timer fires. A
    /// rearmed timer keeps its value.
    pub fn reschedule(&mut self, timer: &mut Option<(u64, TimerId)>, due_us: Option<u64>, value: T) {
        if due_us == timer.map(|(due_us, _)| due_us) {
            return;
        }
        *timer = match (*timer, due_us) {
            (Some((_, id)), Some(due_us)) if self.rearm(id, due_us) => Some((due_us, id)),
            (Some((_, id)), None) => {
                self.cancel(id);
                None
            }
            (_, due_us) => due_us.map(|due_us| (due_us, self.arm(due_us, value))),
        };
    }

    /// Cancels a timer and returns its value. Returns `None` if the timer is no longer armed.
    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        if !self.is_armed(id) {
            return None;
        }
        self.unlink(id.index);
        self.release(id.index)
    }

    /// Whether a timer has neither fired nor been cancelled.
    pub fn is_armed(&self, id: TimerId) -> bool {
        let entry = self.entries.get(id.index as usize);
        entry.is_some_and(|e| e.generation == id.generation && e.slot != FREE)
    }

    /// A time before which no timer is due, or `None` if no timer is armed. It is the due time of the next timer, or
    /// earlier if a timer in the same slot was cancelled or rearmed. A slot causes at most one early wake-up.
    pub fn next_us(&self) -> Option<u64> {
        let (level, number) = self.first_slot()?;
        Some(self.slot(level * SLOTS_PER_LEVEL + number).earliest_us)
    }

    /// Removes the next timer that is due at `now_us`, and returns its due time and value; `None` if no timer is due.
    pub fn pop(&mut self, now_us: u64) -> Option<(u64, T)> {
        if now_us < self.not_due_before_us {
            return None;
        }
        loop {
            let Some((level, number)) = self.first_slot() else {
                self.current_us = self.current_us.max(now_us.min(MAX_TIME_US));
                self.not_due_before_us = u64::MAX;
                return None;
            };
            let digit = number as u64;
            let at = level * SLOTS_PER_LEVEL + number;
            let shift = BITS_PER_LEVEL * level as u32;
            // All timers in this slot have the same higher digits as the current time.
            let above = self.current_us >> shift >> BITS_PER_LEVEL << BITS_PER_LEVEL;
            let start_us = (above | digit) << shift;
            let Slot { first, earliest_us, .. } = self.slot(at);
            if start_us > now_us {
                self.current_us = self.current_us.max(now_us);
                self.not_due_before_us = earliest_us;
                return None;
            }
            self.current_us = self.current_us.max(start_us);
            if level == 0 {
                let due_us = self.entries[first as usize].due_us;
                self.unlink(first);
                return self.release(first).map(|value| (due_us, value));
            }
            // Move all timers of the slot to lower levels, in their order.
            self.set_slot(at, Slot { first: NONE, last: NONE, earliest_us: 0 });
            self.occupied[level].clear(number);
            let mut index = first;
            while index != NONE {
                let next = self.entries[index as usize].next;
                self.link(index);
                index = next;
            }
        }
    }

    fn link(&mut self, index: u32) {
        let due_us = self.entries[index as usize].due_us;
        // A timer that is already due is placed in the slot of the current time.
        let key = due_us.max(self.current_us);
        let differ = key ^ self.current_us;
        let level = (63 - (differ | 1).leading_zeros()) / BITS_PER_LEVEL;
        let digit = (key >> (BITS_PER_LEVEL * level)) as usize % SLOTS_PER_LEVEL;
        let at = level as usize * SLOTS_PER_LEVEL + digit;
        let Slot { first, last, earliest_us } = self.slot(at);
        let slot = if last == NONE {
            self.occupied[level as usize].set(digit);
            Slot { first: index, last: index, earliest_us: due_us }
        } else {
            self.entries[last as usize].next = index;
            Slot { first, last: index, earliest_us: earliest_us.min(due_us) }
        };
        self.set_slot(at, slot);
        let entry = &mut self.entries[index as usize];
        (entry.previous, entry.next, entry.slot) = (last, NONE, at as u16);
    }

    fn unlink(&mut self, index: u32) {
        let Entry { previous, next, slot: at, .. } = self.entries[index as usize];
        let at = usize::from(at);
        let mut slot = self.slot(at);
        if previous == NONE {
            slot.first = next;
        }
        if next == NONE {
            slot.last = previous;
        }
        if slot.first == NONE {
            self.occupied[at / SLOTS_PER_LEVEL].clear(at % SLOTS_PER_LEVEL);
        }
        self.set_slot(at, slot);
        if previous != NONE {
            self.entries[previous as usize].next = next;
        }
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
    }

    fn release(&mut self, index: u32) -> Option<T> {
        self.armed -= 1;
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        (entry.slot, entry.next) = (FREE, self.free);
        self.free = index;
        entry.value.take()
    }
}

#[cfg(test)]
mod tests;
