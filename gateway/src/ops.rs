//! Calls of operators: HTTP/1.1 read from bytes and answered in bytes, without sockets.

use std::fmt::Write;

/// Bytes that the head of a call may have.
pub const LONGEST_CALL: usize = 4096;
const MOST_HEADERS: usize = 32;
/// Bytes that an engine's id may have.
const LONGEST_ID: usize = 256;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Status,
    /// The figures.
    Metrics,
    /// Leave an engine out.
    Enter(String),
    /// It may serve again.
    Exit(String),
}

/// Why a call gets no.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum No {
    /// It is not HTTP.
    #[error("this is no call in HTTP/1.1")]
    Unreadable,
    /// Its head does not end.
    #[error("the head of the call is too long")]
    TooLong,
    /// It has a body.
    #[error("calls here have no body")]
    Body,
    /// No such path.
    #[error(
        "no such path; there are /status, /status/metrics, /maintenance/enter/ID and /maintenance/exit/ID"
    )]
    Path,
    /// The path is there for another method.
    #[error("not with this method: /status is for GET, /maintenance for PUT")]
    Method,
    /// No engine of this id was ever in the list.
    #[error("no engine of this id was ever in the list")]
    Engine,
    /// It does not take clients any more.
    #[error("this process takes no new clients any more")]
    Leaving,
}

impl No {
    fn status(self) -> &'static str {
        match self {
            No::Unreadable | No::Body => "400 Bad Request",
            No::TooLong => "431 Request Header Fields Too Large",
            No::Path | No::Engine => "404 Not Found",
            No::Method => "405 Method Not Allowed",
            No::Leaving => "503 Service Unavailable",
        }
    }
}

/// Reads a call; `None` while it is not whole.
///
/// # Errors
/// What is wrong with it. Nothing more is read then.
pub fn read(bytes: &[u8]) -> Result<Option<Call>, No> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() >= LONGEST_CALL => return Err(No::TooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(No::TooLong),
        Err(_) => return Err(No::Unreadable),
    }
    let body = |h: &httparse::Header<'_>| {
        h.name.eq_ignore_ascii_case("transfer-encoding")
            || h.name.eq_ignore_ascii_case("content-length") && h.value.trim_ascii() != b"0"
    };
    if request.headers.iter().any(body) {
        return Err(No::Body);
    }
    let (method, path) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    let (wanted, call) = match path {
        "/status" => ("GET", Call::Status),
        "/status/metrics" => ("GET", Call::Metrics),
        _ => {
            let id = |rest: &str| decoded(rest).filter(|id| !id.is_empty() && !id.contains('/'));
            let enter = path.strip_prefix("/maintenance/enter/").and_then(id).map(Call::Enter);
            let exit = || path.strip_prefix("/maintenance/exit/").and_then(id).map(Call::Exit);
            ("PUT", enter.or_else(exit).ok_or(No::Path)?)
        }
    };
    if method == wanted { Ok(Some(call)) } else { Err(No::Method) }
}

/// An id from a path, with what is written as `%XX`.
fn decoded(text: &str) -> Option<String> {
    if text.len() > LONGEST_ID {
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

/// Writes the answer: yes with this text, or no with its reason.
pub fn answer(answer: Result<&str, No>, out: &mut Vec<u8>) {
    let (status, text) = match answer {
        Ok(text) => ("200 OK", text.to_owned()),
        Err(no) => (no.status(), format!("{no}\n")),
    };
    let mut head = String::new();
    // Writing to a string never fails.
    let _ = write!(
        head,
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    out.extend(head.as_bytes());
    out.extend(text.as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(line: &str) -> Result<Option<Call>, No> {
        read(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
    }

    #[test]
    fn calls_are_read_and_everything_else_is_told_what_is_wrong() {
        assert_eq!(call("GET /status"), Ok(Some(Call::Status)));
        assert_eq!(call("GET /status/metrics"), Ok(Some(Call::Metrics)));
        assert_eq!(call("PUT /maintenance/enter/s-00c4"), Ok(Some(Call::Enter("s-00c4".into()))));
        assert_eq!(call("PUT /maintenance/exit/a%20b%3A1"), Ok(Some(Call::Exit("a b:1".into()))));
        for path in
            ["/", "/status/", "/maintenance/enter/", "/maintenance/exit/a/b", "/maintenance/enter/%g1"]
        {
            assert_eq!(call(&format!("PUT {path}")), Err(No::Path), "{path}");
        }
        assert_eq!(call(&format!("PUT /maintenance/enter/{}", "a".repeat(300))), Err(No::Path));
        assert_eq!(call("POST /status"), Err(No::Method));
        assert_eq!(call("GET /maintenance/enter/a"), Err(No::Method));
        let with =
            |header: &str| read(format!("PUT /maintenance/enter/a HTTP/1.1\r\n{header}\r\n\r\n").as_bytes());
        assert_eq!(with("Content-Length: 0"), Ok(Some(Call::Enter("a".into()))));
        assert_eq!(with("content-length: 5"), Err(No::Body));
        assert_eq!(with("Transfer-Encoding: chunked"), Err(No::Body));
        assert_eq!(read(b"\x16\x03\x01 tls"), Err(No::Unreadable));
        assert_eq!(read(b"GET /status HTTP/1.1\r\nA: "), Ok(None));
        assert_eq!(
            read(&[&b"GET /status HTTP/1.1\r\nA: "[..], &[b'a'; LONGEST_CALL]].concat()),
            Err(No::TooLong)
        );
        assert_eq!(
            read(format!("GET /status HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(40)).as_bytes()),
            Err(No::TooLong)
        );
    }

    #[test]
    fn a_call_may_come_byte_by_byte() {
        let whole = b"PUT /maintenance/enter/e1 HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n";
        for n in 0..whole.len() {
            assert_eq!(read(&whole[..n]), Ok(None), "{n}");
        }
        assert_eq!(read(whole), Ok(Some(Call::Enter("e1".into()))));
    }

    quickcheck::quickcheck! {
        fn noise_never_passes_for_a_call_and_answers_say_their_length(noise: Vec<u8>) -> bool {
            let mut out = Vec::new();
            answer(Err(No::Path), &mut out);
            let text = String::from_utf8(out).unwrap();
            let (head, body) = text.split_once("\r\n\r\n").unwrap();
            !matches!(read(&noise), Ok(Some(_))) && head.contains(&format!("Content-Length: {}\r\n", body.len()))
        }
    }
}
