//! Allocation of statement ids, which are unique among all processes of a gateway.
//!
//! A client may still use a statement id of an earlier connection, to this process or to another one. Every id
//! therefore stands for a number that only one process of the gateway hands out:
//!
//! - Numbers follow the clock, `NUMBERS_PER_SECOND`. A process hands out only numbers that the clock has passed, and
//!   begins at the number of its start. Thus a process that is started after another has ended begins behind all of the
//!   other's numbers, without any state of the other.
//! - Processes that run at the same time reserve disjoint ranges above a [`HighWaterMark`] that they share. The caller
//!   stores it and excludes concurrent reservations.
//!
//! An id is the lower half of its number plus a constant of the gateway. As numbers also expire, at least 2^32 numbers
//! less `MAX_AGE_NUMBERS`, or 12 days, lie between two uses of an id.

use std::ops::Range;

use sha1::{Digest, Sha1};

/// More than one core can prepare, so that statements wait for ids only shortly after the start of a process.
const NUMBERS_PER_SECOND: u64 = 4096;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
/// Numbers that the clock passed an hour ago or earlier are not handed out.
const MAX_AGE_NUMBERS: u64 = 3600 * NUMBERS_PER_SECOND;
/// Maximum number of ids in one reservation.
const MAX_RESERVATION: u64 = 1024;
/// MariaDB clients use the highest id for the statement that was prepared last, and some clients use 0 for none.
const UNUSED_IDS: [u32; 2] = [0, u32::MAX];
/// Length of an encoded [`HighWaterMark`].
const ENCODED_BYTES: usize = 20;

/// The first number that no process of the gateway has reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HighWaterMark {
    first_free: u64,
}

impl HighWaterMark {
    /// Encodes the high-water mark as decimal digits. The length is always the same, so that an encoded mark overwrites
    /// another one completely.
    pub fn encode(self) -> String {
        format!("{:0ENCODED_BYTES$}", self.first_free)
    }

    /// Decodes a high-water mark. `None` if the text is not an encoded high-water mark.
    pub fn decode(text: &[u8]) -> Option<Self> {
        let is_number = text.len() == ENCODED_BYTES && text.iter().all(u8::is_ascii_digit);
        let first_free = std::str::from_utf8(text).ok().filter(|_| is_number)?.parse().ok()?;
        // The upper bits must be free for sums.
        (first_free <= u64::MAX / 2).then_some(Self { first_free })
    }
}

/// A range of numbers to be reserved, and the high-water mark without them.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Must be stored before the numbers are used.
    pub mark: HighWaterMark,
    numbers: Range<u64>,
}

/// The statement ids that one process hands out. All times are Unix times in microseconds and must not decrease.
#[derive(Debug)]
pub struct StatementIds {
    /// Added to each number, so that gateways of different names begin at different ids.
    offset: u32,
    /// Numbers by which this process is ahead of its clock: the clock was set back before its start.
    clock_lead: u64,
    reserved: Range<u64>,
}

impl StatementIds {
    /// Creates an allocator without reserved numbers. The processes of a gateway must use the same name.
    pub fn new(gateway_name: &str) -> Self {
        let digest = Sha1::digest(gateway_name);
        let offset = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
        Self { offset, clock_lead: 0, reserved: 0..0 }
    }

    /// The first number that the clock has not passed.
    fn clock(&self, unix_us: u64) -> u64 {
        let numbers =
            u128::from(unix_us) * u128::from(NUMBERS_PER_SECOND) / u128::from(MICROSECONDS_PER_SECOND);
        // The quotient is smaller than the time.
        numbers as u64 + self.clock_lead
    }

    /// The empty reservation of a process that starts, so that its numbers begin at the present. `stored` is the
    /// high-water mark of processes that may be running.
    pub fn initial_reservation(&mut self, stored: Option<HighWaterMark>, unix_us: u64) -> Reservation {
        self.follow(stored, unix_us);
        self.next_reservation(None, unix_us)
    }

    /// Moves the clock forward if it is behind the high-water mark, so that numbers do not run out until it has caught
    /// up.
    fn follow(&mut self, stored: Option<HighWaterMark>, unix_us: u64) {
        let first_free = stored.map_or(0, |mark| mark.first_free);
        self.clock_lead += first_free.saturating_sub(self.clock(unix_us));
    }

    /// Chooses the next numbers to reserve. The reservation is empty if the clock has not passed any free number. A
    /// lost high-water mark is replaced by the current number, which is behind all numbers in use.
    pub fn next_reservation(&mut self, stored: Option<HighWaterMark>, unix_us: u64) -> Reservation {
        self.follow(stored, unix_us);
        let clock = self.clock(unix_us);
        let first_free = stored.map_or(clock, |mark| mark.first_free);
        let start = first_free.max(clock.saturating_sub(MAX_AGE_NUMBERS));
        let end = clock.min(start + MAX_RESERVATION);
        Reservation { mark: HighWaterMark { first_free: end }, numbers: start..end }
    }

    /// Adds reserved numbers, after the high-water mark was stored. Numbers that were reserved earlier are dropped.
    pub fn add(&mut self, reservation: Reservation) {
        self.reserved = reservation.numbers;
    }

    /// Takes an id from the reserved numbers. `None` if more must be reserved.
    pub fn take(&mut self, unix_us: u64) -> Option<u32> {
        let oldest = self.clock(unix_us).saturating_sub(MAX_AGE_NUMBERS);
        self.reserved.start = self.reserved.start.max(oldest);
        let offset = self.offset;
        self.reserved
            .by_ref()
            .map(|number| (number as u32).wrapping_add(offset))
            .find(|id| !UNUSED_IDS.contains(id))
    }
}

#[cfg(test)]
mod tests;
