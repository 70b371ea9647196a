//! The poller, and the one place with unsafe code.

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

/// Events taken from the kernel at a time.
const EVENTS: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// And how often in a row while more are there, so that a turn knows all that is ready before it chooses.
const ROUNDS: usize = 64;

/// The poller.
pub struct Poll {
    poller: Poller,
    events: Events,
}

/// When a source that stays ready is told again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// At every wait.
    Always,
    /// Only when something has come since: for sources of which thousands may have to wait for their turn.
    Once,
}

impl Told {
    fn mode(self) -> PollMode {
        match self {
            Told::Always => PollMode::Level,
            Told::Once => PollMode::Edge,
        }
    }
}

impl Poll {
    /// A poller without sources.
    pub fn new() -> io::Result<Self> {
        Ok(Self { poller: Poller::new()?, events: Events::with_capacity(EVENTS) })
    }

    fn event(key: u64, i: Interest) -> Event {
        Event::new(key as usize, i.read, i.write)
    }

    /// Watches a source. Its owner calls [`Poll::remove`] before it closes it.
    pub fn add(&self, source: &impl AsRawFd, key: u64, interest: Interest, told: Told) -> io::Result<()> {
        // SAFETY: the source must be deleted from the poller before it is dropped. Sources live in the
        // server beside the poller; each is closed in one place, which calls `remove` first, and those that
        // live to the end are dropped with the poller itself. A descriptor closed without that would only
        // leave the kernel's set by itself; listeners alone are duplicated, into the process that takes this one's
        // place, and are removed before they are closed here.
        #[allow(unsafe_code)]
        unsafe {
            self.poller.add_with_mode(source.as_raw_fd(), Self::event(key, interest), told.mode())
        }
    }

    /// Changes what a source is waited for. What is ready already is told again.
    pub fn change(&self, source: impl AsSource, key: u64, interest: Interest, told: Told) -> io::Result<()> {
        self.poller.modify_with_mode(source, Self::event(key, interest), told.mode())
    }

    /// Forgets a source.
    pub fn remove(&self, source: impl AsFd) {
        // A source that is not there any more needs no removal.
        let _ = self.poller.delete(source);
    }

    /// Waits, then tells all keys that are ready, each with whether it can be read and written.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<(u64, Interest)>) -> io::Result<()> {
        ready.clear();
        let mut timeout = timeout;
        for _ in 0..ROUNDS {
            self.events.clear();
            self.poller.wait(&mut self.events, timeout)?;
            let before = ready.len();
            let interest = |e: &Event| Interest { read: e.readable, write: e.writable };
            ready.extend(self.events.iter().map(|e| (e.key as u64, interest(&e))));
            if ready.len() - before < EVENTS.get() {
                break;
            }
            timeout = Some(Duration::ZERO);
        }
        Ok(())
    }
}
