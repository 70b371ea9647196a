use wrenhatch_configuration::{Digest, Version};

use super::*;

#[test]
fn calls_say_who_asks_and_what_is_in_force() {
    let mut out = Vec::new();
    let position = Position { version: Version(7), digest: Digest(0x2a) };
    open(&"g 1\r\nX: y".into(), position, &mut out);
    let text = String::from_utf8(out).unwrap();
    assert!(text.contains("\r\nGateway: g1X:y\r\nVersion: 7\r\nDigest: 000000000000002a\r\n\r\n"), "{text}");
    let mut out = Vec::new();
    report(&"g1".into(), &Report::Applied { version: Version(7) }, &mut out);
    let text = String::from_utf8(out).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())));
    assert_eq!(Report::parse(body).unwrap(), ("g1".into(), Report::Applied { version: Version(7) }));
}

#[test]
fn only_no_content_takes_a_report() {
    let whole = b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n";
    for n in 0..whole.len() {
        assert_eq!(is_taken(&whole[..n]), None, "{n}");
    }
    assert_eq!(is_taken(whole), Some(true));
    assert_eq!(is_taken(b"HTTP/1.1 503 Later\r\n\r\n"), Some(false));
    assert_eq!(is_taken(b"\x16\x03\x01"), Some(false));
    assert_eq!(
        is_taken(&[b"HTTP/1.1 204 No Content\r\nA: ", &[b'a'; LONGEST_ANSWER][..]].concat()),
        Some(false)
    );
}
