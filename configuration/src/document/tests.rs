use super::*;

fn read(text: &str) -> Document {
    text.parse().unwrap()
}

#[test]
fn the_digest_is_fnv_1a_over_sorted_keys_without_blanks() {
    let document = read("{ \"b\": [1, 2.50], \"a\": {\"d\": true, \"c\": \"x\"} }");
    assert_eq!(document.canonical(), "{\"a\":{\"c\":\"x\",\"d\":true},\"b\":[1,2.5]}");
    // The published test vectors of FNV-1a: the empty text and "a".
    assert_eq!(Fnv1a::new().finish(), 0xcbf2_9ce4_8422_2325);
    let mut hash = Fnv1a::new();
    hash.add(b"a");
    assert_eq!(hash.finish(), 0xaf63_dc4c_8601_ec8c);
    let mut hash = Fnv1a::new();
    hash.add(document.canonical().as_bytes());
    assert_eq!(document.digest(), Digest(hash.finish()));
}

#[test]
fn null_members_are_absent_ones_at_any_depth_but_elements_of_lists_stay() {
    let document = read("{\"a\":null,\"b\":{\"c\":null},\"d\":[null,{\"e\":null}]}");
    assert_eq!(document.canonical(), "{\"b\":{},\"d\":[null,{}]}");
    assert_eq!(document, read("{\"b\":{},\"d\":[null,{}]}"));
}

#[test]
fn an_object_is_a_document_and_nothing_else() {
    assert!(matches!("[]".parse::<Document>(), Err(DocumentError::NoObject)));
    assert!(matches!("{".parse::<Document>(), Err(DocumentError::Json(_))));
    let reserved = format!("{{\"a\":[{{\"{LIST_MEMBER}\":1}}]}}");
    assert!(matches!(reserved.parse::<Document>(), Err(DocumentError::Reserved)));
    assert_eq!(Document::default(), read("{}"));
}

#[test]
fn floats_keep_their_value_when_read_again() {
    for number in [0.1, 1e-320, 123_456.789_012_345_67, 5e-324, 1.797_693_134_862_315_7e308] {
        let document = Document::new(serde_json::json!({ "x": number })).unwrap();
        assert_eq!(read(&document.canonical()).digest(), document.digest(), "{number}");
    }
}

#[test]
fn deep_nesting_is_an_error() {
    let deep = format!("{{\"a\":{}{}}}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(matches!(deep.parse::<Document>(), Err(DocumentError::Json(_))));
}
