//! Engines' side of the network: engines, connections to them and attempts over these. What is done with them stands
//! in a module for each concern.

use std::net::SocketAddr;

use workload_manager::interface::*;
use wrenhatch_sessions::timer_wheel::TimerId;

use super::Server;
use super::conn::Phase;
use crate::engine::{http, mysql};

mod answers;
mod attempts;
mod confirmation;
mod connections;
mod list;

pub use confirmation::Unconfirmed;

/// Which attempt.
pub use crate::core::AttemptId;

/// How a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Refused: no process is there.
    Refused,
    /// It did not come up in time: no machine may be there.
    Late,
    /// It broke, or what came over it can't be used.
    Broken,
}

/// Which protocol a connection to an engine speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineProtocol {
    Http,
    MySql,
}

/// An engine and its idle connections. It goes by its name: addresses are reused.
pub struct Engine {
    address: SocketAddr,
    mysql: Option<SocketAddr>,
    state: EndpointState,
    since_ms: u64,
    idle: [Vec<usize>; 2],
}

impl Engine {
    fn all_idle(&mut self) -> impl Iterator<Item = usize> + '_ {
        self.idle.iter_mut().flat_map(std::mem::take)
    }
}

/// What a connection to an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Job {
    Idle {
        since_us: u64,
    },
    /// The calls of an attempt.
    Attempt(AttemptId),
    /// The call that gives an attempt up.
    Delete(AttemptId),
    /// The same call for an attempt whose end was not heard of.
    Confirm(AttemptId),
    /// An answer that no longer matters.
    Discarding {
        since_us: u64,
    },
}

enum Wire {
    Http,
    MySql(Box<mysql::Session>),
}

/// A connection to an engine.
pub struct Link {
    pub engine: EngineId,
    job: Job,
    wire: Wire,
    /// When the call was written whose answer is awaited.
    asked_us: u64,
    /// The first call of its job is not written before this.
    rests_until_us: u64,
    /// An answer came sooner than the engine gives such: it may have been a second one to the call before, and then
    /// one is still to come when the last seems to be here.
    doubtful: bool,
}

impl Link {
    /// Whether it does not take work yet.
    pub fn is_coming_up(&self, phase: Phase) -> bool {
        let logging_in = matches!(&self.wire, Wire::MySql(s) if s.is_logging_in());
        phase == Phase::Connecting || logging_in
    }

    /// Whether its job has begun and its first call is still held back.
    fn is_resting(&self) -> bool {
        self.rests_until_us > self.asked_us
    }

    fn protocol(&self) -> EngineProtocol {
        match self.wire {
            Wire::Http => EngineProtocol::Http,
            Wire::MySql(_) => EngineProtocol::MySql,
        }
    }
}

/// What an attempt does over its connection.
enum Course {
    Http { exchange: http::Exchange, start: Option<Vec<u8>> },
    MySql { work: Option<mysql::Work> },
}

/// An attempt that is out.
pub struct Attempt {
    engine: EngineId,
    /// The connection that its calls go over.
    link: usize,
    course: Course,
    ticket: String,
    /// Its first byte must leave before this.
    begin_by_us: u64,
    /// It is not waited for beyond this, and its engine was told so.
    until_us: u64,
    /// Others of its key wait for its end.
    in_order: bool,
    /// Its MySQL connection's number at the engine, noted when it is given up: by the time the engine is told,
    /// that connection's place may be another's.
    thread: u32,
    /// It was given up and the engine is being told.
    pub stopping: bool,
    /// Bytes of its result that are booked.
    booked: usize,
    /// Rings when the engine should have been heard of its end.
    unheard: Option<TimerId>,
    /// How often in a row the present call had no good answer and was made again over another connection.
    retries: u32,
    /// When the engine was last asked for it: its start, or a call for news or a page.
    asked_us: u64,
}

impl Attempt {
    /// Until when an engine that says nothing more may run it, in microseconds. Over MySQL nothing but the
    /// wait that the statement was sent with bounds it.
    fn runs_until_us(&self, now_us: u64) -> u64 {
        match self.course {
            Course::Http { .. } => now_us.max(self.asked_us + http::ABANDONED_US),
            Course::MySql { .. } => now_us.max(self.until_us),
        }
    }
}

#[cfg(test)]
mod tests;
