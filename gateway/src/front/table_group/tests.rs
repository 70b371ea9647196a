use super::*;

#[test]
fn the_group_is_taken_from_the_schema_of_a_table_name() {
    let group = |s: &str| table_group(s.as_bytes());
    assert_eq!(group("SELECT day FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"), Some(17));
    assert_eq!(group("SELECT 'from x_1.y' FROM -- from x_2.y\n /* from x_3.y */ a_4.b"), Some(4));
    assert_eq!(group("INSERT INTO a_5.b SELECT * FROM staging.c"), Some(5));
    assert_eq!(group("INSERT INTO staging.c SELECT * FROM \"a_6\".b"), Some(6));
    assert_eq!(group("SELECT q_1.x FROM staging.z JOIN a_7.b q_1 ON true"), Some(7));
    assert_eq!(group("SELECT E'\\' from a_1.b' , $$ from a_2.b $$ FROM a_8.b"), Some(8));
    assert_eq!(group("UPDATE db.a_9.b SET x = 1"), Some(9));
    assert_eq!(group("SELECT 1"), None);
    assert_eq!(group("SELECT 'unterminated FROM a_1.b"), None);
}
