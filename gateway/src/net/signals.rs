//! The signals that the gateway handles: SIGTERM, SIGUSR1 and SIGHUP, each as a pipe that becomes readable.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use super::poll::{Interest, Poll, Trigger};
use super::poll_key::PollKey;

/// The pipes of the signals. Signals are caught before anything else is done: SIGHUP or SIGTERM would else end a process
/// that is just starting, with clients in the queues of its listeners.
pub struct Signals {
    terminate: UnixStream,
    print_counters: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Catches SIGTERM, SIGUSR1 and SIGHUP from here on.
    ///
    /// # Errors
    /// No descriptor, or the system refuses.
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

    /// Empties the pipe of a signal that has come, however often.
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
