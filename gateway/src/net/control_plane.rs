//! The connections to the control plane: one for the stream of configuration versions, and one for each report. The
//! protocol and its timing are implemented by [`ControlPlaneClient`]. This module does the I/O.

use wrenhatch_configuration::{Document, SubscriberAction, Version};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::connection::{Connection, Phase, ReadEnd};
use super::poll::Interest;
use super::poll_key::PollKey;
use super::{NetTimer, Server};
use crate::control_plane::{
    ControlPlaneClient, MAX_REPORT_RESPONSE_BYTES, MessageOutcome, ReportResponse, read_report_response,
};

/// Read-ahead of the stream from a control plane server.
const READ_AHEAD_BYTES: usize = 256 * 1024;

/// The control plane client and its connections.
pub struct ControlPlane {
    pub(super) client: ControlPlaneClient,
    stream: Option<Connection>,
    report: Option<Connection>,
    /// Distinguishes the stream's connection from earlier ones in poller keys.
    stream_serial: u32,
    /// Distinguishes the report's connection from earlier ones in poller keys.
    report_serial: u32,
    timer: Option<TimerId>,
}

impl ControlPlane {
    pub(super) fn new(client: ControlPlaneClient) -> Self {
        Self { client, stream: None, report: None, stream_serial: 0, report_serial: 0, timer: None }
    }

    fn stream_key(&self) -> u64 {
        PollKey::ControlPlaneStream(self.stream_serial).encode()
    }

    fn report_key(&self) -> u64 {
        PollKey::ControlPlaneReport(self.report_serial).encode()
    }
}

impl Server {
    /// Performs the actions that are due: closes a silent stream, connects, and sends a report. A process that is
    /// shutting down closes its connections, as its successor has connections of its own.
    pub(super) fn check_control_plane(&mut self) {
        let now_us = self.time.now_us;
        if self.shutdown.has_begun() {
            return self.close_control_plane();
        }
        let Some(control_plane) = &self.control_plane else { return };
        if control_plane.client.is_stream_lost(now_us) {
            tracing::warn!(server = %control_plane.client.server(), "the control plane server is silent");
            self.control_plane_lost();
        }
        let Some(control_plane) = &self.control_plane else { return };
        if control_plane.client.should_connect(now_us) {
            self.connect_control_plane();
        }
        let Some(control_plane) = &self.control_plane else { return };
        if control_plane.client.is_report_due(now_us) {
            self.send_report();
        }
        self.arm_control_plane_timer();
    }

    fn close_control_plane(&mut self) {
        let Some(control_plane) = &mut self.control_plane else { return };
        control_plane.client.shut_down();
        for conn in [control_plane.stream.take(), control_plane.report.take()].into_iter().flatten() {
            conn.close(&self.poll);
        }
    }

    fn arm_control_plane_timer(&mut self) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let deadline_us = control_plane.client.deadline_us(self.time.now_us);
        if !control_plane.timer.is_some_and(|timer| self.timers.rearm(timer, deadline_us)) {
            control_plane.timer = Some(self.timers.arm(deadline_us, NetTimer::ControlPlane));
        }
    }

    fn connect_control_plane(&mut self) {
        let now_us = self.time.now_us;
        let Some(control_plane) = &mut self.control_plane else { return };
        control_plane.stream_serial = control_plane.stream_serial.wrapping_add(1);
        let (server, key) = (control_plane.client.server(), control_plane.stream_key());
        let conn = self.dial(server, key, READ_AHEAD_BYTES);
        let Some(control_plane) = &mut self.control_plane else { return };
        match conn {
            Ok(mut conn) => {
                control_plane.client.on_connecting(now_us, &mut conn.output);
                control_plane.stream = Some(conn);
            }
            Err(error) => {
                tracing::warn!(%server, %error, "can't connect to the control plane server");
                control_plane.client.on_disconnected(now_us);
            }
        }
    }

    /// Closes the stream after it has ended or was given up.
    fn control_plane_lost(&mut self) {
        let Some(control_plane) = &mut self.control_plane else { return };
        if let Some(conn) = control_plane.stream.take() {
            conn.close(&self.poll);
            control_plane.client.on_disconnected(self.time.now_us);
        }
        self.arm_control_plane_timer();
    }

    pub(super) fn control_plane_ready(&mut self, key: u64, interest: Interest) {
        let Some(control_plane) = self.control_plane.as_mut().filter(|c| c.stream_key() == key) else {
            return;
        };
        let Some(conn) = &mut control_plane.stream else { return };
        if !finish_connect(conn, interest) {
            return self.control_plane_lost();
        }
        if conn.phase == Phase::Connecting {
            return;
        }
        control_plane.client.on_connected();
        if interest.read {
            if conn.is_read_paused() {
                return self.control_plane_lost();
            }
            let end = conn.fill(READ_AHEAD_BYTES);
            self.read_control_plane(end);
        }
        let Some(conn) = self.control_plane.as_mut().and_then(|c| c.stream.as_mut()) else { return };
        if conn.flush().is_err() || conn.update(&self.poll, key).is_err() {
            self.control_plane_lost();
        }
    }

    /// Handles the messages that were read. Complete messages are also handled if the stream has ended.
    fn read_control_plane(&mut self, end: ReadEnd) {
        let now_us = self.time.now_us;
        let Some(control_plane) = &mut self.control_plane else { return };
        let Some(conn) = &mut control_plane.stream else { return };
        let read = control_plane.client.on_bytes(now_us, &mut conn.input);
        while let Some(outcome) = self.control_plane.as_mut().and_then(|c| c.client.next_message(now_us)) {
            if outcome.action == SubscriberAction::Resync {
                log_announced(&outcome);
                return self.control_plane_lost();
            }
            self.handle_message(outcome);
        }
        if read.is_err() || matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.control_plane_lost();
        }
        self.arm_control_plane_timer();
    }

    fn handle_message(&mut self, outcome: MessageOutcome) {
        log_announced(&outcome);
        match outcome.action {
            SubscriberAction::Nothing | SubscriberAction::Resync => {}
            SubscriberAction::Apply { version, document } => self.apply_version(version, &document),
            SubscriberAction::Refused { version, reason } => {
                self.log_refused(version, &reason);
                self.send_new_report();
            }
        }
    }

    fn apply_version(&mut self, version: Version, document: &Document) {
        let result = self.reconfigure(&document.canonical());
        let Some(control_plane) = &mut self.control_plane else { return };
        match result {
            Ok(()) => {
                tracing::info!(%version, "configuration in force");
                control_plane.client.on_applied(version);
            }
            Err(error) => {
                control_plane.client.on_refused(version, &error);
                self.log_refused(version, &error.to_string());
            }
        }
        self.send_new_report();
    }

    fn log_refused(&self, version: Version, reason: &str) {
        let Some(control_plane) = &self.control_plane else { return };
        let in_force = control_plane.client.in_force();
        tracing::warn!(%version, %in_force, %reason, "configuration refused");
    }

    /// Sends a new report after aborting a report in progress, which is outdated.
    fn send_new_report(&mut self) {
        if let Some(conn) = self.control_plane.as_mut().and_then(|c| c.report.take()) {
            conn.close(&self.poll);
        }
        self.send_report();
    }

    fn send_report(&mut self) {
        let now_us = self.time.now_us;
        let Some(control_plane) = &mut self.control_plane else { return };
        if control_plane.report.is_some() {
            return self.report_failed();
        }
        control_plane.report_serial = control_plane.report_serial.wrapping_add(1);
        let (server, key) = (control_plane.client.server(), control_plane.report_key());
        let conn = self.dial(server, key, MAX_REPORT_RESPONSE_BYTES);
        let Some(control_plane) = &mut self.control_plane else { return };
        match conn {
            Ok(mut conn) => {
                control_plane.client.on_report_connecting(now_us, &mut conn.output);
                control_plane.report = Some(conn);
                self.arm_control_plane_timer();
            }
            Err(_) => self.report_failed(),
        }
    }

    fn report_failed(&mut self) {
        let random = self.sessions.next_random();
        let Some(control_plane) = &mut self.control_plane else { return };
        if let Some(conn) = control_plane.report.take() {
            conn.close(&self.poll);
        }
        control_plane.client.on_report_failed(self.time.now_us, random);
        self.arm_control_plane_timer();
    }

    pub(super) fn report_ready(&mut self, key: u64, interest: Interest) {
        let Some(control_plane) = self.control_plane.as_mut().filter(|c| c.report_key() == key) else {
            return;
        };
        let Some(conn) = &mut control_plane.report else { return };
        if !finish_connect(conn, interest) {
            return self.report_failed();
        }
        if conn.phase == Phase::Connecting {
            return;
        }
        let end = if interest.read { conn.fill(MAX_REPORT_RESPONSE_BYTES) } else { ReadEnd::WouldBlock };
        let response = read_report_response(&conn.input);
        let is_broken = conn.flush().is_err() || conn.update(&self.poll, key).is_err();
        let has_ended = is_broken || matches!(end, ReadEnd::Eof | ReadEnd::Broken);
        match response {
            ReportResponse::Accepted => {
                control_plane.client.on_report_accepted();
                if let Some(conn) = control_plane.report.take() {
                    conn.close(&self.poll);
                }
            }
            ReportResponse::Failed => self.report_failed(),
            ReportResponse::Incomplete if has_ended => self.report_failed(),
            ReportResponse::Incomplete => {}
        }
    }
}

fn log_announced(outcome: &MessageOutcome) {
    if let Some(version) = outcome.announced {
        tracing::info!(%version, "configuration published");
    }
}

/// Completes the connection attempt once the socket is ready. Returns false if connecting failed.
fn finish_connect(conn: &mut Connection, interest: Interest) -> bool {
    let is_ready = conn.phase == Phase::Connecting && (interest.write || interest.read);
    !is_ready || conn.finish_connect().is_ok()
}
