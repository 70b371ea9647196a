//! Generates the configuration of a gateway for a given number of engines, classes, tenants and clients.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Parameters of a gateway's configuration.
#[derive(Clone, Debug)]
pub struct Site {
    /// Addresses of the engines. The endpoint list names them `e0`, `e1` and so on.
    pub engines: Vec<SocketAddr>,
    /// Address of the coordinator, if the gateway follows one.
    pub coordinator: Option<SocketAddr>,
    /// Address of the control machine, if the gateway follows one.
    pub control: Option<SocketAddr>,
    /// Number of request classes, at least 3.
    pub classes: usize,
    /// Number of tenants, at least 1.
    pub tenants: usize,
    /// Number of client connections that the descriptor limit allows for.
    pub clients: usize,
}

/// Zones assigned to engines in rotation. The gateway is in the first one.
const ZONES: [&str; 5] = ["z0", "z1", "z2", "z3", "z4"];
/// Quota of a tenant, above the rate of any run.
const QUOTA_PER_S: f64 = 100_000.0;
/// Descriptors for engine connections and the process itself.
const OTHER_DESCRIPTORS: usize = 4_096;

impl Site {
    /// Creates a site with these engines and the minimum of classes and tenants.
    pub fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engines, coordinator: None, control: None, classes: 3, tenants: 1, clients: 1_100 }
    }

    /// Returns the entry of engine number `engine` in the endpoint list.
    pub fn endpoint_entry(&self, engine: usize, status: &str) -> Value {
        let address = self.engines[engine].to_string();
        json!({"name": format!("e{engine}"), "address": address, "zone": ZONES[engine % ZONES.len()], "type": "k",
            "group": 0, "status": status, "weight": 1, "since_ms": 0})
    }

    /// Returns an event of the endpoint list.
    pub fn list_event(&self, index: u64, full: bool, entries: Vec<Value>) -> Value {
        json!({"index": index, "endpoints": {"index": index, "snapshot": full, "endpoints": entries}})
    }

    /// Returns an event with the full endpoint list.
    pub fn full_list_event(&self, index: u64) -> Value {
        let entries = (0..self.engines.len()).map(|engine| self.endpoint_entry(engine, "Ready")).collect();
        self.list_event(index, true, entries)
    }

    /// Returns the content of the configuration file.
    pub fn config_json(&self) -> String {
        let mut config = json!({
            "name": "capacity", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            // The gateway assigns a third of its descriptors to clients.
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 3 * self.clients + OTHER_DESCRIPTORS},
            "known": {"index": 1, "updates": [self.full_list_event(1)]},
            "settings": self.settings(),
        });
        if let Some(coordinator) = self.coordinator {
            config["coordinator"] = json!(coordinator);
        }
        config.to_string()
    }

    /// Returns the content of the operator's file, `None` without a control machine.
    pub fn operator_toml(&self) -> Option<String> {
        self.control.map(|machine| format!("[control]\nmachines = [\"{machine}\"]\n"))
    }

    /// Returns the settings with a changed deadline of one class. Consecutive numbers give different deadlines.
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
