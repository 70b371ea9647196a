use quickcheck::quickcheck;

use super::*;
use crate::mysql_protocol::{SqlError, error_code, ok_payload, write_packet};

fn packets(payloads: &[&[u8]], mut sequence: u8) -> Vec<u8> {
    let mut out = Vec::new();
    payloads.iter().for_each(|p| write_packet(&mut out, &mut sequence, p));
    out
}

/// Returns a session that is authenticated.
fn ready_session() -> Session {
    let offered = WANTED_CAPABILITIES.to_le_bytes();
    let mut handshake = b"\x0a8.0.0\0\x09\0\0\0abcdefgh\0".to_vec();
    handshake.extend([offered[0], offered[1], 45, 2, 0, offered[2], offered[3], 21]);
    handshake.extend([0; 10]);
    handshake.extend(b"ijklmnopqrst\0mysql_native_password\0");
    let mut session = Session::new(Login::default());
    let mut out = Vec::new();
    assert_eq!(session.read(&mut packets(&[&handshake], 0), &mut out), Ok(None));
    let ok = packets(&[&ok_payload(0, 0, 0)], 2);
    assert_eq!(session.read(&mut ok.clone(), &mut out), Ok(Some(Event::Ready)));
    assert_eq!(session.connection_id, 9);
    session
}

fn execute(sql: &[u8]) -> Statement {
    Statement::Execute(sql.to_vec(), Vec::new(), Vec::new())
}

/// Encodes COM_STMT_PREPARE_OK without parameters or columns.
fn prepare_ok(id: u8) -> Vec<u8> {
    packets(&[&[0, id, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]], 1)
}

#[test]
fn a_statement_is_prepared_once_per_connection() {
    let mut s = ready_session();
    let mut out = Vec::new();
    s.start(execute(b"SELECT 1"), &mut out);
    assert_eq!(out[4], 0x16);
    assert_eq!(s.read(&mut prepare_ok(5), &mut out), Ok(Some(Event::Prepared)));
    assert!(!s.may_have_run(), "the statement is only prepared");
    out.clear();
    s.execute(&mut out);
    assert!(s.may_have_run());
    assert_eq!(out[4..9], [0x17, 5, 0, 0, 0]);
    let done = packets(&[&ok_payload(0, 3, 4)], 1);
    let result = ResultSet::Done { affected_rows: 3, last_insert_id: 4 };
    assert_eq!(s.read(&mut done.clone(), &mut out), Ok(Some(Event::Completed(result))));
    out.clear();
    s.start(execute(b"SELECT 1"), &mut out);
    assert_eq!(out[4], 0x17, "a prepared statement is executed at once");
}

#[test]
fn a_statement_unknown_to_the_engine_is_prepared_again() {
    let mut s = ready_session();
    let mut out = Vec::new();
    s.start(execute(b"SELECT 1"), &mut out);
    s.read(&mut prepare_ok(5), &mut out).unwrap();
    s.execute(&mut out);
    out.clear();
    let unknown_statement = SqlError::new(error_code::ER_UNKNOWN_STMT_HANDLER, "HY000", "unknown").payload();
    assert_eq!(s.read(&mut packets(&[&unknown_statement], 1), &mut out), Ok(None));
    assert_eq!(out[4], 0x16);
    assert!(!s.may_have_run(), "the engine executed nothing");
    assert_eq!(s.read(&mut prepare_ok(6), &mut out), Ok(Some(Event::Prepared)));
}

#[test]
fn statement_errors_engine_errors_and_rejected_connections_are_distinguished() {
    let end = |code, state| {
        let mut s = ready_session();
        s.start(Statement::Query(b"x".to_vec(), Vec::new()), &mut Vec::new());
        let e = SqlError::new(code, state, "why");
        (s.read(&mut packets(&[&e.payload()], 1), &mut Vec::new()).unwrap().unwrap(), e)
    };
    let (event, e) = end(1064, "42000");
    assert_eq!(event, Event::Completed(ResultSet::StatementError(e)));
    let (event, e) = end(1205, "HY000");
    assert_eq!(event, Event::Failed(e));
    let too_many_connections = SqlError::new(1040, "08004", "Too many connections");
    let read = Session::new(Login::default())
        .read(&mut packets(&[&too_many_connections.payload()], 0), &mut Vec::new());
    assert_eq!(read, Ok(Some(Event::ConnectionRejected(too_many_connections))));
}

quickcheck! {
    fn random_packets_never_panic(payloads_sent: Vec<Vec<u8>>, is_query: bool) -> bool {
        let mut s = ready_session();
        let statement = if is_query { Statement::Query(b"x".to_vec(), Vec::new()) } else { execute(b"x") };
        s.start(statement, &mut Vec::new());
        let mut input = packets(&payloads_sent.iter().map(Vec::as_slice).collect::<Vec<_>>(), 1);
        let mut reads = 0;
        while let Ok(Some(_)) = s.read(&mut input, &mut Vec::new()) {
            reads += 1;
        }
        reads <= payloads_sent.len()
    }
}
