//! Which process of a gateway may run requests of a key.
//!
//! While one process takes the place of another, both take requests of the same keys, and the order of a key holds
//! across both. So each key has a lease, held by one process at a time. The processes form a tree whose root is the
//! oldest one; a lease moves between neighbours, each of which keeps those that wait for it in order of arrival
//! (K. Raymond, "A tree-based algorithm for distributed mutual exclusion", 1989). A lease that nobody uses goes back
//! to the root, so the table holds no more keys than are in use.
//!
//! This module does no I/O and reads no clock; times are whole microseconds of the core's clock.

use std::collections::{BTreeMap, VecDeque};

use workload_manager::{KeyId, RequestId};

/// A neighbouring process, by the number of the connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub u32);

/// What follows from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Ask a neighbour for the lease of a key.
    Claim(KeyId, PeerProcessId),
    /// Hand the lease of a key to a neighbour.
    Grant(KeyId, PeerProcessId),
    /// This request may run.
    Admit(RequestId),
    /// Call [`KeyLeases::wake`] for this key at this time.
    WakeAt(KeyId, u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    Request(RequestId),
    Peer(PeerProcessId),
}

/// The lease of one key, as this process sees it.
#[derive(Debug)]
struct Lease {
    /// The neighbour on whose side it is; none: it is here.
    holder: Option<PeerProcessId>,
    /// That neighbour has been asked for it.
    claimed: bool,
    /// Admitted requests that are open, and attempts that are out.
    in_use: u32,
    /// An own attempt that might still run keeps the lease here until then. The decision module knows of these rests.
    rests_until_us: u64,
    /// The same for what a neighbour may have left running when it ended; this keeps own requests waiting too.
    inherited_until_us: u64,
    /// The wake-up that has been asked for last.
    wake_us: u64,
    waiters: VecDeque<Waiter>,
}

/// The leases of all keys in use.
#[derive(Debug, Default)]
pub struct KeyLeases {
    leases: BTreeMap<KeyId, Lease>,
    /// The older process, while it lives: it has all leases that are not in the table.
    older: Option<PeerProcessId>,
    /// What an older process has left running is over then, whatever its key.
    inherited_until_us: u64,
}

impl KeyLeases {
    /// The process whose place this one takes has all leases.
    pub fn follow(&mut self, older: PeerProcessId) {
        self.older = Some(older);
    }

    /// A neighbour has ended; what it may have left running is over at `over_us`. Its leases fall to this process.
    pub fn left(
        &mut self,
        now_us: u64,
        neighbour: PeerProcessId,
        over_us: u64,
        effects: &mut Vec<LeaseEffect>,
    ) {
        if self.older == Some(neighbour) {
            self.older = None;
            self.inherited_until_us = self.inherited_until_us.max(over_us);
        }
        let keys: Vec<KeyId> = self.leases.keys().copied().collect();
        for key in keys {
            let Some(lease) = self.leases.get_mut(&key) else { continue };
            lease.waiters.retain(|waiter| *waiter != Waiter::Peer(neighbour));
            if lease.holder == Some(neighbour) {
                (lease.holder, lease.claimed) = (None, false);
                lease.inherited_until_us = lease.inherited_until_us.max(over_us);
            }
            self.serve(now_us, key, effects);
        }
    }

    /// A request of a key was taken. It may run once it is admitted, which may be at once.
    pub fn request(&mut self, now_us: u64, key: KeyId, request: RequestId, effects: &mut Vec<LeaseEffect>) {
        self.lease(key).waiters.push_back(Waiter::Request(request));
        self.serve(now_us, key, effects);
    }

    /// A request that was not admitted has ended.
    pub fn withdraw(&mut self, now_us: u64, key: KeyId, request: RequestId, effects: &mut Vec<LeaseEffect>) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.waiters.retain(|waiter| *waiter != Waiter::Request(request));
        }
        self.serve(now_us, key, effects);
    }

    /// An attempt of an admitted request has gone out.
    pub fn attempt_began(&mut self, key: KeyId) {
        self.lease(key).in_use += 1;
    }

    /// An admitted request, or an attempt of one, has ended; it might still run until `rests_until_us`.
    pub fn ended(&mut self, now_us: u64, key: KeyId, rests_until_us: u64, effects: &mut Vec<LeaseEffect>) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        lease.in_use = lease.in_use.saturating_sub(1);
        lease.rests_until_us = lease.rests_until_us.max(rests_until_us);
        self.serve(now_us, key, effects);
    }

    /// A neighbour asks for a lease.
    pub fn claimed(&mut self, now_us: u64, key: KeyId, by: PeerProcessId, effects: &mut Vec<LeaseEffect>) {
        let waiter = Waiter::Peer(by);
        let lease = self.lease(key);
        // One that has it, or waits for it already, is told nothing new.
        if lease.holder != Some(by) && !lease.waiters.contains(&waiter) {
            lease.waiters.push_back(waiter);
        }
        self.serve(now_us, key, effects);
    }

    /// A neighbour has handed a lease over.
    pub fn granted(&mut self, now_us: u64, key: KeyId, by: PeerProcessId, effects: &mut Vec<LeaseEffect>) {
        let lease = self.lease(key);
        if lease.holder == Some(by) {
            (lease.holder, lease.claimed) = (None, false);
        }
        self.serve(now_us, key, effects);
    }

    /// The time of [`LeaseEffect::WakeAt`] has come.
    pub fn wake(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        self.serve(now_us, key, effects);
    }

    /// Until when attempts that have ended here might still run, whatever their key.
    pub fn rest_until_us(&self) -> u64 {
        let rests = self.leases.values().map(|lease| lease.rests_until_us.max(lease.inherited_until_us));
        rests.fold(self.inherited_until_us, u64::max)
    }

    /// Keys in the table: in use, resting, waited for, or with a newer process.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no key is in use.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    fn lease(&mut self, key: KeyId) -> &mut Lease {
        let (holder, inherited_until_us) = (self.older, self.inherited_until_us);
        self.leases.entry(key).or_insert_with(|| Lease {
            holder,
            claimed: false,
            in_use: 0,
            rests_until_us: 0,
            inherited_until_us,
            wake_us: 0,
            waiters: VecDeque::new(),
        })
    }

    /// Gives a lease to those who wait for it, as far as that goes now, and sends one that nobody uses home.
    fn serve(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        while let Some(first) = lease.waiters.front().copied() {
            if let Some(holder) = lease.holder {
                if !std::mem::replace(&mut lease.claimed, true) {
                    effects.push(LeaseEffect::Claim(key, holder));
                }
                return;
            }
            match first {
                Waiter::Request(request) => {
                    if lease.waits_until(now_us, lease.inherited_until_us, key, effects) {
                        return;
                    }
                    lease.in_use += 1;
                    effects.push(LeaseEffect::Admit(request));
                }
                Waiter::Peer(neighbour) => {
                    let rests_until_us = lease.rests_until_us.max(lease.inherited_until_us);
                    if lease.in_use > 0 || lease.waits_until(now_us, rests_until_us, key, effects) {
                        return;
                    }
                    lease.holder = Some(neighbour);
                    effects.push(LeaseEffect::Grant(key, neighbour));
                }
            }
            lease.waiters.pop_front();
        }
        if lease.in_use > 0 {
            return;
        }
        if lease.holder.is_none() {
            let rests_until_us = lease.rests_until_us.max(lease.inherited_until_us);
            if lease.waits_until(now_us, rests_until_us, key, effects) {
                return;
            }
            effects.extend(self.older.map(|older| LeaseEffect::Grant(key, older)));
            self.leases.remove(&key);
        } else if lease.holder == self.older {
            self.leases.remove(&key);
        }
    }
}

impl Lease {
    /// Whether this time is still to come; asks for a wake-up then, once.
    fn waits_until(
        &mut self,
        now_us: u64,
        until_us: u64,
        key: KeyId,
        effects: &mut Vec<LeaseEffect>,
    ) -> bool {
        let waits = now_us < until_us;
        if waits && self.wake_us != until_us {
            self.wake_us = until_us;
            effects.push(LeaseEffect::WakeAt(key, until_us));
        }
        waits
    }
}

#[cfg(test)]
mod tests;
