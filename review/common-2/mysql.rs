//! The MySQL protocol as far as the cases need it: a client, and an engine. Logins have an empty password.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CAPABILITIES: u32 = 0x1 | 0x4 | 0x200 | 0x2000 | 0x8000 | 0x8_0000 | 0x100_0000 | 0x800_0000;

fn read_packet(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
    stream.read_exact(&mut body).ok()?;
    Some((head[3], body))
}

fn write_packet(stream: &mut TcpStream, sequence: u8, body: &[u8]) -> bool {
    let mut bytes = (body.len() as u32).to_le_bytes()[..3].to_vec();
    bytes.push(sequence);
    bytes.extend(body);
    stream.write_all(&bytes).is_ok()
}

fn short(text: &str) -> Vec<u8> {
    assert!(text.len() < 251);
    [&[text.len() as u8][..], text.as_bytes()].concat()
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<String>),
    Done,
    Error(u16, String, String),
    None,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, user: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
        read_packet(&mut stream)?;
        let mut login = CAPABILITIES.to_le_bytes().to_vec();
        login.extend([0, 0, 0, 1, 45]);
        login.extend([0; 23]);
        login.extend(user.bytes().chain([0]));
        login.push(0);
        login.extend(b"mysql_native_password\0");
        write_packet(&mut stream, 1, &login);
        let mut client = Self { stream };
        (client.answer() == Answer::Done).then_some(client)
    }

    /// Sends COM_QUERY with text attributes.
    pub fn send(&mut self, sql: &str, attributes: &[(&str, &str)]) -> bool {
        let mut body = vec![3, attributes.len() as u8, 1];
        if !attributes.is_empty() {
            body.extend(vec![0; attributes.len().div_ceil(8)]);
            body.push(1);
            for (name, _) in attributes {
                body.extend([0xfd, 0]);
                body.extend(short(name));
            }
            attributes.iter().for_each(|(_, value)| body.extend(short(value)));
        }
        body.extend(sql.as_bytes());
        write_packet(&mut self.stream, 0, &body)
    }

    pub fn query(&mut self, sql: &str, attributes: &[(&str, &str)]) -> Answer {
        if self.send(sql, attributes) { self.answer() } else { Answer::None }
    }

    pub fn answer(&mut self) -> Answer {
        let Some((_, p)) = read_packet(&mut self.stream) else { return Answer::None };
        match p[0] {
            0 => return Answer::Done,
            0xff => {
                let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
                return Answer::Error(u16::from_le_bytes([p[1], p[2]]), text(&p[4..9]), text(&p[9..]));
            }
            columns => (0..columns).for_each(|_| drop(read_packet(&mut self.stream))),
        }
        let mut rows = Vec::new();
        loop {
            let Some((_, p)) = read_packet(&mut self.stream) else { return Answer::None };
            match p[0] {
                0xfe => return Answer::Rows(rows),
                0xff => return Answer::None,
                length => rows.push(String::from_utf8_lossy(&p[1..=length as usize]).into_owned()),
            }
        }
    }
}

/// How a case shapes its engines.
pub trait Behaviour: Send + Sync + 'static {
    /// How long a statement runs.
    fn work(&self, sql: &str) -> Duration;
    /// How late a new connection comes up.
    fn connection_late(&self, engine: &str) -> Duration;
    fn on_start(&self, engine: &str, connection: u32, id: &str, class: &str);
    fn on_end(&self, engine: &str, connection: u32, id: &str, how: &str);
}

/// The MySQL side of an engine. As in MySQL, a statement runs until it ends, until its connection is named by a KILL, or
/// until the time is over that came with it; it does not notice that its client has closed the connection.
pub struct Engine<B> {
    pub name: String,
    pub address: SocketAddr,
    connections: Mutex<HashMap<u32, (Arc<AtomicBool>, TcpStream)>>,
    last_connection: AtomicU32,
    behaviour: Arc<B>,
}

impl<B: Behaviour> Engine<B> {
    pub fn start(name: &str, behaviour: Arc<B>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            connections: Mutex::default(),
            last_connection: AtomicU32::new(0),
            behaviour,
        });
        let acceptor = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = acceptor.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        thread::sleep(self.behaviour.connection_late(&self.name));
        let connection = self.last_connection.fetch_add(1, Ordering::SeqCst) + 1;
        let scramble = b"abcdefghijklmnopqrst";
        let mut hello = b"\x0a8.0.0\0".to_vec();
        hello.extend(connection.to_le_bytes());
        hello.extend(&scramble[..8]);
        hello.push(0);
        hello.extend((CAPABILITIES as u16).to_le_bytes());
        hello.extend([45, 2, 0]);
        hello.extend(((CAPABILITIES >> 16) as u16).to_le_bytes());
        hello.push(21);
        hello.extend([0; 10]);
        hello.extend(&scramble[8..]);
        hello.extend(b"\0mysql_native_password\0");
        write_packet(&mut stream, 0, &hello);
        let Some((sequence, _)) = read_packet(&mut stream) else { return };
        write_packet(&mut stream, sequence + 1, &[0, 0, 0, 2, 0, 0, 0]);
        let killed = Arc::new(AtomicBool::new(false));
        let Ok(clone) = stream.try_clone() else { return };
        self.connections.lock().unwrap().insert(connection, (killed.clone(), clone));
        while let Some((_, packet)) = read_packet(&mut stream) {
            match packet[0] {
                3 => {
                    let (values, sql) = attributes(&packet[1..]);
                    if !self.query(&mut stream, connection, &killed, &values, &sql) {
                        break;
                    }
                }
                1 => break,
                _ => drop(write_packet(&mut stream, 1, &[0, 0, 0, 2, 0, 0, 0])),
            }
        }
        self.connections.lock().unwrap().remove(&connection);
    }

    /// Runs a statement. Returns false if its connection was killed.
    fn query(
        &self,
        stream: &mut TcpStream,
        connection: u32,
        killed: &AtomicBool,
        values: &HashMap<String, String>,
        sql: &str,
    ) -> bool {
        if let Some(other) = sql.strip_prefix("KILL ") {
            let other = self.connections.lock().unwrap().remove(&other.trim().parse().unwrap_or(0));
            let Some((flag, other)) = other else {
                write_packet(stream, 1, b"\xff\x46\x04#HY000Unknown thread id");
                return true;
            };
            flag.store(true, Ordering::SeqCst);
            let _ = other.shutdown(Shutdown::Both);
            write_packet(stream, 1, &[0, 0, 0, 2, 0, 0, 0]);
            return true;
        }
        let value = |name: &str| values.get(name).cloned().unwrap_or_default();
        let (id, limit) = (value("i"), value("d").parse().unwrap_or(25_000));
        self.behaviour.on_start(&self.name, connection, &id, &value("c"));
        let (began, work) = (Instant::now(), self.behaviour.work(sql));
        loop {
            let how = if killed.load(Ordering::SeqCst) {
                "killed"
            } else if began.elapsed() >= work {
                "done"
            } else if began.elapsed() >= Duration::from_millis(limit) {
                "past its time"
            } else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            self.behaviour.on_end(&self.name, connection, &id, how);
            match how {
                "done" => break,
                "killed" => return false,
                _ => {
                    write_packet(stream, 1, b"\xff\xd0\x0b#HY000Query execution was interrupted, maximum time exceeded");
                    return true;
                }
            }
        }
        if sql.starts_with("INSERT") {
            return write_packet(stream, 1, &[0, 1, 0, 2, 0, 0, 0]);
        }
        let mut column = Vec::new();
        ["def", "", "", "", "v", ""].iter().for_each(|text| column.extend(short(text)));
        column.extend([0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        write_packet(stream, 1, &[1])
            && write_packet(stream, 2, &column)
            && write_packet(stream, 3, &short(&format!("{id} {}", self.name)))
            && write_packet(stream, 4, &[0xfe, 0, 0, 2, 0, 0, 0])
    }
}

/// The query attributes of COM_QUERY, all of them texts, and the statement.
fn attributes(p: &[u8]) -> (HashMap<String, String>, String) {
    let count = p[0] as usize;
    let mut at = 2;
    let mut values = HashMap::new();
    if count > 0 {
        at += count.div_ceil(8) + 1;
        let text = |at: &mut usize| {
            let length = p[*at] as usize;
            let text = String::from_utf8_lossy(&p[*at + 1..=*at + length]).into_owned();
            *at += length + 1;
            text
        };
        let mut names = Vec::new();
        for _ in 0..count {
            at += 2;
            names.push(text(&mut at));
        }
        for name in names {
            let value = text(&mut at);
            values.insert(name, value);
        }
    }
    (values, String::from_utf8_lossy(&p[at..]).into_owned())
}
