//! Counters of connections, requests, attempts and turns of the event loop. Each counter is printed with the name of
//! its field.

use std::fmt;

use crate::admission::RejectionCounter;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters since the start of the process.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Turns of the event loop.
    turns,
    /// Client connections that got a session, including sessions of rejected clients, which only receive an error.
    clients,
    /// Client connections rejected with an error because of the session limit, or for lack of descriptors or memory.
    turned_away,
    /// Idle, slow or closing client connections closed to make room for others.
    evicted,
    /// Client connections closed because the start of a session or a message was not complete in time.
    timed_out,
    /// Client connections closed because they exceeded the idle limit of the configuration.
    idle_closed,
    /// Client connections closed, or requests and statements rejected, because the memory budget was short.
    no_memory,
    /// Requests rejected by admission because they would not have been processed before their deadlines.
    too_late,
    /// Requests admitted and passed to the core.
    taken,
    /// Requests, statements and other messages of clients rejected because they are invalid or too large.
    invalid,
    /// Requests answered with the result of a successful attempt.
    served,
    /// Requests rejected, by admission or by the core.
    refused,
    /// Admitted requests answered with an error, including the errors of MySQL statements.
    failed,
    /// Requests whose client disconnected or cancelled them before the final answer.
    left,
    /// Attempts forwarded to an engine.
    sent,
    /// Attempts cancelled, including those that were not forwarded.
    stopped,
    /// Calls of attempts repeated over another connection because no usable response arrived.
    asked_again,
    /// Connections to engines, including those that were not established.
    engine_connects,
    /// Attempts that ended with success.
    ended_success,
    /// Attempts rejected by their engine.
    ended_overloaded,
    /// Attempts that ended with an error of their engine.
    ended_failure,
    /// Attempts for which no connection could be opened.
    ended_unreachable,
    /// Always 0: an attempt whose connection has failed is continued, cancelled, or counted as unreachable or timed out.
    ended_broken,
    /// Attempts whose cancellation was confirmed, or that their engine no longer has.
    ended_withdrawn,
    /// Attempts that were given up because their engine reported no end.
    ended_timed_out,
    /// Attempts that were never sent.
    ended_void,
    /// Events of the endpoint list that were applied.
    list_events,
    /// Connections to the discovery service, including those that were not established.
    list_connects,
    /// Successful reloads of the configuration file.
    reloads,
}

impl Counters {
    /// Counter to be incremented for a rejection.
    pub fn rejection_counter(&mut self, counter: RejectionCounter) -> &mut u64 {
        match counter {
            RejectionCounter::NoMemory => &mut self.no_memory,
            RejectionCounter::TooLate => &mut self.too_late,
        }
    }

    /// Increments the counter of an attempt's outcome.
    pub fn count_attempt_end(&mut self, outcome: workload_manager::Outcome) {
        use workload_manager::Outcome as O;
        *match outcome {
            O::Success => &mut self.ended_success,
            O::Error => &mut self.ended_failure,
            O::Rejected => &mut self.ended_overloaded,
            O::TimedOut => &mut self.ended_timed_out,
            O::ConnectFailed => &mut self.ended_unreachable,
            O::ConnectionLost => &mut self.ended_broken,
            O::Cancelled => &mut self.ended_withdrawn,
            O::NeverSent => &mut self.ended_void,
        } += 1;
    }
}
