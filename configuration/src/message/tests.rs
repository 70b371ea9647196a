use serde_json::json;

use super::*;

fn document(text: &str) -> Document {
    text.parse().unwrap()
}

#[test]
fn messages_have_the_specified_form() {
    let (old, new) = (document("{\"a\":1}"), document("{\"a\":2}"));
    let digest = new.digest();
    let snapshot = Message::Snapshot(Snapshot::new(Version(7), &new));
    let delta = Message::Delta(Delta::between((Version(5), &old), (Version(7), &new)));
    let expected = [
        (
            snapshot,
            format!("{{\"snapshot\":{{\"version\":7,\"document\":{{\"a\":2}},\"digest\":\"{digest}\"}}}}"),
        ),
        (
            delta,
            format!("{{\"delta\":{{\"from\":5,\"to\":7,\"patch\":{{\"a\":2}},\"digest\":\"{digest}\"}}}}"),
        ),
        (Message::Current(Version(9)), "{\"current\":9}".to_owned()),
    ];
    for (message, text) in expected {
        assert_eq!(message.encode(), text);
        assert_eq!(Message::parse(&text).unwrap(), message);
    }
}

#[test]
fn reports_have_the_specified_form() {
    let gateway = GatewayId::from("gw-7");
    let applied = Report::Applied { version: Version(4) };
    let refused = Report::refused(Version(5), "classes[2].aim-s: a number expected", Version(4));
    let json = |text: &str| -> Value { serde_json::from_str(text).unwrap() };
    let expected = json!({ "gateway": "gw-7", "version": 4, "state": "applied" });
    assert_eq!(json(&applied.encode(&gateway)), expected);
    let reason = "classes[2].aim-s: a number expected";
    let expected =
        json!({ "gateway": "gw-7", "version": 5, "state": "refused", "reason": reason, "in_force": 4 });
    assert_eq!(json(&refused.encode(&gateway)), expected);
    for report in [applied, refused] {
        assert_eq!(Report::parse(&report.encode(&gateway)).unwrap(), (gateway.clone(), report));
    }
}

#[test]
fn long_reasons_are_truncated() {
    let Report::Refused { reason, .. } = Report::refused(Version(1), &"\u{e9}".repeat(9_999), Version(0))
    else {
        panic!("the report is not a refusal");
    };
    assert_eq!(reason.chars().count(), MAX_REASON_CHARS);
}

#[test]
fn invalid_messages_and_reports_are_errors() {
    for text in [
        "",
        "{}",
        "7",
        "{\"current\":-1}",
        "{\"current\":1,\"delta\":{}}",
        "{\"news\":1}",
        "{\"snapshot\":{}}",
    ] {
        assert!(matches!(Message::parse(text), Err(MessageError::Json(_))), "{text}");
    }
    let not_newer = "{\"delta\":{\"from\":5,\"to\":5,\"patch\":{},\"digest\":\"0000000000000000\"}}";
    assert!(matches!(Message::parse(not_newer), Err(MessageError::NotNewer { .. })));
    let digest = "{\"delta\":{\"from\":5,\"to\":6,\"patch\":{},\"digest\":\"+000000000000000\"}}";
    assert!(matches!(Message::parse(digest), Err(MessageError::Json(_))));
    let long = " ".repeat(MAX_MESSAGE_BYTES + 1);
    assert!(matches!(Message::parse(&long), Err(MessageError::TooLong(_))));
    assert!(matches!(Report::parse(&long), Err(MessageError::TooLong(_))));
    assert!(matches!(Report::parse("{\"gateway\":\"g\"}"), Err(MessageError::Json(_))));
}

#[test]
fn a_digest_mismatch_is_an_error() {
    let (old, new) = (document("{\"a\":1}"), document("{\"a\":2}"));
    let mut snapshot = Snapshot::new(Version(1), &new);
    snapshot.digest = old.digest();
    assert!(matches!(snapshot.verify(), Err(VerifyError::DigestMismatch { .. })));
    let mut delta = Delta::between((Version(1), &old), (Version(2), &new));
    delta.digest = old.digest();
    assert!(matches!(delta.apply(&old), Err(VerifyError::DigestMismatch { .. })));
}
