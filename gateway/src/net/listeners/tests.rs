use super::*;
use crate::config::{self, TcpKeepalive};
use crate::json::JsonField;

#[test]
fn tcp_keepalive_is_set_if_configured() {
    let text = include_str!("../../../tests/common/config.json").replace("LIST", "");
    let mut config = config::read(&JsonField::root(&text.parse().unwrap(), "config")).unwrap();
    let listener = open_listener(([127, 0, 0, 1], 0).into(), 8, false).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let socket = socket2::SockRef::from(&stream);
    set_tcp_keepalive(&stream, &config).unwrap();
    assert!(!socket.keepalive().unwrap(), "off by default");
    let (idle, interval) = (std::time::Duration::from_secs(30), std::time::Duration::from_secs(5));
    config.clients.keepalive = Some(TcpKeepalive { idle, interval, probes: 3 });
    set_tcp_keepalive(&stream, &config).unwrap();
    assert!(socket.keepalive().unwrap());
    let set = (socket.tcp_keepalive_time(), socket.tcp_keepalive_interval(), socket.tcp_keepalive_retries());
    assert_eq!((set.0.unwrap(), set.1.unwrap(), set.2.unwrap()), (idle, interval, 3));
}
