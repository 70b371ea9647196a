//! Clients' side of the network: taking in, reading, answering, parking.

use std::net::{SocketAddr, TcpStream};

use workload_manager::interface::*;
use wrenhatch_sessions::memory_budget::{Kind, Pressure};
use wrenhatch_sessions::read_scheduler::{Pick, Work};
use wrenhatch_sessions::session_table::{Ended, Handle, Use};

use super::conn::{Conn, MOST_UNSENT, Phase, ReadEnd};
use super::listeners::{self, Front};
use super::poll::Interest;
use super::sessions::{CLOSE_US, Session, Sessions, UNFINISHED_US};
use super::{Request, Server, Timer};
use crate::config::Names;
use crate::core::{Command, Input, NewRequest};
use crate::front::{ClientCommand, ClientRequest, FinalAnswer, Payload, fields};
use crate::metrics::Ending;
use crate::mysql::ResultSet;

/// Clients beyond all places that are being told so.
const AWAY: usize = 12;
/// Sessions looked at in a row whose place another may have.
const MOST_SPARED: usize = 16;
/// Sessions closed in one turn to make memory free.
const RELIEVED: usize = 64;

/// What the settings call these fields.
fn judge(names: &Names, fields: &fields::Fields) -> Result<(ClassId, Option<TenantId>), &'static str> {
    let class = names.class(&fields.class).ok_or("unknown class")?;
    let tenant = |t: &String| names.tenant(t).ok_or("unknown tenant");
    Ok((class, fields.tenant.as_ref().map(tenant).transpose()?))
}

impl Server {
    /// Gives a new client a place, if need be that of another which has less use for it. One that gets none is
    /// told so; it may have sent a request behind its start already, which thereby is refused.
    pub(super) fn take_in(&mut self, stream: TcpStream, from: SocketAddr, front: Front) {
        let now_us = self.time.now_us;
        let mut is_away = false;
        let full = self.sessions.is_full();
        let short = self.sessions.ledger.allows(Kind::Sessions, Sessions::bytes_of_one()).is_err();
        if full || short {
            match self.make_room() {
                true => {}
                false if self.sessions.table.len() < self.sessions.most + AWAY => is_away = true,
                false => return,
            }
        }
        if let Err(e) = listeners::keep_alive(&stream, &self.config) {
            tracing::debug!("keepalive: {e}");
        }
        let who = self.sessions.table.next_handle();
        match Conn::accepted(&self.poll, stream, Sessions::key(who), self.sessions.read_ahead()) {
            Ok(conn) => {
                let who = self.sessions.insert(conn, front, from, &self.config, now_us);
                self.counters.clients += 1;
                if is_away {
                    if let Some(live) = self.sessions.table.hot_mut(who) {
                        live.session.turn_away(&mut live.conn.output);
                    }
                    self.counters.turned_away += 1;
                    self.close_soon(who);
                }
                self.client_moved(who, true);
            }
            Err(e) => tracing::warn!("a client could not be taken in: {e}"),
        }
    }

    /// Something is ready on a client's connection. It is read when its turn comes.
    pub(super) fn session_ready(&mut self, key: u64, interest: Interest) {
        let Some(who) = Handle::from_bits(key & (super::SESSION - 1)) else { return };
        if interest.write {
            self.sessions.touch(who);
        }
        if interest.read {
            if self.sessions.table.hot(who).is_some_and(|live| live.conn.is_cut_off()) {
                return self.client_lost(who);
            }
            self.sessions.queue(who, self.time.now_us);
        }
    }

    /// Reads those whose turn it is.
    pub(super) fn read_sessions(&mut self) {
        while let Some(pick) = self.sessions.governor.pick(self.time.now_us) {
            if self.sessions.table.unmark(pick.who) {
                self.visit(pick);
            }
        }
    }

    /// Reads a session now, whether or not its turn has come.
    pub(super) fn read_now(&mut self, who: Handle) {
        self.sessions.table.unmark(who);
        self.visit(Pick { who, ready_us: self.time.now_us, early: false });
    }

    /// Closes whoever has the least use for its place, so that another may have it; false if nobody yields.
    pub(super) fn make_room(&mut self) -> bool {
        for _ in 0..MOST_SPARED {
            let Some(who) = self.sessions.yields(self.time.now_us) else { return false };
            if self.close_unless_heard(who) {
                self.counters.evicted += 1;
                return true;
            }
        }
        false
    }

    /// Whether a session that is to be closed has nothing to say: looks once more for what has come over it. A
    /// request that crosses the close would be taken and dropped, and a close over unread bytes resets the connection.
    fn is_silent(&mut self, who: Handle) -> bool {
        let idle =
            |s: &Sessions| s.table.used(who).is_some_and(|(u, _)| matches!(u, Use::Idle | Use::Keeping));
        if idle(&self.sessions) {
            self.read_now(who);
            if let Some(live) = self.sessions.table.hot(who) {
                if live.used() != Use::Idle && live.used() != Use::Keeping {
                    self.sessions.table.set_use(who, live.used(), self.time.now_us);
                    return false;
                }
            }
        }
        true
    }

    /// Closes a session at once, as its descriptor is needed, unless something has come over it. True if it is closed.
    fn close_unless_heard(&mut self, who: Handle) -> bool {
        let silent = self.is_silent(who);
        if silent {
            self.client_lost(who);
        }
        silent
    }

    fn visit(&mut self, pick: Pick) {
        let who = pick.who;
        if !self.sessions.wake(who, &self.config, self.time.now_us) {
            return;
        }
        let most = self.sessions.governor.limits().bytes;
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        (live.ready_us, live.early, live.more) = (pick.ready_us, pick.early, false);
        let before = live.conn.input.len();
        let end = live.conn.fill(most);
        let read = live.conn.input.len().saturating_sub(before);
        live.more = end == ReadEnd::More;
        let open = live.conn.phase == Phase::Open;
        self.sessions.governor.charge(Work::Bytes, read);
        if open {
            self.client_messages(who);
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.client_lost(who);
        }
        if let Some(live) = self.sessions.table.hot_mut(who) {
            live.early = false;
        }
        self.sessions.touch(who);
    }

    /// Notes how far a client has got, and since when it owes what it owes.
    fn client_moved(&mut self, who: Handle, moved: bool) {
        let now_us = self.time.now_us;
        self.sessions.touch(who);
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        if live.conn.phase == Phase::Closing {
            return;
        }
        let owes = live.session.is_starting() || (live.open.is_none() && !live.conn.input.is_empty());
        // A start has one limit, whatever comes before its end.
        let anew = moved && !live.session.is_starting();
        if owes && (anew || live.owes_us.is_none()) {
            live.owes_us = Some(now_us);
        } else if !owes {
            live.owes_us = None;
        }
    }

    /// Reads messages until more must come, a request is open, the client has answers to read, or others have
    /// their turn.
    fn client_messages(&mut self, who: Handle) {
        let mut left = self.sessions.governor.limits().messages;
        let mut moved = false;
        while left > 0 && self.client_message(who) {
            (left, moved) = (left - 1, true);
        }
        if left == 0 {
            if let Some(live) = self.sessions.table.hot_mut(who) {
                live.more |= !live.conn.input.is_empty();
            }
        }
        self.client_moved(who, moved);
    }

    /// Reads one message; whether there was one.
    fn client_message(&mut self, who: Handle) -> bool {
        let Some(live) = self.sessions.table.hot_mut(who) else { return false };
        let conn = &mut live.conn;
        if conn.phase != Phase::Open || conn.output.len() > MOST_UNSENT {
            return false;
        }
        if conn.overrun && live.open.is_none() {
            self.counters.invalid += 1;
            tracing::debug!(now_us = self.time.now_us, "a client sent too much behind its request");
            live.session.overrun(&mut conn.output);
            self.close_soon(who);
            return false;
        }
        match live.session.read(&mut conn.input, &mut conn.output) {
            None => return false,
            Some(ClientCommand::Handled) => {}
            Some(ClientCommand::Invalid) => self.counters.invalid += 1,
            Some(ClientCommand::Request(demand)) => self.demand(who, demand),
            Some(ClientCommand::Prepare(fields)) => self.judge(who, &fields),
            Some(ClientCommand::Cancel { session, secret }) => {
                self.close_soon(who);
                self.cancel(session, secret);
            }
            Some(ClientCommand::Close) => self.close_soon(who),
        }
        true
    }

    /// Says whether a statement may be prepared: the settings must know what it names, and there must be memory.
    fn judge(&mut self, who: Handle, fields: &fields::Fields) {
        let wrong = judge(&self.names, fields).err();
        // What it takes is told with the rest of its session's when the turn is over; till then it counts twice.
        let Some(live) = self.sessions.table.hot(who) else { return };
        let Session::MySql(session) = &live.session else { return };
        let room = self.sessions.ledger.allows(Kind::Statements, session.pending_bytes()).is_ok();
        self.counters.invalid += u64::from(wrong.is_some());
        self.counters.no_memory += u64::from(wrong.is_none() && !room);
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        let out = &mut live.conn.output;
        match (&mut live.session, wrong) {
            (session, Some(wrong)) => session.reject(wrong, out),
            (Session::MySql(session), None) if room => session.judged(out),
            (Session::MySql(session), None) => session.no_room(out),
            (Session::Pg(_), None) => {}
        }
        self.sessions.book(who);
    }

    /// Closes a connection once all that was written is out and the other side has ended too, or when that
    /// takes too long.
    pub(super) fn close_soon(&mut self, who: Handle) {
        let now_us = self.time.now_us;
        if let Some(live) = self.sessions.table.hot_mut(who) {
            live.conn.phase = Phase::Closing;
            live.conn.input = Vec::new();
            live.owes_us = Some(now_us);
        }
        self.sessions.touch(who);
    }

    /// A client that has not started its session in time, or has begun a message and not ended it, is told so
    /// and keeps others out no longer; nor does one that takes no more bytes.
    pub(super) fn client_late(&mut self, who: Handle) {
        let now_us = self.time.now_us;
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        live.timer = None;
        let Some(since_us) = live.owes_us else { return };
        if live.conn.phase == Phase::Closing {
            if now_us >= since_us + CLOSE_US {
                self.client_lost(who);
            }
        } else if now_us >= since_us + UNFINISHED_US {
            live.session.time_out(&mut live.conn.output);
            self.counters.timed_out += 1;
            self.close_soon(who);
        }
        self.sessions.touch(who);
    }

    /// The turn is over for a session that something has happened to: what it has to say is written, what it owes
    /// gets its timer, what it holds is booked, and if it is idle it is parked.
    pub(super) fn settle_session(&mut self, who: Handle) {
        let now_us = self.time.now_us;
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        live.dirty = false;
        let conn = &mut live.conn;
        let waited = conn.output.len() > MOST_UNSENT;
        if conn.flush().is_err() || conn.update(&self.poll, Sessions::key(who)).is_err() {
            return self.client_lost(who);
        }
        if waited && conn.output.len() <= MOST_UNSENT && conn.phase == Phase::Open {
            live.ready_us = now_us;
            // It is settled once more after that.
            return self.client_messages(who);
        }
        let due_us = live.due_us();
        self.timers.keep(&mut live.timer, due_us, Timer::Client(who));
        let (used, since_us) = (live.used(), live.owes_us.unwrap_or(now_us));
        if live.has_more() {
            live.more = false;
            self.sessions.queue(who, now_us);
        }
        self.sessions.book(who);
        // One that waits for its turn may have a request to be read.
        let waits = matches!(used, Use::Idle | Use::Keeping) && self.sessions.table.is_marked(who);
        let used = if waits { Use::Busy } else { used };
        self.sessions.table.set_use(who, used, since_us);
        if matches!(used, Use::Idle | Use::Keeping) {
            self.sessions.park(who);
            self.await_idle_limit();
        }
    }

    /// Where idle sessions have a limit, one timer is set for the one that has been idle for longest.
    fn await_idle_limit(&mut self) {
        let Some(limit_us) = self.config.clients.idle_limit_us else { return };
        if self.sessions.idle_timer.is_some() {
            return;
        }
        let oldest = [Use::Idle, Use::Keeping].map(|used| self.sessions.table.oldest(used));
        if let Some(since_us) = oldest.into_iter().flatten().map(|(_, since_us)| since_us).min() {
            self.sessions.idle_timer = Some(self.timers.arm(since_us + limit_us, Timer::IdleLimit));
        }
    }

    /// Closes sessions that have been idle for longer than the operator lets them.
    pub(super) fn close_long_idle(&mut self) {
        self.sessions.idle_timer = None;
        let Some(limit_us) = self.config.clients.idle_limit_us else { return };
        for used in [Use::Idle, Use::Keeping] {
            while let Some((who, since_us)) = self.sessions.table.oldest(used) {
                if self.time.now_us < since_us + limit_us {
                    break;
                }
                if self.is_silent(who) {
                    // Nobody waits for its place: it ends when its client has seen that this side does.
                    self.close_soon(who);
                    self.sessions.table.set_use(who, Use::Told, self.time.now_us);
                    self.counters.idle_closed += 1;
                }
            }
        }
        self.await_idle_limit();
    }

    /// Makes memory free where it has run short: idle sessions that hold statements go first, then those that
    /// hold a part of a message, then those that don't read their answers. Open requests are never ended for it.
    pub(super) fn relieve(&mut self) {
        for _ in 0..RELIEVED {
            let pressure = self.sessions.ledger.pressure();
            let oldest = |used| self.sessions.table.oldest(used).map(|(who, _)| who);
            let goes = match pressure {
                Pressure::Calm => return,
                Pressure::Short => oldest(Use::Keeping),
                Pressure::Scarce => oldest(Use::Keeping).or(oldest(Use::Unfinished)),
                Pressure::Out => oldest(Use::Keeping).or(oldest(Use::Unfinished)).or(oldest(Use::Unread)),
            };
            let Some(who) = goes else { return };
            self.counters.no_memory += 1;
            let unfinished = self.sessions.table.used(who).is_some_and(|(used, _)| used == Use::Unfinished);
            match self.sessions.table.hot_mut(who) {
                Some(live) if unfinished => {
                    live.session.out_of_memory(&mut live.conn.output);
                    self.close_soon(who);
                    self.settle_session(who);
                }
                _ => drop(self.close_unless_heard(who)),
            }
        }
    }

    /// Takes a request, or turns it down where its fields name nothing that the settings know, and where it would
    /// not be served: the gateway ends, is full, or would come to it too late.
    fn demand(&mut self, who: Handle, demand: ClientRequest) {
        let now_us = self.time.now_us;
        let fields = demand.fields;
        let judged = judge(&self.names, &fields);
        let (going, full) = (self.is_going(), self.requests.open.len() >= self.config.max_open);
        let taken = fields.id.as_ref().is_some_and(|id| self.requests.is_under_way(id));
        let secrets = fields.id.is_none().then(|| (self.sessions.secret(), self.sessions.secret()));
        let backlog_us = self.sessions.governor.backlog_us();
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        // Engines know a query by its id alone: calls for one of two with the same would strike the other.
        let judged = if taken { Err("the id is that of a request that is open") } else { judged };
        let (class, tenant) = match judged {
            Ok(named) => named,
            Err(wrong) => {
                self.counters.invalid += 1;
                live.session.reject(wrong, &mut live.conn.output);
                return;
            }
        };
        let class_wait = (self.config.settings.classes[class.0].deadline * 1e6) as u64;
        // Nobody waits for longer than its class does, and timers of a day would be kept for a day.
        let wait_us = fields.wait_ms.map_or(class_wait, |ms| ms.saturating_mul(1000)).min(class_wait);
        // Its client has waited since the request was there to be read.
        let deadline_us = live.ready_us.saturating_add(wait_us);
        let work_us = if live.early { backlog_us } else { 0 };
        let (query_id, run) = match (fields.id, secrets) {
            (Some(id), _) => (id, demand.run),
            (None, secrets) => {
                let (a, b) = secrets.unwrap_or_default();
                (format!("{a:08x}{b:08x}"), demand.run)
            }
        };
        let request =
            Request { client: who, query_id, class, statement: demand.statement, token: fields.token, run };
        let short = self.sessions.ledger.allows(Kind::Requests, request.bytes()).is_err();
        let late = !self.sessions.governor.in_time(now_us, work_us, deadline_us);
        if going || full || short || late {
            // Nothing was sent: trying again, elsewhere for one that ends, is harmless.
            self.counters.refused += 1;
            self.metrics.ended(class, Ending::Refused);
            self.counters.too_late += u64::from(late);
            self.counters.no_memory += u64::from(short);
            let tells = self.config.settings.capabilities.retry_after && (short || late);
            let wait_ms = tells.then(|| self.sessions.governor.come_back_ms(now_us));
            if let Some(live) = self.sessions.table.hot_mut(who) {
                live.session.answer(FinalAnswer::Rejected(wait_ms), &mut live.conn.output);
            }
            return;
        }
        let id = self.requests.next();
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        live.opens(id);
        // It is owed an answer: from here on its place is nobody else's.
        self.sessions.table.set_use(who, Use::Busy, now_us);
        if let Some(tenant) = tenant {
            self.sessions.set_tenant(who, tenant.0);
        }
        self.sessions.governor.charge(Work::Request, 1);
        let ask = NewRequest {
            class,
            tenant,
            deadline_us,
            estimate: fields.estimate_ms.map(|ms| ms / 1000.0),
            need_mb: fields.need_mb.filter(|mb| *mb > 0.0),
            group: fields::table_group(&request.statement).map(TableGroupId),
            key: fields.order_key.as_deref().map(fields::key_id),
            retry: fields.retry,
        };
        self.counters.taken += 1;
        let (estimate_ms, need_mb) = (fields.estimate_ms, fields.need_mb);
        tracing::debug!(
            query_id = request.query_id,
            request = id.0,
            class = class.0,
            wait_us,
            estimate_ms,
            need_mb,
            key = fields.order_key.as_deref(),
            retry = fields.retry,
            now_us,
            "taken"
        );
        self.sessions.ledger.book(Kind::Requests, 0, request.bytes());
        self.requests.insert(id, request);
        self.inputs.push(Input::RequestArrived(id, ask));
    }

    /// Ends the request of the session that a CancelRequest names; its client waits no longer.
    pub(super) fn cancel(&mut self, session: u32, secret: u32) {
        let who = session.checked_sub(1).and_then(|index| self.sessions.table.tenant(index));
        let Some(who) = who.filter(|who| self.sessions.secret_of(*who) == Some(secret)) else {
            return self.pass_cancel(session, secret);
        };
        // What it names may have come before it over the other connection and still wait for its turn there.
        self.read_now(who);
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        if let Some(id) = live.closes() {
            live.session.answer(FinalAnswer::Cancelled, &mut live.conn.output);
            live.ready_us = self.time.now_us;
            self.left(id);
            self.client_messages(who);
        }
    }

    fn close_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.sessions.ledger.book(Kind::Requests, request.bytes(), 0);
        Some(request)
    }

    fn left(&mut self, id: RequestId) {
        if let Some(request) = self.close_request(id) {
            tracing::debug!(query_id = request.query_id, now_us = self.time.now_us, "left");
            self.counters.left += 1;
            self.inputs.push(Input::ClientLeft(id));
        }
    }

    /// The one place where a client's connection is closed.
    pub(super) fn client_lost(&mut self, who: Handle) {
        match self.sessions.table.remove(who) {
            Some(Ended::Hot(live)) => {
                self.sessions.unbook_live(&live);
                if let Some((_, timer)) = live.timer {
                    self.timers.cancel(timer);
                }
                live.conn.close(&self.poll);
                if let Some(id) = live.open {
                    self.left(id);
                }
            }
            Some(Ended::Cold(parked)) => {
                self.sessions.unbook_parked(&parked);
                self.poll.remove(parked.into_stream());
            }
            None => {}
        }
    }

    /// Passes the core's final answer on.
    pub(super) fn answer(&mut self, command: Command) {
        let (id, answer) = match command {
            Command::Serve(id, attempt) => match self.pools.results.get(&(id, attempt)) {
                Some(payload) => (id, FinalAnswer::Served(payload)),
                None => (id, FinalAnswer::Failed("the result is lost")),
            },
            Command::Reject(id, wait) => (id, FinalAnswer::Rejected(wait)),
            Command::Fail(id) => (id, FinalAnswer::Failed("the engines could not answer")),
            _ => return,
        };
        let Some(request) = self.requests.remove(id) else { return };
        self.sessions.ledger.book(Kind::Requests, request.bytes(), 0);
        tracing::debug!(
            query_id = request.query_id,
            now_us = self.time.now_us,
            how = answer.name(),
            "answered"
        );
        let (counter, ending) = match answer {
            FinalAnswer::Served(Payload::MySql(ResultSet::Wrong(_))) => {
                (&mut self.counters.failed, Ending::Failed)
            }
            FinalAnswer::Served(_) => (&mut self.counters.served, Ending::Served),
            FinalAnswer::Rejected(_) => (&mut self.counters.refused, Ending::Refused),
            FinalAnswer::Failed(_) | FinalAnswer::Cancelled => (&mut self.counters.failed, Ending::Failed),
        };
        *counter += 1;
        self.metrics.ended(request.class, ending);
        let who = request.client;
        let Some(live) = self.sessions.table.hot_mut(who) else { return };
        if live.open == Some(id) {
            live.closes();
            live.ready_us = self.time.now_us;
            live.session.answer(answer, &mut live.conn.output);
            self.client_messages(who);
        }
    }
}
