use serde_json::json;

use super::*;
use crate::backoff::{BACKOFF_FIRST_US, BACKOFF_MOST_US};
use crate::patch::LIST_MEMBER;

/// Settings that differ from version to version.
fn settings(version: u64) -> Document {
    Document::new(json!({ "classes": [{ "name": "lookup", "worth": version }], "over-share-worth": 0.5 }))
        .unwrap()
}

fn snapshot(version: u64) -> String {
    Message::Snapshot(Snapshot::of(Version(version), &settings(version))).encode()
}

fn delta(from: u64, to: u64) -> String {
    let delta = Delta::between((Version(from), &settings(from)), (Version(to), &settings(to)));
    Message::Delta(delta).encode()
}

fn take(version: u64) -> Step {
    Step::Take { version: Version(version), document: settings(version) }
}

/// A subscriber with a version in force, connected at time 0.
fn subscriber(version: u64) -> Subscriber {
    let mut subscriber = Subscriber::new(7, 1, Version(version), settings(version));
    subscriber.connected(0);
    subscriber
}

#[test]
fn a_snapshot_and_then_differences_are_taken() {
    let mut subscriber = subscriber(0);
    assert_eq!(subscriber.on_message(0, &snapshot(3)), take(3));
    assert_eq!(subscriber.in_force(), Version(0), "not before the gateway says so");
    assert_eq!(subscriber.taken(Version(3), Ok(())), Report::Applied { version: Version(3) });
    assert_eq!(subscriber.on_message(0, &delta(3, 7)), take(7));
    assert_eq!(subscriber.taken(Version(7), Ok(())), Report::Applied { version: Version(7) });
    assert_eq!((subscriber.in_force(), subscriber.document()), (Version(7), &settings(7)));
    assert_eq!(subscriber.position(), Position { version: Version(7), digest: settings(7).digest() });
}

#[test]
fn a_difference_from_what_is_on_offer_replaces_it() {
    let mut subscriber = subscriber(1);
    assert_eq!(subscriber.on_message(0, &delta(1, 2)), take(2));
    assert_eq!(subscriber.on_message(0, &delta(2, 3)), take(3));
    assert_eq!(subscriber.taken(Version(2), Ok(())), Report::Applied { version: Version(1) });
    assert_eq!(subscriber.taken(Version(3), Ok(())), Report::Applied { version: Version(3) });
}

#[test]
fn old_and_doubled_versions_change_nothing() {
    let mut subscriber = subscriber(5);
    for text in [snapshot(4), snapshot(5), delta(4, 5), delta(3, 4), snapshot(0)] {
        assert_eq!(subscriber.on_message(0, &text), Step::Nothing, "{text}");
    }
    let none = Snapshot::of(Version::NONE, &settings(4));
    assert_eq!(self::subscriber(0).on_message(0, &Message::Snapshot(none).encode()), Step::Nothing);
    assert_eq!(subscriber.on_message(0, &delta(5, 8)), take(8));
    for text in [snapshot(8), snapshot(7), delta(5, 8), delta(5, 7), delta(7, 8)] {
        assert_eq!(subscriber.on_message(0, &text), Step::Nothing, "{text}: 8 is on offer");
    }
}

#[test]
fn a_difference_from_an_unknown_version_asks_from_what_is_in_force() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.on_message(0, &delta(6, 7)), Step::Resync);
    assert_eq!(subscriber.on_message(0, &delta(4, 7)), Step::Resync);
    assert_eq!(subscriber.position().version, Version(5));
}

#[test]
fn contents_that_do_not_fit_ask_for_a_snapshot() {
    let mut subscriber = subscriber(5);
    let other = Delta::between((Version(5), &settings(4)), (Version(7), &settings(4)));
    assert_eq!(subscriber.on_message(0, &Message::Delta(other).encode()), Step::Resync);
    assert_eq!(subscriber.position().version, Version::NONE);
    assert_eq!(subscriber.on_message(0, &snapshot(7)), take(7));
    assert_eq!(subscriber.position().version, Version(5), "answered");
    for text in
        ["", "{\"news\":1}", "{\"delta\":{\"from\":6,\"to\":6,\"patch\":{},\"digest\":\"0000000000000000\"}}"]
    {
        let mut subscriber = self::subscriber(5);
        assert_eq!(subscriber.on_message(0, text), Step::Resync, "{text}");
        assert_eq!(subscriber.position().version, Version::NONE);
        assert_eq!(subscriber.in_force(), Version(5));
    }
}

#[test]
fn a_refused_version_leaves_the_old_one_and_is_not_tried_again() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.on_message(0, &delta(5, 6)), take(6));
    let reason = "settings: aim of class 1 is -2".to_owned();
    let refused = Report::Refused { version: Version(6), reason: reason.clone(), in_force: Version(5) };
    assert_eq!(subscriber.taken(Version(6), Err(reason.clone())), refused);
    assert_eq!((subscriber.in_force(), subscriber.document()), (Version(5), &settings(5)));
    for text in [delta(5, 6), snapshot(6)] {
        let again = Step::Refused { version: Version(6), reason: reason.clone() };
        assert_eq!(subscriber.on_message(0, &text), again, "{text}");
        assert_eq!(subscriber.refusal(Version(6), &reason), refused);
    }
    assert_eq!(subscriber.on_message(0, &delta(5, 7)), take(7));
}

#[test]
fn an_older_good_version_is_taken_where_the_newest_is_refused() {
    let mut subscriber = subscriber(3);
    subscriber.on_message(0, &delta(3, 6));
    subscriber.taken(Version(6), Err("no".to_owned()));
    assert_eq!(subscriber.on_message(0, &delta(3, 5)), take(5));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let mut subscriber = subscriber(5);
    for text in [
        snapshot(6).replace("0.5", "0.25"),
        snapshot(6).replace("over-share-worth", LIST_MEMBER),
        format!("{{\"snapshot\":{{\"version\":6,\"document\":7,\"digest\":\"{}\"}}}}", settings(6).digest()),
    ] {
        let step = subscriber.on_message(0, &text);
        assert!(matches!(step, Step::Refused { version: Version(6), .. }), "{step:?}");
    }
    assert_eq!(subscriber.on_message(0, &snapshot(6)), take(6), "a whole one of the same version counts");
}

#[test]
fn a_version_that_is_published_twice_is_refused_and_the_next_one_counts() {
    let mut subscriber = subscriber(5);
    let other = Message::Snapshot(Snapshot::of(Version(5), &settings(4))).encode();
    let step = subscriber.on_message(0, &other);
    let Step::Refused { version: Version(5), reason } = step else { panic!("{step:?}") };
    assert!(reason.contains("published twice"), "{reason}");
    assert_eq!(subscriber.document(), &settings(5));
    assert_eq!(subscriber.on_message(0, &snapshot(6)), take(6));
}

#[test]
fn what_became_of_something_else_changes_nothing() {
    let mut subscriber = subscriber(5);
    assert_eq!(subscriber.taken(Version(9), Ok(())), Report::Applied { version: Version(5) });
    assert_eq!(subscriber.taken(Version(9), Err("no".to_owned())), Report::Applied { version: Version(5) });
    assert_eq!(subscriber.in_force(), Version(5));
}

#[test]
fn silence_is_noticed_and_any_sign_of_life_ends_it() {
    let mut subscriber = subscriber(5);
    assert!(!subscriber.is_silent(SILENCE_US - 1));
    assert!(subscriber.is_silent(SILENCE_US));
    subscriber.heard(SILENCE_US);
    assert!(!subscriber.is_silent(2 * SILENCE_US - 1));
    subscriber.on_message(2 * SILENCE_US, "{\"current\":5}");
    assert!(!subscriber.is_silent(3 * SILENCE_US - 1));
    subscriber.disconnected(3 * SILENCE_US);
    assert!(!subscriber.is_silent(u64::MAX), "it is being opened");
}

#[test]
fn a_machine_that_stays_behind_is_left() {
    let mut subscriber = subscriber(5);
    for second in 0..6 {
        assert_eq!(subscriber.on_message(second * 1_000_000, "{\"current\":4}"), Step::Nothing);
        assert!(!subscriber.is_silent(second * 1_000_000));
    }
    assert!(subscriber.is_silent(SILENCE_US));
    subscriber.on_message(SILENCE_US, "{\"current\":5}");
    assert!(!subscriber.is_silent(SILENCE_US), "it has caught up");
}

#[test]
fn the_newest_version_that_was_told_of_is_known() {
    let mut subscriber = subscriber(5);
    subscriber.on_message(0, "{\"current\":9}");
    subscriber.on_message(0, "{\"current\":7}");
    assert_eq!((subscriber.newest_seen(), subscriber.in_force()), (Version(9), Version(5)));
}

#[test]
fn another_machine_is_tried_after_a_wait_that_grows_until_something_of_use_comes() {
    let mut subscriber = Subscriber::new(7, 1, Version(5), settings(5));
    assert_eq!(subscriber.next_attempt_us(), Some(0));
    let first = subscriber.machine();
    let mut waits = Vec::new();
    for nonsense in ["nonsense", &delta(3, 9)].iter().cycle().take(40) {
        subscriber.connected(0);
        assert_eq!(subscriber.next_attempt_us(), None);
        // A machine that accepts and talks nonsense is no success.
        assert_eq!(subscriber.on_message(0, nonsense), Step::Resync);
        subscriber.disconnected(0);
        waits.extend(subscriber.next_attempt_us());
    }
    assert!(waits[0] < BACKOFF_FIRST_US && waits.iter().max() > Some(&(BACKOFF_MOST_US / 2)), "{waits:?}");
    assert_ne!(subscriber.machine(), first);
    subscriber.connected(0);
    subscriber.on_message(0, "{\"current\":5}");
    subscriber.disconnected(0);
    assert!(subscriber.next_attempt_us() < Some(BACKOFF_FIRST_US));
}
