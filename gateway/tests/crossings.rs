//! Races: clients that leave, connections that close, and engines and endpoint lists that change at a moment when
//! something else is under way. Peers are scripted, so that the order of two events is forced by what they send, never
//! by the machine's speed.

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

/// Sends a request until it is served, with a new id for each try.
fn served(gateway: &Gateway, class: &str, from: u64) -> u64 {
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
    panic!("refused a hundred times");
}

/// One request taken and forwarded: its client, and the engine's end of the connection with the call read off it.
fn request_in_flight(engine: &Peer, gateway: &Gateway, class: &str) -> (pg::Client, Connection) {
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text(class, 1));
    let mut wire = engine.accept();
    let call = wire.read_call();
    assert_eq!((call.method.as_str(), call.query_id()), ("POST", id(1).as_str()));
    (client, wire)
}

/// Ids that engines of [`serve_all_queries`] ran.
fn ran() -> Arc<Mutex<Vec<String>>> {
    Arc::default()
}

/// Settings in which attempts may not be cancelled: nothing but the check at the first byte holds them.
fn no_cancel(config: String) -> String {
    config.replace("\"cancelling\":true", "\"cancelling\":false")
}

fn patient_connects(config: String) -> String {
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
    // One that has more behind its request than anybody reads ahead.
    let mut flooding = clients.pop().unwrap();
    assert!(flooding.try_send_garbage(1 << 20), "what can't be kept is read all the same");
    drop(flooding);
    let (mut cancels, resets) = (clients.pop().unwrap(), clients.pop().unwrap());
    pg::Client::cancel(gateway.pg, cancels.key);
    assert_eq!(error_code(&cancels.answer()), "57014");
    resets.reset();
    clients[1].shutdown_write();
    drop(clients);
    (0..5).for_each(|n| wait_client_left(&gateway, n));
    let ran_there = ran();
    watch.send_event(2, &engine.entry("Ready"));
    serve_all_queries(engine, ran_there.clone());
    let n = served(&gateway, "load", 100);
    assert_eq!(*ran_there.lock().unwrap(), [id(n)]);
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(log.contains("left=5"), "{log}");
}

/// All leave in the very turn in which the engine comes that would serve them.
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
    let ran = ran();
    serve_all_queries(engine, ran.clone());
    let n = served(&gateway, "load", 100);
    assert_eq!(*ran.lock().unwrap(), [id(n)]);
    (0..60).for_each(|n| wait_client_left(&gateway, n));
}

#[test]
fn a_request_whose_client_leaves_while_its_connection_is_established_is_never_forwarded() {
    let may_not: fn(String) -> String = |t| no_cancel(patient_connects(t));
    for (change, comes_up) in [(patient_connects as fn(String) -> String, false), (may_not, true)] {
        let mut engine = Peer::with_full_backlog("e1");
        let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, change);
        let mut client = pg::Client::connect(gateway.pg);
        client.send(&text("load", 1));
        gateway.wait_for_log("connection opened");
        drop(client);
        wait_client_left(&gateway, 1);
        engine.drain_backlog();
        // Where it was not closed it is up at last, long after its request has gone: it may carry another's.
        let wire = comes_up.then(|| engine.accept());
        let ran = ran();
        let late = thread::spawn({
            let ran = ran.clone();
            move || {
                let Some(mut wire) = wire else { return };
                while let Some(call) = wire.next_call() {
                    ran.lock().unwrap().push(call.query_id().to_owned());
                    wire.send_row(call.query_id());
                }
            }
        });
        serve_all_queries(engine, ran.clone());
        let n = served(&gateway, "load", 100);
        drop(gateway);
        late.join().unwrap();
        assert_eq!(*ran.lock().unwrap(), [id(n)]);
    }
}

#[test]
fn a_request_whose_client_leaves_between_two_attempts_is_not_retried() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (client, mut wire) = request_in_flight(&engine, &gateway, "load");
    // Full, so that it rests before the next attempt.
    wire.send("HTTP/1.1 503 x\r\nX-Shed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    gateway.wait_for_log("attempt ended query_id=\"0000000000000001\"");
    drop(client);
    wait_client_left(&gateway, 1);
    let ran = ran();
    serve_all_queries(engine, ran.clone());
    let n = served(&gateway, "load", 100);
    assert_eq!(*ran.lock().unwrap(), [id(n)]);
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
fn a_flood_behind_a_request_ends_its_session_alone() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (mut client, mut other) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    client.send(&text("load", 1));
    let mut wire = engine.accept();
    wire.read_call();
    for _ in 0..16 {
        assert!(client.try_send_garbage(256 << 10));
        assert_eq!(other.query(";"), pg::Answer::Empty, "others are read beside it");
    }
    wire.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1), "what it asked for is answered");
    assert_eq!(error_code(&client.answer()), "54000", "and what cannot be understood behind it, once");
    assert!(client.is_closed());
    let (_, log) = gateway.end();
    assert!(log.contains("invalid=1"), "{log}");
}

#[test]
fn a_cancel_request_may_overtake_the_request_that_it_names() {
    let engine = Peer::new("e1");
    let operator = "[clients]\nmost_sessions = 180\nturn_ms = 1";
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, operator, None, |t| t);
    let ran = ran();
    serve_all_queries(engine, ran.clone());
    let mut crowd: Vec<_> = (0..140).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut client = pg::Client::connect(gateway.pg);
    // All of them wait to be read, the one behind the others; the cancel comes over a new connection.
    let _cancel = gateway.while_paused(|| {
        for (n, one) in crowd.iter_mut().enumerate() {
            one.send(&text("lookup", 1000 + n as u64));
        }
        client.send(&text("lookup", 1));
        pg::Client::send_cancel(gateway.pg, client.key)
    });
    assert_eq!(error_code(&client.answer()), "57014");
    for one in &mut crowd {
        one.answer();
    }
    assert!(!ran.lock().unwrap().contains(&id(1)), "nothing of it was sent");
    // A wrong key, and one whose request is over, end nothing.
    let key = client.key;
    pg::Client::cancel(gateway.pg, key);
    pg::Client::cancel(gateway.pg, [key[0], key[1], key[2], key[3], key[4], key[5], key[6], !key[7]]);
    let n = served(&gateway, "lookup", 100);
    assert!(ran.lock().unwrap().contains(&id(n)));
}

#[test]
fn a_late_duplicate_response_is_taken_for_no_other_query() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    thread::spawn(move || {
        loop {
            let mut wire = engine.accept();
            thread::spawn(move || {
                while let Some(call) = wire.next_call() {
                    if call.method == "POST" {
                        wire.send_row(call.query_id());
                        thread::sleep(Duration::from_millis(5));
                        wire.send_row(call.query_id());
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

/// The second answer to a call that asks for news makes the next call's look like an answer too many: the connection
/// seems to be at rest while one is still to come, from an engine that stands still for longer than it rests.
#[test]
fn a_connection_with_a_duplicate_response_is_not_reused() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let (mut client, mut other) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    client.send(&text("lookup", 1));
    let mut wire = engine.accept();
    assert_eq!(wire.read_call().query_id(), id(1));
    let later = "HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n";
    wire.send(later);
    assert_eq!(wire.read_call().method, "GET");
    wire.send(later);
    assert_eq!(wire.read_call().method, "GET");
    wire.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1));
    thread::sleep(Duration::from_millis(40));
    other.send(&text("lookup", 2));
    thread::sleep(Duration::from_millis(40));
    wire.try_send(&row_response(&id(1)));
    serve_all_queries(engine, ran());
    assert_eq!(other.answer(), row_answer(2), "not what was the first one's");
}

/// Settings in which a class may be repeated for so many seconds.
fn keyed(config: &str, class: &str, window: f64) -> String {
    let token =
        format!("\"name\":\"{class}\",\"repeat\":\"token\",\"group\":\"all\",\"window-s\":{window:.1}");
    let changed = config.replace(&format!("\"name\":\"{class}\",\"repeat\":\"pure\""), &token);
    assert_ne!(changed, config);
    patient_connects(changed)
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
    let mut wire = engine.accept();
    assert!(!wire.read_call().headers.contains_key("x-nonce"), "none of the gateway's own making");
    wire.send(&row_response(&id(2)).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    assert_eq!(client.answer(), row_answer(2));
    client.send(&query("16d2cf6db534bf77e12ba3280ca951ca"));
    let mut wire = engine.accept();
    for attempt in 0..2 {
        let call = wire.read_call();
        assert_eq!(call.headers["x-nonce"], "16d2cf6db534bf77e12ba3280ca951ca", "attempt {attempt}");
        assert_eq!(call.query_id(), id(1));
        if attempt == 0 {
            wire.send("HTTP/1.1 503 x\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }
    wire.send_row(&id(1));
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
    let mut wire = one.accept();
    assert_eq!(wire.read_call().query_id(), id(1));
    watch.send_event(2, &format!("{},{}", two.entry("Ready"), one.entry("Terminating")));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    wire.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
    gateway.wait_for_log("attempt ended query_id=\"0000000000000001\"");
    // Only a connection that was begun before can have been kept out.
    gateway.wait_for_log("connection opened engine=1");
    // A connection that was not let in is tried again by the kernel after a second, twice the window.
    two.drain_backlog();
    assert!(error_code(&client.answer()).starts_with("53"), "repeats are known as such everywhere");
    let ran = ran();
    serve_all_queries(two, ran.clone());
    let n = served(&gateway, "lookup", 100);
    assert!(!ran.lock().unwrap().contains(&id(1)), "the window was over");
    assert!(ran.lock().unwrap().contains(&id(n)));
}

#[test]
fn nothing_is_forwarded_to_an_engine_that_drains_while_its_connection_is_established() {
    let (mut one, two, discovery) = (Peer::with_full_backlog("e1"), Peer::new("e2"), Peer::new("c"));
    let change = patient_connects;
    let gateway = Gateway::with_endpoints(&one.entry("Ready"), Some(discovery.address), "", None, change);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text("load", 1));
    gateway.wait_for_log("connection opened");
    watch.send_event(2, &format!("{},{}", one.entry("Terminating"), two.entry("Ready")));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    let elsewhere = ran();
    serve_all_queries(two, elsewhere.clone());
    one.drain_backlog();
    assert_eq!(client.answer(), row_answer(1), "it never ran, so it may go elsewhere");
    assert_eq!(*elsewhere.lock().unwrap(), [id(1)]);
    // Its connection is of no use; whatever comes over it is no call.
    let n = served(&gateway, "load", 100);
    assert_eq!(*elsewhere.lock().unwrap(), [id(1), id(n)]);
    // The log is read as it comes; up to this line it is whole.
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
    serve_all_queries(two, ran());
    assert_eq!(client.answer(), row_answer(1));
    assert!(one.has_no_pending_connection());
}

#[test]
fn calls_for_a_removed_engine_do_not_reach_another_at_its_address() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    let (mut client, wire) = request_in_flight(&engine, &gateway, "report");
    let heir = engine.entry("Ready").replace("\"e1\"", "\"e2\"");
    watch.send_event(2, &format!("{},{heir}", engine.entry("Gone")));
    gateway.wait_for_log("name=\"e2\" state=Ready");
    wire.reset();
    // Neither asked for nor given up where nobody knows it.
    assert!(error_code(&client.answer()).starts_with("53"));
    client.send(&text("report", 2));
    let mut wire = engine.accept();
    let call = wire.read_call();
    assert_eq!((call.method.as_str(), call.query_id()), ("POST", id(2).as_str()));
    wire.send_row(&id(2));
    assert_eq!(client.answer(), row_answer(2));
}

/// The whole call was written and nothing came: the engine may have closed the connection as idle, or run the query.
#[test]
fn a_call_whose_connection_is_closed_as_it_is_written_is_retried_as_its_class_allows() {
    let unknown = "HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    for (class, again) in [("report", true), ("load", false)] {
        let engine = Peer::new("e1");
        let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
        let (mut client, wire) = request_in_flight(&engine, &gateway, class);
        drop(wire);
        // The engine is asked whether it knows the query.
        let mut asked = engine.accept();
        assert_eq!(asked.read_call().path, format!("/data/{}/0", id(1)));
        asked.send(unknown);
        if again {
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
    let (mut again, last) = discovery.accept_watch();
    assert_eq!(last, 1, "the second has not come");
    assert!(watch.is_closed(), "one stream at a time");
    again.send_stream_head();
    again.send_event(2, &one.entry("Terminating"));
    again.send_event(3, &two.entry("Terminating"));
    gateway.wait_for_log("name=\"e2\" state=Draining");
    assert!(gateway.log().contains("name=\"e1\" state=Draining"), "in their order");
    // What is not there the second time either is not waited for; an old one changes nothing.
    again.send_event(6, &one.entry("Ready"));
    let (mut last_one, last) = discovery.accept_watch();
    assert_eq!(last, 3);
    last_one.send_stream_head();
    last_one.send_event(6, &one.entry("Ready"));
    gateway.wait_for_log("name=\"e1\" state=Ready since_ms=0 now_us=");
    last_one.send_event(5, &one.entry("Gone"));
    last_one.send_event(7, &two.entry("Gone"));
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
    let (mut again, last) = discovery.accept_watch();
    assert_eq!(last, 1);
    again.send_stream_head();
    again.send_event(2, &one.entry("Terminating"));
    again.send_event(6, "");
    let (_third, last) = discovery.accept_watch();
    assert_eq!(last, 2, "the second has come, and is not asked for again");
    gateway.wait_for_log("name=\"e1\" state=Draining");
}

#[test]
fn an_endpoint_stream_without_an_end_of_line_is_given_up_as_silent() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, |t| t);
    let (mut watch, _) = discovery.accept_watch();
    watch.send_stream_head();
    watch.send(": here\n\n");
    // Half a character of half a line, byte by byte.
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
    // The connection that was given up may have come up after all, and ends without a call.
    let mut wire = discovery.accept();
    let call = wire.next_call().unwrap_or_else(|| discovery.accept().read_call());
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
    // The next one never gets a head; discovery moves meanwhile.
    let (mut mute, last) = old.accept_watch();
    assert_eq!(last, 1);
    gateway.reconfigure(|t| t.replace(&old.address.to_string(), &new.address.to_string()));
    let (mut moved, last) = new.accept_watch();
    assert_eq!(last, 1);
    assert!(mute.is_closed(), "two streams never feed one list");
    moved.send_stream_head();
    moved.send_event(2, &two.entry("Terminating"));
    gateway.wait_for_log("name=\"e2\" state=Draining");
    // Broken in the middle of a line: it is asked for behind the last whole event.
    moved.send("id: 3\ndata: {\"index\":3,\"endp");
    moved.reset();
    let (mut whole, last) = new.accept_watch();
    assert_eq!(last, 2);
    whole.send_stream_head();
    whole.send_event(3, &one.entry("Terminating"));
    gateway.wait_for_log("name=\"e1\" state=Draining");
    drop(old);
}

#[test]
fn settings_changed_in_the_file_wait_for_a_restart_and_are_logged_once() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let mut client = pg::Client::connect(gateway.pg);
    client.send(&text("report", 1));
    let mut wire = engine.accept();
    assert_eq!(wire.read_call().headers["x-queue"], "report");
    // The class that is out has another name, and the others other places.
    gateway.reconfigure(|t| {
        t.replace("\"report\"", "\"digest\"").replace("\"lookup\"", "\"load\"").replacen(
            "\"name\":\"load\",\"repeat\":\"side",
            "\"name\":\"lookup\",\"repeat\":\"side",
            1,
        )
    });
    gateway.wait_for_log("classes_gone=[\"report\"] classes_new=[\"digest\"]");
    wire.send_row(&id(1));
    assert_eq!(client.answer(), row_answer(1), "what is out ends as it was taken");
    assert_eq!(error_code(&client.query(&text("digest", 2))), "42601", "a class of the next start");
    client.send(&text("report", 3));
    assert_eq!(wire.read_call().headers["x-queue"], "report");
    assert_eq!(gateway.log().matches("settings in the file differ from those in force").count(), 1);
}

#[test]
fn a_signal_to_a_starting_process_neither_ends_it_nor_is_lost() {
    for signal in ["-HUP", "-USR1", "-TERM"] {
        let engine = Peer::new("e1");
        let starting = Gateway::spawn_waiting(&engine.entry("Ready"));
        // It waits for its configuration.
        starting.signal(signal);
        let gateway = starting.configure();
        match signal {
            "-HUP" => gateway.wait_for_log("configuration read again"),
            "-USR1" => gateway.wait_for_log("counters="),
            _ => assert_eq!(gateway.wait().0, Some(0)),
        }
    }
}

#[test]
fn sigterm_serves_connections_and_requests_of_the_last_moment() {
    let engine = Peer::new("e1");
    // More come than a turn carries.
    let operator = "[clients]\nmost_sessions = 180\nturn_ms = 1";
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, operator, None, |t| t);
    let ran = ran();
    serve_all_queries(engine, ran.clone());
    let mut resting = pg::Client::connect(gateway.pg);
    let mut crossing: Vec<_> = (0..70).map(|_| pg::Client::connect(gateway.pg)).collect();
    let (mut half, mut starting) = (pg::Client::connect(gateway.pg), pg::Client::without_startup(gateway.pg));
    half.send_raw(b"Q\0\0\0\x40/* c=lookup");
    starting.send_raw(&[0, 0, 0, 40, 0, 3]);
    assert_eq!(half.clone().key, half.key);
    gateway.terminate();
    gateway.wait_for_log("graceful shutdown begins");
    gateway.terminate();
    // All of this is there when the time for taking is over.
    let late = gateway.while_paused(|| {
        thread::sleep(Duration::from_millis(900));
        for (n, client) in crossing.iter_mut().enumerate() {
            // Long ones, so that not all of them are read in one turn.
            client.send(&(text("lookup", n as u64) + &" ".repeat(60_000)));
        }
        (100..190).map(|n| pg::Client::pipelined(gateway.pg, &text("lookup", n))).collect::<Vec<_>>()
    });
    for client in &mut crossing {
        assert!(error_code(&client.answer()).starts_with("53"), "refused, as nothing is sent on any more");
    }
    for mut client in late {
        let answer = client.wait_error_code();
        assert!(answer.starts_with("53") || answer == "57P03", "{answer}");
    }
    assert_eq!(error_code(&half.answer()), "57P03");
    assert_eq!(error_code(&starting.answer()), "57P03");
    assert!(resting.is_closed() && half.is_closed(), "an end, no reset");
    assert!(ran.lock().unwrap().is_empty());
    let (exit, log) = gateway.wait();
    assert_eq!(exit, Some(0), "{log}");
}

#[test]
fn sigterm_answers_all_requests_in_flight_before_exit() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    // Deadlines beyond all patience here: whoever waited for them would not be answered.
    let long = |t: String| t.replace("\"deadline-s\":2", "\"deadline-s\":32");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", None, long);
    // Discovery answers nothing, and moves in the very turn of the signal.
    let (_mute, _) = discovery.accept_watch();
    let mut clients: Vec<_> = (0..3).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut wires = Vec::new();
    for (n, (client, class)) in clients.iter_mut().zip(["report", "load", "report"]).enumerate() {
        client.send(&text(class, n as u64 + 1).replace("d=20000", "d=300000"));
        if n < 2 {
            let mut wire = engine.accept();
            assert_eq!(wire.read_call().query_id(), id(n as u64 + 1));
            // It hangs, and says so.
            wire.send("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            wires.push(wire);
        }
        wait_admitted(&gateway, n as u64 + 1);
    }
    let news = wires.into_iter().map(|mut wire| {
        thread::spawn(move || {
            while wire.next_call().is_some() {
                thread::sleep(Duration::from_millis(100));
                wire.send("HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n");
            }
        })
    });
    let news: Vec<_> = news.collect();
    gateway.while_paused(|| {
        gateway.signal("-HUP");
        gateway.terminate();
    });
    // Their engine would run them for minutes; repeats of a report do no harm, those of a load would.
    assert!(error_code(&clients[0].answer()).starts_with("53"));
    assert_eq!(error_code(&clients[1].answer()), "58000");
    assert!(error_code(&clients[2].answer()).starts_with("53"));
    assert!(clients.iter_mut().all(pg::Client::is_closed));
    let (exit, log) = gateway.wait();
    assert_eq!(exit, Some(0), "{log}");
    drop(engine);
    news.into_iter().for_each(|n| n.join().unwrap());
}

#[test]
fn idle_clients_that_hold_all_descriptors_are_evicted_for_engines_watch_and_new_clients() {
    let (engine, discovery) = (Peer::new("e1"), Peer::new("c"));
    // Fewer descriptors than the configuration says: they run out long before the places do.
    let gateway =
        Gateway::with_endpoints(&engine.entry("Ready"), Some(discovery.address), "", Some(64), |t| t);
    let (watch, _) = discovery.accept_watch();
    let address = discovery.address;
    drop((watch, discovery));
    // Discovery is down: what it held may be taken by clients.
    let mut clients: Vec<_> = (0..80).map(|_| pg::Client::connect(gateway.pg)).collect();
    let mut asking = clients.split_off(76);
    for (n, client) in asking.iter_mut().enumerate() {
        client.send(&text("lookup", n as u64));
    }
    // All of them are out at once, each over a connection of its own.
    let mut wires: Vec<_> = (0..asking.len()).map(|_| engine.accept()).collect();
    for wire in &mut wires {
        let query_id = wire.read_call().query_id().to_owned();
        wire.send_row(&query_id);
    }
    for (n, client) in asking.iter_mut().enumerate() {
        assert_eq!(client.answer(), row_answer(n as u64), "an engine is reached");
    }
    drop(wires);
    serve_all_queries(engine, ran());
    served(&gateway, "lookup", 100);
    let back = Peer::bind("c", address);
    let (mut watch, _) = back.accept_watch();
    watch.send_stream_head();
    watch.send_event(2, "");
    let turns = gateway.turns();
    thread::sleep(Duration::from_millis(200));
    assert!(gateway.turns() - turns < 100, "it does not spin");
    assert!(clients[0].is_closed(), "the one idle for longest has yielded");
    assert_eq!(asking[3].query(";"), pg::Answer::Empty);
}

#[test]
fn a_restarted_process_is_ready_whatever_the_discovery_service_does() {
    let list = (0..4000).map(|n| {
        format!(
            "{{\"name\":\"e{n}\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"type\":\"k\",\"group\":{},\"status\":\"Ready\",\"weight\":1,\"since_ms\":0}}",
            n % 50
        )
    });
    let list = list.collect::<Vec<_>>().join(",");
    let mute = Peer::new("c");
    let down = Peer::new("d").address;
    for discovery in [mute.address, down] {
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
    serve_all_queries(engine, ran());
    let (mut crossing, mut idle) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    gateway.while_paused(|| {
        thread::sleep(Duration::from_millis(1200));
        crossing.send(&text("lookup", 1));
    });
    assert_eq!(crossing.answer(), row_answer(1));
    assert!(idle.is_closed());
}

#[test]
fn a_response_that_is_cut_off_is_called_for_again_and_a_load_runs_once() {
    let engine = Peer::new("e1");
    let gateway = Gateway::with_endpoints(&engine.entry("Ready"), None, "", None, |t| t);
    let mut client = pg::Client::connect(gateway.pg);
    let whole = row_response(&id(1));
    let head = whole.find("\r\n\r\n").unwrap();
    // In the head, between head and body, in the body, a length that lies, one that never ends.
    for cut in [5, head + 4, whole.len() - 3] {
        client.send(&text("load", 1));
        let mut wire = engine.accept();
        assert_eq!(wire.read_call().method, "POST");
        wire.send(&whole[..cut]);
        wire.shutdown_write();
        let mut again = engine.accept();
        let call = again.read_call();
        assert_eq!((call.method.as_str(), call.path), ("GET", format!("/data/{}/0", id(1))));
        again.send(&whole);
        assert_eq!(client.answer(), row_answer(1));
        again.reset();
        gateway.wait_for_log("connection closed");
    }
}
