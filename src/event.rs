//! Input of the workload manager: the events that a gateway reports.
//!
//! Times and durations are in seconds. The clock is monotonic and may start at any value from 0.

use crate::{ClassId, EndpointEntry, EndpointListMode, EngineId, KeyId, RequestId, TableGroupId, TenantId};

/// A client's request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Id that later events and actions refer to.
    pub id: RequestId,
    /// Class that sets the request's objective and rules. An index past the end of the settings causes a
    /// panic.
    pub class: ClassId,
    /// Tenant that sent the request, if the deployment has tenants. No decision uses it.
    pub tenant: Option<TenantId>,
    /// Order key. `None` if the class is not [ordered by key](crate::Class::ordered_by_key).
    pub key: Option<KeyId>,
    /// Time by which the request must be answered, in seconds of the events' clock.
    pub deadline: f64,
    /// Estimated work, summed over all threads, in seconds. `None` counts as the mean work of the class.
    pub estimated_work: Option<f64>,
    /// Estimated memory in MB. `None` counts as 0.
    pub estimated_memory_mb: Option<f64>,
    /// Tables that the request reads or loads.
    pub table_group: Option<TableGroupId>,
    /// Whether the client sends the request as a retry of an earlier one. No decision uses it.
    pub is_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served the request or health check.
    Success,
    /// The engine answered with an error. The attempt may have run.
    Error,
    /// The engine rejected the attempt, which did not run.
    Rejected,
    /// No answer arrived in time. The attempt may have run, or may still run.
    TimedOut,
    /// No connection could be opened. The attempt never ran.
    ConnectFailed,
    /// The connection was lost. The attempt may have run, or may still run. Only the simulator's adapter
    /// reports this outcome. The gateway reports `TimedOut` once it considers such an attempt lost.
    ConnectionLost,
    /// The attempt was cancelled. It may have run, or may still run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the engine may still run the attempt.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::ConnectionLost | Self::Cancelled)
    }

    /// Whether the attempt failed but may have run, so that a retry could execute the request twice.
    pub fn effect_is_unknown(self) -> bool {
        self == Self::Error || self.may_still_run()
    }
}

/// An engine's load report. Figures that the report lacks are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries that the engine runs.
    pub in_flight: Option<f64>,
    /// Number of queries that wait for memory.
    pub queued: Option<f64>,
    /// Ratio of the engine's cores in use.
    pub core_utilization: Option<f64>,
    /// Ratio of the engine's memory granted to queries.
    pub memory_utilization: Option<f64>,
    /// Ratio of the engine's disks that are busy. No decision uses it.
    pub disk_utilization: Option<f64>,
}

/// Resources that a query used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryCost {
    /// Work, summed over all threads, in seconds.
    pub work: f64,
    /// Memory that the query used, in MB.
    pub memory_mb: f64,
}

/// A progress report of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The attempt still runs. The report has no further information.
    Running,
    /// Approximate ratio of the work that is done, from 0 to 1.
    Fraction(f64),
    /// The query spills to disk. The value is the memory that it lacks, in MB.
    Spilling(f64),
    /// The query waits for memory.
    WaitingForMemory,
    /// The query waits for a load that holds its tables.
    WaitingForLoad,
}

/// An event at a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event of the endpoint list.
    EndpointList {
        /// How the entries change the known list.
        mode: EndpointListMode,
        /// Entries of the list, or of its changes.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// An attempt has ended.
    AttemptEnded {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Engine that the attempt was sent to.
        engine: EngineId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Seconds since the attempt was sent.
        elapsed: f64,
        /// Whether the request has its final answer, from this attempt or earlier.
        request_settled: bool,
        /// Seconds for which the attempt may still run, if the engine can't report its state. 0 if its end
        /// is known. Infinite until [`Event::AttemptEndConfirmed`] reports a bound.
        may_still_run_for: f64,
        /// Resources that the query used, if the engine reports them.
        cost: Option<QueryCost>,
        /// Load report that arrived with the answer, if any.
        load_report: Option<LoadReport>,
    },
    /// A bound on the remaining run time of an attempt whose end was not known.
    AttemptEndConfirmed {
        /// Order key of the attempt's request.
        key: KeyId,
        /// Seconds for which the attempt may still run. 0 if it has ended.
        may_still_run_for: f64,
    },
    /// The answer has started to stream, so the attempt can't be retried any more. No decision uses this
    /// event.
    StreamStarted {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A progress report of an attempt in flight.
    AttemptProgress {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// State that the engine reports.
        progress: Progress,
    },
    /// The client has disconnected, so the request needs no answer.
    RequestAborted(RequestId),
    /// The result of a health check. Decisions use only its load report.
    HealthChecked {
        /// Engine that was checked.
        engine: EngineId,
        /// How the health check ended.
        outcome: Outcome,
        /// Seconds since the health check was sent.
        elapsed: f64,
        /// Load report that arrived with the result, if any.
        load_report: Option<LoadReport>,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has expired. The value is its token.
    Timer(u64),
}
