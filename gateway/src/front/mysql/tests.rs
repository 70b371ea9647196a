use quickcheck::quickcheck;

use super::*;
use crate::mysql_protocol::{Parameter, capabilities, write_packet};
use crate::tenants::Account;

/// Returns a session that has authenticated a client with an empty password.
fn ready_session() -> Session {
    let account = Account { tenant: "acme".into(), password: String::new() };
    let directory = Rc::new(Directory::new([("unit".to_owned(), account)]));
    let mut out = Vec::new();
    let mut session = Session::new(1, [7; 20], directory, &mut out);
    let mut handshake_response = OFFERED_CAPABILITIES.to_le_bytes().to_vec();
    handshake_response[0] &= !(capabilities::CLIENT_CONNECT_WITH_DB as u8);
    handshake_response.extend([0, 0, 0, 1, 45]);
    handshake_response.extend([0; 23]);
    handshake_response.extend(b"unit\0\0mysql_native_password\0");
    assert_eq!(session.read(&mut packet(&handshake_response, 1), &mut out), Some(ClientCommand::Handled));
    assert_eq!(session.state, State::Ready);
    session
}

#[test]
fn a_resumed_session_has_its_statements_and_their_memory_is_released_on_close() {
    let mut session = ready_session();
    let mut out = Vec::new();
    for statement_id in 10..13 {
        session.read(&mut packet(b"\x16/* c=lookup */ SELECT ? FROM a_1.b", 0), &mut out);
        session.complete_prepare(statement_id, &mut out);
    }
    let bytes_before = session.statement_bytes();
    let directory = session.directory.clone();
    let suspended = session.suspend();
    assert_eq!(suspended.statement_bytes(), bytes_before);
    let mut session = Session::resume(suspended, directory);
    assert_eq!(session.statement_bytes(), bytes_before);
    let execute = packet(&[0x17, 11, 0, 0, 0, 8, 1, 0, 0, 0, 1, 1, 1, 6, 0, 0], 0);
    let Some(ClientCommand::Request(request)) = session.read(&mut execute.clone(), &mut out) else {
        panic!("expected a request")
    };
    assert_eq!(request.fields.tenant.as_deref(), Some("acme"));
    assert!(!session.is_idle(), "a request is open");
    session.answer(FinalAnswer::Rejected(None), &mut out);
    for statement_id in 10..13 {
        session.read(&mut packet(&[0x19, statement_id, 0, 0, 0], 0), &mut out);
    }
    assert_eq!((session.statement_bytes(), session.statements.is_none()), (0, true));
}

fn packet(payload: &[u8], mut sequence: u8) -> Vec<u8> {
    let mut out = Vec::new();
    write_packet(&mut out, &mut sequence, payload);
    out
}

#[test]
fn a_client_with_another_authentication_plugin_receives_an_auth_switch_request() {
    let directory = Rc::new(Directory::default());
    let mut out = Vec::new();
    let mut session = Session::new(1, [7; 20], directory, &mut out);
    let mut handshake_response =
        (OFFERED_CAPABILITIES & !capabilities::CLIENT_CONNECT_WITH_DB).to_le_bytes().to_vec();
    handshake_response.extend([0; 28]);
    handshake_response.extend(b"unit\0\0caching_sha2_password\0");
    out.clear();
    assert_eq!(session.read(&mut packet(&handshake_response, 1), &mut out), Some(ClientCommand::Handled));
    assert!(out[4] == 0xfe && out[5..].starts_with(b"mysql_native_password\0"));
    assert_eq!(
        session.read(&mut packet(b"", 3), &mut out),
        Some(ClientCommand::Close),
        "the directory has no user"
    );
}

#[test]
fn executions_after_long_data_fail_until_a_reset() {
    let mut session = ready_session();
    let mut out = Vec::new();
    let prepare = packet(b"\x16/* c=load */ INSERT INTO a_1.b VALUES (?)", 0);
    assert!(matches!(session.read(&mut prepare.clone(), &mut out), Some(ClientCommand::Prepare(_))));
    session.complete_prepare(10, &mut out);
    out.clear();
    let send_long_data = packet(&[0x18, 10, 0, 0, 0, 0, 0, b'x'], 0);
    assert_eq!(session.read(&mut send_long_data.clone(), &mut out), Some(ClientCommand::Handled));
    assert_eq!(out, b"", "COM_STMT_SEND_LONG_DATA has no response");
    let execute = packet(&[0x17, 10, 0, 0, 0, 8, 1, 0, 0, 0, 1, 1, 1, 6, 0, 0], 0);
    assert_eq!(session.read(&mut execute.clone(), &mut out), Some(ClientCommand::Invalid));
    session.read(&mut packet(&[0x1a, 10, 0, 0, 0], 0), &mut out);
    let Some(ClientCommand::Request(request)) = session.read(&mut execute.clone(), &mut out) else {
        panic!("expected a request")
    };
    let null = Parameter { type_and_flag: 6, name: Vec::new(), value: None };
    assert_eq!(request.mode, ExecutionMode::Execute { statement_id: 10, parameters: vec![null] });
    assert_eq!(request.fields.tenant.as_deref(), Some("acme"));
}

/// Guards against a response to COM_STMT_PREPARE behind the error that closes the session.
#[test]
fn a_closed_session_prepares_nothing() {
    let mut session = ready_session();
    let mut out = Vec::new();
    session.read(&mut packet(b"\x16/* c=lookup */ SELECT 1 FROM a_1.b", 0), &mut out);
    assert!(session.is_preparing());
    session.disconnect(DisconnectReason::ShuttingDown, &mut out);
    assert!(!session.is_preparing());
}

quickcheck! {
    /// Every command except COM_STMT_SEND_LONG_DATA and COM_STMT_CLOSE must be answered.
    fn random_commands_are_answered_without_a_panic(commands: Vec<(u8, Vec<u8>)>) -> bool {
        let mut session = ready_session();
        let command_bytes = [0x03, 0x0e, 0x16, 0x17, 0x18, 0x19, 0x1a, 0x05];
        let mut out = Vec::new();
        for (selector, body) in commands {
            let payload = [&[command_bytes[usize::from(selector) % command_bytes.len()]], body.as_slice()].concat();
            out.clear();
            let command = session.read(&mut packet(&payload, 0), &mut out);
            let has_no_response = matches!(payload[0], 0x18 | 0x19);
            match command {
                Some(ClientCommand::Request(_)) => session.answer(FinalAnswer::Rejected(None), &mut out),
                Some(ClientCommand::Prepare(_)) => {
                    assert!(session.is_preparing());
                    session.complete_prepare(1, &mut out);
                    assert!(session.has_statement(1));
                }
                Some(ClientCommand::Close) => return !out.is_empty(),
                _ => {}
            }
            if out.is_empty() != has_no_response || session.state != State::Ready {
                return false;
            }
        }
        true
    }
}
