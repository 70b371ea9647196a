use super::*;

#[test]
fn placeholders_in_strings_identifiers_and_comments_are_not_counted() {
    assert_eq!(count_placeholders(b"SELECT ?, '?', \"?\", `?` /* ? */ -- ?\n, ? # ?"), 2);
    assert_eq!(count_placeholders(b"SELECT 'it\\'s ?', 'a''?', ?"), 1);
    assert_eq!(count_placeholders(b"SELECT '?"), 0);
}
