//! Tests of the numbers that classes, machine types, zones and tenants get when settings change.

use workload_manager::*;

use super::slots::MAX_NAMES;
use super::*;
use crate::config::{SiteSettings, parse_site_settings};

const BASE: &str = r#"{
  "allowed":{"cancelling":true,"max-attempts":3,"max-retry-after-s":0.5,"retry-after":true},
  "balancers":1,
  "classes":[
   {"aim-s":0.6,"deadline-s":3.0,"name":"lookup","repeat":"pure"},
   {"aim-s":2.0,"deadline-s":20.0,"name":"report","repeat":"pure","allowed-on":["k"]},
   {"aim-s":4.0,"deadline-s":25.0,"name":"load","repeat":"side_effect","keep-order":true}],
  "domain":{"kind-cores":[16],"memory-by-kind-mb":[32768.0],"parallelism":[1,4,2]},
  "kinds":["k"],"locality":"z","zones":["z"],
  "projects":[{"name":"acme","quota-per-s":100.0}],
  "report":{"how":"answers"},"resolution-s":0.005,
  "rules":{"order-pause-s":0.3}}"#;

const LOOKUP: &str = r#"   {"aim-s":0.6,"deadline-s":3.0,"name":"lookup","repeat":"pure"},
"#;

fn site(text: &str) -> SiteSettings {
    parse_site_settings(text).unwrap()
}

/// Settings in force, with the classes of requests in flight.
struct InForce {
    names: SettingsNames,
    settings: Settings,
    classes_in_use: BTreeSet<ClassId>,
}

impl InForce {
    fn new() -> Self {
        let site = site(BASE);
        Self { names: site.names, settings: site.settings, classes_in_use: BTreeSet::new() }
    }

    fn prepare(&self, text: &str) -> Result<PreparedSettings, SettingsRefused> {
        let new = site(text);
        let current = NamedSettings { names: &self.names, settings: &self.settings };
        let new = NamedSettings { names: &new.names, settings: &new.settings };
        prepare(current, new, &self.classes_in_use, std::iter::empty())
    }

    /// Applies settings and returns the origins of the classes, by slot.
    fn apply(&mut self, text: &str) -> Vec<ClassOrigin> {
        let prepared = self.prepare(text).unwrap();
        (self.names, self.settings) = (prepared.names, prepared.change.settings);
        prepared.change.origins
    }
}

fn deadline(seconds: u32) -> String {
    BASE.replace("\"deadline-s\":3.0", &format!("\"deadline-s\":{seconds}.0"))
}

#[test]
fn the_same_settings_change_no_number() {
    let mut in_force = InForce::new();
    let before = (in_force.names.classes.clone(), in_force.settings.clone());
    assert_eq!(in_force.apply(BASE), [ClassOrigin::Unchanged; 3]);
    assert_eq!((in_force.names.classes, in_force.settings), before);
}

#[test]
fn classes_are_identified_by_name_and_not_by_position() {
    let mut in_force = InForce::new();
    let reordered = BASE.replace(LOOKUP, "").replace("\"parallelism\":[1,4,2]", "\"parallelism\":[4,2]");
    let reordered = reordered.replace(
        "\"keep-order\":true}]",
        "\"keep-order\":true},\n{\"aim-s\":1,\"deadline-s\":1,\"name\":\"new\"}]",
    );
    assert_eq!(
        in_force.apply(&reordered),
        [ClassOrigin::New, ClassOrigin::Unchanged, ClassOrigin::Unchanged]
    );
    let class = |name: &str| in_force.names.class(name);
    assert_eq!((class("lookup"), class("report"), class("load")), (None, Some(ClassId(1)), Some(ClassId(2))));
    assert_eq!(class("new"), Some(ClassId(0)), "no request was in flight in the slot of lookup");
}

#[test]
fn requests_in_flight_keep_their_class_until_they_end() {
    let mut in_force = InForce::new();
    in_force.classes_in_use.insert(ClassId(0));
    let origins = in_force.apply(&deadline(5));
    let kept = ClassOrigin::Unchanged;
    assert_eq!(origins, [ClassOrigin::Retired, kept, kept, ClassOrigin::DerivedFrom(ClassId(0))]);
    assert_eq!(in_force.names.class("lookup"), Some(ClassId(3)));
    assert_eq!(in_force.settings.classes[0].deadline, 3.0, "requests in flight keep their deadline");
    assert_eq!(in_force.settings.classes[3].deadline, 5.0);
    assert_eq!(in_force.names.classes[0], "lookup", "engines and metrics still use the name");
    // A retired class stays retired while its slot is in use, even if the old settings are applied again.
    let origins = in_force.apply(BASE);
    assert_eq!(origins[0], ClassOrigin::Retired);
    assert_eq!(origins[3], ClassOrigin::DerivedFrom(ClassId(3)));
    in_force.classes_in_use.clear();
    let origins = in_force.apply(&deadline(7));
    assert_eq!(origins[0], ClassOrigin::DerivedFrom(ClassId(3)), "the slot is reused");
    assert_eq!(origins[3], ClassOrigin::Retired);
}

#[test]
fn the_number_of_slots_is_bounded_after_many_changes() {
    let mut in_force = InForce::new();
    for n in 0..3_100 {
        // Requests that arrived before a change are in flight until the next change.
        in_force.classes_in_use = in_force.names.class("lookup").into_iter().collect();
        in_force.apply(&deadline(n % 50 + 1));
        assert_eq!(
            in_force.names.class("lookup").map(|c| in_force.settings.classes[c.0].deadline),
            Some(f64::from(n % 50 + 1))
        );
    }
    assert!(in_force.settings.classes.len() <= 5, "{} slots", in_force.settings.classes.len());
    let tenant = |n| BASE.replace("acme", &format!("tenant-{n}"));
    for n in 0..1_000 {
        in_force.apply(&tenant(n));
    }
    assert_eq!(in_force.settings.tenants.len(), 1);
}

#[test]
fn tenants_keep_their_numbers_by_name() {
    let mut in_force = InForce::new();
    let two = r#""projects":[{"name":"new","quota-per-s":1.0},{"name":"acme","quota-per-s":2.0}]"#;
    let projects = r#""projects":[{"name":"acme","quota-per-s":100.0}]"#;
    in_force.apply(&BASE.replace(projects, two));
    assert_eq!(in_force.names.tenant("acme"), Some(TenantId(0)));
    assert_eq!(in_force.names.tenant("new"), Some(TenantId(1)));
    assert_eq!([0, 1].map(|at| in_force.settings.tenants[at].quota_per_second), [2.0, 1.0]);
    in_force.apply(&BASE.replace(projects, r#""projects":[{"name":"new","quota-per-s":1.0}]"#));
    assert_eq!((in_force.names.tenant("acme"), in_force.names.tenant("new")), (None, Some(TenantId(1))));
}

#[test]
fn machine_types_and_zones_keep_their_numbers() {
    let mut in_force = InForce::new();
    // The endpoint list has a machine type that is not in the settings.
    assert_eq!(SettingsNames::find_or_add(&mut in_force.names.machine_types, "of-the-list"), 1);
    let text = BASE.replace("\"kinds\":[\"k\"]", "\"kinds\":[\"big\",\"k\"]");
    let text = text.replace(
        "\"kind-cores\":[16],\"memory-by-kind-mb\":[32768.0]",
        "\"kind-cores\":[64,8],\"memory-by-kind-mb\":[9.0,7.0]",
    );
    let origins = in_force.apply(&text);
    assert_eq!(origins, [ClassOrigin::Unchanged; 3], "a class restricted to a machine type is unchanged");
    assert_eq!(in_force.names.machine_types, ["k", "of-the-list", "big"]);
    let machine_type = |at: usize| {
        (in_force.settings.machine_types[at].cores, in_force.settings.machine_types[at].memory_mb)
    };
    assert_eq!((machine_type(0), machine_type(2)), ((8.0, 7.0), (64.0, 9.0)));
    assert_eq!(machine_type(1).1, 0.0, "its memory is unknown");
    in_force.apply(BASE);
    let machine_type = |at: usize| {
        (in_force.settings.machine_types[at].cores, in_force.settings.machine_types[at].memory_mb)
    };
    assert_eq!(
        (machine_type(0), machine_type(2)),
        ((16.0, 32768.0), (64.0, 9.0)),
        "engines of the removed type may still serve"
    );
}

#[test]
fn unchangeable_settings_are_refused_with_the_reason() {
    let mut in_force = InForce::new();
    let refused = |text: &str, part: &str| {
        let reason = in_force.prepare(text).unwrap_err().to_string();
        assert!(reason.contains(part), "{reason}");
    };
    refused(&BASE.replace("\"locality\":\"z\"", "\"locality\":\"y\""), "own zone (locality) can't change");
    refused(&BASE.replace("\"how\":\"answers\"", "\"how\":\"none\""), "report.how");
    refused(&BASE.replace("\"report\",\"repeat\"", "\"lookup\",\"repeat\""), "classes names lookup twice");
    refused(&BASE.replace("\"deadline-s\":3.0", "\"deadline-s\":0"), "class lookup");
    let unchanged = site(BASE);
    let current = NamedSettings { names: &in_force.names, settings: &in_force.settings };
    let new = NamedSettings { names: &unchanged.names, settings: &unchanged.settings };
    let missing = prepare(current, new, &BTreeSet::new(), ["gone"].into_iter()).unwrap_err();
    assert_eq!(missing, SettingsRefused::TenantInUse("gone".to_owned()));
    in_force.names.zones.extend((0..MAX_NAMES).map(|n| n.to_string()));
    let text = BASE.replace("\"zones\":[\"z\"]", "\"zones\":[\"z\",\"new\"]");
    assert_eq!(in_force.prepare(&text).unwrap_err(), SettingsRefused::TooManyNames { list: "zones" });
    assert!(in_force.prepare(BASE).is_ok(), "settings without new names are accepted");
}
