use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen};

use super::*;

const KEY: KeyId = KeyId(5);
const OLDER: PeerProcessId = PeerProcessId(1);
const NEWER: PeerProcessId = PeerProcessId(2);
const REST_US: u64 = 300_000;

fn effects(call: impl FnOnce(&mut Vec<LeaseEffect>)) -> Vec<LeaseEffect> {
    let mut effects = Vec::new();
    call(&mut effects);
    effects
}

#[test]
fn alone_every_request_is_admitted_at_once_and_nothing_is_kept_behind_it() {
    let mut leases = KeyLeases::default();
    for id in 1..=2 {
        let admitted = effects(|e| leases.request(0, KEY, RequestId(id), e));
        assert_eq!(admitted, [LeaseEffect::Admit(RequestId(id))]);
    }
    leases.attempt_began(KEY);
    for _ in 0..3 {
        assert!(!leases.is_empty());
        assert_eq!(effects(|e| leases.ended(0, KEY, 0, e)), []);
    }
    assert!(leases.is_empty(), "a key that nobody uses costs nothing");
}

#[test]
fn own_rests_keep_a_neighbour_waiting_but_not_the_own_requests() {
    let mut leases = KeyLeases::default();
    effects(|e| leases.request(0, KEY, RequestId(1), e));
    assert_eq!(effects(|e| leases.ended(0, KEY, REST_US, e)), [LeaseEffect::WakeAt(KEY, REST_US)]);
    let own = effects(|e| leases.request(1, KEY, RequestId(2), e));
    assert_eq!(own, [LeaseEffect::Admit(RequestId(2))]);
    assert_eq!(effects(|e| leases.ended(2, KEY, 0, e)), []);
    assert_eq!(effects(|e| leases.claimed(3, KEY, NEWER, e)), [], "a wake-up has been asked for");
    assert_eq!(effects(|e| leases.wake(REST_US, KEY, e)), [LeaseEffect::Grant(KEY, NEWER)]);
}

#[test]
fn requests_wait_for_the_older_process_and_the_lease_goes_home() {
    let mut leases = KeyLeases::default();
    leases.follow(OLDER);
    assert_eq!(
        effects(|e| leases.request(0, KEY, RequestId(1), e)),
        [LeaseEffect::Claim(KEY, OLDER)],
        "asked for once"
    );
    assert_eq!(effects(|e| leases.request(0, KEY, RequestId(2), e)), []);
    let admitted = effects(|e| leases.granted(1, KEY, OLDER, e));
    assert_eq!(admitted, [LeaseEffect::Admit(RequestId(1)), LeaseEffect::Admit(RequestId(2))]);
    assert_eq!(effects(|e| leases.ended(2, KEY, 0, e)), []);
    assert_eq!(effects(|e| leases.ended(2, KEY, 0, e)), [LeaseEffect::Grant(KEY, OLDER)]);
    assert!(leases.is_empty());
}

#[test]
fn nobody_waits_for_a_process_that_has_ended_but_for_what_it_left_running() {
    let mut leases = KeyLeases::default();
    leases.follow(OLDER);
    effects(|e| leases.request(0, KEY, RequestId(1), e));
    assert_eq!(
        effects(|e| leases.left(10, OLDER, 10 + REST_US, e)),
        [LeaseEffect::WakeAt(KEY, 10 + REST_US)]
    );
    assert_eq!(effects(|e| leases.wake(10 + REST_US, KEY, e)), [LeaseEffect::Admit(RequestId(1))]);
    let other = KeyId(6);
    let late = effects(|e| leases.request(11 + REST_US, other, RequestId(2), e));
    assert_eq!(late, [LeaseEffect::Admit(RequestId(2))]);
}

#[test]
fn what_a_request_that_ended_waited_for_goes_home() {
    let mut leases = KeyLeases::default();
    leases.follow(OLDER);
    effects(|e| leases.request(0, KEY, RequestId(1), e));
    assert_eq!(effects(|e| leases.withdraw(1, KEY, RequestId(1), e)), []);
    assert_eq!(effects(|e| leases.granted(2, KEY, OLDER, e)), [LeaseEffect::Grant(KEY, OLDER)]);
    assert!(leases.is_empty());
}

/// A message on its way between two processes.
#[derive(Clone, Copy)]
enum Message {
    Claim(KeyId),
    Grant(KeyId),
}

/// Three processes in a row with messages on their way between them, and what a plain model knows of each key.
struct Row {
    now_us: u64,
    processes: Vec<KeyLeases>,
    /// From one process to another, in order.
    wires: BTreeMap<(usize, usize), VecDeque<Message>>,
    wakes: BTreeSet<(u64, usize, KeyId)>,
    /// Admitted requests: where, of which key.
    running: BTreeMap<RequestId, (usize, KeyId)>,
    admitted: Vec<RequestId>,
    waiting: BTreeMap<RequestId, (usize, KeyId)>,
    /// When a key rests, and who may pass over that: the process whose attempt it was.
    rests: BTreeMap<KeyId, (u64, usize)>,
}

impl Row {
    fn new(count: usize) -> Self {
        let mut processes: Vec<KeyLeases> = (0..count).map(|_| KeyLeases::default()).collect();
        for (at, process) in processes.iter_mut().enumerate().skip(1) {
            process.follow(PeerProcessId(at as u32 - 1));
        }
        Self {
            now_us: 0,
            processes,
            wires: BTreeMap::new(),
            wakes: BTreeSet::new(),
            running: BTreeMap::new(),
            admitted: Vec::new(),
            waiting: BTreeMap::new(),
            rests: BTreeMap::new(),
        }
    }

    fn carry_out(&mut self, at: usize, effects: Vec<LeaseEffect>) {
        for effect in effects {
            match effect {
                LeaseEffect::Claim(key, to) => self.send(at, to, Message::Claim(key)),
                LeaseEffect::Grant(key, to) => self.send(at, to, Message::Grant(key)),
                LeaseEffect::WakeAt(key, when_us) => drop(self.wakes.insert((when_us, at, key))),
                LeaseEffect::Admit(id) => self.admit(at, id),
            }
        }
    }

    fn send(&mut self, from: usize, to: PeerProcessId, message: Message) {
        self.wires.entry((from, to.0 as usize)).or_default().push_back(message);
    }

    fn admit(&mut self, at: usize, id: RequestId) {
        let (waits_at, key) = self.waiting.remove(&id).expect("admitted once, while it waits");
        assert_eq!(waits_at, at);
        assert!(
            self.running.values().all(|(other, k)| *k != key || *other == at),
            "another process runs requests of this key"
        );
        let rest = self.rests.get(&key);
        assert!(rest.is_none_or(|(until_us, by)| *by == at || self.now_us >= *until_us), "the key rests");
        self.running.insert(id, (at, key));
        self.admitted.push(id);
    }

    fn request(&mut self, at: usize, key: KeyId, id: RequestId) {
        self.waiting.insert(id, (at, key));
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].request(now_us, key, id, e));
        self.carry_out(at, effects);
    }

    fn finish(&mut self, id: RequestId, rests: bool) {
        let (at, key) = self.running.remove(&id).expect("it runs");
        let until_us = if rests { self.now_us + REST_US } else { 0 };
        let known = self.rests.get(&key).map_or(0, |(until_us, _)| *until_us);
        if until_us > known {
            self.rests.insert(key, (until_us, at));
        }
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].ended(now_us, key, until_us, e));
        self.carry_out(at, effects);
    }

    fn withdraw(&mut self, id: RequestId) {
        let (at, key) = self.waiting.remove(&id).expect("it waits");
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].withdraw(now_us, key, id, e));
        self.carry_out(at, effects);
    }

    fn deliver(&mut self, wire: (usize, usize)) {
        let Some(message) = self.wires.get_mut(&wire).and_then(VecDeque::pop_front) else { return };
        let (now_us, from) = (self.now_us, PeerProcessId(wire.0 as u32));
        let process = &mut self.processes[wire.1];
        let effects = effects(|e| match message {
            Message::Claim(key) => process.claimed(now_us, key, from, e),
            Message::Grant(key) => process.granted(now_us, key, from, e),
        });
        self.carry_out(wire.1, effects);
    }

    fn pass(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while let Some((when_us, at, key)) = self.wakes.first().copied().filter(|(when, ..)| *when <= end_us)
        {
            self.wakes.pop_first();
            self.now_us = self.now_us.max(when_us);
            let now_us = self.now_us;
            let effects = effects(|e| self.processes[at].wake(now_us, key, e));
            self.carry_out(at, effects);
        }
        self.now_us = end_us;
    }

    /// Lets everything come to its end.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            let wires: Vec<_> = self.wires.keys().copied().collect();
            wires.into_iter().for_each(|wire| self.deliver(wire));
            if let Some(id) = self.running.keys().next().copied() {
                self.finish(id, false);
            }
            self.pass(REST_US);
            let silent = self.wires.values().all(VecDeque::is_empty);
            if silent && self.running.is_empty() && self.waiting.is_empty() && self.wakes.is_empty() {
                return;
            }
        }
        panic!("{} requests wait for ever", self.waiting.len());
    }
}

/// Whatever the order of messages: a key is run by one process at a time, rests are kept across them, nobody waits for
/// ever, requests of one process keep their order, and nothing is left behind.
#[test]
fn random_steps_never_let_two_processes_run_one_key() {
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let mut row = Row::new(3);
        let mut asked: Vec<Vec<RequestId>> = vec![Vec::new(); 3];
        let mut next = 0;
        for _ in 0..200 {
            let (what, which) = (u8::arbitrary(&mut random) % 10, usize::arbitrary(&mut random));
            let nth = |ids: Vec<RequestId>| (!ids.is_empty()).then(|| ids[which % ids.len()]);
            match what {
                0..=2 => {
                    next += 1;
                    asked[which % 3].push(RequestId(next));
                    row.request(which % 3, KeyId((which / 3 % 2) as u64), RequestId(next));
                }
                3..=4 => {
                    if let Some(id) = nth(row.running.keys().copied().collect()) {
                        row.finish(id, what == 4);
                    }
                }
                5 => {
                    if let Some(id) = nth(row.waiting.keys().copied().collect()) {
                        row.withdraw(id);
                        asked.iter_mut().for_each(|ids| ids.retain(|other| *other != id));
                    }
                }
                6..=8 => {
                    let wires: Vec<_> = row.wires.keys().copied().collect();
                    if !wires.is_empty() {
                        row.deliver(wires[which % wires.len()]);
                    }
                }
                _ => row.pass((which % 200_000) as u64),
            }
        }
        row.settle();
        assert!(row.processes.iter().all(KeyLeases::is_empty), "seed {seed}: a lease is left");
        assert_eq!(row.admitted.len(), asked.iter().map(Vec::len).sum::<usize>(), "seed {seed}");
    }
}

#[test]
fn an_older_process_that_dies_at_any_step_leaves_nobody_waiting() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let mut row = Row::new(2);
        for id in 1..=20 {
            let at = usize::arbitrary(&mut random) % 2;
            row.request(at, KEY, RequestId(id));
            if bool::arbitrary(&mut random) {
                row.deliver((at, 1 - at));
            }
        }
        // It dies with all that it has; messages from it that are on their way still come.
        row.waiting.retain(|_, (at, _)| *at == 1);
        row.running.retain(|_, (at, _)| *at == 1);
        while row.wires.get(&(0, 1)).is_some_and(|wire| !wire.is_empty()) {
            row.deliver((0, 1));
        }
        row.wires.clear();
        row.wakes.retain(|(_, at, _)| *at == 1);
        let (now_us, over_us) = (row.now_us, row.now_us + REST_US);
        row.rests.insert(KEY, (over_us, 0));
        let effects = effects(|e| row.processes[1].left(now_us, PeerProcessId(0), over_us, e));
        // What runs here already was admitted under the lease.
        if !row.running.is_empty() {
            row.rests.clear();
        }
        row.carry_out(1, effects);
        row.settle();
        assert!(row.processes[1].is_empty(), "seed {seed}");
    }
}
