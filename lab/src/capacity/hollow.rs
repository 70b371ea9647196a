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

impl Hollow {
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
