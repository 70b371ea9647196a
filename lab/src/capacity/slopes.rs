//! The slopes file: measured quantities as functions of size, and estimates at other sizes.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::CapacityError;
use super::experiment::{Experiment, Quantity, Variable};
use super::fit::{Fit, Point, fit};

/// Runs of one quantity of an experiment at several sizes, and the line fitted through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Experiment that measured the quantity.
    pub experiment: Experiment,
    /// The measured quantity.
    pub quantity: Quantity,
    /// Unit of the values, from `Quantity::unit`.
    pub unit: String,
    /// Variable that the sizes refer to.
    #[serde(rename = "of")]
    pub variable: Variable,
    /// Fixed conditions, from `Experiment::fixed`.
    pub fixed: String,
    /// Command that repeats the measurement.
    pub command: String,
    /// Usable runs, sorted by size.
    pub points: Vec<Point>,
    /// Fitted line, absent for fewer than three sizes.
    pub fit: Option<Fit>,
    /// Size and reason of each unusable run. `points` excludes these runs.
    pub unusable: Vec<String>,
}

/// How the value of a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Origin {
    /// Measured at this size.
    Measured,
    /// Counted or measured with many gateways without clients.
    Hollow,
    /// Measured in simulated time.
    Simulated,
    /// Calculated from other figures.
    #[serde(rename = "reckoned")]
    Calculated,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Origin::Measured => "measured",
            Origin::Hollow => "hollow",
            Origin::Simulated => "simulated",
            Origin::Calculated => "reckoned",
        })
    }
}

/// The value of a measured quantity at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Value in the unit of the quantity.
    pub value: f64,
    /// Half of the range of the runs at a measured size, else the larger of the fit's noise and misfit.
    pub spread: f64,
    /// `Measured` at this size, or `Calculated` from other sizes.
    pub origin: Origin,
}

impl Measurement {
    /// Creates a measurement from its runs and fits a line through them.
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
            variable: experiment.variable(),
            fixed: experiment.fixed().to_owned(),
            command: command.to_owned(),
            fit: fit(&points),
            points,
            unusable,
        }
    }

    /// Returns the name used in tables: experiment and quantity.
    pub fn name(&self) -> String {
        format!("{} {}", self.experiment, self.quantity)
    }

    /// Estimates the value at a size: the median of the runs at a measured size, else the value of the fitted line if
    /// growth is linear, else an interpolation between the neighbouring sizes or an extrapolation from the two nearest.
    /// Without a fit, returns `None` for a size that was not measured.
    pub fn at(&self, size: f64) -> Option<Estimate> {
        if let Some(point) = self.points.iter().find(|p| p.size == size) {
            return Some(Estimate {
                value: point.median(),
                spread: point.spread(),
                origin: Origin::Measured,
            });
        }
        let fit = self.fit?;
        let value = if fit.linear { fit.intercept + fit.slope * size } else { self.interpolate(size)? };
        Some(Estimate { value, spread: fit.noise.max(fit.misfit), origin: Origin::Calculated })
    }

    fn interpolate(&self, size: f64) -> Option<f64> {
        let above = self.points.partition_point(|p| p.size < size);
        let upper = above.clamp(1, self.points.len().checked_sub(1)?);
        let (low, high) = (&self.points[upper - 1], &self.points[upper]);
        let slope = (high.median() - low.median()) / (high.size - low.size);
        Some(low.median() + slope * (size - low.size))
    }
}

/// The machine that ran the experiments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processor model from `/proc/cpuinfo`.
    pub processor: String,
    /// Number of cores available to the process, 0 if unknown.
    pub cores: usize,
}

impl Machine {
    /// Describes the machine that this process runs on.
    pub fn current() -> Self {
        let text = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let model = text.lines().find_map(|line| line.strip_prefix("model name")?.split_once(": "));
        Self {
            processor: model.map_or("unknown", |(_, name)| name).trim().to_owned(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
        }
    }
}

/// Content of the slopes file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// Machine of the last experiment.
    pub machine: Machine,
    /// Measurements, sorted by experiment and quantity.
    pub measured: Vec<Measurement>,
}

impl Slopes {
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

    /// Writes the file.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), CapacityError> {
        let text = serde_json::to_string_pretty(self).map_err(CapacityError::json(path))? + "\n";
        std::fs::write(path, text).map_err(CapacityError::file(path))
    }

    /// Replaces all measurements of an experiment.
    pub fn replace(&mut self, experiment: Experiment, measured: Vec<Measurement>) {
        self.measured.retain(|m| m.experiment != experiment);
        self.measured.extend(measured);
        self.measured.sort_by_key(|m| (m.experiment, m.quantity));
    }

    /// Returns the measurement of a quantity in an experiment, `None` if there is none.
    pub fn get(&self, experiment: Experiment, quantity: Quantity) -> Option<&Measurement> {
        self.measured.iter().find(|m| m.experiment == experiment && m.quantity == quantity)
    }
}
