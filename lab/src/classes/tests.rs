use super::*;

const LOG: &str = r#"0.000  INFO wrenhatch: serving name=n1
0.054 DEBUG wrenhatch::net::clients::requests: request admitted query_id="a1" request=1 class=0 wait_us=2087000 now_us=41676
0.104 DEBUG wrenhatch::net::engines: attempt forwarded query_id="a1" attempt=0 engine=1 class=0 now_us=42104
0.207 DEBUG wrenhatch::net::engines: attempt ended query_id="a1" attempt=0 engine=1 now_us=194537 outcome=Success
0.254 DEBUG wrenhatch::net::clients::requests: request answered query_id="a1" now_us=194537 outcome="served"
0.300 DEBUG wrenhatch::net::clients::requests: request admitted query_id="b2" request=2 class=1 wait_us=13921000 now_us=300000
1.400 DEBUG workload_manager::decisions::explain: queued request shed request=2 class=1 why=concurrency_limit open=0 concurrency_limit=80 queued_seconds=1.10
1.400 DEBUG wrenhatch::net::clients::requests: request answered query_id="b2" now_us=1400000 outcome="rejected"
1.500 DEBUG wrenhatch::net::clients::requests: request admitted query_id="c3" request=3 class=1 wait_us=13921000 now_us=1500000
1.500 DEBUG wrenhatch::net::engines: attempt forwarded query_id="c3" attempt=0 engine=1 class=1 now_us=1500000
1.700 DEBUG wrenhatch::net::engines: attempt cancelled query_id="c3" attempt=0 now_us=1700000
1.800 DEBUG wrenhatch::net::engines: attempt forwarded query_id="c3" attempt=1 engine=2 class=1 now_us=1800000
"#;

#[test]
fn outcomes_are_counted_by_class_and_second() {
    let seconds = read(LOG.as_bytes()).unwrap();
    let first = &seconds[&(0, 0)];
    assert_eq!((first.taken, first.served, first.attempts, first.sent), (1, 1, 1, 1));
    assert!((first.held_s - 0.05).abs() < 1e-9 && (first.took_s - 0.2).abs() < 1e-9, "{first:?}");
    assert_eq!(seconds[&(1, 0)].taken, 1);
    let second = &seconds[&(1, 1)];
    assert_eq!((second.taken, second.refused, second.attempts, second.given_up), (1, 1, 2, 1));
    assert_eq!(second.guards, BTreeMap::from([("concurrency_limit".to_owned(), 1)]));
    assert_eq!((second.sent, sums(&seconds)[&1].taken), (1, 2));
}
