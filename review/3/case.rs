//! A client of the MySQL front reuses the handle of a prepared lookup after it has reconnected. The disruption is a
//! replacement of the gateway's process between the two connections.

#[path = "../common/mod.rs"]
mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::engine::Engine;
use common::gateway::{Deployment, SIGTERM};
use common::mysql::{self, Answer, Client};
use common::record::{stop, Record};
use common::{free_address, trouble};

const LOOKUP: &str = "SELECT setpoint FROM bays_7.settings WHERE w = '20'";
const LOAD: &str = "INSERT INTO bays_7.readings SELECT * FROM staging.batch WHERE w = '30'";
/// ER_UNKNOWN_STMT_HANDLER
const UNKNOWN_HANDLE: u16 = 1243;

fn main() {
    let record = Record::create();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let engines =
        ["e1", "e2"].map(|name| (Engine::start(name, &record), mysql::Engine::start(name, &record, &runs)));
    let entries: Vec<String> = engines.iter().map(|(http, _)| http.entry()).collect();
    let front = free_address();
    let mut operator_file = format!(
        "[mysql]\nlisten = \"{front}\"\nlogin = {{ user = \"gateway\" }}\n\
         [mysql.users]\nunit = {{ tenant = \"acme\" }}\n[mysql.engines]\n"
    );
    for (http, mysql) in &engines {
        operator_file += &format!("{} = \"{}\"\n", http.name, mysql.address);
    }
    let deployment = Deployment::new(&entries, Some(&operator_file));
    let mut processes = vec![deployment.start("process-1", &record)];

    let mut unit = connect(front);
    let lookup = prepare(&mut unit, &format!("/* c=lookup */ {LOOKUP}"));
    record.note("client", &format!("prepared the lookup: handle {lookup}"));
    let answer = execute_until_served(&mut unit, lookup, &record);
    if !matches!(&answer, Answer::Rows(cells) if cells.iter().any(|cell| cell == LOOKUP)) {
        stop(&format!("the lookup is not served: {answer:?}"));
    }

    if trouble() {
        processes.push(deployment.start("process-2", &record));
        processes[0].signal(SIGTERM);
        if !unit.wait_for_end(Duration::from_secs(7)) {
            stop("the first process keeps its idle client");
        }
        record.note("client", "the gateway has ended the connection");
    }
    drop(unit);
    let mut unit = connect(front);
    let load = prepare(&mut unit, &format!("/* c=load */ {LOAD}"));
    record.note("client", &format!("has a new connection, and prepared the load there: handle {load}"));
    let before = runs.lock().unwrap().len();
    let answer = execute(&mut unit, lookup, 99, &record);
    thread::sleep(Duration::from_millis(300));
    let ran: Vec<String> = runs.lock().unwrap()[before..]
        .iter()
        .map(|run| format!("{} ran: {}", run.engine, run.statement))
        .collect();
    drop(processes);
    let is_unknown = matches!(answer, Answer::Error(UNKNOWN_HANDLE, _));
    let text = format!(
        "the handle {lookup} of the lookup, reused after reconnecting, is answered {answer:?}; {}",
        if ran.is_empty() { "no engine ran anything".to_owned() } else { ran.join("; ") }
    );
    std::process::exit(record.verdict(!is_unknown || !ran.is_empty(), &text));
}

fn connect(front: std::net::SocketAddr) -> Client {
    Client::connect(front, "unit").unwrap_or_else(|error| stop(&format!("no connection: {error}")))
}

fn prepare(unit: &mut Client, text: &str) -> u32 {
    unit.prepare(text).unwrap_or_else(|error| stop(&format!("{text} can't be prepared: {error}")))
}

/// Executes a handle as a new request.
fn execute(unit: &mut Client, handle: u32, number: u32, record: &Record) -> Answer {
    let id = format!("{number:016x}");
    record.note("client", &format!("executes handle {handle} as the lookup, id {id}"));
    let answer = unit.execute(handle, &[("i", &id), ("d", "3000")]);
    let answer = answer.unwrap_or_else(|error| stop(&format!("the connection has ended: {error}")));
    record.note("client", &format!("gets {answer:?}"));
    answer
}

/// Repeats the lookup while it is refused, as an engine's first requests may be.
fn execute_until_served(unit: &mut Client, handle: u32, record: &Record) -> Answer {
    let began = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let answer = execute(unit, handle, number, record);
        let refused = matches!(&answer, Answer::Error(_, text) if text.starts_with("refused"));
        if !refused || began.elapsed() > Duration::from_secs(5) {
            return answer;
        }
        thread::sleep(Duration::from_millis(100));
    }
}
