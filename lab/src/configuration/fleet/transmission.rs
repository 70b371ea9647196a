//! Transmission between gateways and control machines: reachability, delays, and counting of bytes.

use std::sync::Arc;

use super::Fleet;
use super::event::{Event, StreamId};

/// Number of one-way trips until a request arrives on a new connection: SYN, SYN-ACK, and the request.
pub(super) const ONE_WAY_TRIPS_TO_CONNECT: usize = 3;

/// Size of the headers of a request and its response.
pub(super) const REQUEST_BYTES: u64 = 300;

/// Size of the framing of a message on a stream.
pub(super) const FRAME_BYTES: u64 = 20;

impl Fleet {
    /// Whether messages between a gateway and a control machine are delivered.
    pub(super) fn is_reachable(&self, gateway: usize, machine: usize) -> bool {
        !self.gateways[gateway].is_isolated
            && !self.machines[machine].is_isolated
            && self.gateways[gateway].is_up
    }

    pub(super) fn add_traffic(&mut self, gateway: usize, machine: usize, bytes: u64) {
        self.gateway_traffic[gateway].add(self.now_us, bytes);
        self.machine_traffic[machine].add(self.now_us, bytes);
    }

    /// Time of `trips` consecutive one-way trips, in microseconds.
    pub(super) fn trips_us(&mut self, gateway: usize, machine: usize, trips: usize) -> u64 {
        (0..trips).map(|_| self.network.one_way_us(gateway, machine)).sum()
    }

    /// Sends a message on a stream. It arrives after the messages sent on the stream before, unless a network fault
    /// delays one of them.
    pub(super) fn send(&mut self, machine: usize, gateway: usize, stream: StreamId, text: &Arc<str>) {
        if !self.is_reachable(gateway, machine) {
            return;
        }
        let delay_us = self.trips_us(gateway, machine, 1);
        let in_order_us = (self.now_us + delay_us).max(self.gateways[gateway].last_arrival_us + 1);
        self.gateways[gateway].last_arrival_us = in_order_us;
        for extra_us in self.network.copies() {
            let event = Event::MessageArrived { gateway, machine, stream, text: text.clone() };
            self.schedule_at(in_order_us + extra_us, event);
        }
    }
}
