//! One TCP connection with its buffers, without blocking.
//!
//! Its owner calls [`Connection::fill`] and parses [`Connection::input`], appends to [`Connection::output`], and at the
//! end of a turn calls [`Connection::flush`] and [`Connection::update`].

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::poll::{Interest, Poll, Trigger};

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being established.
    Connecting,
    /// It is established.
    Open,
    /// The output is still written, then this side is shut down. Input is discarded until the other side ends too:
    /// closed with bytes unread, the connection would be reset, and the last output could be lost.
    Closing,
}

/// Bytes that are discarded in one call, so that other connections have their turn.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Larger buffers are freed once they are empty.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// With more output than this, no more input is read.
pub const MAX_UNSENT_BYTES: usize = 16 * 1024;

/// A connection.
pub struct Connection {
    stream: TcpStream,
    registered: Interest,
    trigger: Trigger,
    /// This side is shut down.
    is_shut_down: bool,
    /// How far it has come.
    pub phase: Phase,
    /// Bytes read and not yet parsed.
    pub input: Vec<u8>,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// No more than this is read ahead.
    pub read_ahead: usize,
    /// A request of the other side is open, and its end must be seen whatever it sends meanwhile: input beyond the
    /// read-ahead is discarded instead of being left unread.
    pub detects_end: bool,
    /// Input was discarded: what follows can't be parsed.
    pub overrun: bool,
}

/// How reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All that has come was read.
    WouldBlock,
    /// More may be there than was read in one call.
    More,
    /// The other side has closed.
    Eof,
    /// The connection is broken.
    Broken,
}

impl Connection {
    /// An accepted connection. It is ready to be read once for all that has come: an owner that stops at
    /// [`ReadEnd::More`] reads again without another event.
    ///
    /// # Errors
    /// The socket or the poller refuses.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: u64, read_ahead: usize) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::register(poll, stream, key, Phase::Open, read_ahead, Trigger::Edge)
    }

    /// A connection that is being established.
    ///
    /// # Errors
    /// No descriptor, or the system refuses at once.
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

    /// The socket of an idle connection, which stays in the poller; the connection itself where it is not idle.
    pub fn into_idle_stream(self) -> Result<TcpStream, Self> {
        let waits_to_read = Interest { read: true, write: false };
        let is_empty = self.input.is_empty() && self.output.is_empty();
        if is_empty && self.registered == waits_to_read && self.phase == Phase::Open {
            Ok(self.stream)
        } else {
            Err(self)
        }
    }

    /// A connection over the socket of an idle one.
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

    /// Bytes that its buffers take.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Whether more is read from it at present.
    pub fn wants_read(&self) -> bool {
        match self.phase {
            Phase::Connecting => false,
            Phase::Open if self.detects_end => true,
            // A client that does not read its answers gets no more requests read.
            Phase::Open => self.input.len() < self.read_ahead && self.output.len() <= MAX_UNSENT_BYTES,
            Phase::Closing => true,
        }
    }

    /// Notes that the connection is established.
    ///
    /// # Errors
    /// It could not be established.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        self.stream.peer_addr()?;
        self.phase = Phase::Open;
        Ok(())
    }

    /// Reads what has come, up to the read-ahead and to about `max_bytes`.
    pub fn fill(&mut self, max_bytes: usize) -> ReadEnd {
        let mut chunk = [0; 16 * 1024];
        let closing = self.phase == Phase::Closing;
        let mut left = if closing { MAX_DISCARDED_BYTES } else { max_bytes };
        while left > 0 && (closing || self.detects_end || self.input.len() < self.read_ahead) {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadEnd::Eof,
                Ok(n) => {
                    left = left.saturating_sub(n);
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

    /// Writes what the socket takes.
    ///
    /// # Errors
    /// The connection is broken.
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
            // Fails only where the other side is gone, which the next read finds.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        // An idle connection keeps no buffer of its largest message.
        if self.output.is_empty() && self.output.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.output = Vec::new();
        }
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.input = Vec::new();
        }
        end
    }

    /// Whether an event to read can only mean that the other side is gone, as reading was not waited for.
    pub fn is_hung_up(&self) -> bool {
        self.phase != Phase::Connecting && !self.registered.read
    }

    /// Has the poller wait for what is wanted next.
    ///
    /// # Errors
    /// The poller refuses.
    pub fn update(&mut self, poll: &Poll, key: u64) -> io::Result<()> {
        let write = self.phase == Phase::Connecting || !self.output.is_empty();
        let wanted = Interest { read: self.wants_read(), write };
        if wanted != self.registered {
            poll.change(&self.stream, key, wanted, self.trigger)?;
            self.registered = wanted;
        }
        Ok(())
    }

    /// Output that is not acknowledged is discarded when the connection is closed: the system would else go on sending
    /// it over a partitioned network, and it would arrive once that has healed.
    pub fn discard_unsent_on_close(&self) {
        // Fails only where the connection is gone, and then nothing is sent any more.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Removes it from the poller and closes it.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

/// EINPROGRESS on Linux, for which the standard library has no stable name.
const IN_PROGRESS: i32 = 115;
