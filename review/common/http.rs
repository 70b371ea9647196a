//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request. Names of headers are in lower case.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request, and calls `first_byte` when its first byte is there. `None`: the connection has ended.
    pub fn read(reader: &mut impl BufRead, first_byte: impl FnOnce()) -> Option<Self> {
        if reader.fill_buf().ok()?.is_empty() {
            return None;
        }
        first_byte();
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut words = line.split_whitespace().map(str::to_owned);
        let (method, path) = (words.next()?, words.next()?);
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = header.trim_end().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut request = Self { method, path, headers, body: Vec::new() };
        let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
        Some(request)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Calls the operators' door of a gateway. `None`: no answer within a second. Else whether it was a yes.
pub fn ops(address: SocketAddr, method: &str, path: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    Some(line.split(' ').nth(1)?.starts_with('2'))
}
