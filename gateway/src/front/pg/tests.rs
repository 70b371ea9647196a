//! A model of a session's states, against which random steps are checked however their bytes are cut.

use quickcheck::quickcheck;

use super::*;
use crate::front::Rows;

/// What a client sends, or the gateway's answer to the open request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Good,
    Bad,
    Empty,
    Parse,
    Sync,
    Flush,
    Oversized,
    Terminate,
    Answer,
    TimeOut,
}

const STEPS: [Step; 10] = [
    Step::Good,
    Step::Bad,
    Step::Empty,
    Step::Parse,
    Step::Sync,
    Step::Flush,
    Step::Oversized,
    Step::Terminate,
    Step::Answer,
    Step::TimeOut,
];

const LONGEST: usize = 4096;
const GOOD: &str = "/* c=a,i=9b1f03aa5c7e2d41,d=5 */ SELECT 1";

fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0warehouse\0\0";
    [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat()
}

fn bytes(step: Step) -> Vec<u8> {
    let mut out = Vec::new();
    let text = |t: &str| t.bytes().chain([0]).collect::<Vec<u8>>();
    match step {
        Step::Good => write_message(&mut out, b'Q', |b| b.extend(text(GOOD))),
        Step::Bad => write_message(&mut out, b'Q', |b| b.extend(text("SELECT 1"))),
        Step::Empty => write_message(&mut out, b'Q', |b| b.extend(text(" ;"))),
        Step::Parse => write_message(&mut out, b'P', |b| b.extend([0; 4])),
        Step::Sync => write_message(&mut out, b'S', |_| {}),
        Step::Flush => write_message(&mut out, b'H', |_| {}),
        Step::Oversized => out.extend(b"Q\x7f\xff\xff\xff"),
        Step::Terminate => write_message(&mut out, b'X', |_| {}),
        Step::Answer | Step::TimeOut => {}
    }
    out
}

/// The model: what the client hears, by the kinds of messages, and how many requests are taken.
fn model(steps: &[Step]) -> (String, usize) {
    let (mut heard, mut taken) = ("RSSSSSSKZ".to_owned(), 0);
    let mut state = State::Ready;
    let mut waiting = std::collections::VecDeque::new();
    for step in steps {
        if *step == Step::Answer {
            if state == State::Busy {
                heard += "EZ";
                state = State::Ready;
            }
        } else if *step == Step::TimeOut {
            // Only who owes the rest of a message is told so.
            if matches!(state, State::Ready | State::SkippingToSync) {
                heard += "E";
                state = State::Closed;
            }
        } else {
            waiting.push_back(*step);
        }
        while matches!(state, State::Ready | State::SkippingToSync) {
            let Some(step) = waiting.pop_front() else { break };
            (state, taken) = match (state, step) {
                (_, Step::Oversized) => {
                    heard += "E";
                    (State::Closed, taken)
                }
                (_, Step::Terminate) => (State::Closed, taken),
                (_, Step::Sync) => {
                    heard += "Z";
                    (State::Ready, taken)
                }
                (State::SkippingToSync, _) => (state, taken),
                (_, Step::Good) => (State::Busy, taken + 1),
                (_, Step::Bad) => {
                    heard += "EZ";
                    (state, taken)
                }
                (_, Step::Empty) => {
                    heard += "IZ";
                    (state, taken)
                }
                (_, Step::Parse) => {
                    heard += "E";
                    (State::SkippingToSync, taken)
                }
                _ => (state, taken),
            };
        }
    }
    (heard, taken)
}

fn kinds(mut out: &[u8]) -> String {
    let mut kinds = String::new();
    while !out.is_empty() {
        kinds.push(out[0] as char);
        out = &out[1 + be32(&out[1..]) as usize..];
    }
    kinds
}

quickcheck! {
    fn a_session_behaves_as_its_model(steps: Vec<u8>, cut: u8) -> bool {
        let steps: Vec<Step> = steps.iter().map(|n| STEPS[usize::from(*n) % STEPS.len()]).collect();
        let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, LONGEST);
        let (mut input, mut out, mut taken) = (Vec::new(), Vec::new(), 0);
        let mut feed = |session: &mut Session, bytes: &[u8], out: &mut Vec<u8>| {
            for piece in bytes.chunks(usize::from(cut % 40) + 1).chain([&[][..]]) {
                input.extend(piece);
                while let Some(want) = session.read(&mut input, out) {
                    taken += usize::from(matches!(want, ClientCommand::Request(_)));
                }
            }
        };
        feed(&mut session, &startup_message(), &mut out);
        for step in &steps {
            if *step == Step::TimeOut && matches!(session.state, State::Ready | State::SkippingToSync) {
                session.disconnect(DisconnectReason::Timeout, &mut out);
            }
            if *step == Step::Answer && session.is_busy() {
                session.answer(FinalAnswer::Rejected(None), &mut out);
            }
            feed(&mut session, &bytes(*step), &mut out);
        }
        (kinds(&out), taken) == model(&steps)
    }

    fn random_bytes_never_panic(bytes_sent: Vec<u8>, started: bool) -> bool {
        let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, LONGEST);
        let (mut input, mut out) = (if started { startup_message() } else { Vec::new() }, Vec::new());
        input.extend(bytes_sent);
        let mut reads = 0;
        while session.read(&mut input, &mut out).is_some() {
            reads += 1;
        }
        reads < 1000
    }
}

fn ready_session() -> Session {
    let mut session = Session::new(BackendKey { process_id: 7, secret: 8 }, LONGEST);
    session.read(&mut startup_message(), &mut Vec::new());
    session
}

#[test]
fn a_query_may_follow_the_startup_message_at_once() {
    let mut session = Session::new(BackendKey { process_id: 1, secret: 2 }, LONGEST);
    let mut input = [vec![0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f], startup_message(), bytes(Step::Good)].concat();
    let mut out = Vec::new();
    let read = |_| session.read(&mut input, &mut out);
    let [Some(ClientCommand::Handled), Some(ClientCommand::Handled), Some(ClientCommand::Request(demand))] =
        [(); 3].map(read)
    else {
        panic!("no request")
    };
    assert_eq!(demand.statement, b"SELECT 1");
    assert_eq!(out[0], b'N');
}

#[test]
fn a_cancel_request_names_its_session() {
    let mut input = vec![0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e, 0, 0, 0, 7, 0, 0, 0, 8];
    let want =
        Session::new(BackendKey { process_id: 1, secret: 2 }, LONGEST).read(&mut input, &mut Vec::new());
    assert_eq!(want, Some(ClientCommand::Cancel { session: 7, secret: 8 }));
}

#[test]
fn rejections_are_of_class_53_and_carry_retry_after() {
    let mut session = ready_session();
    session.read(&mut bytes(Step::Good), &mut Vec::new());
    let mut out = Vec::new();
    session.answer(FinalAnswer::Rejected(Some(250)), &mut out);
    let text = String::from_utf8_lossy(&out);
    assert!(text.contains("C53000\0") && text.contains("w=250"), "{text}");
}

#[test]
fn rows_are_forwarded_unchanged_and_in_order() {
    let mut session = ready_session();
    session.read(&mut bytes(Step::Good), &mut Vec::new());
    let columns = ["c1", "c2"].map(str::to_owned).to_vec();
    let cells = vec![Some(b"\xff".to_vec()), Some(Vec::new()), Some(b"b".to_vec()), None];
    let mut out = Vec::new();
    session.answer(FinalAnswer::Served(&Payload::Text(Rows { columns, cells })), &mut out);
    assert_eq!(kinds(&out), "TDDCZ");
    let first = b"D\0\0\0\x0f\0\x02\0\0\0\x01\xff\0\0\0\0";
    assert!(out.windows(first.len()).any(|w| w == first));
    assert!(out.windows(9).any(|w| w == b"SELECT 2\0"));
}
