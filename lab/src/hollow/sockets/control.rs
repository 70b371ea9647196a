//! A minimal control machine over loopback that streams the list as server-sent events. All machines of a fleet listen
//! on one port with `SO_REUSEPORT`, so that the kernel distributes new connections among them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};
use wrenhatch::net::poll::{Interest, Poll, Trigger};

use crate::hollow::error::HollowError;
use crate::hollow::list::{COMMENT, COMMENT_PERIOD_US, Database, DatabaseList, STREAM_HEAD, last_event_id};
use crate::hollow::load::Load;

const LISTENER: u64 = 0;
const COMMANDS: u64 = 1;
const FIRST_STREAM: u64 = 2;
/// Listen backlog, in connections.
const BACKLOG: i32 = 1024;
/// Maximum size of a request, in bytes.
const LONGEST_CALL: usize = 8192;
/// Maximum duration of a poll.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A command to a control machine.
#[derive(Clone, Debug)]
pub enum Command {
    /// Changes databases in the list by one event.
    Change(Vec<Database>),
    /// Closes all streams while accepting new ones.
    EndStreams,
    /// Closes all streams and the listener.
    Leave,
    /// Opens the listener again.
    Return,
    /// Suspends (`true`) or resumes (`false`) heartbeat comments. After a change, the next comment is due at once.
    Silent(bool),
    /// Resets all counts.
    Measure,
    /// Ends the thread of the machine.
    Stop,
}

/// Counts of a control machine since the last reset.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were answered with a stream.
    pub calls: Load,
    /// List events written, counted for each stream.
    pub events: Load,
    /// Bytes of list events written.
    pub event_bytes: Load,
    /// Bytes written in total.
    pub bytes: Load,
    /// Streams that the machine closed by command.
    pub ended: u64,
    /// Open streams at present.
    pub streams: u64,
    /// Streams on which the last event is completely written.
    pub up_to_date: u64,
    /// Maximum delay of a comment behind its schedule, in microseconds.
    pub late_us: u64,
}

/// Handle of a running control machine. Dropping it stops the machine.
pub struct ControlStandIn {
    commands: Sender<Command>,
    wake: UnixStream,
    counts: Arc<Mutex<Counts>>,
    thread: Option<JoinHandle<()>>,
}

fn counted(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlStandIn {
    /// Starts control machines that share one address, and returns the address.
    ///
    /// # Errors
    /// A socket or thread can't be created.
    pub fn start_all(machines: usize, list: &DatabaseList) -> Result<(SocketAddr, Vec<Self>), HollowError> {
        let first = listen((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = first.local_addr()?;
        let mut listeners = vec![first];
        for _ in 1..machines {
            listeners.push(listen(address)?);
        }
        let began = Instant::now();
        let start = |listener| Self::start(listener, address, list.clone(), began);
        Ok((address, listeners.into_iter().map(start).collect::<Result<_, _>>()?))
    }

    fn start(
        listener: TcpListener,
        address: SocketAddr,
        list: DatabaseList,
        began: Instant,
    ) -> Result<Self, HollowError> {
        let (commands, received) = channel();
        let (wake, woken) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        let counts = Arc::<Mutex<Counts>>::default();
        let mut machine = Machine {
            poll: Poll::new()?,
            listener: None,
            address,
            list,
            began,
            streams: Vec::new(),
            is_silent: false,
            received,
            woken,
            counts: counts.clone(),
        };
        machine.take_listener(listener)?;
        machine.poll.add(&machine.woken, COMMANDS, READ, Trigger::Level)?;
        let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            // After a poll error the machine stops answering, and the run fails with a timeout.
            let _ = machine.run();
        })?;
        Ok(Self { commands, wake, counts, thread: Some(thread) })
    }

    /// Sends a command and wakes the machine.
    pub fn send(&self, command: Command) {
        // Both fail only after the machine's thread has ended.
        let _ = self.commands.send(command);
        let _ = (&self.wake).write(&[0]);
    }

    /// Returns a snapshot of the counts.
    pub fn counts(&self) -> Counts {
        counted(&self.counts).clone()
    }
}

impl Drop for ControlStandIn {
    fn drop(&mut self) {
        self.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

const READ: Interest = Interest { read: true, write: false };

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

struct Stream {
    socket: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Index of the last event in the output, `None` until the request has arrived.
    last_sent: Option<u64>,
    comment_due_us: u64,
}

struct Machine {
    poll: Poll,
    listener: Option<TcpListener>,
    address: SocketAddr,
    list: DatabaseList,
    began: Instant,
    streams: Vec<Option<Stream>>,
    is_silent: bool,
    received: Receiver<Command>,
    woken: UnixStream,
    counts: Arc<Mutex<Counts>>,
}

impl Machine {
    fn now_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn run(&mut self) -> std::io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let wait = self.wait();
            self.poll.wait(Some(wait), &mut ready)?;
            for (key, _) in &ready {
                match *key {
                    LISTENER => self.accept()?,
                    COMMANDS => self.drain_wake(),
                    key => self.ready((key - FIRST_STREAM) as usize),
                }
            }
            while let Ok(command) = self.received.try_recv() {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.carry_out(command)?;
            }
            self.write_comments();
            self.count_streams();
        }
    }

    /// Time until the next comment is due, at most `LONGEST_WAIT`.
    fn wait(&self) -> Duration {
        let due = self.streams.iter().flatten().filter(|stream| stream.last_sent.is_some());
        let next_us = due.map(|stream| stream.comment_due_us).min().unwrap_or(u64::MAX);
        Duration::from_micros(next_us.saturating_sub(self.now_us())).min(LONGEST_WAIT)
    }

    fn drain_wake(&mut self) {
        let mut bytes = [0; 64];
        while (&self.woken).read(&mut bytes).is_ok_and(|count| count > 0) {}
    }

    fn carry_out(&mut self, command: Command) -> std::io::Result<()> {
        match command {
            Command::Change(changed) => {
                self.list.change(&changed);
                (0..self.streams.len()).for_each(|place| self.send_events(place));
            }
            Command::EndStreams => self.end_streams(),
            Command::Leave => {
                if let Some(listener) = self.listener.take() {
                    self.poll.remove(&listener);
                }
                self.end_streams();
            }
            Command::Return => {
                let listener = listen(self.address)?;
                self.take_listener(listener)?;
            }
            Command::Silent(is_silent) => {
                self.is_silent = is_silent;
                let now_us = self.now_us();
                self.streams.iter_mut().flatten().for_each(|stream| stream.comment_due_us = now_us);
            }
            Command::Measure => *counted(&self.counts) = Counts::default(),
            Command::Stop => {}
        }
        Ok(())
    }

    fn take_listener(&mut self, listener: TcpListener) -> std::io::Result<()> {
        self.poll.add(&listener, LISTENER, READ, Trigger::Level)?;
        self.listener = Some(listener);
        Ok(())
    }

    fn end_streams(&mut self) {
        for place in 0..self.streams.len() {
            if self.streams[place].is_some() {
                counted(&self.counts).ended += 1;
                self.close(place);
            }
        }
    }

    fn close(&mut self, place: usize) {
        if let Some(stream) = self.streams[place].take() {
            self.poll.remove(&stream.socket);
        }
    }

    fn accept(&mut self) -> std::io::Result<()> {
        while let Some(listener) = &self.listener {
            let socket = match listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                    continue;
                }
                Err(e) => return Err(e),
            };
            socket.set_nonblocking(true)?;
            socket.set_nodelay(true)?;
            let place = self.streams.iter().position(Option::is_none).unwrap_or_else(|| {
                self.streams.push(None);
                self.streams.len() - 1
            });
            self.poll.add(&socket, FIRST_STREAM + place as u64, READ, Trigger::Level)?;
            let (input, output) = (Vec::new(), Vec::new());
            self.streams[place] = Some(Stream { socket, input, output, last_sent: None, comment_due_us: 0 });
        }
        Ok(())
    }

    /// Reads the request or the end of the connection, and continues a pending write.
    fn ready(&mut self, place: usize) {
        let Some(Some(stream)) = self.streams.get_mut(place) else { return };
        let mut bytes = [0; 2048];
        loop {
            match stream.socket.read(&mut bytes) {
                Ok(0) => return self.close(place),
                Ok(count) => stream.input.extend(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.close(place),
            }
        }
        if stream.input.len() > LONGEST_CALL {
            return self.close(place);
        }
        if let (None, Some(after)) = (stream.last_sent, last_event_id(&stream.input)) {
            self.begin(place, after);
        }
        self.flush(place);
    }

    fn begin(&mut self, place: usize, after: u64) {
        let now_us = self.now_us();
        let Some(Some(stream)) = self.streams.get_mut(place) else { return };
        stream.last_sent = Some(after);
        stream.comment_due_us = now_us + COMMENT_PERIOD_US;
        stream.output.extend(STREAM_HEAD);
        let mut counts = counted(&self.counts);
        counts.calls.add(now_us, 1);
        counts.bytes.add(now_us, STREAM_HEAD.len() as u64);
        drop(counts);
        self.send_events(place);
    }

    /// Writes all events that the stream has not sent yet.
    fn send_events(&mut self, place: usize) {
        let now_us = self.now_us();
        let Some(Some(stream)) = self.streams.get_mut(place) else { return };
        let Some(last_sent) = stream.last_sent else { return };
        let mut counts = counted(&self.counts);
        for (number, text) in self.list.events(last_sent) {
            stream.output.extend(&text[..]);
            stream.last_sent = Some(number);
            counts.events.add(now_us, 1);
            counts.event_bytes.add(now_us, text.len() as u64);
            counts.bytes.add(now_us, text.len() as u64);
        }
        drop(counts);
        self.flush(place);
    }

    fn write_comments(&mut self) {
        let now_us = self.now_us();
        for place in 0..self.streams.len() {
            let Some(stream) = &mut self.streams[place] else { continue };
            if stream.last_sent.is_none() || stream.comment_due_us > now_us {
                continue;
            }
            let late_us = now_us - stream.comment_due_us;
            stream.comment_due_us = now_us - late_us % COMMENT_PERIOD_US + COMMENT_PERIOD_US;
            if self.is_silent {
                continue;
            }
            stream.output.extend(COMMENT);
            let mut counts = counted(&self.counts);
            counts.late_us = counts.late_us.max(late_us);
            counts.bytes.add(now_us, COMMENT.len() as u64);
            drop(counts);
            self.flush(place);
        }
    }

    fn flush(&mut self, place: usize) {
        let Some(Some(stream)) = self.streams.get_mut(place) else { return };
        while !stream.output.is_empty() {
            match stream.socket.write(&stream.output) {
                Ok(count) => drop(stream.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.close(place),
            }
        }
        let interest = Interest { read: true, write: !stream.output.is_empty() };
        if self.poll.change(&stream.socket, FIRST_STREAM + place as u64, interest, Trigger::Level).is_err() {
            self.close(place);
        }
    }

    fn count_streams(&mut self) {
        let last = self.list.last();
        let begun = || self.streams.iter().flatten().filter(|stream| stream.last_sent.is_some());
        let up_to_date =
            begun().filter(|stream| stream.last_sent == Some(last) && stream.output.is_empty()).count();
        let mut counts = counted(&self.counts);
        (counts.streams, counts.up_to_date) = (begun().count() as u64, up_to_date as u64);
    }
}
