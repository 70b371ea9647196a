//! Output of the workload manager: the actions that a gateway carries out, in the order in which they are
//! returned.

use crate::{EngineId, RequestId};

/// An instruction to the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the memory grant and priority of the request's next attempts.
    SetAttemptTerms {
        /// Request whose next attempts have these terms.
        request: RequestId,
        /// Memory to grant, in MB. With 0 the engine decides.
        memory_mb: f64,
        /// From 0, the lowest, to 3.
        priority: u8,
    },
    /// Sends the request's next attempt to an engine. Attempts are numbered from 0.
    Forward {
        /// Request to send.
        request: RequestId,
        /// Engine that receives the attempt.
        engine: EngineId,
        /// Seconds after which the attempt times out. `None`: the attempt may run until the client's
        /// deadline.
        timeout: Option<f64>,
    },
    /// Cancels an attempt. Its end is reported by [`Event::AttemptEnded`](crate::Event::AttemptEnded), as for
    /// any other attempt. The action may be repeated until then.
    CancelAttempt {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: the request is rejected, and the client may safely retry it.
    Reject {
        /// Request to answer.
        request: RequestId,
        /// Seconds that the client should wait before a retry. `None`: the answer has no Retry-After.
        retry_after: Option<f64>,
    },
    /// Final answer: the request failed, and may or may not have taken effect.
    Fail(RequestId),
    /// Requests an [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// Seconds from now.
        delay: f64,
        /// Value that the timer event returns.
        token: u64,
        /// Request that the timer belongs to. The timer may be dropped once the request has its final answer.
        request: Option<RequestId>,
    },
    /// Sends a health check. [`Event::HealthChecked`](crate::Event::HealthChecked) reports the result.
    /// No decision returns this action.
    CheckHealth(EngineId),
    /// Subscribes to watch events of the endpoint list. Returned only with
    /// [`Capabilities::polls_endpoint_list`](crate::Capabilities::polls_endpoint_list): at the first event,
    /// and again after a [failed](crate::EndpointListMode::Failed) read.
    WatchEndpointList,
}
