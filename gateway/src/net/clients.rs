//! Clients' side of the network: accepting, reading, answering.

use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::net::TcpStream;

use notchridge::interface::*;

use super::conn::{Conn, Phase, ReadEnd};
use super::{Alarm, FIRST_CONN, OWN_DESCRIPTORS, Request, Role, Server};
use crate::config::Names;
use crate::core::{Ask, Command, Input};
use crate::front::{Answer, Demand, Payload, Want, fields, mysql, pg};
use crate::mysql::{MAX_PACKET, ResultSet};

/// How long a client may take to start its session.
const START_US: u64 = 10_000_000;
/// How long the last bytes to a client may take.
const CLOSE_US: u64 = 5_000_000;

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
}

/// Which protocol a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// PostgreSQL.
    Pg,
    /// MySQL.
    MySql,
}

/// Tells a client that there is no room for it. It may have sent a request behind its start already, which
/// thereby is refused. What can't be written at once is not waited for.
fn turn_away(mut stream: TcpStream, front: Front) {
    let mut out = Vec::new();
    match front {
        Front::Pg => pg::Session::turn_away(&mut out),
        Front::MySql => mysql::Session::turn_away(&mut out),
    }
    let _ = stream.set_nonblocking(true);
    // Unread bytes would turn the close into a reset, and that would overtake the answer.
    let _ = io::Read::read(&mut stream, &mut [0; 4096]);
    let _ = io::Write::write(&mut stream, &out);
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
            _ => Session::Pg(pg::Session::new(key)),
        }
    }

    pub(super) fn accept(&mut self, front: Front) {
        loop {
            let listener = if front == Front::Pg { &self.pg } else { &self.mysql };
            let Some(listener) = listener else { return };
            match listener.accept() {
                Ok((stream, _)) if self.clients >= self.most_clients() => turn_away(stream, front),
                Ok((stream, _)) => {
                    let at = self.place();
                    let ahead = pg::MAX_MESSAGE.max(MAX_PACKET) + 1024;
                    match Conn::accepted(&self.poll, stream, at + FIRST_CONN, ahead) {
                        Ok(mut conn) => {
                            let key = (at as u32 + 1, self.secret());
                            let session = self.session(front, key, &mut conn.output);
                            let client = Client { session, key, open: None };
                            self.dirty.push(at);
                            let serial = self.put(at, conn, Role::Client(client));
                            self.alarms.push(Reverse((self.now_us + START_US, Alarm::ClientBy(at, serial))));
                            self.clients += 1;
                            self.counters.clients += 1;
                        }
                        Err(e) => {
                            tracing::warn!("a client could not be taken in: {e}");
                            self.free.push(at);
                        }
                    }
                }
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

    pub(super) fn client_read(&mut self, at: usize, end: ReadEnd) {
        self.client_messages(at);
        if end != ReadEnd::Later {
            self.client_lost(at);
        }
    }

    /// Reads messages until more must come or a request is open.
    fn client_messages(&mut self, at: usize) {
        self.dirty.push(at);
        loop {
            let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
            let Role::Client(client) = &mut peer.role else { return };
            let conn = &mut peer.conn;
            match client.session.read(&mut conn.input, &mut conn.output) {
                None => return,
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
                    return;
                }
                Some(Want::Close) => {
                    self.close_soon(at);
                    return;
                }
            }
        }
    }

    /// Closes a connection once all that was written is out, or when that takes too long.
    fn close_soon(&mut self, at: usize) {
        let by = self.now_us + CLOSE_US;
        if let Some(peer) = self.peer(at) {
            peer.conn.phase = Phase::Closing;
            let serial = peer.serial;
            self.alarms.push(Reverse((by, Alarm::ClientBy(at, serial))));
        }
    }

    /// A client that has not even started its session in time, or takes no more bytes, keeps others out.
    pub(super) fn client_late(&mut self, at: usize, serial: u64) {
        let late = self.peer(at).is_some_and(|p| match &p.role {
            Role::Client(c) => {
                p.serial == serial && (p.conn.phase == Phase::Closing || c.session.is_starting())
            }
            _ => false,
        });
        if late {
            self.client_lost(at);
        }
    }

    /// Takes a request, or turns it down where its fields name nothing that the settings know.
    fn demand(&mut self, at: usize, demand: Demand) {
        let fields = demand.fields;
        let judged = judge(&self.names, &fields);
        let (going, full) = (self.is_going(), self.requests.len() >= self.config.max_open);
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Client(client) = &mut peer.role else { return };
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
        let wait_us = fields.wait_ms.map_or(class_wait, |ms| ms.saturating_mul(1000));
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
        let (statement, run) = (demand.statement, demand.run);
        self.requests.insert(id, Request { client: at, ticket, class, statement, run });
        self.inputs.push(Input::Asked(id, ask));
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
        *match answer {
            Answer::Served(Payload::MySql(ResultSet::Wrong(_))) => &mut self.counters.failed,
            Answer::Served(_) => &mut self.counters.served,
            Answer::Refused(_) => &mut self.counters.refused,
            Answer::Failed(_) | Answer::Cancelled => &mut self.counters.failed,
        } += 1;
        let Some(peer) = self.peers.get_mut(request.client).and_then(Option::as_mut) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        if client.open == Some(id) {
            client.open = None;
            client.session.answer(answer, &mut peer.conn.output);
            self.client_messages(request.client);
        }
    }
}
