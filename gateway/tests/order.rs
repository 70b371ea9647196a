//! Guards the order of requests with the same order key: one at a time, in order of arrival, and none while an
//! attempt may still run on its engine. Engines are scripted, and all time checks are lower bounds.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::manual::ManualEngines;
use common::requests::{assert_served, id, wait_admitted, wait_client_left};
use common::scripted::{Connection, Peer};
use common::{Engine, Gateway, Recorder, mysql, pg};

/// Time without polls after which an engine drops a query.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Cooldown of a key after an attempt that may still run.
const KEY_COOLDOWN: Duration = Duration::from_millis(300);

fn load(n: u64, key: &str) -> String {
    format!("/* c=load,i={},d=20000,o={key} */ INSERT INTO sales_17.orders VALUES (1)", id(n))
}

fn keeps_order(config: String) -> String {
    let config = config.replace("\"name\":\"load\",", "\"name\":\"load\",\"keep-order\":true,");
    config.replace("\"warm-up-s\"", "\"order-pause-s\":0.3,\"warm-up-s\"")
}

/// Sends a request and waits until it is admitted.
fn send_request(gateway: &Gateway, n: u64, key: &str) -> pg::Client {
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&load(n, key));
    wait_admitted(gateway, n);
    client
}

#[test]
fn requests_of_one_key_are_forwarded_one_at_a_time_in_order_of_arrival() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let gateway = Gateway::with_endpoints(&engines.entries, None, "", None, keeps_order);
    let mut clients: Vec<_> = (1..=3).map(|n| send_request(&gateway, n, "k1")).collect();
    let mut attempt = engines.next_start(&id(1));
    let mut other = send_request(&gateway, 4, "k2");
    engines.next_start(&id(4)).finish();
    assert_served(&mut other, 4);
    for n in 1..=3 {
        attempt.finish();
        assert_served(&mut clients[n as usize - 1], n);
        if n == 3 {
            break;
        }
        attempt = engines.next_start(&id(n + 1));
    }
}

/// One session pipelines two requests of a key, and another session sends a request of the key between them.
#[test]
fn a_pipelined_request_is_ordered_by_the_time_at_which_it_is_read() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let gateway = Gateway::with_endpoints(&engines.entries, None, "", None, keeps_order);
    let mut first = pg::Client::connect(gateway.pg);
    first.send(&load(1, "k1"));
    first.send(&load(3, "k1"));
    let attempt = engines.next_start(&id(1));
    let mut second = send_request(&gateway, 2, "k1");
    attempt.finish();
    assert_served(&mut first, 1);
    engines.next_start(&id(2)).finish();
    assert_served(&mut second, 2);
    engines.next_start(&id(3)).finish();
    assert_served(&mut first, 3);
}

#[test]
fn the_next_request_of_a_key_waits_for_a_lost_attempt_that_may_still_run() {
    let (e1, e2, coordinator) = (Peer::new("e1"), Peer::new("e2"), Peer::new("c"));
    let gateway =
        Gateway::with_endpoints(&e1.entry("Ready"), Some(coordinator.address), "", None, keeps_order);
    let (mut watch, _) = coordinator.accept_watch();
    watch.send_stream_head();
    let mut first = send_request(&gateway, 1, "k1");
    let mut second = send_request(&gateway, 2, "k1");
    let mut connection = e1.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    let began = Instant::now();
    watch.send_event(2, &e2.entry("Ready"));
    // The first engine accepts no further connections, so that the gateway cannot query the state of the attempt.
    drop(e1);
    connection.reset();
    assert!(matches!(first.answer(), pg::Answer::Error(code, _) if !code.starts_with("53")));
    let mut connection = e2.accept();
    assert_eq!(connection.read_call().query_id(), id(2));
    assert!(began.elapsed() >= ABANDON_TIMEOUT + KEY_COOLDOWN, "after {:?}", began.elapsed());
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
}

/// Allows a load to be queued until its deadline.
fn keeps_order_with_long_waits(config: String) -> String {
    keeps_order(config).replace("\"aim-s\":4.0", "\"aim-s\":40.0")
}

/// A gateway that is partitioned from its first engine. The first request of a key was in flight there and has
/// failed, the second request of the key is queued, and another engine is ready.
struct Partition {
    e1: Peer,
    e2: Peer,
    watch: Connection,
    gateway: Gateway,
    second: pg::Client,
}

impl Partition {
    fn new() -> Self {
        let (mut e1, e2, coordinator) = (Peer::with_zero_backlog("e1"), Peer::new("e2"), Peer::new("c"));
        let address = Some(coordinator.address);
        let gateway =
            Gateway::with_endpoints(&e1.entry("Ready"), address, "", None, keeps_order_with_long_waits);
        let (mut watch, _) = coordinator.accept_watch();
        watch.send_stream_head();
        let mut first = send_request(&gateway, 1, "k1");
        let second = send_request(&gateway, 2, "k1");
        let mut connection = e1.accept();
        assert_eq!(connection.read_call().query_id(), id(1));
        e1.fill_backlog();
        watch.send_event(2, &e2.entry("Ready"));
        assert!(matches!(first.answer(), pg::Answer::Error(code, _) if !code.starts_with("53")));
        assert!(
            !connection.is_closed(),
            "the connection must be reset, so that none of its data arrives after the partition"
        );
        Self { e1, e2, watch, gateway, second }
    }
}

/// A partitioned engine may run an attempt to the end, because cancellations and closed connections do not reach it.
#[test]
fn the_next_request_of_a_key_waits_until_a_partitioned_engine_is_reached() {
    let Partition { mut e1, e2, watch: _watch, gateway, mut second } = Partition::new();
    thread::sleep(ABANDON_TIMEOUT + KEY_COOLDOWN + Duration::from_secs(1));
    // A request of another key shows that the gateway is not blocked and that the second engine is usable.
    let mut other = send_request(&gateway, 3, "k2");
    let mut connection = e2.accept();
    assert_eq!(connection.read_call().query_id(), id(3));
    connection.send_row(&id(3));
    assert_served(&mut other, 3);
    e1.drain_backlog();
    let mut reconnected = e1.accept();
    let call = reconnected.read_call();
    assert_eq!((call.method.as_str(), call.path), ("DELETE", format!("/data/{}", id(1))));
    let cancelled = Instant::now();
    reconnected.send("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(connection.read_call().query_id(), id(2));
    assert!(cancelled.elapsed() >= KEY_COOLDOWN, "after {:?}", cancelled.elapsed());
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
}

#[test]
fn the_next_request_of_a_key_starts_once_the_list_removes_a_partitioned_engine() {
    let Partition { e1, e2, mut watch, gateway: _gateway, mut second } = Partition::new();
    watch.send_event(3, &e1.entry("Gone"));
    let mut connection = e2.accept();
    assert_eq!(connection.read_call().query_id(), id(2));
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
}

#[test]
fn the_next_request_of_a_key_starts_once_a_partitioned_engine_is_reached_but_does_not_respond() {
    let Partition { mut e1, e2, watch: _watch, gateway: _gateway, mut second } = Partition::new();
    e1.drain_backlog();
    let mut reconnected = e1.accept();
    assert_eq!(reconnected.read_call().method, "DELETE");
    let mut connection = e2.accept();
    assert_eq!(connection.read_call().query_id(), id(2));
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
}

#[test]
fn a_key_whose_first_request_was_never_sent_has_no_cooldown() {
    let (engine, coordinator) = (Peer::new("e1"), Peer::new("c"));
    let draining = engine.entry("Terminating");
    let gateway = Gateway::with_endpoints(&draining, Some(coordinator.address), "", None, keeps_order);
    let (mut watch, _) = coordinator.accept_watch();
    watch.send_stream_head();
    let first = send_request(&gateway, 1, "k1");
    let mut second = send_request(&gateway, 2, "k1");
    drop(first);
    wait_client_left(&gateway, 1);
    watch.send_event(2, &engine.entry("Ready"));
    let mut connection = engine.accept();
    assert_eq!(connection.read_call().query_id(), id(2));
    connection.send_row(&id(2));
    assert_served(&mut second, 2);
}

#[test]
fn an_attempt_whose_client_has_left_holds_its_key_until_it_is_cancelled() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let gateway = Gateway::with_endpoints(&engines.entries, None, "", None, keeps_order);
    let first = send_request(&gateway, 1, "k1");
    let mut second = send_request(&gateway, 2, "k1");
    let _attempt = engines.next_start(&id(1));
    drop(first);
    let delete = engines.next_call();
    assert_eq!((delete.method.as_str(), delete.query_id.as_str()), ("DELETE", id(1).as_str()));
    // A request of another key shows that the gateway is not blocked.
    let mut other = send_request(&gateway, 4, "k2");
    engines.next_start(&id(4)).finish();
    assert_served(&mut other, 4);
    let cancelled = Instant::now();
    delete.acknowledge_cancel();
    let attempt = engines.next_start(&id(2));
    assert!(cancelled.elapsed() >= KEY_COOLDOWN, "after {:?}", cancelled.elapsed());
    attempt.finish();
    assert_served(&mut second, 2);
}

#[test]
fn requests_without_a_key_or_in_unordered_classes_are_not_ordered() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let gateway = Gateway::with_endpoints(&engines.entries, None, "", None, keeps_order);
    let send = |text: &str| {
        let mut client = pg::Client::connect(gateway.pg);
        client.send(text);
        client
    };
    let statement = "SELECT v FROM sales_17.orders";
    let text =
        |class: &str, n: u64, key: &str| format!("/* c={class},i={},d=3000{key},r=1 */ {statement}", id(n));
    let mut clients =
        [text("lookup", 1, ",o=k1"), text("lookup", 2, ",o=k1"), text("load", 3, ""), text("load", 4, "")]
            .map(|text| send(&text));
    let calls: Vec<_> = (0..4).map(|_| engines.next_call()).collect();
    calls.into_iter().for_each(|call| call.finish());
    for (client, n) in clients.iter_mut().zip(1..) {
        assert_served(client, n);
    }
    for invalid in ["o=", "o=a b", "r=2"] {
        let answer = clients[0].query(&format!("/* c=load,i={},d=3000,{invalid} */ {statement}", id(9)));
        assert!(matches!(answer, pg::Answer::Error(code, _) if code == "42601"));
    }
}

#[test]
fn mysql_requests_are_ordered_by_key() {
    const WORK_MS: u64 = 200;
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, WORK_MS);
    let gateway = Gateway::start_changed(&[&engine], keeps_order);
    let began = Instant::now();
    let send_request = |n: u64| {
        let address = gateway.mysql();
        thread::spawn(move || {
            let mut client = mysql::Client::connect(address);
            let text = "/* c=load */ INSERT INTO sales_17.orders VALUES (1)";
            client.query(text, &[("i", &id(n)), ("o", "k1"), ("r", "1")])
        })
    };
    for answer in [send_request(1), send_request(2)].map(|client| client.join().unwrap()) {
        assert!(!matches!(answer, mysql::Answer::Error(..)), "{answer:?}");
    }
    assert!(
        began.elapsed() >= Duration::from_millis(2 * WORK_MS),
        "the requests must run one after the other"
    );
    let mut client = mysql::Client::connect(gateway.mysql());
    let rejected = client.query("/* c=load */ SELECT 1", &[("o", "")]);
    assert!(matches!(rejected, mysql::Answer::Error(1210, ..)), "{rejected:?}");
}

/// The predecessor has one request of a key in flight and one queued when the successor receives a third. The third
/// runs after both, and requests that the predecessor receives later run after the third.
#[test]
fn a_key_keeps_its_order_across_both_processes_of_a_replacement() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let predecessor = Gateway::with_endpoints_and_admin(&engines.entries, keeps_order);
    let (mut first, mut second) = (send_request(&predecessor, 1, "k1"), send_request(&predecessor, 2, "k1"));
    let mut fourth = pg::Client::connect(predecessor.pg);
    let attempt = engines.next_start(&id(1));
    let successor = predecessor.successor();
    predecessor.wait_for_log("successor accepts clients");
    let mut third = send_request(&successor, 3, "k1");
    predecessor.wait_for_log("peer process claims the lease of a key");
    fourth.send(&load(4, "k1"));
    wait_admitted(&predecessor, 4);
    // A request of another key shows that the successor is not blocked.
    let mut other = send_request(&successor, 9, "k2");
    engines.next_start(&id(9)).finish();
    assert_served(&mut other, 9);
    attempt.finish();
    assert_served(&mut first, 1);
    for (client, n) in [(&mut second, 2), (&mut third, 3), (&mut fourth, 4)] {
        engines.next_start(&id(n)).finish();
        assert_served(client, n);
    }
}

#[test]
fn a_key_is_released_when_no_attempt_of_a_killed_predecessor_can_run() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let predecessor = Gateway::with_endpoints_and_admin(&engines.entries, keeps_order);
    let _first = send_request(&predecessor, 1, "k1");
    let _attempt = engines.next_start(&id(1));
    let successor = predecessor.successor();
    predecessor.wait_for_log("successor accepts clients");
    let mut second = send_request(&successor, 2, "k1");
    predecessor.wait_for_log("peer process claims the lease of a key");
    let killed = Instant::now();
    predecessor.kill();
    let attempt = engines.next_start(&id(2));
    assert!(killed.elapsed() >= ABANDON_TIMEOUT + KEY_COOLDOWN, "after {:?}", killed.elapsed());
    attempt.finish();
    assert_served(&mut second, 2);
    let mut third = send_request(&successor, 3, "k1");
    engines.next_start(&id(3)).finish();
    assert_served(&mut third, 3);
}

/// The successor waits for a lease that the predecessor holds until it exits.
#[test]
fn a_predecessor_that_exits_grants_its_leases() {
    let engines = ManualEngines::start(&["e1", "e2"]);
    let predecessor = Gateway::with_endpoints_and_admin(&engines.entries, keeps_order);
    let mut first = send_request(&predecessor, 1, "k1");
    let attempt = engines.next_start(&id(1));
    let successor = predecessor.successor();
    predecessor.wait_for_log("successor accepts clients");
    let mut second = send_request(&successor, 2, "k1");
    predecessor.wait_for_log("peer process claims the lease of a key");
    predecessor.terminate();
    predecessor.signal("-HUP");
    attempt.finish();
    assert_served(&mut first, 1);
    engines.next_start(&id(2)).finish();
    assert_served(&mut second, 2);
    assert_eq!(predecessor.wait().0, Some(0));
    let mut third = send_request(&successor, 3, "k1");
    engines.next_start(&id(3)).finish();
    assert_served(&mut third, 3);
}
