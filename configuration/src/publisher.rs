//! A control machine's side: which gateway is sent what, and when.
//!
//! A gateway has one message with configuration on its way at a time. Versions that come up meanwhile are merged:
//! the next message leads from what it has to the newest. A gateway that refuses the newest gets the newest that it
//! does not refuse.

mod history;
mod peer;
mod status;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Message, Report};
use crate::pacing::{Pacer, Pacing};
use crate::version::{Digest, GatewayId, Version};

pub use history::HISTORY_VERSIONS;
pub use peer::{HEARTBEAT_US, REPORT_TIMEOUT_MOST_US, REPORT_TIMEOUT_US, RefusedVersion};
pub use status::{GatewayStatus, Status};

use history::History;
use peer::Peer;

/// Gateways that are remembered; beyond that, those without a stream are forgotten.
pub const REMEMBERED_GATEWAYS: usize = 4_096;

/// A gateway can't have a version that is so far ahead: what it says is not believed.
const MOST_AHEAD: u64 = 1 << 32;

/// One stream of a gateway: tells a late end of an old stream from the end of the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection(u64);

/// An encoded message. A copy shares the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The version that it is about.
    pub version: Version,
    /// The JSON text, without line breaks.
    pub text: Arc<str>,
}

/// Why a version can't be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// It is not newer than what is there.
    #[error("version {version} is not newer than {newest}, which is here")]
    NotNewer {
        /// Which.
        version: Version,
        /// What is here.
        newest: Version,
    },
    /// A gateway has a newer one, which this machine has not heard of yet from another.
    #[error("version {version} is not newer than {heard}, which a gateway has")]
    Heard {
        /// Which.
        version: Version,
        /// What a gateway has.
        heard: Version,
    },
}

/// What became of a version that another control machine told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It is newer, and the newest here from now on.
    Taken,
    /// It is here.
    Same,
    /// It is older than the newest here.
    Older,
    /// The newest here has the same number and other contents; it stays. A newer version has to be published.
    Conflict,
}

/// The configuration of all gateways of a control machine.
#[derive(Debug)]
pub struct Publisher {
    pacing: Pacing,
    pacer: Pacer,
    history: History,
    newest_heard: Version,
    conflict: Option<Version>,
    peers: BTreeMap<GatewayId, Peer>,
    connections: u64,
    served: u64,
}

impl Publisher {
    /// A control machine that has no version yet.
    pub fn new(pacing: Pacing) -> Self {
        Self {
            pacing,
            pacer: Pacer::new(pacing),
            history: History::default(),
            newest_heard: Version::NONE,
            conflict: None,
            peers: BTreeMap::new(),
            connections: 0,
            served: 0,
        }
    }

    /// Publishes a version. Publishing what is the newest already changes nothing.
    ///
    /// # Errors
    /// It is not newer than all that is known of.
    pub fn publish(&mut self, version: Version, document: Document) -> Result<(), PublishError> {
        let newest = self.history.newest();
        let is_newest = version == newest && version > Version::NONE;
        if is_newest && self.history.digest(version) == Some(document.digest()) {
            return Ok(());
        }
        if version <= newest {
            return Err(PublishError::NotNewer { version, newest });
        }
        if version <= self.newest_heard {
            return Err(PublishError::Heard { version, heard: self.newest_heard });
        }
        self.history.push(version, document);
        Ok(())
    }

    /// The lowest version that may be published.
    pub fn next_version(&self) -> Version {
        Version(self.history.newest().max(self.newest_heard).0.saturating_add(1))
    }

    /// Takes the newest version of another control machine.
    pub fn merge(&mut self, version: Version, document: Document) -> Merge {
        let newest = self.history.newest();
        if version < newest || version == Version::NONE {
            return Merge::Older;
        }
        if version > newest {
            self.history.push(version, document);
            return Merge::Taken;
        }
        if self.history.digest(version) == Some(document.digest()) {
            return Merge::Same;
        }
        self.conflict = Some(version);
        Merge::Conflict
    }

    /// The newest version and its document; none while nothing was published.
    pub fn newest(&self) -> Option<(Version, &Document)> {
        Some((self.history.newest(), self.history.newest_document()?))
    }

    /// A gateway has opened a stream and says what it has. A stream that it had before does not count any more.
    pub fn join(&mut self, now_us: u64, gateway: GatewayId, version: Version, digest: Digest) -> Connection {
        self.hear(version);
        self.forget();
        self.connections += 1;
        let connection = Connection(self.connections);
        let peer = Peer::new(now_us, connection, self.served, version, digest);
        self.peers.insert(gateway, peer);
        connection
    }

    /// A stream of a gateway has ended.
    pub fn leave(&mut self, gateway: &GatewayId, connection: Connection) {
        let peer = self.peers.get_mut(gateway).filter(|peer| peer.connection == connection);
        if let Some(peer) = peer {
            peer.is_connected = false;
        }
    }

    /// A gateway says what became of a version.
    pub fn report(&mut self, gateway: &GatewayId, report: Report) {
        let history = &self.history;
        let peer = self.peers.get_mut(gateway).filter(|peer| peer.is_connected);
        if let Some(peer) = peer {
            peer.reported(report, |version| history.digest(version));
        }
    }

    /// What has to go out now: configuration as far as the budget lasts, to those first who were served longest
    /// ago, and heartbeats.
    pub fn due(&mut self, now_us: u64) -> Vec<(GatewayId, Outgoing)> {
        let mut outgoing = Vec::new();
        self.add_configuration(now_us, &mut outgoing);
        self.add_heartbeats(now_us, &mut outgoing);
        outgoing
    }

    /// When to ask again what is due, if nothing else happens; none while no gateway is connected.
    pub fn next_due_us(&self) -> Option<u64> {
        let free_us = self.pacer.free_at_us();
        let next = |peer: &Peer| {
            let target = peer.target(self.history.descending());
            let ready_us = target.map(|target| peer.ready_at_us(target).max(free_us));
            ready_us.into_iter().chain(peer.heartbeat_at_us()).min()
        };
        self.peers.values().filter_map(next).min()
    }

    /// Who has what.
    pub fn status(&self) -> Status {
        let row = |(gateway, peer): (&GatewayId, &Peer)| GatewayStatus {
            gateway: gateway.clone(),
            is_connected: peer.is_connected,
            version: peer.version,
            refused: peer.refused.iter().max_by_key(|refused| refused.version).cloned(),
        };
        Status {
            newest: self.history.newest(),
            newest_heard: self.newest_heard,
            conflict: self.conflict.filter(|version| *version == self.history.newest()),
            gateways: self.peers.iter().map(row).collect(),
        }
    }

    fn add_configuration(&mut self, now_us: u64, outgoing: &mut Vec<(GatewayId, Outgoing)>) {
        if self.pacer.free_at_us() > now_us {
            return;
        }
        for (gateway, version) in self.ready(now_us) {
            if self.pacer.free_at_us() > now_us {
                return;
            }
            outgoing.extend(self.send(now_us, gateway, version));
        }
    }

    /// Gateways that may be sent a version now, and which; served longest ago first.
    fn ready(&self, now_us: u64) -> Vec<(GatewayId, Version)> {
        let mut ready = Vec::new();
        for (gateway, peer) in &self.peers {
            let target = peer.target(self.history.descending());
            if let Some(version) = target.filter(|version| peer.ready_at_us(*version) <= now_us) {
                ready.push((peer.served, gateway, version));
            }
        }
        ready.sort_by_key(|(served, ..)| *served);
        ready.into_iter().map(|(_, gateway, version)| (gateway.clone(), version)).collect()
    }

    fn send(&mut self, now_us: u64, gateway: GatewayId, version: Version) -> Option<(GatewayId, Outgoing)> {
        let peer = self.peers.get_mut(&gateway)?;
        let text = self.history.text_for(peer.version, peer.digest, version)?;
        self.pacer.spend(now_us, text.len());
        self.served += 1;
        peer.sent(now_us, self.pacing.gap_us, self.served, version);
        Some((gateway, Outgoing { version, text }))
    }

    fn add_heartbeats(&mut self, now_us: u64, outgoing: &mut Vec<(GatewayId, Outgoing)>) {
        let version = self.history.newest();
        let text: Arc<str> = Message::Current(version).encode().into();
        for (gateway, peer) in &mut self.peers {
            if peer.heartbeat_at_us().is_some_and(|at_us| at_us <= now_us) {
                peer.sent_heartbeat(now_us);
                outgoing.push((gateway.clone(), Outgoing { version, text: text.clone() }));
            }
        }
    }

    fn hear(&mut self, version: Version) {
        if version.0 <= self.history.newest().0.saturating_add(MOST_AHEAD) {
            self.newest_heard = self.newest_heard.max(version);
        }
    }

    fn forget(&mut self) {
        if self.peers.len() >= REMEMBERED_GATEWAYS {
            self.peers.retain(|_, peer| peer.is_connected);
        }
    }
}

#[cfg(test)]
mod tests;
