//! A mock control machine, which sends versions of the settings to one gateway and receives its reports.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use wrenhatch_configuration::{Message, Report, Version};

use super::error::CapacityError;

/// Maximum wait for the gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of the body of a report.
const LONGEST_REPORT: usize = 64 * 1024;
/// Response head of the stream of versions.
const STREAM: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// Response to a report.
const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

/// A mock control machine, served by background threads.
pub struct ControlMachine {
    /// Listening address.
    pub address: SocketAddr,
    streams: Receiver<TcpStream>,
    reports: Receiver<Report>,
}

/// An open stream of versions to one gateway.
pub struct VersionStream {
    stream: TcpStream,
}

impl ControlMachine {
    /// Starts listening on a free loopback port.
    ///
    /// # Errors
    /// The listening socket can't be opened.
    pub fn start() -> Result<Self, CapacityError> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let ((streams_in, streams), (reports_in, reports)) = (channel(), channel());
        thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let (streams, reports) = (streams_in.clone(), reports_in.clone());
                // Errors of a connection are ignored: the method that waits for its stream or report times out.
                thread::spawn(move || drop(serve(connection, &streams, &reports)));
            }
        });
        Ok(Self { address, streams, reports })
    }

    /// Waits for the next stream that a gateway opens.
    ///
    /// # Errors
    /// The gateway opens no stream within `ANSWER_TIMEOUT`.
    pub fn stream(&self) -> Result<VersionStream, CapacityError> {
        let none = |_| CapacityError::Peer("the gateway opens no stream of versions".to_owned());
        let stream = self.streams.recv_timeout(ANSWER_TIMEOUT).map_err(none)?;
        Ok(VersionStream { stream })
    }

    /// Waits until the gateway reports that this version is in force.
    ///
    /// # Errors
    /// The gateway sends a different report, or none within `ANSWER_TIMEOUT`.
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
    /// Sends a version and returns its length on the stream in bytes.
    ///
    /// # Errors
    /// The gateway has closed the stream.
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
        // The receiver may be gone.
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
    // The receiver may be gone.
    let _ = reports.send(report);
    Ok(connection.write_all(TAKEN)?)
}

/// Reads the headers of a request and returns its `Content-Length`, 0 if absent.
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
