//! The engines' side of the network: connections to engines and the attempts that run over them.
//!
//! This module holds the types; what is done with them stands in a module for each concern:
//! - `list`: the endpoint list as the network keeps it
//! - `connections`: acquire, open, reuse and close connections, within the descriptor budget
//! - `connection_events`: readiness and timers of connections
//! - `attempts`: start and end of an attempt, and what follows when its connection ends first
//! - `calls`: what is written to an engine once its connection is established
//! - `cancellation`: attempts that the gateway no longer waits for
//! - `confirmation`: lost attempts that others of their order key wait for
//! - `http_responses`, `mysql_events`: what engines answer
//!
//! Invariant: each attempt in flight ends in exactly one [`Input::AttemptEnded`], [`Input::AttemptLost`] or
//! [`Input::AttemptUnconfirmed`] to the core.
//!
//! [`Input::AttemptEnded`]: crate::core::Input::AttemptEnded
//! [`Input::AttemptLost`]: crate::core::Input::AttemptLost
//! [`Input::AttemptUnconfirmed`]: crate::core::Input::AttemptUnconfirmed

use std::net::SocketAddr;

use workload_manager::{EndpointState, EngineId};
use wrenhatch_sessions::timer_wheel::TimerId;

use super::Server;
use super::connection::Phase;
use crate::engine::{http, mysql};

mod attempts;
mod calls;
mod cancellation;
mod confirmation;
mod connection_events;
mod connections;
mod http_responses;
mod list;
mod mysql_events;

pub use confirmation::Unconfirmed;

pub use crate::core::AttemptId;

/// How a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Refused: no process listens at the address.
    Refused,
    /// It was not established in time: the machine may be gone.
    TimedOut,
    /// It broke, or what came over it can't be used.
    Broken,
}

/// Which protocol a connection to an engine speaks; the index of its pool in [`Engine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineProtocol {
    Http,
    MySql,
}

/// An engine and its idle connections. Engines are identified by name, as addresses are reused.
pub struct Engine {
    address: SocketAddr,
    mysql: Option<SocketAddr>,
    state: EndpointState,
    since_ms: u64,
    idle: IdleConnections,
}

/// Slots of an engine's idle connections, the longest idle first.
#[derive(Default)]
struct IdleConnections {
    http: Vec<usize>,
    mysql: Vec<usize>,
}

impl IdleConnections {
    fn of(&mut self, protocol: EngineProtocol) -> &mut Vec<usize> {
        match protocol {
            EngineProtocol::Http => &mut self.http,
            EngineProtocol::MySql => &mut self.mysql,
        }
    }

    /// Those of all protocols.
    fn all(&mut self) -> [&mut Vec<usize>; 2] {
        [&mut self.http, &mut self.mysql]
    }
}

impl Engine {
    fn take_all_idle(&mut self) -> impl Iterator<Item = usize> + '_ {
        self.idle.all().into_iter().flat_map(std::mem::take)
    }

    fn remove_idle(&mut self, slot: usize) {
        self.idle.all().into_iter().for_each(|idle| idle.retain(|other| *other != slot));
    }
}

/// What a connection to an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    /// Nothing: it waits in its engine's pool.
    Idle { since_us: u64 },
    /// The calls of an attempt.
    Attempt(AttemptId),
    /// The call that cancels an attempt.
    Cancel(AttemptId),
    /// The same call for a lost attempt, to confirm that it has ended.
    Confirm(AttemptId),
    /// A response that no longer matters.
    Discarding { since_us: u64 },
}

impl Job {
    /// Whether it cancels an attempt, with or without a confirmation.
    fn cancels(self) -> bool {
        matches!(self, Job::Cancel(_) | Job::Confirm(_))
    }
}

enum ProtocolState {
    Http,
    MySql(Box<mysql::Session>),
}

/// The protocol and the use of a connection to an engine.
pub struct Link {
    pub engine: EngineId,
    job: Job,
    protocol_state: ProtocolState,
    /// When the call was written whose response is awaited, or before that when the connection was opened.
    call_written_us: u64,
    /// The first call of its job is not written before this.
    write_after_us: u64,
    /// A response came sooner than engines send one without progress: it may have been a duplicate of the one
    /// before, and then one is still to come when the last seems to be here.
    duplicate_response_possible: bool,
}

impl Link {
    /// Whether the connection can't carry a call yet: it is being established or authenticated.
    pub fn is_connecting(&self, phase: Phase) -> bool {
        let authenticating = matches!(&self.protocol_state, ProtocolState::MySql(s) if s.is_authenticating());
        phase == Phase::Connecting || authenticating
    }

    /// Whether its job has begun and its first call is still held back.
    fn is_write_delayed(&self) -> bool {
        self.write_after_us > self.call_written_us
    }

    fn protocol(&self) -> EngineProtocol {
        match self.protocol_state {
            ProtocolState::Http => EngineProtocol::Http,
            ProtocolState::MySql(_) => EngineProtocol::MySql,
        }
    }
}

/// How an attempt is executed over its connection.
enum Execution {
    Http {
        exchange: http::Exchange,
        /// The call that starts it, until it is written.
        start: Option<Vec<u8>>,
    },
    MySql {
        /// The statement, until it is handed to the connection.
        work: Option<mysql::Statement>,
    },
}

/// An attempt in flight.
pub struct Attempt {
    engine: EngineId,
    /// The slot of the connection that its calls go over.
    slot: usize,
    execution: Execution,
    query_id: String,
    /// Its first byte must be written before this.
    begin_by_us: u64,
    /// It is not waited for beyond this, and its engine was notified of it.
    until_us: u64,
    /// Others of its order key wait for its end.
    in_order: bool,
    /// Its MySQL connection's id at the engine, noted when it is cancelled: by the time the engine is notified, that
    /// connection's slot may be another's.
    mysql_connection_id: u32,
    /// It was cancelled, and the engine is being notified.
    cancelling: bool,
    /// Bytes of its result that are reserved in the memory budget.
    reserved_bytes: usize,
    /// Fires when the engine should have confirmed the cancellation.
    cancel_timer: Option<TimerId>,
    /// How often in a row the present call had no usable response and was repeated over another connection.
    call_retries: u32,
    /// When the engine last got a call for it: its start, or one for a progress report or a page.
    last_call_us: u64,
}

impl Attempt {
    /// Until when an engine that says nothing more may run it, in microseconds. Over MySQL only the time limit that
    /// the statement was sent with bounds it.
    fn may_run_until_us(&self, now_us: u64) -> u64 {
        match self.execution {
            Execution::Http { .. } => now_us.max(self.last_call_us + http::MAX_RUN_AFTER_LAST_CALL_US),
            Execution::MySql { .. } => now_us.max(self.until_us),
        }
    }

    /// Whether the call that starts it was written; over MySQL there is no such call.
    fn is_http_started(&self) -> bool {
        matches!(self.execution, Execution::Http { start: None, .. })
    }
}

#[cfg(test)]
mod tests;
