//! Command-line options that several subcommands share: the fleet size and the bounds of a run.

use std::time::Duration;

use clap::Args;

use super::bounds::{Bounds, MAX_MEMORY_MB};
use super::error::HollowError;
use super::fleet::FleetSize;

/// Options for the fleet size.
#[derive(Args, Clone, Copy, Debug)]
pub struct SizeOptions {
    /// Number of gateways.
    #[arg(long, default_value_t = FleetSize::PLANNED.gateways)]
    pub gateways: usize,
    /// Number of databases.
    #[arg(long, default_value_t = FleetSize::PLANNED.databases)]
    pub databases: usize,
    /// Number of control machines.
    #[arg(long, default_value_t = FleetSize::PLANNED.control)]
    pub control: usize,
}

impl SizeOptions {
    /// Returns the fleet size after range checks.
    ///
    /// # Errors
    /// An option is out of range.
    pub fn size(&self) -> Result<FleetSize, HollowError> {
        let Self { gateways, databases, control } = *self;
        FleetSize { gateways, databases, control }.check()
    }
}

/// Options for the bounds of a run.
#[derive(Args, Clone, Copy, Debug)]
pub struct BoundOptions {
    /// Maximum memory of all processes together, in MiB. A run that exceeds it ends with an error.
    #[arg(long, default_value_t = MAX_MEMORY_MB)]
    pub memory_mb: u64,
    /// Maximum duration of the run, in seconds. A run that exceeds it ends with an error.
    #[arg(long, default_value_t = 900)]
    pub limit_s: u64,
}

impl BoundOptions {
    /// Returns the bounds after range checks. The time limit counts from this call.
    ///
    /// # Errors
    /// An option is out of range.
    pub fn bounds(&self) -> Result<Bounds, HollowError> {
        let ranges = [("memory-mb", self.memory_mb, MAX_MEMORY_MB), ("limit-s", self.limit_s, 3600)];
        for (option, value, max) in ranges {
            if !(1..=max).contains(&value) {
                return Err(HollowError::OptionOutOfRange { option, value, min: 1, max });
            }
        }
        Ok(Bounds::new(self.memory_mb, Duration::from_secs(self.limit_s)))
    }
}
