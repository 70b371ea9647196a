use std::collections::BTreeSet;

use super::*;

/// A start time within the lifetime of the project, in Unix microseconds.
const START_US: u64 = 1_800_000_000_000_000;
const SECOND_US: u64 = 1_000_000;
/// More ids than the clock passes between two steps of a test.
const MAX_DRAINED: usize = 500_000;

/// A process that reserves numbers in a high-water mark which it may share.
struct Process(StatementIds);

impl Process {
    fn start(mark: &mut Option<HighWaterMark>, now_us: u64) -> Self {
        let mut ids = StatementIds::new("n0");
        *mark = Some(ids.initial_reservation(*mark, now_us).mark);
        Self(ids)
    }

    fn take(&mut self, mark: &mut Option<HighWaterMark>, now_us: u64) -> Option<u32> {
        self.0.take(now_us).or_else(|| {
            let reservation = self.0.next_reservation(*mark, now_us);
            *mark = Some(reservation.mark);
            self.0.add(reservation);
            self.0.take(now_us)
        })
    }

    /// Takes all ids that are available.
    fn drain(&mut self, mark: &mut Option<HighWaterMark>, now_us: u64) -> Vec<u32> {
        let ids: Vec<u32> = std::iter::from_fn(|| self.take(mark, now_us)).take(MAX_DRAINED).collect();
        assert!(ids.len() < MAX_DRAINED, "ids must run out");
        ids
    }
}

/// Adds ids, of which none may have been seen before.
fn add(seen: &mut BTreeSet<u32>, ids: &[u32]) {
    for id in ids {
        assert!(seen.insert(*id), "{id} was handed out before, after {} others", seen.len());
    }
}

/// A process that ends and loses its high-water mark must not be followed by one that hands out its ids again.
#[test]
fn a_restarted_process_without_a_stored_mark_continues_behind_all_earlier_ids() {
    let mut seen = BTreeSet::new();
    let mut now_us = START_US;
    for run_us in [250, 1, 3 * SECOND_US, 0, 245, 90 * SECOND_US, 7] {
        let mut mark = None;
        let mut process = Process::start(&mut mark, now_us);
        add(&mut seen, &process.drain(&mut mark, now_us));
        now_us += run_us;
        // As many as the clock allows: the worst case for the next process.
        add(&mut seen, &process.drain(&mut mark, now_us));
    }
    assert!(seen.len() as u64 > 93 * NUMBERS_PER_SECOND);
}

/// Processes of replacements in a row, of which some end before their predecessor, must not hand out equal ids.
#[test]
fn processes_that_share_a_mark_hand_out_different_ids() {
    let mut seen = BTreeSet::new();
    let mut mark = None;
    let mut processes: Vec<Process> = Vec::new();
    let mut now_us = START_US;
    for round in 0..60_usize {
        processes.push(Process::start(&mut mark, now_us));
        if round % 3 == 2 {
            processes.remove(round % processes.len());
        }
        for (position, process) in processes.iter_mut().enumerate() {
            now_us += 20_000;
            let count = (position + 1) * 40;
            let ids: Vec<u32> = (0..count).map_while(|_| process.take(&mut mark, now_us)).collect();
            add(&mut seen, &ids);
        }
    }
    assert!(seen.len() > 10_000, "{}", seen.len());
}

/// A file that is deleted while processes run must not lead to ids that were handed out before.
#[test]
fn a_lost_mark_does_not_repeat_ids() {
    let mut seen = BTreeSet::new();
    let mut mark = None;
    let mut process = Process::start(&mut mark, START_US);
    for second in 1..20 {
        let now_us = START_US + second * SECOND_US;
        let ids: Vec<u32> = (0..1500).map_while(|_| process.take(&mut mark, now_us)).collect();
        add(&mut seen, &ids);
        if second % 4 == 0 {
            mark = None;
        }
    }
}

/// An id that is handed out long after its number could meet the same id of the next period of the clock.
#[test]
fn numbers_expire() {
    let mut mark = None;
    let mut process = Process::start(&mut mark, START_US);
    let mut last = process.take(&mut mark, START_US + SECOND_US).unwrap();
    for day in 1..30 {
        let now_us = START_US + day * 86_400 * SECOND_US;
        let oldest = process.0.clock(now_us) - MAX_AGE_NUMBERS;
        let id = process.take(&mut mark, now_us).unwrap();
        assert_ne!(id, last);
        assert_eq!(id, (oldest as u32).wrapping_add(process.0.offset), "the oldest number that is valid");
        last = id;
    }
}

/// A process whose clock is behind the high-water mark must neither wait for its clock nor repeat ids.
#[test]
fn a_clock_that_was_set_back_delays_no_ids() {
    let mut seen = BTreeSet::new();
    let mut mark = None;
    let mut first = Process::start(&mut mark, START_US);
    add(&mut seen, &first.drain(&mut mark, START_US + SECOND_US));
    let set_back_us = START_US - 3600 * SECOND_US;
    let mut second = Process::start(&mut mark, set_back_us);
    let ids = second.drain(&mut mark, set_back_us + SECOND_US);
    assert_eq!(ids.len() as u64, NUMBERS_PER_SECOND);
    add(&mut seen, &ids);
    add(&mut seen, &first.drain(&mut mark, START_US + 2 * SECOND_US));
    add(&mut seen, &second.drain(&mut mark, set_back_us + 2 * SECOND_US));
}

/// Clients give a meaning of their own to the ids 0 and 2^32 - 1.
#[test]
fn ids_with_a_special_meaning_are_skipped() {
    let mut ids = StatementIds::new("n0");
    // The numbers of the ids from 2^32 - 3 to 2.
    let first = (1 << 32) - 3 - u64::from(ids.offset) + (1 << 42);
    ids.add(Reservation { mark: HighWaterMark { first_free: first + 6 }, numbers: first..first + 6 });
    let taken: Vec<u32> = std::iter::from_fn(|| ids.take(0)).collect();
    assert_eq!(taken, [u32::MAX - 2, u32::MAX - 1, 1, 2]);
}

#[test]
fn gateways_begin_at_different_ids() {
    let ids: BTreeSet<u32> = (0..1000).map(|n| StatementIds::new(&format!("n{n}")).offset).collect();
    assert_eq!(ids.len(), 1000);
}

/// Anything but a complete high-water mark counts as lost.
#[test]
fn a_mark_is_decoded_only_as_it_was_encoded() {
    for first_free in [0, 1, 7_372_800_000_123, u64::MAX / 2] {
        let mark = HighWaterMark { first_free };
        assert_eq!(HighWaterMark::decode(mark.encode().as_bytes()), Some(mark));
    }
    let invalid = [
        "",
        "7",
        "0000000000000000000a",
        "+0000000000000000007",
        "99999999999999999999",
        "18446744073709551615",
    ];
    for text in invalid {
        assert_eq!(HighWaterMark::decode(text.as_bytes()), None, "{text}");
    }
    assert_eq!(HighWaterMark::decode(&[0xff; ENCODED_BYTES]), None);
}
