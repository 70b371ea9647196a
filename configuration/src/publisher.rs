//! The control plane server's side: which gateway is sent which version, and when.
//!
//! A gateway has at most one message with configuration unreported. Versions that are published meanwhile are merged:
//! the next message leads from the version that the gateway has to the newest. A gateway that refuses the newest
//! version gets the newest that it has not refused.

mod gateway_state;
mod history;
mod status;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::Document;
use crate::message::{Message, Report};
use crate::pacing::{Pacer, Pacing};
use crate::version::{Digest, GatewayId, Version};

pub use gateway_state::{HEARTBEAT_INTERVAL_US, MAX_REPORT_TIMEOUT_US, REPORT_TIMEOUT_US, RefusedVersion};
pub use history::HISTORY_VERSIONS;
pub use status::{GatewayStatus, Status};

use gateway_state::GatewayState;
use history::History;

/// Gateways that are known at once; beyond that, those without a stream are forgotten.
pub const MAX_KNOWN_GATEWAYS: usize = 4_096;

/// A gateway that claims a version this far ahead of the newest is not believed.
const MAX_VERSIONS_AHEAD: u64 = 1 << 32;

/// Identifies a stream of a gateway, to tell the late end of an old stream from the end of the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// An encoded message. A copy shares the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Its version.
    pub version: Version,
    /// The JSON text, without line breaks.
    pub text: Arc<str>,
}

/// Why a version can't be published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// It is not newer than the newest version here.
    #[error("version {version} is not newer than {newest}, which is here")]
    NotNewer {
        /// The version.
        version: Version,
        /// The newest version here.
        newest: Version,
    },
    /// A gateway has that version or a newer one, which this server has not got from another server yet.
    #[error("version {version} is not newer than {reported}, which a gateway has")]
    AlreadyReported {
        /// The version.
        version: Version,
        /// The newest version that a gateway has.
        reported: Version,
    },
}

/// What became of a version from another control plane server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// It is newer, and the newest here from now on.
    Added,
    /// It is the newest here already.
    Same,
    /// It is older than the newest here.
    Older,
    /// The newest here has the same number and other contents; it stays. A newer version has to be published.
    Conflict,
}

/// A control plane server's versions of the configuration, and its gateways.
#[derive(Debug)]
pub struct Publisher {
    pacing: Pacing,
    pacer: Pacer,
    history: History,
    newest_reported: Version,
    conflict: Option<Version>,
    gateways: BTreeMap<GatewayId, GatewayState>,
    connections: u64,
    messages_sent: u64,
}

impl Publisher {
    /// A server without any version.
    pub fn new(pacing: Pacing) -> Self {
        Self {
            pacing,
            pacer: Pacer::new(pacing),
            history: History::default(),
            newest_reported: Version::NONE,
            conflict: None,
            gateways: BTreeMap::new(),
            connections: 0,
            messages_sent: 0,
        }
    }

    /// Publishes a version. Publishing the newest version once more changes nothing.
    ///
    /// # Errors
    /// It is not newer than every version known of.
    pub fn publish(&mut self, version: Version, document: Document) -> Result<(), PublishError> {
        let newest = self.history.newest();
        let is_newest = version == newest && version > Version::NONE;
        if is_newest && self.history.digest(version) == Some(document.digest()) {
            return Ok(());
        }
        if version <= newest {
            return Err(PublishError::NotNewer { version, newest });
        }
        if version <= self.newest_reported {
            return Err(PublishError::AlreadyReported { version, reported: self.newest_reported });
        }
        self.history.push(version, document);
        Ok(())
    }

    /// The lowest version that may be published.
    pub fn next_version(&self) -> Version {
        Version(self.history.newest().max(self.newest_reported).0.saturating_add(1))
    }

    /// Takes the newest version of another control plane server.
    pub fn merge(&mut self, version: Version, document: Document) -> MergeResult {
        let newest = self.history.newest();
        if version < newest || version == Version::NONE {
            return MergeResult::Older;
        }
        if version > newest {
            self.history.push(version, document);
            return MergeResult::Added;
        }
        if self.history.digest(version) == Some(document.digest()) {
            return MergeResult::Same;
        }
        self.conflict = Some(version);
        MergeResult::Conflict
    }

    /// The newest version and its document; none while nothing was published.
    pub fn newest(&self) -> Option<(Version, &Document)> {
        Some((self.history.newest(), self.history.newest_document()?))
    }

    /// A gateway has opened a stream and says which version it has. An earlier stream of it no longer counts.
    pub fn connect(
        &mut self,
        now_us: u64,
        gateway: GatewayId,
        version: Version,
        digest: Digest,
    ) -> ConnectionId {
        self.note_reported_version(version);
        self.forget_disconnected();
        self.connections += 1;
        let connection = ConnectionId(self.connections);
        let gateway_state = GatewayState::new(now_us, connection, self.messages_sent, version, digest);
        self.gateways.insert(gateway, gateway_state);
        connection
    }

    /// A stream of a gateway has ended.
    pub fn disconnect(&mut self, gateway: &GatewayId, connection: ConnectionId) {
        let gateway_state =
            self.gateways.get_mut(gateway).filter(|gateway_state| gateway_state.connection == connection);
        if let Some(gateway_state) = gateway_state {
            gateway_state.is_connected = false;
        }
    }

    /// A gateway reports what became of a version.
    pub fn report(&mut self, gateway: &GatewayId, report: Report) {
        let history = &self.history;
        let gateway_state = self.gateways.get_mut(gateway).filter(|gateway_state| gateway_state.is_connected);
        if let Some(gateway_state) = gateway_state {
            gateway_state.on_report(report, |version| history.digest(version));
        }
    }

    /// The messages to send now: configuration as far as the rate limits allow, first to gateways served longest ago,
    /// and heartbeats.
    pub fn due(&mut self, now_us: u64) -> Vec<(GatewayId, OutgoingMessage)> {
        let mut outgoing = Vec::new();
        self.add_configuration(now_us, &mut outgoing);
        self.add_heartbeats(now_us, &mut outgoing);
        outgoing
    }

    /// When to call [`Publisher::due`] again if nothing else happens, in microseconds; none while no gateway is connected.
    pub fn next_due_us(&self) -> Option<u64> {
        let free_us = self.pacer.free_at_us();
        let next = |gateway_state: &GatewayState| {
            let target = gateway_state.target(self.history.descending());
            let ready_us = target.map(|target| gateway_state.ready_at_us(target).max(free_us));
            ready_us.into_iter().chain(gateway_state.heartbeat_at_us()).min()
        };
        self.gateways.values().filter_map(next).min()
    }

    /// The state of all gateways.
    pub fn status(&self) -> Status {
        let row = |(gateway, gateway_state): (&GatewayId, &GatewayState)| GatewayStatus {
            gateway: gateway.clone(),
            is_connected: gateway_state.is_connected,
            version: gateway_state.version,
            refused: gateway_state.refused.iter().max_by_key(|refused| refused.version).cloned(),
        };
        Status {
            newest: self.history.newest(),
            newest_reported: self.newest_reported,
            conflict: self.conflict.filter(|version| *version == self.history.newest()),
            gateways: self.gateways.iter().map(row).collect(),
        }
    }

    fn add_configuration(&mut self, now_us: u64, outgoing: &mut Vec<(GatewayId, OutgoingMessage)>) {
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

    /// Gateways that may be sent a version now, each with its version; served longest ago first.
    fn ready(&self, now_us: u64) -> Vec<(GatewayId, Version)> {
        let mut ready = Vec::new();
        for (gateway, gateway_state) in &self.gateways {
            let target = gateway_state.target(self.history.descending());
            if let Some(version) = target.filter(|version| gateway_state.ready_at_us(*version) <= now_us) {
                ready.push((gateway_state.last_served, gateway, version));
            }
        }
        ready.sort_by_key(|(served, ..)| *served);
        ready.into_iter().map(|(_, gateway, version)| (gateway.clone(), version)).collect()
    }

    fn send(
        &mut self,
        now_us: u64,
        gateway: GatewayId,
        version: Version,
    ) -> Option<(GatewayId, OutgoingMessage)> {
        let gateway_state = self.gateways.get_mut(&gateway)?;
        let text = self.history.text_for(gateway_state.version, gateway_state.digest, version)?;
        self.pacer.spend(now_us, text.len());
        self.messages_sent += 1;
        gateway_state.on_sent(now_us, self.pacing.gap_us, self.messages_sent, version);
        Some((gateway, OutgoingMessage { version, text }))
    }

    fn add_heartbeats(&mut self, now_us: u64, outgoing: &mut Vec<(GatewayId, OutgoingMessage)>) {
        let version = self.history.newest();
        let text: Arc<str> = Message::Current(version).encode().into();
        for (gateway, gateway_state) in &mut self.gateways {
            if gateway_state.heartbeat_at_us().is_some_and(|at_us| at_us <= now_us) {
                gateway_state.on_heartbeat_sent(now_us);
                outgoing.push((gateway.clone(), OutgoingMessage { version, text: text.clone() }));
            }
        }
    }

    fn note_reported_version(&mut self, version: Version) {
        if version.0 <= self.history.newest().0.saturating_add(MAX_VERSIONS_AHEAD) {
            self.newest_reported = self.newest_reported.max(version);
        }
    }

    fn forget_disconnected(&mut self) {
        if self.gateways.len() >= MAX_KNOWN_GATEWAYS {
            self.gateways.retain(|_, gateway_state| gateway_state.is_connected);
        }
    }
}

#[cfg(test)]
mod tests;
