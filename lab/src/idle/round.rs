//! Runs one round of measurements on a newly started gateway process.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::Context;

use super::Options;
use super::active_clients::ActiveClients;
use super::helpers::{Helper, run_all};
use super::report::Round;
use super::time_outs::{self, TimeoutLag};
use crate::FrontEnd;
use crate::gateway_process::{self, Gateway, cpu_usage, resident_bytes, user_and_system};
use crate::helper::CommandResult;
use crate::spread::Summary;

/// Keeps a helper process well below its limit of about 20,000 descriptors.
const MAX_SESSIONS_PER_HELPER: usize = 3_750;
/// Time that the engine takes for a lookup.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Time that the gateway is given to finish the work that follows many new or closed connections.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Pause before a wake-up: the gateway treats a session as recently active for 2 s.
const IDLE_TIME: Duration = Duration::from_millis(2_500);
/// Time that active clients run before a wake-up, and after a wake-up with new connections.
const LEAD_TIME: Duration = Duration::from_millis(500);

/// A gateway under measurement, with the helpers that hold its idle sessions.
struct Setup<'a> {
    options: &'a Options,
    gateway: Gateway,
    /// Address to which the idle sessions connect.
    address: SocketAddr,
    helpers: Vec<Helper>,
    /// Number of sessions per helper.
    sessions_each: usize,
}

/// Processor usage of the gateway while all sessions are idle.
struct IdleCost {
    wakeups_per_s: f64,
    cpu_percent: f64,
}

/// Result of waking half of the sessions at once, several times.
struct WakeUps {
    median: CommandResult,
    least_ms: f64,
    most_ms: f64,
    cpu_ms: f64,
    active: Summary,
}

/// Result of waking half of the sessions while other clients reconnect.
struct WakeUpAndReconnect {
    woken: CommandResult,
    reconnected: CommandResult,
    active: Summary,
}

/// Result of opening and closing sessions as fast as possible.
struct Churn {
    per_s: f64,
    cpu_percent: f64,
    /// Fraction of the processor time that was spent in the kernel.
    system_part: f64,
}

/// Runs all measurements once. `reads_operator_file` is false for earlier builds, which read no operator's file.
pub fn run(
    options: &Options,
    program: &Path,
    build: &str,
    reads_operator_file: bool,
) -> anyhow::Result<Round> {
    let n = options.connections;
    let duration = Duration::from_secs(options.seconds);
    let gateway = Gateway::start(
        program,
        gateway_process::start_engine(SERVICE_TIME)?,
        n + n / 5 + 100,
        reads_operator_file,
    )?;
    let latency_alone = ActiveClients::run(gateway.pg, duration)?;
    let bytes_before = resident_bytes(gateway.process())?;
    let mut setup = Setup::start(options, gateway)?;
    let opened = setup.open()?;
    let bytes_per_session = |bytes: u64| (bytes as f64 - bytes_before as f64) / opened.done as f64;
    let bytes_idle = bytes_per_session(resident_bytes(setup.process())?);
    let idle = setup.idle_cost(duration)?;
    let latency_beside_parked = ActiveClients::run(setup.gateway.pg, duration)?;
    let wake_ups = setup.wake_ups()?;
    thread::sleep(IDLE_TIME);
    let wake_up_and_reconnect = setup.wake_up_and_reconnect()?;
    let time_outs = setup.time_outs()?;
    let churn = setup.churn()?;
    thread::sleep(SETTLE_TIME);
    let bytes_after = bytes_per_session(resident_bytes(setup.process())?);
    let counters = setup.gateway.counters()?;
    Ok(Round {
        build: build.to_owned(),
        bytes_per_session: bytes_idle,
        open_ms_each: opened.ms / setup.sessions_each as f64,
        idle_wakeups_per_s: idle.wakeups_per_s,
        idle_cpu_percent: idle.cpu_percent,
        latency_alone,
        latency_beside_parked,
        wake_half: wake_ups.median,
        wake_half_least_ms: wake_ups.least_ms,
        wake_half_most_ms: wake_ups.most_ms,
        wake_cpu_ms: wake_ups.cpu_ms,
        active_during_wake: wake_ups.active,
        wake_half_and_reconnect: wake_up_and_reconnect.woken,
        reconnected: wake_up_and_reconnect.reconnected,
        active_during_both: wake_up_and_reconnect.active,
        time_outs,
        churn_per_s: churn.per_s,
        churn_cpu_percent: churn.cpu_percent,
        churn_system_part: churn.system_part,
        bytes_after,
        timers_late: timers_late(&counters),
        longest_waits: longest_waits(&counters),
    })
}

impl<'a> Setup<'a> {
    fn start(options: &'a Options, gateway: Gateway) -> anyhow::Result<Self> {
        let address = match options.front {
            FrontEnd::Pg => gateway.pg,
            FrontEnd::Mysql => gateway.mysql.context("this build opened no MySQL front end")?,
        };
        let count = options.connections.div_ceil(MAX_SESSIONS_PER_HELPER).max(2);
        let sessions_each = options.connections / count;
        let helpers = (0..count)
            .map(|number| Helper::start(address, number, options.front, sessions_each))
            .collect::<Result<_, _>>()?;
        Ok(Self { options, gateway, address, helpers, sessions_each })
    }

    fn process(&self) -> u32 {
        self.gateway.process()
    }

    fn open(&mut self) -> anyhow::Result<CommandResult> {
        let opened = run_all(&mut self.helpers, |_| "open".to_owned())?;
        thread::sleep(SETTLE_TIME);
        Ok(opened)
    }

    fn idle_cost(&self, duration: Duration) -> anyhow::Result<IdleCost> {
        let start = cpu_usage(self.process())?;
        thread::sleep(duration);
        let end = cpu_usage(self.process())?;
        let seconds = duration.as_secs_f64();
        Ok(IdleCost {
            wakeups_per_s: (end.wakeups - start.wakeups) as f64 / seconds,
            cpu_percent: 100.0 * (end.cpu_s - start.cpu_s) / seconds,
        })
    }

    fn wake_half(&mut self) -> anyhow::Result<CommandResult> {
        let half = self.sessions_each / 2;
        run_all(&mut self.helpers, |_| format!("wake {half}"))
    }

    fn wake_ups(&mut self) -> anyhow::Result<WakeUps> {
        let active = ActiveClients::start(self.gateway.pg);
        thread::sleep(LEAD_TIME);
        let start = cpu_usage(self.process())?;
        let mut wakes = Vec::new();
        for _ in 0..self.options.wakes.max(1) {
            wakes.push(self.wake_half()?);
            thread::sleep(IDLE_TIME);
        }
        let cpu_ms = 1e3 * (cpu_usage(self.process())?.cpu_s - start.cpu_s) / wakes.len() as f64;
        wakes.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        let lost = wakes.iter().map(|w| w.lost).sum();
        Ok(WakeUps {
            median: CommandResult { lost, ..wakes[wakes.len() / 2] },
            least_ms: wakes[0].ms,
            most_ms: wakes[wakes.len() - 1].ms,
            cpu_ms,
            active: active.stop()?,
        })
    }

    fn wake_up_and_reconnect(&mut self) -> anyhow::Result<WakeUpAndReconnect> {
        let tenth = self.options.connections / 10;
        let mut other = Helper::start(self.address, self.helpers.len(), self.options.front, tenth)?;
        other.send("open")?;
        other.receive()?;
        thread::sleep(IDLE_TIME);
        let active = ActiveClients::start(self.gateway.pg);
        thread::sleep(LEAD_TIME);
        other.send(&format!("reconnect {tenth}"))?;
        let woken = self.wake_half()?;
        let reconnected = other.receive()?;
        thread::sleep(LEAD_TIME);
        Ok(WakeUpAndReconnect { woken, reconnected, active: active.stop()? })
    }

    fn time_outs(&self) -> anyhow::Result<Vec<TimeoutLag>> {
        if !self.options.time_outs {
            return Ok(Vec::new());
        }
        let lookups = time_outs::measure(self.gateway.pg, "lookup", 3_000, 20)?;
        Ok(vec![lookups, time_outs::measure(self.gateway.pg, "load", 20_000, 8)?])
    }

    fn churn(&mut self) -> anyhow::Result<Churn> {
        let process = self.process();
        let (user_before, system_before) = user_and_system(process)?;
        let start = cpu_usage(process)?;
        let churned = run_all(&mut self.helpers, |_| "churn 3000".to_owned())?;
        let seconds = churned.ms / 1e3;
        let cpu_percent = 100.0 * (cpu_usage(process)?.cpu_s - start.cpu_s) / seconds;
        let (user_after, system_after) = user_and_system(process)?;
        let system = system_after - system_before;
        Ok(Churn {
            per_s: churned.done as f64 / seconds,
            cpu_percent,
            system_part: system / (user_after - user_before + system).max(0.01),
        })
    }
}

/// Keys of the number of expired timers in the log line of the counters. Earlier builds, which `--against` measures,
/// write the second key.
const TIMERS_FIRED_KEYS: [&str; 2] = ["timer_lag=timers_rung=", "lateness=timers_rung="];

/// The value of the first word with one of `keys` in the log line of the counters, or `-`.
fn value_of_any(counters: &str, keys: &[&str]) -> String {
    let value =
        |word: &str| keys.iter().find_map(|key| word.trim_matches('"').strip_prefix(key).map(str::to_owned));
    let found = counters.split_whitespace().find_map(value);
    found.unwrap_or_else(|| "-".to_owned()).trim_matches('"').to_owned()
}

/// The value of a key in the log line of the counters, or `-`.
fn value_of(counters: &str, key: &str) -> String {
    value_of_any(counters, &[key])
}

fn timers_late(counters: &str) -> String {
    format!(
        "n={} p50={} p99={} max={} us",
        value_of_any(counters, &TIMERS_FIRED_KEYS),
        value_of(counters, "late_p50_us="),
        value_of(counters, "late_p99_us="),
        value_of(counters, "late_max_us=")
    )
}

fn longest_waits(counters: &str) -> String {
    format!(
        "active {} us, woken {} us, new {} us; longest turn {} us",
        value_of(counters, "longest_active_us="),
        value_of(counters, "longest_woken_us="),
        value_of(counters, "longest_new_us="),
        value_of(counters, "longest_turn_us=")
    )
}

#[cfg(test)]
mod tests;
