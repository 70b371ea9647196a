//! Configuration of the gateways of a run, identical for real processes, hollow gateways and simulated gateways.

use std::net::SocketAddr;

use serde_json::json;

use super::fleet::{self, FleetSize};

/// Memory limit of a gateway, in MB.
const MEMORY_MB: u64 = 192;
/// Descriptor limit of a gateway.
const DESCRIPTORS: u64 = 256;

/// Returns the configuration of gateway `number`, which starts without any endpoint list.
pub fn configuration(
    size: FleetSize,
    number: usize,
    seed: u64,
    coordinator: SocketAddr,
) -> serde_json::Value {
    let own_seed = (seed << 20 | number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let zones: Vec<String> = (0..fleet::ZONES).map(|zone| format!("zone-{zone}")).collect();
    json!({
        "name": format!("gateway-{number}"), "listen": "127.0.0.1:0", "seed": format!("{own_seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
        "coordinator": coordinator,
        "known": {"index": 0, "updates": []},
        "settings": {
            "allowed": {"cancelling": true, "connect-timeout-s": 0.25, "keepalive-s": 15.0, "max-attempts": 3,
                "max-open": 100_000, "max-retry-after-s": 0.5, "probing": false, "retry-after": true},
            "balancers": size.gateways,
            "classes": [class("lookup", 0.6, 3.0, "pure", 1.0), class("report", 2.0, 20.0, "pure", 10.0),
                class("load", 4.0, 25.0, "side_effect", 12.0)],
            "domain": {"grants-count": true, "holds-tables": [false, false, true], "kind-cores": [16],
                "memory-by-kind-mb": [32_768.0], "note-period-s": 1.0, "parallelism": [1, 4, 2],
                "takes-priority": true, "when-short": "page", "yields-to-loads": [false, false, false]},
            "kinds": ["std"], "locality": zones[fleet::zone(number)], "zones": zones, "over-share-worth": 0.1,
            "projects": [{"name": "acme", "quota-per-s": 100_000.0, "share": 1.0}],
            "report": {"how": "answers", "names": ["queue"]}, "resolution-s": 0.005,
            "rules": {"answer-slack-s": 0.02, "cold-share": 0.32, "drain-grace-s": 0.5, "fall-multiple": 2.5,
                "overload-for-s": 3.0, "warm-up-s": 15.0}
        }
    })
}

fn class(name: &str, aim: f64, deadline: f64, repeat: &str, worth: f64) -> serde_json::Value {
    json!({"name": name, "aim-s": aim, "aim-stretch": 1.5, "deadline-s": deadline, "late-value": 0.1,
        "repeat": repeat, "worth": worth})
}
