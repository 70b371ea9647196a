//! The `engines` command: counts connections and attempts of a fleet to its engines, and the times at which gateways
//! were notified of engine changes, from the gateways' debug logs.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::path::PathBuf;

use serde::Serialize;

use super::log::{field, read_all, timestamp_s};

#[cfg(test)]
mod tests;

/// Counts connections and attempts to engines in logs that gateways wrote with `--log debug`.
#[derive(clap::Args)]
pub struct Options {
    /// Folder with one log per gateway, named `*.log`.
    logs: PathBuf,
    /// Also prints a row for each engine.
    #[arg(long)]
    each: bool,
    #[command(flatten)]
    output: super::Output,
}

/// Counts for one engine or all engines, over one second or the whole time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// Connections opened by a gateway that had never opened one to the engine.
    pub first: u64,
    /// Connections opened by a gateway whose earlier connections to the engine were all closed.
    pub again: u64,
    /// Connections opened by a gateway that had others open to the engine.
    pub more: u64,
    /// Connections opened to cancel an attempt, also counted in `first`, `again` or `more`.
    pub to_give_up: u64,
    /// Connections closed.
    pub closed: u64,
    /// Attempts forwarded.
    pub sent: u64,
    /// Attempts that ended in success.
    pub served: u64,
    /// Attempts that ended without success.
    pub other: u64,
}

impl Count {
    fn add(&mut self, other: &Self) {
        self.first += other.first;
        self.again += other.again;
        self.more += other.more;
        self.to_give_up += other.to_give_up;
        self.closed += other.closed;
        self.sent += other.sent;
        self.served += other.served;
        self.other += other.other;
    }

    fn opened(&self) -> u64 {
        self.first + self.again + self.more
    }
}

/// A state change of an engine in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EngineChange {
    name: String,
    state: String,
    since_ms: u64,
}

/// Figures of one gateway's log.
#[derive(Debug, Default)]
pub struct GatewayLog {
    /// By name of the engine and second.
    counts: BTreeMap<(String, u64), Count>,
    /// Time at which the gateway was first notified of each change.
    first_notified_s: BTreeMap<EngineChange, f64>,
}

/// Reads one gateway's log. Engines without a name in the log are skipped.
pub fn read(log: impl BufRead) -> std::io::Result<GatewayLog> {
    let mut figures = GatewayLog::default();
    // Engine numbers differ between gateways; names are the same in the whole fleet.
    let mut names: HashMap<String, String> = HashMap::new();
    // Number of open connections by engine. Engines that were never connected to have no entry.
    let mut open: HashMap<String, u64> = HashMap::new();
    for line in log.lines() {
        let line = line?;
        let (Some(now_s), Some(number)) = (timestamp_s(&line), field(&line, "engine")) else { continue };
        if line.contains("engine listed") {
            let text = |key| field(&line, key).unwrap_or_default().to_owned();
            names.insert(number.to_owned(), text("name"));
            let since_ms = text("since_ms").parse().unwrap_or(0);
            let change = EngineChange { name: text("name"), state: text("state"), since_ms };
            figures.first_notified_s.entry(change).or_insert(now_s);
            continue;
        }
        let Some(name) = names.get(number) else { continue };
        let count = figures.counts.entry((name.clone(), now_s as u64)).or_default();
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
    Ok(figures)
}

/// Number of gateways that were notified of an engine change, and times of the first and the last notification.
#[derive(Debug, PartialEq, Serialize)]
pub struct ChangeNotifications {
    name: String,
    state: String,
    since_ms: u64,
    gateways: usize,
    first_s: f64,
    last_s: f64,
}

fn change_notifications(logs: &[GatewayLog]) -> Vec<ChangeNotifications> {
    let mut times: BTreeMap<&EngineChange, Vec<f64>> = BTreeMap::new();
    logs.iter()
        .flat_map(|log| &log.first_notified_s)
        .for_each(|(change, at_s)| times.entry(change).or_default().push(*at_s));
    let notifications = times.into_iter().map(|(change, times_s)| ChangeNotifications {
        name: change.name.clone(),
        state: change.state.clone(),
        since_ms: change.since_ms,
        gateways: times_s.len(),
        first_s: times_s.iter().copied().fold(f64::INFINITY, f64::min),
        last_s: times_s.iter().copied().fold(0.0, f64::max),
    });
    notifications.collect()
}

/// Content of the JSON file.
#[derive(Serialize)]
struct Figures {
    seconds: BTreeMap<u64, Count>,
    engines: BTreeMap<String, Count>,
    learned: Vec<ChangeNotifications>,
}

fn figures(logs: &[GatewayLog]) -> Figures {
    let (mut seconds, mut engines) = (BTreeMap::<u64, Count>::new(), BTreeMap::<String, Count>::new());
    for ((name, second), count) in logs.iter().flat_map(|log| &log.counts) {
        seconds.entry(*second).or_default().add(count);
        engines.entry(name.clone()).or_default().add(count);
    }
    Figures { seconds, engines, learned: change_notifications(logs) }
}

fn print_row(label: &str, c: &Count, open: i64) {
    let opened_per_sent = if c.sent > 0 { c.opened() as f64 / c.sent as f64 } else { 0.0 };
    println!(
        "{label:<24} {:>6} {:>6} {:>6} {:>7} {:>6} {open:>6} {:>7} {:>7} {:>6} {opened_per_sent:>9.2}",
        c.first, c.again, c.more, c.to_give_up, c.closed, c.sent, c.served, c.other
    );
}

/// Reads all logs of a folder and prints the tables.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let figures = figures(&read_all(&options.logs, read)?);
    println!(
        "second, engine            first  again   more give up closed   held    sent  served  other each sent"
    );
    let mut open = 0;
    for (second, count) in &figures.seconds {
        open += count.opened() as i64 - count.closed as i64;
        print_row(&second.to_string(), count, open);
    }
    for (name, count) in figures.engines.iter().filter(|_| options.each) {
        print_row(name, count, count.opened() as i64 - count.closed as i64);
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
