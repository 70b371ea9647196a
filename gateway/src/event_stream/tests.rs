use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn stream_of(bytes: &[u8]) -> EventStream {
    let mut stream = EventStream::new(1 << 16);
    stream.read(&mut bytes.to_vec()).unwrap();
    stream
}

#[test]
fn a_truncated_event_is_not_returned() {
    let text = format!("{HEAD}id: 7\r\ndata: {{\"a\":\r\ndata: 1}}\r\n\r\n");
    for length in 0..text.len() {
        assert_eq!(stream_of(&text.as_bytes()[..length]).next_event(), None, "truncated to {length} bytes");
    }
    let mut stream = stream_of(text.as_bytes());
    assert_eq!(stream.next_event(), Some(ServerSentEvent { id: 7, data: "{\"a\":\n1}".to_owned() }));
    assert_eq!((stream.next_event(), stream.line_count()), (None, 5));
}

#[test]
fn comments_count_as_lines_and_are_not_events() {
    let mut stream = stream_of(format!("{HEAD}: here\n\n: here\n\n").as_bytes());
    assert_eq!((stream.next_event(), stream.line_count()), (None, 5));
}

#[test]
fn other_responses_and_oversized_events_are_errors() {
    for answer in ["HTTP/1.1 503 Later\r\n\r\n", "\u{16}\u{3}\u{1}\r\n\r\n"] {
        assert_eq!(EventStream::new(100).read(&mut answer.as_bytes().to_vec()), Err(EventStreamError));
    }
    let mut stream = EventStream::new(100);
    stream.read(&mut HEAD.as_bytes().to_vec()).unwrap();
    stream.read(&mut vec![b'a'; 60]).unwrap();
    assert_eq!(stream.read(&mut vec![b'a'; 60]), Err(EventStreamError));
}
