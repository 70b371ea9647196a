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

/// What has been read of one stream.
pub struct Stream {
    /// Bytes of an event at most.
    most: usize,
    started: bool,
    chunked: bool,
    /// Bytes of the chunk that is being read.
    chunk: usize,
    body: Vec<u8>,
}

impl Stream {
    /// A stream to a gateway that may use so many bytes of memory.
    pub fn new(memory: usize) -> Self {
        let most = (memory / SHARE).max(LEAST_ENGINES * ENGINE_BYTES);
        Self { most, started: false, chunked: false, chunk: 0, body: Vec::new() }
    }

    /// Takes what has come and adds the events that are whole to `events`, also those before an error.
    pub fn read(&mut self, input: &mut Vec<u8>, events: &mut Vec<ListEvent>) -> Result<(), StreamError> {
        if !self.started && !self.head(input)? {
            return Ok(());
        }
        if self.body.len() + input.len() > self.most {
            return Err(StreamError::NoStream);
        }
        if self.chunked {
            self.chunks(input)?
        } else {
            self.body.append(input)
        }
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
mod tests {
    use super::*;
    use notchridge::interface::EngineState;

    const EVENT: &str = "{\"index\":4,\"endpoints\":{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":\"a\",\
        \"address\":\"127.0.0.1:80\",\"zone\":\"z\",\"type\":\"k\",\"group\":2,\"status\":\"Terminating\",\"since_ms\":0}]}}";

    fn read_in_pieces(text: &str, size: usize) -> Vec<ListEvent> {
        let mut stream = Stream::new(0);
        let (mut input, mut events) = (Vec::new(), Vec::new());
        for piece in text.as_bytes().chunks(size) {
            input.extend(piece);
            stream.read(&mut input, &mut events).unwrap();
        }
        events
    }

    #[test]
    fn events_come_whole_however_they_are_cut() {
        let block = format!(": hello\n\nid: 41\ndata: {EVENT}\n\n");
        let plain = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{block}");
        let (a, b) = block.split_at(30);
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n",
            a.len(),
            b.len()
        );
        for text in [plain, chunked] {
            for size in 1..40 {
                let events = read_in_pieces(&text, size);
                assert_eq!(events.len(), 1, "pieces of {size}");
                assert_eq!((events[0].index, events[0].full), (41, false));
                assert_eq!(events[0].entries[0].state, EngineState::Draining);
            }
        }
    }

    #[test]
    fn events_before_one_that_can_t_be_read_count() {
        let mut input =
            format!("HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {EVENT}\n\nid: 42\ndata: {{\n\n").into_bytes();
        let mut events = Vec::new();
        let end = Stream::new(0).read(&mut input, &mut events);
        assert!(matches!(end, Err(StreamError::BadEvent(42, _))));
        assert_eq!(events.iter().map(|e| e.index).collect::<Vec<_>>(), [41]);
    }

    #[test]
    fn events_of_a_thousand_engines_are_read_and_endless_ones_are_not() {
        let name = "s-".to_owned() + &"0".repeat(60);
        let entry = |n: usize| {
            format!(
                "{{\"name\":\"{name}{n}\",\"address\":\"10.111.222.33:10080\",\"zone\":\"a-zone-of-some-length\",\
                \"type\":\"k\",\"group\":2,\"status\":\"Ready\",\"weight\":4,\"since_ms\":1790000000000}}"
            )
        };
        let read = |engines: usize, memory: usize| {
            let list = (0..engines).map(entry).collect::<Vec<_>>().join(",");
            let mut input = format!(
                "HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {{\"index\":41,\"endpoints\":{{\"snapshot\":true,\"endpoints\":[{list}]}}}}\n\n"
            )
            .into_bytes();
            let mut events = Vec::new();
            Stream::new(memory)
                .read(&mut input, &mut events)
                .map(|()| events.iter().map(|e| e.entries.len()).sum())
        };
        assert_eq!(read(1024, 0).ok(), Some(1024), "however little memory there is");
        assert_eq!(read(8192, 64 << 20).ok(), Some(8192));
        assert!(matches!(read(8192, 1 << 20), Err(StreamError::NoStream)));
    }

    #[test]
    fn what_is_no_stream_is_told() {
        let mut input = b"HTTP/1.1 404 no\r\n\r\n".to_vec();
        assert!(matches!(Stream::new(0).read(&mut input, &mut Vec::new()), Err(StreamError::NoStream)));
    }
}
