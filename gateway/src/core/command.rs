//! Commands of the core to front ends, engine connections and peer processes.

use workload_manager::{EngineId, KeyId, RequestId};

use super::{AttemptId, PeerProcessId};

/// Memory and priority that an engine is requested to grant an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTerms {
    /// Memory in MB. 0: the engine chooses.
    pub memory_mb: f64,
    /// From 0, the lowest, to 3.
    pub priority: u8,
}

/// Time limits of an attempt, and the handling of its loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Time after which the engine may drop the attempt, in microseconds. The engine receives the remaining time.
    pub deadline_us: u64,
    /// Time before which the first byte of the attempt must be sent, in microseconds. An attempt whose connection is
    /// established later is not sent.
    pub send_deadline_us: u64,
    /// The request has an order key: the next request of the key waits for the attempt's end, which has to be confirmed
    /// if the attempt is lost.
    pub has_order_key: bool,
}

/// An instruction to the event loop. Commands are executed in the order in which the core returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// New attempt, in flight from now on.
        attempt: AttemptId,
        /// Engine that is ready according to the endpoint list.
        engine: EngineId,
        /// Sent to the engine with the request.
        terms: AttemptTerms,
        /// Times by which the attempt has to be sent and to end.
        limits: AttemptLimits,
    },
    /// Change the priority of an attempt in flight.
    SetPriority {
        /// Attempt that is in flight and not cancelled.
        attempt: AttemptId,
        /// From 0, the lowest, to 3.
        priority: u8,
    },
    /// Cancel an attempt. An [`Input`](super::Input) still reports the end of the attempt.
    CancelAttempt(AttemptId),
    /// Final answer: the result of this attempt.
    Serve(AttemptId),
    /// Final answer: rejected. A retry by the client is safe.
    Reject {
        /// Request that was open until this command.
        request: RequestId,
        /// Delay before a retry by the client, in milliseconds. `None`: the answer has no Retry-After.
        retry_after_ms: Option<u64>,
    },
    /// Final answer: failed. The request may or may not have taken effect.
    Fail(RequestId),
    /// Claim the lease of a key from a peer process.
    ClaimLease {
        /// Order key for which a request of this process, or a claim of another peer, is waiting.
        key: KeyId,
        /// Peer that holds the lease, or is nearer to the holder.
        holder: PeerProcessId,
    },
    /// Grant the lease of a key to a peer process.
    GrantLease {
        /// Order key that no admitted request and no attempt of this process uses.
        key: KeyId,
        /// New holder of the lease.
        to: PeerProcessId,
    },
}
