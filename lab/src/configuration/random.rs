//! Random numbers that are reproducible from a seed.

/// The SplitMix64 generator.
pub struct Random(u64);

impl Random {
    /// Starts a sequence. The seed is mixed first, so that adjacent seeds give unrelated sequences.
    pub fn new(seed: u64) -> Self {
        Self(Self(seed).next())
    }

    /// The next number, uniform over all 64-bit values.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`, which must not be 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    /// Returns true with a probability of `cases` in a thousand.
    pub fn per_mille(&mut self, cases: u64) -> bool {
        self.below(1_000) < cases
    }

    /// A number from the exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let uniform = (self.next() >> 11) as f64 / (1u64 << 53) as f64;
        -mean * (1.0 - uniform).ln()
    }
}
