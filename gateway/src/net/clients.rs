//! Clients' side of the network: accepting, reading, answering.

use std::io::ErrorKind;

use notchridge::interface::*;

use super::conn::{Conn, Phase, ReadEnd};
use super::{FIRST_CONN, OWN_DESCRIPTORS, Request, Role, Server};
use crate::core::{Ask, Command, Input};
use crate::front::pg::{self, Want};
use crate::front::{Answer, Demand};

/// A client's session.
pub struct Client {
    session: pg::Session,
    key: (u32, u32),
    open: Option<RequestId>,
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

    pub(super) fn accept(&mut self) {
        loop {
            let Some(listener) = &self.pg else { return };
            match listener.accept() {
                // One too many is closed at once: it has been told nothing, so it lost nothing.
                Ok((stream, _)) if self.clients >= self.most_clients() => drop(stream),
                Ok((stream, _)) => {
                    let at = self.place();
                    let ahead = pg::MAX_MESSAGE + 1024;
                    match Conn::accepted(&self.poll, stream, at + FIRST_CONN, ahead) {
                        Ok(conn) => {
                            // A multiplicative sequence over a seed that no client knows.
                            self.secrets = self
                                .secrets
                                .wrapping_mul(6_364_136_223_846_793_005)
                                .wrapping_add(1_442_695_040_888_963_407);
                            let key = (at as u32 + 1, (self.secrets >> 32) as u32);
                            let client = Client { session: pg::Session::new(key), key, open: None };
                            self.put(at, conn, Role::Client(client));
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
                Some(Want::Cancel { session, secret }) => {
                    conn.phase = Phase::Closing;
                    self.cancel(session, secret);
                    return;
                }
                Some(Want::Close) => {
                    conn.phase = Phase::Closing;
                    return;
                }
            }
        }
    }

    /// Takes a request, or turns it down where its fields name nothing that the settings know.
    fn demand(&mut self, at: usize, demand: Demand) {
        let fields = demand.fields;
        let class = self.names.classes.iter().position(|c| *c == fields.class);
        let tenant = fields.tenant.as_ref().map(|t| self.names.tenants.iter().position(|n| n == t));
        let wrong = match (class, tenant) {
            (None, _) => Some("unknown class"),
            (_, Some(None)) => Some("unknown tenant"),
            _ => None,
        };
        let (going, full) = (self.is_going(), self.requests.len() >= self.config.max_open);
        let Some(peer) = self.peers.get_mut(at).and_then(Option::as_mut) else { return };
        let Role::Client(client) = &mut peer.role else { return };
        if let Some(wrong) = wrong {
            self.counters.invalid += 1;
            client.session.reject(wrong, &mut peer.conn.output);
            return;
        }
        if going || full {
            // Nothing was sent: trying again, elsewhere for one that ends, is harmless.
            self.counters.refused += 1;
            client.session.answer(Answer::Refused(None), &mut peer.conn.output);
            return;
        }
        let class = ClassId(class.unwrap_or(0));
        let class_wait = (self.config.settings.classes[class.0].deadline * 1e6) as u64;
        let wait_us = fields.wait_ms.map_or(class_wait, |ms| ms.saturating_mul(1000));
        let id = RequestId(self.next_request);
        self.next_request += 1;
        client.open = Some(id);
        let ask = Ask {
            class,
            tenant: tenant.flatten().map(TenantId),
            deadline_us: self.now_us.saturating_add(wait_us),
            estimate: fields.estimate_ms.map(|ms| ms / 1000.0),
            need_mb: fields.need_mb.filter(|mb| *mb > 0.0),
            group: crate::front::fields::table_group(&demand.statement).map(GroupId),
        };
        self.counters.taken += 1;
        let ticket = fields.id.unwrap_or_default();
        self.requests.insert(id, Request { client: at, ticket, class, statement: demand.statement });
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
            client.session.answer(Answer::Failed("cancelled by the client"), &mut peer.conn.output);
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
                Some(rows) => (id, Answer::Served(rows)),
                None => (id, Answer::Failed("the result is lost")),
            },
            Command::Refuse(id, wait) => (id, Answer::Refused(wait)),
            Command::Fail(id) => (id, Answer::Failed("the engines could not answer")),
            _ => return,
        };
        let Some(request) = self.requests.remove(&id) else { return };
        *match answer {
            Answer::Served(_) => &mut self.counters.served,
            Answer::Refused(_) => &mut self.counters.refused,
            Answer::Failed(_) => &mut self.counters.failed,
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
