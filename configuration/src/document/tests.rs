use super::*;

fn read(text: &str) -> Document {
    text.parse().unwrap()
}

#[test]
fn the_digest_is_fnv_1a_of_the_canonical_json() {
    let document = read("{ \"b\": [1, 2.50], \"a\": {\"d\": true, \"c\": \"x\"} }");
    assert_eq!(document.canonical(), "{\"a\":{\"c\":\"x\",\"d\":true},\"b\":[1,2.5]}");
    // Published test vectors of FNV-1a: the empty input and "a".
    assert_eq!(Fnv1a::new().finish(), 0xcbf2_9ce4_8422_2325);
    let mut hash = Fnv1a::new();
    hash.add(b"a");
    assert_eq!(hash.finish(), 0xaf63_dc4c_8601_ec8c);
    let mut hash = Fnv1a::new();
    hash.add(document.canonical().as_bytes());
    assert_eq!(document.digest(), Digest(hash.finish()));
}

#[test]
fn null_members_are_removed_at_any_depth_and_null_elements_are_kept() {
    let document = read("{\"a\":null,\"b\":{\"c\":null},\"d\":[null,{\"e\":null}]}");
    assert_eq!(document.canonical(), "{\"b\":{},\"d\":[null,{}]}");
    assert_eq!(document, read("{\"b\":{},\"d\":[null,{}]}"));
}

#[test]
fn only_objects_without_the_reserved_member_are_documents() {
    assert!(matches!("[]".parse::<Document>(), Err(DocumentError::NotAnObject)));
    assert!(matches!("{".parse::<Document>(), Err(DocumentError::Json(_))));
    let reserved = format!("{{\"a\":[{{\"{LIST_MEMBER}\":1}}]}}");
    assert!(matches!(reserved.parse::<Document>(), Err(DocumentError::ReservedMember)));
    assert_eq!(Document::default(), read("{}"));
}

#[test]
fn floats_round_trip() {
    for number in [0.1, 1e-320, 123_456.789_012_345_67, 5e-324, 1.797_693_134_862_315_7e308] {
        let document = Document::new(serde_json::json!({ "x": number })).unwrap();
        assert_eq!(read(&document.canonical()).digest(), document.digest(), "{number}");
    }
}

#[test]
fn too_deep_nesting_is_an_error() {
    let deep = format!("{{\"a\":{}{}}}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(matches!(deep.parse::<Document>(), Err(DocumentError::Json(_))));
}
