//! Stand-ins, written from the public protocols alone: engines, and clients of both fronts. Everything is on
//! loopback, with ports that the system chooses.
#![allow(dead_code, missing_docs)]

pub mod control;
pub mod held;
pub mod manual;
pub mod mysql;
pub mod pg;
pub mod requests;
pub mod script;

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the engines of a test saw, all together.
#[derive(Clone, Default)]
pub struct Seen {
    runs: Arc<Mutex<Vec<(String, String)>>>,
    kills: Arc<Mutex<Vec<u32>>>,
    deletes: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicU64>,
}

impl Seen {
    pub fn ran(&self, engine: &str, query_id: &str) {
        self.runs.lock().unwrap().push((engine.to_owned(), query_id.to_owned()));
    }

    /// Engines that began to run this query_id, in order.
    pub fn engines_of(&self, query_id: &str) -> Vec<String> {
        self.runs.lock().unwrap().iter().filter(|(_, t)| t == query_id).map(|(e, _)| e.clone()).collect()
    }

    /// Query ids that were cancelled over HTTP.
    pub fn deletes(&self) -> Vec<String> {
        self.deletes.lock().unwrap().clone()
    }

    /// Connections that were to be ended.
    pub fn kills(&self) -> Vec<u32> {
        self.kills.lock().unwrap().clone()
    }

    pub fn killed(&self, connection: u32) {
        self.kills.lock().unwrap().push(connection);
    }

    /// The number of a new MySQL connection, from 1.
    pub fn connection(&self) -> u32 {
        self.connections.fetch_add(1, Ordering::SeqCst) as u32 + 1
    }

    pub fn count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// What becomes of an answer on its way.
#[derive(Clone, Copy, Debug)]
pub enum Spoilt {
    Noise,
    NoHead,
    Endless,
    Short,
    CutOff,
    Silent,
    Preceded,
    Twice,
}

/// An engine process with both of its protocols; killed, it resets every connection.
pub struct Engine {
    pub name: String,
    pub http: SocketAddr,
    pub mysql: SocketAddr,
    dead: Arc<AtomicBool>,
    refuses: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    work_ms: Arc<AtomicU64>,
    mute: Arc<AtomicBool>,
    spoilt: Arc<Mutex<VecDeque<Spoilt>>>,
    resets: Arc<AtomicU64>,
}

/// What a connection of an engine is served with.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub seen: Seen,
    pub dead: Arc<AtomicBool>,
    mute: Arc<AtomicBool>,
    spoilt: Arc<Mutex<VecDeque<Spoilt>>>,
    work_ms: Arc<AtomicU64>,
    queries: Arc<Mutex<HashMap<String, Instant>>>,
}

impl Host {
    /// Works for as long as a statement takes; false if the engine died meanwhile.
    pub fn work(&self) -> bool {
        let done = Instant::now() + Duration::from_millis(self.work_ms.load(Ordering::SeqCst));
        while !self.dead.load(Ordering::SeqCst) && Instant::now() < done {
            let left = done.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
        }
        !self.dead.load(Ordering::SeqCst)
    }
}

impl Engine {
    pub fn start(name: &str, seen: &Seen, work_ms: u64) -> Self {
        let dead = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (work_ms, mute) = (Arc::new(AtomicU64::new(work_ms)), Arc::<AtomicBool>::default());
        let spoilt = Arc::<Mutex<VecDeque<Spoilt>>>::default();
        let host = Host {
            name: name.to_owned(),
            seen: seen.clone(),
            dead: dead.clone(),
            mute: mute.clone(),
            spoilt: spoilt.clone(),
            work_ms: work_ms.clone(),
            queries: Arc::default(),
        };
        let (resets, refuses) = (Arc::<AtomicU64>::default(), Arc::<AtomicBool>::default());
        let listen = |serve: fn(TcpStream, Host)| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let (host, streams, resets) = (host.clone(), streams.clone(), resets.clone());
            let refuses = refuses.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if host.dead.load(Ordering::SeqCst) || refuses.load(Ordering::SeqCst) {
                        return;
                    }
                    let one_less = |n: u64| n.checked_sub(1);
                    if resets.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_ok() {
                        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                        continue;
                    }
                    stream.set_nodelay(true).unwrap();
                    streams.lock().unwrap().push(stream.try_clone().unwrap());
                    let host = host.clone();
                    thread::spawn(move || serve(stream, host));
                }
            });
            address
        };
        let (http, mysql) = (listen(serve_http), listen(mysql::serve));
        Self { name: name.to_owned(), http, mysql, dead, refuses, streams, work_ms, mute, spoilt, resets }
    }

    pub fn set_work_ms(&self, ms: u64) {
        self.work_ms.store(ms, Ordering::SeqCst);
    }

    /// Its entry in the list.
    pub fn entry(&self, status: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"type\":\"k\",\"group\":0,\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}",
            self.name, self.http
        )
    }

    /// From now on it hears and runs everything and answers nothing.
    pub fn mute(&self) {
        self.mute.store(true, Ordering::SeqCst);
    }

    /// Spoils its next answers to HTTP calls, each in one of these ways.
    pub fn spoil(&self, ways: &[Spoilt]) {
        self.spoilt.lock().unwrap().extend(ways);
    }

    /// Resets so many new connections; the process lives.
    pub fn reset_new(&self, connections: u64) {
        self.resets.store(connections, Ordering::SeqCst);
    }

    /// Breaks every connection; the process and what it runs live on.
    pub fn cut(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Refuses new connections, as one that drains does; what it runs and the connections that it has live on.
    pub fn refuse_new(&self) {
        self.refuses.store(true, Ordering::SeqCst);
        for address in [self.http, self.mysql] {
            // The listener wakes up, sees that it is to close, and closes.
            while TcpStream::connect(address).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    pub fn kill(&self) {
        self.dead.store(true, Ordering::SeqCst);
        self.refuse_new();
        self.cut();
    }
}

/// The coordinator: its first stream ends behind the first event, its second falls silent behind the next,
/// and all later ones have nothing but comments.
pub struct Coordinator {
    pub address: SocketAddr,
    /// The `Last-Event-ID` of each stream so far.
    pub asked: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// One with these events alone, numbered from `first`, as JSON; its streams stay open.
    pub fn steady(first: usize, events: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let seen = asked.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (seen, events) = (seen.clone(), events.clone());
                thread::spawn(move || {
                    let mut last = 0;
                    let lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                    for line in lines.take_while(|l| !l.is_empty()) {
                        if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                            last = id.parse().unwrap();
                            seen.lock().unwrap().push(id.to_owned());
                        }
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                    for (id, event) in (first..).zip(events).filter(|(id, _)| *id > last) {
                        let _ = stream.write_all(format!("id: {id}\ndata: {event}\n\n").as_bytes());
                    }
                    while stream.write_all(b": here\n\n").is_ok() {
                        thread::sleep(Duration::from_millis(500));
                    }
                });
            }
        });
        Self { address, asked }
    }

    /// An event that changes these entries.
    pub fn change(index: usize, entries: &str) -> String {
        format!(
            "{{\"index\":{index},\"endpoints\":{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{entries}]}}}}"
        )
    }

    /// `events` are numbered from 2.
    pub fn start(events: [String; 2]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let seen = asked.clone();
        thread::spawn(move || {
            for (n, mut stream) in listener.incoming().flatten().enumerate() {
                let (seen, event) = (seen.clone(), events.get(n).cloned());
                thread::spawn(move || {
                    let lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                    for line in lines.take_while(|l| !l.is_empty()) {
                        if let Some(id) = line.strip_prefix("Last-Event-ID: ") {
                            seen.lock().unwrap().push(id.to_owned());
                        }
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                    if let Some(entries) = event {
                        let id = n + 2;
                        let data = Self::change(id, &entries);
                        let _ = stream.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes());
                    }
                    match n {
                        0 => {}
                        1 => thread::sleep(Duration::from_secs(60)),
                        _ => {
                            while stream.write_all(b": here\n\n").is_ok() {
                                thread::sleep(Duration::from_millis(500));
                            }
                        }
                    }
                });
            }
        });
        Self { address, asked }
    }
}

/// `POST /data`, `GET /data/ID/N`, `DELETE /data/ID`: three rows on two pages for every statement.
fn serve_http(stream: TcpStream, host: Host) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let mut headers = HashMap::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = header.trim_end().split_once(": ") else { break };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
        let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let mut words = line.split(' ');
        let (verb, path) = (words.next().unwrap(), words.next().unwrap());
        let page = |extra: &str, body: &str| {
            format!("HTTP/1.1 200 OK\r\n{extra}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        let first = |host: &Host| {
            page("Page-Count: 2\r\nX-Meter: queue:0", &format!("{}\ta\t\n{}\tb\t\n", host.name, host.name))
        };
        let answer = match verb {
            "POST" => {
                host.seen.ran(&host.name, &headers["x-ticket"]);
                if String::from_utf8_lossy(&body).contains("fail") {
                    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n".to_owned()
                } else {
                    let ms = host.work_ms.load(Ordering::SeqCst);
                    let done = Instant::now() + Duration::from_millis(ms);
                    host.queries.lock().unwrap().insert(headers["x-ticket"].clone(), done);
                    news(&host, &headers["x-ticket"], &first)
                }
            }
            "GET" if path.ends_with("/0") => {
                let query_id = path.split('/').nth(2).unwrap();
                news(&host, query_id, &first)
            }
            "GET" => page("Page-No: 1", &format!("{}\tc\t\n", host.name)),
            _ => {
                let query_id = path.split('/').nth(2).unwrap().to_owned();
                host.seen.deletes.lock().unwrap().push(query_id);
                "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
            }
        };
        if host.mute.load(Ordering::SeqCst) {
            continue;
        }
        let way = host.spoilt.lock().unwrap().pop_front();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        let (bytes, ends) = match way {
            None => (answer.clone(), false),
            Some(Spoilt::Noise) => ("\u{1}\u{fe}\r\n\r\n".to_owned(), false),
            Some(Spoilt::NoHead) => (format!("HTTP/1.1 2x0 OK\r\n\r\n{body}"), false),
            Some(Spoilt::Endless) => {
                (format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"), false)
            }
            Some(Spoilt::Short) => (format!("{head}\r\n\r\n{}", &body[..body.len() / 2]), false),
            Some(Spoilt::CutOff) => (head[..head.len() / 2].to_owned(), true),
            Some(Spoilt::Silent) => (String::new(), false),
            Some(Spoilt::Preceded) => (format!("HTTP/1.1 103 Early Hints\r\n\r\n{answer}"), false),
            Some(Spoilt::Twice) => (answer.repeat(2), false),
        };
        if host.dead.load(Ordering::SeqCst) || stream.write_all(bytes.as_bytes()).is_err() || ends {
            return;
        }
    }
}

fn news(host: &Host, query_id: &str, first: &dyn Fn(&Host) -> String) -> String {
    let done = host.queries.lock().unwrap().get(query_id).copied();
    let Some(done) = done else { return "HTTP/1.1 500 unknown\r\nContent-Length: 0\r\n\r\n".to_owned() };
    let left = done.saturating_duration_since(Instant::now());
    thread::sleep(left.min(Duration::from_millis(250)));
    if left > Duration::from_millis(250) {
        return "HTTP/1.1 202 later\r\nX-Remark: progress\r\nFigure: 0.5\r\nContent-Length: 0\r\n\r\n"
            .to_owned();
    }
    first(host)
}

/// A folder that goes with the last process that has it.
struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl std::ops::Deref for Folder {
    type Target = std::path::Path;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

/// The real program, started with a configuration of its own.
pub struct Gateway {
    child: Child,
    pub pg: SocketAddr,
    pub mysql: Option<SocketAddr>,
    pub ops: Option<SocketAddr>,
    folder: Arc<Folder>,
    log: Arc<Mutex<String>>,
}

/// A figure of the log, by the key before it.
pub fn figure(log: &str, key: &str) -> usize {
    let word = log.split_whitespace().rev().find_map(|w| w.split_once(key)).expect(key);
    word.1.parse().unwrap()
}

static FOLDERS: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts it in front of these engines, with the MySQL front if `mysql` says so.
    pub fn start(engines: &[&Engine], mysql: bool) -> Self {
        Self::start_with(engines, mysql, None)
    }

    /// The same, with a coordinator that knows more than the start.
    pub fn start_with(engines: &[&Engine], mysql: bool, coordinator: Option<SocketAddr>) -> Self {
        Self::start_as(engines, mysql, coordinator, "", None)
    }

    /// The same, with an operator's file and a limit on the process's descriptors.
    pub fn start_as(
        engines: &[&Engine],
        mysql: bool,
        coordinator: Option<SocketAddr>,
        operator: &str,
        descriptors: Option<u32>,
    ) -> Self {
        let folder = Self::folder(engines, mysql, coordinator, operator);
        Self::launch(folder, ([127, 0, 0, 1], 0).into(), descriptors, false)
    }

    /// In front of whoever these entries of the list name, with a coordinator if there is one, with the configuration
    /// as `change` makes it and a log that tells each request.
    pub fn scripted(
        entries: &str,
        coordinator: Option<SocketAddr>,
        operator: &str,
        descriptors: Option<u32>,
        change: impl Fn(String) -> String,
    ) -> Self {
        let folder = Self::scripted_folder(entries, coordinator, operator, change);
        Self::launch(folder, ([127, 0, 0, 1], 0).into(), descriptors, false)
    }

    /// The same without a coordinator, with the admin interface, so that another process may take its place.
    pub fn scripted_with_admin(entries: &str, change: impl Fn(String) -> String) -> Self {
        let folder = Self::scripted_folder(entries, None, "", change);
        Self::launch(folder, ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// The same, following these control machines.
    pub fn controlled(entries: &str, machines: &[SocketAddr], change: impl Fn(String) -> String) -> Self {
        let list = machines.iter().map(|machine| format!("\"{machine}\"")).collect::<Vec<_>>().join(", ");
        let operator = format!("[control]\nmachines = [{list}]\n");
        let folder = Self::scripted_folder(entries, None, &operator, change);
        Self::launch(folder, ([127, 0, 0, 1], 0).into(), None, true)
    }

    fn scripted_folder(
        entries: &str,
        coordinator: Option<SocketAddr>,
        operator: &str,
        change: impl Fn(String) -> String,
    ) -> Arc<Folder> {
        let folder = Self::folder(&[], false, coordinator, operator);
        let file = folder.join("config.json");
        let list = |text: String| text.replace("\"endpoints\":[]", &format!("\"endpoints\":[{entries}]"));
        std::fs::write(&file, change(list(std::fs::read_to_string(&file).unwrap()))).unwrap();
        std::fs::write(folder.join("log-level"), "debug").unwrap();
        folder
    }

    /// Its folder.
    pub fn path(&self) -> &std::path::Path {
        &self.folder
    }

    /// A folder with its configuration.
    fn folder(
        engines: &[&Engine],
        mysql: bool,
        coordinator: Option<SocketAddr>,
        operator: &str,
    ) -> Arc<Folder> {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("wrenhatch-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let list = engines.iter().map(|e| e.entry("Ready")).collect::<Vec<_>>().join(",");
        let mut config = include_str!("config.json").replace("LIST", &list);
        if let Some(address) = coordinator {
            config = config.replace("\"known\":", &format!("\"coordinator\":\"{address}\",\"known\":"));
        }
        std::fs::write(folder.join("config.json"), config).unwrap();
        let mut operator = operator.to_owned();
        if mysql {
            operator += "\n[mysql]\nlisten = \"127.0.0.1:0\"\n\
                login = { user = \"gw\", password = \"secret\" }\n\
                [mysql.users]\nunit = { tenant = \"acme\", password = \"pw\" }\n[mysql.engines]\n";
            for engine in engines {
                operator += &format!("{} = \"{}\"\n", engine.name, engine.mysql);
            }
        }
        std::fs::write(folder.join("operator.toml"), operator).unwrap();
        Arc::new(Folder(folder))
    }

    /// In front of these engines with the MySQL front, with the configuration as `change` makes it.
    pub fn start_changed(engines: &[&Engine], change: impl Fn(String) -> String) -> Self {
        let folder = Self::folder(engines, true, None, "");
        let file = folder.join("config.json");
        std::fs::write(&file, change(std::fs::read_to_string(&file).unwrap())).unwrap();
        Self::launch(folder, ([127, 0, 0, 1], 0).into(), None, false)
    }

    /// In front of these engines, with the admin interface.
    pub fn start_with_admin(engines: &[&Engine]) -> Self {
        Self::launch(Self::folder(engines, false, None, ""), ([127, 0, 0, 1], 0).into(), None, true)
    }

    /// Starts another process that is to take this one's place.
    pub fn successor(&self) -> Self {
        Self::launch(self.folder.clone(), self.pg, None, true)
    }

    /// A process that has begun and waits for its configuration, which is to come through a pipe.
    pub fn starting(entries: &str) -> Starting {
        let folder = Self::folder(&[], false, None, "");
        let file = folder.join("config.json");
        let list = format!("\"endpoints\":[{entries}]");
        let config = std::fs::read_to_string(&file).unwrap().replace("\"endpoints\":[]", &list);
        std::fs::remove_file(&file).unwrap();
        assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
        let child = Self::command(&folder, ([127, 0, 0, 1], 0).into(), None, false).spawn().unwrap();
        // It comes through once the process reads.
        let pipe = std::fs::File::options().write(true).open(&file).unwrap();
        // Who reads it again finds a file.
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, &config).unwrap();
        Starting { child, pipe, config, folder }
    }

    fn launch(folder: Arc<Folder>, listen: SocketAddr, descriptors: Option<u32>, admin: bool) -> Self {
        let child = Self::command(&folder, listen, descriptors, admin).spawn().unwrap();
        Self::serving(child, folder)
    }

    fn command(folder: &Folder, listen: SocketAddr, descriptors: Option<u32>, admin: bool) -> Command {
        let program = env!("CARGO_BIN_EXE_wrenhatch");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", &format!("ulimit -n {n}; exec \"$0\" \"$@\""), program]);
                shell
            }
        };
        command.arg("serve").env("LB_CONFIG", folder.join("config.json")).env("LB_NAME", "t");
        command.env("TMPDIR", &**folder).env("LB_OPS", if admin { "127.0.0.1:0" } else { "" });
        command.env("LB_LISTEN", listen.to_string()).stderr(Stdio::piped()).stdout(Stdio::null());
        command.arg("--config").arg(folder.join("operator.toml"));
        if let Ok(level) = std::fs::read_to_string(folder.join("log-level")) {
            command.arg("--log").arg(level);
        }
        command
    }

    /// Waits until it serves.
    fn serving(mut child: Child, folder: Arc<Folder>) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let serving =
            lines.by_ref().map_while(Result::ok).find(|l| l.contains("serving")).expect("it serves");
        let address = |key: &str| {
            let word = serving.split_whitespace().find_map(|w| w.strip_prefix(key)).unwrap();
            word.parse::<SocketAddr>().ok()
        };
        let (pg, mysql, ops) = (address("listen=").unwrap(), address("mysql="), address("ops="));
        let log = Arc::new(Mutex::new(String::new()));
        let kept = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self { child, pg, mysql, ops, folder, log }
    }

    /// A call to the admin interface, with a method and a path; the answer's status and text.
    pub fn call(&self, line: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.ops.unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream.write_all(format!("{line} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    /// A figure of the admin interface.
    pub fn metric(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET /status/metrics");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| l.strip_prefix(&format!("edge_lb.{name}=")));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, named as `kill` wants it.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Kills it.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Where it waits for a process that is to take its place.
    pub fn socket(&self) -> std::path::PathBuf {
        self.folder.join("wrenhatch-t.sock")
    }

    /// Replaces its configuration's file by what `change` makes of it, and sends SIGHUP.
    pub fn reconfigure(&self, change: impl Fn(String) -> String) {
        let file = self.folder.join("config.json");
        std::fs::write(&file, change(std::fs::read_to_string(&file).unwrap())).unwrap();
        self.signal("-HUP");
    }

    /// Stands still while `during` goes on: all that comes meanwhile is there at its next turn.
    pub fn paused<T>(&self, during: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let result = during();
        self.signal("-CONT");
        result
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until its log holds this.
    pub fn logged(&self, text: &str) {
        let began = Instant::now();
        while !self.log.lock().unwrap().contains(text) {
            assert!(began.elapsed() < Duration::from_secs(60), "no {text} in the log");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The turns that its loop has made, by its own word.
    pub fn turns(&self) -> u64 {
        let before = self.log.lock().unwrap().len();
        self.signal("-USR1");
        let began = Instant::now();
        loop {
            let new = self.log.lock().unwrap().get(before..).unwrap_or_default().to_owned();
            if new.contains("turns=") && new.ends_with('\n') {
                return figure(&new, "turns=") as u64;
            }
            assert!(began.elapsed() < Duration::from_secs(60), "it tells no counters");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Asks it to end; its exit code and its last words.
    pub fn end(self) -> (Option<i32>, String) {
        self.terminate();
        self.wait()
    }

    /// Waits for its end; its exit code and its last words.
    pub fn wait(mut self) -> (Option<i32>, String) {
        let code = self.child.wait().unwrap().code();
        thread::sleep(Duration::from_millis(100));
        let log = self.log.lock().unwrap().clone();
        (code, log)
    }

    /// The clients that it holds at once with the 256 descriptors of its configuration.
    pub fn most_clients(&self) -> usize {
        256 / 3 + 16
    }

    pub fn mysql(&self) -> SocketAddr {
        self.mysql.unwrap()
    }
}

/// A process that waits for its configuration.
pub struct Starting {
    child: Child,
    pipe: std::fs::File,
    config: String,
    folder: Arc<Folder>,
}

impl Starting {
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// It gets its configuration, and serves.
    pub fn go_on(mut self) -> Gateway {
        self.pipe.write_all(self.config.as_bytes()).unwrap();
        drop(self.pipe);
        Gateway::serving(self.child, self.folder)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
