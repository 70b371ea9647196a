//! A seeded random number generator for the simulation.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A generator that yields the same values for the same seed on every platform.
pub struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(Pcg32::seed_from_u64(seed))
    }

    /// An integer from 0 to `bound - 1`.
    pub fn below(&mut self, bound: u32) -> u32 {
        self.0.next_u32() % bound
    }

    /// True with a probability of `percent` / 100.
    pub fn chance(&mut self, percent: u32) -> bool {
        self.below(100) < percent
    }

    /// A multiple of 1e-6 from 0 to less than 1.
    pub fn unit_interval(&mut self) -> f64 {
        f64::from(self.below(1_000_000)) / 1e6
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit_interval()
    }

    pub fn pick<T: Clone>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u32) as usize].clone()
    }
}
