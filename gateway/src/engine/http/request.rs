//! Encoders for the calls to an engine. Errors of `write!` are ignored, as writing to a `Vec` never fails.

use std::io::Write;

/// The parameters of the call that starts a query.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCall<'a> {
    /// Sent as `X-Ticket`. Identifies the query in all further calls.
    pub query_id: &'a str,
    /// Name of the request's class, sent as `X-Queue`.
    pub class: &'a str,
    /// SQL text, sent as the content.
    pub statement: &'a [u8],
    /// Time until the request's deadline, in milliseconds. Sent as `X-Max-Ms`.
    pub max_ms: u64,
    /// Memory grant in MB, rounded up and sent as `Grant-Mb`. If 0, the engine chooses the grant.
    pub memory_mb: f64,
    /// 0 to 3, sent as `Rank`.
    pub priority: u8,
    /// Key by which engines recognise a repeated request, sent as `X-Nonce`.
    pub idempotency_key: Option<&'a str>,
}

/// Writes the call that starts a query.
pub fn post(start: &StartCall<'_>, out: &mut Vec<u8>) {
    let _ = write!(
        out,
        "POST /data HTTP/1.1\r\nHost: engine\r\nX-Ticket: {}\r\nX-Queue: {}\r\nX-Max-Ms: {}\r\nRank: {}\r\n",
        start.query_id, start.class, start.max_ms, start.priority
    );
    if start.memory_mb > 0.0 {
        let _ = write!(out, "Grant-Mb: {}\r\n", start.memory_mb.ceil() as u64);
    }
    if let Some(idempotency_key) = start.idempotency_key {
        let _ = write!(out, "X-Nonce: {idempotency_key}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", start.statement.len());
    out.extend(start.statement);
}

/// Writes the call that requests a page. For page 0, the engine responds with a progress report until the page exists.
pub fn get(query_id: &str, page: u32, out: &mut Vec<u8>) {
    let _ = write!(out, "GET /data/{query_id}/{page} HTTP/1.1\r\nHost: engine\r\n\r\n");
}

/// Writes the call that changes a query's priority.
pub fn put_priority(query_id: &str, priority: u8, out: &mut Vec<u8>) {
    let _ =
        write!(out, "PUT /data/{query_id} HTTP/1.1\r\nHost: engine\r\nContent-Length: 1\r\n\r\n{priority}");
}

/// Writes the call that cancels a query.
pub fn delete(query_id: &str, out: &mut Vec<u8>) {
    let _ = write!(out, "DELETE /data/{query_id} HTTP/1.1\r\nHost: engine\r\n\r\n");
}
