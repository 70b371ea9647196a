//! Guards the formats of messages to other gateway processes (of another release during a replacement), the discovery
//! service, the control plane and operators. JSON is compared by value: object members have no fixed order.

use std::net::SocketAddr;

use serde_json::Value;
use workload_manager::{ClassId, EndpointState, KeyId, Outcome};
use wrenhatch::admin::call::{self, AdminCall, CallError};
use wrenhatch::admin::metrics::{Gauges, Metrics, RequestOutcome};
use wrenhatch::control_plane::{self, ReportResponse};
use wrenhatch::counters::Counters;
use wrenhatch::discovery::{Endpoint, EndpointListEvent, UnreadableEntry, parse_event, write_stream_request};
use wrenhatch::event_stream::{EventStream, ServerSentEvent};
use wrenhatch::process_replacement::{Message, MessageError, PeerFeatures, messages};
use wrenhatch_configuration::{Digest, Position, Report, Version};

const REPLACEMENT_MESSAGES: &str = include_str!("recorded_messages/handover.txt");
const LIST_EVENTS: &str = include_str!("recorded_messages/list_events.txt");
const CALLS: &str = include_str!("recorded_messages/calls.txt");
const STREAM: &str = include_str!("recorded_messages/stream.txt");
const METRICS: &str = include_str!("recorded_messages/metrics.txt");
const COUNTERS: &str = include_str!("recorded_messages/counters.txt");

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn endpoint(name: &str, at: &str, state: EndpointState, since_ms: u64) -> Endpoint {
    let (zone, kind) = ("east".to_owned(), "std".to_owned());
    Endpoint {
        name: name.to_owned(),
        address: address(at),
        zone,
        machine_type: kind,
        cell: 7,
        state,
        started_ms: since_ms,
    }
}

/// Messages in the order of the recorded file.
fn replacement_messages() -> Vec<Message> {
    let since_ms = 1_796_166_000_123;
    vec![
        Message::Hello { gateway: "n0".into(), listen_address: address("127.0.0.1:5432") },
        Message::Hello { gateway: "a \"b\"\n\u{e9}".into(), listen_address: address("[::1]:80") },
        Message::KnownEngine { name: "s-1".into(), maintenance_end_ms: 0 },
        Message::KnownEngine { name: "s-1".into(), maintenance_end_ms: since_ms },
        Message::Endpoint(endpoint("s-1", "127.0.0.2:80", EndpointState::Ready, since_ms)),
        Message::Endpoint(endpoint("s-2", "[fe80::1]:10080", EndpointState::Draining, 0)),
        Message::Endpoint(endpoint("s-3", "127.0.0.1:0", EndpointState::Removed, 0)),
        Message::Endpoint(Endpoint {
            zone: String::new(),
            machine_type: String::new(),
            cell: 1 << 53,
            ..endpoint("", "0.0.0.0:1", EndpointState::Ready, 1)
        }),
        Message::MaintenanceBegan { engine: "s-1".into() },
        Message::MaintenanceEnded { engine: "s-1".into(), end_ms: since_ms },
        Message::EndOfState(PeerFeatures { cancel_requests: true, key_leases: true }),
        Message::EndOfState(PeerFeatures { cancel_requests: false, key_leases: false }),
        Message::CancelRequest { session: 7, secret: u32::MAX },
        Message::AcceptingClients { key_leases: true },
        Message::AcceptingClients { key_leases: false },
        Message::ClaimLease(KeyId(0xfedc_ba98_7654_3210)),
        Message::ClaimLease(KeyId(0)),
        Message::GrantLease(KeyId(u64::MAX)),
        Message::GrantLease(KeyId(0x2a)),
        Message::Exiting { cooldown_ms: 0 },
        Message::Exiting { cooldown_ms: 2_600 },
    ]
}

fn parse_replacement_message(line: &str) -> Result<Option<Message>, MessageError> {
    let mut input = format!("{line}\n").into_bytes();
    let message = messages::read_next(&mut input);
    assert!(message.is_err() || input.is_empty(), "{line}");
    message
}

#[test]
fn replacement_messages_are_parsed_as_recorded() {
    assert_eq!(REPLACEMENT_MESSAGES.lines().count(), replacement_messages().len());
    for (line, message) in REPLACEMENT_MESSAGES.lines().zip(replacement_messages()) {
        assert_eq!(parse_replacement_message(line), Ok(Some(message)), "{line}");
    }
}

#[test]
fn replacement_messages_are_encoded_as_recorded() {
    assert_eq!(REPLACEMENT_MESSAGES.lines().count(), replacement_messages().len());
    for (line, message) in REPLACEMENT_MESSAGES.lines().zip(replacement_messages()) {
        let mut written = Vec::new();
        message.write(&mut written);
        let text = String::from_utf8(written).unwrap();
        let text = text.strip_suffix('\n').unwrap();
        assert!(!text.contains('\n'), "{text}");
        let json = |text: &str| serde_json::from_str::<Value>(text).unwrap();
        assert_eq!(json(text), json(line));
        // The lines may differ only in the order of object members.
        assert_eq!(text.len(), line.len(), "{text} for {line}");
    }
}

#[test]
fn replacement_messages_of_other_releases_are_parsed_or_rejected() {
    let end = |cancels| Message::EndOfState(PeerFeatures { cancel_requests: cancels, key_leases: false });
    assert_eq!(parse_replacement_message("{\"end\":true}"), Ok(Some(end(false))));
    assert_eq!(parse_replacement_message("{\"end\":true,\"cancels\":true}"), Ok(Some(end(true))));
    assert_eq!(
        parse_replacement_message("{\"taking\":true}"),
        Ok(Some(Message::AcceptingClients { key_leases: false }))
    );
    let with_unknown_member = "{\"enter\":\"s-1\",\"why\":{\"more\":[1]}}";
    assert_eq!(
        parse_replacement_message(with_unknown_member),
        Ok(Some(Message::MaintenanceBegan { engine: "s-1".into() }))
    );
    let hello = "{\"hello\":\"n0\",\"listen\":\"127.0.0.1:1\",\"form\":2}";
    assert_eq!(parse_replacement_message(hello), Err(MessageError::UnsupportedVersion(2)));
    for malformed in [
        "{}",
        "x",
        "{\"enter\":7}",
        "{\"claim\":\"no key\"}",
        "{\"settled\":true}",
        "{\"hello\":\"n0\",\"form\":1}",
    ] {
        assert_eq!(parse_replacement_message(malformed), Err(MessageError::Malformed), "{malformed}");
    }
}

/// Events in the order of the recorded file.
fn list_events() -> Vec<EndpointListEvent> {
    let endpoints = [
        endpoint("s-1", "10.0.0.1:10080", EndpointState::Ready, 0),
        endpoint("s-2", "10.0.0.2:10080", EndpointState::Draining, 1_796_166_000_123),
    ];
    let removed = Endpoint {
        zone: String::new(),
        machine_type: String::new(),
        cell: 0,
        ..endpoint("s-3", "127.0.0.1:0", EndpointState::Removed, 0)
    };
    let unreadable_entry = |name: Option<&str>, error: &str| UnreadableEntry {
        name: name.map(str::to_owned),
        error: error.to_owned(),
    };
    let event = |index, full, entries: &[Endpoint]| EndpointListEvent {
        index,
        is_full: full,
        entries: entries.to_vec(),
        unreadable: Vec::new(),
    };
    let unreadable_entries = vec![
        unreadable_entry(
            Some("s-4"),
            "event.endpoints.endpoints[0].status: Ready, Terminating or Gone expected",
        ),
        unreadable_entry(None, "event.endpoints.endpoints[2].status: a text expected"),
        unreadable_entry(
            Some("s-5"),
            "event.endpoints.endpoints[3].address: an address with a port expected",
        ),
    ];
    vec![
        event(41, true, &endpoints),
        event(42, false, &[removed]),
        event(43, false, &[]),
        event(44, true, &[]),
        EndpointListEvent { unreadable: unreadable_entries, ..event(45, false, &endpoints[..1]) },
    ]
}

#[test]
fn list_events_are_parsed_as_recorded() {
    assert_eq!(LIST_EVENTS.lines().count(), list_events().len());
    for (line, event) in LIST_EVENTS.lines().zip(list_events()) {
        assert_eq!(parse_event(line).unwrap(), event, "{line}");
    }
}

#[test]
fn invalid_list_events_are_errors() {
    for (text, expected) in [
        ("{}", "event.index: a number expected"),
        ("{\"index\":\"4\"}", "event.index: a number expected"),
        ("{\"index\":4,\"endpoints\":{\"snapshot\":1}}", "event.endpoints.snapshot: true or false expected"),
        ("{\"index\":4,\"endpoints\":{\"endpoints\":{}}}", "event.endpoints.endpoints: an array expected"),
    ] {
        assert_eq!(parse_event(text).unwrap_err().to_string(), expected, "{text}");
    }
}

/// HTTP response with the recorded stream, plain or with chunked encoding.
fn stream_bytes(chunked: bool) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    if !chunked {
        return format!("{head}\r\n{STREAM}").into_bytes();
    }
    let (first, second) = STREAM.split_at(STREAM.len() / 2);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    format!("{head}Transfer-Encoding: chunked\r\n\r\n{}{}", chunk(first), chunk(second)).into_bytes()
}

#[test]
fn a_recorded_event_stream_is_parsed() {
    let event = |id, data: &str| ServerSentEvent { id, data: data.to_owned() };
    let expected = [
        event(7, "{\"current\":3}"),
        event(0, "{\"current\":\n4}"),
        event(0, "no number"),
        event(9, "without a blank"),
    ];
    for chunked in [false, true] {
        let (mut stream, mut input) = (EventStream::new(10_000), stream_bytes(chunked));
        stream.read(&mut input).unwrap();
        let events: Vec<ServerSentEvent> = std::iter::from_fn(|| stream.next_event()).collect();
        assert_eq!(events, expected, "chunked: {chunked}");
        assert_eq!(stream.line_count(), 1 + STREAM.lines().count() as u64);
    }
}

/// Encoded requests and responses in the order of the recorded file.
fn written_calls() -> Vec<Vec<u8>> {
    let write = |with: &dyn Fn(&mut Vec<u8>)| {
        let mut out = Vec::new();
        with(&mut out);
        out
    };
    let position = Position { version: Version(7), digest: Digest(0x2a) };
    let refused = Report::refused(Version(8), "settings: it \"can't\"\n", Version(7));
    vec![
        write(&|out| write_stream_request(0, out)),
        write(&|out| write_stream_request(u64::MAX, out)),
        write(&|out| control_plane::write_stream_request(&"g 1\r\nX: y\u{e9}".into(), position, out)),
        write(&|out| control_plane::write_stream_request(&"g1".into(), Position::default(), out)),
        write(&|out| {
            control_plane::write_report_request(&"g1".into(), &Report::Applied { version: Version(8) }, out)
        }),
        write(&|out| control_plane::write_report_request(&"g\u{e9}".into(), &refused, out)),
        write(&|out| call::write_response(Ok("serving\n"), out)),
        write(&|out| call::write_response(Ok(""), out)),
        write(&|out| call::write_response(Err(CallError::NotHttp), out)),
        write(&|out| call::write_response(Err(CallError::TooLong), out)),
        write(&|out| call::write_response(Err(CallError::HasBody), out)),
        write(&|out| call::write_response(Err(CallError::UnknownPath), out)),
        write(&|out| call::write_response(Err(CallError::WrongMethod), out)),
        write(&|out| call::write_response(Err(CallError::UnknownEngine), out)),
        write(&|out| call::write_response(Err(CallError::ShuttingDown), out)),
    ]
}

#[test]
fn requests_and_responses_are_encoded_as_recorded() {
    let lines: Vec<&str> = CALLS.lines().collect();
    assert_eq!(lines.len(), written_calls().len());
    for (line, written) in lines.iter().zip(written_calls()) {
        // The file holds line ends and other control characters as Rust escapes.
        assert_eq!(String::from_utf8(written).unwrap().escape_debug().to_string(), **line);
    }
}

#[test]
fn responses_to_reports_are_parsed() {
    let parse = |text: &str| control_plane::read_report_response(text.as_bytes());
    assert_eq!(parse("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"), ReportResponse::Accepted);
    assert_eq!(parse("HTTP/1.1 204 No Content\r\n"), ReportResponse::Incomplete);
    assert_eq!(parse("HTTP/1.1 200 OK\r\n\r\n"), ReportResponse::Failed);
    assert_eq!(parse("HTTP/1.1 409 Conflict\r\n\r\n"), ReportResponse::Failed);
}

#[test]
fn admin_requests_are_parsed() {
    let read = |line: &str| call::read(format!("{line} HTTP/1.1\r\nHost: g\r\n\r\n").as_bytes());
    assert_eq!(read("GET /status"), Ok(Some(AdminCall::Status)));
    assert_eq!(read("GET /status/metrics"), Ok(Some(AdminCall::Metrics)));
    assert_eq!(read("PUT /maintenance/enter/s-00c4"), Ok(Some(AdminCall::EnterMaintenance("s-00c4".into()))));
    assert_eq!(read("PUT /maintenance/exit/a%20b%3A1"), Ok(Some(AdminCall::ExitMaintenance("a b:1".into()))));
    assert_eq!(read("PUT /maintenance/enter/a%2Fb"), Err(CallError::UnknownPath));
    assert_eq!(read("PUT /maintenance/enter/"), Err(CallError::UnknownPath));
    assert_eq!(read("GET /maintenance/enter/a"), Err(CallError::WrongMethod));
    assert_eq!(read("PUT /status"), Err(CallError::WrongMethod));
    assert_eq!(read("GET /"), Err(CallError::UnknownPath));
}

#[test]
fn metrics_are_written_as_recorded() {
    let mut metrics = Metrics::new(["lookup", "load", "lookup"]);
    metrics.class(ClassId(0)).attempts = 5;
    metrics.class(ClassId(1)).attempts = u64::MAX;
    metrics.count_outcome(ClassId(2), RequestOutcome::Served);
    metrics.count_outcome(ClassId(0), RequestOutcome::Rejected);
    metrics.count_outcome(ClassId(0), RequestOutcome::Rejected);
    metrics.count_outcome(ClassId(1), RequestOutcome::Failed);
    let before = metrics.text(Gauges::default());
    metrics.set_class_names(["new", "lookup"]);
    let after = metrics.text(Gauges { in_flight: 3, engines_known: 12, engines_excluded: 1 });
    assert_eq!(before + &after, METRICS);
}

#[test]
fn counters_are_written_as_recorded() {
    let mut counters = Counters { turns: 1, clients: 2, sent: 3, reloads: u64::MAX, ..Counters::default() };
    let outcomes = [
        Outcome::Success,
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectFailed,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
        Outcome::TimedOut,
        Outcome::NeverSent,
    ];
    for (index, outcome) in outcomes.into_iter().enumerate() {
        (0..=index).for_each(|_| counters.count_attempt_end(outcome));
    }
    assert_eq!(format!("{counters}\n"), COUNTERS);
}
