//! The coordinator: it answers `GET /v2/stream` with the events behind `Last-Event-ID`, then with later ones as they
//! come, and with a comment each second.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::Request;
use super::record::Record;

#[derive(Default)]
struct State {
    /// Event N is at N - 1.
    events: Vec<String>,
    /// Delay before the answer to a request begins.
    answer_after: Duration,
    /// The next stream breaks off in the middle of the event behind this one, and all streams then stall.
    break_behind: Option<(usize, Duration)>,
    /// Nothing is written before this time.
    stalled_until: Option<Instant>,
    /// The address takes no new connections and tells nothing more.
    retired: bool,
    /// Time at which a stream broke off, in seconds since the start of the case.
    broke_at: Option<f64>,
}

struct Shared {
    name: String,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

/// A running coordinator. It ends with the program.
pub struct Coordinator {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Text of an event of the list.
pub fn event(index: usize, snapshot: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(
        r#"{{"index":{index},"endpoints":{{"index":{index},"snapshot":{snapshot},"endpoints":[{entries}]}}}}"#
    )
}

impl Coordinator {
    pub fn start(name: &str, record: &Record, events: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = Mutex::new(State { events, ..State::default() });
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            record: record.clone(),
            state,
            changed: Condvar::new(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.state.lock().unwrap().retired {
                    continue;
                }
                let shared = serving.clone();
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Self { address, shared }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.state.lock().unwrap());
        self.shared.changed.notify_all();
    }

    /// Adds the next event. From now on it counts as told. Returns the present time.
    pub fn tell(&self, entries: &[String]) -> f64 {
        let at = self.shared.record.now();
        self.change(|state| {
            let index = state.events.len() + 1;
            let text = event(index, false, entries);
            self.shared.record.note_at(at, &self.shared.name, &format!("told: {text}"));
            state.events.push(text);
        });
        at
    }

    /// Answers requests only after this time. Streams that are open are not affected.
    pub fn answer_after(&self, delay: Duration) {
        self.change(|state| state.answer_after = delay);
    }

    /// Breaks off the next stream in the middle of the event behind `index`, and then writes nothing for `stall`.
    pub fn break_behind(&self, index: usize, stall: Duration) {
        self.change(|state| state.break_behind = Some((index, stall)));
    }

    /// Time at which a stream broke off.
    pub fn broke_at(&self) -> Option<f64> {
        self.shared.state.lock().unwrap().broke_at
    }

    /// Takes no new connection and tells nothing more. Open connections are closed 1.5 s later.
    pub fn retire(&self) {
        self.change(|state| state.retired = true);
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let Some(request) = Request::read(&mut BufReader::new(stream), || {}) else { return };
    let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    shared.record.note(&shared.name, &format!("asked for the events behind {last}"));
    if shared.follow(last, &mut writer).is_err() {
        shared.record.note(&shared.name, &format!("the stream behind {last} was closed by its reader"));
    }
}

impl Shared {
    /// Writes the stream until it ends.
    fn follow(&self, mut last: usize, writer: &mut TcpStream) -> std::io::Result<()> {
        let asked = Instant::now();
        let mut began = false;
        let mut next_comment = asked + Duration::from_secs(1);
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            if state.retired {
                drop(state);
                thread::sleep(Duration::from_millis(1500));
                return Ok(());
            }
            let ready_at = (asked + state.answer_after).max(state.stalled_until.unwrap_or(asked));
            if now >= ready_at {
                let mut text = String::new();
                if !std::mem::replace(&mut began, true) {
                    text.push_str("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
                    self.record.note(&self.name, &format!("answers the request behind {last}"));
                }
                let breaks = state.break_behind.filter(|(index, _)| last < *index);
                let upto = breaks.map_or(state.events.len(), |(index, _)| index);
                for index in last + 1..=upto {
                    text.push_str(&format!("id: {index}\ndata: {}\n\n", state.events[index - 1]));
                }
                last = last.max(upto);
                if let Some((index, stall)) = breaks {
                    let half = &state.events[index][..state.events[index].len() / 2];
                    text.push_str(&format!("id: {}\ndata: {half}", index + 1));
                    writer.write_all(text.as_bytes())?;
                    state.break_behind = None;
                    state.stalled_until = Some(now + stall);
                    state.broke_at = Some(self.record.now());
                    let text = format!("breaks off in event {}, and stalls for {stall:?}", index + 1);
                    self.record.note(&self.name, &text);
                    return Ok(());
                }
                if now >= next_comment {
                    text.push_str(": here\n\n");
                    next_comment = now + Duration::from_secs(1);
                }
                writer.write_all(text.as_bytes())?;
            }
            let wait = next_comment.min(ready_at.max(now)).saturating_duration_since(now);
            let wait = wait.clamp(Duration::from_millis(5), Duration::from_millis(100));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}
