//! A scripted coordinator: one change of the list at its time, and comments.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::auditor::Event;
use crate::draw::Change;
use crate::engine::HttpCall;
use crate::world::World;

/// Its comments come in this period.
const COMMENT: Duration = Duration::from_millis(500);
/// The number of the change.
const INDEX: u64 = 2;

/// Where it listens; nothing is told before [`Coordinator::tell`].
pub struct Coordinator {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Coordinator {
    pub fn listen() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Tells whoever asks of this change, which is worded as this entry.
    pub fn tell(self, world: &Arc<World>, change: Change, entry: String) {
        let (world, entry) = (world.clone(), Arc::new(entry));
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let (world, entry) = (world.clone(), entry.clone());
                thread::spawn(move || drop(tell(stream, &world, change, &entry)));
            }
        });
    }
}

/// Serves one who asks, until all is over.
fn tell(mut stream: TcpStream, world: &World, change: Change, entry: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(call) = HttpCall::read(&mut reader)? else { return Ok(()) };
    if call.path != "/v2/stream" {
        return Ok(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
    let known = call.headers.get("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
    if known < INDEX {
        thread::sleep(Duration::from_millis(change.after_ms).saturating_sub(world.since_start()));
        let body = format!("\"index\":{INDEX},\"snapshot\":false,\"endpoints\":[{entry}]");
        let event = format!("id: {INDEX}\ndata: {{\"index\":{INDEX},\"endpoints\":{{{body}}}}}\n\n");
        stream.write_all(event.as_bytes())?;
        world.log(Event::Told(change.engine, change.state));
    }
    while !world.is_over() {
        stream.write_all(b": here\n\n")?;
        thread::sleep(COMMENT);
    }
    Ok(())
}
