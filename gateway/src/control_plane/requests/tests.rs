use wrenhatch_configuration::{Digest, Version};

use super::*;

#[test]
fn requests_name_the_gateway_and_the_version_in_force() {
    let mut out = Vec::new();
    let position = Position { version: Version(7), digest: Digest(0x2a) };
    write_stream_request(&"g 1\r\nX: y".into(), position, &mut out);
    let text = String::from_utf8(out).unwrap();
    assert!(text.contains("\r\nGateway: g1X:y\r\nVersion: 7\r\nDigest: 000000000000002a\r\n\r\n"), "{text}");
    let mut out = Vec::new();
    write_report_request(&"g1".into(), &Report::Applied { version: Version(7) }, &mut out);
    let text = String::from_utf8(out).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())));
    assert_eq!(Report::parse(body).unwrap(), ("g1".into(), Report::Applied { version: Version(7) }));
}

#[test]
fn only_no_content_accepts_a_report() {
    let response = b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n";
    for n in 0..response.len() {
        assert_eq!(read_report_response(&response[..n]), ReportResponse::Incomplete, "{n}");
    }
    assert_eq!(read_report_response(response), ReportResponse::Accepted);
    assert_eq!(read_report_response(b"HTTP/1.1 503 Later\r\n\r\n"), ReportResponse::Failed);
    assert_eq!(read_report_response(b"\x16\x03\x01"), ReportResponse::Failed);
    assert_eq!(
        read_report_response(
            &[b"HTTP/1.1 204 No Content\r\nA: ", &[b'a'; MAX_REPORT_RESPONSE_BYTES][..]].concat()
        ),
        ReportResponse::Failed
    );
}
