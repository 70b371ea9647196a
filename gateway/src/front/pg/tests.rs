//! Compares sessions with a model of their states, for random steps whose bytes arrive in pieces of any size.

use quickcheck::quickcheck;

use super::*;
use crate::front::Rows;

/// A message from the client, or an action of the gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    ValidQuery,
    InvalidQuery,
    EmptyQuery,
    Parse,
    Sync,
    Flush,
    Oversized,
    Terminate,
    Answer,
    Timeout,
}

const STEPS: [Step; 10] = [
    Step::ValidQuery,
    Step::InvalidQuery,
    Step::EmptyQuery,
    Step::Parse,
    Step::Sync,
    Step::Flush,
    Step::Oversized,
    Step::Terminate,
    Step::Answer,
    Step::Timeout,
];

const MAX_MESSAGE_BYTES: usize = 4096;
const VALID_QUERY: &str = "/* c=a,i=9b1f03aa5c7e2d41,d=5 */ SELECT 1";

fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
    [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat()
}

fn bytes(step: Step) -> Vec<u8> {
    let mut out = Vec::new();
    let text = |t: &str| t.bytes().chain([0]).collect::<Vec<u8>>();
    match step {
        Step::ValidQuery => write_message(&mut out, b'Q', |b| b.extend(text(VALID_QUERY))),
        Step::InvalidQuery => write_message(&mut out, b'Q', |b| b.extend(text("SELECT 1"))),
        Step::EmptyQuery => write_message(&mut out, b'Q', |b| b.extend(text(" ;"))),
        Step::Parse => write_message(&mut out, b'P', |b| b.extend([0; 4])),
        Step::Sync => write_message(&mut out, b'S', |_| {}),
        Step::Flush => write_message(&mut out, b'H', |_| {}),
        Step::Oversized => out.extend(b"Q\x7f\xff\xff\xff"),
        Step::Terminate => write_message(&mut out, b'X', |_| {}),
        Step::Answer | Step::Timeout => {}
    }
    out
}

/// The model: the types of the messages sent to the client, and the number of requests.
fn model(steps: &[Step]) -> (String, usize) {
    let (mut sent, mut requests) = ("RSSSSSSKZ".to_owned(), 0);
    let mut state = State::Ready;
    let mut pending = std::collections::VecDeque::new();
    for step in steps {
        if *step == Step::Answer {
            if state == State::Busy {
                sent += "EZ";
                state = State::Ready;
            }
        } else if *step == Step::Timeout {
            // No timeout applies while a request is open or after the session was closed.
            if matches!(state, State::Ready | State::SkippingToSync) {
                sent += "E";
                state = State::Closed;
            }
        } else {
            pending.push_back(*step);
        }
        while matches!(state, State::Ready | State::SkippingToSync) {
            let Some(step) = pending.pop_front() else { break };
            (state, requests) = match (state, step) {
                (_, Step::Oversized) => {
                    sent += "E";
                    (State::Closed, requests)
                }
                (_, Step::Terminate) => (State::Closed, requests),
                (_, Step::Sync) => {
                    sent += "Z";
                    (State::Ready, requests)
                }
                (State::SkippingToSync, _) => (state, requests),
                (_, Step::ValidQuery) => (State::Busy, requests + 1),
                (_, Step::InvalidQuery) => {
                    sent += "EZ";
                    (state, requests)
                }
                (_, Step::EmptyQuery) => {
                    sent += "IZ";
                    (state, requests)
                }
                (_, Step::Parse) => {
                    sent += "E";
                    (State::SkippingToSync, requests)
                }
                _ => (state, requests),
            };
        }
    }
    (sent, requests)
}

fn message_types(mut out: &[u8]) -> String {
    let mut message_types = String::new();
    while !out.is_empty() {
        message_types.push(out[0] as char);
        out = &out[1 + be32(&out[1..]) as usize..];
    }
    message_types
}

quickcheck! {
    fn sessions_agree_with_the_model(steps: Vec<u8>, piece_bytes: u8) -> bool {
        let steps: Vec<Step> = steps.iter().map(|n| STEPS[usize::from(*n) % STEPS.len()]).collect();
        let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, MAX_MESSAGE_BYTES);
        let (mut input, mut out, mut requests) = (Vec::new(), Vec::new(), 0);
        let mut receive = |session: &mut Session, bytes: &[u8], out: &mut Vec<u8>| {
            for piece in bytes.chunks(usize::from(piece_bytes % 40) + 1).chain([&[][..]]) {
                input.extend(piece);
                while let Some(command) = session.read(&mut input, out) {
                    requests += usize::from(matches!(command, ClientCommand::Request(_)));
                }
            }
        };
        receive(&mut session, &startup_message(), &mut out);
        for step in &steps {
            if *step == Step::Timeout && matches!(session.state, State::Ready | State::SkippingToSync) {
                session.disconnect(DisconnectReason::Timeout, &mut out);
            }
            if *step == Step::Answer && session.is_busy() {
                session.answer(FinalAnswer::Rejected(None), &mut out);
            }
            receive(&mut session, &bytes(*step), &mut out);
        }
        (message_types(&out), requests) == model(&steps)
    }

    fn random_bytes_never_panic(random_bytes: Vec<u8>, started: bool) -> bool {
        let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, MAX_MESSAGE_BYTES);
        let (mut input, mut out) = (if started { startup_message() } else { Vec::new() }, Vec::new());
        input.extend(random_bytes);
        let mut reads = 0;
        while session.read(&mut input, &mut out).is_some() {
            reads += 1;
        }
        reads < 1000
    }
}

fn ready_session() -> Session {
    let mut session = Session::new(BackendKey { process_id: 7, secret: 8 }, MAX_MESSAGE_BYTES);
    session.read(&mut startup_message(), &mut Vec::new());
    session
}

#[test]
fn a_query_may_be_pipelined_after_the_startup_message() {
    let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, MAX_MESSAGE_BYTES);
    let mut input =
        [vec![0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f], startup_message(), bytes(Step::ValidQuery)].concat();
    let mut out = Vec::new();
    let read = |_| session.read(&mut input, &mut out);
    let [Some(ClientCommand::Handled), Some(ClientCommand::Handled), Some(ClientCommand::Request(request))] =
        [(); 3].map(read)
    else {
        panic!("expected a request")
    };
    assert_eq!(request.statement, b"SELECT 1");
    assert_eq!(out[0], b'N');
}

#[test]
fn a_cancel_request_yields_the_session_and_its_secret() {
    let mut input = vec![0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e, 0, 0, 0, 7, 0, 0, 0, 8];
    let command = Session::new(BackendKey { process_id: 1, secret: 2 }, MAX_MESSAGE_BYTES)
        .read(&mut input, &mut Vec::new());
    assert_eq!(command, Some(ClientCommand::Cancel { session: 7, secret: 8 }));
}

#[test]
fn rejections_have_sqlstate_class_53_and_a_retry_after() {
    let mut session = ready_session();
    session.read(&mut bytes(Step::ValidQuery), &mut Vec::new());
    let mut out = Vec::new();
    session.answer(FinalAnswer::Rejected(Some(250)), &mut out);
    let text = String::from_utf8_lossy(&out);
    assert!(text.contains("C53000\0") && text.contains("w=250"), "{text}");
}

#[test]
fn rows_are_forwarded_unchanged_and_in_order() {
    let mut session = ready_session();
    session.read(&mut bytes(Step::ValidQuery), &mut Vec::new());
    let columns = ["c1", "c2"].map(str::to_owned).to_vec();
    let cells = vec![Some(b"\xff".to_vec()), Some(Vec::new()), Some(b"b".to_vec()), None];
    let mut out = Vec::new();
    session.answer(FinalAnswer::Served(&QueryResult::Text(Rows { columns, cells })), &mut out);
    assert_eq!(message_types(&out), "TDDCZ");
    let first = b"D\0\0\0\x0f\0\x02\0\0\0\x01\xff\0\0\0\0";
    assert!(out.windows(first.len()).any(|w| w == first));
    assert!(out.windows(9).any(|w| w == b"SELECT 2\0"));
}
