//! A process that holds idle sessions, as no single one has descriptors for all of them. It takes commands on its
//! standard input, a line each, and answers each with a line of JSON.

use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use wrenhatch::net::poll::{Interest, Poll, Trigger};

use crate::Front;
use crate::spread::{Spread, histogram};

/// What a command came to.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Done {
    /// Sessions that did what they were to do.
    pub done: usize,
    /// Sessions that got neither an answer nor a refusal.
    pub lost: usize,
    /// How long it took from the first to the last, in milliseconds.
    pub ms: f64,
    /// The 99th percentile of the single ones, in milliseconds.
    pub p99_ms: f64,
    /// The longest single one, in milliseconds.
    pub max_ms: f64,
}

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A session of either front, started.
pub fn open(address: SocketAddr, source: IpAddr, front: Front) -> anyhow::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.connect(&address.into())?;
    let mut stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    match front {
        Front::Pg => {
            let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
            let mut start = (body.len() as u32 + 4).to_be_bytes().to_vec();
            start.extend(body);
            stream.write_all(&start)?;
            read_until_ready(&mut stream)?;
        }
        Front::Mysql => {
            packet(&mut stream)?;
            // Protocol 4.1 with native passwords, an empty one.
            let mut hello = (0x1_u32 | 0x200 | 0x8000 | 0x8_0000).to_le_bytes().to_vec();
            hello.extend([0, 0, 0, 1, 45]);
            hello.extend([0; 23]);
            hello.extend(b"unit\0\0mysql_native_password\0");
            let mut sent = (hello.len() as u32).to_le_bytes()[..3].to_vec();
            sent.push(1);
            sent.extend(hello);
            stream.write_all(&sent)?;
            let answer = packet(&mut stream)?;
            anyhow::ensure!(answer.first() == Some(&0), "the login was refused");
        }
    }
    Ok(stream)
}

fn packet(stream: &mut TcpStream) -> anyhow::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut body = vec![0; usize::from(head[0]) | usize::from(head[1]) << 8];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a PostgreSQL query.
pub fn ask(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let mut message = vec![b'Q'];
    message.extend((text.len() as u32 + 5).to_be_bytes());
    message.extend(text.bytes());
    message.push(0);
    stream.write_all(&message)
}

/// Reads PostgreSQL messages until the session is ready; the SQLSTATE of an error among them.
pub fn read_until_ready(stream: &mut TcpStream) -> anyhow::Result<Option<String>> {
    let mut error = None;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.checked_sub(4).context("a bad length")?];
        stream.read_exact(&mut body)?;
        match head[0] {
            b'Z' => return Ok(error),
            b'E' => {
                let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
                // An error of this severity ends the session.
                if body.starts_with(b"SFATAL") {
                    bail!("ended with {code}");
                }
                error = Some(code);
            }
            _ => {}
        }
    }
}

/// A message that an engine has nothing to do with, and the bytes of its answer.
fn empty_query(front: Front) -> (&'static [u8], usize) {
    match front {
        Front::Pg => (b"Q\0\0\0\x05\0", 11),
        Front::Mysql => (b"\x01\0\0\0\x0e", 11),
    }
}

/// The sessions that this process holds.
struct IdleSessions {
    address: SocketAddr,
    source: IpAddr,
    front: Front,
    sessions: Vec<TcpStream>,
}

impl IdleSessions {
    fn open(&mut self, n: usize) -> anyhow::Result<Done> {
        let began = Instant::now();
        let mut each = histogram();
        for _ in 0..n {
            let one = Instant::now();
            self.sessions.push(open(self.address, self.source, self.front)?);
            each.saturating_record(one.elapsed().as_micros() as u64);
        }
        Ok(done(n, 0, began.elapsed(), &Spread::from(&each)))
    }

    /// Has the first `n` sessions send an empty query, all at once.
    fn wake(&mut self, n: usize) -> anyhow::Result<Done> {
        let (query, answer_bytes) = empty_query(self.front);
        let mut poll = Poll::new()?;
        let began = Instant::now();
        let n = n.min(self.sessions.len());
        let mut sent = Vec::with_capacity(n);
        for (at, stream) in self.sessions[..n].iter_mut().enumerate() {
            stream.write_all(query)?;
            sent.push(Instant::now());
            stream.set_nonblocking(true)?;
            poll.add(stream, at as u64, Interest { read: true, write: false }, Trigger::Edge)?;
        }
        let mut missing_bytes = vec![answer_bytes; n];
        let (mut each, mut answered, mut lost) = (histogram(), 0, 0);
        let mut last = began;
        let mut ready = Vec::new();
        while answered + lost < n && began.elapsed() < ANSWER_TIMEOUT {
            poll.wait(Some(Duration::from_millis(100)), &mut ready)?;
            for (key, _) in &ready {
                let at = *key as usize;
                let mut bytes = [0; 64];
                loop {
                    match self.sessions[at].read(&mut bytes) {
                        Ok(n) if n > 0 && missing_bytes[at] > 0 => {
                            missing_bytes[at] = missing_bytes[at].saturating_sub(n);
                            if missing_bytes[at] == 0 {
                                answered += 1;
                                last = Instant::now();
                                each.saturating_record(sent[at].elapsed().as_micros() as u64);
                            }
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                        _ => {
                            lost += usize::from(std::mem::take(&mut missing_bytes[at]) > 0);
                            break;
                        }
                    }
                }
            }
        }
        for stream in &self.sessions[..n] {
            poll.remove(stream);
            stream.set_nonblocking(false)?;
        }
        Ok(done(answered, n - answered, last - began, &Spread::from(&each)))
    }

    /// Opens `n` sessions anew before the gateway can read the ends of as many old ones.
    fn reconnect(&mut self, n: usize) -> anyhow::Result<Done> {
        let n = n.min(self.sessions.len());
        let opened = self.open(n)?;
        self.sessions.drain(..n).for_each(drop);
        Ok(opened)
    }

    /// Opens and closes sessions for so long.
    fn churn(&mut self, span: Duration) -> anyhow::Result<Done> {
        let (began, mut each, mut count) = (Instant::now(), histogram(), 0);
        while began.elapsed() < span {
            let one = Instant::now();
            let stream = open(self.address, self.source, self.front)?;
            each.saturating_record(one.elapsed().as_micros() as u64);
            // The gateway reads the end of the session before the socket is closed.
            stream.shutdown(Shutdown::Write)?;
            count += 1;
        }
        Ok(done(count, 0, began.elapsed(), &Spread::from(&each)))
    }
}

fn done(done: usize, lost: usize, took: Duration, each: &Spread) -> Done {
    Done { done, lost, ms: took.as_secs_f64() * 1e3, p99_ms: each.p99_ms, max_ms: each.max_ms }
}

/// Holds sessions, and carries out the commands of its input until that ends.
pub fn run(address: SocketAddr, source: IpAddr, front: Front, connections: usize) -> anyhow::Result<()> {
    let mut sessions = IdleSessions { address, source, front, sessions: Vec::new() };
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        let (command, number) = line.split_once(' ').unwrap_or((&line, "0"));
        let number: usize = number.parse()?;
        let done = match command {
            "open" => sessions.open(connections)?,
            "wake" => sessions.wake(number)?,
            "reconnect" => sessions.reconnect(number)?,
            "churn" => sessions.churn(Duration::from_millis(number as u64))?,
            "close" => {
                sessions.sessions.clear();
                Done::default()
            }
            other => bail!("no such command: {other}"),
        };
        println!("{}", serde_json::to_string(&done)?);
    }
    Ok(())
}
