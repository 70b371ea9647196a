//! A scripted control plane server: tests write its streams, and read the reports that it accepts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use wrenhatch_configuration::{Delta, Document, Message, Report, Snapshot, Version};

use super::script::{Call, PATIENCE, Peer, Wire};

/// The settings with which gateways of tests start.
pub fn start_settings() -> String {
    let config: serde_json::Value =
        serde_json::from_str(&include_str!("config.json").replace("LIST", "")).unwrap();
    config["settings"].to_string()
}

/// The settings of the start, changed as a text.
pub fn changed(change: impl Fn(String) -> String) -> Document {
    let before = start_settings();
    let after = change(before.clone());
    assert_ne!(before, after, "the change replaces nothing");
    after.parse().unwrap()
}

pub fn snapshot(version: u64, document: &Document) -> String {
    Message::Snapshot(Snapshot::of(Version(version), document)).encode()
}

pub fn delta(from: (u64, &Document), to: (u64, &Document)) -> String {
    Message::Delta(Delta::between((Version(from.0), from.1), (Version(to.0), to.1))).encode()
}

/// The stream of one gateway.
pub struct ControlPlaneStream {
    pub wire: Wire,
    /// The version that the gateway has in force.
    pub version: u64,
}

impl ControlPlaneStream {
    pub fn send(&mut self, message: &str) {
        self.wire.say(&format!("data: {message}\n\n"));
    }

    pub fn current(&mut self, version: u64) {
        self.send(&Message::Current(Version(version)).encode());
    }
}

/// A scripted control plane server.
pub struct ControlPlaneServer {
    pub address: SocketAddr,
    streams: Receiver<(Wire, Call)>,
    /// A stream that is open and that the test has not asked for yet.
    seen: RefCell<Option<(Wire, Call)>>,
    reports: Receiver<Report>,
    /// Reports that are rejected before one is accepted.
    to_reject: Arc<AtomicUsize>,
}

impl ControlPlaneServer {
    pub fn start() -> Self {
        let peer = Peer::new("control");
        let address = peer.address;
        let ((streams_in, streams), (reports_in, reports)) = (channel(), channel());
        let to_reject = Arc::<AtomicUsize>::default();
        let rejects = to_reject.clone();
        thread::spawn(move || {
            loop {
                let (wire, streams, reports) = (peer.accept(), streams_in.clone(), reports_in.clone());
                let rejects = rejects.clone();
                thread::spawn(move || answer(wire, &streams, &reports, &rejects));
            }
        });
        Self { address, streams, seen: RefCell::default(), reports, to_reject }
    }

    /// The next stream that a gateway opens; its head is answered.
    pub fn stream(&self) -> ControlPlaneStream {
        let seen = self.seen.borrow_mut().take();
        let next = || self.streams.recv_timeout(PATIENCE).expect("a gateway opens a stream");
        let (mut wire, call) = seen.unwrap_or_else(next);
        assert_eq!((call.path.as_str(), call.headers["gateway"].as_str()), ("/v1/configuration", "t"));
        wire.stream();
        ControlPlaneStream { wire, version: call.headers["version"].parse().unwrap() }
    }

    /// Rejects so many reports from here on.
    pub fn reject(&self, reports: usize) {
        self.to_reject.store(reports, Ordering::SeqCst);
    }

    /// Whether a gateway has opened a stream here and not at the other server.
    pub fn is_first_of(&self, other: &Self) -> bool {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            for server in [self, other] {
                if let Ok(stream) = server.streams.try_recv() {
                    *server.seen.borrow_mut() = Some(stream);
                    return std::ptr::eq(server, self);
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("no gateway opens a stream");
    }

    /// The next report.
    pub fn report(&self) -> Report {
        self.reports.recv_timeout(PATIENCE).expect("a gateway reports")
    }

    /// The next report, which must say that this version is in force.
    pub fn applied(&self, version: u64) {
        assert_eq!(self.report(), Report::Applied { version: Version(version) });
    }
}

fn answer(mut wire: Wire, streams: &Sender<(Wire, Call)>, reports: &Sender<Report>, to_reject: &AtomicUsize) {
    let Some(call) = wire.next_call() else { return };
    // The test may be over.
    if call.verb == "GET" {
        let _ = streams.send((wire, call));
        return;
    }
    assert_eq!(call.path, "/v1/configuration/report");
    if to_reject.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok() {
        wire.try_say("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let (gateway, report) = Report::parse(std::str::from_utf8(&call.body).unwrap()).unwrap();
    assert_eq!(gateway.0, "t");
    let _ = reports.send(report);
    wire.try_say("HTTP/1.1 204 No Content\r\n\r\n");
}
