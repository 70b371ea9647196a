//! The list of databases as control machines hold it: numbered events, and the text in which they are streamed.

use std::collections::VecDeque;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::fleet;

/// Events that a control machine keeps for gateways that reconnect; one that requests older ones gets the whole list.
pub const KEPT_EVENTS: usize = 1024;
/// The head of the answer that a stream begins with.
pub const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
/// A comment, which shows that the stream lives.
pub const COMMENT: &[u8] = b": here\n\n";
/// Time between two comments, in microseconds.
pub const COMMENT_PERIOD_US: u64 = 1_000_000;

/// The state of a database in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseState {
    /// It may be sent to.
    Ready,
    /// It drains.
    Terminating,
    /// It has gone.
    Gone,
}

impl DatabaseState {
    fn text(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Terminating => "Terminating",
            Self::Gone => "Gone",
        }
    }
}

/// A database in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Database {
    /// Its number, which gives its name, zone and address.
    pub number: usize,
    /// Its state.
    pub state: DatabaseState,
    /// Unix milliseconds of its last start, or 0.
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

/// Where a database is said to listen. Nothing is there in a run without client traffic.
fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(127, 1, high, low), 10_080).into()
}

/// The list, and its last events.
#[derive(Clone, Debug)]
pub struct DatabaseList {
    databases: Vec<Database>,
    last: u64,
    kept: VecDeque<(u64, Arc<[u8]>)>,
}

impl DatabaseList {
    /// So many databases, all ready, as event 1.
    pub fn new(databases: usize) -> Self {
        let ready = |number| Database { number, state: DatabaseState::Ready, since_ms: 0 };
        Self { databases: (0..databases).map(ready).collect(), last: 1, kept: VecDeque::new() }
    }

    /// The number of the last event.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Changes databases in one event; its number.
    pub fn change(&mut self, changed: &[Database]) -> u64 {
        for database in changed {
            if let Some(entry) = self.databases.get_mut(database.number) {
                *entry = database.clone();
            }
        }
        self.last += 1;
        self.kept.push_back((self.last, event(self.last, false, changed.iter())));
        if self.kept.len() > KEPT_EVENTS {
            self.kept.pop_front();
        }
        self.last
    }

    /// The events behind event `after` as a stream gets them: number and text of each.
    pub fn events(&self, after: u64) -> Vec<(u64, Arc<[u8]>)> {
        let oldest = self.kept.front().map_or(self.last + 1, |(number, _)| *number);
        if after == 0 || after + 1 < oldest && after < self.last {
            return vec![(self.last, self.whole())];
        }
        self.kept.iter().filter(|(number, _)| *number > after).cloned().collect()
    }

    fn whole(&self) -> Arc<[u8]> {
        let there = self.databases.iter().filter(|database| database.state != DatabaseState::Gone);
        event(self.last, true, there)
    }
}

fn event<'a>(number: u64, whole: bool, databases: impl Iterator<Item = &'a Database>) -> Arc<[u8]> {
    let mut text = format!(
        "id: {number}\ndata: {{\"index\":{number},\"endpoints\":{{\"index\":{number},\"snapshot\":{whole},\"endpoints\":["
    );
    for (place, database) in databases.enumerate() {
        if place > 0 {
            text.push(',');
        }
        database.write(&mut text);
    }
    text.push_str("]}}\n\n");
    text.into_bytes().into()
}

/// The number of the last event that a gateway has, from the head of its call.
pub fn last_event_id(call: &[u8]) -> Option<u64> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(call).ok()?.is_complete().then_some(())?;
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case("last-event-id"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}
