//! Scripted engines whose responses to new queries and cancellations are sent by the test.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use super::scripted::{Connection, Peer, TIMEOUT, row_response};

/// Delay of the response to a poll of a running query.
const POLL_DELAY: Duration = Duration::from_millis(100);

/// A received request that starts or cancels a query, and has no response yet.
pub struct PendingCall {
    pub method: String,
    pub query_id: String,
    connection: Connection,
    calls: Sender<PendingCall>,
}

impl PendingCall {
    /// Finishes the query with one row that holds the query id.
    pub fn finish(self) {
        let text = row_response(&self.query_id);
        self.respond(&text);
    }

    /// Acknowledges the cancellation.
    pub fn acknowledge_cancel(self) {
        self.respond("HTTP/1.1 204 No Content\r\n\r\n");
    }

    fn respond(mut self, text: &str) {
        if self.connection.try_send(text) {
            read_calls(self.connection, self.calls);
        }
    }
}

/// Engines of a test, and the requests that they have received.
pub struct ManualEngines {
    calls: Receiver<PendingCall>,
    /// JSON entries of the engines in the endpoint list.
    pub entries: String,
}

impl ManualEngines {
    pub fn start(names: &[&str]) -> Self {
        let (sender, calls) = channel();
        let peers: Vec<Peer> = names.iter().map(|name| Peer::new(name)).collect();
        let entries: Vec<String> = peers.iter().map(|peer| peer.entry("Ready")).collect();
        for peer in peers {
            let sender = sender.clone();
            thread::spawn(move || {
                loop {
                    read_calls(peer.accept(), sender.clone());
                }
            });
        }
        Self { calls, entries: entries.join(",") }
    }

    /// Waits for the next request that starts or cancels a query.
    pub fn next_call(&self) -> PendingCall {
        self.calls.recv_timeout(TIMEOUT).expect("no engine has received a request")
    }

    /// Waits for the next request, which must start this query.
    pub fn next_start(&self, query_id: &str) -> PendingCall {
        let call = self.next_call();
        assert_eq!((call.method.as_str(), call.query_id.as_str()), ("POST", query_id));
        call
    }
}

/// Spawns a thread that reads a connection up to the next request that starts or cancels a query, and passes that
/// request to the test. The thread responds to earlier polls that the query is running.
fn read_calls(mut connection: Connection, calls: Sender<PendingCall>) {
    thread::spawn(move || {
        while let Some(call) = connection.next_call() {
            if call.method == "GET" {
                thread::sleep(POLL_DELAY);
                if !connection.try_send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n") {
                    return;
                }
                continue;
            }
            let query_id = match call.method.as_str() {
                "POST" => call.query_id().to_owned(),
                _ => call.path.rsplit('/').next().unwrap_or_default().to_owned(),
            };
            let pending = PendingCall { method: call.method, query_id, connection, calls: calls.clone() };
            // Sending to the test fails only if the test has ended.
            let _ = calls.send(pending);
            return;
        }
    });
}
