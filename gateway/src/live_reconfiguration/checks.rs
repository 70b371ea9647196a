//! Preconditions for replacing the settings in force with new settings.

use std::collections::BTreeSet;

use super::{NamedSettings, SettingsRefused};
use crate::config::SettingsNames;

/// Checks all preconditions that do not depend on slots.
pub(super) fn check<'a>(
    current: NamedSettings<'_>,
    new: NamedSettings<'_>,
    mut tenants_in_use: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsRefused> {
    check_duplicate_names(new.names)?;
    check_classes(new)?;
    check_unchangeable(current, new)?;
    match tenants_in_use.find(|tenant| new.names.tenant(tenant).is_none()) {
        Some(missing) => Err(SettingsRefused::TenantInUse(missing.to_owned())),
        None => Ok(()),
    }
}

fn check_duplicate_names(names: &SettingsNames) -> Result<(), SettingsRefused> {
    let lists = [
        ("classes", &names.classes),
        ("kinds", &names.machine_types),
        ("zones", &names.zones),
        ("projects", &names.tenants),
    ];
    for (list, names) in lists {
        let mut seen = BTreeSet::new();
        if let Some(name) = names.iter().find(|name| !seen.insert(*name)) {
            return Err(SettingsRefused::DuplicateName { list, name: name.clone() });
        }
    }
    Ok(())
}

fn check_classes(new: NamedSettings<'_>) -> Result<(), SettingsRefused> {
    let mut classes = new.names.classes.iter().zip(&new.settings.classes);
    match classes.find(|(_, class)| class.deadline <= 0.0 || class.threads == 0) {
        Some((name, _)) => Err(SettingsRefused::UnusableClass(name.clone())),
        None => Ok(()),
    }
}

/// Refuses changes of the gateway's own zone and of load reports, because parts of the running gateway would not apply
/// them.
fn check_unchangeable(current: NamedSettings<'_>, new: NamedSettings<'_>) -> Result<(), SettingsRefused> {
    let own_zone = |of: NamedSettings<'_>| {
        of.settings.zone.map(|zone| of.names.zones[zone.0].clone()).unwrap_or_default()
    };
    let (old_zone, new_zone) = (own_zone(current), own_zone(new));
    if old_zone != new_zone {
        return Err(SettingsRefused::ZoneChanged { old: old_zone, new: new_zone });
    }
    let load_reports =
        |of: NamedSettings<'_>| (of.settings.capabilities.load_reports, of.names.load_report_extras.clone());
    if load_reports(current) != load_reports(new) {
        return Err(SettingsRefused::LoadReportsChanged);
    }
    Ok(())
}
