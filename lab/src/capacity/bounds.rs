//! What a run may use: memory, processes and time. A run that outgrows a bound is stopped and says so.

use std::time::{Duration, Instant};

use super::error::{Bound, CapacityError};

/// The bounds of a run.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Limits {
    /// Memory of all processes of a run together, in MB.
    #[arg(long, default_value_t = 2_048)]
    pub memory_mb: u64,
    /// Processes of a run, and threads of the measuring one.
    #[arg(long, default_value_t = 400)]
    pub processes: u64,
    /// Time of a run, in seconds.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 2_048, processes: 400, seconds: 60 }
    }
}

/// What a run uses at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Memory of all processes together, in MB.
    pub memory_mb: u64,
    /// Processes, and threads of the measuring one.
    pub processes: u64,
    /// Since the start of the run, in seconds.
    pub seconds: u64,
}

impl Limits {
    /// Holds what is used against the bounds.
    ///
    /// # Errors
    /// A bound is passed.
    pub fn check(&self, usage: Usage) -> Result<(), CapacityError> {
        let outgrown = |bound, reached, most| Err(CapacityError::Outgrown { bound, reached, most });
        if usage.memory_mb > self.memory_mb {
            return outgrown(Bound::Memory, usage.memory_mb, self.memory_mb);
        }
        if usage.processes > self.processes {
            return outgrown(Bound::Processes, usage.processes, self.processes);
        }
        if usage.seconds > self.seconds {
            return outgrown(Bound::Time, usage.seconds, self.seconds);
        }
        Ok(())
    }
}

/// The longest time between two checks of the bounds during a wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Holds a run to its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Guard {
    limits: Limits,
    began: Instant,
}

impl Guard {
    /// The guard of a run that begins now.
    pub fn new(limits: Limits) -> Self {
        Self { limits, began: Instant::now() }
    }

    /// Holds this process, and a gateway's where there is one, to the bounds.
    ///
    /// # Errors
    /// A bound is passed.
    pub fn check(&self, gateway: Option<u32>) -> Result<(), CapacityError> {
        let own = std::process::id();
        let resident = |process| status(process, "VmRSS:").unwrap_or(0);
        let usage = Usage {
            memory_mb: (resident(own) + gateway.map_or(0, resident)) / 1024,
            processes: status(own, "Threads:").unwrap_or(0) + u64::from(gateway.is_some()),
            seconds: self.began.elapsed().as_secs(),
        };
        self.limits.check(usage)
    }

    /// Waits, and checks the bounds meanwhile.
    ///
    /// # Errors
    /// A bound is passed.
    pub fn sleep(&self, span: Duration, gateway: Option<u32>) -> Result<(), CapacityError> {
        let end = Instant::now() + span;
        loop {
            self.check(gateway)?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(CHECK_INTERVAL));
        }
    }
}

/// A number from `status` of proc(5): kilobytes, or a count.
pub fn status(process: u32, key: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    line.split_whitespace().next()?.parse().ok()
}
