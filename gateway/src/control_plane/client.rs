//! State machine of the connections to control plane servers: streams of versions, and reports.
//!
//! The owner holds two connections, one for the stream and one for a report, and reports their events to the client. At
//! [`ControlPlaneClient::deadline_us`] it checks [`ControlPlaneClient::is_stream_lost`],
//! [`ControlPlaneClient::should_connect`] and [`ControlPlaneClient::is_report_due`].
//!
//! Invariant: at most one report is pending. A newer report replaces it, because servers need only the latest state.

use std::fmt;
use std::net::SocketAddr;

use wrenhatch_configuration::{GatewayId, MAX_MESSAGE_BYTES, Report, Subscriber, SubscriberAction, Version};

use super::requests::{write_report_request, write_stream_request};
use crate::config::ControlPlaneSettings;
use crate::event_stream::{EventStream, EventStreamError};

/// Timeout of opening the connection of the stream. The next attempt uses the next server.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;
/// Interval between two checks of an established stream for silence.
const SILENCE_CHECK_INTERVAL_US: u64 = 1_000_000;
/// Maximum size of an event: a message and the surrounding fields.
const MAX_EVENT_BYTES: usize = MAX_MESSAGE_BYTES + 64 * 1024;
/// Timeout from opening the connection of a report to the response.
const REPORT_TIMEOUT_US: u64 = 2_000_000;
/// Upper bound of the random delay before the first retry of a report.
const REPORT_BACKOFF_INITIAL_US: u64 = 250_000;
/// Upper bound of the random delay before any retry of a report.
const REPORT_BACKOFF_MAX_US: u64 = 8_000_000;

/// Result of handling a message of the stream.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageOutcome {
    /// Version in the message if it is newer than all versions announced before.
    pub announced: Option<Version>,
    /// Action for the owner. After [`SubscriberAction::Apply`], the owner calls [`ControlPlaneClient::on_applied`] or
    /// [`ControlPlaneClient::on_refused`]. For [`SubscriberAction::Refused`], a report is already due.
    pub action: SubscriberAction,
}

/// A stream whose connection is established or being opened.
struct Stream {
    is_up: bool,
    opened_us: u64,
    events: EventStream,
}

/// A report that no server has accepted yet.
struct PendingReport {
    report: Report,
    /// Time of the next attempt to send the report, or of the timeout of the attempt in progress, in microseconds.
    due_us: u64,
    failures: u32,
}

/// The latest refused version, for the admin interface.
struct RefusedVersion {
    version: Version,
    reason: String,
}

/// State of the stream, of the pending report, and of the version in force.
pub struct ControlPlaneClient {
    servers: Vec<SocketAddr>,
    gateway: GatewayId,
    subscriber: Subscriber,
    stream: Option<Stream>,
    report: Option<PendingReport>,
    refused: Option<RefusedVersion>,
}

impl ControlPlaneClient {
    /// Creates a client without connections. `seed` should differ between gateways.
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

    /// Version in force. 0 if the settings are from the configuration file.
    pub fn in_force(&self) -> Version {
        self.subscriber.in_force()
    }

    /// Address of the selected server, which serves the open stream or the next one. Reports are sent to it, too.
    pub fn server(&self) -> SocketAddr {
        self.servers[self.subscriber.server()]
    }

    /// Time of the next check of the stream and the report, in microseconds.
    pub fn deadline_us(&self, now_us: u64) -> u64 {
        let next_check_us = now_us + SILENCE_CHECK_INTERVAL_US;
        let stream_us = match &self.stream {
            Some(stream) if !stream.is_up => stream.opened_us + CONNECT_TIMEOUT_US,
            Some(_) => next_check_us,
            None => self.subscriber.next_attempt_us().unwrap_or(next_check_us),
        };
        self.report.as_ref().map_or(stream_us, |report| stream_us.min(report.due_us))
    }

    /// Whether the stream has to be closed. Reasons are that its connection was not established in time, that it was
    /// silent for too long, or that its server announced only versions older than the one in force for too long.
    pub fn is_stream_lost(&self, now_us: u64) -> bool {
        let is_late = |stream: &Stream| !stream.is_up && now_us >= stream.opened_us + CONNECT_TIMEOUT_US;
        self.stream.as_ref().is_some_and(is_late) || self.subscriber.is_timed_out(now_us)
    }

    /// Whether to open a connection for a stream.
    pub fn should_connect(&self, now_us: u64) -> bool {
        self.stream.is_none() && self.subscriber.next_attempt_us().is_some_and(|at_us| now_us >= at_us)
    }

    /// Records that the owner is opening a connection for the stream, and writes the request to send on it.
    pub fn on_connecting(&mut self, now_us: u64, out: &mut Vec<u8>) {
        write_stream_request(&self.gateway, self.subscriber.position(), out);
        let events = EventStream::new(MAX_EVENT_BYTES);
        self.stream = Some(Stream { is_up: false, opened_us: now_us, events });
        self.subscriber.on_connected(now_us);
    }

    /// Records that the connection of the stream is established.
    pub fn on_connected(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.is_up = true;
        }
    }

    /// Records that the stream was closed or that its connection failed. The next attempt uses the next server, after a
    /// backoff.
    pub fn on_disconnected(&mut self, now_us: u64) {
        self.stream = None;
        self.subscriber.on_disconnected(now_us);
    }

    /// Consumes bytes of the stream from `input`. [`ControlPlaneClient::next_message`] returns the messages in them.
    ///
    /// # Errors
    /// The stream can't be read any further.
    pub fn on_bytes(&mut self, now_us: u64, input: &mut Vec<u8>) -> Result<(), EventStreamError> {
        let Some(Stream { events, .. }) = &mut self.stream else { return Ok(()) };
        let lines_before = events.line_count();
        let read = events.read(input);
        if events.line_count() > lines_before {
            self.subscriber.on_activity(now_us);
        }
        read
    }

    /// Handles the next complete message of the stream. `None`: no message is complete, or there is no stream.
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

    /// Records that a version is in force. A report is due.
    pub fn on_applied(&mut self, version: Version) {
        let report = self.subscriber.on_applied(version);
        self.refused = None;
        self.set_report(report);
    }

    /// Records that a version could not be applied. A report is due.
    pub fn on_refused(&mut self, version: Version, error: &impl fmt::Display) {
        let report = self.subscriber.on_refused(version, error);
        self.refused = Some(RefusedVersion { version, reason: error.to_string() });
        self.set_report(report);
    }

    /// Whether the pending report is to be sent, for the first time or as a retry, or an attempt to send it has timed
    /// out.
    pub fn is_report_due(&self, now_us: u64) -> bool {
        self.report.as_ref().is_some_and(|report| now_us >= report.due_us)
    }

    /// Records that the owner is opening a connection for the report, and writes the request to send on it.
    pub fn on_report_connecting(&mut self, now_us: u64, out: &mut Vec<u8>) {
        let Some(pending) = &mut self.report else { return };
        write_report_request(&self.gateway, &pending.report, out);
        pending.due_us = now_us + REPORT_TIMEOUT_US;
    }

    /// Records that sending the report failed or that there was no response. The report is sent again after a delay
    /// derived from `random`, to the server that [`ControlPlaneClient::server`] returns at that time.
    pub fn on_report_failed(&mut self, now_us: u64, random: u32) {
        let Some(pending) = &mut self.report else { return };
        let max_delay_us = REPORT_BACKOFF_INITIAL_US
            .saturating_mul(1 << pending.failures.min(16))
            .min(REPORT_BACKOFF_MAX_US);
        pending.failures += 1;
        pending.due_us = now_us + u64::from(random) % max_delay_us + 1;
    }

    /// Records that a server has accepted the report.
    pub fn on_report_accepted(&mut self) {
        self.report = None;
    }

    /// Discards the stream and the report at shutdown. The successor process opens its own connections.
    pub fn shut_down(&mut self) {
        self.stream = None;
        self.report = None;
    }

    fn set_report(&mut self, report: Report) {
        self.report = Some(PendingReport { report, due_us: 0, failures: 0 });
    }
}

/// Lines for the admin interface.
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
