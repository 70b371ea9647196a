//! Names of classes, machine types, zones and tenants in the settings. The workload manager identifies them by number.

use std::collections::BTreeSet;

use workload_manager::{ClassId, TenantId};

/// Names in the settings. A name's position in `classes`, `machine_types`, `zones` or `tenants` is the number that the
/// workload manager uses.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    /// Indexed by [`ClassId`].
    pub classes: Vec<String>,
    /// Indexed by machine type. Contains the types of the settings and of engines in the endpoint list.
    pub machine_types: Vec<String>,
    /// Indexed by zone. Contains the zones of the settings and of engines in the endpoint list.
    pub zones: Vec<String>,
    /// Indexed by [`TenantId`].
    pub tenants: Vec<String>,
    /// Names of the quantities in the fields x0 and x1 of a load report. Empty: the field has no meaning.
    pub load_report_extras: [String; 2],
    /// Numbers of classes that are not in the current settings. They are not assigned to new requests.
    pub retired_classes: BTreeSet<usize>,
    /// Numbers of tenants that are not in the current settings. They are not assigned to new requests.
    pub retired_tenants: BTreeSet<usize>,
}

impl SettingsNames {
    /// Number of a class for new requests. `None` if the current settings have no class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find(&self.classes, &self.retired_classes, name).map(ClassId)
    }

    /// Number of a tenant for new requests. `None` if the current settings have no tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find(&self.tenants, &self.retired_tenants, name).map(TenantId)
    }

    /// Number of a name in a list. An unknown name is added, because endpoints may have machine types and zones that
    /// are not in the settings.
    pub fn find_or_add(names: &mut Vec<String>, name: &str) -> usize {
        names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_owned());
            names.len() - 1
        })
    }
}

fn find(names: &[String], retired: &BTreeSet<usize>, name: &str) -> Option<usize> {
    (0..names.len()).find(|at| names[*at] == name && !retired.contains(at))
}
