//! Discovery: the endpoint list, which contains the engines with their addresses and states.
//!
//! The discovery service sends the list as numbered events over server-sent events. [`EndpointStream`] parses bytes
//! into events, [`EndpointWatch`] decides when to connect and which events are applied, [`SilenceDetector`] detects
//! dead streams, and [`EngineRegistry`] stores the list by name and applies maintenance. This module does no I/O: `net`
//! holds the connections.

mod endpoint;
mod engine_registry;
mod silence;
mod stream;
mod watch;

pub use endpoint::{
    Endpoint, EndpointListEvent, UnreadableEntry, endpoint_to_json, parse_event, read_endpoint, read_event,
};
pub use engine_registry::{EngineRegistry, UnknownEngine};
pub use silence::SilenceDetector;
pub use stream::{EndpointStream, EndpointStreamError, write_stream_request};
pub use watch::{DueActions, EndpointWatch, WatchError};
