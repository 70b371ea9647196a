use serde_json::json;

use super::*;

#[test]
fn encoded_messages_are_shared_and_dropped_when_a_version_is_added() {
    let mut history = History::default();
    for version in 1..=1_000 {
        let document = Document::new(json!({ "classes": "x".repeat(100), "worth": version })).unwrap();
        history.push(Version(version), document);
        let before = Version(version - 1);
        let text = |history: &mut History| {
            history.text_for(before, history.digest(before), Version(version)).unwrap()
        };
        let (first, second) = (text(&mut history), text(&mut history));
        assert!(Arc::ptr_eq(&first, &second));
        assert!(history.texts.len() <= 2 && history.versions.len() <= HISTORY_VERSIONS);
    }
}
