//! The poller: which sources are ready to be read or written. The one place with unsafe code.
//!
//! A source is added under a key, and its owner calls [`Poll::remove`] before it closes it.

use std::io;
use std::num::NonZeroUsize;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

use polling::{AsSource, Event, Events, PollMode, Poller};

/// What a source is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Bytes to read, or the other side's end.
    pub read: bool,
    /// Room to write.
    pub write: bool,
}

/// Events that are taken from the kernel in one call.
const EVENTS_PER_WAIT: NonZeroUsize = NonZeroUsize::new(1024).expect("1024 is not zero");
/// Calls in a row while more events are there, so that a turn knows all that is ready before it chooses.
const MAX_WAITS: usize = 64;

/// The poller.
pub struct Poll {
    poller: Poller,
    events: Events,
}

/// When events are delivered for a source that stays ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At every wait.
    Level,
    /// Only when something has come since: for sources of which thousands may have to wait for their turn.
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
    /// A poller without sources.
    ///
    /// # Errors
    /// The system has no descriptor for it.
    pub fn new() -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, events: Events::with_capacity(EVENTS_PER_WAIT) })
    }

    fn event(key: u64, interest: Interest) -> Event {
        Event::new(key as usize, interest.read, interest.write)
    }

    /// Adds a source. Its owner calls [`Poll::remove`] before it closes it.
    ///
    /// # Errors
    /// The system refuses.
    pub fn add(
        &self,
        source: &impl AsRawFd,
        key: u64,
        interest: Interest,
        trigger: Trigger,
    ) -> io::Result<()> {
        // SAFETY: the source must be deleted from the poller before it is dropped. Sources are kept in the
        // server beside the poller; each is closed in one place, which calls `remove` first, and those that
        // are left at the end are dropped with the poller itself. A descriptor closed without that would only
        // leave the kernel's set by itself; listeners alone are duplicated, into the successor of this process,
        // and are removed before they are closed here.
        #[allow(unsafe_code)]
        unsafe {
            self.poller.add_with_mode(source.as_raw_fd(), Self::event(key, interest), trigger.mode())
        }
    }

    /// Changes what a source is waited for. Events are delivered again for what is ready already.
    ///
    /// # Errors
    /// The system refuses.
    pub fn change(
        &self,
        source: impl AsSource,
        key: u64,
        interest: Interest,
        trigger: Trigger,
    ) -> io::Result<()> {
        self.poller.modify_with_mode(source, Self::event(key, interest), trigger.mode())
    }

    /// Removes a source.
    pub fn remove(&self, source: impl AsFd) {
        // A source that is not there any more needs no removal.
        let _ = self.poller.delete(source);
    }

    /// Waits, at most for the time-out, and fills `ready` with the keys of all sources that are ready, each with
    /// whether it can be read and written.
    ///
    /// # Errors
    /// The system refuses.
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
