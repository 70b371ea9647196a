use super::*;

fn call(line: &str) -> Result<Option<AdminCall>, CallError> {
    read(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
}

#[test]
fn calls_are_parsed_and_invalid_ones_have_their_errors() {
    assert_eq!(call("GET /status"), Ok(Some(AdminCall::Status)));
    assert_eq!(call("GET /status/metrics"), Ok(Some(AdminCall::Metrics)));
    assert_eq!(call("PUT /maintenance/enter/s-00c4"), Ok(Some(AdminCall::EnterMaintenance("s-00c4".into()))));
    assert_eq!(call("PUT /maintenance/exit/a%20b%3A1"), Ok(Some(AdminCall::ExitMaintenance("a b:1".into()))));
    for path in ["/", "/status/", "/maintenance/enter/", "/maintenance/exit/a/b", "/maintenance/enter/%g1"] {
        assert_eq!(call(&format!("PUT {path}")), Err(CallError::UnknownPath), "{path}");
    }
    assert_eq!(call(&format!("PUT /maintenance/enter/{}", "a".repeat(300))), Err(CallError::UnknownPath));
    assert_eq!(call("POST /status"), Err(CallError::WrongMethod));
    assert_eq!(call("GET /maintenance/enter/a"), Err(CallError::WrongMethod));
    let with =
        |header: &str| read(format!("PUT /maintenance/enter/a HTTP/1.1\r\n{header}\r\n\r\n").as_bytes());
    assert_eq!(with("Content-Length: 0"), Ok(Some(AdminCall::EnterMaintenance("a".into()))));
    assert_eq!(with("content-length: 5"), Err(CallError::HasBody));
    assert_eq!(with("Transfer-Encoding: chunked"), Err(CallError::HasBody));
    assert_eq!(read(b"\x16\x03\x01 tls"), Err(CallError::NotHttp));
    assert_eq!(read(b"GET /status HTTP/1.1\r\nA: "), Ok(None));
    assert_eq!(
        read(&[&b"GET /status HTTP/1.1\r\nA: "[..], &[b'a'; MAX_CALL_BYTES]].concat()),
        Err(CallError::TooLong)
    );
    assert_eq!(
        read(format!("GET /status HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(40)).as_bytes()),
        Err(CallError::TooLong)
    );
}

#[test]
fn a_call_may_arrive_byte_by_byte() {
    let call = b"PUT /maintenance/enter/e1 HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n";
    for n in 0..call.len() {
        assert_eq!(read(&call[..n]), Ok(None), "{n}");
    }
    assert_eq!(read(call), Ok(Some(AdminCall::EnterMaintenance("e1".into()))));
}

quickcheck::quickcheck! {
    fn random_bytes_are_not_a_call_and_responses_have_a_content_length(bytes: Vec<u8>) -> bool {
        let mut out = Vec::new();
        write_response(Err(CallError::UnknownPath), &mut out);
        let text = String::from_utf8(out).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        !matches!(read(&bytes), Ok(Some(_))) && head.contains(&format!("Content-Length: {}\r\n", body.len()))
    }
}
