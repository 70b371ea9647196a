//! What happens outside of the core: its inputs.

use workload_manager::{
    ClassId, EndpointEntry, EndpointListMode, KeyId, LoadReport, Outcome, Progress, RequestId, TableGroupId,
    TenantId,
};

use super::{AttemptId, PeerProcessId};

/// A request as a front end hands it over.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting, in microseconds of the core's clock.
    pub deadline_us: u64,
    /// Estimated work, in seconds on one core.
    pub estimated_work: Option<f64>,
    /// Estimated memory, in MB.
    pub estimated_memory_mb: Option<f64>,
    /// The group of tables that it reads or loads.
    pub table_group: Option<TableGroupId>,
    /// Its order key; ignored in a class that is not ordered by key.
    pub key: Option<KeyId>,
    /// Its client repeats an earlier request.
    pub is_retry: bool,
}

/// An event outside of the core. All times are microseconds of the core's clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A change of the endpoint list.
    EndpointList {
        /// How the entries are to be read.
        mode: EndpointListMode,
        /// The entries; their start times are in seconds of the core's clock.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived.
    RequestArrived {
        /// Its id, never used before.
        id: RequestId,
        /// The request.
        request: NewRequest,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Which attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with its end.
        load_report: Option<LoadReport>,
    },
    /// Nothing will be heard of an attempt any more.
    AttemptLost {
        /// Which attempt.
        attempt: AttemptId,
        /// Its engine may run it until then.
        runs_until_us: u64,
    },
    /// Nothing was heard of the end of an attempt with an order key, and its engine may run it without bound until
    /// [`Input::AttemptEndConfirmed`] follows.
    AttemptUnconfirmed(AttemptId),
    /// It is known how long an unconfirmed attempt may run.
    AttemptEndConfirmed {
        /// Which attempt.
        attempt: AttemptId,
        /// Its engine may run it until then.
        runs_until_us: u64,
    },
    /// Progress of an attempt in flight.
    AttemptProgress {
        /// Which attempt.
        attempt: AttemptId,
        /// Its progress.
        progress: Progress,
    },
    /// The client has left; no answer is owed.
    ClientLeft(RequestId),
    /// The gateway ends: every open request gets its final answer now.
    ShuttingDown,
    /// Something happened to a peer process of this gateway.
    PeerProcess {
        /// Which peer process.
        peer: PeerProcessId,
        /// What happened.
        event: PeerProcessEvent,
    },
}

/// What happens to a peer process while one process of a gateway replaces another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProcessEvent {
    /// This process replaces the peer, which holds the leases of all keys.
    Succeeded,
    /// The peer claims the lease of a key.
    ClaimsLease(KeyId),
    /// The peer grants the lease of a key to this process.
    GrantsLease(KeyId),
    /// The peer has ended.
    Ended {
        /// What it may have left running at engines is over by then, with the key cooldown, in microseconds.
        cooldown_until_us: u64,
    },
}
