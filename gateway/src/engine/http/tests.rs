use quickcheck::quickcheck;

use super::pages::MAX_PAGE_BYTES;
use super::*;
use workload_manager::Outcome;

quickcheck! {
    fn random_bytes_never_panic(bytes: Vec<u8>, head: u8) -> bool {
        let heads = ["", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"];
        let mut input = heads[usize::from(head) % heads.len()].as_bytes().to_vec();
        input.extend(bytes);
        let length = input.len();
        !matches!(read(&mut input, &no_extras()), Ok(Some(_))) || input.len() < length
    }
}

fn no_extras() -> [String; 2] {
    [String::new(), String::new()]
}

fn response(text: &str) -> Response {
    read(&mut text.as_bytes().to_vec(), &no_extras()).unwrap().unwrap()
}

#[test]
fn an_idempotency_key_is_sent_with_the_query_id() {
    let start = |key| {
        let (query_id, class, statement) = ("9b1f03aa5c7e2d41", "batch", b"SELECT 1".as_slice());
        let mut out = Vec::new();
        post(
            &StartCall {
                query_id,
                class,
                statement,
                max_ms: 9,
                memory_mb: 0.0,
                priority: 1,
                idempotency_key: key,
            },
            &mut out,
        );
        String::from_utf8(out).unwrap()
    };
    assert!(start(Some("16d2cf6d")).contains("\r\nX-Nonce: 16d2cf6d\r\n"));
    assert!(!start(None).contains("X-Nonce"));
}

#[test]
fn incomplete_responses_are_not_parsed() {
    let text = b"HTTP/1.1 200 OK\r\nPage-Count: 2\r\nX-Meter: queue:3;util:0.5\r\nContent-Length: 6\r\n\r\na\tb\tc\nHTTP";
    for length in 0..text.len() - 4 {
        assert_eq!(read(&mut text[..length].to_vec(), &no_extras()), Ok(None), "{length} bytes");
    }
    let mut input = text.to_vec();
    let r = read(&mut input, &no_extras()).unwrap().unwrap();
    assert_eq!(input, b"HTTP");
    assert_eq!((r.status, r.page_count, r.body.as_slice()), (200, Some(2), b"a\tb\tc\n".as_slice()));
    assert_eq!(r.load_report.unwrap().queued, Some(3.0));
}

#[test]
fn chunked_bodies_are_decoded() {
    let r = response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    assert_eq!(r.body, b"abc");
}

#[test]
fn other_protocols_and_oversized_header_sections_are_errors() {
    assert_eq!(read(&mut b"220 smtp ready\r\n".to_vec(), &no_extras()), Err(InvalidResponse));
    let long = format!("HTTP/1.1 200 OK\r\nX: {}", "a".repeat(MAX_RESPONSE_BYTES));
    assert_eq!(read(&mut long.into_bytes(), &no_extras()), Err(InvalidResponse));
}

#[test]
fn status_and_shed_header_determine_the_outcome() {
    let end = |text: &str| {
        let mut out = Vec::new();
        Exchange::new("aa").on_response(&mut response(text), &mut out)
    };
    let empty = "Content-Length: 0\r\n\r\n";
    assert_eq!(end(&format!("HTTP/1.1 503 x\r\nX-Shed: 1\r\n{empty}")), Step::Ended(Outcome::Rejected));
    assert_eq!(end(&format!("HTTP/1.1 503 x\r\n{empty}")), Step::Ended(Outcome::Error));
    assert_eq!(end(&format!("HTTP/1.1 504 x\r\nX-Shed: 1\r\n{empty}")), Step::Ended(Outcome::NeverSent));
    assert_eq!(end(&format!("HTTP/1.1 500 x\r\nX-Shed: 1\r\n{empty}")), Step::Ended(Outcome::Error));
    assert_eq!(end(&format!("HTTP/1.1 202 x\r\n{empty}")), Step::CallWritten);
    assert_eq!(end(&format!("HTTP/1.1 404 x\r\n{empty}")), Step::Unusable);
    assert_eq!(end(&format!("HTTP/1.1 200 x\r\n{empty}")), Step::Unusable, "Page-Count is missing");
    assert_eq!(end(&format!("HTTP/1.1 200 x\r\nPage-Count: 4000000000\r\n{empty}")), Step::Unusable);
}

#[test]
fn only_the_first_response_to_the_start_call_proves_that_nothing_ran() {
    let empty = "Content-Length: 0\r\n\r\n";
    for status in [503, 504] {
        let shed = response(&format!("HTTP/1.1 {status} x\r\nX-Shed: 1\r\n{empty}"));
        let mut out = Vec::new();
        let mut e = Exchange::new("aa");
        let accepted = response(&format!("HTTP/1.1 202 x\r\n{empty}"));
        assert_eq!(e.on_response(&mut accepted.clone(), &mut out), Step::CallWritten);
        assert_eq!(e.on_response(&mut shed.clone(), &mut out), Step::Unusable, "{status} to a progress call");
        let mut e = Exchange::new("aa");
        e.repeat_call(&mut out);
        assert_eq!(e.on_response(&mut shed.clone(), &mut out), Step::Unusable, "{status} to a repeated call");
        let mut e = Exchange::new("aa");
        let page = response("HTTP/1.1 200 OK\r\nPage-Count: 2\r\nContent-Length: 2\r\n\r\na\n");
        assert_eq!(e.on_response(&mut page.clone(), &mut out), Step::CallWritten);
        assert_eq!(e.on_response(&mut shed.clone(), &mut out), Step::Unusable, "{status} to a page call");
    }
}

#[test]
fn an_exchange_succeeds_when_all_pages_were_received() {
    let mut e = Exchange::new("aa");
    let mut out = Vec::new();
    let first = "HTTP/1.1 200 OK\r\nPage-Count: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    assert_eq!(e.on_response(&mut response(first), &mut out), Step::CallWritten);
    assert!(out.starts_with(b"GET /data/aa/1 "));
    let second = "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 5\r\n\r\nd\t\tf\n";
    assert_eq!(e.on_response(&mut response(second), &mut out), Step::Ended(Outcome::Success));
    let rows = e.rows().unwrap();
    assert_eq!(rows.rows().count(), 2);
    assert_eq!(rows.cells[4].as_deref(), Some(b"".as_slice()));
}

#[test]
fn a_cancelled_query_ends_as_cancelled_not_as_an_error() {
    let mut e = Exchange::new("aa");
    e.cancel();
    let mut out = Vec::new();
    let empty = "Content-Length: 0\r\n\r\n";
    assert_eq!(
        e.on_response(&mut response(&format!("HTTP/1.1 202 x\r\n{empty}")), &mut out),
        Step::StillRunning
    );
    assert_eq!(out, b"", "no further call is written");
    let error = response(&format!("HTTP/1.1 500 x\r\n{empty}"));
    assert_eq!(e.on_response(&mut error.clone(), &mut out), Step::Ended(Outcome::Cancelled));
}

#[test]
fn the_load_report_of_the_first_page_is_kept() {
    let mut e = Exchange::new("aa");
    let first = "HTTP/1.1 200 OK\r\nPage-Count: 2\r\nX-Meter: queue:2\r\nContent-Length: 2\r\n\r\na\n";
    e.on_response(&mut response(first), &mut Vec::new());
    let second = "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 2\r\n\r\nb\n";
    assert_eq!(e.on_response(&mut response(second), &mut Vec::new()), Step::Ended(Outcome::Success));
    assert_eq!(e.load_report.and_then(|r| r.queued), Some(2.0));
}

#[test]
fn informational_responses_are_skipped() {
    let r = response("HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 102 y\r\n\r\nHTTP/1.1 202 z\r\n\r\n");
    assert_eq!(r.status, 202);
    assert_eq!(read(&mut b"HTTP/1.1 100 x\r\n\r\nHTTP".to_vec(), &no_extras()), Ok(None));
}

#[test]
fn contradictory_or_missing_lengths_are_errors() {
    for lengths in ["Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: -1\r\n", ""] {
        let text = format!("HTTP/1.1 200 x\r\n{lengths}\r\na\n");
        assert_eq!(read(&mut text.into_bytes(), &no_extras()), Err(InvalidResponse), "{lengths}");
    }
    let huge = "HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n";
    assert_eq!(read(&mut huge.as_bytes().to_vec(), &no_extras()), Err(InvalidResponse));
}

#[test]
fn a_page_with_truncated_or_uneven_rows_is_rejected_and_can_be_requested_again() {
    let page = |head: &str, body: &str| {
        response(&format!("HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    };
    let mut out = Vec::new();
    let mut e = Exchange::new("aa");
    for body in ["a\tb\nc\td", "a\tb\nc\n", &"a\n".repeat(MAX_PAGE_BYTES)] {
        assert_eq!(e.on_response(&mut page("Page-Count: 2", body), &mut out), Step::Unusable);
    }
    assert_eq!(e.on_response(&mut page("Page-Count: 2", "a\tb\n"), &mut out), Step::CallWritten);
    assert_eq!(e.on_response(&mut page("Page-No: 1", "c\n"), &mut out), Step::Unusable, "fewer columns");
    assert_eq!(
        e.on_response(&mut page("Page-No: 2", "c\td\n"), &mut out),
        Step::Unusable,
        "wrong page number"
    );
    out.clear();
    e.repeat_call(&mut out);
    assert!(out.starts_with(b"GET /data/aa/1 "));
    let last = e.on_response(&mut page("Page-No: 1", "c\td\n"), &mut out);
    assert_eq!(last, Step::Ended(Outcome::Success));
    assert_eq!(e.rows().unwrap().rows().count(), 2);
}

#[test]
fn an_error_for_a_page_ends_the_exchange_with_an_error() {
    let mut e = Exchange::new("aa");
    let first = "HTTP/1.1 200 OK\r\nPage-Count: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
    e.on_response(&mut response(first), &mut Vec::new());
    let lost = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(e.on_response(&mut response(lost), &mut Vec::new()), Step::Ended(Outcome::Error));
}
