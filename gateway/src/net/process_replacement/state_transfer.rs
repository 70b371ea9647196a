//! Transfer of the listeners, the endpoint list and the maintenance states from the predecessor to a starting
//! successor.

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

/// Time limit for the transfer. After it, the successor starts without the state.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the transferred state.
const MAX_STATE_BYTES: usize = 16 << 20;

/// A failure to receive the predecessor's state.
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

/// The state received from a predecessor.
pub struct PredecessorState {
    pub listeners: Vec<TcpListener>,
    pub messages: Vec<Message>,
    pub connection: PredecessorConnection,
}

/// The connection to a predecessor after the transfer. It stays open while both processes run.
pub struct PredecessorConnection {
    pub(super) stream: UnixStream,
    /// Input that followed the state.
    pub(super) input: Vec<u8>,
    pub(super) features: PeerFeatures,
}

/// Receives the state of the predecessor, if there is one. Blocks for about twice [`TRANSFER_TIMEOUT`] at most, as the
/// limit also applies to a single read or write.
pub fn receive_state(config: &Config) -> Option<PredecessorState> {
    let path = socket_path(config)?;
    // A failure to connect means that there is no predecessor.
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
    /// Applies the state of the predecessor. The predecessor's endpoint list is newer than the one in the
    /// configuration.
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
                    // The returned event is not applied: maintenance applies to the entry that is added below.
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

    /// Sends the state and the listeners to a successor. Returns false if the connection must be closed.
    pub(super) fn send_state(&mut self, index: usize) -> bool {
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
        let peer = self.peer_processes.peer_mut(index);
        match send_with_listeners(peer.stream(), &output, self.listeners.all()) {
            Ok(sent) => {
                peer.role = PeerRole::StartingSuccessor;
                peer.queue_remaining(output.split_off(sent));
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
