//! Many sessions on the real program: surges of sessions that wake up or connect, clients that trickle, flood or fall silent,
//! and descriptors and memory that run out. No verdict rests on how fast the machine is.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Engine, Gateway, Recorder, mysql, pg};

fn text(class: &str, id: u64) -> String {
    format!("/* c={class},i={id:016x},d=20000,h=20 */ SELECT v FROM a_1.b")
}

/// One answer or one clear refusal; anything else is a fault.
fn is_served(answer: &pg::Answer) -> bool {
    match answer {
        pg::Answer::Rows(_) | pg::Answer::Empty => true,
        pg::Answer::Error(code, _) if code.starts_with("53") => false,
        other => panic!("{other:?}"),
    }
}

fn idle(gateway: &Gateway, n: usize) -> Vec<pg::Client> {
    (0..n).map(|_| pg::Client::connect(gateway.pg)).collect()
}

/// A gateway with more sessions than its descriptors would have by themselves.
fn large(engines: &[&Engine], more: &str) -> Gateway {
    Gateway::start_with_options(
        engines,
        false,
        None,
        &format!("[clients]\nmost_sessions = 180\n{more}"),
        None,
    )
}

#[test]
fn half_of_all_wake_up_while_a_tenth_reconnects_and_each_is_answered() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1500);
    let gateway = large(&[&engine], "");
    let mut parked = idle(&gateway, 120);
    // One request is open all the while.
    let mut open = pg::Client::connect(gateway.pg);
    open.send(&text("report", 1));
    while seen.query_count() == 0 {
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
                served += usize::from(is_served(&client.query(&text("lookup", 0xa000 + n))));
            }
            served
        }
    });
    for round in 0..5 {
        let old = parked.split_off(108);
        for (n, client) in parked.iter_mut().take(60).enumerate() {
            let id = 0x10_0000 + round * 1000 + n as u64;
            client.send(&if n % 2 == 0 { text("lookup", id) } else { ";".to_owned() });
        }
        let anew = idle(&gateway, 12);
        drop(old);
        for client in parked.iter_mut().take(60) {
            is_served(&client.answer());
        }
        parked.rotate_left(60);
        parked.extend(anew);
    }
    stop.store(true, Ordering::SeqCst);
    assert!(active.join().unwrap() > 0, "who was active went on being served");
    assert!(is_served(&open.answer()), "and the open request is unhurt");
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(log.contains("evicted=0"), "{log}");
}

#[test]
fn all_reconnect_before_the_ends_of_their_old_connections_are_seen() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = Gateway::start(&[&engine], false);
    let mut old = idle(&gateway, gateway.max_clients());
    let mut new = idle(&gateway, gateway.max_clients());
    for (n, client) in new.iter_mut().enumerate() {
        assert!(is_served(&client.query(&text("lookup", n as u64))));
    }
    assert!(old.iter_mut().all(pg::Client::is_closed), "the old ones have yielded, each by its end");
    let (_, log) = gateway.end();
    assert!(log.contains(&format!("evicted={} ", old.len())) && log.contains("turned_away=0"), "{log}");
}

#[test]
fn a_silent_surge_evicts_no_suspended_session() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = large(&[&engine], "");
    let mut parked = idle(&gateway, 120);
    // They connect faster than a silent one can be distinguished from a slow one, and are more than there are places.
    let silent: Vec<_> = (0..500)
        .map(|_| {
            thread::sleep(Duration::from_micros(500));
            pg::Client::without_startup(gateway.pg)
        })
        .collect();
    for (n, client) in parked.iter_mut().enumerate() {
        assert!(is_served(&client.query(&text("lookup", n as u64))), "it has kept its place");
    }
    drop(silent);
}

#[test]
fn a_message_that_trickles_in_times_out_as_one_that_does_not_come() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = Gateway::start(&[&engine], false);
    let mut client = pg::Client::connect(gateway.pg);
    let told = Arc::new(AtomicBool::new(false));
    let mut trickle = client.clone();
    let trickler = thread::spawn({
        let told = told.clone();
        move || {
            trickle.send_raw(b"Q\0\0\x10\0");
            while !told.load(Ordering::SeqCst) {
                trickle.send_raw(b" ");
                thread::sleep(Duration::from_millis(200));
            }
        }
    });
    let pg::Answer::Error(code, _) = client.answer() else { panic!("no error") };
    assert_eq!(code, "57014");
    told.store(true, Ordering::SeqCst);
    trickler.join().unwrap();
}

#[test]
fn a_client_that_floods_and_reads_nothing_is_answered_in_full_when_it_does_and_delays_no_other() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = Gateway::start(&[&engine], false);
    let flood = pg::Client::connect(gateway.pg);
    let mut writer = flood.clone();
    let count = 400_000;
    let writing = thread::spawn(move || {
        let some: Vec<u8> = b"Q\0\0\0\x05\0".repeat(1000);
        (0..count / 1000).for_each(|_| writer.send_raw(&some));
    });
    let mut client = pg::Client::connect(gateway.pg);
    for n in 0..50 {
        assert!(is_served(&client.query(&text("lookup", n))));
    }
    let mut flood = flood;
    for _ in 0..count {
        assert_eq!(flood.answer(), pg::Answer::Empty);
    }
    writing.join().unwrap();
    let (_, log) = gateway.end();
    let held: usize = common::last_counter(&log, "most_held=");
    assert!(held < 4 << 20, "what it did not read was not held here: {held}");
}

#[test]
fn hundreds_of_requests_in_one_go_are_answered_each_and_in_order() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 0);
    let gateway = Gateway::start(&[&engine], false);
    let mut client = pg::Client::connect(gateway.pg);
    for n in 0..300 {
        client.send(&text("lookup", n));
    }
    let mut other = pg::Client::connect(gateway.pg);
    assert!(is_served(&other.query(&text("lookup", 999))));
    for _ in 0..300 {
        assert!(is_served(&client.answer()));
    }
    for n in 0..300 {
        assert_eq!(seen.engines_of(&format!("{n:016x}")).len(), 1);
    }
}

#[test]
fn out_of_descriptors_idle_sessions_are_evicted() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = Gateway::start_with_options(&[&engine], false, None, "", Some(48));
    // Far fewer than its budget says: the system does not keep to that.
    let mut held = Vec::new();
    for n in 0..70 {
        let mut client = pg::Client::connect(gateway.pg);
        assert!(
            n >= 10 || is_served(&client.query(&text("lookup", n))),
            "there is room for engines at first"
        );
        held.push(client);
    }
    let (exit, log) = gateway.end();
    assert_eq!(exit, Some(0));
    assert!(common::last_counter(&log, "evicted=") >= 22, "{log}");
    assert!(common::last_counter(&log, "turned_away=") == 0, "{log}");
}

#[test]
fn out_of_descriptors_without_a_session_to_evict_a_new_client_is_rejected_with_an_error() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 30_000);
    let gateway = Gateway::start_with_options(&[&engine], false, None, "", Some(48));
    // Each holds a place with an open request, held or out at the engine.
    let mut busy = Vec::new();
    for n in 0..20 {
        let mut client = pg::Client::connect(gateway.pg);
        client.send(&text("report", n));
        busy.push(client);
    }
    while seen.query_count() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    // And these hold the rest: who has just come is given its time.
    let began = Instant::now();
    let mut turned_away = 0;
    while turned_away == 0 {
        assert!(began.elapsed() < Duration::from_secs(60), "nobody was turned away");
        let silent: Vec<_> = (0..30).map(|_| pg::Client::without_startup(gateway.pg)).collect();
        turned_away =
            silent.into_iter().filter_map(pg::Client::into_error_code).filter(|c| c == "53300").count();
    }
    engine.set_work_ms(1);
    let mut after = loop {
        if let Some(client) = pg::Client::try_connect(gateway.pg) {
            break client;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(after.query(";"), pg::Answer::Empty, "when descriptors are there again, so is the service");
    drop(busy);
}

#[test]
fn sessions_idle_beyond_the_operator_s_limit_are_closed_and_active_ones_are_not() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = large(&[&engine], "idle_limit_s = 1\n");
    let (mut silent, mut active) = (pg::Client::connect(gateway.pg), pg::Client::connect(gateway.pg));
    let stop = Arc::new(AtomicBool::new(false));
    let going_on = thread::spawn({
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
    going_on.join().unwrap();
    let (_, log) = gateway.end();
    assert!(log.contains("idle_closed=1 "), "{log}");
}

#[test]
fn prepared_statements_of_suspended_sessions_stay_within_their_memory_limit() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway =
        Gateway::start_with_options(&[&engine], true, None, "[clients]\nmost_sessions = 180\n", None);
    let mut kept = mysql::Client::connect(gateway.mysql());
    let (handle, _) = kept.prepare("/* c=lookup,h=20 */ SELECT v FROM a_1.b WHERE c = ?").unwrap();
    // 192 MB for the process, of which half is for sessions, of that a quarter for statements: fewer than these.
    let statement = |n| format!("/* c=lookup,h=20 */ SELECT '{}' FROM a_1.b WHERE c = ?", "x".repeat(n));
    let (mut others, mut turned_down) = (Vec::new(), 0);
    for _ in 0..170 {
        let mut client = mysql::Client::connect(gateway.mysql());
        for text in [statement(120_000), statement(60_000)] {
            match client.prepare(&text) {
                Ok(_) => {}
                Err(mysql::Answer::Error(code, ..)) => {
                    assert_eq!(code, 1461);
                    turned_down += 1;
                }
                Err(other) => panic!("{other:?}"),
            }
        }
        others.push(client);
    }
    assert!(turned_down >= 20, "{turned_down}");
    let mysql::Answer::Rows(rows) = kept.execute(handle, &["7"], &[]) else { panic!("no rows") };
    assert_eq!(rows[1], "7", "its statement was kept");
    drop(others);
    let (_, log) = gateway.end();
    let held: usize = common::last_counter(&log, "most_held=");
    assert!(held < 30 << 20, "{held}");
}

#[test]
fn a_gateway_with_idle_sessions_makes_no_turns() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 1);
    let gateway = large(&[&engine], "");
    let mut held = idle(&gateway, 100);
    assert_eq!(held[0].query(";"), pg::Answer::Empty);
    // What follows a start is over when the last start could have been too late.
    thread::sleep(Duration::from_millis(300));
    let before = gateway.turns();
    thread::sleep(Duration::from_secs(3));
    assert_eq!(gateway.turns() - before, 1, "but for the one that tells this");
}

/// Guards the memory budget: what a session held is released when it is suspended, and when it ends.
#[test]
fn memory_reserved_for_requests_is_released_however_they_end() {
    let seen = Recorder::default();
    let engine = Engine::start("e1", &seen, 0);
    let gateway =
        Gateway::start_with_options(&[&engine], true, None, "[clients]\nmost_sessions = 100\n", None);
    let mut clients = idle(&gateway, 4);
    let mut units: Vec<_> = (0..4).map(|_| mysql::Client::connect(gateway.mysql())).collect();
    for n in 0..200 {
        assert!(is_served(&clients[n as usize % 4].query(&text("lookup", n))));
        assert_eq!(clients[n as usize % 4].query("SELECT 1 without fields"), clients[0].query("SELECT 1 x"));
        units[n as usize % 4].query("/* c=lookup,h=20 */ SELECT v FROM a_1.b", &[]);
    }
    // Some leave with a request open, or with half a message.
    engine.set_work_ms(1000);
    clients[0].send(&text("lookup", 1000));
    clients[1].send_raw(b"Q\0\0\x10\0half");
    thread::sleep(Duration::from_millis(100));
    clients.truncate(1);
    is_served(&clients[0].answer());
    drop(units);
    thread::sleep(Duration::from_millis(300));
    let (_, log) = gateway.end();
    for key in ["held_buffers=", "held_requests=", "held_results=", "held_statements="] {
        assert_eq!(common::last_counter(&log, key), 0, "{key} of {log}");
    }
}
