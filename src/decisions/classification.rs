//! Which classes are interactive. All others are background work.

use crate::{Class, SettingsChange};

/// Interactive classes have an objective of at most this times the shortest among the lightest classes.
const OBJECTIVE_RATIO: f64 = 2.0;
/// A machine counts as having this many cores at least.
const MIN_CORES: f64 = 2.0;

/// For each class of the settings whether it is interactive, by settings alone: of the active classes that
/// are no loads, those with the fewest threads whose objective is near the shortest. A class that fills the
/// smallest machine alone is never interactive.
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
