//! HTTP requests to a control plane server: the stream of versions, and reports.

use std::io::Write;

use wrenhatch_configuration::{GatewayId, Position, Report};

/// Maximum size of the head of the response to a report.
pub const MAX_REPORT_RESPONSE_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 32;
/// Status of the response that accepts a report.
const NO_CONTENT: u16 = 204;

/// Name of the gateway without spaces, control characters and non-ASCII characters, which may be invalid in a header.
fn header_value(gateway: &GatewayId) -> String {
    gateway.0.chars().filter(char::is_ascii_graphic).collect()
}

/// Writes the request for the stream of versions after `position`.
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

/// Writes the request that reports a version as applied or refused.
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

/// Result of parsing the response to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResponse {
    /// The response head is not complete.
    Incomplete,
    /// The server has accepted the report.
    Accepted,
    /// The server has not accepted the report, or the response is not HTTP or too long.
    Failed,
}

/// Parses the response to a report from the bytes received so far.
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
