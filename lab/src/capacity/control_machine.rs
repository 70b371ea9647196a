//! A stand-in for a control machine: it sends one gateway versions of the settings, and receives its reports.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use wrenhatch_configuration::{Message, Report, Version};

use super::error::CapacityError;

/// How long the gateway is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// A report's body has no more bytes than this.
const LONGEST_REPORT: usize = 64 * 1024;
/// The head of the stream of versions.
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// The answer to a report.
const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// A control machine.
pub struct ControlMachine {
    /// Where it listens.
    pub address: SocketAddr,
    streams: Receiver<TcpStream>,
    reports: Receiver<Report>,
}

/// The stream of one gateway.
pub struct VersionStream {
    stream: TcpStream,
}

impl ControlMachine {
    /// Listens.
    ///
    /// # Errors
    /// No descriptor, or no port.
    pub fn start() -> Result<Self, CapacityError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ((streams_in, streams), (reports_in, reports)) = (channel(), channel());
        thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let (streams, reports) = (streams_in.clone(), reports_in.clone());
                // A connection that breaks is missed by whoever waits for what it was to bring.
                thread::spawn(move || drop(serve(connection, &streams, &reports)));
            }
        });
        Ok(Self { address, streams, reports })
    }

    /// The next stream that a gateway opens.
    ///
    /// # Errors
    /// None comes.
    pub fn stream(&self) -> Result<VersionStream, CapacityError> {
        let none = |_| CapacityError::Peer("the gateway opens no stream of versions".to_owned());
        let stream = self.streams.recv_timeout(ANSWER_TIMEOUT).map_err(none)?;
        Ok(VersionStream { stream })
    }

    /// Waits until the gateway reports that this version is in force.
    ///
    /// # Errors
    /// It reports something else, or nothing.
    pub fn applied(&self, version: u64) -> Result<(), CapacityError> {
        let none = |_| CapacityError::Peer(format!("no report of version {version}"));
        let report = self.reports.recv_timeout(ANSWER_TIMEOUT).map_err(none)?;
        let expected = Report::Applied { version: Version(version) };
        if report == expected {
            return Ok(());
        }
        Err(CapacityError::Peer(format!(
            "version {version} was to be applied, and the report says {report:?}"
        )))
    }
}

impl VersionStream {
    /// Tells of a version; how many bytes that takes on the stream.
    ///
    /// # Errors
    /// The gateway has ended its stream.
    pub fn send(&mut self, message: &Message) -> Result<usize, CapacityError> {
        let text = format!("id: {}\ndata: {}\n\n", message.version().0, message.encode());
        self.stream.write_all(text.as_bytes())?;
        Ok(text.len())
    }
}

fn serve(
    mut connection: TcpStream,
    streams: &Sender<TcpStream>,
    reports: &Sender<Report>,
) -> Result<(), CapacityError> {
    connection.set_nodelay(true)?;
    connection.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut reader = BufReader::new(connection.try_clone()?);
    let mut verb = String::new();
    reader.read_line(&mut verb)?;
    let length = content_length(&mut reader)?;
    if verb.starts_with("GET ") {
        connection.write_all(STREAM)?;
        // Whoever waited for it may have ended.
        let _ = streams.send(connection);
        return Ok(());
    }
    if length > LONGEST_REPORT {
        return Err(CapacityError::Peer(format!("a report of {length} bytes")));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let unreadable = |what: String| CapacityError::Peer(format!("a report that can't be read: {what}"));
    let text = std::str::from_utf8(&body).map_err(|e| unreadable(e.to_string()))?;
    let (_, report) = Report::parse(text).map_err(|e| unreadable(e.to_string()))?;
    // Whoever waited for it may have ended.
    let _ = reports.send(report);
    Ok(connection.write_all(TAKEN)?)
}

/// Reads the headers of a call, and how long its body is.
fn content_length(reader: &mut impl BufRead) -> Result<usize, CapacityError> {
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { return Ok(length) };
        if name.eq_ignore_ascii_case("content-length") {
            let wrong = |_| CapacityError::Peer(format!("a length that is no number: {value}"));
            length = value.trim().parse().map_err(wrong)?;
        }
    }
}
