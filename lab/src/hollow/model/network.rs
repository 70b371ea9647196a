//! The network between gateways and control machines: routers, latencies, and bytes buffered during partitions.

use std::sync::Arc;

use super::control::{ControlMachine, ControlStream, write_cost_us};
use super::event::Event;
use super::{ConnectionId, Model};
use crate::hollow::control_state::ControlState;
use crate::hollow::fleet;

/// Minimum one-way latency within a zone, between zones of a region and between regions, in microseconds.
const ONE_WAY_US: [u64; 3] = [150, 500, 15_000];
/// Maximum random addition to a one-way latency, as a fraction of the minimum.
const JITTER_RATIO: f64 = 0.2;
/// Delay until a router detects that a control machine became reachable or unreachable, in microseconds.
pub(super) const ROUTER_DETECTION_DELAY_US: u64 = 2_000_000;
/// Maximum delay between the end of a partition and a retransmission, in microseconds.
pub(super) const MAX_RETRANSMISSION_DELAY_US: u64 = 1_000_000;

/// A connection from a gateway to a control machine.
pub(super) struct Connection {
    pub(super) gateway: usize,
    pub(super) machine: usize,
    /// Arrival time of the last bytes at the gateway. Later bytes arrive no earlier.
    pub(super) arrives_us: u64,
}

impl Model {
    /// Writes to a stream, which occupies the control machine's worker for [`write_cost_us`].
    pub(super) fn write(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        machine.bytes.add(now_us, text.len() as u64);
        let completed_us = machine.enqueue_work(now_us, write_cost_us(text.len()));
        if !self.is_path_open(connection) {
            return self.buffer(connection, text);
        }
        self.deliver(connection, completed_us, text);
    }

    /// Schedules the arrival of bytes at the gateway, after bytes that were sent earlier.
    fn deliver(&mut self, connection: ConnectionId, sent_us: u64, text: Arc<[u8]>) {
        let arrives_us = sent_us + self.connection_latency_us(connection);
        let arrives_us = arrives_us.max(self.connections[connection].arrives_us);
        self.connections[connection].arrives_us = arrives_us;
        self.schedule(arrives_us, Event::BytesArrived { connection, text });
    }

    /// Buffers bytes that can't be delivered, until they are retransmitted or the stall timeout closes the stream.
    pub(super) fn buffer(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        let now_us = self.now_us;
        let machine = self.machine_of(connection);
        if let Some(stream) = machine.streams.get_mut(&connection) {
            stream.stalled_since_us.get_or_insert(now_us);
            stream.unsent.push(text);
            machine.record_unsent();
        }
    }

    /// Sends the buffered bytes of a stream if its path is open.
    pub(super) fn on_retransmission(&mut self, connection: ConnectionId) {
        if !self.is_path_open(connection) {
            return;
        }
        let Some(stream) = self.machine_of(connection).streams.get_mut(&connection) else { return };
        let ControlStream { unsent, stalled_since_us, .. } = stream;
        *stalled_since_us = None;
        for text in std::mem::take(unsent) {
            self.deliver(connection, self.now_us, text);
        }
    }

    pub(super) fn send_end_to_gateway(&mut self, connection: ConnectionId) {
        if self.is_path_open(connection) {
            let arrives_us = self.now_us + self.connection_latency_us(connection);
            let arrives_us = arrives_us.max(self.connections[connection].arrives_us);
            self.schedule(arrives_us, Event::StreamEndedAtGateway(connection));
        }
    }

    pub(super) fn send_end_to_control(&mut self, connection: ConnectionId) {
        if self.is_path_open(connection) {
            let latency_us = self.connection_latency_us(connection);
            self.schedule(self.now_us + latency_us, Event::StreamEndedAtControl(connection));
        }
    }

    pub(super) fn machine_of(&mut self, connection: ConnectionId) -> &mut ControlMachine {
        &mut self.machines[self.connections[connection].machine]
    }

    /// Returns whether the gateway still uses this connection.
    pub(super) fn is_current(&self, connection: ConnectionId) -> bool {
        let running = &self.gateways[self.connections[connection].gateway].running;
        running.as_ref().is_some_and(|gateway| gateway.watch.connection() == Some(connection))
    }

    /// Returns whether a partition separates two regions.
    pub(super) fn are_partitioned(&self, one: usize, other: usize) -> bool {
        self.is_partitioned && one != other
    }

    pub(super) fn is_path_open(&self, connection: ConnectionId) -> bool {
        let Connection { gateway, machine, .. } = &self.connections[connection];
        let (from, to) = (fleet::zone(*gateway), self.machines[*machine].zone);
        self.gateways[*gateway].running.is_some()
            && self.machines[*machine].state != ControlState::Unreachable
            && !self.are_partitioned(fleet::region(from), fleet::region(to))
    }

    /// Draws the one-way latency of a message on this connection, in microseconds.
    pub(super) fn connection_latency_us(&mut self, connection: ConnectionId) -> u64 {
        let Connection { gateway, machine, .. } = &self.connections[connection];
        let (from, to) = (fleet::zone(*gateway), self.machines[*machine].zone);
        self.latency_us(from, to)
    }

    /// Draws the one-way latency between two zones, in microseconds.
    pub(super) fn latency_us(&mut self, from: usize, to: usize) -> u64 {
        let distance = usize::from(from != to) + usize::from(fleet::region(from) != fleet::region(to));
        let min_us = ONE_WAY_US[distance];
        min_us + self.random_delay_us((min_us as f64 * JITTER_RATIO) as u64)
    }

    /// Updates the router's view of a control machine to the current state.
    pub(super) fn on_router_updated(&mut self, region: usize, machine: usize) {
        let serves = self.machines[machine].state == ControlState::Serving;
        self.routable[region][machine] =
            serves && !self.are_partitioned(region, fleet::region(self.machines[machine].zone));
    }
}
