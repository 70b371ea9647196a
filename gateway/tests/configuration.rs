//! Live reconfiguration by a control plane, with requests queued and in flight. Engines and control plane servers are
//! scripted; the test gives the order of events, and no result depends on the clock.

mod common;

use std::thread;
use std::time::Duration;

use common::control::{
    ControlPlaneServer, ControlPlaneStream, changed_settings, delta, initial_settings, snapshot,
};
use common::held::HeldEngines;
use common::requests::{assert_served, id, wait_admitted, wait_answered};
use common::scripted::Peer;
use common::{Gateway, pg};
use wrenhatch_configuration::{Document, Report, Version};

fn query(n: u64, class: &str, more: &str) -> String {
    format!("/* c={class},i={},d=20000{more} */ SELECT v FROM sales_17.orders", id(n))
}

/// Sends a request and waits until it is taken.
fn ask(gateway: &Gateway, n: u64, class: &str, more: &str) -> pg::Client {
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&query(n, class, more));
    wait_admitted(gateway, n);
    client
}

/// The words of an error that a statement is turned down with.
fn rejection(gateway: &Gateway, text: &str) -> String {
    match pg::Client::connect(gateway.pg).query(text) {
        pg::Answer::Error(code, words) => format!("{code} {words}"),
        other => panic!("{other:?}"),
    }
}

fn status(gateway: &Gateway) -> String {
    let (code, text) = gateway.call("GET /status");
    assert_eq!(code, 200);
    text
}

fn keeps_order(config: String) -> String {
    config.replace("\"name\":\"load\",", "\"name\":\"load\",\"keep-order\":true,")
}

/// A gateway in front of two engines that follows one control server.
fn controlled_gateway(
    change: impl Fn(String) -> String,
) -> (Gateway, HeldEngines, ControlPlaneServer, ControlPlaneStream) {
    let (engines, server) = (HeldEngines::start(&["e1", "e2"]), ControlPlaneServer::start());
    let gateway = Gateway::with_control_plane(&engines.entries, &[server.address], change);
    let stream = server.accept_stream();
    assert_eq!(stream.version, 0);
    (gateway, engines, server, stream)
}

#[test]
fn a_class_ordered_no_longer_orders_only_what_came_before() {
    let (gateway, engines, server, mut stream) = controlled_gateway(keeps_order);
    let mut first = ask(&gateway, 1, "load", ",o=k");
    let first_out = engines.next_start(&id(1));
    let mut second = ask(&gateway, 2, "load", ",o=k");
    // The document of the start has no order, unlike the gateway's own file.
    stream.send(&snapshot(1, &initial_settings().parse().unwrap()));
    server.expect_applied(1);
    let mut third = ask(&gateway, 3, "load", ",o=k");
    engines.next_start(&id(3)).finish();
    assert_served(&mut third, 3);
    first_out.finish();
    assert_served(&mut first, 1);
    engines.next_start(&id(2)).finish();
    assert_served(&mut second, 2);
    assert_eq!(gateway.metric("served.load"), 3, "counted by name, whatever the number");
    assert!(status(&gateway).contains("\nconfiguration.in_force=1\nconfiguration.newest_seen=1\n"));
    gateway.wait_for_log("configuration in force version=1");
}

#[test]
fn attempts_in_flight_are_not_retried_when_their_class_becomes_idempotent() {
    let (e1, e2, server) = (Peer::new("e1"), Peer::new("e2"), ControlPlaneServer::start());
    let entries = [e1.entry("Ready"), e2.entry("Terminating")].join(",");
    let coordinator = Peer::new("c");
    let gateway = Gateway::with_control_plane(&entries, &[server.address], |config| {
        config.replace("\"known\":", &format!("\"coordinator\":\"{}\",\"known\":", coordinator.address))
    });
    let (mut watch, _) = coordinator.accept_watch();
    watch.send_stream_head();
    let mut stream = server.accept_stream();
    let mut client = ask(&gateway, 1, "load", "");
    let mut wire = e1.accept();
    assert_eq!(wire.read_call().query_id(), id(1));
    let pure = changed_settings(|text| text.replace("\"repeat\":\"side_effect\"", "\"repeat\":\"pure\""));
    stream.send(&snapshot(1, &pure));
    server.expect_applied(1);
    watch.send_event(2, &e2.entry("Ready"));
    gateway.wait_for_log("name=\"e2\" state=Ready");
    drop(e1);
    wire.reset();
    assert!(matches!(client.answer(), pg::Answer::Error(code, _) if !code.starts_with("53")));
    assert!(e2.has_no_pending_connection(), "it may have run");
    // The same of one that came later may be repeated, which shows that the change counts.
    let mut client = ask(&gateway, 2, "load", "");
    let mut wire = e2.accept();
    assert_eq!(wire.read_call().query_id(), id(2));
    wire.send_row(&id(2));
    assert_served(&mut client, 2);
}

#[test]
fn a_shorter_deadline_holds_for_new_requests_alone() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let mut before = ask(&gateway, 1, "report", "");
    let out = engines.next_start(&id(1));
    stream.send(&snapshot(
        1,
        &changed_settings(|text| text.replace("\"deadline-s\":20.0", "\"deadline-s\":0.4")),
    ));
    server.expect_applied(1);
    let mut after = ask(&gateway, 2, "report", "");
    assert!(matches!(after.answer(), pg::Answer::Error(..)), "its time is over");
    out.finish();
    assert_served(&mut before, 1);
    assert_eq!((gateway.metric("served.report"), gateway.metric("attempts.report")), (1, 2));
}

#[test]
fn limits_and_tenants_are_in_force_at_once() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let mut first = ask(&gateway, 1, "report", ",t=acme");
    let out = engines.next_start(&id(1));
    let change = |text: String| {
        let text = text.replace("\"max-open\":20000", "\"max-open\":1");
        text.replace("\"name\":\"acme\"", "\"name\":\"other\"")
    };
    let narrow = changed_settings(change);
    stream.send(&snapshot(1, &narrow));
    server.expect_applied(1);
    assert!(rejection(&gateway, &query(2, "report", ",t=other")).starts_with("53"), "one is open already");
    assert!(rejection(&gateway, &query(3, "report", ",t=acme")).contains("unknown tenant"));
    let wide = changed_settings(|text| text.replace("\"name\":\"acme\"", "\"name\":\"other\""));
    stream.send(&delta((1, &narrow), (2, &wide)));
    server.expect_applied(2);
    let mut second = ask(&gateway, 4, "report", ",t=other");
    engines.next_start(&id(4)).finish();
    assert_served(&mut second, 4);
    out.finish();
    assert_served(&mut first, 1);
}

/// A gateway before this engine that was started with short times for its connections, and has long ones in force.
fn with_longer_times(engine: &Peer) -> (Gateway, ControlPlaneServer, ControlPlaneStream) {
    let server = ControlPlaneServer::start();
    let short = |config: String| config.replace("\"keepalive-s\":15.0", "\"keepalive-s\":0.5");
    let gateway = Gateway::with_control_plane(&engine.entry("Ready"), &[server.address], short);
    let mut stream = server.accept_stream();
    let longer = changed_settings(|text| {
        let text = text.replace("\"keepalive-s\":15.0", "\"keepalive-s\":3600.0");
        text.replace("\"connect-timeout-s\":0.25", "\"connect-timeout-s\":3600.0")
    });
    stream.send(&snapshot(1, &longer));
    server.expect_applied(1);
    (gateway, server, stream)
}

/// Longer than any connection is kept or waited for by the short times.
const LONGER: Duration = Duration::from_secs(1);

#[test]
fn a_longer_keepalive_of_connections_to_engines_is_in_force_at_once() {
    let engine = Peer::new("e1");
    let (gateway, _server, _stream) = with_longer_times(&engine);
    let mut first = ask(&gateway, 1, "report", "");
    let mut wire = engine.accept();
    assert_eq!(wire.read_call().query_id(), id(1));
    wire.send_row(&id(1));
    assert_served(&mut first, 1);
    thread::sleep(LONGER);
    let mut second = ask(&gateway, 2, "report", "");
    assert_eq!(wire.read_call().query_id(), id(2), "over the same connection");
    wire.send_row(&id(2));
    assert_served(&mut second, 2);
    assert!(engine.has_no_pending_connection());
}

#[test]
fn a_longer_time_for_connections_to_come_up_is_in_force_at_once() {
    let mut engine = Peer::with_full_backlog("e1");
    let (gateway, _server, _stream) = with_longer_times(&engine);
    // A load is not taken back for its silence, however often the kernel has to send its first packet again.
    let mut client = ask(&gateway, 1, "load", "");
    thread::sleep(LONGER);
    engine.drain_backlog();
    let mut wire = engine.accept();
    assert_eq!(wire.read_call().query_id(), id(1));
    wire.send_row(&id(1));
    assert_served(&mut client, 1);
    wait_answered(&gateway, 1);
    assert_eq!(gateway.log().matches("connection opened engine=").count(), 1, "none was given up");
}

#[test]
fn a_version_in_force_stays_when_the_file_is_read_again() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let document = changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    stream.send(&snapshot(1, &document));
    server.expect_applied(1);
    gateway.signal("-HUP");
    gateway.wait_for_log("configuration read again");
    let mut client = ask(&gateway, 1, "digest", "");
    engines.next_start(&id(1)).finish();
    assert_served(&mut client, 1);
    assert!(rejection(&gateway, &query(2, "report", "")).contains("unknown class"));
    assert!(status(&gateway).contains("configuration.in_force=1\n"));
    wait_answered(&gateway, 1);
    assert!(
        !gateway.log().contains("settings in the file differ from those in force"),
        "what is in force is not the file's"
    );
}

#[test]
fn removed_classes_are_unknown_to_new_requests_and_added_ones_known() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let mut first = ask(&gateway, 1, "report", "");
    let out = engines.next_start(&id(1));
    assert!(rejection(&gateway, &query(2, "digest", "")).contains("unknown class"));
    stream.send(&snapshot(
        1,
        &changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\"")),
    ));
    server.expect_applied(1);
    assert!(rejection(&gateway, &query(3, "report", "")).contains("unknown class"));
    let mut second = ask(&gateway, 4, "digest", "");
    engines.next_start(&id(4)).finish();
    assert_served(&mut second, 4);
    out.finish();
    assert_served(&mut first, 1);
    assert_eq!((gateway.metric("served.digest"), gateway.metric("served.report")), (1, 1));
}

#[test]
fn a_bad_version_is_refused_as_a_whole_with_its_reason() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let good = changed_settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2"));
    stream.send(&snapshot(1, &good));
    server.expect_applied(1);
    let bad = |what: &str, by: &str| {
        changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\"").replace(what, by))
    };
    let cases = [
        (bad("\"locality\":\"z\"", "\"locality\":\"y\""), "own zone (locality) can't change"),
        (bad("\"deadline-s\":3.0", "\"deadline-s\":-3.0"), "deadline of class 0 is -3"),
        (bad("\"aim-s\":4.0", "\"aim-s\":\"4\""), "a number expected"),
        (bad("\"how\":\"answers\"", "\"how\":\"none\""), "how engines report"),
    ];
    for (version, (document, part)) in (2..).zip(cases) {
        stream.send(&snapshot(version, &document));
        let Report::Refused { version: told, reason, in_force } = server.next_report() else { panic!() };
        assert_eq!((told, in_force), (Version(version), Version(1)));
        assert!(reason.contains(part), "{reason}");
        assert!(
            rejection(&gateway, &query(version, "digest", "")).contains("unknown class"),
            "nothing of it"
        );
        let text = status(&gateway);
        assert!(text.contains(&format!("in_force=1\nconfiguration.newest_seen={version}\n")), "{text}");
        assert!(text.contains(&format!("configuration.refused={version} ")) && text.contains(part), "{text}");
    }
    gateway.wait_for_log("configuration refused version=2 in_force=1");
    let mut client = ask(&gateway, 20, "report", "");
    engines.next_start(&id(20)).finish();
    assert_served(&mut client, 20);
    // A good one counts again, on top of the one in force.
    stream.send(&delta((1, &good), (9, &initial_settings().parse().unwrap())));
    server.expect_applied(9);
    assert!(!status(&gateway).contains("refused"));
}

#[test]
fn old_and_duplicate_versions_change_nothing() {
    let (gateway, _engines, server, mut stream) = controlled_gateway(|config| config);
    let named = |name: &str| {
        changed_settings(|text| text.replace("\"name\":\"report\"", &format!("\"name\":\"{name}\"")))
    };
    let (third, fifth, sixth) = (named("third"), named("fifth"), named("sixth"));
    stream.send(&snapshot(5, &fifth));
    server.expect_applied(5);
    stream.send(&snapshot(3, &third));
    stream.send(&snapshot(5, &fifth));
    stream.send(&delta((3, &third), (4, &sixth)));
    // What comes in order behind them shows that they were seen and changed nothing.
    let step = delta((5, &fifth), (6, &sixth));
    stream.send(&step);
    stream.send(&step);
    server.expect_applied(6);
    stream.send(&snapshot(5, &fifth));
    stream.send(&delta((6, &sixth), (7, &fifth)));
    server.expect_applied(7);
    assert!(status(&gateway).contains("configuration.in_force=7\n"));
    for name in ["third", "sixth", "report"] {
        assert!(rejection(&gateway, &query(1, name, "")).contains("unknown class"));
    }
}

#[test]
fn a_delta_that_does_not_fit_leads_to_a_snapshot() {
    let (gateway, _engines, server, mut stream) = controlled_gateway(|config| config);
    let one = changed_settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":1"));
    let two = changed_settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2"));
    let few = changed_settings(|text| text.replace("\"max-open\":20000", "\"max-open\":5"));
    stream.send(&snapshot(1, &one));
    server.expect_applied(1);
    // From a version that it does not have.
    stream.send(&delta((7, &two), (8, &one)));
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 1, "it says what it has");
    // From its version, but with other contents: what comes out has not the digest that was told.
    stream.send(&delta((1, &initial_settings().parse().unwrap()), (8, &few)));
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 0, "it asks for everything");
    assert!(status(&gateway).contains("configuration.in_force=1\n"));
    stream.send(&snapshot(8, &two));
    server.expect_applied(8);
    assert!(!gateway.log().contains("silent"), "it went by itself");
}

#[test]
fn a_server_lost_within_a_message_is_replaced_by_the_next() {
    let (engines, servers) =
        (HeldEngines::start(&["e1"]), [ControlPlaneServer::start(), ControlPlaneServer::start()]);
    let addresses = [servers[0].address, servers[1].address];
    let gateway = Gateway::with_control_plane(&engines.entries, &addresses, |config| config);
    let (first, second) = if servers[0].is_contacted_before(&servers[1]) { (0, 1) } else { (1, 0) };
    let document = changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = format!("data: {}\n\n", snapshot(1, &document));
    let mut stream = servers[first].accept_stream();
    stream.connection.send(&message[..message.len() / 2]);
    stream.connection.reset();
    let mut stream = servers[second].accept_stream();
    assert_eq!(stream.version, 0);
    assert!(rejection(&gateway, &query(1, "digest", "")).contains("unknown class"));
    stream.connection.send(&message);
    servers[second].expect_applied(1);
    let mut client = ask(&gateway, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn a_message_may_come_byte_by_byte_and_counts_when_complete() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let document = changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = format!("id: 1\r\ndata: {}\r\n\r\n", snapshot(1, &document));
    // Cut off at places all over it; what is said before keeps the pause to the next stream short.
    let pieces = 16;
    for cut in (0..pieces).map(|n| n * message.len() / pieces) {
        stream.send_heartbeat(0);
        stream.connection.send(&message[..cut]);
        stream.connection.reset();
        stream = server.accept_stream();
        assert_eq!(stream.version, 0, "cut at {cut}");
        assert!(rejection(&gateway, &query(1, "digest", "")).contains("unknown class"), "cut at {cut}");
    }
    for byte in message.as_bytes() {
        stream.connection.send(std::str::from_utf8(&[*byte]).unwrap());
    }
    server.expect_applied(1);
    let mut client = ask(&gateway, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn a_report_that_is_not_accepted_is_sent_again() {
    let (_gateway, _engines, server, mut stream) = controlled_gateway(|config| config);
    server.reject_reports(2);
    stream.send(&snapshot(
        1,
        &changed_settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2")),
    ));
    server.expect_applied(1);
}

#[test]
fn a_silent_server_is_replaced_by_the_next() {
    let (engines, servers) =
        (HeldEngines::start(&["e1"]), [ControlPlaneServer::start(), ControlPlaneServer::start()]);
    let addresses = [servers[0].address, servers[1].address];
    let gateway = Gateway::with_control_plane(&engines.entries, &addresses, |config| config);
    let (first, second) = if servers[0].is_contacted_before(&servers[1]) { (0, 1) } else { (1, 0) };
    let mut silent = servers[first].accept_stream();
    silent.send_heartbeat(0);
    let mut stream = servers[second].accept_stream();
    gateway.wait_for_log("the control plane server is silent");
    stream.send(&snapshot(1, &initial_settings().parse().unwrap()));
    servers[second].expect_applied(1);
}

#[test]
fn garbage_in_the_stream_changes_nothing_and_leads_to_a_new_stream() {
    let (gateway, _engines, server, mut stream) = controlled_gateway(|config| config);
    let long = "x".repeat(100_000);
    for noise in
        ["data: {\"snapshot\":7}\n\n", "data: nothing\n\n", "data: {}\n\n", &format!("data: {long}\n\n")]
    {
        stream.send_heartbeat(0);
        stream.connection.send(noise);
        stream = server.accept_stream();
        assert_eq!(stream.version, 0);
    }
    assert!(status(&gateway).contains("configuration.in_force=0\n"));
    assert!(!gateway.log().contains("silent"), "it went by itself");
    stream.send(&snapshot(1, &initial_settings().parse().unwrap()));
    server.expect_applied(1);
}

#[test]
fn a_gateway_restarted_while_it_applies_gets_the_newest_version_and_retries_nothing() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let _client = ask(&gateway, 1, "load", "");
    let out = engines.next_start(&id(1));
    let document = changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = snapshot(1, &document);
    gateway.while_paused(|| {
        stream.send(&message);
        // It dies with the message in hand.
        gateway.signal("-KILL");
    });
    let next = gateway.successor();
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 0, "it has what its file says");
    stream.send(&message);
    server.expect_applied(1);
    out.finish();
    let mut client = ask(&next, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn both_processes_of_a_replacement_follow_and_the_predecessor_disconnects() {
    let (gateway, engines, server, mut stream) = controlled_gateway(|config| config);
    let document = changed_settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    stream.send(&snapshot(1, &document));
    server.expect_applied(1);
    let mut client = ask(&gateway, 1, "digest", "");
    let out = engines.next_start(&id(1));
    let next = gateway.successor();
    let mut fresh = server.accept_stream();
    fresh.send(&snapshot(1, &document));
    server.expect_applied(1);
    gateway.terminate();
    assert!(stream.connection.is_closed(), "it follows no longer, and serves what it has taken");
    out.finish();
    assert_served(&mut client, 1);
    assert_eq!(gateway.wait().0, Some(0));
    let mut client = ask(&next, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn many_changes_with_requests_in_flight_end_each_request_once() {
    let (gateway, engines, server, mut stream) = controlled_gateway(keeps_order);
    let document = |n: u64| -> Document {
        let deadline = format!("\"deadline-s\":{}.0", 20 + n % 5);
        changed_settings(|text| {
            keeps_order(text)
                .replace("\"deadline-s\":25.0", &deadline)
                .replace("\"max-attempts\":3", "\"max-attempts\":4")
        })
    };
    let mut before = document(0);
    stream.send(&snapshot(1, &before));
    server.expect_applied(1);
    let mut waiting = std::collections::VecDeque::new();
    for n in 1..=40 {
        let client = ask(&gateway, n, "load", &format!(",o=k{n}"));
        waiting.push_back((n, client, engines.next_start(&id(n))));
        let after = document(n);
        stream.send(&delta((n, &before), (n + 1, &after)));
        server.expect_applied(n + 1);
        before = after;
        if waiting.len() > 3 {
            let (n, mut client, out) = waiting.pop_front().unwrap();
            out.finish();
            assert_served(&mut client, n);
        }
    }
    for (n, mut client, out) in waiting {
        out.finish();
        assert_served(&mut client, n);
    }
    assert_eq!((gateway.metric("served.load"), gateway.metric("attempts.load")), (40, 40));
    assert_eq!((gateway.metric("in_flight"), gateway.metric("failed.load")), (0, 0));
    assert!(engines.has_started_no_other());
}

#[test]
fn without_a_control_table_there_is_no_control_plane_and_the_status_is_short() {
    let engines = HeldEngines::start(&["e1"]);
    let gateway = Gateway::with_endpoints_and_admin(&engines.entries, |config| config);
    assert_eq!(status(&gateway), "ready\n");
}
