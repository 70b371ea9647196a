//! What a control machine knows of one gateway.

use crate::message::Report;
use crate::version::{Digest, Version};

use super::{Connection, HISTORY_VERSIONS};

/// A message without a report is sent again after this; from the fourth time on after twice as long each. Microseconds.
pub const REPORT_TIMEOUT_US: u64 = 3_000_000;

/// So often a message is sent before the waits grow: within 11 s, three in a row may be lost.
const TRIES_IN_STEP: u32 = 3;

/// The longest wait for a report. Microseconds.
pub const REPORT_TIMEOUT_MOST_US: u64 = 48_000_000;

/// A stream gets a heartbeat after so long without a message. Microseconds.
pub const HEARTBEAT_US: u64 = 1_500_000;

/// A version that a gateway does not take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Which.
    pub version: Version,
    /// Why, as the gateway says.
    pub reason: String,
}

/// Something that was sent and not reported yet.
#[derive(Debug)]
struct Offer {
    version: Version,
    sent_us: u64,
    tries: u32,
}

impl Offer {
    /// When something may be sent again. Another version does not wait for the longer waits of this one.
    fn over_us(&self, target: Version) -> u64 {
        let doublings =
            if self.version == target { self.tries.saturating_sub(TRIES_IN_STEP).min(16) } else { 0 };
        let wait_us = (REPORT_TIMEOUT_US << doublings).min(REPORT_TIMEOUT_MOST_US);
        self.sent_us.saturating_add(wait_us)
    }
}

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) connection: Connection,
    pub(super) is_connected: bool,
    pub(super) version: Version,
    pub(super) digest: Option<Digest>,
    /// What it refused on this stream, the last one at the end.
    pub(super) refused: Vec<RefusedVersion>,
    /// Rises with each message with configuration to any gateway: who has the lowest is served first.
    pub(super) served: u64,
    offer: Option<Offer>,
    next_message_us: u64,
    next_heartbeat_us: u64,
}

impl Peer {
    pub(super) fn new(
        now_us: u64,
        connection: Connection,
        served: u64,
        version: Version,
        digest: Digest,
    ) -> Self {
        Self {
            connection,
            is_connected: true,
            version,
            digest: Some(digest),
            refused: Vec::new(),
            served,
            offer: None,
            next_message_us: now_us,
            // At once, so that the gateway learns of the newest version while it waits for its turn.
            next_heartbeat_us: now_us,
        }
    }

    /// What it should be sent, of all versions from the newest down: the newest that it has not refused, if it has
    /// not got there yet.
    pub(super) fn target(&self, mut versions: impl Iterator<Item = (Version, Digest)>) -> Option<Version> {
        if !self.is_connected {
            return None;
        }
        let (version, digest) = versions.find(|(version, _)| !self.has_refused(*version))?;
        let has_it = self.version == version && self.digest == Some(digest);
        (!has_it && version >= self.version).then_some(version)
    }

    /// When a version may be sent to it.
    pub(super) fn ready_at_us(&self, target: Version) -> u64 {
        let waits_us = self.offer.as_ref().map_or(0, |offer| offer.over_us(target));
        self.next_message_us.max(waits_us)
    }

    fn has_refused(&self, version: Version) -> bool {
        self.refused.iter().any(|refused| refused.version == version)
    }

    pub(super) fn heartbeat_at_us(&self) -> Option<u64> {
        self.is_connected.then_some(self.next_heartbeat_us)
    }

    pub(super) fn sent(&mut self, now_us: u64, gap_us: u64, served: u64, version: Version) {
        let before = self.offer.take_if(|offer| offer.version == version);
        let tries = before.map_or(0, |offer| offer.tries).saturating_add(1);
        self.offer = Some(Offer { version, sent_us: now_us, tries });
        self.served = served;
        self.next_message_us = now_us.saturating_add(gap_us);
        self.sent_heartbeat(now_us);
    }

    pub(super) fn sent_heartbeat(&mut self, now_us: u64) {
        self.next_heartbeat_us = now_us.saturating_add(HEARTBEAT_US);
    }

    /// Takes a report on what was sent on this stream; others are late, doubled or made up and don't count.
    pub(super) fn reported(&mut self, report: Report, digest_of: impl Fn(Version) -> Option<Digest>) {
        let version = report.version();
        let was_offered = self.offer.take_if(|offer| offer.version == version).is_some();
        match report {
            Report::Applied { .. } => {
                if was_offered || self.has_refused(version) {
                    self.refused.retain(|refused| refused.version > version);
                    self.has(version, digest_of(version));
                }
            }
            Report::Refused { reason, in_force, .. } => {
                if was_offered || self.version == version {
                    self.refuse(RefusedVersion { version, reason });
                    self.has(in_force, digest_of(in_force));
                }
            }
        }
    }

    fn refuse(&mut self, refused: RefusedVersion) {
        self.refused.retain(|before| before.version != refused.version);
        if self.refused.len() == HISTORY_VERSIONS {
            self.refused.remove(0);
        }
        self.refused.push(refused);
    }

    fn has(&mut self, version: Version, digest: Option<Digest>) {
        if self.version != version {
            self.version = version;
            self.digest = digest;
        }
    }
}
