//! A scripted discovery service: its event streams deliver one change of the endpoint list and periodic comments.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::auditor::Event;
use crate::engine::HttpCall;
use crate::generator::StateChange;
use crate::harness::Harness;

const COMMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Index of the change. The list at the start has index 1.
const CHANGE_INDEX: u64 = 2;

/// A bound address. Event streams are served once [`DiscoveryService::serve`] is called.
pub struct DiscoveryService {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl DiscoveryService {
    pub fn listen() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Serves event streams with this change. `entry` is the list entry of the changed engine.
    pub fn serve(self, harness: &Arc<Harness>, change: StateChange, entry: String) {
        let (harness, entry) = (harness.clone(), Arc::new(entry));
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let (harness, entry) = (harness.clone(), entry.clone());
                thread::spawn(move || drop(serve_stream(stream, &harness, change, &entry)));
            }
        });
    }
}

/// Serves one stream until the run is finished.
fn serve_stream(
    mut stream: TcpStream,
    harness: &Harness,
    change: StateChange,
    entry: &str,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(call) = HttpCall::read(&mut reader)? else { return Ok(()) };
    if call.path != "/v2/stream" {
        return Ok(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let last_index = call.headers.get("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
    if last_index < CHANGE_INDEX {
        thread::sleep(Duration::from_millis(change.after_ms).saturating_sub(harness.elapsed()));
        let body = format!("\"index\":{CHANGE_INDEX},\"snapshot\":false,\"endpoints\":[{entry}]");
        let event =
            format!("id: {CHANGE_INDEX}\ndata: {{\"index\":{CHANGE_INDEX},\"endpoints\":{{{body}}}}}\n\n");
        stream.write_all(event.as_bytes())?;
        harness.log(Event::StateAnnounced(change.engine, change.state));
    }
    while !harness.is_finished() {
        stream.write_all(b": here\n\n")?;
        thread::sleep(COMMENT_INTERVAL);
    }
    Ok(())
}
