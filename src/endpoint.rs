//! The endpoint list: the engines of a deployment and the state of each.

use crate::{EngineId, MachineTypeId, ZoneId};

/// Whether an engine accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The engine accepts new work.
    Ready,
    /// The engine finishes its attempts in flight and must get no new ones.
    Draining,
    /// The engine is not in the list.
    #[default]
    Removed,
}

/// An engine's entry in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Engine that the entry describes.
    pub engine: EngineId,
    /// Zone in which the engine runs.
    pub zone: ZoneId,
    /// Type of the machine that the engine runs on.
    pub machine_type: MachineTypeId,
    /// Number of the cell that the engine belongs to.
    pub cell: u64,
    /// Whether the engine accepts new work.
    pub state: EndpointState,
    /// Time of the engine's last start, in seconds of the events' clock. `None`: long ago.
    pub started_at: Option<f64>,
}

/// How a watch event changes the known endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListMode {
    /// The entries that have changed. All others stay.
    Delta,
    /// The whole list. Engines that are absent have been removed.
    Full,
    /// The whole list as last received, possibly stale. It is applied like [`Self::Full`].
    Cached,
    /// The list could not be read. The known list stays, and the entries are ignored.
    Failed,
}
