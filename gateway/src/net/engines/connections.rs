//! Connections to engines: found, opened, kept idle, timed and closed, within the descriptor budget.

use workload_manager::interface::*;

use super::attempts::UNHEARD_US;
use super::confirmation::CONFIRMATION_CONNECT_US;
use super::{End, Engine, EngineProtocol, Job, Link, Wire};
use crate::engine::{http, mysql};
use crate::net::conn::{Phase, ReadEnd};
use crate::net::poll::Interest;
use crate::net::pools::{Peer, Pools};
use crate::net::{Server, Timer};

/// A call is answered within 250 ms, by engines that stand still for 370 ms at times. One without an answer for
/// this long gets none: it is asked again over another connection, where the query may be well.
const ANSWER_US: u64 = 500_000;

/// How long an answer that no longer matters is waited for, to keep its connection: asks hang for 250 ms.
const DISCARD_US: u64 = 1_000_000;

/// How long a connection rests behind an answer before the next call is written: a second one may come some
/// milliseconds late, and would be taken for that call's. It waits rather than that another is opened, as many of
/// those come up late.
pub(super) const REST_US: u64 = 25_000;

impl Server {
    /// Finds a connection to an engine for a job: an idle one, best with the statement prepared, or one that
    /// is being opened.
    pub(super) fn link(
        &mut self,
        engine: EngineId,
        job: Job,
        protocol: EngineProtocol,
        prepared: Option<&[u8]>,
    ) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get_mut(&engine) else { return Err(Outcome::NeverSent) };
        if matches!(job, Job::Attempt(_)) && e.state != EndpointState::Ready {
            return Err(Outcome::NeverSent);
        }
        let idle = &mut e.idle[protocol as usize];
        let peers = &self.pools.peers;
        let has = |at: &usize| {
            let wire = peers[*at].as_ref().map(|p| &p.link);
            let Some(Link { wire: Wire::MySql(s), .. }) = wire else { return false };
            prepared.is_some_and(|sql| s.has_prepared(sql))
        };
        // A second answer to the call before may be on its way, and would be taken for that to the next one.
        let now_us = self.time.now_us;
        let rested = |at: &usize| {
            let job = peers[*at].as_ref().map(|p| p.link.job);
            matches!(job, Some(Job::Idle { since_us }) if now_us >= since_us + REST_US)
        };
        let best =
            idle.iter().rposition(|at| rested(at) && has(at)).or_else(|| idle.iter().rposition(rested));
        // The first in the list is the one that has rested for longest.
        let best = best.or_else(|| (!idle.is_empty()).then_some(0));
        match best.map(|i| idle.remove(i)) {
            Some(at) if self.is_quiet(at) => {
                if let Some(Peer { link, .. }) = self.pools.peer(at) {
                    if let Job::Idle { since_us } = link.job {
                        link.rests_until_us = since_us + REST_US;
                    }
                    link.job = job;
                }
                Ok(at)
            }
            Some(at) => {
                self.pools.close(&self.poll, &mut self.timers, at);
                self.link(engine, job, protocol, prepared)
            }
            None => self.connect(engine, job, protocol),
        }
    }

    /// Whether nothing has come over an idle connection. Bytes behind an answer would be taken for the next
    /// one, and over one that the engine has closed a start could not be told from one that ran.
    pub(super) fn is_quiet(&mut self, at: usize) -> bool {
        let Some(peer) = self.pools.peer(at) else { return false };
        peer.conn.fill(usize::MAX) == ReadEnd::Later && peer.conn.input.is_empty()
    }

    /// Opens a connection to an engine, within the budget.
    pub(super) fn connect(
        &mut self,
        engine: EngineId,
        job: Job,
        protocol: EngineProtocol,
    ) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get(&engine) else { return Err(Outcome::NeverSent) };
        let Some(address) = (if protocol == EngineProtocol::Http { Some(e.address) } else { e.mysql }) else {
            return Err(Outcome::NeverSent);
        };
        // What has gone may have left its address to another, which knows nothing of its queries.
        let taken_over = |o: &Engine| o.state != EndpointState::Removed && o.address == e.address;
        if e.state == EndpointState::Removed && self.pools.engines.values().any(taken_over) {
            return Err(Outcome::NeverSent);
        }
        if self.pools.conns >= self.most_engine_conns() && !self.close_an_idle_link() {
            return Err(Outcome::NeverSent);
        }
        let wire = match (protocol, &self.config.mysql) {
            (EngineProtocol::MySql, Some(m)) => Wire::MySql(Box::new(mysql::Session::new(m.login.clone()))),
            _ => Wire::Http,
        };
        let (at, key) = self.pools.place();
        let ahead = if protocol == EngineProtocol::Http { 2 * http::MAX_ANSWER } else { 512 * 1024 };
        match self.dial(address, key, ahead) {
            Ok(conn) => {
                let link = Link {
                    engine,
                    job,
                    wire,
                    asked_us: self.time.now_us,
                    rests_until_us: 0,
                    doubtful: false,
                };
                self.pools.put(at, conn, link);
                self.counters.engine_connects += 1;
                let give_up = matches!(job, Job::Delete(_) | Job::Confirm(_));
                tracing::debug!(engine = engine.0, give_up, now_us = self.time.now_us, "connection opened");
                Ok(at)
            }
            Err(e) => {
                tracing::debug!("connect to {address}: {e}");
                self.pools.unplace(at);
                let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                Err(if refused { Outcome::ConnectFailed } else { Outcome::NeverSent })
            }
        }
    }

    pub(super) fn most_engine_conns(&self) -> usize {
        crate::net::sessions::most_engine_conns(&self.config, self.family.is_alone())
    }

    /// Another process of this gateway has come: idle connections beyond this one's half are closed.
    pub(in crate::net) fn share_descriptors(&mut self) {
        while self.pools.conns > self.most_engine_conns() && self.close_an_idle_link() {}
    }

    /// Makes room within the descriptor budget.
    pub(super) fn close_an_idle_link(&mut self) -> bool {
        let pools = self.pools.engines.values_mut().flat_map(|e| &mut e.idle);
        let fullest = pools.max_by_key(|idle| idle.len()).filter(|idle| !idle.is_empty());
        let Some(at) = fullest.map(|idle| idle.remove(0)) else { return false };
        self.pools.close(&self.poll, &mut self.timers, at);
        true
    }

    /// When something must have happened on a connection: it must be up, an answer must have come, one that no
    /// longer matters too; and one must not be idle for so long that the engine may close it any moment, as a
    /// start written to one that is being closed could not be told from one that ran.
    pub(super) fn link_due_us(&self, peer: &Peer) -> Option<u64> {
        let link = &peer.link;
        if link.is_coming_up(peer.conn.phase) {
            // Whatever else there is may go another way; only this engine can confirm what it runs.
            let patience_us = if matches!(link.job, Job::Confirm(_)) { CONFIRMATION_CONNECT_US } else { 0 };
            return Some(link.asked_us + self.config.connect_timeout_us.max(patience_us));
        }
        if link.is_resting() {
            return Some(link.rests_until_us);
        }
        match (link.job, &link.wire) {
            (Job::Idle { since_us }, _) => Some(since_us + self.config.engine_idle_timeout_us * 6 / 10),
            (Job::Attempt(_), Wire::Http) => Some(link.asked_us + ANSWER_US + 1),
            (Job::Attempt(_), Wire::MySql(_)) => None,
            (Job::Discarding { since_us }, _) => Some(since_us + DISCARD_US + 1),
            (Job::Delete(_) | Job::Confirm(_), _) => Some(link.asked_us + UNHEARD_US),
        }
    }

    /// Writes what a connection has to say, waits for what it wants next, and sets its timer.
    pub(in crate::net) fn settle_link(&mut self, at: usize) {
        let Some(peer) = self.pools.peer(at) else { return };
        if peer.conn.phase != Phase::Connecting {
            let key = Pools::key(at, peer.serial);
            let peer = &mut peer.conn;
            if peer.flush().is_err() || peer.update(&self.poll, key).is_err() {
                return self.engine_gone(at, End::Broken);
            }
        }
        let Some(peer) = self.pools.peers.get(at).and_then(Option::as_ref) else { return };
        let due_us = self.link_due_us(peer);
        if let Some(peer) = self.pools.peer(at) {
            let what = Timer::Link(at, peer.serial);
            self.timers.reschedule(&mut peer.timer, due_us, what);
        }
    }

    /// What must have happened on a connection by now has not.
    pub(in crate::net) fn link_late(&mut self, at: usize, serial: u32) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get(at).and_then(Option::as_ref).filter(|p| p.serial == serial)
        else {
            return;
        };
        let late = self.link_due_us(peer).is_some_and(|due_us| due_us <= now_us);
        let coming = peer.link.is_coming_up(peer.conn.phase);
        let (job, engine, resting) = (peer.link.job, peer.link.engine, peer.link.is_resting());
        if let Some(peer) = self.pools.peer(at) {
            peer.timer = None;
            // A call that has no answer may not have arrived yet, and is not to arrive any more.
            let unanswered = matches!(job, Job::Attempt(_) | Job::Discarding { .. } | Job::Confirm(_));
            if late && !coming && !resting && unanswered {
                peer.conn.discard_unsent_on_close();
            }
        }
        self.pools.dirty.push(at);
        match job {
            _ if !late => {}
            _ if resting => self.post_if_up(at),
            _ if coming => self.engine_gone(at, End::Late),
            Job::Idle { .. } => {
                if let Some(e) = self.pools.engines.get_mut(&engine) {
                    e.idle.iter_mut().for_each(|idle| idle.retain(|i| *i != at));
                }
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            Job::Attempt(_) => {
                tracing::debug!("an engine's answer does not come");
                self.engine_gone(at, End::Broken);
            }
            // The machine may have vanished, and the connection would hold its descriptor for good.
            Job::Discarding { .. } => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            // It came up, and what was written reached the machine.
            Job::Confirm(id) => {
                self.pools.close(&self.poll, &mut self.timers, at);
                self.confirm_dropped(id);
            }
            Job::Delete(id) if !self.pools.attempts.contains_key(&id) => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            Job::Delete(_) => {
                if let Some(peer) = self.pools.peer(at) {
                    peer.link.asked_us = now_us;
                }
            }
        }
    }

    /// Something is ready on a connection to an engine.
    pub(in crate::net) fn link_ready(&mut self, at: usize, interest: Interest) {
        let Some(peer) = self.pools.peer(at) else { return };
        if peer.conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            match peer.conn.finish_connect() {
                Ok(()) => {}
                // Only this proves that no process is there: a reset strikes connections of living ones too.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    return self.engine_gone(at, End::Refused);
                }
                Err(_) => return self.engine_gone(at, End::Broken),
            }
            self.connected(at);
        }
        if interest.write {
            self.pools.dirty.push(at);
        }
        if interest.read {
            let Some(peer) = self.pools.peer(at) else { return };
            if peer.conn.is_cut_off() {
                return self.engine_gone(at, End::Broken);
            }
            let end = peer.conn.fill(usize::MAX);
            self.engine_read(at, end);
        }
    }

    pub(super) fn connected(&mut self, at: usize) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peer(at) else { return };
        match &peer.link.wire {
            Wire::Http => self.post_if_up(at),
            // The engine speaks first, and no slower than a connection may come up.
            Wire::MySql(_) => {
                peer.link.asked_us = now_us;
                self.pools.dirty.push(at);
            }
        }
    }

    /// Puts a connection back to the idle ones of its engine.
    pub(super) fn release(&mut self, at: usize) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let link = &mut peer.link;
        link.job = Job::Idle { since_us: now_us };
        self.pools.dirty.push(at);
        let conn = &peer.conn;
        let free = match &link.wire {
            Wire::Http => true,
            Wire::MySql(s) => s.is_up(),
        };
        let clean = free
            && !link.doubtful
            && conn.phase == Phase::Open
            && conn.input.is_empty()
            && conn.output.is_empty();
        match self.pools.engines.get_mut(&link.engine) {
            Some(e) if clean && e.state != EndpointState::Removed => {
                e.idle[link.protocol() as usize].push(at)
            }
            _ => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
        }
    }

    pub(super) fn release_or_close(&mut self, at: usize, close: bool) {
        if close {
            self.pools.close(&self.poll, &mut self.timers, at);
        } else {
            self.release(at);
        }
    }

    /// A connection to an engine is over, and what it was there for goes on without it.
    pub(in crate::net) fn engine_gone(&mut self, at: usize, end: End) {
        let Some(link) = self.pools.close(&self.poll, &mut self.timers, at) else { return };
        match link.job {
            Job::Idle { .. } => {
                if let Some(e) = self.pools.engines.get_mut(&link.engine) {
                    e.idle.iter_mut().for_each(|idle| idle.retain(|i| *i != at));
                }
            }
            Job::Attempt(id) => self.resume(id, &link, end),
            Job::Delete(id) => self.tell_again(id, &link, end),
            Job::Confirm(id) => self.confirmation_broke(id, end),
            Job::Discarding { .. } => {}
        }
    }
}
