use super::*;

fn messages() -> Vec<Message> {
    let listed = Endpoint {
        name: "s-1".into(),
        address: ([127, 0, 0, 2], 80).into(),
        zone: "east".into(),
        machine_type: "std".into(),
        cell: 7,
        state: EndpointState::Draining,
        started_ms: 1_796_166_000_123,
    };
    vec![
        Message::Hello { name: "n0".into(), listen: ([127, 0, 0, 1], 5432).into() },
        Message::Known("a \"b\"\n\u{e9}".into(), 0),
        Message::Known("s-1".into(), 1_796_166_000_123),
        Message::Listed(listed),
        Message::Enter("s-1".into()),
        Message::Exit("s-1".into(), 9),
        Message::End { cancels: true, leases: true },
        Message::Taking { leases: true },
        Message::Claim(KeyId(0xfedc_ba98_7654_3210)),
        Message::Grant(KeyId(u64::MAX)),
        Message::Settled(2_600),
        Message::Cancel { session: 7, secret: u32::MAX },
    ]
}

#[test]
fn messages_come_as_they_went_however_they_are_cut() {
    let mut bytes = Vec::new();
    messages().iter().for_each(|m| m.write(&mut bytes));
    for cut in 0..bytes.len() {
        let (mut input, mut got) = (bytes[..cut].to_vec(), Vec::new());
        while let Some(message) = next(&mut input).unwrap() {
            got.push(message);
        }
        assert_eq!(got, messages()[..got.len()], "a part of what was told, in order");
        input.extend(&bytes[cut..]);
        while let Some(message) = next(&mut input).unwrap() {
            got.push(message);
        }
        assert_eq!(got, messages(), "{cut}");
    }
}

#[test]
fn old_forms_and_foreign_messages_are_not_understood() {
    let read = |text: &str| next(&mut text.as_bytes().to_vec());
    let old = "{\"hello\":\"n0\",\"listen\":\"127.0.0.1:1\",\"form\":0}\n";
    assert_eq!(read(old), Err(MessageError::Form(0)));
    let earlier = Message::End { cancels: false, leases: false };
    assert_eq!(read("{\"end\":true}\n"), Ok(Some(earlier)), "as earlier ones say it");
    assert_eq!(read("{\"taking\":true}\n"), Ok(Some(Message::Taking { leases: false })));
    assert_eq!(read("{\"claim\":\"no key\"}\n"), Err(MessageError::Foreign));
    for foreign in ["\n", "{}\n", "GET / HTTP/1.1\r\n", "{\"enter\":7}\n", "{\"listed\":{\"name\":\"a\"}}\n"]
    {
        assert_eq!(read(foreign), Err(MessageError::Foreign), "{foreign}");
    }
    assert_eq!(read(&"a".repeat(LONGEST_LINE + 1)), Err(MessageError::Endless));
}

quickcheck::quickcheck! {
    fn noise_is_never_a_message(noise: Vec<u8>) -> bool {
        !matches!(next(&mut noise.clone()), Ok(Some(_)))
    }
}
