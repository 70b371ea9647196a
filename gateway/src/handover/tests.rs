use super::*;

fn words() -> Vec<Word> {
    let listed = Listed {
        name: "s-1".into(),
        address: ([127, 0, 0, 2], 80).into(),
        zone: "east".into(),
        kind: "std".into(),
        cell: 7,
        state: EngineState::Draining,
        since_ms: 1_796_166_000_123,
    };
    vec![
        Word::Hello { name: "n0".into(), listen: ([127, 0, 0, 1], 5432).into() },
        Word::Known("a \"b\"\n\u{e9}".into(), 0),
        Word::Known("s-1".into(), 1_796_166_000_123),
        Word::Listed(listed),
        Word::Enter("s-1".into()),
        Word::Exit("s-1".into(), 9),
        Word::End { cancels: true },
        Word::Taking,
        Word::Cancel { session: 7, secret: u32::MAX },
    ]
}

#[test]
fn words_come_as_they_went_however_they_are_cut() {
    let mut bytes = Vec::new();
    words().iter().for_each(|w| w.write(&mut bytes));
    for cut in 0..bytes.len() {
        let (mut input, mut got) = (bytes[..cut].to_vec(), Vec::new());
        while let Some(word) = next(&mut input).unwrap() {
            got.push(word);
        }
        assert_eq!(got, words()[..got.len()], "a part of what was told, in order");
        input.extend(&bytes[cut..]);
        while let Some(word) = next(&mut input).unwrap() {
            got.push(word);
        }
        assert_eq!(got, words(), "{cut}");
    }
}

#[test]
fn old_forms_and_foreign_words_are_not_understood() {
    let read = |text: &str| next(&mut text.as_bytes().to_vec());
    let old = "{\"hello\":\"n0\",\"listen\":\"127.0.0.1:1\",\"form\":0}\n";
    assert_eq!(read(old), Err(BadWord::Form(0)));
    assert_eq!(read("{\"end\":true}\n"), Ok(Some(Word::End { cancels: false })), "as earlier ones say it");
    for foreign in ["\n", "{}\n", "GET / HTTP/1.1\r\n", "{\"enter\":7}\n", "{\"listed\":{\"name\":\"a\"}}\n"]
    {
        assert_eq!(read(foreign), Err(BadWord::Foreign), "{foreign}");
    }
    assert_eq!(read(&"a".repeat(LONGEST_LINE + 1)), Err(BadWord::Endless));
}

quickcheck::quickcheck! {
    fn noise_is_never_a_word(noise: Vec<u8>) -> bool {
        !matches!(next(&mut noise.clone()), Ok(Some(_)))
    }
}
