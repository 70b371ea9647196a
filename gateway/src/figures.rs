//! The figures that operators fetch: by class, since the start of the process.

use std::fmt::Write;

use notchridge::interface::ClassId;

/// What is counted of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
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

/// The figures of all classes.
#[derive(Clone, Debug)]
pub struct Figures {
    classes: Vec<(String, ClassFigures)>,
}

impl Figures {
    /// Nothing counted yet, for classes of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        Self { classes: names.into_iter().map(|n| (n.to_owned(), ClassFigures::default())).collect() }
    }

    /// The figures of a class. Classes come from the settings, so that it is always there.
    pub fn class(&mut self, class: ClassId) -> &mut ClassFigures {
        &mut self.classes[class.0].1
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
mod tests {
    use super::*;

    #[test]
    fn each_figure_has_a_line_of_its_own() {
        let mut figures = Figures::new(["lookup", "load"]);
        figures.ended(ClassId(0), Ending::Served);
        figures.ended(ClassId(1), Ending::Refused);
        figures.ended(ClassId(1), Ending::Failed);
        figures.class(ClassId(1)).attempts += 2;
        let text = figures.text(Now { in_flight: 3, engines_known: 8, engines_excluded: 1 });
        let wanted = "edge_lb.served.lookup=1\nedge_lb.refused.lookup=0\nedge_lb.failed.lookup=0\n\
                      edge_lb.attempts.lookup=0\nedge_lb.served.load=0\nedge_lb.refused.load=1\n\
                      edge_lb.failed.load=1\nedge_lb.attempts.load=2\nedge_lb.in_flight=3\n\
                      edge_lb.engines_known=8\nedge_lb.engines_excluded=1\n";
        assert_eq!(text, wanted);
    }
}
