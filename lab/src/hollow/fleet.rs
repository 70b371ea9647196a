//! The size of a fleet and the placement of its machines in zones, regions and racks.

use super::error::HollowError;

/// Number of zones of the fleet.
pub const ZONES: usize = 5;
/// Number of zones in the first region. The remaining zones form the second region.
pub const FIRST_REGION_ZONES: usize = 3;
/// Number of racks in each zone.
pub const RACKS_PER_ZONE: usize = 8;

/// Number of machines of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of gateways, from 1 to 2000.
    pub gateways: usize,
    /// Number of databases, from 1 to 5000.
    pub databases: usize,
    /// Number of control machines, from 1 to 50.
    pub control: usize,
}

impl FleetSize {
    /// Fleet size that the operators expect in two years, and default of the size options.
    pub const PLANNED: Self = Self { gateways: 550, databases: 810, control: 7 };

    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// A number is out of range.
    pub fn check(self) -> Result<Self, HollowError> {
        let numbers = [
            ("gateways", self.gateways, 2000),
            ("databases", self.databases, 5000),
            ("control", self.control, 50),
        ];
        for (option, value, max) in numbers {
            if !(1..=max).contains(&value) {
                let (value, max) = (value as u64, max as u64);
                return Err(HollowError::OptionOutOfRange { option, value, min: 1, max });
            }
        }
        Ok(self)
    }
}

/// Zone of a machine, given its number within its role.
pub fn zone(machine: usize) -> usize {
    machine % ZONES
}

/// Region of a zone, 0 or 1.
pub fn region(zone: usize) -> usize {
    usize::from(zone >= FIRST_REGION_ZONES)
}

/// Rack of a machine within its zone, given its number within its role.
pub fn rack(machine: usize) -> usize {
    machine / ZONES % RACKS_PER_ZONE
}
