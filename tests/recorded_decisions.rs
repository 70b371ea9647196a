//! Every decision of a gateway over drawn streams of events, against recorded ones.
//!
//! `recorded_decisions/expected.txt` has a line for each stream: its number, seed, events, actions and
//! digest, and the digest of each block of events. Where a decision is meant to change,
//! `WRENHATCH_RECORD=1` records it anew.

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

use action_log::{BLOCK_EVENTS, Journal};
use scenario::Setup;
use simulation::World;

const STREAMS: usize = 36;
const EVENTS: usize = 5000;
const FIRST_SEED: u64 = 4000;
const EXPECTED: &str = include_str!("recorded_decisions/expected.txt");
const EXPECTED_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded_decisions/expected.txt");

fn seed(stream: usize) -> u64 {
    FIRST_SEED + stream as u64
}

fn play(stream: usize) -> Journal {
    World::new(Setup::of(stream), seed(stream)).play(EVENTS, stream)
}

/// The line of a stream in the file.
fn line(stream: usize, journal: &Journal) -> String {
    let mut line = format!(
        "{stream} seed={} events={} actions={} digest={:016x} blocks",
        seed(stream),
        journal.events,
        journal.actions,
        journal.digest()
    );
    for digest in journal.block_digests() {
        // Writing to a string never fails.
        let _ = write!(line, " {digest:016x}");
    }
    line
}

/// What is to be read where a stream went another way.
fn difference(stream: usize, journal: &Journal, expected: &str) -> String {
    let found = line(stream, journal);
    let blocks = |line: &str| -> Vec<String> {
        let (_, digests) = line.split_once(" blocks").unwrap_or_default();
        digests.split_whitespace().map(str::to_owned).collect()
    };
    let (found_blocks, expected_blocks) = (blocks(&found), blocks(expected));
    let same = found_blocks.iter().zip(&expected_blocks).take_while(|(a, b)| a == b).count();
    let head = |line: &str| line.split(" blocks").next().unwrap_or_default().to_owned();
    format!(
        "stream {stream} ({}):\nexpected {}\nfound    {}\nthe first block that differs begins at event {}:\n{}",
        Setup::of(stream).describe(),
        head(expected),
        head(&found),
        same * BLOCK_EVENTS,
        journal.block_text(same)
    )
}

#[test]
fn decisions_are_the_recorded_ones() {
    let journals: Vec<Journal> = (0..STREAMS).map(play).collect();
    if std::env::var_os("WRENHATCH_RECORD").is_some() {
        let lines: Vec<String> = journals.iter().enumerate().map(|(n, journal)| line(n, journal)).collect();
        std::fs::write(EXPECTED_PATH, lines.join("\n") + "\n").expect("the file can be written");
        panic!("recorded {STREAMS} streams anew; run again without WRENHATCH_RECORD");
    }
    let expected: Vec<&str> = EXPECTED.lines().collect();
    assert_eq!(expected.len(), STREAMS, "a line for each stream");
    for (stream, journal) in journals.iter().enumerate() {
        assert!(
            line(stream, journal) == expected[stream],
            "{}",
            difference(stream, journal, expected[stream])
        );
    }
}
