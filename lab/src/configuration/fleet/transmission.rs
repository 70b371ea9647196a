//! The way between gateways and control machines: what can pass, how long it takes, and what is counted.

use std::sync::Arc;

use super::Fleet;
use super::event::{Event, StreamId};

/// One-way trips until a request has arrived on a new connection: SYN, its answer, and the request.
pub(super) const ONE_WAY_TRIPS_TO_CONNECT: usize = 3;

/// Bytes of the headers of a request and its answer, and of the frame of an event; assumed.
pub(super) const REQUEST_BYTES: u64 = 300;
pub(super) const FRAME_BYTES: u64 = 20;

impl Fleet {
    /// Whether messages pass between a gateway and a machine.
    pub(super) fn is_reachable(&self, gateway: usize, machine: usize) -> bool {
        !self.gateways[gateway].is_cut && !self.machines[machine].is_cut && self.gateways[gateway].is_up
    }

    pub(super) fn add_traffic(&mut self, gateway: usize, machine: usize, bytes: u64) {
        self.gateway_traffic[gateway].add(self.now_us, bytes);
        self.machine_traffic[machine].add(self.now_us, bytes);
    }

    /// The time that so many one-way trips take in a row.
    pub(super) fn trips_us(&mut self, gateway: usize, machine: usize, trips: usize) -> u64 {
        (0..trips).map(|_| self.network.one_way_us(gateway, machine)).sum()
    }

    /// Sends a message on a stream, behind what was sent on it before.
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
