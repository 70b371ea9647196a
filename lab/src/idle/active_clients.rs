//! Clients that send lookups while the other sessions are idle, to measure the latency of active sessions.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::ensure;
use hdrhistogram::Histogram;

use crate::FrontEnd;
use crate::helper;
use crate::spread::{Summary, histogram};

const CLIENTS: usize = 4;

/// Clients that send one lookup after the other until they are stopped.
pub struct ActiveClients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<anyhow::Result<Histogram<u64>>>>,
}

impl ActiveClients {
    /// Starts all clients, each with a thread and a connection to the PostgreSQL front end at `address`.
    pub fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |n: usize| {
            let stop = stop.clone();
            thread::spawn(move || send_lookups(address, n, &stop))
        };
        Self { threads: (0..CLIENTS).map(start).collect(), stop }
    }

    /// Stops all clients and returns their latencies.
    pub fn stop(self) -> anyhow::Result<Summary> {
        self.stop.store(true, Ordering::SeqCst);
        let mut latencies = histogram();
        for thread in self.threads {
            latencies.add(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??)?;
        }
        Ok(Summary::from(&latencies))
    }

    /// Runs the clients for a given time and returns their latencies.
    pub fn run(address: SocketAddr, duration: Duration) -> anyhow::Result<Summary> {
        let active = Self::start(address);
        thread::sleep(duration);
        active.stop()
    }
}

fn send_lookups(address: SocketAddr, client: usize, stop: &AtomicBool) -> anyhow::Result<Histogram<u64>> {
    let mut stream = helper::open_session(address, Ipv4Addr::LOCALHOST.into(), FrontEnd::Pg)?;
    let mut latencies = histogram();
    let process = std::process::id() as u16;
    for n in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let began = Instant::now();
        let id = format!("{process:04x}{client:02x}{:010x}", n + (began.elapsed().as_nanos() as u64 & 0xff));
        helper::send_query(&mut stream, &format!("/* c=lookup,i={id},d=3000,h=2 */ SELECT v FROM a_1.b"))?;
        let error = helper::read_until_ready(&mut stream)?;
        ensure!(error.is_none(), "a lookup ended with {error:?}");
        latencies.saturating_record(began.elapsed().as_micros() as u64);
        // Think time of a client between two requests.
        thread::sleep(Duration::from_millis(3));
    }
    Ok(latencies)
}
