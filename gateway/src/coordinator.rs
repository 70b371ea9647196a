//! The coordinator's stream of server-sent events, without its socket.

use std::io::Write;

use crate::config::{ListEvent, list_event_text};

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
pub struct Stream {
    /// Bytes of an event at most.
    most: usize,
    started: bool,
    chunked: bool,
    /// Bytes of the chunk that is being read.
    chunk: usize,
    body: Vec<u8>,
    /// Lines that were read to their end.
    lines: u64,
}

impl Stream {
    /// A stream to a gateway that may use so many bytes of memory.
    pub fn new(memory: usize) -> Self {
        let most = (memory / SHARE).max(LEAST_ENGINES * ENGINE_BYTES);
        Self { most, started: false, chunked: false, chunk: 0, body: Vec::new(), lines: 0 }
    }

    /// Lines read to their end so far, the head being one: bytes that never end a line are no sign of life.
    pub fn lines(&self) -> u64 {
        self.lines
    }

    /// Takes what has come and adds the events that are whole to `events`, also those before an error.
    pub fn read(&mut self, input: &mut Vec<u8>, events: &mut Vec<ListEvent>) -> Result<(), StreamError> {
        if !self.started && !self.head(input)? {
            return Ok(());
        }
        if self.body.len() + input.len() > self.most {
            return Err(StreamError::NoStream);
        }
        let before = self.body.len();
        if self.chunked {
            self.chunks(input)?
        } else {
            self.body.append(input)
        }
        self.lines += self.body[before..].iter().filter(|b| **b == b'\n').count() as u64;
        while let Some((end, width)) = blank_line(&self.body) {
            let block: Vec<u8> = self.body.drain(..end + width).take(end).collect();
            events.extend(event(&block)?);
        }
        Ok(())
    }

    fn head(&mut self, input: &mut Vec<u8>) -> Result<bool, StreamError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(input).map_err(|_| StreamError::NoStream)? {
            httparse::Status::Partial => Ok(false),
            httparse::Status::Complete(_) if head.code != Some(200) => Err(StreamError::NoStream),
            httparse::Status::Complete(at) => {
                self.chunked = head.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.eq_ignore_ascii_case(b"chunked")
                });
                self.started = true;
                self.lines += 1;
                input.drain(..at);
                Ok(true)
            }
        }
    }

    fn chunks(&mut self, input: &mut Vec<u8>) -> Result<(), StreamError> {
        loop {
            let n = self.chunk.min(input.len());
            self.body.extend(input.drain(..n));
            self.chunk -= n;
            if self.chunk > 0 || input.is_empty() {
                return Ok(());
            }
            // The line end behind a chunk is read with the next chunk's size.
            let skip = if input.starts_with(b"\r\n") { 2 } else { 0 };
            match httparse::parse_chunk_size(&input[skip..]).map_err(|_| StreamError::NoStream)? {
                httparse::Status::Complete((start, length)) => {
                    input.drain(..skip + start);
                    self.chunk = length as usize;
                }
                httparse::Status::Partial => return Ok(()),
            }
        }
    }
}

fn blank_line(body: &[u8]) -> Option<(usize, usize)> {
    let find = |what: &[u8]| body.windows(what.len()).position(|w| w == what).map(|at| (at, what.len()));
    [find(b"\n\n"), find(b"\r\n\r\n")].into_iter().flatten().min()
}

/// Reads one block of lines; comments hold no event.
fn event(block: &[u8]) -> Result<Option<ListEvent>, StreamError> {
    let text = String::from_utf8_lossy(block);
    let (mut id, mut data) = (0, String::new());
    for line in text.lines() {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => id = value.trim().parse().unwrap_or(0),
            "data" => {
                if !data.is_empty() {
                    data.push('\n');
                }
                data.push_str(value);
            }
            _ => {}
        }
    }
    if data.is_empty() {
        return Ok(None);
    }
    let mut event = list_event_text(&data).map_err(|e| StreamError::BadEvent(id, e))?;
    if id > 0 {
        event.index = id;
    }
    Ok(Some(event))
}

#[cfg(test)]
mod tests;
