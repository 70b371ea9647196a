//! Scripted PostgreSQL clients, which log the requests that they write and the answers that they read.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::auditor::{Answer, Event, RequestIndex};
use crate::harness::{Harness, lock};

const READ_TIMEOUT: Duration = Duration::from_secs(15);

const STARTUP: &[u8] = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
const CANCEL_REQUEST: [u8; 8] = [0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e];

/// A client's connection. A [`Reader`] thread receives the answers.
pub struct Session {
    stream: TcpStream,
    harness: Arc<Harness>,
    shared: Arc<Mutex<Shared>>,
}

/// State shared by the writer and the reader of a connection.
#[derive(Default)]
struct Shared {
    /// Requests that were written and have no answer yet.
    unanswered: VecDeque<RequestIndex>,
    cancel_key: Option<[u8; 8]>,
    /// ReadyForQuery was received, or the connection has ended.
    ready: bool,
    /// The connection has ended or its client has left. No further requests are written.
    ended: bool,
    /// The reader thread has ended.
    reader_ended: bool,
}

/// A message from the server.
struct Message {
    kind: u8,
    body: Vec<u8>,
}

impl Message {
    fn read(stream: &mut impl Read) -> io::Result<Self> {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        stream.read_exact(&mut body)?;
        Ok(Self { kind: head[0], body })
    }

    /// The cells of a DataRow message, separated by tabs.
    fn row(&self) -> Option<String> {
        let (mut cells, mut rest) = (Vec::new(), self.body.get(2..)?);
        while let Some((length, after)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
            let (cell, after) = after.split_at_checked(length)?;
            cells.push(String::from_utf8_lossy(cell).into_owned());
            rest = after;
        }
        Some(cells.join("\t"))
    }

    fn sqlstate(&self) -> String {
        let sqlstate = self.body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
        String::from_utf8_lossy(sqlstate.unwrap_or_default()).into_owned()
    }
}

impl Session {
    /// Opens a connection and writes the start-up message and these queries in one piece.
    pub fn open(
        address: SocketAddr,
        harness: &Arc<Harness>,
        queries: &[(RequestIndex, &str)],
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut session = Self { stream, harness: harness.clone(), shared: Arc::default() };
        let reader = Reader {
            stream: session.stream.try_clone()?,
            harness: harness.clone(),
            shared: session.shared.clone(),
            answering: None,
            rows: Vec::new(),
        };
        let mut bytes = (STARTUP.len() as u32 + 4).to_be_bytes().to_vec();
        bytes.extend(STARTUP);
        session.write_after(bytes, queries);
        thread::spawn(move || reader.run());
        Ok(session)
    }

    /// Waits for the first ReadyForQuery or the end of the connection.
    pub fn wait_ready(&self) {
        while !lock(&self.shared).ready {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether all queries are answered, or the connection has ended.
    pub fn is_answered(&self) -> bool {
        let shared = lock(&self.shared);
        shared.ready && shared.unanswered.is_empty()
    }

    /// Whether the connection has ended or its client has left.
    pub fn is_ended(&self) -> bool {
        lock(&self.shared).ended
    }

    /// Writes queries in one piece.
    pub fn write(&mut self, queries: &[(RequestIndex, &str)]) {
        self.write_after(Vec::new(), queries);
    }

    fn write_after(&mut self, mut bytes: Vec<u8>, queries: &[(RequestIndex, &str)]) {
        for (request, text) in queries {
            bytes.push(b'Q');
            bytes.extend((text.len() as u32 + 5).to_be_bytes());
            bytes.extend(text.as_bytes());
            bytes.push(0);
            self.harness.log(Event::Writing(*request));
        }
        let mut shared = lock(&self.shared);
        if shared.reader_ended {
            // The reader has ended and would not log these requests as disconnected.
            for (request, _) in queries {
                self.harness.log(Event::Written(*request));
                self.harness.log(Event::ConnectionEnded(*request));
            }
            return;
        }
        shared.unanswered.extend(queries.iter().map(|(request, _)| *request));
        drop(shared);
        // The reader logs the end of the connection.
        let _ = self.stream.write_all(&bytes);
        for (request, _) in queries {
            self.harness.log(Event::Written(*request));
        }
    }

    /// Marks the client of a request as having left. Returns false if the request is already answered.
    fn leave(&self, request: RequestIndex) -> bool {
        let mut shared = lock(&self.shared);
        let waiting = shared.unanswered.contains(&request);
        if waiting {
            shared.ended = true;
            self.harness.log(Event::ClientLeft(request));
        }
        waiting
    }

    /// Closes the connection unless the request is already answered.
    pub fn disconnect_during(&self, request: RequestIndex) {
        if self.leave(request) {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Cancels the request over another connection unless it is already answered, then closes this one.
    pub fn cancel(&self, address: SocketAddr, request: RequestIndex) -> io::Result<()> {
        let Some(cancel_key) = lock(&self.shared).cancel_key else { return Ok(()) };
        if !self.leave(request) {
            return Ok(());
        }
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(&[&CANCEL_REQUEST[..], &cancel_key[..]].concat())?;
        thread::sleep(Duration::from_millis(500));
        self.stream.shutdown(Shutdown::Both)
    }
}

struct Reader {
    stream: TcpStream,
    harness: Arc<Harness>,
    shared: Arc<Mutex<Shared>>,
    /// The request answered since the last ReadyForQuery.
    answering: Option<RequestIndex>,
    rows: Vec<String>,
}

impl Reader {
    /// Reads until the connection ends. Unanswered requests are logged as disconnected.
    fn run(mut self) {
        while let Ok(message) = Message::read(&mut self.stream) {
            self.handle(&message);
        }
        let mut shared = lock(&self.shared);
        (shared.ready, shared.ended, shared.reader_ended) = (true, true, true);
        for request in shared.unanswered.drain(..) {
            self.harness.log(Event::ConnectionEnded(request));
        }
    }

    fn handle(&mut self, message: &Message) {
        match message.kind {
            b'K' => lock(&self.shared).cancel_key = message.body.as_slice().try_into().ok(),
            b'Z' => {
                self.answering = None;
                lock(&self.shared).ready = true;
            }
            b'D' => self.rows.extend(message.row()),
            b'C' => {
                let rows = std::mem::take(&mut self.rows);
                self.record_answer(Answer::Rows(rows));
            }
            b'I' => self.record_answer(Answer::Rows(Vec::new())),
            b'E' => self.record_answer(Answer::Error(message.sqlstate())),
            _ => {}
        }
    }

    /// Logs an answer. A second answer before the next ReadyForQuery belongs to the same request.
    fn record_answer(&mut self, answer: Answer) {
        let mut shared = lock(&self.shared);
        let request = self.answering.or_else(|| shared.unanswered.pop_front());
        self.answering = request;
        if let Some(request) = request {
            self.harness.log(Event::Answered(request, answer));
        }
    }
}
