//! A non-blocking TCP connection with input and output buffers.
//!
//! The owner calls [`Connection::fill`] and parses [`Connection::input`], appends to [`Connection::output`], and at the
//! end of each turn calls [`Connection::flush`] and [`Connection::update`].

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::poll::{Interest, Poll, Trigger};

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The TCP handshake is in progress.
    Connecting,
    /// Data can be read and written.
    Open,
    /// Remaining output is written, then the sending side is shut down. Input is discarded until the peer closes:
    /// closing a socket with unread input resets the connection, which may discard the last output.
    Closing,
}

/// Maximum number of bytes discarded in one call of [`Connection::fill`], so that one peer can't occupy the event loop.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Empty buffers with a larger capacity than this are freed.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Input is not read while more output than this, in bytes, is unsent.
pub const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// A non-blocking TCP connection, registered with the poller.
pub struct Connection {
    stream: TcpStream,
    registered: Interest,
    trigger: Trigger,
    /// The sending side was shut down.
    is_shut_down: bool,
    /// Determines which operations are polled for and what happens to input.
    pub phase: Phase,
    /// Bytes read and not yet parsed. The owner removes what it has parsed.
    pub input: Vec<u8>,
    /// Bytes not yet written to the socket.
    pub output: Vec<u8>,
    /// Size of [`Self::input`], in bytes, at which reading stops. The last read may exceed it.
    pub read_ahead: usize,
    /// Set while the peer has an open request, so that its end of stream is detected after any amount of input. Input
    /// beyond the read-ahead is discarded instead of being left unread.
    pub detects_end: bool,
    /// Set once input was discarded. Input that follows can't be parsed.
    pub overrun: bool,
}

/// Reason for which [`Connection::fill`] stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All available input was read.
    WouldBlock,
    /// A limit was reached. More input may be available.
    More,
    /// The peer has shut down its sending side.
    Eof,
    /// Reading failed. The connection is unusable.
    Broken,
}

impl Connection {
    /// Creates a connection from an accepted socket. The socket is registered with [`Trigger::Edge`], so that an owner
    /// must call [`Connection::fill`] again after [`ReadEnd::More`] without waiting for an event.
    ///
    /// # Errors
    /// Setting a socket option or registering the socket failed.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: u64, read_ahead: usize) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::register(poll, stream, key, Phase::Open, read_ahead, Trigger::Edge)
    }

    /// Begins to establish a connection to `address`.
    ///
    /// # Errors
    /// Creating or registering the socket failed, or connecting failed immediately.
    pub fn connect(poll: &Poll, address: SocketAddr, key: u64, read_ahead: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(IN_PROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::register(poll, socket.into(), key, Phase::Connecting, read_ahead, Trigger::Level)
    }

    fn register(
        poll: &Poll,
        stream: TcpStream,
        key: u64,
        phase: Phase,
        read_ahead: usize,
        trigger: Trigger,
    ) -> io::Result<Self> {
        let registered = Interest { read: phase == Phase::Open, write: phase == Phase::Connecting };
        poll.add(&stream, key, registered, trigger)?;
        Ok(Self { registered, phase, trigger, ..Self::resume(stream, read_ahead) })
    }

    /// Returns the socket of an idle connection, which stays registered with the poller. A connection that is not idle
    /// is returned unchanged.
    pub fn into_idle_stream(self) -> Result<TcpStream, Self> {
        let waits_to_read = Interest { read: true, write: false };
        let is_empty = self.input.is_empty() && self.output.is_empty();
        if is_empty && self.registered == waits_to_read && self.phase == Phase::Open {
            Ok(self.stream)
        } else {
            Err(self)
        }
    }

    /// Creates a connection from the socket of an idle one. Reverses [`Connection::into_idle_stream`].
    pub fn resume(stream: TcpStream, read_ahead: usize) -> Self {
        Self {
            stream,
            registered: Interest { read: true, write: false },
            trigger: Trigger::Edge,
            is_shut_down: false,
            phase: Phase::Open,
            input: Vec::new(),
            output: Vec::new(),
            read_ahead,
            detects_end: false,
            overrun: false,
        }
    }

    /// Capacity of both buffers in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Whether the connection is to be polled for input. [`Connection::update`] passes this to the poller.
    pub fn wants_read(&self) -> bool {
        match self.phase {
            Phase::Connecting => false,
            Phase::Open if self.detects_end => true,
            // No requests are read from a client that does not read its answers.
            Phase::Open => self.input.len() < self.read_ahead && self.output.len() <= MAX_UNSENT_BYTES,
            Phase::Closing => true,
        }
    }

    /// Completes the connection attempt once the socket is ready.
    ///
    /// # Errors
    /// The connection could not be established.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        self.stream.peer_addr()?;
        self.phase = Phase::Open;
        Ok(())
    }

    /// Reads available input, up to the read-ahead and to about `max_bytes`. In [`Phase::Closing`], input is discarded
    /// instead.
    pub fn fill(&mut self, max_bytes: usize) -> ReadEnd {
        let mut chunk = [0; 16 * 1024];
        let closing = self.phase == Phase::Closing;
        let mut remaining = if closing { MAX_DISCARDED_BYTES } else { max_bytes };
        while remaining > 0 && (closing || self.detects_end || self.input.len() < self.read_ahead) {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadEnd::Eof,
                Ok(n) => {
                    remaining = remaining.saturating_sub(n);
                    if closing {
                        continue;
                    }
                    let room =
                        if self.detects_end { self.read_ahead.saturating_sub(self.input.len()) } else { n };
                    self.input.extend(&chunk[..n.min(room)]);
                    self.overrun |= n > room;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadEnd::WouldBlock,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::More
    }

    /// Writes as much output as the socket accepts. In [`Phase::Closing`] the sending side is shut down once all output
    /// is written.
    ///
    /// # Errors
    /// Writing failed; the connection is unusable.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut done = 0;
        let end = loop {
            if done == self.output.len() {
                break Ok(());
            }
            match self.stream.write(&self.output[done..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => break Err(e),
            }
        };
        self.output.drain(..done);
        if self.phase == Phase::Closing && self.output.is_empty() && !self.is_shut_down {
            self.is_shut_down = true;
            // Shutting down fails only if the peer has closed the connection, which the next read detects.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        // An idle connection does not retain a buffer of the size of its largest message.
        if self.output.is_empty() && self.output.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.output = Vec::new();
        }
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.input = Vec::new();
        }
        end
    }

    /// Whether the connection is established and not polled for input. A read event then means that the peer has gone,
    /// as the poller reports only errors and hang-ups.
    pub fn is_read_paused(&self) -> bool {
        self.phase != Phase::Connecting && !self.registered.read
    }

    /// Updates the interest registered with the poller.
    ///
    /// # Errors
    /// The system call failed.
    pub fn update(&mut self, poll: &Poll, key: u64) -> io::Result<()> {
        let write = self.phase == Phase::Connecting || !self.output.is_empty();
        let wanted = Interest { read: self.wants_read(), write };
        if wanted != self.registered {
            poll.change(&self.stream, key, wanted, self.trigger)?;
            self.registered = wanted;
        }
        Ok(())
    }

    /// Makes a later close discard unacknowledged output. By default the system retransmits it after the close, so that
    /// it could still arrive once a network partition has ended.
    pub fn discard_unsent_on_close(&self) {
        // Setting the option fails only if the connection is gone, and then nothing is retransmitted.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Removes the connection from the poller and closes it.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

/// EINPROGRESS on Linux. The standard library has no stable name for it.
const IN_PROGRESS: i32 = 115;
