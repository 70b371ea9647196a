//! Attempts at engines: begun, asked for again, given up, and how the core is told of their end.

use workload_manager::interface::*;
use wrenhatch_sessions::memory_budget::MemoryPurpose;

use super::{Attempt, AttemptId, Course, End, EngineProtocol, Job, Link, Unconfirmed, Wire};
use crate::core::{AttemptLimits, AttemptTerms, Input};
use crate::engine::{http, mysql};
use crate::front::ExecutionMode;
use crate::mysql::Param;
use crate::net::pools::Peer;
use crate::net::{Request, Server, Timer};

/// How long the end of an attempt that was given up is waited for. Engines stand still for 370 ms at times;
/// one that has said nothing for longer may have vanished, and what it still runs can't be known.
pub(super) const UNHEARD_US: u64 = 500_000;

/// How often a call is made again whose answer was spoilt or did not come.
const MOST_RETRIES: u32 = 4;

impl Server {
    pub(in crate::net) fn start(
        &mut self,
        id: AttemptId,
        engine: EngineId,
        terms: AttemptTerms,
        limits: AttemptLimits,
    ) {
        let AttemptLimits { until_us, begin_by_us, in_order } = limits;
        let Some(request) = self.requests.open.get(&id.request) else {
            return self.never_sent(id, Outcome::NeverSent);
        };
        let max_ms = (until_us.saturating_sub(self.time.now_us) / 1000).max(1);
        let class = self.names.classes[request.class.0].as_str();
        let (course, protocol) = match &request.run {
            ExecutionMode::Simple => {
                let mut start = Vec::with_capacity(256 + request.statement.len());
                let call = http::Start {
                    ticket: &request.ticket,
                    class,
                    statement: &request.statement,
                    max_ms,
                    grant_mb: terms.memory_mb,
                    rank: terms.priority,
                    token: request.token.as_deref(),
                };
                http::post(&call, &mut start);
                let exchange = http::Exchange::new(&request.ticket);
                (Course::Http { exchange, start: Some(start) }, EngineProtocol::Http)
            }
            _ => (Course::MySql { work: Some(work(request, class, max_ms)) }, EngineProtocol::MySql),
        };
        let ticket = request.ticket.clone();
        let prepared = matches!(request.run, ExecutionMode::Execute(_)).then(|| request.statement.clone());
        match self.link(engine, Job::Attempt(id), protocol, prepared.as_deref()) {
            Ok(link) => {
                let attempt = Attempt {
                    engine,
                    link,
                    course,
                    ticket,
                    begin_by_us,
                    until_us,
                    in_order,
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

    pub(super) fn never_sent(&mut self, id: AttemptId, outcome: Outcome) {
        self.counters.ended(outcome);
        self.inputs.push(Input::AttemptEnded { attempt: id, outcome, load_report: None });
    }

    /// Whether the first byte of an attempt may still leave, which is asked when it would: while its connection
    /// came up the engine may have been said to drain, the client may have left, the time for it may be over.
    pub(super) fn may_begin(&self, id: AttemptId, engine: EngineId) -> bool {
        let ready = self.pools.engines.get(&engine).is_some_and(|e| e.state == EndpointState::Ready);
        let in_time = self.pools.attempts.get(&id).is_some_and(|a| self.time.now_us < a.begin_by_us);
        ready && in_time && self.requests.open.contains_key(&id.request)
    }

    /// Writes what a connection was opened for once it is up.
    pub(super) fn post_if_up(&mut self, at: usize) {
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
                    return self.end_attempt(id, Outcome::NeverSent, None);
                }
                let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
                let Some(peer) = self.pools.peers.get_mut(at).and_then(Option::as_mut) else { return };
                let (link, out) = (&mut peer.link, &mut peer.conn.output);
                attempt.asked_us = now_us;
                self.counters.sent += 1;
                let class = self.requests.open.get(&id.request).map(|r| r.class);
                if let Some(class) = class {
                    self.metrics.class(class).attempts += 1;
                }
                tracing::debug!(
                    ticket = attempt.ticket,
                    number = id.number,
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
            Job::Confirm(id) => self.write_confirmation(at, id),
            Job::Idle { .. } | Job::Discarding { .. } => {}
        }
    }

    pub(super) fn forget_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.pools.attempts.remove(&id)?;
        self.requests.free_ticket(&attempt.ticket);
        self.sessions.memory.release(MemoryPurpose::Results, attempt.booked);
        if let Some(timer) = attempt.unheard {
            self.timers.cancel(timer);
        }
        Some(attempt)
    }

    /// The attempt is over; the core is told how.
    pub(in crate::net) fn end_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(attempt) = self.forget_attempt(id) else { return };
        self.detach(attempt.link, id);
        tracing::debug!(
            ticket = attempt.ticket,
            number = id.number,
            engine = attempt.engine.0,
            now_us = self.time.now_us,
            ?outcome,
            "ended"
        );
        self.counters.ended(outcome);
        self.inputs.push(Input::AttemptEnded { attempt: id, outcome, load_report: report });
    }

    /// Whether no byte that runs this attempt has been written.
    pub(super) fn is_unsent(&self, id: AttemptId, wire: &Wire) -> bool {
        match (self.pools.attempts.get(&id).map(|a| &a.course), wire) {
            (Some(Course::Http { start, .. }), _) => start.is_some(),
            (Some(Course::MySql { work }), Wire::MySql(s)) => work.is_some() || !s.may_have_run(),
            _ => false,
        }
    }

    /// An attempt's connection broke, or what came over it can't be used. A query belongs to no connection: where
    /// its engine still lives, it runs on or keeps its result, and another copy elsewhere would be a second one.
    /// So the call is made again over another connection. That is refused where the process has died, but also by
    /// one that drains and by one that holds all the connections it may, and these run on what they run: as where
    /// nothing comes up at all, it is not to be known. An engine whose answers stay bad is told to give the query
    /// up, where that is allowed; else nothing more is to be known of it.
    pub(super) fn resume(&mut self, id: AttemptId, over: &Link, end: End) {
        let unsent = self.is_unsent(id, &over.wire);
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        let again = attempt.retries > 0;
        match (over.protocol(), end) {
            _ if attempt.stopping && !unsent => return,
            (EngineProtocol::MySql, _) | (_, End::Refused | End::Late) if unsent => {
                return self.end_attempt(id, Outcome::ConnectFailed, None);
            }
            // That protocol has no way to ask for it again, and a statement may outlive its connection.
            (EngineProtocol::MySql, _) => return self.unheard(id),
            (_, End::Refused | End::Late) if again => return self.unheard(id),
            _ if attempt.retries >= MOST_RETRIES && unsent => {
                return self.end_attempt(id, Outcome::ConnectFailed, None);
            }
            _ if attempt.retries >= MOST_RETRIES && self.config.settings.capabilities.cancels_attempts => {
                return self.stop(id);
            }
            _ if attempt.retries >= MOST_RETRIES => return self.unheard(id),
            _ => {}
        }
        attempt.retries += 1;
        self.counters.asked_again += 1;
        match self.connect(over.engine, Job::Attempt(id), EngineProtocol::Http) {
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
    pub(super) fn tell_again(&mut self, id: AttemptId, over: &Link, end: End) {
        let Some(attempt) = self.pools.attempts.get_mut(&id).filter(|a| a.retries < MOST_RETRIES) else {
            return;
        };
        tracing::debug!(ticket = attempt.ticket, number = id.number, ?end, "not told that it was given up");
        attempt.retries += 1;
        if end == End::Refused {
            return;
        }
        if let (Wire::Http, Ok(at)) =
            (&over.wire, self.connect(over.engine, Job::Delete(id), EngineProtocol::Http))
        {
            self.post_if_up(at);
        }
    }

    /// Nothing was heard of the end of an attempt that was given up.
    pub(in crate::net) fn unheard(&mut self, id: AttemptId) {
        let Some(attempt) = self.forget_attempt(id) else { return };
        self.detach(attempt.link, id);
        tracing::debug!(ticket = attempt.ticket, number = id.number, engine = attempt.engine.0, "unheard");
        self.counters.ended(Outcome::TimedOut);
        let runs_until_us = attempt.runs_until_us(self.time.now_us);
        match attempt.course {
            Course::Http { .. } if attempt.in_order => {
                let unconfirmed = Unconfirmed::new(attempt.engine, attempt.ticket, runs_until_us);
                self.begin_confirmation(id, unconfirmed);
            }
            _ => self.inputs.push(Input::AttemptLost { attempt: id, runs_until_us }),
        }
    }

    /// A connection no longer works for this attempt.
    pub(super) fn detach(&mut self, at: usize, id: AttemptId) {
        let now_us = self.time.now_us;
        let Some(Peer { link, .. }) = self.pools.peer(at) else { return };
        if link.job == Job::Attempt(id) {
            link.job = Job::Discarding { since_us: now_us };
            let protocol = link.protocol();
            self.pools.dirty.push(at);
            // A MySQL connection that was ended for its work is of no more use.
            if protocol == EngineProtocol::MySql {
                self.pools.close(&self.poll, &mut self.timers, at);
            }
        }
    }

    /// Gives an attempt up: at once if it was never sent, else when the engine has been told.
    pub(in crate::net) fn stop(&mut self, id: AttemptId) {
        let going = self.pools.attempts.get(&id).filter(|a| !a.stopping);
        let Some((engine, link)) = going.map(|a| (a.engine, a.link)) else { return };
        self.counters.stopped += 1;
        let (mut protocol, mut thread) = (EngineProtocol::Http, 0);
        // Its connection may be closed, and its place another's.
        let own = |p: &&Peer| p.link.job == Job::Attempt(id);
        let peer = self.pools.peers.get(link).and_then(Option::as_ref).filter(own);
        if let Some(Peer { link: l, .. }) = peer {
            protocol = l.protocol();
            if let Wire::MySql(session) = &l.wire {
                thread = session.thread;
            }
            if self.is_unsent(id, &l.wire) {
                self.pools.close(&self.poll, &mut self.timers, link);
                return self.end_attempt(id, Outcome::NeverSent, None);
            }
        }
        let Some(attempt) = self.pools.attempts.get_mut(&id) else { return };
        attempt.thread = thread;
        attempt.retries = 0;
        tracing::debug!(ticket = attempt.ticket, number = id.number, now_us = self.time.now_us, "given up");
        attempt.stopping = true;
        if let Course::Http { exchange, .. } = &mut attempt.course {
            exchange.give_up();
        }
        attempt.unheard = Some(self.timers.arm(self.time.now_us + UNHEARD_US, Timer::Unheard(id)));
        match self.link(engine, Job::Delete(id), protocol, None) {
            Ok(at) => self.post_if_up(at),
            Err(outcome) => {
                tracing::debug!(number = id.number, ?outcome, "no connection to give an attempt up over");
            }
        }
    }

    /// Tells an engine of a new priority.
    pub(in crate::net) fn rank(&mut self, id: AttemptId, priority: u8) {
        let Some(attempt) = self.pools.attempts.get(&id).filter(|a| !a.stopping) else { return };
        if !matches!(attempt.course, Course::Http { start: None, .. }) {
            return;
        }
        let (engine, ticket) = (attempt.engine, attempt.ticket.clone());
        // Only over an idle connection: a new one for each would cost more than the change is worth.
        let idle =
            self.pools.engines.get_mut(&engine).and_then(|e| e.idle[EngineProtocol::Http as usize].pop());
        let Some(at) = idle else { return };
        let now_us = self.time.now_us;
        if let Some(Peer { conn, link, .. }) = self.pools.peer(at) {
            link.job = Job::Discarding { since_us: now_us };
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
        ExecutionMode::Execute(params) => mysql::Work::Execute(sql, params.clone(), attributes),
        ExecutionMode::Simple | ExecutionMode::Query => mysql::Work::Query(sql, attributes),
    }
}
