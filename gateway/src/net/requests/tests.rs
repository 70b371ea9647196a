use super::*;

#[test]
fn an_id_is_under_way_until_the_last_that_goes_by_it_has_ended() {
    let mut requests = Requests::default();
    requests.retain_query_id("00000000000000aB");
    requests.retain_query_id("00000000000000ab");
    requests.release_query_id("00000000000000AB");
    assert!(requests.is_under_way("00000000000000Ab") && !requests.is_under_way("00000000000000ac"));
    requests.release_query_id("00000000000000ab");
    requests.release_query_id("00000000000000ab");
    assert!(!requests.is_under_way("00000000000000ab"));
}
