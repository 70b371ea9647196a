//! Listeners, and what happens when no descriptor is left for a new connection.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Protocol, Socket, Type};
use wrenhatch_sessions::read_scheduler::Work;

use super::poll::{Interest, Poll, Trigger};
use super::poll_key::PollKey;
use super::{NetTimer, ServeError, Server};
use crate::config::Config;

/// How long no client is accepted once the system has no descriptor left and no session can be evicted.
const ACCEPT_PAUSE_US: u64 = 50_000;
/// EMFILE and ENFILE on Linux: the process, or the machine, has no descriptor left.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

/// The protocol that clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontEnd {
    /// PostgreSQL.
    PostgreSql,
    /// MySQL.
    MySql,
}

impl FrontEnd {
    fn key(self) -> u64 {
        match self {
            FrontEnd::PostgreSql => PollKey::PostgreSqlListener.encode(),
            FrontEnd::MySql => PollKey::MySqlListener.encode(),
        }
    }
}

/// The listeners.
pub struct Listeners {
    pg: Option<TcpListener>,
    mysql: Option<TcpListener>,
    /// A descriptor kept in reserve, so that a client can be accepted and rejected when there is no other.
    spare: Option<File>,
    /// No client is accepted for the moment.
    paused: bool,
    /// The successor accepts clients.
    handed_over: bool,
}

const ACCEPTS: Interest = Interest { read: true, write: false };
const NOTHING: Interest = Interest { read: false, write: false };

impl Listeners {
    /// Listens at the configured addresses, with the listeners inherited from the predecessor where it has these.
    ///
    /// # Errors
    /// An address can't be listened at, or the poller refuses.
    pub fn open(config: &Config, poll: &Poll, inherited: Vec<TcpListener>) -> Result<Self, ServeError> {
        let backlog = config.clients.backlog;
        let mut inherited = inherited;
        let mut listen = |address, front: FrontEnd| -> Result<TcpListener, ServeError> {
            let at = inherited.iter().position(|l| l.local_addr().is_ok_and(|a| a == address));
            let listener = match at {
                Some(at) => inherited.swap_remove(at),
                None => listener(address, backlog, config.admin.is_some())
                    .map_err(|e| ServeError::Listen(address, e))?,
            };
            poll.add(&listener, front.key(), ACCEPTS, Trigger::Level)?;
            Ok(listener)
        };
        Ok(Self {
            pg: Some(listen(config.listen, FrontEnd::PostgreSql)?),
            mysql: config.mysql.as_ref().map(|m| listen(m.listen, FrontEnd::MySql)).transpose()?,
            spare: File::open("/dev/null").ok(),
            paused: false,
            handed_over: false,
        })
    }

    fn listener(&self, front: FrontEnd) -> Option<&TcpListener> {
        match front {
            FrontEnd::PostgreSql => self.pg.as_ref(),
            FrontEnd::MySql => self.mysql.as_ref(),
        }
    }

    /// Where a front end listens.
    pub fn address(&self, front: FrontEnd) -> Option<String> {
        Some(self.listener(front)?.local_addr().ok()?.to_string())
    }

    /// Closes the listeners.
    pub fn close(&mut self, poll: &Poll) {
        for listener in [self.pg.take(), self.mysql.take()].into_iter().flatten() {
            poll.remove(&listener);
        }
    }

    fn set_interest(&mut self, poll: &Poll, interest: Interest) {
        self.paused = interest == NOTHING;
        for front in [FrontEnd::PostgreSql, FrontEnd::MySql] {
            let changed = self.listener(front).map(|l| poll.change(l, front.key(), interest, Trigger::Level));
            if let Some(Err(error)) = changed {
                tracing::warn!(%error, "changing a listener's interest failed");
            }
        }
    }

    /// All listeners.
    pub fn all(&self) -> impl Iterator<Item = &TcpListener> {
        self.pg.iter().chain(&self.mysql)
    }

    /// Where PostgreSQL clients connect.
    pub fn pg_address(&self) -> Option<SocketAddr> {
        self.pg.as_ref()?.local_addr().ok()
    }

    /// The successor accepts from the same queues: no client is accepted here.
    pub fn hand_over(&mut self, poll: &Poll) {
        self.handed_over = true;
        self.set_interest(poll, NOTHING);
    }

    /// Whether the successor accepts from these queues.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over
    }

    /// The successor has ended.
    pub fn take_back(&mut self, poll: &Poll) {
        self.handed_over = false;
        self.resume(poll);
    }

    /// Accepts clients again after a pause.
    pub fn resume(&mut self, poll: &Poll) {
        if self.paused && !self.handed_over {
            self.set_interest(poll, ACCEPTS);
        }
    }

    /// Accepts one connection with the spare descriptor, writes an error, and closes it. False if that can't be done.
    fn reject_one(&mut self, front: FrontEnd, error: &[u8]) -> bool {
        if self.spare.take().is_none() {
            return false;
        }
        let rejected = match self.listener(front).map(TcpListener::accept) {
            Some(Ok((mut stream, _))) => {
                // Its buffer is empty, so this never waits; and a client that is gone needs no error.
                let _ = stream.set_nonblocking(true);
                let _ = stream.write(error);
                let _ = stream.shutdown(Shutdown::Write);
                true
            }
            _ => false,
        };
        self.spare = File::open("/dev/null").ok();
        rejected
    }
}

/// Whether the process, or the machine, has no descriptor left.
pub fn is_out_of_descriptors(e: &std::io::Error) -> bool {
    e.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}

/// A listener at an address. Where that is shared, another process may listen at it too.
///
/// # Errors
/// The system refuses.
pub fn listener(address: SocketAddr, backlog: u32, shared: bool) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

impl Server {
    /// Accepts as many connections as the turn can carry; for the rest the poller has another event. False once none
    /// waits any more.
    pub(super) fn accept(&mut self, front: FrontEnd) -> bool {
        for _ in 0..self.sessions.scheduler.accept_limit() {
            let Some(listener) = self.listeners.listener(front) else { return false };
            match listener.accept() {
                Ok((stream, from)) => {
                    self.sessions.scheduler.charge(Work::Accept, 1);
                    self.accept_client(stream, from, front);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // The connection was reset before it was accepted; the next one may be there.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) if is_out_of_descriptors(&e) => {
                    if !self.find_descriptor(front) {
                        return false;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a client connection failed");
                    return false;
                }
            }
        }
        true
    }

    /// The system has no descriptor left, whatever the budget says. An evicted session gives one; else the client is
    /// rejected over the spare one; else the listeners pause, as the loop would spin.
    fn find_descriptor(&mut self, front: FrontEnd) -> bool {
        if self.evict_one() {
            return true;
        }
        if self.listeners.reject_one(front, &super::sessions::too_many_clients(front)) {
            self.counters.turned_away += 1;
            return true;
        }
        tracing::warn!("no descriptor is left; accepting clients is paused");
        self.listeners.set_interest(&self.poll, NOTHING);
        self.timers.arm(self.time.now_us + ACCEPT_PAUSE_US, NetTimer::Listeners);
        false
    }
}

/// Has the system probe an idle connection, where the operator configures that: its other end may vanish without a
/// reset.
///
/// # Errors
/// The system refuses.
pub fn keep_alive(stream: &TcpStream, config: &Config) -> std::io::Result<()> {
    let Some(k) = &config.clients.keepalive else { return Ok(()) };
    let probing =
        socket2::TcpKeepalive::new().with_time(k.idle).with_interval(k.interval).with_retries(k.probes);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probing)
}

#[cfg(test)]
mod tests;
