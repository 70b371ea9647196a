//! Connections to engines and the attempts that run over them.
//!
//! This module defines the types. Each concern has a module:
//! - `list`: applying events of the endpoint list
//! - `connections`: acquiring, opening, reusing and closing connections, within the descriptor budget
//! - `connection_events`: readiness and timers of connections
//! - `attempts`: start and end of an attempt, and recovery if its connection ends first
//! - `calls`: writing calls to an engine
//! - `cancellation`: cancelling an attempt at its engine
//! - `confirmation`: confirming the end of lost attempts that hold up other requests of their order key
//! - `http_responses`, `mysql_events`: handling responses of engines
//!
//! Invariant: for each attempt in flight, the core receives exactly one [`Input::AttemptEnded`], [`Input::AttemptLost`]
//! or [`Input::AttemptUnconfirmed`].
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

pub use confirmation::LostAttempt;

pub use crate::core::AttemptId;

/// Reason for which a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection was refused: no process listens at the address. A process of the engine may still run.
    Refused,
    /// The connection was not established in time. The machine may be down.
    TimedOut,
    /// The connection broke or failed for another reason, no response came in time, or a response was unusable.
    Broken,
}

/// Protocol of a connection to an engine. Idle connections are pooled by protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineProtocol {
    Http,
    MySql,
}

/// An engine of the endpoint list and its idle connections. Engines are identified by name, as addresses are reused.
pub struct Engine {
    address: SocketAddr,
    mysql: Option<SocketAddr>,
    state: EndpointState,
    /// Unix time of the start of the engine's process, or of the end of its last maintenance if that is later, in
    /// milliseconds.
    started_ms: u64,
    idle: IdleConnections,
}

/// Slots of an engine's idle connections by protocol, the longest idle first.
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

/// Current use of a connection to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    /// The connection is idle in its engine's pool.
    Idle { since_us: u64 },
    /// The calls of an attempt.
    Attempt(AttemptId),
    /// The call that cancels an attempt in flight.
    Cancel(AttemptId),
    /// The call that cancels a lost attempt, in order to confirm the end of that attempt.
    Confirm(AttemptId),
    /// Reading and discarding a response that is no longer needed.
    Discarding { since_us: u64 },
}

impl Job {
    /// Whether the connection carries a call that cancels an attempt, in flight or lost.
    fn cancels(self) -> bool {
        matches!(self, Job::Cancel(_) | Job::Confirm(_))
    }
}

enum ProtocolState {
    Http,
    MySql(Box<mysql::Session>),
}

/// Protocol state and current use of a connection to an engine.
pub struct Link {
    pub engine: EngineId,
    job: Job,
    protocol_state: ProtocolState,
    /// Time at which the call whose response is awaited was written. Before the first call, the time at which the
    /// connection was opened, or at which MySQL authentication began.
    call_written_us: u64,
    /// Earliest time for writing the first call of the current job.
    write_after_us: u64,
    /// A response without progress arrived earlier than engines send one, so it may be a duplicate of the previous
    /// response. After a duplicate, one more response than expected arrives.
    duplicate_response_possible: bool,
}

impl Link {
    /// Whether the connection is still being established or authenticated, so that no call can be written.
    pub fn is_connecting(&self, phase: Phase) -> bool {
        let authenticating = matches!(&self.protocol_state, ProtocolState::MySql(s) if s.is_authenticating());
        phase == Phase::Connecting || authenticating
    }

    /// Whether the first call of the current job is delayed.
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

/// Protocol-specific state of an attempt.
enum Execution {
    Http {
        exchange: http::Exchange,
        /// The call that starts the query, until the call is written.
        start: Option<Vec<u8>>,
    },
    MySql {
        /// The statement, until it is passed to the protocol session of the connection.
        stmt: Option<mysql::Statement>,
    },
}

/// An attempt in flight.
pub struct Attempt {
    engine: EngineId,
    /// Slot of the connection that carries the attempt's calls.
    slot: usize,
    execution: Execution,
    query_id: String,
    /// Deadline for writing the first byte.
    send_deadline_us: u64,
    /// Deadline of the attempt, which the engine has received as a time limit.
    deadline_us: u64,
    /// The request has an order key. The next request of the key waits for the end of this attempt.
    has_order_key: bool,
    /// The engine's id of the attempt's MySQL connection. It is recorded when the attempt is cancelled, as the slot may
    /// have been reused by the time the KILL statement is written.
    mysql_connection_id: u32,
    /// The attempt was cancelled, and the engine's confirmation is awaited.
    cancelling: bool,
    /// Bytes reserved in the memory budget for the result.
    reserved_bytes: usize,
    /// Fires if the engine has not confirmed the cancellation in time.
    cancel_timer: Option<TimerId>,
    /// Number of times that the current call failed for lack of a usable response. Reset by a usable response, and when
    /// the attempt is cancelled.
    call_retries: u32,
    /// Time at which the last call of this attempt was written: its start, or a call for a progress report or a page.
    last_call_us: u64,
}

impl Attempt {
    /// Latest time at which the engine may still run this attempt if no further call reaches the engine, in
    /// microseconds. Not before `now_us`. Over MySQL, only the time limit sent with the statement bounds this time.
    fn may_run_until_us(&self, now_us: u64) -> u64 {
        match self.execution {
            Execution::Http { .. } => now_us.max(self.last_call_us + http::MAX_RUN_AFTER_LAST_CALL_US),
            Execution::MySql { .. } => now_us.max(self.deadline_us),
        }
    }

    /// Whether the HTTP call that starts the attempt was written. Always false over MySQL.
    fn is_http_started(&self) -> bool {
        matches!(self.execution, Execution::Http { start: None, .. })
    }
}

#[cfg(test)]
mod tests;
