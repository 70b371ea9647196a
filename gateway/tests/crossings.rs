//! Guards against race conditions between clients, connections, engines and the endpoint list. Scripted peers force the
//! order of events.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::requests::{error_code, id, row_answer, wait_admitted, wait_answered, wait_client_left};
use common::scripted::{Connection, Peer, row_response, serve_all_queries};
use common::{Gateway, pg};

fn text(class: &str, n: u64) -> String {
    format!("/* c={class},i={},d=20000 */ SELECT v FROM sales_17.orders", id(n))
}

/// Sends requests with increasing numbers until one is served. Returns its number.
fn query_until_served(gateway: &Gateway, class: &str, from: u64) -> u64 {
    let mut client = pg::Client::connect(gateway.pg);
    for n in from..from + 100 {
        match client.query(&text(class, n)) {
            pg::Answer::Error(code, _) if code.starts_with("53") => thread::sleep(Duration::from_millis(50)),
            answer => {
                assert_eq!(answer, row_answer(n));
                return n;
            }
        }
    }
    panic!("100 requests were rejected");
}

/// Sends request 1 and reads its call. Returns the client and the engine's end of the connection.
fn request_in_flight(engine: &Peer, gateway: &Gateway, class: &str) -> (pg::Client, Connection) {
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text(class, 1));
    let mut connection = engine.accept();
    let call = connection.read_call();
    assert_eq!((call.method.as_str(), call.query_id()), ("POST", id(1).as_str()));
    (client, connection)
}

/// Returns an empty list, in which [`serve_all_queries`] records the ids of the queries that the engine executes.
fn id_log() -> Arc<Mutex<Vec<String>>> {
    Arc::default()
}

/// Forbids cancellation, so that an attempt can only be stopped before the first byte of its call is written.
fn without_cancelling(config: String) -> String {
    config.replace("\"cancelling\":true", "\"cancelling\":false")
}

/// Raises the connect timeout beyond the duration of a test.
fn long_connect_timeout(config: String) -> String {
    config.replace("\"connect-timeout-s\":0.25", "\"connect-timeout-s\":30.0")
}

#[test]
fn a_queued_request_whose_client_leaves_is_never_forwarded() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway =
        Gateway::with_endpoints(&engine.entry("Terminating"), Some(discovery.address), "", None, |t| t);
    let (mut watch, last) = discovery.accept_watch();
    assert_eq!(last, 1);
    watch.send_stream_head();
    let mut clients: Vec<_> = (0..5).map(|_| pg::Client::connect(gateway.pg)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&text("load", n as u64));
        wait_admitted(&gateway, n as u64);
    }
    // This client sends more data after its request than the gateway buffers.
    let mut flooder = clients.pop().unwrap();
    assert!(flooder.try_send_garbage(1 << 20), "the gateway must go on reading data that it discards");
    drop(flooder);
    let (mut cancels, resets) = (clients.pop().unwrap(), clients.pop().unwrap());
    pg::Client::cancel(gateway.pg, cancels.key);
    assert_eq!(error_code(&cancels.answer()), "57014");
    resets.reset();
    clients[1].shutdown_write();
    drop(clients);
    (0..5).for_each(|n| wait_client_left(&gateway, n));
    let executed_ids = id_log();
    watch.send_event(2, &engine.entry("Ready"));
    serve_all_queries(engine, executed_ids.clone());
    let n = query_until_served(&gateway, "load", 100);
    assert_eq!(*executed_ids.lock().unwrap(), [id(n)]);
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(log.contains("left=5"), "{log}");
}

/// The clients leave in the same event loop turn in which the first ready engine is listed.
#[test]
fn a_queued_request_whose_client_leaves_in_the_turn_of_a_new_engine_is_never_forwarded() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway =
        Gateway::with_endpoints(&engine.entry("Terminating"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let mut clients: Vec<_> = (0..60).map(|_| pg::Client::connect(gateway.pg)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&text("load", n as u64));
        wait_admitted(&gateway, n as u64);
    }
    gateway.while_paused(|| {
        watch.send_event(2, &engine.entry("Ready"));
        drop(clients);
    });
    let executed_ids = id_log();
    serve_all_queries(engine, executed_ids.clone());
    let n = query_until_served(&gateway, "load", 100);
    assert_eq!(*executed_ids.lock().unwrap(), [id(n)]);
    (0..60).for_each(|n| wait_client_left(&gateway, n));
}

#[test]
fn a_request_whose_client_leaves_while_its_connection_is_established_is_never_forwarded() {
    let no_cancel: fn(String) -> String = |t| without_cancelling(long_connect_timeout(t));
    for (change, connects) in [(long_connect_timeout as fn(String) -> String, false), (no_cancel, true)] {
        let mut engine = Peer::with_full_backlog("e1");
        let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, change);
        let mut client = pg::Client::connect(gateway.pg);
        client.send(&text("load", 1));
        gateway.wait_for_log("connection opened");
        drop(client);
        wait_client_left(&gateway, 1);
        engine.drain_backlog();
        // Without cancellation the connection is established after its request has ended. Other requests may use it.
        let connection = connects.then(|| engine.accept());
        let executed_ids = id_log();
        let late = thread::spawn({
            let executed_ids = executed_ids.clone();
            move || {
                let Some(mut connection) = connection else { return };
                while let Some(call) = connection.next_call() {
                    executed_ids.lock().unwrap().push(call.query_id().to_owned());
                    connection.send_row(call.query_id());
                }
            }
        });
        serve_all_queries(engine, executed_ids.clone());
        let n = query_until_served(&gateway, "load", 100);
        drop(gateway);
        late.join().unwrap();
        assert_eq!(*executed_ids.lock().unwrap(), [id(n)]);
    }
}

#[test]
fn a_request_whose_client_leaves_between_two_attempts_is_not_retried() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (client, mut connection) = request_in_flight(&engine, &gateway, "load");
    // The engine sheds the attempt, which delays the next one.
    connection.send("HTTP/1.1 503 x\r\nX-Shed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    gateway.wait_for_log("attempt ended query_id=\"0000000000000001\"");
    drop(client);
    wait_client_left(&gateway, 1);
    let executed_ids = id_log();
    serve_all_queries(engine, executed_ids.clone());
    let n = query_until_served(&gateway, "load", 100);
    assert_eq!(*executed_ids.lock().unwrap(), [id(n)]);
}

#[test]
fn a_running_request_whose_client_leaves_is_cancelled_at_its_engine() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (mut client, _wire) = request_in_flight(&engine, &gateway, "load");
    assert!(client.try_send_garbage(1 << 20));
    drop(client);
    let call = engine.accept().read_call();
    assert_eq!((call.method.as_str(), call.path), ("DELETE", format!("/data/{}", id(1))));
}

#[test]
fn a_flood_after_a_request_ends_only_its_own_session() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (mut client, mut other) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    client.send(&text("load", 1));
    let mut connection = engine.accept();
    connection.read_call();
    for _ in 0..16 {
        assert!(client.try_send_garbage(256 << 10));
        assert_eq!(other.query(";"), pg::Answer::Empty, "the gateway must go on reading other clients");
    }
    connection.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1), "the request must be answered");
    assert_eq!(error_code(&client.answer()), "54000", "the invalid data must be answered once");
    assert!(client.is_closed());
    let (_, log) = gateway.end();
    assert!(log.contains("invalid=1"), "{log}");
}

#[test]
fn a_cancel_request_may_overtake_the_request_that_it_names() {
    let engine = Peer::new("e1");
    let operator = "[clients]\nmost_sessions = 180\nturn_ms = 1";
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, operator, None, |t| t);
    let executed_ids = id_log();
    serve_all_queries(engine, executed_ids.clone());
    let mut others: Vec<_> = (0..140).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut client = pg::Client::connect(gateway.pg);
    // All requests wait to be read, the one to be cancelled last. The cancel request uses a new connection.
    let _cancel = gateway.while_paused(|| {
        for (n, one) in others.iter_mut().enumerate() {
            one.send(&text("lookup", 1000 + n as u64));
        }
        client.send(&text("lookup", 1));
        pg::Client::send_cancel(gateway.pg, client.key)
    });
    assert_eq!(error_code(&client.answer()), "57014");
    for one in &mut others {
        one.answer();
    }
    assert!(!executed_ids.lock().unwrap().contains(&id(1)), "the cancelled request was forwarded");
    // Cancel requests with a wrong key or for a finished request have no effect.
    let key = client.key;
    pg::Client::cancel(gateway.pg, key);
    pg::Client::cancel(gateway.pg, [key[0], key[1], key[2], key[3], key[4], key[5], key[6], !key[7]]);
    let n = query_until_served(&gateway, "lookup", 100);
    assert!(executed_ids.lock().unwrap().contains(&id(n)));
}

#[test]
fn a_late_duplicate_response_is_not_matched_to_another_query() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    thread::spawn(move || {
        loop {
            let mut connection = engine.accept();
            thread::spawn(move || {
                while let Some(call) = connection.next_call() {
                    if call.method == "POST" {
                        connection.send_row(call.query_id());
                        thread::sleep(Duration::from_millis(5));
                        connection.send_row(call.query_id());
                    }
                }
            });
        }
    });
    let mut clients = [pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg)];
    for n in 1..40 {
        assert_eq!(clients[n as usize % 2].query(&text("lookup", n)), row_answer(n));
    }
}

/// After a duplicate response to a poll, the response to the next poll is counted as surplus. The connection then looks
/// idle although a response is still outstanding.
#[test]
fn a_connection_with_a_duplicate_response_is_not_reused() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (mut client, mut other) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    client.send(&text("lookup", 1));
    let mut connection = engine.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    let accepted = "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n";
    connection.send(accepted);
    assert_eq!(connection.read_call().method, "GET");
    connection.send(accepted);
    assert_eq!(connection.read_call().method, "GET");
    connection.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1));
    thread::sleep(Duration::from_millis(40));
    other.send(&text("lookup", 2));
    thread::sleep(Duration::from_millis(40));
    connection.try_send(&row_response(&id(1)));
    serve_all_queries(engine, id_log());
    assert_eq!(other.answer(), row_answer(2), "the response to the first query was delivered to the second");
}

/// Allows retries of a class with an idempotency key for `window_s` seconds.
fn keyed(config: &str, class: &str, window_s: f64) -> String {
    let token =
        format!("\"name\":\"{class}\",\"repeat\":\"token\",\"group\":\"all\",\"window-s\":{window_s:.1}");
    let changed = config.replace(&format!("\"name\":\"{class}\",\"repeat\":\"pure\""), &token);
    assert_ne!(changed, config);
    long_connect_timeout(changed)
}

#[test]
fn an_idempotency_key_is_sent_with_every_attempt() {
    let engine = Peer::new("e1");
    let gateway =
        Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| keyed(&t, "report", 5.0));
    let mut client = pg::Client::connect(gateway.pg);
    let query =
        |token: &str| format!("/* c=report,i={},d=20000,k={token} */ SELECT v FROM sales_17.orders", id(1));
    client.send(&text("report", 2));
    let mut connection = engine.accept();
    assert!(!connection.read_call().headers.contains_key("x-nonce"), "the gateway added an idempotency key");
    connection.send(&row_response(&id(2)).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    assert_eq!(client.answer(), row_answer(2));
    client.send(&query("16d2cf6db534bf77e12ba3280ca951ca"));
    let mut connection = engine.accept();
    for attempt in 0..2 {
        let call = connection.read_call();
        assert_eq!(call.headers["x-nonce"], "16d2cf6db534bf77e12ba3280ca951ca", "attempt {attempt}");
        assert_eq!(call.query_id(), id(1));
        if attempt == 0 {
            connection.send("HTTP/1.1 503 x\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }
    connection.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1));
    for bad in ["", "a b", "a\tb", "a\u{7f}", &"k".repeat(129)] {
        assert_eq!(error_code(&client.query(&query(bad))), "42601", "{bad:?}");
    }
}

#[test]
fn a_retry_whose_idempotency_window_ends_while_its_connection_is_established_is_not_forwarded() {
    let (one, mut two, discovery) = (Peer::new("e1"), Peer::with_full_backlog("e2"), Peer::new("c"));
    let change = |t: String| keyed(&t, "lookup", 0.5);
    let gateway = Gateway::with_endpoints(&one.entry("Ready"), Some(discovery.address), "", None, change);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text("lookup", 1));
    let mut connection = one.accept();
    assert_eq!(connection.read_call().query_id(), id(1));
    watch.send_event(2, &format!("{},{}", two.entry("Ready"), one.entry("Terminating")));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    connection.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
    gateway.wait_for_log("attempt ended query_id=\"0000000000000001\"");
    // The attempt's connection must have begun before the engine accepts connections.
    gateway.wait_for_log("connection opened engine=1");
    // The kernel resends the SYN after one second, which is twice the window.
    two.drain_backlog();
    assert!(error_code(&client.answer()).starts_with("53"), "the class must allow retries at every engine");
    let executed_ids = id_log();
    serve_all_queries(two, executed_ids.clone());
    let n = query_until_served(&gateway, "lookup", 100);
    assert!(!executed_ids.lock().unwrap().contains(&id(1)), "the request was forwarded after its window");
    assert!(executed_ids.lock().unwrap().contains(&id(n)));
}

#[test]
fn nothing_is_forwarded_to_an_engine_that_drains_while_its_connection_is_established() {
    let (mut one, two, discovery) = (Peer::with_full_backlog("e1"), Peer::new("e2"), Peer::new("c"));
    let change = long_connect_timeout;
    let gateway = Gateway::with_endpoints(&one.entry("Ready"), Some(discovery.address), "", None, change);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text("load", 1));
    gateway.wait_for_log("connection opened");
    watch.send_event(2, &format!("{},{}", one.entry("Terminating"), two.entry("Ready")));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    let ids_on_two = id_log();
    serve_all_queries(two, ids_on_two.clone());
    one.drain_backlog();
    assert_eq!(client.answer(), row_answer(1), "a request that never ran may be sent to another engine");
    assert_eq!(*ids_on_two.lock().unwrap(), [id(1)]);
    let n = query_until_served(&gateway, "load", 100);
    assert_eq!(*ids_on_two.lock().unwrap(), [id(1), id(n)]);
    // The log is read asynchronously. It is complete up to this line.
    wait_answered(&gateway, n);
    assert!(gateway.log().matches("attempt forwarded query_id=").count() == 2, "{}", gateway.log());
}

#[test]
fn a_drain_in_the_turn_of_a_new_request_is_respected() {
    let (one, two, discovery) = (Peer::new("e1"), Peer::new("e2"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&one.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let mut client = pg::Client::connect(gateway.pg);
    gateway.while_paused(|| {
        client.send(&text("load", 1));
        watch.send_event(2, &format!("{},{}", one.entry("Terminating"), two.entry("Ready")));
    });
    serve_all_queries(two, id_log());
    assert_eq!(client.answer(), row_answer(1));
    assert!(one.has_no_pending_connection());
}

#[test]
fn calls_for_a_removed_engine_do_not_reach_another_at_its_address() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let (mut client, connection) = request_in_flight(&engine, &gateway, "report");
    let replacement = engine.entry("Ready").replace("\"e1\"", "\"e2\"");
    watch.send_event(2, &format!("{},{replacement}", engine.entry("Gone")));
    gateway.wait_for_log("name=\"e2\" state=Ready");
    connection.reset();
    // The query is neither polled nor cancelled at the new engine.
    assert!(error_code(&client.answer()).starts_with("53"));
    client.send(&text("report", 2));
    let mut connection = engine.accept();
    let call = connection.read_call();
    assert_eq!((call.method.as_str(), call.query_id()), ("POST", id(2).as_str()));
    connection.send_row(&id(2));
    assert_eq!(client.answer(), row_answer(2));
}

/// The engine may have closed an idle connection or started the query, so the gateway polls the query before a retry.
#[test]
fn a_call_whose_connection_is_closed_as_it_is_written_is_retried_as_its_class_allows() {
    let unknown = "HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    for (class, is_retried) in [("report", true), ("load", false)] {
        let engine = Peer::new("e1");
        let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
        let (mut client, connection) = request_in_flight(&engine, &gateway, class);
        drop(connection);
        let mut poll = engine.accept();
        assert_eq!(poll.read_call().path, format!("/data/{}/0", id(1)));
        poll.send(unknown);
        if is_retried {
            let mut second = engine.accept();
            let call = second.read_call();
            assert_eq!((call.method.as_str(), call.query_id()), ("POST", id(1).as_str()));
            second.send_row(&id(1));
            assert_eq!(client.answer(), row_answer(1));
        } else {
            assert_eq!(error_code(&client.answer()), "58000");
            client.send(&text(class, 2));
            assert_eq!(engine.accept().read_call().query_id(), id(2));
        }
    }
}

#[test]
fn skipped_events_of_the_endpoint_list_are_requested_again() {
    let (one, two, discovery) = (Peer::new("e1"), Peer::new("e2"), Peer::new("c"));
    let list = format!("{},{}", one.entry("Ready"), two.entry("Ready"));
    let gateway = Gateway::with_endpoints(&list, Some(discovery.address), "", None, |t| t);
    let (mut watch, last) = discovery.accept_watch();
    assert_eq!(last, 1);
    watch.send_stream_head();
    watch.send_event(3, &two.entry("Terminating"));
    let (mut second, last) = discovery.accept_watch();
    assert_eq!(last, 1, "event 2 has not been received");
    assert!(watch.is_closed(), "the previous stream must be closed");
    second.send_stream_head();
    second.send_event(2, &one.entry("Terminating"));
    second.send_event(3, &two.entry("Terminating"));
    gateway.wait_for_log("name=\"e2\" state=Draining");
    assert!(gateway.log().contains("name=\"e1\" state=Draining"), "events must be applied in order");
    // Events that are also missing from the second stream are skipped. An old event changes nothing.
    second.send_event(6, &one.entry("Ready"));
    let (mut third, last) = discovery.accept_watch();
    assert_eq!(last, 3);
    third.send_stream_head();
    third.send_event(6, &one.entry("Ready"));
    gateway.wait_for_log("name=\"e1\" state=Ready since_ms=0 now_us=");
    third.send_event(5, &one.entry("Gone"));
    third.send_event(7, &two.entry("Gone"));
    gateway.wait_for_log("name=\"e2\" state=Removed");
    assert!(!gateway.log().contains("name=\"e1\" state=Removed"));
}

#[test]
fn events_between_two_gaps_of_the_endpoint_list_are_applied() {
    let (one, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&one.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    watch.send_event(4, "");
    let (mut second, last) = discovery.accept_watch();
    assert_eq!(last, 1);
    second.send_stream_head();
    second.send_event(2, &one.entry("Terminating"));
    second.send_event(6, "");
    let (_third, last) = discovery.accept_watch();
    assert_eq!(last, 2, "event 2 must not be requested again");
    gateway.wait_for_log("name=\"e1\" state=Draining");
}

#[test]
fn an_endpoint_stream_without_line_ends_times_out() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    watch.send(": here\n\n");
    // The bytes never complete a line.
    watch.send("id: 2\ndata: \u{e9}");
    while discovery.has_no_pending_connection() {
        watch.send("x");
        thread::sleep(Duration::from_millis(50));
    }
    gateway.wait_for_log("the discovery service is silent");
}

#[test]
fn a_watch_whose_connection_is_not_established_is_retried() {
    let (engine, mut discovery) = (Peer::new("e1"), Peer::with_full_backlog("c"));
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, |t| t);
    gateway.wait_for_log("the discovery service is silent");
    discovery.drain_backlog();
    // The abandoned connection may still be established. It then ends without a call.
    let mut connection = discovery.accept();
    let call = connection.next_call().unwrap_or_else(|| discovery.accept().read_call());
    assert_eq!(call.path, "/v2/stream");
}

#[test]
fn an_endpoint_stream_is_reopened_after_errors_and_moved_while_it_is_established() {
    let (one, two) = (Peer::new("e1"), Peer::new("e2"));
    let (old, new) = (Peer::new("c"), Peer::new("d"));
    let list = format!("{},{}", one.entry("Ready"), two.entry("Ready"));
    let gateway = Gateway::with_endpoints(&list, Some(old.address), "", None, |t| t);
    let (mut watch, _) = old.accept_watch();
    watch.send("HTTP/1.1 503 later\r\nContent-Length: 0\r\n\r\n");
    // The next stream receives no response head. Meanwhile, the configured address of the service changes.
    let (mut silent, last) = old.accept_watch();
    assert_eq!(last, 1);
    gateway.reconfigure(|t| t.replace(&old.address.to_string(), &new.address.to_string()));
    let (mut moved, last) = new.accept_watch();
    assert_eq!(last, 1);
    assert!(silent.is_closed(), "the old stream must be closed before the new one is used");
    moved.send_stream_head();
    moved.send_event(2, &two.entry("Terminating"));
    gateway.wait_for_log("name=\"e2\" state=Draining");
    // After a reset in the middle of a line, the stream continues from the last complete event.
    moved.send("id: 3\ndata: {\"index\":3,\"endp");
    moved.reset();
    let (mut reopened, last) = new.accept_watch();
    assert_eq!(last, 2);
    reopened.send_stream_head();
    reopened.send_event(3, &one.entry("Terminating"));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    drop(old);
}

#[test]
fn settings_changed_in_the_file_wait_for_a_restart_and_are_logged_once() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text("report", 1));
    let mut connection = engine.accept();
    assert_eq!(connection.read_call().headers["x-queue"], "report");
    // The class of the running request is renamed, and the other classes change places.
    gateway.reconfigure(|t| {
        t.replace("\"report\"", "\"digest\"").replace("\"lookup\"", "\"load\"").replacen(
            "\"name\":\"load\",\"repeat\":\"side",
            "\"name\":\"lookup\",\"repeat\":\"side",
            1,
        )
    });
    gateway.wait_for_log("classes_gone=[\"report\"] classes_new=[\"digest\"]");
    connection.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1), "a running request must keep its settings");
    assert_eq!(
        error_code(&client.query(&text("digest", 2))),
        "42601",
        "the new class takes effect at the next start"
    );
    client.send(&text("report", 3));
    assert_eq!(connection.read_call().headers["x-queue"], "report");
    assert_eq!(gateway.log().matches("settings in the file differ from those in force").count(), 1);
}

#[test]
fn a_signal_to_a_starting_process_neither_ends_it_nor_is_lost() {
    for signal in ["-HUP", "-USR1", "-TERM"] {
        let engine = Peer::new("e1");
        let starting = Gateway::spawn_waiting(&engine.entry("Ready"));
        // The process is still waiting for its configuration.
        starting.signal(signal);
        let gateway = starting.configure();
        match signal {
            "-HUP" => gateway.wait_for_log("configuration reloaded"),
            "-USR1" => gateway.wait_for_log("counters="),
            _ => assert_eq!(gateway.wait().0, Some(0)),
        }
    }
}

#[test]
fn sigterm_answers_connections_and_requests_that_arrive_late() {
    let engine = Peer::new("e1");
    // An event loop turn is too short for all requests below.
    let operator = "[clients]\nmost_sessions = 180\nturn_ms = 1";
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, operator, None, |t| t);
    let executed_ids = id_log();
    serve_all_queries(engine, executed_ids.clone());
    let mut idle = pg::Client::connect(gateway.pg);
    let mut late_senders: Vec<_> = (0..70).map(|_| pg::Client::connect(gateway.pg)).collect();
    let (mut partial, mut starting) =
        (pg::Client::connect(gateway.pg), pg::Client::without_startup(gateway.pg));
    partial.send_raw(b"Q\0\0\0\x40/* c=lookup");
    starting.send_raw(&[0, 0, 0, 40, 0, 3]);
    assert_eq!(partial.clone().key, partial.key);
    gateway.terminate();
    gateway.wait_for_log("graceful shutdown begins");
    gateway.terminate();
    // All of these requests have arrived when the gateway stops accepting requests.
    let late = gateway.while_paused(|| {
        thread::sleep(Duration::from_millis(900));
        for (n, client) in late_senders.iter_mut().enumerate() {
            // Long texts, so that not all of them are read in one turn.
            client.send(&(text("lookup", n as u64) + &" ".repeat(60_000)));
        }
        (100..190).map(|n| pg::Client::pipelined(gateway.pg, &text("lookup", n))).collect::<Vec<_>>()
    });
    for client in &mut late_senders {
        assert!(
            error_code(&client.answer()).starts_with("53"),
            "requests must be rejected, since none is forwarded any more"
        );
    }
    for mut client in late {
        let answer = client.wait_error_code();
        assert!(answer.starts_with("53") || answer == "57P03", "{answer}");
    }
    assert_eq!(error_code(&partial.answer()), "57P03");
    assert_eq!(error_code(&starting.answer()), "57P03");
    assert!(idle.is_closed() && partial.is_closed(), "connections must be closed without a reset");
    assert!(executed_ids.lock().unwrap().is_empty());
    let (exit, log) = gateway.wait();
    assert_eq!(exit, Some(0), "{log}");
}

#[test]
fn sigterm_answers_all_requests_in_flight_before_exit() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    // Deadlines are longer than the read timeout of the clients, so that no answer is caused by a deadline.
    let long = |t: String| t.replace("\"deadline-s\":2", "\"deadline-s\":32");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, long);
    // The discovery service never responds. SIGHUP and SIGTERM arrive in the same turn.
    let (_silent, _) = discovery.accept_watch();
    let mut clients: Vec<_> = (0..3).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut connections = Vec::new();
    for (n, (client, class)) in clients.iter_mut().zip(["report", "load", "report"]).enumerate() {
        client.send(&text(class, n as u64 + 1).replace("d=20000", "d=300000"));
        if n < 2 {
            let mut connection = engine.accept();
            assert_eq!(connection.read_call().query_id(), id(n as u64 + 1));
            // The query never ends.
            connection.send("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            connections.push(connection);
        }
        wait_admitted(&gateway, n as u64 + 1);
    }
    let pollers = connections.into_iter().map(|mut connection| {
        thread::spawn(move || {
            while connection.next_call().is_some() {
                thread::sleep(Duration::from_millis(100));
                connection.send("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            }
        })
    });
    let pollers: Vec<_> = pollers.collect();
    gateway.while_paused(|| {
        gateway.signal("-HUP");
        gateway.terminate();
    });
    // The queries would run for minutes. Reports are safe to retry, loads are not.
    assert!(error_code(&clients[0].answer()).starts_with("53"));
    assert_eq!(error_code(&clients[1].answer()), "58000");
    assert!(error_code(&clients[2].answer()).starts_with("53"));
    assert!(clients.iter_mut().all(pg::Client::is_closed));
    let (exit, log) = gateway.wait();
    assert_eq!(exit, Some(0), "{log}");
    drop(engine);
    pollers.into_iter().for_each(|n| n.join().unwrap());
}

#[test]
fn idle_clients_that_hold_all_descriptors_are_evicted_for_engines_the_watch_and_new_clients() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    // The process has fewer descriptors than configured, so that they run out before the client limit is reached.
    let gateway =
        Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", Some(64), |t| t);
    let (watch, _) = discovery.accept_watch();
    let address = discovery.address;
    drop((watch, discovery));
    // While the discovery service is down, clients may use the descriptor of its stream.
    let mut clients: Vec<_> = (0..80).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut requesters = clients.split_off(76);
    for (n, client) in requesters.iter_mut().enumerate() {
        client.send(&text("lookup", n as u64));
    }
    // The requests run concurrently, each over a connection of its own.
    let mut connections: Vec<_> = (0..requesters.len()).map(|_| engine.accept()).collect();
    for connection in &mut connections {
        let query_id = connection.read_call().query_id().to_owned();
        connection.send_row(&query_id);
    }
    for (n, client) in requesters.iter_mut().enumerate() {
        assert_eq!(client.answer(), row_answer(n as u64), "engine connections must get descriptors");
    }
    drop(connections);
    serve_all_queries(engine, id_log());
    query_until_served(&gateway, "lookup", 100);
    let restarted = Peer::bind("c", address);
    let (mut watch, _) = restarted.accept_watch();
    watch.send_stream_head();
    watch.send_event(2, "");
    let turns = gateway.turns();
    thread::sleep(Duration::from_millis(200));
    assert!(gateway.turns() - turns < 100, "the event loop is spinning");
    assert!(clients[0].is_closed(), "the client idle for longest must be evicted");
    assert_eq!(requesters[3].query(";"), pg::Answer::Empty);
}

#[test]
fn a_restarted_process_is_ready_while_the_discovery_service_is_silent_or_down() {
    let list = (0..4000).map(|n| {
        format!(
            "{{\"name\":\"e{n}\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"type\":\"k\",\"group\":{},\"status\":\"Ready\",\"weight\":1,\"since_ms\":0}}",
            n % 50
        )
    });
    let list = list.collect::<Vec<_>>().join(",");
    let silent = Peer::new("c");
    let down = Peer::new("d").address;
    for discovery in [silent.address, down] {
        let gateway = Gateway::with_endpoints(&list, Some(discovery), "", None, |t| t);
        let mut client = pg::Client::connect(gateway.pg);
        assert_eq!(client.query(";"), pg::Answer::Empty);
    }
}

#[test]
fn a_request_is_served_after_its_engine_connection_was_idle_for_too_long() {
    let engine = Peer::new("e1");
    let operator = "[clients]\nidle_limit_s = 1";
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, operator, None, |t| t);
    serve_all_queries(engine, id_log());
    let (mut sender, mut idle) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    gateway.while_paused(|| {
        thread::sleep(Duration::from_millis(1200));
        sender.send(&text("lookup", 1));
    });
    assert_eq!(sender.answer(), row_answer(1));
    assert!(idle.is_closed());
}

#[test]
fn a_truncated_response_is_requested_again_and_a_load_runs_once() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let mut client = pg::Client::connect(gateway.pg);
    let response = row_response(&id(1));
    let head = response.find("\r\n\r\n").unwrap();
    // The response is truncated within its head, between head and body, and within its body.
    for length in [5, head + 4, response.len() - 3] {
        client.send(&text("load", 1));
        let mut connection = engine.accept();
        assert_eq!(connection.read_call().method, "POST");
        connection.send(&response[..length]);
        connection.shutdown_write();
        let mut again = engine.accept();
        let call = again.read_call();
        assert_eq!((call.method.as_str(), call.path), ("GET", format!("/data/{}/0", id(1))));
        again.send(&response);
        assert_eq!(client.answer(), row_answer(1));
        again.reset();
        gateway.wait_for_log("connection closed");
    }
}
