//! What the workload manager wants done. A gateway carries actions out in order.

use crate::{EngineId, RequestId};

/// One action.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the terms of the request's next attempts.
    SetAttemptTerms {
        /// Which request.
        request: RequestId,
        /// Memory to grant, in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// From 0, the lowest, to 3.
        priority: u8,
    },
    /// Sends the request's next attempt to an engine. Attempts are numbered from 0.
    Forward {
        /// Which request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// The attempt's time-out in seconds; `None`: until the client's deadline.
        timeout: Option<f64>,
    },
    /// Cancels an attempt. Its end is reported by [`Event::AttemptEnded`](crate::Event::AttemptEnded) like
    /// any other.
    CancelAttempt {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: u32,
    },
    /// Final answer: rejected; a retry by the client is safe.
    Reject {
        /// Which request.
        request: RequestId,
        /// Seconds that the client should wait before a retry; `None`: no advice.
        retry_after: Option<f64>,
    },
    /// Final answer: failed; nothing is promised about the effect.
    Fail(RequestId),
    /// Asks for [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Seconds from now.
        delay: f64,
        /// Comes back with the event.
        token: u64,
        /// The request that it is for; it is not needed any more once that has its final answer.
        request: Option<RequestId>,
    },
    /// Asks for a health check; [`Event::HealthChecked`](crate::Event::HealthChecked) has the result.
    CheckHealth(EngineId),
    /// Asks for watch events of the endpoint list from here on.
    WatchEndpointList,
}
