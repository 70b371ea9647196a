//! Reads the figures for the page that the commands `hollow` (gateways without clients) and `configuration` write.

use std::path::Path;

use serde::Deserialize;

use super::error::CapacityError;
use super::slopes::Origin;

/// A figure of a hollow run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HollowFigure {
    /// Role of the machine with the counted quantity: `gateway`, `database` or `control`.
    pub role: String,
    /// Name of the counted quantity.
    pub quantity: String,
    /// Event during which the quantity was counted.
    pub event: String,
    /// Value in `unit`.
    pub value: f64,
    /// Unit, as printed on the page.
    pub unit: String,
    /// How the value was obtained: hollow or simulated.
    #[serde(rename = "mark")]
    pub origin: Origin,
    /// Command that produced the figure.
    pub command: String,
}

/// Content of the file of hollow runs.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct HollowFile {
    /// Figures in the order of the file.
    pub figures: Vec<HollowFigure>,
}

/// The part of the file of `wrenhatch-lab configuration` that the page uses.
#[derive(Debug, Deserialize)]
struct ConfigurationFile {
    rows: Vec<ConfigurationRow>,
}

/// The results of a scenario on a fleet of one size.
#[derive(Debug, Deserialize)]
struct ConfigurationRow {
    scenario: String,
    gateways: usize,
    all: TimeDistribution,
    gateway_bytes_per_s: f64,
    machine_bytes_per_s: f64,
}

/// The part of a time distribution that the page uses.
#[derive(Debug, Deserialize)]
struct TimeDistribution {
    max_ms: f64,
}

impl ConfigurationRow {
    /// Converts the row to figures of the page.
    fn figures(&self) -> [HollowFigure; 3] {
        let figure = |role: &str, quantity: &str, value: f64, unit: &str| HollowFigure {
            role: role.to_owned(),
            quantity: quantity.to_owned(),
            event: format!("configuration, {}", self.scenario),
            value,
            unit: unit.to_owned(),
            origin: Origin::Simulated,
            command: "wrenhatch-lab configuration".to_owned(),
        };
        [
            figure("gateway", "until all gateways have a version, at worst", self.all.max_ms, "ms"),
            figure(
                "gateway",
                "of the gateway with the most, in the mean",
                self.gateway_bytes_per_s,
                "bytes/s",
            ),
            figure(
                "control",
                "of the machine with the most, in the mean",
                self.machine_bytes_per_s,
                "bytes/s",
            ),
        ]
    }
}

impl HollowFile {
    /// Adds the figures of configuration changes in service for the largest simulated fleet. Without the file, nothing
    /// is added.
    ///
    /// # Errors
    /// The file can't be read or parsed.
    pub fn with_configuration(mut self, path: &Path) -> Result<Self, CapacityError> {
        if !path.exists() {
            return Ok(self);
        }
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        let parsed: ConfigurationFile = serde_json::from_str(&text).map_err(CapacityError::json(path))?;
        let largest = parsed.rows.iter().map(|row| row.gateways).max();
        let rows = parsed.rows.iter().filter(|row| Some(row.gateways) == largest);
        self.figures.extend(rows.flat_map(ConfigurationRow::figures));
        Ok(self)
    }

    /// Reads the file. A missing file counts as empty.
    ///
    /// # Errors
    /// The file can't be read or parsed.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        serde_json::from_str(&text).map_err(CapacityError::json(path))
    }
}
