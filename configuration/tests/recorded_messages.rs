//! Guards the wire format: recorded messages and reports must be parsed and encoded byte for byte as recorded,
//! because control plane servers and gateways of different releases communicate during an upgrade.

use wrenhatch_configuration::*;

const MESSAGES: &str = include_str!("recorded_messages/messages.txt");
const REPORTS: &str = include_str!("recorded_messages/reports.txt");
const DOCUMENTS: &str = include_str!("recorded_messages/documents.txt");
const DIGESTS: [u64; 4] =
    [0x08f4_4b07_b590_1a25, 0x04ac_7692_6434_9514, 0xb8d6_39b5_aced_6468, 0xb50b_9aff_c7d8_5393];

/// Recorded documents, one per line, with unsorted keys and null members as an operator can write them.
fn documents() -> Vec<Document> {
    DOCUMENTS.lines().map(|line| line.parse().unwrap()).collect()
}

fn versioned(documents: &[Document], number: usize) -> (Version, &Document) {
    (Version(number as u64 + 1), &documents[number])
}

/// Messages in the order of the recorded file.
fn messages() -> Vec<Message> {
    let documents = documents();
    let snapshot = |number: usize| {
        let (version, document) = versioned(&documents, number);
        Message::Snapshot(Snapshot::new(version, document))
    };
    let delta = |from: usize, to: usize| {
        Message::Delta(Delta::between(versioned(&documents, from), versioned(&documents, to)))
    };
    vec![
        snapshot(0),
        snapshot(1),
        snapshot(2),
        snapshot(3),
        delta(0, 1),
        delta(1, 2),
        delta(0, 2),
        delta(2, 3),
        Message::Current(Version(0)),
        Message::Current(Version(4)),
        Message::Current(Version(u64::MAX)),
    ]
}

/// Reports in the order of the recorded file, each with its gateway.
fn reports() -> Vec<(GatewayId, Report)> {
    let refused = |reason: &str| Report::refused(Version(4), reason, Version(3));
    vec![
        ("g1".into(), Report::Applied { version: Version(4) }),
        ("a \"b\" \u{e9}".into(), Report::Applied { version: Version(u64::MAX) }),
        ("g1".into(), refused("settings: the origins do not fit the classes")),
        ("g2".into(), refused(&"\u{e9}".repeat(MAX_REASON_CHARS + 50))),
    ]
}

#[test]
fn documents_have_the_recorded_digests() {
    let found: Vec<u64> = documents().iter().map(|document| document.digest().0).collect();
    assert_eq!(found, DIGESTS, "{found:#x?}");
}

#[test]
fn messages_are_parsed_and_encoded_as_recorded() {
    let lines: Vec<&str> = MESSAGES.lines().collect();
    assert_eq!(lines.len(), messages().len());
    for (line, message) in lines.iter().zip(messages()) {
        let parsed = Message::parse(line).unwrap();
        assert_eq!(parsed, message, "{line}");
        assert_eq!(parsed.encode(), *line);
    }
}

#[test]
fn recorded_messages_produce_the_recorded_documents() {
    let documents = documents();
    for line in MESSAGES.lines() {
        match Message::parse(line).unwrap() {
            Message::Snapshot(snapshot) => {
                let expected = &documents[snapshot.version.0 as usize - 1];
                assert_eq!(snapshot.verify().unwrap().canonical(), expected.canonical());
            }
            Message::Delta(delta) => {
                let (base, expected) =
                    (&documents[delta.from.0 as usize - 1], &documents[delta.to.0 as usize - 1]);
                assert_eq!(delta.apply(base).unwrap().canonical(), expected.canonical());
            }
            Message::Current(_) => {}
        }
    }
}

#[test]
fn reports_are_parsed_and_encoded_as_recorded() {
    let lines: Vec<&str> = REPORTS.lines().collect();
    assert_eq!(lines.len(), reports().len());
    for (line, (gateway, report)) in lines.iter().zip(reports()) {
        assert_eq!(Report::parse(line).unwrap(), (gateway.clone(), report.clone()), "{line}");
        assert_eq!(report.encode(&gateway), *line);
    }
}

#[test]
fn invalid_messages_and_reports_are_errors() {
    for text in [
        "",
        "{}",
        "[]",
        "{\"current\":-1}",
        "{\"Current\":1}",
        "{\"current\":\"1\"}",
        "{\"snapshot\":{\"version\":1,\"document\":{}}}",
        "{\"snapshot\":{\"version\":1,\"document\":{},\"digest\":\"2a\"}}",
        "{\"delta\":{\"from\":3,\"to\":3,\"patch\":{},\"digest\":\"cbf29ce484222325\"}}",
        "{\"delta\":{\"from\":4,\"to\":3,\"patch\":{},\"digest\":\"cbf29ce484222325\"}}",
        "{\"current\":1}{\"current\":2}",
    ] {
        assert!(Message::parse(text).is_err(), "{text}");
    }
    for text in [
        "{}",
        "{\"gateway\":\"g1\"}",
        "{\"state\":\"applied\",\"version\":1}",
        "{\"gateway\":\"g1\",\"state\":\"Applied\",\"version\":1}",
        "{\"gateway\":\"g1\",\"state\":\"refused\",\"version\":1}",
    ] {
        assert!(Report::parse(text).is_err(), "{text}");
    }
}

#[test]
fn a_subscriber_processes_a_recorded_stream() {
    let documents = documents();
    let lines: Vec<&str> = MESSAGES.lines().collect();
    let mut subscriber = Subscriber::new(1, 7, Version::NONE, Document::default());
    let apply = |number: usize| SubscriberAction::Apply {
        version: Version(number as u64 + 1),
        document: documents[number].clone(),
    };
    // A snapshot, the delta to the next version, and a heartbeat.
    assert_eq!(subscriber.on_message(0, lines[0]), apply(0));
    subscriber.on_applied(Version(1));
    assert_eq!(subscriber.on_message(1, lines[4]), apply(1));
    subscriber.on_applied(Version(2));
    assert_eq!(subscriber.on_message(2, lines[8]), SubscriberAction::Nothing);
    assert_eq!(subscriber.position(), Position { version: Version(2), digest: documents[1].digest() });
    // The base of this delta is version 3, which the subscriber does not have.
    assert_eq!(subscriber.on_message(3, lines[7]), SubscriberAction::Resync);
}
