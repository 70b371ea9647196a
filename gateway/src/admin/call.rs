//! Parser for the HTTP/1.1 requests of the admin interface, and encoder for its responses.

use std::fmt::Write;

/// Number of received bytes at which a call with an incomplete request line or header section is rejected.
pub const MAX_CALL_BYTES: usize = 4096;
const MAX_HEADERS: usize = 32;
/// Maximum length of an engine's name in a path, before percent-decoding.
const MAX_ENCODED_NAME_BYTES: usize = 256;

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// `GET /status`: reports whether this process is ready, with the state of its configuration. Answered by
    /// [`CallError::ShuttingDown`] after SIGTERM.
    Status,
    /// `GET /status/metrics`: returns [`super::metrics::Metrics::text`].
    Metrics,
    /// `PUT /maintenance/enter/ID`: excludes the engine with this name from new attempts.
    EnterMaintenance(String),
    /// `PUT /maintenance/exit/ID`: makes the engine with this name available again.
    ExitMaintenance(String),
}

/// Error response to a call. Its text is the content of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The data is not an HTTP/1.1 request.
    #[error("this is no call in HTTP/1.1")]
    NotHttp,
    /// The header section is incomplete after [`MAX_CALL_BYTES`], or has more than `MAX_HEADERS` fields.
    #[error("the head of the call is too long")]
    TooLong,
    /// A header field announces content, which no method accepts.
    #[error("calls here have no body")]
    HasBody,
    /// No resource exists at the path, or the engine's name in it is empty, too long or badly encoded.
    #[error(
        "no such path; there are /status, /status/metrics, /maintenance/enter/ID and /maintenance/exit/ID"
    )]
    UnknownPath,
    /// The resource does not support the method.
    #[error("not with this method: /status is for GET, /maintenance for PUT")]
    WrongMethod,
    /// The endpoint list has never contained an engine with this name.
    #[error("no engine of this id was ever in the list")]
    UnknownEngine,
    /// Answer to `GET /status` after SIGTERM was received.
    #[error("this process takes no new clients any more")]
    ShuttingDown,
}

impl CallError {
    fn status_line(self) -> &'static str {
        match self {
            CallError::NotHttp | CallError::HasBody => "400 Bad Request",
            CallError::TooLong => "431 Request Header Fields Too Large",
            CallError::UnknownPath | CallError::UnknownEngine => "404 Not Found",
            CallError::WrongMethod => "405 Method Not Allowed",
            CallError::ShuttingDown => "503 Service Unavailable",
        }
    }
}

/// Parses a call. Returns `None` while it is incomplete.
///
/// # Errors
/// The call is invalid. No further data must be read from the connection.
pub fn read(bytes: &[u8]) -> Result<Option<AdminCall>, CallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_CALL_BYTES => return Err(CallError::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(CallError::TooLong),
        Err(_) => return Err(CallError::NotHttp),
    }
    if request.headers.iter().any(signals_body) {
        return Err(CallError::HasBody);
    }
    let (method, path) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    let (allowed_method, call) = match path {
        "/status" => ("GET", AdminCall::Status),
        "/status/metrics" => ("GET", AdminCall::Metrics),
        _ => ("PUT", maintenance_call(path).ok_or(CallError::UnknownPath)?),
    };
    if method == allowed_method { Ok(Some(call)) } else { Err(CallError::WrongMethod) }
}

fn signals_body(header: &httparse::Header<'_>) -> bool {
    header.name.eq_ignore_ascii_case("transfer-encoding")
        || header.name.eq_ignore_ascii_case("content-length") && header.value.trim_ascii() != b"0"
}

fn maintenance_call(path: &str) -> Option<AdminCall> {
    let name = |encoded: &str| percent_decode(encoded).filter(|name| !name.is_empty() && !name.contains('/'));
    let enter = path.strip_prefix("/maintenance/enter/").and_then(name).map(AdminCall::EnterMaintenance);
    let exit = || path.strip_prefix("/maintenance/exit/").and_then(name).map(AdminCall::ExitMaintenance);
    enter.or_else(exit)
}

fn percent_decode(text: &str) -> Option<String> {
    if text.len() > MAX_ENCODED_NAME_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let (code, after) = rest.split_at_checked(2)?;
        let code = std::str::from_utf8(code).ok()?;
        bytes.push(u8::from_str_radix(code, 16).ok()?);
        rest = after;
    }
    String::from_utf8(bytes).ok()
}

/// Writes a response: status 200 with the text, or the status and message of the error.
pub fn write_response(response: Result<&str, CallError>, out: &mut Vec<u8>) {
    let (status_line, text) = match response {
        Ok(text) => ("200 OK", text.to_owned()),
        Err(error) => (error.status_line(), format!("{error}\n")),
    };
    let mut head = String::new();
    // Writing to a string never fails.
    let _ = write!(
        head,
        "HTTP/1.1 {status_line}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        text.len()
    );
    out.extend(head.as_bytes());
    out.extend(text.as_bytes());
}

#[cfg(test)]
mod tests;
