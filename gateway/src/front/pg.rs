//! The PostgreSQL wire protocol, version 3.0, simple queries: a client session without its socket.

use super::{ClientCommand, ClientRequest, ExecutionMode, FinalAnswer, Payload, Rows, fields};

const MAX_STARTUP: usize = 10_000;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL: u32 = (1234 << 16) | 5678;
const SSL: u32 = (1234 << 16) | 5679;
const GSS: u32 = (1234 << 16) | 5680;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    StartUp,
    Ready,
    /// A request is open; what comes behind it waits.
    Busy,
    /// After an error in the extended protocol, up to its Sync.
    Skipping,
    Closed,
}

/// One session.
pub struct Session {
    state: State,
    key: (u32, u32),
    /// The verb of the open statement, for its CommandComplete.
    select: bool,
    /// The longest message taken; a longer one ends the session.
    longest: usize,
}

fn message(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = u32::try_from(out.len() - at).unwrap_or(u32::MAX);
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn error(out: &mut Vec<u8>, severity: &str, code: &str, text: &str) {
    message(out, b'E', |b| {
        for (kind, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)] {
            b.push(kind);
            b.extend(value.bytes().filter(|c| *c != 0));
            b.push(0);
        }
        b.push(0);
    });
}

fn ready(out: &mut Vec<u8>) {
    message(out, b'Z', |b| b.push(b'I'));
}

fn be32(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |n, b| n << 8 | u32::from(*b))
}

impl Session {
    /// A session that a client has just opened; `key` is what its CancelRequest will carry.
    pub fn new(key: (u32, u32), longest: usize) -> Self {
        Self { state: State::StartUp, key, select: true, longest }
    }

    /// Turns a client away that can't be held; class 53 says that trying again is harmless.
    pub fn turn_away(&mut self, out: &mut Vec<u8>) {
        self.fatal(out, "53300", "too many connections");
    }

    /// Ends a session that did not start, or did not end a message that it began, in time.
    pub fn time_out(&mut self, out: &mut Vec<u8>) {
        self.fatal(out, "57014", "the message was not ended in time");
    }

    /// Ends a session whose client sent too much behind a request that was open.
    pub fn overrun(&mut self, out: &mut Vec<u8>) {
        self.fatal(out, "54000", "too much was sent behind a request that was open");
    }

    /// Ends a session as the gateway ends; 57P03 says that trying again is harmless.
    pub fn shut_down(&mut self, out: &mut Vec<u8>) {
        self.fatal(out, "57P03", "the gateway is shutting down");
    }

    /// Whether its client has yet to start it.
    pub fn is_starting(&self) -> bool {
        self.state == State::StartUp
    }

    /// Whether it is idle, so that nothing but its key must be kept.
    pub fn is_idle(&self) -> bool {
        self.state == State::Ready
    }

    /// Goes on with a session that was idle.
    pub fn resume(key: (u32, u32), longest: usize) -> Self {
        Self { state: State::Ready, ..Self::new(key, longest) }
    }

    /// Ends a session for which no memory is left; class 53 says that trying again is harmless.
    pub fn out_of_memory(&mut self, out: &mut Vec<u8>) {
        self.fatal(out, "53200", "out of memory for this connection");
    }

    /// Whether a request is open here.
    pub fn is_busy(&self) -> bool {
        self.state == State::Busy
    }

    /// Reads one message from `input`, writes to `out` what needs no decision. `None`: more must come, or
    /// the open request must end, first.
    pub fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<ClientCommand> {
        match self.state {
            State::Closed | State::Busy => None,
            State::StartUp => {
                if input.len() < 8 {
                    return None;
                }
                let length = be32(input) as usize;
                if !(8..=MAX_STARTUP).contains(&length) {
                    return Some(self.fatal(out, "08P01", "invalid length of the start-up packet"));
                }
                if input.len() < length {
                    return None;
                }
                let packet: Vec<u8> = input.drain(..length).collect();
                Some(self.start(&packet, out).unwrap_or(ClientCommand::Handled))
            }
            State::Ready | State::Skipping => {
                if input.len() < 5 {
                    return None;
                }
                let (kind, length) = (input[0], be32(&input[1..5]) as usize);
                if length < 4 {
                    return Some(self.fatal(out, "08P01", "invalid message length"));
                }
                if length > self.longest {
                    return Some(self.fatal(out, "54000", "message too long"));
                }
                if input.len() < length + 1 {
                    return None;
                }
                let body: Vec<u8> = input.drain(..=length).skip(5).collect();
                Some(self.message(kind, &body, out).unwrap_or(ClientCommand::Handled))
            }
        }
    }

    fn fatal(&mut self, out: &mut Vec<u8>, code: &str, text: &str) -> ClientCommand {
        error(out, "FATAL", code, text);
        self.state = State::Closed;
        ClientCommand::Close
    }

    fn start(&mut self, packet: &[u8], out: &mut Vec<u8>) -> Option<ClientCommand> {
        match be32(&packet[4..]) {
            SSL | GSS => out.push(b'N'),
            CANCEL if packet.len() == 16 => {
                self.state = State::Closed;
                return Some(ClientCommand::Cancel {
                    session: be32(&packet[8..]),
                    secret: be32(&packet[12..]),
                });
            }
            PROTOCOL_3 => {
                message(out, b'R', |b| b.extend([0; 4]));
                for (name, value) in [
                    ("server_version", "15.0 (wrenhatch)"),
                    ("server_encoding", "UTF8"),
                    ("client_encoding", "UTF8"),
                    ("DateStyle", "ISO, MDY"),
                    ("integer_datetimes", "on"),
                    ("standard_conforming_strings", "on"),
                ] {
                    message(out, b'S', |b| {
                        b.extend(name.bytes().chain([0]).chain(value.bytes()).chain([0]));
                    });
                }
                let (session, secret) = self.key;
                message(out, b'K', |b| {
                    b.extend(session.to_be_bytes());
                    b.extend(secret.to_be_bytes());
                });
                ready(out);
                self.state = State::Ready;
            }
            _ => return Some(self.fatal(out, "0A000", "only protocol 3.0 is spoken here")),
        }
        None
    }

    fn message(&mut self, kind: u8, body: &[u8], out: &mut Vec<u8>) -> Option<ClientCommand> {
        match kind {
            b'X' => {
                self.state = State::Closed;
                return Some(ClientCommand::Close);
            }
            b'S' => {
                ready(out);
                self.state = State::Ready;
            }
            _ if self.state == State::Skipping => {}
            b'Q' => return self.query(body, out),
            b'P' | b'B' | b'E' | b'D' | b'C' | b'F' => {
                error(out, "ERROR", "0A000", "only simple queries are spoken here");
                if kind == b'F' {
                    ready(out)
                } else {
                    self.state = State::Skipping
                }
                return Some(ClientCommand::Invalid);
            }
            b'H' | b'd' | b'c' | b'f' => {}
            _ => return Some(self.fatal(out, "08P01", "unknown message")),
        }
        None
    }

    fn query(&mut self, body: &[u8], out: &mut Vec<u8>) -> Option<ClientCommand> {
        let Some((0, text)) = body.split_last().filter(|(_, text)| !text.contains(&0)) else {
            return Some(self.fatal(out, "08P01", "the query is not one terminated text"));
        };
        if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            message(out, b'I', |_| {});
            ready(out);
            return None;
        }
        match fields::split(text) {
            Ok((f, _)) if f.id.is_none() => self.invalid("the id (i) is missing", out),
            Ok((f, _)) if f.wait_ms.is_none() => self.invalid("the wait (d) is missing", out),
            Ok((f, statement)) => {
                self.state = State::Busy;
                self.select = !statement.get(..6).is_some_and(|v| v.eq_ignore_ascii_case(b"insert"));
                Some(ClientCommand::Request(ClientRequest {
                    fields: f,
                    statement: statement.to_vec(),
                    run: ExecutionMode::Simple,
                }))
            }
            Err(e) => self.invalid(&e.to_string(), out),
        }
    }

    fn invalid(&mut self, text: &str, out: &mut Vec<u8>) -> Option<ClientCommand> {
        error(out, "ERROR", "42601", text);
        ready(out);
        Some(ClientCommand::Invalid)
    }

    /// Turns down the open request for fields that only the settings can judge.
    pub fn reject(&mut self, text: &str, out: &mut Vec<u8>) {
        self.state = State::Ready;
        self.invalid(text, out);
    }

    /// Writes the final answer to the open request.
    pub fn answer(&mut self, answer: FinalAnswer<'_>, out: &mut Vec<u8>) {
        debug_assert!(self.is_busy(), "an answer without a request");
        self.state = State::Ready;
        match answer {
            FinalAnswer::Served(Payload::Text(rows)) => self.rows(rows, out),
            FinalAnswer::Served(Payload::MySql(_)) => {
                error(out, "ERROR", "XX000", "the result has another form")
            }
            // Class 53 says that trying again is harmless.
            FinalAnswer::Rejected(None) => error(out, "ERROR", "53000", "refused"),
            FinalAnswer::Rejected(Some(ms)) => error(out, "ERROR", "53000", &format!("refused, w={ms}")),
            FinalAnswer::Cancelled => error(out, "ERROR", "57014", "cancelled at the client's word"),
            FinalAnswer::Failed(why) => error(out, "ERROR", "58000", why),
        }
        ready(out);
    }

    fn rows(&self, rows: &Rows, out: &mut Vec<u8>) {
        let mut count = 0;
        if self.select || !rows.cells.is_empty() {
            message(out, b'T', |b| {
                b.extend((rows.columns.len() as u16).to_be_bytes());
                for name in &rows.columns {
                    b.extend(name.bytes().chain([0]));
                    b.extend([0; 6]); // From no table.
                    b.extend(25_u32.to_be_bytes()); // text
                    b.extend((-1_i16).to_be_bytes());
                    b.extend((-1_i32).to_be_bytes());
                    b.extend([0; 2]);
                }
            });
        }
        for row in rows.rows() {
            count += 1;
            message(out, b'D', |b| {
                b.extend((row.len() as u16).to_be_bytes());
                for cell in row {
                    match cell {
                        Some(text) => {
                            b.extend((text.len() as u32).to_be_bytes());
                            b.extend(text);
                        }
                        None => b.extend((-1_i32).to_be_bytes()),
                    }
                }
            });
        }
        let tag = if self.select { format!("SELECT {count}") } else { format!("INSERT 0 {count}") };
        message(out, b'C', |b| b.extend(tag.bytes().chain([0])));
    }
}

#[cfg(test)]
mod tests;
