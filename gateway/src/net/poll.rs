//! Readiness polling of sockets and pipes. This is the only module with unsafe code.
//!
//! A source is added under a key. The owner must call [`Poll::remove`] before closing the source.

use std::io;
use std::num::NonZeroUsize;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

use polling::{AsSource, Event, Events, PollMode, Poller};

/// The kinds of readiness that a source is polled for, or that an event reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read, or end of stream.
    pub read: bool,
    /// Space in the send buffer.
    pub write: bool,
}

/// Maximum number of events returned by one system call.
const EVENTS_PER_WAIT: NonZeroUsize = NonZeroUsize::new(1024).expect("1024 is not zero");
/// Maximum number of consecutive system calls in one wait while each returns a full batch. All batches of a turn are
/// collected first, as the read scheduler chooses among all ready sessions.
const MAX_WAITS: usize = 64;

/// A poller with a reusable buffer of events.
pub struct Poll {
    poller: Poller,
    events: Events,
}

/// Trigger mode of a source: how often events are delivered while the source stays ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// An event is delivered at every wait.
    Level,
    /// An event is delivered only when the source becomes ready or receives more input. Sources that stay ready while
    /// queued for reading then cost nothing at each wait.
    Edge,
}

impl Trigger {
    fn mode(self) -> PollMode {
        match self {
            Trigger::Level => PollMode::Level,
            Trigger::Edge => PollMode::Edge,
        }
    }
}

impl Poll {
    /// Creates a poller without sources.
    ///
    /// # Errors
    /// The system call that creates the poller failed.
    pub fn new() -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, events: Events::with_capacity(EVENTS_PER_WAIT) })
    }

    fn event(key: u64, interest: Interest) -> Event {
        Event::new(key as usize, interest.read, interest.write)
    }

    /// Adds a source. The owner must call [`Poll::remove`] before closing the source.
    ///
    /// # Errors
    /// The system call failed.
    pub fn add(
        &self,
        source: &impl AsRawFd,
        key: u64,
        interest: Interest,
        trigger: Trigger,
    ) -> io::Result<()> {
        // SAFETY: the source must be deleted from the poller before it is dropped. The server owns the sources and
        // the poller. Each kind of source is closed in one place, which calls `remove` first, and the remaining
        // sources are dropped together with the poller. The kernel removes a descriptor that is closed without
        // `remove`, unless the descriptor was duplicated. Only listeners are duplicated, into the successor process,
        // and these are removed before they are closed.
        #[allow(unsafe_code)]
        unsafe {
            self.poller.add_with_mode(source.as_raw_fd(), Self::event(key, interest), trigger.mode())
        }
    }

    /// Changes the interest in a source. An event is delivered again if the source is ready already, also with
    /// [`Trigger::Edge`].
    ///
    /// # Errors
    /// The system call failed.
    pub fn change(
        &self,
        source: impl AsSource,
        key: u64,
        interest: Interest,
        trigger: Trigger,
    ) -> io::Result<()> {
        self.poller.modify_with_mode(source, Self::event(key, interest), trigger.mode())
    }

    /// Removes a source. Must be called before the source is closed.
    pub fn remove(&self, source: impl AsFd) {
        // Removal fails only if the source is not registered.
        let _ = self.poller.delete(source);
    }

    /// Waits for events, at most for `timeout` if there is one, and replaces the contents of `ready` by the keys of all
    /// ready sources, each with the operations that are ready. After more than one system call, a source with
    /// [`Trigger::Level`] may occur several times.
    ///
    /// # Errors
    /// The system call failed.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<(u64, Interest)>) -> io::Result<()> {
        ready.clear();
        let mut timeout = timeout;
        for _ in 0..MAX_WAITS {
            self.events.clear();
            self.poller.wait(&mut self.events, timeout)?;
            let before = ready.len();
            let interest = |e: &Event| Interest { read: e.readable, write: e.writable };
            ready.extend(self.events.iter().map(|e| (e.key as u64, interest(&e))));
            if ready.len() - before < EVENTS_PER_WAIT.get() {
                break;
            }
            timeout = Some(Duration::ZERO);
        }
        Ok(())
    }
}
