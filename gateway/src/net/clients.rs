//! Clients' side of the network: accepting, reading, answering.

use std::cmp::Reverse;
use std::io::ErrorKind;
use std::net::TcpStream;

use notchridge::interface::*;

use super::conn::{Conn, MOST_UNSENT, Phase, ReadEnd};
use super::places::{self, Use};
use super::{Alarm, FIRST_CONN, OWN_DESCRIPTORS, Request, Role, Server};
use crate::config::Names;
use crate::core::{Ask, Command, Input};
use crate::front::{Answer, Demand, Payload, Want, fields, mysql, pg};
use crate::mysql::{MAX_PACKET, ResultSet};

/// How long a client may take to start its session, and to end a message that it began: it is owed a word
/// within 3 s.
const UNFINISHED_US: u64 = 2_500_000;
/// How long a client has for reading its last word, and for sending what is thrown away meanwhile.
const CLOSE_US: u64 = 4_000_000;
/// Clients taken in at once: what those before have sent is looked at between.
const ACCEPTS: usize = 32;
/// Clients beyond all places that are being told so.
const AWAY: usize = 12;
/// Share of the memory for messages being read. Each is held up to three times: read, kept for another
/// attempt, being written.
const MESSAGES: usize = 8;
const LONGEST_MESSAGE: std::ops::RangeInclusive<usize> = 8 * 1024..=MAX_PACKET;

/// A session of either front.
enum Session {
    Pg(pg::Session),
    MySql(Box<mysql::Session>),
}

impl Session {
    fn read(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Option<Want> {
        match self {
            Session::Pg(s) => s.read(input, out),
            Session::MySql(s) => s.read(input, out),
        }
    }

    fn is_starting(&self) -> bool {
        match self {
            Session::Pg(s) => s.is_starting(),
            Session::MySql(s) => s.is_starting(),
        }
    }

    fn turn_away(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.turn_away(out),
            Session::MySql(s) => s.turn_away(out),
        }
    }

    fn time_out(&mut self, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.time_out(out),
            Session::MySql(s) => s.time_out(out),
        }
    }

    fn reject(&mut self, text: &str, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.reject(text, out),
            Session::MySql(s) => s.reject(text, out),
        }
    }

    fn answer(&mut self, answer: Answer<'_>, out: &mut Vec<u8>) {
        match self {
            Session::Pg(s) => s.answer(answer, out),
            Session::MySql(s) => s.answer(answer, out),
        }
    }
}

/// A client's session.
pub struct Client {
    session: Session,
    key: (u32, u32),
    open: Option<RequestId>,
    /// When it last got on: came, ended a message, was answered.
    moved_us: u64,
    /// Since when it has owed the rest of its start or of a message, or its end; an alarm is set for then.
    owes_us: Option<u64>,
}

impl Client {
    fn used(&self, conn: &Conn) -> Use {
        match self.owes_us {
            Some(since) if conn.phase == Phase::Closing => Use::Told(since),
            _ if self.open.is_some() => Use::Busy,
            Some(since) => Use::Unfinished(since),
            None if !conn.output.is_empty() => Use::Unread(self.moved_us),
            None => Use::Idle(self.moved_us),
        }
    }
}

/// Which protocol a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// PostgreSQL.
    Pg,
    /// MySQL.
    MySql,
}

/// What the settings call these fields.
fn judge(names: &Names, fields: &fields::Fields) -> Result<(ClassId, Option<TenantId>), &'static str> {
    let class = names.classes.iter().position(|c| *c == fields.class).ok_or("unknown class")?;
    let tenant = |t: &String| names.tenants.iter().position(|n| n == t).ok_or("unknown tenant");
    Ok((ClassId(class), fields.tenant.as_ref().map(tenant).transpose()?.map(TenantId)))
}

impl Server {
    /// Clients hold a third of the descriptors at most by contract; a few more are let in, and what is left
    /// is enough for an attempt of each of them with its calls beside.
    fn most_clients(&self) -> usize {
        self.config.sockets / 3 + 16
    }

    /// Connections that engines may have.
    pub(super) fn most_engine_conns(&self) -> usize {
        self.config.sockets.saturating_sub(self.most_clients() + OWN_DESCRIPTORS)
    }

    /// The longest message taken from a client, so that all of them fit into memory.
    fn longest_message(&self) -> usize {
        let share = self.config.memory / MESSAGES / self.most_clients();
        share.clamp(*LONGEST_MESSAGE.start(), *LONGEST_MESSAGE.end())
    }

    /// A number that no client can guess: a multiplicative sequence over a seed of this start.
    fn secret(&mut self) -> u32 {
        self.secrets =
            self.secrets.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.secrets >> 32) as u32
    }

    fn session(&mut self, front: Front, key: (u32, u32), out: &mut Vec<u8>) -> Session {
        match (front, &self.config.mysql) {
            (Front::MySql, Some(m)) => {
                let directory = m.directory.clone();
                let mut scramble = [0; 20];
                for part in scramble.chunks_mut(4) {
                    part.copy_from_slice(&self.secret().to_le_bytes());
                }
                let handles = self.handles.clone();
                Session::MySql(Box::new(mysql::Session::new(key.0, scramble, directory, handles, out)))
            }
            _ => Session::Pg(pg::Session::new(key, self.longest_message())),
        }
    }

    pub(super) fn accept(&mut self, front: Front) {
        for _ in 0..ACCEPTS {
            let listener = if front == Front::Pg { &self.pg } else { &self.mysql };
            let Some(listener) = listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.take_in(stream, front),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    if e.kind() != ErrorKind::WouldBlock {
                        tracing::warn!("accept: {e}");
                    }
                    return;
                }
            }
        }
    }

    /// Gives a new client a place, if need be that of another which has less use for it. One that gets none is
    /// told so; it may have sent a request behind its start already, which thereby is refused.
    fn take_in(&mut self, stream: TcpStream, front: Front) {
        let mut is_away = false;
        if self.clients >= self.most_clients() {
            match self.yielding() {
                Some(at) => {
                    self.counters.evicted += 1;
                    self.client_lost(at);
                }
                None if self.clients < self.most_clients() + AWAY => is_away = true,
                None => return,
            }
        }
        let at = self.place();
        match Conn::accepted(&self.poll, stream, at + FIRST_CONN, self.longest_message() + 1024) {
            Ok(mut conn) => {
                let key = (at as u32 + 1, self.secret());
                let mut session = self.session(front, key, &mut conn.output);
                if is_away {
                    session.turn_away(&mut conn.output);
                }
                let client = Client { session, key, open: None, moved_us: self.now_us, owes_us: None };
                self.put(at, conn, Role::Client(client));
                self.clients += 1;
                self.counters.clients += 1;
                if is_away {
                    self.counters.turned_away += 1;
                    self.close_soon(at);
                }
                self.client_moved(at, true);
            }
            Err(e) => {
                tracing::warn!("a client could not be taken in: {e}");
                self.free.push(at);
            }
        }
    }

    /// The client whose place another may have.
    fn yielding(&self) -> Option<usize> {
        let used = |(at, p): (usize, &Option<super::Peer>)| match p.as_ref() {
            Some(super::Peer { conn, role: Role::Client(client), .. }) => Some((at, client.used(conn))),
            _ => None,
        };
        places::yields(self.peers.iter().enumerate().filter_map(used), self.now_us)
    }

    /// Notes how far a client has got, and sets a limit to what it owes.
    fn client_moved(&mut self, at: usize, moved: bool) {
        self.dirty.push(at);
        let now_us = self.now_us;
        let Some(super::Peer { conn, role: Role::Client(client), serial }) =
            self.peers.get_mut(at).and_then(Option::as_mut)
        else {
            return;
        };
        if conn.phase == Phase::Closing {
            return;
        }
        if moved {
            client.moved_us = now_us;
        }
        let owes = client.session.is_starting() || (client.open.is_none() && !conn.input.is_empty());
        // A start has one limit, whatever comes before its end.
        let anew = moved && !client.session.is_starting();
        if owes && (anew || client.owes_us.is_none()) {
            client.owes_us = Some(now_us);
            self.alarms.push(Reverse((now_us + UNFINISHED_US, Alarm::ClientBy(at, *serial))));
        } else if !owes {
            client.owes_us = None;
        }
    }

    pub(super) fn client_read(&mut self, at: usize, end: ReadEnd) {
        if self.peer(at).is_some_and(|p| p.conn.phase == Phase::Open) {
            self.client_messages(at);
        }
        if end != ReadEnd::Later {
            self.client_lost(at);
        }
    }

    /// Reads messages until more must come, a request is open or the client has answers to read.
    pub(super) fn client_messages(&mut self, at: usize) {
        let mut moved = false;
        while self.client_message(at) {
            moved = true;
        }
        self.client_moved(at, moved);
    }

    /// Reads one message; whether there was one.
    fn client_message(&mut self, at: usize) -> bool {
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return false };
        let Role::Client(client) = &mut peer.role else { return false };
        let conn = &mut peer.conn;
        if conn.phase != Phase::Open || conn.output.len() > MOST_UNSENT {
            return false;
        }
        let before = conn.input.len();
        match client.session.read(&mut conn.input, &mut conn.output) {
            None => return conn.input.len() < before,
            Some(Want::Invalid) => self.counters.invalid += 1,
            Some(Want::Answer(demand)) => self.demand(at, demand),
            Some(Want::Judge(fields)) => {
                let wrong = judge(&self.names, &fields).err();
                self.counters.invalid += u64::from(wrong.is_some());
                match (&mut client.session, wrong) {
                    (session, Some(wrong)) => session.reject(wrong, &mut conn.output),
                    (Session::MySql(session), None) => session.judged(&mut conn.output),
                    (Session::Pg(_), None) => {}
                }
            }
            Some(Want::Cancel { session, secret }) => {
                self.close_soon(at);
                self.cancel(session, secret);
            }
            Some(Want::Close) => self.close_soon(at),
        }
        true
    }

    /// Closes a connection once all that was written is out and the other side has ended too, or when that
    /// takes too long.
    fn close_soon(&mut self, at: usize) {
        let now_us = self.now_us;
        if let Some(super::Peer { conn, role: Role::Client(client), serial }) =
            self.peers.get_mut(at).and_then(Option::as_mut)
        {
            conn.phase = Phase::Closing;
            conn.input = Vec::new();
            client.owes_us = Some(now_us);
            self.alarms.push(Reverse((now_us + CLOSE_US, Alarm::ClientBy(at, *serial))));
        }
    }

    /// A client that has not started its session in time, or has begun a message and not ended it, is told so
    /// and keeps others out no longer; nor does one that takes no more bytes.
    pub(super) fn client_late(&mut self, at: usize, serial: u64) {
        let now_us = self.now_us;
        let Some(peer) = self.peer(at).filter(|p| p.serial == serial) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        let Some(since) = client.owes_us else { return };
        if peer.conn.phase == Phase::Closing {
            if now_us >= since + CLOSE_US {
                self.client_lost(at);
            }
        } else if now_us >= since + UNFINISHED_US {
            client.session.time_out(&mut peer.conn.output);
            self.counters.timed_out += 1;
            self.close_soon(at);
            self.dirty.push(at);
        }
    }

    /// Takes a request, or turns it down where its fields name nothing that the settings know.
    fn demand(&mut self, at: usize, demand: Demand) {
        let fields = demand.fields;
        let judged = judge(&self.names, &fields);
        let (going, full) = (self.is_going(), self.requests.len() >= self.config.max_open);
        let taken = fields.id.as_ref().is_some_and(|id| self.is_open(id));
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        // Engines know a query by its id alone: calls for one of two with the same would strike the other.
        let judged = if taken { Err("the id is that of a request that is open") } else { judged };
        let (class, tenant) = match judged {
            Ok(named) => named,
            Err(wrong) => {
                self.counters.invalid += 1;
                client.session.reject(wrong, &mut peer.conn.output);
                return;
            }
        };
        if going || full {
            // Nothing was sent: trying again, elsewhere for one that ends, is harmless.
            self.counters.refused += 1;
            client.session.answer(Answer::Refused(None), &mut peer.conn.output);
            return;
        }
        let class_wait = (self.config.settings.classes[class.0].deadline * 1e6) as u64;
        // Nobody waits for longer than its class does, and timers of a day would be kept for a day.
        let wait_us = fields.wait_ms.map_or(class_wait, |ms| ms.saturating_mul(1000)).min(class_wait);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        client.open = Some(id);
        let ask = Ask {
            class,
            tenant,
            deadline_us: self.now_us.saturating_add(wait_us),
            estimate: fields.estimate_ms.map(|ms| ms / 1000.0),
            need_mb: fields.need_mb.filter(|mb| *mb > 0.0),
            group: crate::front::fields::table_group(&demand.statement).map(GroupId),
        };
        self.counters.taken += 1;
        let ticket = fields.id.unwrap_or_else(|| format!("{:08x}{:08x}", self.secret(), self.secret()));
        let (estimate_ms, need_mb) = (fields.estimate_ms, fields.need_mb);
        tracing::debug!(
            ticket,
            class = class.0,
            wait_us,
            estimate_ms,
            need_mb,
            now_us = self.now_us,
            "taken"
        );
        let (statement, run) = (demand.statement, demand.run);
        self.requests.insert(id, Request { client: at, ticket, class, statement, run });
        self.inputs.push(Input::Asked(id, ask));
    }

    /// Whether a request or an attempt with this id is under way.
    fn is_open(&self, id: &str) -> bool {
        self.requests.values().any(|r| r.ticket.eq_ignore_ascii_case(id)) || self.is_out(id)
    }

    /// Ends the request of the session that a CancelRequest names; its client waits no longer.
    fn cancel(&mut self, session: u32, secret: u32) {
        let at = (session as usize).wrapping_sub(1);
        let Some(peer) = self.peer(at) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        if client.key != (session, secret) {
            return;
        }
        if let Some(id) = client.open.take() {
            client.session.answer(Answer::Cancelled, &mut peer.conn.output);
            self.left(id);
            self.client_messages(at);
        }
    }

    fn left(&mut self, id: RequestId) {
        if self.requests.remove(&id).is_some() {
            self.counters.left += 1;
            self.inputs.push(Input::Left(id));
        }
    }

    pub(super) fn client_lost(&mut self, at: usize) {
        if let Some(Role::Client(Client { open: Some(id), .. })) = self.close(at) {
            self.left(id);
        }
    }

    /// Passes the core's final answer on.
    pub(super) fn answer(&mut self, command: Command) {
        let (id, answer) = match command {
            Command::Serve(id, attempt) => match self.results.get(&(id, attempt)) {
                Some(payload) => (id, Answer::Served(payload)),
                None => (id, Answer::Failed("the result is lost")),
            },
            Command::Refuse(id, wait) => (id, Answer::Refused(wait)),
            Command::Fail(id) => (id, Answer::Failed("the engines could not answer")),
            _ => return,
        };
        let Some(request) = self.requests.remove(&id) else { return };
        tracing::debug!(ticket = request.ticket, now_us = self.now_us, how = answer.name(), "answered");
        *match answer {
            Answer::Served(Payload::MySql(ResultSet::Wrong(_))) => &mut self.counters.failed,
            Answer::Served(_) => &mut self.counters.served,
            Answer::Refused(_) => &mut self.counters.refused,
            Answer::Failed(_) | Answer::Cancelled => &mut self.counters.failed,
        } += 1;
        let Some(peer) = self.peers.get_mut(request.client).and_then(Option::as_mut) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        if client.open == Some(id) {
            (client.open, client.moved_us) = (None, self.now_us);
            client.session.answer(answer, &mut peer.conn.output);
            self.client_messages(request.client);
        }
    }
}
