//! Stand-ins for the cases of this review, on the standard library alone: clients, engines, and a gateway process that is started with the command of the deploy file. All of them use loopback addresses.
//!
//! The list of engines is that of the configuration (`known`); no case needs a coordinator. Each stand-in follows the pages of
//! the platform. Where a page is silent, it behaves like a sound peer.
#![allow(dead_code)]

pub mod engine;
pub mod gateway;
pub mod http;
pub mod mysql;
pub mod pg;
pub mod record;

use std::net::{SocketAddr, TcpListener};

/// An address on loopback whose port is free.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Whether the disruption of the case is to be played. `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
