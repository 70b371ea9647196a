//! The debug line on a shed request: which guard kept it from the engines. Operators and the lab search for it.

mod common;

use std::fmt::{Debug, Write};
use std::sync::{Arc, Mutex};

use common::*;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event as LogEvent, Metadata, Subscriber};
use workload_manager::*;

/// Keeps each event as one line of `field=value`.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

struct Line(String);

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        write!(self.0, " {}={value:?}", field.name()).unwrap();
    }
}

impl Subscriber for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &LogEvent<'_>) {
        let mut line = Line(String::new());
        event.record(&mut line);
        self.0.lock().unwrap().push(line.0);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// The lines that these engines leave when a request of this class has waited for a second.
fn lines_of_a_shed_request(
    engines: Vec<EndpointEntry>,
    class: ClassId,
    prepare: fn(&mut Driver),
) -> Vec<String> {
    let lines = Lines::default();
    tracing::subscriber::with_default(lines.clone(), || {
        let mut driver = Driver::new(settings(), engines);
        prepare(&mut driver);
        assert!(forwarded_to(&driver.arrive(1, class)).is_none());
        driver.now += 4.0;
        assert_eq!(final_answers(&driver.control_tick()), [(1, true)]);
    });
    let lines = lines.0.lock().unwrap();
    lines.iter().filter(|line| line.contains("queued request shed")).cloned().collect()
}

#[test]
fn a_shed_request_leaves_a_line_with_the_guard_that_kept_it_from_most_engines() {
    let draining = |id| EndpointEntry { state: EndpointState::Draining, ..engine(id) };
    let lines = lines_of_a_shed_request(vec![draining(1), draining(2)], INTERACTIVE, |_| {});
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    for part in [" request=1 ", " class=0 ", " why=state open=0 state=2 ", " queued_seconds=4.00 "] {
        assert!(line.contains(part), "no{part}in{line}");
    }

    let lines = lines_of_a_shed_request(vec![engine(1)], BACKGROUND, |driver| {
        assert!(forwarded_to(&driver.arrive(100, BACKGROUND)).is_some());
    });
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    assert!(line.contains(" why=concurrency_limit open=0 concurrency_limit=1 "), "{line}");
}
