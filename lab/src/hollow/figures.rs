//! Figures of hollow runs and the file that holds them.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::error::HollowError;

/// The role of a machine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It takes clients.
    Gateway,
    /// It runs statements.
    Database,
    /// It holds the list of databases.
    Control,
}

/// How a figure was got.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// The gateway's whole program without client traffic, over loopback.
    Hollow,
    /// The gateway's control-side code in simulated time.
    Simulated,
}

/// One figure.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Figure {
    /// Of which machines.
    pub role: Role,
    /// What it is.
    pub quantity: String,
    /// In which event.
    pub event: String,
    /// Its value.
    pub value: f64,
    /// What it is counted in.
    pub unit: String,
    /// How it was got.
    pub mark: Mark,
    /// The command that gives it.
    pub command: String,
}

/// The file of figures.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FigureFile {
    /// The figures.
    pub figures: Vec<Figure>,
}

impl FigureFile {
    /// Reads a file; one that is not there is empty.
    ///
    /// # Errors
    /// It can't be read, or is not of its form.
    pub fn read(path: &Path) -> Result<Self, HollowError> {
        if !path.exists() {
            return Ok(Self::default());
        }
        let text = std::fs::read_to_string(path).map_err(|e| HollowError::File(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| HollowError::Form(path.to_owned(), e))
    }

    /// Puts these figures in the place of those that the same commands gave.
    pub fn replace(&mut self, fresh: Vec<Figure>) {
        let same = |old: &Figure, new: &Figure| old.command == new.command;
        self.figures.retain(|old| !fresh.iter().any(|new| same(old, new)));
        self.figures.extend(fresh);
    }

    /// Writes the file.
    ///
    /// # Errors
    /// It can't be written.
    pub fn write(&self, path: &Path) -> Result<(), HollowError> {
        write_json(path, self)
    }
}

/// Writes a value as JSON.
///
/// # Errors
/// The file can't be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), HollowError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| HollowError::Form(path.to_owned(), e))?;
    std::fs::write(path, text + "\n").map_err(|e| HollowError::File(path.to_owned(), e))
}

/// The comparison of hollow gateways with real ones stands beside the file of figures.
pub fn comparison_path(figures: &Path) -> PathBuf {
    figures.with_file_name("hollow-comparison.json")
}

/// Adds figures to a file, if the comparison beside it found the same counts.
///
/// # Errors
/// There is no such comparison, or a file can't be read or written.
pub fn add_to_file(path: &Path, fresh: Vec<Figure>) -> Result<(), HollowError> {
    let comparison = comparison_path(path);
    if !super::compare::has_same_counts(&comparison)? {
        return Err(HollowError::NoComparison(comparison));
    }
    let mut file = FigureFile::read(path)?;
    file.replace(fresh);
    file.write(path)
}
