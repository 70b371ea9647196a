use super::*;

fn all_kinds(number: u32) -> Vec<PollKey> {
    // A generation of a handle is never 0 and has 30 bits.
    let generation = u64::from(number & ENGINE_SERIAL).max(1);
    let handle = Handle::from_bits(generation << 32 | u64::from(number)).unwrap();
    vec![
        PollKey::PostgreSqlListener,
        PollKey::MySqlListener,
        PollKey::Terminate,
        PollKey::PrintCounters,
        PollKey::Reload,
        PollKey::AdminListener,
        PollKey::PeerListener,
        PollKey::Session(handle),
        PollKey::EngineConnection { slot: number, serial: number & ENGINE_SERIAL },
        PollKey::Watch(number),
        PollKey::AdminConnection(number),
        PollKey::PeerProcess(number),
        PollKey::ControlPlaneStream(number),
        PollKey::ControlPlaneReport(number),
    ]
}

#[test]
fn every_key_is_decoded_as_it_was_encoded_and_differs_from_all_others() {
    for number in [0, 1, 6, 7, 1 << 29, ENGINE_SERIAL, u32::MAX] {
        let keys = all_kinds(number);
        let encoded: Vec<u64> = keys.iter().map(|key| key.encode()).collect();
        assert_eq!(encoded.iter().map(|bits| PollKey::decode(*bits)).collect::<Vec<_>>(), {
            keys.into_iter().map(Some).collect::<Vec<_>>()
        });
        for (at, bits) in encoded.iter().enumerate() {
            assert!(!encoded[..at].contains(bits), "{bits:x} stands for two sources");
        }
    }
}

#[test]
fn serials_of_an_engine_s_connection_wrap_at_30_bits() {
    let key = |serial| PollKey::EngineConnection { slot: 3, serial }.encode();
    assert_eq!(key(5), key(5 + (1 << 30)));
    assert_ne!(key(5), key(6));
}

#[test]
fn bits_that_are_no_key_are_recognised() {
    for bits in [7, u64::from(u32::MAX), 1 << 57, (1 << 61) | (1 << 60), 1 << 62] {
        assert_eq!(PollKey::decode(bits), None, "{bits:x}");
    }
}
