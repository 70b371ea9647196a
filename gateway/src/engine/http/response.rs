//! Parser for the HTTP/1.1 responses of an engine.

use workload_manager::{LoadReport, Progress};

use super::{MAX_RESPONSE_BYTES, load_report, status};

const MAX_HEADER_FIELDS: usize = 48;
const NOT_MODIFIED: u16 = 304;

/// The parts of a response that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Status code, see [`status`].
    pub status: u16,
    /// `X-Shed: 1`: proves that the query did not run, if this is the response to the call that starts it.
    pub shed: bool,
    /// `Page-Count`: total number of pages of the result.
    pub page_count: Option<u32>,
    /// `Page-No`: number of this page, from 0.
    pub page_no: Option<u32>,
    /// `X-Remark` with its value in `Figure`, which is 0 if missing or invalid. `None` for unknown remarks.
    pub progress: Option<Progress>,
    /// `X-Meter`, parsed with the meanings that the settings give to `x0` and `x1`.
    pub load_report: Option<LoadReport>,
    /// Content, without any transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection must be closed after this response, because the engine announces that it closes it.
    pub close: bool,
}

/// Received data that is not a valid HTTP response, or exceeds [`MAX_RESPONSE_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid HTTP response")]
pub struct InvalidResponse;

/// Header fields that determine the length of the content (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, Default)]
struct Framing {
    content_length: Option<usize>,
    chunked: bool,
}

/// Removes one response from `input`. Returns `None` while the response is incomplete. Informational responses (1xx)
/// are skipped. `extras` has the meanings of `x0` and `x1` in load reports.
///
/// # Errors
/// The input is not a valid HTTP response, or exceeds [`MAX_RESPONSE_BYTES`].
pub fn read(input: &mut Vec<u8>, extras: &[String; 2]) -> Result<Option<Response>, InvalidResponse> {
    loop {
        match read_one(input, extras)? {
            Some(Response { status: 100..=199, .. }) => {}
            other => return Ok(other),
        }
    }
}

fn read_one(input: &mut Vec<u8>, extras: &[String; 2]) -> Result<Option<Response>, InvalidResponse> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let body_start = match head.parse(input).map_err(|_| InvalidResponse)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if input.len() > MAX_RESPONSE_BYTES => return Err(InvalidResponse),
        httparse::Status::Partial => return Ok(None),
    };
    let is_http_1_0 = head.version == Some(0);
    let mut response = Response { status: head.code.unwrap_or(0), close: is_http_1_0, ..Response::default() };
    let framing = read_fields(head.headers, extras, &mut response)?;
    let end = if framing.chunked {
        read_chunked_body(input, body_start, &mut response.body)?
    } else {
        read_sized_body(input, body_start, framing, &mut response)?
    };
    let Some(end) = end else { return Ok(None) };
    input.drain(..end);
    Ok(Some(response))
}

fn read_fields(
    fields: &[httparse::Header<'_>],
    extras: &[String; 2],
    response: &mut Response,
) -> Result<Framing, InvalidResponse> {
    let mut framing = Framing::default();
    let (mut remark, mut figure) = (None, 0.0);
    for field in fields {
        let value = std::str::from_utf8(field.value).map_err(|_| InvalidResponse)?.trim();
        let number = || value.parse::<u32>().map_err(|_| InvalidResponse);
        match field.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = value.parse::<usize>().map_err(|_| InvalidResponse)?;
                // Conflicting lengths are an unrecoverable error (RFC 9112, section 6.3).
                if framing.content_length.replace(length).is_some_and(|other| other != length) {
                    return Err(InvalidResponse);
                }
            }
            "transfer-encoding" => framing.chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => response.close = value.eq_ignore_ascii_case("close"),
            "x-shed" => response.shed = value == "1",
            "page-count" => response.page_count = Some(number()?),
            "page-no" => response.page_no = Some(number()?),
            "x-remark" => remark = Some(value.to_owned()),
            "figure" => figure = value.parse().unwrap_or(0.0),
            "x-meter" => response.load_report = Some(load_report::parse(value, extras)),
            _ => {}
        }
    }
    response.progress = remark.and_then(|remark| progress(&remark, figure));
    Ok(framing)
}

fn progress(remark: &str, figure: f64) -> Option<Progress> {
    match remark {
        "progress" => Some(Progress::Fraction(figure)),
        "spill_mb" => Some(Progress::Spilling(figure)),
        "blocked" if figure >= 2.0 => Some(Progress::WaitingForLoad),
        "blocked" => Some(Progress::WaitingForMemory),
        _ => None,
    }
}

/// Reads a body whose length is determined by the header section. Returns its end, or `None` while it is incomplete.
fn read_sized_body(
    input: &[u8],
    start: usize,
    framing: Framing,
    response: &mut Response,
) -> Result<Option<usize>, InvalidResponse> {
    let length = match (response.status, framing.content_length) {
        (100..=199 | status::NO_CONTENT | NOT_MODIFIED, _) => 0,
        // Without a length, a result that ends with the connection could be truncated undetected.
        (status::OK, None) => return Err(InvalidResponse),
        (_, length) => length.unwrap_or(0),
    };
    if length > MAX_RESPONSE_BYTES {
        return Err(InvalidResponse);
    }
    let Some(body) = input.get(start..start + length) else { return Ok(None) };
    response.body.extend(body);
    Ok(Some(start + length))
}

/// Reads a body in the chunked transfer coding. Trailer fields are not supported. Returns the end of the body, or
/// `None` while it is incomplete.
fn read_chunked_body(
    input: &[u8],
    start: usize,
    body: &mut Vec<u8>,
) -> Result<Option<usize>, InvalidResponse> {
    let mut at = start;
    loop {
        let (chunk_start, length) =
            match httparse::parse_chunk_size(&input[at..]).map_err(|_| InvalidResponse)? {
                httparse::Status::Complete((size_line, length)) => (at + size_line, length as usize),
                httparse::Status::Partial => return Ok(None),
            };
        if length > MAX_RESPONSE_BYTES || body.len() + length > MAX_RESPONSE_BYTES {
            return Err(InvalidResponse);
        }
        let chunk_end = chunk_start + length;
        // The chunk data is followed by CRLF, and so is the last chunk if there are no trailer fields.
        let Some(chunk) = input.get(chunk_start..chunk_end + 2) else { return Ok(None) };
        body.extend(&chunk[..length]);
        at = chunk_end + 2;
        if length == 0 {
            return Ok(Some(at));
        }
    }
}
