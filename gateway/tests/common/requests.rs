//! Helpers for requests: retries of rejected ones, and for those with numeric ids waiting for their log lines and
//! checking their answers.

use std::thread;
use std::time::Duration;

use super::{Gateway, pg};

/// Id of request `n` in statements and engine requests.
pub fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Sends a request until it is not rejected. A rejected request is safe to retry.
pub fn until_served<A>(mut send: impl FnMut() -> A, is_rejection: impl Fn(&A) -> bool) -> A {
    for _ in 0..40 {
        let answer = send();
        if !is_rejection(&answer) {
            return answer;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("the request was rejected 40 times");
}

/// Waits until the gateway has admitted request `n`.
pub fn wait_admitted(gateway: &Gateway, n: u64) {
    gateway.wait_for_log(&format!("request admitted query_id=\"{}\"", id(n)));
}

/// Waits until the gateway has detected that the client of request `n` has disconnected.
pub fn wait_client_left(gateway: &Gateway, n: u64) {
    gateway.wait_for_log(&format!("client left query_id=\"{}\"", id(n)));
}

/// Waits until the gateway has answered request `n`.
pub fn wait_answered(gateway: &Gateway, n: u64) {
    gateway.wait_for_log(&format!("request answered query_id=\"{}\"", id(n)));
}

/// Answer of a scripted engine to request `n`: one row with the request id.
pub fn row_answer(n: u64) -> pg::Answer {
    pg::Answer::Rows(vec![vec![id(n)]])
}

/// SQLSTATE of an answer, which must be an error.
pub fn error_code(answer: &pg::Answer) -> &str {
    match answer {
        pg::Answer::Error(code, _) => code,
        other => panic!("an error was expected, not {other:?}"),
    }
}

/// Asserts that the next answer of the client is the answer of a scripted engine to request `n`.
#[track_caller]
pub fn assert_served(client: &mut pg::Client, n: u64) {
    assert_eq!(client.answer(), row_answer(n));
}
