//! The gateway's watch of the list in simulated time.
//!
//! Reading (`coordinator::Stream`) and the rhythm of silence (`coordinator::Rhythm`) are the gateway's own code. When
//! a stream is dialled is decided in `gateway/src/net/watch.rs`, which is bound to its sockets; this module states the
//! same rules with the same constants, and `wrenhatch-lab hollow compare` checks its counts against real processes.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use wrenhatch::discovery::{EndpointListEvent, EndpointStream, EndpointStreamError, SilenceDetector};

use super::ConnectionId;

/// Between two tries, give or take a quarter, in microseconds.
const RETRY_US: u64 = 200_000;
/// A connection must come up within this, in microseconds.
const CONNECT_US: u64 = 1_000_000;
/// A lost stream is dialled again within this, each gateway at a moment of its own, in microseconds.
const SPREAD_US: u64 = 100_000;

struct Connection {
    id: ConnectionId,
    is_up: bool,
    stream: EndpointStream,
    input: Vec<u8>,
}

/// What the watch wants done with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRequest {
    /// Open a connection, and ask there for what is behind [`Watch::last`].
    Dial,
    /// Close the connection.
    Close(ConnectionId),
}

/// The watch of one gateway.
pub struct Watch {
    last: u64,
    connection: Option<Connection>,
    silence: SilenceDetector,
    random: Pcg32,
    memory: usize,
    opened_us: u64,
    again_us: u64,
    after_gap: u64,
    ahead: Vec<EndpointListEvent>,
}

impl Watch {
    /// A watch that knows nothing of the list; `chance`, from 0 to 1, is this gateway's own.
    pub fn new(memory: usize, chance: f64, random: Pcg32) -> Self {
        Self {
            last: 0,
            connection: None,
            silence: SilenceDetector::new(chance),
            random,
            memory,
            opened_us: 0,
            again_us: 0,
            after_gap: 0,
            ahead: Vec::new(),
        }
    }

    /// The number of the last event that was taken.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The connection to a control machine, if there is one.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.connection.as_ref().map(|connection| connection.id)
    }

    /// Whether the connection is up.
    pub fn is_up(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.is_up)
    }

    /// When [`Watch::check`] is due.
    pub fn due_us(&self) -> u64 {
        match &self.connection {
            Some(connection) if !connection.is_up => self.opened_us + CONNECT_US,
            Some(_) => self.silence.deadline_us(),
            None => self.again_us,
        }
    }

    /// Drops a silent stream, and dials where there is none.
    pub fn check(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        let mut events = Vec::new();
        if let Some(connection) = &self.connection {
            if now_us < self.due_us() {
                return events;
            }
            if connection.stream.lines() > 0 {
                self.silence.on_silence();
            }
            events = self.close(requests);
            self.again_us = now_us;
        }
        if now_us >= self.again_us {
            let pause_us = RETRY_US as f64 * (0.75 + 0.5 * self.chance());
            self.again_us = now_us + pause_us as u64;
            self.opened_us = now_us;
            self.silence.on_open(now_us);
            requests.push(WatchRequest::Dial);
        }
        events
    }

    /// The connection that was asked for is being opened.
    pub fn dialled(&mut self, id: ConnectionId) {
        let stream = EndpointStream::new(self.memory);
        self.connection = Some(Connection { id, is_up: false, stream, input: Vec::new() });
    }

    /// The connection has come up.
    pub fn connected(&mut self, now_us: u64) {
        if let Some(connection) = &mut self.connection {
            connection.is_up = true;
            self.silence.on_open(now_us);
        }
    }

    /// Bytes have come; the events that are to be taken in now, in order.
    pub fn received(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        requests: &mut Vec<WatchRequest>,
    ) -> Vec<EndpointListEvent> {
        let Some(connection) = &mut self.connection else { return Vec::new() };
        connection.input.extend_from_slice(bytes);
        let (mut events, before) = (Vec::new(), connection.stream.lines());
        let read = connection.stream.read(&mut connection.input, &mut events);
        if connection.stream.lines() > before {
            self.silence.on_lines(now_us, events.is_empty() && before > 0);
        }
        let mut listed = Vec::new();
        for event in events {
            match self.take(event) {
                Ok(taken) => listed.extend(taken),
                Err(()) => {
                    listed.extend(self.close(requests));
                    self.again_us = now_us;
                    return listed;
                }
            }
        }
        if let Err(EndpointStreamError::NotAStream | EndpointStreamError::UnreadableEvent(..)) = read {
            listed.extend(self.lost(now_us, requests));
        }
        listed
    }

    /// The connection has ended, or was refused.
    pub fn lost(&mut self, now_us: u64, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        let listed = self.close(requests);
        let spread_us = (SPREAD_US as f64 * self.chance()) as u64;
        self.again_us = self.again_us.max(now_us + spread_us);
        listed
    }

    fn close(&mut self, requests: &mut Vec<WatchRequest>) -> Vec<EndpointListEvent> {
        if let Some(connection) = self.connection.take() {
            requests.push(WatchRequest::Close(connection.id));
        }
        std::mem::take(&mut self.ahead)
    }

    fn take(&mut self, event: EndpointListEvent) -> Result<Vec<EndpointListEvent>, ()> {
        if event.index <= self.last {
            return Ok(Vec::new());
        }
        if event.index > self.last + 1 && !event.is_full && self.after_gap != event.index {
            self.after_gap = event.index;
            return Err(());
        }
        self.last = event.index;
        self.ahead.push(event);
        if self.last < self.after_gap {
            return Ok(Vec::new());
        }
        Ok(std::mem::take(&mut self.ahead))
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
