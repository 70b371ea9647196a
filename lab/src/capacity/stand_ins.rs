//! Mock engines and a mock coordinator for a gateway process.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use wrenhatch::net::poll::{Interest, Poll, Trigger};

use super::error::CapacityError;

/// Maximum number of bytes read from a connection at a time.
const READ_BYTES: usize = 4_096;
/// Maximum time between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Smallest poller key of a connection. Smaller keys belong to listeners.
const FIRST_CONNECTION_KEY: u64 = 1 << 32;
/// Response to a query: one row on one page.
const ROW_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nPage-Count: 1\r\nX-Meter: queue:0\r\nContent-Length: 2\r\n\r\n1\n";
/// Response to the cancellation of a query.
const CANCELLED_RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
/// Polls for readiness to read only, because responses fit the socket's send buffer.
const READABLE: Interest = Interest { read: true, write: false };

/// Counters summed over all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineCounters {
    connections: Arc<AtomicU64>,
    queries: Arc<AtomicU64>,
}

impl EngineCounters {
    /// Returns the number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of queries received in full.
    pub fn queries(&self) -> u64 {
        self.queries.load(Ordering::SeqCst)
    }
}

/// Mock engines that answer each query immediately. One thread serves them until they are dropped.
pub struct Engines {
    /// Listening address of each engine.
    pub addresses: Vec<SocketAddr>,
    /// Counters, updated by the thread of the engines.
    pub counters: EngineCounters,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Engines {
    /// Starts `count` engines on free loopback ports.
    ///
    /// # Errors
    /// A listening socket can't be opened.
    pub fn start(count: usize) -> Result<Self, CapacityError> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let poll = Poll::new()?;
        for (key, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true)?;
            poll.add(listener, key as u64, READABLE, Trigger::Level)?;
        }
        let (counters, stop) = (EngineCounters::default(), Arc::<AtomicBool>::default());
        let mut engine_loop = EngineLoop {
            poll,
            listeners,
            connections: Vec::new(),
            free_slots: Vec::new(),
            counters: counters.clone(),
        };
        let stop_requested = stop.clone();
        let thread =
            thread::spawn(
                move || while !stop_requested.load(Ordering::SeqCst) && engine_loop.turn().is_ok() {},
            );
        Ok(Self { addresses, counters, stop, thread: Some(thread) })
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A connection and the received part of its next request.
struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
}

/// The event loop that serves all engines.
struct EngineLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: Vec<Option<Connection>>,
    free_slots: Vec<usize>,
    counters: EngineCounters,
}

impl EngineLoop {
    fn turn(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        self.poll.wait(Some(STOP_CHECK_INTERVAL), &mut ready)?;
        for (key, _) in ready {
            if key < FIRST_CONNECTION_KEY {
                self.accept(key as usize);
            } else {
                self.read((key - FIRST_CONNECTION_KEY) as usize);
            }
        }
        Ok(())
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, _)) = self.listeners[listener].accept() {
            let slot = self.free_slots.pop().unwrap_or_else(|| {
                self.connections.push(None);
                self.connections.len() - 1
            });
            let ready = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));
            let key = FIRST_CONNECTION_KEY + slot as u64;
            if ready.and_then(|()| self.poll.add(&stream, key, READABLE, Trigger::Level)).is_err() {
                self.free_slots.push(slot);
                continue;
            }
            self.connections[slot] = Some(Connection { stream, input: Vec::new() });
            self.counters.connections.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn read(&mut self, slot: usize) {
        let Some(connection) = &mut self.connections[slot] else { return };
        if connection.serve(&self.counters).is_ok() {
            return;
        }
        if let Some(ended) = self.connections[slot].take() {
            self.poll.remove(&ended.stream);
        }
        self.free_slots.push(slot);
    }
}

impl Connection {
    /// Reads the available bytes and answers each complete request. Returns an error when the connection has ended.
    fn serve(&mut self, counters: &EngineCounters) -> io::Result<()> {
        let mut chunk = [0; READ_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.input.extend(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
            while let Some(length) = request_length(&self.input) {
                let query = self.input.starts_with(b"POST");
                // Counted before the response is written, so that a reader of the response finds the query counted.
                counters.queries.fetch_add(u64::from(query), Ordering::SeqCst);
                self.stream.write_all(if query { ROW_RESPONSE } else { CANCELLED_RESPONSE })?;
                self.input.drain(..length);
            }
        }
    }
}

/// Returns the length of the first request, head and body, if it is complete.
fn request_length(input: &[u8]) -> Option<usize> {
    let head = input.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&input[..head]).ok()?;
    let length = text.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let total = head + length.unwrap_or(0);
    (input.len() >= total).then_some(total)
}

/// Maximum wait for the gateway to connect, and for each read of its request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of comments on an endpoint stream.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// A mock coordinator, which sends events to one gateway at the caller's request.
pub struct Coordinator {
    listener: TcpListener,
    /// Listening address.
    pub address: SocketAddr,
}

impl Coordinator {
    /// Starts listening on a free loopback port.
    ///
    /// # Errors
    /// The listening socket can't be opened.
    pub fn listen() -> Result<Self, CapacityError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Accepts the endpoint stream of the gateway and starts a thread that writes to it.
    ///
    /// # Errors
    /// The gateway opens no stream or sends no request within `ANSWER_TIMEOUT`.
    pub fn accept_stream(&self) -> Result<EndpointStream, CapacityError> {
        let stream = self.accept()?;
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let (sender, events) = channel();
        thread::spawn(move || write_events(stream, &events));
        Ok(EndpointStream { sender })
    }

    fn accept(&self) -> Result<TcpStream, CapacityError> {
        let began = Instant::now();
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Ok(stream),
                Err(e) if e.kind() != ErrorKind::WouldBlock => return Err(e.into()),
                Err(_) if began.elapsed() > ANSWER_TIMEOUT => {
                    return Err(CapacityError::Unexpected(
                        "the gateway opened no endpoint stream".to_owned(),
                    ));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}

/// Writes events and periodic comments until either side closes the stream.
fn write_events(mut stream: TcpStream, events: &Receiver<Vec<u8>>) {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n".to_vec();
    let mut next = head;
    let mut last_comment = Instant::now();
    while stream.write_all(&next).is_ok() {
        let remaining = (last_comment + COMMENT_INTERVAL).saturating_duration_since(Instant::now());
        next = match events.recv_timeout(remaining) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => {
                last_comment = Instant::now();
                COMMENT.to_vec()
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
    }
}

/// Comment sent every second to show that the stream is alive.
pub const COMMENT: &[u8] = b": here\n\n";

/// An open endpoint stream to a gateway.
pub struct EndpointStream {
    sender: Sender<Vec<u8>>,
}

impl EndpointStream {
    /// Sends an event and returns its length on the stream in bytes.
    ///
    /// # Errors
    /// An earlier write failed because the gateway has closed the stream.
    pub fn send(&self, index: u64, event: &serde_json::Value) -> Result<usize, CapacityError> {
        let bytes = format!("id: {index}\ndata: {event}\n\n").into_bytes();
        let length = bytes.len();
        let ended = |_| CapacityError::Unexpected("the gateway closed its endpoint stream".to_owned());
        self.sender.send(bytes).map_err(ended)?;
        Ok(length)
    }
}
