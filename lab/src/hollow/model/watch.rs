//! A gateway's watch of the endpoint list: the production [`EndpointWatch`] on a simulated connection.
//! `wrenhatch-lab hollow compare` checks its counts against real processes.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use wrenhatch::discovery::{EndpointListEvent, EndpointWatch};

use super::ConnectionId;

/// A request of the watch to the simulation, to open or close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// Open a connection and request the events after [`Watch::last_index`].
    Connect,
    /// Close the connection from the gateway's side.
    Close(ConnectionId),
}

/// Watch of one gateway.
pub struct Watch {
    state: EndpointWatch,
    connection: Option<ConnectionId>,
    input: Vec<u8>,
    random: Pcg32,
}

impl Watch {
    /// Creates a watch without a list. `fraction`, from 0 to 1, spreads the timers of gateways.
    pub fn new(memory_bytes: usize, fraction: f64, random: Pcg32) -> Self {
        let state = EndpointWatch::new(0, memory_bytes, fraction);
        Self { state, connection: None, input: Vec::new(), random }
    }

    /// Index of the last accepted event, or 0 without a list.
    pub fn last_index(&self) -> u64 {
        self.state.last_index()
    }

    /// Current connection, established or in progress; `None` between connections.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    /// Returns whether the connection is established.
    pub fn is_up(&self) -> bool {
        self.state.is_up()
    }

    /// Time at which [`Watch::on_timer`] is due, in microseconds.
    pub fn deadline_us(&self) -> u64 {
        self.state.deadline_us()
    }

    /// Closes a connection that was not established in time or received nothing in time, and requests a new one if due.
    pub fn on_timer(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        let due = self.state.on_deadline(now_us, || random_fraction(&mut self.random), &mut events);
        if due.close {
            self.close(requests);
        }
        if due.connect {
            requests.push(WatchRequest::Connect);
        }
        events
    }

    /// Sets the connection that is being opened.
    pub fn on_connecting(&mut self, now_us: u64, id: ConnectionId) {
        self.state.on_connecting(now_us);
        self.connection = Some(id);
        self.input.clear();
    }

    /// Marks the connection as established.
    pub fn on_connected(&mut self, now_us: u64) {
        self.state.on_connected(now_us);
    }

    /// Handles received bytes and returns the events to apply, in order. Closes the connection if events are missing or
    /// can't be read.
    pub fn on_bytes(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        requests: &mut Vec<WatchRequest>,
    ) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        self.input.extend_from_slice(bytes);
        let read =
            self.state.on_bytes(now_us, &mut self.input, || random_fraction(&mut self.random), &mut events);
        if read.is_err() {
            self.close(requests);
        }
        events
    }

    /// Handles the end or refusal of the connection.
    pub fn on_disconnected(
        &mut self,
        now_us: u64,
        requests: &mut Vec<WatchRequest>,
    ) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        self.state.on_connection_lost(now_us, || random_fraction(&mut self.random), &mut events);
        self.close(requests);
        events
    }

    fn close(&mut self, requests: &mut Vec<WatchRequest>) {
        if let Some(id) = self.connection.take() {
            requests.push(WatchRequest::Close(id));
        }
    }
}

fn random_fraction(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}
