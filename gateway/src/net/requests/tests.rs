use super::*;

#[test]
fn query_id_is_in_use_until_its_last_reference_is_released() {
    let mut requests = Requests::default();
    requests.retain_query_id("00000000000000aB");
    requests.retain_query_id("00000000000000ab");
    requests.release_query_id("00000000000000AB");
    assert!(
        requests.is_query_id_in_use("00000000000000Ab") && !requests.is_query_id_in_use("00000000000000ac")
    );
    requests.release_query_id("00000000000000ab");
    requests.release_query_id("00000000000000ab");
    assert!(!requests.is_query_id_in_use("00000000000000ab"));
}
