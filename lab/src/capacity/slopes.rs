//! What was measured, as it stands in the file of slopes.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::CapacityError;
use super::experiment::{Experiment, Quantity, Variable};
use super::fit::{Fit, Point, fit};

/// A measured quantity: runs at some sizes, and the line through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// In which experiment.
    pub experiment: Experiment,
    /// What.
    pub quantity: Quantity,
    /// The unit of the values.
    pub unit: String,
    /// What it is a function of.
    pub of: Variable,
    /// What was held fixed.
    pub fixed: String,
    /// The command that measured it.
    pub command: String,
    /// The runs, by size.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Option<Fit>,
    /// Why runs can't be used, each with its size; such runs are not among the points.
    pub unusable: Vec<String>,
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// Measured at this size.
    Measured,
    /// Counted with many hollow gateways.
    Hollow,
    /// From simulated time.
    Simulated,
    /// By arithmetic from others.
    #[serde(rename = "reckoned")]
    Calculated,
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mark::Measured => "measured",
            Mark::Hollow => "hollow",
            Mark::Simulated => "simulated",
            Mark::Calculated => "reckoned",
        })
    }
}

/// A value at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Half of what lies between the least and the largest run, or the deviation of runs from the line.
    pub spread: f64,
    /// Measured at this size, or estimated from other sizes.
    pub mark: Mark,
}

impl Measured {
    /// Makes one from its runs.
    pub fn new(
        experiment: Experiment,
        quantity: Quantity,
        points: Vec<Point>,
        unusable: Vec<String>,
        command: &str,
    ) -> Self {
        Self {
            experiment,
            quantity,
            unit: quantity.unit().to_owned(),
            of: experiment.variable(),
            fixed: experiment.fixed().to_owned(),
            command: command.to_owned(),
            fit: fit(&points),
            points,
            unusable,
        }
    }

    /// Its name in tables.
    pub fn name(&self) -> String {
        format!("{} {}", self.experiment, self.quantity)
    }

    /// The value at a size: the median run where that size was measured, else the line where growth is linear, else
    /// between the sizes beside it, or on from the two nearest.
    pub fn at(&self, size: f64) -> Option<Estimate> {
        if let Some(point) = self.points.iter().find(|p| p.size == size) {
            return Some(Estimate { value: point.median(), spread: point.spread(), mark: Mark::Measured });
        }
        let fit = self.fit?;
        let value = if fit.linear { fit.intercept + fit.slope * size } else { self.between(size)? };
        Some(Estimate { value, spread: fit.noise.max(fit.misfit), mark: Mark::Calculated })
    }

    fn between(&self, size: f64) -> Option<f64> {
        let above = self.points.partition_point(|p| p.size < size);
        let at = above.clamp(1, self.points.len().checked_sub(1)?);
        let (low, high) = (&self.points[at - 1], &self.points[at]);
        let slope = (high.median() - low.median()) / (high.size - low.size);
        Some(low.median() + slope * (size - low.size))
    }
}

/// The machine of the runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Its processor.
    pub processor: String,
    /// Its cores.
    pub cores: usize,
}

impl Machine {
    /// This one.
    pub fn this() -> Self {
        let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let model = text.lines().find_map(|line| line.strip_prefix("model name")?.split_once(": "));
        Self {
            processor: model.map_or("unknown", |(_, name)| name).trim().to_owned(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
        }
    }
}

/// All that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Of the runs.
    pub machine: Machine,
    /// The measured things, by experiment.
    pub measured: Vec<Measured>,
}

impl Slopes {
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

    /// Writes the file.
    ///
    /// # Errors
    /// It can't be written.
    pub fn write(&self, path: &Path) -> Result<(), CapacityError> {
        let text = serde_json::to_string_pretty(self).map_err(CapacityError::json(path))? + "\n";
        std::fs::write(path, text).map_err(CapacityError::file(path))
    }

    /// Takes in what an experiment gave, in place of what it gave before.
    pub fn replace(&mut self, experiment: Experiment, measured: Vec<Measured>) {
        self.measured.retain(|m| m.experiment != experiment);
        self.measured.extend(measured);
        self.measured.sort_by_key(|m| (m.experiment, m.quantity));
    }

    /// A measured thing.
    pub fn get(&self, experiment: Experiment, quantity: Quantity) -> Option<&Measured> {
        self.measured.iter().find(|m| m.experiment == experiment && m.quantity == quantity)
    }
}
