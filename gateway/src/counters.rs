//! Counters of what the gateway takes in, sends and answers.

use std::fmt;

use crate::admission::RejectionCounter;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// One number for each thing counted since the start.
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
    /// Turns of the loop.
    turns,
    /// Client connections accepted.
    clients,
    /// Client connections for which there was no place.
    turned_away,
    /// Client connections closed to make room for others.
    evicted,
    /// Client connections closed for a start or a message that did not end.
    timed_out,
    /// Client connections closed for being idle for longer than the operator lets them.
    idle_closed,
    /// Client connections closed, or requests and statements turned down, as memory was short.
    no_memory,
    /// Requests told to come back, as they would not have been reached in time.
    too_late,
    /// Requests taken and handed to the core.
    taken,
    /// Requests turned down before the core: bad fields, oversized messages.
    invalid,
    /// Final answers: all rows.
    served,
    /// Final answers: refused.
    refused,
    /// Final answers: failed.
    failed,
    /// Requests whose client left first.
    left,
    /// Attempts written to an engine.
    sent,
    /// Attempts taken back.
    stopped,
    /// Calls to engines made again, as their answers were spoilt or did not come.
    asked_again,
    /// Connections opened to engines.
    engine_connects,
    /// Attempts that ended well.
    ended_success,
    /// Turned away by a full engine.
    ended_overloaded,
    /// An error of the engine.
    ended_failure,
    /// No connection came up.
    ended_unreachable,
    /// The connection broke.
    ended_broken,
    /// Taken back.
    ended_withdrawn,
    /// Nothing was heard of their end.
    ended_timed_out,
    /// Never sent.
    ended_void,
    /// Events of the coordinator.
    list_events,
    /// Times the coordinator's stream was opened.
    list_connects,
    /// Times the configuration was read again.
    reloads,
}

impl Counters {
    /// The counter of rejections for a reason.
    pub fn rejected_for(&mut self, counter: RejectionCounter) -> &mut u64 {
        match counter {
            RejectionCounter::NoMemory => &mut self.no_memory,
            RejectionCounter::TooLate => &mut self.too_late,
        }
    }

    /// Counts the end of an attempt.
    pub fn ended(&mut self, outcome: workload_manager::Outcome) {
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
