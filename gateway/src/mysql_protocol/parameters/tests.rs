use quickcheck::quickcheck;

use super::*;

quickcheck! {
    fn parameters_are_read_as_written(values: Vec<Option<Vec<u8>>>, has_names: bool) -> bool {
        let parameter = |value: &Option<Vec<u8>>| {
            let encode = |text: &Vec<u8>| {
                let mut encoded = Vec::new();
                write_lenenc_string(&mut encoded, text);
                encoded
            };
            let name = if has_names { b"n".to_vec() } else { Vec::new() };
            Parameter { type_and_flag: 0xfd, name, value: value.as_ref().map(encode) }
        };
        let sent: Vec<Parameter> = values.iter().map(parameter).collect();
        let mut out = Vec::new();
        write_parameters(&mut out, &sent, has_names);
        let mut reader = Reader(&out);
        read_parameters(&mut reader, sent.len(), has_names, &mut Vec::new()) == Ok(sent) && reader.0.is_empty()
    }

    fn random_bytes_never_panic(bytes: Vec<u8>, count: u8) -> bool {
        let mut reader = Reader(&bytes);
        read_parameters(&mut reader, usize::from(count), true, &mut Vec::new()).is_err()
            || reader.0.len() <= bytes.len()
    }
}

#[test]
fn integers_and_strings_are_returned_as_text() {
    let number = |type_and_flag, value: &[u8]| Parameter {
        type_and_flag,
        name: Vec::new(),
        value: Some(value.to_vec()),
    };
    assert_eq!(number(0x03, &[0xff; 4]).as_text().as_deref(), Some("-1"));
    assert_eq!(number(0x8003, &[0xff; 4]).as_text().as_deref(), Some("4294967295"));
    assert_eq!(number(0x08, &1500_u64.to_le_bytes()).as_text().as_deref(), Some("1500"));
    assert_eq!(Parameter::text("d", "250").as_text().as_deref(), Some("250"));
}
