//! Leases of order keys: which process of a gateway may run requests of a key.
//!
//! While one process of a gateway replaces another, both get requests of the same keys, and the order of a
//! key holds across both. So each key has a lease that one process holds at a time. This is K. Raymond's
//! algorithm ("A tree-based algorithm for distributed mutual exclusion", 1989), once for each key: the
//! processes form a tree, here with the oldest one at its root; a process knows only which of its peers is
//! nearer to the holder (`holder`), whether it has claimed the lease there (`has_claimed`, the paper's
//! *asked*), and whom it will serve in turn (`request_queue`). The paper's messages *request* and *privilege*
//! are a claim and a grant here.
//!
//! Two things differ from the paper. Several requests of the holding process may use a lease at once, as the workload
//! manager orders them; `in_use` counts them. And a lease that nobody uses goes back to the root, so that the table
//! has only keys in use: a key that is not in the table is held by the predecessor, or here if there is none.
//!
//! This module does no I/O and reads no clock; times are whole microseconds of the core's clock. Calls add what has
//! to be done to a list of [`LeaseEffect`]s, in order.

use std::collections::{BTreeMap, VecDeque};

use workload_manager::{KeyId, RequestId};

/// A peer process, by the number of the connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub u32);

/// What follows from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Claim the lease of a key from a peer.
    Claim {
        /// Which key.
        key: KeyId,
        /// The peer on whose side of the tree the lease is.
        holder: PeerProcessId,
    },
    /// Grant the lease of a key to a peer.
    Grant {
        /// Which key.
        key: KeyId,
        /// The peer.
        to: PeerProcessId,
    },
    /// This request may run.
    Admit(RequestId),
    /// Call [`KeyLeases::on_cooldown_end`] at this time.
    WakeAt {
        /// For which key.
        key: KeyId,
        /// When, in microseconds.
        at_us: u64,
    },
}

/// An entry of a request queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claimant {
    /// A request of this process.
    Request(RequestId),
    /// A peer that has claimed the lease.
    Peer(PeerProcessId),
}

/// The lease of one key, as this process sees it.
#[derive(Debug)]
struct KeyLease {
    /// The peer on whose side of the tree the lease is; none if this process holds it.
    holder: Option<PeerProcessId>,
    /// The lease has been claimed from that peer.
    has_claimed: bool,
    /// Admitted requests that are open, and attempts that have not ended.
    in_use: u32,
    /// An own attempt that may still run keeps the lease here until then. Own requests need not wait for it, as the
    /// workload manager knows of this cooldown.
    cooldown_until_us: u64,
    /// The same for what a peer may have left running when it ended; own requests wait for this too.
    inherited_cooldown_until_us: u64,
    /// The last [`LeaseEffect::WakeAt`].
    wake_at_us: u64,
    /// First come, first served.
    request_queue: VecDeque<Claimant>,
}

/// The leases of all keys in use.
#[derive(Debug, Default)]
pub struct KeyLeases {
    leases: BTreeMap<KeyId, KeyLease>,
    /// The process that this one replaces, until it ends: it holds all leases that are not in the table.
    predecessor: Option<PeerProcessId>,
    /// What a predecessor that has ended may have left running is over then, whatever its key.
    inherited_cooldown_until_us: u64,
}

impl KeyLeases {
    /// This process replaces another one, which holds all leases.
    pub fn set_predecessor(&mut self, predecessor: PeerProcessId) {
        self.predecessor = Some(predecessor);
    }

    /// A peer has ended. Its leases fall to this process; what it may have left running, with the key cooldown, is
    /// over at `cooldown_until_us`.
    pub fn on_peer_ended(
        &mut self,
        now_us: u64,
        peer: PeerProcessId,
        cooldown_until_us: u64,
        effects: &mut Vec<LeaseEffect>,
    ) {
        if self.predecessor == Some(peer) {
            self.predecessor = None;
            self.inherited_cooldown_until_us = self.inherited_cooldown_until_us.max(cooldown_until_us);
        }
        let keys: Vec<KeyId> = self.leases.keys().copied().collect();
        for key in keys {
            let Some(lease) = self.leases.get_mut(&key) else { continue };
            lease.request_queue.retain(|claimant| *claimant != Claimant::Peer(peer));
            if lease.holder == Some(peer) {
                lease.take();
                lease.inherited_cooldown_until_us = lease.inherited_cooldown_until_us.max(cooldown_until_us);
            }
            self.serve_queue(now_us, key, effects);
        }
    }

    /// A request of this process needs the lease of its key. It may run once it is admitted, which may be at once.
    pub fn claim(&mut self, now_us: u64, key: KeyId, request: RequestId, effects: &mut Vec<LeaseEffect>) {
        self.lease(key).request_queue.push_back(Claimant::Request(request));
        self.serve_queue(now_us, key, effects);
    }

    /// A request that was not admitted has ended.
    pub fn cancel_claim(
        &mut self,
        now_us: u64,
        key: KeyId,
        request: RequestId,
        effects: &mut Vec<LeaseEffect>,
    ) {
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.request_queue.retain(|claimant| *claimant != Claimant::Request(request));
        }
        self.serve_queue(now_us, key, effects);
    }

    /// An attempt of an admitted request has started.
    pub fn on_attempt_started(&mut self, key: KeyId) {
        self.lease(key).in_use += 1;
    }

    /// An admitted request, or an attempt of one, has ended; the lease stays here until `cooldown_until_us`, as the
    /// attempt may still run; 0: it does not.
    pub fn release(
        &mut self,
        now_us: u64,
        key: KeyId,
        cooldown_until_us: u64,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        lease.in_use = lease.in_use.saturating_sub(1);
        lease.cooldown_until_us = lease.cooldown_until_us.max(cooldown_until_us);
        self.serve_queue(now_us, key, effects);
    }

    /// A peer claims a lease. A peer that holds it, or has claimed it already, is not queued again.
    pub fn on_peer_claim(
        &mut self,
        now_us: u64,
        key: KeyId,
        peer: PeerProcessId,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let claimant = Claimant::Peer(peer);
        let lease = self.lease(key);
        if lease.holder != Some(peer) && !lease.request_queue.contains(&claimant) {
            lease.request_queue.push_back(claimant);
        }
        self.serve_queue(now_us, key, effects);
    }

    /// A peer grants a lease to this process.
    pub fn on_peer_grant(
        &mut self,
        now_us: u64,
        key: KeyId,
        peer: PeerProcessId,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let lease = self.lease(key);
        if lease.holder == Some(peer) {
            lease.take();
        }
        self.serve_queue(now_us, key, effects);
    }

    /// The time of a [`LeaseEffect::WakeAt`] has come.
    pub fn on_cooldown_end(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        self.serve_queue(now_us, key, effects);
    }

    /// When the last cooldown of any key ends, in microseconds.
    pub fn last_cooldown_end_us(&self) -> u64 {
        let ends = self.leases.values().map(KeyLease::last_cooldown_end_us);
        ends.fold(self.inherited_cooldown_until_us, u64::max)
    }

    fn lease(&mut self, key: KeyId) -> &mut KeyLease {
        let (holder, inherited_cooldown_until_us) = (self.predecessor, self.inherited_cooldown_until_us);
        self.leases.entry(key).or_insert_with(|| KeyLease {
            holder,
            has_claimed: false,
            in_use: 0,
            cooldown_until_us: 0,
            inherited_cooldown_until_us,
            wake_at_us: 0,
            request_queue: VecDeque::new(),
        })
    }

    /// Serves the queue of a key as far as that goes now (the paper's *assign privilege* and *make request*). A key
    /// that nobody uses or waits for is removed from the table.
    fn serve_queue(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        while let Some(first) = lease.request_queue.front().copied() {
            if !lease.serve(now_us, first, key, effects) {
                return;
            }
            lease.request_queue.pop_front();
        }
        if lease.in_use > 0 {
            return;
        }
        if lease.holder.is_none() {
            if lease.must_wait(now_us, lease.last_cooldown_end_us(), key, effects) {
                return;
            }
            effects.extend(self.predecessor.map(|to| LeaseEffect::Grant { key, to }));
            self.leases.remove(&key);
        } else if lease.holder == self.predecessor {
            self.leases.remove(&key);
        }
    }
}

impl KeyLease {
    /// This process holds the lease from here on.
    fn take(&mut self) {
        (self.holder, self.has_claimed) = (None, false);
    }

    fn last_cooldown_end_us(&self) -> u64 {
        self.cooldown_until_us.max(self.inherited_cooldown_until_us)
    }

    /// Serves the first entry of the queue; false if it has to wait.
    fn serve(&mut self, now_us: u64, first: Claimant, key: KeyId, effects: &mut Vec<LeaseEffect>) -> bool {
        if let Some(holder) = self.holder {
            if !std::mem::replace(&mut self.has_claimed, true) {
                effects.push(LeaseEffect::Claim { key, holder });
            }
            return false;
        }
        match first {
            Claimant::Request(request) => {
                if self.must_wait(now_us, self.inherited_cooldown_until_us, key, effects) {
                    return false;
                }
                self.in_use += 1;
                effects.push(LeaseEffect::Admit(request));
            }
            Claimant::Peer(peer) => {
                if self.in_use > 0 || self.must_wait(now_us, self.last_cooldown_end_us(), key, effects) {
                    return false;
                }
                self.holder = Some(peer);
                effects.push(LeaseEffect::Grant { key, to: peer });
            }
        }
        true
    }

    /// Whether this time is still to come; if so, a wake-up is set for it once.
    fn must_wait(&mut self, now_us: u64, until_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) -> bool {
        let must_wait = now_us < until_us;
        if must_wait && self.wake_at_us != until_us {
            self.wake_at_us = until_us;
            effects.push(LeaseEffect::WakeAt { key, at_us: until_us });
        }
        must_wait
    }
}

#[cfg(test)]
mod tests;
