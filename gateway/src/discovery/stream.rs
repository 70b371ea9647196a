//! The stream of endpoint list events from the discovery service, without its socket.

use std::io::Write;

use super::endpoint::{EndpointListEvent, parse_event};
use crate::event_stream::EventStream;
use crate::json::JsonError;

/// Bytes of an endpoint in an event, at most; parsed, it takes several times as much.
const MAX_ENDPOINT_BYTES: usize = 512;
/// Endpoints in one event that are always accepted.
const MIN_ENDPOINTS: usize = 1024;
/// The text of an event may take the gateway's memory divided by this.
const MEMORY_DIVISOR: usize = 16;

/// Writes the request that opens the stream behind event `last_index`.
pub fn write_stream_request(last_index: u64, out: &mut Vec<u8>) {
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "GET /v2/stream HTTP/1.1\r\nHost: coordinator\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_index}\r\n\r\n"
    );
}

/// Why a stream can't be followed further.
#[derive(Debug, thiserror::Error)]
pub enum EndpointStreamError {
    /// The answer is no event stream, or one of its events is too long.
    #[error("the coordinator's answer is no stream")]
    NotAStream,
    /// An event, given by its number, can't be read.
    #[error("event {0} can't be read: {1}")]
    UnreadableEvent(u64, JsonError),
}

/// Reads one stream of endpoint list events.
pub struct EndpointStream(EventStream);

impl EndpointStream {
    /// A stream of a gateway that may use so many bytes of memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self(EventStream::new((memory_bytes / MEMORY_DIVISOR).max(MIN_ENDPOINTS * MAX_ENDPOINT_BYTES)))
    }

    /// Whole lines read so far; the head counts as one. Bytes that never end a line are no sign of life.
    pub fn lines(&self) -> u64 {
        self.0.lines()
    }

    /// Takes bytes from `input` and appends the complete events to `events`, also those before an error.
    ///
    /// # Errors
    /// The stream can't be followed further.
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
