//! The gateway as a library: configuration, core, codecs and the loop, so that tools of the workspace drive the
//! same code as the program.

pub mod admission;
pub mod config;
pub mod control;
pub mod coordinator;
pub mod core;
pub mod counters;
pub mod engine;
pub mod engine_registry;
pub mod event_stream;
pub mod front;
pub mod handover;
pub mod key_leases;
pub mod metrics;
pub mod mysql;
pub mod net;
pub mod operator;
pub mod ops;
pub mod settings_change;
pub mod tenants;
pub mod timer_lag;
