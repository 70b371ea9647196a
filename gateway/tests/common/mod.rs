//! Support for tests of the gateway program: simulated engines, discovery services, control plane servers and
//! clients, implemented from the public protocols. All sockets are on loopback, with ports chosen by the system.
// Each test program uses only some of the items.
#![allow(dead_code, missing_docs, unused_imports)]

pub mod control;
mod discovery;
mod engine;
pub mod gated;
mod gateway;
pub mod manual;
pub mod mysql;
pub mod pg;
pub mod requests;
pub mod scripted;

pub use discovery::DiscoveryService;
pub use engine::{Engine, EngineState, Recorder, ResponseFault};
pub use gateway::{Gateway, WaitingGateway, last_counter};
