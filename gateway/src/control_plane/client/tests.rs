use serde_json::json;
use wrenhatch_configuration::{Document, Message, Snapshot};

use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

fn settings(version: u64) -> Document {
    Document::new(json!({ "over-share-worth": version })).unwrap()
}

fn snapshot(version: u64) -> String {
    let message = Message::Snapshot(Snapshot::new(Version(version), &settings(version)));
    format!("data: {}\n\n", message.encode())
}

fn client() -> ControlPlaneClient {
    let servers = vec![([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into()];
    ControlPlaneClient::new(ControlPlaneSettings { servers, document: settings(0) }, "g1", 7)
}

/// A client with an open stream.
fn connected() -> ControlPlaneClient {
    let mut client = client();
    assert!(client.should_connect(0));
    client.on_connecting(0, &mut Vec::new());
    client.on_connected();
    receive(&mut client, HEAD);
    client
}

fn receive(client: &mut ControlPlaneClient, text: &str) -> Option<MessageOutcome> {
    client.on_bytes(0, &mut text.as_bytes().to_vec()).unwrap();
    client.next_message(0)
}

fn report(client: &mut ControlPlaneClient, now_us: u64) -> String {
    assert!(client.is_report_due(now_us));
    let mut request = Vec::new();
    client.on_report_connecting(now_us, &mut request);
    String::from_utf8(request).unwrap()
}

#[test]
fn a_connection_attempt_times_out_and_the_next_one_uses_another_server() {
    let mut client = client();
    let server = client.server();
    client.on_connecting(5, &mut Vec::new());
    assert!(!client.should_connect(5));
    assert_eq!(client.deadline_us(5), 5 + CONNECT_TIMEOUT_US);
    assert!(!client.is_stream_lost(4 + CONNECT_TIMEOUT_US));
    assert!(client.is_stream_lost(5 + CONNECT_TIMEOUT_US));
    client.on_disconnected(5 + CONNECT_TIMEOUT_US);
    assert_ne!(client.server(), server);
    let retry_us = client.deadline_us(5 + CONNECT_TIMEOUT_US);
    assert!(client.should_connect(retry_us) && !client.should_connect(retry_us - 1));
    client.on_connecting(retry_us, &mut Vec::new());
    client.on_connected();
    assert_eq!(client.deadline_us(retry_us), retry_us + SILENCE_CHECK_INTERVAL_US);
    assert!(!client.is_stream_lost(retry_us + CONNECT_TIMEOUT_US), "the connection is established");
}

#[test]
fn versions_are_announced_applied_and_reported() {
    let mut client = connected();
    let outcome = receive(&mut client, &snapshot(3)).unwrap();
    let action = SubscriberAction::Apply { version: Version(3), document: settings(3) };
    assert_eq!(outcome, MessageOutcome { announced: Some(Version(3)), action });
    assert!(!client.is_report_due(u64::MAX));
    client.on_applied(Version(3));
    assert!(report(&mut client, 0).contains("\"state\":\"applied\""));
    assert_eq!(client.to_string(), "configuration.in_force=3\nconfiguration.newest_seen=3\n");
    client.on_report_accepted();
    assert!(!client.is_report_due(u64::MAX));
    let action = SubscriberAction::Nothing;
    assert_eq!(receive(&mut client, &snapshot(3)), Some(MessageOutcome { announced: None, action }));
    assert_eq!(receive(&mut client, ": comment\n\n"), None);
}

#[test]
fn a_refused_version_is_reported_and_shown_until_another_one_is_applied() {
    let mut client = connected();
    receive(&mut client, &snapshot(3)).unwrap();
    client.on_refused(Version(3), &"bad\nvalue");
    assert!(report(&mut client, 0).contains("\"state\":\"refused\""));
    let lines = "configuration.in_force=0\nconfiguration.newest_seen=3\nconfiguration.refused=3 bad value\n";
    assert_eq!(client.to_string(), lines);
    client.on_report_accepted();
    let again = receive(&mut client, &snapshot(3)).unwrap().action;
    assert_eq!(again, SubscriberAction::Refused { version: Version(3), reason: "bad\nvalue".to_owned() });
    assert!(report(&mut client, 0).contains("\"state\":\"refused\""), "reported again");
    receive(&mut client, &snapshot(4)).unwrap();
    client.on_applied(Version(4));
    assert!(
        report(&mut client, 0).contains("\"state\":\"applied\""),
        "replaces the report of the refused version"
    );
    assert_eq!(client.to_string(), "configuration.in_force=4\nconfiguration.newest_seen=4\n");
}

#[test]
fn a_report_is_retried_after_a_timeout_or_an_exponential_delay() {
    let mut client = connected();
    receive(&mut client, &snapshot(3)).unwrap();
    client.on_applied(Version(3));
    report(&mut client, 0);
    assert!(client.is_report_due(REPORT_TIMEOUT_US) && !client.is_report_due(REPORT_TIMEOUT_US - 1));
    for failures in 0..20 {
        let max_delay_us = (REPORT_BACKOFF_INITIAL_US << failures).min(REPORT_BACKOFF_MAX_US);
        client.on_report_failed(0, max_delay_us as u32 - 1);
        assert!(client.is_report_due(max_delay_us) && !client.is_report_due(max_delay_us - 1));
    }
    client.shut_down();
    assert!(!client.is_report_due(u64::MAX));
}
