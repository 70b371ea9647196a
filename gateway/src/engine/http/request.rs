//! Requests to an engine, written to a buffer. Writing to a buffer never fails.

use std::io::Write;

/// What starts a query on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Start<'a> {
    /// The query id.
    pub query_id: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// The statement.
    pub statement: &'a [u8],
    /// How long it is waited for, in milliseconds.
    pub max_ms: u64,
    /// Memory to grant, in MB; 0: the engine's choice.
    pub memory_mb: f64,
    /// Its priority, 0 to 3.
    pub priority: u8,
    /// The client's idempotency key, by which engines know a repeat of the same work.
    pub idempotency_key: Option<&'a str>,
}

/// Writes the call that starts a query.
pub fn post(start: &Start<'_>, out: &mut Vec<u8>) {
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

/// Writes the call for a progress report and the first page (page 0), or for a further page.
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
