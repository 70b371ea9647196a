//! The figures of hollow runs, as another command of this program leaves them.

use std::path::Path;

use serde::Deserialize;

use super::error::CapacityError;
use super::slopes::Mark;

/// A figure of a hollow run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HollowFigure {
    /// `gateway`, `database` or `control`.
    pub role: String,
    /// What it counts.
    pub quantity: String,
    /// In which event.
    pub event: String,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Hollow or simulated.
    pub mark: Mark,
    /// The command that counted it.
    pub command: String,
}

/// The file of hollow runs.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Hollow {
    /// Its figures.
    pub figures: Vec<HollowFigure>,
}

/// The file of `wrenhatch-lab configuration`, as far as it is read here.
#[derive(Debug, Deserialize)]
struct Configuration {
    rows: Vec<ConfigurationRow>,
}

/// A scenario on a fleet of one size.
#[derive(Debug, Deserialize)]
struct ConfigurationRow {
    scenario: String,
    gateways: usize,
    all: Worst,
    gateway_bytes_per_s: f64,
    machine_bytes_per_s: f64,
}

/// The largest of some times.
#[derive(Debug, Deserialize)]
struct Worst {
    max_ms: f64,
}

impl ConfigurationRow {
    /// Its figures, each with its role.
    fn figures(&self) -> [HollowFigure; 3] {
        let figure = |role: &str, quantity: &str, value: f64, unit: &str| HollowFigure {
            role: role.to_owned(),
            quantity: quantity.to_owned(),
            event: format!("configuration, {}", self.scenario),
            value,
            unit: unit.to_owned(),
            mark: Mark::Simulated,
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

impl Hollow {
    /// Adds the figures of configuration in service on the largest fleet that was played; a file that is not there
    /// yet adds nothing.
    ///
    /// # Errors
    /// It can't be read, or is not of this form.
    pub fn with_configuration(mut self, path: &Path) -> Result<Self, CapacityError> {
        if !path.exists() {
            return Ok(self);
        }
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        let played: Configuration = serde_json::from_str(&text).map_err(CapacityError::json(path))?;
        let largest = played.rows.iter().map(|row| row.gateways).max();
        let rows = played.rows.iter().filter(|row| Some(row.gateways) == largest);
        self.figures.extend(rows.flat_map(ConfigurationRow::figures));
        Ok(self)
    }

    /// Reads the file; one that is not there yet holds nothing.
    ///
    /// # Errors
    /// It can't be read, or is not of this form.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = std::fs::read_to_string(path).map_err(CapacityError::file(path))?;
        serde_json::from_str(&text).map_err(CapacityError::json(path))
    }
}
