//! A new configuration moves discovery to a coordinator that is slow: it begins to answer a request 3.5 s after it was
//! asked. Then an engine drains.

#[path = "../common/mod.rs"]
mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use common::coordinator::{self, Coordinator};
use common::engine::Engine;
use common::gateway::{Deployment, SIGHUP};
use common::record::{Record, stop};
use common::traffic::{Traffic, sends_after};
use common::trouble;

/// `drain-grace-s` of the settings, and the 50 ms by which each limit is longer on sockets.
const GRACE: f64 = 0.5 + 0.05;
/// What the coordinator has to tell counts as told this much later at the latest.
const TOLD_AT_LAST: f64 = 7.0;
/// After SIGHUP, it counts as told this much later.
const TOLD_AFTER_SIGHUP: f64 = 4.0;
/// Time that the slow coordinator takes to begin its answer. Shorter than either of these limits.
const SLOW: Duration = Duration::from_millis(3500);

fn main() {
    let record = Record::create();
    let [staying, draining] = ["e1", "e2"].map(|name| Engine::start(name, &record));
    let known = vec![coordinator::event(1, true, &[staying.entry("Ready", 0), draining.entry("Ready", 0)])];
    let first = Coordinator::start("coordinator-1", &record, known.clone());
    let second = Coordinator::start("coordinator-2", &record, known.clone());
    let deployment = Deployment::new(&known, Some(first.address), None);
    let gateway = deployment.start("gateway", &record);
    let traffic = Traffic::start(deployment.listen, &record);
    thread::sleep(Duration::from_secs(3));
    if draining.sent().is_empty() {
        stop("an engine is not used");
    }

    if trouble() {
        second.answer_after(SLOW);
    }
    deployment.configure(&known, Some(second.address));
    let sighup = record.now();
    gateway.signal(SIGHUP);
    first.retire();
    // A reader that waits for its answer, to show that the coordinator does answer.
    let (address, its_record) = (second.address, record.clone());
    thread::spawn(move || read_patiently(address, &its_record));
    thread::sleep(Duration::from_secs(1));
    let told = second.tell(&[draining.entry("Terminating", 0)]);
    thread::sleep(Duration::from_secs(18));
    let counts = traffic.stop();
    drop(gateway);

    let told_at_last = (told + TOLD_AT_LAST).max(sighup + TOLD_AFTER_SIGHUP);
    let late = sends_after(&draining, told_at_last + GRACE);
    let text = format!(
        "e2 drains since {told:.3} s, and that counts as told at {told_at_last:.3} s at the latest: {late} new \
         requests went to e2 more than {GRACE} s later; clients: {counts:?}"
    );
    std::process::exit(record.verdict(late > 0, &text));
}

/// Asks for the events as a gateway does, and notes when they come.
fn read_patiently(address: SocketAddr, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let _ = write!(stream, "GET /v2/stream HTTP/1.1\r\nHost: coordinator\r\nLast-Event-ID: 1\r\n\r\n");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.starts_with("data:") {
            record.note("patient reader", &format!("is told: {line}"));
        }
    }
}
