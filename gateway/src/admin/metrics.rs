//! The metrics that operators fetch: counts of each class since the start of the process, and gauges.
//!
//! The names of the figures as printed are fixed by the operators' pages.

use std::fmt::Write;

use workload_manager::ClassId;

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts forwarded to engines.
    pub attempts: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// All rows.
    Served,
    /// A retry is safe.
    Rejected,
    /// Any other error.
    Failed,
}

/// What is looked up when the metrics are asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub in_flight: usize,
    /// Engines in the endpoint list.
    pub engines_known: usize,
    /// Of these, those that get no new attempts: draining, in maintenance, ejected or resting.
    pub engines_excluded: usize,
}

/// The counts of all classes, by name: one that other settings change counts on.
#[derive(Clone, Debug)]
pub struct Metrics {
    classes: Vec<(String, ClassMetrics)>,
    /// By [`ClassId`], the index into `classes`.
    index_by_class: Vec<usize>,
}

impl Metrics {
    /// Nothing counted yet, for classes of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut metrics = Self { classes: Vec::new(), index_by_class: Vec::new() };
        metrics.rename(names);
        metrics
    }

    /// Takes over other settings: the names of the classes by [`ClassId`], of which some may be the same. The counts
    /// of a name stay while a class has it.
    pub fn rename<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let old = std::mem::take(&mut self.classes);
        self.index_by_class.clear();
        for name in names {
            let known = self.classes.iter().position(|(n, _)| n == name);
            self.index_by_class.push(known.unwrap_or(self.classes.len()));
            if known.is_none() {
                let counted = old.iter().find(|(n, _)| n == name).map(|(_, counted)| *counted);
                self.classes.push((name.to_owned(), counted.unwrap_or_default()));
            }
        }
    }

    /// The counts of a class. Classes come from the settings, so that they are always there.
    pub fn class(&mut self, class: ClassId) -> &mut ClassMetrics {
        &mut self.classes[self.index_by_class[class.0]].1
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, class: ClassId, end: RequestEnd) {
        let c = self.class(class);
        *match end {
            RequestEnd::Served => &mut c.served,
            RequestEnd::Rejected => &mut c.rejected,
            RequestEnd::Failed => &mut c.failed,
        } += 1;
    }

    /// The metrics as printed: a line for each figure.
    pub fn text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        for (name, c) in &self.classes {
            let figures = [
                ("served", c.served),
                ("refused", c.rejected),
                ("failed", c.failed),
                ("attempts", c.attempts),
            ];
            for (what, n) in figures {
                let _ = writeln!(text, "edge_lb.{what}.{name}={n}");
            }
        }
        let _ = writeln!(text, "edge_lb.in_flight={}", gauges.in_flight);
        let _ = writeln!(text, "edge_lb.engines_known={}", gauges.engines_known);
        let _ = writeln!(text, "edge_lb.engines_excluded={}", gauges.engines_excluded);
        text
    }
}

#[cfg(test)]
mod tests;
