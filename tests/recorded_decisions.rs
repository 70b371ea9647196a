//! Golden test: all actions of a workload manager over random event streams, against recorded digests.
//! After an intended change of decisions, `WRENHATCH_RECORD=1` rewrites the file and lets the test fail.

#[path = "recorded_decisions/action_format.rs"]
mod action_format;
#[path = "recorded_decisions/action_log.rs"]
mod action_log;
#[path = "recorded_decisions/rng.rs"]
mod rng;
#[path = "recorded_decisions/scenario.rs"]
mod scenario;
#[path = "recorded_decisions/simulation.rs"]
mod simulation;

use std::fmt::Write;

use action_log::{ActionLog, BLOCK_EVENTS};
use scenario::Scenario;
use simulation::Simulation;

const STREAMS: usize = 36;
const EVENTS: usize = 5000;
const FIRST_SEED: u64 = 4000;
const EXPECTED: &str = include_str!("recorded_decisions/expected.txt");
const EXPECTED_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded_decisions/expected.txt");

fn seed(stream: usize) -> u64 {
    FIRST_SEED + stream as u64
}

fn run_stream(stream: usize) -> ActionLog {
    Simulation::new(Scenario::of(stream), seed(stream)).run(EVENTS, stream)
}

/// The line of this stream in `expected.txt`: its number, seed, number of events, number of actions, digest,
/// and the digest of each block of events.
fn line(stream: usize, log: &ActionLog) -> String {
    let mut line = format!(
        "{stream} seed={} events={} actions={} digest={:016x} blocks",
        seed(stream),
        log.events,
        log.actions,
        log.digest()
    );
    for digest in log.block_digests() {
        // Writing to a string never fails.
        let _ = write!(line, " {digest:016x}");
    }
    line
}

/// Message for a stream whose actions differ: both digests, and the log of the first block that differs.
fn difference(stream: usize, log: &ActionLog, expected: &str) -> String {
    let found = line(stream, log);
    let blocks = |line: &str| -> Vec<String> {
        let (_, digests) = line.split_once(" blocks").unwrap_or_default();
        digests.split_whitespace().map(str::to_owned).collect()
    };
    let (found_blocks, expected_blocks) = (blocks(&found), blocks(expected));
    let same = found_blocks.iter().zip(&expected_blocks).take_while(|(a, b)| a == b).count();
    let head = |line: &str| line.split(" blocks").next().unwrap_or_default().to_owned();
    format!(
        "stream {stream} ({}):\nexpected {}\nfound    {}\nthe first block that differs begins at event {}:\n{}",
        Scenario::of(stream).describe(),
        head(expected),
        head(&found),
        same * BLOCK_EVENTS,
        log.block_text(same)
    )
}

#[test]
fn decisions_match_the_recorded_digests() {
    let logs: Vec<ActionLog> = (0..STREAMS).map(run_stream).collect();
    if std::env::var_os("WRENHATCH_RECORD").is_some() {
        let lines: Vec<String> = logs.iter().enumerate().map(|(n, log)| line(n, log)).collect();
        std::fs::write(EXPECTED_PATH, lines.join("\n") + "\n").expect("expected.txt is writable");
        panic!("recorded {STREAMS} streams; run the test again without WRENHATCH_RECORD");
    }
    let expected: Vec<&str> = EXPECTED.lines().collect();
    assert_eq!(expected.len(), STREAMS, "expected.txt has one line per stream");
    for (stream, log) in logs.iter().enumerate() {
        assert!(line(stream, log) == expected[stream], "{}", difference(stream, log, expected[stream]));
    }
}
