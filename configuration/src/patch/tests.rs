use serde_json::json;

use super::*;

fn patched(old: &Value, new: &Value) -> Value {
    let mut result = old.clone();
    apply(&mut result, difference(old, new)).unwrap();
    result
}

fn apply_error(mut target: Value, patch: Value) -> PatchError {
    apply(&mut target, patch).unwrap_err()
}

#[test]
fn differences_of_objects_are_merge_patches() {
    let old = json!({ "a": "b", "c": { "d": "e", "f": "g" }, "same": 1 });
    let new = json!({ "a": "z", "c": { "d": "e" }, "new": [], "same": 1 });
    assert_eq!(difference(&old, &new), json!({ "a": "z", "c": { "f": null }, "new": [] }));
    assert_eq!(patched(&old, &new), new);
    assert_eq!(difference(&new, &new), json!({}));
}

/// Examples of RFC 7396, appendix A.
#[test]
fn merge_patches_follow_rfc_7396() {
    let examples = [
        (json!({"a":"b"}), json!({"a":"c"}), json!({"a":"c"})),
        (json!({"a":"b"}), json!({"b":"c"}), json!({"a":"b","b":"c"})),
        (json!({"a":"b"}), json!({"a":null}), json!({})),
        (json!({"a":"b","b":"c"}), json!({"a":null}), json!({"b":"c"})),
        (json!({"a":["b"]}), json!({"a":"c"}), json!({"a":"c"})),
        (json!({"a":"c"}), json!({"a":["b"]}), json!({"a":["b"]})),
        (json!({"a":{"b":"c"}}), json!({"a":{"b":"d","c":null}}), json!({"a":{"b":"d"}})),
        (json!({"a":[{"b":"c"}]}), json!({"a":[1]}), json!({"a":[1]})),
        (json!(["a", "b"]), json!(["c", "d"]), json!(["c", "d"])),
        (json!({"a":"b"}), json!(["c"]), json!(["c"])),
        (json!({"a":"foo"}), json!(null), json!(null)),
        (json!({"e":null}), json!({"a":1}), json!({"e":null,"a":1})),
        (json!([1, 2]), json!({"a":"b","c":null}), json!({"a":"b"})),
        (json!({}), json!({"a":{"bb":{"ccc":null}}}), json!({"a":{"bb":{}}})),
    ];
    for (mut target, patch, result) in examples {
        apply(&mut target, patch.clone()).unwrap();
        assert_eq!(target, result, "{patch}");
    }
}

#[test]
fn differences_of_named_lists_hold_only_changed_elements() {
    let old = json!({ "classes": [{ "name": "a", "aim": 1, "x": 1 }, { "name": "b" }, { "name": "c" }] });
    let new = json!({ "classes": [{ "name": "a", "aim": 2, "x": 1 }, { "name": "c" }, { "name": "d" }] });
    let patch = json!({ "classes": { LIST_MEMBER: {
        "removed": ["b"], "changed": { "a": { "aim": 2 } }, "added": [{ "name": "d" }] } } });
    assert_eq!(difference(&old, &new), patch);
    assert_eq!(patched(&old, &new), new);
}

#[test]
fn a_changed_order_is_part_of_the_difference() {
    let old = json!([{ "name": "a" }, { "name": "b" }]);
    let new = json!([{ "name": "c" }, { "name": "b" }, { "name": "a" }]);
    let patch = json!({ LIST_MEMBER: { "added": [{ "name": "c" }], "order": ["c", "b", "a"] } });
    assert_eq!(difference(&old, &new), patch);
    assert_eq!(patched(&old, &new), new);
}

#[test]
fn lists_without_distinct_names_are_replaced() {
    for (old, new) in [
        (json!([1, 2]), json!([1, 3])),
        (json!([]), json!([{ "name": "a" }])),
        (json!([{ "name": "a" }]), json!([])),
        (json!([{ "name": "a" }, { "name": "a" }]), json!([{ "name": "a" }])),
        (json!([{ "name": "a" }]), json!([{ "name": 7 }])),
        (json!([{ "name": "a" }]), json!([{ "named": "a" }, null])),
    ] {
        assert_eq!(difference(&old, &new), new);
        assert_eq!(patched(&old, &new), new);
    }
}

#[test]
fn patches_that_do_not_match_the_list_are_errors() {
    let list = || json!([{ "name": "a" }, { "name": "b" }]);
    let patch = |patch: Value| json!({ LIST_MEMBER: patch });
    assert_eq!(
        apply_error(list(), patch(json!({ "removed": ["z"] }))),
        PatchError::UnknownElement("z".to_owned())
    );
    assert_eq!(
        apply_error(list(), patch(json!({ "changed": { "z": {} } }))),
        PatchError::UnknownElement("z".to_owned())
    );
    assert_eq!(apply_error(list(), patch(json!({ "added": [{ "name": "a" }] }))), PatchError::NotANamedList);
    assert_eq!(apply_error(list(), patch(json!({ "added": [7] }))), PatchError::NotANamedList);
    assert_eq!(
        apply_error(list(), patch(json!({ "changed": { "a": { "name": null } } }))),
        PatchError::NotANamedList
    );
    assert_eq!(apply_error(list(), patch(json!({ "order": ["a"] }))), PatchError::OrderMismatch);
    assert_eq!(apply_error(list(), patch(json!({ "order": ["a", "a"] }))), PatchError::OrderMismatch);
    assert_eq!(apply_error(json!({}), patch(json!({ "removed": [] }))), PatchError::NotANamedList);
    assert!(matches!(apply_error(list(), patch(json!({ "moved": [] }))), PatchError::Malformed(_)));
    assert!(matches!(apply_error(list(), patch(json!(7))), PatchError::Malformed(_)));
}
