use super::*;
use workload_manager::EndpointState;

const EVENT: &str = "{\"index\":4,\"endpoints\":{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":\"a\",\
    \"address\":\"127.0.0.1:80\",\"zone\":\"z\",\"type\":\"k\",\"group\":2,\"status\":\"Terminating\",\"since_ms\":0}]}}";

fn read_in_chunks(text: &str, size: usize) -> Vec<EndpointListEvent> {
    let mut stream = EndpointStream::new(0);
    let (mut input, mut events) = (Vec::new(), Vec::new());
    for chunk in text.as_bytes().chunks(size) {
        input.extend(chunk);
        stream.read(&mut input, &mut events).unwrap();
    }
    events
}

#[test]
fn events_are_read_from_chunks_of_any_size() {
    let block = format!(": hello\n\nid: 41\ndata: {EVENT}\n\n");
    let unchunked = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n{block}");
    let (a, b) = block.split_at(30);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{a}\r\n{:x}\r\n{b}\r\n",
        a.len(),
        b.len()
    );
    for text in [unchunked, chunked] {
        for size in 1..40 {
            let events = read_in_chunks(&text, size);
            assert_eq!(events.len(), 1, "chunks of {size}");
            assert_eq!((events[0].index, events[0].is_full), (41, false));
            assert_eq!(events[0].entries[0].state, EndpointState::Draining);
        }
    }
}

#[test]
fn events_before_an_unreadable_one_are_returned() {
    let mut input =
        format!("HTTP/1.1 200 OK\r\n\r\nid: 41\ndata: {EVENT}\n\nid: 42\ndata: {{\n\n").into_bytes();
    let mut events = Vec::new();
    let end = EndpointStream::new(0).read(&mut input, &mut events);
    assert!(matches!(end, Err(EndpointStreamError::UnreadableEvent(42, _))));
    assert_eq!(events.iter().map(|e| e.index).collect::<Vec<_>>(), [41]);
}

#[test]
fn event_size_is_bounded_by_memory_with_a_minimum() {
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
        EndpointStream::new(memory)
            .read(&mut input, &mut events)
            .map(|()| events.iter().map(|e| e.entries.len()).sum())
    };
    assert_eq!(read(1024, 0).ok(), Some(1024), "accepted regardless of the memory limit");
    assert_eq!(read(8192, 64 << 20).ok(), Some(8192));
    assert!(matches!(read(8192, 1 << 20), Err(EndpointStreamError::NotAStream)));
}

#[test]
fn partial_lines_are_not_counted() {
    let mut stream = EndpointStream::new(0);
    let mut read = |text: &str| {
        stream.read(&mut text.as_bytes().to_vec(), &mut Vec::new()).unwrap();
        stream.line_count()
    };
    let lines = read("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(read("id: 2\ndata: {"), lines + 1);
    assert_eq!(read("\"index\""), lines + 1);
    assert_eq!(read(":2}\n"), lines + 2);
}

#[test]
fn a_response_with_another_status_is_an_error() {
    let mut input = b"HTTP/1.1 404 no\r\n\r\n".to_vec();
    assert!(matches!(
        EndpointStream::new(0).read(&mut input, &mut Vec::new()),
        Err(EndpointStreamError::NotAStream)
    ));
}
