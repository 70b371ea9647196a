//! What the core wants done outside: its commands.

use workload_manager::{EngineId, KeyId, RequestId};

use super::{AttemptId, PeerProcessId};

/// What an engine is asked to grant an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTerms {
    /// Memory to grant, in MB; 0: the engine's choice.
    pub memory_mb: f64,
    /// From 0 to 3.
    pub priority: u8,
}

/// Limits of an attempt, enforced by whoever carries it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The engine may drop the attempt then, in microseconds.
    pub until_us: u64,
    /// Its first byte must leave before this, however long its connection takes to open, in microseconds.
    pub begin_by_us: u64,
    /// The request has an order key: the next request of the key waits for the attempt's end.
    pub in_order: bool,
}

/// What front ends, engine connections and peer processes are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// Which attempt.
        attempt: AttemptId,
        /// Where.
        engine: EngineId,
        /// What the engine is asked to grant.
        terms: AttemptTerms,
        /// The limits of the attempt.
        limits: AttemptLimits,
    },
    /// Change the priority of an attempt in flight.
    SetPriority {
        /// Which attempt.
        attempt: AttemptId,
        /// From 0 to 3.
        priority: u8,
    },
    /// Cancel an attempt; its end is still awaited.
    CancelAttempt(AttemptId),
    /// Final answer: the result of this attempt.
    Serve(AttemptId),
    /// Final answer: rejected; a retry by the client is safe.
    Reject {
        /// Which request.
        request: RequestId,
        /// How long the client should wait before a retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Final answer: failed; nothing is promised about the effect.
    Fail(RequestId),
    /// Claim the lease of a key from the peer process that holds it, or knows the way to its holder.
    ClaimLease {
        /// Which key.
        key: KeyId,
        /// Whom to ask.
        holder: PeerProcessId,
    },
    /// Grant the lease of a key to a peer process.
    GrantLease {
        /// Which key.
        key: KeyId,
        /// The peer that holds it from here on.
        to: PeerProcessId,
    },
}
