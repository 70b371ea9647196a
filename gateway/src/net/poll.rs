//! The poller, and the one place with unsafe code.

use std::io;
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

/// A level-triggered poller.
pub struct Poll {
    poller: Poller,
    events: Events,
}

impl Poll {
    /// A poller without sources.
    pub fn new() -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, events: Events::new() })
    }

    fn event(key: usize, i: Interest) -> Event {
        Event::new(key, i.read, i.write)
    }

    /// Watches a source. Its owner calls [`Poll::remove`] before it closes it.
    pub fn add(&self, source: &impl AsRawFd, key: usize, interest: Interest) -> io::Result<()> {
        // SAFETY: the source must be deleted from the poller before it is dropped. Sources live in the
        // server beside the poller; each is closed in one place, which calls `remove` first, and those that
        // live to the end are dropped with the poller itself. A descriptor closed without that would only
        // leave the kernel's set by itself, as no descriptor is ever duplicated here.
        #[allow(unsafe_code)]
        unsafe {
            self.poller.add_with_mode(source.as_raw_fd(), Self::event(key, interest), PollMode::Level)
        }
    }

    /// Changes what a source is waited for.
    pub fn change(&self, source: impl AsSource, key: usize, interest: Interest) -> io::Result<()> {
        self.poller.modify_with_mode(source, Self::event(key, interest), PollMode::Level)
    }

    /// Forgets a source.
    pub fn remove(&self, source: impl AsFd) {
        // A source that is not there any more needs no removal.
        let _ = self.poller.delete(source);
    }

    /// Waits, then tells the keys that are ready, each with whether it can be read and written.
    pub fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<(usize, Interest)>> {
        self.events.clear();
        self.poller.wait(&mut self.events, timeout)?;
        Ok(self.events.iter().map(|e| (e.key, Interest { read: e.readable, write: e.writable })).collect())
    }
}
