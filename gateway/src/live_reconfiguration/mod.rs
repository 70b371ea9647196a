//! Live reconfiguration: prepares new settings to replace those in force while the gateway runs, without I/O.
//!
//! [`prepare`] takes the settings in force and new settings, both with their names. It converts the numbers of classes,
//! machine types, zones and tenants in the new settings, so that numbers in use by requests, attempts and engines keep
//! their meaning.
//! Settings are applied as a whole or not at all: after a [`SettingsRefused`], the settings in force stay unchanged.
//! The module `slots` assigns the numbers.

mod checks;
mod error;
mod slots;

use std::collections::BTreeSet;

use workload_manager::{ClassId, Settings, SettingsChange};

use crate::config::SettingsNames;

pub use error::{ReconfigurationError, SettingsRefused};
use slots::ClassSlots;

/// Settings with the names of their classes, machine types, zones and tenants.
#[derive(Clone, Copy, Debug)]
pub struct NamedSettings<'a> {
    /// Names for the numbers that `settings` uses.
    pub names: &'a SettingsNames,
    /// Settings of the workload manager.
    pub settings: &'a Settings,
}

/// New settings, ready to be applied.
#[derive(Clone, Debug)]
pub struct PreparedSettings {
    /// Names for the numbers that `change` uses.
    pub names: SettingsNames,
    /// Settings for the workload manager, with the origin of each class.
    pub change: SettingsChange,
}

/// Converts the numbers in `new` to those of the running gateway.
///
/// `classes_in_use` contains the classes of open requests and of attempts in flight. `tenants_in_use` contains the
/// tenants of users of the MySQL front end, which the new settings must contain.
///
/// # Errors
/// The new settings can't replace those in force without a restart, or are invalid.
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
