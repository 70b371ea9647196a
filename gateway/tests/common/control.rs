//! A scripted control plane server: tests write to its streams and read the reports that it accepts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use wrenhatch_configuration::{Delta, Document, Message, Report, Snapshot, Version};

use super::scripted::{Call, Connection, Peer, TIMEOUT};

/// Settings in `config.json`, from which the configuration files of the tested gateways are made.
pub fn initial_settings() -> String {
    let config: serde_json::Value =
        serde_json::from_str(&include_str!("config.json").replace("LIST", "")).unwrap();
    config["settings"].to_string()
}

/// The initial settings with a change to their JSON text. Panics if the change has no effect.
pub fn settings(change: impl Fn(String) -> String) -> Document {
    let before = initial_settings();
    let after = change(before.clone());
    assert_ne!(before, after, "the change has no effect");
    after.parse().unwrap()
}

pub fn snapshot(version: u64, document: &Document) -> String {
    Message::Snapshot(Snapshot::new(Version(version), document)).encode()
}

pub fn delta(from: (u64, &Document), to: (u64, &Document)) -> String {
    Message::Delta(Delta::between((Version(from.0), from.1), (Version(to.0), to.1))).encode()
}

/// The configuration stream of one gateway.
pub struct ControlPlaneStream {
    pub connection: Connection,
    /// Version in the request of the stream: the version in force, or 0 to request a snapshot.
    pub version: u64,
}

impl ControlPlaneStream {
    pub fn send(&mut self, message: &str) {
        self.connection.send(&format!("data: {message}\n\n"));
    }

    pub fn send_heartbeat(&mut self, version: u64) {
        self.send(&Message::Current(Version(version)).encode());
    }
}

/// A scripted control plane server.
pub struct ControlPlaneServer {
    pub address: SocketAddr,
    streams: Receiver<(Connection, Call)>,
    /// A stream that was received by [`ControlPlaneServer::is_contacted_before`] and is returned next.
    received: RefCell<Option<(Connection, Call)>>,
    reports: Receiver<Report>,
    /// Number of reports to reject before the next one is accepted.
    reports_to_reject: Arc<AtomicUsize>,
}

impl ControlPlaneServer {
    pub fn start() -> Self {
        let peer = Peer::new("control");
        let address = peer.address;
        let ((streams_in, streams), (reports_in, reports)) = (channel(), channel());
        let reports_to_reject = Arc::<AtomicUsize>::default();
        let to_reject = reports_to_reject.clone();
        thread::spawn(move || {
            loop {
                let (connection, streams, reports) = (peer.accept(), streams_in.clone(), reports_in.clone());
                let to_reject = to_reject.clone();
                thread::spawn(move || serve(connection, &streams, &reports, &to_reject));
            }
        });
        Self { address, streams, received: RefCell::default(), reports, reports_to_reject }
    }

    /// Waits for the next stream that the gateway named `t` opens, and sends the response head.
    pub fn accept_stream(&self) -> ControlPlaneStream {
        let received = self.received.borrow_mut().take();
        let next = || self.streams.recv_timeout(TIMEOUT).expect("no gateway has opened a stream");
        let (mut connection, call) = received.unwrap_or_else(next);
        assert_eq!((call.path.as_str(), call.headers["gateway"].as_str()), ("/v1/configuration", "t"));
        connection.send_stream_head();
        ControlPlaneStream { connection, version: call.headers["version"].parse().unwrap() }
    }

    /// Rejects this number of further reports. The gateway must send a rejected report again.
    pub fn reject_reports(&self, reports: usize) {
        self.reports_to_reject.store(reports, Ordering::SeqCst);
    }

    /// Waits until a gateway opens a stream at this server or the other one. Returns whether it is this one.
    pub fn is_contacted_before(&self, other: &Self) -> bool {
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            for server in [self, other] {
                if let Ok(stream) = server.streams.try_recv() {
                    *server.received.borrow_mut() = Some(stream);
                    return std::ptr::eq(server, self);
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("no gateway has opened a stream");
    }

    /// Waits for the next accepted report.
    pub fn next_report(&self) -> Report {
        self.reports.recv_timeout(TIMEOUT).expect("no gateway has sent a report")
    }

    /// Waits for the next report, which must state that this version is in force.
    pub fn expect_applied(&self, version: u64) {
        assert_eq!(self.next_report(), Report::Applied { version: Version(version) });
    }
}

fn serve(
    mut connection: Connection,
    streams: &Sender<(Connection, Call)>,
    reports: &Sender<Report>,
    reports_to_reject: &AtomicUsize,
) {
    let Some(call) = connection.next_call() else { return };
    // Sending to the test fails only if the test has ended.
    if call.method == "GET" {
        let _ = streams.send((connection, call));
        return;
    }
    assert_eq!(call.path, "/v1/configuration/report");
    if reports_to_reject.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok() {
        connection.try_send("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let (gateway, report) = Report::parse(std::str::from_utf8(&call.body).unwrap()).unwrap();
    assert_eq!(gateway.0, "t");
    let _ = reports.send(report);
    connection.try_send("HTTP/1.1 204 No Content\r\n\r\n");
}
