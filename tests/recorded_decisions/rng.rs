//! Numbers drawn from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A source of drawn numbers.
pub struct Draws(Pcg32);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self(Pcg32::seed_from_u64(seed))
    }

    pub fn below(&mut self, bound: u32) -> u32 {
        self.0.next_u32() % bound
    }

    pub fn percent(&mut self, chance: u32) -> bool {
        self.below(100) < chance
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        f64::from(self.below(1_000_000)) / 1e6
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    pub fn pick<T: Clone>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u32) as usize].clone()
    }
}
