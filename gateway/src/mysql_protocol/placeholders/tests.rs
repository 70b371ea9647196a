use super::*;

#[test]
fn placeholders_are_counted_outside_strings_names_and_comments() {
    assert_eq!(count_placeholders(b"SELECT ?, '?', \"?\", `?` /* ? */ -- ?\n, ? # ?"), 2);
    assert_eq!(count_placeholders(b"SELECT 'it\\'s ?', 'a''?', ?"), 1);
    assert_eq!(count_placeholders(b"SELECT '?"), 0);
}
