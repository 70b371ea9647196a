use super::*;
use crate::config;
use crate::json::JsonField;

fn config() -> Config {
    let text = include_str!("../../../tests/common/config.json").replace("LIST", "");
    config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap()
}

const EXAMPLE: &str = include_str!("../../../../deploy/wrenhatch.example.toml");

#[test]
fn the_example_shows_every_key_with_its_default() {
    let mut config = config();
    apply_text(&TomlFile { path: "f", text: EXAMPLE }, &mut config).unwrap();
    assert_eq!((config.clients, config.mysql, config.control_plane), (ClientSettings::default(), None, None));
    // Settings that are disabled by default are comments. Uncommented, they must parse and contain every key.
    let uncommented: String = EXAMPLE
        .lines()
        .map(|l| match l.strip_prefix("# ") {
            Some(rest) if rest.starts_with('[') || rest.contains(" = ") => format!("{rest}\n"),
            _ => format!("{l}\n"),
        })
        .collect();
    let file: OperatorFile = toml::from_str(&uncommented).unwrap();
    let ClientsTable { most_sessions, idle_limit_s, keepalive, .. } = &file.clients;
    assert!(most_sessions.is_some() && idle_limit_s.is_some() && keepalive.is_some());
    let mysql = file.mysql.unwrap();
    assert!(!mysql.users.is_empty() && !mysql.engines.is_empty());
    assert!(!file.control.unwrap().machines.get_ref().is_empty());
    for key in ["backlog", "turn_ms", "messages_per_turn", "bytes_per_turn"] {
        assert!(EXAMPLE.lines().any(|l| l.starts_with(&format!("{key} = "))), "{key}");
    }
}

#[test]
fn errors_name_file_line_and_key() {
    let error =
        |text: &str| apply_text(&TomlFile { path: "f.toml", text }, &mut config()).unwrap_err().to_string();
    assert_eq!(
        error("[clients]\nbacklog = 10\nturn_ms = 0\n"),
        "f.toml:3: turn_ms: 0 is not between 1 and 100"
    );
    assert!(error("\n[clients]\nidle_limit = 3\n").starts_with("f.toml:3: idle_limit: unknown field"));
    assert!(error("[client]\n").starts_with("f.toml:1: unknown field `client`"));
    assert!(error("[clients]\nbacklog = \"9\"\n").starts_with("f.toml:2: backlog: invalid type"));
    assert!(error("[clients]\nbacklog = \n").starts_with("f.toml:2: backlog: "));
    assert!(
        error("[clients]\nmost_sessions = 240\n")
            .starts_with("f.toml:2: most_sessions: 240 is not between 1 and 216")
    );
    let mysql = "[mysql]\nlisten = \"127.0.0.1:1\"\nlogin = { user = \"g\" }\n[mysql.users.u]\n";
    assert_eq!(
        error(&format!("{mysql}tenant = \"other\"\n")),
        "f.toml:5: tenant: no tenant of the settings is called other"
    );
    assert!(error("mysql = 3\n").contains("expected struct MySqlTable"));
    assert!(error("[mysql]\nlisten = \"here\"\n").starts_with("f.toml:2: listen: "));
    assert_eq!(error("[control]\nmachines = []\n"), "f.toml:2: machines: 0 machines given, expected 1 to 64");
    assert_eq!(
        error("[control]\nmachines = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n"),
        "f.toml:2: machines: 127.0.0.1:1 is named twice"
    );
    assert!(error("[control]\nmachines = [\"here\"]\n").starts_with("f.toml:2: machines: "));
    assert!(error("[control]\n").contains("missing field `machines`"));
}

#[test]
fn settings_are_applied_to_the_configuration() {
    let mut config = config();
    let text = "[clients]\nmost_sessions = 100\nidle_limit_s = 60\n\
        keepalive = { idle_s = 30, interval_s = 5, probes = 3 }\n\
        [mysql]\nlisten = \"127.0.0.1:1\"\nlogin = { user = \"g\" }\n\
        [mysql.users]\nu = { tenant = \"acme\" }\n[mysql.engines]\ne = \"127.0.0.1:2\"\n";
    apply_text(&TomlFile { path: "f", text }, &mut config).unwrap();
    assert_eq!((config.clients.max_sessions, config.clients.idle_limit_us), (Some(100), Some(60_000_000)));
    assert_eq!(config.clients.keepalive.unwrap().probes, 3);
    let mysql = config.mysql.unwrap();
    assert_eq!(mysql.directory.look_up("u").unwrap().tenant.as_ref(), "acme");
    assert_eq!(mysql.engines["e"], ([127, 0, 0, 1], 2).into());
}
