//! The record of a run: what was sent, answered and run, with the time in seconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt`. Clones share the file and the clock.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| stop("RECORD is not set"));
        let file = File::create(&path).unwrap_or_else(|error| stop(&format!("{path}: {error}")));
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line at the present time.
    pub fn note(&self, who: &str, text: &str) {
        self.note_at(self.now(), who, text);
    }

    /// Writes a line for something that happened at `at`.
    pub fn note_at(&self, at: f64, who: &str, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {who:<14} {text}");
    }

    /// Writes the verdict and ends the program: exit code 0 if the rule held, 1 if it was broken.
    pub fn verdict(&self, broken: bool, text: &str) -> i32 {
        let word = if broken { "BROKEN" } else { "held" };
        self.note("verdict", &format!("{word}: {text}"));
        println!("{word}: {text}");
        i32::from(broken)
    }
}

/// Ends the program, because the case can't run.
pub fn stop(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    std::process::exit(2);
}
