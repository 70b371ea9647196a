//! Process replacement: connects a new process to its predecessor, transfers listeners and state, and exchanges
//! messages while both processes serve as one gateway.

mod listener_passing;
mod peers;
mod state_transfer;

pub use peers::PeerProcesses;
pub use state_transfer::{PredecessorConnection, receive_state};

use peers::{PeerProcess, PeerRole};

use super::Server;
use super::admin::MaintenanceChange;
use crate::core::{Input, PeerProcessEvent, PeerProcessId};
use crate::engine::http::MAX_RUN_AFTER_LAST_CALL_US;
use crate::process_replacement::Message;

impl Server {
    /// Notifies the predecessor, if there is one, that this process accepts clients, and listens for a successor.
    pub(super) fn start_peer_processes(&mut self, predecessor: Option<PredecessorConnection>) {
        self.peer_processes.socket_path = listener_passing::socket_path(&self.config);
        if let Some(predecessor) = predecessor {
            self.add_predecessor(predecessor);
        }
        self.peer_processes.listen(&self.poll);
    }

    fn add_predecessor(&mut self, predecessor: PredecessorConnection) {
        let PredecessorConnection { stream, input, features } = predecessor;
        let index = match self.peer_processes.add(&self.poll, stream, PeerRole::Predecessor, input) {
            Ok(index) => index,
            Err(error) => return tracing::warn!(%error, "connecting to the predecessor failed"),
        };
        let peer = self.peer_processes.peer_mut(index);
        peer.features = features;
        peer.queue(&Message::AcceptingClients { key_leases: features.key_leases });
        if features.key_leases {
            self.push_peer_event(index, PeerProcessEvent::BecamePredecessor);
        }
        self.handle_peer_input(index);
    }

    pub(super) fn accept_peer_processes(&mut self) {
        self.peer_processes.accept(&self.poll);
    }

    /// Handles a poller event of a peer process.
    pub(super) fn peer_process_ready(&mut self, key: u64) {
        if let Some(index) = self.peer_processes.position_of_key(key) {
            self.handle_peer_input(index);
        }
    }

    fn handle_peer_input(&mut self, index: usize) {
        let mut keep_open = self.peer_processes.peer_mut(index).read();
        loop {
            match self.peer_processes.peer_mut(index).next_message() {
                Ok(Some(message)) => keep_open &= self.on_peer_message(index, message),
                Ok(None) => break,
                Err(error) => {
                    tracing::error!(%error, "invalid message from a peer process");
                    keep_open = false;
                    break;
                }
            }
        }
        if !keep_open || self.peer_processes.flush(&self.poll, index).is_err() {
            self.remove_peer_process(index);
        }
    }

    /// Handles a message of a peer process. Returns false if the connection must be closed.
    fn on_peer_message(&mut self, index: usize, message: Message) -> bool {
        use PeerRole::{Predecessor, StartingSuccessor, Successor, Unidentified};
        let role = self.peer_processes.peer_mut(index).role;
        match (role, message) {
            (Unidentified, Message::Hello { gateway, listen_address }) => {
                let is_same_address =
                    listen_address.port() == 0 || Some(listen_address) == self.listeners.pg_address();
                if gateway != self.config.name || !is_same_address {
                    tracing::error!(%gateway, %listen_address, "replacement by another gateway rejected");
                    return false;
                }
                self.send_state(index)
            }
            (StartingSuccessor, Message::AcceptingClients { key_leases }) => {
                tracing::info!("successor accepts clients");
                let peer = self.peer_processes.peer_mut(index);
                peer.role = Successor;
                peer.features.key_leases = key_leases;
                self.listeners.hand_over(&self.poll);
                true
            }
            (Predecessor | StartingSuccessor | Successor, Message::MaintenanceBegan { engine }) => {
                self.registry.remember(&engine);
                self.change_maintenance(&engine, MaintenanceChange::Enter).is_ok()
            }
            (Predecessor | StartingSuccessor | Successor, Message::MaintenanceEnded { engine, end_ms }) => {
                self.registry.remember(&engine);
                self.change_maintenance(&engine, MaintenanceChange::Exit { at_ms: end_ms }).is_ok()
            }
            (Successor, Message::CancelRequest { session, secret }) => {
                self.cancel(session, secret);
                true
            }
            (Predecessor | Successor, Message::ClaimLease(key)) => {
                tracing::debug!(key = key.0, "peer process claims the lease of a key");
                self.push_peer_event(index, PeerProcessEvent::ClaimsLease(key));
                true
            }
            (Predecessor | Successor, Message::GrantLease(key)) => {
                self.push_peer_event(index, PeerProcessEvent::GrantsLease(key));
                true
            }
            (Predecessor | Successor, Message::Exiting { cooldown_ms }) => {
                let cooldown_until_us = self.time.now_us + cooldown_ms.saturating_mul(1000);
                self.peer_processes.peer_mut(index).cooldown_until_us = Some(cooldown_until_us);
                true
            }
            (role, _) => {
                tracing::error!(?role, "unexpected message from a peer process");
                false
            }
        }
    }

    fn push_peer_event(&mut self, index: usize, event: PeerProcessEvent) {
        let peer = self.peer_processes.peer_mut(index).id();
        self.inputs.push(Input::PeerProcess { peer, event });
    }

    /// Forwards a CancelRequest for an unknown session to the predecessor. New connections of the predecessor's clients
    /// arrive at this process.
    pub(super) fn forward_cancel_request(&mut self, session: u32, secret: u32) {
        let forwards_to =
            |peer: &PeerProcess| peer.role == PeerRole::Predecessor && peer.features.cancel_requests;
        let index = self.peer_processes.iter().position(forwards_to);
        if let Some(index) = index {
            self.send_to_peer_at(index, &Message::CancelRequest { session, secret });
        }
    }

    /// Sends a message to a peer process, if it is still connected.
    pub(super) fn send_to_peer(&mut self, peer: PeerProcessId, message: &Message) {
        if let Some(index) = self.peer_processes.position_of(peer) {
            self.send_to_peer_at(index, message);
        }
    }

    /// Sends a message to all peer processes that have identified themselves as processes of this gateway.
    pub(super) fn send_to_all_peers(&mut self, message: &Message) {
        // Iterates backwards, as sending removes a peer whose connection is broken.
        for index in (0..self.peer_processes.len()).rev() {
            if self.peer_processes.peer_mut(index).role != PeerRole::Unidentified {
                self.send_to_peer_at(index, message);
            }
        }
    }

    fn send_to_peer_at(&mut self, index: usize, message: &Message) {
        self.peer_processes.peer_mut(index).queue(message);
        if self.peer_processes.flush(&self.poll, index).is_err() {
            self.remove_peer_process(index);
        }
    }

    /// Notifies peers that share key leases of the time by which all attempts with an order key that this process
    /// leaves running have ended, including the key cooldown.
    pub(super) fn announce_exit_to_peers(&mut self) {
        let now_us = self.time.now_us;
        let cooldown_us =
            self.core.exit_cooldown_end_us(now_us, MAX_RUN_AFTER_LAST_CALL_US).saturating_sub(now_us);
        let peers = self.peer_processes.iter().filter(|peer| peer.features.key_leases);
        let peers: Vec<PeerProcessId> = peers.map(|peer| peer.id()).collect();
        for peer in peers {
            self.send_to_peer(peer, &Message::Exiting { cooldown_ms: cooldown_us.div_ceil(1000) });
        }
    }

    fn remove_peer_process(&mut self, index: usize) {
        let peer = self.peer_processes.remove(&self.poll, index);
        if peer.features.key_leases {
            // A process that exited unannounced may have left attempts that run as long as engines allow.
            let latest_us = self.core.key_cooldown_end_us(self.time.now_us + MAX_RUN_AFTER_LAST_CALL_US);
            let cooldown_until_us = peer.cooldown_until_us.unwrap_or(latest_us);
            let event = PeerProcessEvent::Exited { cooldown_until_us };
            self.inputs.push(Input::PeerProcess { peer: peer.id(), event });
        }
        // If the successor ends before this process, this process accepts clients again and listens for another
        // successor.
        if peer.role == PeerRole::Successor
            && !self.shutdown.has_begun()
            && !self.peer_processes.has_successor()
        {
            tracing::warn!("successor ended; accepting clients again");
            self.listeners.take_back(&self.poll);
            self.peer_processes.listen(&self.poll);
        }
    }
}
