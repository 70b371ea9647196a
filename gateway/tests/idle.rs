//! Guards the gateway program with many sessions: bursts of queries and connections, slow, flooding and silent
//! clients, and exhaustion of file descriptors and memory. No check depends on the speed of the machine.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Engine, Gateway, Recorder, mysql, pg};

fn statement(class: &str, id: u64) -> String {
    format!("/* c={class},i={id:016x},d=20000,h=20 */ SELECT v FROM a_1.b")
}

/// Whether a request was served. Panics unless the answer is a result or a rejection for lack of resources.
fn is_served(answer: &pg::Answer) -> bool {
    match answer {
        pg::Answer::Rows(_) | pg::Answer::Empty => true,
        pg::Answer::Error(code, _) if code.starts_with("53") => false,
        other => panic!("{other:?}"),
    }
}

fn connect_idle(gateway: &Gateway, n: usize) -> Vec<pg::Client> {
    (0..n).map(|_| pg::Client::connect(gateway.pg)).collect()
}

/// Starts a gateway whose session limit is above the default, which is derived from its number of sockets.
fn gateway_with_many_sessions(engines: &[&Engine], extra_settings: &str) -> Gateway {
    Gateway::start_with_options(
        engines,
        false,
        None,
        &format!("[clients]\nmost_sessions = 180\n{extra_settings}"),
        None,
    )
}

#[test]
fn bursts_of_queries_and_reconnections_are_answered_without_evictions() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1500);
    let gateway = gateway_with_many_sessions(&[&engine], "");
    let mut suspended = connect_idle(&gateway, 120);
    // One request stays open during all rounds.
    let mut open = pg::Client::connect(gateway.pg);
    open.send(&statement("report", 1));
    while recorder.query_count() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    engine.set_work_ms(2);
    let stop = Arc::new(AtomicBool::new(false));
    let active = thread::spawn({
        let (stop, mut client) = (stop.clone(), pg::Client::connect(gateway.pg));
        move || {
            let mut served = 0;
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return served;
                }
                served += usize::from(is_served(&client.query(&statement("lookup", 0xa000 + n))));
            }
            served
        }
    });
    for round in 0..5 {
        let old = suspended.split_off(108);
        for (n, client) in suspended.iter_mut().take(60).enumerate() {
            let id = 0x10_0000 + round * 1000 + n as u64;
            client.send(&if n % 2 == 0 { statement("lookup", id) } else { ";".to_owned() });
        }
        let reconnected = connect_idle(&gateway, 12);
        drop(old);
        for client in suspended.iter_mut().take(60) {
            is_served(&client.answer());
        }
        suspended.rotate_left(60);
        suspended.extend(reconnected);
    }
    stop.store(true, Ordering::SeqCst);
    assert!(active.join().unwrap() > 0, "the active client must have been served");
    assert!(is_served(&open.answer()), "the open request must be served");
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(log.contains("evicted=0"), "{log}");
}

#[test]
fn idle_sessions_are_evicted_when_all_clients_reconnect_before_disconnecting() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = Gateway::start(&[&engine], false);
    let mut old = connect_idle(&gateway, gateway.max_clients());
    let mut new = connect_idle(&gateway, gateway.max_clients());
    for (n, client) in new.iter_mut().enumerate() {
        assert!(is_served(&client.query(&statement("lookup", n as u64))));
    }
    assert!(old.iter_mut().all(pg::Client::is_closed), "each old session must be evicted");
    let (_, log) = gateway.end();
    assert!(log.contains(&format!("evicted={} ", old.len())) && log.contains("turned_away=0"), "{log}");
}

#[test]
fn many_silent_connections_evict_no_suspended_session() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = gateway_with_many_sessions(&[&engine], "");
    let mut suspended = connect_idle(&gateway, 120);
    // The connections exceed the session limit within the eviction grace period of incomplete messages.
    let silent: Vec<_> = (0..500)
        .map(|_| {
            thread::sleep(Duration::from_micros(500));
            pg::Client::without_startup(gateway.pg)
        })
        .collect();
    for (n, client) in suspended.iter_mut().enumerate() {
        assert!(
            is_served(&client.query(&statement("lookup", n as u64))),
            "a suspended session must not be evicted"
        );
    }
    drop(silent);
}

#[test]
fn a_message_that_arrives_too_slowly_times_out() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = Gateway::start(&[&engine], false);
    let mut client = pg::Client::connect(gateway.pg);
    let stop = Arc::new(AtomicBool::new(false));
    let mut slow_writer = client.clone();
    let writing = thread::spawn({
        let stop = stop.clone();
        move || {
            slow_writer.send_raw(b"Q\0\0\x10\0");
            while !stop.load(Ordering::SeqCst) {
                slow_writer.send_raw(b" ");
                thread::sleep(Duration::from_millis(200));
            }
        }
    });
    let pg::Answer::Error(code, _) = client.answer() else { panic!("an error is expected") };
    assert_eq!(code, "57014");
    stop.store(true, Ordering::SeqCst);
    writing.join().unwrap();
}

#[test]
fn a_client_that_sends_without_reading_gets_all_answers_later_and_delays_no_other() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = Gateway::start(&[&engine], false);
    let flood = pg::Client::connect(gateway.pg);
    let mut writer = flood.clone();
    let count = 400_000;
    let writing = thread::spawn(move || {
        let queries: Vec<u8> = b"Q\0\0\0\x05\0".repeat(1000);
        (0..count / 1000).for_each(|_| writer.send_raw(&queries));
    });
    let mut client = pg::Client::connect(gateway.pg);
    for n in 0..50 {
        assert!(is_served(&client.query(&statement("lookup", n))));
    }
    let mut flood = flood;
    for _ in 0..count {
        assert_eq!(flood.answer(), pg::Answer::Empty);
    }
    writing.join().unwrap();
    let (_, log) = gateway.end();
    let held_bytes: usize = common::last_counter(&log, "most_held=");
    assert!(held_bytes < 4 << 20, "unread answers must not be buffered in the gateway: {held_bytes}");
}

#[test]
fn hundreds_of_pipelined_requests_are_each_run_and_answered_once() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 0);
    let gateway = Gateway::start(&[&engine], false);
    let mut client = pg::Client::connect(gateway.pg);
    for n in 0..300 {
        client.send(&statement("lookup", n));
    }
    let mut other = pg::Client::connect(gateway.pg);
    assert!(is_served(&other.query(&statement("lookup", 999))));
    for _ in 0..300 {
        assert!(is_served(&client.answer()));
    }
    for n in 0..300 {
        assert_eq!(recorder.engines_of(&format!("{n:016x}")).len(), 1);
    }
}

#[test]
fn idle_sessions_are_evicted_when_descriptors_run_out() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = Gateway::start_with_options(&[&engine], false, None, "", Some(48));
    // The descriptor limit of the process is far below the configured number of sockets.
    let mut clients = Vec::new();
    for n in 0..70 {
        let mut client = pg::Client::connect(gateway.pg);
        assert!(
            n >= 10 || is_served(&client.query(&statement("lookup", n))),
            "descriptors for engine connections must be free at first"
        );
        clients.push(client);
    }
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(common::last_counter(&log, "evicted=") >= 22, "{log}");
    assert!(common::last_counter(&log, "turned_away=") == 0, "{log}");
}

#[test]
fn a_new_client_gets_an_error_when_descriptors_run_out_and_no_session_is_idle() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 30_000);
    let gateway = Gateway::start_with_options(&[&engine], false, None, "", Some(48));
    // Each session has an open request, queued or in flight.
    let mut busy = Vec::new();
    for n in 0..20 {
        let mut client = pg::Client::connect(gateway.pg);
        client.send(&statement("report", n));
        busy.push(client);
    }
    while recorder.query_count() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    // New silent connections use the remaining descriptors and are not evicted within their grace period.
    let began = Instant::now();
    let mut rejected = 0;
    while rejected == 0 {
        assert!(began.elapsed() < Duration::from_secs(60), "no client was rejected");
        let silent: Vec<_> = (0..30).map(|_| pg::Client::without_startup(gateway.pg)).collect();
        rejected =
            silent.into_iter().filter_map(pg::Client::into_error_code).filter(|c| c == "53300").count();
    }
    engine.set_work_ms(1);
    let mut after = loop {
        if let Some(client) = pg::Client::try_connect(gateway.pg) {
            break client;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(after.query(";"), pg::Answer::Empty, "clients must be served once descriptors are free again");
    drop(busy);
}

#[test]
fn sessions_idle_beyond_the_configured_limit_are_closed_and_active_ones_are_not() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = gateway_with_many_sessions(&[&engine], "idle_limit_s = 1\n");
    let (mut silent, mut active) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    let stop = Arc::new(AtomicBool::new(false));
    let querying = thread::spawn({
        let stop = stop.clone();
        move || {
            while !stop.load(Ordering::SeqCst) {
                assert_eq!(active.query(";"), pg::Answer::Empty);
                thread::sleep(Duration::from_millis(20));
            }
        }
    });
    assert!(silent.is_closed());
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::SeqCst);
    querying.join().unwrap();
    let (_, log) = gateway.end();
    assert!(log.contains("idle_closed=1 "), "{log}");
}

#[test]
fn prepared_statements_of_suspended_sessions_stay_within_their_memory_limit() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway =
        Gateway::start_with_options(&[&engine], true, None, "[clients]\nmost_sessions = 180\n", None);
    let mut first = mysql::Client::connect(gateway.mysql());
    let (handle, _) = first.prepare("/* c=lookup,h=20 */ SELECT v FROM a_1.b WHERE c = ?").unwrap();
    // Prepared statements may use an eighth of the 192 MB of the process, which is less than these statements need.
    let large_statement =
        |n| format!("/* c=lookup,h=20 */ SELECT '{}' FROM a_1.b WHERE c = ?", "x".repeat(n));
    let (mut others, mut rejected) = (Vec::new(), 0);
    for _ in 0..170 {
        let mut client = mysql::Client::connect(gateway.mysql());
        for text in [large_statement(120_000), large_statement(60_000)] {
            match client.prepare(&text) {
                Ok(_) => {}
                Err(mysql::Answer::Error(code, ..)) => {
                    assert_eq!(code, 1461);
                    rejected += 1;
                }
                Err(other) => panic!("{other:?}"),
            }
        }
        others.push(client);
    }
    assert!(rejected >= 20, "{rejected}");
    let mysql::Answer::Rows(rows) = first.execute(handle, &["7"], &[]) else { panic!("no rows") };
    assert_eq!(rows[1], "7", "the first statement must be retained");
    drop(others);
    let (_, log) = gateway.end();
    let held_bytes: usize = common::last_counter(&log, "most_held=");
    assert!(held_bytes < 30 << 20, "{held_bytes}");
}

#[test]
fn the_event_loop_does_not_run_while_all_sessions_are_idle() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = gateway_with_many_sessions(&[&engine], "");
    let mut clients = connect_idle(&gateway, 100);
    assert_eq!(clients[0].query(";"), pg::Answer::Empty);
    // All sessions are suspended after this time.
    thread::sleep(Duration::from_millis(300));
    let before = gateway.turns();
    thread::sleep(Duration::from_secs(3));
    assert_eq!(gateway.turns() - before, 1, "only the turn that logs the counters");
}

/// Guards the memory budget: a session must release its memory when it is suspended and when it ends.
#[test]
fn memory_reserved_for_requests_is_released_however_they_end() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 0);
    let gateway =
        Gateway::start_with_options(&[&engine], true, None, "[clients]\nmost_sessions = 100\n", None);
    let mut clients = connect_idle(&gateway, 4);
    let mut mysql_clients: Vec<_> = (0..4).map(|_| mysql::Client::connect(gateway.mysql())).collect();
    for n in 0..200 {
        assert!(is_served(&clients[n as usize % 4].query(&statement("lookup", n))));
        assert_eq!(clients[n as usize % 4].query("SELECT 1 without fields"), clients[0].query("SELECT 1 x"));
        mysql_clients[n as usize % 4].query("/* c=lookup,h=20 */ SELECT v FROM a_1.b", &[]);
    }
    // One request is open, and another client disconnects with an incomplete message.
    engine.set_work_ms(1000);
    clients[0].send(&statement("lookup", 1000));
    clients[1].send_raw(b"Q\0\0\x10\0half");
    thread::sleep(Duration::from_millis(100));
    clients.truncate(1);
    is_served(&clients[0].answer());
    drop(mysql_clients);
    thread::sleep(Duration::from_millis(300));
    let (_, log) = gateway.end();
    for key in ["held_buffers=", "held_requests=", "held_results=", "held_statements="] {
        assert_eq!(common::last_counter(&log, key), 0, "{key} of {log}");
    }
}
