//! The listeners of both front ends: opening, handing over to a successor, accepting connections, and handling
//! descriptor exhaustion.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Protocol, Socket, Type};
use wrenhatch_sessions::read_scheduler::Work;

use super::poll::{Interest, Poll, Trigger};
use super::poll_key::PollKey;
use super::{NetTimer, ServeError, Server};
use crate::config::Config;

/// Pause in accepting clients after the system has run out of descriptors, if no session could be evicted and the
/// client could not be rejected.
const ACCEPT_PAUSE_US: u64 = 50_000;
/// EMFILE and ENFILE on Linux: the process or the machine has no descriptor left.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

/// A front end: a client protocol with a listener of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontEnd {
    /// The PostgreSQL frontend/backend protocol, version 3.
    PostgreSql,
    /// The MySQL client/server protocol.
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

/// The listeners of all front ends.
pub struct Listeners {
    pg: Option<TcpListener>,
    mysql: Option<TcpListener>,
    /// A spare descriptor. It is closed when no other descriptor is left, so that a client can be accepted and
    /// rejected.
    spare: Option<File>,
    /// The listeners are not polled.
    paused: bool,
    /// The successor accepts clients from the same queues.
    handed_over: bool,
}

const ACCEPT_INTEREST: Interest = Interest { read: true, write: false };
const NO_INTEREST: Interest = Interest { read: false, write: false };

impl Listeners {
    /// Opens a listener for each configured front end. A listener inherited from the predecessor is used if it has the
    /// configured address.
    ///
    /// # Errors
    /// Opening a listener, or adding it to the poller, failed.
    pub fn open(config: &Config, poll: &Poll, inherited: Vec<TcpListener>) -> Result<Self, ServeError> {
        let backlog = config.clients.backlog;
        let mut inherited = inherited;
        let mut listen = |address, front_end: FrontEnd| -> Result<TcpListener, ServeError> {
            let at = inherited.iter().position(|l| l.local_addr().is_ok_and(|a| a == address));
            let listener = match at {
                Some(at) => inherited.swap_remove(at),
                None => open_listener(address, backlog, config.admin.is_some())
                    .map_err(|e| ServeError::Listen(address, e))?,
            };
            poll.add(&listener, front_end.key(), ACCEPT_INTEREST, Trigger::Level)?;
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

    fn listener(&self, front_end: FrontEnd) -> Option<&TcpListener> {
        match front_end {
            FrontEnd::PostgreSql => self.pg.as_ref(),
            FrontEnd::MySql => self.mysql.as_ref(),
        }
    }

    /// Local address of a front end's listener; `None` if there is none.
    pub fn address(&self, front_end: FrontEnd) -> Option<String> {
        Some(self.listener(front_end)?.local_addr().ok()?.to_string())
    }

    /// Removes all listeners from the poller and closes them.
    pub fn close(&mut self, poll: &Poll) {
        for listener in [self.pg.take(), self.mysql.take()].into_iter().flatten() {
            poll.remove(&listener);
        }
    }

    fn set_interest(&mut self, poll: &Poll, interest: Interest) {
        self.paused = interest == NO_INTEREST;
        for front_end in [FrontEnd::PostgreSql, FrontEnd::MySql] {
            let changed =
                self.listener(front_end).map(|l| poll.change(l, front_end.key(), interest, Trigger::Level));
            if let Some(Err(error)) = changed {
                tracing::warn!(%error, "changing a listener's interest failed");
            }
        }
    }

    /// The open listeners, PostgreSQL first.
    pub fn all(&self) -> impl Iterator<Item = &TcpListener> {
        self.pg.iter().chain(&self.mysql)
    }

    /// Local address of the PostgreSQL listener, while it is open.
    pub fn pg_address(&self) -> Option<SocketAddr> {
        self.pg.as_ref()?.local_addr().ok()
    }

    /// Stops accepting clients, as the successor accepts from the same queues.
    pub fn hand_over(&mut self, poll: &Poll) {
        self.handed_over = true;
        self.set_interest(poll, NO_INTEREST);
    }

    /// Whether the successor accepts clients from the same queues.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over
    }

    /// Accepts clients again after the successor has ended.
    pub fn take_back(&mut self, poll: &Poll) {
        self.handed_over = false;
        self.resume(poll);
    }

    /// Accepts clients again after a pause, unless the successor accepts them.
    pub fn resume(&mut self, poll: &Poll) {
        if self.paused && !self.handed_over {
            self.set_interest(poll, ACCEPT_INTEREST);
        }
    }

    /// Accepts one connection by means of the spare descriptor, writes an error, and closes the connection. Returns
    /// false if there is no spare descriptor or no connection.
    fn reject_one(&mut self, front_end: FrontEnd, error: &[u8]) -> bool {
        if self.spare.take().is_none() {
            return false;
        }
        let rejected = match self.listener(front_end).map(TcpListener::accept) {
            Some(Ok((mut stream, _))) => {
                // The send buffer of a new connection is empty, so that the error fits into it. Errors are ignored:
                // they mean that the client has disconnected.
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

/// Opens a listener. With `shared`, other processes may listen at the same address (SO_REUSEPORT).
///
/// # Errors
/// Creating, binding or listening on the socket failed.
pub fn open_listener(address: SocketAddr, backlog: u32, shared: bool) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

impl Server {
    /// Accepts connections up to the read scheduler's limit for this turn. The poller reports the remaining ones again.
    /// Returns true if that limit was reached, and false if no connection can be accepted any more.
    pub(super) fn accept(&mut self, front_end: FrontEnd) -> bool {
        for _ in 0..self.sessions.scheduler.accept_limit() {
            let Some(listener) = self.listeners.listener(front_end) else { return false };
            match listener.accept() {
                Ok((stream, from)) => {
                    self.sessions.scheduler.charge(Work::Accept, 1);
                    self.accept_client(stream, from, front_end);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // The call was interrupted, or the connection was reset before it was accepted.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) if is_out_of_descriptors(&e) => {
                    if !self.handle_descriptor_exhaustion(front_end) {
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

    /// Handles descriptor exhaustion, which may occur within the descriptor budget if the system's limit is lower.
    /// Evicts a session. If none can be evicted, rejects the client by means of the spare descriptor. If that fails
    /// too, pauses the listeners, as the poller would report them at every wait. Returns false if they are paused.
    fn handle_descriptor_exhaustion(&mut self, front_end: FrontEnd) -> bool {
        if self.evict_one() {
            return true;
        }
        if self.listeners.reject_one(front_end, &super::sessions::too_many_clients(front_end)) {
            self.counters.turned_away += 1;
            return true;
        }
        tracing::warn!("no descriptor is left; accepting clients is paused");
        self.listeners.set_interest(&self.poll, NO_INTEREST);
        self.timers.arm(self.time.now_us + ACCEPT_PAUSE_US, NetTimer::Listeners);
        false
    }
}

/// Enables TCP keepalive with the configured parameters, if there are any. Keepalive detects a peer that vanished
/// without closing the connection.
///
/// # Errors
/// Setting the socket options failed.
pub fn set_tcp_keepalive(stream: &TcpStream, config: &Config) -> std::io::Result<()> {
    let Some(k) = &config.clients.keepalive else { return Ok(()) };
    let keepalive =
        socket2::TcpKeepalive::new().with_time(k.idle).with_interval(k.interval).with_retries(k.probes);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

#[cfg(test)]
mod tests;
