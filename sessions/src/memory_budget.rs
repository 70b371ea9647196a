//! The memory budget: how many bytes the gateway holds for clients, by purpose, and how many it may hold.
//!
//! Owners report each change of what they hold; [`MemoryBudget::check`] says beforehand whether more may be
//! held. The nearer the limit, the fewer purposes may take more, so that open requests always end.

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemoryPurpose {
    /// Slots of sessions, and the state of active ones.
    Sessions,
    /// Bytes read from clients and not yet parsed, and bytes to be written to them.
    Buffers,
    /// Statements of open requests.
    Requests,
    /// Results that are being read from engines or written to clients.
    Results,
    /// Prepared statements.
    Statements,
}

impl MemoryPurpose {
    /// All of them, in the order of their numbers.
    pub const ALL: [MemoryPurpose; 5] = [
        MemoryPurpose::Sessions,
        MemoryPurpose::Buffers,
        MemoryPurpose::Requests,
        MemoryPurpose::Results,
        MemoryPurpose::Statements,
    ];

    /// Its name among the printed figures.
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

const PURPOSES: usize = MemoryPurpose::ALL.len();

/// The budget is the process's memory divided by this.
const BUDGET_DIVISOR: usize = 2;
/// Sessions may have the budget divided by this.
const SESSIONS_DIVISOR: usize = 2;
/// Prepared statements may have the budget divided by this.
const STATEMENTS_DIVISOR: usize = 4;
/// Quarters of the budget from which memory pressure is elevated.
const ELEVATED_QUARTERS: usize = 3;
/// Eighths of the budget from which memory pressure is high.
const HIGH_EIGHTHS: usize = 7;

/// How much of the budget is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// Up to three quarters.
    Normal,
    /// Three quarters or more: no new sessions and prepared statements, and idle sessions with statements are evicted.
    Elevated,
    /// Seven eighths or more: no new requests, and sessions with incomplete messages are evicted. Reading
    /// goes on.
    High,
    /// All of it: sessions that don't read their answers are evicted too. Results of open requests still
    /// grow.
    Exhausted,
}

/// Why more memory may not be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InsufficientMemory {
    /// The budget is exhausted, or near enough that what is left is kept for other purposes.
    #[error("memory is short")]
    Budget,
    /// The purpose has reached its own limit.
    #[error("the share for this is used up")]
    Purpose,
}

/// The memory budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    purpose_limits: [usize; PURPOSES],
    held: [usize; PURPOSES],
    peak: usize,
}

impl MemoryBudget {
    /// A budget for a process that may have `memory` bytes. Half of them is left to the program, the workload manager
    /// and the allocator; of the budget prepared statements may have a quarter and sessions a half, the others all.
    pub fn new(memory: usize) -> Self {
        let limit = memory / BUDGET_DIVISOR;
        let mut purpose_limits = [limit; PURPOSES];
        purpose_limits[MemoryPurpose::Sessions as usize] = limit / SESSIONS_DIVISOR;
        purpose_limits[MemoryPurpose::Statements as usize] = limit / STATEMENTS_DIVISOR;
        Self { limit, purpose_limits, held: [0; PURPOSES], peak: 0 }
    }

    /// Bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that may be held for one purpose.
    pub fn purpose_limit(&self, purpose: MemoryPurpose) -> usize {
        self.purpose_limits[purpose as usize]
    }

    /// Bytes held for one purpose.
    pub fn held(&self, purpose: MemoryPurpose) -> usize {
        self.held[purpose as usize]
    }

    /// Bytes held in all.
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }

    /// The most bytes that were held at once.
    pub fn peak(&self) -> usize {
        self.peak
    }

    fn elevated(&self) -> usize {
        self.limit / 4 * ELEVATED_QUARTERS
    }

    fn high(&self) -> usize {
        self.limit / 8 * HIGH_EIGHTHS
    }

    /// How much of the budget is held.
    pub fn pressure(&self) -> MemoryPressure {
        let total = self.total();
        match () {
            () if total >= self.limit => MemoryPressure::Exhausted,
            () if total >= self.high() => MemoryPressure::High,
            () if total >= self.elevated() => MemoryPressure::Elevated,
            () => MemoryPressure::Normal,
        }
    }

    /// Whether `bytes` more may be held for a purpose.
    ///
    /// # Errors
    /// The purpose has reached its limit, or what is left is kept for purposes that end open requests.
    pub fn check(&self, purpose: MemoryPurpose, bytes: usize) -> Result<(), InsufficientMemory> {
        if self.held(purpose) + bytes > self.purpose_limit(purpose) {
            return Err(InsufficientMemory::Purpose);
        }
        let total_limit = match purpose {
            MemoryPurpose::Results => self.limit,
            MemoryPurpose::Buffers | MemoryPurpose::Requests => self.high(),
            MemoryPurpose::Sessions | MemoryPurpose::Statements => self.elevated(),
        };
        if self.total() + bytes > total_limit { Err(InsufficientMemory::Budget) } else { Ok(()) }
    }

    /// Reserves `bytes` more. Never fails: whoever may be refused asks [`MemoryBudget::check`] before.
    pub fn reserve(&mut self, purpose: MemoryPurpose, bytes: usize) {
        self.resize(purpose, 0, bytes);
    }

    /// Gives back `bytes` that were reserved.
    pub fn release(&mut self, purpose: MemoryPurpose, bytes: usize) {
        self.resize(purpose, bytes, 0);
    }

    /// Changes a reservation of `before` bytes into one of `after` bytes.
    pub fn resize(&mut self, purpose: MemoryPurpose, before: usize, after: usize) {
        let held = &mut self.held[purpose as usize];
        debug_assert!(*held >= before, "{purpose:?}: {held} held, {before} given back");
        *held = held.saturating_sub(before) + after;
        self.peak = self.peak.max(self.total());
    }
}

#[cfg(test)]
mod tests;
