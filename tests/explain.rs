//! Debug log lines that operators and the lab search for: the rule by which a request is shed, the guards
//! that kept it from engines, and the ejection and recovery of an engine.

mod common;

use std::fmt::{Debug, Write};
use std::sync::{Arc, Mutex};

use common::*;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event as LogEvent, Metadata, Subscriber};
use workload_manager::*;

/// A subscriber that stores each log event as one line of `field=value` pairs.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<String>>>);

struct LogLine(String);

impl Visit for LogLine {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        write!(self.0, " {}={value:?}", field.name()).unwrap();
    }
}

impl Subscriber for CapturedLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &LogEvent<'_>) {
        let mut line = LogLine(String::new());
        event.record(&mut line);
        self.0.lock().unwrap().push(line.0);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// Runs the closure and returns the logged lines that contain this message.
fn logged_lines(message: &str, run: impl FnOnce()) -> Vec<String> {
    let lines = CapturedLog::default();
    tracing::subscriber::with_default(lines.clone(), run);
    let lines = lines.0.lock().unwrap();
    lines.iter().filter(|line| line.contains(message)).cloned().collect()
}

/// Returns the lines logged when a request of this class is shed after four seconds in the queue.
fn log_of_shed_request(engines: Vec<EndpointEntry>, class: ClassId, prepare: fn(&mut Driver)) -> Vec<String> {
    logged_lines("queued request shed", || {
        let mut driver = Driver::new(settings(), engines);
        prepare(&mut driver);
        assert!(forwarded_to(&driver.arrive(1, class)).is_none());
        driver.now += 4.0;
        assert_eq!(final_answers(&driver.control_tick()), [(1, true)]);
    })
}

#[test]
fn a_shed_request_is_logged_with_the_guard_that_rejected_it() {
    let draining = |id| EndpointEntry { state: EndpointState::Draining, ..engine(id) };
    let lines = log_of_shed_request(vec![draining(1), draining(2)], INTERACTIVE, |_| {});
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    for part in [
        " request=1 ",
        " class=0 ",
        " rule=queue_time ",
        " why=state open=0 state=2 ",
        " queued_seconds=4.00 ",
    ] {
        assert!(line.contains(part), "no {part:?} in {line}");
    }

    let lines = log_of_shed_request(vec![engine(1)], BACKGROUND, |driver| {
        assert!(forwarded_to(&driver.arrive(100, BACKGROUND)).is_some());
    });
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    assert!(line.contains(" why=concurrency_limit open=0 concurrency_limit=1 "), "{line}");
}

#[test]
fn a_request_without_time_for_an_attempt_is_logged_without_a_guard() {
    let lines = logged_lines("queued request shed", || {
        let mut driver = Driver::new(settings(), vec![engine(1)]);
        let request = Request { deadline: driver.now + 0.01, ..driver.request(1, INTERACTIVE) };
        assert!(forwarded_to(&driver.event(&Event::RequestArrived(request))).is_none());
        assert_eq!(final_answers(&driver.control_tick()), [(1, true)]);
    });
    let [line] = lines.as_slice() else { panic!("{lines:?}") };
    assert!(line.contains(" rule=no_attempt_possible why=no_guard open=1 "), "{line}");
}

#[test]
fn a_request_with_a_short_deadline_is_logged_with_its_order_key_as_reason() {
    let lines = logged_lines("queued request shed", || {
        let mut driver = Driver::new(settings(), vec![engine(1), engine(2)]);
        for (id, wait) in [(1, 30.0), (2, 14.0), (3, 14.0)] {
            let request =
                Request { key: Some(KeyId(5)), deadline: driver.now + wait, ..driver.request(id, LOAD) };
            driver.event(&Event::RequestArrived(request));
        }
        driver.now += 0.05;
        assert_eq!(final_answers(&driver.control_tick()), [(2, true), (3, true)]);
    });
    let [second, third] = lines.as_slice() else { panic!("{lines:?}") };
    for line in [second, third] {
        assert!(line.contains(" rule=short_deadline why=order_key open="), "{line}");
    }
}

#[test]
fn ejection_and_recovery_of_an_engine_are_logged() {
    let lines = logged_lines("message=engine ", || {
        let mut driver = Driver::new(settings(), vec![engine(1)]);
        // The end of a new engine's first recovery ramp is not logged.
        driver.serve_interactive(0, 20, 0.1);
        assert!(forwarded_to(&driver.arrive(100, INTERACTIVE)).is_some());
        driver.attempt_ended(100, 0, 1, Outcome::ConnectFailed, 0.1);
        driver.event(&Event::RequestAborted(RequestId(100)));
        driver.now += 2.0;
        driver.serve_interactive(200, 20, 0.1);
    });
    let [ejected, recovered] = lines.as_slice() else { panic!("{lines:?}") };
    for part in ["message=engine ejected", " engine=1 ejection_seconds=", " epoch=1"] {
        assert!(ejected.contains(part), "no {part:?} in {ejected}");
    }
    for part in ["message=engine recovered", " engine=1 epoch=1"] {
        assert!(recovered.contains(part), "no {part:?} in {recovered}");
    }
}
