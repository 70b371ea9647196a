use super::*;
use crate::config;
use crate::discovery::{Endpoint, EndpointListEvent};
use crate::json::JsonField;

#[test]
fn removed_engines_are_deleted_and_their_ids_not_reused() {
    let text = include_str!("../../../tests/common/config.json").replace("LIST", "");
    let config = config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap();
    let mut server = Server::new(config, crate::net::Signals::catch().unwrap()).unwrap();
    let event = |n: u64, state| {
        let (name, address) = (format!("e{n}"), ([127, 0, 0, 1], 9).into());
        let (zone, machine_type) = ("z".to_owned(), "k".to_owned());
        let entries = vec![Endpoint { name, address, zone, machine_type, cell: 0, state, started_ms: 0 }];
        EndpointListEvent { index: 2 * n, is_full: false, entries, unreadable: Vec::new() }
    };
    for n in 0..100 {
        server.apply_list_event(&event(n, EndpointState::Ready));
        assert_eq!(server.pools.ids[&format!("e{n}")], EngineId(n as u32));
        if n > 0 {
            server.apply_list_event(&event(n - 1, EndpointState::Removed));
        }
    }
    assert_eq!((server.pools.engines.len(), server.pools.ids.len()), (1, 1));
}
