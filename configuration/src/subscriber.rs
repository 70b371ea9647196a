//! The subscriber of a gateway: tracks the version in force, the version being applied, and the stream to a control
//! plane server.
//!
//! Invariants: a received version comes into force only when the gateway calls [`Subscriber::on_applied`], and an
//! older version never replaces a newer one.

use std::fmt;

use crate::backoff::Backoff;
use crate::document::Document;
use crate::message::{Delta, Message, Report, Snapshot, VerifyError};
use crate::version::{Digest, Version};

/// Timeout of a stream, in microseconds. Applies to the time without received data, and to the time during which the
/// server's heartbeats announce versions older than the one in force.
pub const STREAM_TIMEOUT_US: u64 = 6_000_000;

/// Action that the gateway must take after a message.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriberAction {
    /// The message requires no action.
    Nothing,
    /// Apply the settings and call [`Subscriber::on_applied`] or [`Subscriber::on_refused`]. A later `Apply` replaces
    /// an unfinished one.
    Apply {
        /// Version to pass to [`Subscriber::on_applied`] or [`Subscriber::on_refused`].
        version: Version,
        /// Validated settings to apply.
        document: Document,
    },
    /// The version of the message is refused. Send [`Subscriber::refusal_report`] to the control plane.
    Refused {
        /// Refused version.
        version: Version,
        /// Error text for operators.
        reason: String,
    },
    /// Close the stream and open a new one with [`Subscriber::position`].
    Resync,
}

/// Version and digest that a gateway sends when it opens a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Version in force, or 0 to request a snapshot.
    pub version: Version,
    /// Digest of the settings in force.
    pub digest: Digest,
}

#[derive(Debug)]
struct VersionedDocument {
    version: Version,
    document: Document,
}

#[derive(Debug)]
struct Refusal {
    version: Version,
    digest: Digest,
    reason: String,
}

/// Versioned configuration of one gateway.
#[derive(Debug)]
pub struct Subscriber {
    in_force: VersionedDocument,
    /// The version being applied, for which neither `on_applied` nor `on_refused` was called yet.
    pending: Option<VersionedDocument>,
    /// The last version that the gateway failed to apply. A message with the same version and digest is refused again
    /// without another attempt.
    refused: Option<Refusal>,
    newest_seen: Version,
    /// Whether the next stream must start with a snapshot, because a message was invalid or a delta could not be
    /// applied.
    needs_snapshot: bool,
    backoff: Backoff,
    stream: StreamState,
}

#[derive(Debug)]
enum StreamState {
    Down { next_attempt_us: u64 },
    Up { last_activity_us: u64, server_behind_since_us: Option<u64> },
}

impl Subscriber {
    /// Creates the subscriber of a gateway with `servers` control plane servers and `document` in force. Version 0
    /// stands for the settings of the gateway's own file. The seed should differ between gateways. If `servers` is 0,
    /// [`Subscriber::server`] still returns index 0.
    pub fn new(servers: usize, seed: u64, version: Version, document: Document) -> Self {
        Self {
            in_force: VersionedDocument { version, document },
            pending: None,
            refused: None,
            newest_seen: version,
            needs_snapshot: false,
            backoff: Backoff::new(servers, seed),
            stream: StreamState::Down { next_attempt_us: 0 },
        }
    }

    /// Processes a message from the stream and returns the action that it requires. Any message, even an invalid one,
    /// counts as activity.
    pub fn on_message(&mut self, now_us: u64, text: &str) -> SubscriberAction {
        self.on_activity(now_us);
        let Ok(message) = Message::parse(text) else { return self.resync(true) };
        self.newest_seen = self.newest_seen.max(message.version());
        let action = match message {
            Message::Current(version) => self.on_current(now_us, version),
            Message::Delta(delta) => self.on_delta(delta),
            Message::Snapshot(snapshot) => self.on_snapshot(snapshot),
        };
        if action != SubscriberAction::Resync {
            self.backoff.on_success();
        }
        action
    }

    /// Records that data other than a message, such as a comment, was received on the stream.
    pub fn on_activity(&mut self, now_us: u64) {
        if let StreamState::Up { last_activity_us, .. } = &mut self.stream {
            *last_activity_us = now_us;
        }
    }

    /// Records that the gateway has applied a version. Returns the report to send until the control plane accepts it.
    /// If the version is not the pending one, nothing is recorded and the report states the version in force.
    pub fn on_applied(&mut self, version: Version) -> Report {
        if let Some(applied) = self.take_pending(version) {
            self.in_force = applied;
        }
        Report::Applied { version: self.in_force.version }
    }

    /// Records that the gateway failed to apply a version. Returns the report to send until the control plane accepts
    /// it. If the version is not the pending one, nothing is recorded and the report states the version in force.
    pub fn on_refused(&mut self, version: Version, error: &impl fmt::Display) -> Report {
        let Some(refused) = self.take_pending(version) else {
            return Report::Applied { version: self.in_force.version };
        };
        let reason = error.to_string();
        let report = self.refusal_report(version, &reason);
        self.refused = Some(Refusal { version, digest: refused.document.digest(), reason });
        report
    }

    /// Creates the report of a refused version.
    pub fn refusal_report(&self, version: Version, reason: &str) -> Report {
        Report::refused(version, reason, self.in_force.version)
    }

    /// Records that the stream is open.
    pub fn on_connected(&mut self, now_us: u64) {
        self.stream = StreamState::Up { last_activity_us: now_us, server_behind_since_us: None };
    }

    /// Records that the stream is closed or could not be opened, selects the next server, and schedules the next
    /// attempt.
    pub fn on_disconnected(&mut self, now_us: u64) {
        let wait_us = self.backoff.on_failure();
        self.stream = StreamState::Down { next_attempt_us: now_us.saturating_add(wait_us) };
    }

    /// Time at which to open the stream, in microseconds. `None` while the stream is open.
    pub fn next_attempt_us(&self) -> Option<u64> {
        match self.stream {
            StreamState::Down { next_attempt_us } => Some(next_attempt_us),
            StreamState::Up { .. } => None,
        }
    }

    /// Index of the control plane server to connect to.
    pub fn server(&self) -> usize {
        self.backoff.server()
    }

    /// Position with which to open the stream.
    pub fn position(&self) -> Position {
        let version = if self.needs_snapshot { Version::NONE } else { self.in_force.version };
        Position { version, digest: self.in_force.document.digest() }
    }

    /// Whether the stream must be closed because [`STREAM_TIMEOUT_US`] has passed. False while the stream is closed.
    pub fn is_timed_out(&self, now_us: u64) -> bool {
        let has_timed_out = |since_us: u64| now_us.saturating_sub(since_us) >= STREAM_TIMEOUT_US;
        match self.stream {
            StreamState::Down { .. } => false,
            StreamState::Up { last_activity_us, server_behind_since_us } => {
                has_timed_out(last_activity_us) || server_behind_since_us.is_some_and(has_timed_out)
            }
        }
    }

    /// Version in force. 0 while the settings of the gateway's own file are in force.
    pub fn in_force(&self) -> Version {
        self.in_force.version
    }

    /// Settings in force.
    pub fn document(&self) -> &Document {
        &self.in_force.document
    }

    /// Newest version in any valid message received so far, or the initial version if that is newer.
    pub fn newest_seen(&self) -> Version {
        self.newest_seen
    }

    fn on_current(&mut self, now_us: u64, version: Version) -> SubscriberAction {
        if let StreamState::Up { server_behind_since_us, .. } = &mut self.stream {
            if version < self.in_force.version {
                server_behind_since_us.get_or_insert(now_us);
            } else {
                *server_behind_since_us = None;
            }
        }
        SubscriberAction::Nothing
    }

    fn on_delta(&mut self, delta: Delta) -> SubscriberAction {
        let version = delta.to;
        if version <= self.newest_known() {
            return SubscriberAction::Nothing;
        }
        if let Some(refused) = self.earlier_refusal(version, delta.digest) {
            return refused;
        }
        let Some(base) = self.known_document(delta.from) else { return self.resync(false) };
        match delta.apply(base) {
            Ok(document) => self.set_pending(version, document),
            Err(_) => self.resync(true),
        }
    }

    fn on_snapshot(&mut self, snapshot: Snapshot) -> SubscriberAction {
        let version = snapshot.version;
        self.needs_snapshot = false;
        if version == Version::NONE || version < self.newest_known() {
            return SubscriberAction::Nothing;
        }
        if let Some(refused) = self.earlier_refusal(version, snapshot.digest) {
            return refused;
        }
        if let Some(known) = self.known_document(version) {
            return self.compare_digests(version, known.digest(), snapshot.digest);
        }
        match snapshot.verify() {
            Ok(document) => self.set_pending(version, document),
            Err(e) => self.refuse(version, &e),
        }
    }

    fn take_pending(&mut self, version: Version) -> Option<VersionedDocument> {
        self.pending.take_if(|pending| pending.version == version)
    }

    /// Refuses a document whose digest differs from the known document of the same version.
    fn compare_digests(&self, version: Version, known: Digest, received: Digest) -> SubscriberAction {
        if known == received {
            return SubscriberAction::Nothing;
        }
        let reason = format!("version {version} was published twice: {known} is held, {received} is told");
        SubscriberAction::Refused { version, reason }
    }

    fn set_pending(&mut self, version: Version, document: Document) -> SubscriberAction {
        self.pending = Some(VersionedDocument { version, document: document.clone() });
        SubscriberAction::Apply { version, document }
    }

    fn refuse(&self, version: Version, error: &VerifyError) -> SubscriberAction {
        SubscriberAction::Refused { version, reason: error.to_string() }
    }

    fn earlier_refusal(&self, version: Version, digest: Digest) -> Option<SubscriberAction> {
        let refusal = self.refused.as_ref()?;
        let is_same = refusal.version == version && refusal.digest == digest;
        is_same.then(|| SubscriberAction::Refused { version, reason: refusal.reason.clone() })
    }

    fn resync(&mut self, needs_snapshot: bool) -> SubscriberAction {
        self.needs_snapshot |= needs_snapshot;
        SubscriberAction::Resync
    }

    /// The pending version, or the version in force if none is pending.
    fn newest_known(&self) -> Version {
        self.pending.as_ref().map_or(self.in_force.version, |pending| pending.version)
    }

    fn known_document(&self, version: Version) -> Option<&Document> {
        let mut known = self.pending.iter().chain([&self.in_force]);
        known.find(|known| known.version == version).map(|known| &known.document)
    }
}

#[cfg(test)]
mod tests;
