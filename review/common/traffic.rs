//! Clients that each send a lookup every 50 ms, on a connection of their own. One whose connection ends opens another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::engine::Engine;
use super::pg;
use super::record::Record;

const CLIENTS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(50);

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

pub struct Traffic {
    ends: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Counts>>,
}

impl Traffic {
    pub fn start(gateway: SocketAddr, record: &Record) -> Self {
        let (ends, ids) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let client = |number| {
            let (ends, ids, record) = (ends.clone(), ids.clone(), record.clone());
            thread::spawn(move || run_client(gateway, number, &ends, &ids, &record))
        };
        Self { clients: (1..=CLIENTS).map(client).collect(), ends }
    }

    /// Ends the clients.
    pub fn stop(self) -> Counts {
        self.ends.store(true, Ordering::SeqCst);
        let mut sum = Counts::default();
        for counts in self.clients.into_iter().filter_map(|client| client.join().ok()) {
            sum.served += counts.served;
            sum.refused += counts.refused;
            sum.failed += counts.failed;
        }
        sum
    }
}

fn run_client(gateway: SocketAddr, number: u64, ends: &AtomicBool, ids: &AtomicU64, record: &Record) -> Counts {
    let (mut counts, mut client) = (Counts::default(), None);
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        let connection: Option<pg::Client> = client.take().or_else(|| pg::Client::connect(gateway).ok());
        let Some(mut connection) = connection else { continue };
        let id = format!("{:016x}", ids.fetch_add(1, Ordering::SeqCst));
        let text = format!("/* c=lookup,i={id},d=2000,t=acme */ SELECT v FROM bays_7.settings WHERE w = '40'");
        let answer = connection.query(&text);
        record.note(&format!("client {number}"), &format!("{id}: {answer:?}"));
        let Ok(answer) = answer else { continue };
        match answer {
            _ if answer.is_served() => counts.served += 1,
            _ if answer.is_refused() => counts.refused += 1,
            _ => counts.failed += 1,
        }
        client = Some(connection);
    }
    counts
}

/// Number of requests whose first byte reached the engine after this time, in seconds since the start of the case.
pub fn sends_after(engine: &Engine, time: f64) -> usize {
    engine.sent().iter().filter(|sent| sent.at > time).count()
}
