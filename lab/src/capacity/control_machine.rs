//! A mock control machine, which sends versions of the settings to one gateway and receives its reports.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use wrenhatch_configuration::{Message, Report, Version};

use super::error::CapacityError;

/// Maximum wait for a connection, request or report of the gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of the body of a report.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// Response head of the stream of versions.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// Response to a report.
const NO_CONTENT_RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

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
        let ((streams_sender, streams), (reports_sender, reports)) = (channel(), channel());
        thread::spawn(move || {
            for connection in listener.incoming().map_while(Result::ok) {
                let (streams, reports) = (streams_sender.clone(), reports_sender.clone());
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
    pub fn accept_stream(&self) -> Result<VersionStream, CapacityError> {
        let timed_out = |_| CapacityError::Unexpected("the gateway opened no stream of versions".to_owned());
        let stream = self.streams.recv_timeout(ANSWER_TIMEOUT).map_err(timed_out)?;
        Ok(VersionStream { stream })
    }

    /// Waits until the gateway reports that this version is in force.
    ///
    /// # Errors
    /// The gateway sends a different report, or none within `ANSWER_TIMEOUT`.
    pub fn wait_until_applied(&self, version: u64) -> Result<(), CapacityError> {
        let timed_out =
            |_| CapacityError::Unexpected(format!("the gateway sent no report of version {version}"));
        let report = self.reports.recv_timeout(ANSWER_TIMEOUT).map_err(timed_out)?;
        let expected = Report::Applied { version: Version(version) };
        if report == expected {
            return Ok(());
        }
        Err(CapacityError::Unexpected(format!(
            "expected a report that version {version} is applied, got {report:?}"
        )))
    }
}

impl VersionStream {
    /// Sends a version and returns its length on the stream in bytes.
    ///
    /// # Errors
    /// The write failed because the gateway has closed the stream.
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
    let mut request_line = String::new();
    reader.read_line(&mut request_line)?;
    let length = content_length(&mut reader)?;
    if request_line.starts_with("GET ") {
        connection.write_all(STREAM_HEAD)?;
        // Sending fails only after the `ControlMachine` was dropped.
        let _ = streams.send(connection);
        return Ok(());
    }
    if length > MAX_REPORT_BYTES {
        return Err(CapacityError::Unexpected(format!("report too long: {length} bytes")));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let unreadable = |reason: String| CapacityError::Unexpected(format!("unreadable report: {reason}"));
    let text = std::str::from_utf8(&body).map_err(|e| unreadable(e.to_string()))?;
    let (_, report) = Report::parse(text).map_err(|e| unreadable(e.to_string()))?;
    // Sending fails only after the `ControlMachine` was dropped.
    let _ = reports.send(report);
    Ok(connection.write_all(NO_CONTENT_RESPONSE)?)
}

/// Reads the headers of a request and returns its `Content-Length`, 0 if absent.
fn content_length(reader: &mut impl BufRead) -> Result<usize, CapacityError> {
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { return Ok(length) };
        if name.eq_ignore_ascii_case("content-length") {
            let invalid = |_| CapacityError::Unexpected(format!("invalid Content-Length: {value}"));
            length = value.trim().parse().map_err(invalid)?;
        }
    }
}
