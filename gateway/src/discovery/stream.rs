//! Parser of the stream of endpoint list events from the discovery service. The caller owns the socket.

use std::io::Write;

use super::endpoint::{EndpointListEvent, parse_event};
use crate::event_stream::EventStream;
use crate::json::JsonError;

/// Assumed JSON size of an endpoint, by which the minimum size of an event is computed. Single endpoints may be larger.
const MAX_ENDPOINT_BYTES: usize = 512;
/// Number of endpoints of [`MAX_ENDPOINT_BYTES`] in one event that are accepted regardless of the memory limit.
const MIN_ENDPOINTS: usize = 1024;
/// Divisor of the gateway's memory limit. The quotient is the maximum size of an event, unless [`MIN_ENDPOINTS`] require
/// more. The parsed form of an event is several times as large as its text.
const MEMORY_DIVISOR: usize = 16;

/// Writes the request for the stream of events after event `last_index`.
pub fn write_stream_request(last_index: u64, out: &mut Vec<u8>) {
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "GET /v2/stream HTTP/1.1\r\nHost: coordinator\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_index}\r\n\r\n"
    );
}

/// Error after which a stream can't be read any further.
#[derive(Debug, thiserror::Error)]
pub enum EndpointStreamError {
    /// The response is not an event stream, or an event is too long.
    #[error("the response of the discovery service is not an event stream, or an event is too long")]
    NotAStream,
    /// The event with this number can't be read. 0: the event has no numeric id.
    #[error("event {0} can't be read: {1}")]
    UnreadableEvent(u64, JsonError),
}

/// Reader of the events of one response. A new connection needs a new reader.
pub struct EndpointStream(EventStream);

impl EndpointStream {
    /// Creates a reader. `memory_bytes` is the gateway's memory limit, which bounds the size of an event.
    pub fn new(memory_bytes: usize) -> Self {
        Self(EventStream::new((memory_bytes / MEMORY_DIVISOR).max(MIN_ENDPOINTS * MAX_ENDPOINT_BYTES)))
    }

    /// Number of whole lines read so far. The response head counts as one. Bytes without an end of line are no sign
    /// that the stream is alive.
    pub fn line_count(&self) -> u64 {
        self.0.line_count()
    }

    /// Consumes bytes of `input` and appends the complete events to `events`, including those before an unreadable one.
    ///
    /// # Errors
    /// The stream can't be read any further.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), EndpointStreamError> {
        self.0.read(input).map_err(|_| EndpointStreamError::NotAStream)?;
        while let Some(sent) = self.0.next_event() {
            let mut event =
                parse_event(&sent.data).map_err(|e| EndpointStreamError::UnreadableEvent(sent.id, e))?;
            if sent.id > 0 {
                event.index = sent.id;
            }
            events.push(event);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
