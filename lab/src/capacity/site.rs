//! The configuration of a gateway whose size is varied: engines, classes, tenants, clients.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// What a gateway reads at its start.
#[derive(Clone, Debug)]
pub struct Site {
    /// Where engines listen; each stands in the list as `e` and its number.
    pub engines: Vec<SocketAddr>,
    /// Where the coordinator listens, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// Where a control machine listens, if one is followed.
    pub control: Option<SocketAddr>,
    /// Classes of request, three at least.
    pub classes: usize,
    /// Tenants, one at least.
    pub tenants: usize,
    /// Places for clients.
    pub clients: usize,
}

/// Zones that engines are dealt out to in turn; gateways are in the first.
const ZONES: [&str; 5] = ["z0", "z1", "z2", "z3", "z4"];
/// A tenant's share that no run reaches.
const QUOTA_PER_S: f64 = 100_000.0;
/// Descriptors beside clients': connections to engines and the process's own.
const OTHER_DESCRIPTORS: usize = 4_096;

impl Site {
    /// One in front of these engines, with the fewest of all else.
    pub fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engines, coordinator: None, control: None, classes: 3, tenants: 1, clients: 1_100 }
    }

    /// An engine's entry in the list.
    pub fn entry(&self, engine: usize, status: &str) -> Value {
        let address = self.engines[engine].to_string();
        json!({"name": format!("e{engine}"), "address": address, "zone": ZONES[engine % ZONES.len()], "type": "k",
            "group": 0, "status": status, "weight": 1, "since_ms": 0})
    }

    /// An event of the list.
    pub fn event(&self, index: u64, whole: bool, entries: Vec<Value>) -> Value {
        json!({"index": index, "endpoints": {"index": index, "snapshot": whole, "endpoints": entries}})
    }

    /// The event that holds the whole list.
    pub fn whole_list(&self, index: u64) -> Value {
        let entries = (0..self.engines.len()).map(|engine| self.entry(engine, "Ready")).collect();
        self.event(index, true, entries)
    }

    /// The configuration's file.
    pub fn configuration(&self) -> String {
        let mut whole = json!({
            "name": "capacity", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            // Of these a third are clients'.
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 3 * self.clients + OTHER_DESCRIPTORS},
            "known": {"index": 1, "updates": [self.whole_list(1)]},
            "settings": self.settings(),
        });
        if let Some(coordinator) = self.coordinator {
            whole["coordinator"] = json!(coordinator);
        }
        whole.to_string()
    }

    /// The operator's file, where there is anything to say in it.
    pub fn operator(&self) -> Option<String> {
        self.control.map(|machine| format!("[control]\nmachines = [\"{machine}\"]\n"))
    }

    /// The settings with the deadline of one class changed, another one for each of a few numbers in a row.
    pub fn changed_settings(&self, number: u64) -> Value {
        const DEADLINES: u64 = 5;
        let mut settings = self.settings();
        settings["classes"][1]["deadline-s"] = json!(20 + number % DEADLINES);
        settings
    }

    fn settings(&self) -> Value {
        let tenant = |n: usize| json!({"name": format!("t{n}"), "quota-per-s": QUOTA_PER_S, "share": 1.0});
        json!({
            "allowed": {"cancelling": true, "connect-timeout-s": 0.25, "keepalive-s": 15.0, "max-attempts": 3,
                "max-open": 100_000, "max-retry-after-s": 0.5, "probing": false, "retry-after": true},
            "balancers": 1,
            "classes": self.class_settings(),
            "domain": {"grants-count": true, "holds-tables": [false, false, true], "kind-cores": [64],
                "memory-by-kind-mb": [262_144.0], "note-period-s": 1.0, "parallelism": [1, 4, 2],
                "takes-priority": true, "when-short": "page", "yields-to-loads": [false, false, false]},
            "kinds": ["k"], "locality": ZONES[0], "zones": ZONES, "over-share-worth": 0.1,
            "projects": (0..self.tenants).map(tenant).collect::<Vec<_>>(),
            "report": {"how": "answers", "names": ["queue"]}, "resolution-s": 0.005,
            "rules": {"answer-slack-s": 0.02, "cold-share": 0.32, "drain-grace-s": 0.5, "fall-multiple": 2.5,
                "overload-for-s": 3.0, "warm-up-s": 15.0}
        })
    }

    fn class_settings(&self) -> Vec<Value> {
        let class = |name: String, aim: f64, deadline: f64, repeat: &str, worth: f64| {
            json!({"name": name, "aim-s": aim, "aim-stretch": 1.5, "deadline-s": deadline, "late-value": 0.1,
                "repeat": repeat, "worth": worth})
        };
        let mut classes = vec![
            class("lookup".to_owned(), 0.6, 3.0, "pure", 1.0),
            class("report".to_owned(), 2.0, 20.0, "pure", 10.0),
            class("load".to_owned(), 4.0, 25.0, "side_effect", 12.0),
        ];
        let further = |n: usize| class(format!("further-{n}"), 8.0, 30.0, "pure", 1.0);
        classes.extend((classes.len()..self.classes).map(further));
        classes
    }
}
