//! The discovery service, simulated.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// How long a stream stays open without a byte, where it falls silent.
const SILENCE: Duration = Duration::from_secs(60);

/// A discovery service, which serves the endpoint list.
pub struct DiscoveryService {
    pub address: SocketAddr,
    /// The `Last-Event-ID` of each stream so far.
    pub requested: Arc<Mutex<Vec<String>>>,
}

impl DiscoveryService {
    /// One with these events alone, numbered from `first`, as JSON; its streams stay open.
    pub fn steady(first: usize, events: Vec<String>) -> Self {
        Self::serve(move |_, last, mut stream| {
            for (id, event) in (first..).zip(&events).filter(|(id, _)| *id > last) {
                write_event(&mut stream, id, event);
            }
            write_comments(stream);
        })
    }

    /// One whose first stream ends after the first event, whose second falls silent after the next, and whose later
    /// ones have nothing but comments. `events` are numbered from 2.
    pub fn unsteady(events: [String; 2]) -> Self {
        Self::serve(move |n, _, mut stream| {
            if let Some(entries) = events.get(n) {
                let id = n + 2;
                write_event(&mut stream, id, &Self::change(id, entries));
            }
            match n {
                0 => {}
                1 => thread::sleep(SILENCE),
                _ => write_comments(stream),
            }
        })
    }

    /// Serves each stream, after its head, by its number, the event that it continues from, and its connection.
    fn serve(stream: impl Fn(usize, usize, TcpStream) + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requested = Arc::new(Mutex::new(Vec::new()));
        let requests = requested.clone();
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
        Self { address, requested }
    }

    /// An event that changes these entries.
    pub fn change(index: usize, entries: &str) -> String {
        format!(
            "{{\"index\":{index},\"endpoints\":{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}}}"
        )
    }
}

/// Reads the head of a call; the event that its stream continues from, 0 for none.
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
