//! What became of each class of requests over a fleet, second by second, from the gateways' logs at debug.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::path::PathBuf;

use serde::Serialize;

use super::log::{at, each, field};

#[cfg(test)]
mod tests;

/// Counts by class what gateways logged with `--log debug`.
#[derive(clap::Args)]
pub struct Options {
    /// A folder with one log for each gateway, named `*.log`.
    logs: PathBuf,
    /// Only sums over the whole time, not second by second.
    #[arg(long)]
    sums: bool,
    #[command(flatten)]
    output: super::Output,
}

/// What was seen of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Requests admitted.
    pub taken: u64,
    /// Attempts forwarded.
    pub attempts: u64,
    /// Attempts that were cancelled.
    pub given_up: u64,
    /// Final answers.
    pub served: u64,
    /// Final answers.
    pub refused: u64,
    /// Final answers.
    pub failed: u64,
    /// Shed while queued, by the guard that kept it from most engines.
    pub guards: BTreeMap<String, u64>,
    /// Seconds from admission to first sent, of those that were sent.
    pub held_s: f64,
    /// Seconds from admission to answered, of those that were served.
    pub took_s: f64,
    /// How many were sent at least once.
    pub sent: u64,
}

impl Count {
    fn add(&mut self, other: &Self) {
        self.taken += other.taken;
        self.attempts += other.attempts;
        self.given_up += other.given_up;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.sent += other.sent;
        self.held_s += other.held_s;
        self.took_s += other.took_s;
        for (guard, n) in &other.guards {
            *self.guards.entry(guard.clone()).or_default() += n;
        }
    }
}

/// Counts by class and second.
pub type Seconds = BTreeMap<(usize, u64), Count>;

/// Counts one gateway's log.
pub fn count(log: impl BufRead) -> std::io::Result<Seconds> {
    let mut seconds = Seconds::new();
    // By query id: class, when it was admitted, whether it was sent.
    let mut open: HashMap<String, (usize, f64, bool)> = HashMap::new();
    for line in log.lines() {
        let line = line?;
        let Some(now) = at(&line) else { continue };
        if line.contains("queued request shed") {
            let class = field(&line, "class").and_then(|c| c.parse().ok());
            if let (Some(class), Some(guard)) = (class, field(&line, "why")) {
                let count = seconds.entry((class, now as u64)).or_default();
                *count.guards.entry(guard.to_owned()).or_default() += 1;
            }
            continue;
        }
        let Some(query_id) = field(&line, "query_id") else { continue };
        if line.contains(" request admitted ") {
            let Some(class) = field(&line, "class").and_then(|c| c.parse().ok()) else { continue };
            open.insert(query_id.to_owned(), (class, now, false));
            seconds.entry((class, now as u64)).or_default().taken += 1;
            continue;
        }
        let Some((class, taken, sent)) = open.get_mut(query_id) else { continue };
        let count = seconds.entry((*class, now as u64)).or_default();
        if line.contains(" attempt forwarded ") {
            count.attempts += 1;
            if !std::mem::replace(sent, true) {
                count.sent += 1;
                count.held_s += now - *taken;
            }
        } else if line.contains(" attempt cancelled ") {
            count.given_up += 1;
        } else if line.contains(" request answered ") {
            match field(&line, "outcome") {
                Some("served") => {
                    count.served += 1;
                    count.took_s += now - *taken;
                }
                Some("rejected") => count.refused += 1,
                _ => count.failed += 1,
            }
            // Its last attempt may still be cancelled after the answer.
        }
    }
    Ok(seconds)
}

fn sums(seconds: &Seconds) -> BTreeMap<usize, Count> {
    let mut sums = BTreeMap::<usize, Count>::new();
    seconds.iter().for_each(|((class, _), count)| sums.entry(*class).or_default().add(count));
    sums
}

fn print(what: &str, count: &Count) {
    let mean = |sum: f64, n: u64| if n > 0 { sum / n as f64 } else { 0.0 };
    let guards: Vec<String> = count.guards.iter().map(|(guard, n)| format!("{guard} {n}")).collect();
    println!(
        "{what:<16} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7.2} {:>7.2}  {}",
        count.taken,
        count.served,
        count.refused,
        count.failed,
        count.attempts,
        count.given_up,
        mean(count.held_s, count.sent),
        mean(count.took_s, count.served),
        guards.join(", ")
    );
}

/// What is written as JSON.
#[derive(Serialize)]
struct Figures {
    classes: BTreeMap<usize, Count>,
    quietest_tenth: BTreeMap<usize, Count>,
    busiest_tenth: BTreeMap<usize, Count>,
}

/// Counts all logs of a folder and prints the table.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let mut gateways = each(&options.logs, count)?;
    let mut all = Seconds::new();
    for gateway in &gateways {
        gateway.iter().for_each(|(key, count)| all.entry(*key).or_default().add(count));
    }
    println!(
        "class, second      taken  served refused  failed attempts given up  held s  took s  shed by guard"
    );
    for ((class, second), count) in all.iter().filter(|_| !options.sums) {
        print(&format!("{class}, {second}"), count);
    }
    let classes = sums(&all);
    classes.iter().for_each(|(class, count)| print(&format!("{class}, all"), count));
    // A gateway's own traffic decides what its shares are worth to it.
    gateways.sort_by_key(|g| g.values().map(|c| c.taken).sum::<u64>());
    let tenth = gateways.len().div_ceil(10);
    let part = |gateways: &[Seconds]| {
        let mut part = BTreeMap::<usize, Count>::new();
        for (class, count) in gateways.iter().flat_map(sums) {
            part.entry(class).or_default().add(&count);
        }
        part
    };
    let (quietest_tenth, busiest_tenth) =
        (part(&gateways[..tenth]), part(&gateways[gateways.len() - tenth..]));
    quietest_tenth.iter().for_each(|(class, count)| print(&format!("{class}, quietest"), count));
    busiest_tenth.iter().for_each(|(class, count)| print(&format!("{class}, busiest"), count));
    options.output.write(&Figures { classes, quietest_tenth, busiest_tenth })
}
