//! Clients' side of the network: taking in, reading, answering, parking.

use std::net::{SocketAddr, TcpStream};

use workload_manager::*;
use wrenhatch_sessions::memory_budget::{MemoryPressure, MemoryPurpose};
use wrenhatch_sessions::read_scheduler::{ScheduledRead, Work};
use wrenhatch_sessions::session_table::{Activity, Handle, RemovedSession};

use super::conn::{Conn, MOST_UNSENT, Phase, ReadEnd};
use super::listeners::{self, Front};
use super::poll::Interest;
use super::sessions::{CLOSE_US, Session, Sessions, UNFINISHED_US};
use super::{Request, Server, Timer};
use crate::admin::metrics::RequestEnd;
use crate::admission::{self, AdmissionInput, Admitted, Rejection, Subject};
use crate::core::{Command, Input, NewRequest};
use crate::front::fields::{self, Fields};
use crate::front::table_group;
use crate::front::{ClientCommand, ClientRequest, FinalAnswer, Payload};
use crate::mysql_protocol::ResultSet;

/// Clients beyond all places that are being told so.
const AWAY: usize = 12;
/// Sessions looked at in a row whose place another may have.
const MOST_SPARED: usize = 16;
/// Sessions closed in one turn to make memory free.
const RELIEVED: usize = 64;

impl Server {
    /// Gives a new client a place, if need be that of another which has less use for it. One that gets none is
    /// told so; it may have sent a request behind its start already, which thereby is refused.
    pub(super) fn take_in(&mut self, stream: TcpStream, from: SocketAddr, front: Front) {
        let now_us = self.time.now_us;
        let mut is_away = false;
        let full = self.sessions.is_full();
        let short = self.sessions.memory.check(MemoryPurpose::Sessions, Sessions::bytes_of_one()).is_err();
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
                    if let Some(live) = self.sessions.table.active_mut(who) {
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
            if self.sessions.table.active(who).is_some_and(|live| live.conn.is_cut_off()) {
                return self.client_lost(who);
            }
            self.sessions.queue(who, self.time.now_us);
        }
    }

    /// Reads those whose turn it is.
    pub(super) fn read_sessions(&mut self) {
        while let Some(pick) = self.sessions.scheduler.next_read(self.time.now_us) {
            if self.sessions.table.clear_queued(pick.handle) {
                self.visit(pick);
            }
        }
    }

    /// Reads a session now, whether or not its turn has come.
    pub(super) fn read_now(&mut self, who: Handle) {
        self.sessions.table.clear_queued(who);
        self.visit(ScheduledRead { handle: who, ready_us: self.time.now_us, read_ahead: false });
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
        let idle = |s: &Sessions| {
            s.table
                .activity(who)
                .is_some_and(|(u, _)| matches!(u, Activity::Idle | Activity::IdleWithStatements))
        };
        if idle(&self.sessions) {
            self.read_now(who);
            if let Some(live) = self.sessions.table.active(who) {
                if live.used() != Activity::Idle && live.used() != Activity::IdleWithStatements {
                    self.sessions.table.set_activity(who, live.used(), self.time.now_us);
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

    fn visit(&mut self, pick: ScheduledRead) {
        let who = pick.handle;
        if !self.sessions.wake(who, &self.config, self.time.now_us) {
            return;
        }
        let most = self.sessions.scheduler.limits().bytes_per_turn;
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        (live.ready_us, live.early, live.more) = (pick.ready_us, pick.read_ahead, false);
        let before = live.conn.input.len();
        let end = live.conn.fill(most);
        let read = live.conn.input.len().saturating_sub(before);
        live.more = end == ReadEnd::More;
        let open = live.conn.phase == Phase::Open;
        self.sessions.scheduler.charge(Work::Bytes, read);
        if open {
            self.client_messages(who);
        }
        if matches!(end, ReadEnd::Eof | ReadEnd::Broken) {
            return self.client_lost(who);
        }
        if let Some(live) = self.sessions.table.active_mut(who) {
            live.early = false;
        }
        self.sessions.touch(who);
    }

    /// Notes how far a client has got, and since when it owes what it owes.
    fn client_moved(&mut self, who: Handle, moved: bool) {
        let now_us = self.time.now_us;
        self.sessions.touch(who);
        let Some(live) = self.sessions.table.active_mut(who) else { return };
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
        let mut left = self.sessions.scheduler.limits().messages_per_turn;
        let mut moved = false;
        while left > 0 && self.client_message(who) {
            (left, moved) = (left - 1, true);
        }
        if left == 0 {
            if let Some(live) = self.sessions.table.active_mut(who) {
                live.more |= !live.conn.input.is_empty();
            }
        }
        self.client_moved(who, moved);
    }

    /// Reads one message; whether there was one.
    fn client_message(&mut self, who: Handle) -> bool {
        let Some(live) = self.sessions.table.active_mut(who) else { return false };
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
            Some(ClientCommand::Request(request)) => self.request_read(who, request),
            Some(ClientCommand::Prepare(fields)) => self.prepare(who, &fields),
            Some(ClientCommand::Cancel { session, secret }) => {
                self.close_soon(who);
                self.cancel(session, secret);
            }
            Some(ClientCommand::Close) => self.close_soon(who),
        }
        true
    }

    /// Says whether a statement may be prepared: the settings must know what it names, and there must be memory.
    fn prepare(&mut self, who: Handle, fields: &Fields) {
        let invalid = admission::subject(&self.names, fields).err();
        // What it takes is told with the rest of its session's when the turn is over; till then it counts twice.
        let Some(live) = self.sessions.table.active(who) else { return };
        let Session::MySql(session) = &live.session else { return };
        let room = self.sessions.memory.check(MemoryPurpose::Statements, session.pending_bytes()).is_ok();
        self.counters.invalid += u64::from(invalid.is_some());
        self.counters.no_memory += u64::from(invalid.is_none() && !room);
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        let out = &mut live.conn.output;
        match (&mut live.session, invalid) {
            (session, Some(invalid)) => session.reject(&invalid.to_string(), out),
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
        if let Some(live) = self.sessions.table.active_mut(who) {
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
        let Some(live) = self.sessions.table.active_mut(who) else { return };
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
        let Some(live) = self.sessions.table.active_mut(who) else { return };
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
        self.timers.reschedule(&mut live.timer, due_us, Timer::Client(who));
        let (used, since_us) = (live.used(), live.owes_us.unwrap_or(now_us));
        if live.has_more() {
            live.more = false;
            self.sessions.queue(who, now_us);
        }
        self.sessions.book(who);
        // One that waits for its turn may have a request to be read.
        let waits = matches!(used, Activity::Idle | Activity::IdleWithStatements)
            && self.sessions.table.is_queued(who);
        let used = if waits { Activity::Busy } else { used };
        self.sessions.table.set_activity(who, used, since_us);
        if matches!(used, Activity::Idle | Activity::IdleWithStatements) {
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
        let oldest =
            [Activity::Idle, Activity::IdleWithStatements].map(|used| self.sessions.table.oldest(used));
        if let Some(since_us) = oldest.into_iter().flatten().map(|(_, since_us)| since_us).min() {
            self.sessions.idle_timer = Some(self.timers.arm(since_us + limit_us, Timer::IdleLimit));
        }
    }

    /// Closes sessions that have been idle for longer than the operator lets them.
    pub(super) fn close_long_idle(&mut self) {
        self.sessions.idle_timer = None;
        let Some(limit_us) = self.config.clients.idle_limit_us else { return };
        for used in [Activity::Idle, Activity::IdleWithStatements] {
            while let Some((who, since_us)) = self.sessions.table.oldest(used) {
                if self.time.now_us < since_us + limit_us {
                    break;
                }
                if self.is_silent(who) {
                    // Nobody waits for its place: it ends when its client has seen that this side does.
                    self.close_soon(who);
                    self.sessions.table.set_activity(who, Activity::Closing, self.time.now_us);
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
            let pressure = self.sessions.memory.pressure();
            let oldest = |used| self.sessions.table.oldest(used).map(|(who, _)| who);
            let goes = match pressure {
                MemoryPressure::Normal => return,
                MemoryPressure::Elevated => oldest(Activity::IdleWithStatements),
                MemoryPressure::High => {
                    oldest(Activity::IdleWithStatements).or(oldest(Activity::IncompleteMessage))
                }
                MemoryPressure::Exhausted => oldest(Activity::IdleWithStatements)
                    .or(oldest(Activity::IncompleteMessage))
                    .or(oldest(Activity::UnreadOutput)),
            };
            let Some(who) = goes else { return };
            self.counters.no_memory += 1;
            let unfinished = self
                .sessions
                .table
                .activity(who)
                .is_some_and(|(used, _)| used == Activity::IncompleteMessage);
            match self.sessions.table.active_mut(who) {
                Some(live) if unfinished => {
                    live.session.out_of_memory(&mut live.conn.output);
                    self.close_soon(who);
                    self.settle_session(who);
                }
                _ => drop(self.close_unless_heard(who)),
            }
        }
    }

    /// Has a request admitted, rejected, or turned down as invalid: gathers what [`admission`] weighs, and carries out
    /// its verdict.
    fn request_read(&mut self, who: Handle, read: ClientRequest) {
        let ClientRequest { mut fields, statement, run } = read;
        let id_in_use = fields.id.as_ref().is_some_and(|id| self.requests.is_under_way(id));
        let query_id = fields.id.take().unwrap_or_else(|| self.sessions.new_query_id());
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        let Subject { class, tenant } = match admission::validate(&self.names, &fields, id_in_use) {
            Ok(subject) => subject,
            Err(invalid) => {
                self.counters.invalid += 1;
                live.session.reject(&invalid.to_string(), &mut live.conn.output);
                return;
            }
        };
        let (ready_us, early) = (live.ready_us, live.early);
        let token = fields.token.take();
        let request = Request { client: who, query_id, class, statement, token, run };
        let input = AdmissionInput {
            now_us: self.time.now_us,
            ready_us,
            wait_us: admission::wait_us(fields.wait_ms, self.config.settings.classes[class.0].deadline),
            work_ahead_us: if early { self.sessions.scheduler.backlog_us() } else { 0 },
            shutting_down: self.is_shutting_down(),
            open_requests: self.requests.open.len(),
            max_open_requests: self.config.max_open_requests,
            memory: self.sessions.memory.check(MemoryPurpose::Requests, request.bytes()),
        };
        match admission::admit(&input) {
            Ok(Admitted { deadline_us }) => {
                self.request_admitted(request, tenant, &fields, input.wait_us, deadline_us);
            }
            Err(rejection) => self.request_rejected(who, class, &rejection),
        }
    }

    fn request_rejected(&mut self, who: Handle, class: ClassId, rejection: &Rejection) {
        self.counters.refused += 1;
        self.metrics.ended(class, RequestEnd::Rejected);
        for counter in rejection.counters() {
            *self.counters.rejected_for(counter) += 1;
        }
        let retry_after = self.config.settings.capabilities.retry_after && rejection.sends_retry_after();
        let retry_after_ms = retry_after.then(|| self.sessions.scheduler.retry_after_ms(self.time.now_us));
        if let Some(live) = self.sessions.table.active_mut(who) {
            live.session.answer(FinalAnswer::Rejected(retry_after_ms), &mut live.conn.output);
        }
    }

    /// Hands a request to the core; from here on its client is owed an answer.
    fn request_admitted(
        &mut self,
        request: Request,
        tenant: Option<TenantId>,
        fields: &Fields,
        wait_us: u64,
        deadline_us: u64,
    ) {
        let now_us = self.time.now_us;
        let who = request.client;
        let id = self.requests.next();
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        live.opens(id);
        // A session that is owed an answer is never evicted.
        self.sessions.table.set_activity(who, Activity::Busy, now_us);
        if let Some(tenant) = tenant {
            self.sessions.set_tenant(who, tenant.0);
        }
        self.sessions.scheduler.charge(Work::Request, 1);
        self.counters.taken += 1;
        tracing::debug!(
            query_id = request.query_id,
            request = id.0,
            class = request.class.0,
            wait_us,
            estimate_ms = fields.estimate_ms,
            need_mb = fields.need_mb,
            key = fields.order_key.as_deref(),
            retry = fields.retry,
            now_us,
            "taken"
        );
        let new_request = NewRequest {
            class: request.class,
            tenant,
            deadline_us,
            estimated_work: fields.estimate_ms.map(|ms| ms / 1000.0),
            estimated_memory_mb: fields.need_mb.filter(|mb| *mb > 0.0),
            table_group: table_group::table_group(&request.statement).map(TableGroupId),
            key: fields.order_key.as_deref().map(fields::key_id),
            is_retry: fields.retry,
        };
        self.sessions.memory.reserve(MemoryPurpose::Requests, request.bytes());
        self.requests.insert(id, request);
        self.inputs.push(Input::RequestArrived { id, request: new_request });
    }

    /// Ends the request of the session that a CancelRequest names; its client waits no longer.
    pub(super) fn cancel(&mut self, session: u32, secret: u32) {
        let who = session.checked_sub(1).and_then(|index| self.sessions.table.handle_of_slot(index));
        let Some(who) = who.filter(|who| self.sessions.secret_of(*who) == Some(secret)) else {
            return self.forward_cancel_request(session, secret);
        };
        // What it names may have come before it over the other connection and still wait for its turn there.
        self.read_now(who);
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        if let Some(id) = live.closes() {
            live.session.answer(FinalAnswer::Cancelled, &mut live.conn.output);
            live.ready_us = self.time.now_us;
            self.left(id);
            self.client_messages(who);
        }
    }

    fn close_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.sessions.memory.release(MemoryPurpose::Requests, request.bytes());
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
            Some(RemovedSession::Active(live)) => {
                self.sessions.unbook_live(&live);
                if let Some((_, timer)) = live.timer {
                    self.timers.cancel(timer);
                }
                live.conn.close(&self.poll);
                if let Some(id) = live.open {
                    self.left(id);
                }
            }
            Some(RemovedSession::Suspended(parked)) => {
                self.sessions.unbook_parked(&parked);
                self.poll.remove(parked.into_stream());
            }
            None => {}
        }
    }

    /// Passes the core's final answer on.
    pub(super) fn answer(&mut self, command: Command) {
        let (id, answer) = match command {
            Command::Serve(attempt) => match self.pools.results.get(&attempt) {
                Some(payload) => (attempt.request, FinalAnswer::Served(payload)),
                None => (attempt.request, FinalAnswer::Failed("the result is lost")),
            },
            Command::Reject { request, retry_after_ms } => (request, FinalAnswer::Rejected(retry_after_ms)),
            Command::Fail(request) => (request, FinalAnswer::Failed("the engines could not answer")),
            _ => return,
        };
        let Some(request) = self.requests.remove(id) else { return };
        self.sessions.memory.release(MemoryPurpose::Requests, request.bytes());
        tracing::debug!(
            query_id = request.query_id,
            now_us = self.time.now_us,
            how = answer.name(),
            "answered"
        );
        let (counter, end) = match answer {
            FinalAnswer::Served(Payload::MySql(ResultSet::StatementError(_))) => {
                (&mut self.counters.failed, RequestEnd::Failed)
            }
            FinalAnswer::Served(_) => (&mut self.counters.served, RequestEnd::Served),
            FinalAnswer::Rejected(_) => (&mut self.counters.refused, RequestEnd::Rejected),
            FinalAnswer::Failed(_) | FinalAnswer::Cancelled => {
                (&mut self.counters.failed, RequestEnd::Failed)
            }
        };
        *counter += 1;
        self.metrics.ended(request.class, end);
        let who = request.client;
        let Some(live) = self.sessions.table.active_mut(who) else { return };
        if live.open == Some(id) {
            live.closes();
            live.ready_us = self.time.now_us;
            live.session.answer(answer, &mut live.conn.output);
            self.client_messages(who);
        }
    }
}
