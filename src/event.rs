//! What happens to a gateway: the input of the workload manager.
//!
//! Times and durations are seconds. The clock may start anywhere and only moves forward.

use crate::{ClassId, EndpointEntry, EndpointListMode, EngineId, KeyId, RequestId, TableGroupId, TenantId};

/// A new request of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Its order key, if its class is ordered by key.
    pub key: Option<KeyId>,
    /// When the client stops waiting, in seconds of the events' clock.
    pub deadline: f64,
    /// Estimated work of all its threads, in seconds.
    pub estimated_work: Option<f64>,
    /// Estimated memory in MB.
    pub estimated_memory_mb: Option<f64>,
    /// The tables that it reads or loads.
    pub table_group: Option<TableGroupId>,
    /// Whether the client repeats an earlier request.
    pub is_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Success,
    /// The engine answered with an error; it may have run.
    Error,
    /// The engine rejected it; it did not run.
    Rejected,
    /// No answer came in time; it may have run or still run.
    TimedOut,
    /// No connection could be opened; it never ran.
    ConnectFailed,
    /// The connection was lost; it may have run or still run. Reported by the simulator's adapter only; the
    /// gateway reports `TimedOut` for an attempt whose connection was lost for good.
    ConnectionLost,
    /// It was cancelled; it may have run or still run.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the engine may still run the attempt.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::ConnectionLost | Self::Cancelled)
    }

    /// Whether the attempt did not succeed and yet may have run: another one may be a second execution.
    pub fn effect_is_unknown(self) -> bool {
        self == Self::Error || self.may_still_run()
    }
}

/// An engine's load report; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that the engine runs.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory.
    pub queued: Option<f64>,
    /// Ratio of its cores in use.
    pub core_utilization: Option<f64>,
    /// Ratio of its memory granted.
    pub memory_utilization: Option<f64>,
    /// Ratio of its disks busy. No decision uses it.
    pub disk_utilization: Option<f64>,
}

/// What a query has needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryCost {
    /// Work of all its threads, in seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A progress report of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// It still runs; no more is known.
    Running,
    /// The ratio that is done, roughly.
    Fraction(f64),
    /// It spills to disk; memory that it lacks, in MB.
    Spilling(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a load that holds its tables.
    WaitingForLoad,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event of the endpoint list.
    EndpointList {
        /// How to read it.
        mode: EndpointListMode,
        /// Its entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// An attempt has ended.
    AttemptEnded {
        /// Its request.
        request: RequestId,
        /// Its number, from 0.
        attempt: u32,
        /// Where it ran.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        elapsed: f64,
        /// Whether the request has its final answer, by this outcome or before it.
        request_settled: bool,
        /// Seconds for which it may still run at an engine that can't be asked; 0 where its end is known,
        /// infinite until [`Event::AttemptEndConfirmed`] says more.
        may_still_run_for: f64,
        /// What it has needed, where the engine says so.
        cost: Option<QueryCost>,
        /// The engine's load report, if one came with the answer.
        load_report: Option<LoadReport>,
    },
    /// How long an attempt may still run whose end was not known.
    AttemptEndConfirmed {
        /// Its order key.
        key: KeyId,
        /// Seconds for which it may still run; 0 where it is over.
        may_still_run_for: f64,
    },
    /// The answer has started to stream: the attempt can't be retried any more.
    StreamStarted {
        /// Its request.
        request: RequestId,
        /// Its number, from 0.
        attempt: u32,
    },
    /// A progress report of an attempt in flight.
    AttemptProgress {
        /// Its request.
        request: RequestId,
        /// Its number, from 0.
        attempt: u32,
        /// What it says.
        progress: Progress,
    },
    /// The client has gone; the request needs no answer.
    RequestAborted(RequestId),
    /// The result of a health check.
    HealthChecked {
        /// Which engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        elapsed: f64,
        /// The engine's load report, if one came along.
        load_report: Option<LoadReport>,
    },
    /// A timer that was set by [`Action::SetTimer`](crate::Action::SetTimer) is due; its token.
    Timer(u64),
}
