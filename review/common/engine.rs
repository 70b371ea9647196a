//! An engine that speaks HTTP: it starts what it is sent, answers calls for news, and drops what nobody has asked for
//! within two seconds.
//!
//! The work of a statement is the number of milliseconds in its `w = 'N'`, or 50. A result has one page with one row:
//! the engine's name, the statement's start, and the query's id.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::Request;
use super::record::Record;

/// Longest delay of an answer to a call for news.
const NEWS_DELAY: Duration = Duration::from_millis(250);
/// Time without a call after which a query is dropped.
const UNASKED: Duration = Duration::from_secs(2);

/// A query that the engine was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Time of the first byte of the call that started it, in seconds since the start of the case.
    pub at: f64,
    pub id: String,
    pub class: String,
    pub statement: String,
}

struct Query {
    done: Instant,
    asked: Instant,
    text: String,
    deleted: bool,
}

struct State {
    name: String,
    record: Record,
    queries: Mutex<HashMap<String, Query>>,
    changed: Condvar,
    sent: Mutex<Vec<Sent>>,
}

/// A running engine. It ends with the program.
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

/// The work that a statement asks for.
pub fn work_of(statement: &str) -> Duration {
    let number = statement.split("w = '").nth(1).and_then(|rest| rest.split('\'').next());
    Duration::from_millis(number.and_then(|number| number.parse().ok()).unwrap_or(50))
}

impl Engine {
    pub fn start(name: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = Arc::new(State {
            name: name.to_owned(),
            record: record.clone(),
            queries: Mutex::default(),
            changed: Condvar::new(),
            sent: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || serve(&state, stream));
            }
        });
        Self { name: name.to_owned(), address, state }
    }

    /// Entry of the endpoint list, of an engine that is ready and started long ago.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"z","type":"k","group":0,"status":"Ready","weight":1,"since_ms":0}}"#,
            self.name, self.address
        )
    }

    /// All queries that were sent here, in order.
    pub fn sent(&self) -> Vec<Sent> {
        self.state.sent.lock().unwrap().clone()
    }
}

fn serve(state: &State, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let mut at = 0.0;
        let Some(request) = Request::read(&mut reader, || at = state.record.now()) else { return };
        let answer = state.answer(&request, at);
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const UNKNOWN: &str = "HTTP/1.1 500 Unknown\r\nContent-Length: 0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

impl State {
    fn answer(&self, request: &Request, at: f64) -> String {
        let id = request.path.split('/').nth(2).unwrap_or_default().to_owned();
        match request.method.as_str() {
            "POST" => self.start(request, at),
            "GET" if request.path.ends_with("/0") => self.news(&id),
            "PUT" => NO_CONTENT.to_owned(),
            "DELETE" => self.delete(&id),
            _ => UNKNOWN.to_owned(),
        }
    }

    fn start(&self, request: &Request, at: f64) -> String {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let (id, class) = (header("x-ticket"), header("x-queue"));
        let statement = String::from_utf8_lossy(&request.body).into_owned();
        self.record.note_at(at, &self.name, &format!("sent {id} {class}: {statement}"));
        let now = Instant::now();
        let query =
            Query { done: now + work_of(&statement), asked: now, text: statement.clone(), deleted: false };
        self.queries.lock().unwrap().insert(id.clone(), query);
        self.sent.lock().unwrap().push(Sent { at, id: id.clone(), class, statement });
        self.news(&id)
    }

    fn news(&self, id: &str) -> String {
        let began = Instant::now();
        let mut queries = self.queries.lock().unwrap();
        loop {
            let now = Instant::now();
            let Some(query) = queries.get_mut(id) else { return UNKNOWN.to_owned() };
            if query.deleted || (now < query.done && now - query.asked > UNASKED) {
                queries.remove(id);
                return UNKNOWN.to_owned();
            }
            query.asked = now;
            if now >= query.done {
                let first_word = query.text.split_whitespace().next().unwrap_or_default();
                let body = format!("{}\t{first_word}\t{id}\n", self.name);
                return format!(
                    "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nX-Meter: queue:0\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
            }
            let left = (began + NEWS_DELAY).saturating_duration_since(now).min(query.done - now);
            if left.is_zero() {
                return "HTTP/1.1 202 Accepted\r\nX-Remark: progress\r\nFigure: 0.5\r\nContent-Length: 0\r\n\r\n"
                    .to_owned();
            }
            queries = self.changed.wait_timeout(queries, left).unwrap().0;
        }
    }

    fn delete(&self, id: &str) -> String {
        let mut queries = self.queries.lock().unwrap();
        let Some(query) = queries.get_mut(id) else {
            self.record.note(&self.name, &format!("DELETE of {id}, which is not known here"));
            return UNKNOWN.to_owned();
        };
        query.deleted = true;
        self.record.note(&self.name, &format!("DELETE of {id}"));
        self.changed.notify_all();
        NO_CONTENT.to_owned()
    }
}
