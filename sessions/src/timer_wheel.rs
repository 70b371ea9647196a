//! A hierarchical timing wheel of one microsecond's resolution (Varghese and Lauck, 1987, scheme 7), with levels
//! chosen by the highest digit in which a timer differs from the time reached, as in a radix heap.
//!
//! - Arm, re-arm and cancel take constant time; a timer moves down at most once for each level on its way.
//! - A cancelled timer is gone at once: no tombstone stays behind.
//! - Timers fire in the order of their times, those of one microsecond in the order in which they were armed.
//!   None fires early; how late one fires is the caller's matter alone, as it asks [`TimerWheel::pop`] when it likes.
//! - One armed for a time that has passed is due at once; where it stands among others that are is not promised.

const BITS: u32 = 12;
const SLOTS: usize = 1 << BITS;
/// Forty-eight bits of microseconds: nine years. Later times are taken for the last of these.
const LEVELS: usize = 4;
const LAST_US: u64 = (1 << (BITS * LEVELS as u32)) - 1;
const WORD: usize = 64;
const NONE: u32 = u32::MAX;
/// No slot: the entry is free.
const FREE: u16 = u16::MAX;

/// Names an armed timer. Once it has fired or was cancelled the name means nothing, whatever has its place since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    at_us: u64,
    previous: u32,
    next: u32,
    generation: u32,
    slot: u16,
    value: Option<T>,
}

/// Which slots of a level are occupied: a bit for each, and one for each word of these.
#[derive(Clone, Copy, Debug)]
struct Occupied {
    words: u64,
    slots: [u64; SLOTS / WORD],
}

impl Occupied {
    fn set(&mut self, slot: usize) {
        self.slots[slot / WORD] |= 1 << (slot % WORD);
        self.words |= 1 << (slot / WORD);
    }

    fn clear(&mut self, slot: usize) {
        self.slots[slot / WORD] &= !(1 << (slot % WORD));
        if self.slots[slot / WORD] == 0 {
            self.words &= !(1 << (slot / WORD));
        }
    }

    fn first(&self) -> Option<usize> {
        let word = self.words.trailing_zeros() as usize;
        let bits = self.slots.get(word)?;
        Some(word * WORD + bits.trailing_zeros() as usize)
    }
}

/// A list of timers: two numbers of [`TimerWheel::slots`], so that slots which were never used are never touched.
#[derive(Clone, Copy, Debug)]
struct Slot {
    first: u32,
    last: u32,
    /// No timer here is due before; exact unless the first one was cancelled.
    least_us: u64,
}

/// A wheel of timers that carry a `T` each.
#[derive(Debug)]
pub struct TimerWheel<T> {
    reached_us: u64,
    entries: Vec<Entry<T>>,
    free: u32,
    armed: usize,
    /// Nothing is due before; often too early by far.
    soonest_us: u64,
    occupied: Box<[Occupied; LEVELS]>,
    /// For each slot its first and last timer, each with one added, and its least time.
    slots: Vec<u64>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> TimerWheel<T> {
    /// A wheel at time 0 without timers.
    pub fn new() -> Self {
        Self {
            reached_us: 0,
            entries: Vec::new(),
            free: NONE,
            armed: 0,
            soonest_us: u64::MAX,
            occupied: Box::new([Occupied { words: 0, slots: [0; SLOTS / WORD] }; LEVELS]),
            slots: vec![0; LEVELS * SLOTS * 2],
        }
    }

    /// Timers that are armed.
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
        Slot { first: end(ends), last: end(ends >> 32), least_us: self.slots[2 * at + 1] }
    }

    fn set_slot(&mut self, at: usize, slot: Slot) {
        let end = |n: u32| u64::from(n.wrapping_add(1));
        self.slots[2 * at] = end(slot.first) | end(slot.last) << 32;
        self.slots[2 * at + 1] = slot.least_us;
    }

    /// The level and the number of the first slot that is occupied. What is on a lower level is due sooner.
    fn first_slot(&self) -> Option<(usize, usize)> {
        self.occupied.iter().enumerate().find_map(|(level, o)| Some((level, o.first()?)))
    }

    /// Arms a timer for `at_us`.
    pub fn arm(&mut self, at_us: u64, value: T) -> TimerId {
        let at_us = at_us.min(LAST_US);
        let index = if self.free == NONE {
            self.entries.push(Entry {
                at_us,
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
        (entry.at_us, entry.value) = (at_us, Some(value));
        self.soonest_us = self.soonest_us.min(at_us);
        let generation = entry.generation;
        self.armed += 1;
        self.link(index);
        TimerId { index, generation }
    }

    /// Moves a timer to another time; false if it is not armed any more.
    pub fn rearm(&mut self, id: TimerId, at_us: u64) -> bool {
        if !self.is_armed(id) {
            return false;
        }
        self.unlink(id.index);
        let at_us = at_us.min(LAST_US);
        self.entries[id.index as usize].at_us = at_us;
        self.soonest_us = self.soonest_us.min(at_us);
        self.link(id.index);
        true
    }

    /// Sees to it that a timer which its owner keeps with its time is armed for `due_us`, or for nothing: armed,
    /// moved or cancelled as need be.
    pub fn keep(&mut self, timer: &mut Option<(u64, TimerId)>, due_us: Option<u64>, value: T) {
        if due_us == timer.map(|(at_us, _)| at_us) {
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

    /// Takes a timer out; `None` if it is not armed any more.
    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        if !self.is_armed(id) {
            return None;
        }
        self.unlink(id.index);
        self.release(id.index)
    }

    /// Whether this timer has neither fired nor been cancelled.
    pub fn is_armed(&self, id: TimerId) -> bool {
        let entry = self.entries.get(id.index as usize);
        entry.is_some_and(|e| e.generation == id.generation && e.slot != FREE)
    }

    /// A time before which nothing is due, `None` without timers. It is the time of the next timer, or sooner
    /// by less than its slot's span where one that was due before it has been cancelled; each slot errs once.
    pub fn next_us(&self) -> Option<u64> {
        let (level, number) = self.first_slot()?;
        Some(self.slot(level * SLOTS + number).least_us)
    }

    /// Takes the next timer that is due by `now_us`, with the time it was armed for.
    pub fn pop(&mut self, now_us: u64) -> Option<(u64, T)> {
        if now_us < self.soonest_us {
            return None;
        }
        loop {
            let Some((level, number)) = self.first_slot() else {
                self.reached_us = self.reached_us.max(now_us.min(LAST_US));
                self.soonest_us = u64::MAX;
                return None;
            };
            let digit = number as u64;
            let at = level * SLOTS + number;
            let shift = BITS * level as u32;
            // What stands above this level's digit is the same for all timers here as for the time reached.
            let above = self.reached_us >> shift >> BITS << BITS;
            let start_us = (above | digit) << shift;
            let Slot { first, least_us, .. } = self.slot(at);
            if start_us > now_us {
                self.reached_us = self.reached_us.max(now_us);
                self.soonest_us = least_us;
                return None;
            }
            self.reached_us = self.reached_us.max(start_us);
            if level == 0 {
                let due_us = self.entries[first as usize].at_us;
                self.unlink(first);
                return self.release(first).map(|value| (due_us, value));
            }
            // Down with all of them, in their order.
            self.set_slot(at, Slot { first: NONE, last: NONE, least_us: 0 });
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
        let at_us = self.entries[index as usize].at_us;
        // What is late goes where the time reached stands.
        let key = at_us.max(self.reached_us);
        let differ = key ^ self.reached_us;
        let level = (63 - (differ | 1).leading_zeros()) / BITS;
        let digit = (key >> (BITS * level)) as usize % SLOTS;
        let at = level as usize * SLOTS + digit;
        let Slot { first, last, least_us } = self.slot(at);
        let slot = if last == NONE {
            self.occupied[level as usize].set(digit);
            Slot { first: index, last: index, least_us: at_us }
        } else {
            self.entries[last as usize].next = index;
            Slot { first, last: index, least_us: least_us.min(at_us) }
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
            self.occupied[at / SLOTS].clear(at % SLOTS);
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
mod tests {
    use super::*;

    fn all<T>(wheel: &mut TimerWheel<T>, now_us: u64) -> Vec<(u64, T)> {
        std::iter::from_fn(|| wheel.pop(now_us)).collect()
    }

    #[test]
    fn two_of_one_microsecond_fire_as_they_were_armed_however_long_before() {
        let mut wheel = TimerWheel::new();
        wheel.arm(20_000_000, 'a');
        assert_eq!(wheel.pop(19_999_000), None);
        wheel.arm(20_000_000, 'b');
        wheel.arm(19_999_999, 'c');
        assert_eq!(all(&mut wheel, 20_000_000), [(19_999_999, 'c'), (20_000_000, 'a'), (20_000_000, 'b')]);
    }

    #[test]
    fn armed_cancelled_and_armed_again_in_one_turn_fires_once() {
        let mut wheel = TimerWheel::new();
        let first = wheel.arm(500, 1);
        assert_eq!(wheel.cancel(first), Some(1));
        let second = wheel.arm(500, 2);
        assert_eq!(wheel.cancel(first), None, "the name of a cancelled timer reaches no other one");
        assert!(!wheel.rearm(first, 100) && wheel.rearm(second, 700));
        assert_eq!(wheel.next_us(), Some(700));
        assert_eq!(all(&mut wheel, 10_000), [(700, 2)]);
        assert!(wheel.is_empty() && wheel.next_us().is_none());
    }

    #[test]
    fn a_clock_that_stands_still_and_jumps_on_skips_nobody() {
        let mut wheel = TimerWheel::new();
        for n in 0..1000_u64 {
            wheel.arm(5_000_000 + (n * 7919) % 20_000_000, n);
        }
        for _ in 0..5 {
            assert_eq!(wheel.pop(4_999_999), None, "it stands still");
        }
        let fired = all(&mut wheel, 14_999_999);
        assert!(fired.is_sorted_by_key(|f| f.0));
        let late = all(&mut wheel, u64::MAX);
        assert_eq!(fired.len() + late.len(), 1000);
        assert!(late.iter().all(|l| l.0 > 14_999_999));
    }

    #[test]
    fn digits_that_turn_over_keep_the_order() {
        for edge in [63, 64, 4095, 4096, (1 << 18) - 1, 1 << 18, 1 << 36] {
            let mut wheel = TimerWheel::new();
            assert_eq!(wheel.pop(edge - 2), None);
            for at in [edge + 1, edge, edge - 1, edge + 64, edge + 4096] {
                wheel.arm(at, at);
            }
            let mut fired = Vec::new();
            while let Some(at) = wheel.next_us() {
                fired.extend(all(&mut wheel, at));
            }
            let wanted = [edge - 1, edge, edge + 1, edge + 64, edge + 4096];
            assert_eq!(fired, wanted.map(|at| (at, at)));
        }
    }

    #[test]
    fn what_is_late_when_it_is_armed_is_due_at_once_and_the_end_of_time_is_a_time() {
        let mut wheel = TimerWheel::new();
        assert_eq!(wheel.pop(1_000_000), None);
        wheel.arm(1_000_000, 'a');
        wheel.arm(5, 'b');
        let never = wheel.arm(u64::MAX, 'c');
        assert!(wheel.next_us().is_some_and(|at| at <= 1_000_000));
        let mut due = all(&mut wheel, 1_000_000);
        due.sort_unstable();
        assert_eq!(due, [(5, 'b'), (1_000_000, 'a')]);
        assert!(wheel.is_armed(never));
    }

    #[test]
    fn a_timer_armed_by_one_that_fires_takes_its_place_in_the_order() {
        let mut wheel = TimerWheel::new();
        wheel.arm(10, 'a');
        wheel.arm(30, 'c');
        assert_eq!(wheel.pop(100), Some((10, 'a')));
        wheel.arm(20, 'b');
        assert_eq!(all(&mut wheel, 100), [(20, 'b'), (30, 'c')]);
    }

    #[test]
    fn a_cancelled_first_timer_costs_one_early_look_at_most() {
        let mut wheel = TimerWheel::new();
        let first = wheel.arm(20_000_000, 1);
        wheel.arm(21_000_000, 2);
        wheel.cancel(first);
        let mut looks = 0;
        while !wheel.is_empty() {
            let at = wheel.next_us().unwrap();
            looks += usize::from(wheel.pop(at).is_none());
        }
        assert!(looks <= 1, "{looks}");
    }
}
