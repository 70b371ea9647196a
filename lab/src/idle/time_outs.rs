//! How punctually requests that no engine answers are ended, beside suspended sessions.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::Front;
use crate::helper;

/// How punctually requests that nobody answers are ended, as their clients see it.
#[derive(Clone, Debug, Serialize)]
pub struct TimeOut {
    pub class: String,
    pub wait_ms: u64,
    pub count: usize,
    /// From the first to the last, in milliseconds.
    pub apart_ms: f64,
    /// The latest against what was told, less the gateway's own margin, in milliseconds.
    pub late_ms: f64,
}

/// What the gateway keeps of a client's time for the way, and the resolution of the settings.
const MARGIN_MS: f64 = 30.0;

/// Has clients send requests that never end, beside all that are suspended.
pub fn measure(address: SocketAddr, class: &str, wait_ms: u64, count: usize) -> anyhow::Result<TimeOut> {
    let ask = |n: usize| {
        let class = class.to_owned();
        thread::spawn(move || -> anyhow::Result<f64> {
            let mut stream = helper::open(address, Ipv4Addr::LOCALHOST.into(), Front::Pg)?;
            stream.set_read_timeout(Some(Duration::from_secs(30)))?;
            // Not all in one turn, so that each has a time of its own.
            thread::sleep(Duration::from_millis(7 * n as u64));
            let id = format!("{wait_ms:08x}{n:08x}");
            let began = Instant::now();
            helper::ask(
                &mut stream,
                &format!("/* c={class},i={id},d={wait_ms},h=50 */ SELECT never FROM a_1.b"),
            )?;
            helper::read_until_ready(&mut stream)?;
            Ok(began.elapsed().as_secs_f64() * 1e3)
        })
    };
    let threads: Vec<_> = (0..count).map(ask).collect();
    let mut took = Vec::new();
    for thread in threads {
        took.push(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??);
    }
    took.sort_by(f64::total_cmp);
    let (first, last) = (took[0], took[took.len() - 1]);
    Ok(TimeOut {
        class: class.to_owned(),
        wait_ms,
        count,
        apart_ms: last - first,
        late_ms: last - (wait_ms as f64 - MARGIN_MS),
    })
}
