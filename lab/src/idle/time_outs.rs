//! Measures how late the gateway times out requests that never complete, while other sessions are suspended.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::FrontEnd;
use crate::helper;

/// Times at which clients received the time-out errors of their requests.
#[derive(Clone, Debug, Serialize)]
pub struct TimeoutLag {
    pub class: String,
    pub wait_ms: u64,
    pub count: usize,
    /// Difference between the longest and the shortest time to the error, in milliseconds.
    pub apart_ms: f64,
    /// Longest time to the error beyond the expected time, in milliseconds. The expected time is `wait_ms` less
    /// `MARGIN_MS`.
    pub late_ms: f64,
}

/// Time before the end of a client's wait at which the gateway times out a request: its deadline margin of 25 ms, and
/// the clock resolution of 5 ms in its settings.
const MARGIN_MS: f64 = 30.0;

/// Sends `count` requests that never complete, each on a session of its own, and waits for their time-outs.
pub fn measure(address: SocketAddr, class: &str, wait_ms: u64, count: usize) -> anyhow::Result<TimeoutLag> {
    let client = |n: usize| {
        let class = class.to_owned();
        thread::spawn(move || -> anyhow::Result<f64> {
            let mut stream = helper::open_session(address, Ipv4Addr::LOCALHOST.into(), FrontEnd::Pg)?;
            stream.set_read_timeout(Some(Duration::from_secs(30)))?;
            // Staggers the requests, so that the gateway does not arm all timers in one turn.
            thread::sleep(Duration::from_millis(7 * n as u64));
            let id = format!("{wait_ms:08x}{n:08x}");
            let began = Instant::now();
            helper::send_query(
                &mut stream,
                &format!("/* c={class},i={id},d={wait_ms},h=50 */ SELECT never FROM a_1.b"),
            )?;
            helper::read_until_ready(&mut stream)?;
            Ok(began.elapsed().as_secs_f64() * 1e3)
        })
    };
    let threads: Vec<_> = (0..count).map(client).collect();
    let mut times_ms = Vec::new();
    for thread in threads {
        times_ms.push(thread.join().map_err(|_| anyhow::anyhow!("a client panicked"))??);
    }
    times_ms.sort_by(f64::total_cmp);
    let (shortest, longest) = (times_ms[0], times_ms[times_ms.len() - 1]);
    Ok(TimeoutLag {
        class: class.to_owned(),
        wait_ms,
        count,
        apart_ms: longest - shortest,
        late_ms: longest - (wait_ms as f64 - MARGIN_MS),
    })
}
