//! Counters of connections, requests, attempts and turns of the event loop. Their names are printed as they are here.

use std::fmt;

use crate::admission::RejectionCounter;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start.
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
    /// Client connections accepted.
    clients,
    /// Client connections rejected, as there were no descriptors or no memory for more.
    turned_away,
    /// Idle client connections closed to make room for others.
    evicted,
    /// Client connections closed as the start of a session or a message was not complete in time.
    timed_out,
    /// Client connections closed for being idle for longer than the configuration allows.
    idle_closed,
    /// Client connections closed, or requests and statements rejected, as memory was short.
    no_memory,
    /// Requests rejected with Retry-After, as they would not have been read in time.
    too_late,
    /// Requests handed to the core.
    taken,
    /// Requests rejected before the core as invalid: fields, size.
    invalid,
    /// Final answers: served.
    served,
    /// Final answers: rejected.
    refused,
    /// Final answers: failed.
    failed,
    /// Requests whose client left first.
    left,
    /// Attempts forwarded to an engine.
    sent,
    /// Attempts cancelled.
    stopped,
    /// Calls to engines repeated, as their responses were invalid or did not come.
    asked_again,
    /// Connections opened to engines.
    engine_connects,
    /// Attempts that ended with success.
    ended_success,
    /// Attempts rejected by their engine.
    ended_overloaded,
    /// Attempts that ended with an error of their engine.
    ended_failure,
    /// Attempts for which no connection could be opened.
    ended_unreachable,
    /// Attempts whose connection broke.
    ended_broken,
    /// Attempts that ended after they were cancelled.
    ended_withdrawn,
    /// Attempts whose end is not known.
    ended_timed_out,
    /// Attempts that were never sent.
    ended_void,
    /// Events of the discovery service.
    list_events,
    /// Streams opened to the discovery service.
    list_connects,
    /// Reloads of the configuration.
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
