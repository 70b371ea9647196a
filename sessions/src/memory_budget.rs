//! The ledger of memory: what clients make the gateway hold, by kind, kept within a bound that the
//! configuration gives. Where it runs short, idle things go first and open requests last.

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Kind {
    /// Slots and hot parts of sessions.
    Sessions,
    /// Bytes read from clients and not yet understood, and bytes to be written to them.
    Buffers,
    /// Statements of open requests.
    Requests,
    /// Results that are being gathered from engines or written out.
    Results,
    /// Prepared statements.
    Statements,
}

/// All kinds, in the order of their numbers.
pub const KINDS: [Kind; 5] = [Kind::Sessions, Kind::Buffers, Kind::Requests, Kind::Results, Kind::Statements];

/// How much of the bound is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pressure {
    /// Enough for all.
    Calm,
    /// More than three quarters is held: what is only kept for speed goes, and idle sessions that hold more
    /// than their slot.
    Short,
    /// More than seven eighths is held: nothing new is begun.
    Scarce,
    /// All is held: nothing more is read but for requests that are open.
    Out,
}

/// Why memory is not to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoMemory {
    /// The bound of the whole is reached, or near enough that this kind may take no more.
    #[error("memory is short")]
    Whole,
    /// The bound of this kind is reached.
    #[error("the share for this is used up")]
    Share,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    bound: usize,
    shares: [usize; KINDS.len()],
    held: [usize; KINDS.len()],
    most: usize,
}

impl MemoryBudget {
    /// A ledger for `memory` bytes that the configuration allows the whole process. Half is left to the program,
    /// its decisions and the allocator; prepared statements may have a quarter of the rest, sessions a half,
    /// all others as much as there is.
    pub fn new(memory: usize) -> Self {
        let bound = memory / 2;
        let mut shares = [bound; KINDS.len()];
        shares[Kind::Sessions as usize] = bound / 2;
        shares[Kind::Statements as usize] = bound / 4;
        Self { bound, shares, held: [0; KINDS.len()], most: 0 }
    }

    /// Bytes that may be held.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Bytes of one kind that may be held.
    pub fn share(&self, kind: Kind) -> usize {
        self.shares[kind as usize]
    }

    /// Bytes held for one kind.
    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize]
    }

    /// Bytes held in all.
    pub fn total(&self) -> usize {
        self.held.iter().sum()
    }

    /// The most bytes that were held at once.
    pub fn most(&self) -> usize {
        self.most
    }

    /// How short memory is.
    pub fn pressure(&self) -> Pressure {
        let total = self.total();
        match () {
            () if total >= self.bound => Pressure::Out,
            () if total >= self.bound / 8 * 7 => Pressure::Scarce,
            () if total >= self.bound / 4 * 3 => Pressure::Short,
            () => Pressure::Calm,
        }
    }

    /// Whether `bytes` more of a kind may be taken.
    ///
    /// # Errors
    /// The kind's share is used up, or so little is left that what is open needs it.
    pub fn allows(&self, kind: Kind, bytes: usize) -> Result<(), NoMemory> {
        if self.held(kind) + bytes > self.share(kind) {
            return Err(NoMemory::Share);
        }
        // What is open already is served out of what nobody else may touch.
        let reach = match kind {
            Kind::Results => self.bound,
            Kind::Buffers | Kind::Requests => self.bound / 8 * 7,
            Kind::Sessions | Kind::Statements => self.bound / 4 * 3,
        };
        if self.total() + bytes > reach { Err(NoMemory::Whole) } else { Ok(()) }
    }

    /// Books that something which held `before` bytes holds `after` now.
    pub fn book(&mut self, kind: Kind, before: usize, after: usize) {
        let held = &mut self.held[kind as usize];
        debug_assert!(*held >= before, "{kind:?}: {held} held, {before} given back");
        *held = held.saturating_sub(before) + after;
        self.most = self.most.max(self.total());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MB: usize = 1 << 20;

    #[test]
    fn idle_things_are_turned_away_first_and_open_requests_last() {
        let mut ledger = MemoryBudget::new(32 * MB);
        assert_eq!((ledger.bound(), ledger.pressure()), (16 * MB, Pressure::Calm));
        let may = |l: &MemoryBudget| KINDS.map(|k| l.allows(k, 4096).is_ok());
        assert_eq!(may(&ledger), [true; 5]);
        ledger.book(Kind::Results, 0, 12 * MB);
        assert_eq!((ledger.pressure(), may(&ledger)), (Pressure::Short, [false, true, true, true, false]));
        ledger.book(Kind::Results, 0, 2 * MB);
        assert_eq!((ledger.pressure(), may(&ledger)), (Pressure::Scarce, [false, false, false, true, false]));
        ledger.book(Kind::Results, 0, 2 * MB);
        assert_eq!((ledger.pressure(), may(&ledger)), (Pressure::Out, [false; 5]));
        ledger.book(Kind::Results, 16 * MB, 0);
        assert_eq!((ledger.pressure(), ledger.most()), (Pressure::Calm, 16 * MB));
    }

    #[test]
    fn statements_have_a_share_of_their_own() {
        let mut ledger = MemoryBudget::new(32 * MB);
        ledger.book(Kind::Statements, 0, 4 * MB);
        assert_eq!(ledger.allows(Kind::Statements, 1), Err(NoMemory::Share));
        assert_eq!(ledger.allows(Kind::Requests, MB), Ok(()));
        ledger.book(Kind::Statements, 100, 0);
        assert_eq!(ledger.allows(Kind::Statements, 100), Ok(()));
    }
}
