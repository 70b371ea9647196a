//! The state of the engines' side of the network: engines, connections in slots, attempts in flight.
//!
//! A slot is an index into [`Pools::connections`]; the serial tells a connection from later ones in its slot.

use std::collections::{BTreeMap, HashMap};

use workload_manager::EngineId;
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use super::NetTimer;
use super::connection::Connection;
use super::engines::{Attempt, AttemptId, Engine, Link, Unconfirmed};
use super::poll::Poll;
use super::poll_key::PollKey;
use crate::front::QueryResult;

/// A connection to an engine.
pub struct EngineConnection {
    pub conn: Connection,
    pub link: Link,
    /// Tells this connection from others that had its slot.
    pub serial: u32,
    /// When something must have happened on it, in microseconds, and the timer for that.
    pub timer: Option<(u64, TimerId)>,
}

/// The engines, the connections to them and the attempts over these.
#[derive(Default)]
pub struct Pools {
    pub connections: Vec<Option<EngineConnection>>,
    free_slots: Vec<usize>,
    /// Slots freed in this turn: events of it that are still to come must not meet another connection.
    freed_this_turn: Vec<usize>,
    serials: u32,
    /// Slots of connections that changed in this turn.
    pub dirty: Vec<usize>,
    /// Number of connections.
    pub open_connections: usize,
    pub engines: BTreeMap<EngineId, Engine>,
    pub ids: HashMap<String, EngineId>,
    /// Ids given out so far: one is never given out again.
    pub ids_given: u32,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Lost attempts whose end is to be confirmed.
    pub unconfirmed: BTreeMap<AttemptId, Unconfirmed>,
    pub results: BTreeMap<AttemptId, QueryResult>,
}

impl Pools {
    pub fn connection(&mut self, slot: usize) -> Option<&mut EngineConnection> {
        self.connections.get_mut(slot).and_then(Option::as_mut)
    }

    /// Finds a slot for a connection, and the key that it will have in the poller.
    pub fn allocate_slot(&mut self) -> (usize, u64) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        (slot, Self::key(slot, self.serials.wrapping_add(1)))
    }

    /// Gives back a slot that was not needed.
    pub fn free_slot(&mut self, slot: usize) {
        self.free_slots.push(slot);
    }

    pub fn insert(&mut self, slot: usize, conn: Connection, link: Link) {
        self.serials = self.serials.wrapping_add(1);
        self.open_connections += 1;
        self.connections[slot] = Some(EngineConnection { conn, link, serial: self.serials, timer: None });
        self.dirty.push(slot);
    }

    pub fn key(slot: usize, serial: u32) -> u64 {
        PollKey::EngineConnection { slot: slot as u32, serial }.encode()
    }

    /// The slot of the connection that a key of the poller names, if it is still open.
    pub fn slot_of(&self, key: u64) -> Option<usize> {
        let slot = key as u32 as usize;
        let serial = self.connections.get(slot)?.as_ref()?.serial;
        (Self::key(slot, serial) == key).then_some(slot)
    }

    /// The one place where a connection to an engine is closed.
    pub fn close(&mut self, poll: &Poll, timers: &mut TimerWheel<NetTimer>, slot: usize) -> Option<Link> {
        let connection = self.connections.get_mut(slot)?.take()?;
        if let Some((_, timer)) = connection.timer {
            timers.cancel(timer);
        }
        connection.conn.close(poll);
        tracing::debug!(engine = connection.link.engine.0, "connection closed");
        self.freed_this_turn.push(slot);
        self.open_connections -= 1;
        Some(connection.link)
    }

    /// The turn is over: slots freed in it may be reused.
    pub fn end_turn(&mut self) {
        self.results.clear();
        self.free_slots.append(&mut self.freed_this_turn);
    }
}
