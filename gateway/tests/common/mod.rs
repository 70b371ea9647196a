//! Simulated engines, discovery services and clients, written from the public protocols alone, and the gateway's program.
//! Everything is on loopback, with ports that the system chooses.
// Each test program uses a part of it.
#![allow(dead_code, missing_docs, unused_imports)]

pub mod control;
mod discovery;
mod engine;
mod gateway;
pub mod held;
pub mod manual;
pub mod mysql;
pub mod pg;
pub mod requests;
pub mod script;

pub use discovery::DiscoveryService;
pub use engine::{Engine, Host, ResponseFault, Seen};
pub use gateway::{Gateway, Starting, figure};
