//! Scripted PostgreSQL clients: what they write and read goes into the log.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::auditor::{Answer, Event, Serial};
use crate::world::{World, locked};

/// Far more than any answer takes.
const PATIENCE: Duration = Duration::from_secs(15);

const START: &[u8] = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
const CANCEL: [u8; 8] = [0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e];

/// A client's connection; a thread reads what comes over it.
pub struct Session {
    stream: TcpStream,
    world: Arc<World>,
    told: Arc<Mutex<Told>>,
}

/// What reader and writer know of each other.
#[derive(Default)]
struct Told {
    /// Requests that were written and have no answer yet.
    open: VecDeque<Serial>,
    key: Option<[u8; 8]>,
    ready: bool,
    /// Nothing more is to be written: it has ended, or its client has stopped waiting.
    ended: bool,
    /// Its reader has ended.
    lost: bool,
}

/// One message of the server's.
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

    /// The cells of a row, with tabs between.
    fn row(&self) -> Option<String> {
        let (mut cells, mut rest) = (Vec::new(), self.body.get(2..)?);
        while let Some((length, behind)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
            let (cell, behind) = behind.split_at_checked(length)?;
            cells.push(String::from_utf8_lossy(cell).into_owned());
            rest = behind;
        }
        Some(cells.join("\t"))
    }

    fn code(&self) -> String {
        let code = self.body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
        String::from_utf8_lossy(code.unwrap_or_default()).into_owned()
    }
}

impl Session {
    /// Opens a connection and writes the start-up message and, in the same go, these queries.
    pub fn open(address: SocketAddr, world: &Arc<World>, queries: &[(Serial, &str)]) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let mut session = Self { stream, world: world.clone(), told: Arc::default() };
        let reader = Reader {
            stream: session.stream.try_clone()?,
            world: world.clone(),
            told: session.told.clone(),
            answering: None,
            rows: Vec::new(),
        };
        let mut bytes = (START.len() as u32 + 4).to_be_bytes().to_vec();
        bytes.extend(START);
        session.write_behind(bytes, queries);
        thread::spawn(move || reader.run());
        Ok(session)
    }

    /// Waits until the session has started.
    pub fn wait_ready(&self) {
        while !locked(&self.told).ready {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether all that was written is answered.
    pub fn is_answered(&self) -> bool {
        let told = locked(&self.told);
        told.ready && told.open.is_empty()
    }

    /// Whether nothing more is to be written.
    pub fn is_ended(&self) -> bool {
        locked(&self.told).ended
    }

    /// Writes queries in one go.
    pub fn write(&mut self, queries: &[(Serial, &str)]) {
        self.write_behind(Vec::new(), queries);
    }

    fn write_behind(&mut self, mut bytes: Vec<u8>, queries: &[(Serial, &str)]) {
        for (request, text) in queries {
            bytes.push(b'Q');
            bytes.extend((text.len() as u32 + 5).to_be_bytes());
            bytes.extend(text.as_bytes());
            bytes.push(0);
            self.world.log(Event::Writing(*request));
        }
        let mut told = locked(&self.told);
        if told.lost {
            // Nobody reads any more what comes.
            for (request, _) in queries {
                self.world.log(Event::Written(*request));
                self.world.log(Event::CutOff(*request));
            }
            return;
        }
        told.open.extend(queries.iter().map(|(request, _)| *request));
        drop(told);
        // A connection that has ended is told of by its reader.
        let _ = self.stream.write_all(&bytes);
        for (request, _) in queries {
            self.world.log(Event::Written(*request));
        }
    }

    /// Stops waiting for a request; false if it has its answer.
    fn leave(&self, request: Serial) -> bool {
        let mut told = locked(&self.told);
        let open = told.open.contains(&request);
        if open {
            told.ended = true;
            self.world.log(Event::Left(request));
        }
        open
    }

    /// Closes the connection unless the request has its answer.
    pub fn close_over(&self, request: Serial) {
        if self.leave(request) {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Cancels the request over another connection unless it has its answer, and closes this one later.
    pub fn cancel(&self, address: SocketAddr, request: Serial) -> io::Result<()> {
        let Some(key) = locked(&self.told).key else { return Ok(()) };
        if !self.leave(request) {
            return Ok(());
        }
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(&[&CANCEL[..], &key[..]].concat())?;
        thread::sleep(Duration::from_millis(500));
        self.stream.shutdown(Shutdown::Both)
    }
}

struct Reader {
    stream: TcpStream,
    world: Arc<World>,
    told: Arc<Mutex<Told>>,
    /// The request whose answer has been read since the last ReadyForQuery.
    answering: Option<Serial>,
    rows: Vec<String>,
}

impl Reader {
    /// Reads until the connection ends; what is open then has been cut off.
    fn run(mut self) {
        while let Ok(message) = Message::read(&mut self.stream) {
            self.take(&message);
        }
        let mut told = locked(&self.told);
        (told.ready, told.ended, told.lost) = (true, true, true);
        for request in told.open.drain(..) {
            self.world.log(Event::CutOff(request));
        }
    }

    fn take(&mut self, message: &Message) {
        match message.kind {
            b'K' => locked(&self.told).key = message.body.as_slice().try_into().ok(),
            b'Z' => {
                self.answering = None;
                locked(&self.told).ready = true;
            }
            b'D' => self.rows.extend(message.row()),
            b'C' => {
                let rows = std::mem::take(&mut self.rows);
                self.answered(Answer::Rows(rows));
            }
            b'I' => self.answered(Answer::Rows(Vec::new())),
            b'E' => self.answered(Answer::Error(message.code())),
            _ => {}
        }
    }

    /// A second answer before the next ReadyForQuery is one to the same request.
    fn answered(&mut self, answer: Answer) {
        let mut told = locked(&self.told);
        let request = self.answering.or_else(|| told.open.pop_front());
        self.answering = request;
        if let Some(request) = request {
            self.world.log(Event::Answered(request, answer));
        }
    }
}
