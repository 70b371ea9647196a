//! The operators' door: its listener, its callers, and what their calls do.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

use wrenhatch_sessions::timer_wheel::TimerId;

use super::conn::{Conn, Phase, ReadEnd};
use super::poll::{Interest, Poll, Told};
use super::{OPS, OPS_LISTENER, ServeError, Server, Timer};
use crate::discovery::UnknownEngine;
use crate::metrics::Now;
use crate::ops::{self, Call, No};
use crate::process_replacement::Message;

/// Callers at once. Where there are more, the one that has owed a whole call for longest makes room.
pub const MOST_CALLERS: usize = 16;
/// A caller that has not ended its call, or not read its answer, by then is closed.
const PATIENCE_US: u64 = 5_000_000;

struct Caller {
    conn: Conn,
    serial: u32,
    since_us: u64,
    answered: bool,
}

/// The door and who stands in it, in the order in which they came.
#[derive(Default)]
pub struct Ops {
    listener: Option<TcpListener>,
    callers: Vec<Caller>,
    serials: u32,
    timer: Option<TimerId>,
}

impl Ops {
    /// Listens at the address, where the configuration names one.
    pub fn open(address: Option<SocketAddr>, poll: &Poll) -> Result<Self, ServeError> {
        let Some(address) = address else { return Ok(Self::default()) };
        let failed = |e| ServeError::Listen(address, e);
        let listener = super::listeners::listener(address, 64, false).map_err(failed)?;
        poll.add(&listener, OPS_LISTENER, Interest { read: true, write: false }, Told::Always)?;
        Ok(Self { listener: Some(listener), ..Self::default() })
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Whether an answer is still to be written or read.
    pub fn is_answering(&self) -> bool {
        self.callers.iter().any(|c| c.answered && !c.conn.output.is_empty())
    }

    fn at(&self, key: u64) -> Option<usize> {
        self.callers.iter().position(|c| OPS | u64::from(c.serial) == key)
    }

    fn close(&mut self, poll: &Poll, at: usize) {
        self.callers.remove(at).conn.close(poll);
    }
}

impl Server {
    pub(super) fn accept_callers(&mut self) {
        for _ in 0..MOST_CALLERS {
            let Some(listener) = &self.ops.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(_) => return,
            };
            if self.ops.callers.len() >= MOST_CALLERS {
                // Who has got an answer is done but for reading it; next goes who has owed a call for longest.
                let done = self.ops.callers.iter().position(|c| c.answered && c.conn.output.is_empty());
                let oldest = done.or_else(|| self.ops.callers.iter().position(|c| !c.answered)).unwrap_or(0);
                self.ops.close(&self.poll, oldest);
            }
            self.ops.serials = self.ops.serials.wrapping_add(1);
            let (serial, since_us) = (self.ops.serials, self.time.now_us);
            match Conn::accepted(&self.poll, stream, OPS | u64::from(serial), ops::LONGEST_CALL) {
                Ok(conn) => self.ops.callers.push(Caller { conn, serial, since_us, answered: false }),
                Err(e) => tracing::warn!("an operator's call could not be taken in: {e}"),
            }
            self.caller_ready(OPS | u64::from(serial));
        }
    }

    pub(super) fn caller_ready(&mut self, key: u64) {
        let Some(at) = self.ops.at(key) else { return };
        let caller = &mut self.ops.callers[at];
        let end = caller.conn.fill(2 * ops::LONGEST_CALL);
        if !caller.answered {
            let call = ops::read(&caller.conn.input);
            if let Some(answer) = call.map(|call| call.map(|call| self.called(call))).transpose() {
                let answer = answer.and_then(|a| a);
                let caller = &mut self.ops.callers[at];
                ops::answer(answer.as_deref().map_err(|no| *no), &mut caller.conn.output);
                (caller.answered, caller.conn.phase) = (true, Phase::Closing);
            }
        }
        let caller = &mut self.ops.callers[at];
        let gone =
            matches!(end, ReadEnd::Eof | ReadEnd::Broken) && (!caller.answered || end == ReadEnd::Broken);
        let ended = caller.answered && end == ReadEnd::Eof;
        let broken = caller.conn.flush().is_err() || caller.conn.update(&self.poll, key).is_err();
        if gone || broken || (ended && caller.conn.output.is_empty()) {
            self.ops.close(&self.poll, at);
        }
        self.await_callers();
    }

    /// Closes who has been there for too long.
    pub(super) fn callers_late(&mut self) {
        self.ops.timer = None;
        while self.ops.callers.first().is_some_and(|c| self.time.now_us >= c.since_us + PATIENCE_US) {
            self.ops.close(&self.poll, 0);
        }
        self.await_callers();
    }

    fn await_callers(&mut self) {
        if let (None, Some(first)) = (self.ops.timer, self.ops.callers.first()) {
            self.ops.timer = Some(self.timers.arm(first.since_us + PATIENCE_US, Timer::Callers));
        }
    }

    fn called(&mut self, call: Call) -> Result<String, No> {
        match call {
            Call::Status if self.shutdown.has_begun() => Err(No::Leaving),
            Call::Status => {
                let configuration =
                    self.control_plane.as_ref().map(|c| c.client.to_string()).unwrap_or_default();
                Ok(format!("ready\n{configuration}"))
            }
            Call::Metrics => {
                let now = Now {
                    in_flight: self.requests.open.len(),
                    engines_known: self.registry.endpoint_count(),
                    engines_excluded: self.core.engines_avoided(self.time.now_us),
                };
                Ok(self.metrics.text(now))
            }
            Call::Enter(id) => self.by_hand(&id, true).map_err(|_| No::Engine),
            Call::Exit(id) => self.by_hand(&id, false).map_err(|_| No::Engine),
        }
    }

    /// Takes an engine out, or lets it serve again.
    fn by_hand(&mut self, name: &str, out: bool) -> Result<String, UnknownEngine> {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.change_by_hand(name, (!out).then_some(now_ms))?;
        let engine = name.to_owned();
        let message = if out {
            Message::MaintenanceBegan { engine }
        } else {
            Message::MaintenanceEnded { engine, end_ms: now_ms }
        };
        self.send_to_all_peers(&message);
        Ok(format!("{name} {}\n", if out { "is out" } else { "may serve" }))
    }

    /// The same without a word to other processes: one is back since a Unix millisecond, or else out.
    pub(super) fn change_by_hand(&mut self, name: &str, back_ms: Option<u64>) -> Result<(), UnknownEngine> {
        let changed = match back_ms {
            None => self.registry.begin_maintenance(name)?,
            Some(ms) => self.registry.end_maintenance(name, ms)?,
        };
        tracing::info!(engine = name, out = back_ms.is_none(), changed = changed.is_some(), "by hand");
        if let Some(event) = changed {
            self.update_engines(&event);
            // Before the answer goes out: what was gathered in this turn must not be sent there behind it.
            self.turn();
        }
        Ok(())
    }
}
