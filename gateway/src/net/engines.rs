//! Engines' side of the network: the pool of connections and the attempts over them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use notchridge::interface::*;

use super::conn::{Conn, Phase, ReadEnd};
use super::{Alarm, FIRST_CONN, Role, Server};
use crate::config::{ListEvent, Listed, Names};
use crate::core::Input;
use crate::engine::http;

/// An engine drops a query that nobody asked for in 2 s, and an ask may hang for 250 ms; a little more.
const UNASKED_US: u64 = 2_350_000;

/// Which attempt.
pub type AttemptId = (RequestId, u32);

/// An engine and its idle connections. It goes by its name: addresses are reused.
pub struct Engine {
    address: SocketAddr,
    state: EngineState,
    since_ms: u64,
    idle: Vec<usize>,
}

/// What a connection to an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    Idle {
        since_us: u64,
    },
    /// The calls of an attempt.
    Attempt(AttemptId),
    /// The call that gives an attempt up.
    Delete(AttemptId),
    /// An answer that no longer matters.
    Stray,
}

/// A connection to an engine.
pub struct Link {
    engine: EngineId,
    job: Job,
}

/// An attempt that is out.
pub struct Attempt {
    engine: EngineId,
    /// The connection that its calls go over.
    link: usize,
    exchange: http::Exchange,
    ticket: String,
    /// The call that starts it, until it is written.
    start: Option<Vec<u8>>,
    last_ask_us: u64,
    /// It was given up and the engine is being told.
    pub stopping: bool,
}

impl Server {
    /// Takes in an event of the list.
    pub(super) fn listed(&mut self, event: &ListEvent) {
        self.counters.list_events += 1;
        let mut entries = Vec::with_capacity(event.entries.len());
        let mut stale = Vec::new();
        if event.full {
            let named: Vec<EngineId> =
                event.entries.iter().filter_map(|l| self.engine_ids.get(&l.name).copied()).collect();
            for (id, e) in &mut self.engines {
                if !named.contains(id) {
                    e.state = EngineState::Gone;
                    stale.append(&mut e.idle);
                }
            }
        }
        for l in &event.entries {
            let next = EngineId(self.engine_ids.len() as u32);
            let id = *self.engine_ids.entry(l.name.clone()).or_insert(next);
            let e = self.engines.entry(id).or_insert_with(|| Engine {
                address: l.address,
                state: l.state,
                since_ms: l.since_ms,
                idle: Vec::new(),
            });
            // Connections to a process that has gone, moved or started anew lead nowhere.
            if l.state == EngineState::Gone || l.since_ms != e.since_ms || l.address != e.address {
                stale.append(&mut e.idle);
            }
            if l.state != EngineState::Gone {
                e.address = l.address;
            }
            (e.state, e.since_ms) = (l.state, l.since_ms);
            entries.push(self.entry(id, l));
        }
        for at in stale {
            self.close(at);
        }
        let mode = if event.full { ListMode::Full } else { ListMode::Delta };
        self.inputs.push(Input::List(mode, entries));
    }

    fn entry(&mut self, engine: EngineId, l: &Listed) -> EngineEntry {
        // Unix milliseconds to the core's clock, which started at a known Unix time.
        let started = i128::from(l.since_ms) * 1000 - self.unix_offset_us;
        EngineEntry {
            engine,
            zone: ZoneId(Names::number(&mut self.names.zones, &l.zone)),
            kind: KindId(Names::number(&mut self.names.kinds, &l.kind)),
            cell: l.cell,
            state: l.state,
            started: (l.since_ms > 0).then_some(started as f64 / 1e6),
        }
    }

    pub(super) fn start(
        &mut self,
        id: AttemptId,
        engine: EngineId,
        memory_mb: f64,
        priority: u8,
        until_us: u64,
    ) {
        let Some(request) = self.requests.get(&id.0) else {
            self.inputs.push(Input::Ended(id.0, id.1, Outcome::Void, None));
            return;
        };
        self.counters.sent += 1;
        let mut start = Vec::with_capacity(256 + request.statement.len());
        let call = http::Start {
            ticket: &request.ticket,
            class: &self.names.classes[request.class.0],
            statement: &request.statement,
            max_ms: (until_us.saturating_sub(self.now_us) / 1000).max(1),
            grant_mb: memory_mb,
            rank: priority,
        };
        http::post(&call, &mut start);
        let ticket = request.ticket.clone();
        let exchange = http::Exchange::new(&ticket);
        let outcome = match self.link(engine, Job::Attempt(id)) {
            Ok(link) => {
                let attempt = Attempt {
                    engine,
                    link,
                    exchange,
                    ticket,
                    start: Some(start),
                    last_ask_us: self.now_us,
                    stopping: false,
                };
                self.attempts.insert(id, attempt);
                self.post_if_up(link);
                return;
            }
            Err(outcome) => outcome,
        };
        self.counters.ended(outcome);
        self.inputs.push(Input::Ended(id.0, id.1, outcome, None));
    }

    /// Finds a connection to an engine for a job: an idle one, or one that is being opened.
    fn link(&mut self, engine: EngineId, job: Job) -> Result<usize, Outcome> {
        let most = self.most_engine_conns();
        let Some(e) = self.engines.get_mut(&engine) else { return Err(Outcome::Void) };
        if matches!(job, Job::Attempt(_)) && e.state != EngineState::Ready {
            return Err(Outcome::Void);
        }
        let address = e.address;
        if let Some(at) = e.idle.pop() {
            if let Some(super::Peer { role: Role::Engine(link), .. }) = self.peer(at) {
                link.job = job;
            }
            return Ok(at);
        }
        if self.engine_conns >= most && !self.close_an_idle_link() {
            return Err(Outcome::Void);
        }
        let at = self.place();
        match Conn::connect(&self.poll, address, at + FIRST_CONN, 128 * 1024) {
            Ok(conn) => {
                let serial = self.put(at, conn, Role::Engine(Link { engine, job }));
                self.engine_conns += 1;
                self.counters.engine_connects += 1;
                let by = self.now_us + self.config.connect_us;
                self.alarms.push(Reverse((by, Alarm::ConnectBy(at, serial))));
                Ok(at)
            }
            Err(e) => {
                tracing::debug!("connect to {address}: {e}");
                self.free.push(at);
                Err(Outcome::Unreachable)
            }
        }
    }

    /// Makes room within the descriptor budget.
    fn close_an_idle_link(&mut self) -> bool {
        let fullest = self.engines.values_mut().max_by_key(|e| e.idle.len());
        let Some(at) = fullest.filter(|e| !e.idle.is_empty()).map(|e| e.idle.remove(0)) else { return false };
        self.close(at);
        true
    }

    /// Closes connections that were idle for so long that the engine may close them any moment: a start
    /// written to one that is being closed could not be told from one that ran.
    pub(super) fn sweep(&mut self) {
        let oldest = self.now_us.saturating_sub(self.config.keepalive_us * 6 / 10);
        let mut old = Vec::new();
        let peers = &self.peers;
        for e in self.engines.values_mut() {
            e.idle.retain(|at| {
                let idle_since = match peers[*at].as_ref().map(|p| &p.role) {
                    Some(Role::Engine(Link { job: Job::Idle { since_us }, .. })) => *since_us,
                    _ => 0,
                };
                let keep = idle_since > oldest || oldest == 0;
                if !keep {
                    old.push(*at);
                }
                keep
            });
        }
        for at in old {
            self.close(at);
        }
    }

    pub(super) fn connected(&mut self, at: usize) {
        match self.peer(at).map(|p| &p.role) {
            Some(Role::Engine(_)) => self.post_if_up(at),
            _ => self.dirty.push(at),
        }
    }

    /// Writes the start of an attempt once its connection is up, unless the engine drains or has gone since.
    fn post_if_up(&mut self, at: usize) {
        self.dirty.push(at);
        let now_us = self.now_us;
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Engine(link) = &mut peer.role else { return };
        if peer.conn.phase != Phase::Open {
            return;
        }
        match link.job {
            Job::Attempt(id) => {
                let Some(attempt) = self.attempts.get_mut(&id) else { return };
                if self.engines.get(&link.engine).is_none_or(|e| e.state != EngineState::Ready) {
                    self.release(at);
                    return self.end_attempt(id, Outcome::Void, None);
                }
                if let Some(start) = attempt.start.take() {
                    peer.conn.output.extend(start);
                    attempt.last_ask_us = now_us;
                }
            }
            Job::Delete(id) => {
                if let Some(attempt) = self.attempts.get(&id) {
                    http::delete(&attempt.ticket, &mut peer.conn.output);
                } else {
                    self.release(at);
                }
            }
            Job::Idle { .. } | Job::Stray => {}
        }
    }

    /// Puts a connection back to the idle ones of its engine.
    fn release(&mut self, at: usize) {
        let now_us = self.now_us;
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Engine(link) = &mut peer.role else { return };
        link.job = Job::Idle { since_us: now_us };
        let clean =
            peer.conn.phase == Phase::Open && peer.conn.input.is_empty() && peer.conn.output.is_empty();
        match self.engines.get_mut(&link.engine) {
            Some(e) if clean && e.state != EngineState::Gone => e.idle.push(at),
            _ => {
                self.close(at);
            }
        }
    }

    pub(super) fn engine_read(&mut self, at: usize, end: ReadEnd) {
        loop {
            let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
            if peer.conn.input.is_empty() {
                break;
            }
            match http::read(&mut peer.conn.input, &self.names.report_extras) {
                Ok(None) => break,
                Ok(Some(response)) => self.response(at, response),
                Err(e) => {
                    tracing::warn!("{e}");
                    return self.engine_lost(at);
                }
            }
        }
        if end != ReadEnd::Later {
            self.engine_lost(at);
        }
    }

    fn response(&mut self, at: usize, mut response: http::Response) {
        let now_us = self.now_us;
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Engine(link) = &mut peer.role else { return };
        match link.job {
            // Nothing was asked here.
            Job::Idle { .. } => return self.engine_lost(at),
            Job::Stray => self.release_or_close(at, response.close),
            Job::Delete(id) => {
                self.release_or_close(at, response.close);
                // The call has come whole: the attempt is over.
                self.end_attempt(id, Outcome::Withdrawn, None);
            }
            Job::Attempt(id) => {
                let Some(attempt) = self.attempts.get_mut(&id) else {
                    return self.release_or_close(at, response.close);
                };
                let report = response.report;
                if attempt.stopping && response.status == 202 {
                    link.job = Job::Stray;
                    return self.release_or_close(at, response.close);
                }
                match attempt.exchange.on_response(&mut response, &mut peer.conn.output) {
                    http::Step::Asked => {
                        attempt.last_ask_us = now_us;
                        if let Some(note) = response.note {
                            self.inputs.push(Input::Noted(id.0, id.1, note));
                        }
                        self.dirty.push(at);
                    }
                    http::Step::Ended(outcome) => {
                        self.release_or_close(at, response.close);
                        self.end_attempt(id, outcome, report);
                    }
                }
            }
        }
    }

    fn release_or_close(&mut self, at: usize, close: bool) {
        if close {
            self.close(at);
        } else {
            self.release(at);
        }
    }

    /// The attempt is over; the core is told how.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, report: Option<Report>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if let Some(peer) = self.peers.get_mut(attempt.link).and_then(Option::as_mut) {
            if let Role::Engine(link) = &mut peer.role {
                if link.job == Job::Attempt(id) {
                    link.job = Job::Stray;
                }
            }
        }
        let mut outcome = outcome;
        if outcome == Outcome::Success {
            match attempt.exchange.rows() {
                Some(rows) => {
                    self.results.insert(id, rows);
                }
                None => outcome = Outcome::Failure,
            }
        }
        self.counters.ended(outcome);
        self.inputs.push(Input::Ended(id.0, id.1, outcome, report));
    }

    /// A connection to an engine broke, or did not come up in time.
    pub(super) fn engine_lost(&mut self, at: usize) {
        let Some(peer) = self.peer(at) else { return };
        let connecting = peer.conn.phase == Phase::Connecting;
        let Some(Role::Engine(link)) = self.close(at) else { return };
        match link.job {
            Job::Idle { .. } => {
                if let Some(e) = self.engines.get_mut(&link.engine) {
                    e.idle.retain(|i| *i != at);
                }
            }
            Job::Attempt(id) => {
                let unsent = self.attempts.get(&id).is_some_and(|a| a.start.is_some());
                let stopping = self.attempts.get(&id).is_some_and(|a| a.stopping);
                if unsent {
                    self.end_attempt(id, Outcome::Unreachable, None);
                } else if !stopping {
                    debug_assert!(!connecting);
                    self.end_attempt(id, Outcome::Broken, None);
                }
            }
            // Whether the engine heard it is not known; the attempt lapses by itself.
            Job::Delete(_) | Job::Stray => {}
        }
    }

    /// Gives an attempt up: at once if it was never sent, else when the engine has been told.
    pub(super) fn stop(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        self.counters.stopped += 1;
        let (engine, link) = (attempt.engine, attempt.link);
        if attempt.start.is_some() {
            self.close(link);
            return self.end_attempt(id, Outcome::Void, None);
        }
        attempt.stopping = true;
        let lapse = attempt.last_ask_us + UNASKED_US;
        self.alarms.push(Reverse((lapse.max(self.now_us), Alarm::Lapse(id.0, id.1))));
        if let Ok(at) = self.link(engine, Job::Delete(id)) {
            self.post_if_up(at);
        }
    }

    /// Tells an engine of a new priority.
    pub(super) fn rank(&mut self, id: AttemptId, priority: u8) {
        let Some(attempt) = self.attempts.get(&id).filter(|a| a.start.is_none() && !a.stopping) else {
            return;
        };
        let (engine, ticket) = (attempt.engine, attempt.ticket.clone());
        // Only over an idle connection: a new one for each would cost more than the change is worth.
        let idle = self.engines.get_mut(&engine).and_then(|e| e.idle.pop());
        let Some(at) = idle else { return };
        if let Some(peer) = self.peer(at) {
            if let Role::Engine(link) = &mut peer.role {
                link.job = Job::Stray;
            }
            http::put(&ticket, priority, &mut peer.conn.output);
        }
        self.dirty.push(at);
    }
}
