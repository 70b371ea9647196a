use workload_manager::*;

use super::*;

fn try_read(change: impl Fn(String) -> String) -> Result<Config, ConfigError> {
    let text = change(include_str!("../../../tests/common/config.json").replace("LIST", ""));
    read(&JsonField::root(&text.parse().unwrap(), "config"))
}

#[test]
fn settings_are_converted_for_the_workload_manager() {
    let c = try_read(|t| t).unwrap();
    assert_eq!(c.names.classes, ["lookup", "report", "load"]);
    assert_eq!(c.settings.classes[2].idempotency, Idempotency::NotIdempotent);
    assert!(c.settings.classes[2].is_load && c.settings.capabilities.cancels_attempts);
    assert_eq!(
        (c.settings.on_memory_shortage, c.max_descriptors, c.connect_timeout_us),
        (MemoryShortage::Overcommit, 256, 250_000)
    );
    assert_eq!(
        (c.known_list.last_index, c.known_list.events.len(), c.known_list.events[0].is_full),
        (1, 1, true)
    );
}

#[test]
fn the_source_of_load_reports_is_read() {
    for (how, reports) in [
        ("answers", LoadReportSource::Responses),
        ("probe", LoadReportSource::HealthChecks),
        ("none", LoadReportSource::None),
    ] {
        let change = |text: String| text.replace("\"how\":\"answers\"", &format!("\"how\":\"{how}\""));
        assert_eq!(try_read(change).unwrap().settings.capabilities.load_reports, reports);
    }
    let probing = |text: String| text.replace("\"probing\":false", "\"probing\":true");
    assert!(try_read(probing).unwrap().settings.capabilities.health_checks);
    assert!(!try_read(|text| text).unwrap().settings.capabilities.health_checks);
}

#[test]
fn an_unreadable_event_of_the_known_list_does_not_prevent_the_start() {
    let known = |events: &str| {
        let from = "\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]}}";
        let read = try_read(|t| {
            assert!(t.contains(from));
            t.replace(
                from,
                &format!("{}{events}", from.replace("\"index\":1,\"updates", "\"index\":9,\"updates")),
            )
        });
        read.unwrap().known_list
    };
    assert_eq!((known("").last_index, known("").events.len()), (9, 1));
    let list = known(
        ",{\"index\":2,\"endpoints\":{\"endpoints\":7}},{\"index\":3,\"endpoints\":{\"endpoints\":[]}}",
    );
    assert_eq!(
        (list.last_index, list.events.len()),
        (1, 1),
        "later events are requested from the discovery service"
    );
}

#[test]
fn errors_name_the_path_and_the_expected_value() {
    let error = |from: &str, to: &str| {
        assert!(include_str!("../../../tests/common/config.json").contains(from));
        try_read(|t| t.replace(from, to)).unwrap_err().to_string()
    };
    assert_eq!(error("127.0.0.1:0", "here"), "config.listen: an address with a port expected");
    assert_eq!(error("8c1f30d27a5be964", "x"), "config.seed: 16 hex digits expected");
    assert_eq!(
        error("\"aim-s\":2.0", "\"aim-s\":\"2\""),
        "config.settings.classes[1].aim-s: a number expected"
    );
    assert_eq!(
        error("\"aim-s\":2.0", "\"aim-s\":-2"),
        "settings: aim of class 1 is -2, which is negative or not a number"
    );
}
