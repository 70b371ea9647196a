//! The table, the wheel and the governor together, in simulated time with a core that has costs of its own: half of
//! 100,000 sessions wake within 50 ms while others connect and some are active. Deterministic.

use std::collections::{BTreeMap, HashMap};

use wrenhatch_sessions::read_scheduler::{ACTIVE_US, Limits, ReadScheduler, Standing, Work};
use wrenhatch_sessions::session_table::{Handle, Table, Use};

/// What this core spends, in microseconds, unknown to the governor.
const READ_US: u64 = 12;
const REQUEST_US: u64 = 30;
const ACCEPT_US: u64 = 25;

#[derive(Clone, Copy)]
enum Arrival {
    Ready(Handle, Standing, u32),
    Connects,
}

struct World {
    table: Table<u32, u32>,
    governor: ReadScheduler,
    now_us: u64,
    /// What is yet to come, latest first.
    coming: Vec<(u64, Arrival)>,
    ready: HashMap<Handle, u64>,
    waits: BTreeMap<Standing, Vec<u64>>,
    connects: usize,
    refused: Vec<u64>,
    longest_turn_us: u64,
}

impl World {
    /// One turn, as the gateway's loop makes it; false when nothing is left.
    fn turn(&mut self, patience_us: u64) -> bool {
        if self.governor.waiting() == 0 && self.connects == 0 {
            let Some((at_us, _)) = self.coming.last() else { return false };
            self.now_us = self.now_us.max(*at_us);
        }
        while self.coming.last().is_some_and(|(at_us, _)| *at_us <= self.now_us) {
            let Some((_, arrival)) = self.coming.pop() else { break };
            match arrival {
                Arrival::Connects => self.connects += 1,
                Arrival::Ready(who, standing, group) => {
                    if self.table.mark(who) {
                        self.governor.ready(who, standing, group, self.now_us);
                        self.ready.insert(who, self.now_us);
                    }
                }
            }
        }
        let mut took_us = 20;
        let accepts = self.governor.accepts().min(self.connects);
        self.connects -= accepts;
        self.governor.charge(Work::Accept, accepts);
        took_us += accepts as u64 * ACCEPT_US;
        while let Some(pick) = self.governor.pick(self.now_us) {
            assert!(self.table.unmark(pick.who), "nobody is read without having been ready");
            assert!(self.table.wake(pick.who, self.now_us, Box::new));
            took_us += READ_US;
            let since_us = self.ready.remove(&pick.who).unwrap();
            assert_eq!(since_us, pick.ready_us);
            let backlog_us = if pick.early { self.governor.backlog_us() } else { 0 };
            if ReadScheduler::in_time(self.now_us, backlog_us, since_us + patience_us) {
                self.governor.charge(Work::Request, 1);
                took_us += REQUEST_US;
                // Which of them it was is told by its group.
                let standing =
                    if *self.table.hot(pick.who).unwrap() == 0 { Standing::Active } else { Standing::Woken };
                self.waits.entry(standing).or_default().push(self.now_us - since_us);
            } else {
                self.refused.push(self.governor.come_back_ms(self.now_us));
            }
            self.table.set_use(pick.who, Use::Idle, self.now_us);
            self.table.park(pick.who, |hot| Ok(*hot));
        }
        self.longest_turn_us = self.longest_turn_us.max(took_us);
        self.now_us += took_us;
        self.governor.end_turn(took_us);
        true
    }
}

/// `n` sessions of which half wake up, ten active ones, and a tenth of `n` that connect anew.
fn wake_up(n: u32, patience_us: u64) -> World {
    let mut w = World {
        table: Table::new(),
        governor: ReadScheduler::new(Limits { patience_us, ..Limits::default() }),
        now_us: 10 * ACTIVE_US,
        coming: Vec::new(),
        ready: HashMap::new(),
        waits: BTreeMap::new(),
        connects: 0,
        refused: Vec::new(),
        longest_turn_us: 0,
    };
    let park = |w: &mut World, kind: u32| {
        let who = w.table.insert(0, Box::new(kind));
        w.table.set_use(who, Use::Idle, 0);
        w.table.park(who, |hot| Ok(*hot));
        who
    };
    let start_us = w.now_us;
    for i in 0..n / 2 {
        let who = park(&mut w, 1);
        let at_us = start_us + u64::from(i) * 50_000 / u64::from(n / 2);
        w.coming.push((at_us, Arrival::Ready(who, Standing::Woken, i % 100)));
        if i % 5 == 0 {
            w.coming.push((at_us, Arrival::Connects));
        }
    }
    for i in 0..10 {
        let who = park(&mut w, 0);
        for ms in 0..100 {
            w.coming.push((start_us + ms * 20_000 + i * 1_000, Arrival::Ready(who, Standing::Active, 1000)));
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
fn active_clients_do_not_feel_that_50_000_wake_up() {
    let w = wake_up(100_000, 20_000_000);
    let active = &w.waits[&Standing::Active];
    assert_eq!((active.len(), w.waits[&Standing::Woken].len()), (1000, 50_000), "each is served once");
    assert!(w.refused.is_empty(), "all of them could be served in time");
    let worst = active.iter().max().unwrap();
    assert!(*worst <= 10_000, "an active client waited {worst} us");
    assert!(w.longest_turn_us <= 10_000, "a turn took {} us", w.longest_turn_us);
    // With nothing but one core, 50,000 need 2.1 s; nothing of it may be wasted.
    let longest = w.waits[&Standing::Woken].iter().max().unwrap();
    assert!(*longest < 2_700_000, "{longest}");
}

#[test]
fn who_can_t_be_served_in_time_is_told_so_soon_and_not_to_return_with_all_others() {
    let patience_us = 500_000;
    let w = wake_up(100_000, patience_us);
    let served = w.waits[&Standing::Woken].len();
    assert_eq!(served + w.refused.len(), 50_000, "one answer or refusal for each");
    // Half a second carries about 11,000 of them, if nothing else is done.
    assert!(served > 8_000, "{served} served");
    let worst = w.waits.values().flatten().max().unwrap();
    assert!(*worst < patience_us, "what is served is served in time: {worst}");
    assert!(*w.waits[&Standing::Active].iter().max().unwrap() <= 10_000);
    let mut buckets = [0; 10];
    w.refused.iter().for_each(|ms| buckets[(*ms as usize * 10 / 501).min(9)] += 1);
    let (least, most) = (buckets.iter().min().unwrap(), buckets.iter().max().unwrap());
    assert!(*most < 2 * w.refused.len() / 10, "{buckets:?}");
    assert!(*least > 0, "{buckets:?}");
}
