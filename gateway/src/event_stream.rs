//! Server-sent events over HTTP/1.1, read from bytes without a socket.

/// The answer is no stream that can be followed: no HTTP, another status than 200, or an event that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no stream of events")]
pub struct NoStream;

/// One event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentEvent {
    /// Its number; 0 where it has none.
    pub id: u64,
    /// Its data, lines joined.
    pub data: String,
}

/// What has been read of one stream.
pub struct EventStream {
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

impl EventStream {
    /// A stream whose events have so many bytes at most.
    pub fn new(most: usize) -> Self {
        Self { most, started: false, chunked: false, chunk: 0, body: Vec::new(), lines: 0 }
    }

    /// Lines read to their end so far, the head being one: bytes that never end a line are no sign of life.
    pub fn lines(&self) -> u64 {
        self.lines
    }

    /// Takes what has come.
    ///
    /// # Errors
    /// It can't be followed; nothing that comes later can be understood.
    pub fn take(&mut self, input: &mut Vec<u8>) -> Result<(), NoStream> {
        if !self.started && !self.head(input)? {
            return Ok(());
        }
        if self.body.len() + input.len() > self.most {
            return Err(NoStream);
        }
        let before = self.body.len();
        if self.chunked {
            self.chunks(input)?
        } else {
            self.body.append(input)
        }
        self.lines += self.body[before..].iter().filter(|b| **b == b'\n').count() as u64;
        Ok(())
    }

    /// The next event that is whole. Comments are passed over.
    pub fn next_event(&mut self) -> Option<SentEvent> {
        while let Some((end, width)) = blank_line(&self.body) {
            let block: Vec<u8> = self.body.drain(..end + width).take(end).collect();
            if let Some(event) = event(&block) {
                return Some(event);
            }
        }
        None
    }

    fn head(&mut self, input: &mut Vec<u8>) -> Result<bool, NoStream> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(input).map_err(|_| NoStream)? {
            httparse::Status::Partial => Ok(false),
            httparse::Status::Complete(_) if head.code != Some(200) => Err(NoStream),
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

    fn chunks(&mut self, input: &mut Vec<u8>) -> Result<(), NoStream> {
        loop {
            let n = self.chunk.min(input.len());
            self.body.extend(input.drain(..n));
            self.chunk -= n;
            if self.chunk > 0 || input.is_empty() {
                return Ok(());
            }
            // The line end behind a chunk is read with the next chunk's size.
            let skip = if input.starts_with(b"\r\n") { 2 } else { 0 };
            match httparse::parse_chunk_size(&input[skip..]).map_err(|_| NoStream)? {
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
fn event(block: &[u8]) -> Option<SentEvent> {
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
    (!data.is_empty()).then_some(SentEvent { id, data })
}

#[cfg(test)]
mod tests;
