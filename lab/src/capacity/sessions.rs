//! Clients: sessions of PostgreSQL that send statements in a closed loop, or are idle.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::error::CapacityError;

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Latencies are counted in microseconds up to ten minutes, with three digits.
const LATENCIES: (u64, u64, u8) = (1, 600_000_000, 3);
/// Type and length of a message.
const HEAD_BYTES: usize = 5;

/// A session.
pub struct Session {
    stream: BufReader<TcpStream>,
    number: usize,
    statements: u64,
}

/// Outcomes of the statements of sessions.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Statements with all their rows.
    pub served: u64,
    /// Statements that ended with an error.
    pub unserved: u64,
    /// What clients waited, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Tally {
    /// No statement yet.
    pub fn new() -> Result<Self, CapacityError> {
        let (low, high, digits) = LATENCIES;
        let latencies = Histogram::new_with_bounds(low, high, digits);
        let latencies = latencies.map_err(|e| CapacityError::Peer(e.to_string()))?;
        Ok(Self { served: 0, unserved: 0, latencies })
    }

    fn add(&mut self, other: &Self) -> Result<(), CapacityError> {
        self.served += other.served;
        self.unserved += other.unserved;
        self.latencies.add(&other.latencies).map_err(|e| CapacityError::Peer(e.to_string()))
    }
}

impl Session {
    /// Opens a session that goes by this number.
    ///
    /// # Errors
    /// The gateway does not take it.
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

    /// Opens so many.
    ///
    /// # Errors
    /// The gateway does not take one of them.
    pub fn open_all(gateway: SocketAddr, count: usize) -> Result<Vec<Self>, CapacityError> {
        (0..count).map(|number| Self::open(gateway, number)).collect()
    }

    /// Sends a lookup and reads its answer; whether it was served.
    fn send_lookup(&mut self) -> Result<bool, CapacityError> {
        let (run, number, statement) =
            (std::process::id() as u16, self.number as u16, self.statements as u32);
        self.statements += 1;
        let id = format!("{run:04x}{number:04x}{statement:08x}");
        let text = format!("/* c=lookup,i={id},d=3000,t=t0,h=2 */ SELECT v FROM a_1.b");
        let mut message = vec![b'Q'];
        message.extend((text.len() as u32 + 5).to_be_bytes());
        message.extend(text.bytes());
        message.push(0);
        self.stream.get_mut().write_all(&message)?;
        self.read_until_ready()
    }

    /// Reads messages until the session is ready; whether no error was among them.
    fn read_until_ready(&mut self) -> Result<bool, CapacityError> {
        let mut served = true;
        loop {
            let mut head = [0; HEAD_BYTES];
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
                tally.unserved += 1;
            }
            tally.latencies.saturating_record(began.elapsed().as_micros() as u64);
        }
        Ok(tally)
    }
}

/// Has all sessions send statements at once, each in a thread of its own and again as soon as it is answered, until
/// there were so many of all sessions; at least one each.
///
/// # Errors
/// A session was lost.
pub fn closed_loop(sessions: &mut [Session], statements: u64) -> Result<Tally, CapacityError> {
    let each = statements.div_ceil(sessions.len().max(1) as u64);
    let tallies: Vec<Result<Tally, CapacityError>> = thread::scope(|scope| {
        let started: Vec<_> =
            sessions.iter_mut().map(|s| scope.spawn(move || s.send_lookups(each))).collect();
        let lost = || Err(CapacityError::Peer("a client has ended".to_owned()));
        started.into_iter().map(|thread| thread.join().unwrap_or_else(|_| lost())).collect()
    });
    let mut all = Tally::new()?;
    for tally in tallies {
        all.add(&tally?)?;
    }
    Ok(all)
}
