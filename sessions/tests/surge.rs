//! Guards against long waits and synchronized retries in a surge, with simulated time and costs: 50,000 idle clients
//! send requests within 50 ms, while 10,000 clients connect and ten others stay active.

use std::collections::{BTreeMap, HashMap};

use wrenhatch_sessions::read_scheduler::{RECENTLY_ACTIVE_US, ReadLimits, ReadPriority, ReadScheduler, Work};
use wrenhatch_sessions::session_table::{Activity, Handle, SessionTable};

/// Simulated costs, which the scheduler has to learn.
const READ_US: u64 = 12;
const REQUEST_US: u64 = 30;
const ACCEPT_US: u64 = 25;

#[derive(Clone, Copy)]
enum Arrival {
    Ready(Handle, ReadPriority, u32),
    NewConnection,
}

struct Simulation {
    table: SessionTable<u32, u32>,
    scheduler: ReadScheduler,
    now_us: u64,
    /// Future arrivals, latest first.
    arrivals: Vec<(u64, Arrival)>,
    ready: HashMap<Handle, u64>,
    waits: BTreeMap<ReadPriority, Vec<u64>>,
    pending_connections: usize,
    rejected_ms: Vec<u64>,
    longest_turn_us: u64,
}

impl Simulation {
    /// Runs one turn of the event loop. Returns false if no work remains.
    fn turn(&mut self, timeout_us: u64) -> bool {
        if self.scheduler.waiting() == 0 && self.pending_connections == 0 {
            let Some((at_us, _)) = self.arrivals.last() else { return false };
            self.now_us = self.now_us.max(*at_us);
        }
        while self.arrivals.last().is_some_and(|(at_us, _)| *at_us <= self.now_us) {
            let Some((_, arrival)) = self.arrivals.pop() else { break };
            match arrival {
                Arrival::NewConnection => self.pending_connections += 1,
                Arrival::Ready(handle, priority, group) => {
                    if self.table.set_queued(handle) {
                        self.scheduler.enqueue(handle, priority, group, self.now_us);
                        self.ready.insert(handle, self.now_us);
                    }
                }
            }
        }
        let mut duration_us = 20;
        let accepts = self.scheduler.accept_limit().min(self.pending_connections);
        self.pending_connections -= accepts;
        self.scheduler.charge(Work::Accept, accepts);
        duration_us += accepts as u64 * ACCEPT_US;
        while let Some(read) = self.scheduler.next_read(self.now_us) {
            assert!(self.table.clear_queued(read.handle), "a session must be queued before it is read");
            assert!(self.table.resume(read.handle, self.now_us, Box::new));
            duration_us += READ_US;
            let ready_us = self.ready.remove(&read.handle).unwrap();
            assert_eq!(ready_us, read.ready_us);
            let backlog_us = if read.expedited { self.scheduler.backlog_us() } else { 0 };
            if ReadScheduler::can_meet_deadline(self.now_us, backlog_us, ready_us + timeout_us) {
                self.scheduler.charge(Work::Request, 1);
                duration_us += REQUEST_US;
                // The session's state is 0 for active clients and 1 for idle ones.
                let priority = if *self.table.active(read.handle).unwrap() == 0 {
                    ReadPriority::RecentlyActive
                } else {
                    ReadPriority::LongIdle
                };
                self.waits.entry(priority).or_default().push(self.now_us - ready_us);
            } else {
                self.rejected_ms.push(self.scheduler.retry_after_ms(self.now_us));
            }
            self.table.set_activity(read.handle, Activity::Idle, self.now_us);
            self.table.suspend(read.handle, |active| Ok(*active));
        }
        self.longest_turn_us = self.longest_turn_us.max(duration_us);
        self.now_us += duration_us;
        self.scheduler.end_turn(duration_us);
        true
    }
}

/// Simulates requests from `n / 2` idle sessions and ten active sessions, and `n / 10` new connections.
fn simulate_surge(n: u32, timeout_us: u64) -> Simulation {
    let mut simulation = Simulation {
        table: SessionTable::new(),
        scheduler: ReadScheduler::new(ReadLimits {
            shortest_deadline_us: timeout_us,
            ..ReadLimits::default()
        }),
        now_us: 10 * RECENTLY_ACTIVE_US,
        arrivals: Vec::new(),
        ready: HashMap::new(),
        waits: BTreeMap::new(),
        pending_connections: 0,
        rejected_ms: Vec::new(),
        longest_turn_us: 0,
    };
    let suspend = |simulation: &mut Simulation, kind: u32| {
        let handle = simulation.table.insert(0, Box::new(kind));
        simulation.table.set_activity(handle, Activity::Idle, 0);
        simulation.table.suspend(handle, |active| Ok(*active));
        handle
    };
    let start_us = simulation.now_us;
    for i in 0..n / 2 {
        let handle = suspend(&mut simulation, 1);
        let at_us = start_us + u64::from(i) * 50_000 / u64::from(n / 2);
        simulation.arrivals.push((at_us, Arrival::Ready(handle, ReadPriority::LongIdle, i % 100)));
        if i % 5 == 0 {
            simulation.arrivals.push((at_us, Arrival::NewConnection));
        }
    }
    for i in 0..10 {
        let handle = suspend(&mut simulation, 0);
        for ms in 0..100 {
            simulation.arrivals.push((
                start_us + ms * 20_000 + i * 1_000,
                Arrival::Ready(handle, ReadPriority::RecentlyActive, 1000),
            ));
        }
    }
    simulation.arrivals.sort_by_key(|(at_us, _)| std::cmp::Reverse(*at_us));
    for _ in 0..1_000_000 {
        if !simulation.turn(timeout_us) {
            return simulation;
        }
    }
    panic!("the simulation does not end");
}

#[test]
fn active_clients_are_not_delayed_by_requests_of_50_000_idle_clients() {
    let simulation = simulate_surge(100_000, 20_000_000);
    let active = &simulation.waits[&ReadPriority::RecentlyActive];
    assert_eq!(
        (active.len(), simulation.waits[&ReadPriority::LongIdle].len()),
        (1000, 50_000),
        "each request is served once"
    );
    assert!(simulation.rejected_ms.is_empty(), "all requests can be served in time");
    let longest_wait = active.iter().max().unwrap();
    assert!(*longest_wait <= 10_000, "an active client waited {longest_wait} us");
    assert!(simulation.longest_turn_us <= 10_000, "a turn took {} us", simulation.longest_turn_us);
    // On one core, 50,000 requests take 2.1 s.
    let longest = simulation.waits[&ReadPriority::LongIdle].iter().max().unwrap();
    assert!(*longest < 2_700_000, "an idle client waited {longest} us");
}

#[test]
fn requests_that_cannot_be_served_in_time_are_rejected_and_retries_are_spread() {
    let timeout_us = 500_000;
    let simulation = simulate_surge(100_000, timeout_us);
    let served = simulation.waits[&ReadPriority::LongIdle].len();
    assert_eq!(served + simulation.rejected_ms.len(), 50_000, "each request is served or rejected once");
    // About 12,000 requests can be served within 500 ms if no other work is done.
    assert!(served > 8_000, "{served} served");
    let longest_wait = simulation.waits.values().flatten().max().unwrap();
    assert!(*longest_wait < timeout_us, "a request was served {longest_wait} us after its arrival");
    assert!(*simulation.waits[&ReadPriority::RecentlyActive].iter().max().unwrap() <= 10_000);
    let mut buckets = [0; 10];
    simulation.rejected_ms.iter().for_each(|ms| buckets[(*ms as usize * 10 / 501).min(9)] += 1);
    let (least, most) = (buckets.iter().min().unwrap(), buckets.iter().max().unwrap());
    assert!(*most < 2 * simulation.rejected_ms.len() / 10, "{buckets:?}");
    assert!(*least > 0, "{buckets:?}");
}
