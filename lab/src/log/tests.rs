use super::*;

#[test]
fn lines_without_a_time_prefix_are_dated_by_the_field_now_us() {
    assert_eq!(timestamp_s("DEBUG wrenhatch: request admitted query_id=\"a\" now_us=2500000"), Some(2.5));
    assert_eq!(timestamp_s("[3.25] DEBUG wrenhatch: request admitted"), Some(3.25));
    assert_eq!(timestamp_s("no time"), None);
    assert_eq!(field("x query_id=\"a\" now_us=1", "now_us"), Some("1"));
    assert_eq!(field("x unclass=1", "class"), None);
}
