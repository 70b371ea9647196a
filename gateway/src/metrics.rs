//! The figures that operators fetch: by class, since the start of the process.

use std::fmt::Write;

use workload_manager::ClassId;

/// What is counted of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written whole to engines.
    pub attempts: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All rows.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Any other error.
    Failed,
}

/// What is not counted but looked up when it is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Requests taken and not ended.
    pub in_flight: usize,
    /// Engines in the list.
    pub engines_known: usize,
    /// Of these, the ones that are avoided now.
    pub engines_excluded: usize,
}

/// The figures of all classes, by name: a class that other settings change counts on.
#[derive(Clone, Debug)]
pub struct Metrics {
    classes: Vec<(String, ClassMetrics)>,
    /// By number of a class, where its figures are.
    places: Vec<usize>,
}

impl Metrics {
    /// Nothing counted yet, for classes of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut metrics = Self { classes: Vec::new(), places: Vec::new() };
        metrics.rename(names);
        metrics
    }

    /// Other settings: classes have these names by number, some of them the same one. What was counted of a name
    /// stays while a number has it.
    pub fn rename<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let old = std::mem::take(&mut self.classes);
        self.places.clear();
        for name in names {
            let known = self.classes.iter().position(|(n, _)| n == name);
            self.places.push(known.unwrap_or(self.classes.len()));
            if known.is_none() {
                let counted = old.iter().find(|(n, _)| n == name).map(|(_, counted)| *counted);
                self.classes.push((name.to_owned(), counted.unwrap_or_default()));
            }
        }
    }

    /// The figures of a class. Classes come from the settings, so that it is always there.
    pub fn class(&mut self, class: ClassId) -> &mut ClassMetrics {
        &mut self.classes[self.places[class.0]].1
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, class: ClassId, ending: Ending) {
        let c = self.class(class);
        *match ending {
            Ending::Served => &mut c.served,
            Ending::Refused => &mut c.refused,
            Ending::Failed => &mut c.failed,
        } += 1;
    }

    /// A line for each figure.
    pub fn text(&self, now: Now) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        for (name, c) in &self.classes {
            let figures = [
                ("served", c.served),
                ("refused", c.refused),
                ("failed", c.failed),
                ("attempts", c.attempts),
            ];
            for (what, n) in figures {
                let _ = writeln!(text, "edge_lb.{what}.{name}={n}");
            }
        }
        let _ = writeln!(text, "edge_lb.in_flight={}", now.in_flight);
        let _ = writeln!(text, "edge_lb.engines_known={}", now.engines_known);
        let _ = writeln!(text, "edge_lb.engines_excluded={}", now.engines_excluded);
        text
    }
}

#[cfg(test)]
mod tests;
