//! The endpoint list: which engines there are and in which state.

use crate::{EngineId, MachineTypeId, ZoneId};

/// Whether an engine may be sent new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It may.
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is no longer in the list.
    #[default]
    Removed,
}

/// One engine as the endpoint list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started, in seconds of the events' clock, if that is not long ago.
    pub started_at: Option<f64>,
}

/// How a watch event of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Entries that have changed; all others stay.
    Delta,
    /// The whole list: engines that are absent have been removed.
    Full,
    /// The whole list as it was last seen, perhaps stale.
    Cached,
    /// The list could not be had; the known one stays.
    Failed,
}
