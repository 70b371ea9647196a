//! When the gateway connects to which control plane server, and what it reports there.
//!
//! The owner holds two connections, one for the stream and one for a report, and tells the client what happens to them.
//! At [`ControlPlaneClient::deadline_us`] it asks what is due: [`ControlPlaneClient::is_stream_lost`],
//! [`ControlPlaneClient::should_connect`] and [`ControlPlaneClient::is_report_due`].
//!
//! Invariant: at most one report is pending. A newer one replaces it, as only the newest state counts.

use std::fmt;
use std::net::SocketAddr;

use wrenhatch_configuration::{GatewayId, MAX_MESSAGE_BYTES, Report, Subscriber, SubscriberAction, Version};

use super::requests::{write_report_request, write_stream_request};
use crate::config::ControlPlaneSettings;
use crate::event_stream::{EventStream, EventStreamError};

/// A connection that is not up within this is given up, and another server is tried.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// Time between two checks whether an open stream has fallen silent.
const SILENCE_CHECK_INTERVAL_US: u64 = 1_000_000;
/// Bytes of an event: a message, and the fields around it.
const MAX_EVENT_BYTES: usize = MAX_MESSAGE_BYTES + 64 * 1024;
/// A report without a response within this is sent again.
const REPORT_TIMEOUT_US: u64 = 2_000_000;
/// Upper bound of the wait before a report is sent again for the first time.
const REPORT_BACKOFF_INITIAL_US: u64 = 250_000;
/// Upper bound of any wait before a report is sent again.
const REPORT_BACKOFF_MAX_US: u64 = 8_000_000;

/// What follows from a message of the stream.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageOutcome {
    /// A version that is newer than any announced before.
    pub announced: Option<Version>,
    /// What the owner has to do. After [`SubscriberAction::Apply`] it calls [`ControlPlaneClient::on_applied`] or
    /// [`ControlPlaneClient::on_refused`]; for [`SubscriberAction::Refused`] a report is due already.
    pub action: SubscriberAction,
}

/// The stream while its connection is open or being opened.
struct Stream {
    is_up: bool,
    opened_us: u64,
    events: EventStream,
}

/// A report that no server has accepted yet.
struct PendingReport {
    report: Report,
    /// When the response must have come, or the report is sent again.
    due_us: u64,
    failures: u32,
}

/// The latest refused version, for operators.
struct RefusedVersion {
    version: Version,
    reason: String,
}

/// The gateway's client of the control plane.
pub struct ControlPlaneClient {
    servers: Vec<SocketAddr>,
    gateway: GatewayId,
    subscriber: Subscriber,
    stream: Option<Stream>,
    report: Option<PendingReport>,
    refused: Option<RefusedVersion>,
}

impl ControlPlaneClient {
    /// A client without connections. The seed should differ between gateways.
    pub fn new(settings: ControlPlaneSettings, gateway_name: &str, seed: u64) -> Self {
        Self {
            gateway: GatewayId(gateway_name.to_owned()),
            subscriber: Subscriber::new(settings.servers.len(), seed, Version::NONE, settings.document),
            servers: settings.servers,
            stream: None,
            report: None,
            refused: None,
        }
    }

    /// The version in force; 0 where the settings are those of the configuration's file.
    pub fn in_force(&self) -> Version {
        self.subscriber.in_force()
    }

    /// The server to connect to.
    pub fn server(&self) -> SocketAddr {
        self.servers[self.subscriber.server()]
    }

    /// When to check what is due.
    pub fn deadline_us(&self, now_us: u64) -> u64 {
        let next_check_us = now_us + SILENCE_CHECK_INTERVAL_US;
        let stream_us = match &self.stream {
            Some(stream) if !stream.is_up => stream.opened_us + CONNECT_TIMEOUT_US,
            Some(_) => next_check_us,
            None => self.subscriber.next_attempt_us().unwrap_or(next_check_us),
        };
        self.report.as_ref().map_or(stream_us, |report| stream_us.min(report.due_us))
    }

    /// Whether the stream has to be closed: its connection did not come up, or it is silent.
    pub fn is_stream_lost(&self, now_us: u64) -> bool {
        let is_late = |stream: &Stream| !stream.is_up && now_us >= stream.opened_us + CONNECT_TIMEOUT_US;
        self.stream.as_ref().is_some_and(is_late) || self.subscriber.is_timed_out(now_us)
    }

    /// Whether a stream has to be opened.
    pub fn should_connect(&self, now_us: u64) -> bool {
        self.stream.is_none() && self.subscriber.next_attempt_us().is_some_and(|at_us| now_us >= at_us)
    }

    /// A connection for the stream is being opened. Writes the request for it.
    pub fn on_connecting(&mut self, now_us: u64, out: &mut Vec<u8>) {
        write_stream_request(&self.gateway, self.subscriber.position(), out);
        let events = EventStream::new(MAX_EVENT_BYTES);
        self.stream = Some(Stream { is_up: false, opened_us: now_us, events });
        self.subscriber.on_connected(now_us);
    }

    /// The stream's connection has come up.
    pub fn on_connected(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.is_up = true;
        }
    }

    /// The stream was closed, or its connection could not be opened: it is the next server's turn, after a backoff.
    pub fn on_disconnected(&mut self, now_us: u64) {
        self.stream = None;
        self.subscriber.on_disconnected(now_us);
    }

    /// Takes bytes of the stream from `input`; [`ControlPlaneClient::next_message`] returns what follows from them.
    ///
    /// # Errors
    /// The stream can't be followed further.
    pub fn on_bytes(&mut self, now_us: u64, input: &mut Vec<u8>) -> Result<(), EventStreamError> {
        let Some(Stream { events, .. }) = &mut self.stream else { return Ok(()) };
        let lines_before = events.lines();
        let read = events.read(input);
        if events.lines() > lines_before {
            self.subscriber.on_activity(now_us);
        }
        read
    }

    /// Takes the next message of the stream, if it is complete.
    pub fn next_message(&mut self, now_us: u64) -> Option<MessageOutcome> {
        let event = self.stream.as_mut()?.events.next_event()?;
        let newest_before = self.subscriber.newest_seen();
        let action = self.subscriber.on_message(now_us, &event.data);
        let newest = self.subscriber.newest_seen();
        if let SubscriberAction::Refused { version, reason } = &action {
            self.set_report(self.subscriber.refusal_report(*version, reason));
            self.refused = Some(RefusedVersion { version: *version, reason: reason.clone() });
        }
        Some(MessageOutcome { announced: (newest > newest_before).then_some(newest), action })
    }

    /// A version is in force. Its report is due.
    pub fn on_applied(&mut self, version: Version) {
        let report = self.subscriber.on_applied(version);
        self.refused = None;
        self.set_report(report);
    }

    /// A version could not be applied. Its report is due.
    pub fn on_refused(&mut self, version: Version, error: &impl fmt::Display) {
        let report = self.subscriber.on_refused(version, error);
        self.refused = Some(RefusedVersion { version, reason: error.to_string() });
        self.set_report(report);
    }

    /// Whether the report has to be sent, for the first time or again.
    pub fn is_report_due(&self, now_us: u64) -> bool {
        self.report.as_ref().is_some_and(|report| now_us >= report.due_us)
    }

    /// A connection for the report is being opened. Writes the request for it.
    pub fn on_report_connecting(&mut self, now_us: u64, out: &mut Vec<u8>) {
        let Some(pending) = &mut self.report else { return };
        write_report_request(&self.gateway, &pending.report, out);
        pending.due_us = now_us + REPORT_TIMEOUT_US;
    }

    /// The report has failed or had no response. It is sent again after a wait that `random` draws, to the server whose
    /// turn it is then.
    pub fn on_report_failed(&mut self, now_us: u64, random: u32) {
        let Some(pending) = &mut self.report else { return };
        let max_wait_us = REPORT_BACKOFF_INITIAL_US
            .saturating_mul(1 << pending.failures.min(16))
            .min(REPORT_BACKOFF_MAX_US);
        pending.failures += 1;
        pending.due_us = now_us + u64::from(random) % max_wait_us + 1;
    }

    /// A server has accepted the report.
    pub fn on_report_accepted(&mut self) {
        self.report = None;
    }

    /// Forgets connections and report: the gateway shuts down, and its successor connects.
    pub fn shut_down(&mut self) {
        self.stream = None;
        self.report = None;
    }

    fn set_report(&mut self, report: Report) {
        self.report = Some(PendingReport { report, due_us: 0, failures: 0 });
    }
}

/// The lines of the admin interface.
impl fmt::Display for ControlPlaneClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration.in_force={}", self.subscriber.in_force())?;
        writeln!(f, "configuration.newest_seen={}", self.subscriber.newest_seen())?;
        if let Some(refused) = &self.refused {
            let reason = refused.reason.replace(['\r', '\n'], " ");
            writeln!(f, "configuration.refused={} {reason}", refused.version)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
