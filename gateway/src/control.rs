//! Calls to a control machine, in bytes and without sockets: the stream of configurations, and reports of what became
//! of them.

use std::io::Write;

use wrenhatch_configuration::{GatewayId, Position, Report};

/// Bytes that the head of an answer to a report may have.
pub const LONGEST_ANSWER: usize = 16 * 1024;
const MOST_HEADERS: usize = 32;
/// What a report that has been taken is answered with.
const NO_CONTENT: u16 = 204;

/// What can't stand in a header, such as a line end, is left out of a gateway's name.
fn header_value(gateway: &GatewayId) -> String {
    gateway.0.chars().filter(char::is_ascii_graphic).collect()
}

/// Writes the call that opens the stream, with what is in force.
pub fn open(gateway: &GatewayId, position: Position, out: &mut Vec<u8>) {
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "GET /v1/configuration HTTP/1.1\r\nHost: control\r\nAccept: text/event-stream\r\n\
         Gateway: {}\r\nVersion: {}\r\nDigest: {}\r\n\r\n",
        header_value(gateway),
        position.version,
        position.digest
    );
}

/// Writes the call that reports what became of a version.
pub fn report(gateway: &GatewayId, report: &Report, out: &mut Vec<u8>) {
    let body = report.encode(gateway);
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "POST /v1/configuration/report HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
}

/// Whether a report has been taken; `None` while the answer's head is not whole.
pub fn is_taken(answer: &[u8]) -> Option<bool> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(answer) {
        Ok(httparse::Status::Complete(_)) => Some(head.code == Some(NO_CONTENT)),
        Ok(httparse::Status::Partial) if answer.len() < LONGEST_ANSWER => None,
        Ok(httparse::Status::Partial) | Err(_) => Some(false),
    }
}

#[cfg(test)]
mod tests;
