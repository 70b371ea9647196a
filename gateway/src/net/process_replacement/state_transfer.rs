//! The transfer of state from the predecessor to the successor, while the successor starts.

use std::io::{self, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use super::listener_passing::{receive_with_listeners, send_with_listeners, socket_path};
use super::peers::PeerRole;
use crate::config::Config;
use crate::discovery::EndpointListEvent;
use crate::net::Server;
use crate::process_replacement::messages::{self, Message, MessageError, PeerFeatures};

/// A predecessor that hasn't sent all of its state by then is not waited for.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// A longer state is an error, in bytes.
const MAX_STATE_BYTES: usize = 16 << 20;

/// Why the state of the predecessor can't be had.
#[derive(Debug, thiserror::Error)]
enum TransferError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Message(#[from] MessageError),
    #[error("the predecessor closed the connection before the end of its state")]
    Closed,
    #[error("the state is longer than {MAX_STATE_BYTES} bytes")]
    TooLong,
    #[error("the state is not complete after {} s", TRANSFER_TIMEOUT.as_secs())]
    TimedOut,
}

/// What a predecessor has sent.
pub struct PredecessorState {
    pub listeners: Vec<TcpListener>,
    pub messages: Vec<Message>,
    pub connection: PredecessorConnection,
}

/// The connection to a predecessor, for as long as both processes run.
pub struct PredecessorConnection {
    pub(super) stream: UnixStream,
    /// Input that came behind the state.
    pub(super) input: Vec<u8>,
    pub(super) features: PeerFeatures,
}

/// Gets the state of the predecessor, if there is one. Blocks for a little more than [`TRANSFER_TIMEOUT`] at most.
pub fn receive_state(config: &Config) -> Option<PredecessorState> {
    let path = socket_path(config)?;
    // Nobody listens: this process replaces none.
    let stream = UnixStream::connect(path).ok()?;
    match request_state(config, stream) {
        Ok(state) => Some(state),
        Err(error) => {
            tracing::error!(%error, "state transfer from the predecessor failed; starting without it");
            None
        }
    }
}

fn request_state(config: &Config, mut stream: UnixStream) -> Result<PredecessorState, TransferError> {
    let began = Instant::now();
    stream.set_read_timeout(Some(TRANSFER_TIMEOUT))?;
    stream.set_write_timeout(Some(TRANSFER_TIMEOUT))?;
    let mut hello = Vec::new();
    Message::Hello { gateway: config.name.clone(), listen_address: config.listen }.write(&mut hello);
    stream.write_all(&hello)?;
    let (mut input, mut listeners, mut received) = (Vec::new(), Vec::new(), Vec::new());
    let (mut total_bytes, mut chunk) = (0, [0; 16 * 1024]);
    loop {
        while let Some(message) = messages::read_next(&mut input)? {
            if let Message::EndOfState(features) = message {
                let connection = PredecessorConnection { stream, input, features };
                return Ok(PredecessorState { listeners, messages: received, connection });
            }
            received.push(message);
        }
        let bytes = receive_with_listeners(&stream, &mut chunk, &mut listeners)?;
        total_bytes += bytes;
        if bytes == 0 {
            return Err(TransferError::Closed);
        }
        if total_bytes > MAX_STATE_BYTES {
            return Err(TransferError::TooLong);
        }
        if began.elapsed() > TRANSFER_TIMEOUT {
            return Err(TransferError::TimedOut);
        }
        input.extend(&chunk[..bytes]);
    }
}

impl Server {
    /// Takes in the state of the predecessor. Its endpoint list is newer than the one in the configuration.
    pub(in crate::net) fn restore_state(&mut self, messages: Vec<Message>) {
        let mut entries = Vec::new();
        for message in messages {
            match message {
                Message::KnownEngine { name, maintenance_end_ms } => {
                    self.registry.restore(&name, maintenance_end_ms);
                }
                Message::Endpoint(endpoint) => entries.push(endpoint),
                Message::MaintenanceBegan { engine } => {
                    self.registry.remember(&engine);
                    // It has no entry yet; maintenance applies to the one that is taken in below.
                    let _ = self.registry.begin_maintenance(&engine);
                }
                _ => {}
            }
        }
        tracing::info!(
            engines = entries.len(),
            in_maintenance = self.registry.in_maintenance().count(),
            "state transferred from the predecessor"
        );
        if !entries.is_empty() {
            let event = EndpointListEvent { index: 0, is_full: true, entries, unreadable: Vec::new() };
            self.apply_list_event(&event);
        }
    }

    /// Sends the state and the listeners to a successor; false if its connection is of no more use.
    pub(super) fn send_state(&mut self, at: usize) -> bool {
        let mut output = Vec::new();
        for (name, maintenance_end_ms) in self.registry.known_names() {
            Message::KnownEngine { name: name.to_owned(), maintenance_end_ms }.write(&mut output);
        }
        for endpoint in self.registry.endpoints() {
            Message::Endpoint(endpoint.clone()).write(&mut output);
        }
        for engine in self.registry.in_maintenance() {
            Message::MaintenanceBegan { engine: engine.to_owned() }.write(&mut output);
        }
        let features = PeerFeatures { cancel_requests: true, key_leases: true };
        Message::EndOfState(features).write(&mut output);
        let peer = self.peer_processes.peer_mut(at);
        match send_with_listeners(peer.stream(), &output, self.listeners.all()) {
            Ok(sent) => {
                peer.role = PeerRole::StartingSuccessor;
                peer.queue_rest(output.split_off(sent));
                self.share_descriptors();
                true
            }
            Err(error) => {
                tracing::error!(%error, "state transfer to the successor failed");
                false
            }
        }
    }
}
