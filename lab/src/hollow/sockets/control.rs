//! A minimal control machine over loopback that streams the list as server-sent events. All machines of a fleet
//! listen on one port with `SO_REUSEPORT`, so that the kernel distributes new connections among them.

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
const MAX_REQUEST_BYTES: usize = 8192;
/// Maximum duration of a poll.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// A command to a control machine.
#[derive(Clone, Debug)]
pub enum Command {
    /// Changes databases in the list by one event.
    Change(Vec<Database>),
    /// Closes all streams while accepting new ones.
    CloseStreams,
    /// Closes all streams and the listener.
    GoOffline,
    /// Opens the listener again.
    GoOnline,
    /// Suspends (`true`) or resumes (`false`) heartbeat comments. Both restart the comment schedule at once.
    SuspendComments(bool),
    /// Resets all counts.
    ResetCounts,
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
    /// Streams that the machine closed on command.
    pub ended: u64,
    /// Streams that are open and were requested.
    pub streams: u64,
    /// Streams on which the last event is completely written.
    pub up_to_date: u64,
    /// Maximum delay of a comment behind its schedule, in microseconds.
    pub late_us: u64,
}

/// Handle of a running control machine. Dropping it stops the machine.
pub struct ControlServer {
    command_sender: Sender<Command>,
    wake_sender: UnixStream,
    counts: Arc<Mutex<Counts>>,
    thread: Option<JoinHandle<()>>,
}

fn lock_counts(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlServer {
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
        let started = Instant::now();
        let start = |listener| Self::start(listener, address, list.clone(), started);
        Ok((address, listeners.into_iter().map(start).collect::<Result<_, _>>()?))
    }

    fn start(
        listener: TcpListener,
        address: SocketAddr,
        list: DatabaseList,
        started: Instant,
    ) -> Result<Self, HollowError> {
        let (command_sender, command_receiver) = channel();
        let (wake_sender, wake_receiver) = UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        let counts = Arc::<Mutex<Counts>>::default();
        let mut machine = Machine {
            poll: Poll::new()?,
            listener: None,
            address,
            list,
            started,
            streams: Vec::new(),
            comments_suspended: false,
            command_receiver,
            wake_receiver,
            counts: counts.clone(),
        };
        machine.register_listener(listener)?;
        machine.poll.add(&machine.wake_receiver, COMMANDS, READ, Trigger::Level)?;
        let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            // After a poll error the machine stops answering, and the run fails with a timeout.
            let _ = machine.run();
        })?;
        Ok(Self { command_sender, wake_sender, counts, thread: Some(thread) })
    }

    /// Sends a command and wakes the machine.
    pub fn send(&self, command: Command) {
        // Both fail only after the machine's thread has ended.
        let _ = self.command_sender.send(command);
        let _ = (&self.wake_sender).write(&[0]);
    }

    /// Returns a snapshot of the counts.
    pub fn counts(&self) -> Counts {
        lock_counts(&self.counts).clone()
    }
}

impl Drop for ControlServer {
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
    started: Instant,
    streams: Vec<Option<Stream>>,
    comments_suspended: bool,
    command_receiver: Receiver<Command>,
    wake_receiver: UnixStream,
    counts: Arc<Mutex<Counts>>,
}

impl Machine {
    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn run(&mut self) -> std::io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let timeout = self.poll_timeout();
            self.poll.wait(Some(timeout), &mut ready)?;
            for (key, _) in &ready {
                match *key {
                    LISTENER => self.accept()?,
                    COMMANDS => self.drain_wake_ups(),
                    key => self.on_stream_ready((key - FIRST_STREAM) as usize),
                }
            }
            while let Ok(command) = self.command_receiver.try_recv() {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.execute(command)?;
            }
            self.write_comments();
            self.count_streams();
        }
    }

    /// Time until the next comment is due, at most `MAX_POLL_TIMEOUT`.
    fn poll_timeout(&self) -> Duration {
        let due = self.streams.iter().flatten().filter(|stream| stream.last_sent.is_some());
        let next_us = due.map(|stream| stream.comment_due_us).min().unwrap_or(u64::MAX);
        Duration::from_micros(next_us.saturating_sub(self.now_us())).min(MAX_POLL_TIMEOUT)
    }

    fn drain_wake_ups(&mut self) {
        let mut bytes = [0; 64];
        while (&self.wake_receiver).read(&mut bytes).is_ok_and(|count| count > 0) {}
    }

    fn execute(&mut self, command: Command) -> std::io::Result<()> {
        match command {
            Command::Change(changed) => {
                self.list.change(&changed);
                (0..self.streams.len()).for_each(|index| self.send_events(index));
            }
            Command::CloseStreams => self.close_streams(),
            Command::GoOffline => {
                if let Some(listener) = self.listener.take() {
                    self.poll.remove(&listener);
                }
                self.close_streams();
            }
            Command::GoOnline => {
                let listener = listen(self.address)?;
                self.register_listener(listener)?;
            }
            Command::SuspendComments(comments_suspended) => {
                self.comments_suspended = comments_suspended;
                let now_us = self.now_us();
                self.streams.iter_mut().flatten().for_each(|stream| stream.comment_due_us = now_us);
            }
            Command::ResetCounts => *lock_counts(&self.counts) = Counts::default(),
            Command::Stop => {}
        }
        Ok(())
    }

    fn register_listener(&mut self, listener: TcpListener) -> std::io::Result<()> {
        self.poll.add(&listener, LISTENER, READ, Trigger::Level)?;
        self.listener = Some(listener);
        Ok(())
    }

    fn close_streams(&mut self) {
        for index in 0..self.streams.len() {
            if self.streams[index].is_some() {
                lock_counts(&self.counts).ended += 1;
                self.close(index);
            }
        }
    }

    fn close(&mut self, index: usize) {
        if let Some(stream) = self.streams[index].take() {
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
            let index = self.streams.iter().position(Option::is_none).unwrap_or_else(|| {
                self.streams.push(None);
                self.streams.len() - 1
            });
            self.poll.add(&socket, FIRST_STREAM + index as u64, READ, Trigger::Level)?;
            let (input, output) = (Vec::new(), Vec::new());
            self.streams[index] = Some(Stream { socket, input, output, last_sent: None, comment_due_us: 0 });
        }
        Ok(())
    }

    /// Reads the request or the end of the connection, and continues a pending write.
    fn on_stream_ready(&mut self, index: usize) {
        let Some(Some(stream)) = self.streams.get_mut(index) else { return };
        let mut bytes = [0; 2048];
        loop {
            match stream.socket.read(&mut bytes) {
                Ok(0) => return self.close(index),
                Ok(count) => stream.input.extend(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.close(index),
            }
        }
        if stream.input.len() > MAX_REQUEST_BYTES {
            return self.close(index);
        }
        if let (None, Some(after)) = (stream.last_sent, last_event_id(&stream.input)) {
            self.begin_stream(index, after);
        }
        self.flush(index);
    }

    fn begin_stream(&mut self, index: usize, after: u64) {
        let now_us = self.now_us();
        let Some(Some(stream)) = self.streams.get_mut(index) else { return };
        stream.last_sent = Some(after);
        stream.comment_due_us = now_us + COMMENT_PERIOD_US;
        stream.output.extend(STREAM_HEAD);
        let mut counts = lock_counts(&self.counts);
        counts.calls.add(now_us, 1);
        counts.bytes.add(now_us, STREAM_HEAD.len() as u64);
        drop(counts);
        self.send_events(index);
    }

    /// Writes all events that the stream has not sent yet.
    fn send_events(&mut self, index: usize) {
        let now_us = self.now_us();
        let Some(Some(stream)) = self.streams.get_mut(index) else { return };
        let Some(last_sent) = stream.last_sent else { return };
        let mut counts = lock_counts(&self.counts);
        for (event_index, text) in self.list.events_after(last_sent) {
            stream.output.extend(&text[..]);
            stream.last_sent = Some(event_index);
            counts.events.add(now_us, 1);
            counts.event_bytes.add(now_us, text.len() as u64);
            counts.bytes.add(now_us, text.len() as u64);
        }
        drop(counts);
        self.flush(index);
    }

    fn write_comments(&mut self) {
        let now_us = self.now_us();
        for index in 0..self.streams.len() {
            let Some(stream) = &mut self.streams[index] else { continue };
            if stream.last_sent.is_none() || stream.comment_due_us > now_us {
                continue;
            }
            let late_us = now_us - stream.comment_due_us;
            stream.comment_due_us = now_us - late_us % COMMENT_PERIOD_US + COMMENT_PERIOD_US;
            if self.comments_suspended {
                continue;
            }
            stream.output.extend(COMMENT);
            let mut counts = lock_counts(&self.counts);
            counts.late_us = counts.late_us.max(late_us);
            counts.bytes.add(now_us, COMMENT.len() as u64);
            drop(counts);
            self.flush(index);
        }
    }

    fn flush(&mut self, index: usize) {
        let Some(Some(stream)) = self.streams.get_mut(index) else { return };
        while !stream.output.is_empty() {
            match stream.socket.write(&stream.output) {
                Ok(count) => drop(stream.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.close(index),
            }
        }
        let interest = Interest { read: true, write: !stream.output.is_empty() };
        if self.poll.change(&stream.socket, FIRST_STREAM + index as u64, interest, Trigger::Level).is_err() {
            self.close(index);
        }
    }

    fn count_streams(&mut self) {
        let last = self.list.last_index();
        let active = || self.streams.iter().flatten().filter(|stream| stream.last_sent.is_some());
        let up_to_date =
            active().filter(|stream| stream.last_sent == Some(last) && stream.output.is_empty()).count();
        let mut counts = lock_counts(&self.counts);
        (counts.streams, counts.up_to_date) = (active().count() as u64, up_to_date as u64);
    }
}
