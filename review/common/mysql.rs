//! The MySQL protocol: a client, and the side of an engine. Accounts have no password.
//!
//! An engine runs a statement until its work is done or until a `KILL` names its connection. The work of a statement is
//! the number of milliseconds in its `w = 'N'`, or 50. A result has one row: the engine's name and the statement.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::engine::work_of;
use super::record::Record;

/// Long password, long flag, protocol 4.1, transactions, secure connection, plugin authentication, deprecated EOF and
/// query attributes.
const CAPABILITIES: u32 = 0x1 | 0x4 | 0x200 | 0x2000 | 0x8000 | 0x8_0000 | 0x100_0000 | 0x800_0000;
const OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];

fn read_packet(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn write_packets(stream: &mut TcpStream, first_sequence: u8, bodies: &[Vec<u8>]) -> io::Result<()> {
    let mut bytes = Vec::new();
    for (number, body) in bodies.iter().enumerate() {
        bytes.extend(&(body.len() as u32).to_le_bytes()[..3]);
        bytes.push(first_sequence.wrapping_add(number as u8));
        bytes.extend(body);
    }
    stream.write_all(&bytes)
}

/// A string with its length before it. Strings here are shorter than 251 bytes.
fn text(text: &str) -> Vec<u8> {
    [&[text.len() as u8][..], text.as_bytes()].concat()
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Cells of the rows, in order.
    Rows(Vec<String>),
    Done,
    /// Number and text of an error.
    Error(u16, String),
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, user: &str) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        read_packet(&mut stream)?;
        let mut body = CAPABILITIES.to_le_bytes().to_vec();
        body.extend([0, 0, 0, 1, 45]);
        body.extend([0; 23]);
        body.extend(user.bytes().chain([0]));
        body.push(0);
        body.extend(b"mysql_native_password\0");
        write_packets(&mut stream, 1, &[body])?;
        let mut client = Self { stream };
        match client.answer(false)? {
            Answer::Done => Ok(client),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    fn command(&mut self, kind: u8, body: &[u8]) -> io::Result<()> {
        write_packets(&mut self.stream, 0, &[[&[kind], body].concat()])
    }

    /// Prepares a statement without parameters and returns its handle.
    pub fn prepare(&mut self, statement: &str) -> io::Result<u32> {
        self.command(0x16, statement.as_bytes())?;
        let packet = read_packet(&mut self.stream)?;
        if packet[0] != 0 {
            return Err(io::Error::other(format!("{:?}", error(&packet))));
        }
        Ok(u32::from_le_bytes([packet[1], packet[2], packet[3], packet[4]]))
    }

    /// Executes a prepared statement with these query attributes.
    pub fn execute(&mut self, handle: u32, attributes: &[(&str, &str)]) -> io::Result<Answer> {
        let mut body = handle.to_le_bytes().to_vec();
        body.extend([8, 1, 0, 0, 0, attributes.len() as u8]);
        body.extend(named_values(attributes));
        self.command(0x17, &body)?;
        self.answer(true)
    }

    /// Runs a statement as text with these query attributes.
    pub fn query(&mut self, statement: &str, attributes: &[(&str, &str)]) -> io::Result<Answer> {
        let mut body = vec![attributes.len() as u8, 1];
        body.extend(named_values(attributes));
        body.extend(statement.as_bytes());
        self.command(0x03, &body)?;
        self.answer(false)
    }

    /// Waits until the gateway ends the connection, or until the limit. Returns whether it has ended.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(limit));
        let ended = !matches!(self.stream.read(&mut [0; 64]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        let _ = self.stream.set_read_timeout(Some(Duration::from_secs(40)));
        ended
    }

    fn answer(&mut self, binary: bool) -> io::Result<Answer> {
        let packet = read_packet(&mut self.stream)?;
        match packet[0] {
            0 => return Ok(Answer::Done),
            0xff => return Ok(error(&packet)),
            columns => (0..columns).try_for_each(|_| read_packet(&mut self.stream).map(drop))?,
        }
        let mut cells = Vec::new();
        loop {
            let packet = read_packet(&mut self.stream)?;
            match packet[0] {
                0xfe => return Ok(Answer::Rows(cells)),
                0xff => return Ok(error(&packet)),
                _ => {}
            }
            // A row of the binary form has a header and the bitmap of nulls first.
            let mut rest = if binary { &packet[2..] } else { &packet[..] };
            while let Some((length, after)) = rest.split_first() {
                let (cell, after) = after.split_at(usize::from(*length));
                cells.push(String::from_utf8_lossy(cell).into_owned());
                rest = after;
            }
        }
    }
}

fn error(packet: &[u8]) -> Answer {
    let number = u16::from_le_bytes([packet[1], packet[2]]);
    Answer::Error(number, String::from_utf8_lossy(&packet[9..]).into_owned())
}

fn named_values(values: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    if !values.is_empty() {
        bytes.extend(vec![0; values.len().div_ceil(8)]);
        bytes.push(1);
        for (name, _) in values {
            bytes.extend([0xfd, 0]);
            bytes.extend(text(name));
        }
        values.iter().for_each(|(_, value)| bytes.extend(text(value)));
    }
    bytes
}

/// A statement that an engine was sent over MySQL.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    /// Times in seconds since the start of the case.
    pub began: f64,
    pub ended: Option<f64>,
    /// The client's id, from the query attribute `i`.
    pub id: String,
    pub statement: String,
}

struct State {
    name: String,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Whether a `KILL` has named the statement that the connection runs. Absent: it runs none.
    running: Mutex<HashMap<u32, bool>>,
    changed: Condvar,
    last_connection: Mutex<u32>,
}

/// The MySQL side of an engine. It ends with the program.
pub struct Engine {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine that adds its statements to `runs`.
    pub fn start(name: &str, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = Arc::new(State {
            name: name.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            running: Mutex::default(),
            changed: Condvar::new(),
            last_connection: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Self { address, state }
    }
}

impl State {
    fn note(&self, text: &str) {
        self.record.note(&self.name, text);
    }

    fn serve(&self, mut stream: TcpStream) {
        let connection = {
            let mut last = self.last_connection.lock().unwrap();
            *last += 1;
            *last
        };
        if self.log_in(connection, &mut stream).is_ok() {
            self.note(&format!("MySQL connection {connection} is up"));
            while self.command(connection, &mut stream).is_ok() {}
        }
        self.note(&format!("MySQL connection {connection} has ended"));
    }

    fn log_in(&self, connection: u32, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let scramble = b"abcdefghijklmnopqrst";
        let mut greeting = b"\x0a8.0.0\0".to_vec();
        greeting.extend(connection.to_le_bytes());
        greeting.extend(&scramble[..8]);
        greeting.push(0);
        greeting.extend((CAPABILITIES as u16).to_le_bytes());
        greeting.extend([45, 2, 0]);
        greeting.extend(((CAPABILITIES >> 16) as u16).to_le_bytes());
        greeting.push(21);
        greeting.extend([0; 10]);
        greeting.extend(&scramble[8..]);
        greeting.extend(b"\0mysql_native_password\0");
        write_packets(stream, 0, &[greeting])?;
        read_packet(stream)?;
        write_packets(stream, 2, &[OK.to_vec()])
    }

    /// Handles a command. Handles of prepared statements are the numbers under which the engine has kept their texts.
    fn command(&self, connection: u32, stream: &mut TcpStream) -> io::Result<()> {
        let packet = read_packet(stream)?;
        let malformed = || io::Error::other("malformed");
        match packet.first().copied().ok_or_else(malformed)? {
            0x03 => {
                let count = usize::from(packet[1]);
                let (values, rest) = read_values(&packet[3..], count).ok_or_else(malformed)?;
                let statement = String::from_utf8_lossy(rest).into_owned();
                match statement.strip_prefix("KILL ").and_then(|number| number.parse().ok()) {
                    Some(target) => self.kill(target, stream),
                    None => self.run(connection, stream, &statement, &values, false),
                }
            }
            0x16 => {
                let statement = String::from_utf8_lossy(&packet[1..]).into_owned();
                let handle = PREPARED.lock().unwrap().len() as u32;
                PREPARED.lock().unwrap().push(statement);
                let mut ok = vec![0];
                ok.extend(handle.to_le_bytes());
                ok.extend([0; 7]);
                write_packets(stream, 1, &[ok])
            }
            0x17 => {
                let handle = u32::from_le_bytes([packet[1], packet[2], packet[3], packet[4]]);
                let count = usize::from(packet[10]);
                let (values, _) = read_values(&packet[11..], count).ok_or_else(malformed)?;
                let statement =
                    PREPARED.lock().unwrap().get(handle as usize).cloned().ok_or_else(malformed)?;
                self.run(connection, stream, &statement, &values, true)
            }
            0x19 => Ok(()),
            0x01 => Err(malformed()),
            _ => write_packets(stream, 1, &[OK.to_vec()]),
        }
    }

    /// Ends the statement that the connection runs, and answers when it has ended.
    fn kill(&self, target: u32, stream: &mut TcpStream) -> io::Result<()> {
        self.note(&format!("KILL of MySQL connection {target}"));
        let mut running = self.running.lock().unwrap();
        if let Some(killed) = running.get_mut(&target) {
            *killed = true;
        }
        self.changed.notify_all();
        while running.contains_key(&target) {
            running = self.changed.wait_timeout(running, Duration::from_secs(1)).unwrap().0;
        }
        drop(running);
        write_packets(stream, 1, &[OK.to_vec()])
    }

    fn run(
        &self,
        connection: u32,
        stream: &mut TcpStream,
        statement: &str,
        values: &[(String, String)],
        binary: bool,
    ) -> io::Result<()> {
        let id = values.iter().find(|(name, _)| name == "i").map_or("", |(_, value)| value).to_owned();
        self.note(&format!("runs {id} on MySQL connection {connection}: {statement}"));
        let began = self.record.now();
        let run = Run {
            engine: self.name.clone(),
            began,
            ended: None,
            id: id.clone(),
            statement: statement.to_owned(),
        };
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let done = Instant::now() + work_of(statement);
        let mut running = self.running.lock().unwrap();
        running.insert(connection, false);
        let mut killed = false;
        while Instant::now() < done && !killed {
            let left = done.saturating_duration_since(Instant::now());
            running = self.changed.wait_timeout(running, left).unwrap().0;
            killed = running.get(&connection).copied().unwrap_or(true);
        }
        running.remove(&connection);
        drop(running);
        let ended = self.record.now();
        self.runs.lock().unwrap()[number].ended = Some(ended);
        self.note_end(&id, connection, killed);
        self.changed.notify_all();
        if killed {
            return write_packets(
                stream,
                1,
                &[b"\xff\x25\x05#70100Query execution was interrupted".to_vec()],
            );
        }
        if statement.starts_with("INSERT") {
            return write_packets(stream, 1, &[vec![0, 1, 0, 2, 0, 0, 0]]);
        }
        let mut row = if binary { vec![0, 0] } else { Vec::new() };
        row.extend(text(&self.name));
        row.extend(text(statement));
        write_packets(stream, 1, &[vec![2], column(), column(), row, vec![0xfe, 0, 0, 2, 0, 0, 0]])
    }

    fn note_end(&self, id: &str, connection: u32, killed: bool) {
        let how = if killed { "killed" } else { "done" };
        self.note(&format!("ends {id} on MySQL connection {connection}: {how}"));
    }
}

/// Texts of all statements that were prepared at engines, by their handles.
static PREPARED: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn column() -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in ["def", "", "", "", "v", ""] {
        bytes.extend(text(part));
    }
    bytes.extend([0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    bytes
}

type Values = Vec<(String, String)>;

/// Reads values with their names, all of them texts. Returns them and the rest of the packet.
fn read_values(mut bytes: &[u8], count: usize) -> Option<(Values, &[u8])> {
    fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
        let (head, rest) = bytes.split_at_checked(count)?;
        *bytes = rest;
        Some(head)
    }
    fn take_text(bytes: &mut &[u8]) -> Option<String> {
        let length = usize::from(take(bytes, 1)?[0]);
        Some(String::from_utf8_lossy(take(bytes, length)?).into_owned())
    }
    if count == 0 {
        return Some((Vec::new(), bytes));
    }
    take(&mut bytes, count.div_ceil(8) + 1)?;
    let mut names = Vec::new();
    for _ in 0..count {
        take(&mut bytes, 2)?;
        names.push(take_text(&mut bytes)?);
    }
    let mut values = Vec::new();
    for name in names {
        values.push((name, take_text(&mut bytes)?));
    }
    Some((values, bytes))
}
