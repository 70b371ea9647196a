use super::*;
use crate::config;
use crate::json::JsonField;

#[test]
fn two_processes_of_one_gateway_stay_within_its_descriptors() {
    let text = include_str!("../../../tests/common/config.json").replace("LIST", "");
    let mut config = config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap();
    config.admin = Some(([127, 0, 0, 1], 1).into());
    for sockets in 256..=1024 {
        config.max_descriptors = sockets;
        let (alone, each) = (most_engine_conns(&config, true), most_engine_conns(&config, false));
        let own = own_descriptors(&config);
        assert!(most_clients(&config) + own + alone <= sockets);
        assert!(most_clients(&config) + 2 * (own + each) <= sockets, "{sockets}: {each} each");
        assert!(each > 10, "{sockets}: enough to serve over");
    }
}
