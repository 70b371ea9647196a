//! Least-squares fit of a line through runs, with the standard error of the slope and a test for linear growth.

use serde::{Deserialize, Serialize};

/// Runs at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The value of the experiment's variable.
    pub size: f64,
    /// The measured value of each run.
    #[serde(rename = "plays")]
    pub runs: Vec<f64>,
}

impl Point {
    /// Returns the mean of the runs.
    pub fn mean(&self) -> f64 {
        self.runs.iter().sum::<f64>() / self.runs.len().max(1) as f64
    }

    /// Returns the median of the runs, NaN without runs.
    pub fn median(&self) -> f64 {
        let mut sorted = self.runs.clone();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        match sorted.len() {
            0 => f64::NAN,
            n if n % 2 == 1 => sorted[middle],
            _ => 0.5 * (sorted[middle - 1] + sorted[middle]),
        }
    }

    /// Returns half of the difference between the largest and the smallest run.
    pub fn spread(&self) -> f64 {
        let smallest = self.runs.iter().copied().fold(f64::INFINITY, f64::min);
        let largest = self.runs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        0.5 * (largest - smallest).max(0.0)
    }
}

/// A line fitted through runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Pooled standard deviation of the runs of a size from their mean.
    pub noise: f64,
    /// Root mean square deviation of the means of the sizes from the line, weighted by their number of runs.
    pub misfit: f64,
    /// Whether the noise explains the misfit, or the misfit is negligible.
    pub linear: bool,
    /// Slope between the two smallest sizes.
    pub first_slope: f64,
    /// Slope between the two largest sizes.
    pub last_slope: f64,
}

/// Largest ratio of misfit to noise at which growth counts as linear: the square root of 8.65, the 99% quantile of
/// the F distribution with 2 and 8 degrees of freedom (four sizes of three runs).
const MAX_MISFIT_TO_NOISE: f64 = 2.94;
/// A misfit up to this ratio to the largest mean counts as linear, whatever the noise.
const NEGLIGIBLE_MISFIT_RATIO: f64 = 0.05;

/// Means over all runs, and sums of products of deviations from them.
struct Sums {
    count: f64,
    size_mean: f64,
    value_mean: f64,
    size_squares: f64,
    products: f64,
}

impl Sums {
    fn of(points: &[Point]) -> Self {
        let values = || points.iter().flat_map(|p| p.runs.iter().map(|value| (p.size, *value)));
        let count = values().count() as f64;
        let size_mean = values().map(|(size, _)| size).sum::<f64>() / count;
        let value_mean = values().map(|(_, value)| value).sum::<f64>() / count;
        let size_squares = values().map(|(size, _)| (size - size_mean).powi(2)).sum();
        let products = values().map(|(size, value)| (size - size_mean) * (value - value_mean)).sum();
        Self { count, size_mean, value_mean, size_squares, products }
    }
}

/// Fits a line through points sorted by size. Returns `None` for fewer than three points or a point without runs.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let sizes = points.len();
    if sizes < 3 || points.iter().any(|p| p.runs.is_empty()) {
        return None;
    }
    let sums = Sums::of(points);
    let slope = sums.products / sums.size_squares;
    let intercept = sums.value_mean - slope * sums.size_mean;
    let line = |size: f64| intercept + slope * size;
    let squares_about = |p: &Point, centre: f64| p.runs.iter().map(|v| (v - centre).powi(2)).sum::<f64>();
    let squares_about_line: f64 = points.iter().map(|p| squares_about(p, line(p.size))).sum();
    let squares_about_means: f64 = points.iter().map(|p| squares_about(p, p.mean())).sum();
    let degrees_of_freedom = sums.count - sizes as f64;
    let noise =
        if degrees_of_freedom > 0.0 { (squares_about_means / degrees_of_freedom).sqrt() } else { 0.0 };
    let misfit = ((squares_about_line - squares_about_means).max(0.0) / (sizes as f64 - 2.0)).sqrt();
    let largest = points.iter().map(|p| p.mean().abs()).fold(0.0, f64::max);
    let slope_between = |a: &Point, b: &Point| (b.mean() - a.mean()) / (b.size - a.size);
    Some(Fit {
        intercept,
        slope,
        slope_error: (squares_about_line / (sums.count - 2.0) / sums.size_squares).sqrt(),
        noise,
        misfit,
        linear: misfit <= (MAX_MISFIT_TO_NOISE * noise).max(NEGLIGIBLE_MISFIT_RATIO * largest),
        first_slope: slope_between(&points[0], &points[1]),
        last_slope: slope_between(&points[sizes - 2], &points[sizes - 1]),
    })
}
