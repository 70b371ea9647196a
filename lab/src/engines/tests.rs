use super::*;

const ONE: &str = r#"0.000 DEBUG wrenhatch::net::engines: engine listed engine=0 name="e1" state=Ready since_ms=0 now_us=10
0.100 DEBUG wrenhatch::net::engines: connection opened engine=0 cancels=false now_us=100000
0.110 DEBUG wrenhatch::net::engines: attempt forwarded query_id="a" attempt=0 engine=0 class=0 now_us=110000
0.200 DEBUG wrenhatch::net::engines: connection opened engine=0 cancels=false now_us=200000
0.300 DEBUG wrenhatch::net::engines: attempt ended query_id="a" attempt=0 engine=0 now_us=300000 outcome=Success
0.900 DEBUG wrenhatch::net::pools: connection closed engine=0
1.000 DEBUG wrenhatch::net::pools: connection closed engine=0
1.100 DEBUG wrenhatch::net::engines: connection opened engine=0 cancels=true now_us=1100000
1.200 DEBUG wrenhatch::net::engines: attempt ended query_id="b" attempt=0 engine=0 now_us=1200000 outcome=Broken
1.300 DEBUG wrenhatch::net::engines: engine listed engine=0 name="e1" state=Draining since_ms=0 now_us=1300000
1.400 DEBUG wrenhatch::net::engines: connection opened engine=7 cancels=false now_us=1400000
"#;
// Log of a second gateway that numbers the engines differently.
const OTHER: &str = r#"0.000 DEBUG wrenhatch::net::engines: engine listed engine=0 name="e2" state=Ready since_ms=0 now_us=10
0.000 DEBUG wrenhatch::net::engines: engine listed engine=1 name="e1" state=Ready since_ms=0 now_us=10
0.500 DEBUG wrenhatch::net::engines: connection opened engine=1 cancels=false now_us=500000
1.700 DEBUG wrenhatch::net::engines: engine listed engine=1 name="e1" state=Draining since_ms=0 now_us=1700000
"#;

#[test]
fn connections_and_attempts_are_summed_by_engine_name() {
    let all = figures(&[read(ONE.as_bytes()).unwrap(), read(OTHER.as_bytes()).unwrap()]);
    let first = Count { first: 2, more: 1, closed: 1, sent: 1, served: 1, ..Count::default() };
    let second = Count { again: 1, to_give_up: 1, closed: 1, other: 1, ..Count::default() };
    assert_eq!(all.seconds, BTreeMap::from([(0, first), (1, second)]));
    let mut both = first;
    both.add(&second);
    assert_eq!(
        all.engines,
        BTreeMap::from([("e1".to_owned(), both)]),
        "only engines with a name are counted"
    );
}

#[test]
fn first_and_last_notification_of_each_change_are_reported() {
    let notifications =
        change_notifications(&[read(ONE.as_bytes()).unwrap(), read(OTHER.as_bytes()).unwrap()]);
    let found: Vec<_> = notifications
        .iter()
        .map(|l| (l.name.as_str(), l.state.as_str(), l.gateways, l.first_s, l.last_s))
        .collect();
    let expected =
        [("e1", "Draining", 2, 1.3, 1.7), ("e1", "Ready", 2, 0.0, 0.0), ("e2", "Ready", 1, 0.0, 0.0)];
    assert_eq!(found, expected);
}
