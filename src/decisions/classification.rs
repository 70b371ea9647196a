//! Classification of requests: classes are either interactive or background work.

use crate::{Class, SettingsChange};

/// Longest objective of an interactive class, as a multiple of the shortest objective of the lightest
/// classes.
const OBJECTIVE_RATIO: f64 = 2.0;
/// Lower bound of the cores of the smallest machine.
const MIN_CORES: f64 = 2.0;

/// For each class of the settings, whether it is interactive. A class is interactive if none of the active
/// classes has fewer threads, and its objective is near the shortest one with that number of threads. Loads,
/// and classes whose request can occupy the smallest machine alone, are ignored and never interactive.
pub(super) fn interactive_classes(change: &SettingsChange) -> Vec<bool> {
    let (settings, active) = (&change.settings, change.active_classes());
    let smallest_cores = settings.machine_types.iter().map(|kind| kind.cores).fold(f64::INFINITY, f64::min);
    let is_light =
        |class: &&Class| !class.is_load && f64::from(class.threads) < smallest_cores.max(MIN_CORES);
    let fewest_threads = active.iter().copied().filter(is_light).map(|class| class.threads).min();
    let is_lightest = |class: &&Class| is_light(class) && Some(class.threads) == fewest_threads;
    let shortest_objective = active
        .iter()
        .copied()
        .filter(is_lightest)
        .map(|class| class.latency_objective)
        .fold(f64::INFINITY, f64::min);
    let is_interactive = |class: &Class| {
        is_lightest(&class) && class.latency_objective <= OBJECTIVE_RATIO * shortest_objective
    };
    settings.classes.iter().map(is_interactive).collect()
}
