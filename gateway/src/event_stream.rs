//! Parser of server-sent events over HTTP/1.1, as sent by the discovery service and the control plane. The caller owns
//! the socket.

/// The response is not HTTP, has a status other than 200, or has more unread bytes than an event may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response is not an event stream, or an event is too long")]
pub struct EventStreamError;

/// An event of the stream: the lines between two blank lines, unless they have no data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Number from the field `id`. 0 without a numeric id.
    pub id: u64,
    /// Values of the fields `data`, joined by line feeds.
    pub data: String,
}

/// Reader of one response. A new connection needs a new reader.
pub struct EventStream {
    max_event_bytes: usize,
    is_head_read: bool,
    is_chunked: bool,
    /// Number of bytes of the current chunk that have not been read.
    chunk_bytes_left: usize,
    body: Vec<u8>,
    lines: u64,
}

impl EventStream {
    /// Creates a reader. `max_event_bytes` bounds the bytes that are buffered, and thus the size of an event.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            is_head_read: false,
            is_chunked: false,
            chunk_bytes_left: 0,
            body: Vec::new(),
            lines: 0,
        }
    }

    /// Number of whole lines read so far. The response head counts as one. Bytes without an end of line are no sign
    /// that the stream is alive.
    pub fn line_count(&self) -> u64 {
        self.lines
    }

    /// Consumes bytes of `input`. An incomplete response head or chunk size stays in `input`.
    ///
    /// # Errors
    /// The stream can't be read any further.
    pub fn read(&mut self, input: &mut Vec<u8>) -> Result<(), EventStreamError> {
        if !self.is_head_read && !self.read_head(input)? {
            return Ok(());
        }
        if self.body.len() + input.len() > self.max_event_bytes {
            return Err(EventStreamError);
        }
        let before = self.body.len();
        if self.is_chunked {
            self.read_chunks(input)?
        } else {
            self.body.append(input)
        }
        self.lines += self.body[before..].iter().filter(|b| **b == b'\n').count() as u64;
        Ok(())
    }

    /// Removes and returns the next complete event. Comments are skipped. `None`: no event is complete.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        while let Some((end, width)) = blank_line(&self.body) {
            let block: Vec<u8> = self.body.drain(..end + width).take(end).collect();
            if let Some(event) = parse_block(&block) {
                return Some(event);
            }
        }
        None
    }

    fn read_head(&mut self, input: &mut Vec<u8>) -> Result<bool, EventStreamError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(input).map_err(|_| EventStreamError)? {
            httparse::Status::Partial => Ok(false),
            httparse::Status::Complete(_) if head.code != Some(200) => Err(EventStreamError),
            httparse::Status::Complete(at) => {
                self.is_chunked = head.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.eq_ignore_ascii_case(b"chunked")
                });
                self.is_head_read = true;
                self.lines += 1;
                input.drain(..at);
                Ok(true)
            }
        }
    }

    fn read_chunks(&mut self, input: &mut Vec<u8>) -> Result<(), EventStreamError> {
        loop {
            let n = self.chunk_bytes_left.min(input.len());
            self.body.extend(input.drain(..n));
            self.chunk_bytes_left -= n;
            if self.chunk_bytes_left > 0 || input.is_empty() {
                return Ok(());
            }
            // The line end after a chunk is read together with the size of the next chunk.
            let skip = if input.starts_with(b"\r\n") { 2 } else { 0 };
            match httparse::parse_chunk_size(&input[skip..]).map_err(|_| EventStreamError)? {
                httparse::Status::Complete((start, length)) => {
                    input.drain(..skip + start);
                    self.chunk_bytes_left = length as usize;
                }
                httparse::Status::Partial => return Ok(()),
            }
        }
    }
}

fn blank_line(body: &[u8]) -> Option<(usize, usize)> {
    let find = |delim: &[u8]| body.windows(delim.len()).position(|w| w == delim).map(|at| (at, delim.len()));
    [find(b"\n\n"), find(b"\r\n\r\n")].into_iter().flatten().min()
}

/// Parses the lines between two blank lines. Lines without the field `data`, such as comments, are no event.
fn parse_block(block: &[u8]) -> Option<ServerSentEvent> {
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
    (!data.is_empty()).then_some(ServerSentEvent { id, data })
}

#[cfg(test)]
mod tests;
