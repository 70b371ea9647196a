//! Handling of SIGTERM, SIGUSR1 and SIGHUP: each signal makes a pipe readable, which the event loop polls.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use super::poll::{Interest, Poll, Trigger};
use super::poll_key::PollKey;

/// The pipes of the handled signals. They must be created before the listeners: by default these signals terminate a
/// starting process, and clients in the accept queues of its listeners would be reset.
pub struct Signals {
    terminate: UnixStream,
    print_counters: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGUSR1 and SIGHUP.
    ///
    /// # Errors
    /// Creating a pipe or installing a handler failed.
    pub fn catch() -> io::Result<Self> {
        use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
        Ok(Self {
            terminate: signal_pipe(SIGTERM)?,
            print_counters: signal_pipe(SIGUSR1)?,
            reload: signal_pipe(SIGHUP)?,
        })
    }

    /// Adds the pipes to the poller.
    pub(super) fn register(&self, poll: &Poll) -> io::Result<()> {
        let readable = Interest { read: true, write: false };
        for key in [PollKey::Terminate, PollKey::PrintCounters, PollKey::Reload] {
            if let Some(pipe) = self.pipe(key) {
                poll.add(pipe, key.encode(), readable, Trigger::Level)?;
            }
        }
        Ok(())
    }

    /// Drains the pipe of a signal. Several deliveries of the signal count as one.
    pub(super) fn drain(&self, key: PollKey) {
        let Some(mut pipe) = self.pipe(key) else { return };
        let mut bytes = [0; 64];
        while pipe.read(&mut bytes).is_ok_and(|n| n > 0) {}
    }

    fn pipe(&self, key: PollKey) -> Option<&UnixStream> {
        match key {
            PollKey::Terminate => Some(&self.terminate),
            PollKey::PrintCounters => Some(&self.print_counters),
            PollKey::Reload => Some(&self.reload),
            _ => None,
        }
    }
}

fn signal_pipe(signal: i32) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    Ok(read)
}
