//! The size of a fleet and where its machines stand.

use super::error::HollowError;

/// Zones of the fleet.
pub const ZONES: usize = 5;
/// Zones of the first region; the others are the second's.
pub const FIRST_REGION_ZONES: usize = 3;
/// Machines of a zone stand in so many racks. The operators name no size of a rack: this is an assumption.
pub const RACKS_PER_ZONE: usize = 8;

/// How many machines of each role there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Gateways.
    pub gateways: usize,
    /// Databases.
    pub databases: usize,
    /// Control machines.
    pub control: usize,
}

impl FleetSize {
    /// The size that the operators name for two years from now.
    pub const NAMED: Self = Self { gateways: 550, databases: 810, control: 7 };

    /// Checks that the size is one that can be run.
    ///
    /// # Errors
    /// A number is out of range.
    pub fn check(self) -> Result<Self, HollowError> {
        let numbers = [
            ("gateways", self.gateways, 2000),
            ("databases", self.databases, 5000),
            ("control", self.control, 50),
        ];
        for (option, value, most) in numbers {
            if !(1..=most).contains(&value) {
                let (value, most) = (value as u64, most as u64);
                return Err(HollowError::Option { option, value, least: 1, most });
            }
        }
        Ok(self)
    }
}

/// The zone of the machine of this number in its role.
pub fn zone(machine: usize) -> usize {
    machine % ZONES
}

/// The region of a zone, 0 or 1.
pub fn region(zone: usize) -> usize {
    usize::from(zone >= FIRST_REGION_ZONES)
}

/// The rack of the machine of this number in its role, within its zone.
pub fn rack(machine: usize) -> usize {
    machine / ZONES % RACKS_PER_ZONE
}
