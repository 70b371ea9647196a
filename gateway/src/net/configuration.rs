//! The stream of configurations from a control machine, and the reports of what became of them. Which version is
//! taken, from which machine, and when the next attempt is made is for the subscriber of `wrenhatch-configuration`.

use std::fmt;
use std::net::SocketAddr;

use wrenhatch_configuration::{Document, GatewayId, MAX_MESSAGE_BYTES, Report, Step, Subscriber, Version};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::connection::{Connection, Phase, ReadEnd};
use super::poll::Interest;
use super::{CONTROL, REPORT, Server, Timer};
use crate::config::{Config, ControlPlaneSettings};
use crate::control;
use crate::event_stream::EventStream;

/// A connection that is not up within this is given up, and another machine is asked.
const CONNECT_US: u64 = 1_000_000;
/// Between two looks at whether an open stream has fallen silent.
const LOOK_US: u64 = 1_000_000;
/// Bytes read ahead from a control machine.
const READ_AHEAD: usize = 256 * 1024;
/// Bytes of an event at most: a message, and what stands around it.
const LONGEST_EVENT: usize = MAX_MESSAGE_BYTES + 64 * 1024;
/// A report that is not answered within this is sent again.
const REPORT_US: u64 = 2_000_000;
/// Between two tries to send a report at first, and at most; each is drawn anew up to that.
const RETRY_US: (u64, u64) = (250_000, 8_000_000);

/// A version that was refused.
struct Refusal {
    version: Version,
    reason: String,
}

/// A report until a control machine has it.
struct PendingReport {
    report: Report,
    /// The connection over which it goes now.
    conn: Option<Connection>,
    /// When it must have been answered, or is sent again.
    due_us: u64,
    failures: u32,
}

/// What follows the control machines.
pub struct Follower {
    machines: Vec<SocketAddr>,
    gateway: GatewayId,
    subscriber: Subscriber,
    up: Option<(Connection, EventStream)>,
    /// Tells this stream from others before it, for the poller.
    serial: u32,
    /// The same of a report's connection.
    report_serial: u32,
    opened_us: u64,
    report: Option<PendingReport>,
    refusal: Option<Refusal>,
    timer: Option<TimerId>,
}

impl Follower {
    /// Nothing is open yet.
    pub(super) fn new(control: ControlPlaneSettings, config: &Config) -> Self {
        let machines = control.servers.len();
        Self {
            machines: control.servers,
            gateway: GatewayId(config.name.clone()),
            subscriber: Subscriber::new(machines, config.seed, Version::NONE, control.document),
            up: None,
            serial: 0,
            report_serial: 0,
            opened_us: 0,
            report: None,
            refusal: None,
            timer: None,
        }
    }

    /// The version in force; 0 where it is that of the file.
    pub(super) fn in_force(&self) -> Version {
        self.subscriber.in_force()
    }

    fn machine(&self) -> SocketAddr {
        self.machines[self.subscriber.machine()]
    }

    fn stream_key(&self) -> u64 {
        CONTROL | u64::from(self.serial)
    }

    fn report_key(&self) -> u64 {
        REPORT | u64::from(self.report_serial)
    }

    /// When the stream, or the report, has to be looked at.
    fn due_us(&self, now_us: u64) -> u64 {
        let stream_us = match &self.up {
            Some((conn, _)) if conn.phase == Phase::Connecting => self.opened_us + CONNECT_US,
            Some(_) => now_us + LOOK_US,
            None => self.subscriber.next_attempt_us().unwrap_or(now_us + LOOK_US),
        };
        self.report.as_ref().map_or(stream_us, |report| stream_us.min(report.due_us))
    }

    /// Whether the open stream has to be given up.
    fn is_lost(&self, now_us: u64) -> bool {
        let late =
            |conn: &Connection| conn.phase == Phase::Connecting && now_us >= self.opened_us + CONNECT_US;
        self.up.as_ref().is_some_and(|(conn, _)| late(conn)) || self.subscriber.is_silent(now_us)
    }
}

impl fmt::Display for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration.in_force={}", self.subscriber.in_force())?;
        writeln!(f, "configuration.newest_seen={}", self.subscriber.newest_seen())?;
        if let Some(refusal) = &self.refusal {
            let reason = refusal.reason.replace(['\r', '\n'], " ");
            writeln!(f, "configuration.refused={} {reason}", refusal.version)?;
        }
        Ok(())
    }
}

impl Server {
    /// Opens the stream where it is due, drops it where it is silent, and sends the report that is due. One that
    /// ends leaves the control machines to the process that takes its place.
    pub(super) fn check_control(&mut self) {
        let now_us = self.time.now_us;
        let Some(follower) = &self.control else { return };
        if self.shutdown.has_begun() {
            return self.leave_control();
        }
        if follower.is_lost(now_us) {
            tracing::warn!(machine = %follower.machine(), "the control machine is silent");
            self.control_lost();
        }
        let Some(follower) = &self.control else { return };
        if follower.up.is_none() && follower.subscriber.next_attempt_us().is_some_and(|at| now_us >= at) {
            self.open_control();
        }
        let Some(follower) = &self.control else { return };
        if follower.report.as_ref().is_some_and(|report| now_us >= report.due_us) {
            self.send_report();
        }
        self.await_control();
    }

    fn leave_control(&mut self) {
        let Some(follower) = &mut self.control else { return };
        if let Some((conn, _)) = follower.up.take() {
            conn.close(&self.poll);
        }
        if let Some(conn) = follower.report.take().and_then(|report| report.conn) {
            conn.close(&self.poll);
        }
    }

    /// Sets the timer for what is due next.
    fn await_control(&mut self) {
        let Some(follower) = &mut self.control else { return };
        let due_us = follower.due_us(self.time.now_us);
        if !follower.timer.is_some_and(|timer| self.timers.rearm(timer, due_us)) {
            follower.timer = Some(self.timers.arm(due_us, Timer::Control));
        }
    }

    fn open_control(&mut self) {
        let now_us = self.time.now_us;
        let Some(follower) = &mut self.control else { return };
        follower.serial = follower.serial.wrapping_add(1);
        let (address, key) = (follower.machine(), follower.stream_key());
        let conn = self.dial(address, key, READ_AHEAD);
        let Some(follower) = &mut self.control else { return };
        match conn {
            Ok(mut conn) => {
                control::open(&follower.gateway, follower.subscriber.position(), &mut conn.output);
                follower.up = Some((conn, EventStream::new(LONGEST_EVENT)));
                follower.opened_us = now_us;
                follower.subscriber.connected(now_us);
            }
            Err(e) => {
                tracing::warn!("control machine at {address}: {e}");
                follower.subscriber.disconnected(now_us);
            }
        }
    }

    /// The stream has ended, or is given up: the next machine's turn, after a pause.
    fn control_lost(&mut self) {
        let Some(follower) = &mut self.control else { return };
        if let Some((conn, _)) = follower.up.take() {
            conn.close(&self.poll);
            follower.subscriber.disconnected(self.time.now_us);
        }
        self.await_control();
    }

    pub(super) fn control_ready(&mut self, key: u64, interest: Interest) {
        let Some(follower) = &mut self.control else { return };
        if key != follower.stream_key() {
            return;
        }
        let Some((conn, _)) = &mut follower.up else { return };
        if !finish_connect(conn, interest) {
            return self.control_lost();
        }
        if conn.phase == Phase::Connecting {
            return;
        }
        if interest.read {
            if conn.is_hung_up() {
                return self.control_lost();
            }
            let end = conn.fill(READ_AHEAD);
            self.read_control(end);
        }
        let Some(follower) = &mut self.control else { return };
        let Some((conn, _)) = &mut follower.up else { return };
        if conn.flush().is_err() || conn.update(&self.poll, key).is_err() {
            self.control_lost();
        }
    }

    /// Takes in what has been read. A stream that ends has said what it has said.
    fn read_control(&mut self, end: ReadEnd) {
        let now_us = self.time.now_us;
        let Some(follower) = &mut self.control else { return };
        let Some((conn, stream)) = &mut follower.up else { return };
        let before = stream.lines();
        let read = stream.read(&mut conn.input);
        if stream.lines() > before {
            follower.subscriber.heard(now_us);
        }
        while let Some(message) = self.next_message() {
            if self.take_message(&message).is_err() {
                return self.control_lost();
            }
        }
        if read.is_err() || matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.control_lost();
        }
        self.await_control();
    }

    fn next_message(&mut self) -> Option<String> {
        let (_, stream) = self.control.as_mut()?.up.as_mut()?;
        stream.next_event().map(|event| event.data)
    }

    /// `Err`: the stream has to be opened anew.
    fn take_message(&mut self, text: &str) -> Result<(), Resync> {
        let now_us = self.time.now_us;
        let Some(follower) = &mut self.control else { return Ok(()) };
        let seen = follower.subscriber.newest_seen();
        let step = follower.subscriber.on_message(now_us, text);
        let newest = follower.subscriber.newest_seen();
        if newest > seen {
            tracing::info!(version = %newest, "configuration published");
        }
        match step {
            Step::Nothing => {}
            Step::Take { version, document } => self.take_configuration(version, &document),
            Step::Refused { version, reason } => {
                let report = follower.subscriber.refusal(version, &reason);
                self.refused(version, reason);
                self.report(report);
            }
            Step::Resync => return Err(Resync),
        }
        Ok(())
    }

    fn take_configuration(&mut self, version: Version, document: &Document) {
        let result = self.reconfigure(&document.canonical()).map_err(|e| e.to_string());
        match &result {
            Ok(()) => tracing::info!(%version, "configuration in force"),
            Err(reason) => self.refused(version, reason.clone()),
        }
        let Some(follower) = &mut self.control else { return };
        if result.is_ok() {
            follower.refusal = None;
        }
        let report = follower.subscriber.taken(version, result);
        self.report(report);
    }

    fn refused(&mut self, version: Version, reason: String) {
        let Some(follower) = &mut self.control else { return };
        let in_force = follower.in_force();
        tracing::warn!(%version, %in_force, %reason, "configuration refused");
        follower.refusal = Some(Refusal { version, reason });
    }

    /// Reports to the control machine, in place of what has not been told yet: the newest word counts.
    fn report(&mut self, report: Report) {
        let Some(follower) = &mut self.control else { return };
        let fresh = PendingReport { report, conn: None, due_us: 0, failures: 0 };
        if let Some(conn) = follower.report.replace(fresh).and_then(|old| old.conn) {
            conn.close(&self.poll);
        }
        self.send_report();
    }

    fn send_report(&mut self) {
        let now_us = self.time.now_us;
        let Some(follower) = &mut self.control else { return };
        if follower.report.as_ref().is_some_and(|report| report.conn.is_some()) {
            return self.report_failed();
        }
        follower.report_serial = follower.report_serial.wrapping_add(1);
        let (address, key) = (follower.machine(), follower.report_key());
        let conn = self.dial(address, key, control::LONGEST_ANSWER);
        let Some(follower) = &mut self.control else { return };
        let Some(pending) = &mut follower.report else { return };
        match conn {
            Ok(mut conn) => {
                control::report(&follower.gateway, &pending.report, &mut conn.output);
                pending.conn = Some(conn);
                pending.due_us = now_us + REPORT_US;
                self.await_control();
            }
            Err(_) => self.report_failed(),
        }
    }

    /// It is sent again after a pause, to the machine whose turn it is then.
    fn report_failed(&mut self) {
        let chance = self.sessions.secret();
        let Some(pending) = self.control.as_mut().and_then(|follower| follower.report.as_mut()) else {
            return;
        };
        if let Some(conn) = pending.conn.take() {
            conn.close(&self.poll);
        }
        let longest_us = RETRY_US.0.saturating_mul(1 << pending.failures.min(16)).min(RETRY_US.1);
        pending.failures += 1;
        pending.due_us = self.time.now_us + u64::from(chance) % longest_us + 1;
        self.await_control();
    }

    pub(super) fn report_ready(&mut self, key: u64, interest: Interest) {
        let Some(follower) = &mut self.control else { return };
        let is_it = key == follower.report_key();
        let Some(conn) = follower.report.as_mut().filter(|_| is_it).and_then(|report| report.conn.as_mut())
        else {
            return;
        };
        if !finish_connect(conn, interest) {
            return self.report_failed();
        }
        if conn.phase == Phase::Connecting {
            return;
        }
        let end = if interest.read { conn.fill(control::LONGEST_ANSWER) } else { ReadEnd::WouldBlock };
        let taken = control::is_taken(&conn.input);
        let broken = conn.flush().is_err() || conn.update(&self.poll, key).is_err();
        let ended = broken || matches!(end, ReadEnd::Eof | ReadEnd::Broken);
        match taken {
            Some(true) => {
                if let Some(conn) = follower.report.take().and_then(|report| report.conn) {
                    conn.close(&self.poll);
                }
            }
            Some(false) => self.report_failed(),
            None if ended => self.report_failed(),
            None => {}
        }
    }
}

/// The stream has to be opened anew.
struct Resync;

/// Sees whether a connection that is being opened has come up. False: it never will.
fn finish_connect(conn: &mut Connection, interest: Interest) -> bool {
    let waits = conn.phase == Phase::Connecting && (interest.write || interest.read);
    !waits || conn.finish_connect().is_ok()
}
