//! Live reconfiguration: new settings while the gateway serves, without I/O.
//!
//! [`prepare`] takes the settings in force and new ones, both with their names, and gives the new ones the numbers
//! under which the gateway and the workload manager know classes, machine types, zones and tenants, so that what is in
//! flight keeps the numbers that it has. Either all of the new settings are applied or none: a [`SettingsRefused`]
//! leaves those in force as they are. The rules for numbers stand in `slots`.

mod checks;
mod error;
mod slots;

use std::collections::BTreeSet;

use workload_manager::{ClassId, Settings, SettingsChange};

use crate::config::SettingsNames;

pub use error::{ReconfigurationError, SettingsRefused};
use slots::ClassSlots;

/// Settings with the names that their numbers stand for.
#[derive(Clone, Copy, Debug)]
pub struct NamedSettings<'a> {
    /// Names by number.
    pub names: &'a SettingsNames,
    /// The settings.
    pub settings: &'a Settings,
}

/// New settings, ready to be applied.
#[derive(Clone, Debug)]
pub struct PreparedSettings {
    /// Names by number.
    pub names: SettingsNames,
    /// The settings by these numbers, for the workload manager.
    pub change: SettingsChange,
}

/// Gives what `new` names the numbers that it has while the gateway serves.
///
/// `classes_in_use` has the classes of open requests and of attempts in flight; `tenants_in_use` the tenants that must
/// stay.
///
/// # Errors
/// Why the settings in force have to stay.
pub fn prepare<'a>(
    current: NamedSettings<'_>,
    new: NamedSettings<'_>,
    classes_in_use: &BTreeSet<ClassId>,
    tenants_in_use: impl Iterator<Item = &'a str>,
) -> Result<PreparedSettings, SettingsRefused> {
    checks::check(current, new, tenants_in_use)?;
    let mut names = current.names.clone();
    slots::add_machine_types_and_zones(&mut names, new.names)?;
    let classes =
        new.settings.classes.iter().map(|class| slots::translate_ids(class, new.names, &mut names)).collect();
    let class_slots = ClassSlots::new(current, classes_in_use).assign(&new.names.classes, classes);
    names.classes = class_slots.names;
    names.retired_classes = class_slots.retired;
    let tenants = slots::assign_tenants(&mut names, current.settings, new);
    let settings = Settings {
        zone: current.settings.zone,
        classes: class_slots.classes,
        machine_types: slots::machine_types(&names, current.settings, new),
        tenants,
        ..new.settings.clone()
    };
    let change = SettingsChange { settings, origins: class_slots.origins };
    change.check(current.settings.classes.len())?;
    Ok(PreparedSettings { names, change })
}

#[cfg(test)]
mod tests;
