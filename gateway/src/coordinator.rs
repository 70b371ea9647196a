//! The coordinator's stream of server-sent events, without its socket.

use std::io::Write;

use crate::config::{EndpointListEvent, list_event_text};
use crate::event_stream::EventStream;

/// Bytes in which an engine is told of, at most; read, it takes some times as much.
const ENGINE_BYTES: usize = 512;
/// Engines in one event that there is always room for.
const LEAST_ENGINES: usize = 1024;
/// Share of the memory that the text of an event may take.
const SHARE: usize = 16;

/// Writes the call that opens the stream behind event `last`.
pub fn open(last: u64, out: &mut Vec<u8>) {
    let _ = write!(
        out,
        "GET /v2/stream HTTP/1.1\r\nHost: coordinator\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
    );
}

/// Why a stream is given up.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// It is no answer that can be followed.
    #[error("the coordinator's answer is no stream")]
    NoStream,
    /// An event can't be read.
    #[error("event {0} can't be read: {1}")]
    BadEvent(u64, crate::config::ConfigError),
}

/// When a stream that says nothing is taken for dead: by its own rhythm. Only comments tell it, as they come at
/// regular times; events come when they come.
#[derive(Clone, Debug)]
pub struct Rhythm {
    heard_us: u64,
    /// Comments of this stream.
    comments: u32,
    /// The longest time between two comments, of late.
    period_us: f64,
    /// Times that a stream may miss a comment, this gateway's own: all streams fall silent at once, and their
    /// gateways should not all call in the same moment.
    missed: f64,
}

/// A comment comes each second.
const PERIOD_US: f64 = 1e6;
/// Silence for so many periods, and up to so much more by chance, is none that a slow machine makes.
const MISSED: (f64, f64) = (2.5, 0.5);
/// A stream is not waited for longer than this: what the coordinator has to tell counts as told after 7 s.
const LONGEST_SILENCE_US: f64 = 5e6;
/// How fast a period is forgotten that was longer than those that follow.
const SHORTER: f64 = 0.125;
/// How much longer a period is tried where nothing was heard within what was taken for enough.
const SLOWER: f64 = 1.5;

impl Rhythm {
    /// Nothing has been heard yet; `chance` is one from 0 to 1.
    pub fn new(chance: f64) -> Self {
        Self { heard_us: 0, comments: 0, period_us: PERIOD_US, missed: MISSED.0 + MISSED.1 * chance }
    }

    /// A stream is being opened.
    pub fn begins(&mut self, now_us: u64) {
        (self.heard_us, self.comments) = (now_us, 0);
    }

    /// Something was read to its end: comments and nothing else, or more.
    pub fn heard(&mut self, now_us: u64, comments: bool) {
        let gap = now_us.saturating_sub(std::mem::replace(&mut self.heard_us, now_us)) as f64;
        if comments {
            self.comments += 1;
            let less = SHORTER * (gap - self.period_us);
            self.period_us = gap.max(self.period_us + less).max(PERIOD_US / 4.0);
        }
    }

    /// It was silent for too long. One that had not shown its rhythm yet may only be slower than it was taken for.
    pub fn was_silent(&mut self) {
        if self.comments < 2 {
            self.period_us *= SLOWER;
        }
    }

    /// When it is dead unless something is heard before.
    pub fn due_us(&self) -> u64 {
        self.heard_us + (self.missed * self.period_us).min(LONGEST_SILENCE_US) as u64
    }
}

/// What has been read of one stream.
pub struct Stream(EventStream);

impl Stream {
    /// A stream to a gateway that may use so many bytes of memory.
    pub fn new(memory: usize) -> Self {
        Self(EventStream::new((memory / SHARE).max(LEAST_ENGINES * ENGINE_BYTES)))
    }

    /// Lines read to their end so far, the head being one: bytes that never end a line are no sign of life.
    pub fn lines(&self) -> u64 {
        self.0.lines()
    }

    /// Takes what has come and adds the events that are whole to `events`, also those before an error.
    pub fn read(
        &mut self,
        input: &mut Vec<u8>,
        events: &mut Vec<EndpointListEvent>,
    ) -> Result<(), StreamError> {
        self.0.take(input).map_err(|_| StreamError::NoStream)?;
        while let Some(sent) = self.0.next_event() {
            let mut event = list_event_text(&sent.data).map_err(|e| StreamError::BadEvent(sent.id, e))?;
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
