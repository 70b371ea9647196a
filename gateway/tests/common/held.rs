//! Engines that accept each query at once and say that it goes on until a test ends it, however long that takes.

use std::collections::HashSet;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::script::{PATIENCE, Peer, Wire, row};

/// How long an engine takes to say that a query goes on.
const NEWS: Duration = Duration::from_millis(100);

type Ended = Arc<Mutex<HashSet<String>>>;

/// A query that runs until it is ended.
pub struct Held {
    query_id: String,
    ended: Ended,
}

impl Held {
    /// The end of the query: one row with its own id.
    pub fn row(self) {
        self.ended.lock().unwrap().insert(self.query_id);
    }
}

/// Engines of one test, and the queries that were started there.
pub struct HeldEngines {
    starts: Receiver<String>,
    ended: Ended,
    /// Their entries in the list.
    pub entries: String,
}

impl HeldEngines {
    pub fn start(names: &[&str]) -> Self {
        let ((sender, starts), ended) = (channel(), Ended::default());
        let peers: Vec<Peer> = names.iter().map(|name| Peer::new(name)).collect();
        let entries: Vec<String> = peers.iter().map(|peer| peer.entry("Ready")).collect();
        for peer in peers {
            let (sender, ended) = (sender.clone(), ended.clone());
            thread::spawn(move || {
                loop {
                    let (wire, sender, ended) = (peer.accept(), sender.clone(), ended.clone());
                    thread::spawn(move || serve(wire, &sender, &ended));
                }
            });
        }
        Self { starts, ended, entries: entries.join(",") }
    }

    /// The next query that is started, which must be this one.
    pub fn next_start(&self, query_id: &str) -> Held {
        assert_eq!(self.starts.recv_timeout(PATIENCE).expect("a query"), query_id);
        Held { query_id: query_id.to_owned(), ended: self.ended.clone() }
    }

    /// Whether no query was started that was not asked for by [`HeldEngines::next_start`].
    pub fn has_started_no_other(&self) -> bool {
        self.starts.try_recv().is_err()
    }
}

fn serve(mut wire: Wire, starts: &Sender<String>, ended: &Ended) {
    while let Some(call) = wire.next_call() {
        let said = match call.verb.as_str() {
            "POST" => {
                // The test may be over.
                let _ = starts.send(call.query_id().to_owned());
                wire.try_say("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            }
            "GET" => {
                let query_id = call.path.split('/').nth(2).unwrap_or_default().to_owned();
                wire.try_say(&news(&query_id, ended))
            }
            _ => wire.try_say("HTTP/1.1 204 No Content\r\n\r\n"),
        };
        if !said {
            return;
        }
    }
}

fn news(query_id: &str, ended: &Ended) -> String {
    let began = Instant::now();
    while began.elapsed() < NEWS {
        if ended.lock().unwrap().contains(query_id) {
            return row(query_id);
        }
        thread::sleep(Duration::from_millis(2));
    }
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".to_owned()
}
