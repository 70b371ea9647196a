//! Simulated engines, which serve queries over HTTP and MySQL.

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::mysql;

/// Records the queries, cancellations and MySQL connections of all engines of a test.
#[derive(Clone, Default)]
pub struct Recorder {
    runs: Arc<Mutex<Vec<(String, String)>>>,
    kills: Arc<Mutex<Vec<u32>>>,
    deletes: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicU64>,
}

impl Recorder {
    pub fn record_query(&self, engine: &str, query_id: &str) {
        self.runs.lock().unwrap().push((engine.to_owned(), query_id.to_owned()));
    }

    /// Names of the engines that have started this query, in order.
    pub fn engines_of(&self, query_id: &str) -> Vec<String> {
        self.runs.lock().unwrap().iter().filter(|(_, t)| t == query_id).map(|(e, _)| e.clone()).collect()
    }

    /// Ids of the queries that were cancelled over HTTP.
    pub fn deletes(&self) -> Vec<String> {
        self.deletes.lock().unwrap().clone()
    }

    /// Ids of the MySQL connections that a `KILL` named.
    pub fn kills(&self) -> Vec<u32> {
        self.kills.lock().unwrap().clone()
    }

    pub fn record_kill(&self, connection: u32) {
        self.kills.lock().unwrap().push(connection);
    }

    /// Allocates the id of a MySQL connection, starting at 1.
    pub fn next_connection_id(&self) -> u32 {
        self.connections.fetch_add(1, Ordering::SeqCst) as u32 + 1
    }

    pub fn query_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// A fault in a response of an engine.
#[derive(Clone, Copy, Debug)]
pub enum ResponseFault {
    Garbage,
    BadStatusLine,
    HugeContentLength,
    TruncatedBody,
    TruncatedHead,
    NoResponse,
    InterimResponse,
    Duplicate,
}

/// A simulated engine process. Runs each query for `work_ms` milliseconds.
pub struct Engine {
    pub name: String,
    pub http: SocketAddr,
    pub mysql: SocketAddr,
    is_killed: Arc<AtomicBool>,
    is_refusing: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    work_ms: Arc<AtomicU64>,
    is_unresponsive: Arc<AtomicBool>,
    response_faults: Arc<Mutex<VecDeque<ResponseFault>>>,
    resets_left: Arc<AtomicU64>,
}

/// State of an engine that its connections share.
#[derive(Clone)]
pub struct EngineState {
    pub name: String,
    pub recorder: Recorder,
    pub is_killed: Arc<AtomicBool>,
    is_unresponsive: Arc<AtomicBool>,
    response_faults: Arc<Mutex<VecDeque<ResponseFault>>>,
    work_ms: Arc<AtomicU64>,
    queries: Arc<Mutex<HashMap<String, Instant>>>,
}

impl EngineState {
    /// Sleeps for the duration of a query. Returns false if the engine was killed in the meantime.
    pub fn run_query(&self) -> bool {
        let done = Instant::now() + Duration::from_millis(self.work_ms.load(Ordering::SeqCst));
        while !self.is_killed.load(Ordering::SeqCst) && Instant::now() < done {
            let left = done.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
        }
        !self.is_killed.load(Ordering::SeqCst)
    }
}

impl Engine {
    pub fn start(name: &str, recorder: &Recorder, work_ms: u64) -> Self {
        let is_killed = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (work_ms, is_unresponsive) = (Arc::new(AtomicU64::new(work_ms)), Arc::<AtomicBool>::default());
        let response_faults = Arc::<Mutex<VecDeque<ResponseFault>>>::default();
        let state = EngineState {
            name: name.to_owned(),
            recorder: recorder.clone(),
            is_killed: is_killed.clone(),
            is_unresponsive: is_unresponsive.clone(),
            response_faults: response_faults.clone(),
            work_ms: work_ms.clone(),
            queries: Arc::default(),
        };
        let (resets_left, is_refusing) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let listen = |serve: fn(TcpStream, EngineState)| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let (state, streams, resets_left) = (state.clone(), streams.clone(), resets_left.clone());
            let is_refusing = is_refusing.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if state.is_killed.load(Ordering::SeqCst) || is_refusing.load(Ordering::SeqCst) {
                        return;
                    }
                    let one_less = |n: u64| n.checked_sub(1);
                    if resets_left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_ok() {
                        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                        continue;
                    }
                    stream.set_nodelay(true).unwrap();
                    streams.lock().unwrap().push(stream.try_clone().unwrap());
                    let state = state.clone();
                    thread::spawn(move || serve(stream, state));
                }
            });
            address
        };
        let (http, mysql) = (listen(serve_http), listen(mysql::serve));
        Self {
            name: name.to_owned(),
            http,
            mysql,
            is_killed,
            is_refusing,
            streams,
            work_ms,
            is_unresponsive,
            response_faults,
            resets_left,
        }
    }

    pub fn set_work_ms(&self, ms: u64) {
        self.work_ms.store(ms, Ordering::SeqCst);
    }

    /// JSON entry of the engine in the endpoint list.
    pub fn entry(&self, status: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"type\":\"k\",\"group\":0,\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}",
            self.name, self.http
        )
    }

    /// Runs all further queries, but sends no HTTP responses.
    pub fn stop_responding(&self) {
        self.is_unresponsive.store(true, Ordering::SeqCst);
    }

    /// Applies one fault to each of the next HTTP responses.
    pub fn inject_faults(&self, faults: &[ResponseFault]) {
        self.response_faults.lock().unwrap().extend(faults);
    }

    /// Resets this number of new connections, over HTTP or MySQL.
    pub fn reset_new_connections(&self, connections: u64) {
        self.resets_left.store(connections, Ordering::SeqCst);
    }

    /// Closes all connections. Running queries continue.
    pub fn close_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Refuses new connections, like a draining engine. Open connections and running queries continue.
    pub fn refuse_connections(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
        for address in [self.http, self.mysql] {
            // The connection wakes up the listener thread, which then closes the listener.
            while TcpStream::connect(address).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    /// Closes all connections and ends all queries, like a killed process.
    pub fn kill(&self) {
        self.is_killed.store(true, Ordering::SeqCst);
        self.refuse_connections();
        self.close_connections();
    }
}

/// An HTTP request.
struct HttpCall {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl HttpCall {
    /// Reads the next request. Returns `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).unwrap_or(0) == 0 {
                return None;
            }
            let Some((name, value)) = header.trim_end().split_once(": ") else { break };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
        let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let mut words = line.split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap(), words.next().unwrap());
        Some(Self { method, path, headers, body })
    }

    /// Query id in the path.
    fn query_id(&self) -> &str {
        self.path.split('/').nth(2).unwrap()
    }
}

fn serve_http(mut stream: TcpStream, state: EngineState) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(call) = HttpCall::read(&mut reader) {
        let response = respond(&state, &call);
        if state.is_unresponsive.load(Ordering::SeqCst) {
            continue;
        }
        let fault = state.response_faults.lock().unwrap().pop_front();
        let (bytes, is_closed) = fault.map_or((response.clone(), false), |fault| fault.apply(&response));
        if state.is_killed.load(Ordering::SeqCst) || stream.write_all(bytes.as_bytes()).is_err() || is_closed
        {
            return;
        }
    }
}

/// Response to `POST /data`, `GET /data/ID/N` or `DELETE /data/ID`. The result of a query has three rows on two pages.
/// A statement that contains `fail` fails.
fn respond(state: &EngineState, call: &HttpCall) -> String {
    match call.method.as_str() {
        "POST" => {
            let query_id = &call.headers["x-ticket"];
            state.recorder.record_query(&state.name, query_id);
            if String::from_utf8_lossy(&call.body).contains("fail") {
                return "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n".to_owned();
            }
            let ms = state.work_ms.load(Ordering::SeqCst);
            let done = Instant::now() + Duration::from_millis(ms);
            state.queries.lock().unwrap().insert(query_id.clone(), done);
            progress_or_first_page(state, query_id)
        }
        "GET" if call.path.ends_with("/0") => progress_or_first_page(state, call.query_id()),
        "GET" => page("Page-No: 1", &format!("{}\tc\t\n", state.name)),
        _ => {
            state.recorder.deletes.lock().unwrap().push(call.query_id().to_owned());
            "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
        }
    }
}

fn page(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl ResponseFault {
    /// Returns the text to send instead of a response, and whether the connection is closed after it.
    fn apply(self, response: &str) -> (String, bool) {
        let (head, body) = response.split_once("\r\n\r\n").unwrap();
        match self {
            ResponseFault::Garbage => ("\u{1}\u{fe}\r\n\r\n".to_owned(), false),
            ResponseFault::BadStatusLine => (format!("HTTP/1.1 2x0 OK\r\n\r\n{body}"), false),
            ResponseFault::HugeContentLength => {
                (format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"), false)
            }
            ResponseFault::TruncatedBody => (format!("{head}\r\n\r\n{}", &body[..body.len() / 2]), false),
            ResponseFault::TruncatedHead => (head[..head.len() / 2].to_owned(), true),
            ResponseFault::NoResponse => (String::new(), false),
            ResponseFault::InterimResponse => (format!("HTTP/1.1 103 Early Hints\r\n\r\n{response}"), false),
            ResponseFault::Duplicate => (response.repeat(2), false),
        }
    }
}

fn progress_or_first_page(state: &EngineState, query_id: &str) -> String {
    let done = state.queries.lock().unwrap().get(query_id).copied();
    let Some(done) = done else { return "HTTP/1.1 500 unknown\r\nContent-Length: 0\r\n\r\n".to_owned() };
    let left = done.saturating_duration_since(Instant::now());
    thread::sleep(left.min(Duration::from_millis(250)));
    if left > Duration::from_millis(250) {
        return "HTTP/1.1 202 later\r\nX-Remark: progress\r\nFigure: 0.5\r\nContent-Length: 0\r\n\r\n"
            .to_owned();
    }
    page("Page-Count: 2\r\nX-Meter: queue:0", &format!("{}\ta\t\n{}\tb\t\n", state.name, state.name))
}
