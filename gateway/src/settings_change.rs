//! Other settings in service: which numbers classes, kinds, zones and tenants get, so that what is under way keeps
//! the ones it came with. No I/O: names and settings in, names and a change for the decision module out.
//!
//! A class has a slot, and its number is that of the slot. A class that stays as it was keeps its slot; one that
//! changes gets another, and the old one is retired: no new request gets it. A retired slot is used again once no
//! request and no attempt has its number, so that changes for years take no more slots than are in use at once.

use std::collections::BTreeSet;

use workload_manager::*;

use crate::config::SettingsNames;

/// Names of kinds, and of zones, that are remembered at most: engines of the list are known by them.
pub const MOST_PLACES: usize = 1024;

/// Why settings can't be taken over in service. The ones in force stay, whole.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// A name comes twice in a list.
    #[error("{list} names {name} twice")]
    Twice {
        /// Which list.
        list: &'static str,
        /// The name.
        name: String,
    },
    /// The gateway's own zone is another one.
    #[error("the gateway's own zone (locality) can't change in service: {old} is in force, {new} was sent")]
    OwnZone {
        /// The zone in force; empty where there is none.
        old: String,
        /// The one sent.
        new: String,
    },
    /// Load reports come in another way.
    #[error("how engines report their load (report.how, report-x0, report-x1) can't change in service")]
    Reports,
    /// A tenant of a user of the MySQL front is missing.
    #[error("no project is called {0}, which is that of a user of the MySQL front")]
    TenantInUse(String),
    /// Too many names.
    #[error("{list} have had more than {MOST_PLACES} names since the start")]
    TooManyNames {
        /// Which list.
        list: &'static str,
    },
    /// No request of a class could be served.
    #[error("class {0}: its deadline and its parallelism must be more than 0")]
    Unusable(String),
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Settings that are in force, or are to be.
#[derive(Clone, Copy, Debug)]
pub struct Named<'a> {
    /// What their numbers are called.
    pub names: &'a SettingsNames,
    /// The settings.
    pub settings: &'a Settings,
}

/// What is to be taken over.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names by number.
    pub names: SettingsNames,
    /// Settings by these numbers, for the core.
    pub change: SettingsChange,
}

/// Gives what `fresh` names the numbers it has in service.
///
/// `in_use` has the classes of open requests and of attempts that are out; `tenants_in_use` those that have to stay.
///
/// # Errors
/// Why the settings in force have to stay.
pub fn plan<'a>(
    old: Named<'_>,
    fresh: Named<'_>,
    in_use: &BTreeSet<ClassId>,
    mut tenants_in_use: impl Iterator<Item = &'a str>,
) -> Result<Plan, Refusal> {
    check_names(fresh.names)?;
    check_classes(fresh)?;
    check_fixed(old, fresh)?;
    if let Some(missing) = tenants_in_use.find(|tenant| fresh.names.tenant(tenant).is_none()) {
        return Err(Refusal::TenantInUse(missing.to_owned()));
    }
    let mut names = old.names.clone();
    add_places(&mut names, fresh.names)?;
    let classes =
        fresh.settings.classes.iter().map(|class| renumbered(class, fresh.names, &mut names)).collect();
    let slots = ClassSlots::new(old, in_use).assign(&fresh.names.classes, classes);
    names.classes = slots.names;
    names.retired_classes = slots.retired;
    let tenants = tenants(&mut names, old.settings, fresh);
    let settings = Settings {
        zone: old.settings.zone,
        classes: slots.classes,
        machine_types: kinds(&names, old.settings, fresh),
        tenants,
        ..fresh.settings.clone()
    };
    let change = SettingsChange { settings, origins: slots.origins };
    change.check(old.settings.classes.len())?;
    Ok(Plan { names, change })
}

fn check_names(names: &SettingsNames) -> Result<(), Refusal> {
    let lists = [
        ("classes", &names.classes),
        ("kinds", &names.machine_types),
        ("zones", &names.zones),
        ("projects", &names.tenants),
    ];
    for (list, names) in lists {
        let mut seen = BTreeSet::new();
        if let Some(name) = names.iter().find(|name| !seen.insert(*name)) {
            return Err(Refusal::Twice { list, name: name.clone() });
        }
    }
    Ok(())
}

fn check_classes(fresh: Named<'_>) -> Result<(), Refusal> {
    let mut classes = fresh.names.classes.iter().zip(&fresh.settings.classes);
    match classes.find(|(_, class)| class.deadline <= 0.0 || class.threads == 0) {
        Some((name, _)) => Err(Refusal::Unusable(name.clone())),
        None => Ok(()),
    }
}

/// Whether what can't change in service is the same.
fn check_fixed(old: Named<'_>, fresh: Named<'_>) -> Result<(), Refusal> {
    let own_zone = |of: Named<'_>| of.settings.zone.map(|z| of.names.zones[z.0].clone()).unwrap_or_default();
    let (old_zone, new_zone) = (own_zone(old), own_zone(fresh));
    if old_zone != new_zone {
        return Err(Refusal::OwnZone { old: old_zone, new: new_zone });
    }
    let reports =
        |of: Named<'_>| (of.settings.capabilities.load_reports, of.names.load_report_extras.clone());
    if reports(old) != reports(fresh) {
        return Err(Refusal::Reports);
    }
    Ok(())
}

/// Numbers for kinds and zones that have none yet. The others keep theirs: engines of the list go by them.
fn add_places(names: &mut SettingsNames, fresh: &SettingsNames) -> Result<(), Refusal> {
    for (list, known, new) in
        [("kinds", &mut names.machine_types, &fresh.machine_types), ("zones", &mut names.zones, &fresh.zones)]
    {
        let known_before = known.len();
        for name in new {
            SettingsNames::find_or_add(known, name);
        }
        if known.len() > known_before && known.len() > MOST_PLACES {
            return Err(Refusal::TooManyNames { list });
        }
    }
    Ok(())
}

/// The class with the numbers that its kinds and zones have in service.
fn renumbered(class: &Class, fresh: &SettingsNames, names: &mut SettingsNames) -> Class {
    let kind = |kind: &MachineTypeId| {
        MachineTypeId(SettingsNames::find_or_add(&mut names.machine_types, &fresh.machine_types[kind.0]))
    };
    let only_kinds = class.allowed_machine_types.as_ref().map(|kinds| kinds.iter().map(kind).collect());
    let zone = |zone: &ZoneId| ZoneId(SettingsNames::find_or_add(&mut names.zones, &fresh.zones[zone.0]));
    let only_zones = class.allowed_zones.as_ref().map(|zones| zones.iter().map(zone).collect());
    Class { allowed_machine_types: only_kinds, allowed_zones: only_zones, ..class.clone() }
}

/// The figures of all kinds. One that is described no longer keeps its figures, as engines of it may serve; one that
/// was never described has those of a machine of an unknown kind.
fn kinds(names: &SettingsNames, old: &Settings, fresh: Named<'_>) -> Vec<MachineType> {
    let figures = |(at, name): (usize, &String)| {
        let described = fresh.names.machine_types.iter().position(|n| n == name);
        let now = described.and_then(|at| fresh.settings.machine_types.get(at));
        now.or_else(|| old.machine_types.get(at)).cloned()
    };
    let figures: Vec<Option<MachineType>> = names.machine_types.iter().enumerate().map(figures).collect();
    let described = figures.iter().rposition(Option::is_some).map_or(0, |last| last + 1);
    let unknown = fresh.settings.machine_type(MachineTypeId(usize::MAX));
    figures.into_iter().take(described).map(|kind| kind.unwrap_or_else(|| unknown.clone())).collect()
}

/// Tenants by name: one that stays keeps its number, a new one gets a number that is free.
fn tenants(names: &mut SettingsNames, old: &Settings, fresh: Named<'_>) -> Vec<Tenant> {
    let mut tenants = old.tenants.clone();
    let stays = |at: &usize| fresh.names.tenant(&names.tenants[*at]).is_some();
    let mut free: BTreeSet<usize> = (0..tenants.len()).filter(|at| !stays(at)).collect();
    free.extend(&names.retired_tenants);
    for (name, tenant) in fresh.names.tenants.iter().zip(&fresh.settings.tenants) {
        let known = names.tenant(name).map(|id| id.0);
        let at = known.or_else(|| free.pop_first()).unwrap_or(tenants.len());
        if at == tenants.len() {
            names.tenants.push(name.clone());
            tenants.push(tenant.clone());
        } else {
            name.clone_into(&mut names.tenants[at]);
            tenants[at] = tenant.clone();
        }
        names.retired_tenants.remove(&at);
    }
    names.retired_tenants = free;
    tenants
}

/// The slots of classes while they are given out.
struct ClassSlots {
    names: Vec<String>,
    classes: Vec<Class>,
    origins: Vec<ClassOrigin>,
    retired: BTreeSet<usize>,
    /// Slots that no request and no attempt has.
    unused: BTreeSet<usize>,
}

impl ClassSlots {
    /// All as they are, and none of them given out.
    fn new(old: Named<'_>, in_use: &BTreeSet<ClassId>) -> Self {
        let slots = old.settings.classes.len();
        Self {
            names: old.names.classes.clone(),
            classes: old.settings.classes.clone(),
            origins: vec![ClassOrigin::Retired; slots],
            retired: old.names.retired_classes.clone(),
            unused: (0..slots).filter(|at| !in_use.contains(&ClassId(*at))).collect(),
        }
    }

    /// Gives each class a slot; those left over are retired.
    fn assign(mut self, names: &[String], classes: Vec<Class>) -> Self {
        let slot_of = |name: &String| {
            let in_force = |at: &usize| !self.retired.contains(at) && self.names[*at] == *name;
            (0..self.names.len()).find(in_force)
        };
        let before: Vec<Option<usize>> = names.iter().map(slot_of).collect();
        let mut given = BTreeSet::new();
        let mut changed = Vec::new();
        for ((name, class), before) in names.iter().zip(classes).zip(before) {
            match before.filter(|at| self.classes[*at] == class) {
                Some(at) => {
                    self.origins[at] = ClassOrigin::Unchanged;
                    self.unused.remove(&at);
                    given.insert(at);
                }
                None => changed.push((name, class, before)),
            }
        }
        for (name, class, before) in changed {
            let origin = before.map_or(ClassOrigin::New, |at| ClassOrigin::DerivedFrom(ClassId(at)));
            given.insert(self.put(name, class, origin));
        }
        self.retired = (0..self.classes.len()).filter(|at| !given.contains(at)).collect();
        self
    }

    fn put(&mut self, name: &str, class: Class, origin: ClassOrigin) -> usize {
        match self.unused.pop_first() {
            Some(at) => {
                name.clone_into(&mut self.names[at]);
                self.classes[at] = class;
                self.origins[at] = origin;
                at
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

#[cfg(test)]
mod tests;
