use serde_json::json;

use super::*;

const SECOND_US: u64 = 1_000_000;

fn settings(version: u64) -> Document {
    let classes: Vec<_> = (0..20).map(|class| json!({ "name": class.to_string(), "worth": 1 })).collect();
    Document::new(json!({ "classes": classes, "over-share-worth": version })).unwrap()
}

/// Creates a publisher with the versions 1 to `newest`.
fn publisher(newest: u64) -> Publisher {
    let mut publisher = Publisher::new(Pacing::default());
    for version in 1..=newest {
        publisher.publish(Version(version), settings(version)).unwrap();
    }
    publisher
}

fn gateway() -> GatewayId {
    GatewayId::from("gw-0")
}

fn connect(publisher: &mut Publisher, now_us: u64, version: u64) -> ConnectionId {
    publisher.connect(now_us, gateway(), Version(version), settings(version).digest())
}

/// Messages due now, without heartbeats.
fn configuration(publisher: &mut Publisher, now_us: u64) -> Vec<Message> {
    let messages = publisher
        .due_messages(now_us)
        .into_iter()
        .map(|(_, outgoing)| Message::parse(&outgoing.text).unwrap());
    messages.filter(|message| !matches!(message, Message::Current(_))).collect()
}

/// Base and target versions of the messages. The base of a snapshot is 0.
fn transitions(messages: &[Message]) -> Vec<(u64, u64)> {
    let transition = |message: &Message| match message {
        Message::Delta(delta) => (delta.from.0, delta.to.0),
        other => (0, other.version().0),
    };
    messages.iter().map(transition).collect()
}

fn report_applied(publisher: &mut Publisher, version: u64) {
    publisher.report(&gateway(), Report::Applied { version: Version(version) });
}

fn report_refused(publisher: &mut Publisher, version: u64, in_force: u64) {
    publisher.report(&gateway(), Report::refused(Version(version), "no", Version(in_force)));
}

#[test]
fn versions_must_increase() {
    let mut publisher = publisher(3);
    let not_newer = |version| Err(PublishError::NotNewer { version: Version(version), newest: Version(3) });
    assert_eq!(publisher.publish(Version(2), settings(2)), not_newer(2));
    assert_eq!(publisher.publish(Version(3), settings(4)), not_newer(3));
    assert_eq!(
        publisher.publish(Version(3), settings(3)),
        Ok(()),
        "publishing the same version again has no effect"
    );
    assert!(Publisher::new(Pacing::default()).publish(Version(0), settings(0)).is_err());
    assert_eq!(publisher.newest(), Some((Version(3), &settings(3))));
}

#[test]
fn a_version_that_a_gateway_has_reported_cannot_be_published() {
    let mut publisher = publisher(3);
    connect(&mut publisher, 0, 7);
    let already_reported = Err(PublishError::AlreadyReported { version: Version(7), reported: Version(7) });
    assert_eq!(publisher.publish(Version(7), settings(7)), already_reported);
    assert_eq!(publisher.next_version(), Version(8));
    publisher.connect(0, gateway(), Version(u64::MAX), Digest(0));
    assert_eq!(publisher.next_version(), Version(8), "a version too far ahead is ignored");
    assert_eq!(publisher.publish(Version(8), settings(8)), Ok(()));
}

#[test]
fn merging_accepts_newer_versions_and_records_conflicts() {
    let mut publisher = publisher(3);
    assert_eq!(publisher.merge(Version(2), settings(9)), MergeResult::Older);
    assert_eq!(publisher.merge(Version(0), settings(9)), MergeResult::Older);
    assert_eq!(publisher.merge(Version(3), settings(3)), MergeResult::Same);
    assert_eq!(publisher.status().conflict, None);
    assert_eq!(publisher.merge(Version(3), settings(9)), MergeResult::Conflict);
    assert_eq!(publisher.status().conflict, Some(Version(3)));
    assert_eq!(publisher.newest(), Some((Version(3), &settings(3))));
    assert_eq!(publisher.merge(Version(9), settings(9)), MergeResult::Added);
    assert_eq!(publisher.newest(), Some((Version(9), &settings(9))));
    assert_eq!(publisher.status().conflict, None, "a newer version resolves the conflict");
}

#[test]
fn gateways_with_a_known_version_get_a_delta_and_others_a_snapshot() {
    for (version, digest, expected) in [
        (3, settings(3).digest(), vec![(3, 5)]),
        (3, settings(4).digest(), vec![(0, 5)]),
        (0, settings(0).digest(), vec![(0, 5)]),
        (5, settings(5).digest(), vec![]),
        (5, settings(4).digest(), vec![(0, 5)]),
        (6, settings(6).digest(), vec![]),
    ] {
        let mut publisher = publisher(5);
        publisher.connect(0, gateway(), Version(version), digest);
        assert_eq!(transitions(&configuration(&mut publisher, 0)), expected, "{version} {digest}");
    }
}

#[test]
fn a_delta_longer_than_the_snapshot_is_not_sent() {
    let mut publisher = Publisher::new(Pacing::default());
    publisher.publish(Version(1), json!({ "old": 1, "older": 1 }).to_string().parse().unwrap()).unwrap();
    publisher.publish(Version(2), "{\"new\":1}".parse().unwrap()).unwrap();
    let digest = publisher.history.digest(Version(1)).unwrap();
    publisher.connect(0, gateway(), Version(1), digest);
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(0, 2)]);
}

#[test]
fn history_is_bounded_and_older_versions_get_a_snapshot() {
    let versions = HISTORY_VERSIONS as u64 + 10;
    let mut publisher = publisher(versions);
    connect(&mut publisher, 0, 10);
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(0, versions)]);
    connect(&mut publisher, SECOND_US, 11);
    assert_eq!(transitions(&configuration(&mut publisher, SECOND_US)), [(11, versions)]);
}

#[test]
fn versions_published_before_a_report_are_coalesced_into_one_message() {
    let mut publisher = publisher(1);
    connect(&mut publisher, 0, 1);
    publisher.publish(Version(2), settings(2)).unwrap();
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(1, 2)]);
    for version in 3..9 {
        publisher.publish(Version(version), settings(version)).unwrap();
        assert_eq!(transitions(&configuration(&mut publisher, SECOND_US)), []);
    }
    report_applied(&mut publisher, 2);
    assert_eq!(transitions(&configuration(&mut publisher, SECOND_US)), [(2, 8)]);
    report_applied(&mut publisher, 8);
    assert_eq!(transitions(&configuration(&mut publisher, 60 * SECOND_US)), []);
    assert_eq!(publisher.status().gateways[0].version, Version(8));
}

#[test]
fn messages_to_a_gateway_keep_a_minimum_interval() {
    let mut publisher = publisher(1);
    connect(&mut publisher, 0, 1);
    publisher.publish(Version(2), settings(2)).unwrap();
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(1, 2)]);
    report_applied(&mut publisher, 2);
    publisher.publish(Version(3), settings(3)).unwrap();
    let min_interval_us = Pacing::default().min_interval_us;
    assert_eq!(transitions(&configuration(&mut publisher, min_interval_us - 1)), []);
    assert_eq!(publisher.next_due_us(), Some(min_interval_us));
    assert_eq!(transitions(&configuration(&mut publisher, min_interval_us)), [(2, 3)]);
}

#[test]
fn a_message_without_a_report_is_sent_again_with_backoff() {
    let mut publisher = publisher(2);
    connect(&mut publisher, 0, 1);
    let mut sent_s = Vec::new();
    for second in 0..200 {
        if !configuration(&mut publisher, second * SECOND_US).is_empty() {
            sent_s.push(second);
        }
    }
    assert_eq!(sent_s, [0, 3, 6, 9, 15, 27, 51, 99, 147, 195]);
    publisher.publish(Version(3), settings(3)).unwrap();
    assert_eq!(
        transitions(&configuration(&mut publisher, 200 * SECOND_US)),
        [(1, 3)],
        "the backoff does not apply to a new version"
    );
}

#[test]
fn after_a_refusal_the_newest_version_that_was_not_refused_is_sent() {
    let mut publisher = publisher(6);
    connect(&mut publisher, 0, 3);
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(3, 6)]);
    report_refused(&mut publisher, 6, 3);
    assert_eq!(transitions(&configuration(&mut publisher, SECOND_US)), [(3, 5)]);
    report_applied(&mut publisher, 5);
    assert_eq!(transitions(&configuration(&mut publisher, 60 * SECOND_US)), []);
    let status = publisher.status();
    let refusals: Vec<_> = status.refusals().collect();
    let refusal = RefusedVersion { version: Version(6), reason: "no".to_owned() };
    assert_eq!(refusals, [(&gateway(), &refusal)]);
    assert_eq!(status.behind().count(), 1);
    publisher.publish(Version(7), settings(7)).unwrap();
    assert_eq!(transitions(&configuration(&mut publisher, 61 * SECOND_US)), [(5, 7)]);
    report_applied(&mut publisher, 7);
    assert_eq!(publisher.status().refusals().count(), 0);
    assert_eq!(publisher.status().connected_per_version(), BTreeMap::from([(Version(7), 1)]));
}

#[test]
fn reports_on_versions_not_sent_on_this_stream_are_ignored() {
    let mut publisher = publisher(3);
    report_applied(&mut publisher, 3);
    connect(&mut publisher, 0, 1);
    report_applied(&mut publisher, 3);
    report_refused(&mut publisher, 3, 2);
    assert_eq!(publisher.status().gateways[0].version, Version(1));
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(1, 3)]);
    report_applied(&mut publisher, 2);
    assert_eq!(publisher.status().gateways[0].version, Version(1));
    report_applied(&mut publisher, 3);
    assert_eq!(publisher.status().gateways[0].version, Version(3));
}

#[test]
fn a_late_report_of_an_earlier_process_is_corrected_by_the_next_one() {
    let mut publisher = publisher(3);
    connect(&mut publisher, 0, 1);
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(1, 3)]);
    report_applied(&mut publisher, 3);
    report_refused(&mut publisher, 3, 1);
    let status = publisher.status();
    assert_eq!((status.gateways[0].version, status.refusals().count()), (Version(1), 1));
    assert_eq!(transitions(&configuration(&mut publisher, SECOND_US)), [(1, 2)]);
    report_applied(&mut publisher, 3);
    let status = publisher.status();
    assert_eq!((status.gateways[0].version, status.refusals().count()), (Version(3), 0));
}

#[test]
fn recorded_refusals_are_bounded() {
    let mut publisher = publisher(1);
    connect(&mut publisher, 0, 1);
    for version in 2..200 {
        publisher.publish(Version(version), settings(version)).unwrap();
        configuration(&mut publisher, version * SECOND_US);
        report_refused(&mut publisher, version, 1);
        assert!(publisher.gateways[&gateway()].refused.len() <= HISTORY_VERSIONS);
    }
    assert_eq!(
        publisher.status().gateways[0].refused.as_ref().map(|refused| refused.version),
        Some(Version(199))
    );
}

#[test]
fn the_late_end_of_an_old_stream_does_not_disconnect_the_new_one() {
    let mut publisher = publisher(1);
    let old = connect(&mut publisher, 0, 0);
    let new = connect(&mut publisher, 0, 0);
    publisher.disconnect(&gateway(), old);
    assert_eq!(transitions(&configuration(&mut publisher, 0)), [(0, 1)]);
    publisher.disconnect(&gateway(), new);
    assert_eq!((publisher.due_messages(60 * SECOND_US), publisher.next_due_us()), (vec![], None));
    assert!(!publisher.status().gateways[0].is_connected);
}

#[test]
fn least_recently_served_gateways_are_first_and_the_rate_limit_holds() {
    let messages_per_second = 100;
    let mut publisher =
        Publisher::new(Pacing { bytes_per_second: u64::MAX, messages_per_second, min_interval_us: 0 });
    for number in 0..50 {
        publisher.connect(0, GatewayId(format!("gw-{number:02}")), Version(0), Digest(0));
    }
    let mut served = BTreeMap::<GatewayId, usize>::new();
    let mut now_us = 0;
    for version in 1..=100 {
        publisher.publish(Version(version), settings(version)).unwrap();
        let until_us = now_us + SECOND_US / 10;
        while now_us < until_us {
            for (gateway, outgoing) in publisher.due_messages(now_us) {
                if matches!(Message::parse(&outgoing.text), Ok(Message::Current(_))) {
                    continue;
                }
                *served.entry(gateway.clone()).or_default() += 1;
                publisher.report(&gateway, Report::Applied { version: outgoing.version });
            }
            now_us += 1_000;
        }
    }
    let total: usize = served.values().sum();
    assert!((1_000..=1_002).contains(&total), "{total} messages in ten seconds");
    assert!(served.len() == 50 && served.values().all(|count| (20..=21).contains(count)), "{served:?}");
}

#[test]
fn heartbeats_announce_the_newest_version_on_connect_and_periodically() {
    let mut publisher = publisher(0);
    assert_eq!(publisher.next_due_us(), None);
    connect(&mut publisher, 5, 0);
    assert_eq!(publisher.next_due_us(), Some(5));
    let current = |version: u64| OutgoingMessage {
        version: Version(version),
        text: format!("{{\"current\":{version}}}").into(),
    };
    assert_eq!(publisher.due_messages(5), [(gateway(), current(0))]);
    assert_eq!(publisher.next_due_us(), Some(5 + HEARTBEAT_INTERVAL_US));
    assert_eq!(publisher.due_messages(4 + HEARTBEAT_INTERVAL_US), []);
    assert_eq!(publisher.due_messages(5 + HEARTBEAT_INTERVAL_US), [(gateway(), current(0))]);
}

#[test]
fn disconnected_gateways_are_removed_when_there_are_too_many() {
    let mut publisher = publisher(1);
    for number in 0..MAX_KNOWN_GATEWAYS + 1 {
        let gateway = GatewayId(number.to_string());
        let connection = publisher.connect(0, gateway.clone(), Version(0), Digest(0));
        if number > 0 {
            publisher.disconnect(&gateway, connection);
        }
    }
    let gateways = publisher.status().gateways;
    let names: Vec<_> = gateways.iter().map(|gateway| gateway.gateway.0.as_str()).collect();
    assert_eq!(names, ["0", &MAX_KNOWN_GATEWAYS.to_string()]);
}
