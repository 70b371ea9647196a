//! The names of what the settings list. The workload manager knows these by number.

use std::collections::BTreeSet;

use workload_manager::{ClassId, TenantId};

/// Names in the settings, each list in the order of the numbers that the workload manager uses.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    /// Classes.
    pub classes: Vec<String>,
    /// Machine types.
    pub machine_types: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// What the fields x0 and x1 of a load report stand for.
    pub load_report_extras: [String; 2],
    /// Numbers of classes that no new request gets, since other settings were taken over.
    pub retired_classes: BTreeSet<usize>,
    /// Numbers of tenants that no new request gets, since other settings were taken over.
    pub retired_tenants: BTreeSet<usize>,
}

impl SettingsNames {
    /// The class that new requests get by this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find(&self.classes, &self.retired_classes, name).map(ClassId)
    }

    /// The tenant that new requests get by this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find(&self.tenants, &self.retired_tenants, name).map(TenantId)
    }

    /// The number of a name in a list; an unknown name is added, as machine types and zones of endpoints may be.
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
