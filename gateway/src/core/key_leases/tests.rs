use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen};

use super::*;

const KEY: KeyId = KeyId(5);
const PREDECESSOR: PeerProcessId = PeerProcessId(1);
const SUCCESSOR: PeerProcessId = PeerProcessId(2);
const COOLDOWN_US: u64 = 300_000;

impl KeyLeases {
    fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}

fn effects(call: impl FnOnce(&mut Vec<LeaseEffect>)) -> Vec<LeaseEffect> {
    let mut effects = Vec::new();
    call(&mut effects);
    effects
}

#[test]
fn without_peers_every_request_is_admitted_at_once_and_an_unused_key_is_removed() {
    let mut leases = KeyLeases::default();
    for id in 1..=2 {
        let admitted = effects(|e| leases.claim(0, KEY, RequestId(id), e));
        assert_eq!(admitted, [LeaseEffect::Admit(RequestId(id))]);
    }
    leases.on_attempt_started(KEY);
    for _ in 0..3 {
        assert!(!leases.is_empty());
        assert_eq!(effects(|e| leases.release(0, KEY, 0, e)), []);
    }
    assert!(leases.is_empty(), "an unused key is not in the table");
}

#[test]
fn own_cooldowns_delay_a_peer_but_not_own_requests() {
    let mut leases = KeyLeases::default();
    effects(|e| leases.claim(0, KEY, RequestId(1), e));
    assert_eq!(
        effects(|e| leases.release(0, KEY, COOLDOWN_US, e)),
        [LeaseEffect::WakeAt { key: KEY, at_us: COOLDOWN_US }]
    );
    let own = effects(|e| leases.claim(1, KEY, RequestId(2), e));
    assert_eq!(own, [LeaseEffect::Admit(RequestId(2))]);
    assert_eq!(effects(|e| leases.release(2, KEY, 0, e)), []);
    assert_eq!(effects(|e| leases.on_peer_claim(3, KEY, SUCCESSOR, e)), [], "a wake-up is already set");
    assert_eq!(
        effects(|e| leases.on_cooldown_end(COOLDOWN_US, KEY, e)),
        [LeaseEffect::Grant { key: KEY, to: SUCCESSOR }]
    );
}

#[test]
fn requests_wait_for_the_predecessor_and_an_unused_lease_returns_to_it() {
    let mut leases = KeyLeases::default();
    leases.set_predecessor(PREDECESSOR);
    assert_eq!(
        effects(|e| leases.claim(0, KEY, RequestId(1), e)),
        [LeaseEffect::Claim { key: KEY, holder: PREDECESSOR }],
        "the first claim is sent"
    );
    assert_eq!(effects(|e| leases.claim(0, KEY, RequestId(2), e)), []);
    let admitted = effects(|e| leases.on_peer_grant(1, KEY, PREDECESSOR, e));
    assert_eq!(admitted, [LeaseEffect::Admit(RequestId(1)), LeaseEffect::Admit(RequestId(2))]);
    assert_eq!(effects(|e| leases.release(2, KEY, 0, e)), []);
    assert_eq!(effects(|e| leases.release(2, KEY, 0, e)), [LeaseEffect::Grant { key: KEY, to: PREDECESSOR }]);
    assert!(leases.is_empty());
}

#[test]
fn requests_wait_for_the_cooldown_of_an_exited_predecessor() {
    let mut leases = KeyLeases::default();
    leases.set_predecessor(PREDECESSOR);
    effects(|e| leases.claim(0, KEY, RequestId(1), e));
    assert_eq!(
        effects(|e| leases.on_peer_exited(10, PREDECESSOR, 10 + COOLDOWN_US, e)),
        [LeaseEffect::WakeAt { key: KEY, at_us: 10 + COOLDOWN_US }]
    );
    assert_eq!(
        effects(|e| leases.on_cooldown_end(10 + COOLDOWN_US, KEY, e)),
        [LeaseEffect::Admit(RequestId(1))]
    );
    let other = KeyId(6);
    let late = effects(|e| leases.claim(11 + COOLDOWN_US, other, RequestId(2), e));
    assert_eq!(late, [LeaseEffect::Admit(RequestId(2))]);
}

#[test]
fn a_lease_claimed_for_a_cancelled_request_returns_to_the_predecessor() {
    let mut leases = KeyLeases::default();
    leases.set_predecessor(PREDECESSOR);
    effects(|e| leases.claim(0, KEY, RequestId(1), e));
    assert_eq!(effects(|e| leases.cancel_claim(1, KEY, RequestId(1), e)), []);
    assert_eq!(
        effects(|e| leases.on_peer_grant(2, KEY, PREDECESSOR, e)),
        [LeaseEffect::Grant { key: KEY, to: PREDECESSOR }]
    );
    assert!(leases.is_empty());
}

/// A message in transit between two processes.
#[derive(Clone, Copy)]
enum Message {
    Claim(KeyId),
    Grant(KeyId),
}

/// A chain of processes, each the predecessor of the next, with the messages in transit and a model of each key.
struct ProcessChain {
    now_us: u64,
    processes: Vec<KeyLeases>,
    /// Messages in order, by sender and receiver.
    messages: BTreeMap<(usize, usize), VecDeque<Message>>,
    wake_ups: BTreeSet<(u64, usize, KeyId)>,
    /// Admitted requests, with process and key.
    running: BTreeMap<RequestId, (usize, KeyId)>,
    admitted: Vec<RequestId>,
    waiting: BTreeMap<RequestId, (usize, KeyId)>,
    /// End of each key's cooldown, and the process that caused it. This process need not wait for the cooldown.
    cooldowns: BTreeMap<KeyId, (u64, usize)>,
}

impl ProcessChain {
    fn new(count: usize) -> Self {
        let mut processes: Vec<KeyLeases> = (0..count).map(|_| KeyLeases::default()).collect();
        for (at, process) in processes.iter_mut().enumerate().skip(1) {
            process.set_predecessor(PeerProcessId(at as u32 - 1));
        }
        Self {
            now_us: 0,
            processes,
            messages: BTreeMap::new(),
            wake_ups: BTreeSet::new(),
            running: BTreeMap::new(),
            admitted: Vec::new(),
            waiting: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
        }
    }

    fn carry_out(&mut self, at: usize, effects: Vec<LeaseEffect>) {
        for effect in effects {
            match effect {
                LeaseEffect::Claim { key, holder: to } => self.send(at, to, Message::Claim(key)),
                LeaseEffect::Grant { key, to } => self.send(at, to, Message::Grant(key)),
                LeaseEffect::WakeAt { key, at_us } => drop(self.wake_ups.insert((at_us, at, key))),
                LeaseEffect::Admit(id) => self.admit(at, id),
            }
        }
    }

    fn send(&mut self, from: usize, to: PeerProcessId, message: Message) {
        self.messages.entry((from, to.0 as usize)).or_default().push_back(message);
    }

    fn admit(&mut self, at: usize, id: RequestId) {
        let (waits_at, key) = self.waiting.remove(&id).expect("an admitted request is not waiting");
        assert_eq!(waits_at, at);
        assert!(
            self.running.values().all(|(other, k)| *k != key || *other == at),
            "another process runs requests of this key"
        );
        let cooldown = self.cooldowns.get(&key);
        assert!(
            cooldown.is_none_or(|(until_us, by)| *by == at || self.now_us >= *until_us),
            "a request is admitted during the key cooldown"
        );
        self.running.insert(id, (at, key));
        self.admitted.push(id);
    }

    fn request(&mut self, at: usize, key: KeyId, id: RequestId) {
        self.waiting.insert(id, (at, key));
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].claim(now_us, key, id, e));
        self.carry_out(at, effects);
    }

    fn finish(&mut self, id: RequestId, has_cooldown: bool) {
        let (at, key) = self.running.remove(&id).expect("the request is not running");
        let until_us = if has_cooldown { self.now_us + COOLDOWN_US } else { 0 };
        let known = self.cooldowns.get(&key).map_or(0, |(until_us, _)| *until_us);
        if until_us > known {
            self.cooldowns.insert(key, (until_us, at));
        }
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].release(now_us, key, until_us, e));
        self.carry_out(at, effects);
    }

    fn cancel(&mut self, id: RequestId) {
        let (at, key) = self.waiting.remove(&id).expect("the request is not waiting");
        let now_us = self.now_us;
        let effects = effects(|e| self.processes[at].cancel_claim(now_us, key, id, e));
        self.carry_out(at, effects);
    }

    fn deliver(&mut self, link: (usize, usize)) {
        let Some(message) = self.messages.get_mut(&link).and_then(VecDeque::pop_front) else { return };
        let (now_us, from) = (self.now_us, PeerProcessId(link.0 as u32));
        let process = &mut self.processes[link.1];
        let effects = effects(|e| match message {
            Message::Claim(key) => process.on_peer_claim(now_us, key, from, e),
            Message::Grant(key) => process.on_peer_grant(now_us, key, from, e),
        });
        self.carry_out(link.1, effects);
    }

    fn advance(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while let Some((when_us, at, key)) =
            self.wake_ups.first().copied().filter(|(when, ..)| *when <= end_us)
        {
            self.wake_ups.pop_first();
            self.now_us = self.now_us.max(when_us);
            let now_us = self.now_us;
            let effects = effects(|e| self.processes[at].on_cooldown_end(now_us, key, e));
            self.carry_out(at, effects);
        }
        self.now_us = end_us;
    }

    /// Delivers all messages and finishes all requests.
    fn drain(&mut self) {
        for _ in 0..10_000 {
            let messages: Vec<_> = self.messages.keys().copied().collect();
            messages.into_iter().for_each(|link| self.deliver(link));
            if let Some(id) = self.running.keys().next().copied() {
                self.finish(id, false);
            }
            self.advance(COOLDOWN_US);
            let is_delivered = self.messages.values().all(VecDeque::is_empty);
            if is_delivered && self.running.is_empty() && self.waiting.is_empty() && self.wake_ups.is_empty()
            {
                return;
            }
        }
        panic!("{} requests were not admitted", self.waiting.len());
    }
}

/// Guards against two processes that run requests of one key, violated cooldowns, requests that are never admitted, and
/// leases that stay in a table, for random orders of messages.
#[test]
fn random_steps_never_let_two_processes_run_one_key() {
    for seed in 0..300 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let mut chain = ProcessChain::new(3);
        let mut requested: Vec<Vec<RequestId>> = vec![Vec::new(); 3];
        let mut next = 0;
        for _ in 0..200 {
            let (action, choice) = (u8::arbitrary(&mut random) % 10, usize::arbitrary(&mut random));
            let nth = |ids: Vec<RequestId>| (!ids.is_empty()).then(|| ids[choice % ids.len()]);
            match action {
                0..=2 => {
                    next += 1;
                    requested[choice % 3].push(RequestId(next));
                    chain.request(choice % 3, KeyId((choice / 3 % 2) as u64), RequestId(next));
                }
                3..=4 => {
                    if let Some(id) = nth(chain.running.keys().copied().collect()) {
                        chain.finish(id, action == 4);
                    }
                }
                5 => {
                    if let Some(id) = nth(chain.waiting.keys().copied().collect()) {
                        chain.cancel(id);
                        requested.iter_mut().for_each(|ids| ids.retain(|other| *other != id));
                    }
                }
                6..=8 => {
                    let messages: Vec<_> = chain.messages.keys().copied().collect();
                    if !messages.is_empty() {
                        chain.deliver(messages[choice % messages.len()]);
                    }
                }
                _ => chain.advance((choice % 200_000) as u64),
            }
        }
        chain.drain();
        assert!(chain.processes.iter().all(KeyLeases::is_empty), "seed {seed}: a lease remains in a table");
        assert_eq!(chain.admitted.len(), requested.iter().map(Vec::len).sum::<usize>(), "seed {seed}");
    }
}

#[test]
fn no_request_waits_forever_after_the_predecessor_exits() {
    for seed in 0..100 {
        let mut random = Gen::from_size_and_seed(100, seed);
        let mut chain = ProcessChain::new(2);
        for id in 1..=20 {
            let at = usize::arbitrary(&mut random) % 2;
            chain.request(at, KEY, RequestId(id));
            if bool::arbitrary(&mut random) {
                chain.deliver((at, 1 - at));
            }
        }
        // The predecessor exits, which ends its requests. Messages that it has sent still arrive.
        chain.waiting.retain(|_, (at, _)| *at == 1);
        chain.running.retain(|_, (at, _)| *at == 1);
        while chain.messages.get(&(0, 1)).is_some_and(|link| !link.is_empty()) {
            chain.deliver((0, 1));
        }
        chain.messages.clear();
        chain.wake_ups.retain(|(_, at, _)| *at == 1);
        let (now_us, cooldown_until_us) = (chain.now_us, chain.now_us + COOLDOWN_US);
        chain.cooldowns.insert(KEY, (cooldown_until_us, 0));
        let effects =
            effects(|e| chain.processes[1].on_peer_exited(now_us, PeerProcessId(0), cooldown_until_us, e));
        // If requests of this process are running, it holds the lease and does not inherit the predecessor's cooldown.
        if !chain.running.is_empty() {
            chain.cooldowns.clear();
        }
        chain.carry_out(1, effects);
        chain.drain();
        assert!(chain.processes[1].is_empty(), "seed {seed}");
    }
}
