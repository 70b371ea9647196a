//! Scripted engines that report each query as running until the test finishes it. Cancellations have no effect.

use std::collections::HashSet;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::scripted::{Connection, Peer, TIMEOUT, row_response};

/// Delay of the response to a poll of a running query.
const POLL_DELAY: Duration = Duration::from_millis(100);

type Finished = Arc<Mutex<HashSet<String>>>;

/// A query that runs until the test finishes it.
pub struct RunningQuery {
    query_id: String,
    finished: Finished,
}

impl RunningQuery {
    /// Finishes the query with one row that holds the query id.
    pub fn finish(self) {
        self.finished.lock().unwrap().insert(self.query_id);
    }
}

/// Engines of a test, and the queries that were started on them.
pub struct GatedEngines {
    starts: Receiver<String>,
    finished: Finished,
    /// JSON entries of the engines in the endpoint list.
    pub entries: String,
}

impl GatedEngines {
    pub fn start(names: &[&str]) -> Self {
        let ((sender, starts), finished) = (channel(), Finished::default());
        let peers: Vec<Peer> = names.iter().map(|name| Peer::new(name)).collect();
        let entries: Vec<String> = peers.iter().map(|peer| peer.entry("Ready")).collect();
        for peer in peers {
            let (sender, finished) = (sender.clone(), finished.clone());
            thread::spawn(move || {
                loop {
                    let (connection, sender, finished) = (peer.accept(), sender.clone(), finished.clone());
                    thread::spawn(move || serve(connection, &sender, &finished));
                }
            });
        }
        Self { starts, finished, entries: entries.join(",") }
    }

    /// Waits for the next query to be started, which must be this one.
    pub fn next_start(&self, query_id: &str) -> RunningQuery {
        assert_eq!(self.starts.recv_timeout(TIMEOUT).expect("no query was started"), query_id);
        RunningQuery { query_id: query_id.to_owned(), finished: self.finished.clone() }
    }

    /// Whether all started queries were returned by [`GatedEngines::next_start`].
    pub fn has_started_no_other(&self) -> bool {
        self.starts.try_recv().is_err()
    }
}

fn serve(mut connection: Connection, starts: &Sender<String>, finished: &Finished) {
    while let Some(call) = connection.next_call() {
        let is_written = match call.method.as_str() {
            "POST" => {
                // Sending to the test fails only if the test has ended.
                let _ = starts.send(call.query_id().to_owned());
                connection.try_send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            }
            "GET" => {
                let query_id = call.path.split('/').nth(2).unwrap_or_default().to_owned();
                connection.try_send(&poll_response(&query_id, finished))
            }
            _ => connection.try_send("HTTP/1.1 204 No Content\r\n\r\n"),
        };
        if !is_written {
            return;
        }
    }
}

fn poll_response(query_id: &str, finished: &Finished) -> String {
    let started = Instant::now();
    while started.elapsed() < POLL_DELAY {
        if finished.lock().unwrap().contains(query_id) {
            return row_response(query_id);
        }
        thread::sleep(Duration::from_millis(2));
    }
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".to_owned()
}
