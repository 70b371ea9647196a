//! Metrics of the admin interface: counters per class since the start of the process, and gauges.
//!
//! Operators' tools depend on the printed names.

use std::fmt::Write;

use workload_manager::ClassId;

/// Counters of one class. Invalid requests, and requests whose client cancelled them or disconnected, have no outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests answered with a complete result.
    pub served: u64,
    /// Requests answered with an error after which a retry is safe. Printed as `refused`.
    pub rejected: u64,
    /// Requests answered with any other error, including errors of the statement itself from a MySQL engine.
    pub failed: u64,
    /// Attempts forwarded to engines, including retries.
    pub attempts: u64,
}

/// The outcome of a request, for the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a complete result.
    Served,
    /// The client received an error after which a retry is safe.
    Rejected,
    /// The client received any other error.
    Failed,
}

/// Values sampled when the metrics are requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests admitted and not yet answered.
    pub in_flight: usize,
    /// Number of engines in the endpoint list.
    pub engines_known: usize,
    /// Number of these engines that receive no new attempts: draining, in maintenance, ejected, or backed off after a
    /// rejection.
    pub engines_excluded: usize,
}

/// Counters of all classes. They are kept by name, so that they survive a change of the settings.
#[derive(Clone, Debug)]
pub struct Metrics {
    classes: Vec<(String, ClassMetrics)>,
    /// Index into `classes` by [`ClassId`].
    index_by_class: Vec<usize>,
}

impl Metrics {
    /// Creates counters with value 0 for classes with these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut metrics = Self { classes: Vec::new(), index_by_class: Vec::new() };
        metrics.set_class_names(names);
        metrics
    }

    /// Replaces the names of the classes, given in the order of [`ClassId`]. Classes with the same name share their
    /// counters. The counters of a name are kept as long as a class has the name.
    pub fn set_class_names<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let old = std::mem::take(&mut self.classes);
        self.index_by_class.clear();
        for name in names {
            let known = self.classes.iter().position(|(n, _)| n == name);
            self.index_by_class.push(known.unwrap_or(self.classes.len()));
            if known.is_none() {
                let counters = old.iter().find(|(n, _)| n == name).map(|(_, counters)| *counters);
                self.classes.push((name.to_owned(), counters.unwrap_or_default()));
            }
        }
    }

    /// Returns the counters of a class. Panics if the class is not in the settings.
    pub fn class(&mut self, class: ClassId) -> &mut ClassMetrics {
        &mut self.classes[self.index_by_class[class.0]].1
    }

    /// Increments the counter of a request's outcome.
    pub fn count_outcome(&mut self, class: ClassId, outcome: RequestOutcome) {
        let c = self.class(class);
        *match outcome {
            RequestOutcome::Served => &mut c.served,
            RequestOutcome::Rejected => &mut c.rejected,
            RequestOutcome::Failed => &mut c.failed,
        } += 1;
    }

    /// Formats the metrics, with a line for each value.
    pub fn text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        for (name, c) in &self.classes {
            let counters = [
                ("served", c.served),
                ("refused", c.rejected),
                ("failed", c.failed),
                ("attempts", c.attempts),
            ];
            for (what, n) in counters {
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
