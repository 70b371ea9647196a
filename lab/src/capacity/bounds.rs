//! Limits on the memory, processes and time of a measurement. It is stopped with an error when it exceeds a limit.

use std::time::{Duration, Instant};

use super::error::{CapacityError, LimitKind};

/// Resource limits of all experiments of a command together.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Limits {
    /// Limit on the resident memory of the measuring process and the gateway together, in MiB.
    #[arg(long, default_value_t = 2_048)]
    pub memory_mb: u64,
    /// Limit on the number of threads of the measuring process plus gateway processes.
    #[arg(long, default_value_t = 400)]
    pub processes: u64,
    /// Time limit of all experiments together, in seconds.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 2_048, processes: 400, seconds: 60 }
    }
}

/// Resources in use, to compare with [`Limits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory of the measuring process and the gateway together, in MiB.
    pub memory_mb: u64,
    /// Threads of the measuring process plus gateway processes.
    pub processes: u64,
    /// Time since the creation of the [`Guard`], in seconds.
    pub seconds: u64,
}

impl Limits {
    /// Compares resource usage with the limits.
    ///
    /// # Errors
    /// A limit is exceeded.
    pub fn check(&self, usage: Usage) -> Result<(), CapacityError> {
        let exceeded = |kind, used, limit| Err(CapacityError::LimitExceeded { kind, used, limit });
        if usage.memory_mb > self.memory_mb {
            return exceeded(LimitKind::Memory, usage.memory_mb, self.memory_mb);
        }
        if usage.processes > self.processes {
            return exceeded(LimitKind::Processes, usage.processes, self.processes);
        }
        if usage.seconds > self.seconds {
            return exceeded(LimitKind::Time, usage.seconds, self.seconds);
        }
        Ok(())
    }
}

/// Maximum time between two checks of the limits during a sleep.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Enforces limits. The time limit counts from the creation of the guard.
#[derive(Clone, Copy, Debug)]
pub struct Guard {
    limits: Limits,
    started_at: Instant,
}

impl Guard {
    /// Creates a guard whose time starts now.
    pub fn new(limits: Limits) -> Self {
        Self { limits, started_at: Instant::now() }
    }

    /// Checks the limits for this process and, if its process id is given, the gateway.
    ///
    /// # Errors
    /// A limit is exceeded.
    pub fn check(&self, gateway: Option<u32>) -> Result<(), CapacityError> {
        let own = std::process::id();
        let resident = |pid| proc_status(pid, "VmRSS:").unwrap_or(0);
        let usage = Usage {
            memory_mb: (resident(own) + gateway.map_or(0, resident)) / 1024,
            processes: proc_status(own, "Threads:").unwrap_or(0) + u64::from(gateway.is_some()),
            seconds: self.started_at.elapsed().as_secs(),
        };
        self.limits.check(usage)
    }

    /// Sleeps for `duration` and checks the limits at least every `CHECK_INTERVAL`.
    ///
    /// # Errors
    /// A limit is exceeded.
    pub fn sleep(&self, duration: Duration, gateway: Option<u32>) -> Result<(), CapacityError> {
        let end = Instant::now() + duration;
        loop {
            self.check(gateway)?;
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(CHECK_INTERVAL));
        }
    }
}

/// Returns the number after `key` in `/proc/PID/status`: kilobytes for memory, else a count. `None`
/// if the process has ended or `key` is missing.
pub fn proc_status(pid: u32, key: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    line.split_whitespace().next()?.parse().ok()
}
