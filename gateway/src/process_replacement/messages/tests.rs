use workload_manager::EndpointState;

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
        Message::Hello { gateway: "n0".into(), listen_address: ([127, 0, 0, 1], 5432).into() },
        Message::KnownEngine { name: "a \"b\"\n\u{e9}".into(), maintenance_end_ms: 0 },
        Message::KnownEngine { name: "s-1".into(), maintenance_end_ms: 1_796_166_000_123 },
        Message::Endpoint(listed),
        Message::MaintenanceBegan { engine: "s-1".into() },
        Message::MaintenanceEnded { engine: "s-1".into(), end_ms: 9 },
        Message::EndOfState(PeerFeatures { cancel_requests: true, key_leases: true }),
        Message::AcceptingClients { key_leases: true },
        Message::ClaimLease(KeyId(0xfedc_ba98_7654_3210)),
        Message::GrantLease(KeyId(u64::MAX)),
        Message::Exiting { cooldown_ms: 2_600 },
        Message::CancelRequest { session: 7, secret: u32::MAX },
    ]
}

#[test]
fn messages_are_read_as_written_however_the_input_is_split() {
    let mut bytes = Vec::new();
    messages().iter().for_each(|m| m.write(&mut bytes));
    for split in 0..bytes.len() {
        let (mut input, mut got) = (bytes[..split].to_vec(), Vec::new());
        while let Some(message) = read_next(&mut input).unwrap() {
            got.push(message);
        }
        assert_eq!(got, messages()[..got.len()], "the first messages, in order");
        input.extend(&bytes[split..]);
        while let Some(message) = read_next(&mut input).unwrap() {
            got.push(message);
        }
        assert_eq!(got, messages(), "{split}");
    }
}

#[test]
fn other_versions_and_malformed_lines_are_errors() {
    let read = |text: &str| read_next(&mut text.as_bytes().to_vec());
    let other_version = "{\"hello\":\"n0\",\"listen\":\"127.0.0.1:1\",\"form\":0}\n";
    assert_eq!(read(other_version), Err(MessageError::UnsupportedVersion(0)));
    let without_features = Message::EndOfState(PeerFeatures { cancel_requests: false, key_leases: false });
    assert_eq!(read("{\"end\":true}\n"), Ok(Some(without_features)), "from earlier releases");
    assert_eq!(read("{\"taking\":true}\n"), Ok(Some(Message::AcceptingClients { key_leases: false })));
    assert_eq!(read("{\"claim\":\"no key\"}\n"), Err(MessageError::Malformed));
    for malformed in
        ["\n", "{}\n", "GET / HTTP/1.1\r\n", "{\"enter\":7}\n", "{\"listed\":{\"name\":\"a\"}}\n"]
    {
        assert_eq!(read(malformed), Err(MessageError::Malformed), "{malformed}");
    }
    assert_eq!(read(&"a".repeat(MAX_LINE_BYTES + 1)), Err(MessageError::LineTooLong));
}

quickcheck::quickcheck! {
    fn random_bytes_are_never_a_message(bytes: Vec<u8>) -> bool {
        !matches!(read_next(&mut bytes.clone()), Ok(Some(_)))
    }
}
