use super::*;

#[test]
fn unreadable_entries_are_separated_from_readable_ones() {
    let entry = |n: usize| {
        let status = if n % 1000 == 7 { "Sick" } else { "Ready" };
        format!("{{\"name\":\"e{n}\",\"address\":\"127.0.0.1:9\",\"status\":\"{status}\"}}")
    };
    let list: Vec<String> = (0..3000).map(entry).chain(["7".to_owned()]).collect();
    let event = |list: &str| {
        parse_event(&format!("{{\"index\":4,\"endpoints\":{{\"snapshot\":true,\"endpoints\":{list}}}}}"))
    };
    let read = event(&format!("[{}]", list.join(","))).unwrap();
    assert_eq!((read.index, read.is_full, read.entries.len()), (4, true, 2997));
    let names: Vec<_> = read.unreadable.iter().map(|u| u.name.as_deref()).collect();
    assert_eq!(names, [Some("e7"), Some("e1007"), Some("e2007"), None]);
    let error = "event.endpoints.endpoints[1007].status: Ready, Terminating or Gone expected";
    assert_eq!(read.unreadable[1].error, error);
    assert!(event("7").is_err(), "the entries are not an array");
}
