use super::*;

#[test]
fn an_id_is_under_way_until_the_last_that_goes_by_it_has_ended() {
    let mut requests = Requests::default();
    requests.take_ticket("00000000000000aB");
    requests.take_ticket("00000000000000ab");
    requests.free_ticket("00000000000000AB");
    assert!(requests.is_under_way("00000000000000Ab") && !requests.is_under_way("00000000000000ac"));
    requests.free_ticket("00000000000000ab");
    requests.free_ticket("00000000000000ab");
    assert!(!requests.is_under_way("00000000000000ab"));
}
