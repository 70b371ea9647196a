use super::*;
use crate::config;
use crate::json::JsonField;
use crate::net::own_descriptors;

fn config() -> Config {
    let text = include_str!("../../../tests/common/config.json").replace("LIST", "");
    config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap()
}

/// Operators' tools and the lab parse these names.
#[test]
fn printed_figures_keep_their_names_and_order() {
    let sessions = Sessions::new(&Config { memory_bytes: 64 << 20, ..config() }).unwrap();
    let expected = "all=0 parked=0 told=0 unfinished=0 unread=0 idle=0 keeping=0 held=0 most_held=0 bound=33554432 \
        held_sessions=0 held_buffers=0 held_requests=0 held_results=0 held_statements=0 waiting=0 deferred=0 \
        longest_turn_us=0 longest_open_us=0 longest_begun_us=0 longest_active_us=0 longest_woken_us=0 \
        longest_new_us=0 accept_us=30.0 read_us=15.0 request_us=40.0 event_us=10.0";
    assert_eq!(sessions.to_string(), expected);
}

#[test]
fn two_processes_stay_within_the_descriptor_budget() {
    let mut config = config();
    config.admin = Some(([127, 0, 0, 1], 1).into());
    for sockets in 256..=1024 {
        config.max_descriptors = sockets;
        let (alone, each) = (max_engine_connections(&config, true), max_engine_connections(&config, false));
        let own = own_descriptors(&config);
        assert!(max_sessions(&config) + own + alone <= sockets);
        assert!(max_sessions(&config) + 2 * (own + each) <= sockets, "{sockets}: {each} per process");
        assert!(each > 10, "{sockets}: {each} per process are too few");
    }
}

/// Secrets and query ids must not repeat in another process with the same configuration, whatever its start time.
#[test]
fn random_numbers_are_independent_of_the_configuration() {
    let mut sessions = [(); 2].map(|()| Sessions::new(&config()).unwrap());
    let draws = sessions.each_mut().map(|sessions| [(); 8].map(|()| sessions.next_random()));
    assert_ne!(draws[0], draws[1]);
    assert_ne!(sessions[0].new_query_id(), sessions[1].new_query_id());
}
