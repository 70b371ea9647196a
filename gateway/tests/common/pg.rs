//! A PostgreSQL client for simple queries.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// An answer: text rows, an empty query response, or the SQLSTATE and text of an error.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<Vec<String>>),
    Empty,
    Error(String, String),
}

pub struct Client {
    stream: TcpStream,
    /// Process id and secret key of `BackendKeyData`, which a cancel request repeats.
    pub key: [u8; 8],
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.set_write_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.write_all(&[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f]).unwrap();
        let mut n = [0];
        stream.read_exact(&mut n).unwrap();
        assert_eq!(n, *b"N");
        let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
        stream.write_all(&(body.len() as u32 + 4).to_be_bytes()).unwrap();
        stream.write_all(body).unwrap();
        let mut client = Self { stream, key: [0; 8] };
        loop {
            let (kind, body) = client.message();
            match kind {
                b'K' => client.key.copy_from_slice(&body),
                b'Z' => return client,
                _ => {}
            }
        }
    }

    /// SQLSTATE with which a new connection is rejected.
    pub fn rejection_code(address: SocketAddr) -> String {
        let (kind, body) = Self::without_startup(address).message();
        assert_eq!(kind, b'E');
        error(&body).0
    }

    pub fn cancel(address: SocketAddr, key: [u8; 8]) {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&[0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e]).unwrap();
        stream.write_all(&key).unwrap();
        // The gateway closes the connection after it has read the request.
        let _ = stream.read(&mut [0]);
    }

    /// Sends a cancel request without waiting until the gateway closes the connection.
    pub fn send_cancel(address: SocketAddr, key: [u8; 8]) -> TcpStream {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(&[&[0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e], &key[..]].concat()).unwrap();
        stream
    }

    /// Connects and sends the startup message and a query without waiting for answers.
    pub fn pipelined(address: SocketAddr, query: &str) -> Self {
        let mut client = Self::without_startup(address);
        let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
        client.send_raw(&[&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat());
        client.send(query);
        client
    }

    /// Waits for the next error, during or after startup, and returns its SQLSTATE.
    pub fn wait_error_code(&mut self) -> String {
        loop {
            let (kind, body) = self.message();
            if kind == b'E' {
                return error(&body).0;
            }
        }
    }

    /// Connects without sending a startup message.
    pub fn without_startup(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        Self { stream, key: [0; 8] }
    }

    /// Returns another handle of the same connection.
    pub fn clone(&self) -> Self {
        Self { stream: self.stream.try_clone().unwrap(), key: self.key }
    }

    /// Connects, or returns `None` if the gateway rejects or closes the connection.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let mut client = Self::without_startup(address);
        let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
        let start = [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat();
        client.stream.write_all(&start).ok()?;
        loop {
            match client.try_message()?.0 {
                b'Z' => return Some(client),
                b'E' => return None,
                _ => {}
            }
        }
    }

    /// SQLSTATE of the next message, or `None` if the message is no error or the connection is closed without one.
    pub fn into_error_code(mut self) -> Option<String> {
        let (kind, body) = self.try_message()?;
        (kind == b'E').then(|| error(&body).0)
    }

    fn try_message(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    /// Waits for input. Returns true if the gateway has closed the connection, and false if it has sent data or reset
    /// the connection.
    pub fn is_closed(&mut self) -> bool {
        self.stream.read(&mut [0]).is_ok_and(|n| n == 0)
    }

    /// Closes the sending direction. Answers can still be read.
    pub fn shutdown_write(&mut self) {
        self.stream.shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends invalid bytes. Returns false if the gateway has closed the connection.
    pub fn try_send_garbage(&mut self, bytes: usize) -> bool {
        self.stream.write_all(&vec![b'x'; bytes]).is_ok()
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    fn message(&mut self) -> (u8, Vec<u8>) {
        self.try_message().expect("the connection has ended without a message")
    }

    pub fn query(&mut self, text: &str) -> Answer {
        self.send(text);
        self.answer()
    }

    pub fn send(&mut self, text: &str) {
        let mut bytes = vec![b'Q'];
        bytes.extend((text.len() as u32 + 5).to_be_bytes());
        bytes.extend(text.as_bytes());
        bytes.push(0);
        self.send_raw(&bytes);
    }

    /// Reads one answer. Panics unless it has exactly one result before `ReadyForQuery`.
    pub fn answer(&mut self) -> Answer {
        let (mut rows, mut results) = (Vec::new(), Vec::new());
        loop {
            let (kind, body) = self.message();
            match kind {
                b'D' => {
                    let (mut at, mut row) = (2, Vec::new());
                    while at < body.len() {
                        let n = u32::from_be_bytes(body[at..at + 4].try_into().unwrap()) as usize;
                        row.push(String::from_utf8(body[at + 4..at + 4 + n].to_vec()).unwrap());
                        at += 4 + n;
                    }
                    rows.push(row);
                }
                b'C' => results.push(Answer::Rows(std::mem::take(&mut rows))),
                b'I' => results.push(Answer::Empty),
                b'E' => {
                    let (code, text, severity) = error(&body);
                    results.push(Answer::Error(code, text));
                    if severity == "FATAL" {
                        break;
                    }
                }
                b'Z' => break,
                _ => {}
            }
        }
        assert_eq!(results.len(), 1, "the answer must have exactly one result");
        results.pop().unwrap()
    }
}

/// SQLSTATE, text and severity of an error.
fn error(body: &[u8]) -> (String, String, String) {
    let field = |kind: u8| {
        let f = body.split(|b| *b == 0).find(|f| f.first() == Some(&kind)).unwrap();
        String::from_utf8(f[1..].to_vec()).unwrap()
    };
    (field(b'C'), field(b'M'), field(b'S'))
}
