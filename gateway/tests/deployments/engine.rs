//! A scripted engine with its HTTP protocol. The generated deployment determines the behavior for each attempt.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::auditor::{Call, EngineIndex, Event, Outcome, RequestIndex, request_of};
use crate::generator::{Behavior, LoadReports};
use crate::harness::{Harness, lock};

/// Time after which the poll of a running query is answered with status 202.
const MAX_POLL_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a delayed poll checks its query.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A query that an engine has started.
struct Query {
    request: RequestIndex,
    ends_at: Instant,
    /// Calls for the query get no response.
    silent: bool,
    /// Polls are answered with a progress report.
    progress: bool,
    /// The query ends with an error.
    fails: bool,
    pages: Vec<String>,
}

struct Engine {
    index: EngineIndex,
    harness: Arc<Harness>,
    queries: Mutex<HashMap<String, Query>>,
    address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
    crashed: AtomicBool,
}

/// The address of an engine, which stays reserved after the engine stops listening.
pub struct Endpoint {
    pub address: SocketAddr,
    _reserved: Socket,
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

pub fn start(index: EngineIndex, harness: &Arc<Harness>) -> io::Result<Endpoint> {
    let endpoint = reserve()?;
    let socket = bind(endpoint.address)?;
    socket.listen(128)?;
    let listener: TcpListener = socket.into();
    let engine = Arc::new(Engine {
        index,
        harness: harness.clone(),
        queries: Mutex::default(),
        address: endpoint.address,
        connections: Mutex::default(),
        crashed: AtomicBool::new(false),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if engine.crashed.load(Ordering::SeqCst) {
                let _ = reset(&stream);
                return;
            }
            lock(&engine.connections).extend(stream.try_clone());
            let engine = engine.clone();
            thread::spawn(move || drop(engine.serve(stream)));
        }
    });
    Ok(endpoint)
}

/// Reserves an address that refuses connections.
pub fn reserve() -> io::Result<Endpoint> {
    let socket = bind(([127, 0, 0, 1], 0).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok(Endpoint { address, _reserved: socket })
}

/// An HTTP call.
pub struct HttpCall {
    pub verb: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl HttpCall {
    /// Reads the next call. Returns `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split(' ').map(str::to_owned);
        let (verb, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let Some((name, value)) = header.trim_end().split_once(": ") else { break };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
        let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        Ok(Some(Self { verb, path, headers, body }))
    }

    fn start_call(&self) -> Call {
        let header = |name: &str| self.headers.get(name).cloned();
        Call {
            query_id: header("x-ticket"),
            class: header("x-queue"),
            max_ms: header("x-max-ms"),
            idempotency_key: header("x-nonce"),
            rank: header("rank"),
            grant_mb: header("grant-mb"),
            statement: String::from_utf8_lossy(&self.body).into_owned(),
        }
    }
}

impl Engine {
    /// Serves a connection until its end.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = HttpCall::read(&mut reader)? {
            let mut parts = call.path.split('/').skip(2);
            let query_id = parts.next().unwrap_or_default().to_owned();
            let page = parts.next().and_then(|page| page.parse::<usize>().ok());
            let response = match (call.verb.as_str(), call.path.as_str()) {
                ("GET", "/healthz" | "/busy") => {
                    self.harness.log(Event::HealthChecked(self.index));
                    Some(self.response("200 OK", "", ""))
                }
                ("POST", "/data") => match self.start_query(&call) {
                    StartReaction::Response(response) => Some(response),
                    StartReaction::Poll(query_id) => self.poll(&query_id),
                    StartReaction::Reset => return reset(&stream),
                },
                ("GET", _) if page == Some(0) => self.poll(&query_id),
                ("GET", _) => self.page(&query_id, page.unwrap_or(0)),
                ("PUT", _) => Some(no_content()),
                ("DELETE", _) => self.cancel(&query_id),
                _ => Some(self.response("400 no", "", "")),
            };
            if self.crashed.load(Ordering::SeqCst) {
                return reset(&stream);
            }
            if let Some(response) = response {
                stream.write_all(response.as_bytes())?;
            }
        }
        Ok(())
    }

    fn response(&self, status: &str, headers: &str, body: &str) -> String {
        let meter = match self.harness.reports {
            LoadReports::Answers => "X-Meter: inflight:1;util:0.05\r\n",
            LoadReports::None | LoadReports::Probes => "",
        };
        format!("HTTP/1.1 {status}\r\n{headers}{meter}Content-Length: {}\r\n\r\n{body}", body.len())
    }

    fn server_error(&self) -> String {
        self.response("500 Internal Server Error", "", "")
    }

    fn ending(&self, request: RequestIndex, end: Outcome) {
        self.harness.log(Event::Ending(self.index, request, end));
    }

    /// Starts an attempt with the next behavior of its request.
    fn start_query(&self, call: &HttpCall) -> StartReaction {
        let start = call.start_call();
        let query_id = start.query_id.clone().unwrap_or_default();
        let request = request_of(&start.statement);
        self.harness.log(Event::Arrived(self.index, start));
        let Some(request) = request else { return StartReaction::Response(self.server_error()) };
        let (behavior, number) = self.harness.next_behavior(request);
        let pages = |pages: usize| {
            let row = |page: usize| format!("{}\t{request}.{number}\trow {page}\n", self.index);
            (0..pages).map(row).collect()
        };
        let query = |after_ms: u64, pages: Vec<String>| Query {
            request,
            ends_at: Instant::now() + Duration::from_millis(after_ms),
            silent: false,
            progress: false,
            fails: false,
            pages,
        };
        let store = |query: Query| drop(lock(&self.queries).insert(query_id.clone(), query));
        match behavior {
            Behavior::Served { after_ms, pages: count, progress } => {
                store(Query { progress, ..query(after_ms, pages(count)) });
                StartReaction::Poll(query_id)
            }
            Behavior::Silent => {
                store(Query { silent: true, ..query(0, Vec::new()) });
                StartReaction::Poll(query_id)
            }
            Behavior::Reset { after_ms } => {
                store(query(after_ms, pages(2)));
                StartReaction::Reset
            }
            Behavior::Crash => {
                self.harness.log(Event::Crashing(self.index, request));
                StartReaction::Reset
            }
            Behavior::PermanentCrash => {
                self.harness.log(Event::Crashing(self.index, request));
                self.crash();
                StartReaction::Reset
            }
            Behavior::Error { after_ms } => {
                store(Query { fails: true, ..query(after_ms, Vec::new()) });
                StartReaction::Poll(query_id)
            }
            Behavior::Shed => {
                self.ending(request, Outcome::NeverRan);
                StartReaction::Response(self.response("503 Service Unavailable", "X-Shed: 1\r\n", ""))
            }
            Behavior::Expired => {
                self.ending(request, Outcome::NeverRan);
                StartReaction::Response(self.response("504 Gateway Timeout", "X-Shed: 1\r\n", ""))
            }
        }
    }

    /// Responds when the query ends or [`MAX_POLL_DELAY`] has passed. A silent query gets no response.
    fn poll(&self, query_id: &str) -> Option<String> {
        let polled_at = Instant::now();
        if let Some(query) = lock(&self.queries).get(query_id) {
            self.harness.log(Event::Polled(self.index, query.request));
        }
        loop {
            let queries = lock(&self.queries);
            let Some(query) = queries.get(query_id) else { return Some(self.server_error()) };
            if query.silent {
                return None;
            }
            if Instant::now() >= query.ends_at && query.fails {
                self.ending(query.request, Outcome::Error);
                return Some(self.server_error());
            }
            if Instant::now() >= query.ends_at {
                let rows = query.pages.iter().map(|page| page.trim_end().to_owned()).collect();
                self.ending(query.request, Outcome::Rows(rows));
                let count = format!("Page-Count: {}\r\n", query.pages.len());
                return Some(self.response("200 OK", &count, query.pages.first().map_or("", String::as_str)));
            }
            if polled_at.elapsed() >= MAX_POLL_DELAY {
                let remark = if query.progress { "X-Remark: progress\r\nFigure: 0.5\r\n" } else { "" };
                return Some(self.response("202 Accepted", remark, ""));
            }
            drop(queries);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Simulates a crash of the process with all its queries. The address refuses connections afterwards.
    fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        for (_, query) in lock(&self.queries).drain() {
            self.harness.log(Event::Crashing(self.index, query.request));
        }
        // Each connection wakes up the listener, which closes if the flag is set.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in lock(&self.connections).drain(..) {
            let _ = reset(&stream);
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn page(&self, query_id: &str, page: usize) -> Option<String> {
        let queries = lock(&self.queries);
        let Some(query) = queries.get(query_id) else { return Some(self.server_error()) };
        self.harness.log(Event::Polled(self.index, query.request));
        let Some(body) = query.pages.get(page) else { return Some(self.server_error()) };
        Some(self.response("200 OK", &format!("Page-No: {page}\r\n"), body))
    }

    fn cancel(&self, query_id: &str) -> Option<String> {
        let mut queries = lock(&self.queries);
        let Some(query) = queries.remove(query_id) else { return Some(no_content()) };
        self.harness.log(Event::Cancelled(self.index, query.request));
        (!query.silent).then(no_content)
    }
}

/// Reaction to the call that starts a query.
enum StartReaction {
    /// Write this response.
    Response(String),
    /// Respond as to a poll of this query.
    Poll(String),
    /// Reset the connection.
    Reset,
}

fn no_content() -> String {
    "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
