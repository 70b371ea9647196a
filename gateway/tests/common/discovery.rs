//! A simulated discovery service.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// Time for which a silent stream stays open.
const SILENT_STREAM_TIME: Duration = Duration::from_secs(60);

/// A discovery service that serves the endpoint list.
pub struct DiscoveryService {
    pub address: SocketAddr,
    /// `Last-Event-ID` of each stream request with this header so far.
    pub last_event_ids: Arc<Mutex<Vec<String>>>,
}

impl DiscoveryService {
    /// Starts a service with these JSON events, numbered from `first`. A stream begins after the last event id of its
    /// request and stays open.
    pub fn with_events(first: usize, events: Vec<String>) -> Self {
        Self::serve(move |_, last, mut stream| {
            for (id, event) in (first..).zip(&events).filter(|(id, _)| *id > last) {
                write_event(&mut stream, id, event);
            }
            write_comments(stream);
        })
    }

    /// Starts a service whose first stream ends after the first event, whose second stream is silent after the second
    /// event, and whose later streams hold only comments. The events are numbered from 2.
    pub fn with_interrupted_streams(events: [String; 2]) -> Self {
        Self::serve(move |n, _, mut stream| {
            if let Some(entries) = events.get(n) {
                let id = n + 2;
                write_event(&mut stream, id, &Self::delta_event(id, entries));
            }
            match n {
                0 => {}
                1 => thread::sleep(SILENT_STREAM_TIME),
                _ => write_comments(stream),
            }
        })
    }

    /// Sends the head of each stream and calls `stream` with the number of the stream, its last event id and the
    /// connection.
    fn serve(stream: impl Fn(usize, usize, TcpStream) + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let last_event_ids = Arc::new(Mutex::new(Vec::new()));
        let requests = last_event_ids.clone();
        thread::spawn(move || {
            for (n, mut connection) in listener.incoming().flatten().enumerate() {
                let (requests, stream) = (requests.clone(), stream.clone());
                thread::spawn(move || {
                    let last = read_last_event_id(&connection, &requests);
                    let _ = connection.write_all(STREAM_HEAD);
                    stream(n, last, connection);
                });
            }
        });
        Self { address, last_event_ids }
    }

    /// JSON of an event that changes these entries.
    pub fn delta_event(index: usize, entries: &str) -> String {
        format!(
            "{{\"index\":{index},\"endpoints\":{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}}}"
        )
    }
}

/// Reads a stream request and returns its last event id, or 0 without one.
fn read_last_event_id(connection: &TcpStream, requests: &Mutex<Vec<String>>) -> usize {
    let mut last = 0;
    let lines = BufReader::new(connection.try_clone().unwrap()).lines().map_while(Result::ok);
    for line in lines.take_while(|line| !line.is_empty()) {
        if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
            last = id.parse().unwrap();
            requests.lock().unwrap().push(id.to_owned());
        }
    }
    last
}

fn write_event(connection: &mut TcpStream, id: usize, data: &str) {
    let _ = connection.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes());
}

fn write_comments(mut connection: TcpStream) {
    while connection.write_all(b": here\n\n").is_ok() {
        thread::sleep(Duration::from_millis(500));
    }
}
