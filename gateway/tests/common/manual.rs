//! Engines whose queries end when a test says so, whatever connection the calls come over.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use super::script::{PATIENCE, Peer, Wire, row};

/// How long an engine takes to say that a query goes on.
const NEWS: Duration = Duration::from_millis(100);

/// A call that starts a query or gives one up, and awaits its answer.
pub struct Pending {
    pub verb: String,
    pub query_id: String,
    wire: Wire,
    calls: Sender<Pending>,
}

impl Pending {
    /// The end of the query: one row with its own id.
    pub fn row(self) {
        let text = row(&self.query_id);
        self.answer(&text);
    }

    /// The query was given up.
    pub fn given_up(self) {
        self.answer("HTTP/1.1 204 No Content\r\n\r\n");
    }

    fn answer(mut self, text: &str) {
        if self.wire.try_say(text) {
            read(self.wire, self.calls);
        }
    }
}

/// Engines of one test, and the calls that they got.
pub struct Engines {
    calls: Receiver<Pending>,
    /// Their entries in the list.
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

    /// The next call that starts a query or gives one up.
    pub fn next(&self) -> Pending {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }

    /// The next call, which must start this query.
    pub fn next_start(&self, query_id: &str) -> Pending {
        let call = self.next();
        assert_eq!((call.verb.as_str(), call.query_id.as_str()), ("POST", query_id));
        call
    }
}

/// Reads a connection in a thread of its own up to a call that the test answers. Calls for news are answered here:
/// the query goes on.
fn read(mut wire: Wire, calls: Sender<Pending>) {
    thread::spawn(move || {
        while let Some(call) = wire.next_call() {
            if call.verb == "GET" {
                thread::sleep(NEWS);
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
            // The test may be over.
            let _ = calls.send(pending);
            return;
        }
    });
}
