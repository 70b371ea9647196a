//! The watch of the endpoint list as a state machine without I/O: when to connect, when a stream counts as dead, which
//! events are missing, and in which order events are applied.
//!
//! The owner holds the connection and does what the methods ask for:
//! - At [`EndpointWatch::deadline_us`] it calls [`EndpointWatch::on_deadline`], and opens or closes a connection as that
//!   says. For a connection that it opens it calls [`EndpointWatch::on_connecting`] and sends
//!   [`EndpointWatch::write_request`].
//! - It passes on what happens to the connection: [`EndpointWatch::on_connected`], [`EndpointWatch::on_bytes`],
//!   [`EndpointWatch::on_connection_lost`].
//!
//! Methods append the events that are to be applied now, in order, to the `events` that they are given. Random numbers
//! come from `chance`, from 0 to 1.
//!
//! Invariant: an event is applied at most once (twice if entries of it can't be read), in the order of the
//! numbers, and `last_index` is the number of the last event that was taken; a stream is always requested
//! behind it.

use super::endpoint::EndpointListEvent;
use super::silence::SilenceDetector;
use super::stream::{EndpointStream, EndpointStreamError, write_stream_request};

/// Mean time between two attempts to open the stream, in microseconds; each is drawn up to a quarter shorter or longer,
/// as all gateways lose their streams in the same moment.
const RETRY_US: u64 = 200_000;
/// The shortest time between two attempts, in parts of the mean.
const MIN_JITTER_RATIO: f64 = 0.75;
/// From the shortest time to the longest, in parts of the mean.
const JITTER_RANGE_RATIO: f64 = 0.5;
/// A connection that is not up within this is given up: one that was begun during a network partition may come up long
/// after that has healed.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// A lost stream is opened again within this, each gateway at a moment of its own. Engines may begin to drain
/// meanwhile, so it is short.
const MAX_RECONNECT_JITTER_US: u64 = 100_000;
/// Events held back while missing ones before them are requested.
const MAX_EVENTS_AHEAD: usize = 1024;

/// What the owner has to do when a deadline has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DueActions {
    /// Close the connection: it did not come up, or the stream was silent for too long.
    pub close_silent: bool,
    /// Open a connection.
    pub connect: bool,
}

/// Why a stream was given up. The owner has to close the connection.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Events are missing between the last one and this one. They are requested once.
    #[error("events of the list are missing: {index} came behind {last_index}")]
    MissingEvents {
        /// The event that came.
        index: u64,
        /// The last one before.
        last_index: u64,
    },
    /// An event has entries that can't be read. It is requested once more.
    #[error("event {0} has entries that can't be read")]
    UnreadableEntries(u64),
    /// The stream can't be followed, or an event can't be read at all.
    #[error(transparent)]
    Stream(#[from] EndpointStreamError),
}

struct Connection {
    is_up: bool,
    stream: EndpointStream,
}

/// The watch of the endpoint list.
pub struct EndpointWatch {
    last_index: u64,
    memory_bytes: usize,
    connection: Option<Connection>,
    silence: SilenceDetector,
    connect_started_us: u64,
    /// When the stream may be opened again.
    retry_at_us: u64,
    /// The event that could not be read when it came last, as a whole or in part.
    unreadable_index: u64,
    /// The event before which others were missing when it came last: they are requested once.
    gap_index: u64,
    /// Events since the missing ones were requested, up to that event. Applied one by one, an outdated state of an
    /// engine would count for a moment though a newer one is known.
    events_ahead: Vec<EndpointListEvent>,
}

impl EndpointWatch {
    /// A watch behind event `last_index`, of a gateway that may use so many bytes of memory. `chance`, from 0 to 1,
    /// should differ between gateways.
    pub fn new(last_index: u64, memory_bytes: usize, chance: f64) -> Self {
        Self {
            last_index,
            memory_bytes,
            connection: None,
            silence: SilenceDetector::new(chance),
            connect_started_us: 0,
            retry_at_us: 0,
            unreadable_index: 0,
            gap_index: 0,
            events_ahead: Vec::new(),
        }
    }

    /// The number of the last event that was taken.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Whether the connection is up.
    pub fn is_up(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.is_up)
    }

    /// When [`EndpointWatch::on_deadline`] is due: the connection must be up, something must have been read, or the
    /// stream may be opened again.
    pub fn deadline_us(&self) -> u64 {
        match &self.connection {
            Some(connection) if !connection.is_up => self.connect_started_us + CONNECT_TIMEOUT_US,
            Some(_) => self.silence.deadline_us(),
            None => self.retry_at_us,
        }
    }

    /// Gives up a stream that is silent and says whether to open one. A discovery service that ends its streams at once
    /// is not called again without a pause.
    pub fn on_deadline(
        &mut self,
        now_us: u64,
        chance: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) -> DueActions {
        let mut due = DueActions::default();
        if let Some(connection) = &self.connection {
            if now_us < self.deadline_us() {
                return due;
            }
            if connection.stream.lines() > 0 {
                self.silence.on_silence();
            }
            self.close(events);
            // Gateways notice the silence at different times, so there is no need for a pause.
            self.retry_at_us = now_us;
            due.close_silent = true;
        }
        if now_us >= self.retry_at_us {
            let pause_us = RETRY_US as f64 * (MIN_JITTER_RATIO + JITTER_RANGE_RATIO * chance());
            self.retry_at_us = now_us + pause_us as u64;
            due.connect = true;
        }
        due
    }

    /// A connection is being opened.
    pub fn on_connecting(&mut self, now_us: u64) {
        self.connection = Some(Connection { is_up: false, stream: EndpointStream::new(self.memory_bytes) });
        self.silence.on_open(now_us);
        self.connect_started_us = now_us;
    }

    /// Writes the request for the events behind the last one.
    pub fn write_request(&self, out: &mut Vec<u8>) {
        write_stream_request(self.last_index, out);
    }

    /// The connection has come up.
    pub fn on_connected(&mut self, now_us: u64) {
        if let Some(connection) = &mut self.connection {
            connection.is_up = true;
            self.silence.on_open(now_us);
        }
    }

    /// Takes bytes from `input`.
    ///
    /// # Errors
    /// The stream is given up and opened again later.
    pub fn on_bytes(
        &mut self,
        now_us: u64,
        input: &mut Vec<u8>,
        chance: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let result = self.read(now_us, input, events);
        match &result {
            Ok(()) => {}
            Err(WatchError::MissingEvents { .. }) => {
                self.close(events);
                // Drains may be among the missing events, and their time runs.
                self.retry_at_us = now_us;
            }
            Err(WatchError::UnreadableEntries(_) | WatchError::Stream(_)) => {
                self.on_connection_lost(now_us, chance, events);
            }
        }
        result
    }

    /// The connection has ended or broken.
    pub fn on_connection_lost(
        &mut self,
        now_us: u64,
        chance: impl FnOnce() -> f64,
        events: &mut Vec<EndpointListEvent>,
    ) {
        self.close(events);
        let jitter_us = (MAX_RECONNECT_JITTER_US as f64 * chance()) as u64;
        self.retry_at_us = self.retry_at_us.max(now_us + jitter_us);
    }

    /// Closes the stream, to open another one at once: the discovery service has moved.
    pub fn reconnect(&mut self, events: &mut Vec<EndpointListEvent>) {
        self.close(events);
        self.retry_at_us = 0;
    }

    /// Takes an event from another source than the stream, unless it is old.
    pub fn on_known_event(&mut self, event: &EndpointListEvent, events: &mut Vec<EndpointListEvent>) {
        if event.index > self.last_index {
            events.append(&mut self.events_ahead);
            self.last_index = event.index;
            events.push(event.clone());
        }
    }

    /// Forgets the stream. Events held back for missing ones before them are applied: those don't come.
    fn close(&mut self, events: &mut Vec<EndpointListEvent>) {
        self.connection = None;
        events.append(&mut self.events_ahead);
    }

    fn read(
        &mut self,
        now_us: u64,
        input: &mut Vec<u8>,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let Some(Connection { stream, .. }) = &mut self.connection else { return Ok(()) };
        let (mut read, lines_before) = (Vec::new(), stream.lines());
        let result = stream.read(input, &mut read);
        if stream.lines() > lines_before {
            self.silence.on_lines(now_us, read.is_empty() && lines_before > 0);
        }
        for event in read {
            self.take(event, events)?;
        }
        if let Err(EndpointStreamError::UnreadableEvent(index, _)) = &result {
            // The event may be damaged on its way and is requested once more. If it still can't be read, it is
            // skipped, or no later event would ever be taken.
            if self.unreadable_index == *index {
                self.last_index = self.last_index.max(*index);
            }
            self.unreadable_index = *index;
        }
        Ok(result?)
    }

    fn take(
        &mut self,
        event: EndpointListEvent,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), WatchError> {
        let (index, last_index) = (event.index, self.last_index);
        if index <= last_index {
            // Events may come again when a stream is opened anew.
            return Ok(());
        }
        if !event.unreadable.is_empty() && self.unreadable_index != index {
            // The readable entries count while the event is requested once more.
            self.unreadable_index = index;
            events.push(event);
            return Err(WatchError::UnreadableEntries(index));
        }
        if index > last_index + 1 && !event.is_full && self.gap_index != index {
            self.gap_index = index;
            return Err(WatchError::MissingEvents { index, last_index });
        }
        self.last_index = index;
        self.events_ahead.push(event);
        if index >= self.gap_index || self.events_ahead.len() >= MAX_EVENTS_AHEAD {
            events.append(&mut self.events_ahead);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
