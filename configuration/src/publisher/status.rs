//! Status of a control plane server and its gateways, for operators.

use std::collections::BTreeMap;

use crate::version::{GatewayId, Version};

use super::gateway_state::RefusedVersion;

/// Status of one gateway at a control plane server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Name that the gateway sent when it opened the stream.
    pub gateway: GatewayId,
    /// Whether the gateway has an open stream to this server.
    pub is_connected: bool,
    /// Version in force at the gateway, as of its last report or the start of its stream.
    pub version: Version,
    /// Newest version that the gateway refused on its stream. Cleared when the gateway applies that version or a
    /// newer one.
    pub refused: Option<RefusedVersion>,
}

/// Status of a control plane server and all gateways that it tracks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Newest version of this server. [`Version::NONE`] before the first version.
    pub newest: Version,
    /// Newest version that a gateway had when it opened a stream, except for implausibly high numbers. Can be newer
    /// than the newest version of this server.
    pub newest_reported: Version,
    /// Newest version, if another control plane server has it with a different document.
    pub conflict: Option<Version>,
    /// Sorted by name.
    pub gateways: Vec<GatewayStatus>,
}

impl Status {
    /// Number of connected gateways per version in force.
    pub fn connected_per_version(&self) -> BTreeMap<Version, usize> {
        let mut counts = BTreeMap::new();
        for gateway in self.gateways.iter().filter(|gateway| gateway.is_connected) {
            *counts.entry(gateway.version).or_default() += 1;
        }
        counts
    }

    /// Gateways, connected or not, whose version in force is older than the newest version of this server.
    pub fn behind(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.gateways.iter().filter(|gateway| gateway.version < self.newest)
    }

    /// Gateways with a refused version, as in [`GatewayStatus::refused`].
    pub fn refusals(&self) -> impl Iterator<Item = (&GatewayId, &RefusedVersion)> {
        self.gateways.iter().filter_map(|gateway| Some((&gateway.gateway, gateway.refused.as_ref()?)))
    }
}
