use super::*;

fn keys_of_all_sources(number: u32) -> Vec<PollKey> {
    // The generation of a handle has 30 bits and is never 0.
    let generation = u64::from(number & SERIAL_MASK).max(1);
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
        PollKey::EngineConnection { slot: number, serial: number & SERIAL_MASK },
        PollKey::Watch(number),
        PollKey::AdminConnection(number),
        PollKey::PeerProcess(number),
        PollKey::ControlPlaneStream(number),
        PollKey::ControlPlaneReport(number),
    ]
}

#[test]
fn keys_round_trip_and_are_unique() {
    for number in [0, 1, 6, 7, 1 << 29, SERIAL_MASK, u32::MAX] {
        let keys = keys_of_all_sources(number);
        let encoded: Vec<u64> = keys.iter().map(|key| key.encode()).collect();
        assert_eq!(encoded.iter().map(|bits| PollKey::decode(*bits)).collect::<Vec<_>>(), {
            keys.into_iter().map(Some).collect::<Vec<_>>()
        });
        for (at, bits) in encoded.iter().enumerate() {
            assert!(!encoded[..at].contains(bits), "{bits:x} encodes two sources");
        }
    }
}

#[test]
fn engine_connection_serials_wrap_at_30_bits() {
    let key = |serial| PollKey::EngineConnection { slot: 3, serial }.encode();
    assert_eq!(key(5), key(5 + (1 << 30)));
    assert_ne!(key(5), key(6));
}

#[test]
fn invalid_keys_are_not_decoded() {
    for bits in [7, u64::from(u32::MAX), 1 << 57, (1 << 61) | (1 << 60), 1 << 62] {
        assert_eq!(PollKey::decode(bits), None, "{bits:x}");
    }
}
