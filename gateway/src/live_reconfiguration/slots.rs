//! Assigns numbers to classes, tenants, machine types and zones when settings change.
//!
//! The number of a class is its slot. An unchanged class keeps its slot. A new or changed class gets a slot that no
//! request and no attempt uses. Slots without a class of the new settings are retired: no new request gets them. A
//! retired slot is reused once no request and no attempt uses it, so that the number of slots stays bounded.
//!
//! A tenant keeps its number while the settings have its name. Machine types and zones keep their numbers until the
//! process exits, because engines of the endpoint list refer to them.

use std::collections::BTreeSet;

use workload_manager::{Class, ClassId, ClassOrigin, MachineType, MachineTypeId, Settings, Tenant, ZoneId};

use super::{NamedSettings, SettingsRefused};
use crate::config::SettingsNames;

/// Maximum number of names of machine types, and of zones, since the start. Names of the endpoint list count, but only
/// names of new settings are refused.
pub(super) const MAX_NAMES: usize = 1024;

/// Adds the names of new machine types and zones, which assigns numbers to them.
pub(super) fn add_machine_types_and_zones(
    names: &mut SettingsNames,
    new: &SettingsNames,
) -> Result<(), SettingsRefused> {
    for (list, known, new) in
        [("kinds", &mut names.machine_types, &new.machine_types), ("zones", &mut names.zones, &new.zones)]
    {
        let known_before = known.len();
        for name in new {
            SettingsNames::find_or_add(known, name);
        }
        if known.len() > known_before && known.len() > MAX_NAMES {
            return Err(SettingsRefused::TooManyNames { list });
        }
    }
    Ok(())
}

/// Converts the numbers of machine types and zones in a class of the new settings to those in `names`. Missing names
/// are added.
pub(super) fn translate_ids(class: &Class, new: &SettingsNames, names: &mut SettingsNames) -> Class {
    let machine_type = |id: &MachineTypeId| {
        MachineTypeId(SettingsNames::find_or_add(&mut names.machine_types, &new.machine_types[id.0]))
    };
    let allowed_machine_types =
        class.allowed_machine_types.as_ref().map(|ids| ids.iter().map(machine_type).collect());
    let zone = |id: &ZoneId| ZoneId(SettingsNames::find_or_add(&mut names.zones, &new.zones[id.0]));
    let allowed_zones = class.allowed_zones.as_ref().map(|ids| ids.iter().map(zone).collect());
    Class { allowed_machine_types, allowed_zones, ..class.clone() }
}

/// Returns the machine types up to the last described one, indexed by number. A machine type that the new settings no
/// longer describe is unchanged, because engines of this type may still serve. A machine type without any description
/// has the values of an unknown type.
pub(super) fn machine_types(
    names: &SettingsNames,
    current: &Settings,
    new: NamedSettings<'_>,
) -> Vec<MachineType> {
    let described = |(number, name): (usize, &String)| {
        let new_number = new.names.machine_types.iter().position(|n| n == name);
        let described = new_number.and_then(|number| new.settings.machine_types.get(number));
        described.or_else(|| current.machine_types.get(number)).cloned()
    };
    let described: Vec<Option<MachineType>> = names.machine_types.iter().enumerate().map(described).collect();
    let count = described.iter().rposition(Option::is_some).map_or(0, |last| last + 1);
    let unknown = new.settings.machine_type(MachineTypeId(usize::MAX));
    described.into_iter().take(count).map(|known| known.unwrap_or_else(|| unknown.clone())).collect()
}

/// Assigns numbers to tenants. An existing tenant keeps its number. A new tenant gets the number of a tenant that the
/// settings no longer have, or the next number.
pub(super) fn assign_tenants(
    names: &mut SettingsNames,
    current: &Settings,
    new: NamedSettings<'_>,
) -> Vec<Tenant> {
    let mut tenants = current.tenants.clone();
    let stays = |number: &usize| new.names.tenant(&names.tenants[*number]).is_some();
    let mut free: BTreeSet<usize> = (0..tenants.len()).filter(|number| !stays(number)).collect();
    free.extend(&names.retired_tenants);
    for (name, tenant) in new.names.tenants.iter().zip(&new.settings.tenants) {
        let known = names.tenant(name).map(|id| id.0);
        let number = known.or_else(|| free.pop_first()).unwrap_or(tenants.len());
        if number == tenants.len() {
            names.tenants.push(name.clone());
            tenants.push(tenant.clone());
        } else {
            name.clone_into(&mut names.tenants[number]);
            tenants[number] = tenant.clone();
        }
        names.retired_tenants.remove(&number);
    }
    names.retired_tenants = free;
    tenants
}

/// Assignment of classes to slots.
pub(super) struct ClassSlots {
    /// Names, indexed by slot.
    pub(super) names: Vec<String>,
    /// Classes, indexed by slot.
    pub(super) classes: Vec<Class>,
    /// Origin of each class, indexed by slot.
    pub(super) origins: Vec<ClassOrigin>,
    /// Slots without a class of the new settings.
    pub(super) retired: BTreeSet<usize>,
    /// Slots without a request, an attempt or an assigned class of the new settings.
    free: BTreeSet<usize>,
}

impl ClassSlots {
    /// Creates the slots of the settings in force. No class of the new settings is assigned.
    pub(super) fn new(current: NamedSettings<'_>, classes_in_use: &BTreeSet<ClassId>) -> Self {
        let slots = current.settings.classes.len();
        Self {
            names: current.names.classes.clone(),
            classes: current.settings.classes.clone(),
            origins: vec![ClassOrigin::Retired; slots],
            retired: current.names.retired_classes.clone(),
            free: (0..slots).filter(|slot| !classes_in_use.contains(&ClassId(*slot))).collect(),
        }
    }

    /// Assigns a slot to each class of the new settings. The other slots are retired.
    pub(super) fn assign(mut self, names: &[String], classes: Vec<Class>) -> Self {
        let old_slot = |name: &String| {
            let in_force = |slot: &usize| !self.retired.contains(slot) && self.names[*slot] == *name;
            (0..self.names.len()).find(in_force)
        };
        let old_slots: Vec<Option<usize>> = names.iter().map(old_slot).collect();
        let mut assigned = BTreeSet::new();
        let mut changed = Vec::new();
        for ((name, class), old_slot) in names.iter().zip(classes).zip(old_slots) {
            match old_slot.filter(|slot| self.classes[*slot] == class) {
                Some(slot) => {
                    self.origins[slot] = ClassOrigin::Unchanged;
                    self.free.remove(&slot);
                    assigned.insert(slot);
                }
                None => changed.push((name, class, old_slot)),
            }
        }
        for (name, class, old_slot) in changed {
            let origin = old_slot.map_or(ClassOrigin::New, |slot| ClassOrigin::DerivedFrom(ClassId(slot)));
            assigned.insert(self.insert_into_free_slot(name, class, origin));
        }
        self.retired = (0..self.classes.len()).filter(|slot| !assigned.contains(slot)).collect();
        self
    }

    /// Puts a class into the lowest free slot, or into a new slot if no slot is free.
    fn insert_into_free_slot(&mut self, name: &str, class: Class, origin: ClassOrigin) -> usize {
        match self.free.pop_first() {
            Some(slot) => {
                name.clone_into(&mut self.names[slot]);
                self.classes[slot] = class;
                self.origins[slot] = origin;
                slot
            }
            None => {
                self.names.push(name.to_owned());
                self.classes.push(class);
                self.origins.push(origin);
                self.classes.len() - 1
            }
        }
    }
}
