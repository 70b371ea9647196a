use super::*;

fn try_read(change: impl Fn(String) -> String) -> Result<Config, ConfigError> {
    let text = change(include_str!("../../tests/common/config.json").replace("LIST", ""));
    read(&Node::root(&text.parse().unwrap(), "config"))
}

#[test]
fn settings_are_read_into_the_module_s_own() {
    let c = try_read(|t| t).unwrap();
    assert_eq!(c.names.classes, ["lookup", "report", "load"]);
    assert_eq!(c.settings.classes[2].idempotency, Idempotency::NotIdempotent);
    assert!(c.settings.classes[2].is_load && c.settings.capabilities.cancels_attempts);
    assert_eq!(
        (c.settings.on_memory_shortage, c.sockets, c.connect_us),
        (MemoryShortage::Overcommit, 256, 250_000)
    );
    assert_eq!((c.known.0, c.known.1.len(), c.known.1[0].full), (1, 1, true));
}

#[test]
fn where_reports_come_from_is_read_as_it_stands() {
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
fn a_list_is_read_by_its_good_part() {
    let entry = |n: usize| {
        let status = if n % 1000 == 7 { "Sick" } else { "Ready" };
        format!("{{\"name\":\"e{n}\",\"address\":\"127.0.0.1:9\",\"status\":\"{status}\"}}")
    };
    let list: Vec<String> = (0..3000).map(entry).chain(["7".to_owned()]).collect();
    let event = |list: &str| {
        list_event_text(&format!("{{\"index\":4,\"endpoints\":{{\"snapshot\":true,\"endpoints\":{list}}}}}"))
    };
    let read = event(&format!("[{}]", list.join(","))).unwrap();
    assert_eq!((read.index, read.full, read.entries.len()), (4, true, 2997));
    let names: Vec<_> = read.unread.iter().map(|u| u.name.as_deref()).collect();
    assert_eq!(names, [Some("e7"), Some("e1007"), Some("e2007"), None]);
    let why = "event.endpoints.endpoints[1007].status: Ready, Terminating or Gone expected";
    assert_eq!(read.unread[1].why, why);
    assert!(event("7").is_err(), "nothing of it can be read");
}

#[test]
fn a_list_that_can_t_be_read_to_its_end_keeps_nobody_from_starting() {
    let known = |events: &str| {
        let from = "\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]}}";
        let read = try_read(|t| {
            assert!(t.contains(from));
            t.replace(
                from,
                &format!("{}{events}", from.replace("\"index\":1,\"updates", "\"index\":9,\"updates")),
            )
        });
        read.unwrap().known
    };
    assert_eq!((known("").0, known("").1.len()), (9, 1));
    let (last, events) = known(
        ",{\"index\":2,\"endpoints\":{\"endpoints\":7}},{\"index\":3,\"endpoints\":{\"endpoints\":[]}}",
    );
    assert_eq!((last, events.len()), (1, 1), "the rest is asked for behind the last good one");
}

#[test]
fn mistakes_are_named() {
    let error = |from: &str, to: &str| {
        assert!(include_str!("../../tests/common/config.json").contains(from));
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
