//! Resource bounds of a run: memory, time, processes and descriptors. A run that exceeds a bound ends with an error.

use std::time::{Duration, Instant};

use super::error::HollowError;

/// Maximum memory of all processes of a run together, in MiB.
pub const MAX_MEMORY_MB: u64 = 12_288;
/// Maximum number of processes of a run.
pub const MAX_PROCESSES: u64 = 300;
/// Maximum number of descriptors of a process.
pub const MAX_DESCRIPTORS: u64 = 20_000;

/// Memory and time bounds of one run.
#[derive(Clone, Debug)]
pub struct Bounds {
    memory_mb: u64,
    time_limit: Duration,
    started: Instant,
}

impl Bounds {
    /// Creates the bounds of a run that starts now. `memory_mb` is in MiB.
    pub fn new(memory_mb: u64, time_limit: Duration) -> Self {
        Self { memory_mb, time_limit, started: Instant::now() }
    }

    /// Checks the elapsed time and the total anonymous memory of these processes. Ended processes count as 0.
    ///
    /// # Errors
    /// A bound is exceeded.
    pub fn check(&self, processes: &[u32]) -> Result<(), HollowError> {
        let elapsed = self.started.elapsed();
        if elapsed > self.time_limit {
            let (reached, max) = (elapsed.as_secs(), self.time_limit.as_secs());
            return Err(HollowError::BoundExceeded { bound: "time", reached, max, unit: "s" });
        }
        let bytes: u64 = processes.iter().map(|process| resident_bytes(*process).unwrap_or(0)).sum();
        let reached = bytes >> 20;
        if reached > self.memory_mb {
            return Err(HollowError::BoundExceeded {
                bound: "memory",
                reached,
                max: self.memory_mb,
                unit: "MB",
            });
        }
        Ok(())
    }

    /// Checks the number of processes of a run.
    ///
    /// # Errors
    /// The number exceeds the bound.
    pub fn check_processes(processes: u64) -> Result<(), HollowError> {
        if processes <= MAX_PROCESSES {
            return Ok(());
        }
        Err(HollowError::BoundExceeded {
            bound: "processes",
            reached: processes,
            max: MAX_PROCESSES,
            unit: "processes",
        })
    }

    /// Checks the number of descriptors of one process.
    ///
    /// # Errors
    /// The number exceeds the bound.
    pub fn check_descriptors(descriptors: u64) -> Result<(), HollowError> {
        if descriptors <= MAX_DESCRIPTORS {
            return Ok(());
        }
        let (reached, max) = (descriptors, MAX_DESCRIPTORS);
        Err(HollowError::BoundExceeded {
            bound: "descriptors",
            reached,
            max,
            unit: "descriptors in a process",
        })
    }
}

/// Resident anonymous memory of a process, in bytes (`RssAnon` of proc(5)). `None` if the process has ended.
pub fn resident_bytes(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Processor time used by a thread, in nanoseconds (`schedstat` of proc(5)). `None` if the thread has ended.
pub fn processor_ns(process: u32, thread: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/task/{thread}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
