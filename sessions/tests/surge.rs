//! The table, the wheel and the scheduler together, in simulated time with a core that has costs of its own: half of
//! 100,000 sessions wake within 50 ms while others connect and some are active. Deterministic.

use std::collections::{BTreeMap, HashMap};

use wrenhatch_sessions::read_scheduler::{RECENTLY_ACTIVE_US, ReadLimits, ReadPriority, ReadScheduler, Work};
use wrenhatch_sessions::session_table::{Activity, Handle, SessionTable};

/// What this core spends, in microseconds, unknown to the scheduler.
const READ_US: u64 = 12;
const REQUEST_US: u64 = 30;
const ACCEPT_US: u64 = 25;

#[derive(Clone, Copy)]
enum Arrival {
    Ready(Handle, ReadPriority, u32),
    Connects,
}

struct World {
    table: SessionTable<u32, u32>,
    scheduler: ReadScheduler,
    now_us: u64,
    /// What is yet to come, latest first.
    coming: Vec<(u64, Arrival)>,
    ready: HashMap<Handle, u64>,
    waits: BTreeMap<ReadPriority, Vec<u64>>,
    connects: usize,
    rejected_ms: Vec<u64>,
    longest_turn_us: u64,
}

impl World {
    /// One turn, as the gateway's loop makes it; false when nothing is left.
    fn turn(&mut self, patience_us: u64) -> bool {
        if self.scheduler.waiting() == 0 && self.connects == 0 {
            let Some((at_us, _)) = self.coming.last() else { return false };
            self.now_us = self.now_us.max(*at_us);
        }
        while self.coming.last().is_some_and(|(at_us, _)| *at_us <= self.now_us) {
            let Some((_, arrival)) = self.coming.pop() else { break };
            match arrival {
                Arrival::Connects => self.connects += 1,
                Arrival::Ready(handle, priority, group) => {
                    if self.table.set_queued(handle) {
                        self.scheduler.enqueue(handle, priority, group, self.now_us);
                        self.ready.insert(handle, self.now_us);
                    }
                }
            }
        }
        let mut took_us = 20;
        let accepts = self.scheduler.accepts().min(self.connects);
        self.connects -= accepts;
        self.scheduler.charge(Work::Accept, accepts);
        took_us += accepts as u64 * ACCEPT_US;
        while let Some(read) = self.scheduler.next_read(self.now_us) {
            assert!(self.table.clear_queued(read.handle), "no session is read without having been ready");
            assert!(self.table.resume(read.handle, self.now_us, Box::new));
            took_us += READ_US;
            let since_us = self.ready.remove(&read.handle).unwrap();
            assert_eq!(since_us, read.ready_us);
            let backlog_us = if read.read_ahead { self.scheduler.backlog_us() } else { 0 };
            if ReadScheduler::can_meet_deadline(self.now_us, backlog_us, since_us + patience_us) {
                self.scheduler.charge(Work::Request, 1);
                took_us += REQUEST_US;
                // Which of them it was is known by its group.
                let priority = if *self.table.active(read.handle).unwrap() == 0 {
                    ReadPriority::RecentlyActive
                } else {
                    ReadPriority::LongIdle
                };
                self.waits.entry(priority).or_default().push(self.now_us - since_us);
            } else {
                self.rejected_ms.push(self.scheduler.retry_after_ms(self.now_us));
            }
            self.table.set_activity(read.handle, Activity::Idle, self.now_us);
            self.table.suspend(read.handle, |active| Ok(*active));
        }
        self.longest_turn_us = self.longest_turn_us.max(took_us);
        self.now_us += took_us;
        self.scheduler.end_turn(took_us);
        true
    }
}

/// `n` sessions of which half wake up, ten active ones, and a tenth of `n` that connect anew.
fn wake_up(n: u32, patience_us: u64) -> World {
    let mut w = World {
        table: SessionTable::new(),
        scheduler: ReadScheduler::new(ReadLimits {
            shortest_deadline_us: patience_us,
            ..ReadLimits::default()
        }),
        now_us: 10 * RECENTLY_ACTIVE_US,
        coming: Vec::new(),
        ready: HashMap::new(),
        waits: BTreeMap::new(),
        connects: 0,
        rejected_ms: Vec::new(),
        longest_turn_us: 0,
    };
    let suspend = |w: &mut World, kind: u32| {
        let handle = w.table.insert(0, Box::new(kind));
        w.table.set_activity(handle, Activity::Idle, 0);
        w.table.suspend(handle, |active| Ok(*active));
        handle
    };
    let start_us = w.now_us;
    for i in 0..n / 2 {
        let handle = suspend(&mut w, 1);
        let at_us = start_us + u64::from(i) * 50_000 / u64::from(n / 2);
        w.coming.push((at_us, Arrival::Ready(handle, ReadPriority::LongIdle, i % 100)));
        if i % 5 == 0 {
            w.coming.push((at_us, Arrival::Connects));
        }
    }
    for i in 0..10 {
        let handle = suspend(&mut w, 0);
        for ms in 0..100 {
            w.coming.push((
                start_us + ms * 20_000 + i * 1_000,
                Arrival::Ready(handle, ReadPriority::RecentlyActive, 1000),
            ));
        }
    }
    w.coming.sort_by_key(|(at_us, _)| std::cmp::Reverse(*at_us));
    for _ in 0..1_000_000 {
        if !w.turn(patience_us) {
            return w;
        }
    }
    panic!("it never comes to an end");
}

#[test]
fn active_clients_are_not_delayed_by_50_000_that_wake_up() {
    let w = wake_up(100_000, 20_000_000);
    let active = &w.waits[&ReadPriority::RecentlyActive];
    assert_eq!((active.len(), w.waits[&ReadPriority::LongIdle].len()), (1000, 50_000), "each is served once");
    assert!(w.rejected_ms.is_empty(), "all of them could be served in time");
    let worst = active.iter().max().unwrap();
    assert!(*worst <= 10_000, "an active client waited {worst} us");
    assert!(w.longest_turn_us <= 10_000, "a turn took {} us", w.longest_turn_us);
    // With nothing but one core, 50,000 need 2.1 s; nothing of it may be wasted.
    let longest = w.waits[&ReadPriority::LongIdle].iter().max().unwrap();
    assert!(*longest < 2_700_000, "{longest}");
}

#[test]
fn a_request_that_can_t_be_served_in_time_is_rejected_soon_and_retried_apart_from_others() {
    let patience_us = 500_000;
    let w = wake_up(100_000, patience_us);
    let served = w.waits[&ReadPriority::LongIdle].len();
    assert_eq!(served + w.rejected_ms.len(), 50_000, "one answer or rejection for each");
    // Half a second carries about 11,000 of them, if nothing else is done.
    assert!(served > 8_000, "{served} served");
    let worst = w.waits.values().flatten().max().unwrap();
    assert!(*worst < patience_us, "what is served is served in time: {worst}");
    assert!(*w.waits[&ReadPriority::RecentlyActive].iter().max().unwrap() <= 10_000);
    let mut buckets = [0; 10];
    w.rejected_ms.iter().for_each(|ms| buckets[(*ms as usize * 10 / 501).min(9)] += 1);
    let (least, most) = (buckets.iter().min().unwrap(), buckets.iter().max().unwrap());
    assert!(*most < 2 * w.rejected_ms.len() / 10, "{buckets:?}");
    assert!(*least > 0, "{buckets:?}");
}
