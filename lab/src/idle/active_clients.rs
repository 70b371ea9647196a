//! Clients that are active beside the idle sessions.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::ensure;
use hdrhistogram::Histogram;

use crate::Front;
use crate::helper;
use crate::spread::{Spread, histogram};

/// Active clients beside the idle ones.
const CLIENTS: usize = 4;

/// Clients that ask for one lookup after the other until they are stopped.
pub struct ActiveClients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<anyhow::Result<Histogram<u64>>>>,
}

impl ActiveClients {
    /// Starts them.
    pub fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |n: usize| {
            let stop = stop.clone();
            thread::spawn(move || ask_for_lookups(address, n, &stop))
        };
        Self { threads: (0..CLIENTS).map(start).collect(), stop }
    }

    /// Stops them; their latencies.
    pub fn end(self) -> anyhow::Result<Spread> {
        self.stop.store(true, Ordering::SeqCst);
        let mut whole = histogram();
        for thread in self.threads {
            whole.add(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??)?;
        }
        Ok(Spread::from(&whole))
    }

    /// Has them run for a time; their latencies.
    pub fn run(address: SocketAddr, span: Duration) -> anyhow::Result<Spread> {
        let active = Self::start(address);
        thread::sleep(span);
        active.end()
    }
}

fn ask_for_lookups(address: SocketAddr, client: usize, stop: &AtomicBool) -> anyhow::Result<Histogram<u64>> {
    let mut stream = helper::open(address, Ipv4Addr::LOCALHOST.into(), Front::Pg)?;
    let mut latencies = histogram();
    let run = std::process::id() as u16;
    for n in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let began = Instant::now();
        let id = format!("{run:04x}{client:02x}{:010x}", n + (began.elapsed().as_nanos() as u64 & 0xff));
        helper::ask(&mut stream, &format!("/* c=lookup,i={id},d=3000,h=2 */ SELECT v FROM a_1.b"))?;
        let error = helper::read_until_ready(&mut stream)?;
        ensure!(error.is_none(), "a lookup ended with {error:?}");
        latencies.saturating_record(began.elapsed().as_micros() as u64);
        // Ready again after a pause, as an active control unit is.
        thread::sleep(Duration::from_millis(3));
    }
    Ok(latencies)
}
