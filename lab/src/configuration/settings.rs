//! Generates settings of a given size and versions that each change one value.

use serde::Serialize;
use serde_json::{Value, json};
use wrenhatch_configuration::{Document, Version};

use super::random::Random;

/// Size of the settings.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Number of classes.
    pub classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

/// Simulated operator: edits settings and numbers their versions from 1.
pub struct Operator {
    value: Value,
    size: Size,
    version: u64,
    random: Random,
}

impl Operator {
    /// Starts with unchanged settings of the given size.
    pub fn new(size: Size, seed: u64) -> Self {
        Self { value: settings(size), size, version: 0, random: Random::new(seed) }
    }

    /// Changes a share or quota of a tenant, a worth or deadline of a class, or the limit of connections, and returns
    /// the new version.
    pub fn next_version(&mut self) -> (Version, Document) {
        self.version += 1;
        let number = json!(self.random.below(100_000) as f64 / 100.0 + self.version as f64);
        let tenant = self.random.below(self.size.tenants as u64) as usize;
        let class = self.random.below(self.size.classes as u64) as usize;
        let value = match self.random.below(5) {
            0 => &mut self.value["projects"][tenant]["share"],
            1 => &mut self.value["projects"][tenant]["quota-per-s"],
            2 => &mut self.value["classes"][class]["worth"],
            3 => &mut self.value["classes"][class]["deadline-s"],
            _ => &mut self.value["allowed"]["max-open"],
        };
        *value = number;
        (Version(self.version), document(self.value.clone()))
    }

    /// Returns a new version that gateways refuse. Later versions do not contain its change.
    pub fn next_invalid_version(&mut self) -> (Version, Document) {
        self.version += 1;
        let mut value = self.value.clone();
        value["classes"][0]["aim-s"] = json!(-1.0);
        (Version(self.version), document(value))
    }
}

/// Whether simulated gateways accept the settings. Only the value that `next_invalid_version` changes is checked.
pub fn is_valid(document: &Document) -> bool {
    document.value()["classes"][0]["aim-s"].as_f64() >= Some(0.0)
}

fn document(value: Value) -> Document {
    Document::new(value).expect("settings are an object without reserved members")
}

fn settings(size: Size) -> Value {
    let class = |number: usize| {
        json!({ "aim-s": 0.6, "aim-stretch": 1.5, "deadline-s": 3.0, "late-value": 0.1, "repeat": "pure",
            "name": format!("class-{number:02}"), "worth": 1.0 })
    };
    let tenant =
        |number: usize| json!({ "name": format!("tenant-{number:04}"), "quota-per-s": 100.0, "share": 1.0 });
    json!({
        "allowed": { "cancelling": true, "connect-timeout-s": 0.25, "keepalive-s": 15.0, "max-attempts": 3,
            "max-open": 20_000, "max-retry-after-s": 0.5, "retry-after": true },
        "classes": (0..size.classes).map(class).collect::<Vec<_>>(),
        "domain": { "grants-count": true, "holds-tables": vec![false; size.classes],
            "parallelism": vec![1; size.classes], "when-short": "page" },
        "projects": (0..size.tenants).map(tenant).collect::<Vec<_>>(),
        "rules": { "answer-slack-s": 0.02, "cold-share": 0.32, "drain-grace-s": 0.5, "overload-for-s": 3.0 },
    })
}
