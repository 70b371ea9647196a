//! The state of all gateways, for operators.

use std::collections::BTreeMap;

use crate::version::{GatewayId, Version};

use super::gateway_state::RefusedVersion;

/// One gateway, as a control plane server knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Its name.
    pub gateway: GatewayId,
    /// Whether its stream is open here.
    pub is_connected: bool,
    /// The version that is in force there, by its last report or when it joined.
    pub version: Version,
    /// The newest version that it refused on this stream, until it has applied that one or a newer one.
    pub refused: Option<RefusedVersion>,
}

/// All gateways that a control plane server knows of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The newest version here.
    pub newest: Version,
    /// The newest version that a gateway has, which may be newer.
    pub newest_reported: Version,
    /// A version that another control plane server has with other contents.
    pub conflict: Option<Version>,
    /// By name.
    pub gateways: Vec<GatewayStatus>,
}

impl Status {
    /// The number of connected gateways by version in force.
    pub fn counts(&self) -> BTreeMap<Version, usize> {
        let mut counts = BTreeMap::new();
        for gateway in self.gateways.iter().filter(|gateway| gateway.is_connected) {
            *counts.entry(gateway.version).or_default() += 1;
        }
        counts
    }

    /// The gateways that do not have the newest version.
    pub fn behind(&self) -> impl Iterator<Item = &GatewayStatus> {
        self.gateways.iter().filter(|gateway| gateway.version < self.newest)
    }

    /// The gateways that refused a version and have not applied that one or a newer one since.
    pub fn refusals(&self) -> impl Iterator<Item = (&GatewayId, &RefusedVersion)> {
        self.gateways.iter().filter_map(|gateway| Some((&gateway.gateway, gateway.refused.as_ref()?)))
    }
}
