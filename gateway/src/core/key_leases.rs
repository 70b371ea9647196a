//! Leases of order keys: which process of a gateway may run requests of a key.
//!
//! While one process of a gateway replaces another, both receive requests of the same keys, and requests of a key stay
//! in order across both processes. Each key has a lease that one process holds at a time. The lease follows K.
//! Raymond's algorithm ("A tree-based algorithm for distributed mutual exclusion", 1989), separately for each key. The
//! processes form a tree with the oldest process at its root. For each key, a process stores the peer that is nearer to
//! the holder (`holder`), whether it has claimed the lease from that peer (`has_claimed`, the paper's *asked*), and the
//! waiting claims (`request_queue`). The paper's messages *request* and *privilege* are called claim and grant here.
//!
//! There are two differences from the paper:
//! - Several requests of the holder may use a lease at once, because the workload manager orders them. `use_count`
//!   counts these requests and their attempts.
//! - An unused lease returns to the root, so that the table contains only keys that are in use, claimed, in cooldown or
//!   granted to a successor. The lease of a key that is not in the table is held by the predecessor, or by this process
//!   if there is no predecessor.
//!
//! This module does no I/O and reads no clock. Times are whole microseconds of the core's clock. Methods append the
//! resulting [`LeaseEffect`]s to a list, in the order in which they have to be carried out.

use std::collections::{BTreeMap, VecDeque};

use workload_manager::{KeyId, RequestId};

/// Number of the connection to a peer process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub u32);

/// An effect that the caller carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Claim the lease of a key from a peer.
    Claim {
        /// Order key with a waiting claim.
        key: KeyId,
        /// Peer that holds the lease, or is nearer to the holder.
        holder: PeerProcessId,
    },
    /// Grant the lease of a key to a peer.
    Grant {
        /// Order key that this process does not use.
        key: KeyId,
        /// New holder of the lease.
        to: PeerProcessId,
    },
    /// Pass this request to the workload manager.
    Admit(RequestId),
    /// Call [`KeyLeases::on_cooldown_end`] for a key at a given time.
    WakeAt {
        /// Order key with a cooldown.
        key: KeyId,
        /// Time in microseconds.
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

/// State of one key's lease in this process.
#[derive(Debug)]
struct KeyLease {
    /// Peer that holds the lease, or is nearer to the holder. `None` if this process holds the lease.
    holder: Option<PeerProcessId>,
    /// The lease has been claimed from `holder`.
    has_claimed: bool,
    /// Total number of open admitted requests, attempts in flight, and lost attempts whose end is not confirmed.
    use_count: u32,
    /// End of the cooldown after attempts of this process. The lease is not granted to a peer before this time.
    /// Requests of this process need not wait for it, because the workload manager tracks this cooldown itself.
    cooldown_until_us: u64,
    /// End of the cooldown after attempts of a peer that has exited. Requests of this process wait for it too.
    inherited_cooldown_until_us: u64,
    /// Time of the last [`LeaseEffect::WakeAt`]. 0: there was none.
    wake_at_us: u64,
    /// Waiting claims, in order of arrival.
    request_queue: VecDeque<Claimant>,
}

/// The leases of all keys in use.
#[derive(Debug, Default)]
pub struct KeyLeases {
    leases: BTreeMap<KeyId, KeyLease>,
    /// Process that this one replaces, until it exits. It holds all leases that are not in the table.
    predecessor: Option<PeerProcessId>,
    /// End of the cooldown after attempts of a predecessor that has exited. Applies to keys that are not in the table.
    inherited_cooldown_until_us: u64,
}

impl KeyLeases {
    /// Sets the process that this one replaces and that holds all leases.
    pub fn set_predecessor(&mut self, predecessor: PeerProcessId) {
        self.predecessor = Some(predecessor);
    }

    /// Moves the leases of a peer that has exited to this process and removes the peer's claims. `cooldown_until_us` is
    /// the time by which all attempts of the peer have ended and their key cooldowns are over.
    pub fn on_peer_exited(
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
                lease.acquire();
                lease.inherited_cooldown_until_us = lease.inherited_cooldown_until_us.max(cooldown_until_us);
            }
            self.serve_queue(now_us, key, effects);
        }
    }

    /// Claims the lease of a key for a request of this process. [`LeaseEffect::Admit`] follows once the request may
    /// run, which may be in the same call.
    pub fn claim(&mut self, now_us: u64, key: KeyId, request: RequestId, effects: &mut Vec<LeaseEffect>) {
        self.lease(key).request_queue.push_back(Claimant::Request(request));
        self.serve_queue(now_us, key, effects);
    }

    /// Removes the claim of a request that was not admitted.
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

    /// Records the start of an attempt of an admitted request.
    pub fn on_attempt_started(&mut self, key: KeyId) {
        self.lease(key).use_count += 1;
    }

    /// Records the end of an admitted request or of one of its attempts. The lease is not granted to a peer before
    /// `cooldown_until_us`. 0: no cooldown.
    pub fn release(
        &mut self,
        now_us: u64,
        key: KeyId,
        cooldown_until_us: u64,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        lease.use_count = lease.use_count.saturating_sub(1);
        lease.cooldown_until_us = lease.cooldown_until_us.max(cooldown_until_us);
        self.serve_queue(now_us, key, effects);
    }

    /// Queues a peer's claim of a lease. The claim is ignored if it is a duplicate, or if the peer holds the lease or
    /// is nearer to the holder.
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

    /// Accepts a lease that a peer grants to this process. The grant is ignored unless the peer is the recorded holder.
    pub fn on_peer_grant(
        &mut self,
        now_us: u64,
        key: KeyId,
        peer: PeerProcessId,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let lease = self.lease(key);
        if lease.holder == Some(peer) {
            lease.acquire();
        }
        self.serve_queue(now_us, key, effects);
    }

    /// Serves the waiting claims of a key at the time of its [`LeaseEffect::WakeAt`].
    pub fn on_cooldown_end(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        self.serve_queue(now_us, key, effects);
    }

    /// Latest end of a cooldown of any key, in microseconds. 0: no key has had a cooldown.
    pub fn last_cooldown_end_us(&self) -> u64 {
        let ends = self.leases.values().map(KeyLease::last_cooldown_end_us);
        ends.fold(self.inherited_cooldown_until_us, u64::max)
    }

    fn lease(&mut self, key: KeyId) -> &mut KeyLease {
        let (holder, inherited_cooldown_until_us) = (self.predecessor, self.inherited_cooldown_until_us);
        self.leases.entry(key).or_insert_with(|| KeyLease {
            holder,
            has_claimed: false,
            use_count: 0,
            cooldown_until_us: 0,
            inherited_cooldown_until_us,
            wake_at_us: 0,
            request_queue: VecDeque::new(),
        })
    }

    /// Serves waiting claims of a key until one has to wait (the paper's *assign privilege* and *make request*). If the
    /// key is then neither used nor claimed, its lease returns to the predecessor, and the key is removed from the
    /// table. Neither happens during the key's cooldown or while a successor holds the lease.
    fn serve_queue(&mut self, now_us: u64, key: KeyId, effects: &mut Vec<LeaseEffect>) {
        let Some(lease) = self.leases.get_mut(&key) else { return };
        while let Some(first) = lease.request_queue.front().copied() {
            if !lease.serve(now_us, first, key, effects) {
                return;
            }
            lease.request_queue.pop_front();
        }
        if lease.use_count > 0 {
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
    /// Makes this process the holder.
    fn acquire(&mut self) {
        (self.holder, self.has_claimed) = (None, false);
    }

    fn last_cooldown_end_us(&self) -> u64 {
        self.cooldown_until_us.max(self.inherited_cooldown_until_us)
    }

    /// Serves the first entry of the queue. Returns false if it has to wait.
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
                self.use_count += 1;
                effects.push(LeaseEffect::Admit(request));
            }
            Claimant::Peer(peer) => {
                if self.use_count > 0 || self.must_wait(now_us, self.last_cooldown_end_us(), key, effects) {
                    return false;
                }
                self.holder = Some(peer);
                effects.push(LeaseEffect::Grant { key, to: peer });
            }
        }
        true
    }

    /// Whether `until_us` is in the future. If so, requests a wake-up at that time, unless it has been requested.
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
