//! What a fleet does to its engines, summed over the gateways' logs at debug: connections, attempts, and when each
//! gateway was notified of a change.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::path::PathBuf;

use serde::Serialize;

use super::log::{at, each, field};

#[cfg(test)]
mod tests;

/// Counts what gateways logged of their engines with `--log debug`.
#[derive(clap::Args)]
pub struct Options {
    /// A folder with one log for each gateway, named `*.log`.
    logs: PathBuf,
    /// Each engine by itself too.
    #[arg(long)]
    each: bool,
    #[command(flatten)]
    output: super::Output,
}

/// What was seen of one engine, or of all, in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Connections opened by a gateway that had none to it before.
    pub first: u64,
    /// By one whose earlier ones had all been closed.
    pub again: u64,
    /// By one whose others were all in use.
    pub more: u64,
    /// Of all these, for giving an attempt up.
    pub to_give_up: u64,
    /// Connections closed.
    pub closed: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that ended otherwise.
    pub other: u64,
}

impl Count {
    fn add(&mut self, o: &Self) {
        self.first += o.first;
        self.again += o.again;
        self.more += o.more;
        self.to_give_up += o.to_give_up;
        self.closed += o.closed;
        self.sent += o.sent;
        self.served += o.served;
        self.other += o.other;
    }

    fn opened(&self) -> u64 {
        self.first + self.again + self.more
    }
}

/// A change of an engine, as the endpoint list has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineChange {
    name: String,
    state: String,
    since_ms: u64,
}

/// What one gateway's log holds.
#[derive(Debug, Default)]
pub struct Log {
    /// By engine and second.
    counts: BTreeMap<(String, u64), Count>,
    /// When it was first notified of a state of an engine.
    first_notified_s: BTreeMap<EngineChange, f64>,
}

/// Reads one gateway's log. Engines whose names the log does not hold are left out.
pub fn read(log: impl BufRead) -> std::io::Result<Log> {
    let mut out = Log::default();
    // Numbers are this gateway's own; names are the fleet's.
    let mut names: HashMap<String, String> = HashMap::new();
    // Connections open to each engine that there has been one to.
    let mut open: HashMap<String, u64> = HashMap::new();
    for line in log.lines() {
        let line = line?;
        let (Some(now), Some(number)) = (at(&line), field(&line, "engine")) else { continue };
        if line.contains("engine listed") {
            let text = |key| field(&line, key).unwrap_or_default().to_owned();
            names.insert(number.to_owned(), text("name"));
            let since_ms = text("since_ms").parse().unwrap_or(0);
            let change = EngineChange { name: text("name"), state: text("state"), since_ms };
            out.first_notified_s.entry(change).or_insert(now);
            continue;
        }
        let Some(name) = names.get(number) else { continue };
        let count = out.counts.entry((name.clone(), now as u64)).or_default();
        if line.contains("connection opened") {
            match open.get(name) {
                None => count.first += 1,
                Some(0) => count.again += 1,
                Some(_) => count.more += 1,
            }
            count.to_give_up += u64::from(field(&line, "cancels") == Some("true"));
            *open.entry(name.clone()).or_default() += 1;
        } else if line.contains("connection closed") {
            count.closed += 1;
            open.entry(name.clone()).and_modify(|n| *n = n.saturating_sub(1));
        } else if line.contains(" attempt forwarded ") {
            count.sent += 1;
        } else if line.contains(" attempt ended ") {
            let served = field(&line, "outcome") == Some("Success");
            *(if served { &mut count.served } else { &mut count.other }) += 1;
        }
    }
    Ok(out)
}

/// When the first and the last gateway were notified of a change, and how many were.
#[derive(Debug, PartialEq, Serialize)]
pub struct Learned {
    name: String,
    state: String,
    since_ms: u64,
    gateways: usize,
    first_s: f64,
    last_s: f64,
}

fn learned(logs: &[Log]) -> Vec<Learned> {
    let mut times: BTreeMap<&EngineChange, Vec<f64>> = BTreeMap::new();
    logs.iter()
        .flat_map(|l| &l.first_notified_s)
        .for_each(|(change, at)| times.entry(change).or_default().push(*at));
    let learned = times.into_iter().map(|(change, at)| Learned {
        name: change.name.clone(),
        state: change.state.clone(),
        since_ms: change.since_ms,
        gateways: at.len(),
        first_s: at.iter().copied().fold(f64::INFINITY, f64::min),
        last_s: at.iter().copied().fold(0.0, f64::max),
    });
    learned.collect()
}

/// What is written as JSON.
#[derive(Serialize)]
struct Figures {
    seconds: BTreeMap<u64, Count>,
    engines: BTreeMap<String, Count>,
    learned: Vec<Learned>,
}

fn figures(logs: &[Log]) -> Figures {
    let (mut seconds, mut engines) = (BTreeMap::<u64, Count>::new(), BTreeMap::<String, Count>::new());
    for ((name, second), count) in logs.iter().flat_map(|l| &l.counts) {
        seconds.entry(*second).or_default().add(count);
        engines.entry(name.clone()).or_default().add(count);
    }
    Figures { seconds, engines, learned: learned(logs) }
}

fn print(what: &str, c: &Count, held: i64) {
    let each = if c.sent > 0 { c.opened() as f64 / c.sent as f64 } else { 0.0 };
    println!(
        "{what:<24} {:>6} {:>6} {:>6} {:>7} {:>6} {held:>6} {:>7} {:>7} {:>6} {each:>9.2}",
        c.first, c.again, c.more, c.to_give_up, c.closed, c.sent, c.served, c.other
    );
}

/// Counts all logs of a folder and prints the tables.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let figures = figures(&each(&options.logs, read)?);
    println!(
        "second, engine            first  again   more give up closed   held    sent  served  other each sent"
    );
    let mut held = 0;
    for (second, count) in &figures.seconds {
        held += count.opened() as i64 - count.closed as i64;
        print(&second.to_string(), count, held);
    }
    for (name, count) in figures.engines.iter().filter(|_| options.each) {
        print(name, count, count.opened() as i64 - count.closed as i64);
    }
    println!("engine, state, start in ms: gateways notified, first and last at s");
    for l in &figures.learned {
        println!(
            "{}, {}, {}: {}, {:.2}, {:.2}",
            l.name, l.state, l.since_ms, l.gateways, l.first_s, l.last_s
        );
    }
    options.output.write(&figures)
}
