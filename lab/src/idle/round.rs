//! One round of measurements, on a gateway of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::Context;

use super::Options;
use super::active_clients::ActiveClients;
use super::helpers::{Helper, all};
use super::report::Round;
use super::time_outs::{self, TimeOut};
use crate::Front;
use crate::fleet::{self, Gateway, resident_bytes, spent, user_and_system};
use crate::helper::Done;
use crate::spread::Spread;

/// Sessions of one helper process; the limit is about 20,000 descriptors.
const MAX_SESSIONS_PER_HELPER: usize = 3_750;
/// What the engine takes for a lookup.
const WORK: Duration = Duration::from_millis(2);
/// Time until what follows a wave of connections is over, on any build.
const SETTLE: Duration = Duration::from_secs(4);
/// A session counts as recently active for 2 s; a surge is of sessions that were silent for longer.
const SILENCE: Duration = Duration::from_millis(2_500);
/// How long active clients run before a surge, and after it.
const PAUSE: Duration = Duration::from_millis(500);

/// A gateway under measurement, with the helpers that hold its idle sessions.
struct Stand<'a> {
    options: &'a Options,
    gateway: Gateway,
    /// Where idle sessions connect.
    address: SocketAddr,
    helpers: Vec<Helper>,
    /// Sessions of each helper.
    sessions_each: usize,
}

/// The cost of idle sessions while nothing happens.
struct IdleCost {
    wakeups_per_s: f64,
    cpu_percent: f64,
}

/// Half of all sessions woken at once, several times.
struct WakeUps {
    median: Done,
    least_ms: f64,
    most_ms: f64,
    cpu_ms: f64,
    active: Spread,
}

/// Half of all sessions woken while others connect.
struct WakeUpAndReconnect {
    woken: Done,
    reconnected: Done,
    active: Spread,
}

/// Sessions opened and closed as fast as it goes.
struct Churn {
    per_s: f64,
    cpu_percent: f64,
    system_part: f64,
}

/// Measures all of it once.
pub fn run(options: &Options, program: &Path, build: &str, new: bool) -> anyhow::Result<Round> {
    let n = options.connections;
    let span = Duration::from_secs(options.seconds);
    let gateway = Gateway::start(program, fleet::engine(WORK)?, n + n / 5 + 100, new)?;
    let latency_alone = ActiveClients::run(gateway.pg, span)?;
    let before = resident_bytes(gateway.process())?;
    let mut stand = Stand::start(options, gateway)?;
    let opened = stand.open()?;
    let bytes_per_session = |bytes: u64| (bytes as f64 - before as f64) / opened.done as f64;
    let bytes_idle = bytes_per_session(resident_bytes(stand.process())?);
    let idle = stand.idle_cost(span)?;
    let latency_beside_parked = ActiveClients::run(stand.gateway.pg, span)?;
    let wake_ups = stand.wake_ups()?;
    thread::sleep(SILENCE);
    let both = stand.wake_up_and_reconnect()?;
    let time_outs = stand.time_outs()?;
    let churn = stand.churn()?;
    thread::sleep(SETTLE);
    let bytes_after = bytes_per_session(resident_bytes(stand.process())?);
    let counters = stand.gateway.counters()?;
    Ok(Round {
        build: build.to_owned(),
        bytes_per_session: bytes_idle,
        open_ms_each: opened.ms / stand.sessions_each as f64,
        idle_wakeups_per_s: idle.wakeups_per_s,
        idle_cpu_percent: idle.cpu_percent,
        latency_alone,
        latency_beside_parked,
        wake_half: wake_ups.median,
        wake_half_least_ms: wake_ups.least_ms,
        wake_half_most_ms: wake_ups.most_ms,
        wake_cpu_ms: wake_ups.cpu_ms,
        active_during_wake: wake_ups.active,
        wake_half_and_reconnect: both.woken,
        reconnected: both.reconnected,
        active_during_both: both.active,
        time_outs,
        churn_per_s: churn.per_s,
        churn_cpu_percent: churn.cpu_percent,
        churn_system_part: churn.system_part,
        bytes_after,
        timers_late: timers_late(&counters),
        longest_waits: longest_waits(&counters),
    })
}

impl<'a> Stand<'a> {
    fn start(options: &'a Options, gateway: Gateway) -> anyhow::Result<Self> {
        let address = match options.front {
            Front::Pg => gateway.pg,
            Front::Mysql => gateway.mysql.context("this build has no MySQL front here")?,
        };
        let count = options.connections.div_ceil(MAX_SESSIONS_PER_HELPER).max(2);
        let sessions_each = options.connections / count;
        let helpers = (0..count)
            .map(|i| Helper::start(address, i, options.front, sessions_each))
            .collect::<Result<_, _>>()?;
        Ok(Self { options, gateway, address, helpers, sessions_each })
    }

    fn process(&self) -> u32 {
        self.gateway.process()
    }

    fn open(&mut self) -> anyhow::Result<Done> {
        let opened = all(&mut self.helpers, |_| "open".to_owned())?;
        thread::sleep(SETTLE);
        Ok(opened)
    }

    fn idle_cost(&self, span: Duration) -> anyhow::Result<IdleCost> {
        let start = spent(self.process())?;
        thread::sleep(span);
        let end = spent(self.process())?;
        let seconds = span.as_secs_f64();
        Ok(IdleCost {
            wakeups_per_s: (end.wakeups - start.wakeups) as f64 / seconds,
            cpu_percent: 100.0 * (end.cpu_s - start.cpu_s) / seconds,
        })
    }

    fn wake_half(&mut self) -> anyhow::Result<Done> {
        let half = self.sessions_each / 2;
        all(&mut self.helpers, |_| format!("wake {half}"))
    }

    fn wake_ups(&mut self) -> anyhow::Result<WakeUps> {
        let active = ActiveClients::start(self.gateway.pg);
        thread::sleep(PAUSE);
        let start = spent(self.process())?;
        let mut wakes = Vec::new();
        for _ in 0..self.options.wakes.max(1) {
            wakes.push(self.wake_half()?);
            thread::sleep(SILENCE);
        }
        let cpu_ms = 1e3 * (spent(self.process())?.cpu_s - start.cpu_s) / wakes.len() as f64;
        wakes.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        let lost = wakes.iter().map(|w| w.lost).sum();
        Ok(WakeUps {
            median: Done { lost, ..wakes[wakes.len() / 2] },
            least_ms: wakes[0].ms,
            most_ms: wakes[wakes.len() - 1].ms,
            cpu_ms,
            active: active.end()?,
        })
    }

    fn wake_up_and_reconnect(&mut self) -> anyhow::Result<WakeUpAndReconnect> {
        let tenth = self.options.connections / 10;
        let mut other = Helper::start(self.address, self.helpers.len(), self.options.front, tenth)?;
        other.ask("open")?;
        other.answer()?;
        thread::sleep(SILENCE);
        let active = ActiveClients::start(self.gateway.pg);
        thread::sleep(PAUSE);
        other.ask(&format!("reconnect {tenth}"))?;
        let woken = self.wake_half()?;
        let reconnected = other.answer()?;
        thread::sleep(PAUSE);
        Ok(WakeUpAndReconnect { woken, reconnected, active: active.end()? })
    }

    fn time_outs(&self) -> anyhow::Result<Vec<TimeOut>> {
        if !self.options.time_outs {
            return Ok(Vec::new());
        }
        let lookups = time_outs::measure(self.gateway.pg, "lookup", 3_000, 20)?;
        Ok(vec![lookups, time_outs::measure(self.gateway.pg, "load", 20_000, 8)?])
    }

    fn churn(&mut self) -> anyhow::Result<Churn> {
        let process = self.process();
        let (user_before, system_before) = user_and_system(process)?;
        let start = spent(process)?;
        let churned = all(&mut self.helpers, |_| "churn 3000".to_owned())?;
        let seconds = churned.ms / 1e3;
        let cpu_percent = 100.0 * (spent(process)?.cpu_s - start.cpu_s) / seconds;
        let (user_after, system_after) = user_and_system(process)?;
        let system = system_after - system_before;
        Ok(Churn {
            per_s: churned.done as f64 / seconds,
            cpu_percent,
            system_part: system / (user_after - user_before + system).max(0.01),
        })
    }
}

/// The number of timers that fired, as the log line of the counters names it; the second name is that of
/// earlier builds, which `--against` measures.
const TIMERS_FIRED_KEYS: [&str; 2] = ["timer_lag=timers_rung=", "lateness=timers_rung="];

/// The value of the first of these keys in the log line of the counters, or `-`.
fn figure_of(counters: &str, keys: &[&str]) -> String {
    let value =
        |word: &str| keys.iter().find_map(|key| word.trim_matches('"').strip_prefix(key).map(str::to_owned));
    let found = counters.split_whitespace().find_map(value);
    found.unwrap_or_else(|| "-".to_owned()).trim_matches('"').to_owned()
}

/// The value of a key in the log line of the counters, or `-`.
fn figure(counters: &str, key: &str) -> String {
    figure_of(counters, &[key])
}

fn timers_late(counters: &str) -> String {
    format!(
        "n={} p50={} p99={} max={} us",
        figure_of(counters, &TIMERS_FIRED_KEYS),
        figure(counters, "late_p50_us="),
        figure(counters, "late_p99_us="),
        figure(counters, "late_max_us=")
    )
}

fn longest_waits(counters: &str) -> String {
    format!(
        "active {} us, woken {} us, new {} us; longest turn {} us",
        figure(counters, "longest_active_us="),
        figure(counters, "longest_woken_us="),
        figure(counters, "longest_new_us="),
        figure(counters, "longest_turn_us=")
    )
}

#[cfg(test)]
mod tests;
