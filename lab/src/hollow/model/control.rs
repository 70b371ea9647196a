//! A hollow control machine in simulated time: its copy of the list, its streams, and one worker that serves them in
//! order of arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ConnectionId;
use crate::hollow::control_state::ControlState;
use crate::hollow::list::DatabaseList;
use crate::hollow::load::Load;

/// Time that a call takes until its stream has begun, in microseconds: an assumption.
pub const CALL_COST_US: u64 = 200;
/// Time that one write to one stream takes, in microseconds: an assumption.
pub const WRITE_COST_US: u64 = 10;
/// Time that each 1,000 bytes of it take, in microseconds: an assumption.
pub const KILOBYTE_COST_US: u64 = 2;
/// A stream that takes no bytes for so long is closed, in microseconds: an assumption.
pub const STALL_TIMEOUT_US: u64 = 10_000_000;

/// A stream as its control machine has it.
#[derive(Clone, Debug, Default)]
pub struct ControlStream {
    /// The number of the last event that was written.
    pub last_sent: u64,
    /// What was written while the network took nothing, oldest first.
    pub unsent: Vec<Arc<[u8]>>,
    /// Since when the network has taken nothing.
    pub stalled_since_us: Option<u64>,
}

/// A control machine.
pub struct ControlMachine {
    /// Its zone.
    pub zone: usize,
    /// Whether it can be reached.
    pub state: ControlState,
    /// Its copy of the list.
    pub list: DatabaseList,
    /// Its streams.
    pub streams: BTreeMap<ConnectionId, ControlStream>,
    /// Calls.
    pub calls: Load,
    /// List events written, once for each stream.
    pub events: Load,
    /// Bytes of these events.
    pub event_bytes: u64,
    /// All bytes written.
    pub bytes: Load,
    /// Streams that it has ended.
    pub ended: u64,
    /// Most streams at once.
    pub most_streams: usize,
    /// The longest time that work waited for the worker, in microseconds.
    pub longest_wait_us: u64,
    /// The most bytes that waited for a network that took nothing.
    pub most_unsent_bytes: u64,
    busy_until_us: u64,
}

impl ControlMachine {
    /// A control machine that has served with this list for long.
    pub fn new(zone: usize, list: DatabaseList) -> Self {
        Self {
            zone,
            state: ControlState::Serves,
            list,
            streams: BTreeMap::new(),
            calls: Load::default(),
            events: Load::default(),
            event_bytes: 0,
            bytes: Load::default(),
            ended: 0,
            most_streams: 0,
            longest_wait_us: 0,
            most_unsent_bytes: 0,
            busy_until_us: 0,
        }
    }

    /// Has the worker do so much behind all that waits; when it is done.
    pub fn work(&mut self, now_us: u64, cost_us: u64) -> u64 {
        let begins_us = self.busy_until_us.max(now_us);
        self.longest_wait_us = self.longest_wait_us.max(begins_us - now_us);
        self.busy_until_us = begins_us + cost_us;
        self.busy_until_us
    }

    /// A stream begins behind this event.
    pub fn accept(&mut self, now_us: u64, connection: ConnectionId, after: u64) {
        self.calls.add(now_us, 1);
        self.streams.insert(connection, ControlStream { last_sent: after, ..ControlStream::default() });
        self.most_streams = self.most_streams.max(self.streams.len());
    }

    /// The process ends: its streams, which are to be closed.
    pub fn end(&mut self, state: ControlState) -> Vec<ConnectionId> {
        self.state = state;
        self.busy_until_us = 0;
        self.ended += self.streams.len() as u64;
        std::mem::take(&mut self.streams).into_keys().collect()
    }

    /// What was before does not count, but for the streams that are open.
    pub fn begin_measurement(&mut self) {
        (self.calls, self.events, self.bytes) = Default::default();
        (self.event_bytes, self.ended) = (0, 0);
        self.most_streams = self.streams.len();
        (self.longest_wait_us, self.most_unsent_bytes) = (0, 0);
    }

    /// Bytes that wait for a network that takes nothing.
    pub fn note_unsent(&mut self) {
        let bytes = |stream: &ControlStream| stream.unsent.iter().map(|text| text.len() as u64).sum::<u64>();
        let unsent: u64 = self.streams.values().map(bytes).sum();
        self.most_unsent_bytes = self.most_unsent_bytes.max(unsent);
    }
}

/// What one write of so many bytes costs, in microseconds.
pub fn write_cost_us(bytes: usize) -> u64 {
    WRITE_COST_US + bytes as u64 * KILOBYTE_COST_US / 1000
}
