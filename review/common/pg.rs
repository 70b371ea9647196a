//! A client of the PostgreSQL protocol, with simple queries.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Cells of the rows, in order.
    Served(Vec<String>),
    /// SQLSTATE and text of an error.
    Error(String, String),
}

impl Answer {
    pub fn is_refused(&self) -> bool {
        matches!(self, Answer::Error(code, _) if code.starts_with("53") || code == "57P03")
    }

    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        let mut client = Self { stream };
        let body = [&196_608_u32.to_be_bytes()[..], b"user\0app\0database\0warehouse\0\0"].concat();
        let length = (body.len() as u32 + 4).to_be_bytes();
        client.stream.write_all(&[&length[..], &body].concat())?;
        while client.message()?.0 != b'Z' {}
        Ok(client)
    }

    /// Says nothing until the gateway ends the connection.
    pub fn wait_for_end(&mut self) {
        let _ = self.stream.set_read_timeout(None);
        while self.stream.read(&mut [0; 256]).is_ok_and(|length| length > 0) {}
    }

    fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// Sends a query and reads its whole answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.stream.write_all(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat())?;
        let mut answer = Answer::Served(Vec::new());
        loop {
            match (self.message()?, &mut answer) {
                ((b'Z', _), _) => return Ok(answer),
                ((b'D', body), Answer::Served(cells)) => cells.extend(cells_of(&body)),
                ((b'E', body), _) => {
                    answer = Answer::Error(error_field(&body, b'C'), error_field(&body, b'M'));
                }
                _ => {}
            }
        }
    }
}

fn cells_of(row: &[u8]) -> Vec<String> {
    let (mut cells, mut at) = (Vec::new(), 2);
    while at + 4 <= row.len() {
        let length = u32::from_be_bytes([row[at], row[at + 1], row[at + 2], row[at + 3]]) as usize;
        cells.push(String::from_utf8_lossy(&row[at + 4..at + 4 + length]).into_owned());
        at += 4 + length;
    }
    cells
}

fn error_field(body: &[u8], field: u8) -> String {
    let fields = body.split(|byte| *byte == 0).filter(|part| part.first() == Some(&field));
    fields.map(|part| String::from_utf8_lossy(&part[1..]).into_owned()).next().unwrap_or_default()
}
