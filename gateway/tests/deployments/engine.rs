//! A scripted engine: HTTP as on the protocol's page, with the fate of each attempt drawn beforehand.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::auditor::{Call, End, EngineNo, Event, Serial, serial_of};
use crate::draw::{Fate, Reports};
use crate::world::{World, locked};

/// An engine says after this long that there is no news.
const NO_NEWS: Duration = Duration::from_millis(250);
/// How often it looks whether a query has been given up.
const LOOK: Duration = Duration::from_millis(5);

/// A query that an engine knows.
struct Query {
    request: Serial,
    due: Instant,
    silent: bool,
    noted: bool,
    /// It ends with an error.
    errs: bool,
    pages: Vec<String>,
}

struct Engine {
    number: EngineNo,
    world: Arc<World>,
    queries: Mutex<HashMap<String, Query>>,
    address: SocketAddr,
    streams: Mutex<Vec<TcpStream>>,
    dead: AtomicBool,
}

/// Where an engine is: its address is held, so that nobody else gets it when it no longer listens.
pub struct Place {
    pub address: SocketAddr,
    _held: Socket,
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Starts an engine.
pub fn start(number: EngineNo, world: &Arc<World>) -> io::Result<Place> {
    let place = refusing()?;
    let socket = bound(place.address)?;
    socket.listen(128)?;
    let listener: TcpListener = socket.into();
    let engine = Arc::new(Engine {
        number,
        world: world.clone(),
        queries: Mutex::default(),
        address: place.address,
        streams: Mutex::default(),
        dead: AtomicBool::new(false),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if engine.dead.load(Ordering::SeqCst) {
                let _ = reset(&stream);
                return;
            }
            locked(&engine.streams).extend(stream.try_clone());
            let engine = engine.clone();
            thread::spawn(move || drop(engine.serve(stream)));
        }
    });
    Ok(place)
}

/// An address that refuses connections.
pub fn refusing() -> io::Result<Place> {
    let socket = bound(([127, 0, 0, 1], 0).into())?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok(Place { address, _held: socket })
}

/// A call as it came.
pub struct HttpCall {
    pub verb: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl HttpCall {
    /// The next one, whole; `None` once the other side has ended.
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

    fn start(&self) -> Call {
        let header = |name: &str| self.headers.get(name).cloned();
        Call {
            query_id: header("x-ticket"),
            class: header("x-queue"),
            max_ms: header("x-max-ms"),
            token: header("x-nonce"),
            rank: header("rank"),
            grant_mb: header("grant-mb"),
            statement: String::from_utf8_lossy(&self.body).into_owned(),
        }
    }
}

impl Engine {
    /// Serves a connection until its end, which is no error.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = HttpCall::read(&mut reader)? {
            let mut parts = call.path.split('/').skip(2);
            let query_id = parts.next().unwrap_or_default().to_owned();
            let page = parts.next().and_then(|page| page.parse::<usize>().ok());
            let answer = match (call.verb.as_str(), call.path.as_str()) {
                ("GET", "/healthz" | "/busy") => {
                    self.world.log(Event::Probed(self.number));
                    Some(self.answer("200 OK", "", ""))
                }
                ("POST", "/data") => match self.started(&call) {
                    Started::Answer(answer) => Some(answer),
                    Started::News(query_id) => self.news(&query_id),
                    Started::Reset => return reset(&stream),
                },
                ("GET", _) if page == Some(0) => self.news(&query_id),
                ("GET", _) => self.page(&query_id, page.unwrap_or(0)),
                ("PUT", _) => Some(no_content()),
                ("DELETE", _) => self.given_up(&query_id),
                _ => Some(self.answer("400 no", "", "")),
            };
            if self.dead.load(Ordering::SeqCst) {
                return reset(&stream);
            }
            if let Some(answer) = answer {
                stream.write_all(answer.as_bytes())?;
            }
        }
        Ok(())
    }

    fn answer(&self, status: &str, headers: &str, body: &str) -> String {
        let meter = match self.world.reports {
            Reports::Answers => "X-Meter: inflight:1;util:0.05\r\n",
            Reports::None | Reports::Probes => "",
        };
        format!("HTTP/1.1 {status}\r\n{headers}{meter}Content-Length: {}\r\n\r\n{body}", body.len())
    }

    fn unknown(&self) -> String {
        self.answer("500 Internal Server Error", "", "")
    }

    fn ending(&self, request: Serial, end: End) {
        self.world.log(Event::Ending(self.number, request, end));
    }

    /// An attempt has come whole.
    fn started(&self, call: &HttpCall) -> Started {
        let start = call.start();
        let query_id = start.query_id.clone().unwrap_or_default();
        let request = serial_of(&start.statement);
        self.world.log(Event::Arrived(self.number, start));
        let Some(request) = request else { return Started::Answer(self.unknown()) };
        let (fate, number) = self.world.fate(request);
        let pages = |pages: usize| {
            let row = |page: usize| format!("{}\t{request}.{number}\trow {page}\n", self.number);
            (0..pages).map(row).collect()
        };
        let query = |after_ms: u64, pages: Vec<String>| Query {
            request,
            due: Instant::now() + Duration::from_millis(after_ms),
            silent: false,
            noted: false,
            errs: false,
            pages,
        };
        let keep = |query: Query| drop(locked(&self.queries).insert(query_id.clone(), query));
        match fate {
            Fate::Served { after_ms, pages: count, noted } => {
                keep(Query { noted, ..query(after_ms, pages(count)) });
                Started::News(query_id)
            }
            Fate::Silent => {
                keep(Query { silent: true, ..query(0, Vec::new()) });
                Started::News(query_id)
            }
            Fate::Reset { after_ms } => {
                keep(query(after_ms, pages(2)));
                Started::Reset
            }
            Fate::Dies => {
                self.world.log(Event::Dying(self.number, request));
                Started::Reset
            }
            Fate::DiesForGood => {
                self.world.log(Event::Dying(self.number, request));
                self.die();
                Started::Reset
            }
            Fate::Error { after_ms } => {
                keep(Query { errs: true, ..query(after_ms, Vec::new()) });
                Started::News(query_id)
            }
            Fate::Shed => {
                self.ending(request, End::NeverRan);
                Started::Answer(self.answer("503 Service Unavailable", "X-Shed: 1\r\n", ""))
            }
            Fate::Over => {
                self.ending(request, End::NeverRan);
                Started::Answer(self.answer("504 Gateway Timeout", "X-Shed: 1\r\n", ""))
            }
        }
    }

    /// What there is to tell of a query; nothing of one that is silent.
    fn news(&self, query_id: &str) -> Option<String> {
        let asked = Instant::now();
        if let Some(query) = locked(&self.queries).get(query_id) {
            self.world.log(Event::Asked(self.number, query.request));
        }
        loop {
            let queries = locked(&self.queries);
            let Some(query) = queries.get(query_id) else { return Some(self.unknown()) };
            if query.silent {
                return None;
            }
            if Instant::now() >= query.due && query.errs {
                self.ending(query.request, End::Error);
                return Some(self.unknown());
            }
            if Instant::now() >= query.due {
                let rows = query.pages.iter().map(|page| page.trim_end().to_owned()).collect();
                self.ending(query.request, End::Rows(rows));
                let count = format!("Page-Count: {}\r\n", query.pages.len());
                return Some(self.answer("200 OK", &count, query.pages.first().map_or("", String::as_str)));
            }
            if asked.elapsed() >= NO_NEWS {
                let note = if query.noted { "X-Remark: progress\r\nFigure: 0.5\r\n" } else { "" };
                return Some(self.answer("202 Accepted", note, ""));
            }
            drop(queries);
            thread::sleep(LOOK);
        }
    }

    /// The process dies with all that it runs; from here on its address refuses connections.
    fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        for (_, query) in locked(&self.queries).drain() {
            self.world.log(Event::Dying(self.number, query.request));
        }
        // Its listener wakes up, sees that it is dead, and closes.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for stream in locked(&self.streams).drain(..) {
            let _ = reset(&stream);
            let _ = stream.shutdown(Shutdown::Read);
        }
    }

    fn page(&self, query_id: &str, page: usize) -> Option<String> {
        let queries = locked(&self.queries);
        let Some(query) = queries.get(query_id) else { return Some(self.unknown()) };
        self.world.log(Event::Asked(self.number, query.request));
        let Some(body) = query.pages.get(page) else { return Some(self.unknown()) };
        Some(self.answer("200 OK", &format!("Page-No: {page}\r\n"), body))
    }

    fn given_up(&self, query_id: &str) -> Option<String> {
        let mut queries = locked(&self.queries);
        let Some(query) = queries.remove(query_id) else { return Some(no_content()) };
        self.world.log(Event::GivenUp(self.number, query.request));
        (!query.silent).then(no_content)
    }
}

/// What an engine does about the call that starts a query.
enum Started {
    Answer(String),
    /// The same as when news of this query is asked for.
    News(String),
    Reset,
}

fn no_content() -> String {
    "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
}

fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
