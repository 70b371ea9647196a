//! Options that several kinds of runs share: the size of the fleet, and the bounds of a run.

use std::time::Duration;

use clap::Args;

use super::bounds::{Bounds, MOST_MEMORY_MB};
use super::error::HollowError;
use super::fleet::FleetSize;

/// The size of a fleet on the command line.
#[derive(Args, Clone, Copy, Debug)]
pub struct SizeOptions {
    /// Gateways.
    #[arg(long, default_value_t = FleetSize::NAMED.gateways)]
    pub gateways: usize,
    /// Databases.
    #[arg(long, default_value_t = FleetSize::NAMED.databases)]
    pub databases: usize,
    /// Control machines.
    #[arg(long, default_value_t = FleetSize::NAMED.control)]
    pub control: usize,
}

impl SizeOptions {
    /// The size, checked.
    ///
    /// # Errors
    /// A number is out of range.
    pub fn size(&self) -> Result<FleetSize, HollowError> {
        let Self { gateways, databases, control } = *self;
        FleetSize { gateways, databases, control }.check()
    }
}

/// The bounds of a run on the command line.
#[derive(Args, Clone, Copy, Debug)]
pub struct BoundOptions {
    /// Stops at so much memory of all processes together, in MB.
    #[arg(long, default_value_t = MOST_MEMORY_MB)]
    pub memory_mb: u64,
    /// Stops after so many seconds.
    #[arg(long, default_value_t = 900)]
    pub limit_s: u64,
}

impl BoundOptions {
    /// The bounds, checked.
    ///
    /// # Errors
    /// A number is out of range.
    pub fn bounds(&self) -> Result<Bounds, HollowError> {
        let ranges = [("memory-mb", self.memory_mb, MOST_MEMORY_MB), ("limit-s", self.limit_s, 3600)];
        for (option, value, most) in ranges {
            if !(1..=most).contains(&value) {
                return Err(HollowError::Option { option, value, least: 1, most });
            }
        }
        Ok(Bounds::new(self.memory_mb, Duration::from_secs(self.limit_s)))
    }
}
