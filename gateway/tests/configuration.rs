//! Guards live reconfiguration by a control plane while requests are queued and in flight. Engines and control plane
//! servers are scripted, so that the order of events is fixed.

mod common;

use std::thread;
use std::time::Duration;

use common::control::{ControlPlaneServer, ControlPlaneStream, delta, initial_settings, settings, snapshot};
use common::gated::GatedEngines;
use common::requests::{assert_served, id, wait_admitted, wait_answered};
use common::scripted::Peer;
use common::{Gateway, pg};
use wrenhatch_configuration::{Document, Report, Version};

fn query(n: u64, class: &str, extra_fields: &str) -> String {
    format!("/* c={class},i={},d=20000{extra_fields} */ SELECT v FROM sales_17.orders", id(n))
}

/// Sends a request and waits until it is admitted.
fn send_request(gateway: &Gateway, n: u64, class: &str, extra_fields: &str) -> pg::Client {
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&query(n, class, extra_fields));
    wait_admitted(gateway, n);
    client
}

/// SQLSTATE and text of the error with which a statement is rejected.
fn rejection(gateway: &Gateway, statement: &str) -> String {
    match pg::Client::connect(gateway.pg).query(statement) {
        pg::Answer::Error(code, text) => format!("{code} {text}"),
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

/// Starts a gateway for two engines that receives settings from one control plane server.
fn gateway_with_control_plane(
    change: impl Fn(String) -> String,
) -> (Gateway, GatedEngines, ControlPlaneServer, ControlPlaneStream) {
    let (engines, server) = (GatedEngines::start(&["e1", "e2"]), ControlPlaneServer::start());
    let gateway = Gateway::with_control_plane(&engines.entries, &[server.address], change);
    let stream = server.accept_stream();
    assert_eq!(stream.version, 0);
    (gateway, engines, server, stream)
}

#[test]
fn a_class_that_becomes_unordered_keeps_the_order_of_earlier_requests() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(keeps_order);
    let mut first = send_request(&gateway, 1, "load", ",o=k");
    let first_attempt = engines.next_start(&id(1));
    let mut second = send_request(&gateway, 2, "load", ",o=k");
    // The gateway's configuration file orders the class, and these settings do not.
    stream.send(&snapshot(1, &initial_settings().parse().unwrap()));
    server.expect_applied(1);
    let mut third = send_request(&gateway, 3, "load", ",o=k");
    engines.next_start(&id(3)).finish();
    assert_served(&mut third, 3);
    first_attempt.finish();
    assert_served(&mut first, 1);
    engines.next_start(&id(2)).finish();
    assert_served(&mut second, 2);
    assert_eq!(gateway.metric("served.load"), 3, "metrics must be kept by class name");
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
    let mut client = send_request(&gateway, 1, "load", "");
    let mut connection = e1.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    let pure = settings(|text| text.replace("\"repeat\":\"side_effect\"", "\"repeat\":\"pure\""));
    stream.send(&snapshot(1, &pure));
    server.expect_applied(1);
    watch.send_event(2, &e2.entry("Ready"));
    gateway.wait_for_log("name=\"e2\" state=Ready");
    drop(e1);
    connection.reset();
    assert!(matches!(client.answer(), pg::Answer::Error(code, _) if !code.starts_with("53")));
    assert!(e2.has_no_pending_connection(), "an attempt that may have run must not be retried");
    // The other engine is usable: it serves a later request.
    let mut client = send_request(&gateway, 2, "load", "");
    let mut connection = e2.accept();
    assert_eq!(connection.read_call().query_id(), id(2));
    connection.send_row(&id(2));
    assert_served(&mut client, 2);
}

#[test]
fn a_shorter_deadline_applies_only_to_new_requests() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let mut before = send_request(&gateway, 1, "report", "");
    let attempt = engines.next_start(&id(1));
    stream.send(&snapshot(1, &settings(|text| text.replace("\"deadline-s\":20.0", "\"deadline-s\":0.4"))));
    server.expect_applied(1);
    let mut after = send_request(&gateway, 2, "report", "");
    assert!(matches!(after.answer(), pg::Answer::Error(..)), "the deadline must have passed");
    attempt.finish();
    assert_served(&mut before, 1);
    assert_eq!((gateway.metric("served.report"), gateway.metric("attempts.report")), (1, 2));
}

#[test]
fn changed_limits_and_tenants_apply_immediately() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let mut first = send_request(&gateway, 1, "report", ",t=acme");
    let attempt = engines.next_start(&id(1));
    let change = |text: String| {
        let text = text.replace("\"max-open\":20000", "\"max-open\":1");
        text.replace("\"name\":\"acme\"", "\"name\":\"other\"")
    };
    let narrow = settings(change);
    stream.send(&snapshot(1, &narrow));
    server.expect_applied(1);
    assert!(
        rejection(&gateway, &query(2, "report", ",t=other")).starts_with("53"),
        "one request is already open"
    );
    assert!(rejection(&gateway, &query(3, "report", ",t=acme")).contains("unknown tenant"));
    let wide = settings(|text| text.replace("\"name\":\"acme\"", "\"name\":\"other\""));
    stream.send(&delta((1, &narrow), (2, &wide)));
    server.expect_applied(2);
    let mut second = send_request(&gateway, 4, "report", ",t=other");
    engines.next_start(&id(4)).finish();
    assert_served(&mut second, 4);
    attempt.finish();
    assert_served(&mut first, 1);
}

/// Starts a gateway with short connection timeouts in its file and long timeouts in the version in force.
fn gateway_with_longer_timeouts(engine: &Peer) -> (Gateway, ControlPlaneServer, ControlPlaneStream) {
    let server = ControlPlaneServer::start();
    let short = |config: String| config.replace("\"keepalive-s\":15.0", "\"keepalive-s\":0.5");
    let gateway = Gateway::with_control_plane(&engine.entry("Ready"), &[server.address], short);
    let mut stream = server.accept_stream();
    let longer = settings(|text| {
        let text = text.replace("\"keepalive-s\":15.0", "\"keepalive-s\":3600.0");
        text.replace("\"connect-timeout-s\":0.25", "\"connect-timeout-s\":3600.0")
    });
    stream.send(&snapshot(1, &longer));
    server.expect_applied(1);
    (gateway, server, stream)
}

/// Longer than the connection timeouts in the gateway's file.
const LONGER_THAN_TIMEOUTS: Duration = Duration::from_secs(1);

#[test]
fn a_longer_keepalive_of_engine_connections_applies_immediately() {
    let engine = Peer::new("e1");
    let (gateway, _server, _stream) = gateway_with_longer_timeouts(&engine);
    let mut first = send_request(&gateway, 1, "report", "");
    let mut connection = engine.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    connection.send_row(&id(1));
    assert_served(&mut first, 1);
    thread::sleep(LONGER_THAN_TIMEOUTS);
    let mut second = send_request(&gateway, 2, "report", "");
    assert_eq!(connection.read_call().query_id(), id(2), "the connection must be reused");
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
    assert!(engine.has_no_pending_connection());
}

#[test]
fn a_longer_connect_timeout_applies_immediately() {
    let mut engine = Peer::with_full_backlog("e1");
    let (gateway, _server, _stream) = gateway_with_longer_timeouts(&engine);
    // A load is not cancelled for a slow response, even if the kernel must retransmit SYN packets.
    let mut client = send_request(&gateway, 1, "load", "");
    thread::sleep(LONGER_THAN_TIMEOUTS);
    engine.drain_backlog();
    let mut connection = engine.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    connection.send_row(&id(1));
    assert_served(&mut client, 1);
    wait_answered(&gateway, 1);
    assert_eq!(
        gateway.log().matches("connection opened engine=").count(),
        1,
        "the connection must not have timed out"
    );
}

#[test]
fn a_version_in_force_stays_when_the_file_is_reloaded() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let document = settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    stream.send(&snapshot(1, &document));
    server.expect_applied(1);
    gateway.signal("-HUP");
    gateway.wait_for_log("configuration reloaded");
    let mut client = send_request(&gateway, 1, "digest", "");
    engines.next_start(&id(1)).finish();
    assert_served(&mut client, 1);
    assert!(rejection(&gateway, &query(2, "report", "")).contains("unknown class"));
    assert!(status(&gateway).contains("configuration.in_force=1\n"));
    wait_answered(&gateway, 1);
    assert!(
        !gateway.log().contains("settings in the file differ from those in force"),
        "the version in force must not be compared with the file"
    );
}

#[test]
fn removed_classes_are_rejected_and_added_ones_accepted_for_new_requests() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let mut first = send_request(&gateway, 1, "report", "");
    let attempt = engines.next_start(&id(1));
    assert!(rejection(&gateway, &query(2, "digest", "")).contains("unknown class"));
    stream.send(&snapshot(1, &settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""))));
    server.expect_applied(1);
    assert!(rejection(&gateway, &query(3, "report", "")).contains("unknown class"));
    let mut second = send_request(&gateway, 4, "digest", "");
    engines.next_start(&id(4)).finish();
    assert_served(&mut second, 4);
    attempt.finish();
    assert_served(&mut first, 1);
    assert_eq!((gateway.metric("served.digest"), gateway.metric("served.report")), (1, 1));
}

#[test]
fn an_invalid_version_is_refused_as_a_whole_with_a_reason() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let valid = settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2"));
    stream.send(&snapshot(1, &valid));
    server.expect_applied(1);
    let invalid = |from: &str, to: &str| {
        settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\"").replace(from, to))
    };
    let cases = [
        (invalid("\"locality\":\"z\"", "\"locality\":\"y\""), "own zone (locality) can't change"),
        (invalid("\"deadline-s\":3.0", "\"deadline-s\":-3.0"), "deadline of class 0 is -3"),
        (invalid("\"aim-s\":4.0", "\"aim-s\":\"4\""), "a number expected"),
        (invalid("\"how\":\"answers\"", "\"how\":\"none\""), "how engines report"),
    ];
    for (version, (document, expected)) in (2..).zip(cases) {
        stream.send(&snapshot(version, &document));
        let Report::Refused { version: refused, reason, in_force } = server.next_report() else { panic!() };
        assert_eq!((refused, in_force), (Version(version), Version(1)));
        assert!(reason.contains(expected), "{reason}");
        assert!(
            rejection(&gateway, &query(version, "digest", "")).contains("unknown class"),
            "no part of the version may be in force"
        );
        let text = status(&gateway);
        assert!(text.contains(&format!("in_force=1\nconfiguration.newest_seen={version}\n")), "{text}");
        assert!(
            text.contains(&format!("configuration.refused={version} ")) && text.contains(expected),
            "{text}"
        );
    }
    gateway.wait_for_log("configuration refused version=2 in_force=1");
    let mut client = send_request(&gateway, 20, "report", "");
    engines.next_start(&id(20)).finish();
    assert_served(&mut client, 20);
    // The base of a later valid delta is the version in force.
    stream.send(&delta((1, &valid), (9, &initial_settings().parse().unwrap())));
    server.expect_applied(9);
    assert!(!status(&gateway).contains("refused"));
}

#[test]
fn old_and_duplicate_versions_are_ignored() {
    let (gateway, _engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let named =
        |name: &str| settings(|text| text.replace("\"name\":\"report\"", &format!("\"name\":\"{name}\"")));
    let (third, fifth, sixth) = (named("third"), named("fifth"), named("sixth"));
    stream.send(&snapshot(5, &fifth));
    server.expect_applied(5);
    stream.send(&snapshot(3, &third));
    stream.send(&snapshot(5, &fifth));
    stream.send(&delta((3, &third), (4, &sixth)));
    // The next version in order shows that the messages before it were processed and ignored.
    let next = delta((5, &fifth), (6, &sixth));
    stream.send(&next);
    stream.send(&next);
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
fn a_delta_that_cannot_be_applied_leads_to_a_snapshot() {
    let (gateway, _engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let one = settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":1"));
    let two = settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2"));
    let few = settings(|text| text.replace("\"max-open\":20000", "\"max-open\":5"));
    stream.send(&snapshot(1, &one));
    server.expect_applied(1);
    // The gateway does not have the base version.
    stream.send(&delta((7, &two), (8, &one)));
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 1, "the gateway must send its version");
    // The base version has other contents, so that the result does not have the stated digest.
    stream.send(&delta((1, &initial_settings().parse().unwrap()), (8, &few)));
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 0, "the gateway must request a snapshot");
    assert!(status(&gateway).contains("configuration.in_force=1\n"));
    stream.send(&snapshot(8, &two));
    server.expect_applied(8);
    assert!(!gateway.log().contains("silent"), "the stream must be closed without a timeout");
}

#[test]
fn a_server_that_fails_within_a_message_is_replaced_by_the_next() {
    let (engines, servers) =
        (GatedEngines::start(&["e1"]), [ControlPlaneServer::start(), ControlPlaneServer::start()]);
    let addresses = [servers[0].address, servers[1].address];
    let gateway = Gateway::with_control_plane(&engines.entries, &addresses, |config| config);
    let (first, second) = if servers[0].is_contacted_before(&servers[1]) { (0, 1) } else { (1, 0) };
    let document = settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = format!("data: {}\n\n", snapshot(1, &document));
    let mut stream = servers[first].accept_stream();
    stream.connection.send(&message[..message.len() / 2]);
    stream.connection.reset();
    let mut stream = servers[second].accept_stream();
    assert_eq!(stream.version, 0);
    assert!(rejection(&gateway, &query(1, "digest", "")).contains("unknown class"));
    stream.connection.send(&message);
    servers[second].expect_applied(1);
    let mut client = send_request(&gateway, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn a_partial_message_is_discarded_and_a_message_can_arrive_byte_by_byte() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let document = settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = format!("id: 1\r\ndata: {}\r\n\r\n", snapshot(1, &document));
    // The connection is reset at evenly spaced positions of the message. Each heartbeat resets the reconnect backoff.
    let pieces = 16;
    for length in (0..pieces).map(|n| n * message.len() / pieces) {
        stream.send_heartbeat(0);
        stream.connection.send(&message[..length]);
        stream.connection.reset();
        stream = server.accept_stream();
        assert_eq!(stream.version, 0, "{length} bytes");
        assert!(rejection(&gateway, &query(1, "digest", "")).contains("unknown class"), "{length} bytes");
    }
    for byte in message.as_bytes() {
        stream.connection.send(std::str::from_utf8(&[*byte]).unwrap());
    }
    server.expect_applied(1);
    let mut client = send_request(&gateway, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn a_rejected_report_is_retried() {
    let (_gateway, _engines, server, mut stream) = gateway_with_control_plane(|config| config);
    server.reject_reports(2);
    stream.send(&snapshot(1, &settings(|text| text.replace("\"max-attempts\":3", "\"max-attempts\":2"))));
    server.expect_applied(1);
}

#[test]
fn a_silent_server_is_replaced_by_the_next() {
    let (engines, servers) =
        (GatedEngines::start(&["e1"]), [ControlPlaneServer::start(), ControlPlaneServer::start()]);
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
fn garbage_in_the_stream_is_ignored_and_leads_to_a_new_stream() {
    let (gateway, _engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let long = "x".repeat(100_000);
    for garbage in
        ["data: {\"snapshot\":7}\n\n", "data: nothing\n\n", "data: {}\n\n", &format!("data: {long}\n\n")]
    {
        stream.send_heartbeat(0);
        stream.connection.send(garbage);
        stream = server.accept_stream();
        assert_eq!(stream.version, 0);
    }
    assert!(status(&gateway).contains("configuration.in_force=0\n"));
    assert!(!gateway.log().contains("silent"), "the stream must be closed without a timeout");
    stream.send(&snapshot(1, &initial_settings().parse().unwrap()));
    server.expect_applied(1);
}

#[test]
fn a_gateway_killed_before_it_reads_a_version_gets_it_again_and_retries_nothing() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let _client = send_request(&gateway, 1, "load", "");
    let attempt = engines.next_start(&id(1));
    let document = settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    let message = snapshot(1, &document);
    gateway.while_paused(|| {
        stream.send(&message);
        // The process is killed before it can read the message.
        gateway.signal("-KILL");
    });
    let successor = gateway.successor();
    let mut stream = server.accept_stream();
    assert_eq!(stream.version, 0, "the settings of the file must be in force");
    stream.send(&message);
    server.expect_applied(1);
    attempt.finish();
    let mut client = send_request(&successor, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn both_processes_of_a_replacement_receive_versions_until_the_predecessor_shuts_down() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(|config| config);
    let document = settings(|text| text.replace("\"name\":\"report\"", "\"name\":\"digest\""));
    stream.send(&snapshot(1, &document));
    server.expect_applied(1);
    let mut client = send_request(&gateway, 1, "digest", "");
    let attempt = engines.next_start(&id(1));
    let successor = gateway.successor();
    let mut second_stream = server.accept_stream();
    second_stream.send(&snapshot(1, &document));
    server.expect_applied(1);
    gateway.terminate();
    assert!(stream.connection.is_closed(), "the predecessor must close its stream");
    attempt.finish();
    assert_served(&mut client, 1);
    assert_eq!(gateway.wait().0, Some(0));
    let mut client = send_request(&successor, 2, "digest", "");
    engines.next_start(&id(2)).finish();
    assert_served(&mut client, 2);
}

#[test]
fn requests_in_flight_are_served_once_during_many_changes() {
    let (gateway, engines, server, mut stream) = gateway_with_control_plane(keeps_order);
    let document = |n: u64| -> Document {
        let deadline = format!("\"deadline-s\":{}.0", 20 + n % 5);
        settings(|text| {
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
        let client = send_request(&gateway, n, "load", &format!(",o=k{n}"));
        waiting.push_back((n, client, engines.next_start(&id(n))));
        let after = document(n);
        stream.send(&delta((n, &before), (n + 1, &after)));
        server.expect_applied(n + 1);
        before = after;
        if waiting.len() > 3 {
            let (n, mut client, attempt) = waiting.pop_front().unwrap();
            attempt.finish();
            assert_served(&mut client, n);
        }
    }
    for (n, mut client, attempt) in waiting {
        attempt.finish();
        assert_served(&mut client, n);
    }
    assert_eq!((gateway.metric("served.load"), gateway.metric("attempts.load")), (40, 40));
    assert_eq!((gateway.metric("in_flight"), gateway.metric("failed.load")), (0, 0));
    assert!(engines.has_started_no_other());
}

#[test]
fn without_a_control_plane_the_status_holds_no_configuration() {
    let engines = GatedEngines::start(&["e1"]);
    let gateway = Gateway::with_endpoints_and_admin(&engines.entries, |config| config);
    assert_eq!(status(&gateway), "ready\n");
}
