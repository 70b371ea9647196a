use serde_json::json;

use super::*;
use crate::backoff::{BACKOFF_INITIAL_US, BACKOFF_MAX_US};
use crate::patch::LIST_MEMBER;

/// Settings that differ between versions.
fn settings(version: u64) -> Document {
    Document::new(json!({ "classes": [{ "name": "lookup", "worth": version }], "over-share-worth": 0.5 }))
        .unwrap()
}

fn snapshot(version: u64) -> String {
    Message::Snapshot(Snapshot::new(Version(version), &settings(version))).encode()
}

fn delta(from: u64, to: u64) -> String {
    let delta = Delta::between((Version(from), &settings(from)), (Version(to), &settings(to)));
    Message::Delta(delta).encode()
}

fn apply(version: u64) -> SubscriberAction {
    SubscriberAction::Apply { version: Version(version), document: settings(version) }
}

/// Creates a subscriber with a version in force, connected at time 0.
fn subscriber(version: u64) -> Subscriber {
    let mut subscriber = Subscriber::new(7, 1, Version(version), settings(version));
    subscriber.on_connected(0);
    subscriber
}

#[test]
fn a_snapshot_and_then_deltas_are_applied() {
    let mut subscriber = subscriber(0);
    assert_eq!(subscriber.on_message(0, &snapshot(3)), apply(3));
    assert_eq!(subscriber.in_force(), Version(0), "not in force before the gateway has applied it");
    assert_eq!(subscriber.on_applied(Version(3)), Report::Applied { version: Version(3) });
    assert_eq!(subscriber.on_message(0, &delta(3, 7)), apply(7));
    assert_eq!(subscriber.on_applied(Version(7)), Report::Applied { version: Version(7) });
    assert_eq!((subscriber.in_force(), subscriber.document()), (Version(7), &settings(7)));
    assert_eq!(subscriber.position(), Position { version: Version(7), digest: settings(7).digest() });
}

#[test]
fn a_delta_from_the_pending_version_replaces_it() {
    let mut subscriber = subscriber(1);
    assert_eq!(subscriber.on_message(0, &delta(1, 2)), apply(2));
    assert_eq!(subscriber.on_message(0, &delta(2, 3)), apply(3));
    assert_eq!(subscriber.on_applied(Version(2)), Report::Applied { version: Version(1) });
    assert_eq!(subscriber.on_applied(Version(3)), Report::Applied { version: Version(3) });
}

#[test]
fn old_and_duplicate_versions_are_ignored() {
    let mut subscriber = subscriber(5);
    for text in [snapshot(4), snapshot(5), delta(4, 5), delta(3, 4), snapshot(0)] {
        assert_eq!(subscriber.on_message(0, &text), SubscriberAction::Nothing, "{text}");
    }
    let none = Snapshot::new(Version::NONE, &settings(4));
    assert_eq!(
        self::subscriber(0).on_message(0, &Message::Snapshot(none).encode()),
        SubscriberAction::Nothing
    );
    assert_eq!(subscriber.on_message(0, &delta(5, 8)), apply(8));
    for text in [snapshot(8), snapshot(7), delta(5, 8), delta(5, 7), delta(7, 8)] {
        assert_eq!(
            subscriber.on_message(0, &text),
            SubscriberAction::Nothing,
            "{text} while version 8 is pending"
        );
    }
}

#[test]
fn a_delta_from_an_unknown_version_resyncs_from_the_version_in_force() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.on_message(0, &delta(6, 7)), SubscriberAction::Resync);
    assert_eq!(subscriber.on_message(0, &delta(4, 7)), SubscriberAction::Resync);
    assert_eq!(subscriber.position().version, Version(5));
}

#[test]
fn invalid_messages_and_deltas_resync_with_a_snapshot() {
    let mut subscriber = subscriber(5);
    let other = Delta::between((Version(5), &settings(4)), (Version(7), &settings(4)));
    assert_eq!(subscriber.on_message(0, &Message::Delta(other).encode()), SubscriberAction::Resync);
    assert_eq!(subscriber.position().version, Version::NONE);
    assert_eq!(subscriber.on_message(0, &snapshot(7)), apply(7));
    assert_eq!(subscriber.position().version, Version(5), "a received snapshot clears the request");
    for text in
        ["", "{\"news\":1}", "{\"delta\":{\"from\":6,\"to\":6,\"patch\":{},\"digest\":\"0000000000000000\"}}"]
    {
        let mut subscriber = self::subscriber(5);
        assert_eq!(subscriber.on_message(0, text), SubscriberAction::Resync, "{text}");
        assert_eq!(subscriber.position().version, Version::NONE);
        assert_eq!(subscriber.in_force(), Version(5));
    }
}

#[test]
fn a_refused_version_leaves_the_old_one_in_force_and_is_not_applied_again() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.on_message(0, &delta(5, 6)), apply(6));
    let reason = "settings: aim of class 1 is -2".to_owned();
    let refused = Report::Refused { version: Version(6), reason: reason.clone(), in_force: Version(5) };
    assert_eq!(subscriber.on_refused(Version(6), &reason), refused);
    assert_eq!((subscriber.in_force(), subscriber.document()), (Version(5), &settings(5)));
    for text in [delta(5, 6), snapshot(6)] {
        let again = SubscriberAction::Refused { version: Version(6), reason: reason.clone() };
        assert_eq!(subscriber.on_message(0, &text), again, "{text}");
        assert_eq!(subscriber.refusal_report(Version(6), &reason), refused);
    }
    assert_eq!(subscriber.on_message(0, &delta(5, 7)), apply(7));
}

#[test]
fn an_older_valid_version_is_applied_after_the_newest_is_refused() {
    let mut subscriber = subscriber(3);
    subscriber.on_message(0, &delta(3, 6));
    subscriber.on_refused(Version(6), &"no");
    assert_eq!(subscriber.on_message(0, &delta(3, 5)), apply(5));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let mut subscriber = subscriber(5);
    for text in [
        snapshot(6).replace("0.5", "0.25"),
        snapshot(6).replace("over-share-worth", LIST_MEMBER),
        format!("{{\"snapshot\":{{\"version\":6,\"document\":7,\"digest\":\"{}\"}}}}", settings(6).digest()),
    ] {
        let action = subscriber.on_message(0, &text);
        assert!(matches!(action, SubscriberAction::Refused { version: Version(6), .. }), "{action:?}");
    }
    assert_eq!(
        subscriber.on_message(0, &snapshot(6)),
        apply(6),
        "an intact snapshot of the same version is applied"
    );
}

#[test]
fn a_version_that_is_published_twice_is_refused_and_the_next_one_is_applied() {
    let mut subscriber = subscriber(5);
    let other = Message::Snapshot(Snapshot::new(Version(5), &settings(4))).encode();
    let action = subscriber.on_message(0, &other);
    let SubscriberAction::Refused { version: Version(5), reason } = action else { panic!("{action:?}") };
    assert!(reason.contains("published twice"), "{reason}");
    assert_eq!(subscriber.document(), &settings(5));
    assert_eq!(subscriber.on_message(0, &snapshot(6)), apply(6));
}

#[test]
fn results_of_other_versions_are_ignored() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.on_applied(Version(9)), Report::Applied { version: Version(5) });
    assert_eq!(subscriber.on_refused(Version(9), &"no"), Report::Applied { version: Version(5) });
    assert_eq!(subscriber.in_force(), Version(5));
}

#[test]
fn a_silent_stream_times_out_and_any_activity_restarts_the_timeout() {
    let mut subscriber = subscriber(5);
    assert!(!subscriber.is_timed_out(STREAM_TIMEOUT_US - 1));
    assert!(subscriber.is_timed_out(STREAM_TIMEOUT_US));
    subscriber.on_activity(STREAM_TIMEOUT_US);
    assert!(!subscriber.is_timed_out(2 * STREAM_TIMEOUT_US - 1));
    subscriber.on_message(2 * STREAM_TIMEOUT_US, "{\"current\":5}");
    assert!(!subscriber.is_timed_out(3 * STREAM_TIMEOUT_US - 1));
    subscriber.on_disconnected(3 * STREAM_TIMEOUT_US);
    assert!(!subscriber.is_timed_out(u64::MAX), "a closed stream does not time out");
}

#[test]
fn a_stream_times_out_if_its_server_stays_behind() {
    let mut subscriber = subscriber(5);
    for second in 0..6 {
        assert_eq!(subscriber.on_message(second * 1_000_000, "{\"current\":4}"), SubscriberAction::Nothing);
        assert!(!subscriber.is_timed_out(second * 1_000_000));
    }
    assert!(subscriber.is_timed_out(STREAM_TIMEOUT_US));
    subscriber.on_message(STREAM_TIMEOUT_US, "{\"current\":5}");
    assert!(!subscriber.is_timed_out(STREAM_TIMEOUT_US), "the server has caught up");
}

#[test]
fn the_newest_announced_version_is_recorded() {
    let mut subscriber = subscriber(5);
    subscriber.on_message(0, "{\"current\":9}");
    subscriber.on_message(0, "{\"current\":7}");
    assert_eq!((subscriber.newest_seen(), subscriber.in_force()), (Version(9), Version(5)));
}

#[test]
fn servers_are_tried_with_growing_delays_until_a_valid_message_arrives() {
    let mut subscriber = Subscriber::new(7, 1, Version(5), settings(5));
    assert_eq!(subscriber.next_attempt_us(), Some(0));
    let first = subscriber.server();
    let mut delays = Vec::new();
    for invalid in ["nonsense", &delta(3, 9)].iter().cycle().take(40) {
        subscriber.on_connected(0);
        assert_eq!(subscriber.next_attempt_us(), None);
        // A server that accepts the stream and sends invalid messages does not reset the backoff.
        assert_eq!(subscriber.on_message(0, invalid), SubscriberAction::Resync);
        subscriber.on_disconnected(0);
        delays.extend(subscriber.next_attempt_us());
    }
    assert!(
        delays[0] < BACKOFF_INITIAL_US && delays.iter().max() > Some(&(BACKOFF_MAX_US / 2)),
        "{delays:?}"
    );
    assert_ne!(subscriber.server(), first);
    subscriber.on_connected(0);
    subscriber.on_message(0, "{\"current\":5}");
    subscriber.on_disconnected(0);
    assert!(subscriber.next_attempt_us() < Some(BACKOFF_INITIAL_US));
}
