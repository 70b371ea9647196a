//! The two processes of an upgrade: how the newer one finds the older, gets its listeners and what it knows, and how
//! both go on as one gateway until the older has ended.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};

use super::poll::{Interest, Poll, Told};
use super::{HANDOVER, HANDOVER_LISTENER, Server};
use crate::config::Config;
use crate::core::{Input, PeerProcessEvent, PeerProcessId};
use crate::discovery::EndpointListEvent;
use crate::engine::http::MAX_RUN_AFTER_LAST_CALL_US;
use crate::handover::{self, Message};

/// The older process tells all it knows within this, or the newer one starts without.
const PATIENCE: Duration = Duration::from_secs(1);
/// Descriptors that come with the first byte at the most: one for each front.
const MOST_LISTENERS: usize = 2;
/// Bytes of a state that are taken in.
const LONGEST_STATE: usize = 16 << 20;

/// What an older process has told and handed over.
pub struct Inheritance {
    pub listeners: Vec<TcpListener>,
    pub messages: Vec<Message>,
    /// Whether the older process takes cancels.
    pub cancels: bool,
    /// Whether it shares keys by leases.
    pub leases: bool,
    /// The connection, for as long as both live, and what came over it behind the state.
    pub stream: UnixStream,
    pub rest: Vec<u8>,
}

/// Where the older process listens: under the folder that the platform gives this gateway alone. None without an
/// operators' door, as nobody asks for an upgrade then.
fn path(config: &Config) -> Option<PathBuf> {
    config.admin?;
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let name: String = config.name.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').collect();
    Some(PathBuf::from(folder).join(format!("wrenhatch-{name}.sock")))
}

/// Asks the older process, if there is one, for its place.
pub fn inherit(config: &Config) -> Option<Inheritance> {
    let path = path(config)?;
    // Nobody listens: this is no upgrade.
    let stream = UnixStream::connect(path).ok()?;
    match ask(config, stream) {
        Ok(inheritance) => Some(inheritance),
        Err(e) => {
            tracing::error!("the older process's state is not taken over, starting without it: {e}");
            None
        }
    }
}

/// The connection to an older process, what came over it behind its state, and what it understands.
pub struct Older {
    pub stream: UnixStream,
    pub rest: Vec<u8>,
    pub cancels: bool,
    pub leases: bool,
}

fn bad(why: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why.to_string())
}

fn ask(config: &Config, mut stream: UnixStream) -> io::Result<Inheritance> {
    let began = Instant::now();
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let mut hello = Vec::new();
    Message::Hello { name: config.name.clone(), listen: config.listen }.write(&mut hello);
    stream.write_all(&hello)?;
    let (mut input, mut listeners, mut messages) = (Vec::new(), Vec::new(), Vec::new());
    let (mut taken, mut chunk) = (0, [0; 16 * 1024]);
    loop {
        while let Some(message) = handover::next(&mut input).map_err(bad)? {
            if let Message::End { cancels, leases } = message {
                return Ok(Inheritance { listeners, messages, cancels, leases, stream, rest: input });
            }
            messages.push(message);
        }
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let read = rustix::net::recvmsg(
            &stream,
            &mut [IoSliceMut::new(&mut chunk)],
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                listeners.extend(fds.filter_map(listener));
            }
        }
        taken += read.bytes;
        if read.bytes == 0 || taken > LONGEST_STATE || began.elapsed() > PATIENCE {
            return Err(bad("it was cut off, or does not end"));
        }
        input.extend(&chunk[..read.bytes]);
    }
}

/// What came as a listener, if it is one.
fn listener(fd: OwnedFd) -> Option<TcpListener> {
    let socket = socket2::Socket::from(fd);
    let listens = socket.is_listener().unwrap_or(false) && socket.set_nonblocking(true).is_ok();
    listens.then(|| socket.into())
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It is the older process.
    Elder,
    /// It has connected and not said what it wants.
    Caller,
    /// It knows all, and does not take clients yet.
    Heir,
    /// It takes clients.
    Taker,
}

struct Peer {
    stream: UnixStream,
    serial: u32,
    role: Role,
    /// It takes cancels.
    cancels: bool,
    /// It shares keys by leases.
    leases: bool,
    /// When what it has left running is over, once it has said that it ends, in microseconds.
    settled_us: Option<u64>,
    input: Vec<u8>,
    output: Vec<u8>,
}

/// The other processes of this gateway.
#[derive(Default)]
pub struct Family {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    peers: Vec<Peer>,
    serials: u32,
}

impl Family {
    /// Listens for the next process, in place of whoever did before.
    fn listen(&mut self, poll: &Poll) {
        let Some(path) = &self.path else { return };
        let opened = || -> io::Result<UnixListener> {
            let new = path.with_extension(format!("{}", std::process::id()));
            let _ = std::fs::remove_file(&new);
            let listener = UnixListener::bind(&new)?;
            listener.set_nonblocking(true)?;
            std::fs::rename(&new, path)?;
            Ok(listener)
        };
        match opened() {
            Ok(listener) => {
                if let Some(old) = self.listener.take() {
                    poll.remove(&old);
                }
                if let Err(e) = poll.add(&listener, HANDOVER_LISTENER, READS, Told::Always) {
                    return tracing::warn!("a later process will not find this one: {e}");
                }
                self.listener = Some(listener);
            }
            Err(e) => tracing::warn!("a later process will not find this one: {}: {e}", path.display()),
        }
    }

    fn join(&mut self, poll: &Poll, stream: UnixStream, role: Role, input: Vec<u8>) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        self.serials = self.serials.wrapping_add(1);
        poll.add(&stream, HANDOVER | u64::from(self.serials), READS, Told::Always)?;
        self.peers.push(Peer {
            stream,
            serial: self.serials,
            role,
            cancels: false,
            leases: false,
            settled_us: None,
            input,
            output: Vec::new(),
        });
        Ok(())
    }

    fn at(&self, key: u64) -> Option<usize> {
        self.peers.iter().position(|p| HANDOVER | u64::from(p.serial) == key)
    }

    /// Whether there is no other process of this gateway.
    pub fn is_alone(&self) -> bool {
        self.peers.iter().all(|p| p.role == Role::Caller)
    }

    /// Whether a newer process takes the clients.
    fn is_followed(&self) -> bool {
        self.peers.iter().any(|p| p.role == Role::Taker)
    }

    fn flush(&mut self, poll: &Poll, at: usize) -> io::Result<()> {
        let peer = &mut self.peers[at];
        while !peer.output.is_empty() {
            match peer.stream.write(&peer.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => drop(peer.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let interest = Interest { read: true, write: !peer.output.is_empty() };
        poll.change(&peer.stream, HANDOVER | u64::from(peer.serial), interest, Told::Always)
    }
}

const READS: Interest = Interest { read: true, write: false };
/// Processes that may be connected at once; there is one, or two where the platform stumbles.
const MOST_PEERS: usize = 4;

impl Server {
    /// Takes in what the older process knew. The list of engines as it stood there is newer than the
    /// configuration's.
    pub(super) fn take_over(&mut self, messages: Vec<Message>) {
        let mut entries = Vec::new();
        for message in messages {
            match message {
                Message::Known(name, back_ms) => self.registry.restore(&name, back_ms),
                Message::Listed(listed) => entries.push(listed),
                Message::Enter(name) => {
                    self.registry.remember(&name);
                    // Its entry in the list comes behind, and is seen as it counts then.
                    let _ = self.registry.begin_maintenance(&name);
                }
                _ => {}
            }
        }
        tracing::info!(
            engines = entries.len(),
            out = self.registry.in_maintenance().count(),
            "taken over from the older process"
        );
        if !entries.is_empty() {
            self.apply_list_event(&EndpointListEvent {
                index: 0,
                is_full: true,
                entries,
                unreadable: Vec::new(),
            });
        }
    }

    /// This process serves from here on: says so to the older one, and listens for the next.
    pub(super) fn found_family(&mut self, older: Option<Older>) {
        self.family.path = path(&self.config);
        if let Some(older) = older {
            match self.family.join(&self.poll, older.stream, Role::Elder, older.rest) {
                Ok(()) => {
                    let peer = &mut self.family.peers[0];
                    (peer.cancels, peer.leases) = (older.cancels, older.leases);
                    Message::Taking { leases: older.leases }.write(&mut peer.output);
                    if older.leases {
                        let neighbour = PeerProcessId(peer.serial);
                        self.inputs
                            .push(Input::PeerProcess { peer: neighbour, event: PeerProcessEvent::Succeeded });
                    }
                    self.peer_ready(HANDOVER | u64::from(self.family.serials));
                }
                Err(e) => tracing::warn!("the older process is not told: {e}"),
            }
        }
        self.family.listen(&self.poll);
    }

    pub(super) fn accept_peers(&mut self) {
        while let Some(Ok((stream, _))) = self.family.listener.as_ref().map(UnixListener::accept) {
            if self.family.peers.len() >= MOST_PEERS {
                continue;
            }
            if let Err(e) = self.family.join(&self.poll, stream, Role::Caller, Vec::new()) {
                tracing::warn!("a newer process: {e}");
            }
        }
    }

    pub(super) fn peer_ready(&mut self, key: u64) {
        let Some(at) = self.family.at(key) else { return };
        let mut chunk = [0; 4096];
        let peer = &mut self.family.peers[at];
        // What is left comes with the next turn.
        let mut over = match peer.stream.read(&mut chunk) {
            Ok(0) => true,
            Ok(n) => {
                peer.input.extend(&chunk[..n]);
                false
            }
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        loop {
            match handover::next(&mut self.family.peers[at].input) {
                Ok(Some(message)) => over |= !self.peer_says(at, message),
                Ok(None) => break,
                Err(e) => {
                    tracing::error!("another process is not understood: {e}");
                    over = true;
                    break;
                }
            }
        }
        if over || self.family.flush(&self.poll, at).is_err() {
            self.peer_gone(at);
        }
    }

    /// False where the connection is of no more use.
    fn peer_says(&mut self, at: usize, message: Message) -> bool {
        match (self.family.peers[at].role, message) {
            (Role::Caller, Message::Hello { name, listen }) => {
                if name != self.config.name
                    || listen.port() != 0 && Some(listen) != self.listeners.pg_address()
                {
                    tracing::error!(%name, %listen, "a process of another gateway asks for this one's place");
                    return false;
                }
                self.bequeath(at)
            }
            (Role::Heir, Message::Taking { leases }) => {
                tracing::info!("a newer process takes the clients");
                self.family.peers[at].role = Role::Taker;
                self.family.peers[at].leases = leases;
                self.listeners.hand_over(&self.poll);
                true
            }
            (Role::Elder | Role::Heir | Role::Taker, Message::Enter(name)) => {
                self.registry.remember(&name);
                self.change_by_hand(&name, None).is_ok()
            }
            (Role::Elder | Role::Heir | Role::Taker, Message::Exit(name, ms)) => {
                self.registry.remember(&name);
                self.change_by_hand(&name, Some(ms)).is_ok()
            }
            (Role::Taker, Message::Cancel { session, secret }) => {
                self.cancel(session, secret);
                true
            }
            (Role::Elder | Role::Taker, Message::Claim(key)) => {
                tracing::debug!(key = key.0, "another process asks for the lease of a key");
                self.hear(at, PeerProcessEvent::ClaimsLease(key));
                true
            }
            (Role::Elder | Role::Taker, Message::Grant(key)) => {
                self.hear(at, PeerProcessEvent::GrantsLease(key));
                true
            }
            (Role::Elder | Role::Taker, Message::Settled(ms)) => {
                self.family.peers[at].settled_us = Some(self.time.now_us + ms.saturating_mul(1000));
                true
            }
            _ => {
                tracing::error!("another process says what it has no place to say");
                false
            }
        }
    }

    /// Tells a newer process all that it must know, with the listeners beside the first byte.
    fn bequeath(&mut self, at: usize) -> bool {
        let mut out = Vec::new();
        self.registry
            .known_names()
            .for_each(|(name, ms)| Message::Known(name.to_owned(), ms).write(&mut out));
        self.registry.endpoints().for_each(|l| Message::Listed(l.clone()).write(&mut out));
        self.registry.in_maintenance().for_each(|name| Message::Enter(name.to_owned()).write(&mut out));
        Message::End { cancels: true, leases: true }.write(&mut out);
        let peer = &mut self.family.peers[at];
        let fds: Vec<_> = self.listeners.all().map(AsFd::as_fd).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let sent = control.push(SendAncillaryMessage::ScmRights(&fds)).then(|| {
            rustix::net::sendmsg(&peer.stream, &[IoSlice::new(&out)], &mut control, SendFlags::NOSIGNAL)
        });
        match sent {
            Some(Ok(n)) => {
                peer.output = out.split_off(n);
                peer.role = Role::Heir;
                self.share_descriptors();
                true
            }
            failed => {
                tracing::error!(?failed, "a newer process can't be told");
                false
            }
        }
    }

    /// A CancelRequest names no session here: it may be one of the older process, whose clients call here too.
    pub(super) fn pass_cancel(&mut self, session: u32, secret: u32) {
        if let Some(at) = self.family.peers.iter().position(|p| p.role == Role::Elder && p.cancels) {
            Message::Cancel { session, secret }.write(&mut self.family.peers[at].output);
            if self.family.flush(&self.poll, at).is_err() {
                self.peer_gone(at);
            }
        }
    }

    fn hear(&mut self, at: usize, news: PeerProcessEvent) {
        let neighbour = PeerProcessId(self.family.peers[at].serial);
        self.inputs.push(Input::PeerProcess { peer: neighbour, event: news });
    }

    /// Tells another process, if it still lives.
    pub(super) fn tell_neighbour(&mut self, neighbour: PeerProcessId, message: &Message) {
        let Some(at) = self.family.peers.iter().position(|p| p.serial == neighbour.0) else { return };
        message.write(&mut self.family.peers[at].output);
        if self.family.flush(&self.poll, at).is_err() {
            self.peer_gone(at);
        }
    }

    /// This process ends: others that share its keys learn when what it leaves running is over.
    pub(super) fn settle_leases(&mut self) {
        let now_us = self.time.now_us;
        let rest_us =
            self.core.cooldown_after_exit_us(now_us, MAX_RUN_AFTER_LAST_CALL_US).saturating_sub(now_us);
        let sharing: Vec<u32> = self.family.peers.iter().filter(|p| p.leases).map(|p| p.serial).collect();
        for serial in sharing {
            self.tell_neighbour(PeerProcessId(serial), &Message::Settled(rest_us.div_ceil(1000)));
        }
    }

    fn peer_gone(&mut self, at: usize) {
        let peer = self.family.peers.remove(at);
        self.poll.remove(&peer.stream);
        if peer.leases {
            let silent_us = self.core.key_cooldown_end_us(self.time.now_us + MAX_RUN_AFTER_LAST_CALL_US);
            let over_us = peer.settled_us.unwrap_or(silent_us);
            self.inputs.push(Input::PeerProcess {
                peer: PeerProcessId(peer.serial),
                event: PeerProcessEvent::Ended { cooldown_until_us: over_us },
            });
        }
        // Whoever had taken this one's place, and the path to it, has ended first: all is as it was.
        if peer.role == Role::Taker && !self.shutdown.has_begun() && !self.family.is_followed() {
            tracing::warn!("the newer process has ended: taking clients again");
            self.listeners.take_back(&self.poll);
            self.family.listen(&self.poll);
        }
    }

    /// Tells all other processes of this gateway.
    pub(super) fn tell_family(&mut self, message: &Message) {
        for at in (0..self.family.peers.len()).rev() {
            if self.family.peers[at].role != Role::Caller {
                message.write(&mut self.family.peers[at].output);
                if self.family.flush(&self.poll, at).is_err() {
                    self.peer_gone(at);
                }
            }
        }
    }
}
