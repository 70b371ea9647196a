//! Figures of hollow runs and the JSON file that stores them.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::error::HollowError;

/// Role of a machine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts client sessions.
    Gateway,
    /// Executes statements.
    Database,
    /// Streams the list of databases to gateways.
    Control,
}

/// How the value of a figure was obtained.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// Complete gateways without client traffic, over loopback.
    Hollow,
    /// The gateway's control-side code in simulated time.
    Simulated,
}

/// A measured or simulated value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Figure {
    /// Role of the machines that the value describes.
    pub role: Role,
    /// Description of the quantity.
    pub quantity: String,
    /// Event or phase that produced the value.
    pub event: String,
    /// Value, in `unit`.
    pub value: f64,
    /// Unit, as printed on the page.
    pub unit: String,
    /// How the value was obtained.
    #[serde(rename = "mark")]
    pub origin: Origin,
    /// Command that reproduces the value.
    pub command: String,
}

/// Content of the figure file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FigureFile {
    /// Figures in file order.
    pub figures: Vec<Figure>,
}

impl FigureFile {
    /// Reads a figure file. A missing file counts as empty.
    ///
    /// # Errors
    /// The file can't be read or does not contain the expected JSON.
    pub fn read(path: &Path) -> Result<Self, HollowError> {
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = std::fs::read_to_string(path).map_err(|e| HollowError::File(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| HollowError::Json(path.to_owned(), e))
    }

    /// Adds figures and removes older ones of the same commands.
    pub fn replace(&mut self, added: Vec<Figure>) {
        let same = |old: &Figure, new: &Figure| old.command == new.command;
        self.figures.retain(|old| !added.iter().any(|new| same(old, new)));
        self.figures.extend(added);
    }

    /// Writes the figure file.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), HollowError> {
        write_json(path, self)
    }
}

/// Writes a value as indented JSON with a final newline.
///
/// # Errors
/// The file can't be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), HollowError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| HollowError::Json(path.to_owned(), e))?;
    std::fs::write(path, text + "\n").map_err(|e| HollowError::File(path.to_owned(), e))
}

/// Path of the comparison file, in the folder of the figure file.
pub fn comparison_path(figures: &Path) -> PathBuf {
    figures.with_file_name("hollow-comparison.json")
}

/// Adds figures to a file if the comparison in the same folder found equal counts.
///
/// # Errors
/// No comparison with equal counts exists, or a file can't be read or written.
pub fn add_to_file(path: &Path, added: Vec<Figure>) -> Result<(), HollowError> {
    let comparison = comparison_path(path);
    if !super::compare::has_same_counts(&comparison)? {
        return Err(HollowError::NoComparison(comparison));
    }
    let mut file = FigureFile::read(path)?;
    file.replace(added);
    file.write(path)
}
