//! A modelled control machine: its replica of the list, its streams, and a single worker with a FIFO queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ConnectionId;
use crate::hollow::control_state::ControlState;
use crate::hollow::list::DatabaseList;
use crate::hollow::load::Load;

/// Service time of a list request until its stream starts, in microseconds.
pub const REQUEST_COST_US: u64 = 200;
/// Fixed service time of a write to a stream, in microseconds.
pub const WRITE_COST_US: u64 = 10;
/// Service time of each 1,000 bytes of a write, in microseconds.
pub const KILOBYTE_COST_US: u64 = 2;
/// Time after which a control machine closes a stalled stream, in microseconds.
pub const STALL_TIMEOUT_US: u64 = 10_000_000;

/// State of a stream at its control machine.
#[derive(Clone, Debug, Default)]
pub struct ControlStream {
    /// Index of the last event written, initially of the last event that the gateway has.
    pub last_sent: u64,
    /// Writes that could not be delivered, oldest first.
    pub unsent: Vec<Arc<[u8]>>,
    /// Time at which the stream stalled, in microseconds. `None` while all writes are delivered.
    pub stalled_since_us: Option<u64>,
}

/// A control machine and its counts since the start of the measurement.
pub struct ControlMachine {
    /// Zone of the machine, from 0.
    pub zone: usize,
    /// Reachability, set by scripted actions.
    pub state: ControlState,
    /// Replica of the list.
    pub list: DatabaseList,
    /// Open streams by connection.
    pub streams: BTreeMap<ConnectionId, ControlStream>,
    /// List requests answered with a stream.
    pub calls: Load,
    /// List events written, counted for each stream.
    pub events: Load,
    /// Bytes of list events written.
    pub event_bytes: u64,
    /// Bytes written in total.
    pub bytes: Load,
    /// Streams that ended by scripted actions: the machine closed them, stopped or became unreachable. Streams closed
    /// after `STALL_TIMEOUT_US` or by gateways are not counted.
    pub ended: u64,
    /// Maximum number of concurrent streams.
    pub max_streams: usize,
    /// Maximum queueing delay of the worker, in microseconds.
    pub max_wait_us: u64,
    /// Maximum number of undelivered bytes in all streams together.
    pub max_unsent_bytes: u64,
    busy_until_us: u64,
}

impl ControlMachine {
    /// Creates a control machine that serves this list.
    pub fn new(zone: usize, list: DatabaseList) -> Self {
        Self {
            zone,
            state: ControlState::Serving,
            list,
            streams: BTreeMap::new(),
            calls: Load::default(),
            events: Load::default(),
            event_bytes: 0,
            bytes: Load::default(),
            ended: 0,
            max_streams: 0,
            max_wait_us: 0,
            max_unsent_bytes: 0,
            busy_until_us: 0,
        }
    }

    /// Queues work for the worker and returns the time at which it completes, in microseconds.
    pub fn enqueue_work(&mut self, now_us: u64, cost_us: u64) -> u64 {
        let begins_us = self.busy_until_us.max(now_us);
        self.max_wait_us = self.max_wait_us.max(begins_us - now_us);
        self.busy_until_us = begins_us + cost_us;
        self.busy_until_us
    }

    /// Opens a stream that continues after event `after`.
    pub fn open_stream(&mut self, now_us: u64, connection: ConnectionId, after: u64) {
        self.calls.add(now_us, 1);
        self.streams.insert(connection, ControlStream { last_sent: after, ..ControlStream::default() });
        self.max_streams = self.max_streams.max(self.streams.len());
    }

    /// Sets the state, clears the worker's queue, and returns the streams for the caller to close.
    pub fn reset(&mut self, state: ControlState) -> Vec<ConnectionId> {
        self.state = state;
        self.busy_until_us = 0;
        self.ended += self.streams.len() as u64;
        std::mem::take(&mut self.streams).into_keys().collect()
    }

    /// Resets the counts, except that open streams count towards the maximum.
    pub fn begin_measurement(&mut self) {
        (self.calls, self.events, self.bytes) = Default::default();
        (self.event_bytes, self.ended) = (0, 0);
        self.max_streams = self.streams.len();
        (self.max_wait_us, self.max_unsent_bytes) = (0, 0);
    }

    /// Updates the maximum number of undelivered bytes.
    pub fn record_unsent(&mut self) {
        let bytes = |stream: &ControlStream| stream.unsent.iter().map(|text| text.len() as u64).sum::<u64>();
        let unsent: u64 = self.streams.values().map(bytes).sum();
        self.max_unsent_bytes = self.max_unsent_bytes.max(unsent);
    }
}

/// Service time of a write, in microseconds.
pub fn write_cost_us(bytes: usize) -> u64 {
    WRITE_COST_US + bytes as u64 * KILOBYTE_COST_US / 1000
}
