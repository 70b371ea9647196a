//! Parts that the cases 6 to 10 share: the record of a run, the gateway as a process of its own, a PostgreSQL client,
//! and the platform's engines and coordinator as stand-ins. Each case compiles this file with the standard library alone.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------------------------------
// The run: its record, its processes, its end.

struct Run {
    started: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<u32>>,
    dir: PathBuf,
}

static RUN: OnceLock<Run> = OnceLock::new();

/// What a case says in the end.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Whether the disruption is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn run() -> &'static Run {
    RUN.get().expect("the run has begun")
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    run().started.elapsed().as_millis() as u64
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let line = format!("{:>7} ms  {text}\n", now_ms());
    let _ = run().record.lock().unwrap().write_all(line.as_bytes());
}

/// Runs a case and ends the process: with 0 if the rule held, with 1 if it was broken, with 2 if the case could not run.
/// All processes that the case has started are ended first.
pub fn run_case(name: &str, limit: Duration, case: fn() -> Verdict) -> ! {
    let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
    let record = File::create(Path::new(&folder).join("record.txt")).expect("record.txt can be written");
    let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    let dir = std::env::temp_dir().join(format!("review-{name}-{}-{unique}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let new = Run { started: Instant::now(), record: Mutex::new(record), children: Mutex::default(), dir };
    assert!(RUN.set(new).is_ok());
    note(&format!("case {name}, disruption {}", if trouble() { "on" } else { "off" }));
    thread::spawn(move || {
        thread::sleep(limit);
        note("the case has not ended in time");
        finish(Verdict::CouldNotRun);
    });
    let verdict = thread::spawn(case).join().unwrap_or(Verdict::CouldNotRun);
    finish(verdict)
}

fn finish(verdict: Verdict) -> ! {
    let children = run().children.lock().unwrap();
    for child in children.iter() {
        signal(*child, "KILL");
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    note(text);
    println!("{text}");
    let _ = std::fs::remove_dir_all(&run().dir);
    std::process::exit(code)
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid} 2>/dev/null")).status();
}

/// A small generator of random numbers. Only loads and answers depend on it, no verdict.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let x = self.0 ^ (self.0 >> 33);
        x.wrapping_mul(0xff51afd7ed558ccd) ^ (x >> 29)
    }

    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from + 1)
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of a request: 16 hex digits.
pub fn new_id() -> String {
    let n = IDS.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{n:08x}", std::process::id())
}

// ---------------------------------------------------------------------------------------------------------------------
// The gateway.

/// A loopback address with a port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The settings of a small deployment in one server room. `classes` are the entries of the classes, `rules` further
/// entries of the rules, `notes` the time between notes of progress.
pub fn settings(classes: &str, rules: &str, notes: &str, parallelism: &str, loads: &str, no: &str) -> String {
    format!(
        r#"{{"allowed":{{"cancelling":true,"connect-timeout-s":0.25,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,
"keepalive-s":15.0,"max-attempts":3,"max-open":20000,"max-retry-after-s":0.5,"may-duplicate":false,"peers":false,
"probing":false,"retry-after":true,"streams-per-conn":100}},
"balancers":1,"classes":[{classes}],"clients":{{"marks-retry":false}},"discovery":"push",
"domain":{{"grants-count":true,"holds-tables":{loads},"kind-cores":[16],"memory-by-kind-mb":[32768.0],"most-grant":0.4,
"note-period-s":{notes},"parallelism":{parallelism},"takes-priority":true,"tells-cost":false,"when-short":"page",
"yields-to-loads":{no}}},
"goal":{{"whole":0.35,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.35}},
"kinds":["std-16"],"layer":0,"layers":["query-fleet"],"locality":"room","me":0,"over-share-worth":0.1,
"projects":[{{"name":"coop","quota-per-s":149.0,"share":0.76}},{{"name":"farms","quota-per-s":47.0,"share":0.24}}],
"report":{{"how":"answers","names":["queue"]}},"resolution-s":0.005,
"rules":{{"answer-slack-s":0.02,"ask-every-s":10.0,"cold-share":0.32,"drain-grace-s":0.5,"fall-multiple":2.5,
"overload-for-s":3.0,"warm-up-s":15.0{rules}}},
"weight-source":"none","workload":"queries","worth-by":"request","zones":["room"]}}"#
    )
}

pub const LOOKUP: &str = r#"{"aim-s":0.6,"aim-stretch":1.5,"deadline-s":3.0,"group":"all","late-value":0.1,"name":"lookup","repeat":"pure","streaming":false,"window-s":5.0,"worth":1.0}"#;
pub const REPORT: &str = r#"{"aim-s":2.0,"aim-stretch":2.5,"deadline-s":20.0,"group":"all","late-value":0.3,"name":"report","repeat":"pure","streaming":false,"window-s":5.0,"worth":10.0}"#;
pub const LOAD: &str = r#"{"aim-s":4.0,"aim-stretch":2.5,"deadline-s":25.0,"group":"all","late-value":0.5,"name":"load","repeat":"side_effect","streaming":false,"window-s":5.0,"worth":12.0}"#;

/// The settings with the classes `lookup`, `report` and `load`.
pub fn usual_settings() -> String {
    let classes = format!("{LOOKUP},{REPORT},{LOAD}");
    settings(&classes, "", "1.0", "[1,4,2]", "[false,false,true]", "[false,false,false]")
}

/// What one gateway process is started with.
pub struct Start<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub coordinator: Option<SocketAddr>,
    /// Number of the last event of the list so far, and the events so far.
    pub known: (u64, Vec<String>),
    pub settings: String,
    /// Contents of the operator's file.
    pub operator: Option<String>,
    pub log: Option<&'a str>,
}

/// A gateway process, started by the command `run` of the deploy file.
pub struct Gateway {
    pub pid: u32,
    pub listen: SocketAddr,
    child: Arc<Mutex<std::process::Child>>,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a process and waits until it has answered an empty query.
    pub fn start(start: &Start<'_>) -> Option<Self> {
        let gateway = Self::spawn(start);
        gateway.await_ready(Duration::from_secs(20)).then_some(gateway)
    }

    pub fn spawn(start: &Start<'_>) -> Self {
        let number = STARTS.fetch_add(1, Ordering::SeqCst);
        let dir = &run().dir;
        // All processes of one gateway share TMPDIR, as the platform has it.
        let tmp = dir.join(format!("tmp-{}", start.name));
        std::fs::create_dir_all(&tmp).unwrap();
        let config_file = dir.join(format!("config-{number}.json"));
        let ops = start.ops.map_or(String::new(), |ops| format!("\"ops\":\"{ops}\","));
        let coordinator = start.coordinator.map_or(String::new(), |c| format!("\"coordinator\":\"{c}\","));
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",{ops}{coordinator}\"seed\":\"8c1f30d27a5be9{number:02x}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\
             \"known\":{{\"index\":{},\"updates\":[{}]}},\n\"settings\":{}}}",
            start.name,
            start.listen,
            start.known.0,
            start.known.1.join(","),
            start.settings
        );
        std::fs::write(&config_file, config).unwrap();
        let mut line = deploy_command("run");
        if let Some(operator) = &start.operator {
            let file = dir.join(format!("operator-{number}.toml"));
            std::fs::write(&file, operator).unwrap();
            line += &format!(" --config {}", file.display());
        }
        if let Some(level) = start.log {
            line += &format!(" --log {level}");
        }
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let log = if start.log.is_some() {
            File::create(Path::new(&folder).join(format!("gateway-{number}.log"))).unwrap().into()
        } else {
            Stdio::null()
        };
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&line).current_dir(root());
        command.env("LB_NAME", start.name).env("LB_LISTEN", start.listen.to_string());
        command.env("LB_CONFIG", &config_file).env("TMPDIR", &tmp);
        match start.ops {
            Some(ops) => command.env("LB_OPS", ops.to_string()),
            None => command.env_remove("LB_OPS"),
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().unwrap();
        let pid = child.id();
        run().children.lock().unwrap().push(pid);
        note(&format!("gateway {} started, process {pid}, listens at {}", start.name, start.listen));
        Self { pid, listen: start.listen, child: Arc::new(Mutex::new(child)) }
    }

    fn await_ready(&self, within: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < within {
            if let Some(mut client) = Client::connect(self.listen) {
                if matches!(client.query("", Duration::from_secs(2)), Answer::Empty) {
                    note(&format!("gateway process {} is ready", self.pid));
                    return true;
                }
            }
            if self.has_ended() {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)) | Err(_))
    }
}

/// Waits until `GET /status` at this address is answered with 200.
pub fn await_status(ops: SocketAddr, within: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        if ops_call(ops, "GET /status").is_some_and(|status| status == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A call at the operators' address. Returns the status.
pub fn ops_call(ops: SocketAddr, line: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(ops).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: ops\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Root of the repository.
fn root() -> PathBuf {
    std::env::var("REPOSITORY").map_or_else(|_| PathBuf::from("../.."), PathBuf::from)
}

/// A command of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let start = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&start)).expect("the key of the deploy file");
    line.trim_end().trim_end_matches('"').to_owned()
}

// ---------------------------------------------------------------------------------------------------------------------
// A PostgreSQL client.

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Rows(Vec<Vec<String>>),
    Empty,
    /// SQLSTATE and text.
    Error(String, String),
    /// The connection ended, or nothing came in time.
    None,
}

impl Answer {
    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(state, _) if state.starts_with("53") || state == "57P03")
    }

    pub fn word(&self) -> String {
        match self {
            Answer::Rows(rows) => format!("served, {} rows", rows.len()),
            Answer::Empty => "empty".to_owned(),
            Answer::Error(state, text) if self.is_refusal() => format!("refused ({state} {text})"),
            Answer::Error(state, text) => format!("failed ({state} {text})"),
            Answer::None => "no answer".to_owned(),
        }
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut client = Self { stream };
        let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
        let start = [&(body.len() as u32 + 4).to_be_bytes()[..], &body[..]].concat();
        client.stream.write_all(&start).ok()?;
        loop {
            match client.message()?.0 {
                b'Z' => return Some(client),
                b'E' => return None,
                _ => {}
            }
        }
    }

    fn message(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    /// Sends a query. Returns false if the connection is gone.
    pub fn send(&mut self, text: &str) -> bool {
        let mut bytes = vec![b'Q'];
        bytes.extend((text.len() as u32 + 5).to_be_bytes());
        bytes.extend(text.as_bytes());
        bytes.push(0);
        self.stream.write_all(&bytes).is_ok()
    }

    /// Sends a query and reads its answer.
    pub fn query(&mut self, text: &str, wait: Duration) -> Answer {
        if !self.send(text) {
            return Answer::None;
        }
        self.answer(wait)
    }

    /// Reads the answer to the query that was sent.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(wait));
        let (mut rows, mut answer) = (Vec::new(), Answer::None);
        loop {
            let Some((kind, body)) = self.message() else { return Answer::None };
            match kind {
                b'D' => rows.push(cells(&body)),
                b'C' => answer = Answer::Rows(std::mem::take(&mut rows)),
                b'I' => answer = Answer::Empty,
                b'E' => {
                    let field = |code: u8| {
                        let part = body.split(|b| *b == 0).find(|part| part.first() == Some(&code));
                        part.map_or(String::new(), |part| String::from_utf8_lossy(&part[1..]).into_owned())
                    };
                    answer = Answer::Error(field(b'C'), field(b'M'));
                }
                b'Z' => return answer,
                _ => {}
            }
        }
    }
}

fn cells(body: &[u8]) -> Vec<String> {
    let (mut at, mut cells) = (2, Vec::new());
    while at + 4 <= body.len() {
        let length = i32::from_be_bytes([body[at], body[at + 1], body[at + 2], body[at + 3]]).max(0) as usize;
        cells.push(String::from_utf8_lossy(&body[at + 4..at + 4 + length]).into_owned());
        at += 4 + length;
    }
    cells
}

// ---------------------------------------------------------------------------------------------------------------------
// An engine that speaks HTTP.

/// What became of a query at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// To its end.
    Done,
    /// Given up by a call.
    Deleted,
    /// Not asked for in 2 s, or past its time.
    Dropped,
}

struct Query {
    class: String,
    statement: String,
    started: Instant,
    work: Duration,
    last_call: Instant,
    limit: Duration,
    notes: u32,
    end: Option<Ended>,
}

/// A call of the gateway, as the engine has read it.
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// How a case shapes its engines. All functions may be called by several threads at once.
pub trait Behaviour: Send + Sync + 'static {
    /// How long a query runs.
    fn work(&self, class: &str, statement: &str) -> Duration;
    /// The result of a query: one page of rows.
    fn page(&self, engine: &str, statement: &str) -> String;
    /// How long the engine takes to look at a call that it has read.
    fn turnaround(&self) -> Duration {
        Duration::ZERO
    }
    /// Whether a note of progress is sent a second time, so much later.
    fn second_copy_of_note(&self) -> Option<Duration> {
        None
    }
    /// A call has been read.
    fn on_call(&self, _engine: &str, _call: &Call) {}
    /// A query has begun or ended.
    fn on_start(&self, _engine: &str, _id: &str, _class: &str) {}
    fn on_end(&self, _engine: &str, _id: &str, _end: Ended) {}
}

/// An engine as the protocol page has it: a query belongs to no connection, and runs until it ends, is deleted, or has
/// not been asked for in 2 s.
pub struct Engine<B> {
    pub name: String,
    pub address: SocketAddr,
    queries: Mutex<HashMap<String, Query>>,
    changed: Condvar,
    behaviour: Arc<B>,
    streams: Mutex<Vec<TcpStream>>,
    gone: AtomicBool,
}

impl<B: Behaviour> Engine<B> {
    pub fn start(name: &str, behaviour: Arc<B>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            queries: Mutex::default(),
            changed: Condvar::new(),
            behaviour,
            streams: Mutex::default(),
            gone: AtomicBool::new(false),
        });
        let acceptor = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.gone.load(Ordering::SeqCst) {
                    return;
                }
                let engine = acceptor.clone();
                if let Ok(stream) = stream.try_clone() {
                    engine.streams.lock().unwrap().push(stream);
                }
                thread::spawn(move || engine.serve(stream));
            }
        });
        let runner = engine.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            runner.advance();
        });
        engine
    }

    /// The engine's entry in the list.
    pub fn entry(&self, status: &str) -> String {
        entry(&self.name, self.address, status)
    }

    /// The engine's process ends, as that of an engine does that has drained: its connections end, new ones are refused,
    /// and what still runs there is lost.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let mut lost = Vec::new();
        for (id, query) in self.queries.lock().unwrap().iter_mut().filter(|(_, query)| query.end.is_none()) {
            query.end = Some(Ended::Dropped);
            lost.push(id.clone());
        }
        lost.iter().for_each(|id| self.behaviour.on_end(&self.name, id, Ended::Dropped));
    }

    fn advance(&self) {
        let mut ended = Vec::new();
        let mut queries = self.queries.lock().unwrap();
        for (id, query) in queries.iter_mut().filter(|(_, query)| query.end.is_none()) {
            let end = if query.started.elapsed() >= query.work {
                Ended::Done
            } else if query.last_call.elapsed() >= Duration::from_millis(2250) || query.started.elapsed() >= query.limit {
                Ended::Dropped
            } else {
                continue;
            };
            query.end = Some(end);
            ended.push((id.clone(), end));
        }
        drop(queries);
        if !ended.is_empty() {
            ended.iter().for_each(|(id, end)| self.behaviour.on_end(&self.name, id, *end));
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(call) = read_call(&mut reader) {
            self.behaviour.on_call(&self.name, &call);
            let answer = self.answer(&call);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if answer.contains("X-Remark") {
                if let Some(later) = self.behaviour.second_copy_of_note() {
                    thread::sleep(later);
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn answer(&self, call: &Call) -> String {
        let parts: Vec<&str> = call.path.split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("POST", ["", "data"]) => {
                let id = call.headers.get("x-ticket").cloned().unwrap_or_default();
                let class = call.headers.get("x-queue").cloned().unwrap_or_default();
                let limit = call.headers.get("x-max-ms").and_then(|ms| ms.parse().ok()).unwrap_or(25_000);
                let query = Query {
                    work: self.behaviour.work(&class, &call.body),
                    class: class.clone(),
                    statement: call.body.clone(),
                    started: Instant::now(),
                    last_call: Instant::now(),
                    limit: Duration::from_millis(limit),
                    notes: 0,
                    end: None,
                };
                // An id that the engine runs already can't be used for another statement.
                let mut queries = self.queries.lock().unwrap();
                if queries.get(&id).is_some_and(|query| query.end.is_none()) {
                    return error();
                }
                queries.insert(id.clone(), query);
                drop(queries);
                self.behaviour.on_start(&self.name, &id, &class);
                thread::sleep(self.behaviour.turnaround());
                self.news(&id)
            }
            ("GET", ["", "data", id, "0"]) => {
                thread::sleep(self.behaviour.turnaround());
                self.news(id)
            }
            ("PUT", ["", "data", _]) => no_content(),
            ("DELETE", ["", "data", id]) => {
                let mut queries = self.queries.lock().unwrap();
                let known = queries.remove(*id);
                drop(queries);
                self.changed.notify_all();
                match known {
                    Some(query) => {
                        if query.end.is_none() {
                            self.behaviour.on_end(&self.name, id, Ended::Deleted);
                        }
                        no_content()
                    }
                    None => error(),
                }
            }
            _ => error(),
        }
    }

    /// The news of a query: its end, a note, or after 250 ms 202 with nothing.
    fn news(&self, id: &str) -> String {
        let until = Instant::now() + Duration::from_millis(250);
        let mut queries = self.queries.lock().unwrap();
        loop {
            let Some(query) = queries.get_mut(id) else { return error() };
            query.last_call = Instant::now();
            match query.end {
                Some(Ended::Done) => {
                    let page = self.behaviour.page(&self.name, &query.statement);
                    return format!(
                        "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nX-Meter: queue:0\r\nContent-Length: {}\r\n\r\n{page}",
                        page.len()
                    );
                }
                Some(_) => return error(),
                None => {}
            }
            let due = query.started.elapsed().as_secs() as u32;
            if due > query.notes {
                query.notes = due;
                let share = query.started.elapsed().as_secs_f64() / query.work.as_secs_f64();
                return format!(
                    "HTTP/1.1 202 Accepted\r\nX-Remark: progress\r\nFigure: {share:.2}\r\nX-Meter: queue:0\r\nContent-Length: 0\r\n\r\n"
                );
            }
            if Instant::now() >= until {
                return "HTTP/1.1 202 Accepted\r\nX-Meter: queue:0\r\nContent-Length: 0\r\n\r\n".to_owned();
            }
            let step = Duration::from_millis(5).min(until.saturating_duration_since(Instant::now()));
            queries = self.changed.wait_timeout(queries, step).unwrap().0;
        }
    }
}

fn no_content() -> String {
    "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
}

fn error() -> String {
    "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_owned()
}

fn read_call(reader: &mut impl BufRead) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Call { method, path, headers, body: String::from_utf8_lossy(&body).into_owned() })
}

/// An entry of the list of engines.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"room\",\"type\":\"std-16\",\"group\":0,\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}"
    )
}

// ---------------------------------------------------------------------------------------------------------------------
// The coordinator.

/// An event of the list.
pub fn list_event(index: u64, whole: bool, entries: &[String]) -> String {
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"index\":{index},\"snapshot\":{whole},\"endpoints\":[{}]}}}}",
        entries.join(",")
    )
}

/// A coordinator: it numbers the events, tells each stream those behind its `Last-Event-ID`, and sends a comment each
/// second. A stream that was open when [`Coordinator::stop_open_streams`] was called says nothing more and stays open.
pub struct Coordinator {
    pub address: SocketAddr,
    events: Mutex<Vec<String>>,
    generation: AtomicU64,
    pub streams: AtomicU64,
    closed: AtomicBool,
}

impl Coordinator {
    pub fn start(events: Vec<String>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let coordinator = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            events: Mutex::new(events),
            generation: AtomicU64::new(0),
            streams: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        let acceptor = coordinator.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let coordinator = acceptor.clone();
                thread::spawn(move || coordinator.serve(stream));
            }
        });
        coordinator
    }

    pub fn push(&self, event: String) {
        self.events.lock().unwrap().push(event);
    }

    /// The number of the last event, and all events so far.
    pub fn known(&self) -> (u64, Vec<String>) {
        let events = self.events.lock().unwrap();
        (events.len() as u64, events.clone())
    }

    pub fn stop_open_streams(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let Some(call) = read_call(&mut BufReader::new(clone)) else { return };
        let mut told: usize = call.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let number = self.streams.fetch_add(1, Ordering::SeqCst) + 1;
        note(&format!("coordinator: stream {number} opened behind event {told}"));
        let generation = self.generation.load(Ordering::SeqCst);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n").is_err() {
            return;
        }
        let mut commented = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(10));
            if self.generation.load(Ordering::SeqCst) != generation {
                // Silent, and open until the other side closes.
                let mut rest = [0; 64];
                while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
                return;
            }
            let events: Vec<String> = self.events.lock().unwrap().iter().skip(told).cloned().collect();
            for event in events {
                told += 1;
                note(&format!("coordinator: event {told} written to stream {number}"));
                if stream.write_all(format!("id: {told}\ndata: {event}\n\n").as_bytes()).is_err() {
                    return;
                }
            }
            if commented.elapsed() >= Duration::from_secs(1) {
                commented = Instant::now();
                if stream.write_all(b": still here\n\n").is_err() {
                    return;
                }
            }
        }
    }
}
