use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn taken(bytes: &[u8]) -> EventStream {
    let mut stream = EventStream::new(1 << 16);
    stream.take(&mut bytes.to_vec()).unwrap();
    stream
}

#[test]
fn an_event_that_is_cut_off_anywhere_is_none() {
    let text = format!("{HEAD}id: 7\r\ndata: {{\"a\":\r\ndata: 1}}\r\n\r\n");
    for cut in 0..text.len() {
        assert_eq!(taken(&text.as_bytes()[..cut]).next_event(), None, "cut at {cut}");
    }
    let mut stream = taken(text.as_bytes());
    assert_eq!(stream.next_event(), Some(SentEvent { id: 7, data: "{\"a\":\n1}".to_owned() }));
    assert_eq!((stream.next_event(), stream.lines()), (None, 5));
}

#[test]
fn comments_are_signs_of_life_and_no_events() {
    let mut stream = taken(format!("{HEAD}: here\n\n: here\n\n").as_bytes());
    assert_eq!((stream.next_event(), stream.lines()), (None, 5));
}

#[test]
fn what_is_no_stream_and_what_never_ends_is_given_up() {
    for answer in ["HTTP/1.1 503 Later\r\n\r\n", "\u{16}\u{3}\u{1}\r\n\r\n"] {
        assert_eq!(EventStream::new(100).take(&mut answer.as_bytes().to_vec()), Err(NoStream));
    }
    let mut stream = EventStream::new(100);
    stream.take(&mut HEAD.as_bytes().to_vec()).unwrap();
    stream.take(&mut vec![b'a'; 60]).unwrap();
    assert_eq!(stream.take(&mut vec![b'a'; 60]), Err(NoStream));
}
