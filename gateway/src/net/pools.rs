//! Connections to engines and what they are there for: the state behind `engines.rs`.

use std::collections::{BTreeMap, HashMap};

use workload_manager::EngineId;
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use super::conn::Conn;
use super::engines::{Attempt, AttemptId, Engine, Link, Unconfirmed};
use super::poll::Poll;
use super::{LINK, Timer};
use crate::front::Payload;

/// A connection to an engine.
pub struct Peer {
    pub conn: Conn,
    pub link: Link,
    /// Tells this connection from others that had its place.
    pub serial: u32,
    /// When something must have happened here, and the timer that tells.
    pub timer: Option<(u64, TimerId)>,
}

/// The engines, the connections to them and the attempts over these.
#[derive(Default)]
pub struct Pools {
    pub peers: Vec<Option<Peer>>,
    free: Vec<usize>,
    /// Places given up in this turn: what it still has to tell of them must not meet another connection.
    left_free: Vec<usize>,
    serials: u32,
    /// Connections that something has happened to in this turn.
    pub dirty: Vec<usize>,
    /// Connections in all.
    pub conns: usize,
    pub engines: BTreeMap<EngineId, Engine>,
    pub ids: HashMap<String, EngineId>,
    /// Ids given out so far: one is never given out again.
    pub met: u32,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts that are over here, and perhaps not at their engines.
    pub unconfirmed: BTreeMap<AttemptId, Unconfirmed>,
    pub results: BTreeMap<AttemptId, Payload>,
}

impl Pools {
    pub fn peer(&mut self, at: usize) -> Option<&mut Peer> {
        self.peers.get_mut(at).and_then(Option::as_mut)
    }

    /// Finds a place for a connection, and the key that it will have in the poller.
    pub fn place(&mut self) -> (usize, u64) {
        let at = self.free.pop().unwrap_or_else(|| {
            self.peers.push(None);
            self.peers.len() - 1
        });
        (at, Self::key(at, self.serials.wrapping_add(1)))
    }

    /// Gives back a place that was not needed.
    pub fn unplace(&mut self, at: usize) {
        self.free.push(at);
    }

    pub fn put(&mut self, at: usize, conn: Conn, link: Link) {
        self.serials = self.serials.wrapping_add(1);
        self.conns += 1;
        self.peers[at] = Some(Peer { conn, link, serial: self.serials, timer: None });
        self.dirty.push(at);
    }

    pub fn key(at: usize, serial: u32) -> u64 {
        LINK | u64::from(serial & 0x3fff_ffff) << 32 | at as u64
    }

    /// The connection that a key of the poller names, if it is still there.
    pub fn at(&self, key: u64) -> Option<usize> {
        let at = key as u32 as usize;
        let serial = self.peers.get(at)?.as_ref()?.serial;
        (Self::key(at, serial) == key).then_some(at)
    }

    /// The one place where a connection to an engine is closed.
    pub fn close(&mut self, poll: &Poll, timers: &mut TimerWheel<Timer>, at: usize) -> Option<Link> {
        let peer = self.peers.get_mut(at)?.take()?;
        if let Some((_, timer)) = peer.timer {
            timers.cancel(timer);
        }
        peer.conn.close(poll);
        tracing::debug!(engine = peer.link.engine.0, "connection closed");
        self.left_free.push(at);
        self.conns -= 1;
        Some(peer.link)
    }

    /// The turn is over: places given up in it may be taken again.
    pub fn end_turn(&mut self) {
        self.results.clear();
        self.free.append(&mut self.left_free);
    }
}
