//! Requests whose ids are numbers, and what a test waits for or compares of them.

use super::{Gateway, pg};

/// The id of request `n`, as statements and engine calls carry it.
pub fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Waits until the gateway has taken request `n`.
pub fn wait_taken(gateway: &Gateway, n: u64) {
    gateway.logged(&format!("request admitted query_id=\"{}\"", id(n)));
}

/// Waits until the gateway has noticed that the client of request `n` left.
pub fn wait_left(gateway: &Gateway, n: u64) {
    gateway.logged(&format!("client left query_id=\"{}\"", id(n)));
}

/// Waits until the gateway has answered request `n`.
pub fn wait_answered(gateway: &Gateway, n: u64) {
    gateway.logged(&format!("request answered query_id=\"{}\"", id(n)));
}

/// The answer of a scripted engine to request `n`: one row with its id.
pub fn row_of(n: u64) -> pg::Answer {
    pg::Answer::Rows(vec![vec![id(n)]])
}

/// The SQLSTATE of an answer, which must be an error.
pub fn error_code(answer: &pg::Answer) -> &str {
    match answer {
        pg::Answer::Error(code, _) => code,
        other => panic!("an error was expected, not {other:?}"),
    }
}

/// The client's next answer must be that of a scripted engine to request `n`.
#[track_caller]
pub fn assert_served(client: &mut pg::Client, n: u64) {
    assert_eq!(client.answer(), row_of(n));
}
