//! The gateway's watch of the endpoint list in simulated time: the gateway's own [`EndpointWatch`] with a simulated
//! connection. `wrenhatch-lab hollow compare` checks its counts against real processes.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use wrenhatch::discovery::{EndpointListEvent, EndpointWatch};

use super::ConnectionId;

/// What the watch wants done with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// Open a connection, and request there the events behind [`Watch::last`].
    Connect,
    /// Close the connection.
    Close(ConnectionId),
}

/// The watch of one gateway.
pub struct Watch {
    state: EndpointWatch,
    connection: Option<ConnectionId>,
    input: Vec<u8>,
    random: Pcg32,
}

impl Watch {
    /// A watch that knows nothing of the list; `chance`, from 0 to 1, is this gateway's own.
    pub fn new(memory_bytes: usize, chance: f64, random: Pcg32) -> Self {
        let state = EndpointWatch::new(0, memory_bytes, chance);
        Self { state, connection: None, input: Vec::new(), random }
    }

    /// The number of the last event that was taken.
    pub fn last(&self) -> u64 {
        self.state.last_index()
    }

    /// The connection to a control machine, if there is one.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    /// Whether the connection is up.
    pub fn is_up(&self) -> bool {
        self.state.is_up()
    }

    /// When [`Watch::check`] is due.
    pub fn due_us(&self) -> u64 {
        self.state.deadline_us()
    }

    /// Closes a silent stream, and requests a connection where there is none.
    pub fn check(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        let due = self.state.on_deadline(now_us, || chance(&mut self.random), &mut events);
        if due.close {
            self.close(requests);
        }
        if due.connect {
            requests.push(WatchRequest::Connect);
        }
        events
    }

    /// The requested connection is being opened.
    pub fn connecting(&mut self, now_us: u64, id: ConnectionId) {
        self.state.on_connecting(now_us);
        self.connection = Some(id);
        self.input.clear();
    }

    /// The connection has come up.
    pub fn connected(&mut self, now_us: u64) {
        self.state.on_connected(now_us);
    }

    /// Bytes have come; the events that are to be taken in now, in order.
    pub fn received(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        requests: &mut Vec<WatchRequest>,
    ) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        self.input.extend_from_slice(bytes);
        let read = self.state.on_bytes(now_us, &mut self.input, || chance(&mut self.random), &mut events);
        if read.is_err() {
            self.close(requests);
        }
        events
    }

    /// The connection has ended, or was refused.
    pub fn lost(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        self.state.on_connection_lost(now_us, || chance(&mut self.random), &mut events);
        self.close(requests);
        events
    }

    fn close(&mut self, requests: &mut Vec<WatchRequest>) {
        if let Some(id) = self.connection.take() {
            requests.push(WatchRequest::Close(id));
        }
    }
}

fn chance(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}
