//! The publisher of a control plane server: stores the newest versions and schedules messages to the gateways.
//!
//! A gateway is sent the next message with configuration after it has reported the result of the previous one, or
//! after a timeout. Versions published in the meantime are coalesced: the next message updates the gateway to the
//! newest version. A gateway that refuses the newest version is sent the newest version that it has not refused, unless
//! that version is older than the one in force there.

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

/// Number of tracked gateways at which [`Publisher::connect`] removes those without a stream. Connected gateways are
/// tracked beyond this number.
pub const MAX_KNOWN_GATEWAYS: usize = 4_096;

/// If the version of a connecting gateway exceeds the newest version of this server by more than this number, it does
/// not raise [`Publisher::next_version`]. This prevents a gateway from exhausting the version numbers.
const MAX_VERSIONS_AHEAD: u64 = 1 << 32;

/// Identifies a stream of a gateway, so that the late end of an old stream does not disconnect the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// An encoded message. Clones share the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Version of the message, see [`Message::version`].
    pub version: Version,
    /// JSON on a single line.
    pub text: Arc<str>,
}

/// Error of [`Publisher::publish`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The version is not newer than the newest version of this server.
    #[error("version {version} is not newer than {newest}, the newest version of this server")]
    NotNewer {
        /// Rejected version.
        version: Version,
        /// Newest version of this server.
        newest: Version,
    },
    /// A gateway has this version or a newer one from another server, which this server has not received yet.
    #[error("version {version} is not newer than {reported}, which a gateway has reported")]
    AlreadyReported {
        /// Rejected version.
        version: Version,
        /// Newest version that a gateway has reported.
        reported: Version,
    },
}

/// Result of merging a version from another control plane server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The version is newer and was added as the newest version.
    Added,
    /// The version and its document equal the newest version of this server.
    Same,
    /// The version is older than the newest version of this server, or is [`Version::NONE`].
    Older,
    /// The newest version of this server has the same number and a different document, which is kept. Publishing a
    /// newer version resolves the conflict.
    Conflict,
}

/// State of a control plane server: versions of the configuration, and the gateways that receive them.
#[derive(Debug)]
pub struct Publisher {
    pacing: Pacing,
    pacer: Pacer,
    history: History,
    newest_reported: Version,
    conflict: Option<Version>,
    gateways: BTreeMap<GatewayId, GatewayState>,
    connections_opened: u64,
    messages_sent: u64,
}

impl Publisher {
    /// Creates a publisher without versions.
    pub fn new(pacing: Pacing) -> Self {
        Self {
            pacing,
            pacer: Pacer::new(pacing),
            history: History::default(),
            newest_reported: Version::NONE,
            conflict: None,
            gateways: BTreeMap::new(),
            connections_opened: 0,
            messages_sent: 0,
        }
    }

    /// Publishes a version. Publishing the newest version again with the same document has no effect.
    ///
    /// # Errors
    /// The version is [`Version::NONE`], or the newest version of this server or the newest reported version is the
    /// same or newer.
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

    /// Lowest version number that can be published.
    pub fn next_version(&self) -> Version {
        Version(self.history.newest().max(self.newest_reported).0.saturating_add(1))
    }

    /// Merges the newest version of another control plane server.
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

    /// Newest version and its document, or `None` before the first version.
    pub fn newest(&self) -> Option<(Version, &Document)> {
        Some((self.history.newest(), self.history.newest_document()?))
    }

    /// Registers a stream that a gateway has opened, with the version and digest in force there. The new stream
    /// replaces an earlier stream of the same gateway.
    pub fn connect(
        &mut self,
        now_us: u64,
        gateway: GatewayId,
        version: Version,
        digest: Digest,
    ) -> ConnectionId {
        self.record_reported_version(version);
        self.remove_disconnected();
        self.connections_opened += 1;
        let connection = ConnectionId(self.connections_opened);
        let gateway_state = GatewayState::new(now_us, connection, self.messages_sent, version, digest);
        self.gateways.insert(gateway, gateway_state);
        connection
    }

    /// Unregisters a stream of a gateway. Has no effect if a newer stream of the gateway is registered.
    pub fn disconnect(&mut self, gateway: &GatewayId, connection: ConnectionId) {
        let gateway_state =
            self.gateways.get_mut(gateway).filter(|gateway_state| gateway_state.connection == connection);
        if let Some(gateway_state) = gateway_state {
            gateway_state.is_connected = false;
        }
    }

    /// Processes a report of a gateway. The report is ignored if the gateway has no stream, or if the report neither
    /// answers the latest message with configuration on the stream nor corrects an earlier report.
    pub fn report(&mut self, gateway: &GatewayId, report: Report) {
        let history = &self.history;
        let gateway_state = self.gateways.get_mut(gateway).filter(|gateway_state| gateway_state.is_connected);
        if let Some(gateway_state) = gateway_state {
            gateway_state.on_report(report, |version| history.digest(version));
        }
    }

    /// Returns the messages to send now, and records them as sent: configuration within the rate limits, starting with
    /// the least recently served gateway, and heartbeats.
    pub fn due_messages(&mut self, now_us: u64) -> Vec<(GatewayId, OutgoingMessage)> {
        let mut outgoing = Vec::new();
        self.add_configuration(now_us, &mut outgoing);
        self.add_heartbeats(now_us, &mut outgoing);
        outgoing
    }

    /// Time at which the next message is due if no other method is called first, in microseconds. Can be in the
    /// past. `None` while no gateway is connected.
    pub fn next_due_us(&self) -> Option<u64> {
        let free_us = self.pacer.free_at_us();
        let next = |gateway_state: &GatewayState| {
            let target = gateway_state.target(self.history.descending());
            let ready_us = target.map(|target| gateway_state.ready_at_us(target).max(free_us));
            ready_us.into_iter().chain(gateway_state.heartbeat_at_us()).min()
        };
        self.gateways.values().filter_map(next).min()
    }

    /// Status of this server and its gateways, for operators.
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

    /// Gateways that can be sent a version now, least recently served first, each with the version to send.
    fn ready(&self, now_us: u64) -> Vec<(GatewayId, Version)> {
        let mut ready = Vec::new();
        for (gateway, gateway_state) in &self.gateways {
            let target = gateway_state.target(self.history.descending());
            if let Some(version) = target.filter(|version| gateway_state.ready_at_us(*version) <= now_us) {
                ready.push((gateway_state.last_served, gateway, version));
            }
        }
        ready.sort_by_key(|(last_served, ..)| *last_served);
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
        gateway_state.on_sent(now_us, self.pacing.min_interval_us, self.messages_sent, version);
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

    fn record_reported_version(&mut self, version: Version) {
        if version.0 <= self.history.newest().0.saturating_add(MAX_VERSIONS_AHEAD) {
            self.newest_reported = self.newest_reported.max(version);
        }
    }

    fn remove_disconnected(&mut self) {
        if self.gateways.len() >= MAX_KNOWN_GATEWAYS {
            self.gateways.retain(|_, gateway_state| gateway_state.is_connected);
        }
    }
}

#[cfg(test)]
mod tests;
