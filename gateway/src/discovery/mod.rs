//! Discovery: the endpoint list, which says which engines there are, where they listen and in which state they are.
//!
//! The discovery service sends the list as numbered events over server-sent events. [`EndpointStream`] turns bytes
//! into events, [`EndpointWatch`] decides when to connect and which events count, [`SilenceDetector`] says when a stream
//! counts as dead, and [`EngineRegistry`] holds the list by name and applies maintenance. Nothing here does I/O; `net`
//! carries it out.

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
