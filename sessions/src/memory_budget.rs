//! The memory budget: accounts for the memory reserved for clients, by purpose, and limits it.
//!
//! Owners report every change of their allocations, and call [`MemoryBudget::check`] before they accept a session, a
//! request or a prepared statement. As the budget fills up, the check fails for more purposes, so that open requests
//! can be completed.

/// The purpose for which memory is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemoryPurpose {
    /// Slots of all sessions, and the state of active sessions.
    Sessions,
    /// Input and output buffers of client connections, by their capacity.
    Buffers,
    /// Open requests with their statements and parameters.
    Requests,
    /// Results being received from engines over HTTP. Once encoded for the client, a result counts as
    /// [`MemoryPurpose::Buffers`].
    Results,
    /// Prepared statements of all sessions.
    Statements,
}

impl MemoryPurpose {
    /// All purposes, in the order of their discriminants.
    pub const ALL: [MemoryPurpose; 5] = [
        MemoryPurpose::Sessions,
        MemoryPurpose::Buffers,
        MemoryPurpose::Requests,
        MemoryPurpose::Results,
        MemoryPurpose::Statements,
    ];

    /// Name in the printed counters.
    pub fn name(self) -> &'static str {
        match self {
            MemoryPurpose::Sessions => "sessions",
            MemoryPurpose::Buffers => "buffers",
            MemoryPurpose::Requests => "requests",
            MemoryPurpose::Results => "results",
            MemoryPurpose::Statements => "statements",
        }
    }
}

const PURPOSE_COUNT: usize = MemoryPurpose::ALL.len();

/// Process memory divided by the budget.
const BUDGET_DIVISOR: usize = 2;
/// Budget divided by the limit for sessions.
const SESSIONS_DIVISOR: usize = 2;
/// Budget divided by the limit for prepared statements.
const STATEMENTS_DIVISOR: usize = 4;
/// Usage, in quarters of the budget, from which memory pressure is elevated.
const ELEVATED_QUARTERS: usize = 3;
/// Usage, in eighths of the budget, from which memory pressure is high.
const HIGH_EIGHTHS: usize = 7;

/// Usage of the budget, and the measures that follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// Less than three quarters.
    Normal,
    /// Three quarters or more. A new session requires the eviction of another one, new prepared statements are
    /// rejected, and idle sessions with prepared statements are evicted.
    Elevated,
    /// Seven eighths or more. New requests are rejected, and sessions with incomplete messages are evicted. Sessions
    /// are still read.
    High,
    /// The whole budget. Sessions with unread output are evicted too. Results of open requests may still grow.
    Exhausted,
}

/// Reason for which an allocation is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InsufficientMemory {
    /// The budget would be exceeded, or the remainder is reserved for other purposes.
    #[error("the memory budget is exhausted")]
    Budget,
    /// The limit of the purpose would be exceeded.
    #[error("the memory limit of this purpose is reached")]
    Purpose,
}

/// Bytes reserved for each purpose, and their limits.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    purpose_limits: [usize; PURPOSE_COUNT],
    reserved: [usize; PURPOSE_COUNT],
    peak: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_bytes`. Half of them is left to the program, the workload
    /// manager and the allocator. Prepared statements may use a quarter of the budget, sessions a half, and all other
    /// purposes the whole.
    pub fn new(memory_bytes: usize) -> Self {
        let limit = memory_bytes / BUDGET_DIVISOR;
        let mut purpose_limits = [limit; PURPOSE_COUNT];
        purpose_limits[MemoryPurpose::Sessions as usize] = limit / SESSIONS_DIVISOR;
        purpose_limits[MemoryPurpose::Statements as usize] = limit / STATEMENTS_DIVISOR;
        Self { limit, purpose_limits, reserved: [0; PURPOSE_COUNT], peak: 0 }
    }

    /// Limit of the total, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Limit of one purpose, in bytes.
    pub fn purpose_limit(&self, purpose: MemoryPurpose) -> usize {
        self.purpose_limits[purpose as usize]
    }

    /// Bytes reserved for one purpose.
    pub fn reserved(&self, purpose: MemoryPurpose) -> usize {
        self.reserved[purpose as usize]
    }

    /// Bytes reserved for all purposes.
    pub fn total(&self) -> usize {
        self.reserved.iter().sum()
    }

    /// Maximum of the total so far, in bytes.
    pub fn peak(&self) -> usize {
        self.peak
    }

    fn elevated(&self) -> usize {
        self.limit / 4 * ELEVATED_QUARTERS
    }

    fn high(&self) -> usize {
        self.limit / 8 * HIGH_EIGHTHS
    }

    /// The memory pressure that follows from the current total.
    pub fn pressure(&self) -> MemoryPressure {
        let total = self.total();
        match () {
            () if total >= self.limit => MemoryPressure::Exhausted,
            () if total >= self.high() => MemoryPressure::High,
            () if total >= self.elevated() => MemoryPressure::Elevated,
            () => MemoryPressure::Normal,
        }
    }

    /// Checks whether `bytes` more may be reserved for a purpose.
    ///
    /// # Errors
    /// The limit of the purpose would be exceeded, or the remaining budget is reserved for the completion of open
    /// requests.
    pub fn check(&self, purpose: MemoryPurpose, bytes: usize) -> Result<(), InsufficientMemory> {
        if self.reserved(purpose) + bytes > self.purpose_limit(purpose) {
            return Err(InsufficientMemory::Purpose);
        }
        let total_limit = match purpose {
            MemoryPurpose::Results => self.limit,
            MemoryPurpose::Buffers | MemoryPurpose::Requests => self.high(),
            MemoryPurpose::Sessions | MemoryPurpose::Statements => self.elevated(),
        };
        if self.total() + bytes > total_limit { Err(InsufficientMemory::Budget) } else { Ok(()) }
    }

    /// Records an allocation of `bytes`. Does not enforce any limit, see [`MemoryBudget::check`].
    pub fn reserve(&mut self, purpose: MemoryPurpose, bytes: usize) {
        self.resize(purpose, 0, bytes);
    }

    /// Records that `bytes` were freed.
    pub fn release(&mut self, purpose: MemoryPurpose, bytes: usize) {
        self.resize(purpose, bytes, 0);
    }

    /// Records that an allocation changed from `before` to `after` bytes.
    pub fn resize(&mut self, purpose: MemoryPurpose, before: usize, after: usize) {
        let reserved = &mut self.reserved[purpose as usize];
        debug_assert!(*reserved >= before, "{purpose:?}: {reserved} reserved, {before} released");
        *reserved = reserved.saturating_sub(before) + after;
        self.peak = self.peak.max(self.total());
    }
}

#[cfg(test)]
mod tests;
