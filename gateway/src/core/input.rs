//! Inputs of the core: events of front ends, engine connections, discovery and peer processes.

use workload_manager::{
    ClassId, EndpointEntry, EndpointListMode, KeyId, LoadReport, Outcome, Progress, RequestId, TableGroupId,
    TenantId,
};

use super::{AttemptId, PeerProcessId};

/// An admitted request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Determines idempotency, ordering by key, priority and allowed engines.
    pub class: ClassId,
    /// Tenant that sent the request. `None`: the request names no tenant. The workload manager ignores tenants.
    pub tenant: Option<TenantId>,
    /// Time at which the client stops waiting, in microseconds of the core's clock.
    pub deadline_us: u64,
    /// Estimated work, in seconds on one processor core.
    pub estimated_work: Option<f64>,
    /// Estimated memory, in MB.
    pub estimated_memory_mb: Option<f64>,
    /// Group of tables that the request reads or loads.
    pub table_group: Option<TableGroupId>,
    /// Order key. Ignored in a class that is not ordered by key.
    pub key: Option<KeyId>,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_retry: bool,
}

/// An input of the core. All times are microseconds of the core's clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A change of the endpoint list.
    EndpointList {
        /// Whether the entries replace the list or update parts of it.
        mode: EndpointListMode,
        /// Changed or listed engines. Start times are in seconds of the core's clock.
        entries: Vec<EndpointEntry>,
    },
    /// A request was admitted. It is open until its final answer, or until its client leaves.
    RequestArrived {
        /// Id that no earlier request had.
        id: RequestId,
        /// Class, deadline and estimates from the fields of the client's request.
        request: NewRequest,
    },
    /// An attempt has ended: its engine no longer runs it, or never did.
    AttemptEnded {
        /// The input is ignored unless this attempt is in flight.
        attempt: AttemptId,
        /// Decides whether the request is served, and whether another attempt may follow.
        outcome: Outcome,
        /// Load report from the engine's response. `None`: there is no response, or it has no load report.
        load_report: Option<LoadReport>,
    },
    /// An attempt was given up although its engine may still run it, for a bounded time.
    AttemptLost {
        /// The input is ignored unless this attempt is in flight.
        attempt: AttemptId,
        /// Time until which the engine may run the attempt.
        may_run_until_us: u64,
    },
    /// An attempt with an order key was given up. Until [`Input::AttemptEndConfirmed`] follows, it is unknown how long
    /// the engine may run the attempt. The input is ignored unless the attempt is in flight.
    AttemptUnconfirmed(AttemptId),
    /// An unconfirmed attempt has ended, or will have ended by a known time.
    AttemptEndConfirmed {
        /// The input is ignored unless this attempt is unconfirmed.
        attempt: AttemptId,
        /// Time until which the engine may run the attempt.
        may_run_until_us: u64,
    },
    /// An engine has reported progress of an attempt.
    AttemptProgress {
        /// The input is ignored unless this attempt is in flight.
        attempt: AttemptId,
        /// Passed to the workload manager unchanged.
        progress: Progress,
    },
    /// The client has disconnected or cancelled its request. The core gives no final answer to the request.
    ClientLeft(RequestId),
    /// This process shuts down. Every open request gets its final answer in this turn.
    ShuttingDown,
    /// An event of a peer process of this gateway.
    PeerProcess {
        /// Number of the connection to the peer.
        peer: PeerProcessId,
        /// Role or message of the peer, or its exit.
        event: PeerProcessEvent,
    },
}

/// An event of a peer process during the replacement of one gateway process by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcessEvent {
    /// This process replaces the peer, which holds the leases of all keys.
    BecamePredecessor,
    /// The peer claims the lease of a key. The claim is queued, and served once this process does not use the key.
    ClaimsLease(KeyId),
    /// The peer grants the lease of a key to this process. Ignored unless the peer held the lease or was nearer to the
    /// holder.
    GrantsLease(KeyId),
    /// The connection to the peer has ended, which counts as the exit of the peer.
    Exited {
        /// Time by which all attempts of the peer have ended and their key cooldowns are over, in microseconds.
        cooldown_until_us: u64,
    },
}
