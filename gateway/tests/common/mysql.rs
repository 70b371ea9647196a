//! A minimal MySQL client, and the MySQL protocol of the simulated engines.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sha1::{Digest, Sha1};

use super::EngineState;

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

fn auth_response(password: &str, scramble: &[u8]) -> Vec<u8> {
    let one = Sha1::digest(password);
    let two = Sha1::digest(one);
    let three = Sha1::digest([scramble, &two[..]].concat());
    one.iter().zip(three).map(|(a, b)| a ^ b).collect()
}

/// Length-encoded string of at most 250 bytes.
fn length_encoded(text: &str) -> Vec<u8> {
    assert!(text.len() < 251);
    let mut bytes = vec![text.len() as u8];
    bytes.extend(text.as_bytes());
    bytes
}

/// An answer: text rows, an OK packet, or the number, SQLSTATE and text of an error.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<String>),
    Done,
    Error(u16, String, String),
}

impl Answer {
    /// Whether the request was rejected, so that a retry is safe.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Answer::Error(1041, state, _) if state == "53000")
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::log_in(address, "unit", "pw").unwrap()
    }

    pub fn log_in(address: SocketAddr, user: &str, password: &str) -> Result<Self, Answer> {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        let (_, g) = read_packet(&mut stream).unwrap();
        let version = g[1..].iter().position(|b| *b == 0).unwrap() + 2;
        let scramble = [&g[version + 4..version + 12], &g[version + 31..version + 43]].concat();
        let mut p = CAPABILITIES.to_le_bytes().to_vec();
        p.extend([0, 0, 0, 1, 45]);
        p.extend([0; 23]);
        p.extend(user.bytes().chain([0]));
        p.push(20);
        p.extend(auth_response(password, &scramble));
        p.extend(b"mysql_native_password\0");
        write_packet(&mut stream, 1, &p);
        let mut client = Self { stream };
        match client.answer(false) {
            Answer::Done => Ok(client),
            other => Err(other),
        }
    }

    pub fn command(&mut self, kind: u8, body: &[u8]) {
        write_packet(&mut self.stream, 0, &[&[kind], body].concat());
    }

    pub fn ping(&mut self) -> Answer {
        self.command(0x0e, &[]);
        self.answer(false)
    }

    /// Encodes named text values as query attributes or parameters.
    fn attributes(values: &[(&str, &str)]) -> Vec<u8> {
        let mut p = Vec::new();
        if !values.is_empty() {
            p.extend(vec![0; values.len().div_ceil(8)]);
            p.push(1);
            for (name, _) in values {
                p.extend([0xfd, 0]);
                p.extend(length_encoded(name));
            }
            for (_, value) in values {
                p.extend(length_encoded(value));
            }
        }
        p
    }

    pub fn query(&mut self, text: &str, attributes: &[(&str, &str)]) -> Answer {
        let mut p = vec![attributes.len() as u8, 1];
        p.extend(Self::attributes(attributes));
        p.extend(text.as_bytes());
        self.command(0x03, &p);
        self.answer(false)
    }

    /// Prepares a statement. Returns its handle and number of parameters.
    pub fn prepare(&mut self, text: &str) -> Result<(u32, u16), Answer> {
        self.send_prepare(text);
        self.read_prepared()
    }

    /// Sends COM_STMT_PREPARE without waiting for the response.
    pub fn send_prepare(&mut self, text: &str) {
        self.command(0x16, text.as_bytes());
    }

    /// Whether a response arrives within this time. It is not read.
    pub fn has_response(&mut self, within: Duration) -> bool {
        let timeout = self.stream.read_timeout().unwrap();
        self.stream.set_read_timeout(Some(within)).unwrap();
        let has_response = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_read_timeout(timeout).unwrap();
        has_response
    }

    /// Reads the response to COM_STMT_PREPARE. Returns the statement's handle and number of parameters.
    pub fn read_prepared(&mut self) -> Result<(u32, u16), Answer> {
        let (_, p) = read_packet(&mut self.stream).unwrap();
        if p[0] == 0xff {
            return Err(error(&p));
        }
        let params = u16::from_le_bytes([p[7], p[8]]);
        for _ in 0..params {
            read_packet(&mut self.stream).unwrap();
        }
        Ok((u32::from_le_bytes([p[1], p[2], p[3], p[4]]), params))
    }

    pub fn execute(&mut self, handle: u32, params: &[&str], attributes: &[(&str, &str)]) -> Answer {
        let mut p = handle.to_le_bytes().to_vec();
        p.extend([8, 1, 0, 0, 0]);
        let all: Vec<(&str, &str)> =
            params.iter().map(|v| ("", *v)).chain(attributes.iter().copied()).collect();
        p.push(all.len() as u8);
        p.extend(Self::attributes(&all));
        self.command(0x17, &p);
        self.answer(true)
    }

    pub fn reset(&mut self, handle: u32) -> Answer {
        self.command(0x1a, &handle.to_le_bytes());
        self.answer(false)
    }

    pub fn close_statement(&mut self, handle: u32) {
        self.command(0x19, &handle.to_le_bytes());
    }

    pub fn answer(&mut self, binary: bool) -> Answer {
        let (_, p) = read_packet(&mut self.stream).expect("the connection has ended without an answer");
        match p[0] {
            0 => return Answer::Done,
            0xff => return error(&p),
            columns => (0..columns).for_each(|_| drop(read_packet(&mut self.stream).unwrap())),
        }
        let mut rows = Vec::new();
        loop {
            let (_, p) = read_packet(&mut self.stream).unwrap();
            if p[0] == 0xfe {
                return Answer::Rows(rows);
            }
            // The rows have one column. In the binary protocol, the value follows the header and the null bitmap.
            let cell = if binary { &p[2..] } else { &p[..] };
            rows.push(String::from_utf8(cell[1..=cell[0] as usize].to_vec()).unwrap());
        }
    }
}

fn error(p: &[u8]) -> Answer {
    let text = |b: &[u8]| String::from_utf8(b.to_vec()).unwrap();
    Answer::Error(u16::from_le_bytes([p[1], p[2]]), text(&p[4..9]), text(&p[9..]))
}

/// Serves a connection of an engine. The result of a statement has two rows: the engine name and the parameters. An
/// `INSERT` has no rows, a statement that contains `nonsense` has a syntax error, and one that contains `fail` fails.
pub fn serve(mut stream: TcpStream, state: EngineState) {
    let scramble = *b"abcdefghijklmnopqrst";
    let mut g = b"\x0a8.0.0\0".to_vec();
    g.extend(state.recorder.next_connection_id().to_le_bytes());
    g.extend(&scramble[..8]);
    g.push(0);
    g.extend((CAPABILITIES as u16).to_le_bytes());
    g.extend([45, 2, 0]);
    g.extend(((CAPABILITIES >> 16) as u16).to_le_bytes());
    g.push(21);
    g.extend([0; 10]);
    g.extend(&scramble[8..]);
    g.extend(b"\0mysql_native_password\0");
    write_packet(&mut stream, 0, &g);
    let Some((sequence, reply)) = read_packet(&mut stream) else { return };
    let expected = auth_response("secret", &scramble);
    if !reply.windows(20).any(|w| w == expected) || &reply[32..35] != b"gw\0" {
        write_packet(&mut stream, sequence + 1, b"\xff\x15\x04#28000Access denied");
        return;
    }
    write_packet(&mut stream, sequence + 1, &[0, 0, 0, 2, 0, 0, 0]);
    let mut statements: HashMap<u32, String> = HashMap::new();
    while let Some((_, p)) = read_packet(&mut stream) {
        match p[0] {
            0x03 => {
                let (values, rest) = values(&p[3..], p[1] as usize);
                let sql = String::from_utf8(rest.to_vec()).unwrap();
                run(&mut stream, &state, &sql, &values, 0);
            }
            0x16 => {
                let sql = String::from_utf8(p[1..].to_vec()).unwrap();
                let params = sql.matches('?').count() as u16;
                let id = statements.len() as u32 + 1;
                statements.insert(id, sql);
                let mut ok = vec![0];
                ok.extend(id.to_le_bytes());
                ok.extend([1, 0]);
                ok.extend(params.to_le_bytes());
                ok.extend([0, 0, 0]);
                write_packet(&mut stream, 1, &ok);
                for n in 0..params + 1 {
                    write_packet(&mut stream, 2 + n as u8, &column());
                }
            }
            0x17 => {
                let id = u32::from_le_bytes([p[1], p[2], p[3], p[4]]);
                let (values, _) = values(&p[11..], p[10] as usize);
                match statements.get(&id) {
                    Some(sql) => run(&mut stream, &state, &sql.clone(), &values, 1),
                    None => drop(write_packet(&mut stream, 1, b"\xff\xdb\x04#HY000Unknown statement")),
                }
            }
            _ => drop(write_packet(&mut stream, 1, &[0, 0, 0, 2, 0, 0, 0])),
        }
        if state.is_killed.load(std::sync::atomic::Ordering::SeqCst) {
            return;
        }
    }
}

fn column() -> Vec<u8> {
    let mut c = Vec::new();
    for text in ["def", "", "", "", "v", ""] {
        c.extend(length_encoded(text));
    }
    c.extend([0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    c
}

/// Parses text parameters. Returns their names and values, and the rest of the packet.
fn values(p: &[u8], count: usize) -> (Vec<(String, String)>, &[u8]) {
    if count == 0 {
        return (Vec::new(), p);
    }
    let mut at = count.div_ceil(8) + 1;
    let text = |at: &mut usize| {
        let n = p[*at] as usize;
        let text = String::from_utf8(p[*at + 1..=*at + n].to_vec()).unwrap();
        *at += n + 1;
        text
    };
    let mut names = Vec::new();
    for _ in 0..count {
        at += 2;
        names.push(text(&mut at));
    }
    let values = names.into_iter().map(|name| (name, text(&mut at))).collect();
    (values, &p[at..])
}

/// Runs a statement and sends its result. `binary` is 1 for a prepared statement, whose rows have a header and a null
/// bitmap of one byte each, and 0 for text rows.
fn run(stream: &mut TcpStream, state: &EngineState, sql: &str, values: &[(String, String)], binary: usize) {
    if let Some(connection) = sql.strip_prefix("KILL ") {
        state.recorder.record_kill(connection.parse().unwrap());
        write_packet(stream, 1, &[0, 0, 0, 2, 0, 0, 0]);
        return;
    }
    let query_id = values.iter().find(|(n, _)| n == "i").map_or("", |(_, v)| v);
    state.recorder.record_query(&state.name, query_id);
    if !state.run_query() {
        return;
    }
    if sql.contains("nonsense") {
        write_packet(stream, 1, b"\xff\x28\x04#42000You have an error in your SQL syntax");
        return;
    }
    if sql.contains("fail") {
        write_packet(stream, 1, b"\xff\x51\x04#HY000It went wrong");
        return;
    }
    if sql.starts_with("INSERT") {
        write_packet(stream, 1, &[0, 1, 0, 2, 0, 0, 0]);
        return;
    }
    let params: Vec<&str> = values.iter().filter(|(n, _)| n.is_empty()).map(|(_, v)| v.as_str()).collect();
    write_packet(stream, 1, &[1]);
    write_packet(stream, 2, &column());
    for (n, text) in [state.name.as_str(), &params.join(",")].into_iter().enumerate() {
        let mut row = [&[0u8, 0][..], &length_encoded(text)].concat();
        write_packet(stream, 3 + n as u8, &row.split_off(2 - 2 * binary));
    }
    write_packet(stream, 5, &[0xfe, 0, 0, 2, 0, 0, 0]);
}
