use super::*;
use notchridge::interface::EngineState;

const EVENT: &str = "{\"index\":4,\"endpoints\":{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":\"a\",\
    \"address\":\"127.0.0.1:80\",\"zone\":\"z\",\"type\":\"k\",\"group\":2,\"status\":\"Terminating\",\"since_ms\":0}]}}";

fn read_in_pieces(text: &str, size: usize) -> Vec<ListEvent> {
    let mut stream = Stream::new(0);
    let (mut input, mut events) = (Vec::new(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        input.extend(piece);
        stream.read(&mut input, &mut events).unwrap();
    }
    events
}

#[test]
fn events_come_whole_however_they_are_cut() {
    let block = format!(": hello\n\nid: 41\ndata: {EVENT}\n\n");
    let plain = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{block}");
    let (a, b) = block.split_at(30);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n",
        a.len(),
        b.len()
    );
    for text in [plain, chunked] {
        for size in 1..40 {
            let events = read_in_pieces(&text, size);
            assert_eq!(events.len(), 1, "pieces of {size}");
            assert_eq!((events[0].index, events[0].full), (41, false));
            assert_eq!(events[0].entries[0].state, EngineState::Draining);
        }
    }
}

#[test]
fn events_before_one_that_can_t_be_read_count() {
    let mut input =
        format!("HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {EVENT}\n\nid: 42\ndata: {{\n\n").into_bytes();
    let mut events = Vec::new();
    let end = Stream::new(0).read(&mut input, &mut events);
    assert!(matches!(end, Err(StreamError::BadEvent(42, _))));
    assert_eq!(events.iter().map(|e| e.index).collect::<Vec<_>>(), [41]);
}

#[test]
fn events_of_a_thousand_engines_are_read_and_endless_ones_are_not() {
    let name = "s-".to_owned() + &"0".repeat(60);
    let entry = |n: usize| {
        format!(
            "{{\"name\":\"{name}{n}\",\"address\":\"10.111.222.33:10080\",\"zone\":\"a-zone-of-some-length\",\
            \"type\":\"k\",\"group\":2,\"status\":\"Ready\",\"weight\":4,\"since_ms\":1790000000000}}"
        )
    };
    let read = |engines: usize, memory: usize| {
        let list = (0..engines).map(entry).collect::<Vec<_>>().join(",");
        let mut input = format!(
            "HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {{\"index\":41,\"endpoints\":{{\"snapshot\":true,\"endpoints\":[{list}]}}}}\n\n"
        )
        .into_bytes();
        let mut events = Vec::new();
        Stream::new(memory)
            .read(&mut input, &mut events)
            .map(|()| events.iter().map(|e| e.entries.len()).sum())
    };
    assert_eq!(read(1024, 0).ok(), Some(1024), "however little memory there is");
    assert_eq!(read(8192, 64 << 20).ok(), Some(8192));
    assert!(matches!(read(8192, 1 << 20), Err(StreamError::NoStream)));
}

#[test]
fn what_is_no_stream_is_told() {
    let mut input = b"HTTP/1.1 404 no\r\n\r\n".to_vec();
    assert!(matches!(Stream::new(0).read(&mut input, &mut Vec::new()), Err(StreamError::NoStream)));
}
