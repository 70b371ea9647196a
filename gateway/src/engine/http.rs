//! The engines' HTTP: calls, answers, and the course of one attempt over them.

use std::io::Write;

use workload_manager::{LoadReport, Outcome, Progress};

use crate::front::Rows;

/// An answer whose head or body is longer than this is broken: pages hold 6,000 bytes.
pub const MAX_RESPONSE: usize = 16 * 1024;
/// A page holds at most so many bytes.
const MAX_PAGE: usize = 6_000;
/// A result holds at most 48,000 bytes, on pages of at least one row each.
const MAX_RESULT: usize = 48_000;
const MAX_PAGES: u32 = 1_000;
/// How long a call for news may stand at the engine before its answer, in microseconds.
const NEWS_US: u64 = 250_000;
/// An engine drops a query that it has not been asked for in 2 s, and every time limit of the protocol is 50 ms longer.
const UNASKED_US: u64 = 2_050_000;
/// An engine that says nothing more may run a query for so long behind the last call for it, in microseconds: while
/// that call stands there the query is being asked for.
pub const MAX_RUN_AFTER_LAST_CALL_US: u64 = NEWS_US + UNASKED_US;

/// An answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `X-Shed`: it proves that nothing ran.
    pub shed: bool,
    /// `Page-Count`.
    pub page_count: Option<u32>,
    /// `Page-No`.
    pub page_no: Option<u32>,
    /// `X-Remark` with `Figure`.
    pub progress: Option<Progress>,
    /// `X-Meter`.
    pub load_report: Option<LoadReport>,
    /// The body.
    pub body: Vec<u8>,
    /// The engine closes the connection behind it.
    pub close: bool,
}

/// An answer that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine's answer is no HTTP")]
pub struct NotHttp;

/// Reads one whole answer from `input` and takes it out; `None`: more must come. Answers of class 1xx only say
/// that another follows.
pub fn read(input: &mut Vec<u8>, extras: &[String; 2]) -> Result<Option<Response>, NotHttp> {
    loop {
        match read_one(input, extras)? {
            Some(Response { status: 100..=199, .. }) => {}
            other => return Ok(other),
        }
    }
}

fn read_one(input: &mut Vec<u8>, extras: &[String; 2]) -> Result<Option<Response>, NotHttp> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    let at = match head.parse(input).map_err(|_| NotHttp)? {
        httparse::Status::Complete(at) => at,
        httparse::Status::Partial if input.len() > MAX_RESPONSE => return Err(NotHttp),
        httparse::Status::Partial => return Ok(None),
    };
    let mut r =
        Response { status: head.code.unwrap_or(0), close: head.version == Some(0), ..Response::default() };
    let (mut length, mut chunked, mut remark, mut figure) = (None, false, None, 0.0);
    for h in head.headers.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| NotHttp)?.trim();
        let is = |name: &str| h.name.eq_ignore_ascii_case(name);
        let number = || value.parse::<u32>().map_err(|_| NotHttp);
        if is("content-length") {
            let told = value.parse::<usize>().map_err(|_| NotHttp)?;
            if length.replace(told).is_some_and(|other| other != told) {
                return Err(NotHttp);
            }
        } else if is("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if is("connection") {
            r.close = value.eq_ignore_ascii_case("close");
        } else if is("x-shed") {
            r.shed = value == "1";
        } else if is("page-count") {
            r.page_count = Some(number()?);
        } else if is("page-no") {
            r.page_no = Some(number()?);
        } else if is("x-remark") {
            remark = Some(value.to_owned());
        } else if is("figure") {
            figure = value.parse().unwrap_or(0.0);
        } else if is("x-meter") {
            r.load_report = Some(load_report(value, extras));
        }
    }
    r.progress = remark.and_then(|kind| progress(&kind, figure));
    let end = if chunked {
        match chunks(&input[at..], &mut r.body)? {
            Some(n) => at + n,
            None => return Ok(None),
        }
    } else {
        // A result must say where it ends: cut off, it could not be told from a whole one.
        let length = match (r.status, length) {
            (100..=199 | 204 | 304, _) => 0,
            (200, None) => return Err(NotHttp),
            (_, length) => length.unwrap_or(0),
        };
        if length > MAX_RESPONSE {
            return Err(NotHttp);
        }
        let Some(body) = input.get(at..at + length) else { return Ok(None) };
        r.body.extend(body);
        at + length
    };
    input.drain(..end);
    Ok(Some(r))
}

/// Reads a chunked body; the number of bytes that it took.
fn chunks(input: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, NotHttp> {
    let mut at = 0;
    loop {
        let (start, length) = match httparse::parse_chunk_size(&input[at..]).map_err(|_| NotHttp)? {
            httparse::Status::Complete((start, length)) => (at + start, length as usize),
            httparse::Status::Partial => return Ok(None),
        };
        if length > MAX_RESPONSE || body.len() + length > MAX_RESPONSE {
            return Err(NotHttp);
        }
        let Some(chunk) = input.get(start..start + length + 2) else { return Ok(None) };
        body.extend(&chunk[..length]);
        at = start + length + 2;
        if length == 0 {
            return Ok(Some(at));
        }
    }
}

fn progress(kind: &str, figure: f64) -> Option<Progress> {
    match kind {
        "progress" => Some(Progress::Fraction(figure)),
        "spill_mb" => Some(Progress::Spilling(figure)),
        "blocked" if figure >= 2.0 => Some(Progress::WaitingForLoad),
        "blocked" => Some(Progress::WaitingForMemory),
        _ => None,
    }
}

/// Reads a load report such as `inflight:7;util:0.61`; x0 and x1 stand for what the settings say.
fn load_report(text: &str, extras: &[String; 2]) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|p| p.split_once(':')) {
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        let extra = |i: usize| extras[i].as_str();
        let slot = match name.trim() {
            "inflight" => &mut report.in_flight,
            "queue" => &mut report.queued,
            "util" => &mut report.core_utilization,
            "x0" if extra(0).contains("memory") => &mut report.memory_utilization,
            "x0" if extra(0).contains("disk") => &mut report.disk_utilization,
            "x1" if extra(1).contains("memory") => &mut report.memory_utilization,
            "x1" if extra(1).contains("disk") => &mut report.disk_utilization,
            _ => continue,
        };
        *slot = Some(value);
    }
    report
}

/// What starts a query on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Start<'a> {
    /// The client's id.
    pub query_id: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// The statement.
    pub statement: &'a [u8],
    /// How long it is waited for.
    pub max_ms: u64,
    /// Memory to grant; 0: the engine's choice.
    pub memory_mb: f64,
    /// Its priority.
    pub priority: u8,
    /// The client's idempotency_key, by which engines know a repeat of the same work.
    pub idempotency_key: Option<&'a str>,
}

/// Writes the call that starts a query.
pub fn post(s: &Start<'_>, out: &mut Vec<u8>) {
    let _ = write!(
        out,
        "POST /data HTTP/1.1\r\nHost: engine\r\nX-Ticket: {}\r\nX-Queue: {}\r\nX-Max-Ms: {}\r\nRank: {}\r\n",
        s.query_id, s.class, s.max_ms, s.priority
    );
    if s.memory_mb > 0.0 {
        let _ = write!(out, "Grant-Mb: {}\r\n", s.memory_mb.ceil() as u64);
    }
    if let Some(idempotency_key) = s.idempotency_key {
        let _ = write!(out, "X-Nonce: {idempotency_key}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", s.statement.len());
    out.extend(s.statement);
}

/// Writes the call that asks for news (page 0) or for a page.
pub fn get(query_id: &str, page: u32, out: &mut Vec<u8>) {
    let _ = write!(out, "GET /data/{query_id}/{page} HTTP/1.1\r\nHost: engine\r\n\r\n");
}

/// Writes the call that changes a priority.
pub fn put_priority(query_id: &str, priority: u8, out: &mut Vec<u8>) {
    let _ =
        write!(out, "PUT /data/{query_id} HTTP/1.1\r\nHost: engine\r\nContent-Length: 1\r\n\r\n{priority}");
}

/// Writes the call that gives a query up.
pub fn delete(query_id: &str, out: &mut Vec<u8>) {
    let _ = write!(out, "DELETE /data/{query_id} HTTP/1.1\r\nHost: engine\r\n\r\n");
}

/// The course of one attempt: asked for till it ends, then page after page. Only when all are here has it
/// ended well, so that an engine lost between pages leaves the request whole for another try.
#[derive(Debug)]
pub struct Exchange {
    query_id: String,
    pages: Vec<Vec<u8>>,
    /// Columns of the rows so far.
    width: Option<usize>,
    page_count: u32,
    cancelled: bool,
    /// The answer that is awaited is that to the call that starts it, on its first way.
    starting: bool,
    /// The newest load report that came along: further pages bring none.
    pub load_report: Option<LoadReport>,
}

/// What an answer means for the attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next call has been written.
    CallWritten,
    /// It goes on, but is asked for no more: it was given up.
    StillRunning,
    /// This can't have been the engine's answer as it was meant. The query itself may be well.
    Unusable,
    /// It is over.
    Ended(Outcome),
}

impl Exchange {
    /// An attempt whose start is being sent.
    pub fn new(query_id: &str) -> Self {
        Self {
            query_id: query_id.to_owned(),
            pages: Vec::new(),
            width: None,
            page_count: 0,
            cancelled: false,
            starting: true,
            load_report: None,
        }
    }

    /// Writes the call whose answer was lost once more: for news, or for the page that is next.
    pub fn repeat_call(&mut self, out: &mut Vec<u8>) {
        self.starting = false;
        get(&self.query_id, self.pages.len() as u32, out);
    }

    /// Bytes of the result that are held so far.
    pub fn held_bytes(&self) -> usize {
        self.pages.iter().map(Vec::capacity).sum()
    }

    /// It is being given up: it is asked for no more.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Takes an answer, writes the next call to `out` if there is one.
    pub fn on_response(&mut self, r: &mut Response, out: &mut Vec<u8>) -> Step {
        let wanted = self.pages.len() as u32;
        self.load_report = r.load_report.or(self.load_report);
        let starting = std::mem::replace(&mut self.starting, false);
        match r.status {
            202 if self.cancelled => Step::StillRunning,
            202 if wanted == 0 => {
                get(&self.query_id, 0, out);
                Step::CallWritten
            }
            200 if self.is_wanted(r) => {
                if wanted == 0 {
                    self.page_count = r.page_count.unwrap_or(1);
                }
                self.width = self.width.or(width(&r.body));
                self.pages.push(std::mem::take(&mut r.body));
                if wanted + 1 < self.page_count {
                    get(&self.query_id, wanted + 1, out);
                    Step::CallWritten
                } else {
                    Step::Ended(Outcome::Success)
                }
            }
            // Only these prove that it never ran, and only for the call that starts it: behind an answer that it
            // goes on, or over another connection, perhaps to another engine at its address, they may mean the
            // call for news. The same status without the mark may hide anything.
            503 if r.shed && starting => Step::Ended(Outcome::Rejected),
            504 if r.shed && starting => Step::Ended(Outcome::NeverSent),
            503 | 504 if r.shed => Step::Unusable,
            // The engine heard that it was given up before it answered what was asked last. That it knows the
            // query no more is the end that was wanted, and no fault of the engine's.
            200 | 500 if self.cancelled => Step::Ended(Outcome::Cancelled),
            500 | 503 | 504 => Step::Ended(Outcome::Error),
            _ => Step::Unusable,
        }
    }

    /// Whether an answer 200 is the page that was asked for, and whole: page 0 names the number of pages, a
    /// further one its own, and each holds whole rows that are as wide as those before.
    fn is_wanted(&self, r: &Response) -> bool {
        let wanted = self.pages.len() as u32;
        let named = if wanted == 0 {
            r.page_count.is_some_and(|n| n <= MAX_PAGES) && r.page_no.unwrap_or(0) == 0
        } else {
            r.page_no == Some(wanted)
        };
        let held: usize = self.pages.iter().map(Vec::len).sum();
        let width = width(&r.body);
        let same = width == self.width || self.width.is_none() || r.body.is_empty();
        let whole = r.body.is_empty() || width.is_some();
        named && whole && same && r.body.len() <= MAX_PAGE && held + r.body.len() <= MAX_RESULT
    }

    /// The rows of all pages; `None` if they are no table.
    pub fn rows(&self) -> Option<Rows> {
        let mut rows = Rows::default();
        for page in &self.pages {
            let Some((b'\n', body)) = page.split_last() else {
                if page.is_empty() { continue } else { return None }
            };
            for line in body.split(|b| *b == b'\n') {
                let before = rows.cells.len();
                rows.cells.extend(line.split(|b| *b == b'\t').map(|c| Some(c.to_vec())));
                let width = rows.cells.len() - before;
                if rows.columns.is_empty() {
                    rows.columns = (1..=width).map(|n| format!("c{n}")).collect();
                } else if width != rows.columns.len() {
                    return None;
                }
            }
        }
        if rows.columns.is_empty() {
            rows.columns = (1..=3).map(|n| format!("c{n}")).collect();
        }
        Some(rows)
    }
}

/// How many columns the rows of a page have; `None` where they differ, the last is cut, or there are none.
fn width(page: &[u8]) -> Option<usize> {
    let (b'\n', rows) = page.split_last()? else { return None };
    let mut widths = rows.split(|b| *b == b'\n').map(|row| row.iter().filter(|b| **b == b'\t').count() + 1);
    let first = widths.next()?;
    widths.all(|w| w == first).then_some(first)
}

#[cfg(test)]
mod tests;
