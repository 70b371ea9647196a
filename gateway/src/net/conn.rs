//! One TCP connection with its buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use super::poll::{Interest, Poll, Told};

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is not up yet.
    Connecting,
    /// It is up.
    Open,
    /// What is written still goes out, then this side ends. What comes is thrown away until the other side
    /// ends too: closed with bytes unread, the connection would be reset, and that may overtake the last word.
    Closing,
}

/// Bytes thrown away in one go, so that other connections have their turn.
const MOST_DISCARDED: usize = 256 * 1024;
/// With more than this to be written, nothing more is read.
pub const MOST_UNSENT: usize = 16 * 1024;

/// A connection.
pub struct Conn {
    stream: TcpStream,
    registered: Interest,
    told: Told,
    ended: bool,
    /// How far it has come.
    pub phase: Phase,
    /// Bytes read and not yet understood.
    pub input: Vec<u8>,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// No more than this is read ahead.
    pub read_ahead: usize,
    /// Something is under way for the other side, whose end must be seen whatever it sends meanwhile: what comes
    /// beyond the read-ahead is thrown away instead of being left unread before that end.
    pub watched: bool,
    /// Bytes were thrown away: nothing that follows can be understood.
    pub overrun: bool,
}

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// Nothing more for now.
    Later,
    /// More may be there than was taken in one go.
    More,
    /// The other side has closed.
    Eof,
    /// The connection is broken.
    Broken,
}

impl Conn {
    /// An accepted connection of a session. That it can be read is told once for all that has come; whoever
    /// stops at [`ReadEnd::More`] comes back by itself.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: u64, read_ahead: usize) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::register(poll, stream, key, Phase::Open, read_ahead, Told::Once)
    }

    /// A connection that is being opened.
    pub fn connect(poll: &Poll, address: SocketAddr, key: u64, read_ahead: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(IN_PROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::register(poll, socket.into(), key, Phase::Connecting, read_ahead, Told::Always)
    }

    fn register(
        poll: &Poll,
        stream: TcpStream,
        key: u64,
        phase: Phase,
        read_ahead: usize,
        told: Told,
    ) -> io::Result<Self> {
        let registered = Interest { read: phase == Phase::Open, write: phase == Phase::Connecting };
        poll.add(&stream, key, registered, told)?;
        Ok(Self { registered, phase, told, ..Self::resume(stream, read_ahead) })
    }

    /// What is left of an idle session's connection: its socket, which goes on being waited for. The connection
    /// itself where it is not idle.
    pub fn park(self) -> Result<TcpStream, Self> {
        let waits = Interest { read: true, write: false };
        let quiet = self.input.is_empty() && self.output.is_empty() && self.registered == waits;
        if quiet && self.phase == Phase::Open { Ok(self.stream) } else { Err(self) }
    }

    /// Goes on with a connection that was parked.
    pub fn resume(stream: TcpStream, read_ahead: usize) -> Self {
        Self {
            stream,
            registered: Interest { read: true, write: false },
            told: Told::Once,
            ended: false,
            phase: Phase::Open,
            input: Vec::new(),
            output: Vec::new(),
            read_ahead,
            watched: false,
            overrun: false,
        }
    }

    /// Bytes that its buffers take.
    pub fn buffered(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Whether more is read from it at present.
    pub fn wants_read(&self) -> bool {
        match self.phase {
            Phase::Connecting => false,
            Phase::Open if self.watched => true,
            // Who takes no answers is asked for no more requests.
            Phase::Open => self.input.len() < self.read_ahead && self.output.len() <= MOST_UNSENT,
            Phase::Closing => true,
        }
    }

    /// Whether the connection has come up.
    pub fn finish_connect(&mut self) -> io::Result<()> {
        if let Some(e) = self.stream.take_error()? {
            return Err(e);
        }
        self.stream.peer_addr()?;
        self.phase = Phase::Open;
        Ok(())
    }

    /// Reads what is there, up to the read-ahead and to about `most` bytes.
    pub fn fill(&mut self, most: usize) -> ReadEnd {
        let mut chunk = [0; 16 * 1024];
        let closing = self.phase == Phase::Closing;
        let mut left = if closing { MOST_DISCARDED } else { most };
        while left > 0 && (closing || self.watched || self.input.len() < self.read_ahead) {
            match self.stream.read(&mut chunk) {
                Ok(0) => return ReadEnd::Eof,
                Ok(n) => {
                    left = left.saturating_sub(n);
                    if closing {
                        continue;
                    }
                    let room =
                        if self.watched { self.read_ahead.saturating_sub(self.input.len()) } else { n };
                    self.input.extend(&chunk[..n.min(room)]);
                    self.overrun |= n > room;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadEnd::Later,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::More
    }

    /// Writes what the socket takes. An error means that the connection is broken.
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
        if self.phase == Phase::Closing && self.output.is_empty() && !self.ended {
            self.ended = true;
            // Fails only where the other side is gone, which the next read tells.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        // A quiet connection keeps no buffer of its largest message.
        if self.output.is_empty() && self.output.capacity() > 16 * 1024 {
            self.output = Vec::new();
        }
        if self.input.is_empty() && self.input.capacity() > 16 * 1024 {
            self.input = Vec::new();
        }
        end
    }

    /// Whether readiness to read tells of nothing but an end: it was not waited for.
    pub fn is_cut_off(&self) -> bool {
        self.phase != Phase::Connecting && !self.registered.read
    }

    /// Waits for what is wanted next.
    pub fn update(&mut self, poll: &Poll, key: u64) -> io::Result<()> {
        let write = self.phase == Phase::Connecting || !self.output.is_empty();
        let wanted = Interest { read: self.wants_read(), write };
        if wanted != self.registered {
            poll.change(&self.stream, key, wanted, self.told)?;
            self.registered = wanted;
        }
        Ok(())
    }

    /// Nothing that is written and not acknowledged is delivered once it is closed: behind a cut the system would go
    /// on sending it, and it would arrive when the cut heals.
    pub fn discard_unsent_on_close(&self) {
        // Fails only where the connection is gone, and then nothing is sent any more.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Takes it out of the poller; the socket closes when it is dropped.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

/// EINPROGRESS on Linux, for which the standard library has no stable name.
const IN_PROGRESS: i32 = 115;
