//! The endpoint list of a control machine: indexed events and their encoding as server-sent events.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::fleet;

/// Number of events that a control machine retains for gateways that reconnect. A request for older events is
/// answered with a snapshot.
pub const RETAINED_EVENTS: usize = 1024;
/// HTTP response head at the start of a stream.
pub const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// Server-sent-events comment that serves as the heartbeat of a stream.
pub const COMMENT: &[u8] = b": here\n\n";
/// Heartbeat interval of a stream, in microseconds.
pub const COMMENT_PERIOD_US: u64 = 1_000_000;

/// State of a database in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseState {
    /// Accepts requests.
    Ready,
    /// Draining: accepts no new requests.
    Terminating,
    /// Failed or stopped: reported as `Gone` in the event of its removal and absent from snapshots.
    Removed,
}

impl DatabaseState {
    fn text(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Terminating => "Terminating",
            Self::Removed => "Gone",
        }
    }
}

/// Entry of a database in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Database {
    /// Number of the database, from which its name, zone, group and address derive.
    pub number: usize,
    /// State that the list reports.
    pub state: DatabaseState,
    /// Unix time of the last start in milliseconds, or 0 if unknown.
    pub since_ms: u64,
}

impl Database {
    fn write(&self, out: &mut String) {
        let (name, address, zone) = (self.number, address(self.number), fleet::zone(self.number));
        let (state, since) = (self.state.text(), self.since_ms);
        // Writing to a string never fails.
        let _ = write!(
            out,
            "{{\"name\":\"s-{name:08x}\",\"address\":\"{address}\",\"zone\":\"zone-{zone}\",\"type\":\"std\",\
             \"group\":{},\"status\":\"{state}\",\"weight\":4,\"since_ms\":{since}}}",
            name % 8
        );
    }
}

/// Address of a database in the list. No process listens there, as a run has no client traffic.
fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), 10_080).into()
}

/// The list with its most recent events.
#[derive(Clone, Debug)]
pub struct DatabaseList {
    databases: Vec<Database>,
    last_index: u64,
    /// Index and encoded text of the most recent events, oldest first.
    retained: VecDeque<(u64, Arc<[u8]>)>,
}

impl DatabaseList {
    /// Creates a list of ready databases as event 1.
    pub fn new(databases: usize) -> Self {
        let ready = |number| Database { number, state: DatabaseState::Ready, since_ms: 0 };
        Self { databases: (0..databases).map(ready).collect(), last_index: 1, retained: VecDeque::new() }
    }

    /// Index of the last event.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Applies changes as one event and returns its index.
    pub fn change(&mut self, changed: &[Database]) -> u64 {
        for database in changed {
            if let Some(entry) = self.databases.get_mut(database.number) {
                *entry = database.clone();
            }
        }
        self.last_index += 1;
        self.retained.push_back((self.last_index, event(self.last_index, false, changed.iter())));
        if self.retained.len() > RETAINED_EVENTS {
            self.retained.pop_front();
        }
        self.last_index
    }

    /// Returns index and text of each event that a stream sends after event `after`. They are the events after it, or a
    /// snapshot if `after` is 0 or some of them are no longer retained.
    pub fn events_after(&self, after: u64) -> Vec<(u64, Arc<[u8]>)> {
        let oldest = self.retained.front().map_or(self.last_index + 1, |(index, _)| *index);
        if after == 0 || after + 1 < oldest && after < self.last_index {
            return vec![(self.last_index, self.snapshot())];
        }
        self.retained.iter().filter(|(index, _)| *index > after).cloned().collect()
    }

    fn snapshot(&self) -> Arc<[u8]> {
        let present = self.databases.iter().filter(|database| database.state != DatabaseState::Removed);
        event(self.last_index, true, present)
    }
}

fn event<'a>(index: u64, snapshot: bool, databases: impl Iterator<Item = &'a Database>) -> Arc<[u8]> {
    let mut text = format!(
        "id: {index}\ndata: {{\"index\":{index},\"endpoints\":{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":["
    );
    for (position, database) in databases.enumerate() {
        if position > 0 {
            text.push(',');
        }
        database.write(&mut text);
    }
    text.push_str("]}}\n\n");
    text.into_bytes().into()
}

/// Parses `Last-Event-ID` from the head of a gateway's request. Returns `None` if the head is incomplete or malformed,
/// or the header is missing or invalid.
pub fn last_event_id(head: &[u8]) -> Option<u64> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(head).ok()?.is_complete().then_some(())?;
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case("last-event-id"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}
