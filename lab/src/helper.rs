//! Helper process that holds idle sessions, because one process has too few descriptors for all of them. It reads one
//! command per line from standard input and writes the result of each as one line of JSON to standard output. The
//! commands are `open`, `wake SESSIONS`, `reconnect SESSIONS`, `churn MILLISECONDS` and `close`.

use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use wrenhatch::net::poll::{Interest, Poll, Trigger};

use crate::FrontEnd;
use crate::spread::{Summary, histogram};

/// Result of a command, sent to the parent process as JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CommandResult {
    /// Sessions that completed the command.
    pub done: usize,
    /// Sessions that received no complete answer.
    pub lost: usize,
    /// Time from the start of the command until the last session completed it, in milliseconds.
    pub ms: f64,
    /// 99th percentile of the times of the sessions, in milliseconds.
    pub p99_ms: f64,
    /// Longest time of a session, in milliseconds.
    pub max_ms: f64,
}

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects to a gateway and logs in. Fails if the gateway refuses the login or does not answer in time.
pub fn open_session(address: SocketAddr, source: IpAddr, front: FrontEnd) -> anyhow::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.connect(&address.into())?;
    let mut stream = TcpStream::from(socket);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    match front {
        FrontEnd::Pg => {
            let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
            let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
            startup.extend(body);
            stream.write_all(&startup)?;
            read_until_ready(&mut stream)?;
        }
        FrontEnd::Mysql => {
            read_packet(&mut stream)?;
            // Capability flags for protocol 4.1 with plugin authentication. The password is empty.
            let mut handshake = (0x1_u32 | 0x200 | 0x8000 | 0x8_0000).to_le_bytes().to_vec();
            handshake.extend([0, 0, 0, 1, 45]);
            handshake.extend([0; 23]);
            handshake.extend(b"unit\0\0mysql_native_password\0");
            let mut packet = (handshake.len() as u32).to_le_bytes()[..3].to_vec();
            packet.push(1);
            packet.extend(handshake);
            stream.write_all(&packet)?;
            let answer = read_packet(&mut stream)?;
            anyhow::ensure!(answer.first() == Some(&0), "the gateway refused the MySQL login");
        }
    }
    Ok(stream)
}

/// Reads a MySQL packet of at most 65,535 bytes.
fn read_packet(stream: &mut TcpStream) -> anyhow::Result<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let mut body = vec![0; usize::from(header[0]) | usize::from(header[1]) << 8];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a PostgreSQL query.
pub fn send_query(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let mut message = vec![b'Q'];
    message.extend((text.len() as u32 + 5).to_be_bytes());
    message.extend(text.bytes());
    message.push(0);
    stream.write_all(&message)
}

/// Reads PostgreSQL messages up to ReadyForQuery. Returns the SQLSTATE of the last error among them, `None` without an
/// error. Fails on a FATAL error, or if the gateway closes the session.
pub fn read_until_ready(stream: &mut TcpStream) -> anyhow::Result<Option<String>> {
    let mut error = None;
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        let mut body = vec![0; length.checked_sub(4).context("PostgreSQL message with an invalid length")?];
        stream.read_exact(&mut body)?;
        match header[0] {
            b'Z' => return Ok(error),
            b'E' => {
                let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
                // The server closes the session after a FATAL error.
                if body.starts_with(b"SFATAL") {
                    bail!("the gateway closed the session with SQLSTATE {code}");
                }
                error = Some(code);
            }
            _ => {}
        }
    }
}

/// A message that the gateway answers without an engine, and the length of the answer in bytes.
fn ping_message(front: FrontEnd) -> (&'static [u8], usize) {
    match front {
        FrontEnd::Pg => (b"Q\0\0\0\x05\0", 11),
        FrontEnd::Mysql => (b"\x01\0\0\0\x0e", 11),
    }
}

/// Sessions that this process holds.
struct IdleSessions {
    address: SocketAddr,
    source: IpAddr,
    front: FrontEnd,
    sessions: Vec<TcpStream>,
}

impl IdleSessions {
    fn open(&mut self, n: usize) -> anyhow::Result<CommandResult> {
        let began = Instant::now();
        let mut latencies = histogram();
        for _ in 0..n {
            let connecting = Instant::now();
            self.sessions.push(open_session(self.address, self.source, self.front)?);
            latencies.saturating_record(connecting.elapsed().as_micros() as u64);
        }
        Ok(command_result(n, 0, began.elapsed(), &Summary::from(&latencies)))
    }

    /// Sends a ping on each of the first `n` sessions and waits for the answers, at most about `ANSWER_TIMEOUT`.
    fn wake(&mut self, n: usize) -> anyhow::Result<CommandResult> {
        let (ping, answer_bytes) = ping_message(self.front);
        let mut poll = Poll::new()?;
        let began = Instant::now();
        let n = n.min(self.sessions.len());
        let mut sent_at = Vec::with_capacity(n);
        for (index, stream) in self.sessions[..n].iter_mut().enumerate() {
            stream.write_all(ping)?;
            sent_at.push(Instant::now());
            stream.set_nonblocking(true)?;
            poll.add(stream, index as u64, Interest { read: true, write: false }, Trigger::Edge)?;
        }
        let mut unread_bytes = vec![answer_bytes; n];
        let (mut latencies, mut answered, mut lost) = (histogram(), 0, 0);
        let mut last_answer = began;
        let mut ready = Vec::new();
        while answered + lost < n && began.elapsed() < ANSWER_TIMEOUT {
            poll.wait(Some(Duration::from_millis(100)), &mut ready)?;
            for (key, _) in &ready {
                let index = *key as usize;
                let mut bytes = [0; 64];
                loop {
                    match self.sessions[index].read(&mut bytes) {
                        Ok(n) if n > 0 && unread_bytes[index] > 0 => {
                            unread_bytes[index] = unread_bytes[index].saturating_sub(n);
                            if unread_bytes[index] == 0 {
                                answered += 1;
                                last_answer = Instant::now();
                                latencies.saturating_record(sent_at[index].elapsed().as_micros() as u64);
                            }
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                        _ => {
                            lost += usize::from(std::mem::take(&mut unread_bytes[index]) > 0);
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
        Ok(command_result(answered, n - answered, last_answer - began, &Summary::from(&latencies)))
    }

    /// Opens `n` sessions, then closes as many old ones: the gateway accepts the new connections before it can read
    /// the end of the old ones.
    fn reconnect(&mut self, n: usize) -> anyhow::Result<CommandResult> {
        let n = n.min(self.sessions.len());
        let opened = self.open(n)?;
        self.sessions.drain(..n).for_each(drop);
        Ok(opened)
    }

    /// Opens and closes sessions, one after the other, for a given time.
    fn churn(&mut self, duration: Duration) -> anyhow::Result<CommandResult> {
        let (began, mut latencies, mut count) = (Instant::now(), histogram(), 0);
        while began.elapsed() < duration {
            let connecting = Instant::now();
            let stream = open_session(self.address, self.source, self.front)?;
            latencies.saturating_record(connecting.elapsed().as_micros() as u64);
            // Sends a FIN first, since closing a socket with unread data sends only a reset.
            stream.shutdown(Shutdown::Write)?;
            count += 1;
        }
        Ok(command_result(count, 0, began.elapsed(), &Summary::from(&latencies)))
    }
}

fn command_result(done: usize, lost: usize, elapsed: Duration, latencies: &Summary) -> CommandResult {
    CommandResult {
        done,
        lost,
        ms: elapsed.as_secs_f64() * 1e3,
        p99_ms: latencies.p99_ms,
        max_ms: latencies.max_ms,
    }
}

/// Executes commands from standard input until its end.
pub fn run(address: SocketAddr, source: IpAddr, front: FrontEnd, connections: usize) -> anyhow::Result<()> {
    let mut sessions = IdleSessions { address, source, front, sessions: Vec::new() };
    for line in std::io::stdin().lock().lines() {
        let line = line?;
        let (command, number) = line.split_once(' ').unwrap_or((&line, "0"));
        let number: usize = number.parse()?;
        let result = match command {
            "open" => sessions.open(connections)?,
            "wake" => sessions.wake(number)?,
            "reconnect" => sessions.reconnect(number)?,
            "churn" => sessions.churn(Duration::from_millis(number as u64))?,
            "close" => {
                sessions.sessions.clear();
                CommandResult::default()
            }
            other => bail!("unknown command: {other}"),
        };
        println!("{}", serde_json::to_string(&result)?);
    }
    Ok(())
}
