//! Engines whose responses to new queries and cancellations are sent by the test, on any connection.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use super::script::{PATIENCE, Peer, Wire, row};

/// Delay of the response to a poll of a running query.
const POLL_DELAY: Duration = Duration::from_millis(100);

/// A received request that starts or cancels a query, and has no response yet.
pub struct Pending {
    pub verb: String,
    pub query_id: String,
    wire: Wire,
    calls: Sender<Pending>,
}

impl Pending {
    /// Finishes the query with one row that holds the query id.
    pub fn row(self) {
        let text = row(&self.query_id);
        self.answer(&text);
    }

    /// Acknowledges the cancellation.
    pub fn given_up(self) {
        self.answer("HTTP/1.1 204 No Content\r\n\r\n");
    }

    fn answer(mut self, text: &str) {
        if self.wire.try_say(text) {
            read(self.wire, self.calls);
        }
    }
}

/// Engines of a test, and the requests that they have received.
pub struct Engines {
    calls: Receiver<Pending>,
    /// JSON entries of the engines in the endpoint list.
    pub entries: String,
}

impl Engines {
    pub fn start(names: &[&str]) -> Self {
        let (sender, calls) = channel();
        let peers: Vec<Peer> = names.iter().map(|name| Peer::new(name)).collect();
        let entries: Vec<String> = peers.iter().map(|peer| peer.entry("Ready")).collect();
        for peer in peers {
            let sender = sender.clone();
            thread::spawn(move || {
                loop {
                    read(peer.accept(), sender.clone());
                }
            });
        }
        Self { calls, entries: entries.join(",") }
    }

    /// Waits for the next request that starts or cancels a query.
    pub fn next(&self) -> Pending {
        self.calls.recv_timeout(PATIENCE).expect("no engine has received a request")
    }

    /// Waits for the next request, which must start this query.
    pub fn next_start(&self, query_id: &str) -> Pending {
        let call = self.next();
        assert_eq!((call.verb.as_str(), call.query_id.as_str()), ("POST", query_id));
        call
    }
}

/// Reads a connection in a thread until a request that the test must respond to. Responds to polls itself that the
/// query is running.
fn read(mut wire: Wire, calls: Sender<Pending>) {
    thread::spawn(move || {
        while let Some(call) = wire.next_call() {
            if call.verb == "GET" {
                thread::sleep(POLL_DELAY);
                if !wire.try_say("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n") {
                    return;
                }
                continue;
            }
            let query_id = match call.verb.as_str() {
                "POST" => call.query_id().to_owned(),
                _ => call.path.rsplit('/').next().unwrap_or_default().to_owned(),
            };
            let pending = Pending { verb: call.verb, query_id, wire, calls: calls.clone() };
            // Sending to the test fails only if the test has ended.
            let _ = calls.send(pending);
            return;
        }
    });
}
