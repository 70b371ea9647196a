//! Guards against a statement id that one process of the gateway returns for a statement and another process returns
//! for a different one: a client that reuses its id after a reconnect would execute a statement that it never sent.

mod common;

use std::collections::BTreeSet;
use std::fs::File;
use std::time::Duration;

use common::requests::until_served;
use common::{Engine, Gateway, Recorder, mysql};
use rustix::fs::{FlockOperation, flock};

const LOOKUP: &str = "/* c=lookup */ SELECT setpoint FROM bays_7.settings";
const LOAD: &str = "/* c=load */ INSERT INTO bays_7.readings SELECT * FROM staging.batch";
const ER_UNKNOWN_STMT_HANDLER: u16 = 1243;
/// Statements that a client prepares in one go, fewer than a session may have.
const BATCH: usize = 100;

/// All statement ids seen by the clients of a gateway.
#[derive(Default)]
struct SeenIds(BTreeSet<u32>);

impl SeenIds {
    fn add(&mut self, statement_id: u32) {
        assert!(
            self.0.insert(statement_id),
            "{statement_id} was returned before, after {} others",
            self.0.len()
        );
    }

    /// Prepares a batch one statement after the other.
    fn prepare(&mut self, client: &mut mysql::Client) {
        for _ in 0..BATCH {
            self.add(client.prepare(LOOKUP).unwrap().0);
        }
    }

    /// Prepares a batch in one write, with a ping behind it.
    fn prepare_pipelined(&mut self, client: &mut mysql::Client) {
        (0..BATCH).for_each(|_| client.send_prepare(LOOKUP));
        client.command(0x0e, &[]);
        for _ in 0..BATCH {
            self.add(client.read_prepared().unwrap().0);
        }
        assert_eq!(client.answer(false), mysql::Answer::Done, "the ping is answered after the statements");
    }
}

/// Executes a statement until it is not rejected.
fn execute(client: &mut mysql::Client, statement_id: u32) -> mysql::Answer {
    until_served(|| client.execute(statement_id, &[], &[("d", "3000")]), mysql::Answer::is_rejection)
}

/// Starts a gateway and locks its file of reserved statement ids, as another process does. Returns the gateway, the
/// file, and a client that waits for a statement to be prepared.
fn gateway_with_locked_ids() -> (Gateway, File, mysql::Client) {
    let engine = Engine::start("e1", &Recorder::default(), 1);
    let gateway = Gateway::start_with_mysql_and_admin(&[&engine]);
    let file = File::open(gateway.statement_id_file()).unwrap();
    flock(&file, FlockOperation::LockExclusive).unwrap();
    let mut client = mysql::Client::connect(gateway.mysql());
    client.send_prepare(LOOKUP);
    assert!(!client.has_response(Duration::from_millis(50)), "the statement must wait for the lock");
    (gateway, file, client)
}

fn assert_unknown(answer: mysql::Answer) {
    assert!(matches!(answer, mysql::Answer::Error(ER_UNKNOWN_STMT_HANDLER, ..)), "{answer:?}");
}

/// A lookup's id, reused after a replacement of the process, executed a load.
#[test]
fn a_statement_id_from_before_a_replacement_is_unknown_after_it() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let gateway = Gateway::start_with_mysql_and_admin(&[&engine]);
    let mut client = mysql::Client::connect(gateway.mysql());
    let (lookup, _) = client.prepare(LOOKUP).unwrap();
    assert!(matches!(execute(&mut client, lookup), mysql::Answer::Rows(_)));
    let successor = gateway.successor();
    assert_eq!(gateway.end().0, Some(0));
    let mut client = mysql::Client::connect(successor.mysql());
    let (load, _) = client.prepare(LOAD).unwrap();
    let queries = recorder.query_count();
    assert_unknown(execute(&mut client, lookup));
    assert_eq!(recorder.query_count(), queries, "no engine may run a statement for an unknown id");
    assert_eq!(execute(&mut client, load), mysql::Answer::Done);
}

/// Processes that serve at the same time, also with a predecessor and a successor of their own, returned equal ids.
#[test]
fn statement_ids_differ_between_all_processes_of_replacements_in_a_row() {
    let engine = Engine::start("e1", &Recorder::default(), 1);
    let mut seen = SeenIds::default();
    let first = Gateway::start_with_mysql_and_admin(&[&engine]);
    let mut first_client = mysql::Client::connect(first.mysql());
    seen.prepare(&mut first_client);
    let second = first.successor();
    first.wait_for_log("successor accepts clients");
    let mut second_client = mysql::Client::connect(second.mysql());
    seen.prepare_pipelined(&mut second_client);
    seen.prepare(&mut first_client);
    let third = second.successor();
    second.wait_for_log("successor accepts clients");
    let mut third_client = mysql::Client::connect(third.mysql());
    seen.prepare(&mut third_client);
    seen.prepare(&mut second_client);
    drop(first);
    third.kill();
    second.wait_for_log("successor ended");
    // The second process accepts clients again, and is replaced once more.
    seen.prepare_pipelined(&mut mysql::Client::connect(second.mysql()));
    let fourth = second.successor();
    let mut fourth_client = mysql::Client::connect(fourth.mysql());
    seen.prepare(&mut fourth_client);
    seen.prepare(&mut mysql::Client::connect(fourth.mysql()));
    assert_eq!(second.end().0, Some(0));
    seen.prepare_pipelined(&mut fourth_client);
}

/// A process that is started again with the same seed and an empty temporary directory returned the ids of the one
/// before.
#[test]
fn statement_ids_differ_between_a_process_and_its_restarts() {
    let recorder = Recorder::default();
    let engine = Engine::start("e1", &recorder, 1);
    let mut seen = SeenIds::default();
    let mut gateway = Gateway::start_with_mysql_and_admin(&[&engine]);
    for _ in 0..4 {
        let mut client = mysql::Client::connect(gateway.mysql());
        let (lookup, _) = client.prepare(LOOKUP).unwrap();
        seen.add(lookup);
        seen.prepare_pipelined(&mut client);
        seen.prepare(&mut mysql::Client::connect(gateway.mysql()));
        gateway = gateway.restart();
        let mut client = mysql::Client::connect(gateway.mysql());
        seen.add(client.prepare(LOAD).unwrap().0);
        assert_unknown(execute(&mut client, lookup));
    }
    assert_eq!(recorder.query_count(), 0, "no engine may run a statement for an unknown id");
}

/// A process that can't see which ids others have reserved could return the same ones.
#[test]
fn no_statement_is_prepared_while_the_reserved_ids_are_unknown() {
    let engine = Engine::start("e1", &Recorder::default(), 1);
    let gateway = Gateway::start_with_mysql_and_admin(&[&engine]);
    let file = gateway.statement_id_file();
    std::fs::remove_file(&file).unwrap();
    std::fs::create_dir(&file).unwrap();
    let mut client = mysql::Client::connect(gateway.mysql());
    let answer = client.prepare(LOOKUP).unwrap_err();
    assert!(matches!(answer, mysql::Answer::Error(1461, ..)), "{answer:?}");
    gateway.wait_for_log("no access to the statement ids");
    assert_eq!(client.ping(), mysql::Answer::Done);
    std::fs::remove_dir(&file).unwrap();
    let (lookup, _) = client.prepare(LOOKUP).unwrap();
    assert!(matches!(execute(&mut client, lookup), mysql::Answer::Rows(_)));
}

/// A reservation by another process must neither be overlooked nor block the event loop.
#[test]
fn a_statement_waits_while_another_process_reserves_ids() {
    let (gateway, file, mut client) = gateway_with_locked_ids();
    client.command(0x0e, &[]);
    assert!(!client.has_response(Duration::from_millis(50)), "the ping must wait for the statement");
    assert_eq!(mysql::Client::connect(gateway.mysql()).ping(), mysql::Answer::Done);
    drop(file);
    client.read_prepared().unwrap();
    assert_eq!(client.answer(false), mysql::Answer::Done);
    assert_eq!(gateway.end().0, Some(0));
}

/// A process that waits for its peer's reservation must end before it is killed.
#[test]
fn a_statement_without_an_id_does_not_delay_the_end_of_the_process() {
    let (gateway, _file, _client) = gateway_with_locked_ids();
    gateway.terminate();
    assert_eq!(gateway.wait_within(Duration::from_secs(60)), Some(0));
}
