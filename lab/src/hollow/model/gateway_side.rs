//! Event handlers of the gateways: starts, timers, connections and received bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use rand_core::RngCore;
use wrenhatch::config::{self, Config, ConfigError};
use wrenhatch::json::{self, JsonField};

use super::event::Event;
use super::gateway::SimulatedGateway;
use super::measure::GatewayLoads;
use super::network::Connection;
use super::watch::WatchRequest;
use super::{ConnectionId, Model};
use crate::hollow::error::HollowError;
use crate::hollow::fleet::{self, FleetSize};
use crate::hollow::settings;

/// A gateway and its counts across restarts.
pub(super) struct GatewaySlot {
    /// `None` while the gateway is down.
    pub(super) running: Option<SimulatedGateway>,
    pub(super) incarnation: u32,
    pub(super) started_us: u64,
    /// Time of the scheduled watch timer, in microseconds.
    pub(super) timer_us: Option<u64>,
    pub(super) loads: GatewayLoads,
}

impl Model {
    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<(), HollowError> {
        if let Some(connection) = self.gateways[gateway].running.as_ref().and_then(|g| g.watch.connection()) {
            self.send_end_to_control(connection);
        }
        let config = gateway_configuration(self.size, gateway, self.seed)?;
        let random_seed = u64::from(self.random.next_u32());
        let slot = &mut self.gateways[gateway];
        slot.running = Some(SimulatedGateway::new(config, random_seed)?);
        slot.incarnation += 1;
        (slot.started_us, slot.timer_us) = (self.now_us, None);
        self.arm_timer(gateway);
        Ok(())
    }

    /// Schedules the timer of the watch, unless one is scheduled for the same time or earlier.
    fn arm_timer(&mut self, gateway: usize) {
        let slot = &mut self.gateways[gateway];
        let Some(running) = &slot.running else { return };
        let due_us = running.watch.deadline_us().max(self.now_us);
        if slot.timer_us.is_none_or(|timer_us| due_us < timer_us) {
            slot.timer_us = Some(due_us);
            let incarnation = slot.incarnation;
            self.schedule(due_us, Event::WatchTimer { gateway, incarnation });
        }
    }

    pub(super) fn on_watch_timer(&mut self, gateway: usize, incarnation: u32) {
        let slot = &mut self.gateways[gateway];
        if slot.incarnation != incarnation || slot.timer_us != Some(self.now_us) {
            return;
        }
        slot.timer_us = None;
        self.with_gateway(gateway, |running, now_us, requests| running.on_timer(now_us, requests));
    }

    /// Passes an input to a running gateway by `handle`, records the effect, and executes the requests of the watch.
    fn with_gateway(
        &mut self,
        gateway: usize,
        handle: impl FnOnce(&mut SimulatedGateway, u64, &mut Vec<WatchRequest>),
    ) {
        let slot = &mut self.gateways[gateway];
        let Some(running) = &mut slot.running else { return };
        let (previous, events) = (running.watch.last_index(), running.list_events);
        let mut requests = Vec::new();
        handle(running, self.now_us, &mut requests);
        slot.loads.events.add(self.now_us, running.list_events - events);
        let current = running.watch.last_index();
        self.propagation.record(self.now_us, slot.started_us, previous, current, &self.changes);
        for request in requests {
            match request {
                WatchRequest::Connect => self.connect(gateway),
                WatchRequest::Close(connection) => self.send_end_to_control(connection),
            }
        }
        self.arm_timer(gateway);
    }

    fn connect(&mut self, gateway: usize) {
        let region = fleet::region(fleet::zone(gateway));
        let reachable: Vec<usize> =
            (0..self.size.control).filter(|machine| self.routable[region][*machine]).collect();
        let chosen = self.random.next_u32() as usize % reachable.len().max(1);
        let connection = self.connections.len();
        // A router without a reachable control machine drops packets.
        let machine = reachable.get(chosen).copied();
        self.connections.push(Connection { gateway, machine: machine.unwrap_or(0), arrives_us: 0 });
        let slot = &mut self.gateways[gateway];
        slot.loads.calls.add(self.now_us, 1);
        self.calls_per_tenth.add(self.now_us, 1);
        if let Some(running) = &mut slot.running {
            running.watch.on_connecting(self.now_us, connection);
        }
        if machine.is_some() && self.is_path_open(connection) {
            let latency_us = self.connection_latency_us(connection);
            self.schedule(self.now_us + latency_us, Event::ConnectArrived(connection));
        }
    }

    pub(super) fn on_connect_accepted(&mut self, connection: ConnectionId) {
        let gateway = self.connections[connection].gateway;
        if !self.is_current(connection) {
            return self.send_end_to_control(connection);
        }
        let mut after = 0;
        self.with_gateway(gateway, |running, now_us, _| {
            running.watch.on_connected(now_us);
            after = running.watch.last_index();
        });
        let latency_us = self.connection_latency_us(connection);
        self.schedule(self.now_us + latency_us, Event::RequestArrived { connection, after });
    }

    pub(super) fn on_connection_lost(&mut self, connection: ConnectionId) {
        if self.is_current(connection) {
            let gateway = self.connections[connection].gateway;
            self.with_gateway(gateway, |running, now_us, requests| running.on_disconnected(now_us, requests));
        }
    }

    pub(super) fn on_bytes_arrived(&mut self, connection: ConnectionId, text: Arc<[u8]>) {
        if !self.is_path_open(connection) {
            return self.buffer(connection, text);
        }
        if !self.is_current(connection) {
            // The gateway answers bytes on a closed connection with a reset.
            return self.send_end_to_control(connection);
        }
        let gateway = self.connections[connection].gateway;
        self.gateways[gateway].loads.bytes.add(self.now_us, text.len() as u64);
        self.with_gateway(gateway, |running, now_us, requests| running.on_bytes(now_us, &text, requests));
    }
}

/// Configuration of a gateway, parsed by the production parser.
fn gateway_configuration(size: FleetSize, number: usize, seed: u64) -> Result<Config, HollowError> {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = settings::configuration(size, number, seed, unused_address).to_string();
    let path = "configuration";
    let json = json::parse(&text, path).map_err(ConfigError::from)?;
    Ok(config::read(&JsonField::root(&json, path))?)
}
