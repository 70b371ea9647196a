//! Connections to the peer processes of this gateway: its predecessor and its successors.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use super::listener_passing::listen_at;
use crate::core::PeerProcessId;
use crate::net::poll::{Interest, Poll, Trigger};
use crate::net::poll_key::PollKey;
use crate::process_replacement::messages::{self, Message, MessageError, PeerFeatures};

/// Maximum number of connections to peer processes. The platform may start more than one successor. Further connections
/// are closed on accept.
const MAX_PEERS: usize = 4;

const READABLE: Interest = Interest { read: true, write: false };

/// Role of a peer process in relation to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerRole {
    /// This process replaces the peer.
    Predecessor,
    /// The peer has connected and has not sent a valid hello message.
    Unidentified,
    /// The peer was sent the state and does not accept clients yet.
    StartingSuccessor,
    /// The peer accepts clients.
    Successor,
}

/// A peer process and the connection to it.
pub(super) struct PeerProcess {
    stream: UnixStream,
    id: PeerProcessId,
    pub(super) role: PeerRole,
    pub(super) features: PeerFeatures,
    /// Time by which the attempts left running by the peer have ended, including the key cooldown. Set when the peer
    /// announces its exit.
    pub(super) cooldown_until_us: Option<u64>,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl PeerProcess {
    pub(super) fn id(&self) -> PeerProcessId {
        self.id
    }

    pub(super) fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// The poller key of the connection.
    fn poll_key(&self) -> u64 {
        poll_key(self.id)
    }

    /// Reads one chunk of input. The poller reports remaining input in the next turn. Returns false if the connection
    /// is closed or broken.
    pub(super) fn read(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(bytes) => {
                self.input.extend(&chunk[..bytes]);
                true
            }
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Removes the next complete message from the input. Returns `None` if there is none.
    ///
    /// # Errors
    /// The input is not a valid message.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        messages::read_next(&mut self.input)
    }

    pub(super) fn queue(&mut self, message: &Message) {
        message.write(&mut self.output);
    }

    /// Sets the output to the remainder of bytes that were sent in part.
    pub(super) fn queue_remaining(&mut self, bytes: Vec<u8>) {
        self.output = bytes;
    }

    fn flush(&mut self, poll: &Poll) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => drop(self.output.drain(..bytes)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let interest = Interest { read: true, write: !self.output.is_empty() };
        poll.change(&self.stream, self.poll_key(), interest, Trigger::Level)
    }
}

fn poll_key(id: PeerProcessId) -> u64 {
    PollKey::PeerProcess(id.0).encode()
}

/// All peer processes, and the Unix socket at which this process listens for a successor.
#[derive(Default)]
pub struct PeerProcesses {
    pub(super) socket_path: Option<PathBuf>,
    listener: Option<UnixListener>,
    peers: Vec<PeerProcess>,
    last_id: u32,
}

impl PeerProcesses {
    /// Listens for a successor, replacing the socket of another process at the same path.
    pub(super) fn listen(&mut self, poll: &Poll) {
        let Some(path) = &self.socket_path else { return };
        let log_failure = |error: io::Error| {
            tracing::warn!(path = %path.display(), %error, "listening for a successor failed");
        };
        match listen_at(path) {
            Ok(listener) => {
                if let Some(old) = self.listener.take() {
                    poll.remove(&old);
                }
                if let Err(error) =
                    poll.add(&listener, PollKey::PeerListener.encode(), READABLE, Trigger::Level)
                {
                    return log_failure(error);
                }
                self.listener = Some(listener);
            }
            Err(error) => log_failure(error),
        }
    }

    /// Accepts all pending connections.
    pub(super) fn accept(&mut self, poll: &Poll) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
            if self.peers.len() >= MAX_PEERS {
                continue;
            }
            if let Err(error) = self.add(poll, stream, PeerRole::Unidentified, Vec::new()) {
                tracing::warn!(%error, "accepting a connection from a peer process failed");
            }
        }
    }

    /// Adds a connection, with input that was already read from it, and returns its index.
    ///
    /// # Errors
    /// Setting a socket option or registering the socket failed.
    pub(super) fn add(
        &mut self,
        poll: &Poll,
        stream: UnixStream,
        role: PeerRole,
        input: Vec<u8>,
    ) -> io::Result<usize> {
        stream.set_nonblocking(true)?;
        self.last_id = self.last_id.wrapping_add(1);
        let id = PeerProcessId(self.last_id);
        poll.add(&stream, poll_key(id), READABLE, Trigger::Level)?;
        self.peers.push(PeerProcess {
            stream,
            id,
            role,
            features: PeerFeatures::default(),
            cooldown_until_us: None,
            input,
            output: Vec::new(),
        });
        Ok(self.peers.len() - 1)
    }

    pub(super) fn remove(&mut self, poll: &Poll, index: usize) -> PeerProcess {
        let peer = self.peers.remove(index);
        poll.remove(&peer.stream);
        peer
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerProcess> {
        self.peers.iter()
    }

    pub(super) fn peer_mut(&mut self, index: usize) -> &mut PeerProcess {
        &mut self.peers[index]
    }

    /// Index of the peer with this poller key.
    pub(super) fn position_of_key(&self, key: u64) -> Option<usize> {
        self.peers.iter().position(|peer| peer.poll_key() == key)
    }

    pub(super) fn position_of(&self, id: PeerProcessId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.id == id)
    }

    /// Writes as much queued output of a peer as the socket accepts.
    ///
    /// # Errors
    /// Writing failed; the connection is unusable.
    pub(super) fn flush(&mut self, poll: &Poll, index: usize) -> io::Result<()> {
        self.peers[index].flush(poll)
    }

    /// Whether this process has neither a predecessor nor a peer that has sent a valid hello message.
    pub fn none_known(&self) -> bool {
        self.peers.iter().all(|peer| peer.role == PeerRole::Unidentified)
    }

    /// Whether a successor accepts clients.
    pub(super) fn has_successor(&self) -> bool {
        self.peers.iter().any(|peer| peer.role == PeerRole::Successor)
    }
}
