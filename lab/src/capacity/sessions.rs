//! PostgreSQL client sessions, which send statements in a closed loop or stay idle.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::error::CapacityError;

/// Maximum wait for a message of the gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Lowest and highest latency in microseconds, and significant digits of the histogram.
const LATENCY_HISTOGRAM: (u64, u64, u8) = (1, 600_000_000, 3);
/// Length of the type and length fields of a message.
const HEADER_BYTES: usize = 5;

/// An open client session.
pub struct Session {
    stream: BufReader<TcpStream>,
    number: usize,
    statements: u64,
}

/// Number of statements by outcome, and their latencies.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Statements that ended without an error.
    pub served: u64,
    /// Statements that ended with an error.
    pub failed: u64,
    /// Latencies at the clients, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Tally {
    fn new() -> Result<Self, CapacityError> {
        let (low, high, digits) = LATENCY_HISTOGRAM;
        let latencies = Histogram::new_with_bounds(low, high, digits);
        let latencies = latencies.map_err(|e| CapacityError::Unexpected(e.to_string()))?;
        Ok(Self { served: 0, failed: 0, latencies })
    }

    fn add(&mut self, other: &Self) -> Result<(), CapacityError> {
        self.served += other.served;
        self.failed += other.failed;
        self.latencies.add(&other.latencies).map_err(|e| CapacityError::Unexpected(e.to_string()))
    }
}

impl Session {
    /// Opens a session. The query ids of its statements contain its number modulo 65,536, so sessions of a process with
    /// the same number send the same ids.
    ///
    /// # Errors
    /// The gateway does not accept the session.
    pub fn open(gateway: SocketAddr, number: usize) -> Result<Self, CapacityError> {
        let stream = TcpStream::connect(gateway)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let mut session = Self { stream: BufReader::new(stream), number, statements: 0 };
        let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
        let mut start = (body.len() as u32 + 4).to_be_bytes().to_vec();
        start.extend(body);
        session.stream.get_mut().write_all(&start)?;
        session.read_until_ready()?;
        Ok(session)
    }

    /// Opens `count` sessions, numbered from 0.
    ///
    /// # Errors
    /// The gateway does not accept one of the sessions.
    pub fn open_all(gateway: SocketAddr, count: usize) -> Result<Vec<Self>, CapacityError> {
        (0..count).map(|number| Self::open(gateway, number)).collect()
    }

    /// Sends a lookup and reads its response. Returns whether it succeeded.
    fn send_lookup(&mut self) -> Result<bool, CapacityError> {
        let (process, number, statement) =
            (std::process::id() as u16, self.number as u16, self.statements as u32);
        self.statements += 1;
        let id = format!("{process:04x}{number:04x}{statement:08x}");
        let text = format!("/* c=lookup,i={id},d=3000,t=t0,h=2 */ SELECT v FROM a_1.b");
        let mut message = vec![b'Q'];
        message.extend((text.len() as u32 + 5).to_be_bytes());
        message.extend(text.bytes());
        message.push(0);
        self.stream.get_mut().write_all(&message)?;
        self.read_until_ready()
    }

    /// Reads messages until ReadyForQuery. Returns whether there was no ErrorResponse.
    fn read_until_ready(&mut self) -> Result<bool, CapacityError> {
        let mut served = true;
        loop {
            let mut head = [0; HEADER_BYTES];
            self.stream.read_exact(&mut head)?;
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
            let mut body = vec![0; length.saturating_sub(4) as usize];
            self.stream.read_exact(&mut body)?;
            match head[0] {
                b'Z' => return Ok(served),
                b'E' => served = false,
                _ => {}
            }
        }
    }

    fn send_lookups(&mut self, statements: u64) -> Result<Tally, CapacityError> {
        let mut tally = Tally::new()?;
        for _ in 0..statements {
            let began = Instant::now();
            if self.send_lookup()? {
                tally.served += 1;
            } else {
                tally.failed += 1;
            }
            tally.latencies.saturating_record(began.elapsed().as_micros() as u64);
        }
        Ok(tally)
    }
}

/// Distributes `statements` statements evenly over the sessions, rounded up. The sessions run concurrently, each on a
/// thread of its own that sends the next statement after the response to the previous one.
///
/// # Errors
/// A session was closed or timed out.
pub fn run_closed_loop(sessions: &mut [Session], statements: u64) -> Result<Tally, CapacityError> {
    let per_session = statements.div_ceil(sessions.len().max(1) as u64);
    let tallies: Vec<Result<Tally, CapacityError>> = thread::scope(|scope| {
        let threads: Vec<_> =
            sessions.iter_mut().map(|s| scope.spawn(move || s.send_lookups(per_session))).collect();
        let panicked = || Err(CapacityError::Unexpected("a client thread panicked".to_owned()));
        threads.into_iter().map(|thread| thread.join().unwrap_or_else(|_| panicked())).collect()
    });
    let mut all = Tally::new()?;
    for tally in tallies {
        all.add(&tally?)?;
    }
    Ok(all)
}
