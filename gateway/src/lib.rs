//! The gateway as a library: configuration, core, codecs and event loop. The program and the tools of the workspace use
//! the same code.

pub mod admin;
pub mod admission;
pub mod config;
pub mod control_plane;
pub mod core;
pub mod counters;
pub mod discovery;
pub mod engine;
pub mod event_stream;
pub mod front;
pub mod json;
pub mod live_reconfiguration;
pub mod mysql_protocol;
pub mod net;
pub mod process_replacement;
pub mod tenants;
pub mod timer_lag;
