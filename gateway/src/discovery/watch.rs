//! State machine of the watch of the endpoint list, without I/O: decides when to connect, detects dead streams and
//! missing events, and returns events in order.
//!
//! The owner holds the connection and calls the methods:
//! - At [`EndpointWatch::deadline_us`] it calls [`EndpointWatch::on_deadline`] and opens or closes the connection as
//!   the result requires. For a new connection it calls [`EndpointWatch::on_connecting`] and sends the bytes of
//!   [`EndpointWatch::write_request`].
//! - It reports events of the connection with [`EndpointWatch::on_connected`], [`EndpointWatch::on_bytes`] and
//!   [`EndpointWatch::on_connection_lost`].
//!
//! Methods append the list events to be applied, in order, to their argument `events`. Their argument `random` returns
//! a random number from 0 to 1.
//!
//! Invariant: accepted events are applied once, in the order of their numbers. An event with entries that can't be read
//! is also applied before it is accepted. `last_index` is the number of the last accepted or skipped event, and each
//! stream is requested from the following event.

use super::endpoint::EndpointListEvent;
use super::silence::SilenceDetector;
use super::stream::{EndpointStream, EndpointStreamError, write_stream_request};

/// Mean of the retry interval, which is the minimum time between two attempts to open the stream. Each interval is
/// randomized, because all gateways may lose their streams at the same time.
const MEAN_RETRY_INTERVAL_US: u64 = 200_000;
/// Shortest retry interval, as a ratio of the mean.
const MIN_JITTER_RATIO: f64 = 0.75;
/// Difference between the longest and the shortest retry interval, as a ratio of the mean.
const JITTER_RANGE_RATIO: f64 = 0.5;
/// Timeout of opening a connection. A connection attempt that began during a network partition may succeed only long
/// after the partition has ended.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// Maximum random delay before a lost stream is reopened. The delay is short because engines may begin to drain
/// meanwhile.
const MAX_RECONNECT_JITTER_US: u64 = 100_000;
/// Number of buffered events at which they are applied although more of the missing events may follow.
const MAX_BUFFERED_EVENTS: usize = 1024;

/// Actions of the owner at a deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DueActions {
    /// Close the connection: it was not established in time, or the stream was silent for too long.
    pub close: bool,
    /// Open a connection, after closing the previous one.
    pub connect: bool,
}

/// Error after which the owner has to close the stream.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Events between the last event and this one are missing. They are requested once.
    #[error("events of the endpoint list are missing: event {index} follows event {last_index}")]
    MissingEvents {
        /// Number of the received event.
        index: u64,
        /// Number of the last accepted event.
        last_index: u64,
    },
    /// The event with this number has entries that can't be read. It is requested once more.
    #[error("event {0} has entries that can't be read")]
    UnreadableEntries(u64),
    /// The stream can't be read any further, or an event can't be read at all.
    #[error(transparent)]
    Stream(#[from] EndpointStreamError),
}

struct Connection {
    is_up: bool,
    stream: EndpointStream,
}

/// The gateway's client of the discovery service.
pub struct EndpointWatch {
    last_index: u64,
    memory_bytes: usize,
    connection: Option<Connection>,
    silence: SilenceDetector,
    connect_started_us: u64,
    /// Time from which the stream may be opened again.
    retry_at_us: u64,
    /// Number of the last event that could not be read, in whole or in part. 0: there was none.
    unreadable_index: u64,
    /// Number of the last event before which events were missing. The missing events have been requested. 0: there was
    /// none.
    gap_index: u64,
    /// Events received after the request for missing events, up to `gap_index`. They are applied together, so that an
    /// outdated state of an engine does not take effect although a newer one is known.
    buffered_events: Vec<EndpointListEvent>,
}

impl EndpointWatch {
    /// Creates a watch that starts after event `last_index`. `memory_bytes` is the gateway's memory limit, which bounds
    /// the size of an event. `random`, from 0 to 1, should differ between gateways.
    pub fn new(last_index: u64, memory_bytes: usize, random: f64) -> Self {
        Self {
            last_index,
            memory_bytes,
            connection: None,
            silence: SilenceDetector::new(random),
            connect_started_us: 0,
            retry_at_us: 0,
            unreadable_index: 0,
            gap_index: 0,
            buffered_events: Vec::new(),
        }
    }

    /// Number of the last accepted or skipped event.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Whether the connection is established.
    pub fn is_up(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.is_up)
    }

    /// Time of the next call of [`EndpointWatch::on_deadline`], in microseconds: the connection times out, the stream
    /// counts as dead, or the stream may be opened again.
    pub fn deadline_us(&self) -> u64 {
        match &self.connection {
            Some(connection) if !connection.is_up => self.connect_started_us + CONNECT_TIMEOUT_US,
            Some(_) => self.silence.deadline_us(),
            None => self.retry_at_us,
        }
    }

    /// Closes a stream that is silent or was not established in time, and decides whether to open one. After a lost
    /// connection, two attempts have a minimum interval, in case the discovery service ends its streams immediately.
    pub fn on_deadline(
        &mut self,
        now_us: u64,
        random: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) -> DueActions {
        let mut due = DueActions::default();
        if let Some(connection) = &self.connection {
            if now_us < self.deadline_us() {
                return due;
            }
            if connection.stream.line_count() > 0 {
                self.silence.on_silence();
            }
            self.close(events);
            // Gateways detect the silence at different times, so no further delay is necessary.
            self.retry_at_us = now_us;
            due.close = true;
        }
        if now_us >= self.retry_at_us {
            let delay_us = MEAN_RETRY_INTERVAL_US as f64 * (MIN_JITTER_RATIO + JITTER_RANGE_RATIO * random());
            self.retry_at_us = now_us + delay_us as u64;
            due.connect = true;
        }
        due
    }

    /// Records that the owner is opening a connection.
    pub fn on_connecting(&mut self, now_us: u64) {
        self.connection = Some(Connection { is_up: false, stream: EndpointStream::new(self.memory_bytes) });
        self.silence.on_open(now_us);
        self.connect_started_us = now_us;
    }

    /// Writes the request for the events after the last accepted one.
    pub fn write_request(&self, out: &mut Vec<u8>) {
        write_stream_request(self.last_index, out);
    }

    /// Records that the connection is established.
    pub fn on_connected(&mut self, now_us: u64) {
        if let Some(connection) = &mut self.connection {
            connection.is_up = true;
            self.silence.on_open(now_us);
        }
    }

    /// Consumes received bytes of `input`.
    ///
    /// # Errors
    /// The owner has to close the stream, which is opened again later.
    pub fn on_bytes(
        &mut self,
        now_us: u64,
        input: &mut Vec<u8>,
        random: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let result = self.read(now_us, input, events);
        match &result {
            Ok(()) => {}
            Err(WatchError::MissingEvents { .. }) => {
                self.close(events);
                // The missing events may contain drains, which are urgent.
                self.retry_at_us = now_us;
            }
            Err(WatchError::UnreadableEntries(_) | WatchError::Stream(_)) => {
                self.on_connection_lost(now_us, random, events);
            }
        }
        result
    }

    /// Records that the connection was closed by the peer or has failed.
    pub fn on_connection_lost(
        &mut self,
        now_us: u64,
        random: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) {
        self.close(events);
        let jitter_us = (MAX_RECONNECT_JITTER_US as f64 * random()) as u64;
        self.retry_at_us = self.retry_at_us.max(now_us + jitter_us);
    }

    /// Discards the stream, because the address of the discovery service has changed. The owner closes the connection,
    /// and the next [`EndpointWatch::on_deadline`] opens another one without delay.
    pub fn reconnect(&mut self, events: &mut Vec<EndpointListEvent>) {
        self.close(events);
        self.retry_at_us = 0;
    }

    /// Accepts an event from the configuration, unless this event or a newer one has been accepted.
    pub fn on_known_event(&mut self, event: &EndpointListEvent, events: &mut Vec<EndpointListEvent>) {
        if event.index > self.last_index {
            events.append(&mut self.buffered_events);
            self.last_index = event.index;
            events.push(event.clone());
        }
    }

    /// Discards the stream. Buffered events are applied, because this stream sends no missing events any more.
    fn close(&mut self, events: &mut Vec<EndpointListEvent>) {
        self.connection = None;
        events.append(&mut self.buffered_events);
    }

    fn read(
        &mut self,
        now_us: u64,
        input: &mut Vec<u8>,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let Some(Connection { stream, .. }) = &mut self.connection else { return Ok(()) };
        let (mut read, lines_before) = (Vec::new(), stream.line_count());
        let result = stream.read(input, &mut read);
        if stream.line_count() > lines_before {
            self.silence.on_lines(now_us, read.is_empty() && lines_before > 0);
        }
        for event in read {
            self.accept(event, events)?;
        }
        if let Err(EndpointStreamError::UnreadableEvent(index, _)) = &result {
            // The event may have been corrupted in transit and is requested once more. If it still can't be read, it is
            // skipped, so that later events can be accepted.
            if self.unreadable_index == *index {
                self.last_index = self.last_index.max(*index);
            }
            self.unreadable_index = *index;
        }
        Ok(result?)
    }

    fn accept(
        &mut self,
        event: EndpointListEvent,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let (index, last_index) = (event.index, self.last_index);
        if index <= last_index {
            // A new stream may repeat events.
            return Ok(());
        }
        if !event.unreadable.is_empty() && self.unreadable_index != index {
            // The readable entries apply while the event is requested once more.
            self.unreadable_index = index;
            events.push(event);
            return Err(WatchError::UnreadableEntries(index));
        }
        if index > last_index + 1 && !event.is_full && self.gap_index != index {
            self.gap_index = index;
            return Err(WatchError::MissingEvents { index, last_index });
        }
        self.last_index = index;
        self.buffered_events.push(event);
        if index >= self.gap_index || self.buffered_events.len() >= MAX_BUFFERED_EVENTS {
            events.append(&mut self.buffered_events);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
