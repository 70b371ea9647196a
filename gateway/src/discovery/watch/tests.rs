use super::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const SECOND_US: u64 = 1_000_000;

fn event_text(index: u64, is_full: bool, entries: &str) -> String {
    format!(
        "id: {index}\ndata: {{\"index\":{index},\"endpoints\":{{\"snapshot\":{is_full},\"endpoints\":[{entries}]}}}}\n\n"
    )
}

fn change(index: u64) -> String {
    event_text(index, false, "")
}

/// A watch with an open stream that starts after event 10.
fn open_watch() -> EndpointWatch {
    let mut watch = EndpointWatch::new(10, 0, 0.0);
    let due = watch.on_deadline(0, || 0.5, &mut Vec::new());
    assert_eq!(due, DueActions { close: false, connect: true });
    reopen(&mut watch, 0);
    watch
}

fn reopen(watch: &mut EndpointWatch, now_us: u64) {
    watch.on_connecting(now_us);
    watch.on_connected(now_us);
    receive(watch, now_us, HEAD).0.unwrap();
}

fn receive(watch: &mut EndpointWatch, now_us: u64, text: &str) -> (Result<(), WatchError>, Vec<u64>) {
    let mut events = Vec::new();
    let result = watch.on_bytes(now_us, &mut text.as_bytes().to_vec(), || 0.5, &mut events);
    (result, events.iter().map(|event| event.index).collect())
}

#[test]
fn connection_attempts_are_spaced_and_time_out() {
    let mut watch = EndpointWatch::new(0, 0, 0.0);
    let none = DueActions::default();
    assert!(watch.on_deadline(0, || 0.0, &mut Vec::new()).connect);
    assert_eq!(watch.deadline_us(), 150_000, "a quarter below the mean");
    assert_eq!(watch.on_deadline(149_999, || 0.0, &mut Vec::new()), none);
    assert!(watch.on_deadline(150_000, || 1.0, &mut Vec::new()).connect);
    assert_eq!(watch.deadline_us(), 400_000, "a quarter above the mean");
    watch.on_connecting(150_000);
    assert_eq!((watch.is_up(), watch.deadline_us()), (false, 150_000 + CONNECT_TIMEOUT_US));
    assert_eq!(watch.on_deadline(1_149_999, || 0.0, &mut Vec::new()), none);
    let due = watch.on_deadline(1_150_000, || 0.0, &mut Vec::new());
    assert_eq!(due, DueActions { close: true, connect: true }, "without a delay");
}

#[test]
fn a_silent_stream_is_reopened_at_once_and_a_lost_one_after_a_jitter() {
    let mut watch = open_watch();
    let silent_us = watch.deadline_us();
    assert!((2 * SECOND_US..=3 * SECOND_US).contains(&silent_us));
    let due = watch.on_deadline(silent_us, || 0.5, &mut Vec::new());
    assert_eq!(due, DueActions { close: true, connect: true });
    reopen(&mut watch, silent_us);
    let lost_us = silent_us + SECOND_US;
    watch.on_connection_lost(lost_us, || 0.5, &mut Vec::new());
    assert_eq!((watch.is_up(), watch.deadline_us()), (false, lost_us + MAX_RECONNECT_JITTER_US / 2));
    watch.reconnect(&mut Vec::new());
    assert!(watch.on_deadline(lost_us, || 0.5, &mut Vec::new()).connect, "without a delay");
}

#[test]
fn old_events_are_skipped_and_missing_ones_requested_once() {
    let mut watch = open_watch();
    assert_eq!(receive(&mut watch, 1, &(change(10) + &change(11))).1, [11]);
    let (result, events) = receive(&mut watch, 2, &change(14));
    assert!(matches!(result, Err(WatchError::MissingEvents { index: 14, last_index: 11 })));
    assert_eq!((events, watch.deadline_us()), (vec![], 2), "requested again at once");
    let mut request = Vec::new();
    watch.write_request(&mut request);
    assert!(String::from_utf8(request).unwrap().contains("Last-Event-ID: 11\r\n"));
    // Events that arrive now are applied together with the event after the gap.
    reopen(&mut watch, 3);
    assert!(receive(&mut watch, 4, &change(12)).1.is_empty());
    let (result, events) = receive(&mut watch, 5, &(change(14) + &change(15)));
    assert!(result.is_ok(), "event 13 was requested and is not sent");
    assert_eq!((events, watch.last_index()), (vec![12, 14, 15], 15));
    // After a full list, no events are missing.
    assert_eq!(receive(&mut watch, 6, &event_text(20, true, "")).1, [20]);
}

#[test]
fn buffered_events_are_bounded_and_applied_when_the_stream_ends() {
    let mut watch = open_watch();
    let gap = 12 + 2 * MAX_BUFFERED_EVENTS as u64;
    assert!(receive(&mut watch, 1, &change(gap)).0.is_err());
    reopen(&mut watch, 2);
    let first = 11 + MAX_BUFFERED_EVENTS as u64;
    for index in 11..first - 1 {
        assert!(receive(&mut watch, 3, &change(index)).1.is_empty());
    }
    assert_eq!(receive(&mut watch, 3, &change(first - 1)).1.len(), MAX_BUFFERED_EVENTS);
    assert!(receive(&mut watch, 4, &change(first)).1.is_empty());
    let mut events = Vec::new();
    watch.on_connection_lost(5, || 0.0, &mut events);
    assert_eq!(events.iter().map(|event| event.index).collect::<Vec<_>>(), [first]);
    // Buffered events are also applied when a newer event comes from the configuration file.
    reopen(&mut watch, 6);
    assert!(receive(&mut watch, 7, &change(first + 1)).1.is_empty());
    let mut events = Vec::new();
    let known = |index| EndpointListEvent { index, is_full: false, entries: vec![], unreadable: vec![] };
    watch.on_known_event(&known(first + 1), &mut events);
    watch.on_known_event(&known(first + 5), &mut events);
    assert_eq!(events.iter().map(|event| event.index).collect::<Vec<_>>(), [first + 1, first + 5]);
    assert_eq!(watch.last_index(), first + 5);
}

#[test]
fn unreadable_events_are_requested_once_more_and_then_skipped() {
    let mut watch = open_watch();
    let partly_readable = event_text(11, false, "{\"name\":\"a\"}");
    let (result, events) = receive(&mut watch, 1, &partly_readable);
    assert!(matches!(result, Err(WatchError::UnreadableEntries(11))));
    assert_eq!((events, watch.last_index()), (vec![11], 10), "the readable entries apply meanwhile");
    reopen(&mut watch, 2);
    assert_eq!(receive(&mut watch, 3, &partly_readable).1, [11]);
    assert_eq!(watch.last_index(), 11);
    let corrupted = "id: 12\ndata: {\n\n";
    for last_index in [11, 12] {
        let (result, events) = receive(&mut watch, 4, corrupted);
        assert!(matches!(result, Err(WatchError::Stream(EndpointStreamError::UnreadableEvent(12, _)))));
        assert_eq!((events, watch.last_index()), (vec![], last_index));
        reopen(&mut watch, 5);
    }
}
