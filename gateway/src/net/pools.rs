//! The tables of engines, of connections to engines, and of attempts in flight.
//!
//! A slot is an index into [`Pools::connections`]. The serial number distinguishes a connection from later ones in its
//! slot.

use std::collections::{BTreeMap, HashMap};

use workload_manager::EngineId;
use wrenhatch_sessions::timer_wheel::{TimerId, TimerWheel};

use super::NetTimer;
use super::connection::Connection;
use super::engines::{Attempt, AttemptId, Engine, Link, LostAttempt};
use super::poll::Poll;
use super::poll_key::PollKey;
use crate::front::QueryResult;

/// A connection to an engine in its slot.
pub struct EngineConnection {
    pub conn: Connection,
    pub link: Link,
    /// Distinguishes this connection from others in the same slot.
    pub serial: u32,
    /// Deadline of the connection in microseconds, and the timer armed for it.
    pub timer: Option<(u64, TimerId)>,
}

/// Engines, connections to engines, and attempts.
#[derive(Default)]
pub struct Pools {
    pub connections: Vec<Option<EngineConnection>>,
    free_slots: Vec<usize>,
    /// Slots freed in this turn. They are not reused before the next turn, so that pending events of this turn can't be
    /// delivered to another connection.
    freed_this_turn: Vec<usize>,
    last_serial: u32,
    /// Slots of connections that must be flushed at the end of this turn.
    pub dirty: Vec<usize>,
    pub open_connections: usize,
    pub engines: BTreeMap<EngineId, Engine>,
    /// Engine ids by engine name.
    pub ids: HashMap<String, EngineId>,
    /// Number of engine ids assigned so far. Ids are consecutive and never reused.
    pub engine_ids_assigned: u32,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Lost attempts whose end is not confirmed yet.
    pub unconfirmed: BTreeMap<AttemptId, LostAttempt>,
    /// Results of attempts that ended in this turn.
    pub results: BTreeMap<AttemptId, QueryResult>,
}

impl Pools {
    pub fn connection(&mut self, slot: usize) -> Option<&mut EngineConnection> {
        self.connections.get_mut(slot).and_then(Option::as_mut)
    }

    /// Allocates a slot, and returns it with the poller key of the next connection inserted there.
    pub fn allocate_slot(&mut self) -> (usize, u64) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        (slot, Self::key(slot, self.last_serial.wrapping_add(1)))
    }

    /// Returns an allocated slot into which no connection was inserted.
    pub fn free_slot(&mut self, slot: usize) {
        self.free_slots.push(slot);
    }

    pub fn insert(&mut self, slot: usize, conn: Connection, link: Link) {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.open_connections += 1;
        self.connections[slot] = Some(EngineConnection { conn, link, serial: self.last_serial, timer: None });
        self.dirty.push(slot);
    }

    pub fn key(slot: usize, serial: u32) -> u64 {
        PollKey::EngineConnection { slot: slot as u32, serial }.encode()
    }

    /// The slot of the connection with this poller key; `None` if the connection was closed.
    pub fn slot_of(&self, key: u64) -> Option<usize> {
        let slot = key as u32 as usize;
        let serial = self.connections.get(slot)?.as_ref()?.serial;
        (Self::key(slot, serial) == key).then_some(slot)
    }

    /// Closes a connection and returns its link; `None` if the slot has no connection. All connections to engines are
    /// closed here.
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

    /// Drops the results of this turn, and makes slots freed in it available.
    pub fn end_turn(&mut self) {
        self.results.clear();
        self.free_slots.append(&mut self.freed_this_turn);
    }
}
