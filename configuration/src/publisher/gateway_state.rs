//! What a control plane server knows of one gateway.

use crate::message::Report;
use crate::version::{Digest, Version};

use super::{ConnectionId, HISTORY_VERSIONS};

/// A message without a report is sent again after this, in microseconds; from the fourth time on the wait doubles.
pub const REPORT_TIMEOUT_US: u64 = 3_000_000;

/// Attempts before the wait grows.
const ATTEMPTS_WITHOUT_BACKOFF: u32 = 3;

/// The longest wait for a report, in microseconds.
pub const MAX_REPORT_TIMEOUT_US: u64 = 48_000_000;

/// A stream gets a heartbeat after this long without a message, in microseconds.
pub const HEARTBEAT_INTERVAL_US: u64 = 1_500_000;

/// A version that a gateway has refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Which.
    pub version: Version,
    /// Why, as the gateway says.
    pub reason: String,
}

/// A message with configuration that was sent and not reported on yet.
#[derive(Debug)]
struct UnreportedMessage {
    version: Version,
    sent_us: u64,
    attempts: u32,
}

impl UnreportedMessage {
    /// When the next message may be sent. Another version does not wait for the backoff of this one.
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

/// What a control plane server knows of one gateway.
#[derive(Debug)]
pub(super) struct GatewayState {
    pub(super) connection: ConnectionId,
    pub(super) is_connected: bool,
    pub(super) version: Version,
    pub(super) digest: Option<Digest>,
    /// Versions that it refused on this stream, the last one at the end; at most [`HISTORY_VERSIONS`].
    pub(super) refused: Vec<RefusedVersion>,
    /// Number of the last message with configuration to this gateway, counted over all gateways; the lowest is served
    /// first.
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
            // At once, so that the gateway learns of the newest version while it waits for its turn.
            next_heartbeat_us: now_us,
        }
    }

    /// The version that it should be sent, of `versions` from the newest down: the newest that it has not refused, unless
    /// it has that.
    pub(super) fn target(&self, mut versions: impl Iterator<Item = (Version, Digest)>) -> Option<Version> {
        if !self.is_connected {
            return None;
        }
        let (version, digest) = versions.find(|(version, _)| !self.has_refused(*version))?;
        let has_it = self.version == version && self.digest == Some(digest);
        (!has_it && version >= self.version).then_some(version)
    }

    /// When a version may be sent to it, in microseconds.
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

    pub(super) fn on_sent(&mut self, now_us: u64, gap_us: u64, last_served: u64, version: Version) {
        let before = self.unreported.take_if(|unreported| unreported.version == version);
        let attempts = before.map_or(0, |unreported| unreported.attempts).saturating_add(1);
        self.unreported = Some(UnreportedMessage { version, sent_us: now_us, attempts });
        self.last_served = last_served;
        self.next_message_us = now_us.saturating_add(gap_us);
        self.on_heartbeat_sent(now_us);
    }

    pub(super) fn on_heartbeat_sent(&mut self, now_us: u64) {
        self.next_heartbeat_us = now_us.saturating_add(HEARTBEAT_INTERVAL_US);
    }

    /// Takes a report. Only versions sent on this stream count: other reports are late, duplicated or wrong.
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
