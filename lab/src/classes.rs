//! The `classes` command: counts the outcomes of each class of requests over a fleet, second by second, from the
//! gateways' debug logs.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::path::PathBuf;

use serde::Serialize;

use super::log::{field, read_all, timestamp_s};

#[cfg(test)]
mod tests;

/// Counts outcomes by class in logs that gateways wrote with `--log debug`.
#[derive(clap::Args)]
pub struct Options {
    /// Folder with one log per gateway, named `*.log`.
    logs: PathBuf,
    /// Prints only the sums over the whole time, not each second.
    #[arg(long)]
    sums: bool,
    #[command(flatten)]
    output: super::Output,
}

/// Counts for one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Requests admitted.
    pub taken: u64,
    /// Attempts forwarded.
    pub attempts: u64,
    /// Attempts cancelled.
    pub given_up: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests answered with a rejection.
    pub refused: u64,
    /// Requests answered with another error.
    pub failed: u64,
    /// Requests shed while queued, by reason: the guard that rejected the request at the largest number of engines. If
    /// an engine would have admitted the request, the reason is `order_key` or `no_guard`.
    pub guards: BTreeMap<String, u64>,
    /// Sum of the seconds from admission to the first attempt, over the requests counted by `sent`.
    pub held_s: f64,
    /// Sum of the seconds from admission to the answer, over the requests counted by `served`.
    pub took_s: f64,
    /// Requests with at least one attempt.
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
pub type ClassSeconds = BTreeMap<(usize, u64), Count>;

/// Reads one gateway's log.
pub fn read(log: impl BufRead) -> std::io::Result<ClassSeconds> {
    let mut seconds = ClassSeconds::new();
    // By query id: class, time of admission, whether an attempt was forwarded.
    let mut admitted: HashMap<String, (usize, f64, bool)> = HashMap::new();
    for line in log.lines() {
        let line = line?;
        let Some(now_s) = timestamp_s(&line) else { continue };
        if line.contains("queued request shed") {
            let class = field(&line, "class").and_then(|c| c.parse().ok());
            if let (Some(class), Some(guard)) = (class, field(&line, "why")) {
                let count = seconds.entry((class, now_s as u64)).or_default();
                *count.guards.entry(guard.to_owned()).or_default() += 1;
            }
            continue;
        }
        let Some(query_id) = field(&line, "query_id") else { continue };
        if line.contains(" request admitted ") {
            let Some(class) = field(&line, "class").and_then(|c| c.parse().ok()) else { continue };
            admitted.insert(query_id.to_owned(), (class, now_s, false));
            seconds.entry((class, now_s as u64)).or_default().taken += 1;
            continue;
        }
        let Some((class, admitted_s, sent)) = admitted.get_mut(query_id) else { continue };
        let count = seconds.entry((*class, now_s as u64)).or_default();
        if line.contains(" attempt forwarded ") {
            count.attempts += 1;
            if !std::mem::replace(sent, true) {
                count.sent += 1;
                count.held_s += now_s - *admitted_s;
            }
        } else if line.contains(" attempt cancelled ") {
            count.given_up += 1;
        } else if line.contains(" request answered ") {
            match field(&line, "outcome") {
                Some("served") => {
                    count.served += 1;
                    count.took_s += now_s - *admitted_s;
                }
                Some("rejected") => count.refused += 1,
                _ => count.failed += 1,
            }
            // The entry stays, because the last attempt may be cancelled after the answer.
        }
    }
    Ok(seconds)
}

fn sums(seconds: &ClassSeconds) -> BTreeMap<usize, Count> {
    let mut sums = BTreeMap::<usize, Count>::new();
    seconds.iter().for_each(|((class, _), count)| sums.entry(*class).or_default().add(count));
    sums
}

fn print_row(label: &str, count: &Count) {
    let mean = |sum: f64, n: u64| if n > 0 { sum / n as f64 } else { 0.0 };
    let guards: Vec<String> = count.guards.iter().map(|(guard, n)| format!("{guard} {n}")).collect();
    println!(
        "{label:<16} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7.2} {:>7.2}  {}",
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

/// Content of the JSON file.
#[derive(Serialize)]
struct Figures {
    classes: BTreeMap<usize, Count>,
    quietest_tenth: BTreeMap<usize, Count>,
    busiest_tenth: BTreeMap<usize, Count>,
}

/// Reads all logs of a folder and prints the table.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let mut gateways = read_all(&options.logs, read)?;
    let mut all = ClassSeconds::new();
    for gateway in &gateways {
        gateway.iter().for_each(|(key, count)| all.entry(*key).or_default().add(count));
    }
    println!(
        "class, second      taken  served refused  failed attempts given up  held s  took s  shed by guard"
    );
    for ((class, second), count) in all.iter().filter(|_| !options.sums) {
        print_row(&format!("{class}, {second}"), count);
    }
    let classes = sums(&all);
    classes.iter().for_each(|(class, count)| print_row(&format!("{class}, all"), count));
    // Separate sums for the tenth of the gateways with the fewest admitted requests and for the tenth with the most.
    gateways.sort_by_key(|g| g.values().map(|c| c.taken).sum::<u64>());
    let tenth = gateways.len().div_ceil(10);
    let sums_of = |gateways: &[ClassSeconds]| {
        let mut sums_by_class = BTreeMap::<usize, Count>::new();
        for (class, count) in gateways.iter().flat_map(sums) {
            sums_by_class.entry(class).or_default().add(&count);
        }
        sums_by_class
    };
    let (quietest_tenth, busiest_tenth) =
        (sums_of(&gateways[..tenth]), sums_of(&gateways[gateways.len() - tenth..]));
    quietest_tenth.iter().for_each(|(class, count)| print_row(&format!("{class}, quietest"), count));
    busiest_tenth.iter().for_each(|(class, count)| print_row(&format!("{class}, busiest"), count));
    options.output.write(&Figures { classes, quietest_tenth, busiest_tenth })
}
