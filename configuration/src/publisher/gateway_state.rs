//! State of one gateway at a control plane server: version in force, refusals, and times of the next messages.

use crate::message::Report;
use crate::version::{Digest, Version};

use super::{ConnectionId, HISTORY_VERSIONS};

/// Time after which a message without a report is sent again, in microseconds. Doubles with each further attempt
/// after the first three.
pub const REPORT_TIMEOUT_US: u64 = 3_000_000;

/// Number of attempts before the report timeout grows.
const ATTEMPTS_WITHOUT_BACKOFF: u32 = 3;

/// Upper bound of the growing report timeout, in microseconds.
pub const MAX_REPORT_TIMEOUT_US: u64 = 48_000_000;

/// Time without a message after which a heartbeat is sent on a stream, in microseconds.
pub const HEARTBEAT_INTERVAL_US: u64 = 1_500_000;

/// A version that a gateway has refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Version of the refused message.
    pub version: Version,
    /// Error text reported by the gateway.
    pub reason: String,
}

/// A sent message with configuration whose report has not been received.
#[derive(Debug)]
struct UnreportedMessage {
    version: Version,
    sent_us: u64,
    attempts: u32,
}

impl UnreportedMessage {
    /// Earliest time of the next message with configuration if its version is `target`. The timeout grows only if the
    /// unreported message has the same version.
    fn retry_at_us(&self, target: Version) -> u64 {
        let doublings = if self.version == target {
            self.attempts.saturating_sub(ATTEMPTS_WITHOUT_BACKOFF).min(16)
        } else {
            0
        };
        let wait_us = (REPORT_TIMEOUT_US << doublings).min(MAX_REPORT_TIMEOUT_US);
        self.sent_us.saturating_add(wait_us)
    }
}

/// State of one gateway.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) connection: ConnectionId,
    pub(super) is_connected: bool,
    pub(super) version: Version,
    /// Digest of the settings in force. `None` after a report of a version that is not in the history.
    pub(super) digest: Option<Digest>,
    /// Versions refused on this stream, in order of their reports. At most [`HISTORY_VERSIONS`].
    pub(super) refused: Vec<RefusedVersion>,
    /// Sequence number, over all gateways, of the last message with configuration to this gateway. The gateway with
    /// the lowest number is served first.
    pub(super) last_served: u64,
    unreported: Option<UnreportedMessage>,
    next_message_us: u64,
    next_heartbeat_us: u64,
}

impl GatewayState {
    pub(super) fn new(
        now_us: u64,
        connection: ConnectionId,
        last_served: u64,
        version: Version,
        digest: Digest,
    ) -> Self {
        Self {
            connection,
            is_connected: true,
            version,
            digest: Some(digest),
            refused: Vec::new(),
            last_served,
            unreported: None,
            next_message_us: now_us,
            // The first heartbeat announces the newest version before the rate limits allow a message with it.
            next_heartbeat_us: now_us,
        }
    }

    /// Selects the version to send from `versions`, which are in descending order: the newest version that the
    /// gateway has not refused. `None` if the gateway has that version or a newer one, or is not connected.
    pub(super) fn target(&self, mut versions: impl Iterator<Item = (Version, Digest)>) -> Option<Version> {
        if !self.is_connected {
            return None;
        }
        let (version, digest) = versions.find(|(version, _)| !self.has_refused(*version))?;
        let is_up_to_date = self.version == version && self.digest == Some(digest);
        (!is_up_to_date && version >= self.version).then_some(version)
    }

    /// Earliest time at which a version can be sent to the gateway, in microseconds, regardless of the rate limits of
    /// the server.
    pub(super) fn ready_at_us(&self, target: Version) -> u64 {
        let retry_at_us = self.unreported.as_ref().map_or(0, |unreported| unreported.retry_at_us(target));
        self.next_message_us.max(retry_at_us)
    }

    fn has_refused(&self, version: Version) -> bool {
        self.refused.iter().any(|refused| refused.version == version)
    }

    pub(super) fn heartbeat_at_us(&self) -> Option<u64> {
        self.is_connected.then_some(self.next_heartbeat_us)
    }

    pub(super) fn on_sent(&mut self, now_us: u64, min_interval_us: u64, last_served: u64, version: Version) {
        let before = self.unreported.take_if(|unreported| unreported.version == version);
        let attempts = before.map_or(0, |unreported| unreported.attempts).saturating_add(1);
        self.unreported = Some(UnreportedMessage { version, sent_us: now_us, attempts });
        self.last_served = last_served;
        self.next_message_us = now_us.saturating_add(min_interval_us);
        self.on_heartbeat_sent(now_us);
    }

    pub(super) fn on_heartbeat_sent(&mut self, now_us: u64) {
        self.next_heartbeat_us = now_us.saturating_add(HEARTBEAT_INTERVAL_US);
    }

    /// Processes a report. Late, duplicate and invalid reports are ignored: a report must refer to the unreported
    /// message or correct the recorded result of its version.
    pub(super) fn on_report(&mut self, report: Report, digest_of: impl Fn(Version) -> Option<Digest>) {
        let version = report.version();
        let was_sent = self.unreported.take_if(|unreported| unreported.version == version).is_some();
        match report {
            Report::Applied { .. } => {
                if was_sent || self.has_refused(version) {
                    self.refused.retain(|refused| refused.version > version);
                    self.set_version(version, digest_of(version));
                }
            }
            Report::Refused { reason, in_force, .. } => {
                if was_sent || self.version == version {
                    self.add_refused(RefusedVersion { version, reason });
                    self.set_version(in_force, digest_of(in_force));
                }
            }
        }
    }

    fn add_refused(&mut self, refused: RefusedVersion) {
        self.refused.retain(|before| before.version != refused.version);
        if self.refused.len() == HISTORY_VERSIONS {
            self.refused.remove(0);
        }
        self.refused.push(refused);
    }

    fn set_version(&mut self, version: Version, digest: Option<Digest>) {
        if self.version != version {
            self.version = version;
            self.digest = digest;
        }
    }
}
