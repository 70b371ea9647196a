//! Engines' side of the network: the pool of connections and the attempts over them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use notchridge::interface::*;
use wrenhatch_sessions::ledger::Kind;
use wrenhatch_sessions::wheel::TimerId;

use super::conn::{Phase, ReadEnd};
use super::poll::Interest;
use super::pools::{Peer, Pools};
use super::{Request, Server, Timer};
use crate::config::{ListEvent, Listed, Names};
use crate::core::Input;
use crate::engine::{http, mysql};
use crate::front::{Payload, Run};
use crate::mysql::{Param, ResultSet, SqlError};

/// How long the end of an attempt that was given up is waited for. Engines stand still for 370 ms at times;
/// one that has said nothing for longer may have vanished, and what it still runs can't be known.
const UNHEARD_US: u64 = 500_000;

/// A MySQL engine's error: it knows no such connection.
const NO_SUCH_THREAD: u16 = 1094;

/// A call is answered within 250 ms, by engines that stand still for 370 ms at times. One without an answer for
/// this long gets none: it is asked again over another connection, where the query may be well.
const ANSWER_US: u64 = 500_000;

/// How often a call is made again whose answer was spoilt or did not come.
const MOST_RETRIES: u32 = 4;

/// How long a connection rests behind an answer before the next call is written: a second one may come some
/// milliseconds late, and would be taken for that call's. It waits rather than that another is opened, as many of
/// those come up late.
const REST_US: u64 = 25_000;

/// How long an answer that no longer matters is waited for, to keep its connection: asks hang for 250 ms.
const STRAY_US: u64 = 1_000_000;

/// Which attempt.
pub type AttemptId = (RequestId, u32);

/// How a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Refused: no process is there.
    Refused,
    /// It did not come up in time: no machine may be there.
    Late,
    /// It broke, or what came over it can't be used.
    Broken,
}

/// Which protocol a connection to an engine speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tongue {
    Http,
    MySql,
}

/// An engine and its idle connections. It goes by its name: addresses are reused.
pub struct Engine {
    address: SocketAddr,
    mysql: Option<SocketAddr>,
    state: EngineState,
    since_ms: u64,
    idle: [Vec<usize>; 2],
}

impl Engine {
    fn all_idle(&mut self) -> impl Iterator<Item = usize> + '_ {
        self.idle.iter_mut().flat_map(std::mem::take)
    }
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
    Stray {
        since_us: u64,
    },
}

enum Wire {
    Http,
    MySql(Box<mysql::Session>),
}

/// A connection to an engine.
pub struct Link {
    pub engine: EngineId,
    job: Job,
    wire: Wire,
    /// When the call was written whose answer is awaited.
    asked_us: u64,
    /// The first call of its job is not written before this.
    rests_until_us: u64,
    /// An answer came sooner than the engine gives such: it may have been a second one to the call before, and then
    /// one is still to come when the last seems to be here.
    doubtful: bool,
}

impl Link {
    /// Whether it does not take work yet.
    pub fn is_coming_up(&self, phase: Phase) -> bool {
        let logging_in = matches!(&self.wire, Wire::MySql(s) if s.is_logging_in());
        phase == Phase::Connecting || logging_in
    }

    /// Whether its job has begun and its first call is still held back.
    fn is_resting(&self) -> bool {
        self.rests_until_us > self.asked_us
    }

    fn tongue(&self) -> Tongue {
        match self.wire {
            Wire::Http => Tongue::Http,
            Wire::MySql(_) => Tongue::MySql,
        }
    }
}

/// What an attempt does over its connection.
enum Course {
    Http { exchange: http::Exchange, start: Option<Vec<u8>> },
    MySql { work: Option<mysql::Work> },
}

/// An attempt that is out.
pub struct Attempt {
    engine: EngineId,
    /// The connection that its calls go over.
    link: usize,
    course: Course,
    ticket: String,
    /// Its first byte must leave before this.
    begin_by_us: u64,
    /// It is not waited for beyond this, and its engine was told so.
    until_us: u64,
    /// Its MySQL connection's number at the engine, noted when it is given up: by the time the engine is told,
    /// that connection's place may be another's.
    thread: u32,
    /// It was given up and the engine is being told.
    pub stopping: bool,
    /// Bytes of its result that are booked.
    booked: usize,
    /// Rings when the engine should have been heard of its end.
    unheard: Option<TimerId>,
    /// How often in a row the present call had no good answer and was made again over another connection.
    retries: u32,
    /// When the engine was last asked for it: its start, or a call for news or a page.
    asked_us: u64,
}

impl Attempt {
    /// Until when an engine that says nothing more may run it, in microseconds. Over MySQL nothing but the
    /// wait that the statement was sent with bounds it.
    fn runs_until_us(&self, now_us: u64) -> u64 {
        match self.course {
            Course::Http { .. } => now_us.max(self.asked_us + http::ABANDONED_US),
            Course::MySql { .. } => now_us.max(self.until_us),
        }
    }
}

impl Server {
    /// Takes in an event of the list.
    pub(super) fn listed(&mut self, event: &ListEvent) {
        self.counters.list_events += 1;
        // One line however many there are: a list of thousands may be wrong throughout.
        if let Some(first) = event.unread.first() {
            let (engine, unread) = (first.name.as_deref().unwrap_or("unnamed"), event.unread.len());
            tracing::warn!(
                event = event.index,
                engine,
                unread,
                "an entry of the list can't be read: {}",
                first.why
            );
        }
        let event = self.roster.apply(event);
        self.take_list(&event);
    }

    /// Takes in news of engines as they count here: who is out by hand drains.
    pub(super) fn take_list(&mut self, event: &ListEvent) {
        let mut entries = Vec::with_capacity(event.entries.len());
        let mut stale = Vec::new();
        if event.full {
            let named: BTreeSet<EngineId> =
                event.entries.iter().filter_map(|l| self.pools.ids.get(&l.name).copied()).collect();
            for (id, e) in &mut self.pools.engines {
                if !named.contains(id) {
                    e.state = EngineState::Gone;
                    stale.extend(e.all_idle());
                }
            }
        }
        for l in &event.entries {
            let id = *self.pools.ids.entry(l.name.clone()).or_insert_with(|| {
                self.pools.met += 1;
                EngineId(self.pools.met - 1)
            });
            let mysql = self.config.mysql.as_ref().and_then(|m| m.engines.get(&l.name).copied());
            let e = self.pools.engines.entry(id).or_insert_with(|| Engine {
                address: l.address,
                mysql,
                state: l.state,
                since_ms: l.since_ms,
                idle: Default::default(),
            });
            // Connections to a process that has gone, moved or started anew lead nowhere.
            if l.state == EngineState::Gone || l.since_ms != e.since_ms || l.address != e.address {
                stale.extend(e.all_idle());
            }
            if l.state != EngineState::Gone {
                e.address = l.address;
            }
            (e.state, e.since_ms) = (l.state, l.since_ms);
            let now_us = self.time.now_us;
            tracing::debug!(engine = id.0, name = l.name, state = ?l.state, since_ms = l.since_ms, now_us, "engine listed");
            entries.push(self.entry(id, l));
        }
        for at in stale {
            self.pools.close(&self.poll, &mut self.timers, at);
        }
        let mode = if event.full { ListMode::Full } else { ListMode::Delta };
        self.inputs.push(Input::List(mode, entries));
        self.prune_engines();
    }

    /// Forgets engines that have gone once nothing refers to them: new names come for as long as this runs.
    fn prune_engines(&mut self) {
        let mut used: BTreeSet<EngineId> = self.pools.peers.iter().flatten().map(|p| p.link.engine).collect();
        used.extend(self.pools.attempts.values().map(|a| a.engine));
        self.pools.engines.retain(|id, e| e.state != EngineState::Gone || used.contains(id));
        let engines = &self.pools.engines;
        self.pools.ids.retain(|_, id| engines.contains_key(id));
    }

    fn entry(&mut self, engine: EngineId, l: &Listed) -> EngineEntry {
        // Unix milliseconds to the core's clock, which started at a known Unix time.
        let started = i128::from(l.since_ms) * 1000 - self.time.unix_offset_us;
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
        (until_us, begin_by_us): (u64, u64),
    ) {
        let Some(request) = self.requests.open.get(&id.0) else { return self.never_sent(id, Outcome::Void) };
        let max_ms = (until_us.saturating_sub(self.time.now_us) / 1000).max(1);
        let class = self.names.classes[request.class.0].as_str();
        let (course, tongue) = match &request.run {
            Run::Simple => {
                let mut start = Vec::with_capacity(256 + request.statement.len());
                let call = http::Start {
                    ticket: &request.ticket,
                    class,
                    statement: &request.statement,
                    max_ms,
                    grant_mb: memory_mb,
                    rank: priority,
                    token: request.token.as_deref(),
                };
                http::post(&call, &mut start);
                let exchange = http::Exchange::new(&request.ticket);
                (Course::Http { exchange, start: Some(start) }, Tongue::Http)
            }
            _ => (Course::MySql { work: Some(work(request, class, max_ms)) }, Tongue::MySql),
        };
        let ticket = request.ticket.clone();
        let prepared = matches!(request.run, Run::Execute(_)).then(|| request.statement.clone());
        match self.link(engine, Job::Attempt(id), tongue, prepared.as_deref()) {
            Ok(link) => {
                let attempt = Attempt {
                    engine,
                    link,
                    course,
                    ticket,
                    begin_by_us,
                    until_us,
                    thread: 0,
                    stopping: false,
                    booked: 0,
                    unheard: None,
                    retries: 0,
                    asked_us: self.time.now_us,
                };
                self.requests.take_ticket(&attempt.ticket);
                self.pools.attempts.insert(id, attempt);
                self.post_if_up(link);
            }
            Err(outcome) => self.never_sent(id, outcome),
        }
    }

    fn never_sent(&mut self, id: AttemptId, outcome: Outcome) {
        self.counters.ended(outcome);
        self.inputs.push(Input::Ended(id.0, id.1, outcome, None));
    }

    /// Finds a connection to an engine for a job: an idle one, best with the statement prepared, or one that
    /// is being opened.
    fn link(
        &mut self,
        engine: EngineId,
        job: Job,
        tongue: Tongue,
        prepared: Option<&[u8]>,
    ) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get_mut(&engine) else { return Err(Outcome::Void) };
        if matches!(job, Job::Attempt(_)) && e.state != EngineState::Ready {
            return Err(Outcome::Void);
        }
        let idle = &mut e.idle[tongue as usize];
        let peers = &self.pools.peers;
        let has = |at: &usize| {
            let wire = peers[*at].as_ref().map(|p| &p.link);
            let Some(Link { wire: Wire::MySql(s), .. }) = wire else { return false };
            prepared.is_some_and(|sql| s.has_prepared(sql))
        };
        // A second answer to the call before may be on its way, and would be taken for that to the next one.
        let now_us = self.time.now_us;
        let rested = |at: &usize| {
            let job = peers[*at].as_ref().map(|p| p.link.job);
            matches!(job, Some(Job::Idle { since_us }) if now_us >= since_us + REST_US)
        };
        let best =
            idle.iter().rposition(|at| rested(at) && has(at)).or_else(|| idle.iter().rposition(rested));
        // The first in the list is the one that has rested for longest.
        let best = best.or_else(|| (!idle.is_empty()).then_some(0));
        match best.map(|i| idle.remove(i)) {
            Some(at) if self.is_quiet(at) => {
                if let Some(Peer { link, .. }) = self.pools.peer(at) {
                    if let Job::Idle { since_us } = link.job {
                        link.rests_until_us = since_us + REST_US;
                    }
                    link.job = job;
                }
                Ok(at)
            }
            Some(at) => {
                self.pools.close(&self.poll, &mut self.timers, at);
                self.link(engine, job, tongue, prepared)
            }
            None => self.connect(engine, job, tongue),
        }
    }

    /// Whether nothing has come over an idle connection. Bytes behind an answer would be taken for the next
    /// one, and over one that the engine has closed a start could not be told from one that ran.
    fn is_quiet(&mut self, at: usize) -> bool {
        let Some(peer) = self.pools.peer(at) else { return false };
        peer.conn.fill(usize::MAX) == ReadEnd::Later && peer.conn.input.is_empty()
    }

    /// Opens a connection to an engine, within the budget.
    fn connect(&mut self, engine: EngineId, job: Job, tongue: Tongue) -> Result<usize, Outcome> {
        let Some(e) = self.pools.engines.get(&engine) else { return Err(Outcome::Void) };
        let Some(address) = (if tongue == Tongue::Http { Some(e.address) } else { e.mysql }) else {
            return Err(Outcome::Void);
        };
        // What has gone may have left its address to another, which knows nothing of its queries.
        let taken_over = |o: &Engine| o.state != EngineState::Gone && o.address == e.address;
        if e.state == EngineState::Gone && self.pools.engines.values().any(taken_over) {
            return Err(Outcome::Void);
        }
        if self.pools.conns >= self.most_engine_conns() && !self.close_an_idle_link() {
            return Err(Outcome::Void);
        }
        let wire = match (tongue, &self.config.mysql) {
            (Tongue::MySql, Some(m)) => Wire::MySql(Box::new(mysql::Session::new(m.login.clone()))),
            _ => Wire::Http,
        };
        let (at, key) = self.pools.place();
        let ahead = if tongue == Tongue::Http { 2 * http::MAX_ANSWER } else { 512 * 1024 };
        match self.dial(address, key, ahead) {
            Ok(conn) => {
                let link = Link {
                    engine,
                    job,
                    wire,
                    asked_us: self.time.now_us,
                    rests_until_us: 0,
                    doubtful: false,
                };
                self.pools.put(at, conn, link);
                self.counters.engine_connects += 1;
                let give_up = matches!(job, Job::Delete(_));
                tracing::debug!(engine = engine.0, give_up, now_us = self.time.now_us, "connection opened");
                Ok(at)
            }
            Err(e) => {
                tracing::debug!("connect to {address}: {e}");
                self.pools.unplace(at);
                let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                Err(if refused { Outcome::Unreachable } else { Outcome::Void })
            }
        }
    }

    fn most_engine_conns(&self) -> usize {
        super::sessions::most_engine_conns(&self.config, self.family.is_alone())
    }

    /// Another process of this gateway has come: idle connections beyond this one's half are closed.
    pub(super) fn share_descriptors(&mut self) {
        while self.pools.conns > self.most_engine_conns() && self.close_an_idle_link() {}
    }

    /// Makes room within the descriptor budget.
    fn close_an_idle_link(&mut self) -> bool {
        let pools = self.pools.engines.values_mut().flat_map(|e| &mut e.idle);
        let fullest = pools.max_by_key(|idle| idle.len()).filter(|idle| !idle.is_empty());
        let Some(at) = fullest.map(|idle| idle.remove(0)) else { return false };
        self.pools.close(&self.poll, &mut self.timers, at);
        true
    }

    /// When something must have happened on a connection: it must be up, an answer must have come, one that no
    /// longer matters too; and one must not be idle for so long that the engine may close it any moment, as a
    /// start written to one that is being closed could not be told from one that ran.
    fn link_due_us(&self, peer: &Peer) -> Option<u64> {
        let link = &peer.link;
        if link.is_coming_up(peer.conn.phase) {
            return Some(link.asked_us + self.config.connect_us);
        }
        if link.is_resting() {
            return Some(link.rests_until_us);
        }
        match (link.job, &link.wire) {
            (Job::Idle { since_us }, _) => Some(since_us + self.config.keepalive_us * 6 / 10),
            (Job::Attempt(_), Wire::Http) => Some(link.asked_us + ANSWER_US + 1),
            (Job::Attempt(_), Wire::MySql(_)) => None,
            (Job::Stray { since_us }, _) => Some(since_us + STRAY_US + 1),
            (Job::Delete(_), _) => Some(link.asked_us + UNHEARD_US),
        }
    }

    /// Writes what a connection has to say, waits for what it wants next, and sets its timer.
    pub(super) fn settle_link(&mut self, at: usize) {
        let Some(peer) = self.pools.peer(at) else { return };
        if peer.conn.phase != Phase::Connecting {
            let key = Pools::key(at, peer.serial);
            let peer = &mut peer.conn;
            if peer.flush().is_err() || peer.update(&self.poll, key).is_err() {
                return self.engine_gone(at, End::Broken);
            }
        }
        let Some(peer) = self.pools.peers.get(at).and_then(Option::as_ref) else { return };
        let due_us = self.link_due_us(peer);
        if let Some(peer) = self.pools.peer(at) {
            let what = Timer::Link(at, peer.serial);
            self.timers.keep(&mut peer.timer, due_us, what);
        }
    }

    /// What must have happened on a connection by now has not.
    pub(super) fn link_late(&mut self, at: usize, serial: u32) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get(at).and_then(Option::as_ref).filter(|p| p.serial == serial)
        else {
            return;
        };
        let late = self.link_due_us(peer).is_some_and(|due_us| due_us <= now_us);
        let coming = peer.link.is_coming_up(peer.conn.phase);
        let (job, engine, resting) = (peer.link.job, peer.link.engine, peer.link.is_resting());
        if let Some(peer) = self.pools.peer(at) {
            peer.timer = None;
        }
        self.pools.dirty.push(at);
        match job {
            _ if !late => {}
            _ if resting => self.post_if_up(at),
            _ if coming => self.engine_gone(at, End::Late),
            Job::Idle { .. } => {
                if let Some(e) = self.pools.engines.get_mut(&engine) {
                    e.idle.iter_mut().for_each(|idle| idle.retain(|i| *i != at));
                }
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            Job::Attempt(_) => {
                tracing::debug!("an engine's answer does not come");
                self.engine_gone(at, End::Broken);
            }
            // The machine may have vanished, and the connection would hold its descriptor for good.
            Job::Stray { .. } => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            Job::Delete(id) if !self.pools.attempts.contains_key(&id) => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
            Job::Delete(_) => {
                if let Some(peer) = self.pools.peer(at) {
                    peer.link.asked_us = now_us;
                }
            }
        }
    }

    /// Something is ready on a connection to an engine.
    pub(super) fn link_ready(&mut self, at: usize, interest: Interest) {
        let Some(peer) = self.pools.peer(at) else { return };
        if peer.conn.phase == Phase::Connecting {
            if !interest.write && !interest.read {
                return;
            }
            match peer.conn.finish_connect() {
                Ok(()) => {}
                // Only this proves that no process is there: a reset strikes connections of living ones too.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    return self.engine_gone(at, End::Refused);
                }
                Err(_) => return self.engine_gone(at, End::Broken),
            }
            self.connected(at);
        }
        if interest.write {
            self.pools.dirty.push(at);
        }
        if interest.read {
            let Some(peer) = self.pools.peer(at) else { return };
            if peer.conn.is_cut_off() {
                return self.engine_gone(at, End::Broken);
            }
            let end = peer.conn.fill(usize::MAX);
            self.engine_read(at, end);
        }
    }

    fn connected(&mut self, at: usize) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peer(at) else { return };
        match &peer.link.wire {
            Wire::Http => self.post_if_up(at),
            // The engine speaks first, and no slower than a connection may come up.
            Wire::MySql(_) => {
                peer.link.asked_us = now_us;
                self.pools.dirty.push(at);
            }
        }
    }

    /// Whether the first byte of an attempt may still leave, which is asked when it would: while its connection
    /// came up the engine may have been said to drain, the client may have left, the time for it may be over.
    fn may_begin(&self, id: AttemptId, engine: EngineId) -> bool {
        let ready = self.pools.engines.get(&engine).is_some_and(|e| e.state == EngineState::Ready);
        let in_time = self.pools.attempts.get(&id).is_some_and(|a| self.time.now_us < a.begin_by_us);
        ready && in_time && self.requests.open.contains_key(&id.0)
    }

    /// Writes what a connection was opened for once it is up.
    fn post_if_up(&mut self, at: usize) {
        self.pools.dirty.push(at);
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let link = &mut peer.link;
        let (engine, out) = (link.engine, &mut peer.conn.output);
        link.asked_us = now_us;
        if link.is_coming_up(peer.conn.phase) || link.is_resting() {
            return;
        }
        match link.job {
            Job::Attempt(id) => {
                let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
                if matches!(attempt.course, Course::Http { start: None, .. }) {
                    // It was sent long ago; news of it may be asked for wherever the engine stands.
                    if let Course::Http { exchange, .. } = &mut attempt.course {
                        exchange.ask_again(out);
                        attempt.asked_us = now_us;
                    }
                    return;
                }
                if !self.may_begin(id, engine) {
                    self.release(at);
                    return self.end_attempt(id, Outcome::Void, None);
                }
                let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
                let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
                let (link, out) = (&mut peer.link, &mut peer.conn.output);
                attempt.asked_us = now_us;
                self.counters.sent += 1;
                let class = self.requests.open.get(&id.0).map(|r| r.class);
                if let Some(class) = class {
                    self.metrics.class(class).attempts += 1;
                }
                tracing::debug!(
                    ticket = attempt.ticket,
                    number = id.1,
                    engine = engine.0,
                    class = class.map(|c| c.0),
                    now_us,
                    "sent"
                );
                match (&mut attempt.course, &mut link.wire) {
                    (Course::Http { start, .. }, Wire::Http) => {
                        out.extend(start.take().into_iter().flatten())
                    }
                    (Course::MySql { work }, Wire::MySql(session)) => {
                        if let Some(work) = work.take() {
                            session.start(work, out);
                        }
                    }
                    _ => {}
                }
            }
            Job::Delete(id) => {
                let Some(attempt) = self.pools.attempts.get(&id) else { return self.release(at) };
                let (ticket, thread) = (attempt.ticket.clone(), attempt.thread);
                let Some(Peer { conn, link, .. }) = self.pools.peer(at) else { return };
                match &mut link.wire {
                    Wire::Http => http::delete(&ticket, &mut conn.output),
                    Wire::MySql(session) => session.kill(thread, &mut conn.output),
                }
            }
            Job::Idle { .. } | Job::Stray { .. } => {}
        }
    }

    /// Puts a connection back to the idle ones of its engine.
    fn release(&mut self, at: usize) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let link = &mut peer.link;
        link.job = Job::Idle { since_us: now_us };
        self.pools.dirty.push(at);
        let conn = &peer.conn;
        let free = match &link.wire {
            Wire::Http => true,
            Wire::MySql(s) => s.is_up(),
        };
        let clean = free
            && !link.doubtful
            && conn.phase == Phase::Open
            && conn.input.is_empty()
            && conn.output.is_empty();
        match self.pools.engines.get_mut(&link.engine) {
            Some(e) if clean && e.state != EngineState::Gone => e.idle[link.tongue() as usize].push(at),
            _ => {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
        }
    }

    pub(super) fn engine_read(&mut self, at: usize, end: ReadEnd) {
        loop {
            let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
            let link = &mut peer.link;
            let conn = &mut peer.conn;
            if conn.input.is_empty() {
                break;
            }
            if link.is_resting() {
                tracing::debug!(engine = link.engine.0, "a second answer has come late");
                return self.engine_gone(at, End::Broken);
            }
            let read = match &mut link.wire {
                Wire::Http => match http::read(&mut conn.input, &self.names.report_extras) {
                    Ok(None) => break,
                    Ok(Some(response)) => {
                        self.response(at, response);
                        Ok(())
                    }
                    Err(e) => Err(e.to_string()),
                },
                Wire::MySql(session) => {
                    self.pools.dirty.push(at);
                    match session.read(&mut conn.input, &mut conn.output) {
                        Ok(None) => break,
                        Ok(Some(event)) => {
                            self.mysql_event(at, event);
                            Ok(())
                        }
                        Err(e) => Err(e.to_string()),
                    }
                }
            };
            if let Err(e) = read {
                tracing::warn!("an engine's answer: {e}");
                return self.engine_gone(at, End::Broken);
            }
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            self.engine_gone(at, End::Broken);
        }
    }

    fn response(&mut self, at: usize, mut response: http::Response) {
        let now_us = self.time.now_us;
        let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let link = &mut peer.link;
        // The answer may be good, but what stands behind it would be taken for the next one.
        response.close |= !peer.conn.input.is_empty();
        match link.job {
            // Nothing was asked here.
            Job::Idle { .. } => self.engine_gone(at, End::Broken),
            Job::Stray { .. } => self.release_or_close(at, response.close),
            // The call has come whole, or the engine knows the query no more: the attempt is over.
            Job::Delete(id) if matches!(response.status, 204 | 500) => {
                self.release_or_close(at, response.close);
                self.end_attempt(id, Outcome::Withdrawn, None);
            }
            Job::Delete(_) => self.engine_gone(at, End::Broken),
            Job::Attempt(id) => {
                let Some(attempt) = self.pools.attempts.get_mut(&id) else {
                    return self.release_or_close(at, response.close);
                };
                let Course::Http { exchange, .. } = &mut attempt.course else { return };
                let mut next = Vec::new();
                let step = exchange.on_response(&mut response, &mut next);
                let asked_again = attempt.retries > 0;
                let held = exchange.held_bytes();
                self.sessions.ledger.book(Kind::Results, std::mem::replace(&mut attempt.booked, held), held);
                if step != http::Step::Spoilt {
                    attempt.retries = 0;
                }
                match step {
                    http::Step::Asked => {
                        // Where there is no news the engine takes its time to say so.
                        let soon = now_us < link.asked_us + REST_US;
                        link.doubtful |= response.status == 202 && response.note.is_none() && soon;
                        let note = response.note.unwrap_or(Note::Running);
                        self.inputs.push(Input::Noted(id.0, id.1, note));
                        if response.close {
                            return self.engine_gone(at, End::Broken);
                        }
                        link.asked_us = now_us;
                        attempt.asked_us = now_us;
                        peer.conn.output.append(&mut next);
                        self.pools.dirty.push(at);
                    }
                    http::Step::Spoilt => {
                        tracing::debug!(ticket = attempt.ticket, status = response.status, "a spoilt answer");
                        self.engine_gone(at, End::Broken);
                    }
                    http::Step::Quiet => {
                        link.job = Job::Stray { since_us: now_us };
                        self.release_or_close(at, response.close);
                    }
                    http::Step::Ended(mut outcome) => {
                        // The call that starts it was lost with its connection, or its engine has started anew:
                        // the engine that says so is well, and the request too.
                        if asked_again && outcome == Outcome::Failure {
                            outcome = Outcome::Withdrawn;
                        }
                        let report = exchange.report;
                        if outcome == Outcome::Success {
                            match exchange.rows() {
                                Some(rows) => {
                                    self.pools.results.insert(id, Payload::Text(rows));
                                }
                                None => outcome = Outcome::Failure,
                            }
                        }
                        self.release_or_close(at, response.close);
                        self.end_attempt(id, outcome, report);
                    }
                }
            }
        }
    }

    fn mysql_event(&mut self, at: usize, event: mysql::Event) {
        let Some(Peer { conn, link, .. }) = self.pools.peer(at) else { return };
        let (job, engine) = (link.job, link.engine);
        match (&event, job) {
            (mysql::Event::Up, Job::Attempt(_) | Job::Delete(_)) => self.post_if_up(at),
            (mysql::Event::Up, Job::Idle { .. } | Job::Stray { .. }) => self.release(at),
            (mysql::Event::Prepared, Job::Attempt(id)) => {
                if !self.may_begin(id, engine) {
                    // It was prepared there and nothing more: it never ran.
                    self.pools.close(&self.poll, &mut self.timers, at);
                    return self.end_attempt(id, Outcome::Void, None);
                }
                if let Some(Peer { conn, link, .. }) = self.pools.peer(at) {
                    if let Wire::MySql(session) = &mut link.wire {
                        session.execute(&mut conn.output);
                    }
                }
            }
            (mysql::Event::Done(result), Job::Attempt(id)) => {
                // An error of the statement's own is the engine's last word on it, as rows are: no other
                // engine would say more, and none of them is ill for it.
                self.pools.results.insert(id, Payload::MySql(result.clone()));
                self.release(at);
                self.end_attempt(id, Outcome::Success, None);
            }
            (mysql::Event::Failed(e), Job::Attempt(id)) => {
                tracing::debug!(code = e.code, "an engine's error: {}", e.message);
                self.release(at);
                self.end_attempt(id, Outcome::Failure, None);
            }
            (mysql::Event::TurnedAway(e), Job::Attempt(id)) => {
                self.pools.close(&self.poll, &mut self.timers, at);
                self.end_attempt(id, turned_away(e), None);
            }
            // The other connection was ended, or had ended by itself: the attempt is over. After any other
            // error, as that this gateway may not end it, nothing is known of it.
            (mysql::Event::Done(ResultSet::Done { .. }), Job::Delete(id)) => {
                self.release(at);
                self.end_attempt(id, Outcome::Withdrawn, None);
            }
            (mysql::Event::Done(_) | mysql::Event::Failed(_), Job::Delete(id)) => {
                self.release(at);
                if let mysql::Event::Failed(SqlError { code: NO_SUCH_THREAD, .. }) = event {
                    self.end_attempt(id, Outcome::Withdrawn, None);
                }
            }
            (mysql::Event::Done(_) | mysql::Event::Failed(_), Job::Stray { .. }) => self.release(at),
            _ => {
                conn.input.clear();
                self.engine_gone(at, End::Broken);
            }
        }
    }

    fn release_or_close(&mut self, at: usize, close: bool) {
        if close {
            self.pools.close(&self.poll, &mut self.timers, at);
        } else {
            self.release(at);
        }
    }

    fn forget_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.pools.attempts.remove(&id)?;
        self.requests.free_ticket(&attempt.ticket);
        self.sessions.ledger.book(Kind::Results, attempt.booked, 0);
        if let Some(timer) = attempt.unheard {
            self.timers.cancel(timer);
        }
        Some(attempt)
    }

    /// The attempt is over; the core is told how.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, report: Option<Report>) {
        let Some(attempt) = self.forget_attempt(id) else { return };
        self.desert(attempt.link, id);
        tracing::debug!(
            ticket = attempt.ticket,
            number = id.1,
            engine = attempt.engine.0,
            now_us = self.time.now_us,
            ?outcome,
            "ended"
        );
        self.counters.ended(outcome);
        self.inputs.push(Input::Ended(id.0, id.1, outcome, report));
    }

    /// Whether no byte that runs this attempt has been written.
    fn is_unsent(&self, id: AttemptId, wire: &Wire) -> bool {
        match (self.pools.attempts.get(&id).map(|a| &a.course), wire) {
            (Some(Course::Http { start, .. }), _) => start.is_some(),
            (Some(Course::MySql { work }), Wire::MySql(s)) => work.is_some() || !s.may_have_run(),
            _ => false,
        }
    }

    /// A connection to an engine is over, and what it was there for goes on without it.
    pub(super) fn engine_gone(&mut self, at: usize, end: End) {
        let Some(link) = self.pools.close(&self.poll, &mut self.timers, at) else { return };
        match link.job {
            Job::Idle { .. } => {
                if let Some(e) = self.pools.engines.get_mut(&link.engine) {
                    e.idle.iter_mut().for_each(|idle| idle.retain(|i| *i != at));
                }
            }
            Job::Attempt(id) => self.resume(id, &link, end),
            Job::Delete(id) => self.tell_again(id, &link, end),
            Job::Stray { .. } => {}
        }
    }

    /// An attempt's connection broke, or what came over it can't be used. A query belongs to no connection: where
    /// its engine still lives, it runs on or keeps its result, and another copy elsewhere would be a second one.
    /// So the call is made again over another connection. That is refused where the process has died, but also by
    /// one that drains and by one that holds all the connections it may, and these run on what they run: as where
    /// nothing comes up at all, it is not to be known. An engine whose answers stay bad is told to give the query
    /// up.
    fn resume(&mut self, id: AttemptId, over: &Link, end: End) {
        let unsent = self.is_unsent(id, &over.wire);
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        let again = attempt.retries > 0;
        match (over.tongue(), end) {
            _ if attempt.stopping && !unsent => return,
            (Tongue::MySql, _) | (_, End::Refused | End::Late) if unsent => {
                return self.end_attempt(id, Outcome::Unreachable, None);
            }
            // That protocol has no way to ask for it again, and a statement may outlive its connection.
            (Tongue::MySql, _) => return self.unheard(id),
            (_, End::Refused | End::Late) if again => return self.unheard(id),
            _ if attempt.retries >= MOST_RETRIES && unsent => {
                return self.end_attempt(id, Outcome::Unreachable, None);
            }
            _ if attempt.retries >= MOST_RETRIES => return self.stop(id),
            _ => {}
        }
        attempt.retries += 1;
        self.counters.asked_again += 1;
        match self.connect(over.engine, Job::Attempt(id), Tongue::Http) {
            Ok(at) => {
                if let Some(attempt) = self.pools.attempts.get_mut(&id) {
                    attempt.link = at;
                }
                self.post_if_up(at);
            }
            Err(outcome) if unsent => self.end_attempt(id, outcome, None),
            Err(_) => self.unheard(id),
        }
    }

    /// The call that gives an attempt up broke off: it is made again, as long as its end is waited for. An engine
    /// that refuses the connection may run the query on: it drains, or has all the connections that it may have.
    fn tell_again(&mut self, id: AttemptId, over: &Link, end: End) {
        let Some(attempt) = self.pools.attempts.get_mut(&id).filter(|a| a.retries < MOST_RETRIES) else {
            return;
        };
        tracing::debug!(ticket = attempt.ticket, number = id.1, ?end, "not told that it was given up");
        attempt.retries += 1;
        if end == End::Refused {
            return;
        }
        if let (Wire::Http, Ok(at)) = (&over.wire, self.connect(over.engine, Job::Delete(id), Tongue::Http)) {
            self.post_if_up(at);
        }
    }

    /// Nothing was heard of the end of an attempt that was given up.
    pub(super) fn unheard(&mut self, id: AttemptId) {
        let Some(attempt) = self.forget_attempt(id) else { return };
        self.desert(attempt.link, id);
        tracing::debug!(ticket = attempt.ticket, number = id.1, engine = attempt.engine.0, "unheard");
        self.counters.ended(Outcome::TimedOut);
        let runs_until_us = attempt.runs_until_us(self.time.now_us);
        self.inputs.push(Input::Lost(id.0, id.1, runs_until_us));
    }

    /// A connection no longer works for this attempt.
    fn desert(&mut self, at: usize, id: AttemptId) {
        let now_us = self.time.now_us;
        let Some(Peer { link, .. }) = self.pools.peer(at) else { return };
        if link.job == Job::Attempt(id) {
            link.job = Job::Stray { since_us: now_us };
            let tongue = link.tongue();
            self.pools.dirty.push(at);
            // A MySQL connection that was ended for its work is of no more use.
            if tongue == Tongue::MySql {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
        }
    }

    /// Gives an attempt up: at once if it was never sent, else when the engine has been told.
    pub(super) fn stop(&mut self, id: AttemptId) {
        let going = self.pools.attempts.get(&id).filter(|a| !a.stopping);
        let Some((engine, link)) = going.map(|a| (a.engine, a.link)) else { return };
        self.counters.stopped += 1;
        let (mut tongue, mut thread) = (Tongue::Http, 0);
        // Its connection may be closed, and its place another's.
        let own = |p: &&Peer| p.link.job == Job::Attempt(id);
        let peer = self.pools.peers.get(link).and_then(Option::as_ref).filter(own);
        if let Some(Peer { link: l, .. }) = peer {
            tongue = l.tongue();
            if let Wire::MySql(session) = &l.wire {
                thread = session.thread;
            }
            if self.is_unsent(id, &l.wire) {
                self.pools.close(&self.poll, &mut self.timers, link);
                return self.end_attempt(id, Outcome::Void, None);
            }
        }
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        attempt.thread = thread;
        attempt.retries = 0;
        tracing::debug!(ticket = attempt.ticket, number = id.1, now_us = self.time.now_us, "given up");
        attempt.stopping = true;
        if let Course::Http { exchange, .. } = &mut attempt.course {
            exchange.give_up();
        }
        attempt.unheard = Some(self.timers.arm(self.time.now_us + UNHEARD_US, Timer::Unheard(id)));
        match self.link(engine, Job::Delete(id), tongue, None) {
            Ok(at) => self.post_if_up(at),
            Err(outcome) => {
                tracing::debug!(number = id.1, ?outcome, "no connection to give an attempt up over");
            }
        }
    }

    /// Tells an engine of a new priority.
    pub(super) fn rank(&mut self, id: AttemptId, priority: u8) {
        let Some(attempt) = self.pools.attempts.get(&id).filter(|a| !a.stopping) else { return };
        if !matches!(attempt.course, Course::Http { start: None, .. }) {
            return;
        }
        let (engine, ticket) = (attempt.engine, attempt.ticket.clone());
        // Only over an idle connection: a new one for each would cost more than the change is worth.
        let idle = self.pools.engines.get_mut(&engine).and_then(|e| e.idle[Tongue::Http as usize].pop());
        let Some(at) = idle else { return };
        let now_us = self.time.now_us;
        if let Some(Peer { conn, link, .. }) = self.pools.peer(at) {
            link.job = Job::Stray { since_us: now_us };
            http::put(&ticket, priority, &mut conn.output);
        }
        self.pools.dirty.push(at);
    }
}

/// A request as work for a MySQL engine; id, class and what is left of the wait go beside it as attributes.
fn work(request: &Request, class: &str, max_ms: u64) -> mysql::Work {
    let mut attributes = vec![
        Param::text("i", &request.ticket),
        Param::text("c", class),
        Param::text("d", &max_ms.to_string()),
    ];
    attributes.extend(request.token.as_deref().map(|token| Param::text("k", token)));
    let sql = request.statement.clone();
    match &request.run {
        Run::Execute(params) => mysql::Work::Execute(sql, params.clone(), attributes),
        Run::Simple | Run::Query => mysql::Work::Query(sql, attributes),
    }
}

/// An engine that lets no more connections in is full; one that lets this gateway in never is not to be
/// reached. Nothing ran on either.
fn turned_away(e: &SqlError) -> Outcome {
    tracing::warn!(code = e.code, "an engine turned a connection away: {}", e.message);
    if matches!(e.code, 1040 | 1203 | 1226) { Outcome::Overloaded } else { Outcome::Unreachable }
}

#[cfg(test)]
mod tests;
