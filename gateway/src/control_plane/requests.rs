//! HTTP requests to a control plane server: the stream of versions, and reports on them.

use std::io::Write;

use wrenhatch_configuration::{GatewayId, Position, Report};

/// The head of the response to a report may have up to so many bytes.
pub const MAX_REPORT_RESPONSE_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;
/// The status that accepts a report.
const NO_CONTENT: u16 = 204;

/// The gateway's name without characters that a header can't hold, such as line ends.
fn header_value(gateway: &GatewayId) -> String {
    gateway.0.chars().filter(char::is_ascii_graphic).collect()
}

/// Writes the request that opens the stream behind the version in force.
pub fn write_stream_request(gateway: &GatewayId, position: Position, out: &mut Vec<u8>) {
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

/// Writes the request that reports what became of a version.
pub fn write_report_request(gateway: &GatewayId, report: &Report, out: &mut Vec<u8>) {
    let body = report.encode(gateway);
    // Writing to a vector never fails.
    let _ = write!(
        out,
        "POST /v1/configuration/report HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
}

/// What the response to a report says so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResponse {
    /// Its head is not complete.
    Incomplete,
    /// The report was accepted.
    Accepted,
    /// The report was not accepted, or this is no response.
    Failed,
}

/// Reads the response to a report from the bytes received so far.
pub fn read_report_response(received: &[u8]) -> ReportResponse {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(received) {
        Ok(httparse::Status::Complete(_)) if head.code == Some(NO_CONTENT) => ReportResponse::Accepted,
        Ok(httparse::Status::Partial) if received.len() < MAX_REPORT_RESPONSE_BYTES => {
            ReportResponse::Incomplete
        }
        Ok(_) | Err(_) => ReportResponse::Failed,
    }
}

#[cfg(test)]
mod tests;
